//! Claims on idempotency keys: which process may run the request of a key, and the outcome of that
//! request. A claim is replaced only by compare-and-set on its epoch, so two entries can't both own
//! it.

use std::collections::{BTreeMap, BTreeSet};

use waxwing_core::ids;
use waxwing_wire::messages;

use crate::snapshots;

/// The largest response body stored with a claim, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The largest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// The largest total size of the headers of a stored response, in bytes.
pub const MAX_RESPONSE_HEADER_BYTES: usize = 8 * 1024;

/// The largest total size of stored responses, in bytes. Above it the oldest responses lose their
/// headers and body, and a retry gets the outcome only. This limit and [`MAX_CLAIM_BYTES`] keep a
/// snapshot below the 64 MiB that another host accepts.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The largest total size of claims without their responses, in bytes: about 70,000 claims. Above
/// it new claims are rejected until old ones expire.
pub const MAX_CLAIM_BYTES: usize = 16 * 1024 * 1024;

/// How long claims and their responses are kept, in log time.
#[derive(Debug, Clone, Copy)]
pub struct ClaimRetention {
    /// Retention of a claim in milliseconds.
    pub key_millis: u64,
    /// Retention of a stored response in milliseconds.
    pub response_millis: u64,
}

/// A claim with its expiry times, in milliseconds of log time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoredClaim {
    pub(crate) record: messages::ClaimRecord,
    pub(crate) expires_at: u64,
    pub(crate) response_expires_at: u64,
}

/// The claims of a control group, indexed by key and by expiry.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    claims: BTreeMap<messages::ClaimName, StoredClaim>,
    by_expiry: BTreeSet<(u64, messages::ClaimName)>,
    /// Stored responses by expiry, key and size. The order must depend on the content alone,
    /// because a host that starts from a snapshot has to drop the same responses as all others.
    responses: BTreeSet<(u64, messages::ClaimName, usize)>,
    response_bytes: usize,
    claim_bytes: usize,
}

impl ClaimTable {
    /// Returns the current claim on a key.
    #[must_use]
    pub fn find(&self, name: &messages::ClaimName) -> Option<&messages::ClaimRecord> {
        self.claims.get(name).map(|claim| &claim.record)
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Grants or denies a claim. An existing claim with the same request id, agent and incarnation
    /// is the caller's own, whose response was lost, and is granted again.
    pub(crate) fn claim(
        &mut self,
        now: u64,
        retention: ClaimRetention,
        claim_request: &messages::ClaimKey,
    ) -> Result<messages::ClaimResult, &'static str> {
        let name = claim_request.name.as_ref().ok_or("the claim has no key")?;
        if name.key.is_empty() || name.key.len() > MAX_KEY_BYTES {
            return Err("the key is not 1 to 255 bytes");
        }
        let max_name_bytes = ids::MAX_NAME_BYTES;
        if name.account.len() > max_name_bytes || name.service.len() > max_name_bytes {
            return Err("the account or service name is too long");
        }
        let holder = self.find(name);
        if claim_request.lookup {
            return Ok(messages::ClaimResult {
                granted: false,
                record: holder.cloned(),
            });
        }
        let proposed = claim_request
            .record
            .as_ref()
            .ok_or("the claim has no record")?;
        if proposed.request.len() != 16 || proposed.digest.len() > 64 || proposed.result.is_some() {
            return Err("the record is not that of a new claim");
        }
        if proposed.agent.len() > max_name_bytes || proposed.address.len() > max_name_bytes {
            return Err("the agent's name or address is too long");
        }
        let epoch = match holder {
            Some(holder) if holder.result.is_none() && is_same_attempt(holder, proposed) => {
                return Ok(granted(holder.clone()));
            }
            Some(holder) if holder.result.is_some() || holder.epoch != claim_request.replaces => {
                return Ok(denied(holder.clone()));
            }
            Some(holder) if holder.digest != proposed.digest => return Ok(denied(holder.clone())),
            Some(holder) => holder.epoch + 1,
            // Either there was never a claim, or the one to be replaced has expired; its epoch must
            // not be used again.
            None => claim_request.replaces + 1,
        };
        if self.claim_bytes + claim_size(name, proposed) > MAX_CLAIM_BYTES {
            return Err("there is no room for another claim");
        }
        let record = messages::ClaimRecord {
            epoch,
            ..proposed.clone()
        };
        self.insert(
            name.clone(),
            StoredClaim {
                record: record.clone(),
                expires_at: now.saturating_add(retention.key_millis),
                response_expires_at: 0,
            },
        );
        Ok(granted(record))
    }

