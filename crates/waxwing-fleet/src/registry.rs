//! The registry of endpoints: what each one last said of itself, in the face of notices that come
//! late, twice, out of order, or from a life of the endpoint that has ended.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_wire::messages;

/// Time for which a goodbye is remembered, so that a notice that was held up behind a partition
/// doesn't bring the endpoint back; the platform's partitions last seconds.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Time after which an endpoint that said nothing is forgotten.
const SILENCE_RETENTION: Duration = Duration::from_secs(60);

/// A `NoticeEffect` tells what a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// It was late or came twice; nothing changed.
    Stale,
    /// The endpoint said the same as before and is alive.
    Refreshed,
    /// The endpoint is new, moved on to another phase, or has started again.
    Changed,
}

/// A `RegistryRecord` is what is known about one endpoint.
#[derive(Debug, Clone)]
pub struct RegistryRecord {
    /// What it last said.
    pub notice: messages::EndpointNotice,
    /// When it was heard.
    pub heard: Instant,
}

/// An `EndpointRegistry` holds all endpoints by id.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    records: HashMap<SmolStr, RegistryRecord>,
}

impl EndpointRegistry {
    /// Takes a notice that was heard at `heard`.
    pub fn observe(&mut self, notice: messages::EndpointNotice, heard: Instant) -> NoticeEffect {
        let id = SmolStr::new(&notice.id);
        if self.is_displaced(&notice) {
            return NoticeEffect::Stale;
        }
        let effect = match self.records.get(&id) {
            None => NoticeEffect::Changed,
            Some(known) => compare(&known.notice, &notice),
        };
        if effect == NoticeEffect::Stale {
            return effect;
        }
        if effect == NoticeEffect::Changed && notice.phase() != messages::EndpointPhase::Gone {
            self.displace_others(&notice);
        }
        self.records.insert(id, RegistryRecord { notice, heard });
        effect
    }

    /// Tells whether an endpoint that started later holds the address.
    fn is_displaced(&self, notice: &messages::EndpointNotice) -> bool {
        !notice.address.is_empty()
            && self.records.values().any(|record| {
                let known = &record.notice;
                known.address == notice.address
                    && known.id != notice.id
                    && known.born > notice.born
                    && known.phase() != messages::EndpointPhase::Gone
            })
    }

    /// Marks endpoints that held the address before as gone.
    fn displace_others(&mut self, notice: &messages::EndpointNotice) {
        for record in self.records.values_mut() {
            let known = &mut record.notice;
            if known.address == notice.address && known.id != notice.id {
                known.phase = messages::EndpointPhase::Gone.into();
            }
        }
    }

    /// Builds the goodbye of an endpoint from what is known of it.
    #[must_use]
    pub fn goodbye(&self, id: &str, born: Option<u64>) -> messages::EndpointNotice {
        let known = self.records.get(id).map(|record| &record.notice);
        let mut notice = known.cloned().unwrap_or_default();
        id.clone_into(&mut notice.id);
        notice.phase = messages::EndpointPhase::Gone.into();
        notice.born = born.unwrap_or(notice.born);
        notice
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &RegistryRecord> {
        self.records.values()
    }

    /// Forgets endpoints that have been gone or silent for long.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let limit = match record.notice.phase() {
                messages::EndpointPhase::Gone => GONE_RETENTION,
                _ => SILENCE_RETENTION,
            };
            now.saturating_duration_since(record.heard) < limit
        });
    }
}

/// Compares two notices under one id.
fn compare(known: &messages::EndpointNotice, notice: &messages::EndpointNotice) -> NoticeEffect {
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
    if notice.sequence <= known.sequence {
        return NoticeEffect::Stale;
    }
    let same = notice.phase == known.phase
        && notice.address == known.address
        && notice.service == known.service
        && notice.slots == known.slots;
    match same {
        true => NoticeEffect::Refreshed,
        false => NoticeEffect::Changed,
    }
}
