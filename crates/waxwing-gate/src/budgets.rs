//! The retry budget: how many sends beyond the first of each request the endpoints of a service
//! may get in a sliding window. All entries share the budget; each one keeps to its share, so that
//! no message is needed and the sum holds while entries can't reach each other.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Parts into which the window is divided; the count is at most one part too high.
const BUCKETS: u32 = 20;

/// A `RetryBudget` counts requests and repeats for one service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    buckets: VecDeque<BudgetBucket>,
}

/// A `BudgetBucket` is the count of one part of the window.
#[derive(Debug, Clone, Copy)]
struct BudgetBucket {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// Builds an empty budget.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
        }
    }

    fn bucket(&mut self, now: Instant) -> &mut BudgetBucket {
        let part = self.window / BUCKETS;
        while let Some(oldest) = self.buckets.front() {
            if now.saturating_duration_since(oldest.start) <= self.window + part {
                break;
            }
            self.buckets.pop_front();
        }
        let fresh = self
            .buckets
            .back()
            .is_none_or(|newest| now.saturating_duration_since(newest.start) >= part);
        if fresh {
            self.buckets.push_back(BudgetBucket {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeat if the budget allows it; `extra` is the share of this entry.
    pub fn take_repeat(&mut self, now: Instant, ratio: f64, extra: f64) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let allowed = f64::from(repeats + 1) <= f64::from(requests) * ratio + extra;
        if allowed {
            self.bucket(now).repeats += 1;
        }
        allowed
    }
}
