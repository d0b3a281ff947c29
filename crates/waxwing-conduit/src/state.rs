//! What the tasks of an entry share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_gate::{gate, tickets};

use crate::{metrics, options, stopping, upstream};

/// An `EntryState` is the state of an entry; handles share it.
pub(crate) struct EntryState<C, D> {
    pub(crate) options: options::ConduitOptions,
    pub(crate) clock: C,
    pub(crate) dialect: D,
    pub(crate) deployment: ArcSwapOption<deployments::FleetDeployment>,
    pub(crate) pool: upstream::ConnectionPool,
    pub(crate) metrics: metrics::EntryMetrics,
    gate: Mutex<GateState>,
    /// Wakes the task that sends books.
    pub(crate) books: Notify,
    /// Wakes the task that looks at waiting requests.
    pub(crate) queued: Notify,
    /// When the process began to stop.
    pub(crate) stopping: OnceLock<Instant>,
    /// Requests that are being answered.
    active: AtomicUsize,
    /// Whether the deployment is known to be current.
    pub(crate) settled: AtomicBool,
}

/// A `QueueRefusal` is a refusal of the gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueueRefusal {
    pub(crate) reason: tickets::RefusalReason,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) inputs: tickets::RefusalInputs,
}

/// An `ActiveRequest` counts a request that is being answered while it exists.
pub(crate) struct ActiveRequest<C, D>(Arc<EntryState<C, D>>);

impl<C, D> Drop for ActiveRequest<C, D> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A `GateState` is the gate with the tasks that wait for its decisions.
pub(crate) struct GateState {
    pub(crate) core: gate::GateCore,
    waiters: HashMap<tickets::TicketId, oneshot::Sender<tickets::GateDecision>>,
}

/// A `StartedRun` is a request at an endpoint. Dropping it gives the slot back.
pub(crate) struct StartedRun<C: Clock, D> {
    state: Arc<EntryState<C, D>>,
    pub(crate) endpoint: SmolStr,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) expected: Duration,
    size: tickets::WorkSize,
    backlog: u64,
    /// The time from its sending to its first event, once that came.
    first_event_time: Option<Duration>,
}

impl<C: Clock, D> EntryState<C, D> {
    pub(crate) fn new(
        options: options::ConduitOptions,
        clock: C,
        dialect: D,
        core: gate::GateCore,
        metrics: metrics::EntryMetrics,
    ) -> Self {
        Self {
            options,
            clock,
            dialect,
            deployment: ArcSwapOption::empty(),
            pool: upstream::ConnectionPool::default(),
            metrics,
            gate: Mutex::new(GateState {
                core,
                waiters: HashMap::new(),
            }),
            books: Notify::new(),
            queued: Notify::new(),
            stopping: OnceLock::new(),
            active: AtomicUsize::new(0),
            settled: AtomicBool::new(false),
        }
    }

    pub(crate) fn gate(&self) -> MutexGuard<'_, GateState> {
        self.gate
            .lock()
            .expect("the gate never panics while it decides")
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Begins to stop: the balancer is told, and only what can end in time is started.
    pub(crate) fn begin_stop(&self) {
        if self.stopping.set(self.clock.now()).is_ok() {
            tracing::info!(event = "entry-draining", active = self.active());
        }
    }

    /// Returns when runs must have ended, if the process is about to stop.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        let since = self.stopping.get()?;
        Some(*since + self.options.grace().saturating_sub(stopping::STOP_MARGIN))
    }

    /// Returns the number of requests that are being answered.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_active(self: &Arc<Self>) -> ActiveRequest<C, D> {
        self.active.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(self.clone())
    }

    /// Tells whether this entry takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.settled.load(Ordering::Relaxed)
    }

    /// Lets the gate decide and hands its decisions to those who wait.
    pub(crate) fn pump(&self) {
        let mut gate = self.gate();
        loop {
            let now = self.clock.now();
            let decisions = gate.core.decide(now);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                gate.deliver(decision);
            }
        }
        if gate.core.has_changes() {
            self.books.notify_one();
        }
    }

    /// Waits until the gate starts or refuses a request.
    pub(crate) async fn await_start(
        self: &Arc<Self>,
        ticket: tickets::WaitingTicket,
    ) -> Result<StartedRun<C, D>, QueueRefusal> {
        let size = ticket.size;
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut gate = self.gate();
            let id = gate.core.enqueue(ticket);
            gate.waiters.insert(id, sender);
            id
        };
        let mut place = WaitingPlace {
            state: self,
            id,
            receiver,
        };
        self.pump();
        self.queued.notify_one();
        match (&mut place.receiver).await {
            Ok(tickets::GateDecision::Grant {
                endpoint,
                address,
                expected,
                ..
            }) => {
                let backlog = self.backlog(&endpoint);
                Ok(StartedRun {
                    state: self.clone(),
                    endpoint,
                    address,
                    expected,
                    size,
                    backlog,
                    first_event_time: None,
                })
            }
            Ok(tickets::GateDecision::Refuse {
                reason,
                retry_after,
                inputs,
                ..
            }) => Err(QueueRefusal {
                reason,
                retry_after,
                inputs,
            }),
            // The sender is dropped with the gate only, at the end of the process.
            Err(_) => Err(QueueRefusal {
                reason: tickets::RefusalReason::NoRoom,
                retry_after: None,
                inputs: tickets::RefusalInputs::default(),
            }),
        }
    }

    fn backlog(&self, endpoint: &SmolStr) -> u64 {
        let gate = self.gate();
        let view = gate.core.endpoint(endpoint);
        view.map_or(0, |view| view.total().pending_prefill)
    }
}

