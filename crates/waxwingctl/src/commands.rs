//! Runs the commands of the tool.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context as _;
use serde::Serialize;
use serde_json::Value;
use waxwing_core::{clock::Clock, ids};
use waxwing_settings::{files, operations, patches};

use crate::{arguments, calls, changes, explain, output, rollouts};

/// The exit code for a change that was not accepted.
pub const NOT_ACCEPTED: u8 = 3;

/// The exit code of `--wait` if some processes still run an older version at its time limit.
pub const STILL_LAGGING: u8 = 4;

/// The exit code of `explain` for a request that the logs don't contain, and of `rollout show` for a
/// service without a roll-out.
pub const NOT_FOUND: u8 = 5;

/// Prints the timeline of a request and returns the exit code; no control host is needed.
///
/// # Errors
/// Fails if a log can't be read.
pub fn explain(id: &str, files: &[PathBuf], json: bool) -> anyhow::Result<u8> {
    let found = explain::run(id, files, json)?;
    Ok(if found { 0 } else { NOT_FOUND })
}

/// Executes commands against the control hosts and prints their results.
#[derive(Debug)]
pub struct CommandRunner<C> {
    caller: calls::ControlCaller<C>,
    json: bool,
}

impl<C: Clock> CommandRunner<C> {
    /// Builds a runner; with `json` it prints JSON instead of tables.
    #[must_use]
    pub fn new(caller: calls::ControlCaller<C>, json: bool) -> Self {
        Self { caller, json }
    }

    /// Executes a command and returns the exit code.
    ///
    /// # Errors
    /// Fails if no control host answers, a file can't be read, or a name or patch is not valid.
    pub async fn run(&self, command: &arguments::ToolCommand) -> anyhow::Result<u8> {
        match command {
            arguments::ToolCommand::Settings(command) => self.run_settings(command).await,
            arguments::ToolCommand::Service(command) => {
                let wait = match command {
                    arguments::ServiceCommand::Create { item, .. }
                    | arguments::ServiceCommand::Remove(item) => Some(item.wait),
                    arguments::ServiceCommand::List => None,
                };
                self.run_plan("services", changes::plan_service(command)?, wait)
                    .await
            }
            arguments::ToolCommand::Account(command) => {
                let wait = match command {
                    arguments::AccountCommand::Create { item, .. }
                    | arguments::AccountCommand::Remove(item) => Some(item.wait),
                    arguments::AccountCommand::List => None,
                };
                self.run_plan("accounts", changes::plan_account(command)?, wait)
                    .await
            }
            arguments::ToolCommand::Role(command) => {
                let wait = match command {
                    arguments::RoleCommand::Create { item, .. }
                    | arguments::RoleCommand::Remove(item) => Some(item.wait),
                    arguments::RoleCommand::List => None,
                };
                self.run_plan("roles", changes::plan_role(command)?, wait)
                    .await
            }
            arguments::ToolCommand::Tier(command) => {
                let wait = match command {
                    arguments::TierCommand::Create { wait, .. }
                    | arguments::TierCommand::Remove { wait, .. } => Some(*wait),
                    arguments::TierCommand::List => None,
                };
                self.run_plan("tiers", changes::plan_tier(command)?, wait)
                    .await
            }
            arguments::ToolCommand::Team(command) => {
                let wait = match command {
                    arguments::TeamCommand::Create { wait, .. }
                    | arguments::TeamCommand::Remove { wait, .. } => Some(*wait),
                    arguments::TeamCommand::List => None,
                };
                self.run_plan("teams", changes::plan_team(command)?, wait)
                    .await
            }
            arguments::ToolCommand::Drain(drain) => self.drain(drain, true).await,
            arguments::ToolCommand::Undrain(drain) => self.drain(drain, false).await,
            arguments::ToolCommand::Status => self.show_status().await,
            arguments::ToolCommand::Member(command) => self.change_member(command).await,
            arguments::ToolCommand::Rollout(command) => self.run_rollout(command).await,
            arguments::ToolCommand::Explain { id, files } => explain(id, files, self.json),
        }
    }

