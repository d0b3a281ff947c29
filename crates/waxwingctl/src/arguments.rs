//! The command line.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use waxwing_core::ids;

/// Manages settings, endpoints and control hosts of waxwingmill.
#[derive(Debug, Parser)]
#[command(name = "waxwingctl", version)]
pub struct ToolArguments {
    /// What all commands share.
    #[command(flatten)]
    pub connection: ConnectionArguments,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command.
    #[command(subcommand)]
    pub command: ToolCommand,
}

/// `ConnectionArguments` say where the control hosts are and who asks.
#[derive(Debug, Args)]
pub struct ConnectionArguments {
    /// Operators' interface of a control host, as `http://ip:port`; several are tried in turn.
    #[arg(
        long,
        global = true,
        env = "WAXWINGCTL_CONTROL",
        value_delimiter = ',',
        default_value = "http://127.0.0.1:7101"
    )]
    pub control: Vec<String>,
    /// File that holds the operator's token. Without it the token is taken from the environment
    /// variable WAXWINGCTL_TOKEN; it can't be an argument, since other users see those.
    #[arg(long, global = true)]
    pub token_file: Option<PathBuf>,
}

/// A `ToolCommand` is one command.
#[derive(Debug, Subcommand)]
pub enum ToolCommand {
    /// Read and change the settings tree.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Services that callers address.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Client accounts.
    #[command(subcommand)]
    Account(AccountCommand),
    /// Tiers of urgency.
    #[command(subcommand)]
    Tier(TierCommand),
    /// Endpoint roles.
    #[command(subcommand)]
    Role(RoleCommand),
    /// Teams of operators.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Have endpoints refuse new work and finish what runs.
    Drain(DrainArguments),
    /// Have endpoints take new work again.
    Undrain(DrainArguments),
    /// Show control hosts, processes, versions in force and drains.
    Status,
    /// Control hosts.
    #[command(subcommand)]
    Member(MemberCommand),
    /// Tell what became of a request, from the decision logs of the processes.
    Explain {
        /// The id of the request.
        id: String,
        /// Log files; standard input without any.
        files: Vec<PathBuf>,
    },
}

/// A `SettingsCommand` reads or changes the tree.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Print the tree or a part of it.
    Get {
        /// The path, such as /teams/bench.
        #[arg(default_value = "/")]
        path: String,
    },
    /// Compare a file with the tree in force; prints the patch that `apply` would submit.
    Diff {
        /// A file with a whole tree, JSON with comments.
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

/// `ApplyArguments` describe a change.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// A file with a whole tree, or with a patch if --patch is given.
    pub file: PathBuf,
    /// The file holds a patch: a map from path to value, or to null for removal.
    #[arg(long)]
    pub patch: bool,
    /// The version that the change builds on; the version in force if absent.
    #[arg(long)]
    pub base: Option<ids::SettingsVersion>,
    /// The change id of an earlier attempt whose answer was lost.
    #[arg(long)]
    pub id: Option<ids::ChangeId>,
    /// Check only.
    #[arg(long)]
    pub dry_run: bool,
    /// How the change is followed.
    #[command(flatten)]
    pub wait: WaitArguments,
}

/// `WaitArguments` say whether to wait until a change is in force.
#[derive(Debug, Clone, Copy, Args)]
pub struct WaitArguments {
    /// Wait until every process runs the new version.
    #[arg(long)]
    pub wait: bool,
    /// The longest wait in seconds.
    #[arg(long, default_value_t = 30)]
    pub wait_limit: u64,
}

impl WaitArguments {
    /// Returns the longest wait.
    #[must_use]
    pub fn limit(&self) -> Duration {
        Duration::from_secs(self.wait_limit)
    }
}

/// A `NamedItem` is the name of something in a team.
#[derive(Debug, Args)]
pub struct NamedItem {
    /// The team.
    #[arg(long)]
    pub team: ids::TeamName,
    /// The name.
    pub name: String,
    /// How the change is followed.
    #[command(flatten)]
    pub wait: WaitArguments,
}

