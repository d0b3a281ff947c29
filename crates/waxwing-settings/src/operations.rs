//! JSON bodies of the operators' HTTP API, shared by control hosts and `waxwingctl`.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use waxwing_core::ids;

use crate::{checks, patches};

/// Maximum length of a request or response body in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Response with one version of the settings tree or of a subtree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsAnswer {
    /// The version of the tree.
    pub version: ids::SettingsVersion,
    /// The tree or subtree; token digests that the operator may not change are replaced by a
    /// placeholder.
    pub tree: Value,
}

/// Request to change the settings tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The id of the change; a retry uses the same one.
    pub id: ids::ChangeId,
    /// The version of the tree that the change is based on.
    pub base: ids::SettingsVersion,
    /// The patch to apply.
    pub patch: patches::SettingsPatch,
    /// Whether to validate the change without applying it.
    #[serde(default)]
    pub dry_run: bool,
}

/// Response to a [`ChangeRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The change is committed and will never be reverted.
    Changed {
        /// The version after the change.
        version: ids::SettingsVersion,
    },
    /// The dry run succeeded; nothing was changed.
    Checked {
        /// The version that the change was validated against.
        version: ids::SettingsVersion,
    },
    /// A change on the same base was committed first.
    Conflict {
        /// The current version.
        version: ids::SettingsVersion,
        /// The change that was committed first, if it is still in the history.
        winner: Option<ChangeRecord>,
    },
    /// The changed tree is invalid.
    Refused {
        /// The values that are not allowed.
        findings: Vec<checks::SettingFinding>,
    },
    /// The operator is not authorized to make the change.
    Forbidden {
        /// The first path that the operator may not change.
        path: String,
        /// The operator, as `scope/name`.
        operator: String,
    },
}

/// A committed change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The id of the change.
    pub id: ids::ChangeId,
    /// The version that the change was based on.
    pub base: ids::SettingsVersion,
    /// The version that the change created.
    pub version: ids::SettingsVersion,
    /// The operator who submitted it, as `scope/name`.
    pub operator: String,
    /// The leader's wall-clock time at the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The patch; omitted where the record only identifies the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<Value>,
}

/// Response with committed changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The current version.
    pub version: ids::SettingsVersion,
    /// The retained changes after the requested version, oldest first.
    pub changes: Vec<ChangeRecord>,
}

/// Status of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the host, or its member id while the host hasn't published its name.
    pub name: String,
    /// Whether the host is a voter of the replicated log.
    pub voter: bool,
    /// Whether the host is the leader.
    pub leads: bool,
    /// The address for links from other processes.
    pub link: String,
    /// The address of the operators' HTTP API.
    pub http: String,
    /// The data centre.
    pub data_centre: String,
}

/// Status of a process listed in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The name of the process.
    pub name: String,
    /// `entry`, `agent` or `tool`.
    pub kind: String,
    /// The data centre.
    pub data_centre: String,
    /// The incarnation, which distinguishes restarts of the process.
    pub incarnation: ids::Incarnation,
    /// The settings version that the process uses.
    pub version: ids::SettingsVersion,
    /// Whether that version is older than the one of the responding host.
    pub lagging: bool,
    /// Whether the process has announced its shutdown and accepts no new work.
    pub leaving: bool,
    /// Models that the endpoint has loaded.
    pub models: Vec<String>,
}

/// Response with the status of the fleet as known to one control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The responding host.
    pub host: String,
    /// The leader, if known.
    pub leader: Option<String>,
    /// The current term of the replicated log.
    pub term: u64,
    /// Whether a quorum confirmed this response; otherwise it may be stale.
    pub confirmed: bool,
    /// The current settings version.
    pub version: ids::SettingsVersion,
    /// The index of the last applied log entry.
    pub applied: u64,
    /// The highest fencing number assigned so far.
    pub fencing: ids::FencingNumber,
    /// The number of claims.
    pub claims: usize,
    /// Status of the control hosts.
    pub members: Vec<MemberStatus>,
    /// Status of the processes in the directory.
    pub processes: Vec<ProcessStatus>,
    /// Agents whose endpoints are to be drained.
    pub draining: Vec<String>,
    /// Names that two processes use at the same time.
    pub name_conflicts: Vec<String>,
}

/// A change of the replicated log's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberAction {
    /// Add a host as a learner.
    Add,
    /// Promote a learner to a voter.
    Promote,
    /// Remove a host.
    Remove,
}

/// Request to change the membership of the control hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// The change to make.
    pub action: MemberAction,
    /// The name of the host.
    pub name: ids::ProcessName,
    /// The store id of the host's data folder; required to add the host.
    #[serde(default)]
    pub store: Option<ids::StoreId>,
    /// The host's address for links as `ip:port`; required to add the host.
    #[serde(default)]
    pub link: Option<std::net::SocketAddr>,
}

/// Body of all other error responses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// What went wrong, in one sentence.
    pub error: String,
    /// Whether a retry of the same request may succeed.
    pub retry: bool,
}
