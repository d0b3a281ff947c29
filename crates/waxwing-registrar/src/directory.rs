//! What a control host knows of the endpoints, and what it tells entries and the other control
//! hosts. It does no I/O and reads no clock, so that tests can simulate several hosts.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use prost::Message as _;
use smol_str::SmolStr;
use waxwing_fleet::{errors, patches, registry, summaries};
use waxwing_rollout::controller;
use waxwing_wire::messages;

use crate::departures;

/// Time between two relays of the endpoints that this host heard of to the other control hosts,
/// which would otherwise forget an endpoint that sends its notices here. It is a third of
/// [`registry::SILENCE_RETENTION`], so that one lost relay doesn't matter.
pub const RELAY_INTERVAL: Duration = Duration::from_secs(20);

/// The number of recent departures that an entry is told when its link opens. An entry that was cut
/// off for longer than a registry keeps deregistered endpoints learns of them so.
const RECENT_DEPARTURES: usize = 256;

/// Time without a notice after which an endpoint isn't counted as room for a new version. Notices
/// that other control hosts receive are relayed within [`RELAY_INTERVAL`].
const SERVING_SILENCE: Duration = Duration::from_secs(30);

/// The endpoints that a control host knows, and the notices that it has yet to pass on.
///
/// Before the host has learnt all departures that the replicated log holds, a notice may be a late
/// one of an endpoint that has left, and entries are told nothing.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    registry: registry::EndpointRegistry,
    /// The departures that are known to be committed.
    departures: departures::DepartureLedger,
    /// Whether these were all that the log held at some time since the process started.
    is_complete: bool,
    /// Notices without a change that entries and the other control hosts have not heard of yet.
    refreshes: Vec<summaries::NoticeDigest>,
    /// The last notice without a change of each endpoint that sent one here since the last relay.
    unrelayed: HashMap<SmolStr, registry::RegistryRecord>,
    /// When these are relayed to the other control hosts; `None` before the first one.
    next_relay: Option<Instant>,
}

impl EndpointDirectory {
    /// Applies a notice that an endpoint sent to this host at `now`.
    pub fn observe(
        &mut self,
        notice: messages::EndpointNotice,
        now: Instant,
    ) -> registry::NoticeEffect {
        if self.has_left(&notice) || self.is_repeated_departure(&notice) {
            return registry::NoticeEffect::Stale;
        }
        let effect = self.registry.observe(notice.clone(), now);
        if effect == registry::NoticeEffect::Refreshed {
            // Otherwise entries get the summary once the departures are known.
            if self.is_complete {
                self.refreshes.push(summaries::NoticeDigest::of(&notice));
            }
            self.next_relay.get_or_insert(now + RELAY_INTERVAL);
            let record = registry::RegistryRecord::new(notice, now);
            self.unrelayed
                .insert(SmolStr::new(&record.notice.id), record);
        }
        effect
    }

    /// Tells whether the notice is a late one of a life that has left.
    fn has_left(&self, notice: &messages::EndpointNotice) -> bool {
        notice.phase() == messages::EndpointPhase::Ready
            && self.departures.covers(&notice.id, notice.born)
    }

    /// Tells whether the notice says once more that a life leaves whose departure is committed, while a
    /// later life is known here. It is late then, and doesn't concern the later one.
    fn is_repeated_departure(&self, notice: &messages::EndpointNotice) -> bool {
        let record = self.registry.record(&notice.id);
        notice.phase() != messages::EndpointPhase::Ready
            && record.is_some_and(|record| record.notice.born > notice.born)
            && notice.born.is_some()
            && self.departures.last_born(&notice.id) == notice.born
    }

    /// Tells whether a departure is known to be committed.
    #[must_use]
    pub fn is_recorded(&self, departure: &messages::EndpointDeparture) -> bool {
        self.departures.covers(&departure.id, Some(departure.born))
    }

