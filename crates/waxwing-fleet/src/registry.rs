//! The registry of endpoints, which holds the latest notice of each one. Notices may arrive late,
//! more than once, out of order, or from an earlier start of the endpoint.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_wire::messages;

use crate::summaries;

/// Time for which the record of a deregistered endpoint is kept, so that a notice that was delayed
/// by a network partition doesn't register it again. The platform's partitions last seconds.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Time after which an endpoint that sends no notices is removed.
pub const SILENCE_RETENTION: Duration = Duration::from_secs(60);

/// Time for which no notice of the known life of an endpoint makes it ready, after a life with an
/// earlier start has said that it leaves. Notices arrive seconds late, so one of these doesn't show
/// that the known life goes on.
pub const CONTRADICTION_TIME: Duration = Duration::from_secs(10);

/// Time between two checks of the records for their age; a small part of the retention times.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The effect of a notice on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// The notice was late or a duplicate; the registry is unchanged.
    Stale,
    /// The endpoint is alive, and its data is unchanged.
    Refreshed,
    /// The endpoint is new, its phase or data changed, or it has restarted.
    Changed,
}

/// The most requests that an endpoint may say it serves concurrently; far above any engine. A notice
/// with more doesn't come from an endpoint.
pub const MAX_SLOTS: u32 = 1 << 16;

/// The longest id of an endpoint, in bytes. Control hosts keep the ids of endpoints that have left.
pub const MAX_ID_BYTES: usize = 256;

/// The latest notice of an endpoint.
#[derive(Debug, Clone)]
pub struct RegistryRecord {
    /// The notice.
    pub notice: messages::EndpointNotice,
    /// When the notice was received from the endpoint.
    pub received_at: Instant,
    /// When the first notice of this life that came here was received from the endpoint.
    first_received_at: Instant,
    /// The start time of the life before this one, if that was known here.
    previous_born: Option<Option<u64>>,
    /// When a life with an earlier start said that it leaves, while this one was taken for ready.
    contradicted_at: Option<Instant>,
}

impl RegistryRecord {
    /// Creates a record of a notice that was received from the endpoint at `received_at`.
    #[must_use]
    pub const fn new(notice: messages::EndpointNotice, received_at: Instant) -> Self {
        Self {
            notice,
            received_at,
            first_received_at: received_at,
            previous_born: None,
            contradicted_at: None,
        }
    }
}

/// The latest notices of all endpoints, by endpoint id. The work for a notice doesn't grow with the
/// number of endpoints: an entry gets the notices of all of them.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    records: HashMap<SmolStr, RegistryRecord>,
    /// The ids of the records by address; most addresses have one.
    ids_by_address: HashMap<SmolStr, Vec<SmolStr>>,
    /// The ids of the records by the digest of their notice.
    ids_by_digest: HashMap<summaries::NoticeDigest, SmolStr>,
    summary: summaries::DirectorySummary,
    /// When records are next checked for their age.
    next_expiry: Option<Instant>,
}

impl EndpointRegistry {
    /// Applies a notice that was received from the endpoint at `received_at`.
    pub fn observe(
        &mut self,
        notice: messages::EndpointNotice,
        received_at: Instant,
    ) -> NoticeEffect {
        let id = SmolStr::new(&notice.id);
        if self.is_superseded(&notice) {
            return NoticeEffect::Stale;
        }
        let effect = match self.records.get(&id) {
            None => NoticeEffect::Changed,
            Some(known) => compare(known, &notice, received_at),
        };
        if effect == NoticeEffect::Stale {
            return self.contradict(&id, &notice, received_at);
        }
        if effect == NoticeEffect::Changed && notice.phase() != messages::EndpointPhase::Gone {
            self.mark_others_gone(&notice);
        }
        self.insert(id, notice, received_at);
        effect
    }

    /// Marks an endpoint as draining whose known life is ready, if a life with an earlier start that
    /// isn't known here says that it leaves. Either the notice is late, or the endpoint has started again
    /// after the clock of its host was put back. A request to an endpoint that has left is worse than a
    /// short pause of one that goes on, whose later notices make it ready again. A record of a control
    /// host that missed the known life is older than it, and a departure that a control host tells from
    /// the log has no address; neither of them marks it.
    fn contradict(
        &mut self,
        id: &SmolStr,
        notice: &messages::EndpointNotice,
        received_at: Instant,
    ) -> NoticeEffect {
        let Some(known) = self.records.get_mut(id) else {
            return NoticeEffect::Stale;
        };
        let ready = messages::EndpointPhase::Ready;
        let is_unknown_life =
            notice.born < known.notice.born && known.previous_born != Some(notice.born);
        let is_recent = received_at >= known.first_received_at && !notice.address.is_empty();
        if !is_unknown_life
            || !is_recent
            || notice.phase() == ready
            || known.notice.phase() != ready
        {
            return NoticeEffect::Stale;
        }
        known.contradicted_at = Some(received_at);
        self.set_phase(id, messages::EndpointPhase::Draining);
        NoticeEffect::Changed
    }

