//! Exchange with other processes: deployments, endpoint notices and process addresses from control
//! hosts, and load updates with the other entries.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects, hosts, network};
use waxwing_gate::{directories, fetches, pacing};
use waxwing_wire::messages;

use crate::{rollouts, state, statements, suspects};

/// Shortest time between two decisions on queued requests because of the loads of other entries.
/// Loads are some tens of milliseconds old when they arrive, so this adds little to their age.
const PEER_DECISION_INTERVAL: Duration = Duration::from_millis(4);

/// Time between two checks of queued requests for timeouts.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two checks of idle connections and of links to other processes.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Exchanges messages with control hosts and other entries. Clones share the same state.
pub(crate) struct FleetMessenger<C, D, T> {
    pub(crate) state: Arc<state::EntryState<C, D>>,
    pub(crate) control_dialect: T,
    pub(crate) network: network::ProcessNetwork<C>,
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The control hosts and entries that control hosts report.
    reported_hosts: Arc<Mutex<hosts::HostTable>>,
    fetcher: Arc<Mutex<fetches::DeploymentFetcher>>,
    pub(crate) directories: Arc<Mutex<directories::DirectoryFetcher>>,
    /// To whom reports on roll-outs go.
    pub(crate) reporter: Arc<Mutex<rollouts::RolloutReporter>>,
    /// Wakes the task that asks again for a deployment or for notices.
    fetch_changed: Arc<Notify>,
}

impl<C: Clone, D, T: Clone> Clone for FleetMessenger<C, D, T> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            control_dialect: self.control_dialect.clone(),
            network: self.network.clone(),
            seeds: self.seeds.clone(),
            reported_hosts: self.reported_hosts.clone(),
            fetcher: self.fetcher.clone(),
            directories: self.directories.clone(),
            reporter: self.reporter.clone(),
            fetch_changed: self.fetch_changed.clone(),
        }
    }
}

