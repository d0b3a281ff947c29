//! The hosts that a process learns from control hosts, and when it forgets them.
//!
//! No control host knows the whole fleet at all times: one that has just started knows only the
//! hosts in its settings, and one that is cut off reports those that it still reaches. A process
//! therefore combines the reports of all control hosts that it is linked to, and keeps dialling a
//! host for a while after the last report of it. `docs/platform.md` tells how hosts find each other.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time for which a host is dialled after it was last reported or linked. Restarts and network
/// partitions last seconds, and a host that comes back after one is at its old address.
pub const HOST_RETENTION: Duration = Duration::from_secs(60);

/// The hosts in the reports of control hosts.
#[derive(Debug, Default)]
pub struct HostTable {
    /// The last report of each control host whose link is open.
    reports: HashMap<SocketAddr, HashSet<SocketAddr>>,
    /// When each host was last known to be part of the fleet.
    last_known: HashMap<SocketAddr, Instant>,
}

impl HostTable {
    /// Takes the list of hosts that a control host knows; it replaces the earlier list of that one.
    pub fn record(&mut self, now: Instant, reporter: SocketAddr, hosts: HashSet<SocketAddr>) {
        // The hosts of the list that is replaced were known until now.
        self.end_report(now, reporter);
        self.last_known
            .extend(hosts.iter().map(|host| (*host, now)));
        self.reports.insert(reporter, hosts);
    }

    /// Ends the report of a control host whose last link has closed.
    pub fn end_report(&mut self, now: Instant, reporter: SocketAddr) {
        let ended = self.reports.remove(&reporter);
        let hosts = ended.into_iter().flatten();
        self.last_known.extend(hosts.map(|host| (host, now)));
    }

    /// Returns the hosts to dial, and forgets those that were neither reported nor `linked` for
    /// [`HOST_RETENTION`]. A process without any report forgets none, since it has no other way back
    /// to the fleet.
    pub fn targets(
        &mut self,
        now: Instant,
        linked: &HashSet<SocketAddr>,
    ) -> impl Iterator<Item = SocketAddr> {
        let Self {
            reports,
            last_known,
        } = self;
        last_known.retain(|host, known_at| {
            let is_known = reports.is_empty()
                || linked.contains(host)
                || reports.values().any(|hosts| hosts.contains(host));
            if is_known {
                *known_at = now;
            }
            now.saturating_duration_since(*known_at) < HOST_RETENTION
        });
        last_known.keys().copied()
    }
}
