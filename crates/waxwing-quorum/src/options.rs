//! Configuration of a node.

use std::time::Duration;

use waxwing_core::units;

use crate::errors;

/// The timeouts and limits of one node. All voters of a group should use the same timeouts, so that
/// none of them replaces a working leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeOptions {
    /// How often the caller calls `tick`; default 10 ms. A timeout may fire late by up to this
    /// interval.
    pub tick_interval: Duration,
    /// The minimum election timeout; default 1 s. A voter grants no vote for this time after it
    /// heard from a leader or was started, and a leader that hears from no quorum for this time
    /// steps down.
    pub election_timeout_min: Duration,
    /// The maximum election timeout; default 2 s. Each timeout is drawn uniformly from the range
    /// between minimum and maximum, so that split votes are rare.
    pub election_timeout_max: Duration,
    /// The interval between heartbeats of a leader; default 150 ms.
    pub heartbeat_interval: Duration,
    /// The maximum total size of the entries in one append message; default 1 MiB. A larger entry
    /// is sent in a message of its own.
    pub max_batch_bytes: units::ByteCount,
    /// The maximum number of unacknowledged append messages per follower; default 16.
    pub max_inflight_batches: usize,
    /// The maximum total size of entries that are proposed but not yet committed; default 16 MiB.
    /// Proposals above it are rejected.
    pub max_uncommitted_bytes: units::ByteCount,
    /// The maximum size of a command; default 4 MiB, which fits into one frame between processes.
    pub max_command_bytes: units::ByteCount,
    /// The number of snapshot bytes per message; default 256 KiB.
    pub snapshot_chunk_bytes: units::ByteCount,
    /// The maximum size of a snapshot that is accepted from a leader; default 64 MiB.
    pub max_snapshot_bytes: units::ByteCount,
    /// The maximum number of entries covered by a snapshot that stay in memory, so that a follower
    /// that lags slightly needs no snapshot; default 1,024.
    pub retained_entries: u64,
    /// The maximum total size of the entries kept by `retained_entries`; default 4 MiB. It is a
    /// separate limit since single entries may be large.
    pub retained_bytes: units::ByteCount,
    /// The maximum number of entries that a learner may lag behind the leader when it is promoted
    /// to voter; default 16.
    pub promotion_lag: u64,
    /// The maximum number of reads that wait for confirmation; default 4,096.
    pub max_pending_reads: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(10),
            election_timeout_min: Duration::from_secs(1),
            election_timeout_max: Duration::from_secs(2),
            heartbeat_interval: Duration::from_millis(150),
            max_batch_bytes: units::ByteCount(1024 * 1024),
            max_inflight_batches: 16,
            max_uncommitted_bytes: units::ByteCount(16 * 1024 * 1024),
            max_command_bytes: units::ByteCount(4 * 1024 * 1024),
            snapshot_chunk_bytes: units::ByteCount(256 * 1024),
            max_snapshot_bytes: units::ByteCount(64 * 1024 * 1024),
            retained_entries: 1024,
            retained_bytes: units::ByteCount(4 * 1024 * 1024),
            promotion_lag: 16,
            max_pending_reads: 4096,
        }
    }
}

impl NodeOptions {
    /// Checks that the timeouts and limits are consistent.
    ///
    /// # Errors
    /// Returns the first violated constraint.
    pub fn check(&self) -> Result<(), errors::OptionsError> {
        if self.election_timeout_min > self.election_timeout_max {
            return Err(errors::OptionsError::ElectionTimeoutRange);
        }
        if self.heartbeat_interval.is_zero()
            || self.heartbeat_interval * 3 > self.election_timeout_min
        {
            return Err(errors::OptionsError::HeartbeatInterval);
        }
        if self.max_inflight_batches == 0 || self.snapshot_chunk_bytes.0 == 0 {
            return Err(errors::OptionsError::ZeroLimit);
        }
        Ok(())
    }
}
