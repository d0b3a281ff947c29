//! The settings in the replicated state: the current tree, the history of accepted changes, and the
//! results of recent changes, which their retries get again.

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

/// The number of most recent results that are retained whatever their age and size.
pub const MIN_RETAINED_RESULTS: usize = 10_000;

/// Log time in milliseconds for which results are retained, within the other limits: 24 h.
pub const RESULT_RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// The largest number of retained results. It bounds memory if changes arrive much faster than the
/// target rate, which yields 14,000 results a day.
pub const MAX_RETAINED_RESULTS: usize = 40_000;

/// The largest number of findings retained for a refused change. A dry run returns all of them.
pub const MAX_RETAINED_FINDINGS: usize = 4;

/// Total size of retained results in bytes above which only the last [`MIN_RETAINED_RESULTS`] are
/// kept.
pub const MAX_RETAINED_RESULT_BYTES: usize = 8 * 1024 * 1024;

/// The largest settings tree in bytes of JSON. A tree is sent in a single message.
pub const MAX_TREE_BYTES: usize = 4 * 1024 * 1024;

/// The largest number of accepted changes whose patches are kept for deltas and the history.
pub const MAX_HISTORY_CHANGES: usize = 1_000;

/// The largest total size in bytes of the patches kept for deltas and the history.
pub const MAX_HISTORY_BYTES: usize = 4 * 1024 * 1024;

/// A change that was accepted, with its patch.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedChange {
    /// Who made the change, when, and on which version.
    pub summary: commands::ChangeSummary,
    /// The patch as JSON.
    pub patch: bytes::Bytes,
}

/// The result of a change, returned again when the change is retried.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RetainedResult {
    pub(crate) log_millis: u64,
    pub(crate) fingerprint: u64,
    pub(crate) result: commands::CommandResult,
}

/// The settings part of the replicated state.
#[derive(Debug, Clone)]
pub struct SettingsState {
    pub(crate) version: u64,
    pub(crate) tree: Value,
    pub(crate) typed: Arc<view::SettingsTree>,
    pub(crate) history: VecDeque<AcceptedChange>,
    pub(crate) history_bytes: usize,
    pub(crate) retained_results: BTreeMap<u128, RetainedResult>,
    /// Change ids in the order in which their results were retained.
    pub(crate) result_order: VecDeque<u128>,
    pub(crate) result_bytes: usize,
}

impl Default for SettingsState {
    fn default() -> Self {
        Self {
            version: 0,
            tree: Value::Object(serde_json::Map::new()),
            typed: Arc::default(),
            history: VecDeque::new(),
            history_bytes: 0,
            retained_results: BTreeMap::new(),
            result_order: VecDeque::new(),
            result_bytes: 0,
        }
    }
}

/// The index and times of the log entry that is being applied.
#[derive(Debug, Clone, Copy)]
pub struct ApplyContext {
    /// The log index. A change that is accepted gets it as its settings version.
    pub index: u64,
    /// The log time in milliseconds.
    pub log_millis: u64,
    /// The wall-clock time in milliseconds since 1970, recorded in the history only.
    pub wall_millis: u64,
}

impl SettingsState {
    /// Returns the current version; zero before the initial tree.
    #[must_use]
    pub fn version(&self) -> ids::SettingsVersion {
        ids::SettingsVersion(self.version)
    }

    /// Returns the current tree as JSON.
    #[must_use]
    pub fn tree(&self) -> &Value {
        &self.tree
    }

    /// Returns the current tree, deserialized.
    #[must_use]
    pub fn typed(&self) -> &Arc<view::SettingsTree> {
        &self.typed
    }

    /// Returns the accepted changes after `version`, oldest first, or `None` if the history no
    /// longer holds all of them.
    pub fn changes_after(&self, version: u64) -> Option<impl Iterator<Item = &AcceptedChange>> {
        let start = self
            .history
            .partition_point(|change| change.summary.version <= version);
        let first = self.history.get(start);
        let complete = first.map_or(version == self.version, |change| {
            change.summary.base == version
        });
        complete.then(|| self.history.range(start..))
    }

