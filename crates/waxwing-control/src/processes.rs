//! Serves links from entries, agents and tools: announcements, settings, the directory, claims and
//! engine orders.

use std::collections::BTreeMap;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters::CounterEvent};
use waxwing_wire::{errors::LinkError, links, messages};

use crate::{commands, directory, errors, host};

/// The largest number of concurrent requests of one link.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Milliseconds after which a process may retry a request that could not be served.
const RETRY_AFTER_MILLIS: u64 = 100;

/// The state of one link from an entry, an agent or a tool.
pub(crate) struct ProcessLink<C> {
    host: host::HostHandle<C>,
    peer: messages::Hello,
    sender: links::LinkSender,
    /// The settings version that the process has; `None` until a quorum has confirmed this host's
    /// settings.
    sent_version: Option<u64>,
    /// The revision of each directory entry last sent to the process, by name of the entry.
    sent_revisions: BTreeMap<String, u64>,
    /// Whether the process was sent a whole directory view.
    sent_whole: bool,
    watch_limit: usize,
    announced: bool,
    request_permits: std::sync::Arc<tokio::sync::Semaphore>,
}

/// A settings watch whose start a quorum has confirmed, for a process that already has `version`.
#[derive(Debug)]
struct ConfirmedWatch {
    version: u64,
}

impl<C: Clock> ProcessLink<C> {
    /// Serves a link until it closes or `shutdown`.
    pub(crate) async fn serve(
        host: host::HostHandle<C>,
        link: links::Link,
        shutdown: CancellationToken,
    ) {
        let links::Link {
            peer,
            sender,
            mut receiver,
            ..
        } = link;
        let mut service = Self {
            host,
            peer,
            sender,
            sent_version: None,
            sent_revisions: BTreeMap::new(),
            sent_whole: false,
            watch_limit: 0,
            announced: false,
            request_permits: std::sync::Arc::new(tokio::sync::Semaphore::new(
                MAX_CONCURRENT_REQUESTS,
            )),
        };
        let link_result = tokio::select! {
            () = shutdown.cancelled() => Ok(()),
            link_result = service.process_messages(&mut receiver) => link_result,
        };
        if let Err(error) = link_result {
            tracing::debug!(peer = service.peer.name, %error, "link of a process ended");
        }
        service.sender.close();
    }

    async fn process_messages(
        &mut self,
        receiver: &mut links::LinkReceiver,
    ) -> Result<(), LinkError> {
        let (watch_sender, mut confirmed_watches) = mpsc::channel(1);
        let mut versions = self.host.log.shared.version.subscribe();
        let mut confirmations = self.host.confirmations.subscribe();
        let mut directory = self.host.directory_changes.subscribe();
        let mut control = self.host.control_addresses.subscribe();
        let mut orders = self.host.orders.subscribe();
        loop {
            tokio::select! {
                envelope = receiver.recv() => self.handle_message(envelope?, &watch_sender).await?,
                Some(confirmed_watch) = confirmed_watches.recv() => self.start_watch(confirmed_watch).await?,
                Ok(()) = versions.changed() => self.send_settings().await?,
                Ok(()) = confirmations.changed() => self.send_confirmation().await?,
                Ok(()) = directory.changed() => self.send_directory(false).await?,
                Ok(relay) = orders.recv() => self.send_order(relay).await?,
                Ok(()) = control.changed() => self.send_directory(true).await?,
            }
        }
    }

    async fn handle_message(
        &mut self,
        envelope: messages::Envelope,
        watch_sender: &mpsc::Sender<ConfirmedWatch>,
    ) -> Result<(), LinkError> {
        let correlation = envelope.correlation;
        match envelope.body {
            Some(messages::Body::Heartbeat(heartbeat)) => {
                let peer = &self.peer;
                self.host.directory().record_version(
                    &peer.name,
                    peer.incarnation,
                    heartbeat.settings_version,
                );
            }
            Some(messages::Body::Announce(announce)) => self.handle_announce(announce).await?,
            Some(messages::Body::Leaving(_)) => self.handle_leaving(),
            Some(messages::Body::OrderResult(result)) => self.handle_order_result(result),
            Some(messages::Body::WatchSettings(watch)) => {
                self.confirm_watch(correlation, watch.version, watch_sender.clone());
            }
            Some(
                body @ (messages::Body::ClaimKey(_)
                | messages::Body::CompleteClaim(_)
                | messages::Body::AskFencing(_)),
            ) => self.spawn_request(correlation, body).await?,
            _ => {}
        }
        Ok(())
    }

