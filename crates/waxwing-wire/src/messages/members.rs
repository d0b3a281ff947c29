//! Reports, announcements and the directory.

use prost::{Enumeration, Message};

use super::links;

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
    pub process: Option<links::Hello>,
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
