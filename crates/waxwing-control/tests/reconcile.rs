//! Tests of the placement planner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use test_case::test_case;
use waxwing_control::reconcile::{self, PlacementStep};
use waxwing_settings::view;

/// A fleet that records the placement of a planner and applies its orders.
struct TestFleet {
    tree: view::SettingsTree,
    endpoints: Vec<reconcile::EndpointView>,
    placement: BTreeMap<String, BTreeSet<String>>,
    planner: reconcile::PlacementPlanner,
    now: Duration,
}

fn endpoint(agent: &str, data_centre: &str, loaded: &[&str]) -> reconcile::EndpointView {
    reconcile::EndpointView {
        agent: agent.to_owned(),
        data_centre: data_centre.to_owned(),
        loaded: loaded.iter().map(|model| (*model).to_owned()).collect(),
        ..reconcile::EndpointView::default()
    }
}

impl TestFleet {
    fn new(models: serde_json::Value, endpoints: Vec<reconcile::EndpointView>) -> Self {
        let tree = serde_json::json!({"models": models});
        Self {
            tree: serde_json::from_value(tree).unwrap(),
            endpoints,
            placement: BTreeMap::new(),
            planner: reconcile::PlacementPlanner::default(),
            now: Duration::ZERO,
        }
    }

    /// Advances the clock by `seconds`, plans, and returns the orders as (agent, model, load).
    fn plan(&mut self, seconds: u64) -> Vec<(String, String, bool)> {
        self.now += Duration::from_secs(seconds);
        let steps = self.planner.plan(&reconcile::FleetView {
            now: self.now,
            tree: &self.tree,
            endpoints: &self.endpoints,
            placement: &self.placement,
        });
        let mut orders = Vec::new();
        for step in steps {
            match step {
                PlacementStep::Place {
                    agent,
                    model,
                    wanted,
                } => {
                    let models = self.placement.entry(agent).or_default();
                    if wanted {
                        models.insert(model);
                    } else {
                        models.remove(&model);
                    }
                }
                PlacementStep::Order { agent, model, load } => orders.push((agent, model, load)),
            }
        }
        orders
    }

    fn find(&mut self, agent: &str) -> &mut reconcile::EndpointView {
        let mut endpoints = self.endpoints.iter_mut();
        endpoints.find(|endpoint| endpoint.agent == agent).unwrap()
    }

    /// Applies orders to the engines.
    fn apply_orders(&mut self, orders: &[(String, String, bool)]) {
        for (agent, model, load) in orders {
            let endpoint = self.find(agent);
            if *load {
                assert!(endpoint.loaded.insert(model.clone()));
            } else {
                assert!(endpoint.loaded.remove(model));
            }
        }
    }
}

fn order(agent: &str, model: &str, load: bool) -> (String, String, bool) {
    (agent.to_owned(), model.to_owned(), load)
}

/// Guards against loading further copies of one model while another has none.
#[test]
fn an_unserved_model_comes_first() {
    let models = serde_json::json!({"a": {"copies": 2}, "b": {}});
    let mut fleet = TestFleet::new(
        models,
        vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &[])],
    );
    assert_eq!(fleet.plan(0), [order("two", "b", true)]);
}

/// Guards against loading copies elsewhere whenever an agent restarts.
#[test]
fn a_missing_copy_is_not_replaced_during_an_agent_restart() {
    let models = serde_json::json!({"a": {"copies": 2}});
    let endpoints = vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &[])];
    let mut fleet = TestFleet::new(models, endpoints);
    assert_eq!(fleet.plan(0), []);
    assert_eq!(fleet.plan(29), []);
    assert_eq!(fleet.plan(1), [order("two", "a", true)]);
}

/// Guards against two pending loads on one endpoint, and against a lost order that is never
/// retried.
#[test]
fn an_endpoint_has_one_pending_load_which_is_retried() {
    let models = serde_json::json!({"a": {}, "b": {}});
    let mut fleet = TestFleet::new(models, vec![endpoint("one", "x", &[])]);
    assert_eq!(fleet.plan(0), [order("one", "a", true)]);
    assert_eq!(fleet.plan(9), []);
    let repeated = fleet.plan(1);
    assert_eq!(repeated, [order("one", "a", true)]);
    fleet.apply_orders(&repeated);
    assert_eq!(fleet.plan(1), [order("one", "b", true)]);
}

