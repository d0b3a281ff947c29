//! The messages, written with `prost` derive so that the build needs no code generator.
//!
//! Field numbers are fixed for good; a removed field keeps its number unused.

use prost::{Enumeration, Message, Oneof};

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
        tags = "3,4,5,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,30,31,32,33,34,35,36,37,38,39,40,41,42,43,44,45,46,47,50,51,52,53,54"
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
}

impl Body {
    /// Tells whether the message is control work, and not part of a request or its answer. The
    /// limit of 25 KB/s a node in `docs/CAPACITY.md` is on control work.
    #[must_use]
    pub fn is_control(&self) -> bool {
        !matches!(
            self,
            Self::Offer(_)
                | Self::Withdraw(_)
                | Self::OfferRefused(_)
                | Self::Grant(_)
                | Self::Decline(_)
                | Self::Handover(_)
                | Self::HandoverAck(_)
                | Self::Settle(_)
                | Self::Settled(_)
                | Self::AnswerHead(_)
                | Self::AnswerChunk(_)
                | Self::AnswerAck(_)
                | Self::Resume(_)
                | Self::Cancel(_)
                | Self::ClaimKey(_)
                | Self::ClaimResult(_)
                | Self::CompleteClaim(_)
                | Self::ClaimCompleted(_)
        )
    }
}

/// A `ProcessKind` tells the roles apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ProcessKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// An entry.
    Entry = 1,
    /// An agent beside an endpoint.
    Agent = 2,
    /// A control host's process.
    Control = 3,
    /// A tool of an operator.
    Tool = 4,
}

/// A `Hello` introduces a process.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The role of the process.
    #[prost(enumeration = "ProcessKind", tag = "1")]
    pub kind: i32,
    /// The name of the process.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The incarnation of the process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The data centre of the process.
    #[prost(string, tag = "4")]
    pub data_centre: String,
}

/// A `Heartbeat` keeps an idle link alive and carries the settings version in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// The settings version in force at the sender.
    #[prost(uint64, tag = "1")]
    pub settings_version: u64,
}

/// A `Leaving` message says that the sender takes no new work.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Leaving {}

/// An `Offer` describes a waiting request in under 512 bytes.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The rank of its tier, 0 is served first.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// The client account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// The weight of the account in thousandths.
    #[prost(uint32, tag = "4")]
    pub weight_millis: u32,
    /// The model; empty for a plain service.
    #[prost(string, tag = "5")]
    pub model: String,
    /// The service.
    #[prost(string, tag = "6")]
    pub service: String,
    /// Estimated prompt tokens.
    #[prost(uint64, tag = "7")]
    pub prompt_tokens: u64,
    /// Expected output tokens.
    #[prost(uint64, tag = "8")]
    pub output_tokens: u64,
    /// Hashes of the prompt's prefixes, longest last, at most [`MAX_PREFIX_HASHES`].
    #[prost(fixed64, repeated, tag = "9")]
    pub prefix_hashes: Vec<u64>,
    /// Milliseconds until the deadline, by the entry's clock at sending.
    #[prost(uint64, tag = "10")]
    pub deadline_millis: u64,
    /// Whether the request may run twice.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Milliseconds for which the request has waited at the entry.
    #[prost(uint64, tag = "12")]
    pub waited_millis: u64,
    /// Early binding: grant at once, without admission limit (baseline policies).
    #[prost(bool, tag = "13")]
    pub immediate: bool,
    /// The length of the body in bytes.
    #[prost(uint64, tag = "14")]
    pub body_bytes: u64,
}

/// A `Withdraw` ends an offer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Withdraw {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
}

/// An `OfferRefused` ends an offer from the agent's side; nothing ran.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OfferRefused {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The refusal reason by its fixed name.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds after which a new offer may help.
    #[prost(uint64, tag = "3")]
    pub retry_after_millis: u64,
}

/// A `Grant` holds a slot for a request; it is the fence of the hand-over.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Grant {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant's number inside the agent's incarnation.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Milliseconds until the grant ends, by the agent's clock.
    #[prost(uint64, tag = "4")]
    pub lease_millis: u64,
    /// Prompt tokens that the agent expects to find cached.
    #[prost(uint64, tag = "5")]
    pub cached_tokens: u64,
}

/// A `Decline` gives a grant back unused.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Decline {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
}