    /// Returns whether entries may be told of the endpoints.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records committed departures, and returns the notices of the endpoints that have left by one that
    /// is new here. Entries are told of them by every host: the one that took the notice may have lost
    /// its link to some. `whole` tells that the log held no others when a quorum was last asked.
    pub fn learn(
        &mut self,
        departures: &[messages::EndpointDeparture],
        whole: bool,
    ) -> messages::EndpointNotices {
        self.is_complete |= whole;
        let mut notices = Vec::new();
        let mut unlisted = Vec::new();
        for departure in departures {
            if !self.departures.record(departure) {
                continue;
            }
            if self.registry.record(&departure.id).is_none() {
                unlisted.push(departure_notice(departure.clone()));
                continue;
            }
            let marked = self.registry.mark_draining(&departure.id, departure.born);
            notices.extend(marked.cloned());
        }
        // A snapshot of the log may bring thousands, of which entries need the recent ones.
        let skipped = unlisted.len().saturating_sub(RECENT_DEPARTURES);
        notices.extend(unlisted.into_iter().skip(skipped));
        messages::EndpointNotices { notices }
    }

    /// Applies notices that another control host received. Returns those that say something new here and
    /// are of endpoints that leave, which entries are told by every host for the same reason as
    /// committed departures; one that isn't committed yet is as true.
    pub fn observe_relayed(
        &mut self,
        relayed: messages::EndpointNotices,
        now: Instant,
    ) -> messages::EndpointNotices {
        let mut leaving = Vec::new();
        for notice in relayed.notices {
            if self.has_left(&notice) {
                continue;
            }
            let age = Duration::from_millis(notice.age_millis);
            let received_at = now.checked_sub(age).unwrap_or(now);
            let effect = self.registry.observe(notice.clone(), received_at);
            self.log_ignored_departure(&notice);
            if effect == registry::NoticeEffect::Changed
                && notice.phase() != messages::EndpointPhase::Ready
            {
                leaving.push(notice);
            }
        }
        messages::EndpointNotices { notices: leaving }
    }

    /// Logs that an endpoint is still taken for ready after a notice that it is gone.
    fn log_ignored_departure(&self, notice: &messages::EndpointNotice) {
        let ready = messages::EndpointPhase::Ready;
        let record = self.registry.record(&notice.id);
        let known = record.filter(|record| record.notice.phase() == ready);
        if let Some(known) = known.filter(|_| notice.phase() == messages::EndpointPhase::Gone) {
            tracing::info!(
                event = "departure-ignored",
                endpoint = notice.id,
                born = notice.born,
                known_born = known.notice.born
            );
        }
    }

    /// Takes the digests of notices without a change that another control host received. An entry may
    /// ask any host which endpoints are alive.
    pub fn observe_refreshes(&mut self, refreshes: &messages::EndpointRefreshes, now: Instant) {
        for digest in &refreshes.digests {
            // A host that lacks a notice gets it with the next relay.
            let digest = summaries::NoticeDigest::from_bits(*digest);
            let _ = self.registry.refresh(digest, now);
        }
    }

    /// Builds the notice that deregisters an endpoint. `stated_born` is the start time in the call,
    /// and `wall_millis` the wall-clock time, both in Unix milliseconds.
    #[must_use]
    pub fn deregistration(
        &self,
        id: &str,
        stated_born: Option<u64>,
        wall_millis: u64,
    ) -> messages::EndpointNotice {
        self.registry.deregistration(id, stated_born, wall_millis)
    }

    /// Returns the endpoints that accept requests as far as this host knows.
    #[must_use]
    pub fn serving(&self, now: Instant) -> Vec<controller::EndpointFacts> {
        let records = self.registry.records().filter(|record| {
            let silence = now.saturating_duration_since(record.received_at);
            record.notice.phase() == messages::EndpointPhase::Ready
                && silence < SERVING_SILENCE
                && !self.has_left(&record.notice)
        });
        records
            .map(|record| controller::EndpointFacts {
                id: SmolStr::new(&record.notice.id),
                service: SmolStr::new(&record.notice.service),
                version: SmolStr::new(&record.notice.version),
                slots: record.notice.slots,
            })
            .collect()
    }

