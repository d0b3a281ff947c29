//! Options of a node with their defaults.

use std::time::Duration;

use waxwing_core::units;

use crate::errors;

/// A `NodeOptions` is the set of times and bounds of one node. All voters of a group use the same
/// times: the lease of a leader is only safe if it ends before any voter may elect another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeOptions {
    /// How often the caller calls `tick`; default 10 ms. Timeouts are late by up to this time.
    pub tick_interval: Duration,
    /// The shortest time without a leader before an election; default 1 s. A voter refuses to vote
    /// for this time after it heard a leader or was started, and a leader that doesn't hear a
    /// quorum for this time steps down.
    pub election_timeout_min: Duration,
    /// The longest time without a leader before an election; default 2 s. Each wait is drawn
    /// evenly from the range, so that two candidates rarely collide.
    pub election_timeout_max: Duration,
    /// The time between heartbeats of a leader; default 150 ms.
    pub heartbeat_interval: Duration,
    /// How long after the sending of a heartbeat that a quorum answered a leader may confirm reads
    /// without asking again; default 750 ms. The gap to `election_timeout_min` covers differences
    /// between the speeds of the hosts' clocks.
    pub leader_lease: Duration,
    /// The most entry bytes in one append message; default 1 MiB. A larger entry travels alone.
    pub max_batch_bytes: units::ByteCount,
    /// The most append messages to one follower without an answer; default 16.
    pub max_inflight_batches: usize,
    /// The most bytes of commands that are proposed and not yet committed; default 16 MiB. Further
    /// proposals are refused.
    pub max_uncommitted_bytes: units::ByteCount,
    /// The longest command; default 4 MiB, which fits into one frame between processes.
    pub max_command_bytes: units::ByteCount,
    /// The bytes of a snapshot in one message; default 256 KiB.
    pub snapshot_chunk_bytes: units::ByteCount,
    /// The longest snapshot that is accepted from a leader; default 64 MiB.
    pub max_snapshot_bytes: units::ByteCount,
    /// The number of entries that stay in memory behind a snapshot, so that a follower that lags a
    /// little needs no snapshot; default 1,024.
    pub retained_entries: u64,
    /// The most bytes of those entries; default 4 MiB, since each entry may be long.
    pub retained_bytes: units::ByteCount,
    /// The most entries a learner may lack when it is promoted to voter; default 16.
    pub promotion_lag: u64,
    /// The most reads that wait for confirmation; default 4,096.
    pub max_pending_reads: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(10),
            election_timeout_min: Duration::from_secs(1),
            election_timeout_max: Duration::from_secs(2),
            heartbeat_interval: Duration::from_millis(150),
            leader_lease: Duration::from_millis(750),
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
    /// Checks that the times and bounds agree with each other.
    ///
    /// # Errors
    /// Fails with the rule that is broken.
    pub fn check(&self) -> Result<(), errors::OptionsError> {
        if self.election_timeout_min > self.election_timeout_max {
            return Err(errors::OptionsError::ElectionTimeoutRange);
        }
        if self.leader_lease >= self.election_timeout_min {
            return Err(errors::OptionsError::LeaseTooLong);
        }
        if self.heartbeat_interval.is_zero() || self.heartbeat_interval * 2 > self.leader_lease {
            return Err(errors::OptionsError::HeartbeatInterval);
        }
        if self.max_inflight_batches == 0 || self.snapshot_chunk_bytes.0 == 0 {
            return Err(errors::OptionsError::ZeroLimit);
        }
        Ok(())
    }
}
