//! The reconciler's decisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use test_case::test_case;
use waxwing_control::reconcile::{self, PlacementStep};
use waxwing_settings::view;

/// A `TestFleet` carries out the decisions of a planner.
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

    /// Plans after `seconds` and returns the orders as (agent, model, load).
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

    /// Lets engines do what they are told.
    fn obey(&mut self, orders: &[(String, String, bool)]) {
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

/// Guards against a model that nobody serves while copies of others are loaded first.
#[test]
fn an_unserved_model_comes_first() {
    let models = serde_json::json!({"a": {"copies": 2}, "b": {}});
    let mut fleet = TestFleet::new(
        models,
        vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &[])],
    );
    assert_eq!(fleet.plan(0), [order("two", "b", true)]);
}

/// Guards against copies that are loaded elsewhere each time an agent restarts.
#[test]
fn a_missing_copy_waits_for_a_restarted_agent() {
    let models = serde_json::json!({"a": {"copies": 2}});
    let endpoints = vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &[])];
    let mut fleet = TestFleet::new(models, endpoints);
    assert_eq!(fleet.plan(0), []);
    assert_eq!(fleet.plan(29), []);
    assert_eq!(fleet.plan(1), [order("two", "a", true)]);
}

/// Guards against two loads at one endpoint, and against an order that is lost for ever.
#[test]
fn one_load_is_under_way_and_is_repeated() {
    let models = serde_json::json!({"a": {}, "b": {}});
    let mut fleet = TestFleet::new(models, vec![endpoint("one", "x", &[])]);
    assert_eq!(fleet.plan(0), [order("one", "a", true)]);
    assert_eq!(fleet.plan(9), []);
    let repeated = fleet.plan(1);
    assert_eq!(repeated, [order("one", "a", true)]);
    fleet.obey(&repeated);
    assert_eq!(fleet.plan(1), [order("one", "b", true)]);
}

/// Guards against an endpoint that refuses orders and is asked again and again.
#[test]
fn a_refusing_endpoint_rests() {
    let models = serde_json::json!({"a": {}});
    let mut fleet = TestFleet::new(
        models,
        vec![endpoint("one", "x", &[]), endpoint("two", "x", &[])],
    );
    assert_eq!(fleet.plan(0), [order("one", "a", true)]);
    let now = fleet.now;
    fleet.planner.note_refused(now, "one");
    assert_eq!(fleet.plan(1), [order("two", "a", true)]);
}

/// Guards against a weight store that is asked for everything at once.
#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
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
        "ten seconds of the rate at most, the last load on credit"
    );
    fleet.obey(&first);
    assert_eq!(fleet.plan(2), []);
    assert_eq!(fleet.plan(1).len(), 1);
}

/// Guards against a drained endpoint that takes the last copy with it.
#[test]
fn a_draining_endpoint_gets_a_successor() {
    let models = serde_json::json!({"a": {}});
    let endpoints = vec![endpoint("one", "x", &["a"]), endpoint("two", "y", &[])];
    let mut fleet = TestFleet::new(models, endpoints);
    assert_eq!(fleet.plan(0), []);
    fleet.find("one").draining = true;
    let orders = fleet.plan(1);
    assert_eq!(orders, [order("two", "a", true)]);
    fleet.obey(&orders);
    assert_eq!(fleet.plan(1), []);
}

/// Guards against unloading what an engine came with, and against unloading the last copy.
#[test_case(&["one", "two"], 1; "one of two placed copies goes")]
#[test_case(&["one"], 1; "the placed copy goes")]
#[test_case(&[], 0; "nothing was placed")]
fn only_placed_surplus_is_removed(placed: &[&str], removed: usize) {
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
        fleet.obey(&orders);
    }
    assert_eq!(total, removed);
}

/// Guards against endpoints that load models their role doesn't have.
#[test]
fn roles_limit_models() {
    let models = serde_json::json!({"a": {}, "b": {}});
    let mut fleet = TestFleet::new(models, vec![endpoint("one", "x", &[])]);
    let teams = serde_json::json!({"bench": {"roles": {"writer": {"models": ["b"]}}}});
    fleet.tree.teams = serde_json::from_value(teams).unwrap();
    fleet.find("one").role = "writer".to_owned();
    let orders = fleet.plan(0);
    assert_eq!(orders, [order("one", "b", true)]);
    fleet.obey(&orders);
    assert_eq!(fleet.plan(60), []);
}

/// Guards against copies that all sit in one data centre, and against copies that move back and
/// forth.
#[test]
fn copies_spread_over_data_centres_and_stay() {
    let models = serde_json::json!({"a": {"copies": 2}});
    let endpoints = vec![
        endpoint("one", "x", &["a"]),
        endpoint("two", "x", &["a"]),
        endpoint("three", "y", &[]),
    ];
    let mut fleet = TestFleet::new(models, endpoints);
    let models = BTreeSet::from(["a".to_owned()]);
    fleet.placement.insert("two".to_owned(), models);
    let mut all = Vec::new();
    for _ in 0..200 {
        let orders = fleet.plan(10);
        fleet.obey(&orders);
        all.extend(orders);
    }
    assert_eq!(all, [order("three", "a", true), order("two", "a", false)]);
}
