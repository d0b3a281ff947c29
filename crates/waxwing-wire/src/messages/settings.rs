//! Messages that distribute the settings tree to the processes.

use prost::Message;

/// Subscribes to the settings that are newer than a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchSettings {
    /// The version in force at the sender; zero for none, which asks for a snapshot.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The full settings tree.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsSnapshot {
    /// The version of the tree.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The tree as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub tree: bytes::Bytes,
}

/// One accepted change of the settings.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsDelta {
    /// The version to which the patch applies.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The version after the change.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The patch as a JSON object from paths to new values; null removes a path.
    #[prost(bytes = "bytes", tag = "3")]
    pub patch: bytes::Bytes,
}

/// Reports that a quorum has just confirmed the newest version. A control host that is partitioned
/// from the quorum can't send it, so a process detects within seconds that its settings may be
/// outdated, even while its link works.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsConfirmed {
    /// The newest version at the time of the confirmation.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}
