//! The deterministic state machine behind the replicated log: every control host applies the same
//! commands in the same order and reaches the same state. It reads no clock and draws no random
//! number; time comes with the commands.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message as _;
use waxwing_core::ids;

use crate::{changes, claims, commands, snapshots};

/// Descriptions of members at most.
const MAX_MEMBERS: usize = 64;

/// A `StateMachine` is the whole durable state of a control group.
#[derive(Debug, Clone, Default)]
pub struct StateMachine {
    applied: u64,
    log_millis: u64,
    settings: changes::SettingsState,
    claims: claims::ClaimTable,
    fencing: u64,
    placement: BTreeMap<String, BTreeSet<String>>,
    members: BTreeMap<String, commands::MemberInfo>,
    /// Hosts that an operator removed; they don't join again by themselves.
    barred: BTreeSet<String>,
}

impl StateMachine {
    /// Applies the command at `index`. A command that can't be read changes nothing.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> commands::CommandResult {
        self.applied = index;
        let kind = match commands::LogCommand::decode(bytes) {
            Ok(command) => self.run(index, command),
            Err(error) => commands::ResultKind::Malformed(error.to_string()),
        };
        commands::CommandResult::of(kind)
    }

    /// Notes an entry without a command, such as the first of a term.
    pub fn skip(&mut self, index: u64) {
        self.applied = index;
    }

    fn run(&mut self, index: u64, command: commands::LogCommand) -> commands::ResultKind {
        // Time never goes back, also when a new leader starts from an older reading.
        self.log_millis = self.log_millis.max(command.log_millis);
        self.claims.expire(self.log_millis);
        let moment = changes::ChangeMoment {
            index,
            log_millis: self.log_millis,
            wall_millis: command.wall_millis,
        };
        match command.action {
            Some(commands::LogAction::Bootstrap(bootstrap)) => {
                self.settings.bootstrap(moment, &bootstrap)
            }
            Some(commands::LogAction::Change(change)) => self.settings.change(moment, &change),
            Some(commands::LogAction::Claim(question)) => {
                let retention = self.retention();
                match self.claims.claim(self.log_millis, retention, &question) {
                    Ok(result) => commands::ResultKind::Claim(result),
                    Err(detail) => commands::ResultKind::Malformed(detail.to_owned()),
                }
            }
            Some(commands::LogAction::Complete(completion)) => {
                let retention = self.retention();
                self.claims
                    .complete(self.log_millis, retention, &completion);
                commands::ResultKind::Done(true)
            }
            Some(commands::LogAction::TakeOffice(_)) => {
                self.fencing += 1;
                commands::ResultKind::Office(self.fencing)
            }
            Some(commands::LogAction::Place(place)) => {
                commands::ResultKind::Done(self.place(place))
            }
            Some(commands::LogAction::Describe(info)) => {
                let known = self.members.contains_key(&info.name);
                let room = known || self.members.len() < MAX_MEMBERS;
                if room {
                    self.barred.remove(&info.name);
                    self.members.insert(info.name.clone(), info);
                }
                commands::ResultKind::Done(room)
            }
            Some(commands::LogAction::Forget(forget)) => {
                let known = self.members.remove(&forget.name).is_some();
                if known {
                    self.barred.insert(forget.name);
                }
                commands::ResultKind::Done(known)
            }
            None => commands::ResultKind::Malformed("the command has no known action".to_owned()),
        }
    }

    fn place(&mut self, place: commands::PlaceModel) -> bool {
        if place.fencing < self.fencing {
            return false;
        }
        let models = self.placement.entry(place.agent.clone()).or_default();
        if place.wanted {
            models.insert(place.model);
        } else {
            models.remove(&place.model);
        }
        if models.is_empty() {
            self.placement.remove(&place.agent);
        }
        true
    }

    fn retention(&self) -> claims::ClaimRetention {
        let policy = &self.settings.typed().policy;
        claims::ClaimRetention {
            key_millis: policy.key_retention_s.saturating_mul(1_000),
            answer_millis: policy.answer_retention_s.saturating_mul(1_000),
        }
    }

    /// Returns the last applied index.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the log time in milliseconds.
    #[must_use]
    pub fn log_millis(&self) -> u64 {
        self.log_millis
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &changes::SettingsState {
        &self.settings
    }

    /// Returns the claims.
    #[must_use]
    pub fn claims(&self) -> &claims::ClaimTable {
        &self.claims
    }

    /// Returns the highest fencing number.
    #[must_use]
    pub fn fencing(&self) -> ids::FencingNumber {
        ids::FencingNumber(self.fencing)
    }

    /// Returns which agent's endpoint should have which models.
    #[must_use]
    pub fn placement(&self) -> &BTreeMap<String, BTreeSet<String>> {
        &self.placement
    }

    /// Returns the descriptions of the members by name.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<String, commands::MemberInfo> {
        &self.members
    }

    /// Tells whether an operator removed a host, so that it doesn't join again by itself.
    #[must_use]
    pub fn is_barred(&self, name: &str) -> bool {
        self.barred.contains(name)
    }

    /// Encodes the whole state.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        let placed = self.placement.iter().flat_map(|(agent, models)| {
            models.iter().map(|model| commands::PlaceModel {
                fencing: 0,
                agent: agent.clone(),
                model: model.clone(),
                wanted: true,
            })
        });
        snapshots::StateSnapshot {
            format: snapshots::SNAPSHOT_FORMAT,
            log_millis: self.log_millis,
            settings: Some(self.settings.to_snapshot()),
            claims: self.claims.to_snapshot(),
            fencing: self.fencing,
            placement: placed.collect(),
            members: self.members.values().cloned().collect(),
            applied: self.applied,
            barred: self.barred.iter().cloned().collect(),
        }
        .encode_to_vec()
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// Fails if the bytes are not a snapshot of a known format.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, snapshots::SnapshotError> {
        let snapshot = snapshots::StateSnapshot::decode(bytes)?;
        if snapshot.format != snapshots::SNAPSHOT_FORMAT {
            return Err(snapshots::SnapshotError::Format {
                found: snapshot.format,
                allowed: snapshots::SNAPSHOT_FORMAT,
            });
        }
        let settings = snapshot
            .settings
            .ok_or(snapshots::SnapshotError::Malformed("settings part"))?;
        let mut machine = Self {
            applied: snapshot.applied,
            log_millis: snapshot.log_millis,
            settings: changes::SettingsState::from_snapshot(settings)?,
            claims: claims::ClaimTable::from_snapshot(snapshot.claims)?,
            fencing: snapshot.fencing,
            barred: snapshot.barred.into_iter().collect(),
            ..Self::default()
        };
        for place in snapshot.placement {
            let models = machine.placement.entry(place.agent).or_default();
            models.insert(place.model);
        }
        let members = snapshot.members.into_iter();
        machine.members = members.map(|info| (info.name.clone(), info)).collect();
        Ok(machine)
    }
}
