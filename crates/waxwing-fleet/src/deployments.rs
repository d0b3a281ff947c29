//! The deployment document: routes, services, client accounts and limits, in one version.
//!
//! The highest version is in force. The control hosts store the document as the operator sent it;
//! entries read it into a [`FleetDeployment`] and look requests up in it.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use smol_str::SmolStr;
use waxwing_core::units;

use crate::errors;

/// A `RouteKind` tells what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run once at most.
    NonIdempotent,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that may go on at another endpoint behind its last event.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request may run again after it may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A `RouteTarget` is a service of a route with its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: SmolStr,
    /// The share of the route's requests, against the sum of all weights.
    pub weight: u32,
}

/// A `ServiceRoute` says where requests of a host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The name.
    pub name: SmolStr,
    /// The host that requests name.
    pub host: SmolStr,
    /// The prefix of the path, which begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time to the answer, or to the first event of a stream, that earns full credit.
    pub objective: Duration,
    /// The longest pause between two events that counts as on time; zero where there is none.
    pub max_pause: Duration,
    /// The tier; 0 is the most urgent.
    pub rank: u32,
    /// The services, at least one.
    pub targets: Vec<RouteTarget>,
    /// The most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
}

impl ServiceRoute {
    /// Returns the service for a draw from 0 to the sum of the weights, exclusive.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&SmolStr> {
        let mut left = draw;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
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

/// An `EngineProfile` is what the document tells of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineProfile {
    /// Requests that one engine serves at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A `FleetService` is a group of like endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetService {
    /// The name.
    pub name: SmolStr,
    /// The path of the health check.
    pub health_path: SmolStr,
    /// The connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// The engines, where the service is a model.
    pub engine: Option<EngineProfile>,
}

/// A `QuotaUnit` is what a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens.
    Tokens,
}

/// An `AccountQuota` bounds what a client account may ask of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units that come back each second.
    pub rate: f64,
    /// Units that may be asked at once.
    pub burst: f64,
    /// Units of a request that doesn't tell its tokens.
    pub default_cost: f64,
}

/// A `ClientAccount` is the identity under which applications call.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// The name.
    pub name: SmolStr,
    /// The keys.
    pub keys: Vec<SmolStr>,
    /// The tier, which goes before that of the route.
    pub rank: Option<u32>,
    /// The quota; `None` where there is no limit.
    pub quota: Option<AccountQuota>,
}

/// `IngressLimits` bound what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// The longest head of a request.
    pub head_bytes: units::ByteCount,
    /// The longest body.
    pub body_bytes: units::ByteCount,
    /// The longest time for a head to arrive.
    pub head_time: Duration,
    /// The longest time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for IngressLimits {
    /// Limits in force before a document is known; they are those of common HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: units::ByteCount(16 * 1024),
            body_bytes: units::ByteCount(4 * 1024 * 1024),
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A `DeploymentParts` is a document that was read and not checked yet.
#[derive(Debug, Clone, Default)]
pub struct DeploymentParts {
    /// The version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<ServiceRoute>,
    /// The services.
    pub services: Vec<FleetService>,
    /// The client accounts; empty where no key is needed.
    pub accounts: Vec<ClientAccount>,
    /// The limits.
    pub limits: IngressLimits,
}

/// A `FleetDeployment` is a valid document, indexed for the request path.
#[derive(Debug)]
pub struct FleetDeployment {
    version: u64,
    routes: HashMap<SmolStr, Vec<Arc<ServiceRoute>>>,
    services: HashMap<SmolStr, FleetService>,
    accounts: Vec<Arc<ClientAccount>>,
    keys: HashMap<SmolStr, usize>,
    limits: IngressLimits,
}

impl FleetDeployment {
    /// Checks a document and indexes it.
    ///
    /// # Errors
    /// Fails with the first rule that the document breaks.
    pub fn new(parts: DeploymentParts) -> Result<Self, errors::DeploymentError> {
        let services: HashMap<_, _> = parts
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let routes = index_routes(parts.routes, &services)?;
        let keys = index_keys(&parts.accounts)?;
        Ok(Self {
            version: parts.version,
            routes,
            services,
            accounts: parts.accounts.into_iter().map(Arc::new).collect(),
            keys,
            limits: parts.limits,
        })
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub const fn limits(&self) -> IngressLimits {
        self.limits
    }

    /// Returns the route with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&FleetService> {
        self.services.get(name)
    }

    /// Tells whether requests need a key.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the client account that holds a key.
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
        // The longest prefix comes first, and equal ones stand beside each other.
        routes.sort_by(|left, right| {
            let lengths = right.prefix.len().cmp(&left.prefix.len());
            lengths.then_with(|| left.prefix.cmp(&right.prefix))
        });
        for pair in routes.windows(2) {
            if pair[0].prefix == pair[1].prefix {
                return Err(errors::DeploymentError::SamePlace {
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
    let unknown = route
        .targets
        .iter()
        .find(|target| !services.contains_key(&target.service));
    if let Some(target) = unknown {
        return Err(errors::DeploymentError::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    if route.total_weight() == 0 {
        return Err(errors::DeploymentError::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(errors::DeploymentError::NoTimeout(route.name.clone()));
    }
    Ok(())
}

fn index_keys(
    accounts: &[ClientAccount],
) -> Result<HashMap<SmolStr, usize>, errors::DeploymentError> {
    let mut keys = HashMap::new();
    for (position, account) in accounts.iter().enumerate() {
        let own: HashSet<_> = account.keys.iter().collect();
        for key in own {
            if let Some(former) = keys.insert(key.clone(), position) {
                return Err(errors::DeploymentError::SharedKey {
                    first: accounts[former].name.clone(),
                    second: account.name.clone(),
                });
            }
        }
    }
    Ok(keys)
}
