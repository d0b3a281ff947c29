//! Choice of the endpoints that get an offer.
//!
//! The expected time to first token of an endpoint is its distance, plus the queue ahead and the
//! uncached prompt at its measured prefill rate, all multiplied by its straggler factor; see
//! `docs/design.md`, section 5. Loads are atomics, so that a report changes one endpoint without
//! copying the table and a decision takes no lock.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
};

use rand::{Rng, RngExt as _};
use waxwing_core::{ids, units};

/// Tier ranks that are told apart; a less urgent rank counts as the last of them.
pub const RANK_COUNT: usize = 8;

/// The lowest observed speed that is believed. An endpoint that makes no progress at all still
/// gets a finite time, so that it is used when it is the only one.
const MIN_SPEED: f64 = 0.01;

/// The prefill rate of an endpoint that has not reported one, in tokens per second.
const DEFAULT_RATE: f64 = 2_000.0;

/// An `EndpointId` numbers an endpoint inside one entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A `LoadSample` is what an agent reports about its endpoint.
#[derive(Debug, Clone, Default)]
pub struct LoadSample {
    /// Measured prefill rate; zero if it was not measured.
    pub prefill_rate: units::TokenRate,
    /// Observed speed as a share of the nominal one; zero if it was not measured.
    pub speed_factor: f64,
    /// Prompt tokens that are granted and not yet computed.
    pub pending_prefill: units::TokenCount,
    /// Prompt tokens that wait, by tier rank.
    pub waiting: Vec<(ids::TierRank, units::TokenCount)>,
    /// Requests by the lagging report of the engine.
    pub reported_requests: u32,
}

/// An `EndpointLoad` is the load of one endpoint as this process knows it.
#[derive(Debug)]
pub struct EndpointLoad {
    id: EndpointId,
    distance_seconds: f32,
    /// Straggler factor, as the bits of an `f32`.
    straggler: AtomicU32,
    /// Seconds for one prompt token with the straggler factor in it, as the bits of an `f32`.
    token_seconds: AtomicU32,
    /// Prompt tokens ahead of a new offer, by its tier rank.
    ahead: [AtomicU32; RANK_COUNT],
    reported: AtomicU32,
    closed: AtomicBool,
}

impl EndpointLoad {
    /// Builds the load of an endpoint that has not reported yet, from its nominal rate.
    #[must_use]
    pub fn new(
        id: EndpointId,
        distance: std::time::Duration,
        nominal_rate: units::TokenRate,
    ) -> Self {
        let load = Self {
            id,
            distance_seconds: distance.as_secs_f32(),
            straggler: AtomicU32::new(1.0_f32.to_bits()),
            token_seconds: AtomicU32::new(0),
            ahead: Default::default(),
            reported: AtomicU32::new(0),
            closed: AtomicBool::new(false),
        };
        load.update(&LoadSample {
            prefill_rate: nominal_rate,
            ..LoadSample::default()
        });
        load
    }

    /// Returns the number of the endpoint.
    #[must_use]
    pub fn id(&self) -> EndpointId {
        self.id
    }

    /// Takes a report into account. Values that make no sense are replaced by defaults, since a
    /// broken report must not attract or repel all work.
    pub fn update(&self, sample: &LoadSample) {
        let speed = match sample.speed_factor {
            speed if speed.is_finite() && speed > 0.0 => speed.clamp(MIN_SPEED, 1.0),
            _ => 1.0,
        };
        let rate = match sample.prefill_rate.0 {
            rate if rate.is_finite() && rate > 0.0 => rate,
            _ => DEFAULT_RATE,
        };
        let straggler = (1.0 / speed) as f32;
        let seconds = straggler / rate as f32;
        self.straggler.store(straggler.to_bits(), Ordering::Relaxed);
        self.token_seconds
            .store(seconds.to_bits(), Ordering::Relaxed);
        for (rank, ahead) in self.ahead.iter().enumerate() {
            let tokens = tokens_ahead(sample, rank);
            ahead.store(u32::try_from(tokens).unwrap_or(u32::MAX), Ordering::Relaxed);
        }
        self.reported
            .store(sample.reported_requests, Ordering::Relaxed);
    }

