//! Links from entries, agents and tools: announcements, settings, the directory, claims.

use std::collections::BTreeMap;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters::CounterEvent};
use waxwing_wire::{errors::LinkError, links, messages};

use crate::{commands, directory, errors, host};

/// Questions of one link that may be under way at the same time.
const MAX_QUESTIONS: usize = 256;

/// Milliseconds after which a process may ask again when no quorum answers.
const RETRY_AFTER_MILLIS: u64 = 100;

/// A `ProcessLink` serves one link of an entry, an agent or a tool.
pub(crate) struct ProcessLink<C> {
    host: host::HostHandle<C>,
    peer: messages::Hello,
    sender: links::LinkSender,
    /// The version that the process has, once a quorum has confirmed the first one.
    settings: Option<u64>,
    /// Revisions of the members that the process was told of.
    members: BTreeMap<String, u64>,
    /// Whether the process was told the whole view.
    told_whole: bool,
    watch_limit: usize,
    announced: bool,
    questions: std::sync::Arc<tokio::sync::Semaphore>,
}

/// A `WatchStart` says that a quorum has confirmed the settings for a process that has `version`.
#[derive(Debug)]
struct WatchStart {
    version: u64,
}

impl<C: Clock> ProcessLink<C> {
    /// Serves a link until it ends.
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
            settings: None,
            members: BTreeMap::new(),
            told_whole: false,
            watch_limit: 0,
            announced: false,
            questions: std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_QUESTIONS)),
        };
        let ended = tokio::select! {
            () = shutdown.cancelled() => Ok(()),
            ended = service.exchange(&mut receiver) => ended,
        };
        if let Err(error) = ended {
            tracing::debug!(peer = service.peer.name, %error, "link of a process ended");
        }
        service.sender.close();
    }

    async fn exchange(&mut self, receiver: &mut links::LinkReceiver) -> Result<(), LinkError> {
        let (starts, mut started) = mpsc::channel(1);
        let mut versions = self.host.log.shared.version.subscribe();
        let mut confirmations = self.host.confirmations.subscribe();
        let mut directory = self.host.directory_changes.subscribe();
        let mut control = self.host.control.subscribe();
        let mut orders = self.host.orders.subscribe();
        loop {
            tokio::select! {
                envelope = receiver.recv() => self.receive(envelope?, &starts).await?,
                Some(start) = started.recv() => self.start_settings(start).await?,
                Ok(()) = versions.changed() => self.send_settings().await?,
                Ok(()) = confirmations.changed() => self.send_confirmation().await?,
                Ok(()) = directory.changed() => self.send_directory(false).await?,
                Ok(relay) = orders.recv() => self.pass_order(relay).await?,
                Ok(()) = control.changed() => self.send_directory(true).await?,
            }
        }
    }

    async fn receive(
        &mut self,
        envelope: messages::Envelope,
        starts: &mpsc::Sender<WatchStart>,
    ) -> Result<(), LinkError> {
        let correlation = envelope.correlation;
        match envelope.body {
            Some(messages::Body::Heartbeat(beat)) => {
                let peer = &self.peer;
                self.host.directory().record_version(
                    &peer.name,
                    peer.incarnation,
                    beat.settings_version,
                );
            }
            Some(messages::Body::Announce(announce)) => self.take_announce(announce).await?,
            Some(messages::Body::Leaving(_)) => self.take_goodbye(),
            Some(messages::Body::OrderResult(result)) => self.take_order_result(result),
            Some(messages::Body::WatchSettings(watch)) => {
                self.confirm_start(correlation, watch.version, starts.clone());
            }
            Some(
                body @ (messages::Body::ClaimKey(_)
                | messages::Body::CompleteClaim(_)
                | messages::Body::AskFencing(_)),
            ) => self.answer(correlation, body).await?,
            _ => {}
        }
        Ok(())
    }

    async fn take_announce(&mut self, mut announce: messages::Announce) -> Result<(), LinkError> {
        // A process speaks for itself only, whatever the message says.
        announce.process = Some(self.peer.clone());
        announce.lease_millis = announce.lease_millis.max(1);
        let now = self.host.clock.now();
        self.watch_limit = usize::try_from(announce.watch_limit).unwrap_or(usize::MAX);
        let urgent = announce.leaving;
        self.pass_on(&announce);
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

    /// Tells the other control hosts of the region; the process has a link to this one only.
    fn pass_on(&self, announce: &messages::Announce) {
        let body = messages::Body::Announce(announce.clone());
        let region = self.host.options.region.as_str();
        self.host.network.tell_region(region, &body);
    }

    fn take_goodbye(&self) {
        let now = self.host.clock.now();
        let peer = &self.peer;
        // An announcement without a lease is a goodbye.
        self.pass_on(&messages::Announce {
            process: Some(peer.clone()),
            leaving: true,
            ..messages::Announce::default()
        });
        let ended = self
            .host
            .directory()
            .deregister(now, &peer.name, peer.incarnation);
        if ended {
            self.host.publish_directory();
        }
    }

    async fn pass_order(&self, relay: messages::RelayOrder) -> Result<(), LinkError> {
        let agent = messages::ProcessKind::Agent as i32;
        match relay.order {
            Some(order) if self.peer.kind == agent && relay.agent == self.peer.name => {
                self.sender.send(0, messages::Body::Order(order)).await
            }
            _ => Ok(()),
        }
    }

    /// Passes a result on to the decider, which may be at another host.
    fn take_order_result(&self, result: messages::OrderResult) {
        let agent = self.peer.name.clone();
        let relay = messages::RelayResult {
            agent: agent.clone(),
            result: Some(result.clone()),
        };
        self.host
            .network
            .tell_all(&messages::Body::RelayResult(relay));
        let _ = self.host.order_results.send((agent, result));
    }

    /// Has the settings confirmed by a quorum before the process gets any.
    fn confirm_start(&self, correlation: u64, version: u64, starts: mpsc::Sender<WatchStart>) {
        let host = self.host.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            match host.confirm().await {
                Ok(()) => {
                    let _ = starts.send(WatchStart { version }).await;
                }
                Err(_) => {
                    let _ = sender.send(correlation, unavailable()).await;
                }
            }
        });
    }

    async fn start_settings(&mut self, start: WatchStart) -> Result<(), LinkError> {
        self.settings = Some(start.version);
        self.send_settings().await?;
        self.send_confirmation().await
    }

    /// Sends what the process lacks: the changes, if all of them are kept, or the whole tree.
    async fn send_settings(&mut self) -> Result<(), LinkError> {
        let Some(known) = self.settings else {
            return Ok(());
        };
        let (version, updates) = settings_updates(&self.host, known);
        for update in updates {
            self.sender.send(0, update).await?;
        }
        self.settings = Some(known.max(version));
        Ok(())
    }

    async fn send_confirmation(&mut self) -> Result<(), LinkError> {
        self.send_settings().await?;
        match self.settings {
            Some(version) if version > 0 => {
                let confirmed = messages::SettingsConfirmed { version };
                let body = messages::Body::SettingsConfirmed(confirmed);
                self.sender.send(0, body).await
            }
            _ => Ok(()),
        }
    }

    /// Sends the changes of the directory since the last call; agents are told the control hosts
    /// only.
    async fn send_directory(&mut self, force: bool) -> Result<(), LinkError> {
        if !self.announced {
            return Ok(());
        }
        let whole = !self.told_whole && self.host.is_warm();
        let update = self.directory_update(whole);
        let empty = update.members.is_empty() && update.gone.is_empty();
        if empty && !whole && !force {
            return Ok(());
        }
        self.told_whole |= whole;
        self.sender.send(0, messages::Body::Directory(update)).await
    }

    fn directory_update(&mut self, whole: bool) -> messages::Directory {
        let control = self.host.control.borrow().clone();
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
            let known = self.members.insert((*name).to_owned(), entry.revision);
            if whole || known != Some(entry.revision) {
                update.members.push(entry.announce.clone());
            }
        }
        self.members.retain(|name, _| {
            let stays = subset.contains_key(name.as_str());
            if !stays {
                update.gone.push(name.clone());
            }
            stays
        });
        update
    }

    /// Answers a question in a task of its own, so that a slow quorum doesn't hold up the link.
    async fn answer(&self, correlation: u64, question: messages::Body) -> Result<(), LinkError> {
        let Ok(permit) = self.questions.clone().try_acquire_owned() else {
            return self.sender.send(correlation, unavailable()).await;
        };
        let host = self.host.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let answer = answer_question(&host, question).await;
            let answer = answer.unwrap_or_else(|_| unavailable());
            let _ = sender.send(correlation, answer).await;
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

async fn answer_question<C: Clock>(
    host: &host::HostState<C>,
    question: messages::Body,
) -> Result<messages::Body, errors::SubmitError> {
    match question {
        messages::Body::ClaimKey(question) => claim(host, question).await,
        messages::Body::CompleteClaim(completion) => {
            let action = commands::LogAction::Complete(completion);
            host.submit(action).await?;
            Ok(messages::Body::ClaimCompleted(messages::ClaimCompleted {}))
        }
        _ => {
            host.confirm().await?;
            let number = host.log.shared.read().fencing().0;
            Ok(messages::Body::Fencing(messages::Fencing { number }))
        }
    }
}

async fn claim<C: Clock>(
    host: &host::HostState<C>,
    question: messages::ClaimKey,
) -> Result<messages::Body, errors::SubmitError> {
    if question.lookup {
        host.confirm().await?;
        let name = question.name.unwrap_or_default();
        let record = host.log.shared.read().claims().find(&name).cloned();
        return Ok(messages::Body::ClaimResult(messages::ClaimResult {
            granted: false,
            record,
        }));
    }
    match host.submit(commands::LogAction::Claim(question)).await? {
        commands::ResultKind::Claim(result) => {
            host.counters.count(if result.granted {
                CounterEvent::ClaimsGranted
            } else {
                CounterEvent::ClaimsExisting
            });
            Ok(messages::Body::ClaimResult(result))
        }
        // The claim is malformed or there is no room for it; nothing may be handed over.
        _ => Ok(unavailable()),
    }
}

fn unavailable() -> messages::Body {
    messages::Body::Unavailable(messages::Unavailable {
        retry_after_millis: RETRY_AFTER_MILLIS,
    })
}
