//! Selection of the endpoints that get an offer.
//!
//! The expected time to first token of an endpoint is its network latency, plus the time to prefill
//! the prompt tokens queued ahead and the uncached part of the prompt at its measured rate, all
//! multiplied by its straggler factor; see `docs/design.md`, section 5. Loads are stored in
//! atomics, so that a report updates one endpoint without copying the table and a decision takes no
//! lock.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
};

use rand::{Rng, RngExt as _};
use waxwing_core::{ids, units};

/// Number of distinct tier ranks; less urgent ranks are treated as the last one.
pub const RANK_COUNT: usize = 8;

/// Lower bound of the speed factor. It keeps the expected time of an endpoint without progress
/// finite, so that the endpoint is still chosen when it is the only one.
const MIN_SPEED_FACTOR: f64 = 0.01;

/// Prefill rate assumed for an endpoint that has not reported one, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 2_000.0;

/// Number of an endpoint, unique within one entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Load that an agent reports about its endpoint.
#[derive(Debug, Clone, Default)]
pub struct LoadSample {
    /// Measured prefill rate; zero if unknown.
    pub prefill_rate: units::TokenRate,
    /// Observed speed as a fraction of the nominal speed; zero if unknown.
    pub speed_factor: f64,
    /// Prompt tokens of granted requests that the engine has not computed yet.
    pub pending_prefill: units::TokenCount,
    /// Prompt tokens of waiting offers, by tier rank.
    pub waiting: Vec<(ids::TierRank, units::TokenCount)>,
    /// Requests at the engine by its own report, which lags behind.
    pub reported_requests: u32,
}

/// Last known load of one endpoint.
#[derive(Debug)]
pub struct EndpointLoad {
    id: EndpointId,
    distance_seconds: f32,
    /// Straggler factor, the inverse of the speed factor, as the bits of an `f32`.
    straggler: AtomicU32,
    /// Prefill seconds per prompt token, including the straggler factor, as the bits of an `f32`.
    token_seconds: AtomicU32,
    /// Prompt tokens that are computed before a new offer, by the tier rank of the offer.
    ahead: [AtomicU32; RANK_COUNT],
    /// Requests at the engine by its own report.
    reported: AtomicU32,
    closed: AtomicBool,
}

impl EndpointLoad {
    /// Creates the load of an endpoint that has not reported yet, from its one-way network
    /// latency (`distance`) and its nominal prefill rate.
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

    /// Returns the identifier of the endpoint.
    #[must_use]
    pub fn id(&self) -> EndpointId {
        self.id
    }

    /// Replaces the load by that of a report. Invalid values are replaced by defaults, since a
    /// broken report must neither attract nor repel all requests.
    pub fn update(&self, sample: &LoadSample) {
        let speed = match sample.speed_factor {
            speed if speed.is_finite() && speed > 0.0 => speed.clamp(MIN_SPEED_FACTOR, 1.0),
            _ => 1.0,
        };
        let rate = match sample.prefill_rate.0 {
            rate if rate.is_finite() && rate > 0.0 => rate,
            _ => DEFAULT_PREFILL_RATE,
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

    /// Sets whether the endpoint is closed for new offers.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::Relaxed);
    }

    /// Returns whether the endpoint is closed for new offers.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns the expected time to first token, in seconds, of a request with `uncached` prompt
    /// tokens to compute.
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

/// Part of a prompt that an endpoint has probably cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AffinityHint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Prompt tokens that the endpoint has probably cached.
    pub cached: units::TokenCount,
}

/// Properties of a request that determine which endpoints are chosen for it.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceDemand<'a> {
    /// The rank of the request's tier.
    pub rank: ids::TierRank,
    /// Prompt tokens of the request.
    pub prompt: units::TokenCount,
    /// Endpoints that probably have a prefix of the prompt cached, each at most once.
    pub affinity: &'a [AffinityHint],
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointId],
    /// Maximum number of endpoints to choose.
    pub count: usize,
}

impl ChoiceDemand<'_> {
    fn allows(&self, load: &EndpointLoad) -> bool {
        !load.is_closed() && !self.excluded.contains(&load.id)
    }
}

/// Load-balancing policy that chooses endpoints for a request, best first.
pub trait EndpointPolicy {
    /// Whether agents grant the offers of this policy at once, without an admission limit.
    const IMMEDIATE: bool;

    /// Appends up to `demand.count` endpoints to `picks`; `loads` must be sorted by identifier.
    fn choose<R: Rng>(
        &self,
        demand: &ChoiceDemand<'_>,
        loads: &[Arc<EndpointLoad>],
        random: &mut R,
        picks: &mut Vec<EndpointId>,
    );
}

