//! Options of the stand-ins. The defaults are those of the fleet used in load experiments.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr as _};
use waxwing_core::{ids, prompts, units};

use crate::errors;

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Options of one stand-in of either role.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinOptions {
    /// The address to listen on; port 0 selects a free port.
    #[serde(default = "loopback")]
    pub listen: SocketAddr,
    /// Factor by which the stand-in is faster than real time; above 0, 1 by default.
    #[serde(default = "one")]
    pub time_scale: f64,
    /// The simulated system with its options.
    pub role: StandinRole,
}

fn one() -> f64 {
    1.0
}

/// The system that a stand-in simulates.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StandinRole {
    /// A model engine.
    Engine(EngineOptions),
    /// A register of orders, donations and bookings, which is a non-idempotent HTTP service.
    Register(RegisterOptions),
}

impl StandinOptions {
    /// Returns options of an engine on a free loopback port, in real time.
    #[must_use]
    pub fn engine(options: EngineOptions) -> Self {
        Self {
            listen: loopback(),
            time_scale: one(),
            role: StandinRole::Engine(options),
        }
    }

    /// Returns options of a register on a free loopback port, in real time.
    #[must_use]
    pub fn register(options: RegisterOptions) -> Self {
        Self {
            listen: loopback(),
            time_scale: one(),
            role: StandinRole::Register(options),
        }
    }

    /// Validates the ranges of the options.
    ///
    /// # Errors
    /// Fails at the first option that is out of range.
    pub fn check(&self) -> Result<(), errors::StandinError> {
        check_positive("time_scale", self.time_scale)?;
        match &self.role {
            StandinRole::Engine(options) => options.check(),
            StandinRole::Register(options) => check_positive("workers", options.workers as f64),
        }
    }
}

fn check_positive(option: &'static str, value: f64) -> Result<(), errors::StandinError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(errors::StandinError::Option {
        option,
        found: value.to_smolstr(),
        allowed: "a finite number above 0",
    })
}

/// Options of a simulated engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineOptions {
    /// Hardware class that the engine announces.
    pub hardware: ids::HardwareClass,
    /// Models that are loaded at the start.
    pub models: BTreeSet<ids::ModelName>,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Prefill rate without other work, in prompt tokens per second.
    pub prefill_rate: units::TokenRate,
    /// Time between the tokens of a request that runs alone, in milliseconds.
    pub token_millis: f64,
    /// KV cache memory in tokens, shared by running requests and cached prefixes.
    pub cache_tokens: units::TokenCount,
    /// Maximum number of requests in the batch.
    pub max_batch: usize,
    /// Maximum number of prompt tokens that one step computes.
    pub chunk_tokens: u64,
    /// Time by which each further request in the batch lengthens a step, as a share of
    /// `token_millis`.
    pub batch_slowdown: f64,
    /// Number of context tokens in the batch that lengthens a step by one `token_millis`.
    pub context_slowdown_tokens: f64,
    /// Delay until a cache event can be read, in milliseconds.
    pub event_delay_ms: u64,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Time for which a load report stays the same, in milliseconds.
    pub load_lag_ms: u64,
    /// Seed that determines which cache events are lost.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self::with_speed(1)
    }
}

impl EngineOptions {
    /// Returns the options of a hardware class that is `speed` times as fast as the slowest one.
    /// The slowest class needs 40 ms for a token, so that it meets the target of 58 ms between
    /// tokens with a batch of 16.
    #[must_use]
    pub fn with_speed(speed: u32) -> Self {
        let factor = f64::from(speed.max(1));
        let name = format!("gen-{speed}x");
        Self {
            hardware: name.parse().expect("letters, digits and `-` are a name"),
            models: BTreeSet::new(),
            checks_fencing: true,
            prefill_rate: units::TokenRate(4_000.0 * factor),
            token_millis: 40.0 / factor,
            cache_tokens: units::TokenCount(65_536),
            max_batch: 32,
            chunk_tokens: 512,
            batch_slowdown: 0.03,
            context_slowdown_tokens: 100_000.0,
            event_delay_ms: 200,
            event_loss: 0.02,
            load_lag_ms: 1_000,
            seed: 1,
        }
    }

    fn check(&self) -> Result<(), errors::StandinError> {
        check_positive("prefill_rate", self.prefill_rate.0)?;
        check_positive("token_millis", self.token_millis)?;
        check_positive("context_slowdown_tokens", self.context_slowdown_tokens)?;
        check_positive("max_batch", self.max_batch as f64)?;
        check_positive("chunk_tokens", self.chunk_tokens as f64)?;
        let blocks = self.cache_tokens.0 / prompts::BLOCK_TOKENS as u64;
        check_positive("cache_tokens", blocks as f64)
    }
}

/// Options of a register.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegisterOptions {
    /// Services that the register announces.
    pub services: BTreeSet<ids::ServiceName>,
    /// Duration of one call in milliseconds.
    pub call_millis: u64,
    /// Maximum number of calls that are processed at the same time.
    pub workers: usize,
    /// Hardware class that the register announces.
    pub hardware: SmolStr,
}

impl Default for RegisterOptions {
    fn default() -> Self {
        Self {
            services: BTreeSet::new(),
            call_millis: 5,
            workers: 16,
            hardware: SmolStr::new_static("plain"),
        }
    }
}
