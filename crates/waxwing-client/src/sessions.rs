//! The task of the client: connects to the control hosts in turn and serves one link at a time.

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

/// The task that owns the link of a [`clients::ControlClient`].
#[derive(Debug)]
pub(crate) struct ClientTask<C> {
    pub(crate) shared: Arc<clients::ClientShared<C>>,
    pub(crate) replica: settings::SettingsReplica,
    pub(crate) requests: mpsc::Receiver<clients::ClientRequest>,
    pub(crate) orders: mpsc::Sender<messages::Order>,
    pub(crate) outbox: mpsc::Receiver<messages::Body>,
    pub(crate) shutdown: CancellationToken,
    /// Index of the next host to try; it is taken modulo the number of hosts.
    pub(crate) next_host: usize,
}

/// The state of one open link.
#[derive(Debug)]
struct ClientSession {
    sender: links::LinkSender,
    /// Requests that wait for a response, by correlation number.
    pending: HashMap<u64, oneshot::Sender<messages::Body>>,
    next_correlation: u64,
    next_announcement: Instant,
    /// The link is closed at this time unless the host confirms the settings before.
    confirm_deadline: Instant,
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
            let delay = self.reconnect_delay();
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.shared.clock.sleep(delay) => {}
            }
        }
    }

    fn reconnect_delay(&self) -> Duration {
        let delay = self.shared.options.retry_delay;
        delay + delay.mul_f64(rand::random::<f64>())
    }

    /// Returns the configured control hosts, followed by those known only from the directory.
    fn hosts(&self) -> Vec<SocketAddr> {
        let mut hosts = self.shared.options.control.clone();
        let announced = self.shared.directory.borrow().control.clone();
        let additional = announced.into_iter().filter(|host| !hosts.contains(host));
        let additional: Vec<_> = additional.collect();
        hosts.extend(additional);
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
            links::LinkOptions {
                counters: self.shared.counters.clone(),
                ..options.link.clone()
            },
            options.security.clone(),
            self.shared.clock.clone(),
        );
        match opened.await {
            Ok(link) => {
                self.shared.counters.count(CounterEvent::LinksOpened);
                Some(link)
            }
            Err(error) => {
                tracing::debug!(%host, %error, "failed to connect to control host");
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
            next_announcement: now,
            confirm_deadline: now + self.shared.options.confirm_timeout,
        };
        let mut announcement = self.shared.announcement.subscribe();
        tracing::info!(host = %address, "link to control host opened");
        let reason = match self.watch_settings(&session).await {
            Ok(()) => {
                self.run_session(&mut session, &mut receiver, &mut announcement)
                    .await
            }
            Err(error) => error.to_string(),
        };
        tracing::info!(host = %address, reason, "link to control host ended");
        session.sender.close();
    }

    async fn watch_settings(&self, session: &ClientSession) -> Result<(), LinkError> {
        let version = self.replica.version().0;
        let watch = messages::Body::WatchSettings(messages::WatchSettings { version });
        session.sender.send(0, watch).await
    }

    /// Serves the link until it has to be closed and returns the reason for the log.
    async fn run_session(
        &mut self,
        session: &mut ClientSession,
        receiver: &mut links::LinkReceiver,
        announcement: &mut watch::Receiver<messages::Announce>,
    ) -> String {
        let clock = self.shared.clock.clone();
        loop {
            let now = clock.now();
            if now >= session.confirm_deadline {
                return "the host did not confirm the settings in time".to_owned();
            }
            if now >= session.next_announcement {
                session.next_announcement = now + self.shared.options.announce_interval;
                if let Err(error) = self.announce(session, announcement).await {
                    return error.to_string();
                }
            }
            let next_timer = session.next_announcement.min(session.confirm_deadline);
            let sent = tokio::select! {
                () = self.shutdown.cancelled() => {
                    self.announce_shutdown(session, announcement).await;
                    return "this process is shutting down".to_owned();
                }
                received = receiver.recv() => match received {
                    Ok(envelope) => self.handle_envelope(session, envelope).await,
                    Err(error) => Err(error),
                },
                Some(request) = self.requests.recv() => Self::send_request(session, request).await,
                Some(body) = self.outbox.recv() => session.sender.send(0, body).await,
                Ok(()) = announcement.changed() => self.announce(session, announcement).await,
                () = self.shared.switch_host.notified() => {
                    return "the host did not respond to a request in time".to_owned();
                }
                () = clock.sleep(next_timer.saturating_duration_since(now)) => Ok(()),
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

    /// Tells the control host that this process is leaving, so that its name can be reused at once
    /// rather than when the lease expires.
    async fn announce_shutdown(
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
        // Waits before the link is closed; the writer sends what is queued within one heartbeat
        // interval.
        let flush_delay = self.shared.options.link.heartbeat_interval;
        self.shared.clock.sleep(flush_delay).await;
    }

    async fn send_request(
        session: &mut ClientSession,
        request: clients::ClientRequest,
    ) -> Result<(), LinkError> {
        // Drops the entries of requests that have timed out.
        session.pending.retain(|_, response| !response.is_closed());
        let correlation = session.next_correlation;
        session.next_correlation += 1;
        session.pending.insert(correlation, request.response);
        session.sender.send(correlation, request.body).await
    }

    async fn handle_envelope(
        &mut self,
        session: &mut ClientSession,
        envelope: messages::Envelope,
    ) -> Result<(), LinkError> {
        let Some(body) = envelope.body else {
            return Ok(());
        };
        if let Some(response) = session.pending.remove(&envelope.correlation) {
            let _ = response.send(body);
            return Ok(());
        }
        match body {
            messages::Body::SettingsSnapshot(update) => {
                let result = self.replica.apply_snapshot(&update);
                self.handle_settings_update(session, result).await
            }
            messages::Body::SettingsDelta(update) => {
                let result = self.replica.apply_delta(&update);
                self.handle_settings_update(session, result).await
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
                // The order is dropped if the queue is full; the placement controller sends it
                // again.
                let _ = self.orders.try_send(order);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn handle_settings_update(
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
                // Reports the version at once, so that `waxwingctl --wait` doesn't have to wait for
                // the next announcement.
                let heartbeat = messages::Heartbeat {
                    settings_version: version.0,
                };
                session
                    .sender
                    .send(0, messages::Body::Heartbeat(heartbeat))
                    .await
            }
            settings::SettingsUpdate::Known => Ok(()),
            settings::SettingsUpdate::Older => {
                self.shared.counters.count(CounterEvent::SettingsOldRefused);
                tracing::warn!(%version, "rejected an older settings version");
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
                tracing::error!(%version, "failed to parse settings; the version in force stays");
                Ok(())
            }
        }
    }

    /// Records a confirmation if it is for the version in force. A host that confirms another one
    /// has not sent that version yet, or lags behind.
    fn confirm(&self, session: &mut ClientSession, version: u64) {
        if version != self.replica.version().0 {
            return;
        }
        let now = self.shared.clock.now();
        self.shared.last_confirmation.confirm(now);
        session.confirm_deadline = now + self.shared.options.confirm_timeout;
        self.shared
            .confirmed
            .send_if_modified(|confirmed| !std::mem::replace(confirmed, true));
    }
}