/// Chooses the endpoints with the shortest expected time to first token. A request is bound late:
/// it is sent only once an endpoint grants its offer.
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
        let mut top = TopEndpoints::new(demand.count);
        // Endpoints with a cached prefix are looked up by identifier first, so that the scan over
        // all endpoints need not search the hints.
        for hint in demand.affinity {
            if let Ok(index) = loads.binary_search_by_key(&hint.endpoint, |load| load.id) {
                let uncached = demand.prompt.saturating_sub(hint.cached);
                top.consider(demand, &loads[index], uncached.0 as f32);
            }
        }
        // Start the scan at a random index, so that equal endpoints share the requests.
        let (tail, head) = loads.split_at(random.random_range(0..loads.len()));
        let prompt = demand.prompt.0 as f32;
        for load in head.iter().chain(tail) {
            top.consider(demand, load, prompt);
        }
        picks.extend(top.ranked.iter().map(|(_, id)| *id));
    }
}

/// The `count` endpoints with the lowest cost, in ascending order.
struct TopEndpoints {
    ranked: Vec<(f32, EndpointId)>,
    count: usize,
    bound: f32,
}

impl TopEndpoints {
    fn new(count: usize) -> Self {
        Self {
            ranked: Vec::with_capacity(count + 1),
            count,
            bound: f32::INFINITY,
        }
    }

    /// Inserts an endpoint if it is among the best. An endpoint that is listed already came from an
    /// affinity hint, where its time is better than without the cached prefix.
    fn consider(&mut self, demand: &ChoiceDemand<'_>, load: &EndpointLoad, uncached: f32) {
        let seconds = load.expected(rank_index(demand.rank), uncached);
        let listed = || self.ranked.iter().any(|(_, id)| *id == load.id);
        if seconds < self.bound && demand.allows(load) && !listed() {
            self.insert(seconds, load.id);
        }
    }

    fn insert(&mut self, seconds: f32, id: EndpointId) {
        let index = self.ranked.partition_point(|(other, _)| *other <= seconds);
        self.ranked.insert(index, (seconds, id));
        self.ranked.truncate(self.count);
        if self.ranked.len() == self.count {
            self.bound = self.ranked[self.count - 1].0;
        }
    }
}

/// Baseline that chooses endpoints at random.
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
            pick_in_turn(demand, loads, start, picks);
        }
    }
}

/// Baseline that chooses endpoints in turn.
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
            pick_in_turn(demand, loads, start, picks);
        }
    }
}

/// Picks allowed endpoints in the order of the table, from index `start` on and wrapping around.
fn pick_in_turn(
    demand: &ChoiceDemand<'_>,
    loads: &[Arc<EndpointLoad>],
    start: usize,
    picks: &mut Vec<EndpointId>,
) {
    let (tail, head) = loads.split_at(start);
    let allowed = head.iter().chain(tail).filter(|load| demand.allows(load));
    picks.extend(allowed.map(|load| load.id).take(demand.count));
}

/// Baseline that chooses the endpoints with the fewest requests in the engines' lagging reports.
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
        let mut top = TopEndpoints::new(demand.count.max(1));
        let (tail, head) = loads.split_at(random.random_range(0..loads.len()));
        for load in head.iter().chain(tail).filter(|load| demand.allows(load)) {
            let requests = load.reported.load(Ordering::Relaxed) as f32;
            if requests < top.bound {
                top.insert(requests, load.id);
            }
        }
        picks.extend(top.ranked.iter().map(|(_, id)| *id));
    }
}

/// Baseline known as "power of two choices": draws two random endpoints and chooses the one with
/// fewer reported requests. It never returns more than one endpoint.
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
        // The step is never zero, so that two different endpoints are drawn if there are two.
        let step = random.random_range(0..allowed.len().max(2) - 1) + 1;
        let pair = [allowed[first], allowed[(first + step) % allowed.len()]];
        let better = pair
            .iter()
            .min_by_key(|load| load.reported.load(Ordering::Relaxed));
        picks.extend(better.map(|load| load.id));
    }
}

/// One instance of every implementation of [`EndpointPolicy`].
#[derive(Debug, Default)]
pub struct PolicyTable {
    /// Offers to the endpoints with the shortest expected time to first token.
    pub late_binding: LateBinding,
    /// Random endpoints.
    pub random: RandomChoice,
    /// Endpoints in turn.
    pub round_robin: RoundRobin,
    /// Fewest reported requests.
    pub least_reported: LeastReported,
    /// Power of two choices by reported requests.
    pub two_choices: TwoChoices,
}
