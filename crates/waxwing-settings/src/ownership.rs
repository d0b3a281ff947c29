//! Who may change which part of the tree: root operators everything, a team's operators the
//! subtree of their team and what root has delegated to it.

use smol_str::SmolStr;
use waxwing_core::ids;

use crate::{credentials, patches, view};

/// An `OperatorScope` tells on whose behalf an operator acts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorScope {
    /// Root: the whole tree.
    Root,
    /// One team: its subtree and what root delegated.
    Team(ids::TeamName),
}

/// An `OperatorIdentity` is an authenticated operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// The name.
    pub name: ids::OperatorName,
    /// On whose behalf the operator acts.
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

/// Finds the operator whose token has this digest.
#[must_use]
pub fn find_operator(
    tree: &view::SettingsTree,
    digest: credentials::TokenDigest,
) -> Option<OperatorIdentity> {
    let holds = |operator: &view::OperatorSettings| operator.token_digests.contains(&digest);
    let root = tree.fleet.operators.iter();
    if let Some((name, _)) = root.clone().find(|(_, operator)| holds(operator)) {
        return Some(OperatorIdentity {
            name: name.clone(),
            scope: OperatorScope::Root,
        });
    }
    tree.teams.iter().find_map(|(team, settings)| {
        let mut operators = settings.operators.iter();
        let (name, _) = operators.find(|(_, operator)| holds(operator))?;
        Some(OperatorIdentity {
            name: name.clone(),
            scope: OperatorScope::Team(team.clone()),
        })
    })
}

/// Tells whether an operator may change `path`. A path of which only a part is owned, such as
/// `/teams`, is not allowed.
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

/// Returns the first path of a patch that the operator may not change.
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

/// Tells whether root may delegate `path`. Operators and delegations stay with root, since whoever
/// can change them can give itself everything else.
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

/// The text that stands for digests which an operator doesn't own.
pub const HIDDEN: &str = "hidden";

/// Replaces the digests below `path` that the operator may not change.
pub fn hide_digests(
    tree: &view::SettingsTree,
    scope: &OperatorScope,
    path: &str,
    value: &mut serde_json::Value,
) {
    let hidden = path.ends_with("/token_digests") && !may_change(tree, scope, path);
    if hidden && !value.is_null() {
        *value = serde_json::Value::from(HIDDEN);
    } else if let Some(map) = value.as_object_mut() {
        for (name, child) in map {
            hide_digests(tree, scope, &format!("{path}/{name}"), child);
        }
    }
}
