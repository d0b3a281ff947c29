//! Options of an entry.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;
use waxwing_settings::view;

/// `ConduitOptions` configure an entry.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConduitOptions {
    /// The name of the process in logs.
    pub name: SmolStr,
    /// The data centre.
    pub data_centre: SmolStr,
    /// Where callers connect.
    pub front_address: SocketAddr,
    /// Where the balancer asks whether this entry takes new connections.
    pub ready_address: SocketAddr,
    /// Where other entries open links.
    pub link_address: SocketAddr,
    /// Addresses of control hosts; their links are accepted at the port of `link_address`.
    pub seeds: Vec<SocketAddr>,
    /// Where counters are served; `None` serves none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Repeats that all entries together may send to a service in `retry_window_seconds`, for each
    /// request to it.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Repeats that they may send beyond that.
    #[serde(default = "default_retry_extra")]
    pub retry_extra: f64,
    /// The window of the retry budget in seconds.
    #[serde(default = "default_retry_window_seconds")]
    pub retry_window_seconds: f64,
    /// Units beyond a quota that all entries together may admit while their books lag.
    #[serde(default)]
    pub quota_slack: f64,
    /// How endpoints are picked; all but the default are baselines for measurement.
    #[serde(default)]
    pub routing: view::RoutingPolicy,
    /// Seconds from the signal to stop until the process is killed.
    #[serde(default = "default_grace_seconds")]
    pub grace_seconds: f64,
}

const fn default_retry_ratio() -> f64 {
    0.1
}

const fn default_retry_extra() -> f64 {
    10.0
}

const fn default_retry_window_seconds() -> f64 {
    10.0
}

const fn default_grace_seconds() -> f64 {
    8.0
}

impl ConduitOptions {
    /// Returns the time from the signal to stop until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_seconds).unwrap_or_default()
    }

    /// Returns the window of the retry budget.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::try_from_secs_f64(self.retry_window_seconds).unwrap_or_default()
    }

    /// Returns where the control host with this address accepts links.
    #[must_use]
    pub const fn link_of(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.link_address.port())
    }
}
