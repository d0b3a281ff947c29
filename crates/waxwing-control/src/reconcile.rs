//! Model placement: decides which endpoints load or unload which models, from the announced
//! endpoints, the settings and the placement in the log. The planner does no I/O. `docs/design.md`,
//! section 6, gives the order of priorities.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use waxwing_settings::view;

/// Time for which a copy must be missing before it is placed elsewhere. It is longer than the
/// restart of an agent. A model that no endpoint serves is placed at once.
pub const MISSING_COPY_DELAY: Duration = Duration::from_secs(30);

/// Time for which the copies of a model must be unbalanced across data centres before one is moved.
pub const REBALANCE_DELAY: Duration = Duration::from_secs(300);

/// Time after which an order without a visible effect is sent again.
pub const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which an endpoint that refused or failed an order gets no further orders.
pub const REFUSAL_BACKOFF: Duration = Duration::from_secs(60);

/// Capacity of the token bucket for model loads, in seconds of the weight store's byte rate.
const BURST_SECONDS: f64 = 10.0;

/// The planner's view of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointView {
    /// The name of the agent that runs next to the engine and carries out its orders.
    pub agent: String,
    /// The data centre of the engine.
    pub data_centre: String,
    /// The endpoint role. A role that is not in the settings allows every model.
    pub role: String,
    /// Models that the engine has loaded.
    pub loaded: BTreeSet<String>,
    /// Whether the engine is to take no new work.
    pub draining: bool,
}

/// The input to one planning pass.
#[derive(Debug, Clone)]
pub struct FleetView<'a> {
    /// Monotonic time since a fixed origin.
    pub now: Duration,
    /// The current settings.
    pub tree: &'a view::SettingsTree,
    /// The live engines.
    pub endpoints: &'a [EndpointView],
    /// Models that the log assigns to endpoints, by agent.
    pub placement: &'a BTreeMap<String, BTreeSet<String>>,
}

/// One action that the planner asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementStep {
    /// Record in the log whether the endpoint should have the model.
    Place {
        /// The agent.
        agent: String,
        /// The model.
        model: String,
        /// Whether the endpoint should have the model.
        wanted: bool,
    },
    /// Send a load or unload order to an engine.
    Order {
        /// The agent.
        agent: String,
        /// The model.
        model: String,
        /// Whether to load the model; if not, it is unloaded.
        load: bool,
    },
}

/// An order whose effect is not yet visible in the announcements.
#[derive(Debug, Clone)]
struct PendingOrder {
    model: String,
    load: bool,
    sent_at: Duration,
}

/// Plans placement step by step. Its state is kept in memory only and may be lost at any time.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    orders: BTreeMap<String, PendingOrder>,
    refused: BTreeMap<String, Duration>,
    missing_since: BTreeMap<String, Duration>,
    unbalanced_since: BTreeMap<String, Duration>,
    bucket: Option<(f64, Duration)>,
}

impl PlacementPlanner {
    /// Records that an endpoint refused or failed an order, which starts its backoff.
    pub fn record_refusal(&mut self, now: Duration, agent: &str) {
        self.orders.remove(agent);
        self.refused.insert(agent.to_owned(), now);
    }

    /// Returns the steps to take now. Each endpoint gets at most one new order.
    pub fn plan(&mut self, fleet: &FleetView<'_>) -> Vec<PlacementStep> {
        self.refill_bucket(fleet);
        self.drop_finished_orders(fleet);
        let mut steps = self.retry_orders(fleet);
        let mut statuses = self.model_statuses(fleet);
        statuses
            .sort_by_key(|status| (status.serving > 0, status.draining, status.model.to_owned()));
        for status in &statuses {
            if status.missing > 0 && self.is_due(fleet.now, status) {
                steps.extend(self.place_copy(fleet, status));
            }
        }
        // Moving copies is pointless while some are missing.
        if statuses.iter().all(|status| status.missing == 0) {
            for status in &statuses {
                steps.extend(self.rebalance(fleet, status));
            }
        }
        steps.extend(self.remove_surplus(fleet, &statuses));
        steps
    }

