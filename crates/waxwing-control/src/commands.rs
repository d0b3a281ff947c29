//! The commands of the replicated log and their results, as the log and the links between control
//! hosts carry them. Field numbers are fixed for good, since old logs hold them.

use prost::{Enumeration, Message, Oneof};
use waxwing_settings::operations;
use waxwing_wire::messages;

/// A `LogCommand` is one entry of the log: an action and the time at which the leader took it.
#[derive(Clone, PartialEq, Message)]
pub struct LogCommand {
    /// Log time in milliseconds: time during which some leader was in office, by the monotonic
    /// clocks of the leaders, so that a jump of a wall clock expires nothing.
    #[prost(uint64, tag = "1")]
    pub log_millis: u64,
    /// Wall-clock time of the leader in milliseconds since 1970; only a label in the history.
    #[prost(uint64, tag = "2")]
    pub wall_millis: u64,
    /// What to do.
    #[prost(oneof = "LogAction", tags = "10,11,12,13,14,15,16,17")]
    pub action: Option<LogAction>,
}

/// A `Submission` carries an action to the leader, which adds the time.
#[derive(Clone, PartialEq, Message)]
pub struct Submission {
    /// What to do.
    #[prost(oneof = "LogAction", tags = "10,11,12,13,14,15,16,17")]
    pub action: Option<LogAction>,
    /// A change of the members, in place of an action.
    #[prost(message, optional, tag = "30")]
    pub member: Option<MemberRequest>,
}

/// A `MemberActionKind` is what is to be done with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum MemberActionKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// An operator adds a host as a learner.
    Add = 1,
    /// Make a learner a voter.
    Promote = 2,
    /// Remove a host.
    Remove = 3,
    /// A host asks to be added, which needs its name in the leader's list of peers.
    Join = 4,
}

/// A `MemberRequest` changes the members of the group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRequest {
    /// What is to be done.
    #[prost(enumeration = "MemberActionKind", tag = "1")]
    pub kind: i32,
    /// The host; name and, where it is added, link address and store id.
    #[prost(message, optional, tag = "2")]
    pub info: Option<MemberInfo>,
}

impl MemberRequest {
    /// Builds the request of an operator.
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

/// A `LogAction` is what a command does.
#[derive(Clone, PartialEq, Oneof)]
pub enum LogAction {
    /// Sets the first tree, unless there is one.
    #[prost(message, tag = "10")]
    Bootstrap(BootstrapSettings),
    /// Changes the settings.
    #[prost(message, tag = "11")]
    Change(ChangeSettings),
    /// Claims an idempotency key.
    #[prost(message, tag = "12")]
    Claim(messages::ClaimKey),
    /// Stores the result of a claimed request.
    #[prost(message, tag = "13")]
    Complete(messages::CompleteClaim),
    /// Gives a new decider its fencing number.
    #[prost(message, tag = "14")]
    TakeOffice(TakeOffice),
    /// Places a model on an endpoint, or takes it away.
    #[prost(message, tag = "15")]
    Place(PlaceModel),
    /// Names a member of the group, for `status` and for links between control hosts.
    #[prost(message, tag = "16")]
    Describe(MemberInfo),
    /// Forgets the description of a member.
    #[prost(message, tag = "17")]
    Forget(ForgetMember),
}

/// A `BootstrapSettings` sets the first tree.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BootstrapSettings {
    /// The tree as JSON.
    #[prost(bytes = "bytes", tag = "1")]
    pub tree: bytes::Bytes,
}

/// A `ChangeSettings` is an operator's change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeSettings {
    /// The change id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The version that the change builds on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// The patch as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub patch: bytes::Bytes,
    /// The digest of the operator's token in hexadecimal. The log checks it again, so that a host
    /// with old settings can't accept an operator who was removed.
    #[prost(string, tag = "4")]
    pub token_digest: String,
}

