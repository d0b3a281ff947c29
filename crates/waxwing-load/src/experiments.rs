//! Experiment files: JSON with comments that say what is sent, to which fleet, with which faults,
//! and what the result is held against.

use std::{collections::BTreeSet, path};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr as _};
use waxwing_core::ids;
use waxwing_settings::{errors::SettingsError, files, view};
use waxwing_standin::{faults, registers};

use crate::targets;

/// The longest run in milliseconds, since every run on the shared machine is bounded.
pub const MAX_DURATION_MS: u64 = 120_000;

/// The highest arrival rate in requests per second.
pub const MAX_RATE: f64 = 2_000.0;

/// An `Experiment` is one experiment file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name, used for the report files.
    pub name: SmolStr,
    /// What is measured, in one sentence.
    #[serde(default)]
    pub about: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// How long requests arrive, in milliseconds, 1 to 120,000.
    pub duration_ms: u64,
    /// The arrival rate.
    pub rate: ArrivalRate,
    /// Times with another rate.
    #[serde(default)]
    pub bursts: Vec<RateBurst>,
    /// The fleet that is started, unless `--entry` names one.
    #[serde(default)]
    pub fleet: FleetPlan,
    /// The variants that are compared; each gets the same traffic.
    pub variants: Vec<RunVariant>,
    /// The settings tree, relative to this file.
    pub settings: SmolStr,
    /// The client accounts that send.
    pub accounts: Vec<AccountPlan>,
    /// The kinds of requests.
    pub classes: Vec<RequestClass>,
    /// Faults at given times.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
    /// What the result is held against.
    #[serde(default)]
    pub targets: Vec<targets::RunTarget>,
}

/// An `ArrivalRate` is the mean rate of arrivals.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalRate {
    /// Requests per second.
    RequestsPerSecond(f64),
    /// A share of the capacity that follows from the fleet's nominal speeds.
    CapacityShare(f64),
}

/// A `RateBurst` multiplies the rate for a while.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateBurst {
    /// The start in milliseconds.
    pub at_ms: u64,
    /// The length in milliseconds.
    pub length_ms: u64,
    /// The factor.
    pub factor: f64,
}

/// A `FleetPlan` is the fleet that is started in this process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPlan {
    /// Model runners by speed.
    pub runners: Vec<RunnerPlan>,
    /// Registers.
    pub plain: u32,
    /// Entries.
    pub entries: u32,
    /// Control hosts.
    pub controls: u32,
    /// How many times faster than real engines the runners are.
    pub time_scale: f64,
    /// KV cache memory of a runner in tokens.
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

/// A `RunnerPlan` is a number of runners of one speed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerPlan {
    /// How many times faster than the slowest class.
    pub speed: u32,
    /// How many there are.
    pub count: u32,
}

/// A `RunVariant` is one way to serve the same traffic.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunVariant {
    /// The name.
    pub name: SmolStr,
    /// The routing policy.
    pub routing: view::RoutingPolicy,
    /// The share of the arrivals that this variant gets; 0 for all.
    pub rate_scale: f64,
    /// Whether calls go to the stand-ins directly, without entry and agent.
    pub direct: bool,
}

impl RunVariant {
    /// Tells whether the variant is held against the measured one as a baseline.
    #[must_use]
    pub fn is_baseline(&self) -> bool {
        self.routing != view::RoutingPolicy::LateBinding && !self.direct
    }
}

/// An `AccountPlan` is a client account that sends.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPlan {
    /// The account.
    pub name: ids::AccountName,
    /// Its bearer token.
    pub token: SmolStr,
    /// Its share of the arrivals, relative to the other accounts.
    pub share: f64,
}

/// A `RequestClass` is one kind of requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The name.
    pub name: SmolStr,
    /// The tier.
    pub tier: ids::TierName,
    /// Its share of the arrivals, relative to the other classes.
    pub share: f64,
    /// The deadline in milliseconds.
    pub deadline_ms: u64,
    /// How often a caller sends a keyed call again after an outcome that is not `not-run`.
    #[serde(default)]
    pub resends: u32,
    /// The accounts that send; empty for all.
    #[serde(default)]
    pub accounts: BTreeSet<ids::AccountName>,
    /// What is called.
    pub call: CallPlan,
}

/// A `CallPlan` is what a class calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPlan {
    /// A chat with a model.
    Chat(ChatPlan),
    /// A record in a register.
    Record(RecordPlan),
}

/// A `ChatPlan` describes chats.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatPlan {
    /// The model.
    pub model: ids::ModelName,
    /// Prompt tokens, least and most; drawn evenly on a logarithmic scale.
    pub prompt_tokens: [u64; 2],
    /// Output tokens at most, least and most.
    pub output_tokens: [u64; 2],
    /// The share of prompts that begin with a shared text.
    #[serde(default)]
    pub shared: Option<SharedPrefix>,
    /// Whether the answer is streamed.
    #[serde(default = "streamed")]
    pub stream: bool,
}

