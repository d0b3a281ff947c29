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
use waxwing_fleet::{hosts, network, registry};
use waxwing_process::bodies;
use waxwing_wire::messages;

use crate::{departures, directory, errors, handles, history, metrics, options, rollouts};

/// Time for which notices without a change are batched before others are told of them, who need them
/// only to know that the endpoint is alive.
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
    /// Memory of the bodies of calls.
    pub(crate) body_memory: bodies::MemoryBudget,
    pub(crate) group: handles::GroupHandle,
    pub(crate) network: network::ProcessNetwork<C>,
    pub(crate) metrics: metrics::RegistrarMetrics,
    pub(crate) rollouts: rollouts::RolloutHandle,
    directory: Arc<Mutex<directory::EndpointDirectory>>,
    /// Wakes the calls that wait until a departure is committed.
    pub(crate) departures_changed: Arc<Notify>,
    /// Control hosts to which the departures are sent once a quorum has confirmed them.
    uninformed: Arc<Mutex<departures::UninformedHosts>>,
    /// Entries that may lack changes of endpoints, since their link has just opened or their queue was full.
    late_entries: Arc<Mutex<HashSet<SocketAddr>>>,
    /// Departures that were not acknowledged in time and are still tried.
    late_departures: Arc<Mutex<HashSet<messages::EndpointDeparture>>>,
    /// Control hosts that other ones report. A new host finds the leader by them.
    reported_hosts: Arc<Mutex<hosts::HostTable>>,
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
            body_memory: options.body_budget(),
            options: Arc::new(options),
            clock,
            group,
            network,
            metrics,
            rollouts: rollouts::RolloutHandle::default(),
            directory: Arc::default(),
            departures_changed: Arc::default(),
            uninformed: Arc::default(),
            late_entries: Arc::default(),
            late_departures: Arc::default(),
            reported_hosts: Arc::default(),
            history: Arc::default(),
            confirmation_wanted: Arc::default(),
            seeds,
        }
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, directory::EndpointDirectory> {
        self.directory
            .lock()
            .expect("no thread panics while it holds the lock of the directory")
    }

    fn history(&self) -> MutexGuard<'_, history::DeploymentHistory> {
        self.history
            .lock()
            .expect("no thread panics while it holds the lock of the history")
    }

    pub(crate) fn late_departures(&self) -> MutexGuard<'_, HashSet<messages::EndpointDeparture>> {
        self.late_departures
            .lock()
            .expect("no thread panics while it holds the lock of the late departures")
    }

    fn uninformed(&self) -> MutexGuard<'_, departures::UninformedHosts> {
        self.uninformed
            .lock()
            .expect("no thread panics while it holds the lock of the hosts")
    }

    fn late_entries(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.late_entries
            .lock()
            .expect("no thread panics while it holds the lock of the late entries")
    }

    fn reported_hosts(&self) -> MutexGuard<'_, hosts::HostTable> {
        self.reported_hosts
            .lock()
            .expect("no thread panics while it holds the lock of the reported hosts")
    }

    /// Handles the deregistration of an endpoint; `stated_born` is the start time in the call, in
    /// Unix milliseconds.
    ///
    /// # Errors
    /// Fails if the departure was not recorded in time.
    pub(crate) async fn deregister(
        &self,
        id: &str,
        stated_born: Option<u64>,
    ) -> Result<(), errors::GroupError> {
        let wall_millis = self.clock.wall_millis();
        let notice = self
            .directory()
            .deregistration(id, stated_born, wall_millis);
        self.handle_notice(notice).await
    }

    /// Handles a notice from an endpoint. A change is queued for all linked entries and control
    /// hosts before this returns. A departure is committed too, so that no late notice brings the
    /// endpoint back once it got its acknowledgement, even if all processes are lost.
    ///
    /// # Errors
    /// Fails if the endpoint leaves and its departure was not recorded in time, or if this host has nobody
    /// to tell. The endpoint then asks another host.
    pub(crate) async fn handle_notice(
        &self,
        notice: messages::EndpointNotice,
    ) -> Result<(), errors::GroupError> {
        let leaves = notice.phase() != messages::EndpointPhase::Ready;
        // Without a start time, a departure can't be told from that of the next life. The registry
        // then keeps it for as long as the process runs.
        let born = notice.born.filter(|_| leaves);
        let departure = born.map(|born| messages::EndpointDeparture {
            id: notice.id.clone(),
            born,
        });
        self.apply_notice(notice);
        match departure {
            Some(departure) => self.record_departure(departure).await,
            None if self.is_isolated() => {
                self.metrics.count_notice("isolated");
                Err(errors::GroupError::Unavailable)
            }
            None => Ok(()),
        }
    }

    /// Tells whether this host is linked to no other process and has no group, as a new host whose
    /// settings name only hosts that are gone. What endpoints tell it reaches no entry. A member knows the
    /// other members by its log, so that its links come back.
    fn is_isolated(&self) -> bool {
        let is_linked = |kind| !self.network.linked_addresses(kind).is_empty();
        self.group.view.borrow().awaits_membership
            && !is_linked(messages::ProcessKind::Control)
            && !is_linked(messages::ProcessKind::Entry)
    }

    fn apply_notice(&self, notice: messages::EndpointNotice) {
        let (effect, is_complete) = {
            let mut directory = self.directory();
            let effect = directory.observe(notice.clone(), self.clock.now());
            (effect, directory.is_complete())
        };
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
                // That an endpoint leaves is true whatever else has left.
                let told = is_complete || notice.phase() != messages::EndpointPhase::Ready;
                let notices = vec![notice];
                let body = messages::Body::EndpointNotices(messages::EndpointNotices { notices });
                if told {
                    self.tell_entries(&body);
                }
                self.network
                    .broadcast(messages::ProcessKind::Control, &body);
            }
        }
    }

    /// Returns the control hosts that this one knows by the log or by a link. Hosts that others only
    /// report are left out, so that hosts don't keep each other's reports of a lost one alive.
    fn control_hosts(&self) -> messages::FleetHosts {
        let members = self.group.view.borrow().members.clone();
        let mut control: HashSet<_> = members.into_iter().collect();
        control.extend(
            self.network
                .linked_addresses(messages::ProcessKind::Control),
        );
        control.insert(self.options.link_address);
        messages::FleetHosts {
            control: sorted_texts(&control),
            entries: Vec::new(),
        }
    }

    /// Returns what entries are told: the same control hosts, and the linked entries.
    fn fleet_hosts(&self) -> messages::FleetHosts {
        let entries = self.network.linked_addresses(messages::ProcessKind::Entry);
        messages::FleetHosts {
            entries: sorted_texts(&entries),
            ..self.control_hosts()
        }
    }

    /// Takes the control hosts that another one knows, and dials those that are new here.
    fn learn_hosts(&self, reporter: SocketAddr, reported: &messages::FleetHosts) {
        let addresses = reported.control.iter();
        let addresses = addresses.filter_map(|text| text.parse().ok());
        let now = self.clock.now();
        self.reported_hosts()
            .record(now, reporter, addresses.collect());
        self.update_links(now);
    }

    /// Drops what a control host reported once it has no link left.
    fn handle_closed(&self, remote: network::RemoteProcess) {
        let linked = self.network.linked_addresses(remote.kind);
        if remote.kind == messages::ProcessKind::Control && !linked.contains(&remote.address) {
            self.reported_hosts()
                .end_report(self.clock.now(), remote.address);
            self.uninformed().link_closed(remote.address);
        }
    }

    /// Sends the full state to a process whose link has just opened.
    fn send_full_state(&self, remote: network::RemoteProcess) {
        let address = remote.address;
        if remote.kind == messages::ProcessKind::Control {
            let notices = self.directory().all_notices(self.clock.now());
            self.network
                .send(address, messages::Body::EndpointNotices(notices));
            let hosts = messages::Body::FleetHosts(self.control_hosts());
            self.network.send(address, hosts);
            self.uninformed().link_opened(address);
            self.confirmation_wanted.notify_one();
        }
        if remote.kind == messages::ProcessKind::Entry {
            self.late_entries().insert(address);
            self.tell_late_entries();
            let announcement = self.history().announcement(false);
            self.network
                .send(address, messages::Body::DeploymentVersion(announcement));
            self.confirmation_wanted.notify_one();
            let hosts = self.fleet_hosts();
            self.network
                .send(address, messages::Body::FleetHosts(hosts));
        }
    }

    /// Tells all linked entries of changes of endpoints. Those whose queue is full are told of all
    /// endpoints later, since a change isn't repeated.
    pub(crate) fn tell_entries(&self, body: &messages::Body) {
        let missed = self.network.broadcast(messages::ProcessKind::Entry, body);
        self.late_entries().extend(missed);
    }

    /// Tells entries that may lack changes of all endpoints. Those whose queue is still full stay late.
    fn tell_late_entries(&self) {
        let late = std::mem::take(&mut *self.late_entries());
        if late.is_empty() {
            return;
        }
        let linked = self.linked_entries();
        let bodies = self.directory_messages();
        let is_late = |entry: &SocketAddr| {
            let mut bodies = bodies.iter();
            !bodies.all(|body| self.network.send(*entry, body.clone()))
        };
        let still_late = late.intersection(&linked).filter(|entry| is_late(entry));
        let still_late: Vec<_> = still_late.copied().collect();
        tracing::info!(
            event = "directory-sent",
            entries = late.len(),
            full_queues = still_late.len()
        );
        self.late_entries().extend(still_late);
    }

    /// Returns what entries are told of the endpoints when their link opens, when they missed changes,
    /// or when this host has learnt all departures. They ask for the notices that they lack.
    pub(crate) fn directory_messages(&self) -> Vec<messages::Body> {
        let directory = self.directory();
        let Some(summary) = directory.summary() else {
            return Vec::new();
        };
        let departures = directory.unlisted_departures();
        vec![
            messages::Body::EndpointNotices(departures),
            messages::Body::DirectorySummary(summary),
        ]
    }

    /// Sends the notices that an entry asks for.
    fn send_notices(&self, remote: network::RemoteProcess, fetch: messages::FetchNotices) {
        let now = self.clock.now();
        let groups = self.directory().notice_groups(fetch, now);
        match groups {
            Ok(Some(groups)) => {
                let body = messages::Body::NoticeGroups(groups);
                self.network.send(remote.address, body);
            }
            // The entry asks another host.
            Ok(None) => {}
            Err(error) => {
                tracing::error!(event = "fetch-refused", entry = %remote.address, %error);
            }
        }
    }

    /// Handles link events until the network shuts down.
    pub(crate) async fn serve_links(self, mut events: mpsc::Receiver<network::NetworkEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                network::NetworkEvent::Opened(remote) => self.send_full_state(remote),
                network::NetworkEvent::Closed(remote) => self.handle_closed(remote),
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
            messages::Body::FleetHosts(hosts) => return self.learn_hosts(remote.address, &hosts),
            messages::Body::EndpointNotices(notices) => return self.take_relayed(notices),
            messages::Body::EndpointRefreshes(refreshes) => {
                let now = self.clock.now();
                return self.directory().observe_refreshes(&refreshes, now);
            }
            messages::Body::FetchDeployment(fetch) => return self.send_chunk(remote, &fetch),
            messages::Body::FetchNotices(fetch) => return self.send_notices(remote, fetch),
            messages::Body::RecordDepartures(request) => {
                return self.spawn_recording(request.departures, Some(remote.address));
            }
            messages::Body::RecordedDepartures(recorded) => {
                return self.learn_departures(&recorded.departures, recorded.whole);
            }
            messages::Body::RolloutReports(reports) => {
                return self.observe_rollouts(remote.address, &reports);
            }
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

    /// Takes notices that another control host received, and tells entries of the endpoints that leave.
    fn take_relayed(&self, notices: messages::EndpointNotices) {
        let now = self.clock.now();
        let leaving = self.directory().observe_relayed(notices, now);
        if !leaving.notices.is_empty() {
            self.tell_entries(&messages::Body::EndpointNotices(leaving));
        }
    }

    /// Sends the part of a deployment that an entry asks for.
    fn send_chunk(&self, remote: network::RemoteProcess, fetch: &messages::FetchDeployment) {
        let chunk = self.history().chunk(fetch);
        match chunk {
            Ok(Some(chunk)) => {
                let kind = match chunk.base_version {
                    Some(_) => "delta",
                    None => "whole",
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

    pub(crate) fn linked_entries(&self) -> HashSet<SocketAddr> {
        self.network.linked_addresses(messages::ProcessKind::Entry)
    }

    /// Announces a deployment to entries.
    fn announce(&self, confirmed: bool, entries: &HashSet<SocketAddr>) {
        let announcement = self.history().announcement(confirmed);
        tracing::info!(
            event = "deployment-announced",
            version = announcement.version,
            confirmed,
            entries = entries.len()
        );
        for entry in entries {
            let body = messages::Body::DeploymentVersion(announcement);
            self.network.send(*entry, body);
        }
    }

    /// Announces each new deployment to the entries, and takes the departures that were committed.
    pub(crate) async fn announce_deployments(self, shutdown: CancellationToken) {
        let mut view = self.group.view.clone();
        let mut announced = None;
        let mut led = false;
        let mut known = Arc::new(departures::DepartureLedger::default());
        loop {
            let (document, leads, departures) = {
                let view = view.borrow_and_update();
                self.metrics.record_view(&view);
                (view.document.clone(), view.leads, view.departures.clone())
            };
            if !Arc::ptr_eq(&known, &departures) {
                self.learn_departures(&departures.to_list().departures, false);
                known = departures;
            }
            let newer = document.filter(|document| Some(document.version) > announced);
            if let Some(document) = newer {
                announced = Some(document.version);
                self.history().record(&document);
                self.announce(false, &self.linked_entries());
                self.confirmation_wanted.notify_one();
            }
            if leads && !led {
                self.uninformed().add_linked();
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
            // A read confirms nothing to a process that has started during it.
            let entries = self.linked_entries();
            let uninformed = self.uninformed().take();
            let read = tokio::select! {
                read = self.group.read() => read,
                () = self.clock.sleep(self.options.call_limit()) => {
                    Err(errors::GroupError::Unavailable)
                }
            };
            match read {
                Ok(document) => {
                    self.share_departures(uninformed);
                    // An entry serves once the deployment is confirmed, so it hears of roll-outs first.
                    self.send_rollout_terms(&entries);
                    if let Some(document) = document {
                        self.history().record(&document);
                        self.announce(true, &entries);
                    }
                }
                // While the host leads, it tries again until a quorum answers.
                Err(_) => {
                    self.uninformed().put_back(&uninformed);
                    self.confirmation_wanted.notify_one();
                }
            }
            self.clock.sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Periodically sends entries the endpoints that are alive, tells processes the addresses of the
    /// others, and updates the links to the other control hosts.
    pub(crate) async fn run_updates(self, shutdown: CancellationToken) {
        let mut hosts = messages::FleetHosts::default();
        let mut next_hosts = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_hosts {
                next_hosts = now + HOSTS_CHECK_INTERVAL;
                self.directory().expire(now);
                self.update_links(now);
                let current_hosts = self.fleet_hosts();
                if current_hosts.control != hosts.control {
                    let body = messages::Body::FleetHosts(self.control_hosts());
                    self.network
                        .broadcast(messages::ProcessKind::Control, &body);
                }
                if current_hosts != hosts {
                    hosts.clone_from(&current_hosts);
                    let body = messages::Body::FleetHosts(current_hosts);
                    self.network.broadcast(messages::ProcessKind::Entry, &body);
                }
            }
            self.pass_on_refreshes(now);
            self.tell_late_entries();
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
        if !refreshes.digests.is_empty() {
            let body = messages::Body::EndpointRefreshes(refreshes);
            self.network.broadcast(messages::ProcessKind::Entry, &body);
            self.network
                .broadcast(messages::ProcessKind::Control, &body);
        }
        if let Some(relay) = relay {
            let body = messages::Body::EndpointNotices(relay);
            self.network
                .broadcast(messages::ProcessKind::Control, &body);
        }
    }

    /// Dials the members of the log, the seeds, and the control hosts that are linked or reported.
    fn update_links(&self, now: Instant) {
        let mut wanted: HashSet<_> = self.group.view.borrow().members.iter().copied().collect();
        let seeds = self.seeds.borrow().clone();
        wanted.extend(
            seeds
                .into_iter()
                .map(|seed| self.options.link_address_of(seed)),
        );
        let linked = self
            .network
            .linked_addresses(messages::ProcessKind::Control);
        wanted.extend(self.reported_hosts().targets(now, &linked));
        wanted.extend(linked);
        self.network.set_dial_targets(&wanted);
    }
}

fn sorted_texts(addresses: &HashSet<SocketAddr>) -> Vec<String> {
    let mut sorted_texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    sorted_texts.sort_unstable();
    sorted_texts
}