    async fn run_rollout(&self, command: &arguments::RolloutCommand) -> anyhow::Result<u8> {
        match command {
            arguments::RolloutCommand::Start {
                service,
                target,
                period,
            } => {
                let period = Duration::try_from_secs_f64(*period).context("--period")?;
                let order = rollouts::RolloutOrder::new(service, target, period);
                self.caller.start_rollout(&order).await?;
                println!("accepted; `waxwingctl rollout show {service}` tells how it goes");
                Ok(0)
            }
            arguments::RolloutCommand::Show { service } => {
                let mut answer = self.caller.list_rollouts().await?;
                answer
                    .rollouts
                    .retain(|rollout| rollout.service == *service);
                let Some(rollout) = answer.rollouts.first() else {
                    println!("service {service} has had no roll-out");
                    return Ok(NOT_FOUND);
                };
                self.print(rollout, || rollouts::describe(rollout))?;
                Ok(0)
            }
            arguments::RolloutCommand::List => {
                let answer = self.caller.list_rollouts().await?;
                self.print(&answer, || rollouts::table(&answer.rollouts).to_string())?;
                Ok(0)
            }
        }
    }

    async fn run_settings(&self, command: &arguments::SettingsCommand) -> anyhow::Result<u8> {
        match command {
            arguments::SettingsCommand::Get { path } => {
                let answer = self.caller.read_settings(path).await?;
                self.print(&answer, || to_pretty_json(&answer.tree))?;
                Ok(0)
            }
            arguments::SettingsCommand::Diff { file } => {
                let current = self.caller.read_settings("/").await?;
                let patch = patches::SettingsPatch::diff(&current.tree, &load_file(file)?);
                println!("{}", to_pretty_json(&serde_json::to_value(&patch)?));
                Ok(0)
            }
            arguments::SettingsCommand::Apply(apply) => self.apply(apply).await,
            arguments::SettingsCommand::History { after } => {
                let answer = self.caller.read_history(*after, false).await?;
                self.print(&answer, || {
                    output::history_table(&answer.changes).to_string()
                })?;
                Ok(0)
            }
            arguments::SettingsCommand::Watch => self.watch().await,
        }
    }

    async fn watch(&self) -> anyhow::Result<u8> {
        let mut after = self.caller.read_settings("/").await?.version;
        loop {
            let answer = self.caller.read_history(after, true).await?;
            if !answer.changes.is_empty() {
                self.print(&answer, || {
                    output::history_table(&answer.changes).to_string()
                })?;
            }
            after = after.max(answer.version);
        }
    }

    async fn apply(&self, apply: &arguments::ApplyArguments) -> anyhow::Result<u8> {
        let content = load_file(&apply.file)?;
        let (base, patch) = if apply.patch {
            let patch = patches::SettingsPatch::from_slice(&serde_json::to_vec(&content)?)?;
            let base = match apply.base {
                Some(base) => base,
                None => self.caller.read_settings("/").await?.version,
            };
            (base, patch)
        } else {
            let current = self.caller.read_settings("/").await?;
            let patch = patches::SettingsPatch::diff(&current.tree, &content);
            (apply.base.unwrap_or(current.version), patch)
        };
        if patch.is_empty() {
            println!("nothing to change");
            return Ok(0);
        }
        let request = operations::ChangeRequest {
            id: apply.id.unwrap_or_else(ids::ChangeId::random),
            base,
            patch,
            dry_run: apply.dry_run,
        };
        self.submit(&request, Some(apply.wait)).await
    }

    /// Submits a planned change, or lists the items of a kind if there is none.
    async fn run_plan(
        &self,
        kind: &str,
        plan: Option<changes::PlannedChange>,
        wait: Option<arguments::WaitArguments>,
    ) -> anyhow::Result<u8> {
        let Some(plan) = plan else {
            return self.list(kind).await;
        };
        let base = self.caller.read_settings("/").await?.version;
        let request = operations::ChangeRequest {
            id: ids::ChangeId::random(),
            base,
            patch: plan.patch,
            dry_run: false,
        };
        let code = self.submit(&request, wait).await?;
        if let Some(token) = plan.token.filter(|_| code != NOT_ACCEPTED) {
            println!("token, shown only now: {}", token.reveal());
        }
        Ok(code)
    }