    async fn handle_announce(&mut self, mut announce: messages::Announce) -> Result<(), LinkError> {
        // A process can announce only itself, whatever the message says.
        announce.process = Some(self.peer.clone());
        announce.lease_millis = announce.lease_millis.max(1);
        let now = self.host.clock.now();
        self.watch_limit = usize::try_from(announce.watch_limit).unwrap_or(usize::MAX);
        let urgent = announce.leaving;
        self.forward(&announce);
        let changed = self.host.directory().announce(now, announce);
        if changed && urgent {
            self.host.publish_directory();
        }
        if !self.announced {
            self.announced = true;
            self.send_directory(true).await?;
        }
        Ok(())
    }

    /// Forwards an announcement to the other control hosts of the region, because the process has a
    /// link to this one only.
    fn forward(&self, announce: &messages::Announce) {
        let body = messages::Body::Announce(announce.clone());
        let region = self.host.options.region.as_str();
        self.host.network.broadcast_region(region, &body);
    }

    fn handle_leaving(&self) {
        let now = self.host.clock.now();
        let peer = &self.peer;
        // An announcement with a lease of zero deregisters the process.
        self.forward(&messages::Announce {
            process: Some(peer.clone()),
            leaving: true,
            ..messages::Announce::default()
        });
        let removed = self
            .host
            .directory()
            .deregister(now, &peer.name, peer.incarnation);
        if removed {
            self.host.publish_directory();
        }
    }

    async fn send_order(&self, relay: messages::RelayOrder) -> Result<(), LinkError> {
        let agent = messages::ProcessKind::Agent as i32;
        match relay.order {
            Some(order) if self.peer.kind == agent && relay.agent == self.peer.name => {
                self.sender.send(0, messages::Body::Order(order)).await
            }
            _ => Ok(()),
        }
    }

    /// Passes a result to the placement controller, which may run on another host.
    fn handle_order_result(&self, result: messages::OrderResult) {
        let agent = self.peer.name.clone();
        let relay = messages::RelayResult {
            agent: agent.clone(),
            result: Some(result.clone()),
        };
        self.host
            .network
            .broadcast(&messages::Body::RelayResult(relay));
        let _ = self.host.order_results.send((agent, result));
    }

    /// Runs a read barrier before any settings are sent to the process.
    fn confirm_watch(
        &self,
        correlation: u64,
        version: u64,
        watch_sender: mpsc::Sender<ConfirmedWatch>,
    ) {
        let host = self.host.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            match host.read_barrier().await {
                Ok(()) => {
                    let _ = watch_sender.send(ConfirmedWatch { version }).await;
                }
                Err(_) => {
                    let _ = sender.send(correlation, unavailable()).await;
                }
            }
        });
    }

    async fn start_watch(&mut self, confirmed_watch: ConfirmedWatch) -> Result<(), LinkError> {
        self.sent_version = Some(confirmed_watch.version);
        self.send_settings().await?;
        self.send_confirmation().await
    }

    /// Sends the changes that the process lacks, or the whole tree if the history no longer holds
    /// all of them.
    async fn send_settings(&mut self) -> Result<(), LinkError> {
        let Some(known) = self.sent_version else {
            return Ok(());
        };
        let (version, updates) = settings_updates(&self.host, known);
        for update in updates {
            self.sender.send(0, update).await?;
        }
        self.sent_version = Some(known.max(version));
        Ok(())
    }

    async fn send_confirmation(&mut self) -> Result<(), LinkError> {
        self.send_settings().await?;
        match self.sent_version {
            Some(version) if version > 0 => {
                let confirmed = messages::SettingsConfirmed { version };
                let body = messages::Body::SettingsConfirmed(confirmed);
                self.sender.send(0, body).await
            }
            _ => Ok(()),
        }
    }

    /// Sends the directory changes since the last call. Agents are sent only the addresses of the
    /// control hosts.
    async fn send_directory(&mut self, force: bool) -> Result<(), LinkError> {
        if !self.announced {
            return Ok(());
        }
        let whole = !self.sent_whole && self.host.is_directory_rebuilt();
        let update = self.directory_update(whole);
        let empty = update.members.is_empty() && update.gone.is_empty();
        if empty && !whole && !force {
            return Ok(());
        }
        self.sent_whole |= whole;
        self.sender.send(0, messages::Body::Directory(update)).await
    }

    fn directory_update(&mut self, whole: bool) -> messages::Directory {
        let control = self.host.control_addresses.borrow().clone();
        let mut update = messages::Directory {
            whole,
            control,
            ..messages::Directory::default()
        };
        let watches = [messages::ProcessKind::Entry, messages::ProcessKind::Tool];
        if !watches.iter().any(|kind| *kind as i32 == self.peer.kind) {
            return update;
        }
        let directory = self.host.directory();
        let (name, data_centre) = (&self.peer.name, &self.peer.data_centre);
        let members = directory.members();
        let subset = directory::watch_subset(name, data_centre, self.watch_limit, members);
        for (name, entry) in &subset {
            let known = self
                .sent_revisions
                .insert((*name).to_owned(), entry.revision);
            if whole || known != Some(entry.revision) {
                update.members.push(entry.announce.clone());
            }
        }
        self.sent_revisions.retain(|name, _| {
            let stays = subset.contains_key(name.as_str());
            if !stays {
                update.gone.push(name.clone());
            }
            stays
        });
        update
    }

    /// Handles a request in a separate task, so that a slow quorum doesn't block the link.
    async fn spawn_request(
        &self,
        correlation: u64,
        request: messages::Body,
    ) -> Result<(), LinkError> {
        let Ok(permit) = self.request_permits.clone().try_acquire_owned() else {
            return self.sender.send(correlation, unavailable()).await;
        };
        let host = self.host.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let response = handle_request(&host, request).await;
            let response = response.unwrap_or_else(|_| unavailable());
            let _ = sender.send(correlation, response).await;
            drop(permit);
        });
        Ok(())
    }
}

