//! The messages, written with `prost` derive so that the build needs no code generator.
//!
//! Field numbers are fixed for good; a removed field keeps its number unused.

mod answers;
mod claims;
mod fleet;
mod groups;
mod links;
mod members;
mod orders;
mod requests;
mod settings;

use prost::{Message, Oneof};

pub use self::answers::{AnswerAck, AnswerChunk, AnswerEnd, AnswerHead, Cancel, Resume};
pub use self::claims::{
    ClaimCompleted, ClaimKey, ClaimName, ClaimOutcome, ClaimRecord, ClaimResult, CompleteClaim,
};
pub use self::fleet::{
    AccountUse, DeploymentState, EndpointNotice, EndpointNotices, EndpointPhase, EndpointUse,
    EntryBook, FleetHosts, JoinGroup, ServiceDemand,
};
pub use self::groups::{AskGroup, GroupInfo, Quorum, Redirect, Submit, Submitted, Unavailable};
pub use self::links::{Heartbeat, Hello, Leaving, ProcessKind};
pub use self::members::{Announce, Directory, EndpointInfo, EndpointKind, RankLoad, Report};
pub use self::orders::{
    AskFencing, Fencing, Order, OrderKind, OrderResult, RelayOrder, RelayResult,
};
pub use self::requests::{
    Decline, Grant, Handover, HandoverAck, HeaderField, Offer, OfferRefused, Settle, Settled,
    SettledState, Withdraw,
};
pub use self::settings::{SettingsConfirmed, SettingsDelta, SettingsSnapshot, WatchSettings};

/// The version of the protocol; links between different versions are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// The most prefix hashes in an offer; with the longest names it then still fits 512 bytes.
pub const MAX_PREFIX_HASHES: usize = 24;

/// An `Envelope` is the one message that frames carry.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Pairs an answer with its question; zero where there is none.
    #[prost(uint64, tag = "2")]
    pub correlation: u64,
    /// The message itself.
    #[prost(
        oneof = "Body",
        tags = "3,4,5,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,30,31,32,33,34,35,36,37,38,39,40,41,42,43,44,45,46,47,50,51,52,53,54,60,61,62,63,64"
    )]
    pub body: Option<Body>,
}

