//! Routes from messages of agents to the requests that they concern.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::mpsc;
use waxwing_core::ids;

use crate::request_core;

/// Parts of the table with a lock each, so that requests on different cores rarely meet.
const SHARD_COUNT: usize = 16;

/// The queue of events of one request. It needs no bound of its own, since an agent sends at most
/// 256 KiB that are not acknowledged.
pub type EventSender = mpsc::UnboundedSender<request_core::CoreEvent>;

type RouteShard = HashMap<ids::RequestId, Vec<(u64, EventSender)>>;

#[derive(Debug, Default)]
struct RouteState {
    shards: [Mutex<RouteShard>; SHARD_COUNT],
    tokens: AtomicU64,
}

/// A `RouteTable` finds the requests of this entry by their id.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    state: Arc<RouteState>,
}

/// A `RouteGuard` is one route; dropping it ends the route.
#[derive(Debug)]
pub struct RouteGuard {
    state: Arc<RouteState>,
    request: ids::RequestId,
    token: u64,
}

impl RouteState {
    fn shard(&self, request: ids::RequestId) -> MutexGuard<'_, RouteShard> {
        // Request ids are random, so their low bits spread evenly.
        let place = (request.0 % SHARD_COUNT as u128) as usize;
        lock(&self.shards[place])
    }
}

/// Locks a mutex. The data stay usable after a panic of another holder, since no holder leaves them
/// half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouteTable {
    /// Adds a route for the messages of a request; several requests may follow one.
    #[must_use]
    pub fn open(&self, request: ids::RequestId, sender: EventSender) -> RouteGuard {
        let token = self.state.tokens.fetch_add(1, Ordering::Relaxed);
        let mut shard = self.state.shard(request);
        shard.entry(request).or_default().push((token, sender));
        RouteGuard {
            state: self.state.clone(),
            request,
            token,
        }
    }

    /// Passes an event to the requests that follow `request`; tells whether there is one.
    pub fn send(&self, request: ids::RequestId, event: request_core::CoreEvent) -> bool {
        let shard = self.state.shard(request);
        let Some(((_, last), others)) = shard.get(&request).and_then(|list| list.split_last())
        else {
            return false;
        };
        for (_, sender) in others {
            // A closed queue belongs to a request that has just ended.
            let _ = sender.send(event.clone());
        }
        last.send(event).is_ok()
    }

    /// Tells whether a request has a route.
    #[must_use]
    pub fn contains(&self, request: ids::RequestId) -> bool {
        self.state.shard(request).contains_key(&request)
    }

    /// Passes an event to every request.
    pub fn broadcast(&self, event: &request_core::CoreEvent) {
        for shard in &self.state.shards {
            for (_, sender) in lock(shard).values().flatten() {
                let _ = sender.send(event.clone());
            }
        }
    }

    /// Returns the number of requests with a route.
    #[must_use]
    pub fn len(&self) -> usize {
        self.state
            .shards
            .iter()
            .map(|shard| lock(shard).len())
            .sum()
    }

    /// Tells whether no request has a route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Drop for RouteGuard {
    fn drop(&mut self) {
        let mut shard = self.state.shard(self.request);
        if let Some(list) = shard.get_mut(&self.request) {
            list.retain(|(token, _)| *token != self.token);
            if list.is_empty() {
                shard.remove(&self.request);
            }
        }
    }
}