/// A `TakeOffice` asks for a fencing number.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TakeOffice {
    /// The name of the deciding host.
    #[prost(string, tag = "1")]
    pub name: String,
}

/// A `PlaceModel` says whether an endpoint should have a model.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PlaceModel {
    /// The fencing number of the decider; an older one than the newest is refused.
    #[prost(uint64, tag = "1")]
    pub fencing: u64,
    /// The agent beside the endpoint.
    #[prost(string, tag = "2")]
    pub agent: String,
    /// The model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Whether it is wanted there.
    #[prost(bool, tag = "4")]
    pub wanted: bool,
}

/// A `MemberInfo` describes a control host.
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
    /// The store id of its data folder, 16 bytes.
    #[prost(bytes = "vec", tag = "5")]
    pub store: Vec<u8>,
    /// The region; empty where it is not known.
    #[prost(string, tag = "6")]
    pub region: String,
}

/// A `ForgetMember` removes a description.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ForgetMember {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
}

/// A `CommandResult` is the result of one command.
#[derive(Clone, PartialEq, Message)]
pub struct CommandResult {
    /// The result by kind.
    #[prost(oneof = "ResultKind", tags = "1,2,3,4,5,6,7,8")]
    pub kind: Option<ResultKind>,
}

impl CommandResult {
    /// Wraps a kind of result.
    #[must_use]
    pub fn of(kind: ResultKind) -> Self {
        Self { kind: Some(kind) }
    }
}

/// A `ResultKind` is what a command led to.
#[derive(Clone, PartialEq, Oneof)]
pub enum ResultKind {
    /// The settings have this version now.
    #[prost(message, tag = "1")]
    Changed(ChangedSettings),
    /// Another change on the same version won.
    #[prost(message, tag = "2")]
    Conflict(ChangeConflict),
    /// The change is not allowed as it stands.
    #[prost(message, tag = "3")]
    Refused(ChangeRefused),
    /// The operator may not change this.
    #[prost(message, tag = "4")]
    Forbidden(ChangeForbidden),
    /// The claim that stands.
    #[prost(message, tag = "5")]
    Claim(messages::ClaimResult),
    /// The fencing number.
    #[prost(uint64, tag = "6")]
    Office(u64),
    /// Done, or already so.
    #[prost(bool, tag = "7")]
    Done(bool),
    /// The command can't be read; it changes nothing.
    #[prost(string, tag = "8")]
    Malformed(String),
}

/// A `ChangedSettings` answers an accepted change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangedSettings {
    /// The version after the change.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A `ChangeConflict` names the change that won.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeConflict {
    /// The version in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The change that was accepted on the same base; absent if it is no longer remembered or if
    /// the base was never a version.
    #[prost(message, optional, tag = "2")]
    pub winner: Option<ChangeSummary>,
}

/// A `ChangeSummary` names an accepted change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeSummary {
    /// The change id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The version that it built on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// The version after it.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The operator, as `scope/name`.
    #[prost(string, tag = "4")]
    pub operator: String,
    /// The wall-clock time of the leader in milliseconds since 1970.
    #[prost(uint64, tag = "5")]
    pub wall_millis: u64,
}

/// A `ChangeRefused` lists what is not allowed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeRefused {
    /// The findings.
    #[prost(message, repeated, tag = "1")]
    pub findings: Vec<RefusedValue>,
}

/// A `RefusedValue` is one value that is not allowed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RefusedValue {
    /// The path.
    #[prost(string, tag = "1")]
    pub path: String,
    /// What was found.
    #[prost(string, tag = "2")]
    pub found: String,
    /// What is allowed.
    #[prost(string, tag = "3")]
    pub allowed: String,
}

/// A `ChangeForbidden` names the first path that the operator may not change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChangeForbidden {
    /// The path; empty if the operator is unknown.
    #[prost(string, tag = "1")]
    pub path: String,
    /// The operator, as `scope/name`; empty if unknown.
    #[prost(string, tag = "2")]
    pub operator: String,
}
