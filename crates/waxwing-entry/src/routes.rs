//! Dispatches agent messages to the event queues of the requests that they concern.

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

/// Number of shards of the table, each with its own lock to reduce contention between cores.
const SHARD_COUNT: usize = 16;

/// Sender of a request's event queue. The queue can be unbounded, since an agent sends at most 256
/// KiB without acknowledgement.
pub type EventSender = mpsc::UnboundedSender<request_core::CoreEvent>;

type RouteShard = HashMap<ids::RequestId, Vec<(u64, EventSender)>>;

#[derive(Debug, Default)]
struct RouteState {
    shards: [Mutex<RouteShard>; SHARD_COUNT],
    next_token: AtomicU64,
}

/// Event queues of the requests in flight, by request id.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    state: Arc<RouteState>,
}

/// Registration of one event queue, removed on drop.
#[derive(Debug)]
pub struct RouteGuard {
    state: Arc<RouteState>,
    request: ids::RequestId,
    token: u64,
}

impl RouteState {
    fn shard(&self, request: ids::RequestId) -> MutexGuard<'_, RouteShard> {
        // Request ids are random, so their low bits are evenly distributed.
        let index = (request.0 % SHARD_COUNT as u128) as usize;
        lock(&self.shards[index])
    }
}

/// Locks a mutex and ignores poisoning: no critical section leaves its data inconsistent if it
/// panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouteTable {
    /// Registers a queue for the events of `request`; several queues may be registered for one
    /// request.
    #[must_use]
    pub fn register(&self, request: ids::RequestId, sender: EventSender) -> RouteGuard {
        let token = self.state.next_token.fetch_add(1, Ordering::Relaxed);
        let mut shard = self.state.shard(request);
        shard.entry(request).or_default().push((token, sender));
        RouteGuard {
            state: self.state.clone(),
            request,
            token,
        }
    }

    /// Sends an event to all queues registered for `request`; returns `false` if there is none or
    /// the newest one is closed.
    pub fn send(&self, request: ids::RequestId, event: request_core::CoreEvent) -> bool {
        let shard = self.state.shard(request);
        let Some(((_, newest), older)) = shard.get(&request).and_then(|list| list.split_last())
        else {
            return false;
        };
        for (_, sender) in older {
            // The queue is closed if its request has just ended.
            let _ = sender.send(event.clone());
        }
        newest.send(event).is_ok()
    }

    /// Returns whether a queue is registered for `request`.
    #[must_use]
    pub fn contains(&self, request: ids::RequestId) -> bool {
        self.state.shard(request).contains_key(&request)
    }

    /// Sends an event to every registered queue.
    pub fn broadcast(&self, event: &request_core::CoreEvent) {
        for shard in &self.state.shards {
            for (_, sender) in lock(shard).values().flatten() {
                let _ = sender.send(event.clone());
            }
        }
    }

    /// Returns the number of requests with a registered queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.state
            .shards
            .iter()
            .map(|shard| lock(shard).len())
            .sum()
    }

    /// Returns whether no queue is registered.
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