fn streamed() -> bool {
    true
}

/// A `SharedPrefix` describes texts with which several prompts begin.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefix {
    /// How many different texts there are.
    pub texts: u64,
    /// The length of each in tokens, besides the class's own prompt tokens.
    pub tokens: u64,
}

/// A `RecordPlan` describes non-idempotent calls to a register.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordPlan {
    /// The service.
    pub service: ids::ServiceName,
    /// `orders-book`, `donations` or `bookings`.
    pub kind: SmolStr,
    /// Whether the calls carry an idempotency key.
    #[serde(default)]
    pub keyed: bool,
}

/// A `PlannedFault` happens at a given time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// The time in milliseconds.
    pub at_ms: u64,
    /// What is hit.
    pub target: FaultTarget,
    /// Which one of its kind, from 0; a share of runners counts from here, one of each speed in
    /// turn.
    #[serde(default)]
    pub first: u32,
    /// How many are hit.
    #[serde(default = "one")]
    pub count: u32,
    /// The fault of a stand-in; processes are killed.
    #[serde(default)]
    pub order: faults::FaultOrder,
}

fn one() -> u32 {
    1
}

/// A `FaultTarget` is a kind of processes that a fault hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultTarget {
    /// Model runners.
    Runner,
    /// Registers.
    Register,
    /// Entries; killed.
    Entry,
    /// Agents of model runners; killed.
    Agent,
    /// Control hosts; killed.
    Control,
}

/// Reads and checks an experiment file.
///
/// # Errors
/// Fails if the file can't be read or a value is not allowed; the error names the file, the path
/// of the value, what was found and what is allowed.
pub fn load(file: &path::Path) -> Result<Experiment, SettingsError> {
    let experiment: Experiment = files::load(file)?;
    let name = file.to_string_lossy().to_smolstr();
    experiment.check().map_err(|fault| SettingsError::Value {
        file: name,
        path: fault.path,
        found: fault.found,
        allowed: fault.allowed,
    })?;
    Ok(experiment)
}

/// A `ValueFault` is a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueFault {
    /// The path of the value in the file.
    pub path: SmolStr,
    /// What was found.
    pub found: SmolStr,
    /// What is allowed.
    pub allowed: SmolStr,
}

fn require(
    met: bool,
    path: impl Into<SmolStr>,
    found: impl ToString,
    allowed: &str,
) -> Result<(), ValueFault> {
    if met {
        return Ok(());
    }
    Err(ValueFault {
        path: path.into(),
        found: found.to_string().into(),
        allowed: allowed.into(),
    })
}

fn require_share(path: SmolStr, share: f64) -> Result<(), ValueFault> {
    let met = share.is_finite() && share > 0.0;
    require(met, path, share, "a finite number above 0")
}

impl Experiment {
    /// Checks ranges and references.
    ///
    /// # Errors
    /// Fails at the first value that is not allowed.
    pub fn check(&self) -> Result<(), ValueFault> {
        let duration = self.duration_ms;
        let met = (1..=MAX_DURATION_MS).contains(&duration);
        require(met, "/duration_ms", duration, "1 to 120,000")?;
        let (ArrivalRate::RequestsPerSecond(rate) | ArrivalRate::CapacityShare(rate)) = self.rate;
        let met = rate.is_finite() && rate > 0.0 && rate <= MAX_RATE;
        require(met, "/rate", rate, "above 0, 2,000 at most")?;
        for (index, burst) in self.bursts.iter().enumerate() {
            require_share(format!("/bursts/{index}/factor").into(), burst.factor)?;
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
            require_share(format!("/accounts/{index}/share").into(), account.share)?;
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
            self.check_senders(index, class)?;
        }
        Ok(())
    }

    fn check_senders(&self, index: usize, class: &RequestClass) -> Result<(), ValueFault> {
        for (place, name) in class.accounts.iter().enumerate() {
            let known = self.accounts.iter().any(|account| account.name == *name);
            let path = format!("/classes/{index}/accounts/{place}");
            require(known, path, name, "the name of an account of this file")?;
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), ValueFault> {
        let fleet = &self.fleet;
        require_share("/fleet/time_scale".into(), fleet.time_scale)?;
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

    fn check_variants(&self) -> Result<(), ValueFault> {
        require(
            !self.variants.is_empty(),
            "/variants",
            "[]",
            "one variant or more",
        )?;
        let mut names = BTreeSet::new();
        for (index, variant) in self.variants.iter().enumerate() {
            let path = format!("/variants/{index}/name");
            let fresh = !variant.name.is_empty() && names.insert(variant.name.clone());
            require(
                fresh,
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
    fn check(&self, index: usize) -> Result<(), ValueFault> {
        require_share(format!("/classes/{index}/share").into(), self.share)?;
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
