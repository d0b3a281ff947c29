//! Replays loads in which a prompt part crashes endpoints, and loads whose crashes have other
//! causes, against the ledgers of several entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use test_case::test_case;
use waxwing_fleet::dialects;
use waxwing_gate::crashes;

const ENTRIES: usize = 3;

/// The users' `contact_ms` on small sites: the time that entries have after the fifth crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with a crashing part that may reach endpoints after that.
const LATE_LIMIT: usize = 3;

const STEP: Duration = Duration::from_millis(10);

/// Time between two exchanges of load updates.
const EXCHANGE_STEPS: u32 = 3;

/// Time that an endpoint takes to come back.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// The part that all requests begin with.
const SYSTEM_PART: u64 = 1;

/// The part that crashes endpoints.
const CRASHING_PART: u64 = 0xdead;

/// A request at an endpoint.
#[derive(Debug, Clone)]
struct SimulatedRun {
    entry: usize,
    parts: Vec<u64>,
    /// When its first event is due.
    begins: Instant,
    ends: Instant,
    begun: bool,
}

#[derive(Debug, Default)]
struct SimulatedEndpoint {
    life: u32,
    down_until: Option<Instant>,
    runs: Vec<SimulatedRun>,
}

/// What a replay showed.
#[derive(Debug, Default)]
struct ReplayOutcome {
    crashes: Vec<Instant>,
    /// When requests with the crashing part were sent.
    crashing_sends: Vec<Instant>,
    sound_sends: usize,
    sound_refusals: usize,
    blocked: BTreeSet<u64>,
}

/// The load of a replay and its faults.
struct Replay {
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    entries: Vec<crashes::CrashLedger>,
    endpoints: Vec<SimulatedEndpoint>,
    /// Requests a second, and the share of them with the crashing part.
    rate: f64,
    crashing_share: f64,
    /// Whether endpoints begin answers long before the first event, so that an answer has begun for
    /// each request that a crash ends.
    begins_early: bool,
    /// Middle parts that sound requests choose from.
    subjects: u64,
    outcome: ReplayOutcome,
}

