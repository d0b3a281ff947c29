//! State that the tasks of an entry share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_gate::{gate, rollouts, tickets};
use waxwing_process::bodies;

use crate::{metrics, options, starting, statements, stopping, unread, upstream};

/// State of one entry process.
pub(crate) struct EntryState<C, D> {
    pub(crate) options: options::ConduitOptions,
    pub(crate) clock: C,
    pub(crate) dialect: D,
    pub(crate) deployment: ArcSwapOption<deployments::FleetDeployment>,
    pub(crate) pool: upstream::ConnectionPool,
    /// Memory of the bodies of requests.
    pub(crate) request_memory: bodies::MemoryBudget,
    /// Memory of the answers that are read whole.
    pub(crate) answer_memory: bodies::MemoryBudget,
    /// Memory of events of streams that callers have not read yet.
    pub(crate) unread_memory: unread::UnreadBudget,
    pub(crate) metrics: metrics::EntryMetrics,
    gate: Mutex<GateState>,
    /// Wakes the task that sends load updates to the other entries.
    pub(crate) updates: Notify,
    /// Wakes the task that decides on queued requests after other entries have told their loads.
    pub(crate) peer_loads_changed: Notify,
    /// Wakes the maintenance task after a request was queued, since it then checks the queue more
    /// often.
    pub(crate) request_queued: Notify,
    /// When the process was told to stop.
    pub(crate) stop_time: OnceLock<Instant>,
    /// Number of requests in flight.
    active: AtomicUsize,
    /// Whether a control host has confirmed that the deployment is current.
    deployment_confirmed: AtomicBool,
    /// Wakes the requests that wait for that confirmation.
    confirmation: Notify,
    /// Number of these requests.
    unconfirmed_requests: AtomicUsize,
}

/// Refusal of a queued request by the gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueueRefusal {
    pub(crate) reason: tickets::RefusalReason,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) inputs: tickets::RefusalInputs,
}

/// Guard that counts a request as in flight until it is dropped.
pub(crate) struct ActiveRequest<C, D>(Arc<EntryState<C, D>>);

impl<C, D> Drop for ActiveRequest<C, D> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a waiting request until it is dropped.
struct WaitingGuard<'a> {
    count: &'a AtomicUsize,
    /// Number of waiting requests, this one included.
    position: usize,
}

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        let position = count.fetch_add(1, Ordering::Relaxed) + 1;
        Self { count, position }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The gate and the tasks that wait for its decisions.
pub(crate) struct GateState {
    pub(crate) core: gate::GateCore,
    waiters: HashMap<tickets::TicketId, oneshot::Sender<tickets::GateDecision>>,
}

