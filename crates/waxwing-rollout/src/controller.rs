//! The leader's decisions on roll-outs in progress: what entries may send to the new version, and
//! which step comes next. It keeps only what entries report again to a new leader.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_wire::messages;

use crate::{ledger, options, pace, verdicts};

/// Time without a report after which an entry counts as lost. Until then, a roll-out is not
/// completed without its word, since it may have requests at endpoints of other versions. An entry
/// that is only cut off for a moment comes back sooner; one that has ended has no requests.
const ENTRY_SILENCE: Duration = Duration::from_secs(4);

/// How much room beyond the requests in flight the new version needs before it gets all of them.
const ROOM_FACTOR: f64 = 1.2;

/// Number of endpoints of the new version below which it gets no requests while it is tested and
/// more are expected to start; the test of fewer can't leave out one that fails for other reasons.
const PREFERRED_ENDPOINTS: usize = 3;

/// Part of the answers that were planned for the test of a version below which the version is in
/// doubt: its endpoints can't be reached, or are avoided because they fail.
const MIN_ANSWERED: f64 = 0.25;

/// Answers that must have been planned before a lack of them means anything.
const MIN_PLANNED: f64 = 20.0;

/// Part of the period after which the test begins with fewer endpoints than that.
const START_PART: f64 = 0.2;

/// An endpoint as the registry of the control host knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointFacts {
    /// The id of the endpoint.
    pub id: SmolStr,
    /// The service.
    pub service: SmolStr,
    /// The version of its software.
    pub version: SmolStr,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
}

/// What the leader decides at one time.
#[derive(Debug, Clone, Default)]
pub struct ControllerDecision {
    /// What entries may do, for each service with a roll-out.
    pub terms: Vec<messages::RolloutTerm>,
    /// Steps to commit to the log.
    pub steps: Vec<ledger::RolloutStep>,
}

/// The state of a roll-out in progress, for operators.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct RolloutProgress {
    /// The stage: `canary`, `shift` or `drain`.
    pub stage: &'static str,
    /// The part of the requests that the new version gets, over all routes.
    pub share: f64,
    /// Milliseconds until the deadline.
    pub left_millis: u64,
    /// Endpoints of the new version and of others.
    pub endpoints: [usize; 2],
    /// Requests in flight at endpoints of the new version and of others.
    pub running: [u32; 2],
    /// The evidence by route.
    pub evidence: Vec<verdicts::RouteSummary>,
}

/// The last report of an entry.
#[derive(Debug)]
struct EntryState {
    incarnation: u64,
    heard: Instant,
    stage: messages::RolloutStage,
    others_running: u32,
    target_running: u32,
    /// Totals by endpoint and route.
    outcomes: HashMap<(SmolStr, SmolStr), verdicts::AnswerCounts>,
    requests: HashMap<SmolStr, u64>,
}

impl EntryState {
    fn new(incarnation: u64, heard: Instant) -> Self {
        Self {
            incarnation,
            heard,
            stage: messages::RolloutStage::Canary,
            others_running: 0,
            target_running: 0,
            outcomes: HashMap::new(),
            requests: HashMap::new(),
        }
    }
}

/// A roll-out in progress as this leader sees it.
#[derive(Debug)]
struct ActiveRollout {
    number: u64,
    /// When this leader first saw the order, and how much of its period had passed by then.
    seen: Instant,
    passed: Duration,
    /// When this leader saw that the new version has passed its test.
    promoted: Option<Instant>,
    entries: HashMap<SocketAddr, EntryState>,
    evidence: verdicts::VersionEvidence,
    traffic: pace::ObservedTraffic,
    /// The parts of the requests that the last terms of the test allow, and the requests that the new
    /// version would have had by them.
    shares: BTreeMap<SmolStr, f64>,
    initial_share: f64,
    planned: f64,
    progress: RolloutProgress,
}

/// The endpoints of a service by version.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    targets: Vec<SmolStr>,
    target_slots: u32,
    others: usize,
    other_slots: u32,
    other_versions: BTreeSet<SmolStr>,
}

impl ServiceEndpoints {
    fn of(endpoints: &[EndpointFacts], order: &ledger::RolloutOrder) -> Self {
        let mut sorted = Self::default();
        for endpoint in endpoints {
            if endpoint.service != order.service {
                continue;
            }
            if endpoint.version == order.target {
                sorted.targets.push(endpoint.id.clone());
                sorted.target_slots = sorted.target_slots.saturating_add(endpoint.slots);
            } else {
                sorted.others += 1;
                sorted.other_slots = sorted.other_slots.saturating_add(endpoint.slots);
                sorted.other_versions.insert(endpoint.version.clone());
            }
        }
        sorted.targets.sort_unstable();
        sorted
    }
}

