//! Roll-outs at a control host: orders of operators, and the decisions of the leader.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::dialects;
use waxwing_rollout::{controller, errors as rollout_errors, ledger};
use waxwing_wire::messages;

use crate::{errors, host};

/// Time between two decisions on the roll-outs in progress. At the allowed exposure a bad version
/// gets few requests within it.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// The state of roll-outs that a leader keeps in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct RolloutHandle {
    state: Arc<Mutex<RolloutState>>,
    /// Wakes the task that decides, since the log has changed.
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct RolloutState {
    controller: controller::RolloutController,
    /// The term in which this host leads; `None` if it doesn't.
    term: Option<u64>,
    /// Number of messages with terms that were sent in it.
    tick: u64,
    /// The revision that was sent last.
    sent_revision: u64,
    /// `sent_millis` of the last report of each entry.
    answered: HashMap<SocketAddr, u64>,
    /// The terms in force, with the revision that they follow from.
    terms: Option<(u64, Vec<messages::RolloutTerm>)>,
}

impl RolloutHandle {
    fn state(&self) -> MutexGuard<'_, RolloutState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock of the roll-outs")
    }
}

/// The last roll-out of a service, as the operators' interface tells it.
#[derive(Debug, serde::Serialize)]
pub(crate) struct RolloutStatus {
    service: String,
    target: String,
    state: &'static str,
    reason: String,
    period_millis: u64,
    ordered_millis: u64,
    replaced: Vec<String>,
    /// The progress of a roll-out that has not ended.
    progress: Option<controller::RolloutProgress>,
}

/// An order in the operators' interface.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrderRecord {
    service: smol_str::SmolStr,
    target: smol_str::SmolStr,
    period_millis: u64,
}

impl From<OrderRecord> for dialects::RolloutRequest {
    fn from(record: OrderRecord) -> Self {
        Self {
            service: record.service,
            target: record.target,
            period: Duration::from_millis(record.period_millis),
        }
    }
}

/// Why an order of a roll-out was not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    #[error(transparent)]
    Refused(#[from] rollout_errors::OrderError),
    #[error(transparent)]
    Group(#[from] errors::GroupError),
}

/// Returns the name of the phase of a roll-out in the operators' interface.
const fn phase_name(phase: messages::RolloutPhase) -> &'static str {
    match phase {
        messages::RolloutPhase::Active => "active",
        messages::RolloutPhase::Completed => "completed",
        messages::RolloutPhase::RolledBack => "rolled-back",
    }
}

impl<C: Clock> host::RegistrarHost<C> {
    async fn confirm_lead(&self) -> crate::replica::CallOutcome {
        tokio::select! {
            read = self.group.read() => read,
            () = self.clock.sleep(self.options.call_limit()) => {
                Err(errors::GroupError::Unavailable)
            }
        }
    }

    async fn commit(&self, change: ledger::RolloutChange) -> Result<(), errors::GroupError> {
        tokio::select! {
            committed = self.group.change_rollout(change) => committed,
            () = self.clock.sleep(self.options.call_limit()) => {
                Err(errors::GroupError::Unavailable)
            }
        }
    }

    /// Accepts an order to move a service to another version. It is in the log, and on its way to
    /// all linked entries, before this returns.
    ///
    /// # Errors
    /// Fails if the order is refused, or was not committed in time.
    pub(crate) async fn start_rollout<D: dialects::ControlDialect>(
        &self,
        dialect: &D,
        request: &dialects::RolloutRequest,
    ) -> Result<(), StartError> {
        let order = ledger::RolloutOrder {
            service: request.service.to_string(),
            target: request.target.to_string(),
            period_millis: u64::try_from(request.period.as_millis()).unwrap_or(u64::MAX),
            ordered_millis: self.clock.wall_millis(),
        };
        order.check()?;
        let document = self.confirm_lead().await?;
        let unknown = || rollout_errors::OrderError::UnknownService(request.service.clone());
        let document = document.ok_or_else(unknown)?;
        let parts = dialect.deployment(&document.body).map_err(|_| unknown())?;
        if !parts
            .services
            .iter()
            .any(|service| service.name == request.service)
        {
            return Err(unknown().into());
        }
        let relation = self.group.view.borrow().rollouts.relate(&order)?;
        if relation == ledger::OrderRelation::New {
            let change = ledger::RolloutChange {
                order: Some(order.clone()),
                step: None,
            };
            self.commit(change).await?;
            // Another order may have been committed before this one.
            let ledger = self.group.view.borrow().rollouts.clone();
            ledger.relate(&order)?;
            self.rollouts.changed.notify_one();
            self.send_rollout_terms(&self.linked_entries());
        }
        tracing::info!(event = "rollout-ordered", ?order, ?relation);
        Ok(())
    }

