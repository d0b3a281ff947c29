//! The settings in the log's state: the tree, the accepted changes, and the remembered answers.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use prost::Message as _;
use serde_json::Value;
use waxwing_core::ids;
use waxwing_settings::{checks, credentials, ownership, patches, view};
use xxhash_rust::xxh3;

use crate::{commands, snapshots};

/// Answers that are always remembered, however old.
pub const REMEMBERED_ANSWERS: usize = 10_000;

/// Log time in milliseconds for which every answer is remembered: 24 h.
pub const REMEMBERED_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// Answers at most, which bounds memory under a flood of changes; a day has 14,000 at the target.
pub const MAX_ANSWERS: usize = 40_000;

/// Findings of a refused change that are remembered; a trial shows all.
pub const REMEMBERED_FINDINGS: usize = 4;

/// Bytes of remembered answers from which on only the last 10,000 are kept.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The longest tree in bytes of JSON; it travels in one message.
pub const MAX_TREE_BYTES: usize = 4 * 1024 * 1024;

/// Accepted changes whose patches are kept for deltas and the history.
pub const KEPT_CHANGES: usize = 1_000;

/// Bytes of patches at most that are kept for deltas and the history.
pub const KEPT_PATCH_BYTES: usize = 4 * 1024 * 1024;

/// An `AcceptedChange` is a change with its patch.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedChange {
    /// Who changed what, and when.
    pub summary: commands::ChangeSummary,
    /// The patch as JSON.
    pub patch: bytes::Bytes,
}

/// A `RememberedAnswer` is the answer that a resend of a change gets.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RememberedAnswer {
    pub(crate) log_millis: u64,
    pub(crate) fingerprint: u64,
    pub(crate) result: commands::CommandResult,
}

/// A `SettingsState` is the settings part of the log's state.
#[derive(Debug, Clone)]
pub struct SettingsState {
    pub(crate) version: u64,
    pub(crate) tree: Value,
    pub(crate) typed: Arc<view::SettingsTree>,
    pub(crate) history: VecDeque<AcceptedChange>,
    pub(crate) history_bytes: usize,
    pub(crate) answers: BTreeMap<u128, RememberedAnswer>,
    /// Change ids in the order of their first answers.
    pub(crate) answer_order: VecDeque<u128>,
    pub(crate) answer_bytes: usize,
}

impl Default for SettingsState {
    fn default() -> Self {
        Self {
            version: 0,
            tree: Value::Object(serde_json::Map::new()),
            typed: Arc::default(),
            history: VecDeque::new(),
            history_bytes: 0,
            answers: BTreeMap::new(),
            answer_order: VecDeque::new(),
            answer_bytes: 0,
        }
    }
}

/// A `ChangeMoment` is the place and time of a change in the log.
#[derive(Debug, Clone, Copy)]
pub struct ChangeMoment {
    /// The index in the log, which becomes the version.
    pub index: u64,
    /// The log time in milliseconds.
    pub log_millis: u64,
    /// The wall-clock label in milliseconds since 1970.
    pub wall_millis: u64,
}

impl SettingsState {
    /// Returns the version in force; zero before the first tree.
    #[must_use]
    pub fn version(&self) -> ids::SettingsVersion {
        ids::SettingsVersion(self.version)
    }

    /// Returns the tree as JSON.
    #[must_use]
    pub fn tree(&self) -> &Value {
        &self.tree
    }

    /// Returns the typed tree.
    #[must_use]
    pub fn typed(&self) -> &Arc<view::SettingsTree> {
        &self.typed
    }

    /// Returns the accepted changes after `version`, oldest first, or `None` if some of them are
    /// no longer kept.
    pub fn changes_after(&self, version: u64) -> Option<impl Iterator<Item = &AcceptedChange>> {
        let start = self
            .history
            .partition_point(|change| change.summary.version <= version);
        let first = self.history.get(start);
        let whole = first.map_or(version == self.version, |change| {
            change.summary.base == version
        });
        whole.then(|| self.history.range(start..))
    }

