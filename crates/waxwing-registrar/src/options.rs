//! Options of a control host.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use smol_str::SmolStr;

/// `RegistrarOptions` configure a control host.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistrarOptions {
    /// The name of the process in logs.
    pub name: SmolStr,
    /// The data centre.
    pub data_centre: SmolStr,
    /// Where operators and endpoints call.
    pub http_address: SocketAddr,
    /// Where other processes open links.
    pub link_address: SocketAddr,
    /// The `http_address` of control hosts that may be asked for the group.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet; the seeds then found the group.
    pub found: bool,
    /// The data folder.
    pub data_folder: PathBuf,
    /// Where counters are served; `None` serves none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Milliseconds within which a call is answered, also with a failure; callers turn to another
    /// host after a second without an answer.
    #[serde(default = "default_call_millis")]
    pub call_millis: u64,
}

const fn default_call_millis() -> u64 {
    900
}

impl RegistrarOptions {
    /// Returns the time within which a call is answered.
    #[must_use]
    pub const fn call_limit(&self) -> Duration {
        Duration::from_millis(self.call_millis)
    }

    /// Returns where the control host with this `http_address` accepts links: the ports are the
    /// same on all control hosts.
    #[must_use]
    pub const fn link_of(&self, http: SocketAddr) -> SocketAddr {
        SocketAddr::new(http.ip(), self.link_address.port())
    }

    /// Returns where the control host with this `link_address` takes calls.
    #[must_use]
    pub const fn http_of(&self, link: SocketAddr) -> SocketAddr {
        SocketAddr::new(link.ip(), self.http_address.port())
    }
}
