//! Finds out whether an endpoint has crashed under a request, and reports it to the gate.

use std::sync::Arc;

use smol_str::SmolStr;
use waxwing_core::clock::Clock;
use waxwing_fleet::dialects;
use waxwing_gate::endpoints;

use crate::{intake, state, upstream};

/// Checks an endpoint whose connection ended when it had begun an answer and sent no event. If it
/// refuses connections it has crashed, and the shared parts of the prompt become suspects.
pub(crate) fn report_broken<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &intake::AcceptedRequest,
    run: &state::StartedRun<C, D>,
) {
    if request.shared_parts.is_empty() {
        return;
    }
    // An endpoint that drains ends its remaining requests without a crash.
    let is_serving = state
        .gate()
        .core
        .endpoint(&run.endpoint)
        .is_some_and(endpoints::EndpointView::is_serving);
    if !is_serving {
        return;
    }
    let (state, parts) = (state.clone(), request.shared_parts.clone());
    let (id, endpoint) = (request.facts.id.clone(), run.endpoint.clone());
    let address = run.address;
    tokio::spawn(async move {
        if upstream::refuses_connections(&state.clock, address).await {
            record_crash(&state, &id, &endpoint, &parts);
        }
    });
}

fn record_crash<C: Clock, D>(
    state: &state::EntryState<C, D>,
    id: &SmolStr,
    endpoint: &SmolStr,
    parts: &[u64],
) {
    let now = state.clock.now();
    state.metrics.count_crash_evidence();
    tracing::info!(
        event = "crash-evidence",
        %id,
        %endpoint,
        parts = %format_args!("{parts:x?}")
    );
    let blocked = state.gate().core.crashes.record_crash(now, endpoint, parts);
    state.updates.notify_one();
    report_blocked(state, blocked);
}

/// Logs and counts parts that are blocked from now on.
pub(crate) fn report_blocked<C, D>(
    state: &state::EntryState<C, D>,
    parts: impl IntoIterator<Item = u64>,
) {
    for part in parts {
        state.metrics.count_blocked_part();
        tracing::warn!(event = "part-blocked", part = %format_args!("{part:x}"));
    }
}
