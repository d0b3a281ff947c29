//! Rate and concurrency limits per client account: requests per second, concurrent requests, and
//! tokens per second.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use waxwing_core::{ids, reasons, units};

/// Limits of one account; `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountLimits {
    /// Admitted requests per second.
    pub requests_per_second: Option<f64>,
    /// Requests that may run concurrently.
    pub concurrent_requests: Option<u32>,
    /// Prompt and output tokens per second.
    pub tokens_per_second: Option<units::TokenRate>,
}

/// The limit that rejected a request, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountRefusal {
    /// The limit that was reached.
    pub reason: reasons::RefusalReason,
    /// The time until the limit admits another request; `None` if unknown, as for the concurrency
    /// limit, which depends on when other requests end.
    pub retry_after: Option<Duration>,
}

/// Token bucket with a capacity of one second of its rate, but at least one token.
#[derive(Debug)]
struct RateBucket {
    level: f64,
    refilled_at: Instant,
}

impl RateBucket {
    fn new(rate: f64, now: Instant) -> Self {
        Self {
            level: rate.max(1.0),
            refilled_at: now,
        }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed * rate).min(rate.max(1.0));
        self.refilled_at = now;
    }

    /// Returns the time until the level reaches `target`; `None` if it never does.
    fn time_until(&self, target: f64, rate: f64) -> Option<Duration> {
        let seconds = (target - self.level) / rate;
        Duration::try_from_secs_f64(seconds.max(0.0)).ok()
    }
}

#[derive(Debug)]
struct AccountUsage {
    running: u32,
    requests: RateBucket,
    tokens: RateBucket,
}

/// Usage of all accounts; admits requests within the limits of their account.
#[derive(Debug, Default)]
pub struct AccountTable {
    usages: HashMap<ids::AccountName, AccountUsage>,
}

impl AccountTable {
    /// Creates a table without running requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request; the caller must call [`AccountTable::release`] once when it ends.
    ///
    /// A request may take the token bucket below zero, since a single prompt can exceed the
    /// bucket's capacity of one second of the rate. Later requests are refused until the level is
    /// positive.
    ///
    /// # Errors
    /// Fails if a limit is reached; no bucket is charged in that case.
    pub fn admit(
        &mut self,
        account: &ids::AccountName,
        limits: &AccountLimits,
        tokens: units::TokenCount,
        now: Instant,
    ) -> Result<(), AccountRefusal> {
        let request_rate = limits.requests_per_second.unwrap_or(f64::MAX);
        let token_rate = limits.tokens_per_second.map_or(f64::MAX, |rate| rate.0);
        let usage = self
            .usages
            .entry(account.clone())
            .or_insert_with(|| AccountUsage {
                running: 0,
                requests: RateBucket::new(request_rate, now),
                tokens: RateBucket::new(token_rate, now),
            });
        usage.requests.refill(request_rate, now);
        usage.tokens.refill(token_rate, now);
        usage.check(limits, request_rate, token_rate)?;
        usage.running += 1;
        usage.requests.level -= 1.0;
        usage.tokens.level -= tokens.0 as f64;
        Ok(())
    }

    /// Marks one admitted request as ended.
    pub fn release(&mut self, account: &ids::AccountName) {
        if let Some(usage) = self.usages.get_mut(account) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Returns the number of admitted requests of an account that have not ended.
    #[must_use]
    pub fn running(&self, account: &ids::AccountName) -> u32 {
        self.usages.get(account).map_or(0, |usage| usage.running)
    }
}

impl AccountUsage {
    fn check(
        &self,
        limits: &AccountLimits,
        request_rate: f64,
        token_rate: f64,
    ) -> Result<(), AccountRefusal> {
        if limits
            .concurrent_requests
            .is_some_and(|limit| self.running >= limit)
        {
            return Err(AccountRefusal {
                reason: reasons::RefusalReason::AccountConcurrency,
                retry_after: None,
            });
        }
        if self.requests.level < 1.0 {
            return Err(AccountRefusal {
                reason: reasons::RefusalReason::AccountRate,
                retry_after: self.requests.time_until(1.0, request_rate),
            });
        }
        if self.tokens.level <= 0.0 {
            return Err(AccountRefusal {
                reason: reasons::RefusalReason::AccountTokens,
                retry_after: self.tokens.time_until(1.0, token_rate),
            });
        }
        Ok(())
    }
}
