//! The directory of announced processes: soft state with leases, rebuilt from announcements after
//! every start, and never part of the log.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use waxwing_wire::messages;
use xxhash_rust::xxh3;

/// Names at most; further names are refused, so that a faulty sender can't exhaust memory.
pub const MAX_NAMES: usize = 20_000;

/// Time for which a goodbye is remembered; late announcements of the same life don't undo it.
const GOODBYE_MEMORY: Duration = Duration::from_secs(60);

/// Time for which a life whose lease ended is remembered: announcements that it sent before and
/// that were held up on the way don't bring it back. Kept short, since a host that was suspended
/// looks the same.
const FORMER_MEMORY: Duration = Duration::from_secs(10);

/// The clocks of two hosts may differ in speed by one part in so many. Without this allowance, the
/// earliest estimate of a start would make a process look later every day.
const DRIFT_DIVISOR: u32 = 1_000;

/// The longest lease that an announcement may ask for.
const MAX_LEASE: Duration = Duration::from_secs(60);

/// A `DirectoryEntry` is one life of a process.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// The announcement, without the parts that change each time.
    pub announce: messages::Announce,
    /// The settings version in force at the process.
    pub settings_version: u64,
    /// Grows whenever the announcement changes.
    pub revision: u64,
    lease_ends: Instant,
    /// The earliest start that fits the announcements: arrival minus uptime.
    start: Instant,
    /// The arrival and the uptime of the newest announcement.
    newest: (Instant, Duration),
}

/// A `FormerLife` is a life whose lease ended without a goodbye.
#[derive(Debug, Clone, Copy)]
struct FormerLife {
    incarnation: u64,
    start: Instant,
    forgotten_at: Instant,
}

impl DirectoryEntry {
    fn incarnation(&self) -> u64 {
        incarnation(&self.announce)
    }
}

/// A `NameRecord` is what is known about one name.
#[derive(Debug, Clone, Default)]
struct NameRecord {
    holder: Option<DirectoryEntry>,
    /// Another life that announces the same name while the holder's lease lasts.
    rival: Option<DirectoryEntry>,
    /// The highest incarnation that said goodbye, and when.
    goodbye: Option<(u64, Instant)>,
    former: Option<FormerLife>,
}

/// A `DirectoryState` holds all names of a region.
#[derive(Debug, Clone, Default)]
pub struct DirectoryState {
    names: BTreeMap<String, NameRecord>,
    /// Grows whenever watchers must be told.
    revision: u64,
    /// Numbers the announcements, so that a changed entry never has the number of an older one.
    announcements: u64,
}

impl DirectoryState {
    /// Takes an announcement and tells whether watchers must be told.
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
        let taken = if record.is_ended(&announce) {
            false
        } else if announce.lease_millis == 0 {
            record.goodbye(now, incarnation(&announce))
        } else {
            record.take(now, announce, next)
        };
        self.note(expired || taken)
    }

    /// Takes the goodbye of one life of a process.
    pub fn goodbye(&mut self, now: Instant, name: &str, incarnation: u64) -> bool {
        let record = self.names.get_mut(name);
        let ended = record.is_some_and(|record| record.goodbye(now, incarnation));
        self.note(ended)
    }

    /// Notes the settings version that a heartbeat carried.
    pub fn note_version(&mut self, name: &str, incarnation: u64, version: u64) {
        let holder = self.names.get_mut(name);
        if let Some(holder) = holder.and_then(|record| record.holder.as_mut())
            && holder.incarnation() == incarnation
        {
            holder.settings_version = holder.settings_version.max(version);
        }
    }

    /// Ends leases and tells whether watchers must be told.
    pub fn sweep(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for record in self.names.values_mut() {
            changed |= record.expire(now);
        }
        self.names.retain(|_, record| !record.is_empty());
        self.note(changed)
    }

    /// Returns a number that grows whenever watchers must be told.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn note(&mut self, changed: bool) -> bool {
        if changed {
            self.revision += 1;
        }
        changed
    }

    /// Returns the live processes by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &DirectoryEntry)> {
        self.names.iter().filter_map(|(name, record)| {
            let holder = record.holder.as_ref()?;
            Some((name.as_str(), holder))
        })
    }

    /// Returns the names that two lives announce at the same time.
    pub fn conflicts(&self) -> impl Iterator<Item = &str> {
        let names = self.names.iter();
        names
            .filter(|(_, record)| record.rival.is_some())
            .map(|(name, _)| name.as_str())
    }
}

