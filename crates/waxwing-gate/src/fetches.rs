//! How an entry obtains deployments: control hosts announce the versions that they hold, and the
//! entry fetches the patch to the newest one, in chunks, from one host at a time.
//!
//! The entry asks again until it holds the newest announced version, so no lost message leaves it
//! behind. A transfer goes on at another host where the first one stopped, and a newer version
//! doesn't interrupt it, so that a series of changes can't starve a slow link.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use waxwing_fleet::patches;
use waxwing_wire::messages;

use crate::shares;

/// Time for which an entry waits for its preferred host to announce a version that another host
/// has announced; followers learn of a commit with the next heartbeat of the log.
const PREFERENCE_DELAY: Duration = Duration::from_millis(150);

/// Time without a chunk after which the transfer goes on at another host. A chunk takes less than a
/// tenth of it on an otherwise idle link of 22 Mbit/s.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(600);

/// A request for a chunk, and the host to send it to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchOrder {
    /// The link address of the control host.
    pub control: SocketAddr,
    /// The request.
    pub fetch: messages::FetchDeployment,
}

/// A deployment document that was received completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedDocument {
    /// The version of the document.
    pub version: u64,
    /// The document as the operator sent it.
    pub body: Bytes,
    /// The number of bytes that were transferred.
    pub patch_bytes: usize,
    /// Whether the patch builds on the version that was held.
    pub is_delta: bool,
    /// The time from the first request to the last chunk.
    pub took: Duration,
}

/// The effect of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkEffect {
    /// The chunk doesn't belong to the current transfer.
    Ignored,
    /// The chunk was added; more are needed.
    Added,
    /// The patch was complete and couldn't be applied; the whole document is fetched instead.
    Damaged,
    /// The document is complete.
    Complete(FetchedDocument),
}

/// The document in force.
#[derive(Debug)]
struct HeldDocument {
    version: u64,
    digest: u64,
    body: Bytes,
}

/// The patch that is being received.
#[derive(Debug)]
struct PatchTransfer {
    control: SocketAddr,
    version: u64,
    /// Properties of the patch, known from its first chunk.
    header: Option<messages::DeploymentChunk>,
    received: BytesMut,
    started: Instant,
    last_progress: Instant,
    /// Whether the next chunk has not been asked for yet.
    asks: bool,
}

impl PatchTransfer {
    fn is_complete(&self) -> bool {
        let header = self.header.as_ref();
        header.is_some_and(|header| header.patch_length == self.received.len() as u64)
    }

    /// Adds a chunk if it is the next one of this patch, or starts over with the first chunk of
    /// another patch from the host that was asked. `held` is the version in force.
    fn add(
        &mut self,
        control: SocketAddr,
        chunk: messages::DeploymentChunk,
        held: Option<u64>,
    ) -> bool {
        let known = self.header.as_ref().map(|header| header.patch_digest);
        let is_next =
            known == Some(chunk.patch_digest) && chunk.offset == self.received.len() as u64;
        let is_other_patch = known != Some(chunk.patch_digest) && Some(chunk.version) > held;
        let restarts = is_other_patch && control == self.control && chunk.offset == 0;
        if !is_next && !restarts {
            return false;
        }
        if !is_next {
            self.received.clear();
            self.version = chunk.version;
        }
        let limit = patches::MAX_DOCUMENT_BYTES as u64;
        let length = self.received.len() + chunk.data.len();
        if chunk.patch_length.min(limit) < length as u64 {
            return false;
        }
        self.received.extend_from_slice(&chunk.data);
        self.header = Some(messages::DeploymentChunk {
            data: Bytes::new(),
            ..chunk
        });
        true
    }
}

/// Decides from which control host an entry fetches which deployment.
#[derive(Debug)]
pub struct DeploymentFetcher {
    own: SocketAddr,
    held: Option<HeldDocument>,
    /// The newest version that each linked control host has announced, if any.
    offers: HashMap<SocketAddr, Option<u64>>,
    /// When a version newer than the held one was first announced.
    newer_since: Option<Instant>,
    /// The newest version that a quorum of the log has confirmed to be the newest.
    confirmed: Option<u64>,
    transfer: Option<PatchTransfer>,
    /// Hosts that stopped sending, in the order in which they did.
    stalled: Vec<SocketAddr>,
    /// Versions that this entry couldn't read.
    unreadable: BTreeSet<u64>,
    /// Whether the next patch must not build on the held document.
    needs_whole: bool,
}

