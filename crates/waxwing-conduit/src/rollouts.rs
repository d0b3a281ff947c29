//! Exchange with the leader of the control hosts about roll-outs: its terms, and reports on what
//! this entry has seen of the versions.

use std::{
    net::SocketAddr,
    sync::MutexGuard,
    time::{Duration, Instant},
};

use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{dialects, network};
use waxwing_wire::messages;

use crate::fleet;

/// Time between two reports while a roll-out is in progress. The leader decides five times a
/// second.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two checks for a roll-out while there is none.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// To whom reports on roll-outs go.
#[derive(Debug)]
pub(crate) struct RolloutReporter {
    /// The control host that sent the last terms, and its term as leader.
    leader: Option<(SocketAddr, u64)>,
    /// The leader that has the totals up to the last report.
    informed: Option<(SocketAddr, u64)>,
    incarnation: u64,
    /// When the process started.
    started: Instant,
}

impl RolloutReporter {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            leader: None,
            informed: None,
            incarnation: rand::random(),
            started,
        }
    }
}

impl<C, D, T> fleet::FleetMessenger<C, D, T>
where
    C: Clock,
    D: dialects::RequestDialect,
    T: dialects::ControlDialect,
{
    fn reporter(&self) -> MutexGuard<'_, RolloutReporter> {
        self.reporter
            .lock()
            .expect("no panic occurs while the reporter is locked")
    }

    /// Has all totals sent again once the link to a control host has closed, since the last report
    /// may be lost.
    pub(crate) fn forget_rollout_leader(&self, control: SocketAddr) {
        self.reporter()
            .informed
            .take_if(|informed| informed.0 == control);
    }

    /// Puts the terms of a leader into force.
    pub(crate) fn apply_rollout_terms(
        &self,
        remote: network::RemoteProcess,
        terms: &messages::RolloutTerms,
    ) {
        let now = self.state.clock.now();
        let lease_start = {
            let mut reporter = self.reporter();
            reporter.leader = Some((remote.address, terms.term));
            let answered = terms.answered_millis.map(Duration::from_millis);
            answered.map(|answered| {
                reporter.started + answered.min(now.saturating_duration_since(reporter.started))
            })
        };
        let changes = self
            .state
            .gate()
            .core
            .rollouts
            .apply(now, terms, lease_start);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.state.metrics.count_rollout(change.state);
            tracing::info!(
                event = "rollout-stage",
                service = %change.service,
                target = %change.target,
                order = change.order,
                state = change.state,
                control = %remote.address,
                revision = terms.revision
            );
        }
        self.state.dispatch_decisions();
    }

    /// Reports to the leader while a roll-out is in progress. A leader that has not been told the
    /// totals gets all of them.
    pub(crate) async fn send_rollout_reports(self, shutdown: CancellationToken) {
        loop {
            let active = self.state.gate().core.rollouts.has_active();
            if active {
                self.send_report();
            }
            let interval = if active {
                REPORT_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.state.clock.sleep(interval) => {}
            }
        }
    }

    fn send_report(&self) {
        let mut reporter = self.reporter();
        let Some(leader) = reporter.leader else {
            return;
        };
        let now = self.state.clock.now();
        let sent = now.saturating_duration_since(reporter.started);
        let whole = reporter.informed != Some(leader);
        let reports = messages::RolloutReports {
            reports: self.state.gate().core.take_rollout_reports(whole),
            incarnation: reporter.incarnation,
            sent_millis: u64::try_from(sent.as_millis()).unwrap_or(u64::MAX),
        };
        let queued = self
            .network
            .send(leader.0, messages::Body::RolloutReports(reports));
        reporter.informed = queued.then_some(leader);
    }
}
