//! How often an entry sends load updates to the others.

use std::time::Duration;

/// Shortest time between two load updates; changes within it are sent in one message.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Number of other entries up to which load updates are sent at the shortest interval. With more of
/// them the interval grows in proportion, so that the cost per entry stays constant.
const PEERS_PER_INTERVAL: usize = 4;

/// Returns the time between two load updates of an entry that is linked to `peers` others.
#[must_use]
pub fn update_interval(peers: usize) -> Duration {
    let factor = peers.div_ceil(PEERS_PER_INTERVAL).max(1);
    UPDATE_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)
}
