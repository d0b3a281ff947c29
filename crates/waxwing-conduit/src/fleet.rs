//! What an entry learns from control hosts and tells the other entries.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects, network};
use waxwing_wire::messages;

use crate::state;

/// The shortest time between two books; what happens within it shares one message.
const BOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Other entries to which books go at the shortest interval; with more of them the interval grows
/// in proportion, so that the cost of books stays the same for each entry.
const PEERS_PER_INTERVAL: u32 = 4;

/// Time between two looks at waiting requests whose patience may have ended.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at idle connections and at the links to keep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Where the other processes are, as control hosts told.
#[derive(Debug, Default)]
struct KnownHosts {
    control: HashSet<SocketAddr>,
    entries: HashSet<SocketAddr>,
}

/// A `FleetLink` connects an entry with control hosts and other entries; clones share it.
pub(crate) struct FleetLink<C, D, T> {
    pub(crate) state: Arc<state::EntryState<C, D>>,
    pub(crate) documents: T,
    pub(crate) network: network::ProcessNetwork<C>,
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    known: Arc<Mutex<KnownHosts>>,
}

impl<C: Clone, D, T: Clone> Clone for FleetLink<C, D, T> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            documents: self.documents.clone(),
            network: self.network.clone(),
            seeds: self.seeds.clone(),
            known: self.known.clone(),
        }
    }
}

impl<C, D, T> FleetLink<C, D, T>
where
    C: Clock,
    D: dialects::RequestDialect,
    T: dialects::ControlDialect,
{
    pub(crate) fn new(
        state: Arc<state::EntryState<C, D>>,
        documents: T,
        network: network::ProcessNetwork<C>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> Self {
        Self {
            state,
            documents,
            network,
            seeds,
            known: Arc::default(),
        }
    }

    /// Handles what arrives over links.
    pub(crate) async fn serve_links(self, mut events: mpsc::Receiver<network::NetworkEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                network::NetworkEvent::Opened(remote) => self.greet(remote),
                network::NetworkEvent::Closed(remote) => self.take_leave(remote),
                network::NetworkEvent::Received(remote, body) => self.take_message(remote, *body),
            }
        }
    }

    fn greet(&self, remote: network::RemoteProcess) {
        if remote.kind == messages::ProcessKind::Entry && remote.dialled {
            let now = self.state.clock.now();
            let book = self.state.gate().core.take_update(now, true);
            self.network
                .send(remote.address, messages::Body::EntryBook(book));
        }
    }

    fn take_leave(&self, remote: network::RemoteProcess) {
        let linked = self.network.linked(messages::ProcessKind::Entry);
        if remote.kind == messages::ProcessKind::Entry && !linked.contains(&remote.address) {
            let now = self.state.clock.now();
            self.state.gate().core.forget_peer(now, remote.address);
        }
    }

    fn take_message(&self, remote: network::RemoteProcess, body: messages::Body) {
        let now = self.state.clock.now();
        match body {
            messages::Body::DeploymentState(deployment) => self.take_deployment(&deployment),
            messages::Body::EndpointNotices(notices) => {
                let mut gate = self.state.gate();
                for notice in notices.notices {
                    let age = Duration::from_millis(notice.age_millis);
                    let heard = now.checked_sub(age).unwrap_or(now);
                    gate.core.observe_notice(notice, heard);
                }
                drop(gate);
                self.state.pump();
            }
            messages::Body::FleetHosts(hosts) => self.take_hosts(&hosts),
            messages::Body::EntryBook(book) => {
                self.state
                    .gate()
                    .core
                    .apply_update(now, remote.address, book);
                self.state.pump();
            }
            other => tracing::debug!(address = %remote.address, ?other, "unexpected message"),
        }
    }

    fn take_deployment(&self, told: &messages::DeploymentState) {
        let held = self.state.deployment.load();
        let held = held.as_ref().map_or(0, |deployment| deployment.version());
        if told.version > held {
            let read = self.documents.deployment(&told.body);
            match read.and_then(deployments::FleetDeployment::new) {
                Ok(deployment) => {
                    tracing::info!(event = "deployment-in-force", version = told.version, held);
                    let now = self.state.clock.now();
                    let accounts = deployment.accounts().iter();
                    let quotas = accounts
                        .filter_map(|account| Some((&account.name, account.quota.as_ref()?)));
                    self.state.gate().core.quotas.configure(now, quotas);
                    self.state.deployment.store(Some(Arc::new(deployment)));
                }
                Err(error) => {
                    tracing::error!(version = told.version, %error, "unreadable deployment");
                    return;
                }
            }
        }
        if told.confirmed && told.version > 0 && !self.state.settled.swap(true, Ordering::Relaxed) {
            tracing::info!(event = "entry-ready", version = told.version.max(held));
        }
    }

    fn take_hosts(&self, hosts: &messages::FleetHosts) {
        let parse = |texts: &[String]| texts.iter().filter_map(|text| text.parse().ok()).collect();
        let mut known = self
            .known
            .lock()
            .expect("the table of hosts is never left half changed");
        known.control = parse(&hosts.control);
        // Entries that one control host doesn't see may be linked to another one.
        let own = self.state.options.link_address;
        let entries: HashSet<SocketAddr> = parse(&hosts.entries);
        let others: Vec<_> = entries
            .iter()
            .filter(|entry| **entry != own)
            .copied()
            .collect();
        known.entries.extend(entries);
        drop(known);
        let now = self.state.clock.now();
        self.state.gate().core.expect_peers(now, &others);
        self.keep_links();
    }

    fn keep_links(&self) {
        let known = self
            .known
            .lock()
            .expect("the table of hosts is never left half changed");
        let mut wanted: HashSet<_> = known.control.union(&known.entries).copied().collect();
        drop(known);
        let seeds = self.seeds.borrow().clone();
        let options = &self.state.options;
        wanted.extend(seeds.into_iter().map(|seed| options.link_of(seed)));
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
                waiting = load.waiting
            );
        }
    }

    /// Sends a book whenever something has changed, and not more often than the interval.
    pub(crate) async fn send_books(self, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.state.books.notified() => {}
            }
            let now = self.state.clock.now();
            let book = self.state.gate().core.take_update(now, false);
            let body = messages::Body::EntryBook(book);
            self.network.tell(messages::ProcessKind::Entry, &body);
            let peers = self.network.linked(messages::ProcessKind::Entry).len();
            let peers = u32::try_from(peers).unwrap_or(u32::MAX);
            let interval = BOOK_INTERVAL * peers.div_ceil(PEERS_PER_INTERVAL).max(1);
            self.state.clock.sleep(interval).await;
        }
    }

    /// Looks regularly at waiting requests, idle connections and links.
    pub(crate) async fn upkeep(self, shutdown: CancellationToken) {
        let mut next = self.state.clock.now();
        loop {
            let now = self.state.clock.now();
            if now >= next {
                next = now + UPKEEP_INTERVAL;
                self.keep_links();
                let known: HashSet<_> = {
                    let gate = self.state.gate();
                    gate.core.endpoint_ids().cloned().collect()
                };
                self.state
                    .pool
                    .prune(now, |endpoint| known.contains(endpoint));
                self.log_loads(now);
            }
            let pause = match self.state.gate().core.waiting() {
                0 => UPKEEP_INTERVAL,
                _ => QUEUE_INTERVAL,
            };
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.state.clock.sleep(pause) => {}
                () = self.state.queued.notified() => {}
            }
            self.state.pump();
        }
    }
}
