//! The settings patches of the convenience commands. Each command is an ordinary settings change, so
//! that validation, ownership rules and history apply to it as to any other.

use std::collections::BTreeSet;

use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use waxwing_core::ids;
use waxwing_settings::{credentials, errors, patches};

use crate::arguments;

/// A settings patch, with the token that it introduces if there is one.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedChange {
    /// The patch to submit.
    pub patch: patches::SettingsPatch,
    /// The new token, to be printed once; the patch contains only its digest.
    pub token: Option<NewToken>,
}

/// A bearer token of 256 random bits; its `Debug` output hides the value.
#[derive(Clone, PartialEq, Eq)]
pub struct NewToken(String);

impl NewToken {
    /// Generates a random token.
    #[must_use]
    pub fn random() -> Self {
        // Two ids of 128 random bits each.
        let (high, low) = (ids::ChangeId::random(), ids::ChangeId::random());
        Self(format!("{high}{low}"))
    }

    /// Returns the token in plain text, to be printed once.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    fn digest(&self) -> String {
        credentials::TokenDigest::of(&self.0).to_string()
    }
}

impl std::fmt::Debug for NewToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("NewToken(hidden)")
    }
}

/// Plans setting one path to a value; `null` removes it.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_value(path: SmolStr, value: Value) -> Result<PlannedChange, errors::PatchError> {
    Ok(PlannedChange {
        patch: patches::SettingsPatch::from_entries([(path, value)])?,
        token: None,
    })
}

/// Plans the removal of a team's item; `kind` is the settings key of its collection, such as
/// `services`.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_removal(
    kind: &str,
    item: &arguments::NamedItem,
) -> Result<PlannedChange, errors::PatchError> {
    plan_value(item_path(kind, item), Value::Null)
}

/// Plans a command on services; `None` if it changes nothing.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_service(
    command: &arguments::ServiceCommand,
) -> Result<Option<PlannedChange>, errors::PatchError> {
    match command {
        arguments::ServiceCommand::List => Ok(None),
        arguments::ServiceCommand::Remove(item) => plan_removal("services", item).map(Some),
        arguments::ServiceCommand::Create {
            item,
            kind,
            models,
            default_tier,
        } => {
            let value = json!({"kind": kind, "models": models, "default_tier": default_tier});
            plan_value(item_path("services", item), value).map(Some)
        }
    }
}

/// Plans a command on client accounts; `None` if it changes nothing.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_account(
    command: &arguments::AccountCommand,
) -> Result<Option<PlannedChange>, errors::PatchError> {
    match command {
        arguments::AccountCommand::List => Ok(None),
        arguments::AccountCommand::Remove(item) => plan_removal("accounts", item).map(Some),
        arguments::AccountCommand::Create {
            item,
            services,
            tiers,
            weight_millis,
        } => {
            let token = NewToken::random();
            let value = json!({
                "token_digests": [token.digest()],
                "services": services,
                "tiers": tiers,
                "weight_millis": weight_millis,
            });
            let change = plan_value(item_path("accounts", item), value)?;
            Ok(Some(PlannedChange {
                token: Some(token),
                ..change
            }))
        }
    }
}

/// Plans a command on tiers; `None` if it changes nothing.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_tier(
    command: &arguments::TierCommand,
) -> Result<Option<PlannedChange>, errors::PatchError> {
    match command {
        arguments::TierCommand::List => Ok(None),
        arguments::TierCommand::Remove { name, .. } => {
            plan_value(format_smolstr!("/tiers/{name}"), Value::Null).map(Some)
        }
        arguments::TierCommand::Create {
            name,
            rank,
            default_deadline_ms,
            ..
        } => {
            let value = json!({"rank": rank, "default_deadline_ms": default_deadline_ms});
            plan_value(format_smolstr!("/tiers/{name}"), value).map(Some)
        }
    }
}

/// Plans a command on endpoint roles; `None` if it changes nothing.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_role(
    command: &arguments::RoleCommand,
) -> Result<Option<PlannedChange>, errors::PatchError> {
    match command {
        arguments::RoleCommand::List => Ok(None),
        arguments::RoleCommand::Remove(item) => plan_removal("roles", item).map(Some),
        arguments::RoleCommand::Create {
            item,
            models,
            services,
        } => {
            let value = json!({"models": models, "services": services});
            plan_value(item_path("roles", item), value).map(Some)
        }
    }
}

/// Plans a command on teams; `None` if it changes nothing.
///
/// # Errors
/// Fails if the name can't be part of a settings path.
pub fn plan_team(
    command: &arguments::TeamCommand,
) -> Result<Option<PlannedChange>, errors::PatchError> {
    match command {
        arguments::TeamCommand::List => Ok(None),
        arguments::TeamCommand::Remove { name, .. } => {
            plan_value(format_smolstr!("/teams/{name}"), Value::Null).map(Some)
        }
        arguments::TeamCommand::Create { name, operator, .. } => {
            let token = NewToken::random();
            let value =
                json!({"operators": {operator.as_str(): {"token_digests": [token.digest()]}}});
            let change = plan_value(format_smolstr!("/teams/{name}"), value)?;
            Ok(Some(PlannedChange {
                token: Some(token),
                ..change
            }))
        }
    }
}

/// Plans the list of draining agents after `agents` were added, or removed if `drain` is false.
///
/// # Errors
/// Never fails, since the path is a constant.
pub fn plan_draining(
    current: &Value,
    agents: &[ids::ProcessName],
    drain: bool,
) -> Result<PlannedChange, errors::PatchError> {
    let mut names: BTreeSet<ids::ProcessName> =
        serde_json::from_value(current.clone()).unwrap_or_default();
    for agent in agents {
        if drain {
            names.insert(agent.clone());
        } else {
            names.remove(agent);
        }
    }
    plan_value(SmolStr::new_static("/fleet/draining"), json!(names))
}

fn item_path(kind: &str, item: &arguments::NamedItem) -> SmolStr {
    format_smolstr!("/teams/{}/{kind}/{}", item.team, item.name)
}
