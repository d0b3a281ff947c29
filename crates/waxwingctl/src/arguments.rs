//! Command-line arguments.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use waxwing_core::ids;

/// Manages settings, endpoints and control hosts of waxwingmill.
#[derive(Debug, Parser)]
#[command(name = "waxwingctl", version)]
pub struct ToolArguments {
    /// How to reach the control hosts.
    #[command(flatten)]
    pub connection: ConnectionArguments,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: ToolCommand,
}

/// The addresses of the control hosts and the operator's token.
#[derive(Debug, Args)]
pub struct ConnectionArguments {
    /// Operators' interface of a control host, as `http://ip:port`; a comma-separated list is tried in
    /// turn.
    #[arg(
        long,
        global = true,
        env = "WAXWINGCTL_CONTROL",
        value_delimiter = ',',
        default_value = "http://127.0.0.1:7101"
    )]
    pub control: Vec<String>,
    /// File with the operator's token. Without it, the token is read from the environment variable
    /// WAXWINGCTL_TOKEN. The token can't be an argument, since other users of the host can see
    /// those.
    #[arg(long, global = true)]
    pub token_file: Option<PathBuf>,
}

/// The commands of the tool.
#[derive(Debug, Subcommand)]
pub enum ToolCommand {
    /// Read and change the settings tree.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Manage the services that callers address.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Manage client accounts.
    #[command(subcommand)]
    Account(AccountCommand),
    /// Manage priority tiers.
    #[command(subcommand)]
    Tier(TierCommand),
    /// Manage endpoint roles.
    #[command(subcommand)]
    Role(RoleCommand),
    /// Manage teams of operators.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Drain endpoints: they accept no new requests and finish those in flight.
    Drain(DrainArguments),
    /// Let drained endpoints accept new requests again.
    Undrain(DrainArguments),
    /// Show control hosts and processes with their settings versions and drains.
    Status,
    /// Manage the members of the control group.
    #[command(subcommand)]
    Member(MemberCommand),
    /// Move services to other versions, in a fleet without agents.
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Show the timeline of a request from the decision logs of the processes.
    Explain {
        /// The id of the request.
        id: String,
        /// Log files; standard input if none is given.
        files: Vec<PathBuf>,
    },
}

/// Commands that read or change the settings tree.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Print the settings tree or a part of it.
    Get {
        /// The path, such as /teams/bench.
        #[arg(default_value = "/")]
        path: String,
    },
    /// Compare a file with the current tree and print the patch that `apply` would submit.
    Diff {
        /// File with a whole tree, as JSON with comments.
        file: PathBuf,
    },
    /// Submit a change.
    Apply(ApplyArguments),
    /// List accepted changes.
    History {
        /// Only changes after this version.
        #[arg(long, default_value = "0")]
        after: ids::SettingsVersion,
    },
    /// Print changes as they are accepted.
    Watch,
}

/// Arguments of `settings apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// File with a whole tree, or with a patch if --patch is given.
    pub file: PathBuf,
    /// The file holds a patch: a map from path to value, or to null for removal.
    #[arg(long)]
    pub patch: bool,
    /// The version that the change is based on; the current version if absent.
    #[arg(long)]
    pub base: Option<ids::SettingsVersion>,
    /// The id of an earlier attempt whose answer was lost, to submit the same change again.
    #[arg(long)]
    pub id: Option<ids::ChangeId>,
    /// Validate the change without applying it.
    #[arg(long)]
    pub dry_run: bool,
    /// Whether to wait until the change is in force.
    #[command(flatten)]
    pub wait: WaitArguments,
}

/// Whether and how long to wait until a change is in force everywhere.
#[derive(Debug, Clone, Copy, Args)]
pub struct WaitArguments {
    /// Wait until every process runs the new version.
    #[arg(long)]
    pub wait: bool,
    /// The longest wait, in seconds.
    #[arg(long, default_value_t = 30)]
    pub wait_limit: u64,
}

impl WaitArguments {
    /// Returns the time limit of the wait.
    #[must_use]
    pub fn limit(&self) -> Duration {
        Duration::from_secs(self.wait_limit)
    }
}

/// An item of a team, by its name.
#[derive(Debug, Args)]
pub struct NamedItem {
    /// The team.
    #[arg(long)]
    pub team: ids::TeamName,
    /// The name.
    pub name: String,
    /// Whether to wait until the change is in force.
    #[command(flatten)]
    pub wait: WaitArguments,
}

