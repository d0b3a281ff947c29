//! Load updates between entries: requests in flight at endpoints, units charged to quotas, and
//! demand. A `LoadUpdate` message is either incremental or a snapshot (`whole`).

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_wire::messages;

use super::{GateCore, LostPeer, PeerState};
use crate::{crashes, endpoints, shares};

/// Tolerance when two snapshots are compared to tell whether their sender has restarted: the time
/// that messages take makes its start seem later. A restarted process is back after half a second
/// at the earliest.
const RESTART_TOLERANCE: Duration = Duration::from_millis(400);

/// Time for which the record of a lost entry is kept, which holds the totals that its reports are compared
/// with. Network partitions last seconds, and an entry that is gone for longer was most often replaced.
pub const LOST_PEER_RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Returns the part of a peer's admitted total to count here. A total without a base covers the
/// whole life of the peer, but this entry's buckets start used up, which already covers everything
/// before its own start; so only the overlap of the two lifetimes counts.
///
/// Where both have run for longer than a record is kept, the peer may be one whose record was dropped.
/// Nothing of its total is counted then, since buckets have been refilled after most of it.
fn overlap_share(peer_age: Duration, own_age: Duration) -> f64 {
    if peer_age.min(own_age) > LOST_PEER_RECORD_RETENTION {
        return 0.0;
    }
    let peer_age = peer_age.as_secs_f64().max(f64::MIN_POSITIVE);
    (own_age.as_secs_f64() / peer_age).min(1.0)
}

impl GateCore {
    /// Applies an update from another entry. Returns the prompt parts that are blocked from now on.
    pub fn apply_update(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        update: messages::LoadUpdate,
    ) -> Vec<u64> {
        let mut update = update;
        let crashes = update.crashes.take().unwrap_or_default();
        let blocked = self.crashes.apply_update(now, crashes);
        self.apply_load(now, peer, update);
        blocked
    }

    fn apply_load(&mut self, now: Instant, peer: SocketAddr, update: messages::LoadUpdate) {
        if update.whole {
            // A snapshot leaves out endpoints that the peer doesn't use.
            for view in self.endpoints.values_mut() {
                view.set_peer_use(peer, None);
            }
        }
        for used in update.endpoints {
            if let Some(limit) = used.limit {
                self.apply_limit(now, &SmolStr::new(&used.id), limit);
            }
            if let Some(pace) = used.pace {
                self.apply_pace(now, &SmolStr::new(&used.id), pace);
            }
            if let Some(view) = self.endpoints.get_mut(used.id.as_str()) {
                let other = endpoints::EndpointUse {
                    running: used.running,
                    pending_prefill: used.pending_prefill,
                };
                view.set_peer_use(peer, (used.running > 0).then_some(other));
            }
        }
        for demand in update.demands {
            let demands = self
                .demands
                .entry(SmolStr::new(&demand.service))
                .or_default();
            demands.insert(
                peer,
                shares::PeerDemand {
                    demand,
                    received: now,
                },
            );
        }
        let counted_share = match update.whole {
            true => self.rebase_peer(now, peer, update.age_millis),
            false => 1.0,
        };
        // Without the base from a snapshot, totals can't be turned into increments.
        let Some(state) = self.peers.get_mut(&peer) else {
            return;
        };
        if update.whole {
            state.data_centre = SmolStr::new(&update.data_centre);
        }
        for used in update.accounts {
            let account = SmolStr::new(&used.name);
            let admitted = endpoints::to_float(used.admitted);
            let cost = match state.accounts.insert(account.clone(), used.admitted) {
                Some(previous) => admitted - endpoints::to_float(previous),
                None => admitted * counted_share,
            };
            self.quotas.apply_peer_usage(now, &account, cost);
        }
    }

    /// Prepares for a snapshot of a peer, and returns the part of totals without a base that counts
    /// here. Known totals stay the base, also those from before a lost connection, unless the peer
    /// has restarted. A restart is detected by the reported age even for a peer that counts as
    /// connected, since its new connection may open before the old one is detected as lost.
    fn rebase_peer(&mut self, now: Instant, peer: SocketAddr, age_millis: u64) -> f64 {
        let age = Duration::from_millis(age_millis);
        let start_time = now.checked_sub(age).unwrap_or(now);
        let lost = self.lost_peers.remove(&peer).and_then(|lost| lost.state);
        let previous = self.peers.remove(&peer).or(lost);
        let counted_share = match &previous {
            Some(_) => 1.0,
            None => overlap_share(age, self.quotas.age(now)),
        };
        let same_incarnation =
            previous.filter(|previous| start_time <= previous.start_time + RESTART_TOLERANCE);
        let state = same_incarnation.unwrap_or_else(|| PeerState::new(start_time));
        self.peers.insert(peer, state);
        counted_share
    }

    /// Takes the list of the other entries. Until they are connected, their share of the quotas is
    /// left to them.
    pub fn expect_peers(&mut self, now: Instant, peers: &[SocketAddr]) {
        self.drop_lost_peers(now);
        for peer in peers {
            if !self.peers.contains_key(peer) {
                let lost = self.lost_peers.entry(*peer).or_insert(LostPeer {
                    since: now,
                    state: None,
                });
                lost.since = now;
            }
        }
    }

