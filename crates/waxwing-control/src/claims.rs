//! Claims on idempotency keys: who may run the request of a key, and how it ended. A claim is
//! replaced only by compare-and-set on its epoch, so two entries can't both own it.

use std::collections::{BTreeMap, BTreeSet};

use waxwing_core::ids;
use waxwing_wire::messages;

use crate::snapshots;

/// The longest answer that is stored with a claim.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The longest idempotency key.
pub const MAX_KEY_BYTES: usize = 255;

/// The longest headers of a stored answer, all together.
pub const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Bytes of stored answers at most; the oldest lose their body first, and a resend then gets the
/// outcome without the body. This bound and the next keep a snapshot below the 64 MiB that another
/// host accepts.
pub const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of claims at most, about 70,000 of them; further ones are refused until old ones end.
pub const MAX_CLAIM_BYTES: usize = 16 * 1024 * 1024;

/// A `ClaimRetention` is how long claims and answers are kept.
#[derive(Debug, Clone, Copy)]
pub struct ClaimRetention {
    /// Log time of a claim in milliseconds.
    pub key_millis: u64,
    /// Log time of a stored answer in milliseconds.
    pub answer_millis: u64,
}

/// A `StoredClaim` is a claim with its times.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoredClaim {
    pub(crate) record: messages::ClaimRecord,
    pub(crate) expires_at: u64,
    pub(crate) answer_expires_at: u64,
}

/// A `ClaimTable` holds the claims of a group.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    claims: BTreeMap<messages::ClaimName, StoredClaim>,
    expiry: BTreeSet<(u64, messages::ClaimName)>,
    /// Stored bodies by their expiry, key and length. The order must follow from the content, since
    /// a host that starts from a snapshot has to drop the same bodies as all others.
    bodies: BTreeSet<(u64, messages::ClaimName, usize)>,
    body_bytes: usize,
    claim_bytes: usize,
}

impl ClaimTable {
    /// Returns the claim on a key.
    #[must_use]
    pub fn find(&self, name: &messages::ClaimName) -> Option<&messages::ClaimRecord> {
        self.claims.get(name).map(|claim| &claim.record)
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides a claim. A claim that stands with the same request, agent and incarnation is the
    /// asker's own, whose answer was lost.
    pub(crate) fn claim(
        &mut self,
        now: u64,
        retention: ClaimRetention,
        question: &messages::ClaimKey,
    ) -> Result<messages::ClaimResult, &'static str> {
        let name = question.name.as_ref().ok_or("the claim has no key")?;
        if name.key.is_empty() || name.key.len() > MAX_KEY_BYTES {
            return Err("the key is not 1 to 255 bytes");
        }
        let longest = ids::MAX_NAME_BYTES;
        if name.account.len() > longest || name.service.len() > longest {
            return Err("the account or service name is too long");
        }
        let found = self.find(name);
        if question.lookup {
            return Ok(messages::ClaimResult {
                granted: false,
                record: found.cloned(),
            });
        }
        let wanted = question.record.as_ref().ok_or("the claim has no record")?;
        if wanted.request.len() != 16 || wanted.digest.len() > 64 || wanted.result.is_some() {
            return Err("the record is not that of a new claim");
        }
        if wanted.agent.len() > longest || wanted.address.len() > longest {
            return Err("the agent's name or address is too long");
        }
        let epoch = match found {
            Some(found) if found.result.is_none() && is_same_run(found, wanted) => {
                return Ok(granted(found.clone()));
            }
            Some(found) if found.result.is_some() || found.epoch != question.replaces => {
                return Ok(exists(found.clone()));
            }
            Some(found) if found.digest != wanted.digest => return Ok(exists(found.clone())),
            Some(found) => found.epoch + 1,
            // The claim that was to be replaced has expired; a new one stands in its place.
            None => question.replaces + 1,
        };
        if self.claim_bytes + claim_bytes(name, wanted) > MAX_CLAIM_BYTES {
            return Err("there is no room for another claim");
        }
        let record = messages::ClaimRecord {
            epoch,
            ..wanted.clone()
        };
        self.insert(
            name.clone(),
            StoredClaim {
                record: record.clone(),
                expires_at: now.saturating_add(retention.key_millis),
                answer_expires_at: 0,
            },
        );
        Ok(granted(record))
    }

