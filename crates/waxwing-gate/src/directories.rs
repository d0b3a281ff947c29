//! How an entry learns of the endpoints: control hosts tell digests of what they know, and the entry
//! asks one host at a time for the groups of endpoints that differ.
//!
//! Control hosts know nearly the same endpoints, so an entry that has just started gets each notice
//! once, in parts between which its requests use the link, and one whose link was lost for a moment
//! gets next to nothing. `docs/design/directory.md` has the alternatives.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use waxwing_fleet::{registry, summaries};
use waxwing_wire::messages;

use crate::shares;

/// Most groups of endpoints in one request. With 3,400 endpoints these are 850 notices in some
/// 40 KB, for which a link of 10 Mbit/s takes 32 ms.
const GROUPS_PER_FETCH: usize = 16;

/// Time without an answer after which another host is asked; many times what an answer takes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a group that a host has sent isn't asked for again because of an unknown notice. It
/// bounds what a host costs that tells of a notice which this entry ignores as out of date.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A request for notices, and the host to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeOrder {
    /// The link address of the control host.
    pub control: SocketAddr,
    /// The request.
    pub fetch: messages::FetchNotices,
}

/// What a control host has told of its directory.
#[derive(Debug, Default)]
struct HostDirectory {
    summary: summaries::DirectorySummary,
    /// Groups that were not compared with the summary since it was told.
    unchecked: BTreeSet<u32>,
    /// Notices that the host told as unchanged and that were unknown here then.
    unknown: HashSet<summaries::NoticeDigest>,
    /// When groups were last fetched because of such a notice.
    repaired: HashMap<u32, Instant>,
}

impl HostDirectory {
    /// Returns the groups to ask for, given what is known here.
    fn wanted(&mut self, now: Instant, known: &registry::EndpointRegistry) -> Vec<u32> {
        let (summary, repaired) = (&self.summary, &self.repaired);
        self.unchecked
            .retain(|group| !summary.agrees(known.summary(), *group));
        self.unknown.retain(|digest| {
            let repaired = repaired.get(&digest.group());
            let is_recent =
                repaired.is_some_and(|at| now.saturating_duration_since(*at) < REPEAT_INTERVAL);
            !is_recent && !known.knows(*digest)
        });
        let mut wanted = self.unchecked.clone();
        wanted.extend(self.unknown.iter().map(|digest| digest.group()));
        wanted.into_iter().take(GROUPS_PER_FETCH).collect()
    }
}

/// A request that was not answered yet.
#[derive(Debug, Clone, Copy)]
struct OpenFetch {
    control: SocketAddr,
    asked: Instant,
}

/// Decides which notices an entry fetches from which control host.
#[derive(Debug)]
pub struct DirectoryFetcher {
    own: SocketAddr,
    hosts: HashMap<SocketAddr, HostDirectory>,
    open: Option<OpenFetch>,
    /// Hosts that didn't answer in time, in the order in which they failed to.
    stalled: Vec<SocketAddr>,
}

impl DirectoryFetcher {
    /// Builds the fetcher of an entry that was told nothing; `own` is its link address.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            hosts: HashMap::new(),
            open: None,
            stalled: Vec::new(),
        }
    }

    /// Takes the digests of a control host.
    pub fn offer(&mut self, control: SocketAddr, summary: summaries::DirectorySummary) {
        let host = self.hosts.entry(control).or_default();
        host.summary = summary;
        host.unchecked = (0..summaries::GROUPS).collect();
    }

    /// Takes note of notices that a control host told as unchanged and that are unknown here, since
    /// a message was lost.
    pub fn suspect(
        &mut self,
        control: SocketAddr,
        unknown: impl IntoIterator<Item = summaries::NoticeDigest>,
    ) {
        if let Some(host) = self.hosts.get_mut(&control) {
            host.unknown.extend(unknown);
        }
    }

    /// Drops a control host whose link has ended.
    pub fn forget(&mut self, control: SocketAddr) {
        self.hosts.remove(&control);
        self.stalled.retain(|stalled| *stalled != control);
        self.open.take_if(|open| open.control == control);
    }

    /// Returns the request to send now, if there is one.
    pub fn next_order(
        &mut self,
        now: Instant,
        known: &registry::EndpointRegistry,
    ) -> Option<NoticeOrder> {
        if let Some(open) = self.open {
            if now.saturating_duration_since(open.asked) < ANSWER_TIMEOUT {
                return None;
            }
            self.open = None;
            self.stalled.retain(|stalled| *stalled != open.control);
            self.stalled.push(open.control);
        }
        for control in self.hosts_by_preference() {
            let host = self.hosts.get_mut(&control);
            let groups = host.map_or_else(Vec::new, |host| host.wanted(now, known));
            if groups.is_empty() {
                continue;
            }
            self.open = Some(OpenFetch {
                control,
                asked: now,
            });
            return Some(NoticeOrder {
                control,
                fetch: messages::FetchNotices { groups },
            });
        }
        None
    }

    /// Returns the time until [`Self::next_order`] may return a request without further messages;
    /// `None` if only a message can cause one.
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Option<Duration> {
        let open = self.open?;
        Some((open.asked + ANSWER_TIMEOUT).saturating_duration_since(now))
    }

    /// Takes note that a control host has sent the notices of some groups. They are not asked for
    /// again, whether or not both sides agree now.
    pub fn receive(&mut self, now: Instant, control: SocketAddr, groups: &[u32]) {
        self.open.take_if(|open| open.control == control);
        self.stalled.retain(|stalled| *stalled != control);
        if let Some(host) = self.hosts.get_mut(&control) {
            for group in groups {
                host.unchecked.remove(group);
                host.repaired.insert(*group, now);
            }
        }
    }

    /// Returns the hosts in the order in which they are asked: those that answer first, and the
    /// others by how long ago they failed to. The order differs between entries, which spreads their
    /// requests over the hosts.
    fn hosts_by_preference(&self) -> Vec<SocketAddr> {
        let mut hosts: Vec<_> = self.hosts.keys().copied().collect();
        hosts.sort_by_cached_key(|host| {
            let stalled = self.stalled.iter().position(|stalled| stalled == host);
            let weight = shares::rendezvous_weight(self.own, &host.to_string());
            (stalled.map(|position| position + 1), u64::MAX - weight)
        });
        hosts
    }
}
