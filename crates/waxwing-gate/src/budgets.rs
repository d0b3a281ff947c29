//! Retry budget: how many retries the endpoints of a service may get in a sliding window. The
//! budget is divided among all entries and each keeps to its share, so that it needs no messages
//! and holds while entries can't reach each other.
//!
//! What a process used before its restart is unknown, so the fixed allowance counts as used up when
//! it starts.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Buckets into which the window is divided; the counted time exceeds the window by at most one.
const BUCKETS: u32 = 20;

/// Requests and retries of one service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    /// When the process started.
    started: Instant,
    window: Duration,
    buckets: VecDeque<BudgetBucket>,
}

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy)]
struct BudgetBucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Builds the budget of a process that started at `started`, over a window of this length.
    #[must_use]
    pub const fn new(started: Instant, window: Duration) -> Self {
        Self {
            started,
            window,
            buckets: VecDeque::new(),
        }
    }

    fn bucket(&mut self, now: Instant) -> &mut BudgetBucket {
        let bucket_width = self.window / BUCKETS;
        while let Some(oldest) = self.buckets.front() {
            if now.saturating_duration_since(oldest.start) <= self.window + bucket_width {
                break;
            }
            self.buckets.pop_front();
        }
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|newest| now.saturating_duration_since(newest.start) >= bucket_width);
        if needs_bucket {
            self.buckets.push_back(BudgetBucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry and returns `true` if the budget allows it: up to `ratio` retries for each
    /// request in the window, plus `extra`, the share of this entry in the fixed allowance, once the
    /// process has run for a window.
    pub fn take_retry(&mut self, now: Instant, ratio: f64, extra: f64) -> bool {
        self.bucket(now);
        let age = now.saturating_duration_since(self.started);
        let extra = if age > self.window { extra } else { 0.0 };
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(retries + 1) <= f64::from(requests) * ratio + extra;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }
}
