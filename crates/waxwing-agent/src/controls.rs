//! Communication with the control hosts over their shared client: announcements, settings, claim
//! completions and engine orders.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_client::{clients, options as client_options};
use waxwing_core::{clock::Clock, counters, ids};
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::{events, options};

/// Delay before the fencing number is requested again.
const FENCING_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time limit for closing the connection to control at shutdown.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The driver's connection to the control hosts.
#[derive(Debug)]
pub(crate) struct ControlChannel<C> {
    client: clients::ControlClient<C>,
    core_sender: mpsc::Sender<events::AgentInput>,
    shutdown: CancellationToken,
    clock: C,
    announced: Option<(messages::EndpointInfo, bool)>,
}

impl<C: Clock> ControlChannel<C> {
    pub(crate) fn start(
        options: &options::AgentOptions,
        announcement: messages::Announce,
        counters: counters::CounterSet,
        core_sender: mpsc::Sender<events::AgentInput>,
        clock: C,
    ) -> Self {
        let mut client = client_options::ClientOptions::new(announcement, options.control.clone());
        client.security = options.security.clone();
        let shutdown = CancellationToken::new();
        let client =
            clients::ControlClient::start(client, clock.clone(), counters, shutdown.clone());
        tokio::spawn(forward_orders(client.clone(), core_sender.clone()));
        tokio::spawn(forward_settings(
            client.clone(),
            options.name.clone(),
            core_sender.clone(),
        ));
        Self {
            client,
            core_sender,
            shutdown,
            clock,
            announced: None,
        }
    }

    /// Announces the endpoint and whether it refuses new work, if either changed.
    pub(crate) fn announce(&mut self, info: &messages::EndpointInfo, leaving: bool) {
        let known = info.kind != messages::EndpointKind::Unspecified as i32;
        let announced = self.announced.as_ref();
        if announced.is_some_and(|(last, last_leaving)| last == info && *last_leaving == leaving) {
            return;
        }
        self.announced = Some((info.clone(), leaving));
        self.client.update_announcement(|announcement| {
            announcement.endpoint = known.then(|| info.clone());
            announcement.leaving = leaving;
        });
    }

    /// Sends a message that the core addressed to control.
    pub(crate) fn send(&self, correlation: u64, body: messages::Body) {
        match body {
            messages::Body::CompleteClaim(completion) => self.complete(correlation, completion),
            messages::Body::AskFencing(_) => self.request_fencing_number(),
            messages::Body::OrderResult(result) => self.client.report_order(result),
            _ => {}
        }
    }

    fn complete(&self, correlation: u64, completion: messages::CompleteClaim) {
        let (client, core_sender) = (self.client.clone(), self.core_sender.clone());
        tokio::spawn(async move {
            // A failure is not reported: the core retries a completion until it is confirmed.
            if client.complete(completion).await.is_ok() {
                let body = messages::Body::ClaimCompleted(messages::ClaimCompleted {});
                let input = events::AgentInput::Control { correlation, body };
                let _ = core_sender.send(input).await;
            }
        });
    }

    fn request_fencing_number(&self) {
        let (client, core_sender) = (self.client.clone(), self.core_sender.clone());
        let clock = self.clock.clone();
        tokio::spawn(async move {
            while !core_sender.is_closed() {
                if let Ok(number) = client.request_fencing_number().await {
                    let body = messages::Body::Fencing(messages::Fencing { number: number.0 });
                    let input = events::AgentInput::Control {
                        correlation: 0,
                        body,
                    };
                    let _ = core_sender.send(input).await;
                    return;
                }
                clock.sleep(FENCING_RETRY_DELAY).await;
            }
        });
    }

    /// Closes the control client and waits until it has disconnected, or the time limit passes.
    pub(crate) async fn leave(self) {
        let mut connected = self.client.watch_connected();
        self.shutdown.cancel();
        tokio::select! {
            _ = connected.wait_for(|connected| !connected) => {}
            () = self.clock.sleep(DISCONNECT_TIMEOUT) => {}
        }
    }
}

async fn forward_orders<C: Clock>(
    client: clients::ControlClient<C>,
    core_sender: mpsc::Sender<events::AgentInput>,
) {
    while let Some(order) = client.next_order().await {
        let input = events::AgentInput::Control {
            correlation: 0,
            body: messages::Body::Order(order),
        };
        if core_sender.send(input).await.is_err() {
            return;
        }
    }
}

async fn forward_settings<C: Clock>(
    client: clients::ControlClient<C>,
    name: ids::ProcessName,
    core_sender: mpsc::Sender<events::AgentInput>,
) {
    let mut versions = client.watch_version();
    let mut last = ids::SettingsVersion(0);
    while versions.changed().await.is_ok() {
        let settings = client.settings();
        if settings.version == last {
            continue;
        }
        last = settings.version;
        let input = events::AgentInput::Policy(policy_update(&settings, &name));
        if core_sender.send(input).await.is_err() {
            return;
        }
    }
}

fn policy_update(
    settings: &Arc<view::SettingsView>,
    name: &ids::ProcessName,
) -> events::PolicyUpdate {
    let policy = &settings.tree.policy;
    events::PolicyUpdate {
        first_token_target: Duration::from_millis(policy.first_token_target_ms),
        token_target: Duration::from_millis(policy.token_target_ms),
        grant: Duration::from_millis(policy.grant_ms),
        draining: settings.tree.fleet.draining.contains(name),
    }
}
