//! The links between one process and the other processes of the fleet.
//!
//! Each process dials a changing set of peers, redials after a failure, and accepts links. The
//! messages of all links, dialled or accepted, arrive in one queue. A message to a process without
//! a link, or whose queue is full, is dropped. Most kinds of messages are repeated or replaced by a
//! newer one; who sends others repeats them to the processes that missed them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters};
use waxwing_wire::{links, messages, security};

use crate::{dials, errors};

/// Pause after a failed accept, which most often means that file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Capacity of the event queue. When it is full, links stop reading, which slows their senders.
const EVENT_QUEUE_LEN: usize = 4_096;

/// An event on a link.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A link to or from a process has opened.
    Opened(RemoteProcess),
    /// A message arrived.
    Received(RemoteProcess, Box<messages::Body>),
    /// A link has ended.
    Closed(RemoteProcess),
}

/// The process at the other end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RemoteProcess {
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// The role of the process.
    pub kind: messages::ProcessKind,
    /// Whether this side dialled the link.
    pub dialled: bool,
}

/// The identity of this process and the timing of its links.
#[derive(Debug, Clone)]
pub struct NetworkOptions {
    /// The address at which this process accepts links.
    pub address: SocketAddr,
    /// The role of this process.
    pub kind: messages::ProcessKind,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// Heartbeats and timeouts of the links.
    pub links: links::LinkOptions,
}

impl NetworkOptions {
    /// Returns the options of a process, with short timeouts: a silent link is detected within
    /// 1.2 s, well below the 2 s within which a change must take effect.
    #[must_use]
    pub fn new(address: SocketAddr, kind: messages::ProcessKind, data_centre: &str) -> Self {
        let links = links::LinkOptions {
            heartbeat_interval: Duration::from_millis(300),
            idle_timeout: Duration::from_millis(1_200),
            connect_timeout: dials::MAX_CONNECT_TIMEOUT,
            ..links::LinkOptions::default()
        };
        Self {
            address,
            kind,
            data_centre: data_centre.to_owned(),
            links,
        }
    }

    fn hello(&self) -> messages::Hello {
        messages::Hello {
            kind: self.kind.into(),
            // Other processes dial the address that they learn from this name.
            name: self.address.to_string(),
            incarnation: rand::random(),
            data_centre: self.data_centre.clone(),
        }
    }
}

type SenderTable = HashMap<RemoteProcess, links::LinkSender>;

/// The links of one process; clones share them.
#[derive(Debug, Clone)]
pub struct ProcessNetwork<C> {
    options: Arc<NetworkOptions>,
    clock: C,
    events: mpsc::Sender<NetworkEvent>,
    senders: Arc<Mutex<SenderTable>>,
    dials: Arc<Mutex<HashMap<SocketAddr, CancellationToken>>>,
    shutdown: CancellationToken,
}

