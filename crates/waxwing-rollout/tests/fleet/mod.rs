//! A leader with the real controller and ledger, and entries with the real rules, under traffic and
//! endpoints that behave as a test says. Time is simulated.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use waxwing_gate::{endpoints, rollouts};
use waxwing_rollout::{controller, ledger, options};
use waxwing_wire::messages;

pub(crate) const SERVICE: &str = "model";
pub(crate) const TARGET: &str = "v2";
const OTHER: &str = "v1";

/// Unix milliseconds at the start of a run.
const START_MILLIS: u64 = 1_800_000_000_000;

const STEP: Duration = Duration::from_millis(10);
const DECISION_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// What an answer depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerContext<'a> {
    pub(crate) is_target: bool,
    /// Number of the endpoint among those of its version.
    pub(crate) number: usize,
    pub(crate) route: &'a str,
    /// Time since the order.
    pub(crate) elapsed: Duration,
    /// Requests in flight at the endpoint.
    pub(crate) load: u32,
    /// A random number from 0 to 1.
    pub(crate) draw: f64,
}

/// How an answer ends.
pub(crate) type Behaviour = fn(AnswerContext<'_>) -> rollouts::RunOutcome;

/// What a test varies.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    /// Requests a second by route.
    pub(crate) rates: Vec<(&'static str, f64)>,
    pub(crate) targets: usize,
    pub(crate) period: Duration,
    pub(crate) behaviour: Behaviour,
    /// Time that a request takes.
    pub(crate) run: Duration,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 3,
            rates: vec![("long", 60.0), ("chat", 200.0), ("tag", 120.0)],
            targets: 20,
            period: Duration::from_secs(12),
            behaviour: |_| rollouts::RunOutcome::default(),
            run: Duration::from_millis(350),
        }
    }
}

struct SimulatedEntry {
    address: SocketAddr,
    table: rollouts::RolloutTable,
    incarnation: u64,
    /// Requests in flight at the new version and at others.
    running: rollouts::VersionUse,
    cut: bool,
    frozen: bool,
    informed: u64,
    /// When it sent its last report.
    reported: Option<Instant>,
    /// Terms that arrived while it was frozen, with the report that they answer.
    held: Option<(messages::RolloutTerms, Option<Instant>)>,
}

struct RunningRequest {
    entry: usize,
    incarnation: u64,
    endpoint: usize,
    route: usize,
    end: Duration,
}

/// What was seen of a roll-out.
#[derive(Debug, Clone, Default)]
pub(crate) struct Observations {
    /// Requests that reached the service until the deadline, and those of them at the new version.
    pub(crate) all: u64,
    pub(crate) exposed: u64,
    pub(crate) bad_answers: u64,
    /// When the new version gave its 50th bad answer.
    pub(crate) fiftieth: Option<Duration>,
    /// When the last request was sent to the new version.
    pub(crate) last_exposed: Duration,
    pub(crate) ended: Option<Duration>,
    /// Requests in flight at other versions when the roll-out was completed.
    pub(crate) cut_off: u32,
}

pub(crate) struct SimulatedFleet {
    plan: FleetPlan,
    random: ChaCha8Rng,
    start: Instant,
    pub(crate) now: Duration,
    pub(crate) ledger: ledger::RolloutLedger,
    controller: controller::RolloutController,
    term: u64,
    tick: u64,
    /// Whether a leader runs.
    pub(crate) leads: bool,
    /// Steps that are not committed since the leader is lost before.
    pub(crate) loses_steps: bool,
    entries: Vec<SimulatedEntry>,
    views: Vec<endpoints::EndpointView>,
    loads: Vec<u32>,
    running: Vec<RunningRequest>,
    due: Vec<f64>,
    pub(crate) seen: Observations,
}

fn address(number: usize) -> SocketAddr {
    let [_, .., high, low] = u32::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7600))
}

fn view(now: Instant, version: &str, number: usize) -> endpoints::EndpointView {
    let notice = messages::EndpointNotice {
        id: format!("{version}-{number}"),
        service: SERVICE.to_owned(),
        slots: 10,
        version: version.to_owned(),
        ..messages::EndpointNotice::default()
    };
    endpoints::EndpointView::new(&notice, address(number), now)
}

