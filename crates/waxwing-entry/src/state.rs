//! Process-wide state shared by all requests.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio_util::{sync::CancellationToken, task::TaskTracker};
use waxwing_core::{clock, counters, ids, reasons, units};
use waxwing_policy::{accounts, body_memory, budget, choice, prefixes};
use waxwing_settings::view;
use waxwing_wire::{messages, security};

use crate::{
    agents, control, options, problems, records, request_core, request_core::plan, routes,
};

/// Number of prompt prefixes whose endpoints are remembered; about 10 MB with four endpoints each.
const PREFIX_CAPACITY: usize = 65_536;

/// State of an entry process: settings, agents, limits and the records of requests.
#[derive(Debug)]
pub struct EntryShared<C, P> {
    /// The start options of the process.
    pub options: options::EntryOptions,
    /// The clock of all timers and timestamps.
    pub clock: C,
    /// The counters behind `/metrics`.
    pub counters: counters::CounterSet,
    /// Agents with their links and loads.
    pub agents: Arc<agents::AgentTable<C>>,
    /// Access to the control plane.
    pub control: P,
    /// Event queues of the requests in flight, by request id.
    pub routes: routes::RouteTable,
    /// Which endpoints have probably cached which prompt prefix.
    pub prefixes: Arc<Mutex<prefixes::PrefixMap>>,
    /// Rate and concurrency limits of client accounts.
    pub accounts: Arc<Mutex<accounts::AccountTable>>,
    /// Retry budgets by account and tier.
    pub budgets: Mutex<budget::RetryBudget>,
    /// Memory budget for the bodies of waiting requests.
    pub body_memory: Arc<Mutex<body_memory::BodyMemory>>,
    /// Outcomes of recent requests.
    pub records: Mutex<records::RecordTable>,
    /// The routing policies to choose from.
    pub policies: choice::PolicyTable,
    /// Timeouts of requests.
    pub timing: request_core::CoreTiming,
    /// Tasks that a shutdown waits for.
    pub tasks: TaskTracker,
    draining: AtomicBool,
}

impl<C: clock::Clock, P: control::ControlPort> EntryShared<C, P> {
    /// Creates the state without any agents. Cancelling `links_shutdown` closes all links.
    #[must_use]
    pub fn new(
        options: options::EntryOptions,
        security: security::LinkSecurity,
        clock: C,
        counters: counters::CounterSet,
        control: P,
        links_shutdown: CancellationToken,
    ) -> Arc<Self> {
        let routes = routes::RouteTable::default();
        let prefixes = Arc::new(Mutex::new(prefixes::PrefixMap::new(PREFIX_CAPACITY)));
        let tasks = TaskTracker::new();
        let agents = agents::AgentTable::new(agents::LinkContext {
            hello: hello(&options, &clock),
            region: options.region.clone(),
            security,
            routes: routes.clone(),
            prefixes: prefixes.clone(),
            counters: counters.clone(),
            clock: clock.clone(),
            tasks: tasks.clone(),
            shutdown: links_shutdown,
        });
        Arc::new(Self {
            agents,
            control,
            routes,
            prefixes,
            accounts: Arc::default(),
            budgets: Mutex::default(),
            body_memory: Arc::new(Mutex::new(body_memory::BodyMemory::new(
                options.body_memory_bytes,
            ))),
            records: Mutex::default(),
            policies: choice::PolicyTable::default(),
            timing: request_core::CoreTiming::default(),
            tasks,
            draining: AtomicBool::new(false),
            options,
            clock,
            counters,
        })
    }

    /// Makes readiness fail from now on and announces that the process is leaving.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.control.announce_leaving();
    }

    /// Returns why the process is not ready, or `None` if it is ready.
    #[must_use]
    pub fn not_ready_reason(&self) -> Option<reasons::RefusalReason> {
        if self.draining.load(Ordering::Relaxed) {
            return Some(reasons::RefusalReason::ShuttingDown);
        }
        let ready = self.control.freshness().is_ready();
        (!ready).then_some(reasons::RefusalReason::StaleSettings)
    }

    /// Reserves memory for a body and notifies the requests that are evicted for it.
    ///
    /// # Errors
    /// Fails if requests of this or more urgent tiers use up the memory.
    pub fn admit_body(
        &self,
        request: ids::RequestId,
        rank: ids::TierRank,
        bytes: units::ByteCount,
    ) -> Result<(), problems::ProblemBody> {
        let admitted = routes::lock(&self.body_memory).admit(request, rank, bytes);
        match admitted {
            Ok(evicted) => {
                for other in evicted {
                    self.routes.send(other, request_core::CoreEvent::Evicted);
                }
                Ok(())
            }
            Err(_) => Err(
                problems::ProblemBody::new(reasons::RefusalReason::EntryMemory)
                    .with_retry_after(Some(Duration::from_secs(1))),
            ),
        }
    }
}

