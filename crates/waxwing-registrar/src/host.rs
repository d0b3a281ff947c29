//! The shared state of a control host: the directory of endpoints, and the updates that are sent to
//! entries and other control hosts.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{network, registry};
use waxwing_wire::messages;

use crate::{directory, errors, handles, history, metrics, options};

/// Time for which notices without a change are batched before they are sent to entries, which need
/// them only to know that the endpoint is alive.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two checks for expired endpoints and changes of the linked processes.
const HOSTS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two confirmations of the newest deployment, which are sent to all entries.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(50);

/// The state that the tasks of a control host share; clones refer to the same state.
#[derive(Debug, Clone)]
pub(crate) struct RegistrarHost<C> {
    pub(crate) options: Arc<options::RegistrarOptions>,
    pub(crate) clock: C,
    pub(crate) group: handles::GroupHandle,
    pub(crate) network: network::ProcessNetwork<C>,
    pub(crate) metrics: metrics::RegistrarMetrics,
    directory: Arc<Mutex<directory::EndpointDirectory>>,
    history: Arc<Mutex<history::DeploymentHistory>>,
    /// Wakes the task that confirms the newest deployment, since an entry waits for it.
    confirmation_wanted: Arc<Notify>,
    /// The seeds in the settings file; they may change while the process runs.
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
            directory: Arc::default(),
            history: Arc::default(),
            confirmation_wanted: Arc::default(),
            seeds,
        }
    }

    fn directory(&self) -> MutexGuard<'_, directory::EndpointDirectory> {
        self.directory
            .lock()
            .expect("no thread panics while it holds the lock of the directory")
    }

    fn history(&self) -> MutexGuard<'_, history::DeploymentHistory> {
        self.history
            .lock()
            .expect("no thread panics while it holds the lock of the history")
    }

    /// Handles the deregistration of an endpoint; `stated_born` is the start time in the call, in
    /// Unix milliseconds.
    pub(crate) fn deregister(&self, id: &str, stated_born: Option<u64>) {
        let wall_millis = self.clock.wall_millis();
        let notice = self
            .directory()
            .deregistration(id, stated_born, wall_millis);
        self.handle_notice(notice);
    }

    /// Handles a notice from an endpoint. A change is queued for all linked entries and control
    /// hosts before this returns, so that it is on its way when the endpoint gets the
    /// acknowledgement of a drain.
    pub(crate) fn handle_notice(&self, notice: messages::EndpointNotice) {
        let effect = self.directory().observe(notice.clone(), self.clock.now());
        self.metrics.count_notice(match effect {
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
            registry::NoticeEffect::Refreshed => {}
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
                self.network.broadcast(messages::ProcessKind::Entry, &body);
                self.network
                    .broadcast(messages::ProcessKind::Control, &body);
            }
        }
    }

    fn fleet_hosts(&self) -> messages::FleetHosts {
        let members = self.group.view.borrow().members.clone();
        let mut control: HashSet<_> = members.into_iter().collect();
        control.extend(
            self.network
                .linked_addresses(messages::ProcessKind::Control),
        );
        control.insert(self.options.link_address);
        let entries = self.network.linked_addresses(messages::ProcessKind::Entry);
        let sorted_texts = |addresses: HashSet<SocketAddr>| {
            let mut sorted_texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
            sorted_texts.sort_unstable();
            sorted_texts
        };
        messages::FleetHosts {
            control: sorted_texts(control),
            entries: sorted_texts(entries),
        }
    }

    /// Sends the full state to a process whose link has just opened.
    fn send_full_state(&self, remote: network::RemoteProcess) {
        let notices = self.directory().all_notices(self.clock.now());
        let address = remote.address;
        self.network
            .send(address, messages::Body::EndpointNotices(notices));
        if remote.kind == messages::ProcessKind::Entry {
            let announcement = self.history().announcement(false);
            self.network
                .send(address, messages::Body::DeploymentVersion(announcement));
            self.confirmation_wanted.notify_one();
            let hosts = self.fleet_hosts();
            self.network
                .send(address, messages::Body::FleetHosts(hosts));
        }
    }

    /// Handles link events until the network shuts down.
    pub(crate) async fn serve_links(self, mut events: mpsc::Receiver<network::NetworkEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                network::NetworkEvent::Opened(remote) => self.send_full_state(remote),
                network::NetworkEvent::Closed(_) => {}
                network::NetworkEvent::Received(remote, body) => self.handle_message(remote, *body),
            }
        }
    }

    fn handle_message(&self, remote: network::RemoteProcess, body: messages::Body) {
        let request = match body {
            messages::Body::Quorum(quorum) => handles::GroupRequest::Peer {
                from: remote.address,
                payload: quorum.payload,
            },
            messages::Body::JoinGroup(join) => handles::GroupRequest::Join(join),
            messages::Body::EndpointNotices(notices) => {
                let now = self.clock.now();
                return self.directory().observe_relayed(notices, now);
            }
            messages::Body::FetchDeployment(fetch) => return self.send_chunk(remote, &fetch),
            other => {
                tracing::debug!(address = %remote.address, ?other, "unexpected message");
                return;
            }
        };
        // The queue fills up while there is no log, for example during a disk failure. The messages
        // are of no use then.
        if self.group.requests.try_send(request).is_err() {
            tracing::debug!(address = %remote.address, "log message dropped");
        }
    }

    /// Sends the part of a deployment that an entry asks for.
    fn send_chunk(&self, remote: network::RemoteProcess, fetch: &messages::FetchDeployment) {
        let chunk = self.history().chunk(fetch);
        match chunk {
            Ok(Some(chunk)) => {
                let kind = if chunk.base_version == 0 {
                    "whole"
                } else {
                    "delta"
                };
                self.metrics.count_deployment_bytes(kind, chunk.data.len());
                self.network
                    .send(remote.address, messages::Body::DeploymentChunk(chunk));
            }
            // The entry asks another host.
            Ok(None) => tracing::info!(
                event = "fetch-refused",
                entry = %remote.address,
                version = fetch.version
            ),
            Err(error) => tracing::error!(
                event = "fetch-refused",
                entry = %remote.address,
                version = fetch.version,
                %error
            ),
        }
    }

    /// Announces a deployment to all entries.
    fn announce(&self, confirmed: bool) {
        let announcement = self.history().announcement(confirmed);
        let entries = self.network.linked_addresses(messages::ProcessKind::Entry);
        tracing::info!(
            event = "deployment-announced",
            version = announcement.version,
            confirmed,
            entries = entries.len()
        );
        let body = messages::Body::DeploymentVersion(announcement);
        self.network.broadcast(messages::ProcessKind::Entry, &body);
    }

    /// Announces each new deployment to the entries.
    pub(crate) async fn announce_deployments(self, shutdown: CancellationToken) {
        let mut view = self.group.view.clone();
        let mut announced = 0;
        let mut led = false;
        loop {
            let (document, leads) = {
                let view = view.borrow_and_update();
                self.metrics.record_view(&view);
                (view.document.clone(), view.leads)
            };
            if document.version > announced {
                announced = document.version;
                self.history().record(&document);
                self.announce(false);
                self.confirmation_wanted.notify_one();
            }
            if leads && !led {
                self.confirmation_wanted.notify_one();
            }
            led = leads;
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    }

    /// While this host leads, confirms to the entries which deployment is the newest. Entries that
    /// have just started wait for it, since another host may be behind.
    pub(crate) async fn confirm_deployments(self, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.confirmation_wanted.notified() => {}
            }
            if !self.group.view.borrow().leads {
                continue;
            }
            let read = tokio::select! {
                read = self.group.read() => read,
                () = self.clock.sleep(self.options.call_limit()) => {
                    Err(errors::GroupError::Unavailable)
                }
            };
            match read {
                Ok(document) if document.version > 0 => {
                    self.history().record(&document);
                    self.announce(true);
                }
                Ok(_) => {}
                // While the host leads, it tries again until a quorum answers.
                Err(_) => self.confirmation_wanted.notify_one(),
            }
            self.clock.sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Periodically sends entries the endpoints that are alive and the addresses of the other
    /// processes, and updates the links to the other control hosts.
    pub(crate) async fn run_updates(self, shutdown: CancellationToken) {
        let mut hosts = messages::FleetHosts::default();
        let mut next_hosts = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_hosts {
                next_hosts = now + HOSTS_CHECK_INTERVAL;
                self.directory().expire(now);
                self.update_links();
                let current_hosts = self.fleet_hosts();
                if current_hosts != hosts {
                    hosts.clone_from(&current_hosts);
                    let body = messages::Body::FleetHosts(current_hosts);
                    self.network.broadcast(messages::ProcessKind::Entry, &body);
                }
            }
            self.pass_on_refreshes(now);
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.clock.sleep(REFRESH_INTERVAL) => {}
            }
        }
    }

    /// Sends the notices without a change that are due to entries and to other control hosts.
    fn pass_on_refreshes(&self, now: Instant) {
        let (refreshes, relay) = {
            let mut directory = self.directory();
            (directory.take_refreshes(), directory.take_relay(now))
        };
        if !refreshes.notices.is_empty() {
            let body = messages::Body::EndpointNotices(refreshes);
            self.network.broadcast(messages::ProcessKind::Entry, &body);
        }
        if let Some(relay) = relay {
            let body = messages::Body::EndpointNotices(relay);
            self.network
                .broadcast(messages::ProcessKind::Control, &body);
        }
    }

    fn update_links(&self) {
        let mut wanted: HashSet<_> = self.group.view.borrow().members.iter().copied().collect();
        let seeds = self.seeds.borrow().clone();
        wanted.extend(
            seeds
                .into_iter()
                .map(|seed| self.options.link_address_of(seed)),
        );
        wanted.extend(
            self.network
                .linked_addresses(messages::ProcessKind::Control),
        );
        self.network.set_dial_targets(&wanted);
    }
}
