//! The placement controller, which executes the planner's steps while this host leads. Each time it
//! becomes active it gets a new fencing number from the log, then waits until the orders of the
//! previous controller have expired.

use std::time::Duration;

use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters::CounterEvent};
use waxwing_wire::messages;

use crate::{commands, directory, errors, host, reconcile};

/// Time for which an order may still take effect. A new controller waits this long before its first
/// order.
const ORDER_VALIDITY: Duration = Duration::from_secs(5);

/// Time between two planning passes.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// The placement controller of one host. It is active only while the host leads.
pub(crate) struct PlacementController<C> {
    pub(crate) host: host::HostHandle<C>,
}

impl<C: Clock> PlacementController<C> {
    /// Runs the controller whenever this host leads, until `shutdown`.
    pub(crate) async fn run(self, shutdown: CancellationToken) {
        let mut status = self.host.log.shared.status.subscribe();
        loop {
            let leading = async { status.wait_for(|status| status.leads).await.is_ok() };
            let leads = tokio::select! {
                () = shutdown.cancelled() => false,
                leads = leading => leads,
            };
            if !leads {
                return;
            }
            let leadership_lost = async { status.wait_for(|status| !status.leads).await.is_ok() };
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = leadership_lost => {}
                reason = self.run_until_fenced() => {
                    tracing::info!(%reason, "placement controller stopped");
                }
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.host.clock.sleep(PLAN_INTERVAL) => {}
            }
        }
    }

    /// Runs the controller under a new fencing number until the log rejects that number or can't be
    /// reached.
    async fn run_until_fenced(&self) -> errors::SubmitError {
        let name = self.host.options.name.to_string();
        let action = commands::LogAction::IssueFencingNumber(commands::IssueFencingNumber { name });
        let fencing = match self.host.submit(action).await {
            Ok(commands::ResultKind::Office(fencing)) => fencing,
            Ok(_) => return errors::SubmitError::Unavailable,
            Err(error) => return error,
        };
        tracing::info!(fencing, "placement controller started");
        // The directory must be rebuilt as well, or live endpoints would count as missing.
        self.host.clock.sleep(ORDER_VALIDITY).await;
        while !self.host.is_directory_rebuilt() {
            self.host.clock.sleep(PLAN_INTERVAL).await;
        }
        let mut planner = reconcile::PlacementPlanner::default();
        let mut results = self.host.order_results.subscribe();
        loop {
            while let Ok((agent, result)) = results.try_recv() {
                self.handle_order_result(&mut planner, &agent, &result);
            }
            for step in self.plan_steps(&mut planner) {
                if let Err(error) = self.execute(fencing, step).await {
                    return error;
                }
            }
            self.host.clock.sleep(PLAN_INTERVAL).await;
        }
    }

    fn now(&self) -> Duration {
        let now = self.host.clock.now();
        now.saturating_duration_since(self.host.started)
    }

    fn handle_order_result(
        &self,
        planner: &mut reconcile::PlacementPlanner,
        agent: &str,
        result: &messages::OrderResult,
    ) {
        if result.done {
            self.host.counters.count(CounterEvent::OrdersDone);
            return;
        }
        if result.fenced {
            self.host.counters.count(CounterEvent::OrdersFenced);
        }
        tracing::warn!(agent, detail = result.detail, "engine order failed");
        planner.record_refusal(self.now(), agent);
    }

    fn plan_steps(
        &self,
        planner: &mut reconcile::PlacementPlanner,
    ) -> Vec<reconcile::PlacementStep> {
        let machine = self.host.log.shared.read();
        let tree = machine.settings().typed().clone();
        let placement = machine.placement().clone();
        drop(machine);
        let draining = &tree.fleet.draining;
        let directory = self.host.directory();
        let endpoints: Vec<_> = directory
            .members()
            .filter_map(|(name, entry)| endpoint_view(name, entry))
            .map(|mut endpoint| {
                let mut names = draining.iter();
                endpoint.draining |= names.any(|name| name.as_str() == endpoint.agent);
                endpoint
            })
            .collect();
        drop(directory);
        planner.plan(&reconcile::FleetView {
            now: self.now(),
            tree: &tree,
            endpoints: &endpoints,
            placement: &placement,
        })
    }

    async fn execute(
        &self,
        fencing: u64,
        step: reconcile::PlacementStep,
    ) -> Result<(), errors::SubmitError> {
        match step {
            reconcile::PlacementStep::Place {
                agent,
                model,
                wanted,
            } => {
                let place = commands::PlaceModel {
                    fencing,
                    agent,
                    model,
                    wanted,
                };
                match self.host.submit(commands::LogAction::Place(place)).await? {
                    commands::ResultKind::Done(true) => Ok(()),
                    // A newer fencing number has been issued, so another host may be active.
                    _ => Err(errors::SubmitError::NotLeader { leader: None }),
                }
            }
            reconcile::PlacementStep::Order { agent, model, load } => {
                self.send_order(fencing, agent, &model, load);
                Ok(())
            }
        }
    }

    /// Sends an order through every host, because any of them may hold the agent's link.
    fn send_order(&self, fencing: u64, agent: String, model: &str, load: bool) {
        let tree = self.host.log.shared.read().settings().typed().clone();
        let settings = tree
            .models
            .iter()
            .find(|(name, _)| name.as_str() == model)
            .map(|(_, settings)| settings);
        let kind = if load {
            messages::OrderKind::LoadModel
        } else {
            messages::OrderKind::UnloadModel
        };
        tracing::info!(agent, model, load, fencing, "engine order sent");
        let order = messages::Order {
            fencing,
            order: rand::random(),
            kind: kind as i32,
            target: model.to_owned(),
            target_version: settings.map_or_else(String::new, |settings| settings.version.clone()),
        };
        let relay = messages::RelayOrder {
            agent,
            order: Some(order),
        };
        let body = messages::Body::RelayOrder(relay.clone());
        self.host.network.broadcast(&body);
        // Sending fails only if no agent has a link to this host.
        let _ = self.host.orders.send(relay);
    }
}

/// Builds the view of an engine, or `None` for endpoints of other kinds, which have no models.
fn endpoint_view(name: &str, entry: &directory::DirectoryEntry) -> Option<reconcile::EndpointView> {
    let endpoint = entry.announce.endpoint.as_ref()?;
    if endpoint.kind != messages::EndpointKind::Engine as i32 {
        return None;
    }
    let process = entry.announce.process.as_ref()?;
    Some(reconcile::EndpointView {
        agent: name.to_owned(),
        data_centre: process.data_centre.clone(),
        role: endpoint.role.clone(),
        loaded: endpoint.models.iter().cloned().collect(),
        draining: entry.announce.leaving,
    })
}
