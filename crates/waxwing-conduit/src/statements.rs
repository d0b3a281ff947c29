//! Reports what endpoints state about the requests that they take.

use std::time::Duration;

use smol_str::SmolStr;
use waxwing_gate::gate;

use crate::state;

/// Logs and counts limits of endpoints that changed.
pub(crate) fn report_limits<C, D>(
    state: &state::EntryState<C, D>,
    changes: Vec<gate::LimitChange>,
) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        state.metrics.count_statement(match change.limit {
            Some(_) => "limit-named",
            None => "limit-ended",
        });
        tracing::info!(
            event = "endpoint-limited",
            endpoint = %change.endpoint,
            requests_per_second = change.limit.map(|limit| limit.0)
        );
    }
    state.updates.notify_one();
}

/// Logs and counts an endpoint that stated that it leaves.
pub(crate) fn report_leaving<C, D>(state: &state::EntryState<C, D>, endpoint: &SmolStr) {
    state.metrics.count_statement("leaving");
    tracing::info!(event = "endpoint-leaving", %endpoint);
}

/// Logs and counts an endpoint that wants no requests from this entry for `time`.
pub(crate) fn report_pause<C, D>(
    state: &state::EntryState<C, D>,
    endpoint: &SmolStr,
    time: Duration,
) {
    state.metrics.count_statement("paused");
    tracing::info!(event = "endpoint-paused", %endpoint, time_ms = time.as_millis());
}
