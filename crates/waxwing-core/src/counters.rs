//! Counters. On the request path, counting costs one atomic addition; the export through `cadence`
//! happens elsewhere.

use std::{
    fmt::Write as _,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use cadence::Counted as _;

use crate::reasons;

macro_rules! event_type {
    ({ $($(#[$variant_doc:meta])* $variant:ident = $name:literal,)* }) => {
        /// A counted event other than a refusal or a retry.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum CounterEvent {
            $($(#[$variant_doc])* $variant,)*
        }

        impl CounterEvent {
            /// All events, in the order of their counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name of the counter; it must not change.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

event_type!({
    /// Requests accepted by an entry.
    RequestsAccepted = "requests_accepted",
    /// Requests that got a complete response.
    RequestsAnswered = "requests_answered",
    /// Offers sent to agents.
    OffersSent = "offers_sent",
    /// Grants declined because another agent serves the request.
    GrantsDeclined = "grants_declined",
    /// Grants that expired unused.
    GrantsExpired = "grants_expired",
    /// Requests handed over to an agent.
    HandoversSent = "handovers_sent",
    /// Hand-overs whose state had to be queried after a lost acknowledgement.
    HandoversSettled = "handovers_settled",
    /// Requests that an agent sent to its endpoint.
    Dispatches = "dispatches",
    /// Links replaced because the peer had stopped sending.
    LinksSilent = "links_silent",
    /// Links opened.
    LinksOpened = "links_opened",
    /// Responses resumed at an offset over another link.
    AnswersResumed = "answers_resumed",
    /// Generations suspended in favour of a higher tier.
    Suspensions = "suspensions",
    /// Suspended generations resumed.
    Resumptions = "resumptions",
    /// Prompt tokens computed by endpoints.
    PrefillTokens = "prefill_tokens",
    /// Prompt tokens found in a prefix cache.
    PrefillCachedTokens = "prefill_cached_tokens",
    /// Prompt tokens computed for requests whose caller disconnected.
    WastedPrefillCaller = "wasted_prefill_caller_gone",
    /// Prompt tokens computed for requests whose deadline expired.
    WastedPrefillDeadline = "wasted_prefill_deadline",
    /// Prompt tokens computed again after a suspension.
    WastedPrefillSuspended = "wasted_prefill_suspended",
    /// Prompt tokens whose computation was lost with an endpoint or agent.
    WastedPrefillLost = "wasted_prefill_lost",
    /// Settings versions put into force.
    SettingsApplied = "settings_applied",
    /// Settings versions rejected because they were older than the one in force.
    SettingsOldRefused = "settings_old_refused",
    /// Idempotency keys claimed.
    ClaimsGranted = "claims_granted",
    /// Claims of a key that was already claimed.
    ClaimsExisting = "claims_existing",
    /// Engine orders refused because of an outdated fencing number.
    OrdersFenced = "orders_fenced",
    /// Engine orders carried out.
    OrdersDone = "orders_done",
    /// Engine orders that failed.
    OrdersFailed = "orders_failed",
    /// Gaps in the sequence of an engine's cache events.
    CacheEventGaps = "cache_event_gaps",
    /// Bytes of control messages sent to other processes.
    ControlBytesSent = "control_bytes_sent",
    /// Bytes of control messages received from other processes.
    ControlBytesReceived = "control_bytes_received",
    /// Elections started by a control host.
    Elections = "elections",
});

#[derive(Debug)]
struct CounterTable {
    events: Vec<AtomicU64>,
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
}

/// The counters of one process; clones share them.
#[derive(Debug, Clone)]
pub struct CounterSet {
    table: Arc<CounterTable>,
}

fn zeroed_counters(length: usize) -> Vec<AtomicU64> {
    (0..length).map(|_| AtomicU64::new(0)).collect()
}

impl Default for CounterSet {
    fn default() -> Self {
        Self::new()
    }
}

impl CounterSet {
    /// Creates a set with all counters at zero.
    #[must_use]
    pub fn new() -> Self {
        let table = CounterTable {
            events: zeroed_counters(CounterEvent::ALL.len()),
            refusals: zeroed_counters(reasons::RefusalReason::ALL.len()),
            retries: zeroed_counters(reasons::RetryReason::ALL.len()),
        };
        Self {
            table: Arc::new(table),
        }
    }

    /// Counts one event.
    pub fn count(&self, event: CounterEvent) {
        self.add(event, 1);
    }

    /// Adds `amount` to the counter of an event.
    pub fn add(&self, event: CounterEvent, amount: u64) {
        self.table.events[event as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Counts one refusal.
    pub fn count_refusal(&self, reason: reasons::RefusalReason) {
        self.table.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one retry.
    pub fn count_retry(&self, reason: reasons::RetryReason) {
        self.table.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counter of an event.
    #[must_use]
    pub fn event(&self, event: CounterEvent) -> u64 {
        self.table.events[event as usize].load(Ordering::Relaxed)
    }

    /// Returns the counter of a refusal reason.
    #[must_use]
    pub fn refusals(&self, reason: reasons::RefusalReason) -> u64 {
        self.table.refusals[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the counter of a retry reason.
    #[must_use]
    pub fn retries(&self, reason: reasons::RetryReason) -> u64 {
        self.table.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters with their full names, including those at zero.
    #[must_use]
    pub fn snapshot(&self) -> Vec<(String, u64)> {
        let events = CounterEvent::ALL
            .iter()
            .map(|event| (event.as_str().to_owned(), self.event(*event)));
        let refusals = reasons::RefusalReason::ALL
            .iter()
            .map(|reason| (format!("refusal.{reason}"), self.refusals(*reason)));
        let retries = reasons::RetryReason::ALL
            .iter()
            .map(|reason| (format!("retry.{reason}"), self.retries(*reason)));
        events.chain(refusals).chain(retries).collect()
    }

    /// Formats all counters as `name value` lines, the body of `/metrics`.
    #[must_use]
    pub fn render(&self) -> String {
        self.snapshot()
            .into_iter()
            .fold(String::new(), |mut text, (name, value)| {
                let _ = writeln!(text, "{name} {value}");
                text
            })
    }
}

/// Sends the increments of the counters to a StatsD server.
pub struct CounterExporter {
    counters: CounterSet,
    client: cadence::StatsdClient,
    sent: Vec<u64>,
}

impl CounterExporter {
    /// Creates an exporter whose first export sends the full counts.
    #[must_use]
    pub fn new(counters: CounterSet, client: cadence::StatsdClient) -> Self {
        let sent = vec![0; counters.snapshot().len()];
        Self {
            counters,
            client,
            sent,
        }
    }

    /// Sends the increment of each counter since the last export. Errors are not returned, since
    /// counting must never fail a request; an increment that can't be sent is included in the next
    /// export.
    pub fn export(&mut self) {
        for ((name, value), sent) in self.counters.snapshot().into_iter().zip(&mut self.sent) {
            let increment = value.saturating_sub(*sent);
            let delta = i64::try_from(increment).unwrap_or(i64::MAX);
            if increment > 0 && self.client.count(&name, delta).is_ok() {
                *sent = value;
            }
        }
    }
}
