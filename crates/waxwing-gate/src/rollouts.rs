//! An entry's part in roll-outs: which version of a service a request may go to by the leader's
//! terms, and the totals of answers that the entry reports. `docs/design/rollouts.md` describes the
//! other parts.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_wire::messages;

use crate::endpoints;

/// Failed answers of a new version after which this entry alone stops sending to it, if they are at
/// least half of all: the leader may be out of reach while callers get errors.
const LOCAL_FAILURES: u64 = 10;

/// The endpoints that a request may go to, by their version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionSide {
    /// Those of the version under roll-out.
    Target,
    /// Those of other versions.
    Others,
}

/// Order of the terms of leaders: revision of the log, term and tick.
type TermsAge = (u64, u64, u64);

/// The state of a roll-out that this entry keeps to.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RulePhase {
    Active(messages::RolloutStage),
    Completed,
    RolledBack,
}

/// What this entry may do in the roll-out of a service.
#[derive(Debug)]
struct RolloutRule {
    target: SmolStr,
    order: u64,
    phase: RulePhase,
    /// Parts of the requests of routes, from 0 to 1.
    shares: HashMap<SmolStr, f64>,
    default_share: f64,
    /// Until when the shares hold.
    lease_end: Instant,
    /// The endpoints of the new version that get requests; all of them if empty.
    probes: HashSet<SmolStr>,
    /// The versions that are replaced.
    replaced: HashSet<SmolStr>,
    counts: OrderCounts,
}

/// Totals since this entry learned of an order.
#[derive(Debug, Default)]
struct OrderCounts {
    outcomes: HashMap<(SmolStr, SmolStr), messages::VersionOutcome>,
    requests: BTreeMap<SmolStr, u64>,
    /// The keys of outcomes that changed since the last report.
    changed: HashSet<(SmolStr, SmolStr)>,
    /// Answers of the new version here, and those that failed.
    target_finished: u64,
    target_failed: u64,
}

/// How a run at an endpoint ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunOutcome {
    /// Whether its answer failed or broke off.
    pub failed: bool,
    /// Whether it took several times as long as usual.
    pub slow: bool,
}

/// A change of what this entry does in a roll-out, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleChange {
    /// The service.
    pub service: SmolStr,
    /// The new version.
    pub target: SmolStr,
    /// The number of the order.
    pub order: u64,
    /// The phase and stage.
    pub state: &'static str,
}

/// The requests of this entry in flight for a service: at the new version and at others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionUse {
    /// At endpoints of the new version.
    pub target: u32,
    /// At endpoints of other versions.
    pub others: u32,
}

/// The roll-outs that this entry knows.
#[derive(Debug, Default)]
pub struct RolloutTable {
    age: TermsAge,
    rules: HashMap<SmolStr, RolloutRule>,
}

impl RolloutRule {
    fn new(term: &messages::RolloutTerm, now: Instant) -> Self {
        Self {
            target: SmolStr::new(&term.target),
            order: term.order,
            phase: RulePhase::Active(messages::RolloutStage::Canary),
            shares: HashMap::new(),
            default_share: 0.0,
            lease_end: now,
            probes: HashSet::new(),
            replaced: HashSet::new(),
            counts: OrderCounts::default(),
        }
    }

    fn update(&mut self, term: &messages::RolloutTerm, lease_start: Option<Instant>) {
        self.phase = match term.phase() {
            messages::RolloutPhase::Active => RulePhase::Active(term.stage()),
            messages::RolloutPhase::Completed => RulePhase::Completed,
            messages::RolloutPhase::RolledBack => RulePhase::RolledBack,
        };
        let shares = term.shares.iter();
        self.shares = shares
            .map(|share| (SmolStr::new(&share.route), to_share(share.millionths)))
            .collect();
        self.default_share = to_share(term.default_millionths);
        if let Some(start) = lease_start {
            let lease = Duration::from_millis(term.lease_millis);
            self.lease_end = start + lease;
        }
        self.probes = term.probes.iter().map(SmolStr::new).collect();
        self.replaced = term.replaced.iter().map(SmolStr::new).collect();
    }

