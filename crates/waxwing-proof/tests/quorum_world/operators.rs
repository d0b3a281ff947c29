//! Simulated operators, which submit changes and resend them until they get an answer.

use std::time::Duration;

use waxwing_control::commands;
use waxwing_core::ids;
use waxwing_proof::{events::RunEvent, steps::WorkStep};
use waxwing_settings::credentials;

use super::{ControlSimulation, MAIN};

const TOKEN: &str = "root-token";

/// Time after which an operator resends a change without an answer.
const RESEND_TIMEOUT: Duration = Duration::from_secs(1);

/// A change that an operator submits until it is answered.
pub(super) struct OperatorRequest {
    pub(super) change: ids::ChangeId,
    pub(super) base: Option<u64>,
    next_attempt: Duration,
    target: usize,
    pub(super) answered: bool,
    pub(super) drop_answer: bool,
}

/// Builds the initial settings tree, with one operator of the whole fleet.
pub(super) fn initial_tree() -> serde_json::Value {
    let digest = credentials::TokenDigest::of(TOKEN).to_string();
    serde_json::json!({
        "tiers": {"urgent": {"rank": 0}},
        "fleet": {"operators": {"ada": {"token_digests": [digest]}}},
    })
}

impl ControlSimulation {
    pub(super) fn submit(&mut self, change: ids::ChangeId) {
        let next_attempt = self.now;
        self.operators.push(OperatorRequest {
            change,
            base: None,
            next_attempt,
            target: 0,
            answered: false,
            drop_answer: false,
        });
    }

    /// Submits or resends every unanswered change that is due.
    pub(super) fn run_operators(&mut self) {
        self.bootstrap();
        for request in 0..self.operators.len() {
            if !self.operators[request].answered && self.operators[request].next_attempt <= self.now
            {
                self.send_request(request);
            }
        }
    }

    /// Has the leader propose the initial settings tree until it is in force.
    fn bootstrap(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(running) = self.hosts[leader].running.as_ref() else {
            return;
        };
        if running.machine.settings().version().0 > 0 || !running.pending.is_empty() {
            return;
        }
        let tree = initial_tree().to_string().into();
        let action = commands::LogAction::Bootstrap(commands::BootstrapSettings { tree });
        self.propose(leader, action, ids::ChangeId(0));
    }

    fn send_request(&mut self, request: usize) {
        self.operators[request].next_attempt = self.now + RESEND_TIMEOUT;
        let contacted = self.operators[request].target;
        self.operators[request].target = (contacted + 1) % self.hosts.len();
        let change = self.operators[request].change;
        let Some(running) = self.hosts[contacted].running.as_ref() else {
            return;
        };
        let version = running.machine.settings().version().0;
        if version == 0 {
            return;
        }
        let base = *self.operators[request].base.get_or_insert(version);
        if change == MAIN {
            self.inject_if_due(WorkStep::Submitted);
        }
        // A follower forwards the change to the leader that it knows.
        let Some(running) = self.hosts[contacted].running.as_ref() else {
            return;
        };
        let leader = running.node.status().leader;
        let leads = |host: &usize| leader == Some(self.hosts[*host].identity);
        let Some(leader) = (0..self.hosts.len()).find(leads) else {
            return;
        };
        let blocked = self.blocked_links.contains(&(contacted, leader))
            || self.blocked_links.contains(&(leader, contacted));
        if blocked && contacted != leader {
            return;
        }
        let value = 1 + change.0 % 4;
        let patch = format!("{{\"/policy/offers\": {value}, \"/policy/offers_max\": 8}}");
        let action = commands::LogAction::Change(commands::ChangeSettings {
            id: change.to_bytes().to_vec(),
            base,
            patch: patch.into(),
            token_digest: credentials::TokenDigest::of(TOKEN).to_string(),
        });
        self.propose(leader, action, change);
    }
}

/// Delivers the answer to a change to its operator.
pub(super) fn deliver_answer(
    simulation: &mut ControlSimulation,
    change: ids::ChangeId,
    result: commands::CommandResult,
) {
    let Some(request) = simulation
        .operators
        .iter_mut()
        .find(|request| request.change == change)
    else {
        return;
    };
    if std::mem::take(&mut request.drop_answer) || request.answered {
        return;
    }
    match result.kind {
        Some(commands::ResultKind::Changed(changed)) => {
            request.answered = true;
            let version = ids::SettingsVersion(changed.version);
            simulation.record_event(RunEvent::ChangeAccepted { change, version });
        }
        Some(commands::ResultKind::Conflict(_)) => request.answered = true,
        other => simulation.report_violation(format!("change {change} got {other:?}")),
    }
}
