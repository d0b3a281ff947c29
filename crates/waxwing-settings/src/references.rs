//! Validation across settings: references to tiers, models and services, names and tokens that must
//! be unique in the whole tree, and ranges that depend on other settings.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use waxwing_core::ids;

use crate::{checks, credentials, ownership, view};

/// Returns a finding for every dangling reference, duplicate name or token, and range violation.
pub(crate) fn check(tree: &view::SettingsTree) -> Vec<checks::SettingFinding> {
    let services = tree.teams.values().flat_map(|team| team.services.keys());
    let mut checker = ReferenceChecker {
        tree,
        services: services.collect(),
        findings: Vec::new(),
    };
    checker.check_tiers();
    checker.check_policy();
    checker.check_delegations();
    for (team, settings) in &tree.teams {
        checker.check_accounts(team, settings);
        checker.check_services(team, settings);
        checker.check_roles(team, settings);
    }
    checker.check_unique("accounts", |team| team.accounts.keys().cloned().collect());
    checker.check_unique("services", |team| team.services.keys().cloned().collect());
    checker.check_unique("roles", |team| team.roles.keys().cloned().collect());
    checker.check_tokens();
    checker.findings
}

/// Collects the findings about one tree.
struct ReferenceChecker<'a> {
    tree: &'a view::SettingsTree,
    /// The services of all teams.
    services: BTreeSet<&'a ids::ServiceName>,
    findings: Vec<checks::SettingFinding>,
}

impl ReferenceChecker<'_> {
    fn report(&mut self, path: &str, found: &str, allowed: &str) {
        self.findings
            .push(checks::SettingFinding::new(path, found, allowed));
    }

    fn check_tiers(&mut self) {
        let mut ranks = BTreeMap::new();
        for (name, tier) in &self.tree.tiers {
            if let Some(other) = ranks.insert(tier.rank, name) {
                let allowed = format!("a rank that tier `{other}` doesn't have");
                let path = format!("/tiers/{name}/rank");
                self.report(&path, &tier.rank.to_string(), &allowed);
            }
        }
    }

    fn check_policy(&mut self) {
        let policy = &self.tree.policy;
        if policy.offers_max < policy.offers {
            let allowed = format!("at least `offers`, which is {}", policy.offers);
            self.report(
                "/policy/offers_max",
                &policy.offers_max.to_string(),
                &allowed,
            );
        }
        if policy.answer_retention_s > policy.key_retention_s {
            let allowed = format!(
                "at most `key_retention_s`, which is {}",
                policy.key_retention_s
            );
            let found = policy.answer_retention_s.to_string();
            self.report("/policy/answer_retention_s", &found, &allowed);
        }
    }

    fn check_delegations(&mut self) {
        for (team, paths) in &self.tree.fleet.delegations {
            let path = format!("/fleet/delegations/{team}");
            if !self.tree.teams.contains_key(team) {
                self.report(&path, team.as_str(), "the name of a team of the tree");
            }
            let reserved = paths.iter().filter(|path| !ownership::may_delegate(path));
            for reserved in reserved {
                self.report(
                    &path,
                    reserved,
                    "paths that don't reach operators, delegations or other teams",
                );
            }
        }
    }

    fn check_tier_name(&mut self, path: &str, tier: &ids::TierName) {
        if !self.tree.tiers.contains_key(tier) {
            self.report(
                path,
                tier.as_str(),
                &list_allowed("tier", self.tree.tiers.keys()),
            );
        }
    }

    fn check_model_names(&mut self, path: &str, models: &BTreeSet<ids::ModelName>) {
        for model in models {
            if !self.tree.models.contains_key(model) {
                let allowed = list_allowed("model", self.tree.models.keys());
                self.report(path, model.as_str(), &allowed);
            }
        }
    }

    fn check_service_names(&mut self, path: &str, services: &BTreeSet<ids::ServiceName>) {
        for service in services {
            if !self.services.contains(service) {
                let allowed = list_allowed("service", self.services.iter());
                self.report(path, service.as_str(), &allowed);
            }
        }
    }

    fn check_accounts(&mut self, team: &ids::TeamName, settings: &view::TeamSettings) {
        for (name, account) in &settings.accounts {
            let path = format!("/teams/{team}/accounts/{name}");
            self.check_service_names(&format!("{path}/services"), &account.services);
            for tier in &account.tiers {
                self.check_tier_name(&format!("{path}/tiers"), tier);
            }
        }
    }

    fn check_services(&mut self, team: &ids::TeamName, settings: &view::TeamSettings) {
        for (name, service) in &settings.services {
            let path = format!("/teams/{team}/services/{name}");
            self.check_tier_name(&format!("{path}/default_tier"), &service.default_tier);
            self.check_model_names(&format!("{path}/models"), &service.models);
            if service.kind == view::ServiceKind::Plain && !service.models.is_empty() {
                let found = format!("{} models", service.models.len());
                let path = format!("{path}/models");
                self.report(&path, &found, "no models, since the service is plain");
            }
        }
    }

    fn check_roles(&mut self, team: &ids::TeamName, settings: &view::TeamSettings) {
        for (name, role) in &settings.roles {
            let path = format!("/teams/{team}/roles/{name}");
            self.check_model_names(&format!("{path}/models"), &role.models);
            self.check_service_names(&format!("{path}/services"), &role.services);
        }
    }

    /// Reports names that two teams use. Names are looked up without their team, so they must be
    /// unique in the whole tree.
    fn check_unique<T: Ord + fmt::Display>(
        &mut self,
        kind: &str,
        names: impl Fn(&view::TeamSettings) -> Vec<T>,
    ) {
        let mut owners = BTreeMap::new();
        for (team, settings) in &self.tree.teams {
            for name in names(settings) {
                let path = format!("/teams/{team}/{kind}/{name}");
                if let Some(other) = owners.get(&name) {
                    let allowed = format!("a name that team `{other}` doesn't use in its {kind}");
                    let found = name.to_string();
                    self.findings
                        .push(checks::SettingFinding::new(&path, &found, &allowed));
                } else {
                    owners.insert(name, team);
                }
            }
        }
    }

    fn check_tokens(&mut self) {
        let mut owners: BTreeMap<credentials::TokenDigest, String> = BTreeMap::new();
        let tree = self.tree;
        let mut holders = Vec::new();
        for (name, operator) in &tree.fleet.operators {
            holders.push((format!("/fleet/operators/{name}"), &operator.token_digests));
        }
        for (team, settings) in &tree.teams {
            for (name, operator) in &settings.operators {
                let path = format!("/teams/{team}/operators/{name}");
                holders.push((path, &operator.token_digests));
            }
            for (name, account) in &settings.accounts {
                let path = format!("/teams/{team}/accounts/{name}");
                holders.push((path, &account.token_digests));
            }
        }
        for (path, digests) in holders {
            for digest in digests {
                if let Some(other) = owners.insert(*digest, path.clone()) {
                    let allowed = format!("a digest that {other} doesn't have");
                    let path = format!("{path}/token_digests");
                    self.report(&path, "a digest that is used twice", &allowed);
                }
            }
        }
    }
}

/// Describes the allowed names, of which it lists at most 20.
fn list_allowed<T: fmt::Display>(kind: &str, names: impl Iterator<Item = T>) -> String {
    let names: Vec<_> = names.take(20).map(|name| name.to_string()).collect();
    format!("a {kind} of the tree: {}", names.join(", "))
}
