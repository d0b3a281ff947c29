//! Spillover of requests from a data centre to the endpoints of others.
//!
//! Traffic between data centres is slower and charged, yet a data centre's own endpoints are
//! sometimes too few. The table estimates for each data centre how short of slots it is, from the
//! requests that its own entries have in flight or queued, wherever they run, against the slots of
//! its endpoints. All entries hear the same figures in load updates, so they judge alike, and the
//! shortage moves smoothly, so they don't cross all at once. `docs/design/spillover.md` has the
//! alternatives.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

/// Requests for each slot of a data centre from which on it counts as short. Below it, a request
/// that arrives at random nearly always finds a free slot.
const SHORTAGE_START: f64 = 0.7;

/// Requests for each slot at which the shortage is complete: each further request waits.
const SHORTAGE_FULL: f64 = 1.0;

/// Time constant of the shortage. It is several intervals between load updates, so that entries
/// with figures of different ages don't swing, and far below the time for which bursts last.
const SHORTAGE_TIME: Duration = Duration::from_millis(300);

/// Shortest time between two estimates for a service; requests decide many times in between.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(20);

/// Load of one service in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DataCentreLoad {
    /// Slots of its usable endpoints.
    pub slots: u32,
    /// Requests that its entries have in flight anywhere or queued.
    pub requests: u32,
}

impl DataCentreLoad {
    /// Returns how short of slots the data centre is, from 0 to 1.
    #[must_use]
    pub fn shortage(&self) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let utilization = f64::from(self.requests) / f64::from(self.slots.max(1));
        ((utilization - SHORTAGE_START) / (SHORTAGE_FULL - SHORTAGE_START)).clamp(0.0, 1.0)
    }
}

/// Shortages of the data centres for one service.
#[derive(Debug, Clone)]
struct ServiceShortage {
    estimated: Instant,
    /// Shortage of each data centre; a list, since there are few.
    shortages: Vec<(SmolStr, f64)>,
}

impl ServiceShortage {
    fn of(&self, data_centre: &str) -> Option<f64> {
        let mut shortages = self.shortages.iter();
        let held = shortages.find(|(name, _)| name == data_centre);
        held.map(|(_, shortage)| *shortage)
    }
}

/// What is left of the price of leaving a data centre for each other one.
#[derive(Debug, Clone, Copy)]
pub struct LeavingPrices<'a> {
    held: Option<&'a ServiceShortage>,
    own_shortage: f64,
}

impl LeavingPrices<'_> {
    /// Returns which part of the price of leaving for `other` still applies, from 0 to 1. It falls
    /// as the own data centre gets short, and only as far as `other` is not short itself: what is
    /// left of its room is its own callers'.
    #[must_use]
    pub fn share(&self, other: &str) -> f64 {
        let there = self.held.and_then(|held| held.of(other));
        1.0 - self.own_shortage * (1.0 - there.unwrap_or_default())
    }
}

/// Shortages of the data centres, by service.
#[derive(Debug, Default)]
pub struct SpilloverTable {
    services: HashMap<SmolStr, ServiceShortage>,
}

impl SpilloverTable {
    /// Tells whether the estimate for a service is old enough to be renewed.
    #[must_use]
    pub fn is_due(&self, now: Instant, service: &SmolStr) -> bool {
        self.services
            .get(service)
            .is_none_or(|held| now.saturating_duration_since(held.estimated) >= ESTIMATE_INTERVAL)
    }

    /// Moves the shortages of a service towards those of the present loads. Data centres that have
    /// neither endpoints nor requests any more are dropped.
    pub fn estimate(
        &mut self,
        now: Instant,
        service: &SmolStr,
        loads: &HashMap<SmolStr, DataCentreLoad>,
    ) {
        let previous = self.services.remove(service);
        let weight = previous.as_ref().map_or(1.0, |held| {
            let elapsed = now.saturating_duration_since(held.estimated);
            1.0 - (-elapsed.as_secs_f64() / SHORTAGE_TIME.as_secs_f64()).exp()
        });
        let shortages = loads.iter().map(|(data_centre, load)| {
            let target = load.shortage();
            let before = previous.as_ref();
            let before = before.and_then(|held| held.of(data_centre));
            let shortage = before.map_or(target, |before| before + (target - before) * weight);
            (data_centre.clone(), shortage)
        });
        let held = ServiceShortage {
            estimated: now,
            shortages: shortages.collect(),
        };
        self.services.insert(service.clone(), held);
    }

    /// Returns the shortage of a data centre from 0 to 1; zero if it is not known.
    #[must_use]
    pub fn shortage(&self, service: &SmolStr, data_centre: &str) -> f64 {
        let held = self.services.get(service);
        held.and_then(|held| held.of(data_centre))
            .unwrap_or_default()
    }

    /// Returns what is left of the price of leaving `own`.
    #[must_use]
    pub fn prices(&self, service: &SmolStr, own: &str) -> LeavingPrices<'_> {
        let held = self.services.get(service);
        LeavingPrices {
            held,
            own_shortage: held.and_then(|held| held.of(own)).unwrap_or_default(),
        }
    }
}
