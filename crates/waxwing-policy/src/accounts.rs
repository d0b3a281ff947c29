//! Limits of client accounts: request rate, concurrent requests and token rate.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use waxwing_core::{ids, reasons, units};

/// `AccountLimits` are the limits of one account; `None` stands for no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountLimits {
    /// Requests per second.
    pub requests_per_second: Option<f64>,
    /// Requests at one time.
    pub concurrent_requests: Option<u32>,
    /// Prompt and output tokens per second.
    pub tokens_per_second: Option<units::TokenRate>,
}

/// An `AccountRefusal` tells which limit was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountRefusal {
    /// The limit.
    pub reason: reasons::RefusalReason,
    /// The time after which the limit may allow a request; `None` if that depends on others.
    pub retry_after: Option<Duration>,
}

/// A `RateBucket` is a token bucket that holds one second of its rate, and at least one token.
#[derive(Debug)]
struct RateBucket {
    level: f64,
    filled: Instant,
}

impl RateBucket {
    fn new(rate: f64, now: Instant) -> Self {
        Self {
            level: rate.max(1.0),
            filled: now,
        }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(rate.max(1.0));
        self.filled = now;
    }

    /// Returns the time until the level reaches `wanted`.
    fn wait(&self, wanted: f64, rate: f64) -> Option<Duration> {
        let seconds = (wanted - self.level) / rate;
        Duration::try_from_secs_f64(seconds.max(0.0)).ok()
    }
}

#[derive(Debug)]
struct AccountGauge {
    running: u32,
    requests: RateBucket,
    tokens: RateBucket,
}

/// An `AccountTable` admits requests within the limits of their accounts.
#[derive(Debug, Default)]
pub struct AccountTable {
    gauges: HashMap<ids::AccountName, AccountGauge>,
}

impl AccountTable {
    /// Builds a table in which no request runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits one request; each admission needs one [`AccountTable::release`].
    ///
    /// A request may take the token bucket below zero, since its length can exceed one second of
    /// the rate; later requests wait until the bucket is positive again.
    ///
    /// # Errors
    /// Fails if a limit is reached; nothing is taken from any bucket then.
    pub fn admit(
        &mut self,
        account: &ids::AccountName,
        limits: &AccountLimits,
        tokens: units::TokenCount,
        now: Instant,
    ) -> Result<(), AccountRefusal> {
        let request_rate = limits.requests_per_second.unwrap_or(f64::MAX);
        let token_rate = limits.tokens_per_second.map_or(f64::MAX, |rate| rate.0);
        let gauge = self
            .gauges
            .entry(account.clone())
            .or_insert_with(|| AccountGauge {
                running: 0,
                requests: RateBucket::new(request_rate, now),
                tokens: RateBucket::new(token_rate, now),
            });
        gauge.requests.refill(request_rate, now);
        gauge.tokens.refill(token_rate, now);
        gauge.check(limits, request_rate, token_rate)?;
        gauge.running += 1;
        gauge.requests.level -= 1.0;
        gauge.tokens.level -= tokens.0 as f64;
        Ok(())
    }

    /// Ends one admitted request.
    pub fn release(&mut self, account: &ids::AccountName) {
        if let Some(gauge) = self.gauges.get_mut(account) {
            gauge.running = gauge.running.saturating_sub(1);
        }
    }

    /// Returns the admitted requests of an account that have not ended.
    #[must_use]
    pub fn running(&self, account: &ids::AccountName) -> u32 {
        self.gauges.get(account).map_or(0, |gauge| gauge.running)
    }
}

impl AccountGauge {
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
                retry_after: self.requests.wait(1.0, request_rate),
            });
        }
        if self.tokens.level <= 0.0 {
            return Err(AccountRefusal {
                reason: reasons::RefusalReason::AccountTokens,
                retry_after: self.tokens.wait(1.0, token_rate),
            });
        }
        Ok(())
    }
}