/// A request that holds a slot of an endpoint; dropping it releases the slot.
pub(crate) struct StartedRun<C: Clock, D> {
    state: Arc<EntryState<C, D>>,
    pub(crate) endpoint: SmolStr,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) expected: Duration,
    service: SmolStr,
    route: SmolStr,
    size: tickets::WorkSize,
    /// State of the endpoint when the request was started.
    pub(crate) inputs: tickets::GrantInputs,
    /// When the slot was taken.
    started: Instant,
    /// Whether the answer failed or broke off, or none came.
    failed: AtomicBool,
    /// Whether the endpoint was not reached or refused the request.
    not_run: AtomicBool,
    /// Whether the whole answer came.
    finished: bool,
    /// Whether it took several times as long as usual.
    slow: bool,
    /// Time from the sending of the request to its first event; `None` before that event.
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
            request_memory: options.body_budget(),
            answer_memory: options.body_budget(),
            unread_memory: options.unread_budget(),
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
            updates: Notify::new(),
            peer_loads_changed: Notify::new(),
            request_queued: Notify::new(),
            stop_time: OnceLock::new(),
            active: AtomicUsize::new(0),
            deployment_confirmed: AtomicBool::new(false),
            confirmation: Notify::new(),
            unconfirmed_requests: AtomicUsize::new(0),
        }
    }

    /// Locks the gate. A request that panicked while it held the lock must not end the service of
    /// all others, so the state is used as it was left; load updates and notices correct it.
    pub(crate) fn gate(&self) -> MutexGuard<'_, GateState> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_time.get().is_some()
    }

    /// Starts draining: readiness checks of the load balancer fail from now on, and only requests
    /// that can end in time are started.
    pub(crate) fn begin_stop(&self) {
        if self.stop_time.set(self.clock.now()).is_ok() {
            tracing::info!(event = "entry-draining", active = self.active());
        }
    }

    /// Returns when all requests must have ended; `None` unless the process is stopping.
    pub(crate) fn drain_deadline(&self) -> Option<Instant> {
        let since = self.stop_time.get()?;
        Some(*since + self.options.grace().saturating_sub(stopping::STOP_MARGIN))
    }

    /// Returns the number of requests in flight.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn count_active(self: &Arc<Self>) -> ActiveRequest<C, D> {
        self.active.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(self.clone())
    }

    /// Tells whether this entry is ready for new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.deployment_confirmed.load(Ordering::Relaxed)
    }

    /// Records that a control host has confirmed the deployment; returns whether it is the first
    /// confirmation.
    pub(crate) fn confirm_deployment(&self) -> bool {
        let is_first = !self.deployment_confirmed.swap(true, Ordering::Relaxed);
        if is_first {
            self.confirmation.notify_waiters();
        }
        is_first
    }

    /// Waits until a control host has confirmed the deployment, for as long as it is of use to a
    /// caller that waits for `caller_time`. Returns whether it is confirmed.
    pub(crate) async fn await_confirmation(&self, caller_time: Option<Duration>) -> bool {
        let confirmed = self.confirmation.notified();
        tokio::pin!(confirmed);
        // Registered before the check, so that a confirmation in between is not missed.
        confirmed.as_mut().enable();
        if self.deployment_confirmed.load(Ordering::Relaxed) {
            return true;
        }
        let waiting = WaitingGuard::new(&self.unconfirmed_requests);
        if waiting.position > starting::MAX_WAITING_REQUESTS {
            return false;
        }
        tokio::select! {
            () = confirmed => true,
            () = self.clock.sleep(starting::confirmation_wait(caller_time)) => false,
        }
    }

    /// Decides on all queued requests, and delivers each decision to its request.
    pub(crate) fn dispatch_decisions(&self) {
        let mut gate = self.gate();
        let now = self.clock.now();
        for decision in gate.core.decide(now) {
            gate.deliver(decision);
        }
        if gate.core.has_changes() {
            self.updates.notify_one();
        }
    }

    /// Queues a request and waits until the gate assigns it a slot or refuses it.
    pub(crate) async fn wait_for_slot(
        self: &Arc<Self>,
        ticket: tickets::WaitingTicket,
        route: &SmolStr,
    ) -> Result<StartedRun<C, D>, QueueRefusal> {
        let size = ticket.size;
        let service = ticket.service.clone();
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut gate = self.gate();
            let id = gate.core.enqueue(ticket);
            gate.waiters.insert(id, sender);
            id
        };
        let mut guard = QueueGuard {
            state: self,
            id,
            receiver,
        };
        self.dispatch_decisions();
        self.request_queued.notify_one();
        match (&mut guard.receiver).await {
            Ok(tickets::GateDecision::Grant {
                endpoint,
                address,
                expected,
                inputs,
                ..
            }) => Ok(StartedRun {
                state: self.clone(),
                endpoint,
                address,
                expected,
                service,
                route: route.clone(),
                size,
                inputs,
                started: self.clock.now(),
                failed: AtomicBool::new(false),
                not_run: AtomicBool::new(false),
                finished: false,
                slow: false,
                first_event_time: None,
            }),
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
            // The sender is only dropped together with the gate, when the process ends.
            Err(_) => Err(QueueRefusal {
                reason: tickets::RefusalReason::NoRoom,
                retry_after: None,
                inputs: tickets::RefusalInputs::default(),
            }),
        }
    }
}

impl GateState {
    /// Delivers a decision to the waiting request, or releases its slot if the caller has gone.
    fn deliver(&mut self, decision: tickets::GateDecision) {
        let id = match &decision {
            tickets::GateDecision::Grant { ticket, .. }
            | tickets::GateDecision::Refuse { ticket, .. } => *ticket,
        };
        let undelivered = match self.waiters.remove(&id) {
            Some(waiter) => waiter.send(decision).err(),
            None => Some(decision),
        };
        // The caller disconnected between the decision and its delivery, so the slot is released.
        if let Some(tickets::GateDecision::Grant { endpoint, size, .. }) = undelivered {
            self.core.finish(&endpoint, size, false);
        }
    }
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a, C: Clock, D> {
    state: &'a Arc<EntryState<C, D>>,
    id: tickets::TicketId,
    receiver: oneshot::Receiver<tickets::GateDecision>,
}

impl<C: Clock, D> Drop for QueueGuard<'_, C, D> {
    fn drop(&mut self) {
        let mut gate = self.state.gate();
        gate.waiters.remove(&self.id);
        gate.core.withdraw(self.id);
        // Releases a slot that was assigned just before the caller disconnected.
        if let Ok(tickets::GateDecision::Grant { endpoint, size, .. }) = self.receiver.try_recv() {
            gate.core.finish(&endpoint, size, false);
        }
    }
}