    async fn list(&self, kind: &str) -> anyhow::Result<u8> {
        let tree = self.caller.read_settings("/").await?.tree;
        let mut rows = Vec::new();
        let named = |team: &str, found: Option<&Value>| -> Vec<(String, String, Value)> {
            let found = found.and_then(Value::as_object);
            let found = found.into_iter().flatten();
            found
                .map(|(name, value)| (team.to_owned(), name.clone(), value.clone()))
                .collect()
        };
        if matches!(kind, "tiers" | "teams") {
            rows = named("", tree.get(kind));
        } else if let Some(teams) = tree.get("teams").and_then(Value::as_object) {
            for (team, settings) in teams {
                rows.extend(named(team, settings.get(kind)));
            }
        }
        self.print(&rows, || output::named_table(&rows).to_string())?;
        Ok(0)
    }

    async fn drain(&self, drain: &arguments::DrainArguments, on: bool) -> anyhow::Result<u8> {
        let current = self.caller.read_settings("/").await?;
        let names = current.tree.pointer("/fleet/draining");
        let plan = changes::plan_draining(names.unwrap_or(&Value::Null), &drain.agents, on)?;
        let request = operations::ChangeRequest {
            id: ids::ChangeId::random(),
            base: current.version,
            patch: plan.patch,
            dry_run: false,
        };
        self.submit(&request, Some(drain.wait)).await
    }

    async fn submit(
        &self,
        request: &operations::ChangeRequest,
        wait: Option<arguments::WaitArguments>,
    ) -> anyhow::Result<u8> {
        let answer = self.caller.submit_change(request).await;
        let answer = answer.with_context(|| {
            let id = request.id;
            format!("unknown whether change {id} was accepted; see `settings history`")
        })?;
        self.print(&answer, || output::describe_answer(&answer))?;
        match answer {
            operations::ChangeAnswer::Changed { version } => match wait {
                Some(wait) if wait.wait => self.wait_until_applied(version, wait).await,
                _ => Ok(0),
            },
            operations::ChangeAnswer::Checked { .. } => Ok(0),
            _ => Ok(NOT_ACCEPTED),
        }
    }

    async fn wait_until_applied(
        &self,
        version: ids::SettingsVersion,
        wait: arguments::WaitArguments,
    ) -> anyhow::Result<u8> {
        let lagging = self.caller.wait_in_force(version, wait.limit()).await?;
        if lagging.is_empty() {
            println!("version {version} is in force everywhere");
            return Ok(0);
        }
        for process in &lagging {
            println!("{} still runs version {}", process.name, process.version);
        }
        Ok(STILL_LAGGING)
    }

    async fn show_status(&self) -> anyhow::Result<u8> {
        let status = self.caller.read_status().await?;
        self.print(&status, || output::status_text(&status))?;
        Ok(0)
    }

    async fn change_member(&self, command: &arguments::MemberCommand) -> anyhow::Result<u8> {
        let (action, name, store, link) = match command {
            arguments::MemberCommand::Add { name, store, link } => (
                operations::MemberAction::Add,
                name,
                Some(*store),
                Some(*link),
            ),
            arguments::MemberCommand::Promote { name } => {
                (operations::MemberAction::Promote, name, None, None)
            }
            arguments::MemberCommand::Remove { name } => {
                (operations::MemberAction::Remove, name, None, None)
            }
        };
        let request = operations::MemberRequest {
            action,
            name: name.clone(),
            store,
            link,
        };
        let answer = self.caller.change_member(&request).await?;
        self.print(&answer, || output::describe_answer(&answer))?;
        let accepted = matches!(answer, operations::ChangeAnswer::Changed { .. });
        Ok(if accepted { 0 } else { NOT_ACCEPTED })
    }

    fn print(&self, body: &impl Serialize, text: impl FnOnce() -> String) -> anyhow::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(body)?);
        } else {
            println!("{}", text());
        }
        Ok(())
    }
}

fn load_file(file: &Path) -> anyhow::Result<Value> {
    Ok(files::load(file)?)
}

fn to_pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
