//! What every link carries: introduction, heartbeats, leaving.

use prost::{Enumeration, Message};

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
