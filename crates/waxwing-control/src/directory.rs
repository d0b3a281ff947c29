//! The directory of announced processes. It is soft state with leases: rebuilt from announcements
//! after every start, and never written to the log.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use waxwing_wire::messages;
use xxhash_rust::xxh3;

/// The largest number of names. Announcements of further names are ignored, so that a faulty sender
/// can't exhaust memory.
pub const MAX_NAMES: usize = 20_000;

/// Time for which a deregistration is kept, so that late announcements of the same incarnation
/// don't undo it.
const DEREGISTRATION_RETENTION: Duration = Duration::from_secs(60);

/// Time for which an expired lease is kept, so that delayed announcements sent before its end don't
/// restore it. It is short because a process whose host was suspended looks the same.
const EXPIRED_LEASE_RETENTION: Duration = Duration::from_secs(10);

/// Allowed clock drift between two hosts: one part in this many. Without the allowance, the
/// earliest estimate of a start time would make the announcements of a process look later every
/// day.
const DRIFT_DIVISOR: u32 = 1_000;

/// The longest lease that an announcement may request.
const MAX_LEASE: Duration = Duration::from_secs(60);

/// The announcement and lease of one incarnation of a process.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// The announcement, with uptime and settings version set to zero.
    pub announce: messages::Announce,
    /// The latest settings version that the process has reported.
    pub settings_version: u64,
    /// Increases whenever the announcement changes.
    pub revision: u64,
    lease_ends: Instant,
    /// The earliest start time that the announcements imply (arrival minus uptime), adjusted for
    /// drift.
    start: Instant,
    /// The arrival time and the uptime of the newest announcement.
    newest: (Instant, Duration),
}

/// An incarnation whose lease expired without a deregistration.
#[derive(Debug, Clone, Copy)]
struct ExpiredLease {
    incarnation: u64,
    start: Instant,
    retained_until: Instant,
}

impl DirectoryEntry {
    fn incarnation(&self) -> u64 {
        incarnation(&self.announce)
    }
}

/// The incarnations of one process name.
#[derive(Debug, Clone, Default)]
struct NameRecord {
    /// The incarnation that currently owns the name.
    holder: Option<DirectoryEntry>,
    /// Another incarnation that announces the same name while the holder's lease is valid.
    conflicting: Option<DirectoryEntry>,
    /// The highest deregistered incarnation, and when this record expires.
    deregistration: Option<(u64, Instant)>,
    expired_lease: Option<ExpiredLease>,
}

/// The processes of a region, by name.
#[derive(Debug, Clone, Default)]
pub struct DirectoryState {
    names: BTreeMap<String, NameRecord>,
    /// Increases whenever watchers must be notified.
    revision: u64,
    /// Counts announcements, to give each changed entry a revision that no older entry had.
    announcements: u64,
}

impl DirectoryState {
    /// Processes an announcement and returns whether watchers must be notified. A lease of zero
    /// deregisters the incarnation.
    pub fn announce(&mut self, now: Instant, announce: messages::Announce) -> bool {
        let Some(name) = announce
            .process
            .as_ref()
            .map(|process| process.name.clone())
        else {
            return false;
        };
        if !self.names.contains_key(&name) && self.names.len() >= MAX_NAMES {
            return false;
        }
        self.announcements += 1;
        let next = self.announcements;
        let record = self.names.entry(name).or_default();
        let expired = record.expire(now);
        let updated = if record.is_deregistered(&announce) {
            false
        } else if announce.lease_millis == 0 {
            record.deregister(now, incarnation(&announce))
        } else {
            record.update(now, announce, next)
        };
        self.bump_revision(expired || updated)
    }

    /// Deregisters one incarnation of a process and returns whether watchers must be notified.
    pub fn deregister(&mut self, now: Instant, name: &str, incarnation: u64) -> bool {
        let record = self.names.get_mut(name);
        let deregistered = record.is_some_and(|record| record.deregister(now, incarnation));
        self.bump_revision(deregistered)
    }

    /// Records the settings version that a heartbeat reported.
    pub fn record_version(&mut self, name: &str, incarnation: u64, version: u64) {
        let holder = self.names.get_mut(name);
        if let Some(holder) = holder.and_then(|record| record.holder.as_mut())
            && holder.incarnation() == incarnation
        {
            holder.settings_version = holder.settings_version.max(version);
        }
    }

    /// Expires leases and returns whether watchers must be notified.
    pub fn sweep(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for record in self.names.values_mut() {
            changed |= record.expire(now);
        }
        self.names.retain(|_, record| !record.is_empty());
        self.bump_revision(changed)
    }

    /// Returns a number that increases whenever watchers must be notified.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn bump_revision(&mut self, changed: bool) -> bool {
        if changed {
            self.revision += 1;
        }
        changed
    }

    /// Returns the processes with a valid lease, by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &DirectoryEntry)> {
        self.names.iter().filter_map(|(name, record)| {
            let holder = record.holder.as_ref()?;
            Some((name.as_str(), holder))
        })
    }

    /// Returns the names that two incarnations announce at the same time.
    pub fn conflicts(&self) -> impl Iterator<Item = &str> {
        let names = self.names.iter();
        names
            .filter(|(_, record)| record.conflicting.is_some())
            .map(|(name, _)| name.as_str())
    }
}

impl NameRecord {
    fn is_deregistered(&self, announce: &messages::Announce) -> bool {
        self.deregistration
            .is_some_and(|(deregistered, _)| incarnation(announce) <= deregistered)
    }

    fn is_empty(&self) -> bool {
        let alive = self.holder.is_some() || self.conflicting.is_some();
        !alive && self.deregistration.is_none() && self.expired_lease.is_none()
    }

