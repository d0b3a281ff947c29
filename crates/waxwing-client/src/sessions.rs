//! The task behind the client: it keeps one link open and serves it until it ends.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters::CounterEvent};
use waxwing_wire::{errors::LinkError, links, messages};

use crate::{clients, settings};

/// A `ClientTask` owns the link of a [`clients::ControlClient`].
#[derive(Debug)]
pub(crate) struct ClientTask<C> {
    pub(crate) shared: Arc<clients::ClientShared<C>>,
    pub(crate) replica: settings::SettingsReplica,
    pub(crate) questions: mpsc::Receiver<clients::ClientQuestion>,
    pub(crate) orders: mpsc::Sender<messages::Order>,
    pub(crate) outbox: mpsc::Receiver<messages::Body>,
    pub(crate) shutdown: CancellationToken,
    pub(crate) next_host: usize,
}

/// A `ClientSession` is the state of one open link.
#[derive(Debug)]
struct ClientSession {
    sender: links::LinkSender,
    pending: HashMap<u64, oneshot::Sender<messages::Body>>,
    next_correlation: u64,
    announce_at: Instant,
    /// The link is left at this time unless the host confirms the settings before.
    confirm_by: Instant,
}

impl<C: Clock> ClientTask<C> {
    pub(crate) async fn run(mut self) {
        let shutdown = self.shutdown.clone();
        while !shutdown.is_cancelled() {
            let connected = tokio::select! {
                () = shutdown.cancelled() => return,
                connected = self.connect() => connected,
            };
            if let Some(link) = connected {
                self.shared.connected.send_replace(true);
                self.serve(link).await;
                self.shared.connected.send_replace(false);
            }
            let pause = self.retry_pause();
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.shared.clock.sleep(pause) => {}
            }
        }
    }

    fn retry_pause(&self) -> Duration {
        let pause = self.shared.options.retry_pause;
        pause + pause.mul_f64(rand::random::<f64>())
    }

    /// Lists the hosts of the settings first, then those that the directory named.
    fn hosts(&self) -> Vec<SocketAddr> {
        let mut hosts = self.shared.options.control.clone();
        let known = self.shared.directory.borrow().control.clone();
        let more = known.into_iter().filter(|host| !hosts.contains(host));
        let more: Vec<_> = more.collect();
        hosts.extend(more);
        hosts
    }

    async fn connect(&mut self) -> Option<links::Link> {
        let hosts = self.hosts();
        let host = *hosts.get(self.next_host % hosts.len().max(1))?;
        self.next_host = self.next_host.wrapping_add(1);
        let options = &self.shared.options;
        let hello = options.announcement.process.clone().unwrap_or_default();
        let opened = links::connect(
            host,
            hello,
            options.link.clone(),
            options.security.clone(),
            self.shared.clock.clone(),
        );
        match opened.await {
            Ok(link) => {
                self.shared.counters.count(CounterEvent::LinksOpened);
                Some(link)
            }
            Err(error) => {
                tracing::debug!(%host, %error, "control host could not be reached");
                None
            }
        }
    }

    async fn serve(&mut self, link: links::Link) {
        let now = self.shared.clock.now();
        let links::Link {
            address,
            sender,
            mut receiver,
            ..
        } = link;
        sender.set_settings_version(self.replica.version().0);
        let mut session = ClientSession {
            sender,
            pending: HashMap::new(),
            next_correlation: 1,
            announce_at: now,
            confirm_by: now + self.shared.options.host_silence,
        };
        let mut announcement = self.shared.announcement.subscribe();
        tracing::info!(host = %address, "link to control host opened");
        let reason = match self.start(&session).await {
            Ok(()) => {
                self.exchange(&mut session, &mut receiver, &mut announcement)
                    .await
            }
            Err(error) => error.to_string(),
        };
        tracing::info!(host = %address, reason, "link to control host ended");
        session.sender.close();
    }

    async fn start(&self, session: &ClientSession) -> Result<(), LinkError> {
        let version = self.replica.version().0;
        let watch = messages::Body::WatchSettings(messages::WatchSettings { version });
        session.sender.send(0, watch).await
    }

    /// Serves the link until it ends and returns the reason.
    async fn exchange(
        &mut self,
        session: &mut ClientSession,
        receiver: &mut links::LinkReceiver,
        announcement: &mut watch::Receiver<messages::Announce>,
    ) -> String {
        let clock = self.shared.clock.clone();
        loop {
            let now = clock.now();
            if now >= session.confirm_by {
                return "the host did not confirm the settings".to_owned();
            }
            if now >= session.announce_at {
                session.announce_at = now + self.shared.options.announce_interval;
                if let Err(error) = self.announce(session, announcement).await {
                    return error.to_string();
                }
            }
            let wake = session.announce_at.min(session.confirm_by);
            let sent = tokio::select! {
                () = self.shutdown.cancelled() => {
                    self.say_goodbye(session, announcement).await;
                    return "this process shuts down".to_owned();
                }
                received = receiver.recv() => match received {
                    Ok(envelope) => self.receive(session, envelope).await,
                    Err(error) => Err(error),
                },
                Some(question) = self.questions.recv() => Self::ask(session, question).await,
                Some(body) = self.outbox.recv() => session.sender.send(0, body).await,
                Ok(()) = announcement.changed() => self.announce(session, announcement).await,
                () = self.shared.switch.notified() => {
                    return "the host did not answer a question".to_owned();
                }
                () = clock.sleep(wake.saturating_duration_since(now)) => Ok(()),
            };
            if let Err(error) = sent {
                return error.to_string();
            }
        }
    }

    async fn announce(
        &self,
        session: &ClientSession,
        announcement: &mut watch::Receiver<messages::Announce>,
    ) -> Result<(), LinkError> {
        let mut announce = announcement.borrow_and_update().clone();
        let uptime = self.shared.clock.now() - self.shared.started;
        announce.uptime_millis = u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX);
        announce.settings_version = self.replica.version().0;
        let lease = self.shared.options.lease.as_millis();
        announce.lease_millis = u64::try_from(lease).unwrap_or(u64::MAX);
        let body = messages::Body::Announce(announce);
        session.sender.send(0, body).await
    }

    /// Announces the end of this process, so that its name is free at once.
    async fn say_goodbye(
        &self,
        session: &ClientSession,
        announcement: &mut watch::Receiver<messages::Announce>,
    ) {
        self.shared
            .announcement
            .send_modify(|announce| announce.leaving = true);
        let _ = self.announce(session, announcement).await;
        let _ = session
            .sender
            .send(0, messages::Body::Leaving(messages::Leaving {}))
            .await;
        // The writer sends what is queued within one heartbeat.
        let pause = self.shared.options.link.heartbeat_interval;
        self.shared.clock.sleep(pause).await;
    }

    async fn ask(
        session: &mut ClientSession,
        question: clients::ClientQuestion,
    ) -> Result<(), LinkError> {
        session.pending.retain(|_, answer| !answer.is_closed());
        let correlation = session.next_correlation;
        session.next_correlation += 1;
        session.pending.insert(correlation, question.answer);
        session.sender.send(correlation, question.body).await
    }

    async fn receive(
        &mut self,
        session: &mut ClientSession,
        envelope: messages::Envelope,
    ) -> Result<(), LinkError> {
        let Some(body) = envelope.body else {
            return Ok(());
        };
        if let Some(answer) = session.pending.remove(&envelope.correlation) {
            let _ = answer.send(body);
            return Ok(());
        }
        match body {
            messages::Body::SettingsSnapshot(update) => {
                let result = self.replica.take_snapshot(&update);
                self.note_settings(session, result).await
            }
            messages::Body::SettingsDelta(update) => {
                let result = self.replica.take_delta(&update);
                self.note_settings(session, result).await
            }
            messages::Body::SettingsConfirmed(confirmed) => {
                self.confirm(session, confirmed.version);
                Ok(())
            }
            messages::Body::Directory(update) => {
                self.shared
                    .directory
                    .send_modify(|view| Arc::make_mut(view).apply(update));
                Ok(())
            }
            messages::Body::Order(order) => {
                // A full queue loses the order; the decider asks again.
                let _ = self.orders.try_send(order);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn note_settings(
        &self,
        session: &ClientSession,
        result: settings::SettingsUpdate,
    ) -> Result<(), LinkError> {
        let version = self.replica.version();
        match result {
            settings::SettingsUpdate::Applied => {
                self.shared.counters.count(CounterEvent::SettingsApplied);
                session.sender.set_settings_version(version.0);
                self.shared.versions.send_replace(version);
                // Said at once, so that `--wait` need not wait for the next announcement.
                let beat = messages::Heartbeat {
                    settings_version: version.0,
                };
                session
                    .sender
                    .send(0, messages::Body::Heartbeat(beat))
                    .await
            }
            settings::SettingsUpdate::Known => Ok(()),
            settings::SettingsUpdate::Older => {
                self.shared.counters.count(CounterEvent::SettingsOldRefused);
                tracing::warn!(%version, "older settings version refused");
                Ok(())
            }
            settings::SettingsUpdate::Gap => {
                let watch = messages::WatchSettings { version: 0 };
                session
                    .sender
                    .send(0, messages::Body::WatchSettings(watch))
                    .await
            }
            settings::SettingsUpdate::Invalid => {
                tracing::error!(%version, "settings could not be read; the old version stays");
                Ok(())
            }
        }
    }

    /// Counts a confirmation only for the version in force: a host that confirms another one has
    /// not yet sent it, or is behind.
    fn confirm(&self, session: &mut ClientSession, version: u64) {
        if version != self.replica.version().0 {
            return;
        }
        let now = self.shared.clock.now();
        self.shared.mark.confirm(now);
        session.confirm_by = now + self.shared.options.host_silence;
        self.shared
            .confirmed
            .send_if_modified(|confirmed| !std::mem::replace(confirmed, true));
    }
}
