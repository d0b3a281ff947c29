//! Authorization of changes to the settings tree: root operators may change everything, a team's
//! operators the subtree of their team and the paths that root has delegated to it.

use smol_str::SmolStr;
use waxwing_core::ids;

use crate::{credentials, patches, view};

/// The part of the tree that an operator may change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorScope {
    /// The whole tree.
    Root,
    /// The subtree of a team and the paths delegated to the team.
    Team(ids::TeamName),
}

/// An authenticated operator, displayed as `scope/name`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// The name of the operator.
    pub name: ids::OperatorName,
    /// What the operator may change.
    pub scope: OperatorScope,
}

impl std::fmt::Display for OperatorIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.scope {
            OperatorScope::Root => write!(formatter, "root/{}", self.name),
            OperatorScope::Team(team) => write!(formatter, "{team}/{}", self.name),
        }
    }
}

/// Finds the operator that a token with this digest belongs to.
#[must_use]
pub fn find_operator(
    tree: &view::SettingsTree,
    digest: credentials::TokenDigest,
) -> Option<OperatorIdentity> {
    let has_token = |operator: &view::OperatorSettings| operator.token_digests.contains(&digest);
    let root = tree.fleet.operators.iter();
    if let Some((name, _)) = root.clone().find(|(_, operator)| has_token(operator)) {
        return Some(OperatorIdentity {
            name: name.clone(),
            scope: OperatorScope::Root,
        });
    }
    tree.teams.iter().find_map(|(team, settings)| {
        let mut operators = settings.operators.iter();
        let (name, _) = operators.find(|(_, operator)| has_token(operator))?;
        Some(OperatorIdentity {
            name: name.clone(),
            scope: OperatorScope::Team(team.clone()),
        })
    })
}

/// Tells whether an operator may change `path`. A team's operators may change neither the path of
/// their team itself nor a path that also contains settings of others, such as `/teams`.
#[must_use]
pub fn may_change(tree: &view::SettingsTree, scope: &OperatorScope, path: &str) -> bool {
    let OperatorScope::Team(team) = scope else {
        return true;
    };
    let own = format!("/teams/{team}");
    if path != own && is_within(path, &own) {
        return true;
    }
    tree.fleet.delegations.get(team).is_some_and(|paths| {
        let mut paths = paths.iter();
        paths.any(|delegated| may_delegate(delegated) && is_within(path, delegated))
    })
}

/// Returns the first path of a patch that an operator may not change.
#[must_use]
pub fn first_forbidden(
    tree: &view::SettingsTree,
    scope: &OperatorScope,
    patch: &patches::SettingsPatch,
) -> Option<SmolStr> {
    patch
        .entries()
        .map(|(path, _)| path)
        .find(|path| !may_change(tree, scope, path))
        .map(SmolStr::new)
}

/// Tells whether root may delegate `path`. Operators and delegations can't be delegated, since
/// whoever changes them can grant itself access to everything else.
#[must_use]
pub fn may_delegate(path: &str) -> bool {
    let mut names = patches::segments(path);
    match (names.next(), names.next()) {
        (Some("tiers" | "models" | "policy"), _) => true,
        (Some("fleet"), Some(name)) => !matches!(name, "operators" | "delegations"),
        _ => false,
    }
}

fn is_within(path: &str, parent: &str) -> bool {
    path.strip_prefix(parent)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The placeholder for token digests that an operator may not see.
pub const HIDDEN_DIGESTS: &str = "hidden";

/// Replaces the token digests in `value` that the operator may not change by [`HIDDEN_DIGESTS`].
/// `path` is the path of `value`.
pub fn hide_digests(
    tree: &view::SettingsTree,
    scope: &OperatorScope,
    path: &str,
    value: &mut serde_json::Value,
) {
    let hidden = path.ends_with("/token_digests") && !may_change(tree, scope, path);
    if hidden && !value.is_null() {
        *value = serde_json::Value::from(HIDDEN_DIGESTS);
    } else if let Some(map) = value.as_object_mut() {
        for (name, child) in map {
            hide_digests(tree, scope, &format!("{path}/{name}"), child);
        }
    }
}
