//! Links to the other control hosts. Each host dials every other one and sends messages only over
//! the links that it opened, so that the two sides needn't agree on which of two links to keep.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use waxwing_core::{clock::Clock, counters, ids};
use waxwing_wire::{errors::LinkError, links, messages, security};

use crate::log;

/// Capacity of the message queue to one host. When it is full, further messages are dropped; the
/// replicated log resends what matters.
const QUEUE_LENGTH: usize = 1_024;

/// Minimum pause before a host is dialled again; a random jitter of up to the same length is added.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A message to another control host.
#[derive(Debug)]
enum QueuedMessage {
    OneWay(messages::Body),
    Request(messages::Body, oneshot::Sender<messages::Body>),
}

/// The address and region of another control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerLocation {
    /// The address for links.
    pub(crate) address: SocketAddr,
    /// The region; empty until the host's record is in the replicated state.
    pub(crate) region: String,
}

/// The message queue to one other host, and the token that stops its task.
#[derive(Debug)]
struct PeerHandle {
    member: ids::MemberId,
    location: PeerLocation,
    queue: mpsc::Sender<QueuedMessage>,
    stop: CancellationToken,
}

/// The message queues to all other hosts, by name.
#[derive(Debug, Default)]
pub(crate) struct PeerNetwork {
    peers: Mutex<HashMap<String, PeerHandle>>,
}

/// What a [`PeerTask`] needs to open links that identify as this host.
#[derive(Debug, Clone)]
pub(crate) struct PeerDialer<C> {
    pub(crate) hello: messages::Hello,
    pub(crate) security: security::LinkSecurity,
    pub(crate) counters: counters::CounterSet,
    pub(crate) clock: C,
    pub(crate) tasks: TaskTracker,
    pub(crate) shutdown: CancellationToken,
}

impl PeerNetwork {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, PeerHandle>> {
        self.peers
            .lock()
            .expect("no code that holds the lock on the peers panics")
    }

    /// Sends a message of the replicated log. It may be lost.
    pub(crate) fn send_quorum(&self, to: ids::MemberId, payload: Bytes) {
        let quorum = messages::Quorum { group: 0, payload };
        let peers = self.lock();
        if let Some(peer) = peers.values().find(|peer| peer.member == to) {
            let body = messages::Body::Quorum(quorum);
            let _ = peer.queue.try_send(QueuedMessage::OneWay(body));
        }
    }

    /// Sends a message to all other hosts. It may be lost.
    pub(crate) fn broadcast(&self, body: &messages::Body) {
        for peer in self.lock().values() {
            let _ = peer.queue.try_send(QueuedMessage::OneWay(body.clone()));
        }
    }

    /// Sends a message to the other hosts of a region and to those whose region is unknown. It may
    /// be lost.
    pub(crate) fn broadcast_region(&self, region: &str, body: &messages::Body) {
        for peer in self.lock().values() {
            if peer.location.region.is_empty() || peer.location.region == region {
                let _ = peer.queue.try_send(QueuedMessage::OneWay(body.clone()));
            }
        }
    }

    /// Sends a request to a host. Returns `None` if the host is unknown, its queue is full or the
    /// link ends before the response.
    pub(crate) async fn send_request(
        &self,
        name: &str,
        body: messages::Body,
    ) -> Option<messages::Body> {
        let (response, receiver) = oneshot::channel();
        let queue = self.lock().get(name)?.queue.clone();
        queue
            .try_send(QueuedMessage::Request(body, response))
            .ok()?;
        receiver.await.ok()
    }

