//! Options of the one-process fleet.

use std::path::PathBuf;

use smol_str::SmolStr;
use waxwing_core::ids;
use waxwing_standin::options;

/// `SoloOptions` describe a fleet in one process.
#[derive(Debug, Clone)]
pub struct SoloOptions {
    /// The folder with the durable state of the control hosts.
    pub data: PathBuf,
    /// The first settings tree.
    pub tree: serde_json::Value,
    /// Control hosts.
    pub controls: u32,
    /// Entries.
    pub entries: u32,
    /// Stand-in engines, each with an agent.
    pub runners: Vec<options::StandinOptions>,
    /// The endpoint role of the engines.
    pub runner_role: ids::RoleName,
    /// Stand-in registers, each with an agent; they share one set of records.
    pub registers: Vec<options::StandinOptions>,
    /// The endpoint role of the registers.
    pub register_role: ids::RoleName,
    /// The region.
    pub region: ids::RegionName,
    /// Data centres; processes are spread over them in turn.
    pub data_centres: Vec<ids::DataCentre>,
    /// Calls that show that the fleet serves.
    pub probes: Vec<FleetProbe>,
}

/// A `FleetProbe` is a call without effect; the fleet is ready when each entry answers it.
#[derive(Debug, Clone)]
pub struct FleetProbe {
    /// The method.
    pub method: hyper::Method,
    /// The path.
    pub path: SmolStr,
    /// The bearer token.
    pub token: SmolStr,
    /// The body.
    pub body: String,
}

impl SoloOptions {
    /// Returns the data centre of the process with this number.
    #[must_use]
    pub fn data_centre(&self, index: usize) -> ids::DataCentre {
        self.data_centres[index % self.data_centres.len()].clone()
    }
}
