//! Experiment files, in JSON with comments: the traffic, the fleet, the injected faults and the
//! targets that the results must meet.

use std::{collections::BTreeSet, path};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr as _};
use waxwing_core::ids;
use waxwing_settings::{errors::SettingsError, files, view};
use waxwing_standin::{faults, registers};

use crate::targets;

/// Maximum duration of a run in milliseconds, since runs share their machine with other work.
pub const MAX_DURATION_MS: u64 = 120_000;

/// Maximum arrival rate in requests per second, or as a share of the fleet's capacity.
pub const MAX_RATE: f64 = 2_000.0;

/// The content of an experiment file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment and of its report files.
    pub name: SmolStr,
    /// Description of what is measured, in one sentence.
    #[serde(default)]
    pub about: String,
    /// Seed of the arrival schedule and of the generated texts.
    pub seed: u64,
    /// Length of the arrival schedule in milliseconds, 1 to 120,000.
    pub duration_ms: u64,
    /// Mean arrival rate, without bursts.
    pub rate: ArrivalRate,
    /// Periods with a different arrival rate.
    #[serde(default)]
    pub bursts: Vec<RateBurst>,
    /// The fleet to start, unless `--entry` names a running one.
    #[serde(default)]
    pub fleet: FleetPlan,
    /// The variants to compare; each gets the same traffic.
    pub variants: Vec<RunVariant>,
    /// Path of the settings file, relative to the experiment file.
    pub settings: SmolStr,
    /// The client accounts that send requests.
    pub accounts: Vec<AccountPlan>,
    /// The request classes of the traffic mix.
    pub classes: Vec<RequestClass>,
    /// Faults to inject, by time.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
    /// The targets that the results must meet.
    #[serde(default)]
    pub targets: Vec<targets::RunTarget>,
}

/// Mean arrival rate.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalRate {
    /// Requests per second.
    RequestsPerSecond(f64),
    /// A share of the fleet's nominal capacity.
    CapacityShare(f64),
}

/// A period in which the arrival rate is multiplied; overlapping bursts multiply each other.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateBurst {
    /// Start in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Factor of the arrival rate, above 0.
    pub factor: f64,
}

/// The fleet to start in this process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPlan {
    /// Model runners (stand-in engines) by speed, 1 to 64 in total.
    pub runners: Vec<RunnerPlan>,
    /// Number of registers (stand-ins of a plain service), 0 to 16.
    pub plain: u32,
    /// Number of entries, 1 to 8.
    pub entries: u32,
    /// Number of control hosts, 1 to 5.
    pub controls: u32,
    /// Factor by which the simulated engines are faster than real ones.
    pub time_scale: f64,
    /// KV cache capacity of a runner in tokens.
    pub cache_tokens: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        let runners = [(1, 7), (2, 7), (4, 6)];
        Self {
            runners: runners
                .into_iter()
                .map(|(speed, count)| RunnerPlan { speed, count })
                .collect(),
            plain: 3,
            entries: 2,
            controls: 1,
            time_scale: 1.0,
            cache_tokens: 65_536,
        }
    }
}

/// A number of runners of the same speed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerPlan {
    /// Speed as a multiple of the slowest hardware class.
    pub speed: u32,
    /// Number of runners.
    pub count: u32,
}

/// A configuration under which the traffic is served.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunVariant {
    /// Name, unique in the experiment.
    pub name: SmolStr,
    /// Routing policy of the entries.
    pub routing: view::RoutingPolicy,
    /// Share of the arrivals that this variant gets, 0 to 1; 0 means all.
    pub rate_scale: f64,
    /// Whether calls bypass entries and agents and go directly to the stand-ins.
    pub direct: bool,
}

impl RunVariant {
    /// Returns whether the variant is a baseline for comparison with late binding.
    #[must_use]
    pub fn is_baseline(&self) -> bool {
        self.routing != view::RoutingPolicy::LateBinding && !self.direct
    }
}

/// A client account that sends requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPlan {
    /// Name of the account in the settings.
    pub name: ids::AccountName,
    /// Bearer token of the account.
    pub token: SmolStr,
    /// Weight among the accounts in the arrivals, above 0.
    pub share: f64,
}

