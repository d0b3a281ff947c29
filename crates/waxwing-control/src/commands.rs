//! The commands of the replicated log and their results, as encoded in the log and on links between
//! control hosts. Field numbers must never change, because existing logs contain them.

use prost::{Enumeration, Message, Oneof};
use waxwing_settings::operations;
use waxwing_wire::messages;

/// A command in the log: an action and the time at which the leader proposed it.
#[derive(Clone, PartialEq, Message)]
pub struct LogCommand {
    /// Log time in milliseconds: the total time during which the group had a leader, measured by
    /// the leaders' monotonic clocks, so that a wall-clock jump expires nothing.
    #[prost(uint64, tag = "1")]
    pub log_millis: u64,
    /// Wall-clock time of the leader in milliseconds since 1970, recorded in the history only.
    #[prost(uint64, tag = "2")]
    pub wall_millis: u64,
    /// What to do.
    #[prost(oneof = "LogAction", tags = "10,11,12,13,14,15,16,17")]
    pub action: Option<LogAction>,
}

/// A request to the leader, which adds the time and proposes it.
#[derive(Clone, PartialEq, Message)]
pub struct Submission {
    /// What to do.
    #[prost(oneof = "LogAction", tags = "10,11,12,13,14,15,16,17")]
    pub action: Option<LogAction>,
    /// A membership change, instead of an action.
    #[prost(message, optional, tag = "30")]
    pub member: Option<MemberRequest>,
}

/// The kind of a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum MemberActionKind {
    /// Missing or unknown; always refused.
    Unspecified = 0,
    /// An operator adds a host as a learner.
    Add = 1,
    /// Promote a learner to voter.
    Promote = 2,
    /// Remove a host.
    Remove = 3,
    /// A host asks to be added. The leader accepts only hosts in its list of peers.
    Join = 4,
}

/// A request to change the members of the group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRequest {
    /// The [`MemberActionKind`].
    #[prost(enumeration = "MemberActionKind", tag = "1")]
    pub kind: i32,
    /// The host: its name and, to add it, its link address and store id.
    #[prost(message, optional, tag = "2")]
    pub info: Option<MemberInfo>,
}

impl MemberRequest {
    /// Converts a request of the operators' interface.
    #[must_use]
    pub fn from_operator(request: &operations::MemberRequest) -> Self {
        let kind = match request.action {
            operations::MemberAction::Add => MemberActionKind::Add,
            operations::MemberAction::Promote => MemberActionKind::Promote,
            operations::MemberAction::Remove => MemberActionKind::Remove,
        };
        let store = request.store.map(|store| store.to_bytes().to_vec());
        let link = request.link.map(|link| link.to_string());
        Self {
            kind: kind as i32,
            info: Some(MemberInfo {
                name: request.name.to_string(),
                link: link.unwrap_or_default(),
                store: store.unwrap_or_default(),
                ..MemberInfo::default()
            }),
        }
    }
}

/// The action of a command.
#[derive(Clone, PartialEq, Oneof)]
pub enum LogAction {
    /// Installs the first settings tree, unless there is a tree already.
    #[prost(message, tag = "10")]
    Bootstrap(BootstrapSettings),
    /// Changes the settings.
    #[prost(message, tag = "11")]
    Change(ChangeSettings),
    /// Claims an idempotency key.
    #[prost(message, tag = "12")]
    Claim(messages::ClaimKey),
    /// Stores the outcome of a claimed request.
    #[prost(message, tag = "13")]
    Complete(messages::CompleteClaim),
    /// Issues a new fencing number to a placement controller.
    #[prost(message, tag = "14")]
    IssueFencingNumber(IssueFencingNumber),
    /// Records whether an endpoint should have a model.
    #[prost(message, tag = "15")]
    Place(PlaceModel),
    /// Stores the record of a member, for `status` and for links between control hosts.
    #[prost(message, tag = "16")]
    Describe(MemberInfo),
    /// Deletes the record of a member and bars the host from rejoining on its own.
    #[prost(message, tag = "17")]
    Forget(ForgetMember),
}

/// The first settings tree of a group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BootstrapSettings {
    /// The tree as JSON.
    #[prost(bytes = "bytes", tag = "1")]
    pub tree: bytes::Bytes,
}

