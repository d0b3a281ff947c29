//! Typed, indexed form of the settings tree. A process builds it once per version and shares it by
//! read-copy-update, so that a request sees the same version from start to end.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use waxwing_core::{ids, units};

use crate::credentials;

/// One version of the whole settings tree, typed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsTree {
    /// Priority tiers by name; owned by root.
    pub tiers: BTreeMap<ids::TierName, TierSettings>,
    /// Models by name; owned by root.
    pub models: BTreeMap<ids::ModelName, ModelSettings>,
    /// Request routing, limits and retries; owned by root.
    pub policy: PolicySettings,
    /// Settings of the fleet as a whole; owned by root.
    pub fleet: FleetSettings,
    /// Teams by name; each subtree is owned by its team.
    pub teams: BTreeMap<ids::TeamName, TeamSettings>,
}

/// Settings of a priority tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSettings {
    /// The rank, unique among tiers; 0 has the highest priority.
    pub rank: ids::TierRank,
    /// The deadline of a request that specifies none, in milliseconds, 1 to 3,600,000.
    #[serde(default = "default_deadline")]
    pub default_deadline_ms: u64,
}

fn default_deadline() -> u64 {
    60_000
}

/// Settings of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// The version of the model's weights.
    #[serde(default)]
    pub version: String,
    /// The number of endpoints that should have the model loaded.
    #[serde(default = "default_copies")]
    pub copies: u32,
    /// The maximum context length in tokens.
    #[serde(default = "default_context")]
    pub context_tokens: units::TokenCount,
    /// The output tokens expected for a request without an output limit.
    #[serde(default = "default_output")]
    pub expected_output_tokens: units::TokenCount,
    /// The size of the weights in bytes; loading them uses that much of the weight store's rate.
    #[serde(default)]
    pub weight_bytes: units::ByteCount,
}

fn default_copies() -> u32 {
    1
}

fn default_context() -> units::TokenCount {
    units::TokenCount(131_072)
}

fn default_output() -> units::TokenCount {
    units::TokenCount(256)
}

/// How endpoints are selected. All policies except the default are baselines for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Baseline: a uniformly random endpoint.
    Random,
    /// Baseline: endpoints in turn.
    RoundRobin,
    /// Baseline: the endpoint with the fewest requests according to the reports, which lag.
    LeastReported,
    /// Baseline: the less loaded of two random endpoints according to the reports, which lag.
    TwoChoices,
    /// Late binding: the request is offered to several agents, and the first that grants it gets
    /// it.
    #[default]
    LateBinding,
}

/// Settings of routing, limits and retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// The routing policy.
    pub routing: RoutingPolicy,
    /// Number of agents that a request is offered to initially, 1 to 8.
    pub offers: u32,
    /// Maximum number of agents that hold an offer of a request at the same time, `offers` to 16.
    pub offers_max: u32,
    /// Target of the time to first token in milliseconds.
    pub first_token_target_ms: u64,
    /// Target of the time between output tokens in milliseconds.
    pub token_target_ms: u64,
    /// How long a grant is valid, in milliseconds.
    pub grant_ms: u64,
    /// Allowed ratio of retries to requests, per account and tier.
    pub retry_share: f64,
    /// Retries that are allowed regardless of that ratio, per account and tier.
    pub retry_burst: u32,
    /// How long an idempotency key is kept, in seconds.
    pub key_retention_s: u64,
    /// How long a stored response is kept, in seconds; at most `key_retention_s`.
    pub answer_retention_s: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::default(),
            offers: 2,
            offers_max: 4,
            first_token_target_ms: 990,
            token_target_ms: 58,
            grant_ms: 2_000,
            retry_share: 0.1,
            retry_burst: 10,
            key_retention_s: 86_400,
            answer_retention_s: 3_600,
        }
    }
}

/// Settings of the fleet as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// How long a process accepts requests after a quorum last confirmed its settings, in seconds.
    pub stale_settings_limit_s: u64,
    /// Maximum number of endpoints that an entry watches.
    pub watch_limit: u32,
    /// Maximum rate of all weight downloads from the weight store, in bytes per second.
    pub weight_store_bytes_per_second: u64,
    /// Names of the agents whose endpoints are to be drained.
    pub draining: BTreeSet<ids::ProcessName>,
    /// Root operators by name.
    pub operators: BTreeMap<ids::OperatorName, OperatorSettings>,
    /// Paths outside a team's subtree that its operators may also change, by team.
    pub delegations: BTreeMap<ids::TeamName, BTreeSet<String>>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            stale_settings_limit_s: 600,
            watch_limit: 160,
            weight_store_bytes_per_second: 1 << 30,
            draining: BTreeSet::new(),
            operators: BTreeMap::new(),
            delegations: BTreeMap::new(),
        }
    }
}

