//! Limits on the requests a second that an endpoint takes from all entries together.
//!
//! An endpoint states its limit in its answers. Entries pass the newest statement on to each other,
//! and each keeps to its share with a token bucket, so that the limit holds without a message
//! before each request, and also while entries can't reach each other. A bucket holds at least one
//! request, so the buckets of many entries could let a burst through that is far above a small
//! limit. Hence only a few entries share a small limit, chosen by rendezvous hashing; the others
//! send their requests to other endpoints.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use waxwing_core::units;

use crate::shares;

/// The smallest limit that is kept. An endpoint that states a smaller one, or zero, still gets a
/// request now and then, whose answer tells when the limit ends.
const MIN_LIMIT: units::RequestRate = units::RequestRate(0.1);

/// Entries that may share a limit beyond one for each request a second. It is the burst above a
/// second's requests that an endpoint may get.
const SPARE_SHARES: f64 = 2.0;

/// Time whose share of requests may be sent at once.
const BURST_TIME: Duration = Duration::from_millis(250);

/// How long a computed share is used. The set of entries changes rarely.
const SHARE_LIFETIME: Duration = Duration::from_millis(100);

/// What an endpoint has stated of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// The requests a second that it takes from all entries; `None` if it names no limit.
    pub limit: Option<units::RequestRate>,
    /// The time for which the statement is known to hold. An answer that names no limit may have
    /// been on its way when the endpoint named one, so it counts as of the sending of its request.
    pub at: Instant,
}

/// The limit of an endpoint as one entry keeps it.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimit {
    statement: Option<LimitStatement>,
    bucket: ShareBucket,
}

/// A token bucket that holds this entry's part of a limit.
#[derive(Debug, Clone, Copy, Default)]
struct ShareBucket {
    /// Requests a second that this entry may send.
    share: f64,
    /// Requests that it may send now.
    tokens: f64,
    /// When the tokens were computed; `None` before the first limit.
    filled: Option<Instant>,
    /// When the share was computed; `None` if the limit has changed since.
    share_time: Option<Instant>,
}

impl EndpointLimit {
    /// Takes a statement of the endpoint, from an answer or from another entry. Returns whether the
    /// other entries should be told: the limit has changed, or they hold an older statement.
    pub fn observe(&mut self, statement: LimitStatement) -> bool {
        let current = self.limit();
        let is_newer = self
            .statement
            .is_none_or(|current| current.at <= statement.at);
        if !is_newer {
            return current != statement.limit;
        }
        if current.is_some() || statement.limit.is_some() || self.statement.is_some() {
            self.statement = Some(statement);
        }
        let changed = current != statement.limit;
        if changed {
            self.bucket.share_time = None;
        }
        if changed && current.is_none() {
            // What was sent before the limit was known has used up the bucket.
            self.bucket = ShareBucket {
                filled: Some(statement.at),
                ..ShareBucket::default()
            };
        }
        changed
    }

    /// Returns the limit that is in force.
    #[must_use]
    pub fn limit(&self) -> Option<units::RequestRate> {
        self.statement?.limit
    }

    /// Returns the newest statement; `None` if the endpoint has never named a limit.
    #[must_use]
    pub const fn statement(&self) -> Option<LimitStatement> {
        self.statement
    }

    /// Adds the requests that have become due. `share` computes this entry's part of a limit.
    pub fn refill(
        &mut self,
        now: Instant,
        share: impl FnOnce(units::RequestRate) -> units::RequestRate,
    ) {
        let Some(limit) = self.limit() else {
            return;
        };
        let bucket = &mut self.bucket;
        let is_current = |computed| now.saturating_duration_since(computed) < SHARE_LIFETIME;
        if !bucket.share_time.is_some_and(is_current) {
            bucket.share = share(limit).0;
            bucket.share_time = Some(now);
        }
        let filled = bucket.filled.replace(now).unwrap_or(now);
        let added = bucket.share * now.saturating_duration_since(filled).as_secs_f64();
        let capacity = (bucket.share * BURST_TIME.as_secs_f64()).max(1.0);
        bucket.tokens = (bucket.tokens + added).min(capacity);
    }

    /// Returns the number of requests that this entry may send now.
    #[must_use]
    pub fn available(&self) -> u32 {
        match self.limit() {
            None => u32::MAX,
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the conversion saturates, and tokens are never negative"
            )]
            Some(_) => self.bucket.tokens as u32,
        }
    }

    /// Counts a request that is sent.
    pub fn take(&mut self) {
        if self.limit().is_some() {
            self.bucket.tokens = (self.bucket.tokens - 1.0).max(0.0);
        }
    }
}

/// Returns the part of an endpoint's limit that the entry `own` may use, given all other entries
/// that may be running; zero if it has none.
#[must_use]
pub fn entry_share(
    limit: units::RequestRate,
    own: SocketAddr,
    others: &[SocketAddr],
    endpoint: &str,
) -> units::RequestRate {
    let limit = limit.0.max(MIN_LIMIT.0);
    let own_weight = (shares::rendezvous_weight(own, endpoint), own);
    let ahead = others
        .iter()
        .filter(|other| (shares::rendezvous_weight(**other, endpoint), **other) > own_weight)
        .count();
    let entries = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
    let holders = f64::from(entries).min(limit.floor() + 1.0 + SPARE_SHARES);
    let has_share = u32::try_from(ahead).is_ok_and(|ahead| f64::from(ahead) < holders);
    units::RequestRate(if has_share { limit / holders } else { 0.0 })
}
