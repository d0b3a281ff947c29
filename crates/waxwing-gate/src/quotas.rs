//! Quotas of client accounts over the whole fleet.
//!
//! Each entry keeps the same token bucket for an account and fills in what the other entries say
//! they admitted. While the books of the others lag, all entries together may admit more than the
//! quota by what arrives in that time; the slack of the options covers it.
//!
//! An account that asks for more than its quota gets it for its urgent requests first. Without
//! that rule its many small requests would keep the bucket so full that a large one never fits.

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

/// Time for which room is kept for a tier after one of its requests, or a less urgent one, found
/// none; some intervals between the large requests of a busy account.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// The part of the room that each more urgent tier that found none leaves to the tiers below it.
const TIER_LEAVES: f64 = 0.5;

/// A `TierShortage` is a tier of an account that found no room.
#[derive(Debug, Clone, Copy)]
struct TierShortage {
    rank: (u32, u32),
    last: Instant,
}

impl TierShortage {
    fn lasts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < RESERVE_TIME
    }
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
    /// Tiers that found no room lately, by account.
    shortages: HashMap<SmolStr, Vec<TierShortage>>,
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
    /// The tier of the request.
    pub rank: (u32, u32),
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
            shortages: HashMap::new(),
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
            rank,
        } = claim;
        let rate = quota.rate * reach.share;
        let capacity = quota.burst.max(cost) * reach.share;
        let left = self.left_to(now, account, rank);
        let bucket = self.bucket(now, account, rate, capacity);
        // A request that is larger than what is left to its tier fits an empty bucket.
        let limit = (capacity * left).max(cost.min(capacity));
        let room = limit + reach.slack * reach.share * left - bucket.used;
        if cost > room {
            let missing = cost - room;
            self.note_shortage(now, account, rank);
            let seconds = missing / rate.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
        }
        bucket.used += cost;
        self.note(account, cost);
        Ok(())
    }

    /// Returns the part of a quota that a tier may use: all of it, unless more urgent requests of
    /// the account found no room lately.
    fn left_to(&self, now: Instant, account: &SmolStr, rank: (u32, u32)) -> f64 {
        let shortages = self.shortages.get(account).into_iter().flatten();
        let urgent = shortages.filter(|shortage| shortage.rank < rank && shortage.lasts(now));
        urgent.fold(1.0, |left, _| left * TIER_LEAVES)
    }

    /// Takes that a request found no room. The shortages of more urgent tiers last for as long as
    /// less urgent ones ask for what is kept for them.
    fn note_shortage(&mut self, now: Instant, account: &SmolStr, rank: (u32, u32)) {
        let shortages = self.shortages.entry(account.clone()).or_default();
        shortages.retain(|shortage| shortage.lasts(now) && shortage.rank != rank);
        for shortage in shortages.iter_mut().filter(|shortage| shortage.rank < rank) {
            shortage.last = now;
        }
        shortages.push(TierShortage { rank, last: now });
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