    /// Returns the kept changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.history.iter()
    }

    /// Returns the first answer of a change, if it is remembered.
    #[must_use]
    pub fn answer(&self, id: ids::ChangeId) -> Option<&commands::CommandResult> {
        self.answers.get(&id.0).map(|answer| &answer.result)
    }

    /// Sets the first tree, unless there is one.
    pub(crate) fn bootstrap(
        &mut self,
        moment: ChangeMoment,
        bootstrap: &commands::BootstrapSettings,
    ) -> commands::ResultKind {
        if self.version != 0 {
            let version = self.version;
            return commands::ResultKind::Changed(commands::ChangedSettings { version });
        }
        let Ok(tree) = serde_json::from_slice(&bootstrap.tree) else {
            return commands::ResultKind::Malformed("the first tree is not JSON".to_owned());
        };
        match checks::check_tree(&tree) {
            Err(findings) => refused(&findings),
            Ok(typed) => {
                self.install(moment.index, tree, typed);
                let version = moment.index;
                commands::ResultKind::Changed(commands::ChangedSettings { version })
            }
        }
    }

    /// Decides a change, or repeats the first answer of a resend.
    pub(crate) fn change(
        &mut self,
        moment: ChangeMoment,
        change: &commands::ChangeSettings,
    ) -> commands::ResultKind {
        let Ok(id) = ids::ChangeId::from_slice(&change.id) else {
            return commands::ResultKind::Malformed("the change id is not 16 bytes".to_owned());
        };
        let fingerprint = xxh3::xxh3_64_with_seed(&change.patch, change.base);
        if let Some(answer) = self.answers.get(&id.0) {
            return if answer.fingerprint == fingerprint {
                answer.result.kind.clone().unwrap_or_else(unreadable)
            } else {
                let finding = checks::SettingFinding::new(
                    "/",
                    "a change id that was used for another change",
                    "a new change id for each change",
                );
                refused(&[finding])
            };
        }
        let mut result = self.decide(moment, change);
        shorten(&mut result);
        self.remember(id, moment.log_millis, fingerprint, result.clone());
        result
    }

    /// Decides a change without remembering anything; `waxwingctl apply --dry-run` uses it.
    #[must_use]
    pub fn try_change(&self, change: &commands::ChangeSettings) -> commands::ResultKind {
        match self.prepare(change) {
            Ok(_) => commands::ResultKind::Changed(commands::ChangedSettings {
                version: self.version,
            }),
            Err(result) => *result,
        }
    }

    fn decide(
        &mut self,
        moment: ChangeMoment,
        change: &commands::ChangeSettings,
    ) -> commands::ResultKind {
        let prepared = match self.prepare(change) {
            Ok(prepared) => prepared,
            Err(result) => return *result,
        };
        let summary = commands::ChangeSummary {
            id: change.id.clone(),
            base: change.base,
            version: moment.index,
            operator: prepared.operator.to_string(),
            wall_millis: moment.wall_millis,
        };
        self.install(moment.index, prepared.tree, prepared.typed);
        self.record(AcceptedChange {
            summary,
            patch: change.patch.clone(),
        });
        commands::ResultKind::Changed(commands::ChangedSettings {
            version: moment.index,
        })
    }

    fn prepare(
        &self,
        change: &commands::ChangeSettings,
    ) -> Result<PreparedChange, Box<commands::ResultKind>> {
        let operator = change
            .token_digest
            .parse::<credentials::TokenDigest>()
            .ok()
            .and_then(|digest| ownership::find_operator(&self.typed, digest));
        let Some(operator) = operator else {
            return Err(Box::new(forbidden("", "")));
        };
        if change.base != self.version {
            let conflict = self.conflict(change.base);
            return Err(Box::new(commands::ResultKind::Conflict(conflict)));
        }
        let patch = patches::SettingsPatch::from_slice(&change.patch)
            .map_err(|error| Box::new(refused_patch(&error)))?;
        if let Some(path) = ownership::first_forbidden(&self.typed, &operator.scope, &patch) {
            return Err(Box::new(forbidden(&path, &operator.to_string())));
        }
        let mut tree = self.tree.clone();
        patch
            .apply(&mut tree)
            .map_err(|error| Box::new(refused_patch(&error)))?;
        let length = serde_json::to_vec(&tree).map_or(usize::MAX, |bytes| bytes.len());
        if length > MAX_TREE_BYTES {
            let found = format!("a tree of {length} bytes");
            let allowed = format!("at most {MAX_TREE_BYTES} bytes");
            let finding = checks::SettingFinding::new("/", &found, &allowed);
            return Err(Box::new(refused(&[finding])));
        }
        let typed = checks::check_tree(&tree).map_err(|findings| Box::new(refused(&findings)))?;
        Ok(PreparedChange {
            operator,
            tree,
            typed,
        })
    }

    fn conflict(&self, base: u64) -> commands::ChangeConflict {
        let winner = self
            .history
            .iter()
            .find(|change| change.summary.base == base);
        commands::ChangeConflict {
            version: self.version,
            winner: winner.map(|change| change.summary.clone()),
        }
    }

    pub(crate) fn install(&mut self, version: u64, tree: Value, typed: view::SettingsTree) {
        self.version = version;
        self.tree = tree;
        self.typed = Arc::new(typed);
    }

    pub(crate) fn record(&mut self, change: AcceptedChange) {
        self.history_bytes += change.patch.len();
        self.history.push_back(change);
        while self.history.len() > KEPT_CHANGES || self.history_bytes > KEPT_PATCH_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= oldest.patch.len();
        }
    }

    fn remember(
        &mut self,
        id: ids::ChangeId,
        log_millis: u64,
        fingerprint: u64,
        kind: commands::ResultKind,
    ) {
        let answer = RememberedAnswer {
            log_millis,
            fingerprint,
            result: commands::CommandResult::of(kind),
        };
        self.answer_bytes += answer.result.encoded_len();
        self.answers.insert(id.0, answer);
        self.answer_order.push_back(id.0);
        while self.answer_order.len() > REMEMBERED_ANSWERS {
            let Some(oldest) = self.answer_order.front() else {
                break;
            };
            let age = self.answers.get(oldest).map_or(u64::MAX, |answer| {
                log_millis.saturating_sub(answer.log_millis)
            });
            let room =
                self.answer_order.len() <= MAX_ANSWERS && self.answer_bytes <= MAX_ANSWER_BYTES;
            if age < REMEMBERED_MILLIS && room {
                break;
            }
            if let Some(answer) = self.answers.remove(oldest) {
                self.answer_bytes -= answer.result.encoded_len();
            }
            self.answer_order.pop_front();
        }
    }

    pub(crate) fn to_snapshot(&self) -> snapshots::SettingsSnapshot {
        let history = self.history.iter().map(|change| snapshots::StoredChange {
            summary: Some(change.summary.clone()),
            patch: change.patch.clone(),
        });
        let answers = self.answer_order.iter().filter_map(|id| {
            let answer = self.answers.get(id)?;
            Some(snapshots::StoredAnswer {
                id: id.to_be_bytes().to_vec(),
                log_millis: answer.log_millis,
                fingerprint: answer.fingerprint,
                result: answer.result.encode_to_vec(),
            })
        });
        snapshots::SettingsSnapshot {
            version: self.version,
            tree: serde_json::to_vec(&self.tree).unwrap_or_default().into(),
            history: history.collect(),
            answers: answers.collect(),
        }
    }

    pub(crate) fn from_snapshot(
        snapshot: snapshots::SettingsSnapshot,
    ) -> Result<Self, snapshots::SnapshotError> {
        let tree: Value = serde_json::from_slice(&snapshot.tree)
            .map_err(|_| snapshots::SnapshotError::Malformed("settings tree"))?;
        let typed = serde_json::from_value(tree.clone())
            .map_err(|_| snapshots::SnapshotError::Malformed("settings tree"))?;
        let mut state = Self::default();
        state.install(snapshot.version, tree, typed);
        for change in snapshot.history {
            state.record(AcceptedChange {
                summary: change.summary.unwrap_or_default(),
                patch: change.patch,
            });
        }
        for answer in snapshot.answers {
            let id = ids::ChangeId::from_slice(&answer.id)
                .map_err(|_| snapshots::SnapshotError::Malformed("change id"))?;
            let result = commands::CommandResult::decode(answer.result.as_slice())
                .map_err(|_| snapshots::SnapshotError::Malformed("answer"))?;
            let stored = RememberedAnswer {
                log_millis: answer.log_millis,
                fingerprint: answer.fingerprint,
                result,
            };
            let length = stored.result.encoded_len();
            if state.answers.insert(id.0, stored).is_none() {
                state.answer_bytes += length;
                state.answer_order.push_back(id.0);
            }
        }
        Ok(state)
    }
}