impl<C, D, T> FleetMessenger<C, D, T>
where
    C: Clock,
    D: dialects::RequestDialect,
    T: dialects::ControlDialect,
{
    pub(crate) fn new(
        state: Arc<state::EntryState<C, D>>,
        control_dialect: T,
        network: network::ProcessNetwork<C>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> Self {
        let fetcher = fetches::DeploymentFetcher::new(state.options.link_address);
        let directories = directories::DirectoryFetcher::new(state.options.link_address);
        let reporter = rollouts::RolloutReporter::new(state.clock.now());
        Self {
            directories: Arc::new(Mutex::new(directories)),
            fetcher: Arc::new(Mutex::new(fetcher)),
            reporter: Arc::new(Mutex::new(reporter)),
            fetch_changed: Arc::default(),
            state,
            control_dialect,
            network,
            seeds,
            reported_hosts: Arc::default(),
        }
    }

    /// Handles opened and closed links and received messages until the network ends.
    pub(crate) async fn serve_links(self, mut events: mpsc::Receiver<network::NetworkEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                network::NetworkEvent::Opened(remote) => self.handle_opened(remote),
                network::NetworkEvent::Closed(remote) => self.handle_closed(remote),
                network::NetworkEvent::Received(remote, body) => self.handle_message(remote, *body),
            }
        }
    }

    /// Sends a load update with a full snapshot over a new link that this entry opened to another.
    fn handle_opened(&self, remote: network::RemoteProcess) {
        if remote.kind == messages::ProcessKind::Entry && remote.dialled {
            let now = self.state.clock.now();
            let update = self.state.gate().core.take_update(now, true);
            self.network
                .send(remote.address, messages::Body::LoadUpdate(update));
        }
    }

    /// Drops the state of another process once it has no link left.
    fn handle_closed(&self, remote: network::RemoteProcess) {
        if self
            .network
            .linked_addresses(remote.kind)
            .contains(&remote.address)
        {
            return;
        }
        match remote.kind {
            messages::ProcessKind::Entry => {
                let now = self.state.clock.now();
                self.state.gate().core.forget_peer(now, remote.address);
            }
            messages::ProcessKind::Control => {
                let now = self.state.clock.now();
                self.reported_hosts().end_report(now, remote.address);
                self.fetcher().forget(remote.address);
                self.send_fetch();
                self.directories().forget(remote.address);
                self.send_directory_fetch();
                self.forget_rollout_leader(remote.address);
            }
            _ => {}
        }
    }

    fn fetcher(&self) -> MutexGuard<'_, fetches::DeploymentFetcher> {
        self.fetcher
            .lock()
            .expect("no panic occurs while the fetcher is locked")
    }

    /// Sends the request for a part of a deployment that is due, if there is one.
    fn send_fetch(&self) {
        let order = self.fetcher().next_order(self.state.clock.now());
        if let Some(order) = order {
            let body = messages::Body::FetchDeployment(order.fetch);
            self.network.send(order.control, body);
        }
        self.wake_fetches();
    }

    pub(crate) fn wake_fetches(&self) {
        self.fetch_changed.notify_one();
    }

    /// Asks another control host for a deployment or for notices when one doesn't send them in time.
    pub(crate) async fn run_fetches(self, shutdown: CancellationToken) {
        loop {
            let now = self.state.clock.now();
            let checks = [
                self.fetcher().next_check(now),
                self.directories().next_check(now),
            ];
            let check = checks.into_iter().flatten().min();
            let changed = self.fetch_changed.notified();
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = changed => continue,
                () = self.state.clock.sleep(check.unwrap_or(MAINTENANCE_INTERVAL)) => {}
            }
            self.send_fetch();
            self.send_directory_fetch();
        }
    }

    fn handle_message(&self, remote: network::RemoteProcess, body: messages::Body) {
        let now = self.state.clock.now();
        match body {
            messages::Body::DeploymentVersion(offer) => {
                self.fetcher().offer(now, remote.address, offer);
                self.report_ready();
                self.send_fetch();
            }
            messages::Body::DeploymentChunk(chunk) => {
                self.handle_chunk(remote, chunk);
                self.send_fetch();
            }
            messages::Body::EndpointNotices(notices) => self.apply_notices(notices),
            messages::Body::DirectorySummary(summary) => self.compare_directory(remote, summary),
            messages::Body::NoticeGroups(groups) => self.apply_notice_groups(remote, &groups),
            messages::Body::EndpointRefreshes(refreshes) => {
                self.apply_refreshes(remote.address, &refreshes);
            }
            messages::Body::FleetHosts(hosts) => self.update_hosts(remote, &hosts),
            messages::Body::RolloutTerms(terms) => self.apply_rollout_terms(remote, &terms),
            messages::Body::LoadUpdate(update) => {
                let mut gate = self.state.gate();
                let blocked = gate.core.apply_update(now, remote.address, update);
                let changes = gate.core.take_limit_changes();
                drop(gate);
                suspects::report_blocked(&self.state, blocked);
                statements::report_limits(&self.state, changes);
                self.state.peer_loads_changed.notify_one();
            }
            other => tracing::debug!(address = %remote.address, ?other, "unexpected message"),
        }
    }

    /// Takes a part of a deployment, and applies the deployment once it is complete.
    fn handle_chunk(&self, remote: network::RemoteProcess, chunk: messages::DeploymentChunk) {
        let now = self.state.clock.now();
        let version = chunk.version;
        let effect = self.fetcher().receive(now, remote.address, chunk);
        match effect {
            fetches::ChunkEffect::Complete(document) => {
                tracing::info!(
                    event = "deployment-received",
                    control = %remote.address,
                    version,
                    bytes = document.body.len(),
                    patch_bytes = document.patch_bytes,
                    delta = document.is_delta,
                    took_ms = document.took.as_millis()
                );
                let kind = if document.is_delta { "delta" } else { "whole" };
                self.state.metrics.count_fetch(kind);
                self.apply_deployment(document);
            }
            fetches::ChunkEffect::Damaged => {
                self.state.metrics.count_fetch("damaged");
                tracing::warn!(
                    event = "deployment-damaged",
                    control = %remote.address,
                    version,
                    "fetching the whole document"
                );
            }
            fetches::ChunkEffect::Added | fetches::ChunkEffect::Ignored => {}
        }
    }

    /// Puts a deployment into force.
    fn apply_deployment(&self, document: fetches::FetchedDocument) {
        let received = self.state.clock.now();
        let held = self.fetcher().held_version();
        let version = document.version;
        let parsed = self.control_dialect.deployment(&document.body);
        let deployment = match parsed.and_then(deployments::FleetDeployment::new) {
            Ok(deployment) => deployment,
            Err(error) => {
                self.state.metrics.count_fetch("unreadable");
                tracing::error!(event = "deployment-unreadable", version, %error);
                self.fetcher().refuse(version);
                return;
            }
        };
        let now = self.state.clock.now();
        tracing::info!(
            event = "deployment-in-force",
            version,
            held,
            parse_ms = now.saturating_duration_since(received).as_millis()
        );
        let accounts = deployment.accounts().iter();
        let quotas = accounts.filter_map(|account| Some((&account.name, account.quota.as_ref()?)));
        self.state.gate().core.quotas.configure(now, quotas);
        self.state.deployment.store(Some(Arc::new(deployment)));
        self.fetcher().hold(now, version, document.body);
        self.report_ready();
    }

    /// Makes the entry ready once it holds a deployment that a quorum confirmed as the newest.
    fn report_ready(&self) {
        let (confirmed, version) = {
            let fetcher = self.fetcher();
            (fetcher.is_confirmed(), fetcher.held_version())
        };
        if confirmed && self.state.confirm_deployment() {
            tracing::info!(event = "entry-ready", version);
        }
    }

    fn reported_hosts(&self) -> MutexGuard<'_, hosts::HostTable> {
        self.reported_hosts
            .lock()
            .expect("no panic occurs while the host table is locked")
    }

    /// Takes a list of processes from a control host and updates the links.
    fn update_hosts(&self, remote: network::RemoteProcess, hosts: &messages::FleetHosts) {
        let parse = |texts: &[String]| -> HashSet<SocketAddr> {
            texts.iter().filter_map(|text| text.parse().ok()).collect()
        };
        let mut reported = parse(&hosts.entries);
        let own_address = self.state.options.link_address;
        let others = reported.iter().filter(|entry| **entry != own_address);
        let others: Vec<_> = others.copied().collect();
        reported.extend(parse(&hosts.control));
        let now = self.state.clock.now();
        self.reported_hosts().record(now, remote.address, reported);
        self.state.gate().core.expect_peers(now, &others);
        self.update_links();
    }

    /// Opens links to all reported processes and to the control hosts in the settings, and closes
    /// other links that this entry opened.
    fn update_links(&self) {
        let mut linked = self
            .network
            .linked_addresses(messages::ProcessKind::Control);
        linked.extend(self.network.linked_addresses(messages::ProcessKind::Entry));
        let now = self.state.clock.now();
        let mut wanted: HashSet<_> = self.reported_hosts().targets(now, &linked).collect();
        let seeds = self.seeds.borrow().clone();
        let options = &self.state.options;
        wanted.extend(seeds.into_iter().map(|seed| options.link_address_of(seed)));
        self.network.set_dial_targets(&wanted);
    }

    fn log_loads(&self, now: std::time::Instant) {
        let loads = self.state.gate().core.loads(now);
        for load in loads {
            tracing::info!(
                event = "service-load",
                service = %load.service,
                endpoints = load.endpoints,
                usable = load.usable,
                slots = load.slots,
                running = load.running,
                own = load.own,
                waiting = load.waiting,
                limited = load.limited,
                shortage = load.shortage
            );
        }
    }

    /// Sends load updates with the changes to the other entries, at most once per interval.
    pub(crate) async fn send_updates(self, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.state.updates.notified() => {}
            }
            let now = self.state.clock.now();
            let update = self.state.gate().core.take_update(now, false);
            let body = messages::Body::LoadUpdate(update);
            self.network.broadcast(messages::ProcessKind::Entry, &body);
            let peers = self
                .network
                .linked_addresses(messages::ProcessKind::Entry)
                .len();
            self.state.clock.sleep(pacing::update_interval(peers)).await;
        }
    }

    /// Decides on queued requests after other entries have told their loads. Updates that arrive
    /// close together are decided on once: with many entries hundreds arrive in a second.
    pub(crate) async fn decide_on_peer_loads(self, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.state.peer_loads_changed.notified() => {}
            }
            self.state.dispatch_decisions();
            self.state.clock.sleep(PEER_DECISION_INTERVAL).await;
        }
    }

    /// Periodically checks queued requests, idle connections and links, and logs the loads.
    pub(crate) async fn run_maintenance(self, shutdown: CancellationToken) {
        let mut next = self.state.clock.now();
        loop {
            let now = self.state.clock.now();
            if now >= next {
                next = now + MAINTENANCE_INTERVAL;
                self.update_links();
                let known: HashSet<_> = {
                    let gate = self.state.gate();
                    gate.core.endpoint_ids().cloned().collect()
                };
                self.state
                    .pool
                    .prune(now, |endpoint| known.contains(endpoint));
                self.log_loads(now);
                let counters = self.network.counters();
                self.state.metrics.record_link_bytes(counters);
            }
            let check_interval = match self.state.gate().core.waiting() {
                0 => MAINTENANCE_INTERVAL,
                _ => QUEUE_CHECK_INTERVAL,
            };
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.state.clock.sleep(check_interval) => self.state.dispatch_decisions(),
                // The request was decided on when it was queued; only the interval changes.
                () = self.state.request_queued.notified() => {}
            }
        }
    }
}
