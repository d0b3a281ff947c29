//! Load reports of agents, announcements of processes, and the directory built from them.

use prost::{Enumeration, Message};

use super::links;

/// The waiting work of one tier rank.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RankLoad {
    /// The tier rank.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// Number of waiting offers.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Prompt tokens of the waiting offers.
    #[prost(uint64, tag = "3")]
    pub waiting_tokens: u64,
}

/// An agent's view of the load of its endpoint, sent on changes and every second.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Measured prefill rate in tokens per second.
    #[prost(double, tag = "1")]
    pub prefill_rate: f64,
    /// Measured time between tokens in milliseconds.
    #[prost(double, tag = "2")]
    pub token_millis: f64,
    /// Ratio of the observed speed to the nominal one; below one for a straggler.
    #[prost(double, tag = "3")]
    pub speed_factor: f64,
    /// Prompt tokens of granted requests that are not yet computed.
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
    /// Number of running requests.
    #[prost(uint32, tag = "8")]
    pub running: u32,
    /// Whether the agent refuses new offers.
    #[prost(bool, tag = "9")]
    pub draining: bool,
    /// Models that are loaded.
    #[prost(string, repeated, tag = "10")]
    pub models: Vec<String>,
    /// Number of requests that the engine itself reported to hold. It lags and is only used by
    /// baseline policies.
    #[prost(uint32, tag = "11")]
    pub reported_requests: u32,
    /// Prefix hashes that became cached since the last report, at most 64.
    #[prost(fixed64, repeated, tag = "12")]
    pub cached: Vec<u64>,
    /// Prefix hashes that were evicted since the last report, at most 64.
    #[prost(fixed64, repeated, tag = "13")]
    pub evicted: Vec<u64>,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EndpointKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// An inference engine that serves models.
    Engine = 1,
    /// A plain HTTP service.
    Plain = 2,
}

/// Registers a process in the directory, or renews its lease.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The identity of the process.
    #[prost(message, optional, tag = "1")]
    pub process: Option<links::Hello>,
    /// The address on which it accepts links, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// The endpoint of an agent; absent for other processes.
    #[prost(message, optional, tag = "4")]
    pub endpoint: Option<EndpointInfo>,
    /// The settings version in force.
    #[prost(uint64, tag = "5")]
    pub settings_version: u64,
    /// Whether the process is shutting down and accepts no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Lease of the announcement in milliseconds.
    #[prost(uint64, tag = "7")]
    pub lease_millis: u64,
    /// The maximum number of endpoints that an entry wants to watch.
    #[prost(uint32, tag = "8")]
    pub watch_limit: u32,
    /// Uptime of the process in milliseconds when it sent this; shows how late an announcement is.
    #[prost(uint64, tag = "9")]
    pub uptime_millis: u64,
}

/// The description of the endpoint of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointInfo {
    /// The kind of the endpoint.
    #[prost(enumeration = "EndpointKind", tag = "1")]
    pub kind: i32,
    /// The name of the endpoint role in the settings.
    #[prost(string, tag = "2")]
    pub role: String,
    /// The hardware class of an engine.
    #[prost(string, tag = "3")]
    pub hardware: String,
    /// Models that are loaded.
    #[prost(string, repeated, tag = "4")]
    pub models: Vec<String>,
    /// Services that a plain endpoint provides.
    #[prost(string, repeated, tag = "5")]
    pub services: Vec<String>,
    /// Whether the endpoint itself rejects outdated fencing numbers.
    #[prost(bool, tag = "6")]
    pub checks_fencing: bool,
    /// Capacity of its prefix cache in tokens.
    #[prost(uint64, tag = "7")]
    pub cache_tokens: u64,
    /// Nominal prefill rate in tokens per second.
    #[prost(double, tag = "8")]
    pub prefill_rate: f64,
    /// Nominal time between tokens in milliseconds while only one request runs.
    #[prost(double, tag = "9")]
    pub token_millis: f64,
}

/// Updates the receiver's view of the members that it watches.
#[derive(Clone, PartialEq, Message)]
pub struct Directory {
    /// Whether `members` replaces the view; otherwise it is merged into it.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// New and changed members.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Announce>,
    /// Names of removed members.
    #[prost(string, repeated, tag = "3")]
    pub gone: Vec<String>,
    /// The addresses of the control hosts as `ip:port`.
    #[prost(string, repeated, tag = "4")]
    pub control: Vec<String>,
}
