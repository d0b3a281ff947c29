//! The settings file of an entry process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_core::{ids, units};
use waxwing_settings::errors;
use waxwing_wire::security;

/// Start options of an entry process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryOptions {
    /// The process name, unique in the fleet.
    pub name: ids::ProcessName,
    /// The data centre of the host.
    pub data_centre: ids::DataCentre,
    /// The region of the host.
    pub region: ids::RegionName,
    /// The HTTP address for callers; port 0 picks a free port.
    pub http_address: SocketAddr,
    /// The addresses of the control hosts; at least one.
    pub control_hosts: Vec<SocketAddr>,
    /// Memory for the bodies of waiting requests in bytes, 1 MiB to 4 GiB; default 256 MiB.
    #[serde(default = "default_memory")]
    pub body_memory_bytes: units::ByteCount,
    /// How long requests are still accepted after readiness has failed, so that the load balancer
    /// notices first, in milliseconds, 0 to 600,000; default 3,000.
    #[serde(default = "default_delay")]
    pub readiness_delay_ms: u64,
    /// The maximum number of endpoints to watch, 1 to 10,000; default 160.
    #[serde(default = "default_watch")]
    pub watch_limit: u32,
    /// The certificate for callers; absent for plain HTTP behind a load balancer that terminates
    /// TLS.
    #[serde(default)]
    pub tls: Option<CallerTls>,
    /// The TLS files for links to agents and control hosts; absent for plaintext, on a trusted
    /// loopback only. They are reloaded on SIGHUP.
    #[serde(default)]
    pub link_tls: Option<security::TlsFiles>,
}

/// The TLS certificate presented to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// The path of the certificate chain in PEM.
    pub certificate_file: PathBuf,
    /// The path of the private key in PEM.
    pub key_file: PathBuf,
}

fn default_memory() -> units::ByteCount {
    units::ByteCount(256 * 1024 * 1024)
}

fn default_delay() -> u64 {
    3_000
}

fn default_watch() -> u32 {
    160
}

impl EntryOptions {
    /// Checks that the values are in range; `file` is named in errors.
    ///
    /// # Errors
    /// Fails with the first value that is out of range.
    pub fn check(&self, file: &str) -> Result<(), errors::SettingsError> {
        let value_error = |path: &str, found: String, allowed: &str| {
            Err(errors::SettingsError::Value {
                file: SmolStr::new(file),
                path: SmolStr::new(path),
                found: SmolStr::new(found),
                allowed: SmolStr::new(allowed),
            })
        };
        if self.control_hosts.is_empty() {
            return value_error("/control_hosts", "[]".to_owned(), "at least one `ip:port`");
        }
        if !(1 << 20..=1 << 32).contains(&self.body_memory_bytes.0) {
            let found = self.body_memory_bytes.0.to_string();
            return value_error("/body_memory_bytes", found, "1048576 to 4294967296");
        }
        if self.readiness_delay_ms > 600_000 {
            let found = self.readiness_delay_ms.to_string();
            return value_error("/readiness_delay_ms", found, "0 to 600000");
        }
        if !(1..=10_000).contains(&self.watch_limit) {
            let found = self.watch_limit.to_string();
            return value_error("/watch_limit", found, "1 to 10000");
        }
        Ok(())
    }

    /// Returns `readiness_delay_ms` as a duration.
    #[must_use]
    pub fn readiness_delay(&self) -> Duration {
        Duration::from_millis(self.readiness_delay_ms)
    }
}