impl SimulatedFleet {
    /// Starts a fleet and orders a roll-out.
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let start = Instant::now();
        let old = (0..20).map(|number| view(start, OTHER, number));
        let new = (0..plan.targets).map(|number| view(start, TARGET, number));
        let views: Vec<_> = old.chain(new).collect();
        let entries = (0..plan.entries).map(|number| SimulatedEntry {
            address: address(number),
            table: rollouts::RolloutTable::default(),
            incarnation: 1,
            running: rollouts::VersionUse::default(),
            cut: false,
            frozen: false,
            informed: 0,
            reported: None,
            held: None,
        });
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            start,
            now: Duration::ZERO,
            ledger: ledger::RolloutLedger::default(),
            controller: controller::RolloutController::default(),
            term: 1,
            tick: 0,
            leads: true,
            loses_steps: false,
            entries: entries.collect(),
            loads: vec![0; views.len()],
            views,
            running: Vec::new(),
            due: vec![0.0; plan.rates.len()],
            seen: Observations::default(),
            plan,
        };
        fleet.ledger.apply(&ledger::RolloutChange {
            order: Some(order(&fleet.plan)),
            step: None,
        });
        fleet.decide();
        fleet
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Replaces the leader by another host, which knows the ledger only.
    pub(crate) fn change_leader(&mut self) {
        self.controller = controller::RolloutController::default();
        self.term += 1;
        self.tick = 0;
        self.leads = true;
    }

    pub(crate) fn cut_entry(&mut self, number: usize, cut: bool) {
        self.entries[number].cut = cut;
    }

    pub(crate) fn freeze_entry(&mut self, number: usize, frozen: bool) {
        let now = self.instant();
        let entry = &mut self.entries[number];
        entry.frozen = frozen;
        if let Some((terms, lease_start)) = entry.held.take() {
            entry.table.apply(now, &terms, lease_start);
        }
    }

    /// Ends an entry and starts it again without any state.
    pub(crate) fn restart_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        entry.incarnation += 1;
        entry.table = rollouts::RolloutTable::default();
        entry.running = rollouts::VersionUse::default();
        entry.reported = None;
        let message = messages::RolloutTerms {
            revision: self.ledger.revision(),
            term: self.term,
            tick: self.tick,
            services: controller::initial_terms(&self.ledger),
            answered_millis: None,
        };
        let now = self.start + self.now;
        self.entries[number].table.apply(now, &message, None);
        let incarnation = self.entries[number].incarnation;
        let loads = &mut self.loads;
        self.running.retain(|request| {
            let keeps = request.entry != number || request.incarnation == incarnation;
            if !keeps {
                loads[request.endpoint] -= 1;
            }
            keeps
        });
    }

    pub(crate) fn phase(&self) -> messages::RolloutPhase {
        self.ledger.record(SERVICE).unwrap().phase()
    }

    pub(crate) fn is_promoted(&self) -> bool {
        self.ledger.record(SERVICE).unwrap().promoted
    }

    pub(crate) fn reason(&self) -> &str {
        &self.ledger.record(SERVICE).unwrap().reason
    }

    fn decide(&mut self) {
        let facts: Vec<_> = self
            .views
            .iter()
            .map(|view| controller::EndpointFacts {
                id: view.id.clone(),
                service: view.service.clone(),
                version: view.version.clone(),
                slots: view.slots,
            })
            .collect();
        let linked: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| !entry.cut)
            .map(|entry| entry.address)
            .collect();
        let wall = START_MILLIS + u64::try_from(self.now.as_millis()).unwrap();
        let now = self.instant();
        let decision = self.controller.decide(
            now,
            wall,
            &self.ledger,
            &facts,
            &linked,
            &options::RolloutOptions::default(),
        );
        self.tick += 1;
        let message = messages::RolloutTerms {
            revision: self.ledger.revision(),
            term: self.term,
            tick: self.tick,
            services: decision.terms,
            answered_millis: None,
        };
        for entry in self.entries.iter_mut().filter(|entry| !entry.cut) {
            match entry.frozen {
                true => entry.held = Some((message.clone(), entry.reported)),
                false => {
                    entry.table.apply(now, &message, entry.reported);
                }
            }
        }
        if self.loses_steps && !decision.steps.is_empty() {
            self.leads = false;
            return;
        }
        for step in decision.steps {
            let completes = step.phase() == messages::RolloutPhase::Completed;
            self.ledger.apply(&ledger::RolloutChange {
                order: None,
                step: Some(step),
            });
            if completes {
                let others = self.entries.iter().map(|entry| entry.running.others);
                self.seen.cut_off = others.sum();
            }
        }
        if self.phase() != messages::RolloutPhase::Active && self.seen.ended.is_none() {
            self.seen.ended = Some(self.now);
        }
    }

    fn report(&mut self) {
        let now = self.instant();
        for entry in &mut self.entries {
            if entry.cut || entry.frozen {
                continue;
            }
            let whole = entry.informed != self.term;
            entry.informed = self.term;
            let uses = HashMap::from([(SmolStr::new(SERVICE), entry.running)]);
            let reports = messages::RolloutReports {
                reports: entry.table.take_reports(&uses, whole),
                incarnation: entry.incarnation,
                sent_millis: 0,
            };
            entry.reported = Some(now);
            self.controller.observe(now, entry.address, &reports);
        }
    }

    /// Sends a request of a route by a random entry.
    fn send(&mut self, route: usize) {
        let number = self.random.random_range(0..self.entries.len());
        if self.entries[number].frozen {
            return;
        }
        let now = self.instant();
        let name = SmolStr::new_static(self.plan.rates[route].0);
        let service = SmolStr::new_static(SERVICE);
        let draw = self.random.random_range(0.0..1.0);
        let table = &mut self.entries[number].table;
        let prefers_target = table.draw(now, &service, &name, draw);
        let sides = table.sides(now, &service, prefers_target);
        let side = sides.map(|sides| sides[0]);
        let open: Vec<_> = (0..self.views.len())
            .filter(|index| {
                let view = &self.views[*index];
                table.is_open(now, view) && side.is_none_or(|side| table.includes(view, side))
            })
            .collect();
        if open.is_empty() {
            return;
        }
        let endpoint = open[self.random.random_range(0..open.len())];
        self.loads[endpoint] += 1;
        let is_target = self.views[endpoint].version == TARGET;
        let entry = &mut self.entries[number];
        match is_target {
            true => entry.running.target += 1,
            false => entry.running.others += 1,
        }
        if self.now < self.plan.period {
            self.seen.all += 1;
            self.seen.exposed += u64::from(is_target);
        }
        if is_target {
            self.seen.last_exposed = self.now;
        }
        let factor = self.random.random_range(0.5..1.5);
        self.running.push(RunningRequest {
            entry: number,
            incarnation: entry.incarnation,
            endpoint,
            route,
            end: self.now + self.plan.run.mul_f64(factor),
        });
    }

    fn finish_requests(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |request| request.end <= now)
            .collect();
        for request in ended {
            let view = &self.views[request.endpoint];
            let is_target = view.version == TARGET;
            let load = self.loads[request.endpoint];
            self.loads[request.endpoint] -= 1;
            let route = SmolStr::new_static(self.plan.rates[request.route].0);
            let outcome = (self.plan.behaviour)(AnswerContext {
                is_target,
                number: request.endpoint % 20,
                route: &route,
                elapsed: now,
                load,
                draw: self.random.random_range(0.0..1.0),
            });
            let entry = &mut self.entries[request.entry];
            entry.table.record(view, &route, outcome);
            match is_target {
                true => entry.running.target -= 1,
                false => entry.running.others -= 1,
            }
            if is_target && (outcome.failed || outcome.slow) {
                self.seen.bad_answers += 1;
                if self.seen.bad_answers == 50 {
                    self.seen.fiftieth = Some(now);
                }
            }
        }
    }

    /// Plays for `time`.
    pub(crate) fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.finish_requests();
            for route in 0..self.plan.rates.len() {
                self.due[route] += self.plan.rates[route].1 * STEP.as_secs_f64();
                while self.due[route] >= 1.0 {
                    self.due[route] -= 1.0;
                    self.send(route);
                }
            }
            if is_multiple(self.now, REPORT_INTERVAL) {
                self.report();
            }
            if is_multiple(self.now, DECISION_INTERVAL) && self.leads {
                self.decide();
            }
        }
    }

    /// Returns the requests at the new version by the entry that sent them.
    pub(crate) fn target_running(&self) -> BTreeMap<SmolStr, u32> {
        let entries = self.entries.iter().enumerate();
        entries
            .map(|(number, entry)| (format_smolstr!("{number}"), entry.running.target))
            .collect()
    }

    /// Checks what callers are promised of a bad version.
    pub(crate) fn check_bad_version(&self) {
        let options = options::RolloutOptions::default();
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let (all, exposed) = (self.seen.all as f64, self.seen.exposed as f64);
        let allowed = options.exposure_share * all + options.exposure_slack;
        assert!(
            exposed <= allowed,
            "{exposed} of {all} requests, {allowed} are allowed"
        );
        if let Some(fiftieth) = self.seen.fiftieth {
            let latest = fiftieth + Duration::from_millis(options.rollback_millis);
            assert!(self.seen.last_exposed <= latest);
        }
        assert_eq!(self.phase(), messages::RolloutPhase::RolledBack);
        assert!(
            self.seen
                .ended
                .is_some_and(|ended| ended <= self.plan.period)
        );
    }
}

fn is_multiple(time: Duration, interval: Duration) -> bool {
    time.as_millis().is_multiple_of(interval.as_millis())
}

pub(crate) fn order(plan: &FleetPlan) -> ledger::RolloutOrder {
    ledger::RolloutOrder {
        service: SERVICE.to_owned(),
        target: TARGET.to_owned(),
        period_millis: u64::try_from(plan.period.as_millis()).unwrap(),
        ordered_millis: START_MILLIS,
    }
}
