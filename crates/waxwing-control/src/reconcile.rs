//! Which model goes to which endpoint: pure decisions from what is announced, what is wanted and
//! what the log has placed. `docs/design.md`, section 6, gives the order of priorities.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use waxwing_settings::view;

/// Time for which a copy must be missing before it is placed elsewhere; a restarted agent is back
/// within it. A model that nobody serves is placed at once.
pub const MISSING_FOR: Duration = Duration::from_secs(30);

/// Time for which data centres must be out of balance before a copy is moved.
pub const UNBALANCED_FOR: Duration = Duration::from_secs(300);

/// Time after which an order without an effect is given again.
pub const ORDER_RETRY: Duration = Duration::from_secs(10);

/// Time for which an endpoint that refused an order gets no other one.
pub const REFUSED_FOR: Duration = Duration::from_secs(60);

/// Seconds of the weight store's rate that may be used at once.
const BURST_SECONDS: f64 = 10.0;

/// An `EndpointView` is what the reconciler knows of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointView {
    /// The agent beside it.
    pub agent: String,
    /// The data centre.
    pub data_centre: String,
    /// The endpoint role; a role that the settings don't know allows every model.
    pub role: String,
    /// Models that are loaded.
    pub loaded: BTreeSet<String>,
    /// Whether it is to take no new work.
    pub draining: bool,
}

/// A `FleetView` is one look at the fleet.
#[derive(Debug, Clone)]
pub struct FleetView<'a> {
    /// Time since some fixed moment, by a monotonic clock.
    pub now: Duration,
    /// The settings in force.
    pub tree: &'a view::SettingsTree,
    /// The live engines.
    pub endpoints: &'a [EndpointView],
    /// Models that the log has placed, by agent.
    pub placement: &'a BTreeMap<String, BTreeSet<String>>,
}

/// A `PlacementStep` is one decision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementStep {
    /// Note in the log that the endpoint should have the model, or should no longer have it.
    Place {
        /// The agent.
        agent: String,
        /// The model.
        model: String,
        /// Whether it is wanted there.
        wanted: bool,
    },
    /// Give an engine order.
    Order {
        /// The agent.
        agent: String,
        /// The model.
        model: String,
        /// Load, or else unload.
        load: bool,
    },
}

/// An `OpenOrder` is an order whose effect isn't seen yet.
#[derive(Debug, Clone)]
struct OpenOrder {
    model: String,
    load: bool,
    given: Duration,
}

/// A `PlacementPlanner` decides step by step; what it remembers may be lost at any time.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    orders: BTreeMap<String, OpenOrder>,
    refused: BTreeMap<String, Duration>,
    missing_since: BTreeMap<String, Duration>,
    unbalanced_since: BTreeMap<String, Duration>,
    bucket: Option<(f64, Duration)>,
}

impl PlacementPlanner {
    /// Notes that an endpoint refused or failed an order.
    pub fn note_refused(&mut self, now: Duration, agent: &str) {
        self.orders.remove(agent);
        self.refused.insert(agent.to_owned(), now);
    }

    /// Decides what to do now. The steps concern different endpoints.
    pub fn plan(&mut self, fleet: &FleetView<'_>) -> Vec<PlacementStep> {
        self.refill(fleet);
        self.close_orders(fleet);
        let mut steps = self.repeat_orders(fleet);
        let mut goals = self.goals(fleet);
        goals.sort_by_key(|goal| (goal.serving > 0, goal.draining, goal.model.to_owned()));
        for goal in &goals {
            if goal.missing > 0 && self.is_due(fleet.now, goal) {
                steps.extend(self.load_somewhere(fleet, goal));
            }
        }
        // Moving copies about is pointless while some are missing.
        if goals.iter().all(|goal| goal.missing == 0) {
            for goal in &goals {
                steps.extend(self.rebalance(fleet, goal));
            }
        }
        steps.extend(self.remove_surplus(fleet, &goals));
        steps
    }

