//! Longest pauses that the callers of a service allow between two events of their streams.
//!
//! An engine that reads a prompt delays all streams that it runs, so a long prompt at a slow engine
//! makes several answers late at once. The table tells which pause the streams of a service still
//! bear; [the design note](../../../docs/design/pace.md) says how it is used.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

/// Length of the windows over which the shortest limit is taken. Routes of a service differ in
/// their limits, and each busy one is seen within seconds.
const PAUSE_WINDOW: Duration = Duration::from_secs(5);

/// What the caller of a stream allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPause {
    /// Longest pause between two events that still counts as on time.
    pub longest: Duration,
    /// Tokens of one event.
    pub event_tokens: u32,
}

/// Shortest limits seen in the current window and in the previous one.
#[derive(Debug, Clone, Copy)]
struct PauseWindow {
    start: Instant,
    current: StreamPause,
    previous: StreamPause,
}

/// Shortest limit of the recent streams of each service.
#[derive(Debug, Default)]
pub struct PauseTable {
    services: HashMap<SmolStr, PauseWindow>,
}

impl StreamPause {
    fn stricter(self, other: Self) -> Self {
        match other.longest < self.longest {
            true => other,
            false => self,
        }
    }
}

impl PauseTable {
    /// Records the limit of a new stream.
    pub fn observe(&mut self, now: Instant, service: &SmolStr, pause: StreamPause) {
        if let Some(window) = self.services.get_mut(service) {
            if now.saturating_duration_since(window.start) >= PAUSE_WINDOW {
                window.previous = window.current;
                window.current = pause;
                window.start = now;
            }
            window.current = window.current.stricter(pause);
            return;
        }
        let window = PauseWindow {
            start: now,
            current: pause,
            previous: pause,
        };
        self.services.insert(service.clone(), window);
    }

    /// Returns the shortest limit of the recent streams of a service; `None` if no stream named one.
    #[must_use]
    pub fn limit(&self, service: &SmolStr) -> Option<StreamPause> {
        let window = self.services.get(service)?;
        Some(window.current.stricter(window.previous))
    }
}