    /// Opens or closes the endpoint for new offers.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::Relaxed);
    }

    /// Tells whether the endpoint takes no new offers.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns the expected time to first token in seconds.
    #[must_use]
    pub fn expected_seconds(&self, rank: ids::TierRank, uncached: units::TokenCount) -> f32 {
        self.expected(rank_index(rank), uncached.0 as f32)
    }

    fn expected(&self, rank: usize, uncached: f32) -> f32 {
        let ahead = self.ahead[rank].load(Ordering::Relaxed) as f32;
        let straggler = f32::from_bits(self.straggler.load(Ordering::Relaxed));
        let seconds = f32::from_bits(self.token_seconds.load(Ordering::Relaxed));
        straggler * self.distance_seconds + (ahead + uncached) * seconds
    }
}

fn rank_index(rank: ids::TierRank) -> usize {
    usize::from(rank.0).min(RANK_COUNT - 1)
}

fn tokens_ahead(sample: &LoadSample, rank: usize) -> u64 {
    let waiting = sample.waiting.iter();
    let before = waiting.filter(|(other, _)| rank_index(*other) <= rank);
    before.fold(sample.pending_prefill.0, |sum, (_, tokens)| {
        sum.saturating_add(tokens.0)
    })
}

/// An `AffinityHint` says how much of a prompt an endpoint has probably cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AffinityHint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Prompt tokens that it has probably cached.
    pub cached: units::TokenCount,
}

/// A `ChoiceDemand` describes a request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceDemand<'a> {
    /// The rank of its tier.
    pub rank: ids::TierRank,
    /// Prompt tokens.
    pub prompt: units::TokenCount,
    /// Endpoints that have a prefix of the prompt cached, each once.
    pub affinity: &'a [AffinityHint],
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointId],
    /// The number of endpoints that are wanted.
    pub count: usize,
}

impl ChoiceDemand<'_> {
    fn allows(&self, load: &EndpointLoad) -> bool {
        !load.is_closed() && !self.excluded.contains(&load.id)
    }
}

/// An `EndpointPolicy` picks endpoints for a request, the best first.
pub trait EndpointPolicy {
    /// Whether the agent grants at once, without an admission limit.
    const IMMEDIATE: bool;

    /// Appends up to `demand.count` endpoints to `picks`; `loads` is sorted by number.
    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        random: &mut R,
        picks: &mut Vec<EndpointId>,
    );
}

/// A `LateBinding` policy picks by expected time to first token.
#[derive(Debug, Clone, Copy, Default)]
pub struct LateBinding;

impl EndpointPolicy for LateBinding {
    const IMMEDIATE: bool = false;

    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        random: &mut R,
        picks: &mut Vec<EndpointId>,
    ) {
        if loads.is_empty() || demand.count == 0 {
            return;
        }
        let mut best = BestList::new(demand.count);
        // Endpoints with a cached prefix come first and are found by their number, so that the scan
        // over all others needs no look at the hints.
        for hint in demand.affinity {
            if let Ok(place) = loads.binary_search_by_key(&hint.endpoint, |load| load.id) {
                let uncached = demand.prompt.saturating_sub(hint.cached);
                best.consider(demand, &loads[place], uncached.0 as f32);
            }
        }
        // The scan starts at a random place, so that equal endpoints share the work.
        let (tail, head) = loads.split_at(random.random_range(0..loads.len()));
        let prompt = demand.prompt.0 as f32;
        for load in head.iter().chain(tail) {
            best.consider(demand, load, prompt);
        }
        picks.extend(best.entries.iter().map(|(_, id)| *id));
    }
}

/// A `BestList` keeps the endpoints with the shortest times, in order.
struct BestList {
    entries: Vec<(f32, EndpointId)>,
    count: usize,
    bound: f32,
}

impl BestList {
    fn new(count: usize) -> Self {
        Self {
            entries: Vec::with_capacity(count + 1),
            count,
            bound: f32::INFINITY,
        }
    }

