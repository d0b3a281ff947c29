//! What lives as long as the process and is shared by all requests.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio_util::{sync::CancellationToken, task::TaskTracker};
use waxwing_core::{clock, counters, ids, reasons, units};
use waxwing_policy::{accounts, budget, choice, prefixes, waiting};
use waxwing_settings::view;
use waxwing_wire::{messages, security};

use crate::{
    agents, control, options, problems, records, request_core, request_core::plan, routes,
};

/// Prefixes that an entry remembers; with four endpoints each they take about 10 MB.
const PREFIX_CAPACITY: usize = 65_536;

/// An `EntryShared` holds the state of an entry process.
#[derive(Debug)]
pub struct EntryShared<C, P> {
    /// The settings of the process.
    pub options: options::EntryOptions,
    /// The clock.
    pub clock: C,
    /// The counters.
    pub counters: counters::CounterSet,
    /// The agents.
    pub agents: Arc<agents::AgentTable<C>>,
    /// The way to the control hosts.
    pub control: P,
    /// Routes from messages to requests.
    pub routes: routes::RouteTable,
    /// Which endpoint has which prefix.
    pub prefixes: Arc<Mutex<prefixes::PrefixMap>>,
    /// Limits of accounts.
    pub accounts: Arc<Mutex<accounts::AccountTable>>,
    /// Retry budgets.
    pub budgets: Mutex<budget::RetryBudget>,
    /// Memory for bodies.
    pub room: Arc<Mutex<waiting::WaitingRoom>>,
    /// What became of requests.
    pub records: Mutex<records::RecordTable>,
    /// The routing policies.
    pub policies: choice::PolicyTable,
    /// Time limits of requests.
    pub timing: request_core::CoreTiming,
    /// The tasks of the process.
    pub tasks: TaskTracker,
    draining: AtomicBool,
}

impl<C: clock::Clock, P: control::ControlPort> EntryShared<C, P> {
    /// Builds the state of a process that knows no settings and no agents.
    #[must_use]
    pub fn new(
        options: options::EntryOptions,
        security: security::LinkSecurity,
        clock: C,
        counters: counters::CounterSet,
        control: P,
        links_ended: CancellationToken,
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
            ended: links_ended,
        });
        Arc::new(Self {
            agents,
            control,
            routes,
            prefixes,
            accounts: Arc::default(),
            budgets: Mutex::default(),
            room: Arc::new(Mutex::new(waiting::WaitingRoom::new(
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

    /// Fails readiness from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.control.leave();
    }

    /// Tells why the process is not ready, or `None` if it is.
    #[must_use]
    pub fn unready(&self) -> Option<reasons::RefusalReason> {
        if self.draining.load(Ordering::Relaxed) {
            return Some(reasons::RefusalReason::ShuttingDown);
        }
        let ready = self.control.freshness().is_ready();
        (!ready).then_some(reasons::RefusalReason::StaleSettings)
    }

    /// Takes room for a body and tells the requests that were evicted for it.
    ///
    /// # Errors
    /// Fails if work of this tier or above fills the room.
    pub fn admit_body(
        &self,
        request: ids::RequestId,
        rank: ids::TierRank,
        bytes: units::ByteCount,
    ) -> Result<(), problems::ProblemBody> {
        let admitted = routes::lock(&self.room).admit(request, rank, bytes);
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

/// Builds the introduction of this process.
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

/// A `BodyRoom` holds room for a body until it is dropped.
#[derive(Debug)]
pub struct BodyRoom {
    pub(crate) room: Arc<Mutex<waiting::WaitingRoom>>,
    pub(crate) request: ids::RequestId,
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        routes::lock(&self.room).remove(self.request);
    }
}

/// An `AccountSlot` is one admitted request of an account; dropping it ends the request.
#[derive(Debug)]
pub struct AccountSlot {
    pub(crate) accounts: Arc<Mutex<accounts::AccountTable>>,
    pub(crate) account: ids::AccountName,
}

impl Drop for AccountSlot {
    fn drop(&mut self) {
        routes::lock(&self.accounts).release(&self.account);
    }
}

/// A `RequestHost` answers the questions of one request.
pub struct RequestHost<'a, C, P> {
    /// The state of the process.
    pub shared: &'a Arc<EntryShared<C, P>>,
    /// The settings under which the request was accepted.
    pub view: &'a view::SettingsView,
    /// The request.
    pub request: ids::RequestId,
    /// The queue of the request.
    pub events: &'a routes::EventSender,
}

impl<C: clock::Clock, P> RequestHost<'_, C, P> {
    fn pick<E: choice::EndpointPolicy>(
        &self,
        policy: &E,
        plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    ) {
        let snapshot = self.shared.agents.snapshot();
        let loads = match &plan.model {
            Some(model) => snapshot.engines(model.as_str()),
            None => snapshot.services(plan.service.as_str()),
        };
        let mut affinity = Vec::new();
        if !E::IMMEDIATE && !plan.prefixes.is_empty() {
            routes::lock(&self.shared.prefixes).affinities(&plan.prefixes, &mut affinity);
        }
        let demand = plan.demand(&affinity, excluded, count);
        policy.choose(&demand, loads, &mut rand::rng(), picks);
    }
}

/// Reads the bounds of retries from the settings.
pub(crate) fn budget_limits(policy: &view::PolicySettings) -> budget::BudgetLimits {
    budget::BudgetLimits {
        share: policy.retry_share,
        burst: policy.retry_burst,
    }
}

impl<C: clock::Clock, P> request_core::RequestContext for RequestHost<'_, C, P> {
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
                self.pick(&policies.late_binding, plan, excluded, count, picks);
            }
            view::RoutingPolicy::Random => {
                self.pick(&policies.random, plan, excluded, count, picks);
            }
            view::RoutingPolicy::RoundRobin => {
                self.pick(&policies.round_robin, plan, excluded, count, picks);
            }
            view::RoutingPolicy::LeastReported => {
                self.pick(&policies.least_reported, plan, excluded, count, picks);
            }
            view::RoutingPolicy::TwoChoices => {
                self.pick(&policies.two_choices, plan, excluded, count, picks);
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
        let handle = self.shared.agents.reach(name, address)?;
        if let Some(link) = handle.link.load_full() {
            // The queue is the request's own, so that it is open.
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
        routes::lock(&self.shared.room).pin(self.request)
    }

    fn unpin_body(&mut self) {
        routes::lock(&self.shared.room).unpin(self.request);
    }

    fn release_body(&mut self) {
        routes::lock(&self.shared.room).remove(self.request);
    }
}
