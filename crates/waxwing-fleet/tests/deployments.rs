//! Validation of deployment documents, and lookups of routes and client accounts in them.

mod support;

use std::time::Duration;

use smol_str::SmolStr;
use test_case::test_case;
use waxwing_fleet::{
    deployments::{ClientAccount, DeploymentParts, FleetDeployment, FleetService, RouteTarget},
    errors::DeploymentError,
};

use support::route;

fn account(name: &str, key: &str) -> ClientAccount {
    ClientAccount {
        name: SmolStr::new(name),
        keys: vec![SmolStr::new(key)],
        rank: None,
        quota: None,
    }
}

fn parts() -> DeploymentParts {
    DeploymentParts {
        version: 3,
        routes: vec![route("all", "/"), route("orders", "/orders/")],
        services: vec![FleetService {
            name: SmolStr::new("register"),
            health_path: SmolStr::new("/health"),
            max_connections: 10,
            engine: None,
        }],
        accounts: Some(vec![account("one", "k1"), account("two", "k2")]),
        ..DeploymentParts::default()
    }
}

#[test]
fn route_with_the_longest_prefix_is_chosen() {
    let deployment = FleetDeployment::new(parts()).unwrap();
    let name = |path: &str| {
        let route = deployment.route("shop.example", path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("/orders/7"), Some("orders".to_owned()));
    assert_eq!(name("/ordersx/7"), Some("all".to_owned()));
    assert!(deployment.route("other.example", "/orders/7").is_none());
}

#[test]
fn key_identifies_its_account() {
    let deployment = FleetDeployment::new(parts()).unwrap();
    assert_eq!(deployment.account("k2").unwrap().name, "two");
    assert!(deployment.account("k3").is_none());
}

/// Guards against an empty list of accounts that is taken for a missing one: then any key is valid.
#[test_case(None, false; "no list")]
#[test_case(Some(Vec::new()), true; "an empty list")]
#[test_case(Some(vec![account("one", "k1")]), true; "one account")]
fn keys_are_needed_once_accounts_are_listed(accounts: Option<Vec<ClientAccount>>, needed: bool) {
    let parts = DeploymentParts {
        accounts,
        ..parts()
    };
    let deployment = FleetDeployment::new(parts).unwrap();
    assert_eq!(deployment.needs_keys(), needed);
}

fn unknown_service(parts: &mut DeploymentParts) {
    parts.routes[0].targets[0].service = SmolStr::new("gone");
}

fn duplicate_route(parts: &mut DeploymentParts) {
    parts.routes[1].prefix = SmolStr::new("/");
}

fn zero_weight(parts: &mut DeploymentParts) {
    parts.routes[0].targets[0].weight = 0;
}

fn zero_timeout(parts: &mut DeploymentParts) {
    parts.routes[0].timeout = Duration::ZERO;
}

fn shared_key(parts: &mut DeploymentParts) {
    parts.accounts.as_mut().unwrap()[1].keys = vec![SmolStr::new("k1")];
}

#[test_case(unknown_service, |error| matches!(error, DeploymentError::UnknownService { .. }))]
#[test_case(duplicate_route, |error| matches!(error, DeploymentError::DuplicateRoute { .. }))]
#[test_case(zero_weight, |error| matches!(error, DeploymentError::ZeroWeight(_)))]
#[test_case(zero_timeout, |error| matches!(error, DeploymentError::ZeroTimeout(_)))]
#[test_case(shared_key, |error| matches!(error, DeploymentError::SharedKey { .. }))]
fn invalid_documents_are_rejected(
    invalidate: fn(&mut DeploymentParts),
    expected: fn(&DeploymentError) -> bool,
) {
    let mut parts = parts();
    invalidate(&mut parts);
    let error = FleetDeployment::new(parts).unwrap_err();
    assert!(expected(&error), "{error}");
}

#[test]
fn draws_are_split_by_weight() {
    let mut split = route("split", "/split/");
    split.targets = ["a", "b"]
        .iter()
        .zip([9, 1])
        .map(|(name, weight)| RouteTarget {
            service: SmolStr::new(name),
            weight,
        })
        .collect();
    let chosen: Vec<_> = (0..split.total_weight())
        .map(|draw| split.target(draw).unwrap().to_string())
        .collect();
    assert_eq!(chosen.iter().filter(|name| *name == "a").count(), 9);
    assert_eq!(split.target(10), None);
}
