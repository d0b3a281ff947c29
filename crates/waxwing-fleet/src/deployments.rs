//! The versioned deployment document: routes, services, client accounts and limits.
//!
//! The highest version takes effect. The control hosts store the document as the operator sent it;
//! entries parse it into a [`FleetDeployment`], which they use to route requests.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use smol_str::SmolStr;
use waxwing_core::units;

use crate::errors;

/// The kind of a route, which determines whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A call that may run more than once.
    Idempotent,
    /// A call that must run at most once.
    NonIdempotent,
    /// A stream of events that must run at most once.
    Stream,
    /// A stream of events that another endpoint can resume after the last received event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request that may already have run may be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that serves a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: SmolStr,
    /// The share of the route's requests, relative to the sum of the weights of its services.
    pub weight: u32,
}

/// Maps the requests of a host name and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The name of the route, to which errors refer.
    pub name: SmolStr,
    /// The host name in the requests.
    pub host: SmolStr,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: SmolStr,
    /// Determines whether requests may be repeated.
    pub kind: RouteKind,
    /// The longest time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// The target for the time to the answer, or to the first event of a stream; an answer within
    /// it earns full credit.
    pub objective: Duration,
    /// The longest pause between two events that still counts as on time; zero if the route sets
    /// none.
    pub max_pause: Duration,
    /// The priority tier; 0 is the most urgent.
    pub rank: u32,
    /// The services among which the requests are split, at least one.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of endpoints to which one request may be sent, the first included.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl ServiceRoute {
    /// Picks a service by weight for a random `draw` from 0 to [`Self::total_weight`], exclusive.
    /// Returns `None` for a larger draw.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&SmolStr> {
        let mut remaining = draw;
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        None
    }

    /// Returns the sum of the weights.
    #[must_use]
    pub fn total_weight(&self) -> u32 {
        let weights = self.targets.iter().map(|target| target.weight);
        weights.fold(0, u32::saturating_add)
    }
}

/// The properties of each inference engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineProfile {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The capacity of one engine's key-value cache in tokens.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A group of interchangeable endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetService {
    /// The name under which endpoints register and routes refer to it.
    pub name: SmolStr,
    /// The path of the health check at an endpoint.
    pub health_path: SmolStr,
    /// The maximum number of connections that one endpoint accepts from all its clients.
    pub max_connections: u32,
    /// The properties of the engines, if the service is a model.
    pub engine: Option<EngineProfile>,
}

/// The unit in which a quota is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request costs one unit.
    Requests,
    /// Each request costs as many units as it has tokens.
    Tokens,
}

/// The token bucket that limits a client account across the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountQuota {
    /// The unit of the quota.
    pub unit: QuotaUnit,
    /// Refill rate in units per second.
    pub rate: f64,
    /// Capacity of the bucket in units.
    pub burst: f64,
    /// The cost in units of a request that doesn't state its tokens.
    pub default_cost: f64,
}

/// The identity under which applications send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// The name, which endpoints receive in place of the key.
    pub name: SmolStr,
    /// The API keys that identify the account.
    pub keys: Vec<SmolStr>,
    /// The priority tier, which overrides that of the route.
    pub rank: Option<u32>,
    /// The quota; `None` if the account is unlimited.
    pub quota: Option<AccountQuota>,
}

/// Limits on the connections and requests of callers. Entries enforce `head_bytes` and
/// `body_bytes`; their own limit on idle connections lies below the usual `idle_time`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Maximum size of the head of a request.
    pub head_bytes: units::ByteCount,
    /// Maximum size of the body of a request.
    pub body_bytes: units::ByteCount,
    /// Maximum time for the head of a request to arrive.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for IngressLimits {
    /// Returns the limits of a document that states none; they are those of common HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: units::ByteCount(16 * 1024),
            body_bytes: units::ByteCount(4 * 1024 * 1024),
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The content of a parsed document that has not been validated yet.
#[derive(Debug, Clone, Default)]
pub struct DeploymentParts {
    /// The version of the document.
    pub version: u64,
    /// The routes, in any order.
    pub routes: Vec<ServiceRoute>,
    /// The services that routes refer to.
    pub services: Vec<FleetService>,
    /// The client accounts. Requests need no key if the document has no such list; with an empty
    /// list, no key is valid.
    pub accounts: Option<Vec<ClientAccount>>,
    /// The limits on callers.
    pub limits: IngressLimits,
}

