//! What differs between two deployment documents, by what it means to callers.
//! `docs/operations/checks.md` lists the effects.

use std::{collections::BTreeMap, fmt};

use smol_str::SmolStr;

use crate::deployments;

/// What a difference means to callers, the most serious first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeEffect {
    /// Callers who are served now will be refused.
    Refuses,
    /// Requests run elsewhere.
    Moves,
    /// Callers get less time, fewer attempts or a smaller quota.
    Restricts,
    /// Anything else.
    Adjusts,
    /// New callers or requests are served.
    Adds,
}

/// A difference between two documents.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct DocumentChange {
    /// What it means to callers.
    pub effect: ChangeEffect,
    /// Where it is.
    pub path: SmolStr,
    /// The value in force; empty if there is none.
    pub before: SmolStr,
    /// The new value; empty if there is none.
    pub after: SmolStr,
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.effect {
            ChangeEffect::Refuses => "refuses callers",
            ChangeEffect::Moves => "moves requests",
            ChangeEffect::Restricts => "restricts callers",
            ChangeEffect::Adjusts => "adjusts",
            ChangeEffect::Adds => "adds",
        };
        let or_none = |text: &SmolStr| match text.as_str() {
            "" => SmolStr::new_static("nothing"),
            text => SmolStr::new(text),
        };
        let (before, after) = (or_none(&self.before), or_none(&self.after));
        write!(formatter, "{effect}: {}: {before} -> {after}", self.path)
    }
}

/// Returns what differs from the document in force, the most serious effect on callers first.
#[must_use]
pub fn compare(
    base: &deployments::DeploymentParts,
    new: &deployments::DeploymentParts,
) -> Vec<DocumentChange> {
    let mut comparison = DocumentComparison::default();
    comparison.compare_routes(base, new);
    comparison.compare_services(base, new);
    comparison.compare_accounts(base, new);
    let (before, after) = (format!("{:?}", base.limits), format!("{:?}", new.limits));
    comparison.add_if_changed(ChangeEffect::Restricts, "limits", &before, &after);
    comparison.changes.sort();
    comparison.changes
}

#[derive(Debug, Default)]
struct DocumentComparison {
    changes: Vec<DocumentChange>,
}

impl DocumentComparison {
    fn add(&mut self, effect: ChangeEffect, path: &str, before: &str, after: &str) {
        self.changes.push(DocumentChange {
            effect,
            path: SmolStr::new(path),
            before: SmolStr::new(before),
            after: SmolStr::new(after),
        });
    }

    fn add_if_changed(&mut self, effect: ChangeEffect, path: &str, before: &str, after: &str) {
        if before != after {
            self.add(effect, path, before, after);
        }
    }

    /// Adds the change of a number of which callers want more.
    fn add_number(&mut self, path: &str, before: f64, after: f64) {
        if before.to_bits() != after.to_bits() {
            let effect = match after < before {
                true => ChangeEffect::Restricts,
                false => ChangeEffect::Adjusts,
            };
            self.add(effect, path, &before.to_string(), &after.to_string());
        }
    }

    fn compare_routes(
        &mut self,
        base: &deployments::DeploymentParts,
        new: &deployments::DeploymentParts,
    ) {
        let place = |route: &deployments::ServiceRoute| (route.host.clone(), route.prefix.clone());
        let index = |parts: &deployments::DeploymentParts| -> BTreeMap<_, _> {
            let routes = parts.routes.iter();
            routes.map(|route| (place(route), route.clone())).collect()
        };
        let (before, mut after) = (index(base), index(new));
        for (place, old) in &before {
            let path = format!("routes/{}", old.name);
            match after.remove(place) {
                None => self.add(
                    ChangeEffect::Refuses,
                    &path,
                    &format!("{}{}", place.0, place.1),
                    "",
                ),
                Some(route) => self.compare_route(&path, old, &route),
            }
        }
        for (place, route) in &after {
            let path = format!("routes/{}", route.name);
            self.add(
                ChangeEffect::Adds,
                &path,
                "",
                &format!("{}{}", place.0, place.1),
            );
        }
    }