impl ActiveRollout {
    fn new(record: &ledger::RolloutRecord, now: Instant, wall_millis: u64) -> Self {
        // A wall clock that was set must not end the period at once, nor before it began.
        let period = Duration::from_millis(record.order.period_millis);
        let passed = wall_millis.saturating_sub(record.order.ordered_millis);
        Self {
            number: record.number,
            seen: now,
            passed: Duration::from_millis(passed).min(period),
            promoted: None,
            entries: HashMap::new(),
            evidence: verdicts::VersionEvidence::default(),
            traffic: pace::ObservedTraffic::default(),
            shares: BTreeMap::new(),
            initial_share: 0.0,
            planned: 0.0,
            progress: RolloutProgress {
                stage: "canary",
                share: 0.0,
                left_millis: 0,
                endpoints: [0, 0],
                running: [0, 0],
                evidence: Vec::new(),
            },
        }
    }

    fn observe(
        &mut self,
        entry: SocketAddr,
        now: Instant,
        incarnation: u64,
        report: &messages::RolloutReport,
    ) {
        let state = self
            .entries
            .entry(entry)
            .or_insert_with(|| EntryState::new(incarnation, now));
        if state.incarnation != incarnation {
            *state = EntryState::new(incarnation, now);
        }
        state.heard = now;
        state.stage = report.stage();
        state.others_running = report.others_running;
        state.target_running = report.target_running;
        for outcome in &report.outcomes {
            let endpoint = SmolStr::new(&outcome.endpoint);
            let route = SmolStr::new(&outcome.route);
            let total = verdicts::AnswerCounts {
                finished: outcome.finished,
                failed: outcome.failed,
                slow: outcome.slow,
            };
            let key = (endpoint.clone(), route.clone());
            let before = state.outcomes.insert(key, total).unwrap_or_default();
            self.evidence
                .add(&route, &endpoint, outcome.is_target, total.since(before));
        }
        for count in &report.requests {
            let route = SmolStr::new(&count.route);
            let before = state.requests.insert(route.clone(), count.requests);
            let new = count.requests.saturating_sub(before.unwrap_or_default());
            let share = self.shares.get(&route).copied();
            self.planned += share.unwrap_or(self.initial_share) * to_float(new);
            let total = self.traffic.requests.entry(route).or_default();
            *total = total.saturating_add(new);
        }
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.passed + now.saturating_duration_since(self.seen)
    }

    /// Returns the requests in flight at endpoints of the new version and of others.
    fn running(&self) -> [u32; 2] {
        let states = self.entries.values();
        states.fold([0, 0], |[target, others], state| {
            [
                target.saturating_add(state.target_running),
                others.saturating_add(state.others_running),
            ]
        })
    }

    /// Tells whether all entries send their requests to the new version, and none has one at another
    /// version any more.
    fn is_drained(&self, now: Instant, linked: &[SocketAddr]) -> bool {
        // A new leader may not have heard yet of entries that are cut off from it.
        let known = now.saturating_duration_since(self.seen) >= ENTRY_SILENCE
            && linked.iter().all(|entry| self.entries.contains_key(entry));
        let drained = |state: &EntryState| {
            state.stage == messages::RolloutStage::Drain && state.others_running == 0
        };
        known
            && self.entries.iter().all(|(entry, state)| {
                let silent = now.saturating_duration_since(state.heard) >= ENTRY_SILENCE;
                drained(state) || silent && !linked.contains(entry)
            })
    }

