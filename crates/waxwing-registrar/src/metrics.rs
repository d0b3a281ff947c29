//! Metrics of a control host; `docs/OPERATIONS.md` says what to do about each one.

use prometheus::{IntCounterVec, IntGauge, Registry};
use waxwing_process::metrics;

use crate::handles;

/// The value of the version gauge while a host holds no deployment; 0 is a valid version.
const NO_DEPLOYMENT: i64 = -1;

/// The counters and gauges of a control host; clones share them.
#[derive(Debug, Clone)]
pub struct RegistrarMetrics {
    /// The registry that is served at the metrics address.
    pub registry: Registry,
    notices: IntCounterVec,
    deployments: IntCounterVec,
    deployment_bytes: IntCounterVec,
    version: IntGauge,
    leads: IntGauge,
    votes: IntGauge,
    voters: IntGauge,
    silent_voters: IntGauge,
}

impl RegistrarMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails if a name or label is not valid.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter =
            |name: &str, help: &str, label: &str| metrics::counter(&registry, name, help, label);
        let gauge = |name: &str, help: &str| metrics::gauge(&registry, name, help);
        Ok(Self {
            notices: counter(
                "waxwing_registrar_notices_total",
                "Notices of endpoints, by effect.",
                "effect",
            )?,
            deployments: counter(
                "waxwing_registrar_deployments_total",
                "Deployments that operators sent, by outcome.",
                "outcome",
            )?,
            deployment_bytes: counter(
                "waxwing_registrar_deployment_bytes_total",
                "Bytes of deployments that were sent to entries, as whole documents or deltas.",
                "kind",
            )?,
            version: gauge(
                "waxwing_registrar_deployment_version",
                "The version of the deployment that this host holds; -1 if it holds none.",
            )?,
            votes: gauge(
                "waxwing_registrar_votes",
                "Whether this host votes in the replicated log.",
            )?,
            voters: gauge(
                "waxwing_registrar_voters",
                "Hosts that vote in the replicated log.",
            )?,
            silent_voters: gauge(
                "waxwing_registrar_silent_voters",
                "Voters that this host doesn't hear while it leads the replicated log.",
            )?,
            leads: gauge(
                "waxwing_registrar_leads",
                "Whether this host leads the replicated log.",
            )?,
            registry,
        })
    }

    pub(crate) fn count_notice(&self, effect: &str) {
        self.notices.with_label_values(&[effect]).inc();
    }

    pub(crate) fn count_deployment(&self, outcome: &str) {
        self.deployments.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_deployment_bytes(&self, kind: &str, bytes: usize) {
        let counter = self.deployment_bytes.with_label_values(&[kind]);
        counter.inc_by(bytes as u64);
    }

    pub(crate) fn record_view(&self, view: &handles::GroupView) {
        let version = view.document.as_ref().map(|document| document.version);
        let version = version.map_or(NO_DEPLOYMENT, |version| {
            i64::try_from(version).unwrap_or(i64::MAX)
        });
        self.version.set(version);
        self.leads.set(i64::from(view.leads));
        self.votes.set(i64::from(view.votes));
        self.voters
            .set(i64::try_from(view.voters).unwrap_or(i64::MAX));
        let silent_voters = i64::try_from(view.silent_voters);
        self.silent_voters.set(silent_voters.unwrap_or(i64::MAX));
    }
}
