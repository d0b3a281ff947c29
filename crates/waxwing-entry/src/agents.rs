//! The agents that this entry knows: their links, their loads, and which of them serve what.

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

/// Cancellations that wait for the link to an agent at most. The agent ends the work of a lost link
/// by itself after 5 s, so that one that is dropped costs little.
const MAX_OWED: usize = 1_024;

/// Assumed one-way distances; an agent doesn't measure them.
const OTHER_CENTRE: Duration = Duration::from_micros(1_500);
const OTHER_REGION: Duration = Duration::from_millis(20);

/// An `AgentInfo` is what an agent announces.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentInfo {
    /// The address for links.
    pub address: SocketAddr,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Plain services that are offered.
    pub services: Vec<String>,
    /// Whether the directory lists the agent.
    pub listed: bool,
    /// Whether the agent announces that it leaves.
    pub leaving: bool,
}

/// A `LiveLink` is the open link to an agent.
#[derive(Debug)]
pub struct LiveLink {
    /// The sending half.
    pub sender: links::LinkSender,
    /// The incarnation of the agent.
    pub incarnation: ids::Incarnation,
}

/// An `AgentHandle` is one agent, by its name, over all its incarnations.
#[derive(Debug)]
pub struct AgentHandle {
    /// The number of the agent inside this process.
    pub id: choice::EndpointId,
    /// The name.
    pub name: String,
    /// What it announces.
    pub info: ArcSwap<AgentInfo>,
    /// The link, while it is up.
    pub link: ArcSwapOption<LiveLink>,
    /// Its load.
    pub load: Arc<choice::EndpointLoad>,
    pub(crate) refuses: AtomicBool,
    owed: Mutex<Vec<messages::Body>>,
    pub(crate) ended: CancellationToken,
}

impl AgentHandle {
    /// Opens or closes the endpoint for offers by what is known of the agent.
    pub(crate) fn update_closed(&self) {
        let info = self.info.load();
        let refuses = self.refuses.load(Ordering::Relaxed) || info.leaving || !info.listed;
        self.load.set_closed(refuses || self.link.load().is_none());
    }

    /// Keeps a cancellation for the next link of the same incarnation.
    pub fn owe(&self, body: messages::Body) {
        let mut owed = routes::lock(&self.owed);
        if owed.len() < MAX_OWED {
            owed.push(body);
        }
    }

    pub(crate) fn take_owed(&self) -> Vec<messages::Body> {
        std::mem::take(&mut routes::lock(&self.owed))
    }
}

/// An `AgentSnapshot` is the table that the request path reads.
#[derive(Debug, Default)]
pub struct AgentSnapshot {
    /// Agents by number.
    pub by_id: HashMap<choice::EndpointId, Arc<AgentHandle>>,
    models: HashMap<String, Vec<Arc<choice::EndpointLoad>>>,
    services: HashMap<String, Vec<Arc<choice::EndpointLoad>>>,
}

