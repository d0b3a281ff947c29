//! The messages of the protocol, defined with the derives of `prost` so that the build needs no
//! code generator.
//!
//! Field numbers must never change; the number of a removed field must not be reused.

mod answers;
mod claims;
mod fleet;
mod groups;
mod links;
mod members;
mod orders;
mod requests;
mod rollouts;
mod settings;

use prost::{Message, Oneof};

pub use self::answers::{AnswerAck, AnswerChunk, AnswerEnd, AnswerHead, Cancel, Resume};
pub use self::claims::{
    ClaimCompleted, ClaimKey, ClaimName, ClaimOutcome, ClaimRecord, ClaimResult, CompleteClaim,
};
pub use self::fleet::{
    AccountUse, BlockedPart, CrashEvidence, CrashUpdate, DeploymentChunk, DeploymentVersion,
    DirectorySummary, EndpointDeparture, EndpointNotice, EndpointNotices, EndpointPhase,
    EndpointRefreshes, EndpointUse, FetchDeployment, FetchNotices, FleetHosts, JoinGroup,
    LimitStatement, LoadUpdate, NoticeGroups, PaceStatement, RecordDepartures, RecordedDepartures,
    ServiceDemand,
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
pub use self::rollouts::{
    RolloutPhase, RolloutReport, RolloutReports, RolloutStage, RolloutTerm, RolloutTerms,
    RouteRequests, RouteShare, VersionOutcome,
};
pub use self::settings::{SettingsConfirmed, SettingsDelta, SettingsSnapshot, WatchSettings};

/// The version of the protocol. Links between processes of different versions are refused.
pub const PROTOCOL_VERSION: u32 = 2;

/// The maximum number of prefix hashes in an offer, which with the longest names still fits into
/// 512 bytes.
pub const MAX_PREFIX_HASHES: usize = 24;

/// The outer message of every frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Matches a response to its request, whose number it repeats; zero for messages without one.
    #[prost(uint64, tag = "2")]
    pub correlation: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "3,4,5,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,30,31,32,33,34,35,36,37,38,39,40,41,42,43,44,45,46,47,50,51,52,53,54,60,62,63,64,65,66,67,68,69,70,71,72,73,74,75"
    )]
    pub body: Option<Body>,
}

