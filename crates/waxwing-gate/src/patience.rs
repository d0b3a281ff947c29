//! How long the callers of a route wait, and which of them have been refused before.
//!
//! A request doesn't tell that it was refused before; the only sign is that its caller has less
//! time left than others have. The timeout of the route doesn't tell how much the others have:
//! operators change it while callers keep their own deadlines, and callers of one route differ in
//! them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

/// Share of the longest patience below which a caller counts as returned after a refusal. Callers
/// of a route differ by 15 %, and a refused one is asked to let at least a fifth of its time pass.
const RETURNED_SHARE: f64 = 0.82;

/// Length of the windows over which the longest patience is taken; several seconds include many
/// callers of a busy route.
const PATIENCE_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a route without callers is removed; routes come and go with deployments.
const ROUTE_RETENTION: Duration = Duration::from_secs(60);

/// Longest patience among the recent callers of a route.
#[derive(Debug, Clone, Copy)]
struct RoutePatience {
    /// Start of the current window.
    window_start: Instant,
    /// Longest patience in the current window.
    longest: Duration,
    /// Longest patience in the previous window.
    previous: Duration,
}

/// Longest recent patience of callers, by route.
#[derive(Debug, Default)]
pub struct PatienceTable {
    routes: HashMap<SmolStr, RoutePatience>,
}

impl PatienceTable {
    /// Records the time that a caller gives a new request, and tells whether the caller has
    /// probably been refused before.
    pub fn observe(&mut self, now: Instant, route: &SmolStr, patience: Duration) -> bool {
        if !self.routes.contains_key(route) {
            self.routes.retain(|_, observed| {
                now.saturating_duration_since(observed.window_start) < ROUTE_RETENTION
            });
        }
        let observed = self.routes.entry(route.clone()).or_insert(RoutePatience {
            window_start: now,
            longest: patience,
            previous: patience,
        });
        if now.saturating_duration_since(observed.window_start) >= PATIENCE_WINDOW {
            observed.previous = observed.longest;
            observed.longest = patience;
            observed.window_start = now;
        }
        observed.longest = observed.longest.max(patience);
        let longest = observed.longest.max(observed.previous);
        patience < longest.mul_f64(RETURNED_SHARE)
    }
}
