//! Known agents: their links, their loads, and the models and services that they serve.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use waxwing_client::directory;
use waxwing_core::{clock, counters, ids, units};
use waxwing_policy::{choice, prefixes};
use waxwing_wire::{links, messages, security};

use crate::{agent_links, routes};

/// Maximum number of cancellations that wait for the link to an agent. A dropped one costs little,
/// since an agent cancels the work of a lost link by itself after 5 s.
const MAX_PENDING_CANCELS: usize = 1_024;

/// Assumed one-way latency to another data centre of the region; agents don't measure it.
const CROSS_DATA_CENTRE_LATENCY: Duration = Duration::from_micros(1_500);
/// Assumed one-way latency to another region; agents don't measure it.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(20);

/// What an agent announces in the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentInfo {
    /// The address that the agent accepts links on.
    pub address: SocketAddr,
    /// Loaded models.
    pub models: Vec<String>,
    /// Plain services that the agent serves.
    pub services: Vec<String>,
    /// Whether the directory currently lists the agent.
    pub listed: bool,
    /// Whether the agent announced that it is leaving.
    pub leaving: bool,
}

/// An open link to an agent.
#[derive(Debug)]
pub struct LiveLink {
    /// The sending half.
    pub sender: links::LinkSender,
    /// The incarnation of the agent at the other end.
    pub incarnation: ids::Incarnation,
}

/// An agent, identified by its name; outlives links and restarts of the agent.
#[derive(Debug)]
pub struct AgentHandle {
    /// The id of the agent, unique within this process.
    pub id: choice::EndpointId,
    /// The process name of the agent.
    pub name: String,
    /// The latest announcement.
    pub info: ArcSwap<AgentInfo>,
    /// The link; `None` while it is down.
    pub link: ArcSwapOption<LiveLink>,
    /// The latest reported load.
    pub load: Arc<choice::EndpointLoad>,
    /// Whether the agent refuses new work.
    pub(crate) is_draining: AtomicBool,
    /// Cancellations that could not be sent because the link was down.
    pending_cancels: Mutex<Vec<messages::Body>>,
    /// Stops the task that maintains the link.
    pub(crate) shutdown: CancellationToken,
}

impl AgentHandle {
    /// Closes the endpoint for offers if the agent is draining, leaving, unlisted or not connected;
    /// otherwise opens it.
    pub(crate) fn update_availability(&self) {
        let info = self.info.load();
        let unavailable = self.is_draining.load(Ordering::Relaxed) || info.leaving || !info.listed;
        self.load
            .set_closed(unavailable || self.link.load().is_none());
    }

    /// Queues a cancellation for the next link to the same incarnation of the agent.
    pub fn queue_cancel(&self, body: messages::Body) {
        let mut cancels = routes::lock(&self.pending_cancels);
        if cancels.len() < MAX_PENDING_CANCELS {
            cancels.push(body);
        }
    }

    pub(crate) fn take_pending_cancels(&self) -> Vec<messages::Body> {
        std::mem::take(&mut routes::lock(&self.pending_cancels))
    }
}

/// Immutable view of the agent table, read without locks on the request path.
#[derive(Debug, Default)]
pub struct AgentSnapshot {
    /// Agents by id.
    pub by_id: HashMap<choice::EndpointId, Arc<AgentHandle>>,
    models: HashMap<String, Vec<Arc<choice::EndpointLoad>>>,
    services: HashMap<String, Vec<Arc<choice::EndpointLoad>>>,
}

