//! Retry budgets and backoff. Retries are bounded as a share of requests, so that a fleet in
//! trouble is not loaded further by its own retries.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt as _};
use waxwing_core::ids;

/// A `BudgetLimits` value bounds the retries of one account and tier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries earned by one request.
    pub share: f64,
    /// Retries that a full bucket holds.
    pub burst: u32,
}

/// A `RetryBudget` keeps one token bucket per account and tier rank. A bucket starts full and
/// earns a share of a token with each request, so the retries of a pair never exceed the share of
/// its requests plus the burst.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: HashMap<(ids::AccountName, ids::TierRank), f64>,
}

impl RetryBudget {
    /// Builds a budget in which every bucket is full.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Earns the share of one request.
    pub fn earn(&mut self, account: &ids::AccountName, rank: ids::TierRank, limits: BudgetLimits) {
        let full = f64::from(limits.burst);
        let bucket = self.bucket(account, rank, limits);
        *bucket = (*bucket + limits.share).min(full);
    }

    /// Takes one retry, or tells that the budget is used up.
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

/// A `BackoffPolicy` bounds the time between retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// The bound of the first delay; 50 ms.
    pub base: Duration,
    /// The bound of every delay; 2 s.
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
    /// Returns the bound of the delay before retry `attempt`, counted from zero.
    #[must_use]
    pub fn bound(&self, attempt: u32) -> Duration {
        let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor.max(1)).min(self.limit)
    }

    /// Draws a delay between zero and the bound, so that retries of many requests spread out.
    pub fn delay<R: Rng>(&self, attempt: u32, random: &mut R) -> Duration {
        self.bound(attempt).mul_f64(random.random::<f64>())
    }
}
