//! The typed view of the settings tree. A process builds it once per version and shares it by
//! read-copy-update, so that a request sees one version from start to end.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use waxwing_core::{ids, units};

use crate::credentials;

/// A `SettingsTree` is the whole agreed settings tree in one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsTree {
    /// Tiers of urgency by name; owned by root.
    pub tiers: BTreeMap<ids::TierName, TierSettings>,
    /// Models by name; owned by root.
    pub models: BTreeMap<ids::ModelName, ModelSettings>,
    /// How requests are routed and limited; owned by root.
    pub policy: PolicySettings,
    /// What concerns the fleet as a whole; owned by root.
    pub fleet: FleetSettings,
    /// Teams with their subtrees; each is owned by its team.
    pub teams: BTreeMap<ids::TeamName, TeamSettings>,
}

/// `TierSettings` describe one tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSettings {
    /// The rank; 0 is served first. Two tiers can't share one.
    pub rank: ids::TierRank,
    /// The deadline of a request that names none, in milliseconds, 1 to 3,600,000.
    #[serde(default = "default_deadline")]
    pub default_deadline_ms: u64,
}

fn default_deadline() -> u64 {
    60_000
}

/// `ModelSettings` describe one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// The version of the weights.
    #[serde(default)]
    pub version: String,
    /// The number of endpoints that should have it loaded.
    #[serde(default = "default_copies")]
    pub copies: u32,
    /// The longest context in tokens.
    #[serde(default = "default_context")]
    pub context_tokens: units::TokenCount,
    /// The output tokens expected of a request that names no limit.
    #[serde(default = "default_output")]
    pub expected_output_tokens: units::TokenCount,
    /// The size of the weights in bytes, which loading takes from the weight store.
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

/// A `RoutingPolicy` chooses how endpoints are picked; all but one are baselines for measurement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Baseline: any endpoint, at random.
    Random,
    /// Baseline: one after the other.
    RoundRobin,
    /// Baseline: the least requests in the lagging reports.
    LeastReported,
    /// Baseline: the better of two random ones by the lagging reports.
    TwoChoices,
    /// Offers to several agents; the first grant gets the request.
    #[default]
    LateBinding,
}

/// `PolicySettings` steer routing, limits and retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// The routing policy.
    pub routing: RoutingPolicy,
    /// Agents that get an offer at first, 1 to 8.
    pub offers: u32,
    /// Agents that may hold an offer at one time, `offers` to 16.
    pub offers_max: u32,
    /// Target for the first token in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between tokens in milliseconds.
    pub token_target_ms: u64,
    /// The length of a grant in milliseconds.
    pub grant_ms: u64,
    /// Retries allowed as a share of requests, per account and tier.
    pub retry_share: f64,
    /// Retries that are always allowed, per account and tier.
    pub retry_burst: u32,
    /// How long an idempotency key is remembered, in seconds.
    pub key_retention_s: u64,
    /// How long a stored answer is kept, in seconds.
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

/// `FleetSettings` concern every process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// How long a process that is cut off goes on with its settings, in seconds.
    pub stale_settings_limit_s: u64,
    /// The largest number of endpoints that an entry watches.
    pub watch_limit: u32,
    /// Bytes per second that loading of weights may take from the weight store.
    pub weight_store_bytes_per_second: u64,
    /// Names of agents whose endpoints are to be drained.
    pub draining: BTreeSet<ids::ProcessName>,
    /// Operators of root, by name.
    pub operators: BTreeMap<ids::OperatorName, OperatorSettings>,
    /// Paths outside of a team's subtree that the team's operators may change as well.
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

/// `TeamSettings` are the subtree of one team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TeamSettings {
    /// Operators of the team.
    pub operators: BTreeMap<ids::OperatorName, OperatorSettings>,
    /// Client accounts of the team; names are unique in the whole tree.
    pub accounts: BTreeMap<ids::AccountName, AccountSettings>,
    /// Services of the team; names are unique in the whole tree.
    pub services: BTreeMap<ids::ServiceName, ServiceSettings>,
    /// Endpoint roles of the team; names are unique in the whole tree.
    pub roles: BTreeMap<ids::RoleName, RoleSettings>,
}

/// `OperatorSettings` describe one operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Digests of the operator's tokens; two while a token is being replaced.
    pub token_digests: Vec<credentials::TokenDigest>,
}

/// `AccountSettings` describe one client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSettings {
    /// Digests of the account's tokens; two while a token is being replaced.
    pub token_digests: Vec<credentials::TokenDigest>,
    /// Services that the account may use; empty for all.
    #[serde(default)]
    pub services: BTreeSet<ids::ServiceName>,
    /// Tiers that the account may use; empty for all.
    #[serde(default)]
    pub tiers: BTreeSet<ids::TierName>,
    /// The share among accounts of one tier, in thousandths, 1 to 1,000,000.
    #[serde(default = "default_weight")]
    pub weight_millis: u32,
    /// Requests per second; absent for no limit.
    #[serde(default)]
    pub requests_per_second: Option<f64>,
    /// Requests at one time; absent for no limit.
    #[serde(default)]
    pub concurrent_requests: Option<u32>,
    /// Tokens per second, prompt and output; absent for no limit.
    #[serde(default)]
    pub tokens_per_second: Option<units::TokenRate>,
}

fn default_weight() -> u32 {
    1_000
}

/// A `ServiceKind` tells model services and plain services apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Served by model engines.
    Model,
    /// Served by plain endpoints.
    Plain,
}

/// `ServiceSettings` describe one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Model or plain.
    pub kind: ServiceKind,
    /// Models that callers may name; for model services.
    #[serde(default)]
    pub models: BTreeSet<ids::ModelName>,
    /// The tier of a request that names none.
    pub default_tier: ids::TierName,
    /// Methods that may run twice, in upper case; absent for GET, HEAD, OPTIONS, PUT, DELETE.
    #[serde(default)]
    pub idempotent_methods: Option<BTreeSet<String>>,
    /// The longest request body in bytes.
    #[serde(default = "default_body")]
    pub max_body_bytes: units::ByteCount,
}

fn default_body() -> units::ByteCount {
    units::ByteCount(4 * 1024 * 1024)
}

/// `RoleSettings` describe one endpoint role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSettings {
    /// Models that endpoints of the role should load.
    #[serde(default)]
    pub models: BTreeSet<ids::ModelName>,
    /// Plain services that endpoints of the role offer.
    #[serde(default)]
    pub services: BTreeSet<ids::ServiceName>,
}

/// An `AccountEntry` is an account together with its name and team.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountEntry {
    /// The name.
    pub name: ids::AccountName,
    /// The team that owns it.
    pub team: ids::TeamName,
    /// Its settings.
    pub settings: AccountSettings,
}

/// A `SettingsView` is a tree with the indexes that the request path needs.
#[derive(Debug, Clone, Default)]
pub struct SettingsView {
    /// The version of the tree.
    pub version: ids::SettingsVersion,
    /// The tree.
    pub tree: SettingsTree,
    /// Accounts by the digest of each of their tokens.
    pub accounts: BTreeMap<credentials::TokenDigest, AccountEntry>,
    /// Services by name.
    pub services: BTreeMap<ids::ServiceName, ServiceSettings>,
}

impl SettingsView {
    /// Builds the indexes of a tree.
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

    /// Finds the account of a bearer token.
    #[must_use]
    pub fn account(&self, token: &str) -> Option<&AccountEntry> {
        self.accounts.get(&credentials::TokenDigest::of(token))
    }

    /// Finds the first model service that offers `model` and that `account` may use.
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