/// A message between two processes. Number 61 is retired.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first message on a link, in both directions: identifies the sender.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Keeps an idle link alive and reports the settings version.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// The sender is shutting down and accepts no new work.
    #[prost(message, tag = "5")]
    Leaving(Leaving),
    /// Entry to agent: offers a waiting request.
    #[prost(message, tag = "10")]
    Offer(Offer),
    /// Entry to agent: the offer ended, or another agent serves the request.
    #[prost(message, tag = "11")]
    Withdraw(Withdraw),
    /// Agent to entry: refuses the offer.
    #[prost(message, tag = "12")]
    OfferRefused(OfferRefused),
    /// Agent to entry: reserves a slot for the request.
    #[prost(message, tag = "13")]
    Grant(Grant),
    /// Entry to agent: returns the grant unused.
    #[prost(message, tag = "14")]
    Decline(Decline),
    /// Entry to agent: the full request.
    #[prost(message, tag = "15")]
    Handover(Handover),
    /// Agent to entry: the request was accepted or refused.
    #[prost(message, tag = "16")]
    HandoverAck(HandoverAck),
    /// Entry to agent: asks for the state of a handover.
    #[prost(message, tag = "17")]
    Settle(Settle),
    /// Agent to entry: the state of a handover.
    #[prost(message, tag = "18")]
    Settled(Settled),
    /// Agent to entry: status and headers of the response.
    #[prost(message, tag = "19")]
    AnswerHead(AnswerHead),
    /// Agent to entry: a part of the body of the response.
    #[prost(message, tag = "20")]
    AnswerChunk(AnswerChunk),
    /// Entry to agent: the response up to this offset need not be retained.
    #[prost(message, tag = "21")]
    AnswerAck(AnswerAck),
    /// Entry to agent: asks for the response from this offset on.
    #[prost(message, tag = "22")]
    Resume(Resume),
    /// Entry to agent: cancels the request, since its caller has disconnected.
    #[prost(message, tag = "23")]
    Cancel(Cancel),
    /// Agent to entry: load, limits and changes of the prefix cache.
    #[prost(message, tag = "24")]
    Report(Report),
    /// Agent or entry to control: registers the sender or renews its lease.
    #[prost(message, tag = "30")]
    Announce(Announce),
    /// Control to all: changes of the directory.
    #[prost(message, tag = "31")]
    Directory(Directory),
    /// Any process to control: subscribes to settings that are newer than a version.
    #[prost(message, tag = "32")]
    WatchSettings(WatchSettings),
    /// Control to all: the full settings tree.
    #[prost(message, tag = "33")]
    SettingsSnapshot(SettingsSnapshot),
    /// Control to all: one accepted change of the settings.
    #[prost(message, tag = "34")]
    SettingsDelta(SettingsDelta),
    /// Entry to control: claim an idempotency key.
    #[prost(message, tag = "35")]
    ClaimKey(ClaimKey),
    /// Control to entry: the result of a claim.
    #[prost(message, tag = "36")]
    ClaimResult(ClaimResult),
    /// Agent to control: the result of a claimed request.
    #[prost(message, tag = "37")]
    CompleteClaim(CompleteClaim),
    /// Control to agent: the result is durable or no longer needed.
    #[prost(message, tag = "38")]
    ClaimCompleted(ClaimCompleted),
    /// Agent to control: asks for the highest fencing number.
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
    /// Control to any: redirects the requester to the leader.
    #[prost(message, tag = "43")]
    Redirect(Redirect),
    /// Control to any: the request can't be served now.
    #[prost(message, tag = "44")]
    Unavailable(Unavailable),
    /// Control to all: a quorum has confirmed the newest settings version.
    #[prost(message, tag = "45")]
    SettingsConfirmed(SettingsConfirmed),
    /// Control to control: an engine order for an agent that may be connected to the receiver.
    #[prost(message, tag = "46")]
    RelayOrder(RelayOrder),
    /// Control to control: the result of a forwarded order, for the placement controller.
    #[prost(message, tag = "47")]
    RelayResult(RelayResult),
    /// Control to control: a message of the consensus protocol.
    #[prost(message, tag = "50")]
    Quorum(Quorum),
    /// Control to control: forwards a command to the leader.
    #[prost(message, tag = "51")]
    Submit(Submit),
    /// Control to control: the result of a forwarded command.
    #[prost(message, tag = "52")]
    Submitted(Submitted),
    /// Control to control: asks whether the receiver belongs to a group.
    #[prost(message, tag = "53")]
    AskGroup(AskGroup),
    /// Control to control: whether the sender belongs to a group.
    #[prost(message, tag = "54")]
    GroupInfo(GroupInfo),
    /// Control to control: asks the leader to add the sender as a member of the log.
    #[prost(message, tag = "60")]
    JoinGroup(JoinGroup),
    /// Control to entry and to control: the latest notices of endpoints.
    #[prost(message, tag = "62")]
    EndpointNotices(EndpointNotices),
    /// Control to entry: the addresses of the other processes.
    #[prost(message, tag = "63")]
    FleetHosts(FleetHosts),
    /// Entry to entry: the load of the sender.
    #[prost(message, tag = "64")]
    LoadUpdate(LoadUpdate),
    /// Control to entry: the newest deployment that the sender holds.
    #[prost(message, tag = "65")]
    DeploymentVersion(DeploymentVersion),
    /// Entry to control: asks for a part of a deployment.
    #[prost(message, tag = "66")]
    FetchDeployment(FetchDeployment),
    /// Control to entry: a part of a deployment.
    #[prost(message, tag = "67")]
    DeploymentChunk(DeploymentChunk),
    /// Control to control: asks the leader to record departures of endpoints.
    #[prost(message, tag = "68")]
    RecordDepartures(RecordDepartures),
    /// Control to control: departures that the log holds.
    #[prost(message, tag = "69")]
    RecordedDepartures(RecordedDepartures),
    /// Control to entry: what the entry may send to new versions of services.
    #[prost(message, tag = "70")]
    RolloutTerms(RolloutTerms),
    /// Entry to control: what the entry has seen of them.
    #[prost(message, tag = "71")]
    RolloutReports(RolloutReports),
    /// Control to entry: digests of the endpoints that the sender knows.
    #[prost(message, tag = "72")]
    DirectorySummary(DirectorySummary),
    /// Entry to control: asks for the notices of some groups of endpoints.
    #[prost(message, tag = "73")]
    FetchNotices(FetchNotices),
    /// Control to entry: these notices.
    #[prost(message, tag = "74")]
    NoticeGroups(NoticeGroups),
    /// Control to entry and to control: the endpoints that are alive and unchanged.
    #[prost(message, tag = "75")]
    EndpointRefreshes(EndpointRefreshes),
}

impl Body {
    /// Returns the id of the caller's request to which the message belongs, or `None` if it belongs
    /// to none.
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

    /// Returns whether the message is control traffic, that is, neither part of a caller's request
    /// or its response nor of a claim. The limit of 25 KB/s per host in `docs/CAPACITY.md` applies
    /// to control traffic.
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