    /// Returns the names of all other hosts.
    pub(crate) fn names(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Starts and stops links so that there is one to each host in `wanted`.
    pub(crate) fn update_links<C: Clock>(
        &self,
        wanted: &HashMap<String, PeerLocation>,
        dialer: &PeerDialer<C>,
    ) {
        let mut peers = self.lock();
        peers.retain(|name, peer| {
            let location = wanted.get(name);
            let unchanged =
                location.is_some_and(|location| location.address == peer.location.address);
            match location {
                Some(location) if unchanged => peer.location.clone_from(location),
                _ => peer.stop.cancel(),
            }
            unchanged
        });
        for (name, location) in wanted {
            if !peers.contains_key(name) {
                let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
                let stop = dialer.shutdown.child_token();
                let task = PeerTask {
                    name: name.clone(),
                    address: location.address,
                    queue: receiver,
                    dialer: dialer.clone(),
                };
                dialer.tasks.spawn(task.run(stop.clone()));
                let handle = PeerHandle {
                    member: log::member_id(name),
                    location: location.clone(),
                    queue,
                    stop,
                };
                peers.insert(name.clone(), handle);
            }
        }
    }
}

/// The task that maintains the link to one other host.
struct PeerTask<C> {
    name: String,
    address: SocketAddr,
    queue: mpsc::Receiver<QueuedMessage>,
    dialer: PeerDialer<C>,
}

impl<C: Clock> PeerTask<C> {
    async fn run(mut self, stop: CancellationToken) {
        loop {
            let link = tokio::select! {
                () = stop.cancelled() => return,
                link = self.dial() => link,
            };
            let sender = link.sender.clone();
            let link_result = tokio::select! {
                () = stop.cancelled() => Ok(()),
                link_result = self.run_link(link) => link_result,
            };
            sender.close();
            if let Err(error) = link_result {
                tracing::info!(peer = self.name, %error, "link to control host ended");
            }
        }
    }

    /// Dials until the host accepts. Messages queued meanwhile are dropped, because outdated
    /// messages of the replicated log are useless.
    async fn dial(&mut self) -> links::Link {
        loop {
            let dialer = &self.dialer;
            let connecting = links::connect(
                self.address,
                dialer.hello.clone(),
                links::LinkOptions::with_counters(&dialer.counters),
                dialer.security.clone(),
                dialer.clock.clone(),
            );
            let opened = tokio::select! {
                opened = connecting => opened,
                () = Self::drop_queued(&mut self.queue) => continue,
            };
            match opened {
                Ok(link) if link.peer.name == self.name => return link,
                Ok(link) => {
                    tracing::warn!(
                        expected = self.name,
                        found = link.peer.name,
                        "another control host responded at this address"
                    );
                    link.sender.close();
                }
                Err(error) => {
                    tracing::debug!(peer = self.name, %error, "failed to connect to control host");
                }
            }
            let pause = RETRY_PAUSE + RETRY_PAUSE.mul_f64(rand::random::<f64>());
            let clock = self.dialer.clock.clone();
            tokio::select! {
                () = clock.sleep(pause) => {}
                () = Self::drop_queued(&mut self.queue) => {}
            }
        }
    }

    /// Drops queued messages; never completes.
    async fn drop_queued(queue: &mut mpsc::Receiver<QueuedMessage>) {
        while queue.recv().await.is_some() {}
        std::future::pending().await
    }

    async fn run_link(&mut self, link: links::Link) -> Result<(), LinkError> {
        let links::Link {
            sender,
            mut receiver,
            ..
        } = link;
        let mut pending: HashMap<u64, oneshot::Sender<messages::Body>> = HashMap::new();
        let mut correlation = 0;
        loop {
            tokio::select! {
                Some(outgoing) = self.queue.recv() => match outgoing {
                    QueuedMessage::OneWay(body) => sender.send(0, body).await?,
                    QueuedMessage::Request(body, response) => {
                        pending.retain(|_, response| !response.is_closed());
                        correlation += 1;
                        pending.insert(correlation, response);
                        sender.send(correlation, body).await?;
                    }
                },
                received = receiver.recv() => {
                    let envelope = received?;
                    let response = pending.remove(&envelope.correlation);
                    if let (Some(response), Some(body)) = (response, envelope.body) {
                        let _ = response.send(body);
                    }
                }
            }
        }
    }
}
