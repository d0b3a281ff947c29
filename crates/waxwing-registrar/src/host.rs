//! The state of a control host that its tasks share: the registry of endpoints, and what entries
//! and other control hosts are told.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{network, registry};
use waxwing_wire::messages;

use crate::{handles, metrics, options};

/// Time for which notices without a change are gathered before entries are told; entries need
/// them only to know that an endpoint is alive.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two looks at which processes are linked and what has expired.
const HOSTS_INTERVAL: Duration = Duration::from_millis(500);

/// A `RegistrarHost` is the shared state; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct RegistrarHost<C> {
    pub(crate) options: Arc<options::RegistrarOptions>,
    pub(crate) clock: C,
    pub(crate) group: handles::GroupHandle,
    pub(crate) network: network::ProcessNetwork<C>,
    pub(crate) metrics: metrics::RegistrarMetrics,
    registry: Arc<Mutex<registry::EndpointRegistry>>,
    refreshed: Arc<Mutex<Vec<messages::EndpointNotice>>>,
    /// The seeds of the settings in force; they may change while the process runs.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl<C: Clock> RegistrarHost<C> {
    pub(crate) fn new(
        options: options::RegistrarOptions,
        clock: C,
        group: handles::GroupHandle,
        network: network::ProcessNetwork<C>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        metrics: metrics::RegistrarMetrics,
    ) -> Self {
        Self {
            options: Arc::new(options),
            clock,
            group,
            network,
            metrics,
            registry: Arc::default(),
            refreshed: Arc::default(),
            seeds,
        }
    }

    pub(crate) fn registry(&self) -> MutexGuard<'_, registry::EndpointRegistry> {
        self.registry
            .lock()
            .expect("the registry is never left half changed")
    }

    fn refreshed(&self) -> MutexGuard<'_, Vec<messages::EndpointNotice>> {
        self.refreshed
            .lock()
            .expect("the list of notices is never left half changed")
    }

    /// Takes a notice from an endpoint. A change is told to all entries and control hosts before
    /// this returns, so that the acknowledgement of a drain starts after that.
    pub(crate) fn take_notice(&self, notice: messages::EndpointNotice) {
        let effect = self.registry().observe(notice.clone(), self.clock.now());
        self.metrics.noticed(match effect {
            registry::NoticeEffect::Stale => "stale",
            registry::NoticeEffect::Refreshed => "refreshed",
            registry::NoticeEffect::Changed => "changed",
        });
        match effect {
            registry::NoticeEffect::Stale => {
                tracing::debug!(
                    event = "notice-stale",
                    endpoint = notice.id,
                    sequence = notice.sequence,
                    born = notice.born
                );
            }
            registry::NoticeEffect::Refreshed => self.refreshed().push(notice),
            registry::NoticeEffect::Changed => {
                tracing::info!(
                    event = "endpoint-changed",
                    endpoint = notice.id,
                    address = notice.address,
                    service = notice.service,
                    phase = ?notice.phase(),
                    sequence = notice.sequence,
                    born = notice.born
                );
                let notices = vec![notice];
                let body = messages::Body::EndpointNotices(messages::EndpointNotices { notices });
                self.network.tell(messages::ProcessKind::Entry, &body);
                self.network.tell(messages::ProcessKind::Control, &body);
            }
        }
    }

    /// Takes notices that another control host heard.
    fn take_relayed(&self, relayed: messages::EndpointNotices) {
        let now = self.clock.now();
        let mut registry = self.registry();
        for notice in relayed.notices {
            let age = Duration::from_millis(notice.age_millis);
            registry.observe(notice, now.checked_sub(age).unwrap_or(now));
        }
    }

    fn deployment(&self, view: &handles::GroupView) -> messages::DeploymentState {
        messages::DeploymentState {
            version: view.document.version,
            body: view.document.body.clone(),
            confirmed: view.leader.is_some(),
        }
    }

    fn all_notices(&self, now: Instant) -> messages::EndpointNotices {
        let registry = self.registry();
        let notices = registry.records().map(|record| {
            let age = now.saturating_duration_since(record.heard);
            messages::EndpointNotice {
                age_millis: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                ..record.notice.clone()
            }
        });
        messages::EndpointNotices {
            notices: notices.collect(),
        }
    }

    fn fleet_hosts(&self) -> messages::FleetHosts {
        let members = self.group.view.borrow().members.clone();
        let mut control: HashSet<_> = members.into_iter().collect();
        control.extend(self.network.linked(messages::ProcessKind::Control));
        control.insert(self.options.link_address);
        let entries = self.network.linked(messages::ProcessKind::Entry);
        let texts = |addresses: HashSet<SocketAddr>| {
            let mut texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
            texts.sort_unstable();
            texts
        };
        messages::FleetHosts {
            control: texts(control),
            entries: texts(entries),
        }
    }

    /// Tells a process that has just opened a link everything.
    fn greet(&self, remote: network::RemoteProcess) {
        let notices = self.all_notices(self.clock.now());
        let address = remote.address;
        self.network
            .send(address, messages::Body::EndpointNotices(notices));
        if remote.kind == messages::ProcessKind::Entry {
            let state = self.deployment(&self.group.view.borrow());
            self.network
                .send(address, messages::Body::DeploymentState(state));
            let hosts = self.fleet_hosts();
            self.network
                .send(address, messages::Body::FleetHosts(hosts));
        }
    }

    /// Handles what arrives over links.
    pub(crate) async fn serve_links(self, mut events: mpsc::Receiver<network::NetworkEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                network::NetworkEvent::Opened(remote) => self.greet(remote),
                network::NetworkEvent::Closed(_) => {}
                network::NetworkEvent::Received(remote, body) => self.take_message(remote, *body),
            }
        }
    }

    fn take_message(&self, remote: network::RemoteProcess, body: messages::Body) {
        let request = match body {
            messages::Body::Quorum(quorum) => handles::GroupRequest::Peer {
                from: remote.address,
                payload: quorum.payload,
            },
            messages::Body::JoinGroup(join) => handles::GroupRequest::Join(join),
            messages::Body::EndpointNotices(notices) => return self.take_relayed(notices),
            other => {
                tracing::debug!(address = %remote.address, ?other, "unexpected message");
                return;
            }
        };
        // Without a log, as while its disk fails, the messages are of no use.
        if self.group.requests.try_send(request).is_err() {
            tracing::debug!(address = %remote.address, "message of the log dropped");
        }
    }

    /// Tells entries about each new document.
    pub(crate) async fn spread_deployments(self, shutdown: CancellationToken) {
        let mut view = self.group.view.clone();
        let mut told = (0, false);
        loop {
            let state = {
                let view = view.borrow_and_update();
                self.metrics.holds(&view);
                self.deployment(&view)
            };
            if told != (state.version, state.confirmed) {
                told = (state.version, state.confirmed);
                let body = messages::Body::DeploymentState(state);
                self.network.tell(messages::ProcessKind::Entry, &body);
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Tells entries regularly which endpoints are alive and where other processes are, and keeps
    /// links to the other control hosts.
    pub(crate) async fn keep_fleet(self, shutdown: CancellationToken) {
        let mut hosts = messages::FleetHosts::default();
        let mut next_hosts = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_hosts {
                next_hosts = now + HOSTS_INTERVAL;
                self.registry().expire(now);
                self.keep_links();
                let found = self.fleet_hosts();
                if found != hosts {
                    hosts.clone_from(&found);
                    let body = messages::Body::FleetHosts(found);
                    self.network.tell(messages::ProcessKind::Entry, &body);
                }
            }
            let notices = std::mem::take(&mut *self.refreshed());
            if !notices.is_empty() {
                let body = messages::Body::EndpointNotices(messages::EndpointNotices { notices });
                self.network.tell(messages::ProcessKind::Entry, &body);
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.clock.sleep(REFRESH_INTERVAL) => {}
            }
        }
    }

    fn keep_links(&self) {
        let mut wanted: HashSet<_> = self.group.view.borrow().members.iter().copied().collect();
        let seeds = self.seeds.borrow().clone();
        wanted.extend(seeds.into_iter().map(|seed| self.options.link_of(seed)));
        wanted.extend(self.network.linked(messages::ProcessKind::Control));
        self.network.keep(&wanted);
    }
}
