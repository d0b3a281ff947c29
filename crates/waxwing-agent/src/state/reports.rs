//! Status reports to entries: every second, and earlier after a significant change.

use std::time::{Duration, Instant};

use waxwing_wire::messages;

use crate::state;

/// Interval between reports without significant changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Decides when the next report is due.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    changed: bool,
    last_sent_at: Instant,
    last_sent: messages::Report,
}

impl ReportSchedule {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            changed: true,
            last_sent_at: now,
            last_sent: messages::Report::default(),
        }
    }

    /// Records a change to something that reports contain.
    pub(super) fn mark_changed(&mut self) {
        self.changed = true;
    }

    fn since_last(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_sent_at)
    }
}

/// Returns the prompt tokens queued ahead of a new request.
fn queued_prefill(report: &messages::Report) -> f64 {
    let waiting: u64 = report.ranks.iter().map(|load| load.waiting_tokens).sum();
    (report.pending_prefill_tokens + waiting) as f64
}

/// Returns whether the difference could change an entry's choice of endpoint: a quarter of a second
/// of prefill, a fifth of the speed, draining, or the models served.
fn differs_significantly(current: &messages::Report, last_sent: &messages::Report) -> bool {
    let work = (queued_prefill(current) - queued_prefill(last_sent)).abs();
    let speed = (current.speed_factor - last_sent.speed_factor).abs();
    current.draining != last_sent.draining
        || current.models != last_sent.models
        || work > current.prefill_rate * 0.25
        || speed > 0.2
}

impl state::AgentCore {
    pub(super) fn report_if_due(&mut self) {
        let since_last = self.reports.since_last(self.now);
        let due = since_last >= REPORT_INTERVAL;
        let early = self.reports.changed && since_last >= MIN_REPORT_INTERVAL;
        if !due && !early {
            return;
        }
        let mut report = self.build_report(&[], &[]);
        self.reports.changed = false;
        if !due && !differs_significantly(&report, &self.reports.last_sent) {
            return;
        }
        self.reports.last_sent_at = self.now;
        self.reports.last_sent = report.clone();
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
            prefill_rate: self.pace.expected_prefill_rate().0,
            token_millis: self.pace.token_millis(),
            speed_factor: self
                .pace
                .relative_speed(self.now, self.expected_event_interval()),
            pending_prefill_tokens: self.admission.pending_prefill().0,
            running_tokens: self.admission.held_context().0,
            limit_tokens: self.admission.token_limit().0,
            ranks: ranks.collect(),
            running: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
            draining: self.is_draining() || !self.accepts_offers(),
            models: self.info.models.clone(),
            reported_requests: self.reported_requests,
            cached: cached.to_vec(),
            evicted: evicted.to_vec(),
        }
    }
}
