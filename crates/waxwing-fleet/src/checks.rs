//! Checks of a deployment document before it is sent: errors for which control hosts refuse it,
//! entries that can never match, and limits that contradict each other.
//! `docs/operations/checks.md` lists them.

use std::{
    collections::{HashMap, HashSet},
    fmt,
};

use smol_str::{SmolStr, ToSmolStr as _, format_smolstr};

use crate::deployments;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingSeverity {
    /// Control hosts refuse the document.
    Error,
    /// The document is accepted, but a part of it has no effect or contradicts another one.
    Warning,
}

/// Something in a document that is wrong or has no effect.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct DocumentFinding {
    /// How serious it is.
    pub severity: FindingSeverity,
    /// Where it is: the kind, name and field of an entry.
    pub path: SmolStr,
    /// What was found there.
    pub found: SmolStr,
    /// What is allowed there, or would have an effect.
    pub allowed: SmolStr,
}

impl fmt::Display for DocumentFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            FindingSeverity::Error => "error",
            FindingSeverity::Warning => "warning",
        };
        write!(
            formatter,
            "{severity}: {}: found {}; allowed: {}",
            self.path, self.found, self.allowed
        )
    }
}

/// Returns all findings in a document, the errors first. A document without errors is accepted by
/// control hosts.
#[must_use]
pub fn check(parts: &deployments::DeploymentParts) -> Vec<DocumentFinding> {
    let mut checker = DocumentChecker::default();
    checker.check_services(parts);
    checker.check_routes(parts);
    checker.check_accounts(parts);
    checker.check_limits(parts);
    let mut findings = checker.findings;
    findings.sort_by_key(|finding| finding.severity);
    findings
}

/// Returns what is wrong with the version of a document that replaces `base`.
#[must_use]
pub fn check_version(
    base: &deployments::DeploymentParts,
    new: &deployments::DeploymentParts,
) -> Option<DocumentFinding> {
    (new.version <= base.version).then(|| DocumentFinding {
        severity: FindingSeverity::Warning,
        path: SmolStr::new_static("version"),
        found: new.version.to_smolstr(),
        allowed: format_smolstr!(
            "more than {}, the version in force; an older one changes nothing",
            base.version
        ),
    })
}

#[derive(Debug, Default)]
struct DocumentChecker {
    findings: Vec<DocumentFinding>,
}

impl DocumentChecker {
    fn add(
        &mut self,
        severity: FindingSeverity,
        path: impl Into<SmolStr>,
        found: impl fmt::Display,
        allowed: &str,
    ) {
        self.findings.push(DocumentFinding {
            severity,
            path: path.into(),
            found: found.to_smolstr(),
            allowed: SmolStr::new(allowed),
        });
    }

    fn error(&mut self, path: impl Into<SmolStr>, found: impl fmt::Display, allowed: &str) {
        self.add(FindingSeverity::Error, path, found, allowed);
    }

    fn warn(&mut self, path: impl Into<SmolStr>, found: impl fmt::Display, allowed: &str) {
        self.add(FindingSeverity::Warning, path, found, allowed);
    }

    fn check_services(&mut self, parts: &deployments::DeploymentParts) {
        let targets = parts.routes.iter().flat_map(|route| &route.targets);
        let used: HashSet<_> = targets.map(|target| &target.service).collect();
        let mut names = HashSet::new();
        for service in &parts.services {
            let path = format_smolstr!("services/{}", service.name);
            if !names.insert(&service.name) {
                self.warn(
                    path.clone(),
                    "a second entry with this name",
                    "one entry for each name; the last one counts",
                );
            }
            if !used.contains(&service.name) {
                self.warn(
                    path.clone(),
                    "no route that names it",
                    "a service that a route names",
                );
            }
            let connections = service.max_connections;
            if connections == 0 {
                self.warn(
                    format_smolstr!("{path}/max_connections"),
                    0,
                    "1 or more; nothing can be sent there",
                );
            }
            let Some(engine) = service.engine else {
                continue;
            };
            if engine.slots == 0 {
                self.warn(format_smolstr!("{path}/slots"), 0, "1 or more");
            }
            if connections > 0 && connections < engine.slots {
                let allowed = format_smolstr!("{} or more, one for each slot", engine.slots);
                self.warn(
                    format_smolstr!("{path}/max_connections"),
                    connections,
                    &allowed,
                );
            }
        }
    }

    fn check_routes(&mut self, parts: &deployments::DeploymentParts) {
        let services: HashSet<_> = parts.services.iter().map(|service| &service.name).collect();
        let mut places = HashMap::new();
        for route in &parts.routes {
            let path = format_smolstr!("routes/{}", route.name);
            if let Some(first) = places.insert((&route.host, &route.prefix), &route.name) {
                let found = format_smolstr!("the host and path prefix of route {first}");
                self.error(path.clone(), found, "a host and path prefix of its own");
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                self.warn(format_smolstr!("{path}/prefix"), format_smolstr!("`{}`", route.prefix), "a prefix that begins and ends with a slash; no path matches another one as meant");
            }
            if route.host.is_empty()
                || route
                    .host
                    .contains(|letter: char| letter.is_whitespace() || letter == '/')
            {
                self.warn(
                    format_smolstr!("{path}/host"),
                    format_smolstr!("`{}`", route.host),
                    "a host name; no request has this one",
                );
            }
            self.check_targets(&path, route, &services);
            self.check_times(&path, route);
        }
    }

