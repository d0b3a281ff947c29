//! Faults on demand: a stand-in can be slowed, stalled, silenced or killed while it works.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// A `FaultOrder` is the body of `POST /faults`; absent fields stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// How many times longer every step takes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow: Option<f64>,
    /// Whether work stands still while connections stay open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<bool>,
    /// Whether the process dies now; its connections are closed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die: Option<bool>,
    /// Whether the connections that are open now go silent for good; new ones work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent: Option<bool>,
}

#[derive(Debug)]
struct FaultTable {
    slow: AtomicU64,
    stall: AtomicBool,
    opened: AtomicU64,
    silenced: AtomicU64,
    changed: Notify,
    death: CancellationToken,
}

/// A `FaultSwitch` holds the faults of one stand-in; clones share them.
#[derive(Debug, Clone)]
pub struct FaultSwitch {
    table: Arc<FaultTable>,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self {
            table: Arc::new(FaultTable {
                slow: AtomicU64::new(1.0_f64.to_bits()),
                stall: AtomicBool::new(false),
                opened: AtomicU64::new(0),
                silenced: AtomicU64::new(0),
                changed: Notify::new(),
                death: CancellationToken::new(),
            }),
        }
    }
}

impl FaultSwitch {
    /// Counts a connection and returns its number.
    #[must_use]
    pub fn open_connection(&self) -> u64 {
        self.table.opened.fetch_add(1, Ordering::SeqCst)
    }

    /// Puts faults into force. If the order says so, the connections that are open now go silent.
    pub fn apply(&self, order: &FaultOrder) {
        let slow = order
            .slow
            .filter(|factor| factor.is_finite() && *factor > 0.0);
        if let Some(factor) = slow {
            self.table.slow.store(factor.to_bits(), Ordering::SeqCst);
        }
        if let Some(stall) = order.stall {
            self.table.stall.store(stall, Ordering::SeqCst);
        }
        if order.silent == Some(true) {
            let opened = self.table.opened.load(Ordering::SeqCst);
            self.table.silenced.store(opened, Ordering::SeqCst);
        }
        if order.die == Some(true) {
            self.table.death.cancel();
        }
        self.table.changed.notify_waiters();
    }

    /// Returns how many times longer steps take.
    #[must_use]
    pub fn slow_factor(&self) -> f64 {
        f64::from_bits(self.table.slow.load(Ordering::SeqCst))
    }

    /// Tells whether the connection with this number has gone silent.
    #[must_use]
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.table.silenced.load(Ordering::SeqCst)
    }

    /// Waits while work stands still.
    pub async fn unstalled(&self) {
        loop {
            let changed = self.table.changed.notified();
            if !self.table.stall.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the token that is cancelled when the stand-in dies.
    #[must_use]
    pub fn death(&self) -> &CancellationToken {
        &self.table.death
    }
}