/// A `Body` is one message between two processes.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First message on a link, in both directions.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Keeps an idle link alive.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// The sender is about to leave; no new work goes to it.
    #[prost(message, tag = "5")]
    Leaving(Leaving),
    /// Entry to agent: a request waits for a slot.
    #[prost(message, tag = "10")]
    Offer(Offer),
    /// Entry to agent: the offer is bound elsewhere or ended.
    #[prost(message, tag = "11")]
    Withdraw(Withdraw),
    /// Agent to entry: the offer will not be granted.
    #[prost(message, tag = "12")]
    OfferRefused(OfferRefused),
    /// Agent to entry: a slot is held for the request.
    #[prost(message, tag = "13")]
    Grant(Grant),
    /// Entry to agent: the grant will not be used.
    #[prost(message, tag = "14")]
    Decline(Decline),
    /// Entry to agent: the request itself.
    #[prost(message, tag = "15")]
    Handover(Handover),
    /// Agent to entry: the request was taken or refused.
    #[prost(message, tag = "16")]
    HandoverAck(HandoverAck),
    /// Entry to agent: what became of a hand-over?
    #[prost(message, tag = "17")]
    Settle(Settle),
    /// Agent to entry: what became of it.
    #[prost(message, tag = "18")]
    Settled(Settled),
    /// Agent to entry: status and headers of the answer.
    #[prost(message, tag = "19")]
    AnswerHead(AnswerHead),
    /// Agent to entry: bytes of the answer.
    #[prost(message, tag = "20")]
    AnswerChunk(AnswerChunk),
    /// Entry to agent: bytes up to this offset are not needed again.
    #[prost(message, tag = "21")]
    AnswerAck(AnswerAck),
    /// Entry to agent: send the answer from this offset on.
    #[prost(message, tag = "22")]
    Resume(Resume),
    /// Entry to agent: the caller is gone.
    #[prost(message, tag = "23")]
    Cancel(Cancel),
    /// Agent to entry: load, limits and cache knowledge.
    #[prost(message, tag = "24")]
    Report(Report),
    /// Agent or entry to control: I am here.
    #[prost(message, tag = "30")]
    Announce(Announce),
    /// Control to all: changes of the directory.
    #[prost(message, tag = "31")]
    Directory(Directory),
    /// Any process to control: send settings from this version on.
    #[prost(message, tag = "32")]
    WatchSettings(WatchSettings),
    /// Control to all: the whole settings tree.
    #[prost(message, tag = "33")]
    SettingsSnapshot(SettingsSnapshot),
    /// Control to all: one accepted change.
    #[prost(message, tag = "34")]
    SettingsDelta(SettingsDelta),
    /// Entry to control: claim an idempotency key.
    #[prost(message, tag = "35")]
    ClaimKey(ClaimKey),
    /// Control to entry: the result of a claim.
    #[prost(message, tag = "36")]
    ClaimResult(ClaimResult),
    /// Agent to control: a claimed request ended.
    #[prost(message, tag = "37")]
    CompleteClaim(CompleteClaim),
    /// Control to agent: the completion is durable.
    #[prost(message, tag = "38")]
    ClaimCompleted(ClaimCompleted),
    /// Agent to control: which fencing number is the highest?
    #[prost(message, tag = "39")]
    AskFencing(AskFencing),
    /// Control to agent: the highest fencing number.
    #[prost(message, tag = "40")]
    Fencing(Fencing),
    /// Control to agent: an engine order.
    #[prost(message, tag = "41")]
    Order(Order),
    /// Agent to control: the result of an order.
    #[prost(message, tag = "42")]
    OrderResult(OrderResult),
    /// Control to any: ask another control host.
    #[prost(message, tag = "43")]
    Redirect(Redirect),
    /// Control to any: the question can't be answered now.
    #[prost(message, tag = "44")]
    Unavailable(Unavailable),
    /// Control to all: the settings in force were confirmed by a quorum.
    #[prost(message, tag = "45")]
    SettingsConfirmed(SettingsConfirmed),
    /// Control to control: an engine order for an agent whose link another host has.
    #[prost(message, tag = "46")]
    RelayOrder(RelayOrder),
    /// Control to control: the result of a relayed order, for the decider.
    #[prost(message, tag = "47")]
    RelayResult(RelayResult),
    /// Control to control: a message of the replicated log.
    #[prost(message, tag = "50")]
    Quorum(Quorum),
    /// Control to control: submit a command to the leader.
    #[prost(message, tag = "51")]
    Submit(Submit),
    /// Control to control: the command's result.
    #[prost(message, tag = "52")]
    Submitted(Submitted),
    /// Control to control: do you know a group?
    #[prost(message, tag = "53")]
    AskGroup(AskGroup),
    /// Control to control: whether a group is known.
    #[prost(message, tag = "54")]
    GroupInfo(GroupInfo),
    /// Control to control: take the sender in as a member of the log.
    #[prost(message, tag = "60")]
    JoinGroup(JoinGroup),
    /// Control to entry: the deployment in force.
    #[prost(message, tag = "61")]
    DeploymentState(DeploymentState),
    /// Control to entry and to control: what endpoints said of themselves.
    #[prost(message, tag = "62")]
    EndpointNotices(EndpointNotices),
    /// Control to entry: where the other processes are.
    #[prost(message, tag = "63")]
    FleetHosts(FleetHosts),
    /// Entry to entry: what the sender has under way.
    #[prost(message, tag = "64")]
    EntryBook(EntryBook),
}

impl Body {
    /// Returns the id of the request that the message concerns, if it is part of one.
    #[must_use]
    pub fn request(&self) -> Option<&[u8]> {
        let request = match self {
            Self::Offer(message) => &message.request,
            Self::Withdraw(message) => &message.request,
            Self::OfferRefused(message) => &message.request,
            Self::Grant(message) => &message.request,
            Self::Decline(message) => &message.request,
            Self::Handover(message) => &message.request,
            Self::HandoverAck(message) => &message.request,
            Self::Settle(message) => &message.request,
            Self::Settled(message) => &message.request,
            Self::AnswerHead(message) => &message.request,
            Self::AnswerChunk(message) => &message.request,
            Self::AnswerAck(message) => &message.request,
            Self::Resume(message) => &message.request,
            Self::Cancel(message) => &message.request,
            _ => return None,
        };
        Some(request)
    }

    /// Tells whether the message is control work, and not part of a request or its answer. The
    /// limit of 25 KB/s a node in `docs/CAPACITY.md` is on control work.
    #[must_use]
    pub fn is_control(&self) -> bool {
        let claim = matches!(
            self,
            Self::ClaimKey(_)
                | Self::ClaimResult(_)
                | Self::CompleteClaim(_)
                | Self::ClaimCompleted(_)
        );
        !claim && self.request().is_none()
    }
}
