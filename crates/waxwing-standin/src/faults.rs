//! Fault injection: a stand-in can be slowed down, stalled, silenced or killed at run time.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// The body of `POST /faults`. Absent fields leave the fault as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Factor by which work takes longer, above 0; other values are ignored.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow: Option<f64>,
    /// Whether work is stalled while connections stay open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<bool>,
    /// Whether the stand-in is killed now, which closes its connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die: Option<bool>,
    /// Whether the connections that are open now send nothing any more, without being closed. New
    /// connections work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent: Option<bool>,
}

#[derive(Debug)]
struct FaultState {
    /// Bits of the `f64` factor by which work takes longer.
    slow: AtomicU64,
    stall: AtomicBool,
    /// Number of connections opened so far.
    opened_connections: AtomicU64,
    /// Connections with a lower number are silent.
    silenced_below: AtomicU64,
    changed: Notify,
    kill_token: CancellationToken,
}

/// The active faults of one stand-in; clones share them.
#[derive(Debug, Clone)]
pub struct FaultSwitch {
    state: Arc<FaultState>,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self {
            state: Arc::new(FaultState {
                slow: AtomicU64::new(1.0_f64.to_bits()),
                stall: AtomicBool::new(false),
                opened_connections: AtomicU64::new(0),
                silenced_below: AtomicU64::new(0),
                changed: Notify::new(),
                kill_token: CancellationToken::new(),
            }),
        }
    }
}

impl FaultSwitch {
    /// Registers a new connection and returns its number.
    #[must_use]
    pub fn open_connection(&self) -> u64 {
        self.state.opened_connections.fetch_add(1, Ordering::SeqCst)
    }

    /// Applies an order. The silent fault affects the connections that are open now.
    pub fn apply(&self, order: &FaultOrder) {
        let slow = order
            .slow
            .filter(|factor| factor.is_finite() && *factor > 0.0);
        if let Some(factor) = slow {
            self.state.slow.store(factor.to_bits(), Ordering::SeqCst);
        }
        if let Some(stall) = order.stall {
            self.state.stall.store(stall, Ordering::SeqCst);
        }
        if order.silent == Some(true) {
            let opened_connections = self.state.opened_connections.load(Ordering::SeqCst);
            self.state
                .silenced_below
                .store(opened_connections, Ordering::SeqCst);
        }
        if order.die == Some(true) {
            self.state.kill_token.cancel();
        }
        self.state.changed.notify_waiters();
    }

    /// Returns the factor by which work takes longer.
    #[must_use]
    pub fn slow_factor(&self) -> f64 {
        f64::from_bits(self.state.slow.load(Ordering::SeqCst))
    }

    /// Returns whether the connection with this number is silent.
    #[must_use]
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.state.silenced_below.load(Ordering::SeqCst)
    }

    /// Waits until work is not stalled.
    pub async fn wait_unstalled(&self) {
        loop {
            let changed = self.state.changed.notified();
            if !self.state.stall.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the token that is cancelled when a fault kills the stand-in.
    #[must_use]
    pub fn kill_token(&self) -> &CancellationToken {
        &self.state.kill_token
    }
}
