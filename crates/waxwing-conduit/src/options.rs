//! Settings of an entry.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_process::bodies;
use waxwing_settings::view;

use crate::unread;

/// Share of the memory that the bodies of one direction may take. A body needs half of its size once
/// more while its buffer grows.
const BODY_MEMORY_SHARE: f64 = 0.125;

/// Share of the memory that events of streams may take which their callers have not read yet.
const UNREAD_MEMORY_SHARE: f64 = 0.125;

/// Settings of an entry, read at the start of the process.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConduitOptions {
    /// Name of the process in logs.
    pub name: SmolStr,
    /// Data centre in which the process runs.
    pub data_centre: SmolStr,
    /// Listening address for callers.
    pub front_address: SocketAddr,
    /// Listening address for the readiness checks of the load balancer.
    pub ready_address: SocketAddr,
    /// Listening address for links from other entries.
    pub link_address: SocketAddr,
    /// Addresses of control hosts; each accepts links at the same port as `link_address`.
    pub seeds: Vec<SocketAddr>,
    /// Listening address for metrics; `None` disables them.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Retries that all entries together may send to a service within `retry_window_seconds`, per
    /// request to it.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries that all entries together may send within the window beyond that ratio.
    #[serde(default = "default_retry_extra")]
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget, in seconds.
    #[serde(default = "default_retry_window_seconds")]
    pub retry_window_seconds: f64,
    /// Quota units that all entries together may admit beyond a quota while their load updates to
    /// each other are delayed.
    #[serde(default)]
    pub quota_slack: f64,
    /// How much later a request may begin for staying in its data centre while that has room, as a
    /// share of its latency objective. Zero, the default: all data centres are one pool.
    #[serde(default)]
    pub leaving_price: units::ObjectiveShare,
    /// How endpoints are selected; all policies but the default are baselines for measurement.
    #[serde(default)]
    pub routing: view::RoutingPolicy,
    /// Time from the stop signal until the process is killed, in seconds.
    #[serde(default = "default_grace_seconds")]
    pub grace_seconds: f64,
    /// Memory that the process may use, in megabytes. The buffers that callers and endpoints fill
    /// are bounded by a part of it.
    #[serde(default = "default_memory_megabytes")]
    pub memory_megabytes: f64,
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

const fn default_memory_megabytes() -> f64 {
    128.0
}

impl ConduitOptions {
    /// Returns a budget for the requests, or for the answers that are read whole.
    #[must_use]
    pub fn body_budget(&self) -> bodies::MemoryBudget {
        bodies::MemoryBudget::of_memory(self.memory_megabytes, BODY_MEMORY_SHARE)
    }

    /// Returns the budget for events of streams that callers have not read yet.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a negative or huge size is meaningless, so clamping loses nothing"
    )]
    pub fn unread_budget(&self) -> unread::UnreadBudget {
        let megabytes = self.memory_megabytes.max(0.0) * UNREAD_MEMORY_SHARE;
        unread::UnreadBudget::new((megabytes * 1024.0 * 1024.0) as usize)
    }

    /// Returns the time from the stop signal until the process is killed; zero if the setting is
    /// invalid.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_seconds).unwrap_or_default()
    }

    /// Returns the length of the sliding window of the retry budget; zero if the setting is
    /// invalid.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::try_from_secs_f64(self.retry_window_seconds).unwrap_or_default()
    }

    /// Returns the address at which the control host `control` accepts links.
    #[must_use]
    pub const fn link_address_of(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.link_address.port())
    }
}