impl Replay {
    fn new(seed: u64, endpoints: usize) -> Self {
        let now = Instant::now();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: now,
            now,
            entries: (0..ENTRIES)
                .map(|_| crashes::CrashLedger::default())
                .collect(),
            endpoints: (0..endpoints)
                .map(|_| SimulatedEndpoint::default())
                .collect(),
            rate: 80.0,
            crashing_share: 0.0,
            begins_early: false,
            subjects: 200,
            outcome: ReplayOutcome::default(),
        }
    }

    fn endpoint_id(&self, endpoint: usize) -> SmolStr {
        format_smolstr!("endpoint-{endpoint}-{}", self.endpoints[endpoint].life)
    }

    /// Crashes an endpoint; entries take what it ran without an event as evidence.
    fn crash(&mut self, endpoint: usize) {
        let id = self.endpoint_id(endpoint);
        self.outcome.crashes.push(self.now);
        let state = &mut self.endpoints[endpoint];
        state.down_until = Some(self.now + RESTART_TIME);
        state.life += 1;
        for run in std::mem::take(&mut state.runs) {
            let has_begun = self.begins_early || self.now >= run.begins;
            if !run.begun && has_begun {
                let ledger = &mut self.entries[run.entry];
                self.outcome
                    .blocked
                    .extend(ledger.record_crash(self.now, &id, &run.parts));
            }
        }
    }

    fn arrive(&mut self) {
        let is_crashing = self.rng.random_bool(self.crashing_share);
        let subject = 100 + self.rng.random_range(0..self.subjects);
        let parts = match is_crashing {
            true => vec![SYSTEM_PART, subject, CRASHING_PART],
            false => vec![SYSTEM_PART, subject],
        };
        let entry = self.rng.random_range(0..ENTRIES);
        let decision = self.entries[entry].decide(self.now, &parts, entry == 0);
        if let crashes::PartDecision::Block(_) = decision {
            self.outcome.sound_refusals += usize::from(!is_crashing);
            return;
        }
        if decision == crashes::PartDecision::Trial {
            self.entries[entry].start_trial(self.now, &parts);
        }
        let up: Vec<_> = (0..self.endpoints.len())
            .filter(|endpoint| self.endpoints[*endpoint].down_until.is_none())
            .collect();
        if up.is_empty() {
            return;
        }
        match is_crashing {
            true => self.outcome.crashing_sends.push(self.now),
            false => self.outcome.sound_sends += 1,
        }
        let endpoint = up[self.rng.random_range(0..up.len())];
        let begins = self.now + Duration::from_millis(self.rng.random_range(50..300));
        self.endpoints[endpoint].runs.push(SimulatedRun {
            entry,
            parts,
            begins,
            ends: begins + Duration::from_millis(self.rng.random_range(200..1_500)),
            begun: false,
        });
    }

    fn exchange(&mut self) {
        for sender in 0..ENTRIES {
            let update = self.entries[sender].take_update(self.now, false);
            for receiver in (0..ENTRIES).filter(|receiver| *receiver != sender) {
                let blocked = self.entries[receiver].apply_update(self.now, update.clone());
                self.outcome.blocked.extend(blocked);
            }
        }
    }

    fn step(&mut self, number: u32) {
        self.now += STEP;
        let now = self.now;
        if self.rng.random_bool(self.rate * STEP.as_secs_f64()) {
            self.arrive();
        }
        for endpoint in 0..self.endpoints.len() {
            let state = &mut self.endpoints[endpoint];
            state.down_until = state.down_until.filter(|until| now < *until);
            state.runs.retain(|run| now < run.ends);
            let mut crashes = false;
            for run in state
                .runs
                .iter_mut()
                .filter(|run| !run.begun && now >= run.begins)
            {
                if run.parts.contains(&CRASHING_PART) {
                    crashes = true;
                } else {
                    run.begun = true;
                    self.entries[run.entry].record_begin(now, &run.parts);
                }
            }
            if crashes {
                self.crash(endpoint);
            }
        }
        if number.is_multiple_of(EXCHANGE_STEPS) {
            self.exchange();
        }
    }

    /// Runs for a while; `fault` may crash endpoints at each step.
    fn run(&mut self, time: Duration, mut fault: impl FnMut(&mut Self, Duration)) {
        let steps = u32::try_from(time.as_millis() / STEP.as_millis()).unwrap();
        for number in 0..steps {
            let elapsed = self.now - self.start;
            fault(self, elapsed);
            self.step(number);
        }
    }

    /// Returns the requests with the crashing part that were sent too late.
    fn late_sends(&self) -> usize {
        let Some(fifth) = self.outcome.crashes.get(4) else {
            return 0;
        };
        let sends = self.outcome.crashing_sends.iter();
        sends.filter(|at| **at > *fifth + CONTACT_TIME).count()
    }
}

/// Guards against one prompt part that crashes one endpoint after the other, without end.
#[test_case(0.05, 19, false; "as on the small site")]
#[test_case(0.2, 47, false; "many requests with the part")]
#[test_case(0.01, 19, false; "few requests with the part")]
#[test_case(0.05, 4, false; "few endpoints")]
#[test_case(0.05, 19, true; "answers that begin early")]
fn crashing_part_is_blocked_in_time(share: f64, endpoints: usize, begins_early: bool) {
    for seed in 0..20 {
        let mut replay = Replay::new(seed, endpoints);
        replay.begins_early = begins_early;
        replay.run(Duration::from_secs(4), |_, _| {});
        replay.crashing_share = share;
        replay.run(Duration::from_secs(24), |_, _| {});
        assert!(
            replay.late_sends() <= LATE_LIMIT,
            "seed {seed}: {}",
            replay.late_sends()
        );
        let sound: Vec<_> = replay
            .outcome
            .blocked
            .iter()
            .filter(|part| **part != CRASHING_PART)
            .collect();
        assert!(sound.is_empty(), "seed {seed}: blocked {sound:?}");
        assert_eq!(replay.outcome.sound_refusals, 0, "seed {seed}");
    }
}

