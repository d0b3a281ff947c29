//! Options of a control host, as its settings file holds them.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};
use waxwing_core::ids;
use waxwing_wire::security;

/// `ControlOptions` describe one control host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlOptions {
    /// The name; it stays with the host when its disk is replaced.
    pub name: ids::ProcessName,
    /// The data centre.
    pub data_centre: ids::DataCentre,
    /// The region.
    pub region: ids::RegionName,
    /// The address for links as `ip:port`; port 0 lets the system choose.
    pub link: SocketAddr,
    /// The address of the operators' interface as `ip:port`; port 0 lets the system choose.
    pub http: SocketAddr,
    /// The data folder; absent keeps all state in memory, for trials on one host only.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Whether this host founds the group if its data folder is empty. Exactly one host has it;
    /// the others join the hosts that `peers` lists.
    #[serde(default)]
    pub found: bool,
    /// The other control hosts. A host that is listed here may join, and may come back with a new
    /// disk, without an operator.
    #[serde(default)]
    pub peers: Vec<PeerOptions>,
    /// The keys for links; absent for no protection, on a trusted loopback only.
    #[serde(default)]
    pub tls: Option<security::TlsFiles>,
    /// The file with the first settings tree, used by the founder only.
    #[serde(default)]
    pub settings: Option<PathBuf>,
}

/// `PeerOptions` name another control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerOptions {
    /// The name.
    pub name: ids::ProcessName,
    /// The address for links as `ip:port`.
    pub link: SocketAddr,
}