    /// Returns the stage in force and, unless the stage only follows the pace, the step that is due.
    fn plan(
        &mut self,
        now: Instant,
        record: &ledger::RolloutRecord,
        endpoints: &ServiceEndpoints,
        linked: &[SocketAddr],
    ) -> (pace::PlannedStage, Option<ledger::RolloutStep>) {
        let period = Duration::from_millis(record.order.period_millis);
        let elapsed = self.elapsed(now);
        let step = |phase: messages::RolloutPhase, reason: String, replaced: Vec<String>| {
            Some(ledger::RolloutStep {
                service: record.order.service.clone(),
                order: record.number,
                phase: phase.into(),
                reason,
                replaced,
            })
        };
        let verdict = self
            .evidence
            .evaluate(endpoints.targets.len().min(pace::PROBES));
        if let verdicts::VersionVerdict::Condemned(reason) = verdict {
            let stage = pace::PlannedStage::Canary;
            return (
                stage,
                step(messages::RolloutPhase::RolledBack, reason, Vec::new()),
            );
        }
        if endpoints.targets.is_empty() && elapsed >= period {
            let reason = "no endpoint of the version is ready by the deadline".to_owned();
            let stage = pace::PlannedStage::Canary;
            return (
                stage,
                step(messages::RolloutPhase::RolledBack, reason, Vec::new()),
            );
        }
        if !record.promoted {
            let step = match self.end_of_test(&verdict, elapsed, period, endpoints) {
                Some((phase, reason)) => step(phase, reason.to_owned(), Vec::new()),
                None => None,
            };
            return (pace::PlannedStage::Canary, step);
        }
        let promoted = *self.promoted.get_or_insert(now);
        let planned = pace::stage_after_promotion(now.saturating_duration_since(promoted), period);
        let running: u32 = self.running().iter().copied().fold(0, u32::saturating_add);
        // A service without room to spare gets as much as it had.
        let needed = f64::from(running) * ROOM_FACTOR;
        let needed = needed.min(f64::from(endpoints.other_slots));
        let has_room = f64::from(endpoints.target_slots) >= needed;
        match planned {
            pace::PlannedStage::Drain if !has_room => {
                // The time of the growth begins again, so that the room is checked at each step.
                (pace::PlannedStage::Shift(0.5), None)
            }
            pace::PlannedStage::Drain if self.is_drained(now, linked) => {
                let versions = endpoints.other_versions.iter();
                let replaced = versions.map(ToString::to_string).collect();
                let reason = "the version serves all requests".to_owned();
                (
                    planned,
                    step(messages::RolloutPhase::Completed, reason, replaced),
                )
            }
            _ => (planned, None),
        }
    }

    /// Returns the phase after the test and the reason, if the test ends now.
    fn end_of_test(
        &self,
        verdict: &verdicts::VersionVerdict,
        elapsed: Duration,
        period: Duration,
        endpoints: &ServiceEndpoints,
    ) -> Option<(messages::RolloutPhase, &'static str)> {
        if endpoints.targets.is_empty() || !pace::may_promote(elapsed, period) {
            return None;
        }
        let active = messages::RolloutPhase::Active;
        match verdict {
            verdicts::VersionVerdict::Cleared => Some((active, "the version passed its test")),
            _ if !pace::must_decide(elapsed, period) => None,
            verdicts::VersionVerdict::Open { is_doubtful: true } => Some((
                messages::RolloutPhase::RolledBack,
                "the version is in doubt at the end of its test",
            )),
            _ if self.lacks_answers() => Some((
                messages::RolloutPhase::RolledBack,
                "the version answered too few of the requests that were meant for it",
            )),
            _ => Some((
                active,
                "nothing speaks against the version at the end of its test",
            )),
        }
    }

    /// Tells whether far fewer requests ran at the new version than were meant for it.
    fn lacks_answers(&self) -> bool {
        let answers = to_float(self.evidence.answers());
        self.planned >= MIN_PLANNED && answers < self.planned * MIN_ANSWERED
    }

    /// Returns what entries may do in a stage.
    fn term(
        &mut self,
        now: Instant,
        record: &ledger::RolloutRecord,
        endpoints: &ServiceEndpoints,
        stage: pace::PlannedStage,
        options: &options::RolloutOptions,
    ) -> messages::RolloutTerm {
        let period = Duration::from_millis(record.order.period_millis);
        let elapsed = self.elapsed(now);
        self.traffic.time = now.saturating_duration_since(self.seen);
        let mut term = base_term(record);
        term.stage = stage.wire().into();
        term.lease_millis = millis(options.lease());
        let mut share = 1.0;
        match stage {
            pace::PlannedStage::Canary => {
                let waits = endpoints.targets.len() < PREFERRED_ENDPOINTS
                    && elapsed < period.mul_f64(START_PART);
                let mut shares = BTreeMap::new();
                let mut initial = 0.0;
                if !waits && !endpoints.targets.is_empty() {
                    shares = pace::canary_shares(&self.traffic, period, options);
                    initial = pace::initial_share();
                }
                share = self.mean_share(&shares, initial);
                let load = pace::CanaryLoad {
                    share,
                    running: self.running(),
                    others: endpoints.others,
                };
                let probes = pace::probes(&endpoints.targets, elapsed, period, load);
                term.probes = probes.iter().map(ToString::to_string).collect();
                term.default_millionths = millionths(initial);
                self.initial_share = initial;
                term.shares = shares
                    .iter()
                    .map(|(route, share)| messages::RouteShare {
                        route: route.to_string(),
                        millionths: millionths(*share),
                    })
                    .collect();
                self.shares = shares;
            }
            pace::PlannedStage::Shift(part) => {
                share = part;
                term.default_millionths = millionths(part);
                let used = pace::shift_endpoints(&endpoints.targets, part);
                term.probes = used.iter().map(ToString::to_string).collect();
            }
            pace::PlannedStage::Drain => term.default_millionths = millionths(share),
        }
        self.progress = RolloutProgress {
            stage: stage_name(stage),
            share,
            left_millis: millis(period.saturating_sub(elapsed)),
            endpoints: [endpoints.targets.len(), endpoints.others],
            running: self.running(),
            evidence: self.evidence.summaries(),
        };
        term
    }

