//! What became of the requests of this entry, kept for a while for `GET /v1/requests/{id}`.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use waxwing_core::ids;

use crate::problems;

/// Records that are kept at most.
const MAX_RECORDS: usize = 16_384;

/// The longest answer that is kept, in bytes; as much as a claim stores.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The bytes of all kept answers at most.
const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// A `KeptAnswer` is a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// The status.
    pub status: StatusCode,
    /// The content type.
    pub content_type: Option<hyper::header::HeaderValue>,
    /// The body; `None` if it is longer than [`MAX_ANSWER_BYTES`].
    pub body: Option<Bytes>,
}

/// A `RecordState` tells what became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordState {
    /// It waits or runs.
    Running,
    /// It was answered whole.
    Complete(KeptAnswer),
    /// It was refused or broken off.
    Refused(problems::ProblemBody),
}

#[derive(Debug)]
struct RequestRecord {
    account: ids::AccountName,
    state: RecordState,
}

impl RequestRecord {
    fn kept_bytes(&self) -> usize {
        match &self.state {
            RecordState::Complete(answer) => answer.body.as_ref().map_or(0, Bytes::len),
            _ => 0,
        }
    }
}

/// A `RecordTable` holds the records, the oldest first out.
#[derive(Debug, Default)]
pub struct RecordTable {
    records: HashMap<ids::RequestId, RequestRecord>,
    order: VecDeque<ids::RequestId>,
    kept_bytes: usize,
}

impl RecordTable {
    /// Adds a request that runs.
    pub fn begin(&mut self, request: ids::RequestId, account: ids::AccountName) {
        let state = RecordState::Running;
        self.records
            .insert(request, RequestRecord { account, state });
        self.order.push_back(request);
        self.shrink();
    }

    /// Notes how a request ended.
    pub fn end(&mut self, request: ids::RequestId, state: RecordState) {
        if let Some(record) = self.records.get_mut(&request) {
            record.state = state;
            self.kept_bytes += record.kept_bytes();
            self.shrink();
        }
    }

    /// Finds a request of an account.
    #[must_use]
    pub fn find(
        &self,
        request: ids::RequestId,
        account: &ids::AccountName,
    ) -> Option<&RecordState> {
        let record = self.records.get(&request)?;
        (record.account == *account).then_some(&record.state)
    }

    fn shrink(&mut self) {
        while self.order.len() > MAX_RECORDS || self.kept_bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(record) = self.records.remove(&oldest) {
                self.kept_bytes = self.kept_bytes.saturating_sub(record.kept_bytes());
            }
        }
    }
}

/// An `AnswerCopy` collects an answer for its record, up to the limit.
#[derive(Debug, Default)]
pub struct AnswerCopy {
    bytes: BytesMut,
    too_long: bool,
}

impl AnswerCopy {
    /// Adds bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.too_long |= self.bytes.len() + data.len() > MAX_ANSWER_BYTES;
        if self.too_long {
            self.bytes = BytesMut::new();
        } else {
            self.bytes.extend_from_slice(data);
        }
    }

    /// Returns the whole answer, unless it was too long.
    pub fn take(&mut self) -> Option<Bytes> {
        (!self.too_long).then(|| self.bytes.split().freeze())
    }
}
