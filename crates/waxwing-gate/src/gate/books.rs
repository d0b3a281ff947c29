//! Books: what entries tell each other about their runs, their quotas and their demand.

use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

use smol_str::SmolStr;
use waxwing_wire::messages;

use super::GateCore;
use crate::{endpoints, shares};

impl GateCore {
    /// Takes the book of another entry.
    pub fn observe_book(&mut self, now: Instant, peer: SocketAddr, book: messages::EntryBook) {
        for used in book.endpoints {
            if let Some(view) = self.endpoints.get_mut(used.id.as_str()) {
                let other = endpoints::EndpointUse {
                    running: used.running,
                    pending_prefill: used.pending_prefill,
                };
                match used.running {
                    0 => view.others.remove(&peer),
                    _ => view.others.insert(peer, other),
                };
            }
        }
        self.lost_peers.remove(&peer);
        for demand in book.demands {
            let demands = self
                .demands
                .entry(SmolStr::new(&demand.service))
                .or_default();
            demands.insert(peer, shares::PeerDemand { demand, told: now });
        }
        let first = !self.peers.contains_key(&peer);
        if first && !book.whole {
            // Sums without the base that the first book gives say nothing.
            return;
        }
        let known = self.peers.entry(peer).or_default();
        for used in book.accounts {
            let account = SmolStr::new(&used.name);
            // What a peer had admitted before it was first heard lies in the past.
            let base = if first { used.admitted } else { 0 };
            let former = known.accounts.insert(account.clone(), used.admitted);
            let former = former.unwrap_or(base);
            let cost = endpoints::to_float(used.admitted) - endpoints::to_float(former);
            self.quotas.observe(now, &account, cost);
        }
    }

    /// Forgets what an entry that can't be reached had under way.
    pub fn forget_peer(&mut self, now: Instant, peer: SocketAddr) {
        self.peers.remove(&peer);
        self.lost_peers.insert(peer, now);
        for demands in self.demands.values_mut() {
            demands.remove(&peer);
        }
        for view in self.endpoints.values_mut() {
            view.others.remove(&peer);
        }
    }

    /// Returns what changed since the last book, or everything.
    pub fn take_book(&mut self, now: Instant, all: bool) -> messages::EntryBook {
        self.demand_changed = false;
        let changed = std::mem::take(&mut self.changed);
        let ids: Vec<_> = match all {
            true => self.endpoints.keys().cloned().collect(),
            false => changed,
        };
        let endpoints = ids.into_iter().map(|id| {
            let own = self.endpoints.get(&id).map(|view| view.own);
            let own = own.unwrap_or_default();
            messages::EndpointUse {
                id: id.to_string(),
                running: own.running,
                pending_prefill: own.pending_prefill,
            }
        });
        let endpoints = endpoints.collect();
        let changed = self.quotas.take_changes();
        let accounts = if all { self.quotas.all() } else { changed };
        let account = |(name, admitted): (SmolStr, u64)| messages::AccountUse {
            name: name.to_string(),
            admitted,
        };
        messages::EntryBook {
            endpoints,
            accounts: accounts.into_iter().map(account).collect(),
            whole: all,
            demands: self.own_demands(now),
        }
    }

    fn own_demands(&self, now: Instant) -> Vec<messages::ServiceDemand> {
        let demands = self.recent.iter().map(|(service, recent)| {
            let queue = self.queues.get(service);
            let waiting = queue.map_or(0, BTreeSet::len);
            let first = queue.and_then(|queue| queue.iter().next());
            let (account_rank, route_rank) = first.map_or((0, 0), |place| place.rank);
            messages::ServiceDemand {
                service: service.to_string(),
                recent_thousandths: recent.thousandths(now),
                running: self.own_running(service),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                account_rank,
                route_rank,
            }
        });
        demands.collect()
    }

    pub(super) fn own_running(&self, service: &SmolStr) -> u32 {
        let views = self.endpoints.values();
        let views = views.filter(|view| view.service == *service);
        views.map(|view| view.own.running).sum()
    }

    /// Tells whether there is something for the next book.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.demand_changed || !self.changed.is_empty()
    }

    pub(super) fn note_change(&mut self, id: &SmolStr) {
        if !self.changed.contains(id) {
            self.changed.push(id.clone());
        }
    }

    /// Returns the number of entries whose books arrive, this one included, and of all entries
    /// that may be running.
    pub(super) fn entries(&mut self, now: Instant) -> (u32, u32) {
        let retention = self.options.lost_peer_retention;
        self.lost_peers
            .retain(|_, lost| now.saturating_duration_since(*lost) < retention);
        let reached = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let lost = u32::try_from(self.lost_peers.len()).unwrap_or(u32::MAX);
        (reached, reached.saturating_add(lost))
    }
}
