//! Options of the client with their defaults.

use std::{net::SocketAddr, time::Duration};

use waxwing_wire::{links, messages, security};

/// `ClientOptions` say who this process is and where the control hosts are.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// The first announcement; its `process` also introduces the process on links.
    pub announcement: messages::Announce,
    /// The control hosts; the first is tried first. Hosts that the directory names later are
    /// tried after these.
    pub control: Vec<SocketAddr>,
    /// Time between announcements; 2 s, a third of the lease.
    pub announce_interval: Duration,
    /// The lease of an announcement; 6 s.
    pub lease: Duration,
    /// Time without confirmation after which settings are stale; 8 s, since an accepted change
    /// is promised to be in force everywhere by then.
    pub stale_after: Duration,
    /// Time without confirmation after which another control host is tried; 3 s, so that the new
    /// host can confirm before the settings are stale.
    pub host_silence: Duration,
    /// Time for one control host to answer a question; 1 s.
    pub answer_limit: Duration,
    /// Time for all attempts at one question; 6 s, three elections.
    pub question_limit: Duration,
    /// Pause before the next control host is tried; 100 ms, with the same again at random so
    /// that processes which lose a host together don't come back together.
    pub retry_pause: Duration,
    /// Timing and limits of the link.
    pub link: links::LinkOptions,
    /// Protection of the link.
    pub security: security::LinkSecurity,
}

impl ClientOptions {
    /// Builds options with the documented defaults.
    #[must_use]
    pub fn new(announcement: messages::Announce, control: Vec<SocketAddr>) -> Self {
        Self {
            announcement,
            control,
            announce_interval: Duration::from_secs(2),
            lease: Duration::from_secs(6),
            stale_after: Duration::from_secs(8),
            host_silence: Duration::from_secs(3),
            answer_limit: Duration::from_secs(1),
            question_limit: Duration::from_secs(6),
            retry_pause: Duration::from_millis(100),
            link: links::LinkOptions::default(),
            security: security::LinkSecurity::default(),
        }
    }
}
