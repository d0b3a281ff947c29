//! Messages of every link: the `Hello` of the handshake, heartbeats and the notice of leaving.

use prost::{Enumeration, Message};

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ProcessKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// An entry, which accepts requests from callers.
    Entry = 1,
    /// An agent beside an endpoint.
    Agent = 2,
    /// The process of a control host.
    Control = 3,
    /// A command-line tool of an operator.
    Tool = 4,
}

/// Identifies the sender; the first message on a link in both directions.
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

/// Keeps an idle link alive and reports the settings version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// The settings version in force at the sender.
    #[prost(uint64, tag = "1")]
    pub settings_version: u64,
}

/// The sender is shutting down and accepts no new work.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Leaving {}
