//! What the gate tells and learns about the versions of a service under roll-out.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;
use waxwing_wire::messages;

use super::GateCore;
use crate::{endpoints, rollouts};

/// Factor by which an answer exceeds the usual time of its service from which it counts as slow. A
/// bad version takes several times as long; the slowest hosts of a mixed fleet take two to three
/// times as long as the usual one.
const SLOW_FACTOR: f64 = 3.0;

/// Shortest time by which a slow answer exceeds the usual one, so that jitter of the network doesn't
/// count.
const SLOW_MARGIN: Duration = Duration::from_millis(50);

fn is_slow(elapsed: Duration, usual: Duration) -> bool {
    elapsed > usual.mul_f64(SLOW_FACTOR) + SLOW_MARGIN
}

impl GateCore {
    /// Tells whether the time to a first event is several times that of a typical engine of the
    /// service with the same backlog in tokens. The endpoint's own speed is left out, since it would
    /// hide that a whole version is slow.
    #[must_use]
    pub fn is_slow_start(&self, service: &SmolStr, backlog: u64, elapsed: Duration) -> bool {
        let model = self.model(service);
        let speed = model.typical_speed();
        is_slow(
            elapsed,
            model.first_event(&speed, endpoints::to_float(backlog)),
        )
    }

    /// Tells whether a generation of `tokens` after the first event took several times as long as
    /// usual.
    #[must_use]
    pub fn is_slow_generation(&self, service: &SmolStr, tokens: u64, elapsed: Duration) -> bool {
        let model = self.model(service);
        let speed = model.typical_speed();
        is_slow(
            elapsed,
            model.generation_time(&speed, endpoints::to_float(tokens)),
        )
    }

    /// Tells whether a plain call took several times as long as usual.
    #[must_use]
    pub fn is_slow_call(&self, service: &SmolStr, elapsed: Duration) -> bool {
        is_slow(elapsed, self.model(service).mean_run_time())
    }

    /// Records how a run ended, for the roll-out of its service if there is one.
    pub fn record_run(
        &mut self,
        endpoint: &SmolStr,
        route: &SmolStr,
        outcome: rollouts::RunOutcome,
    ) {
        if let Some(view) = self.endpoints.get(endpoint) {
            self.rollouts.record(view, route, outcome);
        }
    }

    /// Returns the reports on all roll-outs in progress: all totals if `whole` is set, and else those
    /// that changed since the last report.
    pub fn take_rollout_reports(&mut self, whole: bool) -> Vec<messages::RolloutReport> {
        let mut uses = HashMap::new();
        for (service, target) in self.rollouts.active_targets() {
            let mut in_flight = rollouts::VersionUse::default();
            let views = self.endpoints.values();
            for view in views.filter(|view| view.service == *service) {
                let count = match view.version == *target {
                    true => &mut in_flight.target,
                    false => &mut in_flight.others,
                };
                *count = count.saturating_add(view.own.running);
            }
            uses.insert(service.clone(), in_flight);
        }
        self.rollouts.take_reports(&uses, whole)
    }
}
