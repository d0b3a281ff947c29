//! Options of the stand-ins, with the defaults of the measured fleet.

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

/// `StandinOptions` choose between the stand-ins and say where they listen.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinOptions {
    /// The address to listen on; port 0 takes a free port.
    #[serde(default = "loopback")]
    pub listen: SocketAddr,
    /// How many times faster than real time the stand-in works; above 0, 1 by default.
    #[serde(default = "one")]
    pub time_scale: f64,
    /// What is stood in for.
    pub role: StandinRole,
}

fn one() -> f64 {
    1.0
}

/// A `StandinRole` is what a stand-in stands in for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StandinRole {
    /// A model engine.
    Engine(EngineOptions),
    /// A register of orders, donations and bookings.
    Register(RegisterOptions),
}

impl StandinOptions {
    /// Options of an engine on a free loopback port.
    #[must_use]
    pub fn engine(options: EngineOptions) -> Self {
        Self {
            listen: loopback(),
            time_scale: one(),
            role: StandinRole::Engine(options),
        }
    }

    /// Options of a register on a free loopback port.
    #[must_use]
    pub fn register(options: RegisterOptions) -> Self {
        Self {
            listen: loopback(),
            time_scale: one(),
            role: StandinRole::Register(options),
        }
    }

    /// Checks the ranges.
    ///
    /// # Errors
    /// Fails at the first option outside of its range.
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

/// `EngineOptions` describe one stand-in engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineOptions {
    /// The hardware class that is announced.
    pub hardware: ids::HardwareClass,
    /// Models that are loaded at the start.
    pub models: BTreeSet<ids::ModelName>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Prompt tokens per second without other work.
    pub prefill_rate: units::TokenRate,
    /// Milliseconds between the tokens of a lone request.
    pub token_millis: f64,
    /// Memory for KV cache in tokens, for running requests and cached prefixes together.
    pub cache_tokens: units::TokenCount,
    /// Requests that run at one time.
    pub max_batch: usize,
    /// Prompt tokens that one step computes at most.
    pub chunk_tokens: u64,
    /// Growth of a step with each further request in the batch, as a share of `token_millis`.
    pub batch_slowdown: f64,
    /// Context tokens in the batch that lengthen a step by one `token_millis`.
    pub context_slowdown_tokens: f64,
    /// Milliseconds until a cache event can be read.
    pub event_delay_ms: u64,
    /// The share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Milliseconds for which a load report stays the same.
    pub load_lag_ms: u64,
    /// The seed of the lost cache events.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self::of_speed(1)
    }
}

impl EngineOptions {
    /// Returns the options of a hardware class that is `speed` times as fast as the slowest one.
    /// The slowest class needs 40 ms for a token, so that it meets the target of 58 ms between
    /// tokens with a batch of 16.
    #[must_use]
    pub fn of_speed(speed: u32) -> Self {
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

/// `RegisterOptions` describe one stand-in register.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegisterOptions {
    /// Services that are announced.
    pub services: BTreeSet<ids::ServiceName>,
    /// Milliseconds that one call takes.
    pub call_millis: u64,
    /// Calls that run at one time.
    pub workers: usize,
    /// The name of the hardware class that is announced.
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
