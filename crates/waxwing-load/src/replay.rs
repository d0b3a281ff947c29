//! Replays of a load pattern against the gates of many entries, without network: simulated engines,
//! seeded arrivals, and load updates that arrive late. The decisions are those of `waxwing-gate`;
//! [the measurements](../../../docs/MEASUREMENTS.md) list what was found with it.

mod engines;
mod entries;
mod ledger;
mod traffic;

use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use waxwing_gate::{gate, options, pacing};

pub use self::ledger::{KindLedger, ReplayLedger};
pub use self::traffic::{LoadBurst, RequestKind};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);

/// Time after which an entry checks its queue again although nothing has happened, as its
/// maintenance task does.
const QUEUE_CHECK_STEPS: u64 = 20;

/// Other work on the hosts of the engines, which makes them slower for a while.
#[derive(Debug, Clone, Copy)]
pub struct HostNoise {
    /// Share of the hosts that are slower at a time.
    pub share: f64,
    /// How many times longer work takes there.
    pub factor: f64,
    /// Time after which the slower hosts are drawn anew.
    pub period: Duration,
    /// Whether engines state the pace of their host with the first event of an answer.
    pub is_stated: bool,
}

/// A load pattern and the fleet that it meets.
#[derive(Debug, Clone)]
pub struct ReplayPlan {
    /// Number of entries; callers are spread over them at random.
    pub entries: u16,
    /// Number of endpoints, all of one service.
    pub endpoints: u16,
    /// Share of the callers in each data centre; entries and endpoints are dealt to them in turn.
    pub demand: Vec<f64>,
    /// Time from which on the shares are those of the data centre before, as callers move.
    pub shift_at: Option<Duration>,
    /// Requests that each endpoint runs at a time.
    pub slots: u32,
    /// How many times slower the slowest engine is than the fastest one.
    pub speed_ratio: f64,
    /// How the hosts of the engines change their pace; `None` if they keep it and state none.
    pub noise: Option<HostNoise>,
    /// Longest pause between two events of an answer that counts as on time. `None`: reading prompts
    /// delays no answers, and pauses don't count.
    pub max_pause: Option<Duration>,
    /// Requests a second over all entries.
    pub rate: f64,
    /// Times at which the rate is a multiple of that.
    pub bursts: Vec<LoadBurst>,
    /// Simulated time during which requests arrive.
    pub duration: Duration,
    /// Time that a load update takes to another entry.
    pub update_delay: Duration,
    /// Share of the load updates that are lost.
    pub lost_updates: f64,
    /// Options of all gates; address and data centre are set for each.
    pub options: options::GateOptions,
    /// Seed of the arrivals and of the engines.
    pub seed: u64,
}

impl Default for ReplayPlan {
    fn default() -> Self {
        Self {
            entries: 27,
            endpoints: 120,
            demand: vec![1.0],
            shift_at: None,
            slots: 6,
            speed_ratio: 5.0,
            noise: None,
            max_pause: None,
            rate: 750.0,
            bursts: Vec::new(),
            duration: Duration::from_secs(12),
            update_delay: Duration::from_millis(2),
            lost_updates: 0.0,
            options: options::GateOptions::default(),
            seed: 1,
        }
    }
}

/// Plays a plan and returns what became of its requests.
#[must_use]
pub fn play(plan: &ReplayPlan) -> ReplayLedger {
    // Arrivals and engines are the same for every number of entries.
    let stream = |number| {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        random.set_stream(number);
        random
    };
    let mut random = stream(0);
    let start = Instant::now();
    let mut engines = engines::EngineFleet::new(plan, &mut stream(1));
    let mut fleet = entries::EntryFleet::new(plan, start, &mut random);
    let mut traffic = traffic::ArrivalQueue::new(plan, stream(2));
    let mut ledger = ReplayLedger::new();
    let interval = pacing::update_interval(usize::from(plan.entries) - 1);
    let drain = traffic::longest_deadline();
    let steps = steps_in(plan.duration);
    for step in 0..steps + steps_in(drain) {
        let now = start + STEP * u32::try_from(step).unwrap_or(u32::MAX);
        let arrivals = traffic.advance(step, step < steps);
        for arrival in arrivals {
            ledger.count_arrival(&arrival);
            let entry = draw_entry(plan, step, &mut random);
            fleet.accept(now, entry, arrival);
        }
        for report in engines.advance(step) {
            fleet.handle_report(now, step, &report, &mut ledger);
        }
        fleet.exchange_updates(now, step, interval, plan, &mut random);
        let decided = fleet.decide(now, step);
        for start in decided.starts {
            ledger.count_start(start.is_remote);
            if !engines.accept(step, &start) {
                fleet.handle_rejection(now, &start, &mut ledger);
            }
        }
        for refusal in decided.refusals {
            if let Some(returning) = refusal.returning(now) {
                traffic.schedule(step, returning);
            } else {
                ledger.count_refusal(refusal.kind);
            }
        }
        let waiting = fleet.waiting();
        ledger.observe(engines.usage(), waiting);
        if step >= steps && waiting == 0 && engines.is_idle() && traffic.is_empty() {
            break;
        }
    }
    ledger
}

/// Draws the entry of a request: a data centre by demand, and one of its entries.
fn draw_entry(plan: &ReplayPlan, step: u64, random: &mut ChaCha8Rng) -> u16 {
    let places = u16::try_from(plan.demand.len()).unwrap_or(u16::MAX);
    if places <= 1 {
        return random.random_range(0..plan.entries);
    }
    let shifted = plan.shift_at.is_some_and(|at| step >= steps_in(at));
    let mut draw = random.random::<f64>() * plan.demand.iter().sum::<f64>();
    let mut place = 0;
    for (number, share) in (0..).zip(&plan.demand) {
        place = number;
        draw -= share;
        if draw < 0.0 {
            break;
        }
    }
    let place = (place + u16::from(shifted)) % places;
    let entries = (plan.entries - place).div_ceil(places);
    place + places * random.random_range(0..entries.max(1))
}

/// Returns the data centre of an entry or endpoint.
fn data_centre(plan: &ReplayPlan, number: u16) -> SmolStr {
    let places = u16::try_from(plan.demand.len()).unwrap_or(u16::MAX);
    format_smolstr!("place-{}", number % places.max(1))
}

fn steps_in(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis() / STEP.as_millis()).unwrap_or(u64::MAX)
}

/// Builds the gate of one entry.
fn build_gate(plan: &ReplayPlan, number: u16, start: Instant) -> gate::GateCore {
    let options = options::GateOptions {
        address: entries::entry_address(number),
        data_centre: data_centre(plan, number),
        ..plan.options.clone()
    };
    gate::GateCore::new(options, start)
}