    /// Returns the part of all requests that shares by route amount to.
    fn mean_share(&self, shares: &BTreeMap<SmolStr, f64>, initial: f64) -> f64 {
        let counts = self.traffic.requests.iter();
        let (all, part) = counts.fold((0.0, 0.0), |(all, part), (route, count)| {
            let count = to_float(*count);
            let share = shares.get(route).copied().unwrap_or(initial);
            (all + count, part + share * count)
        });
        if all > 0.0 { part / all } else { initial }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
fn to_float(count: u64) -> f64 {
    count as f64
}

const fn stage_name(stage: pace::PlannedStage) -> &'static str {
    match stage {
        pace::PlannedStage::Canary => "canary",
        pace::PlannedStage::Shift(_) => "shift",
        pace::PlannedStage::Drain => "drain",
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is between 0 and 1"
)]
fn millionths(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) * 1e6) as u32
}

/// Returns the term of a record without any share.
fn base_term(record: &ledger::RolloutRecord) -> messages::RolloutTerm {
    messages::RolloutTerm {
        service: record.order.service.clone(),
        target: record.order.target.clone(),
        order: record.number,
        phase: record.phase,
        stage: match record.promoted {
            true => messages::RolloutStage::Shift.into(),
            false => messages::RolloutStage::Canary.into(),
        },
        shares: Vec::new(),
        default_millionths: 0,
        lease_millis: 0,
        probes: Vec::new(),
        replaced: record.replaced.clone(),
    }
}

/// The roll-outs in progress as the leader sees them. A host that doesn't lead must
/// [`clear`](Self::clear) it, since its evidence gets old.
#[derive(Debug, Default)]
pub struct RolloutController {
    active: HashMap<SmolStr, ActiveRollout>,
}

impl RolloutController {
    /// Forgets everything that entries have reported.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Takes the reports of an entry. Those of other orders than the ones in progress are ignored.
    pub fn observe(&mut self, now: Instant, entry: SocketAddr, reports: &messages::RolloutReports) {
        for report in &reports.reports {
            let active = self.active.get_mut(report.service.as_str());
            if let Some(active) = active.filter(|active| active.number == report.order) {
                active.observe(entry, now, reports.incarnation, report);
            }
        }
    }

    /// Decides what entries may do from now on, and which steps are due. `linked` are the entries
    /// with a link to this host, and `endpoints` those that accept requests.
    pub fn decide(
        &mut self,
        now: Instant,
        wall_millis: u64,
        ledger: &ledger::RolloutLedger,
        endpoints: &[EndpointFacts],
        linked: &[SocketAddr],
        options: &options::RolloutOptions,
    ) -> ControllerDecision {
        self.active.retain(|service, active| {
            let record = ledger.record(service);
            record.is_some_and(|record| record.is_active() && record.number == active.number)
        });
        let mut decision = ControllerDecision::default();
        for (service, record) in ledger.records() {
            if !record.is_active() {
                decision.terms.push(base_term(record));
                continue;
            }
            let active = self
                .active
                .entry(service.clone())
                .or_insert_with(|| ActiveRollout::new(record, now, wall_millis));
            let sorted = ServiceEndpoints::of(endpoints, &record.order);
            let (stage, step) = active.plan(now, record, &sorted, linked);
            let ends_badly = step
                .as_ref()
                .is_some_and(|step| step.phase() == messages::RolloutPhase::RolledBack);
            let mut term = active.term(now, record, &sorted, stage, options);
            if ends_badly {
                // Entries stop at once; the log follows.
                term.phase = messages::RolloutPhase::RolledBack.into();
            }
            decision.terms.push(term);
            decision.steps.extend(step);
        }
        decision
    }

    /// Returns the state of a roll-out in progress.
    #[must_use]
    pub fn progress(&self, service: &str) -> Option<&RolloutProgress> {
        self.active.get(service).map(|active| &active.progress)
    }
}

/// Returns the terms of all records without any share, for entries that have just started. They get
/// the shares with the next renewal.
#[must_use]
pub fn initial_terms(ledger: &ledger::RolloutLedger) -> Vec<messages::RolloutTerm> {
    let records = ledger.records();
    records.map(|(_, record)| base_term(record)).collect()
}
