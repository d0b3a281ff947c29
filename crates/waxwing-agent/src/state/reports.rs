//! Reports to entries: when the view of the endpoint changes, and every second.

use std::time::{Duration, Instant};

use waxwing_wire::messages;

use crate::state;

/// The time between reports when nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest time between reports; at a quarter of a second and 200 bytes, an agent sends each
/// entry less than 1 KB/s.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(250);

/// A `ReportClock` tells when the next report is due.
#[derive(Debug)]
pub(super) struct ReportClock {
    changed: bool,
    last: Instant,
}

impl ReportClock {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            changed: true,
            last: now,
        }
    }

    /// Notes that something changed which reports tell.
    pub(super) fn mark(&mut self) {
        self.changed = true;
    }

    fn take_due(&mut self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.last);
        let due = quiet >= REPORT_INTERVAL || (self.changed && quiet >= SHORTEST_INTERVAL);
        if due {
            self.changed = false;
            self.last = now;
        }
        due
    }
}

impl state::AgentCore {
    pub(super) fn report_if_due(&mut self) {
        if !self.reports.take_due(self.now) {
            return;
        }
        let deltas = self.cache.take_deltas();
        let report = self.build_report(&deltas.cached, &deltas.evicted);
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
