//! The task that carries out the reconciler's decisions while this host leads. Each term of office
//! has its own fencing number from the log, and begins with a wait in which the orders of the
//! former decider run out.

use std::time::Duration;

use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters::CounterEvent};
use waxwing_wire::messages;

use crate::{commands, directory, errors, host, reconcile};

/// Time for which an order may take effect; a new decider waits until it is over.
const ORDER_LEASE: Duration = Duration::from_secs(5);

/// Time between looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// A `FleetDecider` is the reconciler's task of one host.
pub(crate) struct FleetDecider<C> {
    pub(crate) host: host::HostHandle<C>,
}

impl<C: Clock> FleetDecider<C> {
    /// Decides whenever this host leads, until `shutdown`.
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
            let ousted = async { status.wait_for(|status| !status.leads).await.is_ok() };
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = ousted => {}
                reason = self.hold_office() => {
                    tracing::info!(%reason, "decider left office");
                }
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.host.clock.sleep(LOOK_INTERVAL) => {}
            }
        }
    }

    /// Holds one term of office; it ends when the log refuses the fencing number.
    async fn hold_office(&self) -> errors::SubmitError {
        let name = self.host.options.name.to_string();
        let action = commands::LogAction::TakeOffice(commands::TakeOffice { name });
        let fencing = match self.host.submit(action).await {
            Ok(commands::ResultKind::Office(fencing)) => fencing,
            Ok(_) => return errors::SubmitError::Unavailable,
            Err(error) => return error,
        };
        tracing::info!(fencing, "decider took office");
        // The directory has to be whole as well, or endpoints that live would count as missing.
        self.host.clock.sleep(ORDER_LEASE).await;
        while !self.host.is_warm() {
            self.host.clock.sleep(LOOK_INTERVAL).await;
        }
        let mut planner = reconcile::PlacementPlanner::default();
        let mut results = self.host.order_results.subscribe();
        loop {
            while let Ok((agent, result)) = results.try_recv() {
                self.take_result(&mut planner, &agent, &result);
            }
            for step in self.look(&mut planner) {
                if let Err(error) = self.carry_out(fencing, step).await {
                    return error;
                }
            }
            self.host.clock.sleep(LOOK_INTERVAL).await;
        }
    }

    fn now(&self) -> Duration {
        let now = self.host.clock.now();
        now.saturating_duration_since(self.host.started)
    }

    fn take_result(
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
        tracing::warn!(agent, detail = result.detail, "engine order was not done");
        planner.note_refused(self.now(), agent);
    }

    fn look(&self, planner: &mut reconcile::PlacementPlanner) -> Vec<reconcile::PlacementStep> {
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

    async fn carry_out(
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
                    // Another host took office.
                    _ => Err(errors::SubmitError::NotLeader { leader: None }),
                }
            }
            reconcile::PlacementStep::Order { agent, model, load } => {
                self.give_order(fencing, agent, &model, load);
                Ok(())
            }
        }
    }

    /// Sends an order through every host, since any of them may have the agent's link.
    fn give_order(&self, fencing: u64, agent: String, model: &str, load: bool) {
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
        tracing::info!(agent, model, load, fencing, "engine order given");
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
        self.host.network.tell_all(&body);
        // Without a listener, no agent has a link to this host.
        let _ = self.host.orders.send(relay);
    }
}

/// Describes an engine; processes of other kinds have no models.
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