/// Guards against sound parts that are blamed for crashes with another cause.
#[test_case(0.15, 1_000; "flapping endpoints")]
#[test_case(1.0, 4_000; "flapping of all endpoints")]
#[test_case(0.5, 300; "rapid crashes")]
fn crashes_without_a_crashing_part_block_nothing(share: f64, period_millis: u64) {
    for seed in 0..30 {
        let mut replay = Replay::new(seed, 19);
        replay.begins_early = true;
        let mut fault_rng = ChaCha8Rng::seed_from_u64(seed);
        replay.run(Duration::from_secs(30), |replay, elapsed| {
            let millis = u64::try_from(elapsed.as_millis()).unwrap();
            if !millis.is_multiple_of(period_millis) || millis == 0 {
                return;
            }
            for endpoint in 0..replay.endpoints.len() {
                let is_up = replay.endpoints[endpoint].down_until.is_none();
                if is_up && fault_rng.random_bool(share) {
                    replay.crash(endpoint);
                }
            }
        });
        assert!(
            replay.outcome.blocked.is_empty(),
            "seed {seed}: blocked {:?}",
            replay.outcome.blocked
        );
    }
}

/// Guards against a finding that ordinary crashes at the same time prevent or lead astray.
#[test]
fn crashing_part_is_found_among_other_crashes() {
    for seed in 0..20 {
        let mut replay = Replay::new(seed, 19);
        replay.crashing_share = 0.05;
        let mut fault_rng = ChaCha8Rng::seed_from_u64(seed);
        replay.run(Duration::from_secs(24), |replay, elapsed| {
            if elapsed.as_millis() % 1_500 == 0 {
                let endpoint = fault_rng.random_range(0..replay.endpoints.len());
                if replay.endpoints[endpoint].down_until.is_none() {
                    replay.crash(endpoint);
                }
            }
        });
        assert!(replay.late_sends() <= LATE_LIMIT, "seed {seed}");
        assert_eq!(
            replay.outcome.blocked,
            BTreeSet::from([CRASHING_PART]),
            "seed {seed}"
        );
    }
}

fn endpoint(number: usize) -> SmolStr {
    format_smolstr!("endpoint-{number}")
}

/// Returns the ledger of an entry that has seen many answers begin.
fn busy_ledger(now: Instant) -> crashes::CrashLedger {
    let mut ledger = crashes::CrashLedger::default();
    for subject in 0..200 {
        ledger.record_begin(now, &[SYSTEM_PART, 100 + subject]);
    }
    ledger
}

/// Returns a ledger that blocks [`CRASHING_PART`], and the time of the last crash.
fn blocking_ledger(start: Instant) -> (crashes::CrashLedger, Instant) {
    let mut ledger = busy_ledger(start);
    let mut now = start;
    for number in 0..5 {
        now += Duration::from_secs(1);
        ledger.record_crash(now, &endpoint(number), &[CRASHING_PART]);
    }
    assert_eq!(ledger.blocked_parts().collect::<Vec<_>>(), [CRASHING_PART]);
    (ledger, now)
}

/// Guards against an entry that starts later and sends what the others have blocked.
#[test]
fn later_entry_takes_findings_from_the_first_snapshot() {
    let (mut ledger, now) = blocking_ledger(Instant::now());
    let mut late = crashes::CrashLedger::default();
    assert_eq!(
        late.apply_update(now, ledger.take_update(now, true)),
        [CRASHING_PART]
    );
    let decision = late.decide(now, &[SYSTEM_PART, CRASHING_PART], false);
    assert_eq!(decision, crashes::PartDecision::Block(CRASHING_PART));
}

/// Guards against findings that outlive their cause, and against trials that crash one endpoint
/// after the other.
#[test]
fn blocked_part_is_tried_once_in_a_while_and_released_when_it_is_sound() {
    let (mut ledger, crash) = blocking_ledger(Instant::now());
    let parts = [CRASHING_PART];
    let mut trials = BTreeMap::new();
    let mut now = crash;
    while now < crash + Duration::from_secs(300) {
        now += Duration::from_millis(100);
        assert_ne!(
            ledger.decide(now, &parts, false),
            crashes::PartDecision::Trial
        );
        if ledger.decide(now, &parts, true) == crashes::PartDecision::Trial {
            ledger.start_trial(now, &parts);
            let number = trials.len();
            trials.insert(now, number);
            ledger.record_crash(now, &endpoint(20 + number), &parts);
        }
    }
    let first = trials.keys().next().copied().expect("no trial");
    assert!(first >= crash + Duration::from_secs(30));
    assert!((2..=4).contains(&trials.len()), "{} trials", trials.len());
    ledger.record_begin(now, &parts);
    assert_eq!(
        ledger.decide(now, &parts, false),
        crashes::PartDecision::Send
    );
}

