//! The options of an agent, as read from its settings file.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_core::{ids, units};
use waxwing_wire::security;

use crate::errors;

/// Identity of an agent, and the addresses of its endpoint and control hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOptions {
    /// The name of the process, unique in the fleet.
    pub name: ids::ProcessName,
    /// The data centre of the host.
    pub data_centre: ids::DataCentre,
    /// The region of the data centre.
    pub region: ids::RegionName,
    /// The address to which entries open links; port 0 for any free port.
    pub link_address: SocketAddr,
    /// The announced address, if it differs from the bound one.
    #[serde(default)]
    pub announced_address: Option<SocketAddr>,
    /// The URL of the endpoint, such as `http://127.0.0.1:9000`.
    pub endpoint: SmolStr,
    /// The endpoint role in the settings tree.
    pub role: ids::RoleName,
    /// The link addresses of the control hosts of the region.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Limits on memory, time and concurrency.
    #[serde(default)]
    pub limits: AgentLimits,
    /// The TLS key files of links to other processes; without them links are not encrypted or
    /// authenticated.
    #[serde(default)]
    pub tls: Option<security::TlsFiles>,
    /// Link security, which the process loads from `tls`.
    #[serde(skip)]
    pub security: security::LinkSecurity,
}

impl AgentOptions {
    /// Returns the address of the endpoint.
    ///
    /// # Errors
    /// Fails unless the URL is `http://`, an IP number and a port.
    pub fn endpoint_address(&self) -> Result<SocketAddr, errors::AgentError> {
        let stripped = self.endpoint.strip_prefix("http://");
        let address = stripped.and_then(|text| text.trim_end_matches('/').parse().ok());
        address.ok_or_else(|| errors::AgentError::Endpoint {
            found: self.endpoint.clone(),
        })
    }
}

/// Limits on what an agent buffers, how long it waits, and how much runs concurrently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimits {
    /// Bytes of answers that are buffered for resumption; default 64 MiB.
    pub kept_bytes: units::ByteCount,
    /// Flow-control window: bytes of one answer that may be unacknowledged; default 256 KiB.
    pub unacknowledged_bytes: units::ByteCount,
    /// Milliseconds for which an answer is kept after its end; default 60,000.
    pub retention_ms: u64,
    /// Milliseconds until an unused grant expires; default 2,000.
    pub grant_ms: u64,
    /// Milliseconds without a link to the entry after which idempotent work is cancelled; default
    /// 5,000.
    pub entry_loss_ms: u64,
    /// Milliseconds without progress after which the endpoint counts as stalled; default 10,000.
    pub progress_limit_ms: u64,
    /// Concurrent requests of an engine; default 256.
    pub engine_running: usize,
    /// Concurrent requests of a plain endpoint; default 32.
    pub plain_running: usize,
    /// Waiting offers; default 4,096.
    pub waiting_offers: usize,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            kept_bytes: units::ByteCount(64 * 1024 * 1024),
            unacknowledged_bytes: units::ByteCount(256 * 1024),
            retention_ms: 60_000,
            grant_ms: 2_000,
            entry_loss_ms: 5_000,
            progress_limit_ms: 10_000,
            engine_running: 256,
            plain_running: 32,
            waiting_offers: 4_096,
        }
    }
}

impl AgentLimits {
    /// Returns the lifetime of an unused grant.
    #[must_use]
    pub fn grant(&self) -> Duration {
        Duration::from_millis(self.grant_ms)
    }

    /// Returns how long an ended answer is kept.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }

    /// Returns how long idempotent work continues without a link to its entry.
    #[must_use]
    pub fn entry_loss(&self) -> Duration {
        Duration::from_millis(self.entry_loss_ms)
    }

    /// Returns how long the endpoint may make no progress before it counts as stalled.
    #[must_use]
    pub fn progress_limit(&self) -> Duration {
        Duration::from_millis(self.progress_limit_ms)
    }
}