    const fn state(&self) -> &'static str {
        match self.phase {
            RulePhase::Active(messages::RolloutStage::Canary) => "canary",
            RulePhase::Active(messages::RolloutStage::Shift) => "shift",
            RulePhase::Active(messages::RolloutStage::Drain) => "drain",
            RulePhase::Completed => "completed",
            RulePhase::RolledBack => "rolled-back",
        }
    }

    /// Tells whether this entry stops by itself, from what it has seen alone.
    const fn stops_locally(&self) -> bool {
        let counts = &self.counts;
        counts.target_failed >= LOCAL_FAILURES && counts.target_failed * 2 >= counts.target_finished
    }

    /// Tells whether the endpoint may get requests of one side at all.
    fn includes(&self, view: &endpoints::EndpointView, side: VersionSide) -> bool {
        let is_target = view.version == self.target;
        match side {
            VersionSide::Target => {
                is_target && (self.probes.is_empty() || self.probes.contains(&view.id))
            }
            VersionSide::Others => !is_target,
        }
    }

    /// Returns the sides that a request may go to, the preferred one first.
    fn sides(&self, now: Instant, prefers_target: bool) -> &'static [VersionSide] {
        const TARGET: &[VersionSide] = &[VersionSide::Target];
        const OTHERS: &[VersionSide] = &[VersionSide::Others];
        const TARGET_FIRST: &[VersionSide] = &[VersionSide::Target, VersionSide::Others];
        const OTHERS_FIRST: &[VersionSide] = &[VersionSide::Others, VersionSide::Target];
        let in_lease = now < self.lease_end;
        match self.phase {
            RulePhase::RolledBack => OTHERS,
            RulePhase::Completed => TARGET,
            // A version that has not passed its test gets no request that it wasn't granted.
            RulePhase::Active(messages::RolloutStage::Canary) => {
                match prefers_target && in_lease && !self.stops_locally() {
                    true => TARGET_FIRST,
                    false => OTHERS,
                }
            }
            RulePhase::Active(_) if self.stops_locally() => OTHERS_FIRST,
            RulePhase::Active(messages::RolloutStage::Shift) => match prefers_target && in_lease {
                true => TARGET_FIRST,
                false => OTHERS_FIRST,
            },
            RulePhase::Active(messages::RolloutStage::Drain) => TARGET,
        }
    }
}

fn to_share(millionths: u32) -> f64 {
    f64::from(millionths) / 1e6
}

impl RolloutTable {
    /// Takes the terms of a leader at `now`, and returns what they change. Terms that are older than
    /// the ones in force have no effect. `lease_start` is when the report was sent that they answer.
    pub fn apply(
        &mut self,
        now: Instant,
        terms: &messages::RolloutTerms,
        lease_start: Option<Instant>,
    ) -> Vec<RuleChange> {
        let age = (terms.revision, terms.term, terms.tick);
        if age < self.age {
            return Vec::new();
        }
        self.age = age;
        let mut changes = Vec::new();
        for term in &terms.services {
            let service = SmolStr::new(&term.service);
            let known = self.rules.remove(&service);
            let known = known.filter(|rule| rule.order == term.order);
            let before = known.as_ref().map(RolloutRule::state);
            let mut rule = known.unwrap_or_else(|| RolloutRule::new(term, now));
            rule.update(term, lease_start);
            if before != Some(rule.state()) {
                changes.push(RuleChange {
                    service: service.clone(),
                    target: rule.target.clone(),
                    order: rule.order,
                    state: rule.state(),
                });
            }
            self.rules.insert(service, rule);
        }
        changes
    }

    /// Counts a request of a caller, and tells by a random `draw` from 0 to 1 whether it belongs to
    /// the part of the requests that the new version gets. A draw for each request keeps the part
    /// of the whole fleet, whatever the number of entries and however often they restart.
    pub fn draw(&mut self, now: Instant, service: &SmolStr, route: &SmolStr, draw: f64) -> bool {
        let Some(rule) = self.rules.get_mut(service) else {
            return false;
        };
        if !matches!(rule.phase, RulePhase::Active(_)) {
            return false;
        }
        *rule.counts.requests.entry(route.clone()).or_default() += 1;
        let share = rule.shares.get(route).copied();
        now < rule.lease_end && draw < share.unwrap_or(rule.default_share)
    }

