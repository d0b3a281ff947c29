//! Options of a control host, read from its settings file.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};
use waxwing_core::ids;
use waxwing_wire::security;

/// The options of one control host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlOptions {
    /// The name, which the host keeps when its disk is replaced.
    pub name: ids::ProcessName,
    /// The data centre.
    pub data_centre: ids::DataCentre,
    /// The region.
    pub region: ids::RegionName,
    /// The address for links as `ip:port`; port 0 lets the system choose.
    pub link: SocketAddr,
    /// The address of the operators' interface as `ip:port`; port 0 lets the system choose.
    pub http: SocketAddr,
    /// The data folder. Without one, all state is kept in memory, which is suitable only for trying
    /// out a single host.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Whether this host creates the group if its data folder is empty. Exactly one host sets it;
    /// the others join the hosts in `peers`.
    #[serde(default)]
    pub found: bool,
    /// The other control hosts. A host in this list may join, and may rejoin with a new disk,
    /// without an operator.
    #[serde(default)]
    pub peers: Vec<PeerOptions>,
    /// The TLS keys for links. Without them links are unprotected, which is acceptable only on a
    /// trusted loopback interface.
    #[serde(default)]
    pub tls: Option<security::TlsFiles>,
    /// The file with the first settings tree. It has no effect once the group has a tree.
    #[serde(default)]
    pub settings: Option<PathBuf>,
}

/// The name and address of another control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerOptions {
    /// The name.
    pub name: ids::ProcessName,
    /// The address for links as `ip:port`.
    pub link: SocketAddr,
}