    /// Takes an endpoint in if it is among the best. One that is listed already has a cached prefix
    /// and a better time than without it.
    fn consider(&mut self, demand: &ChoiceDemand<'_>, load: &EndpointLoad, uncached: f32) {
        let seconds = load.expected(rank_index(demand.rank), uncached);
        let listed = || self.entries.iter().any(|(_, id)| *id == load.id);
        if seconds < self.bound && demand.allows(load) && !listed() {
            self.insert(seconds, load.id);
        }
    }

    fn insert(&mut self, seconds: f32, id: EndpointId) {
        let place = self.entries.partition_point(|(other, _)| *other <= seconds);
        self.entries.insert(place, (seconds, id));
        self.entries.truncate(self.count);
        if self.entries.len() == self.count {
            self.bound = self.entries[self.count - 1].0;
        }
    }
}

/// A `RandomChoice` is the baseline that picks any endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomChoice;

impl EndpointPolicy for RandomChoice {
    const IMMEDIATE: bool = true;

    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        random: &mut R,
        picks: &mut Vec<EndpointId>,
    ) {
        if !loads.is_empty() {
            let start = random.random_range(0..loads.len());
            pick_from(demand, loads, start, picks);
        }
    }
}

/// A `RoundRobin` is the baseline that picks one endpoint after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl EndpointPolicy for RoundRobin {
    const IMMEDIATE: bool = true;

    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        _random: &mut R,
        picks: &mut Vec<EndpointId>,
    ) {
        if !loads.is_empty() {
            let start = self.next.fetch_add(1, Ordering::Relaxed) % loads.len();
            pick_from(demand, loads, start, picks);
        }
    }
}

/// Picks the allowed endpoints from `start` on, in the order of the table.
fn pick_from(
    demand: &ChoiceDemand<'_>,
    loads: &[Arc<EndpointLoad>],
    start: usize,
    picks: &mut Vec<EndpointId>,
) {
    let (tail, head) = loads.split_at(start);
    let allowed = head.iter().chain(tail).filter(|load| demand.allows(load));
    picks.extend(allowed.map(|load| load.id).take(demand.count));
}

/// A `LeastReported` policy is the baseline that picks the least requests in the lagging reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastReported;

impl EndpointPolicy for LeastReported {
    const IMMEDIATE: bool = true;

    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        random: &mut R,
        picks: &mut Vec<EndpointId>,
    ) {
        if loads.is_empty() {
            return;
        }
        let mut best = BestList::new(demand.count.max(1));
        let (tail, head) = loads.split_at(random.random_range(0..loads.len()));
        for load in head.iter().chain(tail).filter(|load| demand.allows(load)) {
            let requests = load.reported.load(Ordering::Relaxed) as f32;
            if requests < best.bound {
                best.insert(requests, load.id);
            }
        }
        picks.extend(best.entries.iter().map(|(_, id)| *id));
    }
}

/// A `TwoChoices` policy is the baseline that draws two endpoints and takes the one with fewer
/// reported requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl EndpointPolicy for TwoChoices {
    const IMMEDIATE: bool = true;

    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        random: &mut R,
        picks: &mut Vec<EndpointId>,
    ) {
        let allowed: Vec<_> = loads.iter().filter(|load| demand.allows(load)).collect();
        if allowed.is_empty() {
            return;
        }
        let first = random.random_range(0..allowed.len());
        // The second draw skips the first, so that the two always differ if they can.
        let step = random.random_range(0..allowed.len().max(2) - 1) + 1;
        let pair = [allowed[first], allowed[(first + step) % allowed.len()]];
        let better = pair
            .iter()
            .min_by_key(|load| load.reported.load(Ordering::Relaxed));
        picks.extend(better.map(|load| load.id));
    }
}

/// A `PolicyTable` holds one of each policy; it is the list of all implementations.
#[derive(Debug, Default)]
pub struct PolicyTable {
    /// Offers to several agents.
    pub late_binding: LateBinding,
    /// Any endpoint.
    pub random: RandomChoice,
    /// One endpoint after the other.
    pub round_robin: RoundRobin,
    /// The least reported requests.
    pub least_reported: LeastReported,
    /// The better of two by reported requests.
    pub two_choices: TwoChoices,
}