    /// Returns the last roll-out of a service, after a quorum has confirmed that it is the newest.
    ///
    /// # Errors
    /// Fails if no quorum answered in time, or another host leads.
    pub(crate) async fn find_rollout(
        &self,
        service: &str,
    ) -> Result<Option<ledger::RolloutRecord>, errors::GroupError> {
        self.confirm_lead().await?;
        Ok(self.group.view.borrow().rollouts.record(service).cloned())
    }

    /// Returns the last roll-outs of all services with their progress.
    ///
    /// # Errors
    /// Fails if no quorum answered in time, or another host leads.
    pub(crate) async fn list_rollouts(&self) -> Result<Vec<RolloutStatus>, errors::GroupError> {
        self.confirm_lead().await?;
        let ledger = self.group.view.borrow().rollouts.clone();
        let state = self.rollouts.state();
        let records = ledger.records();
        let statuses = records.map(|(service, record)| RolloutStatus {
            service: service.to_string(),
            target: record.order.target.clone(),
            state: phase_name(record.phase()),
            reason: record.reason.clone(),
            period_millis: record.order.period_millis,
            ordered_millis: record.order.ordered_millis,
            replaced: record.replaced.clone(),
            progress: state.controller.progress(service).cloned(),
        });
        Ok(statuses.collect())
    }

    /// Takes the reports of an entry.
    pub(crate) fn observe_rollouts(&self, entry: SocketAddr, reports: &messages::RolloutReports) {
        let now = self.clock.now();
        let mut state = self.rollouts.state();
        state.answered.insert(entry, reports.sent_millis);
        state.controller.observe(now, entry, reports);
    }

    /// Sends the terms in force to entries, if there are any roll-outs. Entries that have no shares
    /// yet get them with the next decision.
    pub(crate) fn send_rollout_terms(&self, entries: &HashSet<SocketAddr>) {
        let (ledger, term) = {
            let view = self.group.view.borrow();
            (view.rollouts.clone(), view.term)
        };
        if ledger.revision() == 0 {
            return;
        }
        let mut state = self.rollouts.state();
        state.tick += 1;
        let decided = state
            .terms
            .as_ref()
            .filter(|(revision, _)| *revision == ledger.revision());
        let services = match decided {
            Some((_, terms)) => terms.clone(),
            None => controller::initial_terms(&ledger),
        };
        for entry in entries {
            let terms = messages::RolloutTerms {
                revision: ledger.revision(),
                term,
                tick: state.tick,
                services: services.clone(),
                answered_millis: state.answered.get(entry).copied(),
            };
            self.network
                .send(*entry, messages::Body::RolloutTerms(terms));
        }
    }

    /// Decides on the roll-outs in progress while this host leads.
    pub(crate) async fn run_rollouts(self, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.rollouts.changed.notified() => {}
                () = self.clock.sleep(DECISION_INTERVAL) => {}
            }
            if !self.prepare_decision() {
                continue;
            }
            // A host that no longer leads must not renew what entries may do.
            if self.confirm_lead().await.is_err() {
                continue;
            }
            let steps = self.decide_rollouts();
            for step in steps {
                tracing::info!(event = "rollout-step", ?step);
                let change = ledger::RolloutChange {
                    order: None,
                    step: Some(step),
                };
                if let Err(error) = self.commit(change).await {
                    tracing::info!(event = "rollout-step-failed", %error);
                }
                self.rollouts.changed.notify_one();
            }
        }
    }

    /// Returns whether a decision is due here. A host that doesn't lead forgets what it knew.
    fn prepare_decision(&self) -> bool {
        let (leads, term, ledger) = {
            let view = self.group.view.borrow();
            (view.leads, view.term, view.rollouts.clone())
        };
        let mut state = self.rollouts.state();
        let leading = leads.then_some(term);
        if state.term != leading {
            *state = RolloutState {
                term: leading,
                ..RolloutState::default()
            };
        }
        leads && (ledger.has_active() || ledger.revision() != state.sent_revision)
    }

    /// Sends what entries may do from now on, and returns the steps that are due.
    fn decide_rollouts(&self) -> Vec<ledger::RolloutStep> {
        let entries = self.linked_entries();
        let linked: Vec<_> = entries.iter().copied().collect();
        let ledger = self.group.view.borrow().rollouts.clone();
        let now = self.clock.now();
        let endpoints = self.directory().serving(now);
        let steps = {
            let mut state = self.rollouts.state();
            let decision = state.controller.decide(
                now,
                self.clock.wall_millis(),
                &ledger,
                &endpoints,
                &linked,
                &self.options.rollouts,
            );
            state.answered.retain(|entry, _| entries.contains(entry));
            state.sent_revision = ledger.revision();
            state.terms = Some((ledger.revision(), decision.terms));
            decision.steps
        };
        self.send_rollout_terms(&entries);
        steps
    }
}
