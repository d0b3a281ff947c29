//! When a request leaves its data centre: the shortages that entries see, and what they make of
//! them.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use super::GateCore;
use crate::{endpoints, spillover, tickets};

impl GateCore {
    /// Renews the shortages of the data centres for a service.
    pub(super) fn estimate_shortages(&mut self, now: Instant, service: &SmolStr) {
        if self.options.leaving_price.is_zero() || !self.spillover.is_due(now, service) {
            return;
        }
        let loads = self.data_centre_loads(now, service);
        self.spillover.estimate(now, service, &loads);
    }

    fn data_centre_loads(
        &self,
        now: Instant,
        service: &SmolStr,
    ) -> HashMap<SmolStr, spillover::DataCentreLoad> {
        let mut loads: HashMap<SmolStr, spillover::DataCentreLoad> = HashMap::new();
        for view in self.endpoints.values() {
            if view.service == *service && view.is_usable(now, &self.options) {
                let load = loads.entry(view.data_centre.clone()).or_default();
                load.slots = load.slots.saturating_add(view.slots);
            }
        }
        let queued = self.queues.get(service).map_or(0, BTreeSet::len);
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        let own = loads.entry(self.options.data_centre.clone()).or_default();
        own.requests = self.own_running(service).saturating_add(queued);
        for (address, peer) in self.demands.get(service).into_iter().flatten() {
            // Without a snapshot of the entry its data centre is not known yet.
            let Some(state) = self.peers.get(address) else {
                continue;
            };
            let load = loads.entry(state.data_centre.clone()).or_default();
            let requests = peer.demand.running.saturating_add(peer.demand.waiting);
            load.requests = load.requests.saturating_add(requests);
        }
        loads
    }

    /// Returns what it costs a request to leave for the data centre of an endpoint, as time.
    pub(super) fn leaving_cost(
        &self,
        ticket: &tickets::WaitingTicket,
        prices: spillover::LeavingPrices<'_>,
        view: &endpoints::EndpointView,
    ) -> Duration {
        let price = self.options.leaving_price;
        if price.is_zero() || view.data_centre == self.options.data_centre {
            return Duration::ZERO;
        }
        let objective = ticket.due.saturating_duration_since(ticket.arrival);
        price.part(prices.share(&view.data_centre)).of(objective)
    }
}
