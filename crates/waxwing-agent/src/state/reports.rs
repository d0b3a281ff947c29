//! Reports to entries: when the view of the endpoint changes, and every second.

use std::time::{Duration, Instant};

use waxwing_wire::messages;

use crate::state;

/// The time between reports when nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest time between reports.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(250);

/// A `ReportClock` tells when the next report is due.
#[derive(Debug)]
pub(super) struct ReportClock {
    changed: bool,
    last: Instant,
    told: messages::Report,
}

impl ReportClock {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            changed: true,
            last: now,
            told: messages::Report::default(),
        }
    }

    /// Notes that something changed which reports tell.
    pub(super) fn mark(&mut self) {
        self.changed = true;
    }

    fn quiet(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}

/// Returns the prompt tokens that are ahead of a new request.
fn ahead(report: &messages::Report) -> f64 {
    let waiting: u64 = report.ranks.iter().map(|load| load.waiting_tokens).sum();
    (report.pending_prefill_tokens + waiting) as f64
}

/// Tells whether entries would choose another endpoint for the difference: work of a quarter of a
/// second, a fifth of the speed, or whether it takes new work and which.
fn differs(now: &messages::Report, told: &messages::Report) -> bool {
    let work = (ahead(now) - ahead(told)).abs();
    let speed = (now.speed_factor - told.speed_factor).abs();
    now.draining != told.draining
        || now.models != told.models
        || work > now.prefill_rate * 0.25
        || speed > 0.2
}

impl state::AgentCore {
    pub(super) fn report_if_due(&mut self) {
        let quiet = self.reports.quiet(self.now);
        let due = quiet >= REPORT_INTERVAL;
        let early = self.reports.changed && quiet >= SHORTEST_INTERVAL;
        if !due && !early {
            return;
        }
        let mut report = self.build_report(&[], &[]);
        self.reports.changed = false;
        if !due && !differs(&report, &self.reports.told) {
            return;
        }
        self.reports.last = self.now;
        self.reports.told = report.clone();
        let deltas = self.cache.take_deltas();
        report.cached = deltas.cached;
        report.evicted = deltas.evicted;
        let links: Vec<_> = self.links.keys().copied().collect();
        for link in links {
            self.send(link, 0, messages::Body::Report(report.clone()));
        }
    }

    pub(super) fn build_report(&self, cached: &[u64], evicted: &[u64]) -> messages::Report {
        let ranks = self.queue.loads().map(|(rank, load)| messages::RankLoad {
            rank: u32::from(rank.0),
            waiting: u32::try_from(load.waiting).unwrap_or(u32::MAX),
            waiting_tokens: load.prompt_tokens,
        });
        messages::Report {
            prefill_rate: self.pace.rate().0,
            token_millis: self.pace.token_millis(),
            speed_factor: self.pace.factor(self.now, self.event_due()),
            pending_prefill_tokens: self.admission.pending().0,
            running_tokens: self.admission.held().0,
            limit_tokens: self.admission.limit().0,
            ranks: ranks.collect(),
            running: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
            draining: self.is_draining() || !self.takes_offers(),
            models: self.info.models.clone(),
            reported_requests: self.reported_requests,
            cached: cached.to_vec(),
            evicted: evicted.to_vec(),
        }
    }
}
