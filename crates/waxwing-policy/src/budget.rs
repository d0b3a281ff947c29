//! Retry budgets and backoff. Retries are limited to a share of requests, so that they don't
//! amplify the load on a fleet that is already failing.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt as _};
use waxwing_core::ids;

/// Limits on the retries of one account and tier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries that each request adds to the bucket, as a fraction of one.
    pub share: f64,
    /// Capacity of the bucket, in retries.
    pub burst: u32,
}

/// Retry budget with one token bucket per account and tier rank. A bucket starts full and gains
/// [`BudgetLimits::share`] of a token with each request, so the retries of an account in a tier
/// never exceed that share of its requests plus [`BudgetLimits::burst`].
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: HashMap<(ids::AccountName, ids::TierRank), f64>,
}

impl RetryBudget {
    /// Creates a budget in which every bucket is full.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Credits the bucket with the share of one request.
    pub fn earn(&mut self, account: &ids::AccountName, rank: ids::TierRank, limits: BudgetLimits) {
        let full = f64::from(limits.burst);
        let bucket = self.bucket(account, rank, limits);
        *bucket = (*bucket + limits.share).min(full);
    }

    /// Takes one retry from the bucket; returns `false` if less than one is left.
    pub fn withdraw(
        &mut self,
        account: &ids::AccountName,
        rank: ids::TierRank,
        limits: BudgetLimits,
    ) -> bool {
        let bucket = self.bucket(account, rank, limits);
        if *bucket < 1.0 {
            return false;
        }
        *bucket -= 1.0;
        true
    }

    fn bucket(
        &mut self,
        account: &ids::AccountName,
        rank: ids::TierRank,
        limits: BudgetLimits,
    ) -> &mut f64 {
        self.buckets
            .entry((account.clone(), rank))
            .or_insert_with(|| f64::from(limits.burst))
    }
}

/// Exponential backoff with full jitter between retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Upper bound of the first delay; 50 ms by default. It doubles with each attempt.
    pub base: Duration,
    /// Upper bound of every delay; 2 s by default.
    pub limit: Duration,
}

impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            limit: Duration::from_secs(2),
        }
    }
}

impl BackoffPolicy {
    /// Returns the upper bound of the delay before retry `attempt`, counted from zero.
    #[must_use]
    pub fn bound(&self, attempt: u32) -> Duration {
        let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor.max(1)).min(self.limit)
    }

    /// Draws a random delay between zero and the bound, so that the retries of many requests don't
    /// coincide.
    pub fn delay<R: Rng>(&self, attempt: u32, random: &mut R) -> Duration {
        self.bound(attempt).mul_f64(random.random::<f64>())
    }
}
