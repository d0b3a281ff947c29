//! Messages between control hosts and entries of a fleet without agents: the deployment in force,
//! the registered endpoints, the addresses of the other processes, and the load of each entry.

use prost::Message;

/// Asks the leader of the replicated log to add the sender as a member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JoinGroup {
    /// The member id of the sender.
    #[prost(uint64, tag = "1")]
    pub member: u64,
    /// The id of the sender's data folder, 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub store: bytes::Bytes,
}

/// The newest deployment that the sender holds. Its content is sent on request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DeploymentVersion {
    /// The version; absent if the sender holds none.
    #[prost(uint64, optional, tag = "1")]
    pub version: Option<u64>,
    /// Whether a quorum of the log has confirmed that no newer deployment was accepted before.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
}

/// Asks for a part of the patch to a deployment.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct FetchDeployment {
    /// The wanted version. A host that has replaced it sends a newer one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The version that the sender holds; absent if it holds none, or none that a patch can build on.
    #[prost(uint64, optional, tag = "2")]
    pub base_version: Option<u64>,
    /// The digest of that version.
    #[prost(fixed64, tag = "3")]
    pub base_digest: u64,
    /// The digest of the patch of which the sender holds a part; zero if it holds none.
    #[prost(fixed64, tag = "4")]
    pub patch_digest: u64,
    /// The number of bytes that it holds of that patch.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
}

/// A part of the patch to a deployment.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeploymentChunk {
    /// The version to which the patch leads.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The digest of that document.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// The length of that document in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
    /// The version that the patch builds on; absent if it holds the whole document.
    #[prost(uint64, optional, tag = "4")]
    pub base_version: Option<u64>,
    /// The digest of the patch.
    #[prost(fixed64, tag = "5")]
    pub patch_digest: u64,
    /// The length of the patch in bytes.
    #[prost(uint64, tag = "6")]
    pub patch_length: u64,
    /// The position of `data` in the patch.
    #[prost(uint64, tag = "7")]
    pub offset: u64,
    /// The bytes from there on.
    #[prost(bytes = "bytes", tag = "8")]
    pub data: bytes::Bytes,
}

/// The latest state that an endpoint reported of itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointNotice {
    /// The id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The address as `ip:port`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// The number of requests that it serves concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it accepts new work, is draining or has deregistered.
    #[prost(enumeration = "EndpointPhase", tag = "6")]
    pub phase: i32,
    /// Milliseconds until the end of its warm-up after the start, during which it is slow.
    #[prost(uint64, tag = "7")]
    pub cold_millis: u64,
    /// Start time in milliseconds since the Unix epoch; absent if it was not reported.
    #[prost(uint64, optional, tag = "8")]
    pub born: Option<u64>,
    /// Increases with each notice between two starts of the endpoint.
    #[prost(uint64, tag = "9")]
    pub sequence: u64,
    /// Milliseconds since the sender received the notice.
    #[prost(uint64, tag = "10")]
    pub age_millis: u64,
    /// The version of the endpoint's software; empty if it was not reported.
    #[prost(string, tag = "11")]
    pub version: String,
}

/// Whether an endpoint accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointPhase {
    /// Accepts new work.
    Ready = 0,
    /// Finishes its running requests and accepts no new work.
    Draining = 1,
    /// Has deregistered.
    Gone = 2,
}

/// A batch of endpoint notices.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointNotices {
    /// The notices.
    #[prost(message, repeated, tag = "1")]
    pub notices: Vec<EndpointNotice>,
}

/// What a control host knows of the endpoints, as digests that an entry compares with its own.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DirectorySummary {
    /// A digest of the notices in each group of endpoints.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
}

/// Asks for the notices of some groups of endpoints.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FetchNotices {
    /// The groups.
    #[prost(uint32, repeated, tag = "1")]
    pub groups: Vec<u32>,
}

/// The notices of some groups of endpoints.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NoticeGroups {
    /// The groups, as they were asked for.
    #[prost(uint32, repeated, tag = "1")]
    pub groups: Vec<u32>,
    /// A compressed [`EndpointNotices`] message.
    #[prost(bytes = "bytes", tag = "2")]
    pub compressed: bytes::Bytes,
    /// The length of that message in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
    /// The digest of that message.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
}

/// The endpoints that have sent a notice without a change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointRefreshes {
    /// The digests of what these notices say.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
}

/// The departure of an endpoint: it drains or has deregistered.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EndpointDeparture {
    /// The id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start time of the life that leaves, in milliseconds since the Unix epoch; earlier lives have
    /// left too.
    #[prost(uint64, tag = "2")]
    pub born: u64,
}

/// Asks the leader to record departures in the replicated log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RecordDepartures {
    /// The departures.
    #[prost(message, repeated, tag = "1")]
    pub departures: Vec<EndpointDeparture>,
}

/// Departures that the replicated log holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RecordedDepartures {
    /// The departures, the oldest first.
    #[prost(message, repeated, tag = "1")]
    pub departures: Vec<EndpointDeparture>,
    /// Whether these are all that the log held when a quorum was last asked.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// The addresses on which other processes accept links, as far as the sender, a control host, knows
