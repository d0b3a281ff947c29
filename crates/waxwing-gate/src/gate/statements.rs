//! What endpoints state about themselves in their answers, and what follows for the requests that
//! they get.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_wire::messages;

use super::GateCore;
use crate::{endpoints::to_float, limits};

/// Scale of limits in messages.
const THOUSANDTHS: f64 = 1_000.0;

/// Returns a limit as load updates carry it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and limits are not negative"
)]
fn to_thousandths(limit: units::RequestRate) -> u64 {
    (limit.0 * THOUSANDTHS).round() as u64
}

fn from_thousandths(thousandths: u64) -> units::RequestRate {
    units::RequestRate(to_float(thousandths) / THOUSANDTHS)
}

/// A change of what an endpoint states, for the decision log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// Id of the endpoint.
    pub endpoint: SmolStr,
    /// The limit that is in force from now on; `None` if there is none.
    pub limit: Option<units::RequestRate>,
}

impl GateCore {
    /// Records what an answer stated of the endpoint's limit; `sent` is when its request was sent.
    pub fn record_limit(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        limit: Option<units::RequestRate>,
        sent: Instant,
    ) {
        let at = if limit.is_some() { now } else { sent };
        // All entries must hold the same value, or each would tell the others its own.
        let limit = limit.map(|limit| from_thousandths(to_thousandths(limit)));
        self.observe_limit(endpoint, limits::LimitStatement { limit, at });
    }

    /// Records that an endpoint stated that it leaves; it gets no further requests. Returns whether
    /// that is new.
    pub fn record_leaving(&mut self, endpoint: &SmolStr) -> bool {
        let view = self.endpoints.get_mut(endpoint);
        view.is_some_and(|view| !std::mem::replace(&mut view.leaving, true))
    }

    /// Records that an endpoint refused a request and wants none from this entry for `time`.
    pub fn record_pause(&mut self, now: Instant, endpoint: &SmolStr, time: Duration) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.pause(now, time);
        }
    }

    /// Takes what another entry knows of an endpoint's limit.
    pub(super) fn apply_limit(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        stated: messages::LimitStatement,
    ) {
        let born = self.endpoints.get(endpoint).map(|view| view.born);
        if born != Some(stated.born) {
            // One of the two entries hasn't learnt yet that the endpoint has started again.
            return;
        }
        let age = Duration::from_millis(stated.age_millis);
        let statement = limits::LimitStatement {
            limit: stated.thousandths.map(from_thousandths),
            at: now.checked_sub(age).unwrap_or(now),
        };
        self.observe_limit(endpoint, statement);
    }

    fn observe_limit(&mut self, endpoint: &SmolStr, statement: limits::LimitStatement) {
        let Some(view) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let before = view.limit.limit();
        let tells_others = view.limit.observe(statement);
        let limit = view.limit.limit();
        if limit != before {
            self.limit_changes.push(LimitChange {
                endpoint: endpoint.clone(),
                limit,
            });
        }
        if tells_others {
            self.mark_changed(endpoint);
        }
    }

    /// Returns the limits that have changed since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limit_changes)
    }

    /// Returns an endpoint's limit for a load update; `None` if it has never named one.
    pub(super) fn limit_message(
        &self,
        now: Instant,
        endpoint: &SmolStr,
    ) -> Option<messages::LimitStatement> {
        let view = self.endpoints.get(endpoint)?;
        let statement = view.limit.statement()?;
        let age = now.saturating_duration_since(statement.at);
        Some(messages::LimitStatement {
            thousandths: statement.limit.map(to_thousandths),
            age_millis: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            born: view.born,
        })
    }

    /// Brings this entry's parts of the limits of a service's endpoints up to date.
    pub(super) fn refill_limits(&mut self, now: Instant, service: &SmolStr) {
        let own = self.options.address;
        let retention = self.options.lost_peer_retention;
        let (peers, lost_peers) = (&self.peers, &self.lost_peers);
        // Entries that may still be running keep their parts.
        let other_entries = || -> Vec<SocketAddr> {
            let lost = lost_peers
                .iter()
                .filter(|(_, lost)| now.saturating_duration_since(lost.since) < retention);
            let lost = lost.map(|(address, _)| *address);
            peers.keys().copied().chain(lost).collect()
        };
        let mut others = None;
        for view in self.endpoints.values_mut() {
            if view.limit.limit().is_none() || view.service != *service {
                continue;
            }
            let others = others.get_or_insert_with(other_entries);
            let id = &view.id;
            view.limit
                .refill(now, |limit| limits::entry_share(limit, own, others, id));
        }
    }
}