    fn check_targets(
        &mut self,
        path: &SmolStr,
        route: &deployments::ServiceRoute,
        services: &HashSet<&SmolStr>,
    ) {
        for target in &route.targets {
            if !services.contains(&target.service) {
                self.error(
                    format_smolstr!("{path}/service"),
                    format_smolstr!("`{}`", target.service),
                    "a service of the document",
                );
            } else if target.weight == 0 && route.total_weight() > 0 {
                self.warn(
                    format_smolstr!("{path}/service/{}", target.service),
                    "weight 0",
                    "1 or more; it gets no requests",
                );
            }
        }
        if route.total_weight() == 0 {
            self.error(format_smolstr!("{path}/weights"), "a sum of 0", "1 or more");
        }
    }

    fn check_times(&mut self, path: &SmolStr, route: &deployments::ServiceRoute) {
        let millis = |time: std::time::Duration| format_smolstr!("{} ms", time.as_millis());
        let timeout = format_smolstr!("{path}/timeout");
        if route.timeout.is_zero() {
            self.error(timeout, "0 ms", "more than 0 ms");
            return;
        }
        if route.timeout < route.objective {
            let allowed = format_smolstr!(
                "at least the latency objective of {}",
                millis(route.objective)
            );
            self.warn(timeout, millis(route.timeout), &allowed);
        }
        if route.max_pause > route.timeout {
            let allowed = format_smolstr!("at most the timeout of {}", millis(route.timeout));
            self.warn(
                format_smolstr!("{path}/max_pause"),
                millis(route.max_pause),
                &allowed,
            );
        }
        if route.attempts == 0 {
            self.warn(
                format_smolstr!("{path}/attempts"),
                0,
                "1 or more; the first one counts",
            );
        }
    }

    fn check_accounts(&mut self, parts: &deployments::DeploymentParts) {
        let mut owners: HashMap<&SmolStr, usize> = HashMap::new();
        let mut names = HashSet::new();
        for (number, account) in parts.listed_accounts().iter().enumerate() {
            let path = format_smolstr!("accounts/{}", account.name);
            if !names.insert(&account.name) {
                self.warn(
                    path.clone(),
                    "a second entry with this name",
                    "one entry for each name",
                );
            }
            if account.keys.is_empty() {
                self.warn(
                    format_smolstr!("{path}/keys"),
                    "none",
                    "at least one key; nobody can use the account",
                );
            }
            for key in &account.keys {
                // Keys are secrets, so the findings leave them out.
                match owners.insert(key, number) {
                    Some(first) if first != number => {
                        let first = &parts.listed_accounts()[first].name;
                        let found = format_smolstr!("a key of account {first}");
                        self.error(format_smolstr!("{path}/keys"), found, "keys of its own");
                    }
                    Some(_) => {
                        self.warn(
                            format_smolstr!("{path}/keys"),
                            "a key twice",
                            "each key once",
                        );
                    }
                    None => {}
                }
                if key.is_empty() {
                    self.warn(
                        format_smolstr!("{path}/keys"),
                        "an empty key",
                        "a key; no request has an empty one",
                    );
                }
            }
            if let Some(quota) = account.quota {
                self.check_quota(&path, &quota);
            }
        }
        let needs_keys = parts.accounts.is_some() && parts.routes.iter().any(|route| !route.public);
        if needs_keys && owners.is_empty() {
            self.warn(
                "accounts",
                "no key at all",
                "a key; every request of a route that isn't public is refused",
            );
        }
    }

    fn check_quota(&mut self, path: &SmolStr, quota: &deployments::AccountQuota) {
        let cost = match quota.unit {
            deployments::QuotaUnit::Requests => 1.0,
            deployments::QuotaUnit::Tokens => quota.default_cost,
        };
        if quota.burst < cost {
            let allowed =
                format_smolstr!("at least {cost}, the units of one request; all are refused");
            self.warn(format_smolstr!("{path}/burst"), quota.burst, &allowed);
        }
        if quota.rate <= 0.0 {
            self.warn(
                format_smolstr!("{path}/rate"),
                quota.rate,
                "more than 0; the quota never fills up again",
            );
        }
    }

    fn check_limits(&mut self, parts: &deployments::DeploymentParts) {
        let limits = &parts.limits;
        if limits.head_bytes.0 == 0 {
            self.warn(
                "limits/head_bytes",
                0,
                "1 or more; every request is refused",
            );
        }
        if limits.body_bytes.0 == 0 {
            self.warn(
                "limits/body_bytes",
                0,
                "1 or more; every request with a body is refused",
            );
        }
        for (name, time) in [
            ("head_time", limits.head_time),
            ("idle_time", limits.idle_time),
        ] {
            if time.is_zero() {
                self.warn(format_smolstr!("limits/{name}"), "0 ms", "more than 0 ms");
            }
        }
    }
}
