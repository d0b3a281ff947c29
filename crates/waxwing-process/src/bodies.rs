//! Reading of HTTP bodies into memory, within a limit for each body and a budget for all bodies of
//! the process, so that peers that send bytes without end can't use up its memory.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;

/// Size up to which a body doesn't count towards the budget. Bodies of this size are always read, so
/// that peers which use up the budget don't affect ordinary calls.
pub const UNBUDGETED_BYTES: usize = 16 * 1024;

/// Limit on the read buffer of an HTTP connection, and with it on the head of a message, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// The connection broke, or the body was malformed.
    #[error("the body broke off: {0}")]
    Broken(E),
    /// The body is longer than its limit.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The bodies that are being read leave no memory for this one.
    #[error("no memory is left for the body")]
    OutOfMemory,
}

/// The memory that the bodies of a process may use together; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl MemoryBudget {
    /// Creates a budget of a share of a process's memory in megabytes.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a negative or huge size is meaningless, so clamping loses nothing"
    )]
    pub fn of_memory(megabytes: f64, share: f64) -> Self {
        Self::new((megabytes.max(0.0) * share * 1024.0 * 1024.0) as usize)
    }

    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Returns the number of bytes that are in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                let total = used.checked_add(bytes)?;
                (total <= self.limit).then_some(total)
            });
        taken.is_ok()
    }

    /// Reads a body of at most `max_bytes`. Its memory returns to the budget once all clones of the
    /// returned bytes are dropped.
    ///
    /// # Errors
    /// Fails if the body breaks off, is too long, or would exceed the budget.
    pub async fn read<B>(&self, body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
    where
        B: body::Body<Data = Bytes>,
    {
        let expected = body.size_hint().exact();
        let expected = expected.map_or(usize::MAX, |bytes| {
            usize::try_from(bytes).unwrap_or(usize::MAX)
        });
        let mut body = pin!(body);
        let mut buffer = BodyBuffer {
            bytes: Vec::new(),
            charged: 0,
            budget: self.clone(),
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if data.len() > max_bytes - buffer.bytes.len() {
                return Err(BodyError::TooLong(max_bytes));
            }
            if !buffer.add(&data, max_bytes.min(expected)) {
                return Err(BodyError::OutOfMemory);
            }
        }
        Ok(Bytes::from_owner(buffer))
    }
}

/// The bytes of a body, with their part of the budget.
#[derive(Debug)]
struct BodyBuffer {
    bytes: Vec<u8>,
    charged: usize,
    budget: MemoryBudget,
}

impl BodyBuffer {
    /// Adds bytes, unless the budget has no room for them; `max_bytes` is the length that the body
    /// can have. The buffer grows by doubling, or by what is needed where there is no room for that.
    fn add(&mut self, data: &[u8], max_bytes: usize) -> bool {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).min(max_bytes);
            let preferred = length.max(doubled);
            let Some(capacity) = [preferred, length]
                .into_iter()
                .find(|capacity| self.charge(*capacity))
            else {
                return false;
            };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Takes a capacity from the budget in place of the present one; returns whether there is room.
    fn charge(&mut self, capacity: usize) -> bool {
        if capacity <= UNBUDGETED_BYTES {
            return true;
        }
        let charged = self.budget.take(capacity - self.charged);
        if charged {
            self.charged = capacity;
        }
        charged
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.charged, Ordering::Relaxed);
    }
}