    fn insert(&mut self, id: SmolStr, notice: messages::EndpointNotice, received_at: Instant) {
        let address = SmolStr::new(&notice.address);
        let digest = summaries::NoticeDigest::of(&notice);
        let mut record = RegistryRecord::new(notice, received_at);
        if let Some(known) = self.records.get(&id) {
            if known.notice.born == record.notice.born {
                record.first_received_at = known.first_received_at;
                record.previous_born = known.previous_born;
            } else {
                record.previous_born = Some(known.notice.born);
            }
        }
        let previous = self.records.insert(id.clone(), record);
        let previous = previous.map(|record| record.notice);
        let previous_digest = previous.as_ref().map(summaries::NoticeDigest::of);
        if previous_digest != Some(digest) {
            if let Some(previous) = previous_digest {
                self.remove_digest(previous);
            }
            self.add_digest(digest, id.clone());
        }
        let previous = previous.map(|notice| SmolStr::new(notice.address));
        if previous.as_ref() == Some(&address) {
            return;
        }
        if let Some(previous) = previous {
            self.forget_address(&previous, &id);
        }
        // A departure of an endpoint that was never known here has no address.
        if !address.is_empty() {
            self.ids_by_address.entry(address).or_default().push(id);
        }
    }

    fn add_digest(&mut self, digest: summaries::NoticeDigest, id: SmolStr) {
        self.ids_by_digest.insert(digest, id);
        self.summary.toggle(digest);
    }

    fn remove_digest(&mut self, digest: summaries::NoticeDigest) {
        self.ids_by_digest.remove(&digest);
        self.summary.toggle(digest);
    }

    /// Sets the phase of a known endpoint.
    fn set_phase(&mut self, id: &SmolStr, phase: messages::EndpointPhase) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let previous = summaries::NoticeDigest::of(&record.notice);
        record.notice.phase = phase.into();
        let digest = summaries::NoticeDigest::of(&record.notice);
        self.remove_digest(previous);
        self.add_digest(digest, id.clone());
    }

    /// Returns the digests of all notices by group.
    #[must_use]
    pub const fn summary(&self) -> &summaries::DirectorySummary {
        &self.summary
    }

    /// Tells whether a notice is the latest one of its endpoint here.
    #[must_use]
    pub fn knows(&self, digest: summaries::NoticeDigest) -> bool {
        self.ids_by_digest.contains_key(&digest)
    }

    /// Records that the endpoint with this notice was alive at `received_at`, and returns its id;
    /// `None` if no such notice is known here.
    pub fn refresh(
        &mut self,
        digest: summaries::NoticeDigest,
        received_at: Instant,
    ) -> Option<&SmolStr> {
        let id = self.ids_by_digest.get(&digest)?;
        let record = self.records.get_mut(id)?;
        record.received_at = record.received_at.max(received_at);
        Some(id)
    }

    fn forget_address(&mut self, address: &SmolStr, id: &SmolStr) {
        if let Some(ids) = self.ids_by_address.get_mut(address) {
            ids.retain(|known| known != id);
            if ids.is_empty() {
                self.ids_by_address.remove(address);
            }
        }
    }

    /// Returns whether a registered endpoint that started later uses the address of the notice.
    fn is_superseded(&self, notice: &messages::EndpointNotice) -> bool {
        let ids = self.ids_by_address.get(notice.address.as_str());
        let ids = ids.filter(|_| !notice.address.is_empty());
        let mut records = ids
            .into_iter()
            .flatten()
            .filter_map(|id| self.records.get(id));
        records.any(|record| {
            let known = &record.notice;
            known.id != notice.id
                && known.born > notice.born
                && known.phase() != messages::EndpointPhase::Gone
        })
    }

    /// Marks other endpoints with the address of the notice as gone.
    fn mark_others_gone(&mut self, notice: &messages::EndpointNotice) {
        let Some(ids) = self.ids_by_address.get(notice.address.as_str()) else {
            return;
        };
        let others = ids.iter().filter(|id| *id != notice.id.as_str());
        for id in others.cloned().collect::<Vec<_>>() {
            self.set_phase(&id, messages::EndpointPhase::Gone);
        }
    }

    /// Builds the notice that deregisters an endpoint, from its last notice. `stated_born` is the
    /// start time in the call, and `wall_millis` the wall-clock time, both in Unix milliseconds.
    ///
    /// A call that states no start time means the known life of the endpoint. If none is known here,
    /// it means all lives that have begun by now, since other hosts may know one of them.
    #[must_use]
    pub fn deregistration(
        &self,
        id: &str,
        stated_born: Option<u64>,
        wall_millis: u64,
    ) -> messages::EndpointNotice {
        let known = self.records.get(id).map(|record| &record.notice);
        let known_born = known.map_or(Some(wall_millis), |notice| notice.born);
        let mut notice = known.cloned().unwrap_or_default();
        id.clone_into(&mut notice.id);
        notice.phase = messages::EndpointPhase::Gone.into();
        notice.born = stated_born.or(known_born);
        notice
    }

    /// Returns the record of an endpoint.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&RegistryRecord> {
        self.records.get(id)
    }

    /// Returns the records of all endpoints, in no particular order.
    pub fn records(&self) -> impl Iterator<Item = &RegistryRecord> {
        self.records.values()
    }

    /// Marks an endpoint as draining if its known life began at `born` or before and is ready. Returns
    /// the notice of a life that began by then, whether it was ready or not.
    pub fn mark_draining(&mut self, id: &str, born: u64) -> Option<&messages::EndpointNotice> {
        let record = self.records.get_mut(id)?;
        if record.notice.born > Some(born) {
            return None;
        }
        // This life itself has left.
        record.contradicted_at = None;
        if record.notice.phase() == messages::EndpointPhase::Ready {
            self.set_phase(&SmolStr::new(id), messages::EndpointPhase::Draining);
        }
        Some(&self.records.get(id)?.notice)
    }

    /// Removes endpoints that have been gone or silent for longer than their retention time, and
    /// returns their last notices. It looks at the records once in [`EXPIRY_INTERVAL`] only, so that it
    /// may be called with each notice.
    pub fn expire(&mut self, now: Instant) -> Vec<messages::EndpointNotice> {
        if self.next_expiry.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_expiry = Some(now + EXPIRY_INTERVAL);
        let expired = self.records.extract_if(|_, record| {
            let limit = match record.notice.phase() {
                messages::EndpointPhase::Gone => GONE_RETENTION,
                _ => SILENCE_RETENTION,
            };
            now.saturating_duration_since(record.received_at) >= limit
        });
        let expired: Vec<_> = expired.map(|(_, record)| record.notice).collect();
        for notice in &expired {
            let address = SmolStr::new(&notice.address);
            self.forget_address(&address, &SmolStr::new(&notice.id));
            self.remove_digest(summaries::NoticeDigest::of(notice));
        }
        expired
    }
}

