//! The side of the agent that faces control: announcements, settings, completions of claims and
//! engine orders, all over the shared client of the control hosts.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_client::{clients, options as client_options};
use waxwing_core::{clock::Clock, counters, ids};
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::{events, options};

/// The pause before the fencing number is asked for again.
const FENCING_PAUSE: Duration = Duration::from_millis(500);

/// The longest time that a goodbye may take.
const GOODBYE_LIMIT: Duration = Duration::from_secs(1);

/// A `ControlSide` is what the driver uses of the control hosts.
#[derive(Debug)]
pub(crate) struct ControlSide<C> {
    client: clients::ControlClient<C>,
    report: mpsc::Sender<events::AgentInput>,
    ended: CancellationToken,
    clock: C,
    announced: Option<(messages::EndpointInfo, bool)>,
}

impl<C: Clock> ControlSide<C> {
    pub(crate) fn start(
        options: &options::AgentOptions,
        announcement: messages::Announce,
        counters: counters::CounterSet,
        report: mpsc::Sender<events::AgentInput>,
        clock: C,
    ) -> Self {
        let mut client = client_options::ClientOptions::new(announcement, options.control.clone());
        client.security = options.security.clone();
        let ended = CancellationToken::new();
        let client = clients::ControlClient::start(client, clock.clone(), counters, ended.clone());
        tokio::spawn(pass_orders(client.clone(), report.clone()));
        tokio::spawn(pass_settings(
            client.clone(),
            options.name.clone(),
            report.clone(),
        ));
        Self {
            client,
            report,
            ended,
            clock,
            announced: None,
        }
    }

    /// Announces the endpoint and whether it takes new work, where that changed.
    pub(crate) fn announce(&mut self, info: &messages::EndpointInfo, leaving: bool) {
        let known = info.kind != messages::EndpointKind::Unspecified as i32;
        let announced = self.announced.as_ref();
        if announced.is_some_and(|(last, left)| last == info && *left == leaving) {
            return;
        }
        self.announced = Some((info.clone(), leaving));
        self.client.update_announcement(|announcement| {
            announcement.endpoint = known.then(|| info.clone());
            announcement.leaving = leaving;
        });
    }

    /// Sends a message of the core.
    pub(crate) fn send(&self, correlation: u64, body: messages::Body) {
        match body {
            messages::Body::CompleteClaim(completion) => self.complete(correlation, completion),
            messages::Body::AskFencing(_) => self.ask_fencing(),
            messages::Body::OrderResult(result) => self.client.report_order(result),
            _ => {}
        }
    }

    fn complete(&self, correlation: u64, completion: messages::CompleteClaim) {
        let (client, report) = (self.client.clone(), self.report.clone());
        tokio::spawn(async move {
            // The core sends a completion again until it hears that it is durable.
            if client.complete(completion).await.is_ok() {
                let body = messages::Body::ClaimCompleted(messages::ClaimCompleted {});
                let input = events::AgentInput::Control { correlation, body };
                let _ = report.send(input).await;
            }
        });
    }

    fn ask_fencing(&self) {
        let (client, report) = (self.client.clone(), self.report.clone());
        let clock = self.clock.clone();
        tokio::spawn(async move {
            while !report.is_closed() {
                if let Ok(number) = client.ask_fencing().await {
                    let body = messages::Body::Fencing(messages::Fencing { number: number.0 });
                    let input = events::AgentInput::Control {
                        correlation: 0,
                        body,
                    };
                    let _ = report.send(input).await;
                    return;
                }
                clock.sleep(FENCING_PAUSE).await;
            }
        });
    }

    /// Says goodbye to control and waits until it is said.
    pub(crate) async fn leave(self) {
        let mut connected = self.client.watch_connected();
        self.ended.cancel();
        tokio::select! {
            _ = connected.wait_for(|connected| !connected) => {}
            () = self.clock.sleep(GOODBYE_LIMIT) => {}
        }
    }
}

async fn pass_orders<C: Clock>(
    client: clients::ControlClient<C>,
    report: mpsc::Sender<events::AgentInput>,
) {
    while let Some(order) = client.next_order().await {
        let input = events::AgentInput::Control {
            correlation: 0,
            body: messages::Body::Order(order),
        };
        if report.send(input).await.is_err() {
            return;
        }
    }
}

async fn pass_settings<C: Clock>(
    client: clients::ControlClient<C>,
    name: ids::ProcessName,
    report: mpsc::Sender<events::AgentInput>,
) {
    let mut versions = client.watch_version();
    let mut last = ids::SettingsVersion(0);
    while versions.changed().await.is_ok() {
        let settings = client.settings();
        if settings.version == last {
            continue;
        }
        last = settings.version;
        let input = events::AgentInput::Policy(policy(&settings, &name));
        if report.send(input).await.is_err() {
            return;
        }
    }
}

fn policy(settings: &Arc<view::SettingsView>, name: &ids::ProcessName) -> events::PolicyUpdate {
    let policy = &settings.tree.policy;
    events::PolicyUpdate {
        first_token_target: Duration::from_millis(policy.first_token_target_ms),
        token_target: Duration::from_millis(policy.token_target_ms),
        grant: Duration::from_millis(policy.grant_ms),
        draining: settings.tree.fleet.draining.contains(name),
    }
}