/// Guards against an entry that blocks a part for long because it was cut off when another entry
/// found the part harmless: the entry that tries first no longer has a reason to.
#[test]
fn entry_that_missed_a_clearance_tries_by_itself() {
    let (mut ledger, crash) = blocking_ledger(Instant::now());
    let parts = [CRASHING_PART];
    let soon = crash + Duration::from_secs(31);
    assert_eq!(
        ledger.decide(soon, &parts, false),
        crashes::PartDecision::Block(CRASHING_PART)
    );
    let later = crash + Duration::from_secs(120);
    assert_eq!(
        ledger.decide(later, &parts, false),
        crashes::PartDecision::Trial
    );
    ledger.start_trial(later, &parts);
    ledger.record_begin(later, &parts);
    assert_eq!(
        ledger.decide(later, &parts, false),
        crashes::PartDecision::Send
    );
}

/// Guards against entries that each try a part that still crashes endpoints.
#[test]
fn entries_together_try_a_crashing_part_ever_less_often() {
    let (mut first, crash) = blocking_ledger(Instant::now());
    let mut second = crashes::CrashLedger::default();
    second.apply_update(crash, first.take_update(crash, true));
    let mut ledgers = [first, second];
    let parts = [CRASHING_PART];
    let mut trials = 0;
    let mut now = crash;
    while now < crash + Duration::from_secs(300) {
        now += Duration::from_millis(100);
        for trier in 0..ledgers.len() {
            let decision = ledgers[trier].decide(now, &parts, trier == 0);
            if decision == crashes::PartDecision::Trial {
                ledgers[trier].start_trial(now, &parts);
                ledgers[trier].record_crash(now, &endpoint(40 + trials), &parts);
                trials += 1;
            }
            let update = ledgers[trier].take_update(now, false);
            ledgers[1 - trier].apply_update(now, update);
        }
    }
    assert!((2..=4).contains(&trials), "{trials} trials");
}

/// Guards against findings that are kept, and passed on, without end.
#[test]
fn blocked_part_that_no_request_names_is_forgotten() {
    let (mut ledger, crash) = blocking_ledger(Instant::now());
    ledger.take_update(crash + Duration::from_secs(600), false);
    assert_eq!(ledger.blocked_parts().count(), 1);
    let update = ledger.take_update(crash + Duration::from_secs(3_600), true);
    assert!(update.blocked.is_empty());
    assert_eq!(ledger.blocked_parts().count(), 0);
}

/// Guards against a request that is blamed by the part that no other request shares.
#[test]
fn last_part_is_never_a_suspect() {
    let part = |id| dialects::PromptPart { id, tokens: 10 };
    assert_eq!(crashes::shared_parts(&[part(1), part(2), part(3)]), [1, 2]);
    assert!(crashes::shared_parts(&[part(3)]).is_empty());
    assert!(crashes::shared_parts(&[]).is_empty());
}

/// Guards against one failure of many endpoints that counts as several incidents.
#[test]
fn crashes_at_the_same_time_count_once() {
    let now = Instant::now();
    let mut ledger = busy_ledger(now);
    for number in 0..20 {
        let at = now + Duration::from_millis(u64::try_from(number * 9).unwrap());
        assert_eq!(
            ledger.record_crash(at, &endpoint(number), &[SYSTEM_PART, 7]),
            None
        );
    }
}

/// Guards against a second crashing part that hides behind the first one.
#[test]
fn second_crashing_part_is_found_too() {
    let mut now = Instant::now();
    let mut ledger = busy_ledger(now);
    for number in 0..12 {
        now += Duration::from_secs(1);
        let part = [CRASHING_PART, CRASHING_PART + 1][number % 2];
        ledger.record_crash(now, &endpoint(number), &[part]);
    }
    let blocked: Vec<_> = ledger.blocked_parts().collect();
    assert_eq!(blocked, [CRASHING_PART, CRASHING_PART + 1]);
}