impl AgentSnapshot {
    /// Returns the endpoints that have `model` loaded.
    #[must_use]
    pub fn model_endpoints(&self, model: &str) -> &[Arc<choice::EndpointLoad>] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints that serve the plain service.
    #[must_use]
    pub fn service_endpoints(&self, service: &str) -> &[Arc<choice::EndpointLoad>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Dependencies of the tasks that maintain the links to agents.
#[derive(Debug, Clone)]
pub struct LinkContext<C> {
    /// The message by which this process identifies itself.
    pub hello: messages::Hello,
    /// The region of this process.
    pub region: ids::RegionName,
    /// How links are secured.
    pub security: security::LinkSecurity,
    /// Event queues of the requests in flight.
    pub routes: routes::RouteTable,
    /// Which endpoints have probably cached which prompt prefix.
    pub prefixes: Arc<Mutex<prefixes::PrefixMap>>,
    /// Counters of link events.
    pub counters: counters::CounterSet,
    /// The clock of timers.
    pub clock: C,
    /// Tracks the spawned tasks.
    pub tasks: TaskTracker,
    /// Closes all links when cancelled.
    pub shutdown: CancellationToken,
}

/// All known agents; maintains one link to each.
#[derive(Debug)]
pub struct AgentTable<C> {
    context: LinkContext<C>,
    by_name: Mutex<HashMap<String, Arc<AgentHandle>>>,
    snapshot: ArcSwap<AgentSnapshot>,
    next_id: std::sync::atomic::AtomicU32,
}

impl<C: clock::Clock> AgentTable<C> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(context: LinkContext<C>) -> Arc<Self> {
        Arc::new(Self {
            context,
            by_name: Mutex::default(),
            snapshot: ArcSwap::default(),
            next_id: std::sync::atomic::AtomicU32::new(0),
        })
    }

    /// Returns the current snapshot of the table.
    #[must_use]
    pub fn snapshot(&self) -> arc_swap::Guard<Arc<AgentSnapshot>> {
        self.snapshot.load()
    }

    /// Updates the table from a directory view.
    pub fn apply(self: &Arc<Self>, directory: &directory::DirectoryView) {
        for member in directory.members.values() {
            self.apply_announcement(member);
        }
        for (name, handle) in routes::lock(&self.by_name).iter() {
            if !directory.members.contains_key(name) {
                mark_unlisted(handle);
            }
        }
        self.rebuild();
    }

    /// Returns the agent named in a claim. If it is unknown, adds it as not listed in the directory
    /// and connects to it; `None` if the address is not valid.
    pub fn get_or_connect(self: &Arc<Self>, name: &str, address: &str) -> Option<Arc<AgentHandle>> {
        if let Some(handle) = routes::lock(&self.by_name).get(name) {
            return Some(handle.clone());
        }
        let info = AgentInfo {
            address: address.parse().ok()?,
            models: Vec::new(),
            services: Vec::new(),
            listed: false,
            leaving: false,
        };
        let nominal_rate = units::TokenRate::default();
        let handle = self.insert(name, info, Duration::ZERO, nominal_rate);
        self.rebuild();
        Some(handle)
    }

    fn apply_announcement(self: &Arc<Self>, member: &messages::Announce) -> Option<()> {
        let process = member.process.as_ref()?;
        let endpoint = member.endpoint.as_ref()?;
        if process.kind() != messages::ProcessKind::Agent {
            return None;
        }
        let info = AgentInfo {
            address: member.address.parse().ok()?,
            models: endpoint.models.clone(),
            services: endpoint.services.clone(),
            listed: true,
            leaving: member.leaving,
        };
        let known = routes::lock(&self.by_name).get(&process.name).cloned();
        match known {
            Some(handle) => {
                handle.info.store(Arc::new(info));
                handle.update_availability();
            }
            None => {
                let latency = self.latency(&process.data_centre, &member.region);
                let nominal_rate = units::TokenRate(endpoint.prefill_rate);
                self.insert(&process.name, info, latency, nominal_rate);
            }
        }
        Some(())
    }

    fn latency(&self, data_centre: &str, region: &str) -> Duration {
        if region != self.context.region.as_str() {
            CROSS_REGION_LATENCY
        } else if data_centre != self.context.hello.data_centre {
            CROSS_DATA_CENTRE_LATENCY
        } else {
            Duration::ZERO
        }
    }

    fn insert(
        self: &Arc<Self>,
        name: &str,
        info: AgentInfo,
        latency: Duration,
        nominal_rate: units::TokenRate,
    ) -> Arc<AgentHandle> {
        let id = choice::EndpointId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let handle = Arc::new(AgentHandle {
            id,
            name: name.to_owned(),
            info: ArcSwap::from_pointee(info),
            link: ArcSwapOption::empty(),
            load: Arc::new(choice::EndpointLoad::new(id, latency, nominal_rate)),
            is_draining: AtomicBool::new(false),
            pending_cancels: Mutex::default(),
            shutdown: self.context.shutdown.child_token(),
        });
        handle.update_availability();
        routes::lock(&self.by_name).insert(name.to_owned(), handle.clone());
        let supervisor = agent_links::LinkSupervisor::new(
            self.context.clone(),
            handle.clone(),
            Arc::downgrade(self),
        );
        self.context.tasks.spawn(supervisor.run());
        handle
    }

    /// Removes an agent that the directory doesn't list and that is unreachable.
    pub(crate) fn remove_agent(&self, handle: &AgentHandle) {
        handle.shutdown.cancel();
        routes::lock(&self.by_name).retain(|_, other| other.id != handle.id);
        routes::lock(&self.context.prefixes).forget(handle.id);
        self.rebuild();
    }

    /// Applies the models that an agent reports, which change without an announcement.
    pub(crate) fn set_models(&self, handle: &AgentHandle, models: &[String]) {
        let info = handle.info.load();
        if !models.is_empty() && info.models != models {
            let mut changed = AgentInfo::clone(&info);
            changed.models = models.to_vec();
            handle.info.store(Arc::new(changed));
            self.rebuild();
        }
    }

    fn rebuild(&self) {
        let mut snapshot = AgentSnapshot::default();
        let by_name = routes::lock(&self.by_name);
        for handle in by_name.values() {
            snapshot.by_id.insert(handle.id, handle.clone());
            let info = handle.info.load();
            for model in &info.models {
                let list = snapshot.models.entry(model.clone()).or_default();
                list.push(handle.load.clone());
            }
            for service in &info.services {
                let list = snapshot.services.entry(service.clone()).or_default();
                list.push(handle.load.clone());
            }
        }
        // Ordered by id, so that round-robin continues where it was after a rebuild.
        let lists = snapshot
            .models
            .values_mut()
            .chain(snapshot.services.values_mut());
        lists.for_each(|list| list.sort_by_key(|load| load.id()));
        self.snapshot.store(Arc::new(snapshot));
    }
}

fn mark_unlisted(handle: &AgentHandle) {
    let mut info = AgentInfo::clone(&handle.info.load());
    info.listed = false;
    handle.info.store(Arc::new(info));
    handle.update_availability();
}