/// them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FleetHosts {
    /// The control hosts as `ip:port`.
    #[prost(string, repeated, tag = "1")]
    pub control: Vec<String>,
    /// The entries as `ip:port`; control hosts are told none.
    #[prost(string, repeated, tag = "2")]
    pub entries: Vec<String>,
}

/// The requests that one entry has in flight at one endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointUse {
    /// The id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of requests that were sent and have not ended.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens of the requests among them that have produced no output yet.
    #[prost(uint64, tag = "3")]
    pub pending_prefill: u64,
    /// What the endpoint last stated of its limit; absent if it has never named one.
    #[prost(message, optional, tag = "4")]
    pub limit: Option<LimitStatement>,
    /// What the endpoint last told the sender of the pace of its host; absent if it has told
    /// nothing new since the last load update.
    #[prost(message, optional, tag = "5")]
    pub pace: Option<PaceStatement>,
}

/// What an endpoint stated of the pace of its host.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PaceStatement {
    /// How long work takes there in percent of the usual time.
    #[prost(uint32, tag = "1")]
    pub percent: u32,
    /// Milliseconds since the answer that stated it.
    #[prost(uint64, tag = "2")]
    pub age_millis: u64,
    /// When the endpoint that stated it was started, in Unix milliseconds; absent if that was not
    /// reported.
    #[prost(uint64, optional, tag = "3")]
    pub born: Option<u64>,
}

/// What an endpoint stated of the requests that it takes from all entries together.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LimitStatement {
    /// Thousandths of a request per second; absent if it names no limit any more.
    #[prost(uint64, optional, tag = "1")]
    pub thousandths: Option<u64>,
    /// Milliseconds since the time for which the statement is known to hold.
    #[prost(uint64, tag = "2")]
    pub age_millis: u64,
    /// When the endpoint that stated it was started, in Unix milliseconds; absent if that was not
    /// reported.
    #[prost(uint64, optional, tag = "3")]
    pub born: Option<u64>,
}

/// The total work that one entry has admitted for one client account.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AccountUse {
    /// The name of the account.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Quota units admitted since the start of the entry.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
}

/// The demand for one service at one entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Moving sum of the requests of the last seconds, in thousandths of a request.
    #[prost(uint64, tag = "2")]
    pub recent_thousandths: u64,
    /// Number of requests running at endpoints.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of waiting requests.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Tier rank of the client account of the most urgent waiting request.
    #[prost(uint32, tag = "5")]
    pub account_rank: u32,
    /// Tier rank of the route of that request.
    #[prost(uint32, tag = "6")]
    pub route_rank: u32,
    /// Pace in percent from which on that request declines free endpoints and waits for a faster
    /// one; zero if it takes any.
    #[prost(uint32, tag = "7")]
    pub declined_percent: u32,
}

/// The load of the sender, exchanged between entries: a full snapshot first on each link, and
/// changes after it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadUpdate {
    /// Endpoints whose use changed since the last load update; in a snapshot, all that the sender
    /// uses or has something to tell of.
    #[prost(message, repeated, tag = "1")]
    pub endpoints: Vec<EndpointUse>,
    /// Accounts whose use changed since the last load update; all of them in a snapshot.
    #[prost(message, repeated, tag = "2")]
    pub accounts: Vec<AccountUse>,
    /// Whether this is a full snapshot.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// The demand for the services that requests name.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<ServiceDemand>,
    /// Uptime of the sender in milliseconds. It shows the period that the totals of `accounts`
    /// cover, and whether the sender has restarted.
    #[prost(uint64, tag = "5")]
    pub age_millis: u64,
    /// What the sender found out about prompt parts that crash endpoints.
    #[prost(message, optional, tag = "6")]
    pub crashes: Option<CrashUpdate>,
    /// The data centre of the sender; only in a snapshot.
    #[prost(string, tag = "7")]
    pub data_centre: String,
}

/// A request that had no event yet when its endpoint crashed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashEvidence {
    /// The id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Milliseconds since the crash.
    #[prost(uint64, tag = "2")]
    pub age_millis: u64,
    /// The ids of its prompt parts in order, without the last one.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
}

/// A prompt part that the sender doesn't send to endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BlockedPart {
    /// The id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since the last crash under it.
    #[prost(uint64, tag = "2")]
    pub age_millis: u64,
}

/// Changes of what the sender knows about prompt parts that crash endpoints; in a snapshot, all
/// that it knows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashUpdate {
    /// Evidence since the last load update.
    #[prost(message, repeated, tag = "1")]
    pub evidence: Vec<CrashEvidence>,
    /// Suspected parts with which answers have begun since, so that they are sound.
    #[prost(fixed64, repeated, tag = "2")]
    pub sound: Vec<u64>,
    /// The blocked parts; only in a snapshot.
    #[prost(message, repeated, tag = "3")]
    pub blocked: Vec<BlockedPart>,
}
