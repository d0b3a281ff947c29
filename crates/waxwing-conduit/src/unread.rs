//! Memory of stream events that callers have not read yet.
//!
//! A caller may read slowly, or not at all. Its events are then held here, so that its endpoint can
//! finish the run, but all streams together may hold only a part of the memory. The streams share
//! it: each one may hold as much as is still free, so that a few slow callers get much room and many
//! get little each. One chunk of each stream is always let through, or the stream could not go on.
//! `docs/design/memory.md` has the alternatives.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use tokio::sync;

/// Most bytes that one stream may hold; longer than nearly all streams.
const MAX_STREAM_BYTES: usize = 256 * 1024;

/// The memory for all unread events of a process; clones share it.
#[derive(Debug, Clone)]
pub struct UnreadBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl UnreadBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the room for the events of one stream.
    #[must_use]
    pub fn stream_room(&self) -> StreamRoom {
        StreamRoom {
            budget: self.clone(),
            held: Arc::default(),
            released: Arc::default(),
        }
    }
}

/// The room for the unread events of one stream.
#[derive(Debug, Clone)]
pub struct StreamRoom {
    budget: UnreadBudget,
    /// Bytes of this stream that are held.
    held: Arc<AtomicUsize>,
    released: Arc<sync::Notify>,
}

impl StreamRoom {
    /// Holds events if there is room for them.
    ///
    /// # Errors
    /// Returns the events if there is none.
    pub fn try_hold(&self, events: Bytes) -> Result<HeldEvents, Bytes> {
        let held = self.held.load(Ordering::Relaxed);
        let after = held + events.len();
        let free = self.budget.limit.saturating_sub(self.budget.used());
        if held > 0 && after > free.min(MAX_STREAM_BYTES) {
            return Err(events);
        }
        self.held.fetch_add(events.len(), Ordering::Relaxed);
        self.budget.used.fetch_add(events.len(), Ordering::Relaxed);
        Ok(HeldEvents {
            bytes: events,
            room: self.clone(),
        })
    }

    /// Holds events once there is room for them. Only events of this stream make room for it: without
    /// any, there always is room.
    pub async fn hold(&self, events: Bytes) -> HeldEvents {
        let mut events = events;
        loop {
            let released = self.released.notified();
            events = match self.try_hold(events) {
                Ok(held) => return held,
                Err(events) => events,
            };
            released.await;
        }
    }
}

/// Events that their caller has not read yet. Their bytes return to the budget when this is dropped.
#[derive(Debug)]
pub struct HeldEvents {
    bytes: Bytes,
    room: StreamRoom,
}

impl HeldEvents {
    /// Returns the bytes, which are held until all clones of them are dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldEvents {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldEvents {
    fn drop(&mut self) {
        let length = self.bytes.len();
        self.room.held.fetch_sub(length, Ordering::Relaxed);
        self.room.budget.used.fetch_sub(length, Ordering::Relaxed);
        self.room.released.notify_one();
    }
}
