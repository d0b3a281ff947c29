//! The link to control: announces the agent every 2 s and passes messages both ways.

use std::{net::SocketAddr, time::Duration};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_wire::{links, messages, security};

use crate::events;

/// The time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// The time for which an announcement holds.
const LEASE_MILLIS: u64 = 6_000;

/// The pause before another control host is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// A message for control, with its correlation.
pub(crate) type ControlMessage = (u64, messages::Body);

/// What an announcement tells besides the fixed names.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct AnnouncedState {
    pub(crate) info: Option<messages::EndpointInfo>,
    pub(crate) leaving: bool,
}

/// An `AnnounceTask` keeps one link to a control host and fails over to the next.
#[derive(Debug)]
pub(crate) struct AnnounceTask<C> {
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) hello: messages::Hello,
    pub(crate) region: String,
    pub(crate) address: SocketAddr,
    pub(crate) security: security::LinkSecurity,
    pub(crate) state: watch::Receiver<AnnouncedState>,
    pub(crate) outgoing: mpsc::Receiver<ControlMessage>,
    pub(crate) report: mpsc::Sender<events::AgentInput>,
    pub(crate) ended: CancellationToken,
    pub(crate) clock: C,
}

impl<C: Clock> AnnounceTask<C> {
    pub(crate) async fn run(mut self) {
        let ended = self.ended.clone();
        let hosts = self.hosts.clone();
        for host in hosts.iter().cycle() {
            tokio::select! {
                () = ended.cancelled() => return,
                () = self.serve(*host) => {}
            }
            self.clock.sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn serve(&mut self, host: SocketAddr) {
        let opened = links::connect(
            host,
            self.hello.clone(),
            links::LinkOptions::default(),
            self.security.clone(),
            self.clock.clone(),
        );
        let Ok(link) = opened.await else {
            return;
        };
        tracing::info!(%host, "link to a control host opened");
        let links::Link {
            sender,
            mut receiver,
            ..
        } = link;
        while sender.send(0, self.announcement()).await.is_ok() {
            if !self.pass(&sender, &mut receiver).await {
                break;
            }
        }
        tracing::info!(%host, "link to a control host ended");
    }

    /// Passes messages until the next announcement is due; returns false if the link has ended.
    async fn pass(
        &mut self,
        sender: &links::LinkSender,
        receiver: &mut links::LinkReceiver,
    ) -> bool {
        let due = self.clock.now() + ANNOUNCE_INTERVAL;
        loop {
            let left = due.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return true;
            }
            let passed = tokio::select! {
                () = self.clock.sleep(left) => return true,
                changed = self.state.changed() => return changed.is_ok(),
                message = self.outgoing.recv() => match message {
                    Some((correlation, body)) => sender.send(correlation, body).await.is_ok(),
                    None => false,
                },
                received = receiver.recv() => match received {
                    Ok(envelope) => self.receive(envelope).await,
                    Err(_) => false,
                },
            };
            if !passed {
                return false;
            }
        }
    }

    async fn receive(&self, envelope: messages::Envelope) -> bool {
        let correlation = envelope.correlation;
        match envelope.body {
            None | Some(messages::Body::Heartbeat(_)) => true,
            Some(body) => {
                let input = events::AgentInput::Control { correlation, body };
                self.report.send(input).await.is_ok()
            }
        }
    }

    fn announcement(&self) -> messages::Body {
        let state = self.state.borrow();
        messages::Body::Announce(messages::Announce {
            process: Some(self.hello.clone()),
            address: self.address.to_string(),
            region: self.region.clone(),
            endpoint: state.info.clone(),
            settings_version: 0,
            leaving: state.leaving,
            lease_millis: LEASE_MILLIS,
            watch_limit: 0,
            uptime_millis: 0,
        })
    }
}
