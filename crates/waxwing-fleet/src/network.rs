//! Links of one process to a changing set of others, and the links that others open to it.
//!
//! Each process dials the ones it needs and dials again after a failure. What arrives over any
//! link, dialled or accepted, goes to one queue. Messages are dropped while there is no link:
//! every kind of message here is repeated or replaced by a newer one.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_wire::{links, messages, security};

use crate::errors;

/// Pause before a process is dialled again, with as much again at random.
const REDIAL_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a failed accept, most often for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Events that may wait for the process; further ones hold their link back.
const EVENT_QUEUE: usize = 4_096;

/// A `NetworkEvent` is something that happened on a link.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A link to or from a process is open.
    Opened(RemoteProcess),
    /// A message arrived.
    Received(RemoteProcess, Box<messages::Body>),
    /// A link has ended.
    Closed(RemoteProcess),
}

/// A `RemoteProcess` is the process at the other end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RemoteProcess {
    /// Where it accepts links.
    pub address: SocketAddr,
    /// Its role.
    pub kind: messages::ProcessKind,
    /// Whether this side opened the link.
    pub dialled: bool,
}

/// `NetworkOptions` say who this process is and how its links behave.
#[derive(Debug, Clone)]
pub struct NetworkOptions {
    /// Where this process accepts links.
    pub address: SocketAddr,
    /// Its role.
    pub kind: messages::ProcessKind,
    /// Its data centre.
    pub data_centre: String,
    /// Timing of links.
    pub links: links::LinkOptions,
}

impl NetworkOptions {
    /// Returns the options of a process with short timing: silence is found within 1.2 s, well
    /// below the 2 s in which a change has to be in force.
    #[must_use]
    pub fn new(address: SocketAddr, kind: messages::ProcessKind, data_centre: &str) -> Self {
        let links = links::LinkOptions {
            heartbeat_interval: Duration::from_millis(300),
            silence_limit: Duration::from_millis(1_200),
            connect_limit: Duration::from_millis(800),
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
            // The name under which links introduce a process is where others can dial it.
            name: self.address.to_string(),
            incarnation: rand::random(),
            data_centre: self.data_centre.clone(),
        }
    }
}

type SenderTable = HashMap<RemoteProcess, links::LinkSender>;

/// A `ProcessNetwork` keeps the links of one process; clones share them.
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
    /// Opens the socket for links of others and starts to accept them.
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
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
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
            .expect("the table of links is never left half changed")
    }

    fn dials(&self) -> MutexGuard<'_, HashMap<SocketAddr, CancellationToken>> {
        self.dials
            .lock()
            .expect("the table of dials is never left half changed")
    }

    /// Dials exactly the processes at `wanted`; links to others that this side opened are closed.
    pub fn keep(&self, wanted: &HashSet<SocketAddr>) {
        let mut dials = self.dials();
        dials.retain(|address, stop| {
            let stays = wanted.contains(address);
            if !stays {
                stop.cancel();
            }
            stays
        });
        for address in wanted {
            if *address != self.options.address && !dials.contains_key(address) {
                let stop = self.shutdown.child_token();
                dials.insert(*address, stop.clone());
                tokio::spawn(self.clone().dial(*address, stop));
            }
        }
    }

    /// Sends a message to the process at `address`, over the link that this side opened if there
    /// is one; returns whether it was queued.
    pub fn send(&self, address: SocketAddr, body: messages::Body) -> bool {
        let senders = self.senders();
        let links = senders
            .iter()
            .filter(|(remote, _)| remote.address == address);
        links
            .min_by_key(|(remote, _)| !remote.dialled)
            .is_some_and(|(_, sender)| sender.try_send(0, body).is_ok())
    }

    /// Sends a message once to each process of a role.
    pub fn tell(&self, kind: messages::ProcessKind, body: &messages::Body) {
        let mut told = HashSet::new();
        for (remote, sender) in self.senders().iter() {
            if remote.kind != kind || !told.insert(remote.address) {
                continue;
            }
            if let Err(error) = sender.try_send(0, body.clone()) {
                tracing::debug!(address = %remote.address, %error, "message dropped");
            }
        }
    }

    /// Returns the addresses of the processes of a role that have a link.
    #[must_use]
    pub fn linked(&self, kind: messages::ProcessKind) -> HashSet<SocketAddr> {
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
                            Ok(link) => network.exchange(link, None).await,
                            Err(error) => tracing::debug!(%error, "an incoming link failed"),
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "no link can be accepted");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn dial(self, address: SocketAddr, stop: CancellationToken) {
        loop {
            let opening = links::connect(
                address,
                self.options.hello(),
                self.options.links.clone(),
                security::LinkSecurity::Plain,
                self.clock.clone(),
            );
            let opened = tokio::select! {
                () = stop.cancelled() => return,
                opened = opening => opened,
            };
            match opened {
                Ok(link) => {
                    let sender = link.sender.clone();
                    tokio::select! {
                        () = stop.cancelled() => {
                            sender.close();
                            return;
                        }
                        () = self.exchange(link, Some(address)) => {}
                    }
                }
                Err(error) => tracing::debug!(%address, %error, "no link to process"),
            }
            let pause = REDIAL_PAUSE + REDIAL_PAUSE.mul_f64(rand::random::<f64>());
            self.clock.sleep(pause).await;
        }
    }

    /// Removes a link that has ended; a newer link of the same process stays.
    fn forget_closed(&self, remote: RemoteProcess) {
        let mut senders = self.senders();
        if senders
            .get(&remote)
            .is_some_and(links::LinkSender::is_closed)
        {
            senders.remove(&remote);
        }
    }

    async fn exchange(&self, link: links::Link, dialled: Option<SocketAddr>) {
        let links::Link {
            peer,
            sender,
            mut receiver,
            ..
        } = link;
        let Some(address) = dialled.or_else(|| peer.name.parse().ok()) else {
            tracing::warn!(
                name = peer.name,
                "a link without the address of its process"
            );
            sender.close();
            return;
        };
        let remote = RemoteProcess {
            address,
            kind: peer.kind(),
            dialled: dialled.is_some(),
        };
        if let Some(former) = self.senders().insert(remote, sender.clone()) {
            former.close();
        }
        tracing::info!(%address, kind = ?remote.kind, dialled = remote.dialled, "link opened");
        let _ = self.events.send(NetworkEvent::Opened(remote)).await;
        let ended = loop {
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
        self.forget_closed(remote);
        tracing::info!(%address, kind = ?remote.kind, error = %ended, "link lost");
        let _ = self.events.send(NetworkEvent::Closed(remote)).await;
    }
}