impl DeploymentFetcher {
    /// Builds the fetcher of an entry without a deployment; `own` is its link address.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            held: None,
            offers: HashMap::new(),
            newer_since: None,
            confirmed: None,
            transfer: None,
            stalled: Vec::new(),
            unreadable: BTreeSet::new(),
            needs_whole: false,
        }
    }

    /// Returns the version in force, if there is any.
    #[must_use]
    pub fn held_version(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.version)
    }

    /// Returns whether the document in force was the newest one when a quorum was last asked.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some() && self.held_version() >= self.confirmed
    }

    /// Takes the announcement of a control host.
    pub fn offer(&mut self, now: Instant, control: SocketAddr, offer: messages::DeploymentVersion) {
        self.offers.insert(control, offer.version);
        if offer.confirmed {
            self.confirmed = self.confirmed.max(offer.version);
        }
        if offer.version > self.held_version() {
            self.newer_since.get_or_insert(now);
        }
    }

    /// Drops a control host whose link has ended.
    pub fn forget(&mut self, control: SocketAddr) {
        self.offers.remove(&control);
        self.stalled.retain(|stalled| *stalled != control);
    }

    /// Returns the request to send now, if there is one.
    pub fn next_order(&mut self, now: Instant) -> Option<FetchOrder> {
        self.change_stalled_host(now);
        if self.transfer.is_none() {
            self.start_transfer(now);
        }
        let transfer = self.transfer.as_mut().filter(|transfer| transfer.asks)?;
        transfer.asks = false;
        transfer.last_progress = now;
        let base = self.held.as_ref().filter(|_| !self.needs_whole);
        let header = transfer.header.as_ref();
        Some(FetchOrder {
            control: transfer.control,
            fetch: messages::FetchDeployment {
                version: transfer.version,
                base_version: base.map(|held| held.version),
                base_digest: base.map_or(0, |held| held.digest),
                patch_digest: header.map_or(0, |header| header.patch_digest),
                offset: transfer.received.len() as u64,
            },
        })
    }

    /// Returns the time until [`Self::next_order`] may return a request without further messages;
    /// `None` if only a message can cause one.
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Option<Duration> {
        let due = match &self.transfer {
            Some(transfer) => transfer.last_progress + PROGRESS_TIMEOUT,
            None => {
                self.wanted_version()?;
                self.newer_since? + PREFERENCE_DELAY
            }
        };
        Some(due.saturating_duration_since(now))
    }

    /// Takes a chunk that a control host sent.
    pub fn receive(
        &mut self,
        now: Instant,
        control: SocketAddr,
        chunk: messages::DeploymentChunk,
    ) -> ChunkEffect {
        let held = self.held_version();
        let Some(transfer) = &mut self.transfer else {
            return ChunkEffect::Ignored;
        };
        if !transfer.add(control, chunk, held) {
            return ChunkEffect::Ignored;
        }
        transfer.last_progress = now;
        transfer.asks = true;
        self.stalled.retain(|stalled| *stalled != control);
        if !transfer.is_complete() {
            return ChunkEffect::Added;
        }
        match self.complete(now) {
            Some(document) => ChunkEffect::Complete(document),
            None => {
                self.needs_whole = true;
                ChunkEffect::Damaged
            }
        }
    }

    /// Records the document that is in force from now on.
    pub fn hold(&mut self, now: Instant, version: u64, body: Bytes) {
        self.held = Some(HeldDocument {
            version,
            digest: patches::digest(&body),
            body,
        });
        self.needs_whole = false;
        self.newer_since = self.wanted_version().map(|_| now);
    }

    /// Records that this entry can't read a version, so that it isn't fetched again.
    pub fn refuse(&mut self, version: u64) {
        self.unreadable.insert(version);
    }

    /// Applies the complete patch.
    fn complete(&mut self, now: Instant) -> Option<FetchedDocument> {
        let transfer = self.transfer.take()?;
        let header = transfer.header?;
        let is_delta = header.base_version.is_some();
        let base = match (header.base_version, &self.held) {
            (None, _) => Bytes::new(),
            (Some(base), Some(held)) if base == held.version => held.body.clone(),
            (Some(_), _) => return None,
        };
        let length = usize::try_from(header.length).ok()?;
        let body = patches::apply(&base, &transfer.received, length, header.digest).ok()?;
        Some(FetchedDocument {
            version: header.version,
            body,
            patch_bytes: transfer.received.len(),
            is_delta,
            took: now.saturating_duration_since(transfer.started),
        })
    }

    /// Returns the newest announced version if it is newer than the held one.
    fn wanted_version(&self) -> Option<u64> {
        let held = self.held_version();
        let versions = self.offers.values().copied().flatten();
        versions
            .filter(|version| Some(*version) > held && !self.unreadable.contains(version))
            .max()
    }

    fn start_transfer(&mut self, now: Instant) {
        let Some(version) = self.wanted_version() else {
            return;
        };
        let waited = self
            .newer_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let preferred = self.preferred_host(None);
        let chosen = match waited < PREFERENCE_DELAY {
            true => preferred.filter(|host| self.offers[host] >= Some(version)),
            false => self.preferred_host(Some(version)),
        };
        self.transfer = chosen.map(|control| PatchTransfer {
            control,
            version,
            header: None,
            received: BytesMut::new(),
            started: now,
            last_progress: now,
            asks: true,
        });
    }

    /// Continues a transfer at another host if its host has stopped sending or has gone.
    fn change_stalled_host(&mut self, now: Instant) {
        let Some(transfer) = &self.transfer else {
            return;
        };
        let has_left = !self.offers.contains_key(&transfer.control);
        let idle_time = now.saturating_duration_since(transfer.last_progress);
        if !has_left && idle_time < PROGRESS_TIMEOUT {
            return;
        }
        let (control, version) = (transfer.control, transfer.version);
        if !has_left {
            self.stalled.retain(|stalled| *stalled != control);
            self.stalled.push(control);
        }
        let next = self.preferred_host(Some(version));
        match (next, &mut self.transfer) {
            (Some(next), Some(transfer)) => {
                transfer.control = next;
                transfer.asks = true;
            }
            _ => self.transfer = None,
        }
    }

    /// Returns the host to fetch from among those that hold `version`, or among all: one that hasn't
    /// stalled, or the one that stalled longest ago. The order differs between entries, which spreads
    /// their transfers over the hosts.
    fn preferred_host(&self, version: Option<u64>) -> Option<SocketAddr> {
        let holders = self.offers.iter().filter(|(_, held)| **held >= version);
        let hosts = holders.map(|(host, _)| *host);
        hosts.min_by_key(|host| {
            let stalled = self.stalled.iter().position(|stalled| stalled == host);
            let weight = shares::rendezvous_weight(self.own, &host.to_string());
            (stalled.map(|position| position + 1), u64::MAX - weight)
        })
    }
}
