//! Operators that submit changes and resend them until they get an answer.

use std::time::Duration;

use waxwing_control::commands;
use waxwing_core::ids;
use waxwing_proof::{events::RunEvent, steps::WorkStep};
use waxwing_settings::credentials;

use super::{ControlWorld, MAIN};

const TOKEN: &str = "root-token";

/// How long an operator waits for an answer before a resend.
const PATIENCE: Duration = Duration::from_secs(1);

/// An `OperatorAsk` is a change that an operator wants.
pub(super) struct OperatorAsk {
    pub(super) change: ids::ChangeId,
    pub(super) base: Option<u64>,
    next_try: Duration,
    target: usize,
    pub(super) answered: bool,
    pub(super) lose_answer: bool,
}

/// Builds the first tree, with one operator of root.
pub(super) fn first_tree() -> serde_json::Value {
    let digest = credentials::TokenDigest::of(TOKEN).to_string();
    serde_json::json!({
        "tiers": {"urgent": {"rank": 0}},
        "fleet": {"operators": {"ada": {"token_digests": [digest]}}},
    })
}

impl ControlWorld {
    pub(super) fn submit(&mut self, change: ids::ChangeId) {
        let next_try = self.now;
        self.operators.push(OperatorAsk {
            change,
            base: None,
            next_try,
            target: 0,
            answered: false,
            lose_answer: false,
        });
    }

    /// Lets every operator whose time has come ask, or ask again.
    pub(super) fn operate(&mut self) {
        self.bootstrap();
        for ask in 0..self.operators.len() {
            if !self.operators[ask].answered && self.operators[ask].next_try <= self.now {
                self.ask(ask);
            }
        }
    }

    /// The leader sets the first tree once.
    fn bootstrap(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(life) = self.hosts[leader].life.as_ref() else {
            return;
        };
        if life.machine.settings().version().0 > 0 || !life.pending.is_empty() {
            return;
        }
        let tree = first_tree().to_string().into();
        let action = commands::LogAction::Bootstrap(commands::BootstrapSettings { tree });
        self.propose(leader, action, ids::ChangeId(0));
    }

    fn ask(&mut self, ask: usize) {
        self.operators[ask].next_try = self.now + PATIENCE;
        let asked = self.operators[ask].target;
        self.operators[ask].target = (asked + 1) % self.hosts.len();
        let change = self.operators[ask].change;
        let Some(life) = self.hosts[asked].life.as_ref() else {
            return;
        };
        let version = life.machine.settings().version().0;
        if version == 0 {
            return;
        }
        let base = *self.operators[ask].base.get_or_insert(version);
        if change == MAIN {
            self.strike_if_due(WorkStep::Submitted);
        }
        // A follower passes the change on to the leader that it knows.
        let Some(life) = self.hosts[asked].life.as_ref() else {
            return;
        };
        let leader = life.node.status().leader;
        let leads = |host: &usize| leader == Some(self.hosts[*host].identity);
        let Some(leader) = (0..self.hosts.len()).find(leads) else {
            return;
        };
        let cut = self.cuts.contains(&(asked, leader)) || self.cuts.contains(&(leader, asked));
        if cut && asked != leader {
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

/// Gives an operator the answer to a change.
pub(super) fn take_answer(
    world: &mut ControlWorld,
    change: ids::ChangeId,
    result: commands::CommandResult,
) {
    let Some(ask) = world.operators.iter_mut().find(|ask| ask.change == change) else {
        return;
    };
    if std::mem::take(&mut ask.lose_answer) || ask.answered {
        return;
    }
    match result.kind {
        Some(commands::ResultKind::Changed(changed)) => {
            ask.answered = true;
            let version = ids::SettingsVersion(changed.version);
            world.note(RunEvent::ChangeAccepted { change, version });
        }
        Some(commands::ResultKind::Conflict(_)) => ask.answered = true,
        other => world.violate(format!("change {change} got {other:?}")),
    }
}