/// A `PreparedChange` is a change that passed every check.
struct PreparedChange {
    operator: ownership::OperatorIdentity,
    tree: Value,
    typed: view::SettingsTree,
}

fn unreadable() -> commands::ResultKind {
    commands::ResultKind::Malformed("the answer can't be read".to_owned())
}

fn forbidden(path: &str, operator: &str) -> commands::ResultKind {
    commands::ResultKind::Forbidden(commands::ChangeForbidden {
        path: path.to_owned(),
        operator: operator.to_owned(),
    })
}

fn refused(findings: &[checks::SettingFinding]) -> commands::ResultKind {
    let findings = findings.iter().map(|finding| commands::RefusedValue {
        path: finding.path.to_string(),
        found: finding.found.to_string(),
        allowed: finding.allowed.to_string(),
    });
    commands::ResultKind::Refused(commands::ChangeRefused {
        findings: findings.collect(),
    })
}

/// Keeps the first findings of a refusal, since each answer is kept for a day.
fn shorten(kind: &mut commands::ResultKind) {
    let commands::ResultKind::Refused(refused) = kind else {
        return;
    };
    let more = refused.findings.len().saturating_sub(REMEMBERED_FINDINGS);
    if more > 0 {
        refused.findings.truncate(REMEMBERED_FINDINGS);
        refused.findings.push(commands::RefusedValue {
            path: "/".to_owned(),
            found: format!("{more} more values that are not allowed"),
            allowed: "a change that passes a trial, which lists all of them".to_owned(),
        });
    }
}

fn refused_patch(error: &waxwing_settings::errors::PatchError) -> commands::ResultKind {
    let finding = checks::SettingFinding::new(
        error.path(),
        &error.to_string(),
        "a JSON object from paths to values, with null for removal",
    );
    refused(&[finding])
}