    /// Counts the copies of each model. Copies on draining endpoints serve but must be replaced.
    fn model_statuses<'a>(&mut self, fleet: &FleetView<'a>) -> Vec<ModelStatus<'a>> {
        let mut statuses = Vec::new();
        for (model, settings) in &fleet.tree.models {
            let model = model.as_str();
            let holders = fleet
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.has_model(model));
            let serving = holders.clone().count();
            let retained = holders.filter(|endpoint| !endpoint.draining).count();
            let pending = self
                .orders
                .values()
                .filter(|order| order.load && order.model == model)
                .count();
            let wanted = settings.copies as usize;
            let missing = wanted.saturating_sub(retained + pending);
            if missing > 0 {
                self.missing_since
                    .entry(model.to_owned())
                    .or_insert(fleet.now);
            } else {
                self.missing_since.remove(model);
            }
            statuses.push(ModelStatus {
                model,
                wanted,
                serving,
                retained,
                missing,
                draining: serving > retained,
                bytes: settings.weight_bytes.0 as f64,
            });
        }
        statuses
    }

    fn is_due(&self, now: Duration, status: &ModelStatus<'_>) -> bool {
        let since = self.missing_since.get(status.model).copied().unwrap_or(now);
        status.serving == 0 || status.draining || now.saturating_sub(since) >= MISSING_COPY_DELAY
    }

    /// Places one copy in the data centre with the fewest copies, on the endpoint with the fewest
    /// models.
    fn place_copy(
        &mut self,
        fleet: &FleetView<'_>,
        status: &ModelStatus<'_>,
    ) -> Vec<PlacementStep> {
        let copies = copies_by_data_centre(fleet, status.model);
        let candidate = fleet
            .endpoints
            .iter()
            .filter(|endpoint| self.can_load(fleet, endpoint, status.model))
            .min_by_key(|endpoint| {
                let local_copies = copies.get(endpoint.data_centre.as_str()).copied();
                (
                    local_copies.unwrap_or(0),
                    endpoint.loaded.len(),
                    endpoint.agent.clone(),
                )
            });
        match candidate {
            Some(endpoint) if self.consume_bytes(status.bytes) => {
                self.issue_order(fleet.now, &endpoint.agent, status.model, true)
            }
            _ => Vec::new(),
        }
    }

    /// Adds a copy in a data centre that has at least two fewer than another. Once the new copy
    /// serves, [`Self::remove_surplus`] unloads one from the data centre with the most.
    fn rebalance(&mut self, fleet: &FleetView<'_>, status: &ModelStatus<'_>) -> Vec<PlacementStep> {
        let copies = copies_by_data_centre(fleet, status.model);
        let most = copies.values().copied().max().unwrap_or(0);
        let eligible = fleet
            .endpoints
            .iter()
            .filter(|endpoint| self.can_load(fleet, endpoint, status.model));
        let fewest = eligible
            .map(|endpoint| copies.get(endpoint.data_centre.as_str()).copied())
            .map(|found| found.unwrap_or(0))
            .min();
        let movable = endpoints_with_placed_model(fleet, status.model)
            .next()
            .is_some();
        if !movable
            || status.retained > status.wanted
            || fewest.is_none_or(|fewest| fewest + 2 > most)
        {
            self.unbalanced_since.remove(status.model);
            return Vec::new();
        }
        let since = *self
            .unbalanced_since
            .entry(status.model.to_owned())
            .or_insert(fleet.now);
        if fleet.now.saturating_sub(since) < REBALANCE_DELAY {
            return Vec::new();
        }
        self.unbalanced_since.remove(status.model);
        self.place_copy(fleet, status)
    }

    /// Unloads copies beyond the wanted number. Only copies that the log placed are removed, never
    /// a model that an engine loaded on its own, and never the last copy.
    fn remove_surplus(
        &mut self,
        fleet: &FleetView<'_>,
        statuses: &[ModelStatus<'_>],
    ) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        for status in statuses {
            if status.retained <= status.wanted.max(1) {
                continue;
            }
            let copies = copies_by_data_centre(fleet, status.model);
            let surplus = endpoints_with_placed_model(fleet, status.model)
                .filter(|endpoint| {
                    !endpoint.draining && self.is_available(fleet.now, &endpoint.agent)
                })
                .max_by_key(|endpoint| {
                    let local_copies = copies.get(endpoint.data_centre.as_str()).copied();
                    (local_copies.unwrap_or(0), Reverse(endpoint.agent.clone()))
                });
            if let Some(endpoint) = surplus {
                steps.extend(self.issue_order(fleet.now, &endpoint.agent, status.model, false));
            }
        }
        steps
    }

    fn can_load(&self, fleet: &FleetView<'_>, endpoint: &EndpointView, model: &str) -> bool {
        let mut roles = fleet.tree.teams.values().flat_map(|team| &team.roles);
        let role = roles.find(|(name, _)| name.as_str() == endpoint.role);
        let allowed = role
            .is_none_or(|(_, role)| role.models.iter().any(|allowed| allowed.as_str() == model));
        allowed
            && !endpoint.draining
            && !endpoint.has_model(model)
            && self.is_available(fleet.now, &endpoint.agent)
    }

    /// Returns whether an endpoint has no pending order and is not in backoff after a refusal.
    fn is_available(&self, now: Duration, agent: &str) -> bool {
        let refused = self.refused.get(agent);
        let backing_off =
            refused.is_some_and(|refused| now.saturating_sub(*refused) < REFUSAL_BACKOFF);
        !backing_off && !self.orders.contains_key(agent)
    }

    fn issue_order(
        &mut self,
        now: Duration,
        agent: &str,
        model: &str,
        load: bool,
    ) -> Vec<PlacementStep> {
        let order = PendingOrder {
            model: model.to_owned(),
            load,
            sent_at: now,
        };
        self.orders.insert(agent.to_owned(), order);
        let (agent, model) = (agent.to_owned(), model.to_owned());
        let place = PlacementStep::Place {
            agent: agent.clone(),
            model: model.clone(),
            wanted: load,
        };
        vec![place, PlacementStep::Order { agent, model, load }]
    }

    /// Drops orders that took effect, orders to endpoints that are gone, and expired backoffs.
    fn drop_finished_orders(&mut self, fleet: &FleetView<'_>) {
        let endpoints = fleet.endpoints.iter();
        let by_agent: BTreeMap<_, _> = endpoints
            .map(|endpoint| (endpoint.agent.as_str(), endpoint))
            .collect();
        self.orders.retain(|agent, order| {
            by_agent
                .get(agent.as_str())
                .is_some_and(|endpoint| endpoint.has_model(&order.model) != order.load)
        });
        self.refused
            .retain(|_, refused| fleet.now.saturating_sub(*refused) < REFUSAL_BACKOFF);
    }

    fn retry_orders(&mut self, fleet: &FleetView<'_>) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        for (agent, order) in &mut self.orders {
            if fleet.now.saturating_sub(order.sent_at) >= ORDER_RETRY_INTERVAL {
                order.sent_at = fleet.now;
                steps.push(PlacementStep::Order {
                    agent: agent.clone(),
                    model: order.model.clone(),
                    load: order.load,
                });
            }
        }
        steps
    }

    fn refill_bucket(&mut self, fleet: &FleetView<'_>) {
        let rate = fleet.tree.fleet.weight_store_bytes_per_second as f64;
        let capacity = rate * BURST_SECONDS;
        let (level, since) = self.bucket.unwrap_or((capacity, fleet.now));
        let refilled = fleet.now.saturating_sub(since).as_secs_f64() * rate;
        self.bucket = Some(((level + refilled).min(capacity), fleet.now));
    }

    /// Takes the bytes of a load from the bucket and returns whether it may start. The level may go
    /// negative, so that a load larger than the bucket can start; later loads wait until the level
    /// is positive again.
    fn consume_bytes(&mut self, bytes: f64) -> bool {
        let Some((level, _)) = &mut self.bucket else {
            return false;
        };
        if *level <= 0.0 {
            return false;
        }
        *level -= bytes;
        true
    }
}