/// Compares a notice with the known one of the same endpoint id. A later start wins; within one
/// start, phases only advance, and otherwise the higher sequence number wins.
fn compare(
    record: &RegistryRecord,
    notice: &messages::EndpointNotice,
    received_at: Instant,
) -> NoticeEffect {
    let known = &record.notice;
    if notice.born != known.born {
        return match notice.born > known.born {
            true => NoticeEffect::Changed,
            false => NoticeEffect::Stale,
        };
    }
    let gone = messages::EndpointPhase::Gone;
    if known.phase() == gone {
        return NoticeEffect::Stale;
    }
    if notice.phase() == gone {
        return NoticeEffect::Changed;
    }
    if let Some(effect) = compare_leaving(record, notice, received_at) {
        return effect;
    }
    if notice.sequence <= known.sequence {
        return NoticeEffect::Stale;
    }
    let same = notice.phase == known.phase
        && notice.address == known.address
        && notice.service == known.service
        && notice.slots == known.slots
        && notice.version == known.version;
    match same {
        true => NoticeEffect::Refreshed,
        false => NoticeEffect::Changed,
    }
}

/// Compares a notice with the known one of the same life if one of them says that the endpoint leaves.
/// Leaving is final whatever the sequence numbers: a control host that knows of a departure from the log
/// only tells it with the number of an earlier notice, and a notice from before the leaving may be
/// relayed late. Returns `None` if the sequence numbers decide. They do so without a start time too,
/// since the notice may then be of a later life.
fn compare_leaving(
    record: &RegistryRecord,
    notice: &messages::EndpointNotice,
    received_at: Instant,
) -> Option<NoticeEffect> {
    let ready = messages::EndpointPhase::Ready;
    if let Some(contradicted_at) = record.contradicted_at {
        // The known life itself has not said that it leaves.
        let pause = received_at.saturating_duration_since(contradicted_at);
        return match notice.phase() == ready {
            true => (pause < CONTRADICTION_TIME).then_some(NoticeEffect::Stale),
            false => Some(NoticeEffect::Changed),
        };
    }
    notice.born?;
    match (record.notice.phase() == ready, notice.phase() == ready) {
        (true, false) => Some(NoticeEffect::Changed),
        (false, true) => Some(NoticeEffect::Stale),
        _ => None,
    }
}
