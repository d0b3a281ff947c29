//! The JSON bodies of the operators' interface, shared by control hosts and `waxwingctl`.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use waxwing_core::ids;

use crate::{checks, patches};

/// The longest body in bytes, in both directions.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A `SettingsAnswer` is the tree, or a part of it, in one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsAnswer {
    /// The version.
    pub version: ids::SettingsVersion,
    /// The tree or the part; digests that the operator doesn't own are hidden.
    pub tree: Value,
}

/// A `ChangeRequest` is a change that an operator submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The change id; a resend carries the same one.
    pub id: ids::ChangeId,
    /// The version that the change builds on.
    pub base: ids::SettingsVersion,
    /// The patch.
    pub patch: patches::SettingsPatch,
    /// Whether to check only.
    #[serde(default)]
    pub dry_run: bool,
}

/// A `ChangeAnswer` tells what became of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The change is accepted and is never reverted.
    Changed {
        /// The version after the change.
        version: ids::SettingsVersion,
    },
    /// The change passes every check; nothing was changed.
    Checked {
        /// The version that it was checked against.
        version: ids::SettingsVersion,
    },
    /// Another change on the same base won.
    Conflict {
        /// The version in force.
        version: ids::SettingsVersion,
        /// The change that won, if it is still remembered.
        winner: Option<ChangeRecord>,
    },
    /// Values are not allowed.
    Refused {
        /// What is not allowed.
        findings: Vec<checks::SettingFinding>,
    },
    /// The operator may not change this.
    Forbidden {
        /// The first path that the operator may not change.
        path: String,
        /// The operator.
        operator: String,
    },
}

/// A `ChangeRecord` is an accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The change id.
    pub id: ids::ChangeId,
    /// The version that it built on.
    pub base: ids::SettingsVersion,
    /// The version after it.
    pub version: ids::SettingsVersion,
    /// The operator, as `scope/name`.
    pub operator: String,
    /// The wall-clock time of the leader in milliseconds since 1970.
    pub at_ms: u64,
    /// The patch; absent where only the change is named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<Value>,
}

/// A `HistoryAnswer` lists accepted changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The version in force.
    pub version: ids::SettingsVersion,
    /// The kept changes after the asked version, oldest first.
    pub changes: Vec<ChangeRecord>,
}

/// A `MemberStatus` describes a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name; the member id where no host has described itself under it.
    pub name: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leads: bool,
    /// The address for links.
    pub link: String,
    /// The address of the operators' interface.
    pub http: String,
    /// The data centre.
    pub data_centre: String,
}

/// A `ProcessStatus` describes an announced process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The name.
    pub name: String,
    /// `entry`, `agent` or `tool`.
    pub kind: String,
    /// The data centre.
    pub data_centre: String,
    /// The incarnation.
    pub incarnation: ids::Incarnation,
    /// The settings version in force at the process.
    pub version: ids::SettingsVersion,
    /// Whether that is older than the version of the answering host.
    pub lagging: bool,
    /// Whether the process takes no new work.
    pub leaving: bool,
    /// Models that the endpoint has loaded.
    pub models: Vec<String>,
}

/// A `StatusAnswer` is the view of one control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The answering host.
    pub host: String,
    /// The leader, if it is known.
    pub leader: Option<String>,
    /// The term of the leader.
    pub term: u64,
    /// Whether a quorum confirmed this answer; if not, it may be old.
    pub confirmed: bool,
    /// The settings version in force.
    pub version: ids::SettingsVersion,
    /// The last applied log index.
    pub applied: u64,
    /// The highest fencing number.
    pub fencing: ids::FencingNumber,
    /// The number of claims.
    pub claims: usize,
    /// The control hosts.
    pub members: Vec<MemberStatus>,
    /// The announced processes.
    pub processes: Vec<ProcessStatus>,
    /// Agents whose endpoints are to be drained.
    pub draining: Vec<String>,
    /// Names that two processes announce at the same time.
    pub name_conflicts: Vec<String>,
}

/// A `MemberAction` is what is to be done with a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberAction {
    /// Add a host as a learner.
    Add,
    /// Make a learner a voter.
    Promote,
    /// Remove a host.
    Remove,
}

/// A `MemberRequest` changes the control hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// What is to be done.
    pub action: MemberAction,
    /// The name of the host.
    pub name: ids::ProcessName,
    /// The store id of its data folder; needed to add it.
    #[serde(default)]
    pub store: Option<ids::StoreId>,
    /// Its address for links as `ip:port`; needed to add it.
    #[serde(default)]
    pub link: Option<std::net::SocketAddr>,
}

/// An `ErrorAnswer` is the body of every other answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// What is wrong, in one sentence.
    pub error: String,
    /// Whether sending the same request again may help.
    pub retry: bool,
}
