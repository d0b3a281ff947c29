//! Exchange with control hosts on which endpoints there are.

use std::{
    net::SocketAddr,
    sync::MutexGuard,
    time::{Duration, Instant},
};

use prost::Message as _;
use waxwing_core::clock::Clock;
use waxwing_fleet::{dialects, network, patches, summaries};
use waxwing_gate::directories;
use waxwing_wire::messages;

use crate::fleet;

impl<C, D, T> fleet::FleetMessenger<C, D, T>
where
    C: Clock,
    D: dialects::RequestDialect,
    T: dialects::ControlDialect,
{
    pub(crate) fn directories(&self) -> MutexGuard<'_, directories::DirectoryFetcher> {
        self.directories
            .lock()
            .expect("no panic occurs while the directories are locked")
    }

    /// Takes the digests of what a control host knows.
    pub(crate) fn compare_directory(
        &self,
        remote: network::RemoteProcess,
        summary: messages::DirectorySummary,
    ) {
        let Some(summary) = summaries::DirectorySummary::from_message(summary) else {
            tracing::warn!(event = "directory-unreadable", control = %remote.address);
            return;
        };
        self.directories().offer(remote.address, summary);
        self.send_directory_fetch();
    }

    /// Sends the request for notices that is due, if there is one.
    pub(crate) fn send_directory_fetch(&self) {
        let now = self.state.clock.now();
        let order = {
            let gate = self.state.gate();
            self.directories().next_order(now, gate.core.registry())
        };
        if let Some(order) = order {
            let body = messages::Body::FetchNotices(order.fetch);
            self.network.send(order.control, body);
            self.wake_fetches();
        }
    }

    /// Takes the notices that a control host sent on request.
    pub(crate) fn apply_notice_groups(
        &self,
        remote: network::RemoteProcess,
        groups: &messages::NoticeGroups,
    ) {
        match read_notices(groups) {
            Some(notices) => {
                self.state.metrics.count_notice_fetch("received");
                tracing::info!(
                    event = "notices-received",
                    control = %remote.address,
                    notices = notices.notices.len(),
                    bytes = groups.compressed.len()
                );
                self.apply_notices(notices);
            }
            None => {
                self.state.metrics.count_notice_fetch("damaged");
                tracing::warn!(event = "notices-damaged", control = %remote.address);
            }
        }
        let now = self.state.clock.now();
        self.directories()
            .receive(now, remote.address, &groups.groups);
        self.send_directory_fetch();
    }

    /// Takes notices of endpoints, and decides on the requests that wait for them.
    pub(crate) fn apply_notices(&self, notices: messages::EndpointNotices) {
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        for notice in notices.notices {
            let received_at = time_before(now, notice.age_millis);
            gate.core.observe_notice(notice, received_at);
        }
        drop(gate);
        self.state.dispatch_decisions();
    }

    /// Takes note of endpoints that are alive and unchanged, and asks for notices that should be
    /// known here and are not.
    pub(crate) fn apply_refreshes(
        &self,
        control: SocketAddr,
        refreshes: &messages::EndpointRefreshes,
    ) {
        let now = self.state.clock.now();
        let digests = refreshes.digests.iter().copied();
        let digests = digests.map(summaries::NoticeDigest::from_bits);
        let unknown = self.state.gate().core.observe_refreshes(digests, now);
        self.state.peer_loads_changed.notify_one();
        if unknown.is_empty() {
            return;
        }
        self.directories().suspect(control, unknown);
        self.send_directory_fetch();
    }
}

/// Returns the notices in a message; `None` if it is damaged.
fn read_notices(groups: &messages::NoticeGroups) -> Option<messages::EndpointNotices> {
    let length = usize::try_from(groups.length).ok()?;
    let notices = patches::apply(&[], &groups.compressed, length, groups.digest).ok()?;
    messages::EndpointNotices::decode(notices).ok()
}

fn time_before(now: Instant, age_millis: u64) -> Instant {
    let age = Duration::from_millis(age_millis);
    now.checked_sub(age).unwrap_or(now)
}