/// A class of requests in the traffic mix.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: SmolStr,
    /// Priority tier of the requests.
    pub tier: ids::TierName,
    /// Weight among the classes in the arrivals, above 0.
    pub share: f64,
    /// Deadline in milliseconds after sending, 1 to 3,600,000.
    pub deadline_ms: u64,
    /// Maximum number of resends after a failed connection, an answer that was cut or an unknown
    /// outcome. Meant for calls with an idempotency key.
    #[serde(default)]
    pub resends: u32,
    /// Accounts that send requests of this class; empty for all.
    #[serde(default)]
    pub accounts: BTreeSet<ids::AccountName>,
    /// The call that each request makes.
    pub call: CallPlan,
}

/// The call that the requests of a class make.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPlan {
    /// A chat completion of a model.
    Chat(ChatPlan),
    /// A record in a register.
    Record(RecordPlan),
}

/// The chat completions of a request class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatPlan {
    /// Name of the model.
    pub model: ids::ModelName,
    /// Minimum and maximum of the prompt tokens, which are log-uniformly distributed; 1 to 100,000.
    pub prompt_tokens: [u64; 2],
    /// Minimum and maximum of the limit of output tokens, which is log-uniformly distributed;
    /// 1 to 100,000.
    pub output_tokens: [u64; 2],
    /// Prefixes shared by the prompts of the class; none if every prompt is unique.
    #[serde(default)]
    pub shared: Option<SharedPrefix>,
    /// Whether the answer is streamed.
    #[serde(default = "streamed")]
    pub stream: bool,
}

fn streamed() -> bool {
    true
}

/// Prefixes that are shared by several prompts. Every prompt of the class begins with one of them.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefix {
    /// Number of different prefixes.
    pub texts: u64,
    /// Length of each prefix in tokens, in addition to `prompt_tokens` of the class.
    pub tokens: u64,
}

/// The non-idempotent calls to a register of a request class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordPlan {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Kind of record: `orders-book`, `donations` or `bookings`.
    pub kind: SmolStr,
    /// Whether the calls carry an idempotency key.
    #[serde(default)]
    pub keyed: bool,
}

/// A fault to inject at a given time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Time in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Kind of process that is affected.
    pub target: FaultTarget,
    /// Index of the first affected process of its kind, from 0. Runners are in the order of
    /// `fleet.runners`.
    #[serde(default)]
    pub first: u32,
    /// Number of affected processes.
    #[serde(default = "one")]
    pub count: u32,
    /// The fault of a runner or register; ignored for other processes, which are killed.
    #[serde(default)]
    pub order: faults::FaultOrder,
}

fn one() -> u32 {
    1
}

/// Kind of process that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultTarget {
    /// Model runners; the fault order applies.
    Runner,
    /// Registers; the fault order applies.
    Register,
    /// Entries, which are killed.
    Entry,
    /// Agents of model runners, which are killed.
    Agent,
    /// Control hosts, which are killed.
    Control,
}

/// Reads and validates an experiment file.
///
/// # Errors
/// Fails if the file can't be read or a value is invalid. The error contains the file, the path of
/// the value, the value found and the allowed values.
pub fn load(file: &path::Path) -> Result<Experiment, SettingsError> {
    let experiment: Experiment = files::load(file)?;
    let name = file.to_string_lossy().to_smolstr();
    experiment.check().map_err(|invalid| SettingsError::Value {
        file: name,
        path: invalid.path,
        found: invalid.found,
        allowed: invalid.allowed,
    })?;
    Ok(experiment)
}

/// A value of an experiment file that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Path of the value in the file, as a JSON pointer.
    pub path: SmolStr,
    /// The value found.
    pub found: SmolStr,
    /// The allowed values.
    pub allowed: SmolStr,
}

fn require(
    met: bool,
    path: impl Into<SmolStr>,
    found: impl ToString,
    allowed: &str,
) -> Result<(), InvalidValue> {
    if met {
        return Ok(());
    }
    Err(InvalidValue {
        path: path.into(),
        found: found.to_string().into(),
        allowed: allowed.into(),
    })
}

fn require_positive(path: SmolStr, share: f64) -> Result<(), InvalidValue> {
    let met = share.is_finite() && share > 0.0;
    require(met, path, share, "a finite number above 0")
}