/// The subtree of a team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TeamSettings {
    /// Operators of the team by name.
    pub operators: BTreeMap<ids::OperatorName, OperatorSettings>,
    /// Client accounts of the team by name; names are unique in the whole tree.
    pub accounts: BTreeMap<ids::AccountName, AccountSettings>,
    /// Services of the team by name; names are unique in the whole tree.
    pub services: BTreeMap<ids::ServiceName, ServiceSettings>,
    /// Endpoint roles of the team by name; names are unique in the whole tree.
    pub roles: BTreeMap<ids::RoleName, RoleSettings>,
}

/// Settings of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Digests of the operator's bearer tokens; two while a token is being rotated.
    pub token_digests: Vec<credentials::TokenDigest>,
}

/// Settings of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSettings {
    /// Digests of the account's bearer tokens; two while a token is being rotated.
    pub token_digests: Vec<credentials::TokenDigest>,
    /// Services that the account may use; empty allows all.
    #[serde(default)]
    pub services: BTreeSet<ids::ServiceName>,
    /// Tiers that the account may use; empty allows all.
    #[serde(default)]
    pub tiers: BTreeSet<ids::TierName>,
    /// The weight of the account's share among the accounts of a tier, in thousandths, 1 to
    /// 1,000,000.
    #[serde(default = "default_weight")]
    pub weight_millis: u32,
    /// Maximum requests per second; `None` for no limit.
    #[serde(default)]
    pub requests_per_second: Option<f64>,
    /// Maximum concurrent requests; `None` for no limit.
    #[serde(default)]
    pub concurrent_requests: Option<u32>,
    /// Maximum prompt and output tokens per second; `None` for no limit.
    #[serde(default)]
    pub tokens_per_second: Option<units::TokenRate>,
}

fn default_weight() -> u32 {
    1_000
}

/// What kind of endpoint serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Inference engines.
    Model,
    /// Plain HTTP endpoints.
    Plain,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The kind of endpoint that serves it.
    pub kind: ServiceKind,
    /// Models that requests may select; only for model services.
    #[serde(default)]
    pub models: BTreeSet<ids::ModelName>,
    /// The tier of a request that specifies none.
    pub default_tier: ids::TierName,
    /// Idempotent HTTP methods in upper case; `None` for GET, HEAD, OPTIONS, PUT and DELETE.
    #[serde(default)]
    pub idempotent_methods: Option<BTreeSet<String>>,
    /// Maximum length of a request body in bytes.
    #[serde(default = "default_body")]
    pub max_body_bytes: units::ByteCount,
}

fn default_body() -> units::ByteCount {
    units::ByteCount(4 * 1024 * 1024)
}

/// Settings of an endpoint role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSettings {
    /// Models that endpoints with the role should load.
    #[serde(default)]
    pub models: BTreeSet<ids::ModelName>,
    /// Plain services that endpoints with the role serve.
    #[serde(default)]
    pub services: BTreeSet<ids::ServiceName>,
}

/// A client account with its name and team.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountEntry {
    /// The name of the account.
    pub name: ids::AccountName,
    /// The team that owns the account.
    pub team: ids::TeamName,
    /// The settings of the account.
    pub settings: AccountSettings,
}

/// A settings tree with the indexes that requests need.
#[derive(Debug, Clone, Default)]
pub struct SettingsView {
    /// The version of the tree.
    pub version: ids::SettingsVersion,
    /// The settings tree.
    pub tree: SettingsTree,
    /// Client accounts by the digest of each of their tokens.
    pub accounts: BTreeMap<credentials::TokenDigest, AccountEntry>,
    /// The services of all teams by name.
    pub services: BTreeMap<ids::ServiceName, ServiceSettings>,
}

impl SettingsView {
    /// Builds the indexes for `tree`.
    #[must_use]
    pub fn new(version: ids::SettingsVersion, tree: SettingsTree) -> Self {
        let mut view = Self {
            version,
            ..Self::default()
        };
        for (team, settings) in &tree.teams {
            for (name, account) in &settings.accounts {
                let entry = AccountEntry {
                    name: name.clone(),
                    team: team.clone(),
                    settings: account.clone(),
                };
                let digests = account.token_digests.iter();
                view.accounts
                    .extend(digests.map(|digest| (*digest, entry.clone())));
            }
            view.services.extend(settings.services.clone());
        }
        view.tree = tree;
        view
    }

    /// Finds the client account that a bearer token belongs to.
    #[must_use]
    pub fn account(&self, token: &str) -> Option<&AccountEntry> {
        self.accounts.get(&credentials::TokenDigest::of(token))
    }

    /// Finds the first model service, by name, that offers `model` and that `account` may use.
    #[must_use]
    pub fn model_service(
        &self,
        model: &ids::ModelName,
        account: &AccountSettings,
    ) -> Option<(&ids::ServiceName, &ServiceSettings)> {
        self.services.iter().find(|(name, service)| {
            service.kind == ServiceKind::Model
                && service.models.contains(model)
                && (account.services.is_empty() || account.services.contains(*name))
        })
    }
}