impl AgentSnapshot {
    /// Returns the endpoints that have a model loaded.
    #[must_use]
    pub fn engines(&self, model: &str) -> &[Arc<choice::EndpointLoad>] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints that offer a plain service.
    #[must_use]
    pub fn services(&self, service: &str) -> &[Arc<choice::EndpointLoad>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

/// `LinkContext` is what a link to an agent needs of the entry.
#[derive(Debug, Clone)]
pub struct LinkContext<C> {
    /// The introduction of this process.
    pub hello: messages::Hello,
    /// The region of this process.
    pub region: ids::RegionName,
    /// How links are protected.
    pub security: security::LinkSecurity,
    /// The routes to requests.
    pub routes: routes::RouteTable,
    /// Which endpoint has which prefix.
    pub prefixes: Arc<Mutex<prefixes::PrefixMap>>,
    /// The counters.
    pub counters: counters::CounterSet,
    /// The clock.
    pub clock: C,
    /// The tasks of the process.
    pub tasks: TaskTracker,
    /// Ends all links.
    pub ended: CancellationToken,
}

/// An `AgentTable` keeps one link to each agent of the directory.
#[derive(Debug)]
pub struct AgentTable<C> {
    context: LinkContext<C>,
    by_name: Mutex<HashMap<String, Arc<AgentHandle>>>,
    snapshot: ArcSwap<AgentSnapshot>,
    next_id: std::sync::atomic::AtomicU32,
}

impl<C: clock::Clock> AgentTable<C> {
    /// Builds an empty table.
    #[must_use]
    pub fn new(context: LinkContext<C>) -> Arc<Self> {
        Arc::new(Self {
            context,
            by_name: Mutex::default(),
            snapshot: ArcSwap::default(),
            next_id: std::sync::atomic::AtomicU32::new(0),
        })
    }

    /// Returns the table for the request path.
    #[must_use]
    pub fn snapshot(&self) -> arc_swap::Guard<Arc<AgentSnapshot>> {
        self.snapshot.load()
    }

    /// Takes a view of the directory in.
    pub fn apply(self: &Arc<Self>, directory: &directory::DirectoryView) {
        for member in directory.members.values() {
            self.announce(member);
        }
        for (name, handle) in routes::lock(&self.by_name).iter() {
            if !directory.members.contains_key(name) {
                unlist(handle);
            }
        }
        self.rebuild();
    }

    /// Finds the agent of a claim, which need not be in the directory.
    pub fn reach(self: &Arc<Self>, name: &str, address: &str) -> Option<Arc<AgentHandle>> {
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
        let nominal = units::TokenRate::default();
        let handle = self.insert(name, info, Duration::ZERO, nominal);
        self.rebuild();
        Some(handle)
    }

    fn announce(self: &Arc<Self>, member: &messages::Announce) -> Option<()> {
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
                handle.update_closed();
            }
            None => {
                let distance = self.distance(&process.data_centre, &member.region);
                let nominal = units::TokenRate(endpoint.prefill_rate);
                self.insert(&process.name, info, distance, nominal);
            }
        }
        Some(())
    }

    fn distance(&self, data_centre: &str, region: &str) -> Duration {
        if region != self.context.region.as_str() {
            OTHER_REGION
        } else if data_centre != self.context.hello.data_centre {
            OTHER_CENTRE
        } else {
            Duration::ZERO
        }
    }

    fn insert(
        self: &Arc<Self>,
        name: &str,
        info: AgentInfo,
        distance: Duration,
        nominal: units::TokenRate,
    ) -> Arc<AgentHandle> {
        let id = choice::EndpointId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let handle = Arc::new(AgentHandle {
            id,
            name: name.to_owned(),
            info: ArcSwap::from_pointee(info),
            link: ArcSwapOption::empty(),
            load: Arc::new(choice::EndpointLoad::new(id, distance, nominal)),
            refuses: AtomicBool::new(false),
            owed: Mutex::default(),
            ended: self.context.ended.child_token(),
        });
        handle.update_closed();
        routes::lock(&self.by_name).insert(name.to_owned(), handle.clone());
        let keeper = agent_links::LinkKeeper::new(
            self.context.clone(),
            handle.clone(),
            Arc::downgrade(self),
        );
        self.context.tasks.spawn(keeper.run());
        handle
    }

    /// Forgets an agent that the directory doesn't list and that can't be reached.
    pub(crate) fn forget(&self, handle: &AgentHandle) {
        handle.ended.cancel();
        routes::lock(&self.by_name).retain(|_, other| other.id != handle.id);
        routes::lock(&self.context.prefixes).forget(handle.id);
        self.rebuild();
    }

    /// Takes the models that an agent reports in; they change without an announcement.
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
        // The order of the table is that of the numbers, so that round-robin keeps its turn.
        let lists = snapshot
            .models
            .values_mut()
            .chain(snapshot.services.values_mut());
        lists.for_each(|list| list.sort_by_key(|load| load.id()));
        self.snapshot.store(Arc::new(snapshot));
    }
}

fn unlist(handle: &AgentHandle) {
    let mut info = AgentInfo::clone(&handle.info.load());
    info.listed = false;
    handle.info.store(Arc::new(info));
    handle.update_closed();
}
