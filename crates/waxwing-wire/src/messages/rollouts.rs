//! Messages about roll-outs: what control hosts allow entries to send to a new version of a service,
//! and what entries see of it. `docs/design/rollouts.md` describes how they work together.

use prost::Message;

/// How far a roll-out has come, as the replicated log holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutPhase {
    /// The new version is being tested or takes over.
    Active = 0,
    /// The new version serves all requests.
    Completed = 1,
    /// The new version gets no requests.
    RolledBack = 2,
}

/// The stage of an active roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutStage {
    /// A few endpoints of the new version get a small part of the requests.
    Canary = 0,
    /// The new version has passed the test and gets a growing part of the requests.
    Shift = 1,
    /// The new version gets all new requests, and the others finish theirs.
    Drain = 2,
}

/// The part of the requests of a route that the new version gets.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RouteShare {
    /// The name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// The part in millionths.
    #[prost(uint32, tag = "2")]
    pub millionths: u32,
}

/// What entries may do in the roll-out of one service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutTerm {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The new version.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The number of the order, which grows with each order of any service.
    #[prost(uint64, tag = "3")]
    pub order: u64,
    /// How far the roll-out has come.
    #[prost(enumeration = "RolloutPhase", tag = "4")]
    pub phase: i32,
    /// The stage while it is active.
    #[prost(enumeration = "RolloutStage", tag = "5")]
    pub stage: i32,
    /// The parts of routes that differ from `default_millionths`.
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<RouteShare>,
    /// The part of the requests of all other routes in millionths.
    #[prost(uint32, tag = "7")]
    pub default_millionths: u32,
    /// Milliseconds for which the shares hold after the report that the terms answer.
    #[prost(uint64, tag = "8")]
    pub lease_millis: u64,
    /// The endpoints of the new version that get requests; all of them if empty.
    #[prost(string, repeated, tag = "9")]
    pub probes: Vec<String>,
    /// The versions that a completed roll-out has replaced.
    #[prost(string, repeated, tag = "10")]
    pub replaced: Vec<String>,
}

/// The terms of all roll-outs. Newer terms have a higher `revision`, or the same one and a higher
/// `term`, or the same two and a higher `tick`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutTerms {
    /// The number of changes of roll-outs in the replicated log.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The term of the leader that sent them.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Increases with each message of this leader.
    #[prost(uint64, tag = "3")]
    pub tick: u64,
    /// One for each service with a roll-out.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<RolloutTerm>,
    /// `sent_millis` of the last report of the receiver; absent if there was none. Shares hold from
    /// then on, so that terms which arrive late renew nothing.
    #[prost(uint64, optional, tag = "5")]
    pub answered_millis: Option<u64>,
}

/// What one entry has seen of the answers of one endpoint on one route since it learned of the
/// order.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VersionOutcome {
    /// The id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The name of the route.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Whether the endpoint has the new version.
    #[prost(bool, tag = "3")]
    pub is_target: bool,
    /// Number of requests that ran and have ended.
    #[prost(uint64, tag = "4")]
    pub finished: u64,
    /// Number of these that failed.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Number of these that took several times as long as usual.
    #[prost(uint64, tag = "6")]
    pub slow: u64,
}

/// The requests that callers sent on one route since the entry learned of the order.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RouteRequests {
    /// The name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Number of requests.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
}

/// What one entry tells of the roll-out of one service. The counts are totals, so that a lost
/// report does no harm; those that have not changed since the last report may be left out.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The number of the order.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// The stage that the entry keeps to.
    #[prost(enumeration = "RolloutStage", tag = "3")]
    pub stage: i32,
    /// Number of requests of this entry in flight at endpoints of other versions.
    #[prost(uint32, tag = "4")]
    pub others_running: u32,
    /// Number of requests of this entry in flight at endpoints of the new version.
    #[prost(uint32, tag = "5")]
    pub target_running: u32,
    /// What endpoints have answered.
    #[prost(message, repeated, tag = "6")]
    pub outcomes: Vec<VersionOutcome>,
    /// The requests of each route.
    #[prost(message, repeated, tag = "7")]
    pub requests: Vec<RouteRequests>,
}

/// The reports of one entry to the leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutReports {
    /// One for each active roll-out.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<RolloutReport>,
    /// A random number that the process drew at its start. Its totals begin again with it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The time of the sender's steady clock since its start, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub sent_millis: u64,
}
