//! Counters that cost one atomic addition on the request path and are exported through `cadence`
//! outside of it.

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
        /// A `CounterEvent` is something that is counted and is neither a refusal nor a retry.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum CounterEvent {
            $($(#[$variant_doc])* $variant,)*
        }

        impl CounterEvent {
            /// Every event, in the order of the counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the fixed name of the counter.
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
    /// Requests answered whole.
    RequestsAnswered = "requests_answered",
    /// Offers sent to agents.
    OffersSent = "offers_sent",
    /// Grants declined since the request was bound elsewhere.
    GrantsDeclined = "grants_declined",
    /// Grants that ended unused.
    GrantsExpired = "grants_expired",
    /// Requests handed over to an agent.
    HandoversSent = "handovers_sent",
    /// Hand-overs settled after a lost acknowledgement.
    HandoversSettled = "handovers_settled",
    /// Requests that an agent sent to its endpoint.
    Dispatches = "dispatches",
    /// Links replaced after silence.
    LinksSilent = "links_silent",
    /// Links opened.
    LinksOpened = "links_opened",
    /// Answers resumed by offset over another link.
    AnswersResumed = "answers_resumed",
    /// Generations suspended for a higher tier.
    Suspensions = "suspensions",
    /// Suspended generations resumed.
    Resumptions = "resumptions",
    /// Prompt tokens computed by endpoints.
    PrefillTokens = "prefill_tokens",
    /// Prompt tokens found in a prefix cache.
    PrefillCachedTokens = "prefill_cached_tokens",
    /// Prefill wasted since the caller went away.
    WastedPrefillCaller = "wasted_prefill_caller_gone",
    /// Prefill wasted since the deadline passed.
    WastedPrefillDeadline = "wasted_prefill_deadline",
    /// Prefill repeated after a suspension.
    WastedPrefillSuspended = "wasted_prefill_suspended",
    /// Prefill lost with an endpoint or agent.
    WastedPrefillLost = "wasted_prefill_lost",
    /// Settings versions taken into force.
    SettingsApplied = "settings_applied",
    /// Settings versions refused since they were older than the one in force.
    SettingsOldRefused = "settings_old_refused",
    /// Claims granted.
    ClaimsGranted = "claims_granted",
    /// Claims that found an earlier one.
    ClaimsExisting = "claims_existing",
    /// Engine orders refused for an old fencing number.
    OrdersFenced = "orders_fenced",
    /// Engine orders carried out.
    OrdersDone = "orders_done",
    /// Engine orders that failed.
    OrdersFailed = "orders_failed",
    /// Cache event gaps.
    CacheEventGaps = "cache_event_gaps",
    /// Bytes sent between processes for control work.
    ControlBytesSent = "control_bytes_sent",
    /// Bytes received between processes for control work.
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

/// A `CounterSet` is the shared set of counters of one process.
#[derive(Debug, Clone)]
pub struct CounterSet {
    table: Arc<CounterTable>,
}

fn zeros(length: usize) -> Vec<AtomicU64> {
    (0..length).map(|_| AtomicU64::new(0)).collect()
}

impl Default for CounterSet {
    fn default() -> Self {
        Self::new()
    }
}

impl CounterSet {
    /// Builds a set with every counter at zero.
    #[must_use]
    pub fn new() -> Self {
        let table = CounterTable {
            events: zeros(CounterEvent::ALL.len()),
            refusals: zeros(reasons::RefusalReason::ALL.len()),
            retries: zeros(reasons::RetryReason::ALL.len()),
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
    pub fn refuse(&self, reason: reasons::RefusalReason) {
        self.table.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one retry.
    pub fn retry(&self, reason: reasons::RetryReason) {
        self.table.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Reads the counter of an event.
    #[must_use]
    pub fn event(&self, event: CounterEvent) -> u64 {
        self.table.events[event as usize].load(Ordering::Relaxed)
    }

    /// Reads the counter of a refusal reason.
    #[must_use]
    pub fn refusals(&self, reason: reasons::RefusalReason) -> u64 {
        self.table.refusals[reason as usize].load(Ordering::Relaxed)
    }

    /// Reads the counter of a retry reason.
    #[must_use]
    pub fn retries(&self, reason: reasons::RetryReason) -> u64 {
        self.table.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns every counter with its full name, also those at zero.
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

    /// Writes every counter as `name value` lines, the body of `/metrics`.
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

/// A `CounterExporter` sends what has been counted since the last call to a statsd client.
pub struct CounterExporter {
    counters: CounterSet,
    client: cadence::StatsdClient,
    sent: Vec<u64>,
}

impl CounterExporter {
    /// Builds an exporter that has sent nothing yet.
    #[must_use]
    pub fn new(counters: CounterSet, client: cadence::StatsdClient) -> Self {
        let sent = vec![0; counters.snapshot().len()];
        Self {
            counters,
            client,
            sent,
        }
    }

    /// Sends the growth of each counter. A metric that can't be sent is sent with the next call,
    /// since counting must never fail a request.
    pub fn export(&mut self) {
        for ((name, value), sent) in self.counters.snapshot().into_iter().zip(&mut self.sent) {
            let growth = value.saturating_sub(*sent);
            let delta = i64::try_from(growth).unwrap_or(i64::MAX);
            if growth > 0 && self.client.count(&name, delta).is_ok() {
                *sent = value;
            }
        }
    }
}