fn settings_updates<C: Clock>(host: &host::HostState<C>, known: u64) -> (u64, Vec<messages::Body>) {
    let machine = host.log.shared.read();
    let settings = machine.settings();
    let version = settings.version().0;
    if version <= known {
        return (version, Vec::new());
    }
    if let Some(changes) = settings.changes_after(known).filter(|_| known > 0) {
        let deltas = changes.map(|change| {
            messages::Body::SettingsDelta(messages::SettingsDelta {
                base: change.summary.base,
                version: change.summary.version,
                patch: change.patch.clone(),
            })
        });
        return (version, deltas.collect());
    }
    let snapshot = messages::SettingsSnapshot {
        version,
        tree: serde_json::to_vec(settings.tree())
            .unwrap_or_default()
            .into(),
    };
    (version, vec![messages::Body::SettingsSnapshot(snapshot)])
}

async fn handle_request<C: Clock>(
    host: &host::HostState<C>,
    request: messages::Body,
) -> Result<messages::Body, errors::SubmitError> {
    match request {
        messages::Body::ClaimKey(request) => claim(host, request).await,
        messages::Body::CompleteClaim(completion) => {
            let action = commands::LogAction::Complete(completion);
            host.submit(action).await?;
            Ok(messages::Body::ClaimCompleted(messages::ClaimCompleted {}))
        }
        _ => {
            host.read_barrier().await?;
            let number = host.log.shared.read().fencing().0;
            Ok(messages::Body::Fencing(messages::Fencing { number }))
        }
    }
}

async fn claim<C: Clock>(
    host: &host::HostState<C>,
    request: messages::ClaimKey,
) -> Result<messages::Body, errors::SubmitError> {
    if request.lookup {
        host.read_barrier().await?;
        let name = request.name.unwrap_or_default();
        let record = host.log.shared.read().claims().find(&name).cloned();
        return Ok(messages::Body::ClaimResult(messages::ClaimResult {
            granted: false,
            record,
        }));
    }
    match host.submit(commands::LogAction::Claim(request)).await? {
        commands::ResultKind::Claim(result) => {
            host.counters.count(if result.granted {
                CounterEvent::ClaimsGranted
            } else {
                CounterEvent::ClaimsExisting
            });
            Ok(messages::Body::ClaimResult(result))
        }
        // The claim is malformed or the claim table is full. Without a granted claim the request
        // must not be dispatched.
        _ => Ok(unavailable()),
    }
}

fn unavailable() -> messages::Body {
    messages::Body::Unavailable(messages::Unavailable {
        retry_after_millis: RETRY_AFTER_MILLIS,
    })
}