impl EndpointView {
    fn has_model(&self, model: &str) -> bool {
        self.loaded.contains(model)
    }
}

/// The wanted and the existing copies of a model.
#[derive(Debug)]
struct ModelStatus<'a> {
    model: &'a str,
    wanted: usize,
    /// Endpoints that have loaded the model.
    serving: usize,
    /// Endpoints that have loaded the model and are not draining.
    retained: usize,
    /// Wanted copies that are neither retained nor being loaded.
    missing: usize,
    /// Whether a draining endpoint has loaded the model.
    draining: bool,
    bytes: f64,
}

fn copies_by_data_centre<'a>(fleet: &FleetView<'a>, model: &str) -> BTreeMap<&'a str, usize> {
    let mut copies = BTreeMap::new();
    for endpoint in fleet.endpoints {
        if endpoint.has_model(model) && !endpoint.draining {
            *copies.entry(endpoint.data_centre.as_str()).or_insert(0) += 1;
        }
    }
    copies
}

fn endpoints_with_placed_model<'a>(
    fleet: &FleetView<'a>,
    model: &str,
) -> impl Iterator<Item = &'a EndpointView> {
    let is_placed = |agent: &String| {
        let models = fleet.placement.get(agent);
        models.is_some_and(|models| models.contains(model))
    };
    let holders: Vec<_> = fleet
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.has_model(model) && is_placed(&endpoint.agent))
        .collect();
    holders.into_iter()
}