    /// Returns the changes in the history, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.history.iter()
    }

    /// Returns the retained result of a change, if there is one.
    #[must_use]
    pub fn retained_result(&self, id: ids::ChangeId) -> Option<&commands::CommandResult> {
        self.retained_results
            .get(&id.0)
            .map(|retained| &retained.result)
    }

    /// Installs the initial tree. Does nothing if there is a tree already.
    pub(crate) fn bootstrap(
        &mut self,
        context: ApplyContext,
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
                self.install(context.index, tree, typed);
                let version = context.index;
                commands::ResultKind::Changed(commands::ChangedSettings { version })
            }
        }
    }

    /// Accepts or refuses a change. A retry with the same id gets the retained result of the first
    /// attempt.
    pub(crate) fn change(
        &mut self,
        context: ApplyContext,
        change: &commands::ChangeSettings,
    ) -> commands::ResultKind {
        let Ok(id) = ids::ChangeId::from_slice(&change.id) else {
            return commands::ResultKind::Malformed("the change id is not 16 bytes".to_owned());
        };
        let fingerprint = xxh3::xxh3_64_with_seed(&change.patch, change.base);
        if let Some(retained) = self.retained_results.get(&id.0) {
            return if retained.fingerprint == fingerprint {
                retained.result.kind.clone().unwrap_or_else(unreadable)
            } else {
                let finding = checks::SettingFinding::new(
                    "/",
                    "a change id that was used for another change",
                    "a new change id for each change",
                );
                refused(&[finding])
            };
        }
        let mut result = self.apply_change(context, change);
        truncate_findings(&mut result);
        self.retain_result(id, context.log_millis, fingerprint, result.clone());
        result
    }

    /// Checks a change without applying it or caching a result, for `waxwingctl apply --dry-run`.
    #[must_use]
    pub fn dry_run_change(&self, change: &commands::ChangeSettings) -> commands::ResultKind {
        match self.check_change(change) {
            Ok(_) => commands::ResultKind::Changed(commands::ChangedSettings {
                version: self.version,
            }),
            Err(result) => *result,
        }
    }

    fn apply_change(
        &mut self,
        context: ApplyContext,
        change: &commands::ChangeSettings,
    ) -> commands::ResultKind {
        let prepared = match self.check_change(change) {
            Ok(prepared) => prepared,
            Err(result) => return *result,
        };
        let summary = commands::ChangeSummary {
            id: change.id.clone(),
            base: change.base,
            version: context.index,
            operator: prepared.operator.to_string(),
            wall_millis: context.wall_millis,
        };
        self.install(context.index, prepared.tree, prepared.typed);
        self.push_history(AcceptedChange {
            summary,
            patch: change.patch.clone(),
        });
        commands::ResultKind::Changed(commands::ChangedSettings {
            version: context.index,
        })
    }

    fn check_change(
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

    pub(crate) fn push_history(&mut self, change: AcceptedChange) {
        self.history_bytes += change.patch.len();
        self.history.push_back(change);
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= oldest.patch.len();
        }
    }

    fn retain_result(
        &mut self,
        id: ids::ChangeId,
        log_millis: u64,
        fingerprint: u64,
        kind: commands::ResultKind,
    ) {
        let retained = RetainedResult {
            log_millis,
            fingerprint,
            result: commands::CommandResult::of(kind),
        };
        self.result_bytes += retained.result.encoded_len();
        self.retained_results.insert(id.0, retained);
        self.result_order.push_back(id.0);
        while self.result_order.len() > MIN_RETAINED_RESULTS {
            let Some(oldest) = self.result_order.front() else {
                break;
            };
            let age = self
                .retained_results
                .get(oldest)
                .map_or(u64::MAX, |retained| {
                    log_millis.saturating_sub(retained.log_millis)
                });
            let within_limits = self.result_order.len() <= MAX_RETAINED_RESULTS
                && self.result_bytes <= MAX_RETAINED_RESULT_BYTES;
            if age < RESULT_RETENTION_MILLIS && within_limits {
                break;
            }
            if let Some(retained) = self.retained_results.remove(oldest) {
                self.result_bytes -= retained.result.encoded_len();
            }
            self.result_order.pop_front();
        }
    }

    pub(crate) fn to_snapshot(&self) -> snapshots::SettingsSnapshot {
        let history = self.history.iter().map(|change| snapshots::StoredChange {
            summary: Some(change.summary.clone()),
            patch: change.patch.clone(),
        });
        let stored_results = self.result_order.iter().filter_map(|id| {
            let retained = self.retained_results.get(id)?;
            Some(snapshots::StoredResult {
                id: id.to_be_bytes().to_vec(),
                log_millis: retained.log_millis,
                fingerprint: retained.fingerprint,
                result: retained.result.encode_to_vec(),
            })
        });
        snapshots::SettingsSnapshot {
            version: self.version,
            tree: serde_json::to_vec(&self.tree).unwrap_or_default().into(),
            history: history.collect(),
            results: stored_results.collect(),
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
            state.push_history(AcceptedChange {
                summary: change.summary.unwrap_or_default(),
                patch: change.patch,
            });
        }
        for retained in snapshot.results {
            let id = ids::ChangeId::from_slice(&retained.id)
                .map_err(|_| snapshots::SnapshotError::Malformed("change id"))?;
            let result = commands::CommandResult::decode(retained.result.as_slice())
                .map_err(|_| snapshots::SnapshotError::Malformed("answer"))?;
            let stored = RetainedResult {
                log_millis: retained.log_millis,
                fingerprint: retained.fingerprint,
                result,
            };
            let length = stored.result.encoded_len();
            if state.retained_results.insert(id.0, stored).is_none() {
                state.result_bytes += length;
                state.result_order.push_back(id.0);
            }
        }
        Ok(state)
    }
}

/// A change that passed every check, with the resulting tree.
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

/// Limits the findings of a refusal, because each result is retained for a day.
fn truncate_findings(kind: &mut commands::ResultKind) {
    let commands::ResultKind::Refused(refused) = kind else {
        return;
    };
    let omitted = refused.findings.len().saturating_sub(MAX_RETAINED_FINDINGS);
    if omitted > 0 {
        refused.findings.truncate(MAX_RETAINED_FINDINGS);
        refused.findings.push(commands::RefusedValue {
            path: "/".to_owned(),
            found: format!("{omitted} more values that are not allowed"),
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
