//! Configuration of the client.

use std::{net::SocketAddr, time::Duration};

use waxwing_wire::{links, messages, security};

/// The identity of this process, the control hosts' addresses, and the timeouts of the client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// The first announcement; its `process` is also sent as the `Hello` of each link.
    pub announcement: messages::Announce,
    /// The configured control hosts, tried in this order. Control hosts that are only known from
    /// the directory are tried after these.
    pub control: Vec<SocketAddr>,
    /// Interval between announcements; default 2 s, a third of the lease.
    pub announce_interval: Duration,
    /// Time after which an announcement that is not renewed expires; default 6 s.
    pub lease: Duration,
    /// Time without confirmation after which settings are stale; default 8 s, because an accepted
    /// change is guaranteed to be in force everywhere by then.
    pub stale_after: Duration,
    /// Time without confirmation after which the client switches to another control host; default
    /// 3 s, so that the new host can confirm before the settings are stale.
    pub confirm_timeout: Duration,
    /// Timeout of one attempt of a request, after which the client switches to another control
    /// host; default 1 s.
    pub attempt_timeout: Duration,
    /// Timeout of a request over all its attempts; default 6 s, the time of three elections.
    pub request_timeout: Duration,
    /// Minimum delay before the next attempt; default 100 ms. Before a reconnect, a random delay of
    /// up to the same time is added, so that processes that lose a host at the same time don't
    /// reconnect at the same time.
    pub retry_delay: Duration,
    /// Timeouts and limits of the link.
    pub link: links::LinkOptions,
    /// Authentication and encryption of the link.
    pub security: security::LinkSecurity,
}

impl ClientOptions {
    /// Creates options with the default timeouts and without link security.
    #[must_use]
    pub fn new(announcement: messages::Announce, control: Vec<SocketAddr>) -> Self {
        Self {
            announcement,
            control,
            announce_interval: Duration::from_secs(2),
            lease: Duration::from_secs(6),
            stale_after: Duration::from_secs(8),
            confirm_timeout: Duration::from_secs(3),
            attempt_timeout: Duration::from_secs(1),
            request_timeout: Duration::from_secs(6),
            retry_delay: Duration::from_millis(100),
            link: links::LinkOptions::default(),
            security: security::LinkSecurity::default(),
        }
    }
}
