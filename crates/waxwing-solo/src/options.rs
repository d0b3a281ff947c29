//! Options of the in-process fleet.

use std::path::PathBuf;

use smol_str::SmolStr;
use waxwing_core::ids;
use waxwing_standin::options;

/// The processes, endpoints and settings of an in-process fleet.
#[derive(Debug, Clone)]
pub struct SoloOptions {
    /// The folder with the durable state of the control hosts.
    pub data: PathBuf,
    /// The initial settings tree.
    pub tree: serde_json::Value,
    /// Number of control hosts.
    pub controls: u32,
    /// Number of entries.
    pub entries: u32,
    /// Stand-in engines, each with an agent.
    pub runners: Vec<options::StandinOptions>,
    /// The endpoint role of the engines.
    pub runner_role: ids::RoleName,
    /// Stand-in registers, each with an agent; they share one set of records.
    pub registers: Vec<options::StandinOptions>,
    /// The endpoint role of the registers.
    pub register_role: ids::RoleName,
    /// The region of all processes.
    pub region: ids::RegionName,
    /// Data centres, to which processes are assigned round-robin; at least one.
    pub data_centres: Vec<ids::DataCentre>,
    /// Calls that have to succeed before the fleet counts as ready.
    pub probes: Vec<FleetProbe>,
}

/// A readiness probe: a call without side effects that every entry has to answer.
#[derive(Debug, Clone)]
pub struct FleetProbe {
    /// The HTTP method.
    pub method: hyper::Method,
    /// The path of the URL.
    pub path: SmolStr,
    /// The bearer token of the client account.
    pub token: SmolStr,
    /// The request body.
    pub body: String,
}

impl SoloOptions {
    /// Returns the data centre of the process with this zero-based number.
    #[must_use]
    pub fn data_centre(&self, index: usize) -> ids::DataCentre {
        self.data_centres[index % self.data_centres.len()].clone()
    }
}