/// A `ServiceCommand` manages services.
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
        /// Tier of a request that names none.
        #[arg(long)]
        default_tier: ids::TierName,
    },
    /// List services.
    List,
    /// Remove a service.
    Remove(NamedItem),
}

/// An `AccountCommand` manages accounts.
#[derive(Debug, Subcommand)]
pub enum AccountCommand {
    /// Create an account; its token is printed once and stored nowhere.
    Create {
        /// The account.
        #[command(flatten)]
        item: NamedItem,
        /// Services that it may use; all if absent.
        #[arg(long, value_delimiter = ',')]
        services: Vec<ids::ServiceName>,
        /// Tiers that it may use; all if absent.
        #[arg(long, value_delimiter = ',')]
        tiers: Vec<ids::TierName>,
        /// Share among the accounts of one tier, in thousandths.
        #[arg(long, default_value_t = 1_000)]
        weight_millis: u32,
    },
    /// List accounts.
    List,
    /// Remove an account.
    Remove(NamedItem),
}

/// A `TierCommand` manages tiers.
#[derive(Debug, Subcommand)]
pub enum TierCommand {
    /// Create a tier.
    Create {
        /// The name.
        name: ids::TierName,
        /// The rank; 0 is served first.
        #[arg(long)]
        rank: ids::TierRank,
        /// Deadline of a request that names none, in milliseconds.
        #[arg(long, default_value_t = 60_000)]
        default_deadline_ms: u64,
        /// How the change is followed.
        #[command(flatten)]
        wait: WaitArguments,
    },
    /// List tiers.
    List,
    /// Remove a tier.
    Remove {
        /// The name.
        name: ids::TierName,
        /// How the change is followed.
        #[command(flatten)]
        wait: WaitArguments,
    },
}

/// A `RoleCommand` manages endpoint roles.
#[derive(Debug, Subcommand)]
pub enum RoleCommand {
    /// Create an endpoint role.
    Create {
        /// The role.
        #[command(flatten)]
        item: NamedItem,
        /// Models that its endpoints should load.
        #[arg(long, value_delimiter = ',')]
        models: Vec<ids::ModelName>,
        /// Plain services that its endpoints offer.
        #[arg(long, value_delimiter = ',')]
        services: Vec<ids::ServiceName>,
    },
    /// List endpoint roles.
    List,
    /// Remove an endpoint role.
    Remove(NamedItem),
}

/// A `TeamCommand` manages teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// Create a team with one operator, whose token is printed once.
    Create {
        /// The name.
        name: ids::TeamName,
        /// The operator.
        #[arg(long)]
        operator: ids::OperatorName,
        /// How the change is followed.
        #[command(flatten)]
        wait: WaitArguments,
    },
    /// List teams.
    List,
    /// Remove a team with all its settings.
    Remove {
        /// The name.
        name: ids::TeamName,
        /// How the change is followed.
        #[command(flatten)]
        wait: WaitArguments,
    },
}

/// `DrainArguments` name endpoints.
#[derive(Debug, Args)]
pub struct DrainArguments {
    /// The names of the agents beside the endpoints.
    #[arg(required = true)]
    pub agents: Vec<ids::ProcessName>,
    /// How the change is followed.
    #[command(flatten)]
    pub wait: WaitArguments,
}

/// A `MemberCommand` manages control hosts.
#[derive(Debug, Subcommand)]
pub enum MemberCommand {
    /// Add a host as a learner; it can't vote until it is promoted.
    Add {
        /// The name.
        name: ids::ProcessName,
        /// The store id that the host logs at its start.
        #[arg(long)]
        store: ids::StoreId,
        /// Its address for links as `ip:port`.
        #[arg(long)]
        link: std::net::SocketAddr,
    },
    /// Make a learner that has caught up a voter.
    Promote {
        /// The name.
        name: ids::ProcessName,
    },
    /// Remove a host.
    Remove {
        /// The name.
        name: ids::ProcessName,
    },
}