impl GateState {
    fn deliver(&mut self, decision: tickets::GateDecision) {
        let id = match &decision {
            tickets::GateDecision::Grant { ticket, .. }
            | tickets::GateDecision::Refuse { ticket, .. } => *ticket,
        };
        let undelivered = match self.waiters.remove(&id) {
            Some(waiter) => waiter.send(decision).err(),
            None => Some(decision),
        };
        // The caller has left between the decision and its delivery.
        if let Some(tickets::GateDecision::Grant { endpoint, size, .. }) = undelivered {
            self.core.finish(&endpoint, size, false);
        }
    }
}

/// A `WaitingPlace` takes a request out of the queue when its caller leaves.
struct WaitingPlace<'a, C: Clock, D> {
    state: &'a Arc<EntryState<C, D>>,
    id: tickets::TicketId,
    receiver: oneshot::Receiver<tickets::GateDecision>,
}

impl<C: Clock, D> Drop for WaitingPlace<'_, C, D> {
    fn drop(&mut self) {
        let mut gate = self.state.gate();
        gate.waiters.remove(&self.id);
        gate.core.withdraw(self.id);
        // A slot that was taken for a caller who has just left is free again.
        if let Ok(tickets::GateDecision::Grant { endpoint, size, .. }) = self.receiver.try_recv() {
            gate.core.finish(&endpoint, size, false);
        }
    }
}

impl<C: Clock, D> StartedRun<C, D> {
    /// Takes the first event of the answer, `took` after the request was sent.
    pub(crate) fn first_event(&mut self, took: Duration) {
        if self.first_event_time.is_some() {
            return;
        }
        self.first_event_time = Some(took);
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        let core = &mut gate.core;
        core.record_first_event(&self.endpoint, self.size, self.backlog, took);
        core.record_success(now, &self.endpoint);
        drop(gate);
        self.state.pump();
    }

    /// Returns the time from its sending to its first event.
    pub(crate) const fn first_event_time(&self) -> Option<Duration> {
        self.first_event_time
    }

    /// Takes the end of a generation: `tokens` came in `took` behind its first event, and the run
    /// took `whole`.
    pub(crate) fn generated(&mut self, tokens: u64, took: Duration, whole: Duration) {
        let mut gate = self.state.gate();
        gate.core
            .record_generation(&self.endpoint, tokens, took, whole);
    }

    /// Takes the whole answer of a plain call.
    pub(crate) fn answered(&mut self, took: Duration) {
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        gate.core.record_call(&self.endpoint, took);
        gate.core.record_success(now, &self.endpoint);
    }

    /// Takes the load that the endpoint told.
    pub(crate) fn reported(&self, load: dialects::LoadFacts) {
        let now = self.state.clock.now();
        self.state
            .gate()
            .core
            .record_load(now, &self.endpoint, load);
    }

    /// Takes that the endpoint could not be reached.
    pub(crate) fn unreachable(&mut self) {
        let now = self.state.clock.now();
        self.state
            .gate()
            .core
            .record_connect_failure(now, &self.endpoint);
    }

    /// Takes a failure of the endpoint.
    pub(crate) fn failed(&mut self) {
        let now = self.state.clock.now();
        self.state.gate().core.record_failure(now, &self.endpoint);
    }
}

impl<C: Clock, D> Drop for StartedRun<C, D> {
    fn drop(&mut self) {
        let started = self.first_event_time.is_some();
        let mut gate = self.state.gate();
        gate.core.finish(&self.endpoint, self.size, started);
        drop(gate);
        self.state.pump();
    }
}