    /// Returns the sides that a request of a service may go to, the preferred one first; `None` if
    /// all endpoints are equal.
    #[must_use]
    pub fn sides(
        &self,
        now: Instant,
        service: &SmolStr,
        prefers_target: bool,
    ) -> Option<&'static [VersionSide]> {
        let rule = self.rules.get(service)?;
        (rule.phase != RulePhase::Completed).then(|| rule.sides(now, prefers_target))
    }

    /// Tells whether an endpoint belongs to a side of its service.
    #[must_use]
    pub fn includes(&self, view: &endpoints::EndpointView, side: VersionSide) -> bool {
        let rule = self.rules.get(&view.service);
        rule.is_none_or(|rule| rule.includes(view, side))
    }

    /// Tells whether an endpoint may get any request of its service.
    #[must_use]
    pub fn is_open(&self, now: Instant, view: &endpoints::EndpointView) -> bool {
        let Some(rule) = self.rules.get(&view.service) else {
            return true;
        };
        match rule.phase {
            RulePhase::Completed => !rule.replaced.contains(&view.version),
            // The others serve while no endpoint of the new version can.
            RulePhase::Active(messages::RolloutStage::Drain) => true,
            _ => {
                let sides = rule.sides(now, true);
                sides.iter().any(|side| rule.includes(view, *side))
            }
        }
    }

    /// Records how a run ended at an endpoint.
    pub fn record(&mut self, view: &endpoints::EndpointView, route: &SmolStr, outcome: RunOutcome) {
        let Some(rule) = self.rules.get_mut(&view.service) else {
            return;
        };
        if !matches!(rule.phase, RulePhase::Active(_)) {
            return;
        }
        let is_target = view.version == rule.target;
        let counts = &mut rule.counts;
        let key = (view.id.clone(), route.clone());
        let total =
            counts
                .outcomes
                .entry(key.clone())
                .or_insert_with(|| messages::VersionOutcome {
                    endpoint: view.id.to_string(),
                    route: route.to_string(),
                    is_target,
                    ..messages::VersionOutcome::default()
                });
        total.finished += 1;
        total.failed += u64::from(outcome.failed);
        total.slow += u64::from(outcome.slow);
        counts.changed.insert(key);
        if is_target {
            counts.target_finished += 1;
            counts.target_failed += u64::from(outcome.failed);
        }
    }

    /// Returns whether a roll-out is in progress, so that reports are due.
    #[must_use]
    pub fn has_active(&self) -> bool {
        let mut rules = self.rules.values();
        rules.any(|rule| matches!(rule.phase, RulePhase::Active(_)))
    }

    /// Returns the versions under roll-out, by service.
    pub fn active_targets(&self) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
        let active = self
            .rules
            .iter()
            .filter(|(_, rule)| matches!(rule.phase, RulePhase::Active(_)));
        active.map(|(service, rule)| (service, &rule.target))
    }

    /// Returns the reports of all roll-outs in progress: all totals if `whole` is set, and else those
    /// that changed since the last report. `uses` are the requests in flight by service.
    pub fn take_reports(
        &mut self,
        uses: &HashMap<SmolStr, VersionUse>,
        whole: bool,
    ) -> Vec<messages::RolloutReport> {
        let mut reports = Vec::new();
        for (service, rule) in &mut self.rules {
            let RulePhase::Active(stage) = rule.phase else {
                continue;
            };
            let in_flight = uses.get(service).copied().unwrap_or_default();
            let counts = &mut rule.counts;
            let changed = std::mem::take(&mut counts.changed);
            let outcomes = counts.outcomes.iter();
            let outcomes = outcomes.filter(|(key, _)| whole || changed.contains(key));
            reports.push(messages::RolloutReport {
                service: service.to_string(),
                order: rule.order,
                stage: stage.into(),
                others_running: in_flight.others,
                target_running: in_flight.target,
                outcomes: outcomes.map(|(_, outcome)| outcome.clone()).collect(),
                requests: counts
                    .requests
                    .iter()
                    .map(|(route, requests)| messages::RouteRequests {
                        route: route.to_string(),
                        requests: *requests,
                    })
                    .collect(),
            });
        }
        reports
    }
}
