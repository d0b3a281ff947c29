//! The register, a non-idempotent HTTP service. It records orders, donations and bookings and counts
//! how often each body was recorded, so that duplicate executions are detected.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Semaphore;
use waxwing_core::clock::Clock;

use crate::{answers, engines, faults, options};

/// Kinds of records, which are also the paths to which they are posted.
pub const RECORD_KINDS: [&str; 3] = ["orders-book", "donations", "bookings"];

/// The answer to `GET /counts`: how often each body was recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterCounts {
    /// Total number of records, repeated ones included.
    pub recorded: u64,
    /// Number of times that each body was recorded, by record name (`{kind}/{id}`).
    pub bodies: BTreeMap<SmolStr, u64>,
}

#[derive(Debug, Default)]
struct RegisterState {
    counts: RegisterCounts,
    records: BTreeMap<SmolStr, Bytes>,
}

/// Stores and counts records; several registers can share it.
#[derive(Debug, Clone, Default)]
pub struct RecordStore {
    state: Arc<Mutex<RegisterState>>,
}

impl RecordStore {
    /// Stores a body and counts it.
    pub fn record(&self, kind: &str, body: Bytes) {
        let name = record_name(kind, &answers::record_id(&body));
        let mut state = self.lock();
        state.counts.recorded += 1;
        *state.counts.bodies.entry(name.clone()).or_default() += 1;
        state.records.insert(name, body);
    }

    /// Finds a recorded body.
    #[must_use]
    pub fn find(&self, kind: &str, id: &str) -> Option<Bytes> {
        self.lock().records.get(&record_name(kind, id)).cloned()
    }

    /// Returns the counts of recorded bodies.
    #[must_use]
    pub fn counts(&self) -> RegisterCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, RegisterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the name under which a record is stored and counted.
#[must_use]
pub fn record_name(kind: &str, id: &str) -> SmolStr {
    SmolStr::new(format!("{kind}/{id}"))
}

/// A register; clones share its state.
#[derive(Debug, Clone)]
pub struct StandinRegister<C> {
    options: Arc<options::RegisterOptions>,
    records: RecordStore,
    workers: Arc<Semaphore>,
    faults: faults::FaultSwitch,
    clock: C,
    call_duration: Duration,
}

impl<C: Clock> StandinRegister<C> {
    /// Creates a register that writes to `records` and is `time_scale` times as fast as `options`
    /// say.
    #[must_use]
    pub fn new(
        options: options::RegisterOptions,
        time_scale: f64,
        records: RecordStore,
        faults: faults::FaultSwitch,
        clock: C,
    ) -> Self {
        Self {
            workers: Arc::new(Semaphore::new(options.workers)),
            call_duration: Duration::from_millis(options.call_millis).div_f64(time_scale),
            options: Arc::new(options),
            records,
            faults,
            clock,
        }
    }

    /// Returns the options of the register.
    #[must_use]
    pub fn options(&self) -> &options::RegisterOptions {
        &self.options
    }

    /// Returns the switch for faults of the register.
    #[must_use]
    pub fn faults(&self) -> &faults::FaultSwitch {
        &self.faults
    }

    /// Returns the record store.
    #[must_use]
    pub fn records(&self) -> &RecordStore {
        &self.records
    }

    /// Returns the number of calls in progress; waiting calls are not reported.
    #[must_use]
    pub fn load(&self) -> engines::LoadReport {
        let idle = self.workers.available_permits();
        engines::LoadReport {
            running: self.options.workers.saturating_sub(idle) as u64,
            waiting: 0,
            pending_prefill_tokens: 0,
            cached_tokens: 0,
            age_ms: 0,
        }
    }

    /// Waits for a free worker and then for the duration of one call.
    pub async fn process_call(&self) {
        let _worker = self.workers.acquire().await;
        self.faults.wait_unstalled().await;
        let duration = self.call_duration.mul_f64(self.faults.slow_factor());
        self.clock.sleep(duration).await;
    }
}
