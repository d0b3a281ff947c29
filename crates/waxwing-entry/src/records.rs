//! States of recent requests of this entry, for `GET /v1/requests/{id}`.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use waxwing_core::ids;

use crate::problems;

/// Maximum number of records.
const MAX_RECORDS: usize = 16_384;

/// Maximum size of a stored answer in bytes; the same as for a result stored with a claim.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Maximum total size of stored answers in bytes.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The content type, if the endpoint sent one.
    pub content_type: Option<hyper::header::HeaderValue>,
    /// The body; `None` if it exceeds [`MAX_ANSWER_BYTES`].
    pub body: Option<Bytes>,
}

/// State of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordState {
    /// Waiting or running.
    Running,
    /// Answered completely.
    Complete(StoredAnswer),
    /// Refused, or aborted after a part of the answer.
    Refused(problems::ProblemBody),
}

#[derive(Debug)]
struct RequestRecord {
    account: ids::AccountName,
    state: RecordState,
}

impl RequestRecord {
    fn stored_bytes(&self) -> usize {
        match &self.state {
            RecordState::Complete(answer) => answer.body.as_ref().map_or(0, Bytes::len),
            _ => 0,
        }
    }
}

/// Bounded table of records; evicts the oldest first.
#[derive(Debug, Default)]
pub struct RecordTable {
    records: HashMap<ids::RequestId, RequestRecord>,
    order: VecDeque<ids::RequestId>,
    stored_bytes: usize,
}

impl RecordTable {
    /// Adds a new request in state [`RecordState::Running`].
    pub fn begin(&mut self, request: ids::RequestId, account: ids::AccountName) {
        let state = RecordState::Running;
        self.records
            .insert(request, RequestRecord { account, state });
        self.order.push_back(request);
        self.evict_oldest();
    }

    /// Sets the final state of a request, unless its record was evicted.
    pub fn end(&mut self, request: ids::RequestId, state: RecordState) {
        if let Some(record) = self.records.get_mut(&request) {
            record.state = state;
            self.stored_bytes += record.stored_bytes();
            self.evict_oldest();
        }
    }

    /// Returns the state of a request; `None` if it is unknown or belongs to another account.
    #[must_use]
    pub fn find(
        &self,
        request: ids::RequestId,
        account: &ids::AccountName,
    ) -> Option<&RecordState> {
        let record = self.records.get(&request)?;
        (record.account == *account).then_some(&record.state)
    }

    fn evict_oldest(&mut self) {
        while self.order.len() > MAX_RECORDS || self.stored_bytes > MAX_STORED_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(record) = self.records.remove(&oldest) {
                self.stored_bytes = self.stored_bytes.saturating_sub(record.stored_bytes());
            }
        }
    }
}

/// Collects an answer for its record, up to [`MAX_ANSWER_BYTES`].
#[derive(Debug, Default)]
pub struct AnswerCopy {
    bytes: BytesMut,
    too_long: bool,
}

impl AnswerCopy {
    /// Appends bytes; drops everything once the limit is exceeded.
    pub fn push(&mut self, data: &[u8]) {
        self.too_long |= self.bytes.len() + data.len() > MAX_ANSWER_BYTES;
        if self.too_long {
            self.bytes = BytesMut::new();
        } else {
            self.bytes.extend_from_slice(data);
        }
    }

    /// Returns the answer; `None` if it exceeded the limit.
    pub fn take(&mut self) -> Option<Bytes> {
        (!self.too_long).then(|| self.bytes.split().freeze())
    }
}