/// Builds the message by which this process identifies itself on links.
pub(crate) fn hello<C: clock::Clock>(
    options: &options::EntryOptions,
    clock: &C,
) -> messages::Hello {
    messages::Hello {
        kind: messages::ProcessKind::Entry.into(),
        name: options.name.to_string(),
        incarnation: clock.wall_millis(),
        data_centre: options.data_centre.to_string(),
    }
}

/// Memory reserved for a body, released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    pub(crate) body_memory: Arc<Mutex<body_memory::BodyMemory>>,
    pub(crate) request: ids::RequestId,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        routes::lock(&self.body_memory).remove(self.request);
    }
}

/// Permit for one admitted request of an account, returned on drop.
#[derive(Debug)]
pub struct AccountPermit {
    pub(crate) accounts: Arc<Mutex<accounts::AccountTable>>,
    pub(crate) account: ids::AccountName,
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        routes::lock(&self.accounts).release(&self.account);
    }
}

/// Gives one request access to the shared state.
pub struct EntryContext<'a, C, P> {
    /// The process-wide state.
    pub shared: &'a Arc<EntryShared<C, P>>,
    /// The settings that the request was accepted under.
    pub view: &'a view::SettingsView,
    /// The request id.
    pub request: ids::RequestId,
    /// The event queue of the request.
    pub events: &'a routes::EventSender,
}

impl<C: clock::Clock, P> EntryContext<'_, C, P> {
    fn choose_with<E: choice::EndpointPolicy>(
        &self,
        policy: &E,
        plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    ) {
        let snapshot = self.shared.agents.snapshot();
        let loads = match &plan.model {
            Some(model) => snapshot.model_endpoints(model.as_str()),
            None => snapshot.service_endpoints(plan.service.as_str()),
        };
        let mut affinity = Vec::new();
        if !E::IMMEDIATE && !plan.prefixes.is_empty() {
            routes::lock(&self.shared.prefixes).affinities(&plan.prefixes, &mut affinity);
        }
        let demand = plan.demand(&affinity, excluded, count);
        policy.choose(&demand, loads, &mut rand::rng(), picks);
    }
}

/// Returns the retry budget limits of the settings.
pub(crate) fn budget_limits(policy: &view::PolicySettings) -> budget::BudgetLimits {
    budget::BudgetLimits {
        share: policy.retry_share,
        burst: policy.retry_burst,
    }
}

impl<C: clock::Clock, P> request_core::RequestContext for EntryContext<'_, C, P> {
    fn choose_agents(
        &mut self,
        plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    ) {
        let policies = &self.shared.policies;
        match self.view.tree.policy.routing {
            view::RoutingPolicy::LateBinding => {
                self.choose_with(&policies.late_binding, plan, excluded, count, picks);
            }
            view::RoutingPolicy::Random => {
                self.choose_with(&policies.random, plan, excluded, count, picks);
            }
            view::RoutingPolicy::RoundRobin => {
                self.choose_with(&policies.round_robin, plan, excluded, count, picks);
            }
            view::RoutingPolicy::LeastReported => {
                self.choose_with(&policies.least_reported, plan, excluded, count, picks);
            }
            view::RoutingPolicy::TwoChoices => {
                self.choose_with(&policies.two_choices, plan, excluded, count, picks);
            }
        }
    }

    fn allow_retry(&mut self, plan: &plan::RequestPlan, attempt: u32) -> Option<Duration> {
        let limits = budget_limits(&self.view.tree.policy);
        routes::lock(&self.shared.budgets)
            .withdraw(&plan.account, plan.rank, limits)
            .then(|| budget::BackoffPolicy::default().delay(attempt, &mut rand::rng()))
    }

    fn agent_location(&self, agent: choice::EndpointId) -> request_core::AgentLocation {
        let snapshot = self.shared.agents.snapshot();
        let handle = snapshot.by_id.get(&agent);
        handle.map_or_else(request_core::AgentLocation::default, |handle| {
            request_core::AgentLocation {
                name: handle.name.clone(),
                address: handle.info.load().address.to_string(),
            }
        })
    }

    fn connect_agent(&mut self, name: &str, address: &str) -> Option<choice::EndpointId> {
        let handle = self.shared.agents.get_or_connect(name, address)?;
        if let Some(link) = handle.link.load_full() {
            // Can't fail: the request that makes this call holds the receiver.
            let _ = self.events.send(request_core::CoreEvent::LinkUp {
                agent: handle.id,
                incarnation: link.incarnation,
            });
        }
        Some(handle.id)
    }

    fn is_local(&self, request: ids::RequestId) -> bool {
        self.shared.routes.contains(request)
    }

    fn pin_body(&mut self) -> bool {
        routes::lock(&self.shared.body_memory).pin(self.request)
    }

    fn unpin_body(&mut self) {
        routes::lock(&self.shared.body_memory).unpin(self.request);
    }

    fn release_body(&mut self) {
        routes::lock(&self.shared.body_memory).remove(self.request);
    }
}
