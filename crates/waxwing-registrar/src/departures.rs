//! The departures of endpoints that control hosts have acknowledged. They are part of the replicated
//! log, so that a late notice can't bring an endpoint back after all processes were lost.
//! `docs/design.md` lists them among the facts that outlive a process.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
};

use prost::Message;
use smol_str::SmolStr;
use waxwing_wire::messages;

/// The number of endpoints whose last departure is kept. It exceeds the largest fleet, so that the
/// departures of a release that replaces every endpoint are all kept, and a notice that is late by
/// the length of such a release is still recognized.
pub const MAX_DEPARTURES: usize = 4_096;

/// The departures that the replicated log holds, as entries and snapshots store them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DepartureList {
    /// The departures, the oldest first.
    #[prost(message, repeated, tag = "3")]
    pub departures: Vec<messages::EndpointDeparture>,
}

/// The last departure of each endpoint. Only the newest [`MAX_DEPARTURES`] are kept; which ones
/// follows from the order of the log alone, so that all replicas agree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DepartureLedger {
    /// The start time of the last life that has left, in Unix milliseconds, by endpoint id.
    born: HashMap<SmolStr, u64>,
    /// The ids in the order of their last departures.
    order: VecDeque<SmolStr>,
}

impl DepartureLedger {
    /// Records a departure; returns whether it was new.
    pub fn record(&mut self, departure: &messages::EndpointDeparture) -> bool {
        let id = SmolStr::new(&departure.id);
        if self.covers(&id, Some(departure.born)) {
            return false;
        }
        if self.born.insert(id.clone(), departure.born).is_some() {
            self.order.retain(|known| *known != id);
        }
        self.order.push_back(id);
        while self.order.len() > MAX_DEPARTURES {
            if let Some(oldest) = self.order.pop_front() {
                self.born.remove(&oldest);
            }
        }
        true
    }

    /// Tells whether the life of an endpoint that began at `born` has left. One whose start time is not
    /// known counts as the earliest.
    #[must_use]
    pub fn covers(&self, id: &str, born: Option<u64>) -> bool {
        self.last_born(id).is_some_and(|left| born <= Some(left))
    }

    /// Returns the start time of the last life of an endpoint that has left, in Unix milliseconds.
    #[must_use]
    pub fn last_born(&self, id: &str) -> Option<u64> {
        self.born.get(id).copied()
    }

    /// Returns the newest `count` departures, the oldest of them first.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = messages::EndpointDeparture> {
        let skipped = self.order.len().saturating_sub(count);
        let ids = self.order.iter().skip(skipped);
        ids.map(|id| messages::EndpointDeparture {
            id: id.to_string(),
            born: self.born.get(id).copied().unwrap_or_default(),
        })
    }

    /// Returns all departures, the oldest first.
    #[must_use]
    pub fn to_list(&self) -> DepartureList {
        DepartureList {
            departures: self.newest(MAX_DEPARTURES).collect(),
        }
    }

    /// Records all departures of a list.
    pub fn extend(&mut self, list: &DepartureList) {
        for departure in &list.departures {
            self.record(departure);
        }
    }
}

/// The linked control hosts that may lack departures. The leader tells them all of these after the next
/// confirmation by a quorum; the other hosts keep the list for when they lead.
#[derive(Debug, Default)]
pub struct UninformedHosts {
    linked: HashSet<SocketAddr>,
    uninformed: HashSet<SocketAddr>,
}

impl UninformedHosts {
    /// Adds a host whose link has opened. It may have started again.
    pub fn link_opened(&mut self, host: SocketAddr) {
        self.linked.insert(host);
        self.uninformed.insert(host);
    }

    /// Removes a host that has no link left. It is added again with its next link, so that the list
    /// doesn't grow with each host that is replaced.
    pub fn link_closed(&mut self, host: SocketAddr) {
        self.linked.remove(&host);
        self.uninformed.remove(&host);
    }

    /// Adds all linked hosts, since an earlier leader may have told them too little.
    pub fn add_linked(&mut self) {
        self.uninformed.extend(&self.linked);
    }

    /// Takes the hosts to tell.
    pub fn take(&mut self) -> HashSet<SocketAddr> {
        std::mem::take(&mut self.uninformed)
    }

    /// Puts hosts back that were not told, unless their links have closed meanwhile.
    pub fn put_back(&mut self, hosts: &HashSet<SocketAddr>) {
        self.uninformed.extend(hosts.intersection(&self.linked));
    }

    /// Returns the number of hosts on the list.
    #[must_use]
    pub fn len(&self) -> usize {
        self.uninformed.len()
    }

    /// Returns whether no host is on the list.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.uninformed.is_empty()
    }
}