    fn compare_route(
        &mut self,
        path: &str,
        old: &deployments::ServiceRoute,
        new: &deployments::ServiceRoute,
    ) {
        let targets = |route: &deployments::ServiceRoute| {
            let texts = route.targets.iter();
            let texts = texts.map(|target| format!("{} {}", target.service, target.weight));
            texts.collect::<Vec<_>>().join(", ")
        };
        let field = |name: &str| format!("{path}/{name}");
        if old.public && !new.public {
            self.add(ChangeEffect::Refuses, &field("public"), "true", "false");
        } else if old.public != new.public {
            self.add(ChangeEffect::Adds, &field("public"), "false", "true");
        }
        self.add_if_changed(
            ChangeEffect::Moves,
            &field("service"),
            &targets(old),
            &targets(new),
        );
        self.add_if_changed(
            ChangeEffect::Restricts,
            &field("kind"),
            &format!("{:?}", old.kind),
            &format!("{:?}", new.kind),
        );
        let seconds = |time: std::time::Duration| time.as_secs_f64();
        self.add_number(
            &field("timeout"),
            seconds(old.timeout),
            seconds(new.timeout),
        );
        self.add_number(&field("attempts"), old.attempts.into(), new.attempts.into());
        let adjusted = [
            (
                "objective",
                format!("{:?}", old.objective),
                format!("{:?}", new.objective),
            ),
            (
                "max_pause",
                format!("{:?}", old.max_pause),
                format!("{:?}", new.max_pause),
            ),
            ("rank", old.rank.to_string(), new.rank.to_string()),
            ("name", old.name.to_string(), new.name.to_string()),
        ];
        for (name, before, after) in adjusted {
            self.add_if_changed(ChangeEffect::Adjusts, &field(name), &before, &after);
        }
    }

    fn compare_services(
        &mut self,
        base: &deployments::DeploymentParts,
        new: &deployments::DeploymentParts,
    ) {
        let index = |parts: &deployments::DeploymentParts| -> BTreeMap<_, _> {
            let services = parts.services.iter();
            services
                .map(|service| (service.name.clone(), format!("{service:?}")))
                .collect()
        };
        let (before, mut after) = (index(base), index(new));
        for (name, old) in &before {
            let path = format!("services/{name}");
            match after.remove(name) {
                None => self.add(ChangeEffect::Moves, &path, name, ""),
                Some(new) => self.add_if_changed(ChangeEffect::Adjusts, &path, old, &new),
            }
        }
        for name in after.keys() {
            self.add(ChangeEffect::Adds, &format!("services/{name}"), "", name);
        }
    }

    fn compare_accounts(
        &mut self,
        base: &deployments::DeploymentParts,
        new: &deployments::DeploymentParts,
    ) {
        let owners = |parts: &deployments::DeploymentParts| -> BTreeMap<_, _> {
            let accounts = parts.listed_accounts().iter();
            let keys = accounts.flat_map(|account| {
                account
                    .keys
                    .iter()
                    .map(|key| (key.clone(), account.name.clone()))
            });
            keys.collect()
        };
        let (before, after) = (owners(base), owners(new));
        let needs_keys = |parts: &deployments::DeploymentParts| match parts.accounts {
            Some(_) => "a key for each request",
            None => "requests without a key",
        };
        let effect = match new.accounts {
            Some(_) => ChangeEffect::Refuses,
            None => ChangeEffect::Adds,
        };
        self.add_if_changed(effect, "accounts", needs_keys(base), needs_keys(new));
        for (key, owner) in &before {
            let path = format!("accounts/{owner}/keys");
            match after.get(key) {
                // Without a list of accounts, requests need no key.
                None if new.accounts.is_some() => {
                    self.add(ChangeEffect::Refuses, &path, "a key", "")
                }
                Some(other) if other != owner => {
                    self.add(
                        ChangeEffect::Moves,
                        &path,
                        "a key",
                        &format!("a key of {other}"),
                    );
                }
                _ => {}
            }
        }
        for (_, owner) in after.iter().filter(|(key, _)| !before.contains_key(*key)) {
            self.add(
                ChangeEffect::Adds,
                &format!("accounts/{owner}/keys"),
                "",
                "a key",
            );
        }
        let olds: BTreeMap<_, _> = base
            .listed_accounts()
            .iter()
            .map(|account| (&account.name, account))
            .collect();
        for account in new.listed_accounts() {
            let path = format!("accounts/{}", account.name);
            let Some(old) = olds.get(&account.name) else {
                self.add(ChangeEffect::Adds, &path, "", &account.name);
                continue;
            };
            let rank = |account: &deployments::ClientAccount| format!("{:?}", account.rank);
            self.add_if_changed(
                ChangeEffect::Adjusts,
                &format!("{path}/rank"),
                &rank(old),
                &rank(account),
            );
            // No quota is the largest one.
            let rate = |account: &deployments::ClientAccount, burst: bool| {
                let quota = account.quota;
                quota.map_or(
                    f64::INFINITY,
                    |quota| if burst { quota.burst } else { quota.rate },
                )
            };
            self.add_number(
                &format!("{path}/rate"),
                rate(old, false),
                rate(account, false),
            );
            self.add_number(
                &format!("{path}/burst"),
                rate(old, true),
                rate(account, true),
            );
        }
    }
}