impl Experiment {
    /// Validates ranges of values and references between them.
    ///
    /// # Errors
    /// Fails at the first value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidValue> {
        let duration = self.duration_ms;
        let met = (1..=MAX_DURATION_MS).contains(&duration);
        require(met, "/duration_ms", duration, "1 to 120,000")?;
        let (ArrivalRate::RequestsPerSecond(rate) | ArrivalRate::CapacityShare(rate)) = self.rate;
        let met = rate.is_finite() && rate > 0.0 && rate <= MAX_RATE;
        require(met, "/rate", rate, "above 0, 2,000 at most")?;
        for (index, burst) in self.bursts.iter().enumerate() {
            require_positive(format!("/bursts/{index}/factor").into(), burst.factor)?;
        }
        self.check_fleet()?;
        self.check_variants()?;
        require(
            !self.accounts.is_empty(),
            "/accounts",
            "[]",
            "one account or more",
        )?;
        for (index, account) in self.accounts.iter().enumerate() {
            require_positive(format!("/accounts/{index}/share").into(), account.share)?;
        }
        require(
            !self.classes.is_empty(),
            "/classes",
            "[]",
            "one class or more",
        )?;
        let classes = self.classes.iter().enumerate();
        for (index, class) in classes {
            class.check(index)?;
            self.check_accounts(index, class)?;
        }
        Ok(())
    }

    fn check_accounts(&self, index: usize, class: &RequestClass) -> Result<(), InvalidValue> {
        for (place, name) in class.accounts.iter().enumerate() {
            let known = self.accounts.iter().any(|account| account.name == *name);
            let path = format!("/classes/{index}/accounts/{place}");
            require(known, path, name, "the name of an account of this file")?;
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), InvalidValue> {
        let fleet = &self.fleet;
        require_positive("/fleet/time_scale".into(), fleet.time_scale)?;
        let runners: u32 = fleet.runners.iter().map(|runner| runner.count).sum();
        require(
            (1..=64).contains(&runners),
            "/fleet/runners",
            runners,
            "1 to 64 runners",
        )?;
        let plain = fleet.plain;
        require(plain <= 16, "/fleet/plain", plain, "0 to 16")?;
        let entries = fleet.entries;
        require(
            (1..=8).contains(&entries),
            "/fleet/entries",
            entries,
            "1 to 8",
        )?;
        let controls = fleet.controls;
        require(
            (1..=5).contains(&controls),
            "/fleet/controls",
            controls,
            "1 to 5",
        )
    }

    fn check_variants(&self) -> Result<(), InvalidValue> {
        require(
            !self.variants.is_empty(),
            "/variants",
            "[]",
            "one variant or more",
        )?;
        let mut names = BTreeSet::new();
        for (index, variant) in self.variants.iter().enumerate() {
            let path = format!("/variants/{index}/name");
            let unique = !variant.name.is_empty() && names.insert(variant.name.clone());
            require(
                unique,
                path,
                &variant.name,
                "a name that no other variant has",
            )?;
            let scale = variant.rate_scale;
            let path = format!("/variants/{index}/rate_scale");
            require((0.0..=1.0).contains(&scale), path, scale, "0 to 1")?;
        }
        Ok(())
    }
}

impl RequestClass {
    fn check(&self, index: usize) -> Result<(), InvalidValue> {
        require_positive(format!("/classes/{index}/share").into(), self.share)?;
        let deadline = self.deadline_ms;
        let met = (1..=3_600_000).contains(&deadline);
        let path = format!("/classes/{index}/deadline_ms");
        require(met, path, deadline, "1 to 3,600,000")?;
        match &self.call {
            CallPlan::Chat(chat) => {
                for (name, range) in [
                    ("prompt_tokens", chat.prompt_tokens),
                    ("output_tokens", chat.output_tokens),
                ] {
                    let path = format!("/classes/{index}/call/chat/{name}");
                    let met = 1 <= range[0] && range[0] <= range[1] && range[1] <= 100_000;
                    let found = format!("{range:?}");
                    require(met, path, found, "two ascending numbers from 1 to 100,000")?;
                }
                Ok(())
            }
            CallPlan::Record(record) => {
                let met = registers::RECORD_KINDS.contains(&record.kind.as_str());
                let path = format!("/classes/{index}/call/record/kind");
                let allowed = registers::RECORD_KINDS.join(", ");
                require(met, path, &record.kind, &allowed)
            }
        }
    }
}
