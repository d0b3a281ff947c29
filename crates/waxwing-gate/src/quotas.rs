//! Quotas of client accounts over the whole fleet.
//!
//! Each entry keeps the same token bucket for an account and fills in what the other entries say
//! they admitted. While the books of the others lag, all entries together may admit more than the
//! quota by what arrives in that time; the slack of the options covers it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::deployments;

/// A `QuotaBucket` is what an account has used.
#[derive(Debug, Clone, Copy)]
struct QuotaBucket {
    /// Units that were admitted and have not come back.
    used: f64,
    /// Units that come back each second.
    rate: f64,
    updated: Instant,
}

/// A `QuotaTable` holds the buckets of all accounts.
#[derive(Debug)]
pub struct QuotaTable {
    /// When the process started. It doesn't know what was admitted before, so every bucket is
    /// used up at that time.
    started: Instant,
    buckets: HashMap<SmolStr, QuotaBucket>,
    /// Units that this entry has admitted since its start.
    admitted: HashMap<SmolStr, f64>,
    changed: Vec<SmolStr>,
}

/// A `QuotaClaim` is a request that asks for room in a quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaClaim<'a> {
    /// The client account.
    pub account: &'a SmolStr,
    /// Its quota.
    pub quota: &'a deployments::AccountQuota,
    /// Units that the request takes.
    pub cost: f64,
}

/// A `QuotaReach` is how far the books of other entries can be relied on.
#[derive(Debug, Clone, Copy)]
pub struct QuotaReach {
    /// The part of all entries whose books arrive, this one included. The entries that can't be
    /// reached may use the rest of the quota.
    pub share: f64,
    /// Units that may be admitted beyond the quota.
    pub slack: f64,
}

impl QuotaTable {
    /// Builds the table of a process that has started at `started`.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            buckets: HashMap::new(),
            admitted: HashMap::new(),
            changed: Vec::new(),
        }
    }

    /// Returns for how long the process has run.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Admits a request, or returns the time after which there is room for it.
    ///
    /// # Errors
    /// Fails with that time if the quota is used up.
    pub fn admit(
        &mut self,
        now: Instant,
        claim: QuotaClaim<'_>,
        reach: QuotaReach,
    ) -> Result<(), Duration> {
        let QuotaClaim {
            account,
            quota,
            cost,
        } = claim;
        let rate = quota.rate * reach.share;
        let capacity = quota.burst.max(cost) * reach.share;
        let bucket = self.bucket(now, account, rate, capacity);
        let room = capacity + reach.slack * reach.share - bucket.used;
        if cost > room {
            let missing = cost - room;
            let seconds = missing / rate.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
        }
        bucket.used += cost;
        self.note(account, cost);
        Ok(())
    }

    /// Gives back what a request that did not run had taken.
    pub fn refund(&mut self, account: &SmolStr, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.used = (bucket.used - cost).max(0.0);
        }
        self.note(account, -cost);
    }

    /// Takes the quotas of a deployment, so that what other entries admit is counted for accounts
    /// that have not called here yet.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        quotas: impl Iterator<Item = (&'a SmolStr, &'a deployments::AccountQuota)>,
    ) {
        for (account, quota) in quotas {
            self.bucket(now, account, quota.rate, quota.burst);
        }
    }

    /// Takes what another entry has admitted since its last book.
    pub fn observe(&mut self, now: Instant, account: &SmolStr, cost: f64) {
        let Some(rate) = self.buckets.get(account).map(|bucket| bucket.rate) else {
            return;
        };
        let bucket = self.bucket(now, account, rate, 0.0);
        bucket.used = (bucket.used + cost).max(0.0);
    }

    /// Returns the bucket of an account as it is now; a new one is used up as of the start.
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

    fn note(&mut self, account: &SmolStr, cost: f64) {
        *self.admitted.entry(account.clone()).or_default() += cost;
        if !self.changed.contains(account) {
            self.changed.push(account.clone());
        }
    }

    /// Returns what this entry has admitted for accounts that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<(SmolStr, u64)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .map(|account| {
                let admitted = self.admitted.get(&account).copied().unwrap_or_default();
                (account, to_units(admitted))
            })
            .collect()
    }

    /// Returns what this entry has admitted for all accounts.
    #[must_use]
    pub fn all(&self) -> Vec<(SmolStr, u64)> {
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
