//! What control hosts and entries of a fleet without agents tell each other: the deployment in
//! force, the endpoints that registered, where the other processes are, and what each entry runs.

use prost::Message;

/// A `JoinGroup` asks the leader of the replicated log to take the sender in as a member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JoinGroup {
    /// The member id of the sender.
    #[prost(uint64, tag = "1")]
    pub member: u64,
    /// The sixteen bytes of the id of its data folder.
    #[prost(bytes = "bytes", tag = "2")]
    pub store: bytes::Bytes,
}

/// A `DeploymentState` carries the deployment that the sender holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeploymentState {
    /// The version; zero where the sender holds none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as the operator sent it; empty where only `confirmed` changed.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
    /// Whether the sender heard from the leader of the log lately, so that the version is current.
    #[prost(bool, tag = "3")]
    pub confirmed: bool,
}

/// An `EndpointNotice` is what an endpoint last said of itself.
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
    /// The requests that it serves at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes new work, leaves or is gone.
    #[prost(enumeration = "EndpointPhase", tag = "6")]
    pub phase: i32,
    /// Milliseconds for which it stays slow after its start.
    #[prost(uint64, tag = "7")]
    pub cold_millis: u64,
    /// Unix milliseconds of its start; zero where it didn't say.
    #[prost(uint64, tag = "8")]
    pub born: u64,
    /// Increases with each notice of one life of the endpoint.
    #[prost(uint64, tag = "9")]
    pub sequence: u64,
    /// Milliseconds since the sender heard it.
    #[prost(uint64, tag = "10")]
    pub age_millis: u64,
}

/// An `EndpointPhase` tells whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointPhase {
    /// Takes new work.
    Ready = 0,
    /// Ends what it runs and takes nothing new.
    Draining = 1,
    /// Said goodbye.
    Gone = 2,
}

/// `EndpointNotices` carries what endpoints said.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointNotices {
    /// The notices.
    #[prost(message, repeated, tag = "1")]
    pub notices: Vec<EndpointNotice>,
}

/// `FleetHosts` tells where the other processes accept links.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FleetHosts {
    /// The control hosts as `ip:port`.
    #[prost(string, repeated, tag = "1")]
    pub control: Vec<String>,
    /// The entries as `ip:port`.
    #[prost(string, repeated, tag = "2")]
    pub entries: Vec<String>,
}

/// An `EndpointUse` is what one entry has under way at one endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointUse {
    /// The id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Requests that were sent and have not ended.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens of those that have not produced anything yet.
    #[prost(uint64, tag = "3")]
    pub pending_prefill: u64,
}

/// An `AccountUse` is what one entry has admitted for one client account.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AccountUse {
    /// The name of the account.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units admitted since the start of the entry.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
}

/// A `ServiceDemand` is what one entry is asked for one service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests in the last seconds, in thousandths; a moving sum.
    #[prost(uint64, tag = "2")]
    pub recent_thousandths: u64,
    /// Requests at endpoints.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// The tier of the client account of the most urgent request that waits.
    #[prost(uint32, tag = "5")]
    pub account_rank: u32,
    /// The tier of its route.
    #[prost(uint32, tag = "6")]
    pub route_rank: u32,
}

/// An `EntryBook` tells the other entries what the sender has under way.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryBook {
    /// Endpoints whose use changed since the last book, or all in the first one.
    #[prost(message, repeated, tag = "1")]
    pub endpoints: Vec<EndpointUse>,
    /// Accounts whose use changed since the last book, or all in the first one.
    #[prost(message, repeated, tag = "2")]
    pub accounts: Vec<AccountUse>,
    /// Whether everything is told, as in the first book on a link.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// What the sender is asked for the services that requests name.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<ServiceDemand>,
    /// Milliseconds since the sender has started, by which its sums are judged.
    #[prost(uint64, tag = "5")]
    pub age_millis: u64,
}