    /// Stores the result of the claim's request; another request's claim stays untouched, and the
    /// first result stays.
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
        if body > MAX_ANSWER_BYTES || header_bytes(&result) > MAX_HEADER_BYTES {
            drop_answer(&mut result);
        }
        let length = answer_bytes(&result);
        claim.answer_expires_at = now.saturating_add(retention.answer_millis);
        claim.record.result = Some(result);
        if length > 0 {
            self.bodies
                .insert((claim.answer_expires_at, name.clone(), length));
            self.body_bytes += length;
        }
        while self.body_bytes > MAX_STORED_BYTES {
            self.drop_oldest_body();
        }
    }

    /// Removes claims and answers whose time has passed.
    pub(crate) fn expire(&mut self, now: u64) {
        while let Some((expires_at, _)) = self.expiry.first() {
            if *expires_at > now {
                break;
            }
            if let Some((_, name)) = self.expiry.pop_first() {
                self.remove(name);
            }
        }
        while self.bodies.first().is_some_and(|(end, _, _)| *end <= now) {
            self.drop_oldest_body();
        }
    }

    fn remove(&mut self, name: messages::ClaimName) {
        let Some(claim) = self.claims.remove(&name) else {
            return;
        };
        self.claim_bytes -= claim_bytes(&name, &claim.record);
        let length = claim.record.result.as_ref().map_or(0, answer_bytes);
        if self.bodies.remove(&(claim.answer_expires_at, name, length)) {
            self.body_bytes -= length;
        }
    }

    fn drop_oldest_body(&mut self) {
        let Some((end, name, length)) = self.bodies.pop_first() else {
            self.body_bytes = 0;
            return;
        };
        self.body_bytes -= length;
        if let Some(claim) = self.claims.get_mut(&name)
            && claim.answer_expires_at == end
            && let Some(result) = &mut claim.record.result
        {
            drop_answer(result);
        }
    }

    fn insert(&mut self, name: messages::ClaimName, claim: StoredClaim) {
        let expires_at = claim.expires_at;
        self.claim_bytes += claim_bytes(&name, &claim.record);
        if let Some(old) = self.claims.insert(name.clone(), claim) {
            self.claim_bytes -= claim_bytes(&name, &old.record);
            self.expiry.remove(&(old.expires_at, name.clone()));
        }
        self.expiry.insert((expires_at, name));
    }

    pub(crate) fn to_snapshot(&self) -> Vec<snapshots::StoredClaim> {
        let stored = |(name, claim): (&messages::ClaimName, &StoredClaim)| snapshots::StoredClaim {
            name: Some(name.clone()),
            record: Some(claim.record.clone()),
            expires_at: claim.expires_at,
            answer_expires_at: claim.answer_expires_at,
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
            let length = record.result.as_ref().map_or(0, answer_bytes);
            let body = (stored.answer_expires_at, name.clone(), length);
            if length > 0 && table.bodies.insert(body) {
                table.body_bytes += length;
            }
            let claim = StoredClaim {
                record,
                expires_at: stored.expires_at,
                answer_expires_at: stored.answer_expires_at,
            };
            table.insert(name, claim);
        }
        Ok(table)
    }
}

/// Counts a claim without its answer; the constant stands for the fields of fixed size.
fn claim_bytes(name: &messages::ClaimName, record: &messages::ClaimRecord) -> usize {
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

fn header_bytes(result: &messages::ClaimOutcome) -> usize {
    let headers = result.headers.iter();
    headers
        .map(|header| header.name.len() + header.value.len())
        .sum()
}

fn answer_bytes(result: &messages::ClaimOutcome) -> usize {
    header_bytes(result) + result.body.as_ref().map_or(0, bytes::Bytes::len)
}

/// Keeps the outcome of an answer and drops its content.
fn drop_answer(result: &mut messages::ClaimOutcome) {
    result.body = None;
    result.headers.clear();
}

fn is_same_run(found: &messages::ClaimRecord, wanted: &messages::ClaimRecord) -> bool {
    found.request == wanted.request
        && found.agent == wanted.agent
        && found.incarnation == wanted.incarnation
        && found.digest == wanted.digest
}

fn granted(record: messages::ClaimRecord) -> messages::ClaimResult {
    messages::ClaimResult {
        granted: true,
        record: Some(record),
    }
}

fn exists(record: messages::ClaimRecord) -> messages::ClaimResult {
    messages::ClaimResult {
        granted: false,
        record: Some(record),
    }
}