    /// Drops the usage and demand of an entry whose connection was lost.
    pub fn forget_peer(&mut self, now: Instant, peer: SocketAddr) {
        self.drop_lost_peers(now);
        let state = self.peers.remove(&peer);
        self.lost_peers.insert(peer, LostPeer { since: now, state });
        for demands in self.demands.values_mut() {
            demands.remove(&peer);
        }
        for view in self.endpoints.values_mut() {
            view.set_peer_use(peer, None);
        }
    }

    /// Drops the records of entries that were lost too long ago to come back.
    fn drop_lost_peers(&mut self, now: Instant) {
        self.lost_peers.retain(|_, lost| {
            now.saturating_duration_since(lost.since) <= LOST_PEER_RECORD_RETENTION
        });
    }

    /// Returns the number of other entries of which a record is kept, connected or lost.
    #[must_use]
    pub fn peer_records(&self) -> usize {
        self.peers.len() + self.lost_peers.len()
    }

    /// Returns the changes since the last update, or a snapshot if `snapshot` is set.
    pub fn take_update(&mut self, now: Instant, snapshot: bool) -> messages::LoadUpdate {
        // A snapshot goes to one peer only, so the changes stay pending for the others.
        let ids: Vec<_> = match snapshot {
            true => self.stated_endpoints(now),
            false => {
                // The other entries learn of the released slots with this update.
                self.released.clear();
                std::mem::take(&mut self.changed)
            }
        };
        self.demand_changed &= snapshot;
        let mut endpoints = Vec::with_capacity(ids.len());
        for id in ids {
            let own = self.endpoints.get(&id).map(|view| view.own);
            let own = own.unwrap_or_default();
            endpoints.push(messages::EndpointUse {
                id: id.to_string(),
                running: own.running,
                pending_prefill: own.pending_prefill,
                limit: self.limit_message(now, &id),
                pace: self.take_pace_message(now, &id, snapshot),
            });
        }
        let accounts = match snapshot {
            true => self.quotas.admitted_totals(),
            false => self.quotas.take_changed_totals(),
        };
        let account = |(name, admitted): (SmolStr, u64)| messages::AccountUse {
            name: name.to_string(),
            admitted,
        };
        messages::LoadUpdate {
            endpoints,
            accounts: accounts.into_iter().map(account).collect(),
            whole: snapshot,
            age_millis: u64::try_from(self.quotas.age(now).as_millis()).unwrap_or(u64::MAX),
            demands: self.own_demands(now),
            crashes: Some(self.crashes.take_update(now, snapshot)),
            data_centre: match snapshot {
                true => self.options.data_centre.to_string(),
                false => String::new(),
            },
        }
    }

    /// Returns the endpoints of which a snapshot tells something. After a restart all entries exchange
    /// snapshots, so that one of all endpoints would fill their links for seconds.
    fn stated_endpoints(&self, now: Instant) -> Vec<SmolStr> {
        let stated = self.endpoints.values().filter(|view| {
            let has_use = view.own != endpoints::EndpointUse::default();
            let has_statement =
                view.limit.statement().is_some() || view.pace.current_own(now).is_some();
            has_use || has_statement
        });
        stated.map(|view| view.id.clone()).collect()
    }

    fn own_demands(&self, now: Instant) -> Vec<messages::ServiceDemand> {
        let demands = self.recent.iter().map(|(service, recent)| {
            let queue = self.queues.get(service);
            let waiting = queue.map_or(0, BTreeSet::len);
            let first = queue.and_then(|queue| queue.iter().next());
            let declined = first.and_then(|key| self.waiting.get(&key.ticket)?.declined);
            let (account_rank, route_rank) = first.map_or((0, 0), |key| key.rank);
            messages::ServiceDemand {
                service: service.to_string(),
                recent_thousandths: recent.thousandths(now),
                running: self.own_running(service),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                account_rank,
                route_rank,
                declined_percent: declined.map_or(0, units::HostPace::percent),
            }
        });
        demands.collect()
    }

    pub(super) fn own_running(&self, service: &SmolStr) -> u32 {
        let views = self.endpoints.values();
        let views = views.filter(|view| view.service == *service);
        views.map(|view| view.own.running).sum()
    }

    /// Tells whether there are changes to send to the other entries.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.demand_changed || !self.changed.is_empty() || self.crashes.has_changes()
    }

    /// Tells whether a request whose prompt has these shared parts may be sent. The connected entry
    /// with the lowest address tries blocked parts first.
    #[must_use]
    pub fn decide_parts(&self, now: Instant, parts: &[u64]) -> crashes::PartDecision {
        let own = self.options.address;
        let tries_first = self.peers.keys().all(|peer| own < *peer);
        self.crashes.decide(now, parts, tries_first)
    }

    pub(super) fn mark_changed(&mut self, id: &SmolStr) {
        if !self.changed.contains(id) {
            self.changed.push(id.clone());
        }
    }

    /// Returns the number of connected entries, this one included, and the number of entries that
    /// may be running.
    pub(super) fn entry_counts(&self, now: Instant) -> (u32, u32) {
        let retention = self.options.lost_peer_retention;
        // Their records are kept for longer: the totals are the base for when they reconnect.
        let lost = self
            .lost_peers
            .values()
            .filter(|lost| now.saturating_duration_since(lost.since) < retention);
        let lost = u32::try_from(lost.count()).unwrap_or(u32::MAX);
        let connected = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        (connected, connected.saturating_add(lost))
    }
}