impl<C: Clock, D> StartedRun<C, D> {
    /// Records the first event of the answer, `elapsed` after the request was sent; `shared_parts`
    /// are those of its prompt. Later calls have no effect.
    pub(crate) fn record_first_event(&mut self, elapsed: Duration, shared_parts: &[u64]) {
        if self.first_event_time.is_some() {
            return;
        }
        self.first_event_time = Some(elapsed);
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        let core = &mut gate.core;
        self.slow |= core.is_slow_start(&self.service, self.inputs.backlog, elapsed);
        core.record_first_event(now, &self.endpoint, self.size, self.inputs.backlog, elapsed);
        core.record_success(now, &self.endpoint);
        if !shared_parts.is_empty() {
            core.crashes.record_begin(now, shared_parts);
        }
        drop(gate);
        self.state.dispatch_decisions();
    }

    /// Returns the time from the sending of the request to its first event.
    pub(crate) const fn first_event_time(&self) -> Option<Duration> {
        self.first_event_time
    }

    /// Records a finished generation: `tokens` arrived in `generation_time` after the first event,
    /// and the run took `run_time` in total.
    pub(crate) fn record_generation(
        &mut self,
        tokens: u64,
        generation_time: Duration,
        run_time: Duration,
    ) {
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        self.finished = true;
        self.slow |= gate
            .core
            .is_slow_generation(&self.service, tokens, generation_time);
        gate.core
            .record_generation(now, &self.endpoint, tokens, generation_time, run_time);
    }

    /// Records the complete answer of a plain call, `elapsed` after the request was sent;
    /// `shared_parts` are those of its prompt.
    pub(crate) fn record_answer(&mut self, elapsed: Duration, shared_parts: &[u64]) {
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        self.finished = true;
        self.slow |= gate.core.is_slow_call(&self.service, elapsed);
        gate.core.record_call(now, &self.endpoint, elapsed);
        gate.core.record_success(now, &self.endpoint);
        if !shared_parts.is_empty() {
            gate.core.crashes.record_begin(now, shared_parts);
        }
    }

    /// Records the load and what else the endpoint stated about itself in an answer to a request
    /// that was sent at `sent`.
    pub(crate) fn record_statements(&self, facts: &dialects::AnswerFacts, sent: Instant) {
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        if let Some(load) = facts.load {
            gate.core.record_load(now, &self.endpoint, load);
            if load.pace == dialects::PaceStatement::Malformed {
                self.state.metrics.count_statement("pace-malformed");
            }
        }
        gate.core
            .record_limit(now, &self.endpoint, facts.limit, sent);
        let changes = gate.core.take_limit_changes();
        if let Some(time) = facts.retry_after {
            gate.core.record_pause(now, &self.endpoint, time);
        }
        let leaves = facts.leaving && gate.core.record_leaving(&self.endpoint);
        drop(gate);
        statements::report_limits(&self.state, changes);
        if leaves {
            statements::report_leaving(&self.state, &self.endpoint);
        }
        if let Some(time) = facts.retry_after {
            statements::report_pause(&self.state, &self.endpoint, time);
        }
    }

    /// Returns how the run ended; `None` if it tells nothing, because the endpoint didn't run it or
    /// its caller left while it was on time.
    fn outcome(&self, core: &gate::GateCore, now: Instant) -> Option<rollouts::RunOutcome> {
        if self.not_run.load(Ordering::Relaxed) {
            return None;
        }
        let failed = self.failed.load(Ordering::Relaxed);
        if failed || self.finished {
            return Some(rollouts::RunOutcome {
                failed,
                slow: self.slow,
            });
        }
        let elapsed = now.saturating_duration_since(self.started);
        let is_late = self.first_event_time.is_none()
            && match self.size {
                tickets::WorkSize::Call => core.is_slow_call(&self.service, elapsed),
                tickets::WorkSize::Generation { .. } => {
                    core.is_slow_start(&self.service, self.inputs.backlog, elapsed)
                }
            };
        (self.slow || is_late).then_some(rollouts::RunOutcome {
            failed: false,
            slow: true,
        })
    }

    /// Records that the endpoint has not run the request.
    pub(crate) fn record_refusal(&self) {
        self.not_run.store(true, Ordering::Relaxed);
    }

    /// Records that the endpoint could not be reached.
    pub(crate) fn record_connect_failure(&self) {
        self.record_refusal();
        let now = self.state.clock.now();
        self.state
            .gate()
            .core
            .record_connect_failure(now, &self.endpoint);
    }

    /// Records a failed answer or broken connection of the endpoint.
    pub(crate) fn record_failure(&self) {
        self.failed.store(true, Ordering::Relaxed);
        let now = self.state.clock.now();
        self.state.gate().core.record_failure(now, &self.endpoint);
    }
}

impl<C: Clock, D> Drop for StartedRun<C, D> {
    fn drop(&mut self) {
        let has_first_event = self.first_event_time.is_some();
        let now = self.state.clock.now();
        let mut gate = self.state.gate();
        if let Some(outcome) = self.outcome(&gate.core, now) {
            gate.core.record_run(&self.endpoint, &self.route, outcome);
        }
        gate.core.finish(&self.endpoint, self.size, has_first_event);
        drop(gate);
        self.state.dispatch_decisions();
    }
}
