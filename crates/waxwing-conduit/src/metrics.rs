//! Metrics of an entry; `docs/OPERATIONS.md` says what to do about each one.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Registry};
use waxwing_core::counters;
use waxwing_process::metrics;

/// Counters and histograms of an entry. Labels hold reasons, statuses, outcomes and phases only,
/// so that the number of time series stays below a hundred.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    /// Registry that is served at the metrics address.
    pub registry: Registry,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    sends: IntCounterVec,
    streams: IntCounterVec,
    fetches: IntCounterVec,
    notice_fetches: IntCounterVec,
    link_bytes: IntCounterVec,
    crashes: IntCounterVec,
    statements: IntCounterVec,
    rollouts: IntCounterVec,
    places: IntCounterVec,
    latencies: HistogramVec,
}

impl EntryMetrics {
    /// Creates and registers all metrics in a new registry.
    ///
    /// # Errors
    /// Fails if a metric name or label is invalid.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter =
            |name: &str, help: &str, label: &str| metrics::counter(&registry, name, help, label);
        let answers = counter(
            "waxwing_entry_answers_total",
            "Answers of endpoints that were passed on, by status.",
            "status",
        )?;
        let refusals = counter(
            "waxwing_entry_refusals_total",
            "Requests that ended without an answer of an endpoint, by reason.",
            "reason",
        )?;
        let sends = counter(
            "waxwing_entry_sends_total",
            "Requests sent to endpoints, by what came of it.",
            "outcome",
        )?;
        let streams = counter(
            "waxwing_entry_streams_total",
            "Streams of events, by how they ended or went on.",
            "outcome",
        )?;
        let fetches = counter(
            "waxwing_entry_deployment_fetches_total",
            "Deployments fetched from control hosts, by what was received.",
            "outcome",
        )?;
        let notice_fetches = counter(
            "waxwing_entry_notice_fetches_total",
            "Notices of endpoints fetched from control hosts, by what was received.",
            "outcome",
        )?;
        let link_bytes = counter(
            "waxwing_entry_link_bytes_total",
            "Bytes of messages exchanged with control hosts and other entries, by direction.",
            "direction",
        )?;
        let crashes = counter(
            "waxwing_entry_crash_findings_total",
            "Evidence of prompt parts that crash endpoints, and parts that were blocked.",
            "finding",
        )?;
        let statements = counter(
            "waxwing_entry_endpoint_statements_total",
            "Changes of what endpoints state about the requests that they take.",
            "statement",
        )?;
        let rollouts = counter(
            "waxwing_entry_rollout_stages_total",
            "Stages of roll-outs that the entry has entered.",
            "state",
        )?;
        let places = counter(
            "waxwing_entry_started_requests_total",
            "Requests sent to endpoints, by whether these are in the entry's data centre.",
            "place",
        )?;
        let options = HistogramOpts::new(
            "waxwing_entry_latency_seconds",
            "Time waited for an endpoint, to the first event, and of the whole request.",
        );
        let options = options.buckets(metrics::LATENCY_BUCKETS.to_vec());
        let latencies = HistogramVec::new(options, &["phase"])?;
        registry.register(Box::new(latencies.clone()))?;
        Ok(Self {
            registry,
            answers,
            refusals,
            sends,
            streams,
            fetches,
            notice_fetches,
            link_bytes,
            crashes,
            statements,
            rollouts,
            places,
            latencies,
        })
    }

    pub(crate) fn count_answer(&self, status: u16) {
        self.answers.with_label_values(&[status.to_string()]).inc();
    }

    pub(crate) fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_attempt(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_place(&self, is_remote: bool) {
        let place = if is_remote { "remote" } else { "local" };
        self.places.with_label_values(&[place]).inc();
    }

    pub(crate) fn count_stream(&self, outcome: &str) {
        self.streams.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_fetch(&self, outcome: &str) {
        self.fetches.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_notice_fetch(&self, outcome: &str) {
        self.notice_fetches.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_crash_evidence(&self) {
        self.crashes.with_label_values(&["evidence"]).inc();
    }

    pub(crate) fn count_blocked_part(&self) {
        self.crashes.with_label_values(&["blocked"]).inc();
    }

    pub(crate) fn count_statement(&self, statement: &str) {
        self.statements.with_label_values(&[statement]).inc();
    }

    pub(crate) fn count_rollout(&self, state: &str) {
        self.rollouts.with_label_values(&[state]).inc();
    }

    /// Updates the bytes of messages from the counters of the links.
    pub(crate) fn record_link_bytes(&self, counters: &counters::CounterSet) {
        let directions = [
            ("sent", counters::CounterEvent::ControlBytesSent),
            ("received", counters::CounterEvent::ControlBytesReceived),
        ];
        for (direction, event) in directions {
            let metric = self.link_bytes.with_label_values(&[direction]);
            metric.inc_by(counters.event(event).saturating_sub(metric.get()));
        }
    }

    pub(crate) fn observe_latency(&self, phase: &str, time: Duration) {
        let histogram = self.latencies.with_label_values(&[phase]);
        histogram.observe(time.as_secs_f64());
    }
}