impl NameRecord {
    fn is_ended(&self, announce: &messages::Announce) -> bool {
        self.goodbye
            .is_some_and(|(ended, _)| incarnation(announce) <= ended)
    }

    fn is_empty(&self) -> bool {
        let alive = self.holder.is_some() || self.rival.is_some();
        !alive && self.goodbye.is_none() && self.former.is_none()
    }

    fn take(&mut self, now: Instant, announce: messages::Announce, revision: u64) -> bool {
        let life = incarnation(&announce);
        if let Some(holder) = &mut self.holder
            && holder.incarnation() != life
        {
            match &mut self.rival {
                Some(rival) if rival.incarnation() == life => {
                    rival.renew(now, announce, revision);
                }
                // Of two rivals, the newer start is kept.
                Some(rival) if rival.incarnation() > life => {}
                _ => self.rival = Some(DirectoryEntry::open(now, announce, revision)),
            }
            return false;
        }
        match &mut self.holder {
            Some(holder) => holder.renew(now, announce, revision),
            None => {
                let mut entry = DirectoryEntry::open(now, announce, revision);
                if let Some(former) = self.former.filter(|former| former.incarnation == life) {
                    entry.start = entry.start.min(former.start);
                    let late = now.saturating_duration_since(entry.start + entry.newest.1);
                    entry.lease_ends = entry.lease_ends.checked_sub(late).unwrap_or(now);
                }
                let alive = entry.lease_ends > now;
                if alive {
                    self.holder = Some(entry);
                }
                alive
            }
        }
    }

    fn goodbye(&mut self, now: Instant, ended: u64) -> bool {
        let highest = self.goodbye.map_or(ended, |(known, _)| known.max(ended));
        self.goodbye = Some((highest, now + GOODBYE_MEMORY));
        self.rival.take_if(|rival| rival.incarnation() == ended);
        let was_holder = self
            .holder
            .take_if(|holder| holder.incarnation() == ended)
            .is_some();
        if was_holder {
            self.holder = self.rival.take();
        }
        was_holder
    }

    fn expire(&mut self, now: Instant) -> bool {
        self.goodbye.take_if(|(_, end)| *end <= now);
        self.former.take_if(|former| former.forgotten_at <= now);
        self.rival.take_if(|rival| rival.lease_ends <= now);
        let Some(ended) = self.holder.take_if(|holder| holder.lease_ends <= now) else {
            return false;
        };
        self.former = Some(FormerLife {
            incarnation: ended.incarnation(),
            start: ended.start,
            forgotten_at: now + FORMER_MEMORY,
        });
        self.holder = self.rival.take();
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
            announce: stable(announce),
            revision,
            start,
            newest: (now, uptime),
        }
    }

    /// Extends the lease and tells whether the content changed. The lease counts from the sending,
    /// which the uptime shows: a burst of announcements that were held up on the way would
    /// otherwise keep a dead process alive, or let it come and go.
    fn renew(&mut self, now: Instant, announce: messages::Announce, revision: u64) -> bool {
        let uptime = Duration::from_millis(announce.uptime_millis);
        let (arrival, newest) = self.newest;
        if uptime < newest {
            // The announcement is older than one that came before it.
            return false;
        }
        let drift = now.saturating_duration_since(arrival) / DRIFT_DIVISOR;
        let start = now.checked_sub(uptime).unwrap_or(now);
        self.start = (self.start + drift).min(start);
        self.newest = (now, uptime);
        let lease_ends = self.start + uptime + lease(&announce);
        self.lease_ends = self.lease_ends.max(lease_ends);
        self.settings_version = self.settings_version.max(announce.settings_version);
        let announce = stable(announce);
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

/// Drops the parts that change with every announcement.
fn stable(mut announce: messages::Announce) -> messages::Announce {
    announce.uptime_millis = 0;
    announce.settings_version = 0;
    announce
}

/// Picks the endpoints that an entry watches: those of its own data centre first, then a sample
/// by rendezvous hash, so that a member that comes or goes changes one place of each sample.
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
            let distant = process.data_centre != data_centre;
            let weight =
                xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(watcher.as_bytes()));
            (process.kind == agent).then_some((distant, weight, name, entry))
        })
        .collect();
    if ranked.len() > limit {
        ranked.sort_unstable_by_key(|(distant, weight, name, _)| (*distant, *weight, *name));
        ranked.truncate(limit);
    }
    ranked
        .into_iter()
        .map(|(_, _, name, entry)| (name, entry))
        .collect()
}