impl<C: Clock> ProcessNetwork<C> {
    /// Binds the socket for links and starts to accept them. Returns the queue of events too.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn open(
        options: NetworkOptions,
        clock: C,
        shutdown: CancellationToken,
    ) -> Result<(Self, mpsc::Receiver<NetworkEvent>), errors::NetworkError> {
        let address = options.address;
        let listener = links::LinkListener::bind(
            address,
            options.hello(),
            options.links.clone(),
            security::LinkSecurity::Plain,
            clock.clone(),
        );
        let listener = listener
            .await
            .map_err(|error| errors::NetworkError::Bind { address, error })?;
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        let network = Self {
            options: Arc::new(options),
            clock,
            events,
            senders: Arc::default(),
            dials: Arc::default(),
            shutdown,
        };
        tokio::spawn(network.clone().accept(listener));
        Ok((network, receiver))
    }

    fn senders(&self) -> MutexGuard<'_, SenderTable> {
        self.senders
            .lock()
            .expect("no thread panics while it holds the lock of the senders")
    }

    fn dials(&self) -> MutexGuard<'_, HashMap<SocketAddr, CancellationToken>> {
        self.dials
            .lock()
            .expect("no thread panics while it holds the lock of the dials")
    }

    /// Dials the processes at the `wanted` addresses, and closes dialled links to all others.
    /// Accepted links are unaffected.
    pub fn set_dial_targets(&self, wanted: &HashSet<SocketAddr>) {
        let mut dials = self.dials();
        dials.retain(|address, stop| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                stop.cancel();
            }
            is_wanted
        });
        for address in wanted {
            if *address != self.options.address && !dials.contains_key(address) {
                let stop = self.shutdown.child_token();
                dials.insert(*address, stop.clone());
                tokio::spawn(self.clone().dial(*address, stop));
            }
        }
    }

    /// Sends a message to the process at `address`, preferably over a link that this side dialled.
    /// Returns whether the message was queued.
    pub fn send(&self, address: SocketAddr, body: messages::Body) -> bool {
        let senders = self.senders();
        let links = senders
            .iter()
            .filter(|(remote, _)| remote.address == address);
        links
            .min_by_key(|(remote, _)| !remote.dialled)
            .is_some_and(|(remote, sender)| try_send(remote, sender, body))
    }

    /// Sends a message to each linked process with a role, once even if it has two links. Returns the
    /// addresses of those whose queue had no room for it.
    pub fn broadcast(
        &self,
        kind: messages::ProcessKind,
        body: &messages::Body,
    ) -> HashSet<SocketAddr> {
        let mut sent = HashSet::new();
        let mut missed = HashSet::new();
        for (remote, sender) in self.senders().iter() {
            if remote.kind != kind || !sent.insert(remote.address) {
                continue;
            }
            if !try_send(remote, sender, body.clone()) {
                missed.insert(remote.address);
            }
        }
        missed
    }

    /// Returns the counters of the bytes on all links.
    #[must_use]
    pub fn counters(&self) -> &counters::CounterSet {
        &self.options.links.counters
    }

    /// Returns the addresses of the linked processes with a role.
    #[must_use]
    pub fn linked_addresses(&self, kind: messages::ProcessKind) -> HashSet<SocketAddr> {
        let senders = self.senders();
        let linked = senders.keys().filter(|remote| remote.kind == kind);
        linked.map(|remote| remote.address).collect()
    }

    async fn accept(self, listener: links::LinkListener<C>) {
        loop {
            let accepted = tokio::select! {
                () = self.shutdown.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(pending) => {
                    let network = self.clone();
                    tokio::spawn(async move {
                        match pending.open().await {
                            Ok(link) => network.serve_link(link, None).await,
                            Err(error) => tracing::debug!(%error, "cannot open an incoming link"),
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a link");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn dial(self, address: SocketAddr, stop: CancellationToken) {
        let mut pacing = dials::DialPacing::default();
        loop {
            let options = links::LinkOptions {
                connect_timeout: pacing.connect_timeout(),
                ..self.options.links.clone()
            };
            let opening = links::connect(
                address,
                self.options.hello(),
                options,
                security::LinkSecurity::Plain,
                self.clock.clone(),
            );
            let opened = tokio::select! {
                () = stop.cancelled() => return,
                opened = opening => opened,
            };
            match opened {
                Ok(link) => {
                    pacing.record_success();
                    let sender = link.sender.clone();
                    tokio::select! {
                        () = stop.cancelled() => {
                            sender.close();
                            return;
                        }
                        () = self.serve_link(link, Some(address)) => {}
                    }
                }
                Err(error) => {
                    pacing.record_failure();
                    tracing::debug!(%address, %error, "cannot open a link");
                }
            }
            let jitter = pacing.pause().mul_f64(rand::random::<f64>());
            self.clock.sleep(pacing.pause() + jitter).await;
        }
    }

    /// Removes the sender of a link that has ended, unless a newer link of the same process has
    /// replaced it.
    fn remove_closed(&self, remote: RemoteProcess) {
        let mut senders = self.senders();
        if senders
            .get(&remote)
            .is_some_and(links::LinkSender::is_closed)
        {
            senders.remove(&remote);
        }
    }

    async fn serve_link(&self, link: links::Link, dialled: Option<SocketAddr>) {
        let links::Link {
            peer,
            sender,
            mut receiver,
            ..
        } = link;
        let Some(address) = dialled.or_else(|| peer.name.parse().ok()) else {
            tracing::warn!(
                name = peer.name,
                "the name of the remote process is not an address; closing the link"
            );
            sender.close();
            return;
        };
        let remote = RemoteProcess {
            address,
            kind: peer.kind(),
            dialled: dialled.is_some(),
        };
        if let Some(replaced) = self.senders().insert(remote, sender.clone()) {
            replaced.close();
        }
        tracing::info!(%address, kind = ?remote.kind, dialled = remote.dialled, "link opened");
        let _ = self.events.send(NetworkEvent::Opened(remote)).await;
        let close_reason = loop {
            let received = tokio::select! {
                () = self.shutdown.cancelled() => Err(waxwing_wire::errors::LinkError::Closed),
                received = receiver.recv() => received,
            };
            match received {
                Ok(envelope) => {
                    let Some(body) = envelope.body else { continue };
                    if matches!(body, messages::Body::Heartbeat(_)) {
                        continue;
                    }
                    let event = NetworkEvent::Received(remote, Box::new(body));
                    if self.events.send(event).await.is_err() {
                        break waxwing_wire::errors::LinkError::Closed;
                    }
                }
                Err(error) => break error,
            }
        };
        sender.close();
        self.remove_closed(remote);
        tracing::info!(%address, kind = ?remote.kind, error = %close_reason, "link lost");
        let _ = self.events.send(NetworkEvent::Closed(remote)).await;
    }
}

/// Queues a message on a link; returns whether there was room for it.
fn try_send(remote: &RemoteProcess, sender: &links::LinkSender, body: messages::Body) -> bool {
    let sent = sender.try_send(0, body);
    if let Err(error) = &sent {
        tracing::warn!(event = "message-dropped", address = %remote.address, %error);
    }
    sent.is_ok()
}