impl DeploymentParts {
    /// Returns the client accounts; none if the document has no list of them.
    #[must_use]
    pub fn listed_accounts(&self) -> &[ClientAccount] {
        self.accounts.as_deref().unwrap_or_default()
    }
}

/// A valid deployment document, indexed for lookups on the request path.
#[derive(Debug)]
pub struct FleetDeployment {
    version: u64,
    routes: HashMap<SmolStr, Vec<Arc<ServiceRoute>>>,
    services: HashMap<SmolStr, FleetService>,
    /// Whether the document has a list of client accounts, which may be empty.
    lists_accounts: bool,
    accounts: Vec<Arc<ClientAccount>>,
    keys: HashMap<SmolStr, usize>,
    limits: IngressLimits,
}

impl FleetDeployment {
    /// Validates and indexes a document.
    ///
    /// # Errors
    /// Fails with the first rule that the document violates.
    pub fn new(parts: DeploymentParts) -> Result<Self, errors::DeploymentError> {
        let lists_accounts = parts.accounts.is_some();
        let keys = index_keys(parts.listed_accounts());
        let services: HashMap<_, _> = parts
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let routes = index_routes(parts.routes, &services)?;
        let accounts = parts.accounts.into_iter().flatten();
        Ok(Self {
            version: parts.version,
            routes,
            services,
            lists_accounts,
            accounts: accounts.map(Arc::new).collect(),
            keys: keys?,
            limits: parts.limits,
        })
    }

    /// Returns the version of the document.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub const fn limits(&self) -> IngressLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&FleetService> {
        self.services.get(name)
    }

    /// Returns whether requests need a key, except on public routes.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.lists_accounts
    }

    /// Returns the client account with this key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.accounts.get(*self.keys.get(key)?)
    }

    /// Returns all client accounts.
    #[must_use]
    pub fn accounts(&self) -> &[Arc<ClientAccount>] {
        &self.accounts
    }
}

fn index_routes(
    routes: Vec<ServiceRoute>,
    services: &HashMap<SmolStr, FleetService>,
) -> Result<HashMap<SmolStr, Vec<Arc<ServiceRoute>>>, errors::DeploymentError> {
    let mut index: HashMap<SmolStr, Vec<Arc<ServiceRoute>>> = HashMap::new();
    for route in routes {
        check_route(&route, services)?;
        index
            .entry(route.host.clone())
            .or_default()
            .push(Arc::new(route));
    }
    for routes in index.values_mut() {
        // Longest prefix first, so that the first match is the best one. Equal prefixes become
        // adjacent, which the check for duplicates below needs.
        routes.sort_by(|left, right| {
            let lengths = right.prefix.len().cmp(&left.prefix.len());
            lengths.then_with(|| left.prefix.cmp(&right.prefix))
        });
        for pair in routes.windows(2) {
            if pair[0].prefix == pair[1].prefix {
                return Err(errors::DeploymentError::DuplicateRoute {
                    first: pair[0].name.clone(),
                    second: pair[1].name.clone(),
                });
            }
        }
    }
    Ok(index)
}

fn check_route(
    route: &ServiceRoute,
    services: &HashMap<SmolStr, FleetService>,
) -> Result<(), errors::DeploymentError> {
    let missing = route
        .targets
        .iter()
        .find(|target| !services.contains_key(&target.service));
    if let Some(target) = missing {
        return Err(errors::DeploymentError::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    if route.total_weight() == 0 {
        return Err(errors::DeploymentError::ZeroWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(errors::DeploymentError::ZeroTimeout(route.name.clone()));
    }
    Ok(())
}

fn index_keys(
    accounts: &[ClientAccount],
) -> Result<HashMap<SmolStr, usize>, errors::DeploymentError> {
    let mut keys = HashMap::new();
    for (position, account) in accounts.iter().enumerate() {
        let unique_keys: HashSet<_> = account.keys.iter().collect();
        for key in unique_keys {
            if let Some(other) = keys.insert(key.clone(), position) {
                return Err(errors::DeploymentError::SharedKey {
                    first: accounts[other].name.clone(),
                    second: account.name.clone(),
                });
            }
        }
    }
    Ok(keys)
}