/// Commands that manage services.
#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Create a service.
    Create {
        /// The service.
        #[command(flatten)]
        item: NamedItem,
        /// `model` or `plain`.
        #[arg(long)]
        kind: String,
        /// Models that callers may name.
        #[arg(long, value_delimiter = ',')]
        models: Vec<ids::ModelName>,
        /// Tier of requests that name none.
        #[arg(long)]
        default_tier: ids::TierName,
    },
    /// List services.
    List,
    /// Remove a service.
    Remove(NamedItem),
}

/// Commands that manage client accounts.
#[derive(Debug, Subcommand)]
pub enum AccountCommand {
    /// Create an account; its token is printed once and stored nowhere.
    Create {
        /// The account.
        #[command(flatten)]
        item: NamedItem,
        /// Services that the account may use; all if absent.
        #[arg(long, value_delimiter = ',')]
        services: Vec<ids::ServiceName>,
        /// Tiers that the account may use; all if absent.
        #[arg(long, value_delimiter = ',')]
        tiers: Vec<ids::TierName>,
        /// Weight among the accounts of a tier, in thousandths.
        #[arg(long, default_value_t = 1_000)]
        weight_millis: u32,
    },
    /// List accounts.
    List,
    /// Remove an account.
    Remove(NamedItem),
}

/// Commands that manage tiers.
#[derive(Debug, Subcommand)]
pub enum TierCommand {
    /// Create a tier.
    Create {
        /// The name.
        name: ids::TierName,
        /// The rank; 0 is served first.
        #[arg(long)]
        rank: ids::TierRank,
        /// Deadline of requests that name none, in milliseconds.
        #[arg(long, default_value_t = 60_000)]
        default_deadline_ms: u64,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: WaitArguments,
    },
    /// List tiers.
    List,
    /// Remove a tier.
    Remove {
        /// The name.
        name: ids::TierName,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: WaitArguments,
    },
}

/// Commands that manage endpoint roles.
#[derive(Debug, Subcommand)]
pub enum RoleCommand {
    /// Create an endpoint role.
    Create {
        /// The role.
        #[command(flatten)]
        item: NamedItem,
        /// Models that endpoints of the role should load.
        #[arg(long, value_delimiter = ',')]
        models: Vec<ids::ModelName>,
        /// Plain services that endpoints of the role offer.
        #[arg(long, value_delimiter = ',')]
        services: Vec<ids::ServiceName>,
    },
    /// List endpoint roles.
    List,
    /// Remove an endpoint role.
    Remove(NamedItem),
}

/// Commands that manage teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// Create a team with one operator, whose token is printed once.
    Create {
        /// The name.
        name: ids::TeamName,
        /// The operator.
        #[arg(long)]
        operator: ids::OperatorName,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: WaitArguments,
    },
    /// List teams.
    List,
    /// Remove a team with all its settings.
    Remove {
        /// The name.
        name: ids::TeamName,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: WaitArguments,
    },
}

/// The endpoints to drain or undrain.
#[derive(Debug, Args)]
pub struct DrainArguments {
    /// The names of the agents of the endpoints.
    #[arg(required = true)]
    pub agents: Vec<ids::ProcessName>,
    /// Whether to wait until the change is in force.
    #[command(flatten)]
    pub wait: WaitArguments,
}

/// Commands that change the membership of the control group.
#[derive(Debug, Subcommand)]
pub enum MemberCommand {
    /// Add a control host as a learner, which can't vote until it is promoted.
    Add {
        /// The name.
        name: ids::ProcessName,
        /// The store id that the host logs at its start.
        #[arg(long)]
        store: ids::StoreId,
        /// The host's address for links, as `ip:port`.
        #[arg(long)]
        link: std::net::SocketAddr,
    },
    /// Promote a learner that has caught up to a voter.
    Promote {
        /// The name.
        name: ids::ProcessName,
    },
    /// Remove a control host.
    Remove {
        /// The name.
        name: ids::ProcessName,
    },
}

/// Commands for roll-outs. They need the addresses of control hosts of a fleet without agents.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Move a service to a version whose endpoints run, or start, beside the others.
    Start {
        /// The service.
        service: String,
        /// The version, as its endpoints tell it.
        target: String,
        /// Seconds from now until the version must have taken over.
        #[arg(long)]
        period: f64,
    },
    /// Show the last roll-out of a service with the evidence so far.
    Show {
        /// The service.
        service: String,
    },
    /// List the last roll-out of each service.
    List,
}