    /// Returns the notices of all endpoints, with their ages at `now`.
    #[must_use]
    pub fn all_notices(&self, now: Instant) -> messages::EndpointNotices {
        with_ages(self.registry.records(), now)
    }

    /// Returns the digests of what this host knows, which entries compare with what they know. They
    /// are told nothing while departures may be missing here.
    #[must_use]
    pub fn summary(&self) -> Option<messages::DirectorySummary> {
        self.is_complete
            .then(|| self.registry.summary().to_message())
    }

    /// Returns the recent departures of endpoints without a record here, which the summary doesn't
    /// cover. An entry that was cut off may still use them.
    #[must_use]
    pub fn unlisted_departures(&self) -> messages::EndpointNotices {
        let recent = self.departures.newest(RECENT_DEPARTURES);
        let unlisted = recent.filter(|departure| self.registry.record(&departure.id).is_none());
        messages::EndpointNotices {
            notices: unlisted.map(departure_notice).collect(),
        }
    }

    /// Returns the notices of some groups of endpoints, with their ages at `now`, for an entry that
    /// asks for them; nothing while departures may be missing here.
    ///
    /// # Errors
    /// Fails if the notices can't be compressed.
    pub fn notice_groups(
        &self,
        fetch: messages::FetchNotices,
        now: Instant,
    ) -> Result<Option<messages::NoticeGroups>, errors::PatchError> {
        if !self.is_complete {
            return Ok(None);
        }
        let mut is_wanted = [false; summaries::GROUPS as usize];
        for group in &fetch.groups {
            if let Some(is_wanted) = is_wanted.get_mut(*group as usize) {
                *is_wanted = true;
            }
        }
        let records = self.registry.records();
        let wanted = records.filter(|record| {
            let group = summaries::group_of(&record.notice.id) as usize;
            is_wanted.get(group).copied().unwrap_or_default()
        });
        let notices = with_ages(wanted, now).encode_to_vec();
        Ok(Some(messages::NoticeGroups {
            groups: fetch.groups,
            compressed: patches::create(&[], &notices)?,
            length: notices.len() as u64,
            digest: patches::digest(&notices),
        }))
    }

    /// Returns the digests of the notices without a change that entries and the other control hosts
    /// have not heard of yet.
    pub fn take_refreshes(&mut self) -> messages::EndpointRefreshes {
        let digests = std::mem::take(&mut self.refreshes);
        messages::EndpointRefreshes {
            digests: digests.into_iter().map(|digest| digest.to_bits()).collect(),
        }
    }

    /// Returns the notices to relay to the other control hosts at `now`, if they are due.
    pub fn take_relay(&mut self, now: Instant) -> Option<messages::EndpointNotices> {
        self.next_relay.take_if(|due| *due <= now)?;
        let unrelayed = std::mem::take(&mut self.unrelayed);
        Some(with_ages(unrelayed.values(), now))
    }

    /// Removes endpoints that have been gone or silent for too long.
    pub fn expire(&mut self, now: Instant) {
        for notice in self.registry.expire(now) {
            tracing::info!(
                event = "endpoint-forgotten",
                endpoint = notice.id,
                phase = ?notice.phase(),
                born = notice.born
            );
        }
    }
}

/// Builds the notice of a departure of an endpoint without a record here, which has no address.
fn departure_notice(departure: messages::EndpointDeparture) -> messages::EndpointNotice {
    messages::EndpointNotice {
        id: departure.id,
        born: Some(departure.born),
        phase: messages::EndpointPhase::Gone.into(),
        ..messages::EndpointNotice::default()
    }
}

fn with_ages<'a>(
    records: impl Iterator<Item = &'a registry::RegistryRecord>,
    now: Instant,
) -> messages::EndpointNotices {
    let notices = records.map(|record| {
        let age = now.saturating_duration_since(record.received_at);
        messages::EndpointNotice {
            age_millis: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..record.notice.clone()
        }
    });
    messages::EndpointNotices {
        notices: notices.collect(),
    }
}