    /// Stores the outcome of a claimed request. Does nothing if the claim belongs to another
    /// request or already has an outcome.
    pub(crate) fn complete(
        &mut self,
        now: u64,
        retention: ClaimRetention,
        completion: &messages::CompleteClaim,
    ) {
        let Some(name) = &completion.name else {
            return;
        };
        let Some(claim) = self.claims.get_mut(name) else {
            return;
        };
        if claim.record.request != completion.request || claim.record.result.is_some() {
            return;
        }
        let mut result = completion.result.clone().unwrap_or_default();
        let body = result.body.as_ref().map_or(0, bytes::Bytes::len);
        if body > MAX_RESPONSE_BYTES || header_size(&result) > MAX_RESPONSE_HEADER_BYTES {
            drop_response(&mut result);
        }
        let length = response_size(&result);
        claim.response_expires_at = now.saturating_add(retention.response_millis);
        claim.record.result = Some(result);
        if length > 0 {
            self.responses
                .insert((claim.response_expires_at, name.clone(), length));
            self.response_bytes += length;
        }
        while self.response_bytes > MAX_STORED_RESPONSE_BYTES {
            self.drop_oldest_response();
        }
    }

    /// Removes claims and stored responses that have expired at `now`, in milliseconds of log time.
    pub(crate) fn expire(&mut self, now: u64) {
        while let Some((expires_at, _)) = self.by_expiry.first() {
            if *expires_at > now {
                break;
            }
            if let Some((_, name)) = self.by_expiry.pop_first() {
                self.remove(name);
            }
        }
        while self
            .responses
            .first()
            .is_some_and(|(expiry, _, _)| *expiry <= now)
        {
            self.drop_oldest_response();
        }
    }

    fn remove(&mut self, name: messages::ClaimName) {
        let Some(claim) = self.claims.remove(&name) else {
            return;
        };
        self.claim_bytes -= claim_size(&name, &claim.record);
        let length = claim.record.result.as_ref().map_or(0, response_size);
        if self
            .responses
            .remove(&(claim.response_expires_at, name, length))
        {
            self.response_bytes -= length;
        }
    }

    fn drop_oldest_response(&mut self) {
        let Some((expiry, name, length)) = self.responses.pop_first() else {
            self.response_bytes = 0;
            return;
        };
        self.response_bytes -= length;
        if let Some(claim) = self.claims.get_mut(&name)
            && claim.response_expires_at == expiry
            && let Some(result) = &mut claim.record.result
        {
            drop_response(result);
        }
    }

    fn insert(&mut self, name: messages::ClaimName, claim: StoredClaim) {
        let expires_at = claim.expires_at;
        self.claim_bytes += claim_size(&name, &claim.record);
        if let Some(replaced) = self.claims.insert(name.clone(), claim) {
            self.claim_bytes -= claim_size(&name, &replaced.record);
            self.by_expiry.remove(&(replaced.expires_at, name.clone()));
        }
        self.by_expiry.insert((expires_at, name));
    }

    pub(crate) fn to_snapshot(&self) -> Vec<snapshots::StoredClaim> {
        let stored = |(name, claim): (&messages::ClaimName, &StoredClaim)| snapshots::StoredClaim {
            name: Some(name.clone()),
            record: Some(claim.record.clone()),
            expires_at: claim.expires_at,
            response_expires_at: claim.response_expires_at,
        };
        self.claims.iter().map(stored).collect()
    }

    pub(crate) fn from_snapshot(
        claims: Vec<snapshots::StoredClaim>,
    ) -> Result<Self, snapshots::SnapshotError> {
        let mut table = Self::default();
        for stored in claims {
            let (Some(name), Some(record)) = (stored.name, stored.record) else {
                return Err(snapshots::SnapshotError::Malformed("claim"));
            };
            let length = record.result.as_ref().map_or(0, response_size);
            let response = (stored.response_expires_at, name.clone(), length);
            if length > 0 && table.responses.insert(response) {
                table.response_bytes += length;
            }
            let claim = StoredClaim {
                record,
                expires_at: stored.expires_at,
                response_expires_at: stored.response_expires_at,
            };
            table.insert(name, claim);
        }
        Ok(table)
    }
}

/// Returns the size of a claim without its response; the constant accounts for the fixed-size
/// fields.
fn claim_size(name: &messages::ClaimName, record: &messages::ClaimRecord) -> usize {
    let texts = [
        &name.account,
        &name.service,
        &name.key,
        &record.agent,
        &record.address,
    ];
    let texts: usize = texts.iter().map(|text| text.len()).sum();
    texts + record.request.len() + record.digest.len() + 64
}

fn header_size(result: &messages::ClaimOutcome) -> usize {
    let headers = result.headers.iter();
    headers
        .map(|header| header.name.len() + header.value.len())
        .sum()
}

fn response_size(result: &messages::ClaimOutcome) -> usize {
    header_size(result) + result.body.as_ref().map_or(0, bytes::Bytes::len)
}

/// Drops the headers and body of a response but keeps its outcome.
fn drop_response(result: &mut messages::ClaimOutcome) {
    result.body = None;
    result.headers.clear();
}

fn is_same_attempt(current: &messages::ClaimRecord, proposed: &messages::ClaimRecord) -> bool {
    current.request == proposed.request
        && current.agent == proposed.agent
        && current.incarnation == proposed.incarnation
        && current.digest == proposed.digest
}

fn granted(record: messages::ClaimRecord) -> messages::ClaimResult {
    messages::ClaimResult {
        granted: true,
        record: Some(record),
    }
}

fn denied(record: messages::ClaimRecord) -> messages::ClaimResult {
    messages::ClaimResult {
        granted: false,
        record: Some(record),
    }
}