/// A `HeaderField` is one header of a request or an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderField {
    /// The name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// A `Handover` gives a request to the agent that granted it.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The path and query, as the endpoint sees them.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers that are passed through.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// The body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Milliseconds until the deadline.
    #[prost(uint64, tag = "7")]
    pub deadline_millis: u64,
    /// The claim that the agent completes; empty where there is none.
    #[prost(message, optional, tag = "8")]
    pub claim: Option<ClaimName>,
}

/// A `HandoverAck` tells whether the agent took the request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HandoverAck {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Whether the request was taken; if not, nothing ran and nothing will.
    #[prost(bool, tag = "2")]
    pub taken: bool,
    /// The refusal reason by its fixed name, where it was not taken.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// A `Settle` asks what became of a hand-over, and fences it if it never arrived.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settle {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant; zero when it is not known to the asker.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The incarnation that granted it.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// A `SettledState` tells what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum SettledState {
    /// Not given; never valid.
    Unspecified = 0,
    /// The request never arrived and can't arrive any more.
    NeverReceived = 1,
    /// The request runs.
    Running = 2,
    /// The request ended and its answer is kept.
    Finished = 3,
    /// The request was taken and its answer is not kept.
    Forgotten = 4,
    /// The agent is another incarnation and can't know.
    OtherIncarnation = 5,
}

/// A `Settled` answers a `Settle`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settled {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// What became of it.
    #[prost(enumeration = "SettledState", tag = "2")]
    pub state: i32,
}

/// An `AnswerHead` opens an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHead {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
}

/// An `AnswerChunk` carries bytes of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerChunk {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The offset of the first byte.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
    /// The end of the answer; present in the last chunk only.
    #[prost(message, optional, tag = "4")]
    pub end: Option<AnswerEnd>,
}

/// An `AnswerEnd` tells how an answer ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AnswerEnd {
    /// Whether the endpoint ended the answer itself, so that it is whole.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The length of the whole answer in bytes.
    #[prost(uint64, tag = "2")]
    pub total_bytes: u64,
    /// CRC32C of the whole answer.
    #[prost(uint32, tag = "3")]
    pub checksum: u32,
    /// The refusal reason by its fixed name, where the answer is not whole.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// The outcome by its fixed name, where the answer is not whole.
    #[prost(string, tag = "5")]
    pub outcome: String,
}

/// An `AnswerAck` frees the kept bytes of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AnswerAck {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// All bytes below this offset have been passed to the caller.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A `Resume` asks for an answer from an offset on, over this link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Resume {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The first byte that is needed; the head is sent again at zero.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A `Cancel` ends a request whose caller is gone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
}

/// A `RankLoad` is the waiting work of one tier rank.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RankLoad {
    /// The tier rank.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// Offers that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Prompt tokens that wait.
    #[prost(uint64, tag = "3")]
    pub waiting_tokens: u64,
}

/// A `Report` is an agent's own view of its endpoint, sent when it changes and every second.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Measured prefill rate in tokens per second.
    #[prost(double, tag = "1")]
    pub prefill_rate: f64,
    /// Measured time between tokens in milliseconds.
    #[prost(double, tag = "2")]
    pub token_millis: f64,
    /// Observed speed as a share of the nominal one; below one for a straggler.
    #[prost(double, tag = "3")]
    pub speed_factor: f64,
    /// Prompt tokens granted and not yet computed.
    #[prost(uint64, tag = "4")]
    pub pending_prefill_tokens: u64,
    /// Context tokens of running requests.
    #[prost(uint64, tag = "5")]
    pub running_tokens: u64,
    /// The admission limit in tokens.
    #[prost(uint64, tag = "6")]
    pub limit_tokens: u64,
    /// Waiting work by tier rank.
    #[prost(message, repeated, tag = "7")]
    pub ranks: Vec<RankLoad>,
    /// Running requests.
    #[prost(uint32, tag = "8")]
    pub running: u32,
    /// Whether the agent refuses new offers.
    #[prost(bool, tag = "9")]
    pub draining: bool,
    /// Models that are loaded.
    #[prost(string, repeated, tag = "10")]
    pub models: Vec<String>,
    /// The engine's own, lagging load report: requests it holds (for baseline policies).
    #[prost(uint32, tag = "11")]
    pub reported_requests: u32,
    /// Prefix hashes that became cached since the last report, at most 64.
    #[prost(fixed64, repeated, tag = "12")]
    pub cached: Vec<u64>,
    /// Prefix hashes that were evicted since the last report, at most 64.
    #[prost(fixed64, repeated, tag = "13")]
    pub evicted: Vec<u64>,
}

