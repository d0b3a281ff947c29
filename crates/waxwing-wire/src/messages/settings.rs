//! The settings tree on its way to the processes.

use prost::Message;

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
