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

/// Size up to which a body counts as small. Small bodies have a limit of their own, so that peers
/// which use up the budget of larger ones don't affect ordinary calls.
pub const UNBUDGETED_BYTES: usize = 16 * 1024;

/// The least memory for all small bodies together: some thousand ordinary calls.
const MIN_SMALL_BYTES: usize = 1024 * 1024;

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

/// Bytes in use, of a limit.
#[derive(Debug)]
struct BytePool {
    used: AtomicUsize,
    limit: usize,
}

impl BytePool {
    const fn new(limit: usize) -> Self {
        Self {
            used: AtomicUsize::new(0),
            limit,
        }
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

    fn put_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The memory that the bodies of a process may use together; clones share it. Small bodies have as
/// much memory of their own as larger ones.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    large: Arc<BytePool>,
    small: Arc<BytePool>,
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

    /// Creates a budget of `limit` bytes for large bodies, and as much for small ones.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            large: Arc::new(BytePool::new(limit)),
            small: Arc::new(BytePool::new(limit.max(MIN_SMALL_BYTES))),
        }
    }

    /// Returns the number of bytes that are in use by large bodies.
    #[must_use]
    pub fn used(&self) -> usize {
        self.large.used.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that are in use by small bodies.
    #[must_use]
    pub fn used_by_small(&self) -> usize {
        self.small.used.load(Ordering::Relaxed)
    }

    fn pool(&self, capacity: usize) -> &BytePool {
        match capacity > UNBUDGETED_BYTES {
            true => &self.large,
            false => &self.small,
        }
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
        let budget = self.budget.clone();
        let (before, after) = (budget.pool(self.charged), budget.pool(capacity));
        let charged = match std::ptr::eq(before, after) {
            true => after.take(capacity - self.charged),
            false => {
                let taken = after.take(capacity);
                if taken {
                    before.put_back(self.charged);
                }
                taken
            }
        };
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
        self.budget.pool(self.charged).put_back(self.charged);
    }
}