/// An `EndpointKind` tells model engines and plain services apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EndpointKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// A model engine.
    Engine = 1,
    /// A plain service.
    Plain = 2,
}

/// An `Announce` makes a process known for the time of a lease.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The process; name, kind, incarnation and data centre.
    #[prost(message, optional, tag = "1")]
    pub process: Option<Hello>,
    /// The address on which it accepts links, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// The endpoint beside an agent.
    #[prost(message, optional, tag = "4")]
    pub endpoint: Option<EndpointInfo>,
    /// The settings version in force.
    #[prost(uint64, tag = "5")]
    pub settings_version: u64,
    /// Whether the process is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Milliseconds for which the announcement holds.
    #[prost(uint64, tag = "7")]
    pub lease_millis: u64,
    /// The largest number of endpoints an entry wants to watch.
    #[prost(uint32, tag = "8")]
    pub watch_limit: u32,
    /// Milliseconds since the process started, at sending; shows how late an announcement is.
    #[prost(uint64, tag = "9")]
    pub uptime_millis: u64,
}

/// An `EndpointInfo` describes the endpoint beside an agent.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointInfo {
    /// Engine or plain service.
    #[prost(enumeration = "EndpointKind", tag = "1")]
    pub kind: i32,
    /// The endpoint role in the settings.
    #[prost(string, tag = "2")]
    pub role: String,
    /// The hardware class of an engine.
    #[prost(string, tag = "3")]
    pub hardware: String,
    /// Models that are loaded.
    #[prost(string, repeated, tag = "4")]
    pub models: Vec<String>,
    /// Services that a plain endpoint offers.
    #[prost(string, repeated, tag = "5")]
    pub services: Vec<String>,
    /// Whether the endpoint itself refuses old fencing numbers.
    #[prost(bool, tag = "6")]
    pub checks_fencing: bool,
    /// The number of prompt tokens its cache holds.
    #[prost(uint64, tag = "7")]
    pub cache_tokens: u64,
    /// Nominal prefill rate in tokens per second.
    #[prost(double, tag = "8")]
    pub prefill_rate: f64,
    /// Nominal time between tokens of a lone request in milliseconds.
    #[prost(double, tag = "9")]
    pub token_millis: f64,
}

/// A `Directory` message changes the receiver's view of the members it watches.
#[derive(Clone, PartialEq, Message)]
pub struct Directory {
    /// Whether `members` is the whole view; otherwise it is added to it.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// Members that are new or changed.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Announce>,
    /// Names of members that are gone.
    #[prost(string, repeated, tag = "3")]
    pub gone: Vec<String>,
    /// The control hosts, as `ip:port`.
    #[prost(string, repeated, tag = "4")]
    pub control: Vec<String>,
}

/// A `WatchSettings` asks for the settings from a version on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchSettings {
    /// The version in force at the asker; zero for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A `SettingsSnapshot` is the whole settings tree.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsSnapshot {
    /// The version of the tree.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The tree as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub tree: bytes::Bytes,
}

/// A `SettingsDelta` is one accepted change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsDelta {
    /// The version that the change builds on.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The version after the change.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The patch as JSON: path to value, or null to remove.
    #[prost(bytes = "bytes", tag = "3")]
    pub patch: bytes::Bytes,
}

/// A `SettingsConfirmed` says that a quorum confirmed a version a moment ago. A control host that
/// is cut off from the quorum can't send it, so a process notices within seconds that its settings
/// may be old, even while its link works.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsConfirmed {
    /// The newest version at the time of the confirmation.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A `ClaimName` names an idempotency key of an account and service.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct ClaimName {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The key, at most 255 bytes.
    #[prost(string, tag = "3")]
    pub key: String,
}

/// A `ClaimRecord` tells who may run the request of a key, and how it ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRecord {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// SHA-256 of method, path and body.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The name of the agent that granted it.
    #[prost(string, tag = "3")]
    pub agent: String,
    /// The incarnation of that agent.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Grows with each replacement of the claim.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// The result, once it is known.
    #[prost(message, optional, tag = "6")]
    pub result: Option<ClaimOutcome>,
    /// The address of that agent, as `ip:port`.
    #[prost(string, tag = "7")]
    pub address: String,
}

