//! How long the callers of a route wait, and which of them have been refused before.
//!
//! Nothing in a request tells that its caller was refused before, but that it has less time left
//! than others have. Timeouts of routes don't tell how much others have: operators change them
//! while callers keep their own deadlines, and callers of one route differ in them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

/// The share of the longest patience below which a caller counts as returned. Callers of a route
/// differ by 15 in 100, and a refused one is asked to let a fifth of its time pass at least.
const RETURNED_SHARE: f64 = 0.82;

/// Time after which a longest patience is replaced by that of the window that has just ended;
/// several seconds hold many callers of a busy route.
const PATIENCE_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a route without callers is forgotten; routes come and go with deployments.
const RETENTION: Duration = Duration::from_secs(60);

/// A `RoutePatience` is the longest patience among the callers of a route.
#[derive(Debug, Clone, Copy)]
struct RoutePatience {
    /// When the present window began.
    since: Instant,
    /// The longest one of the present window.
    longest: Duration,
    /// The longest one of the window before.
    former: Duration,
}

/// A `PatienceTable` is what is known of the patience of callers, by route.
#[derive(Debug, Default)]
pub struct PatienceTable {
    routes: HashMap<SmolStr, RoutePatience>,
}

impl PatienceTable {
    /// Takes the time that a caller gives a new request, and tells whether it has probably been
    /// refused before.
    pub fn observe(&mut self, now: Instant, route: &SmolStr, patience: Duration) -> bool {
        if !self.routes.contains_key(route) {
            self.routes
                .retain(|_, known| now.saturating_duration_since(known.since) < RETENTION);
        }
        let known = self.routes.entry(route.clone()).or_insert(RoutePatience {
            since: now,
            longest: patience,
            former: patience,
        });
        if now.saturating_duration_since(known.since) >= PATIENCE_WINDOW {
            known.former = known.longest;
            known.longest = patience;
            known.since = now;
        }
        known.longest = known.longest.max(patience);
        let longest = known.longest.max(known.former);
        patience < longest.mul_f64(RETURNED_SHARE)
    }
}