    /// Counts the copies of each model. Copies at draining endpoints serve, but need a successor.
    fn goals<'a>(&mut self, fleet: &FleetView<'a>) -> Vec<ModelGoal<'a>> {
        let mut goals = Vec::new();
        for (model, settings) in &fleet.tree.models {
            let model = model.as_str();
            let holders = fleet
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.has(model));
            let serving = holders.clone().count();
            let staying = holders.filter(|endpoint| !endpoint.draining).count();
            let coming = self
                .orders
                .values()
                .filter(|order| order.load && order.model == model)
                .count();
            let wanted = settings.copies as usize;
            let missing = wanted.saturating_sub(staying + coming);
            if missing > 0 {
                self.missing_since
                    .entry(model.to_owned())
                    .or_insert(fleet.now);
            } else {
                self.missing_since.remove(model);
            }
            goals.push(ModelGoal {
                model,
                wanted,
                serving,
                staying,
                missing,
                draining: serving > staying,
                bytes: settings.weight_bytes.0 as f64,
            });
        }
        goals
    }

    fn is_due(&self, now: Duration, goal: &ModelGoal<'_>) -> bool {
        let since = self.missing_since.get(goal.model).copied().unwrap_or(now);
        goal.serving == 0 || goal.draining || now.saturating_sub(since) >= MISSING_FOR
    }

    /// Places one copy: in the data centre with the fewest, at the endpoint with the fewest models.
    fn load_somewhere(
        &mut self,
        fleet: &FleetView<'_>,
        goal: &ModelGoal<'_>,
    ) -> Vec<PlacementStep> {
        let copies = copies_by_data_centre(fleet, goal.model);
        let candidate = fleet
            .endpoints
            .iter()
            .filter(|endpoint| self.can_load(fleet, endpoint, goal.model))
            .min_by_key(|endpoint| {
                let near = copies.get(endpoint.data_centre.as_str()).copied();
                (
                    near.unwrap_or(0),
                    endpoint.loaded.len(),
                    endpoint.agent.clone(),
                )
            });
        match candidate {
            Some(endpoint) if self.take_bytes(goal.bytes) => {
                self.open(fleet.now, &endpoint.agent, goal.model, true)
            }
            _ => Vec::new(),
        }
    }

    /// Adds a copy where a data centre has at least two fewer than another; the surplus there goes
    /// once the new copy serves.
    fn rebalance(&mut self, fleet: &FleetView<'_>, goal: &ModelGoal<'_>) -> Vec<PlacementStep> {
        let copies = copies_by_data_centre(fleet, goal.model);
        let most = copies.values().copied().max().unwrap_or(0);
        let able = fleet
            .endpoints
            .iter()
            .filter(|endpoint| self.can_load(fleet, endpoint, goal.model));
        let fewest = able
            .map(|endpoint| copies.get(endpoint.data_centre.as_str()).copied())
            .map(|found| found.unwrap_or(0))
            .min();
        let movable = placed_holders(fleet, goal.model).next().is_some();
        if !movable || goal.staying > goal.wanted || fewest.is_none_or(|fewest| fewest + 2 > most) {
            self.unbalanced_since.remove(goal.model);
            return Vec::new();
        }
        let since = *self
            .unbalanced_since
            .entry(goal.model.to_owned())
            .or_insert(fleet.now);
        if fleet.now.saturating_sub(since) < UNBALANCED_FOR {
            return Vec::new();
        }
        self.unbalanced_since.remove(goal.model);
        self.load_somewhere(fleet, goal)
    }

    /// Unloads copies beyond the wanted number. Only copies that the log placed are removed, never
    /// what an engine came with, and never the last one.
    fn remove_surplus(
        &mut self,
        fleet: &FleetView<'_>,
        goals: &[ModelGoal<'_>],
    ) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        for goal in goals {
            if goal.staying <= goal.wanted.max(1) {
                continue;
            }
            let copies = copies_by_data_centre(fleet, goal.model);
            let surplus = placed_holders(fleet, goal.model)
                .filter(|endpoint| !endpoint.draining && self.is_free(fleet.now, &endpoint.agent))
                .max_by_key(|endpoint| {
                    let near = copies.get(endpoint.data_centre.as_str()).copied();
                    (near.unwrap_or(0), Reverse(endpoint.agent.clone()))
                });
            if let Some(endpoint) = surplus {
                steps.extend(self.open(fleet.now, &endpoint.agent, goal.model, false));
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
            && !endpoint.has(model)
            && self.is_free(fleet.now, &endpoint.agent)
    }

    /// Tells whether an endpoint has no order under way and didn't refuse one lately.
    fn is_free(&self, now: Duration, agent: &str) -> bool {
        let refused = self.refused.get(agent);
        let rests = refused.is_some_and(|refused| now.saturating_sub(*refused) < REFUSED_FOR);
        !rests && !self.orders.contains_key(agent)
    }

    fn open(&mut self, now: Duration, agent: &str, model: &str, load: bool) -> Vec<PlacementStep> {
        let order = OpenOrder {
            model: model.to_owned(),
            load,
            given: now,
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

    /// Forgets orders that took effect, and those of endpoints that are gone.
    fn close_orders(&mut self, fleet: &FleetView<'_>) {
        let endpoints = fleet.endpoints.iter();
        let known: BTreeMap<_, _> = endpoints
            .map(|endpoint| (endpoint.agent.as_str(), endpoint))
            .collect();
        self.orders.retain(|agent, order| {
            known
                .get(agent.as_str())
                .is_some_and(|endpoint| endpoint.has(&order.model) != order.load)
        });
        self.refused
            .retain(|_, refused| fleet.now.saturating_sub(*refused) < REFUSED_FOR);
    }

    fn repeat_orders(&mut self, fleet: &FleetView<'_>) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        for (agent, order) in &mut self.orders {
            if fleet.now.saturating_sub(order.given) >= ORDER_RETRY {
                order.given = fleet.now;
                steps.push(PlacementStep::Order {
                    agent: agent.clone(),
                    model: order.model.clone(),
                    load: order.load,
                });
            }
        }
        steps
    }

    fn refill(&mut self, fleet: &FleetView<'_>) {
        let rate = fleet.tree.fleet.weight_store_bytes_per_second as f64;
        let full = rate * BURST_SECONDS;
        let (level, since) = self.bucket.unwrap_or((full, fleet.now));
        let grown = fleet.now.saturating_sub(since).as_secs_f64() * rate;
        self.bucket = Some(((level + grown).min(full), fleet.now));
    }

    /// Takes the bytes of a load. A load that is larger than the whole bucket waits until the
    /// bucket is full and leaves a debt behind.
    fn take_bytes(&mut self, bytes: f64) -> bool {
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
    fn has(&self, model: &str) -> bool {
        self.loaded.contains(model)
    }
}

/// A `ModelGoal` compares what is wanted of a model with what there is.
#[derive(Debug)]
struct ModelGoal<'a> {
    model: &'a str,
    wanted: usize,
    /// Endpoints that have it.
    serving: usize,
    /// Endpoints that have it and don't drain.
    staying: usize,
    missing: usize,
    draining: bool,
    bytes: f64,
}

fn copies_by_data_centre<'a>(fleet: &FleetView<'a>, model: &str) -> BTreeMap<&'a str, usize> {
    let mut copies = BTreeMap::new();
    for endpoint in fleet.endpoints {
        if endpoint.has(model) && !endpoint.draining {
            *copies.entry(endpoint.data_centre.as_str()).or_insert(0) += 1;
        }
    }
    copies
}

fn placed_holders<'a>(
    fleet: &FleetView<'a>,
    model: &str,
) -> impl Iterator<Item = &'a EndpointView> {
    let placed = |agent: &String| {
        let models = fleet.placement.get(agent);
        models.is_some_and(|models| models.contains(model))
    };
    let holders: Vec<_> = fleet
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.has(model) && placed(&endpoint.agent))
        .collect();
    holders.into_iter()
}
