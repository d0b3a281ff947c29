//! The deterministic state machine of the replicated log. Every control host applies the same
//! commands in the same order and reaches the same state, so it reads no clock and uses no random
//! numbers; commands carry the time.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message as _;
use waxwing_core::ids;

use crate::{changes, claims, commands, snapshots};

/// The largest number of stored [`commands::MemberInfo`] records.
const MAX_MEMBERS: usize = 64;

/// The replicated state of a control group: settings, claims, placement and members.
#[derive(Debug, Clone, Default)]
pub struct StateMachine {
    applied: u64,
    log_millis: u64,
    settings: changes::SettingsState,
    claims: claims::ClaimTable,
    fencing: u64,
    placement: BTreeMap<String, BTreeSet<String>>,
    members: BTreeMap<String, commands::MemberInfo>,
    /// Hosts that an operator removed. They can't rejoin on their own.
    removed_hosts: BTreeSet<String>,
}

impl StateMachine {
    /// Applies the encoded command at `index` and returns its result. A command that can't be
    /// decoded changes nothing but the applied index.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> commands::CommandResult {
        self.applied = index;
        let kind = match commands::LogCommand::decode(bytes) {
            Ok(command) => self.execute(index, command),
            Err(error) => commands::ResultKind::Malformed(error.to_string()),
        };
        commands::CommandResult::of(kind)
    }

    /// Advances the applied index past an entry without a command, such as the first of a term.
    pub fn skip(&mut self, index: u64) {
        self.applied = index;
    }

    fn execute(&mut self, index: u64, command: commands::LogCommand) -> commands::ResultKind {
        // Log time never goes back, even if a new leader starts from an older value.
        self.log_millis = self.log_millis.max(command.log_millis);
        self.claims.expire(self.log_millis);
        let context = changes::ApplyContext {
            index,
            log_millis: self.log_millis,
            wall_millis: command.wall_millis,
        };
        match command.action {
            Some(commands::LogAction::Bootstrap(bootstrap)) => {
                self.settings.bootstrap(context, &bootstrap)
            }
            Some(commands::LogAction::Change(change)) => self.settings.change(context, &change),
            Some(commands::LogAction::Claim(request)) => {
                let retention = self.retention();
                match self.claims.claim(self.log_millis, retention, &request) {
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
            Some(commands::LogAction::IssueFencingNumber(_)) => {
                self.fencing += 1;
                commands::ResultKind::Office(self.fencing)
            }
            Some(commands::LogAction::Place(place)) => {
                commands::ResultKind::Done(self.place(place))
            }
            Some(commands::LogAction::Describe(info)) => {
                let exists = self.members.contains_key(&info.name);
                let accepted = exists || self.members.len() < MAX_MEMBERS;
                if accepted {
                    self.removed_hosts.remove(&info.name);
                    self.members.insert(info.name.clone(), info);
                }
                commands::ResultKind::Done(accepted)
            }
            Some(commands::LogAction::Forget(forget)) => {
                let existed = self.members.remove(&forget.name).is_some();
                if existed {
                    self.removed_hosts.insert(forget.name);
                }
                commands::ResultKind::Done(existed)
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
            response_millis: policy.answer_retention_s.saturating_mul(1_000),
        }
    }

    /// Returns the index of the last applied entry.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the log time in milliseconds, as of the last applied command.
    #[must_use]
    pub fn log_millis(&self) -> u64 {
        self.log_millis
    }

    /// Returns the settings with their history.
    #[must_use]
    pub fn settings(&self) -> &changes::SettingsState {
        &self.settings
    }

    /// Returns the claims on idempotency keys.
    #[must_use]
    pub fn claims(&self) -> &claims::ClaimTable {
        &self.claims
    }

    /// Returns the highest fencing number issued so far; zero before the first.
    #[must_use]
    pub fn fencing(&self) -> ids::FencingNumber {
        ids::FencingNumber(self.fencing)
    }

    /// Returns the models assigned to each endpoint, by the name of its agent.
    #[must_use]
    pub fn placement(&self) -> &BTreeMap<String, BTreeSet<String>> {
        &self.placement
    }

    /// Returns the stored member records by host name.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<String, commands::MemberInfo> {
        &self.members
    }

    /// Returns whether an operator removed the host, so that it can't rejoin on its own.
    #[must_use]
    pub fn is_removed(&self, name: &str) -> bool {
        self.removed_hosts.contains(name)
    }

    /// Encodes the whole state as a snapshot.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        let assignments = self.placement.iter().flat_map(|(agent, models)| {
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
            placement: assignments.collect(),
            members: self.members.values().cloned().collect(),
            applied: self.applied,
            removed_hosts: self.removed_hosts.iter().cloned().collect(),
        }
        .encode_to_vec()
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are malformed or have an unsupported format.
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
            removed_hosts: snapshot.removed_hosts.into_iter().collect(),
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
