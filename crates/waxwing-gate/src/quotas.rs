//! Quotas of client accounts across all entries.
//!
//! Each entry keeps a token bucket for every account and charges it with what the other entries
//! report to have admitted. Until these updates arrive, all entries together may exceed the quota
//! by the requests of that time; the slack in the options allows for it.
//!
//! When an account exceeds its quota, its more urgent requests go first. Otherwise its many small
//! requests would keep the bucket so full that a large one never fits.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::deployments;

/// Token bucket of an account.
#[derive(Debug, Clone, Copy)]
struct QuotaBucket {
    /// Units that were admitted and have not been refilled.
    used: f64,
    /// Units that are refilled per second.
    rate: f64,
    updated: Instant,
}

/// Time for which capacity is reserved for a tier after a rejection of one of its requests, or of a
/// less urgent one; a few intervals between the large requests of a busy account.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// Share of the quota that each more urgent tier with recent rejections leaves to the tiers below
/// it.
const TIER_REMAINDER: f64 = 0.5;

/// Latest rejection in a tier of an account.
#[derive(Debug, Clone, Copy)]
struct TierRejection {
    rank: (u32, u32),
    last: Instant,
}

impl TierRejection {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < RESERVE_TIME
    }
}

/// Token buckets of all accounts.
#[derive(Debug)]
pub struct QuotaTable {
    /// Start time of the process. Earlier admissions are unknown, so every bucket counts as used up
    /// at that time.
    started: Instant,
    buckets: HashMap<SmolStr, QuotaBucket>,
    /// Units that this entry has admitted since its start.
    admitted: HashMap<SmolStr, f64>,
    /// Tiers with recent rejections, by account.
    rejections: HashMap<SmolStr, Vec<TierRejection>>,
    changed: Vec<SmolStr>,
}

/// A request to be charged to a quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest<'a> {
    /// Client account to charge.
    pub account: &'a SmolStr,
    /// Quota of the account.
    pub quota: &'a deployments::AccountQuota,
    /// Units that the request uses.
    pub cost: f64,
    /// Tier of the request.
    pub rank: (u32, u32),
}

/// The part of a quota that this entry may use.
#[derive(Debug, Clone, Copy)]
pub struct QuotaAllowance {
    /// Number of connected entries, this one included, divided by all that may be running. The
    /// others may use the rest of the quota.
    pub share: f64,
    /// Units that all entries together may admit beyond the quota.
    pub slack: f64,
}

impl QuotaTable {
    /// Builds the table of a process that started at `started`.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            buckets: HashMap::new(),
            admitted: HashMap::new(),
            rejections: HashMap::new(),
            changed: Vec::new(),
        }
    }

    /// Returns the time since the process started.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Admits a request and charges it to its quota.
    ///
    /// # Errors
    /// Returns the time after which the quota has room for the request if it has none now.
    pub fn admit(
        &mut self,
        now: Instant,
        request: QuotaRequest<'_>,
        allowance: QuotaAllowance,
    ) -> Result<(), Duration> {
        let QuotaRequest {
            account,
            quota,
            cost,
            rank,
        } = request;
        let rate = quota.rate * allowance.share;
        let capacity = quota.burst.max(cost) * allowance.share;
        let tier_share = self.usable_share(now, account, rank);
        let bucket = self.bucket(now, account, rate, capacity);
        // A request larger than the share of its tier is admitted when the bucket is unused.
        let limit = (capacity * tier_share).max(cost.min(capacity));
        let available = limit + allowance.slack * allowance.share * tier_share - bucket.used;
        if cost > available {
            let missing = cost - available;
            self.record_rejection(now, account, rank);
            let seconds = missing / rate.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
        }
        bucket.used += cost;
        self.record_admission(account, cost);
        Ok(())
    }

    /// Returns the share of a quota that a tier may use: all of it, unless more urgent requests of
    /// the account were rejected recently.
    fn usable_share(&self, now: Instant, account: &SmolStr, rank: (u32, u32)) -> f64 {
        let rejections = self.rejections.get(account).into_iter().flatten();
        let urgent =
            rejections.filter(|rejection| rejection.rank < rank && rejection.is_recent(now));
        urgent.fold(1.0, |remaining, _| remaining * TIER_REMAINDER)
    }

    /// Records a rejection. It also extends the reservations of the more urgent tiers, which last
    /// while less urgent requests compete for the reserved capacity.
    fn record_rejection(&mut self, now: Instant, account: &SmolStr, rank: (u32, u32)) {
        let rejections = self.rejections.entry(account.clone()).or_default();
        rejections.retain(|rejection| rejection.is_recent(now) && rejection.rank != rank);
        for rejection in rejections
            .iter_mut()
            .filter(|rejection| rejection.rank < rank)
        {
            rejection.last = now;
        }
        rejections.push(TierRejection { rank, last: now });
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &SmolStr, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.used = (bucket.used - cost).max(0.0);
        }
        self.record_admission(account, -cost);
    }

    /// Applies the quotas of a deployment, so that admissions by other entries are counted for
    /// accounts without a request here yet.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        quotas: impl Iterator<Item = (&'a SmolStr, &'a deployments::AccountQuota)>,
    ) {
        for (account, quota) in quotas {
            self.bucket(now, account, quota.rate, quota.burst);
        }
    }

    /// Charges what another entry has admitted since its last update.
    pub fn apply_peer_usage(&mut self, now: Instant, account: &SmolStr, cost: f64) {
        let Some(rate) = self.buckets.get(account).map(|bucket| bucket.rate) else {
            return;
        };
        let bucket = self.bucket(now, account, rate, 0.0);
        bucket.used = (bucket.used + cost).max(0.0);
    }

    /// Returns the bucket of an account, refilled up to now; a new one starts used up at the start
    /// of the process.
    fn bucket(
        &mut self,
        now: Instant,
        account: &SmolStr,
        rate: f64,
        capacity: f64,
    ) -> &mut QuotaBucket {
        let started = self.started;
        let bucket = self.buckets.entry(account.clone()).or_insert(QuotaBucket {
            used: capacity,
            rate,
            updated: started,
        });
        bucket.rate = rate;
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.used = (bucket.used - elapsed * rate).max(0.0);
        bucket.updated = now;
        bucket
    }

    fn record_admission(&mut self, account: &SmolStr, cost: f64) {
        *self.admitted.entry(account.clone()).or_default() += cost;
        if !self.changed.contains(account) {
            self.changed.push(account.clone());
        }
    }

    /// Returns the units that this entry has admitted since its start, for the accounts that
    /// changed since the last call.
    pub fn take_changed_totals(&mut self) -> Vec<(SmolStr, u64)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .map(|account| {
                let admitted = self.admitted.get(&account).copied().unwrap_or_default();
                (account, to_units(admitted))
            })
            .collect()
    }

    /// Returns the units that this entry has admitted since its start, for all accounts.
    #[must_use]
    pub fn admitted_totals(&self) -> Vec<(SmolStr, u64)> {
        let admitted = self.admitted.iter();
        admitted
            .map(|(account, admitted)| (account.clone(), to_units(*admitted)))
            .collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "admitted units are whole numbers and never negative"
)]
fn to_units(admitted: f64) -> u64 {
    admitted.max(0.0) as u64
}