/// Guards against repeating an order to an endpoint that refused it.
#[test]
fn a_refusing_endpoint_gets_no_orders_during_its_backoff() {
    let models = serde_json::json!({"a": {}});
    let mut fleet = TestFleet::new(
        models,
        vec![endpoint("one", "x", &[]), endpoint("two", "x", &[])],
    );
    assert_eq!(fleet.plan(0), [order("one", "a", true)]);
    let now = fleet.now;
    fleet.planner.record_refusal(now, "one");
    assert_eq!(fleet.plan(1), [order("two", "a", true)]);
}

/// Guards against loads that exceed the rate of the weight store.
#[test]
fn loads_are_limited_to_the_rate_of_the_weight_store() {
    let models = serde_json::json!({
        "a": {"weight_bytes": 6_000}, "b": {"weight_bytes": 6_000}, "c": {"weight_bytes": 6_000}
    });
    let endpoints = ["one", "two", "three"].map(|agent| endpoint(agent, "x", &[]));
    let mut fleet = TestFleet::new(models, endpoints.to_vec());
    fleet.tree.fleet.weight_store_bytes_per_second = 1_000;
    let first = fleet.plan(0);
    assert_eq!(
        first.len(),
        2,
        "ten seconds of the rate, where the last load may exceed the rest"
    );
    fleet.apply_orders(&first);
    assert_eq!(fleet.plan(2), []);
    assert_eq!(fleet.plan(1).len(), 1);
}

/// Guards against losing the last copy of a model when its endpoint is drained.
#[test]
fn models_of_a_draining_endpoint_are_loaded_elsewhere() {
    let models = serde_json::json!({"a": {}});
    let endpoints = vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &[])];
    let mut fleet = TestFleet::new(models, endpoints);
    assert_eq!(fleet.plan(0), []);
    fleet.find("one").draining = true;
    let orders = fleet.plan(1);
    assert_eq!(orders, [order("two", "a", true)]);
    fleet.apply_orders(&orders);
    assert_eq!(fleet.plan(1), []);
}

/// Guards against unloading a model that the log didn't place, and against unloading the last copy.
#[test_case(&["one", "two"], 1; "one of two placed copies goes")]
#[test_case(&["one"], 1; "the placed copy goes")]
#[test_case(&[], 0; "nothing was placed")]
fn only_placed_surplus_copies_are_unloaded(placed: &[&str], unloaded: usize) {
    let models = serde_json::json!({"a": {}});
    let endpoints = vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &["a"])];
    let mut fleet = TestFleet::new(models, endpoints);
    for agent in placed {
        let models = BTreeSet::from(["a".to_owned()]);
        fleet.placement.insert((*agent).to_owned(), models);
    }
    let mut total = 0;
    for _ in 0..20 {
        let orders = fleet.plan(20);
        assert!(orders.iter().all(|(_, _, load)| !load));
        total += orders.len();
        fleet.apply_orders(&orders);
    }
    assert_eq!(total, unloaded);
}

/// Guards against loading models that the role of an endpoint doesn't allow.
#[test]
fn roles_limit_models() {
    let models = serde_json::json!({"a": {}, "b": {}});
    let mut fleet = TestFleet::new(models, vec![endpoint("one", "x", &[])]);
    let teams = serde_json::json!({"bench": {"roles": {"writer": {"models": ["b"]}}}});
    fleet.tree.teams = serde_json::from_value(teams).unwrap();
    fleet.find("one").role = "writer".to_owned();
    let orders = fleet.plan(0);
    assert_eq!(orders, [order("one", "b", true)]);
    fleet.apply_orders(&orders);
    assert_eq!(fleet.plan(60), []);
}

/// Guards against keeping all copies in one data centre, and against moving copies back and forth.
#[test]
fn copies_spread_over_data_centres_without_oscillating() {
    let models = serde_json::json!({"a": {"copies": 2}});
    let endpoints = vec![
        endpoint("one", "x", &["a"]),
        endpoint("two", "x", &["a"]),
        endpoint("three", "y", &[]),
    ];
    let mut fleet = TestFleet::new(models, endpoints);
    let models = BTreeSet::from(["a".to_owned()]);
    fleet.placement.insert("two".to_owned(), models);
    let mut issued = Vec::new();
    for _ in 0..200 {
        let orders = fleet.plan(10);
        fleet.apply_orders(&orders);
        issued.extend(orders);
    }
    assert_eq!(
        issued,
        [order("three", "a", true), order("two", "a", false)]
    );
}
