//! The link to a control host: announcements, settings, the directory, and claims.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use waxwing_core::clock;
use waxwing_wire::{errors, links, messages, security};

use crate::{agent_links, agents, request_core, routes, settings_state};

/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which an announcement holds; three intervals.
const ANNOUNCE_LEASE: Duration = Duration::from_secs(6);

/// The correlation number of the settings watch; claims begin above it.
const WATCH_CORRELATION: u64 = 1;

/// Claims that wait for an answer at most; more are not sent.
const MAX_CLAIMS: usize = 65_536;

#[derive(Debug, Default)]
struct ClaimQueue {
    next: u64,
    waiting: HashMap<u64, routes::EventSender>,
}

/// A `ControlLink` is the shared handle of the link to control.
#[derive(Debug, Default)]
pub struct ControlLink {
    sender: ArcSwapOption<links::LinkSender>,
    claims: Mutex<ClaimQueue>,
    leaving: AtomicBool,
}

impl ControlLink {
    /// Asks for a claim; the answer goes to `sender`. Without a link nothing is sent, and the
    /// request asks again by its own timer.
    pub async fn claim(&self, key: messages::ClaimKey, sender: routes::EventSender) {
        let Some(link) = self.sender.load_full() else {
            return;
        };
        let Some(correlation) = self.enqueue(sender) else {
            return;
        };
        if link
            .send(correlation, messages::Body::ClaimKey(key))
            .await
            .is_err()
        {
            routes::lock(&self.claims).waiting.remove(&correlation);
        }
    }

    /// Says with the next announcement that the process leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn enqueue(&self, sender: routes::EventSender) -> Option<u64> {
        let mut claims = routes::lock(&self.claims);
        claims.waiting.retain(|_, waiting| !waiting.is_closed());
        if claims.waiting.len() >= MAX_CLAIMS {
            return None;
        }
        claims.next += 1;
        let correlation = claims.next + WATCH_CORRELATION;
        claims.waiting.insert(correlation, sender);
        Some(correlation)
    }

    fn answer(&self, correlation: u64, result: messages::ClaimResult) {
        let waiting = routes::lock(&self.claims).waiting.remove(&correlation);
        if let Some(sender) = waiting {
            // A closed queue belongs to a request that has ended meanwhile.
            let _ = sender.send(request_core::CoreEvent::Claimed(result));
        }
    }

    fn disconnect(&self) {
        self.sender.store(None);
        routes::lock(&self.claims).waiting.clear();
    }
}

/// A `ControlTask` keeps the link to one of the control hosts.
pub struct ControlTask<C> {
    /// The announcement of this process.
    pub announce: messages::Announce,
    /// The control hosts, in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
    /// The shared handle.
    pub link: Arc<ControlLink>,
    /// Where settings go.
    pub settings: Arc<settings_state::SettingsState>,
    /// Where the directory goes.
    pub agents: Arc<agents::AgentTable<C>>,
    /// How links are protected.
    pub security: security::LinkSecurity,
    /// The clock.
    pub clock: C,
}

impl<C: clock::Clock> ControlTask<C> {
    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let mut attempts = 0;
        loop {
            let host = self.hosts[0];
            match self.connect(host).await {
                Ok(mut link) => {
                    attempts = 0;
                    let error = self.serve(&mut link).await;
                    link.sender.close();
                    tracing::info!(%host, %error, "link to the control host was lost");
                }
                Err(error) => tracing::debug!(%host, %error, "control host can't be reached"),
            }
            self.link.disconnect();
            // A redirect has put another host in front already.
            if self.hosts[0] == host {
                self.hosts.rotate_left(1);
            }
            self.clock
                .sleep(agent_links::reconnect_delay(attempts))
                .await;
            attempts += 1;
        }
    }

    async fn connect(&self, host: SocketAddr) -> Result<links::Link, errors::LinkError> {
        let hello = self.announce.process.clone().unwrap_or_default();
        let link = links::connect(
            host,
            hello,
            links::LinkOptions::default(),
            self.security.clone(),
            self.clock.clone(),
        )
        .await?;
        tracing::info!(%host, "link to the control host is open");
        Ok(link)
    }

    async fn serve(&mut self, link: &mut links::Link) -> errors::LinkError {
        let sender = link.sender.clone();
        if let Err(error) = self.introduce(&sender).await {
            return error;
        }
        self.link.sender.store(Some(Arc::new(sender.clone())));
        let mut announce_at = self.clock.now() + ANNOUNCE_INTERVAL;
        loop {
            let pause = announce_at.saturating_duration_since(self.clock.now());
            let received = tokio::select! {
                received = link.receiver.recv() => received.map(Some),
                () = self.clock.sleep(pause) => Ok(None),
            };
            let sent = match received {
                Ok(Some(envelope)) => self.receive(envelope, &sender).await,
                Ok(None) => {
                    announce_at = self.clock.now() + ANNOUNCE_INTERVAL;
                    self.send_announce(&sender).await
                }
                Err(error) => Err(error),
            };
            if let Err(error) = sent {
                return error;
            }
        }
    }

    async fn introduce(&self, sender: &links::LinkSender) -> Result<(), errors::LinkError> {
        self.send_announce(sender).await?;
        self.watch(sender, self.settings.version().0).await
    }

    async fn watch(
        &self,
        sender: &links::LinkSender,
        version: u64,
    ) -> Result<(), errors::LinkError> {
        let watch = messages::WatchSettings { version };
        sender
            .send(WATCH_CORRELATION, messages::Body::WatchSettings(watch))
            .await
    }

    async fn send_announce(&self, sender: &links::LinkSender) -> Result<(), errors::LinkError> {
        let version = self.settings.version().0;
        sender.set_settings_version(version);
        let mut announce = self.announce.clone();
        announce.settings_version = version;
        announce.leaving = self.link.leaving.load(Ordering::Relaxed);
        announce.lease_millis = u64::try_from(ANNOUNCE_LEASE.as_millis()).unwrap_or(u64::MAX);
        sender.send(0, messages::Body::Announce(announce)).await
    }

    async fn receive(
        &mut self,
        envelope: messages::Envelope,
        sender: &links::LinkSender,
    ) -> Result<(), errors::LinkError> {
        let Some(body) = envelope.body else {
            return Ok(());
        };
        if !matches!(
            body,
            messages::Body::Unavailable(_) | messages::Body::Redirect(_)
        ) {
            self.settings.hear(self.clock.now());
        }
        match body {
            messages::Body::Directory(directory) => self.agents.apply(&directory),
            messages::Body::SettingsSnapshot(snapshot) => {
                self.settings.take_snapshot(&snapshot);
                self.send_announce(sender).await?;
            }
            messages::Body::SettingsDelta(delta) => {
                let result = self.settings.take_delta(&delta);
                if result == settings_state::DeltaResult::NeedsSnapshot {
                    self.watch(sender, 0).await?;
                }
                self.send_announce(sender).await?;
            }
            messages::Body::ClaimResult(result) => self.link.answer(envelope.correlation, result),
            messages::Body::Unavailable(_) if envelope.correlation == WATCH_CORRELATION => {
                return Err(errors::LinkError::Closed);
            }
            messages::Body::Redirect(redirect) => return self.redirect(&redirect),
            _ => {}
        }
        Ok(())
    }

    /// Goes to the host that leads; without one the next host is tried.
    fn redirect(&mut self, redirect: &messages::Redirect) -> Result<(), errors::LinkError> {
        if let Ok(address) = redirect.address.parse() {
            self.hosts.retain(|host| *host != address);
            self.hosts.insert(0, address);
        }
        Err(errors::LinkError::Closed)
    }
}
