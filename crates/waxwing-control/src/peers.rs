//! Links to the other control hosts. Each host dials every other one and sends over its own link,
//! so that no side has to decide which of two links stays.

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

/// Messages that may wait for the link to one host; further ones are lost, and the log sends
/// again what matters.
const QUEUE_LENGTH: usize = 1_024;

/// Pause before a host is dialled again, with the same again at random.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A `PeerOutgoing` is a message to another control host.
#[derive(Debug)]
enum PeerOutgoing {
    Tell(messages::Body),
    Ask(messages::Body, oneshot::Sender<messages::Body>),
}

/// A `PeerPlace` is where another control host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerPlace {
    /// The address for links.
    pub(crate) address: SocketAddr,
    /// The region; empty until the host has described itself.
    pub(crate) region: String,
}

/// A `PeerHandle` is the queue to one other host.
#[derive(Debug)]
struct PeerHandle {
    member: ids::MemberId,
    place: PeerPlace,
    queue: mpsc::Sender<PeerOutgoing>,
    stop: CancellationToken,
}

/// A `PeerNetwork` holds the queues to all other hosts by name.
#[derive(Debug, Default)]
pub(crate) struct PeerNetwork {
    peers: Mutex<HashMap<String, PeerHandle>>,
}

/// A `PeerDialer` opens links in the name of this host.
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
            .expect("the table of peers is never left half changed")
    }

    /// Sends a message of the log; it may be lost.
    pub(crate) fn send_quorum(&self, to: ids::MemberId, payload: Bytes) {
        let quorum = messages::Quorum { group: 0, payload };
        let peers = self.lock();
        if let Some(peer) = peers.values().find(|peer| peer.member == to) {
            let body = messages::Body::Quorum(quorum);
            let _ = peer.queue.try_send(PeerOutgoing::Tell(body));
        }
    }

    /// Sends a message to all other hosts; it may be lost.
    pub(crate) fn tell_all(&self, body: &messages::Body) {
        for peer in self.lock().values() {
            let _ = peer.queue.try_send(PeerOutgoing::Tell(body.clone()));
        }
    }

    /// Sends a message to the other hosts of a region; it may be lost.
    pub(crate) fn tell_region(&self, region: &str, body: &messages::Body) {
        for peer in self.lock().values() {
            if peer.place.region.is_empty() || peer.place.region == region {
                let _ = peer.queue.try_send(PeerOutgoing::Tell(body.clone()));
            }
        }
    }

    /// Asks a host; `None` if it can't be reached or the link ends before the answer.
    pub(crate) async fn ask(&self, name: &str, body: messages::Body) -> Option<messages::Body> {
        let (answer, receiver) = oneshot::channel();
        let queue = self.lock().get(name)?.queue.clone();
        queue.try_send(PeerOutgoing::Ask(body, answer)).ok()?;
        receiver.await.ok()
    }

    /// Returns the names of all other hosts.
    pub(crate) fn names(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Starts and stops links until exactly `wanted` are kept.
    pub(crate) fn keep<C: Clock>(
        &self,
        wanted: &HashMap<String, PeerPlace>,
        dialer: &PeerDialer<C>,
    ) {
        let mut peers = self.lock();
        peers.retain(|name, peer| {
            let place = wanted.get(name);
            let stays = place.is_some_and(|place| place.address == peer.place.address);
            match place {
                Some(place) if stays => peer.place.clone_from(place),
                _ => peer.stop.cancel(),
            }
            stays
        });
        for (name, place) in wanted {
            if !peers.contains_key(name) {
                let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
                let stop = dialer.shutdown.child_token();
                let task = PeerTask {
                    name: name.clone(),
                    address: place.address,
                    queue: receiver,
                    dialer: dialer.clone(),
                };
                dialer.tasks.spawn(task.run(stop.clone()));
                let handle = PeerHandle {
                    member: log::member_id(name),
                    place: place.clone(),
                    queue,
                    stop,
                };
                peers.insert(name.clone(), handle);
            }
        }
    }
}

/// A `PeerTask` keeps the link to one other host.
struct PeerTask<C> {
    name: String,
    address: SocketAddr,
    queue: mpsc::Receiver<PeerOutgoing>,
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
            let ended = tokio::select! {
                () = stop.cancelled() => Ok(()),
                ended = self.exchange(link) => ended,
            };
            sender.close();
            if let Err(error) = ended {
                tracing::info!(peer = self.name, %error, "link to control host ended");
            }
        }
    }

    /// Dials until the host answers; what is queued meanwhile is dropped, since old messages of
    /// the log are of no use.
    async fn dial(&mut self) -> links::Link {
        loop {
            let dialer = &self.dialer;
            let opening = links::connect(
                self.address,
                dialer.hello.clone(),
                links::LinkOptions::counted(&dialer.counters),
                dialer.security.clone(),
                dialer.clock.clone(),
            );
            let opened = tokio::select! {
                opened = opening => opened,
                () = Self::drop_queued(&mut self.queue) => continue,
            };
            match opened {
                Ok(link) if link.peer.name == self.name => return link,
                Ok(link) => {
                    tracing::warn!(
                        expected = self.name,
                        found = link.peer.name,
                        "another control host answers at this address"
                    );
                    link.sender.close();
                }
                Err(error) => {
                    tracing::debug!(peer = self.name, %error, "control host could not be reached");
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

    /// Drops messages for ever; it ends only when the queue is closed.
    async fn drop_queued(queue: &mut mpsc::Receiver<PeerOutgoing>) {
        while queue.recv().await.is_some() {}
        std::future::pending().await
    }

    async fn exchange(&mut self, link: links::Link) -> Result<(), LinkError> {
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
                    PeerOutgoing::Tell(body) => sender.send(0, body).await?,
                    PeerOutgoing::Ask(body, answer) => {
                        pending.retain(|_, answer| !answer.is_closed());
                        correlation += 1;
                        pending.insert(correlation, answer);
                        sender.send(correlation, body).await?;
                    }
                },
                received = receiver.recv() => {
                    let envelope = received?;
                    let answer = pending.remove(&envelope.correlation);
                    if let (Some(answer), Some(body)) = (answer, envelope.body) {
                        let _ = answer.send(body);
                    }
                }
            }
        }
    }
}