/// A settings change of an operator.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeSettings {
    /// The change id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The settings version that the change is based on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// The patch as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub patch: bytes::Bytes,
    /// The digest of the operator's token in hexadecimal. It is checked again when the command is
    /// applied, so that a host with old settings can't accept a removed operator.
    #[prost(string, tag = "4")]
    pub token_digest: String,
}

/// A request for a new fencing number.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IssueFencingNumber {
    /// The name of the host whose placement controller asks.
    #[prost(string, tag = "1")]
    pub name: String,
}

/// The desired placement of a model on an endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PlaceModel {
    /// The fencing number of the placement controller. A number below the newest is rejected.
    #[prost(uint64, tag = "1")]
    pub fencing: u64,
    /// The name of the endpoint's agent.
    #[prost(string, tag = "2")]
    pub agent: String,
    /// The model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Whether the endpoint should have the model.
    #[prost(bool, tag = "4")]
    pub wanted: bool,
}

/// The addresses and location of a control host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberInfo {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The address for links as `ip:port`.
    #[prost(string, tag = "2")]
    pub link: String,
    /// The address of the operators' interface as `ip:port`.
    #[prost(string, tag = "3")]
    pub http: String,
    /// The data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// The store id of the host's data folder, 16 bytes.
    #[prost(bytes = "vec", tag = "5")]
    pub store: Vec<u8>,
    /// The region; empty if unknown.
    #[prost(string, tag = "6")]
    pub region: String,
}

/// A request to delete the record of a member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ForgetMember {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
}

/// The result of a command, as encoded on links.
#[derive(Clone, PartialEq, Message)]
pub struct CommandResult {
    /// The result; absent only if it could not be decoded.
    #[prost(oneof = "ResultKind", tags = "1,2,3,4,5,6,7,8")]
    pub kind: Option<ResultKind>,
}

impl CommandResult {
    /// Wraps a result.
    #[must_use]
    pub fn of(kind: ResultKind) -> Self {
        Self { kind: Some(kind) }
    }
}

/// The outcome of a command, by kind.
#[derive(Clone, PartialEq, Oneof)]
pub enum ResultKind {
    /// The change was accepted, or the initial tree is installed.
    #[prost(message, tag = "1")]
    Changed(ChangedSettings),
    /// The base is not the current version, usually because another change was accepted first.
    #[prost(message, tag = "2")]
    Conflict(ChangeConflict),
    /// The change is invalid.
    #[prost(message, tag = "3")]
    Refused(ChangeRefused),
    /// The operator may not change one of the paths.
    #[prost(message, tag = "4")]
    Forbidden(ChangeForbidden),
    /// The current claim on the key and whether it was granted.
    #[prost(message, tag = "5")]
    Claim(messages::ClaimResult),
    /// The new fencing number.
    #[prost(uint64, tag = "6")]
    Office(u64),
    /// Whether the command took effect or had already done so.
    #[prost(bool, tag = "7")]
    Done(bool),
    /// The command is malformed and changed nothing.
    #[prost(string, tag = "8")]
    Malformed(String),
}

/// The settings version after an accepted change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangedSettings {
    /// The current version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A change whose base is not the current version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeConflict {
    /// The current version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The change that was accepted on the same base; absent if the history no longer holds it or
    /// the base was never a version.
    #[prost(message, optional, tag = "2")]
    pub winner: Option<ChangeSummary>,
}

/// Who made an accepted change, when, and on which version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeSummary {
    /// The change id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The version that the change was based on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// The version after the change.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The operator, as `scope/name`.
    #[prost(string, tag = "4")]
    pub operator: String,
    /// The wall-clock time of the leader in milliseconds since 1970.
    #[prost(uint64, tag = "5")]
    pub wall_millis: u64,
}

/// The reasons why a change is invalid.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeRefused {
    /// The invalid values.
    #[prost(message, repeated, tag = "1")]
    pub findings: Vec<RefusedValue>,
}

/// An invalid value in the settings, or another reason for a refusal.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RefusedValue {
    /// The path of the value in the settings tree.
    #[prost(string, tag = "1")]
    pub path: String,
    /// What was found.
    #[prost(string, tag = "2")]
    pub found: String,
    /// What is allowed.
    #[prost(string, tag = "3")]
    pub allowed: String,
}

/// The first path that the operator may not change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeForbidden {
    /// The path; empty if the operator is unknown.
    #[prost(string, tag = "1")]
    pub path: String,
    /// The operator, as `scope/name`; empty if unknown.
    #[prost(string, tag = "2")]
    pub operator: String,
}