/// A `ClaimOutcome` is the stored result of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimOutcome {
    /// Whether the answer is whole; otherwise the outcome is unknown.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// The body, where it is at most 64 KiB.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub body: Option<bytes::Bytes>,
}

/// A `ClaimKey` claims a key before the hand-over.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimKey {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<ClaimName>,
    /// The wanted record.
    #[prost(message, optional, tag = "2")]
    pub record: Option<ClaimRecord>,
    /// The epoch of the claim that is replaced; zero if there must be none.
    #[prost(uint64, tag = "3")]
    pub replaces: u64,
    /// The replicated group.
    #[prost(uint32, tag = "4")]
    pub group: u32,
    /// Only look the claim up; write nothing.
    #[prost(bool, tag = "5")]
    pub lookup: bool,
}

/// A `ClaimResult` answers a `ClaimKey`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimResult {
    /// Whether the claim is now the asker's, durably.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// The claim that stands, the asker's or another; absent if a lookup found none.
    #[prost(message, optional, tag = "2")]
    pub record: Option<ClaimRecord>,
}

/// A `CompleteClaim` stores the result of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CompleteClaim {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<ClaimName>,
    /// The request, 16 bytes; another request's claim stays untouched.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// The result.
    #[prost(message, optional, tag = "3")]
    pub result: Option<ClaimOutcome>,
    /// The replicated group.
    #[prost(uint32, tag = "4")]
    pub group: u32,
}

/// A `ClaimCompleted` says that the completion is durable or no longer wanted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimCompleted {}

/// An `AskFencing` asks for the highest fencing number before the first order after a restart.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskFencing {}

/// A `Fencing` tells the highest fencing number of the agreed state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Fencing {
    /// The number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// An `OrderKind` is what an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum OrderKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// Load a model.
    LoadModel = 1,
    /// Unload a model.
    UnloadModel = 2,
    /// Load an adapter.
    LoadAdapter = 3,
    /// Change the endpoint role.
    ChangeRole = 4,
    /// Stop taking new work.
    Drain = 5,
    /// Take new work again.
    Undrain = 6,
}

/// An `Order` is an engine order of the rightful decider.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Order {
    /// The fencing number of the decider.
    #[prost(uint64, tag = "1")]
    pub fencing: u64,
    /// Names the order, so that a resend is recognised.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// What to do.
    #[prost(enumeration = "OrderKind", tag = "3")]
    pub kind: i32,
    /// The model, adapter or role.
    #[prost(string, tag = "4")]
    pub target: String,
    /// The version of the model or adapter.
    #[prost(string, tag = "5")]
    pub target_version: String,
}

/// A `RelayOrder` carries an engine order to the control host that has the agent's link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayOrder {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The order.
    #[prost(message, optional, tag = "2")]
    pub order: Option<Order>,
}

/// A `RelayResult` carries the result of an order to the decider's host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayResult {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The result.
    #[prost(message, optional, tag = "2")]
    pub result: Option<OrderResult>,
}

/// An `OrderResult` answers an `Order`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrderResult {
    /// The order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Whether it is done.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// Whether it was refused for an old fencing number.
    #[prost(bool, tag = "3")]
    pub fenced: bool,
    /// Why it failed, in one sentence.
    #[prost(string, tag = "4")]
    pub detail: String,
}

/// A `Redirect` names the control host that leads, where it is known.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Redirect {
    /// The address as `ip:port`; empty if no leader is known.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// An `Unavailable` says that no quorum answers at the moment; nothing is known to have happened.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Unavailable {
    /// Milliseconds after which asking again may help.
    #[prost(uint64, tag = "1")]
    pub retry_after_millis: u64,
}

/// A `Quorum` carries an encoded message of the replicated log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Quorum {
    /// The replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The message, encoded by the quorum crate.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: bytes::Bytes,
}

/// A `Submit` gives a command to the leader on behalf of another control host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submit {
    /// The replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The command, encoded by the control crate; empty to confirm the read index only.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// A `Submitted` answers a `Submit`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submitted {
    /// The log index of the command or of the confirmed read.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The result, encoded by the control crate.
    #[prost(bytes = "bytes", tag = "2")]
    pub result: bytes::Bytes,
}

/// An `AskGroup` asks whether the receiver knows a group, before the sender founds one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskGroup {}

/// A `GroupInfo` answers an `AskGroup`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GroupInfo {
    /// Whether the sender's log names members.
    #[prost(bool, tag = "1")]
    pub founded: bool,
}
