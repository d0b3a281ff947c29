//! Options of a control host.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use smol_str::SmolStr;
use waxwing_process::bodies;
use waxwing_rollout::options as rollout_options;

/// Share of the memory that the bodies of calls may take.
const BODY_MEMORY_SHARE: f64 = 0.25;

/// The settings of a control host.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistrarOptions {
    /// The name of the process in logs.
    pub name: SmolStr,
    /// The data centre in which the host runs.
    pub data_centre: SmolStr,
    /// The address for HTTP calls of operators and endpoints.
    pub http_address: SocketAddr,
    /// The address at which other processes open links. It must be IPv4, since the member id is
    /// derived from it.
    pub link_address: SocketAddr,
    /// The `http_address` of control hosts through which this one finds the group.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet; the seeds then bootstrap the group.
    pub found: bool,
    /// The control hosts, or their disks, that may be lost at the same time. The group keeps twice
    /// as many voters and one where there are enough hosts.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: u32,
    /// The folder for the replicated log.
    pub data_folder: PathBuf,
    /// The address at which metrics are served; `None` disables this.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Milliseconds within which a call is answered, if need be with an error. Callers try another
    /// host after a second without an answer.
    #[serde(default = "default_call_millis")]
    pub call_millis: u64,
    /// Memory that the process may use, in megabytes. The bodies of calls are bounded by a part of
    /// it.
    #[serde(default = "default_memory_megabytes")]
    pub memory_megabytes: f64,
    /// What a version under roll-out that proves bad may cost callers.
    #[serde(default)]
    pub rollouts: rollout_options::RolloutOptions,
}

const fn default_tolerated_losses() -> u32 {
    1
}

const fn default_call_millis() -> u64 {
    900
}

const fn default_memory_megabytes() -> f64 {
    128.0
}

impl RegistrarOptions {
    /// Returns a budget for the bodies of calls.
    #[must_use]
    pub fn body_budget(&self) -> bodies::MemoryBudget {
        bodies::MemoryBudget::of_memory(self.memory_megabytes, BODY_MEMORY_SHARE)
    }

    /// Returns the longest time for which a call may wait for the replication group.
    #[must_use]
    pub const fn call_limit(&self) -> Duration {
        Duration::from_millis(self.call_millis)
    }

    /// Returns the link address of the control host with this `http_address`; all control hosts use
    /// the same ports.
    #[must_use]
    pub const fn link_address_of(&self, http: SocketAddr) -> SocketAddr {
        SocketAddr::new(http.ip(), self.link_address.port())
    }

    /// Returns the HTTP address of the control host with this `link_address`; all control hosts use
    /// the same ports.
    #[must_use]
    pub const fn http_address_of(&self, link: SocketAddr) -> SocketAddr {
        SocketAddr::new(link.ip(), self.http_address.port())
    }
}