    fn update(&mut self, now: Instant, announce: messages::Announce, revision: u64) -> bool {
        let announced = incarnation(&announce);
        if let Some(holder) = &mut self.holder
            && holder.incarnation() != announced
        {
            match &mut self.conflicting {
                Some(conflicting) if conflicting.incarnation() == announced => {
                    conflicting.renew(now, announce, revision);
                }
                // Only the newest conflicting incarnation is kept.
                Some(conflicting) if conflicting.incarnation() > announced => {}
                _ => self.conflicting = Some(DirectoryEntry::open(now, announce, revision)),
            }
            return false;
        }
        match &mut self.holder {
            Some(holder) => holder.renew(now, announce, revision),
            None => {
                let mut entry = DirectoryEntry::open(now, announce, revision);
                if let Some(expired_lease) = self
                    .expired_lease
                    .filter(|previous| previous.incarnation == announced)
                {
                    entry.start = entry.start.min(expired_lease.start);
                    let delay = now.saturating_duration_since(entry.start + entry.newest.1);
                    entry.lease_ends = entry.lease_ends.checked_sub(delay).unwrap_or(now);
                }
                let alive = entry.lease_ends > now;
                if alive {
                    self.holder = Some(entry);
                }
                alive
            }
        }
    }

    fn deregister(&mut self, now: Instant, removed: u64) -> bool {
        let highest = self
            .deregistration
            .map_or(removed, |(known, _)| known.max(removed));
        self.deregistration = Some((highest, now + DEREGISTRATION_RETENTION));
        self.conflicting
            .take_if(|conflicting| conflicting.incarnation() == removed);
        let was_holder = self
            .holder
            .take_if(|holder| holder.incarnation() == removed)
            .is_some();
        if was_holder {
            self.holder = self.conflicting.take();
        }
        was_holder
    }

    fn expire(&mut self, now: Instant) -> bool {
        self.deregistration.take_if(|(_, end)| *end <= now);
        self.expired_lease
            .take_if(|previous| previous.retained_until <= now);
        self.conflicting
            .take_if(|conflicting| conflicting.lease_ends <= now);
        let Some(ended) = self.holder.take_if(|holder| holder.lease_ends <= now) else {
            return false;
        };
        self.expired_lease = Some(ExpiredLease {
            incarnation: ended.incarnation(),
            start: ended.start,
            retained_until: now + EXPIRED_LEASE_RETENTION,
        });
        self.holder = self.conflicting.take();
        true
    }
}

impl DirectoryEntry {
    fn open(now: Instant, announce: messages::Announce, revision: u64) -> Self {
        let uptime = Duration::from_millis(announce.uptime_millis);
        let start = now.checked_sub(uptime).unwrap_or(now);
        Self {
            lease_ends: now + lease(&announce),
            settings_version: announce.settings_version,
            announce: without_volatile_fields(announce),
            revision,
            start,
            newest: (now, uptime),
        }
    }

    /// Extends the lease and returns whether the content changed. The lease starts when the
    /// announcement was sent, which follows from the uptime. Otherwise a burst of delayed
    /// announcements would keep a dead process alive, or make it flap.
    fn renew(&mut self, now: Instant, announce: messages::Announce, revision: u64) -> bool {
        let uptime = Duration::from_millis(announce.uptime_millis);
        let (arrival, newest) = self.newest;
        if uptime < newest {
            // The announcement was sent before one that arrived earlier.
            return false;
        }
        let drift = now.saturating_duration_since(arrival) / DRIFT_DIVISOR;
        let start = now.checked_sub(uptime).unwrap_or(now);
        self.start = (self.start + drift).min(start);
        self.newest = (now, uptime);
        let lease_ends = self.start + uptime + lease(&announce);
        self.lease_ends = self.lease_ends.max(lease_ends);
        self.settings_version = self.settings_version.max(announce.settings_version);
        let announce = without_volatile_fields(announce);
        let changed = announce != self.announce;
        if changed {
            self.announce = announce;
            self.revision = revision;
        }
        changed
    }
}

fn incarnation(announce: &messages::Announce) -> u64 {
    announce
        .process
        .as_ref()
        .map_or(0, |process| process.incarnation)
}

fn lease(announce: &messages::Announce) -> Duration {
    Duration::from_millis(announce.lease_millis).min(MAX_LEASE)
}

/// Clears the fields that change with every announcement.
fn without_volatile_fields(mut announce: messages::Announce) -> messages::Announce {
    announce.uptime_millis = 0;
    announce.settings_version = 0;
    announce
}

/// Selects up to `limit` endpoints for an entry to watch: those of its own data centre first, then
/// others by rendezvous hashing, so that a process that comes or goes changes at most one member of
/// each subset.
#[must_use]
pub fn watch_subset<'a>(
    watcher: &str,
    data_centre: &str,
    limit: usize,
    members: impl Iterator<Item = (&'a str, &'a DirectoryEntry)>,
) -> BTreeMap<&'a str, &'a DirectoryEntry> {
    let agent = messages::ProcessKind::Agent as i32;
    let mut ranked: Vec<_> = members
        .filter_map(|(name, entry)| {
            let process = entry.announce.process.as_ref()?;
            let remote = process.data_centre != data_centre;
            let weight =
                xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(watcher.as_bytes()));
            (process.kind == agent).then_some((remote, weight, name, entry))
        })
        .collect();
    if ranked.len() > limit {
        ranked.sort_unstable_by_key(|(remote, weight, name, _)| (*remote, *weight, *name));
        ranked.truncate(limit);
    }
    ranked
        .into_iter()
        .map(|(_, _, name, entry)| (name, entry))
        .collect()
}
