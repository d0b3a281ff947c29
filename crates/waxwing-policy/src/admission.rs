//! Adaptive admission limit of one endpoint. Context tokens and concurrent requests are limited by
//! additive increase and multiplicative decrease (AIMD) towards the latency targets; the size of
//! the engine's KV cache is a hard cap.
//!
//! Requests are limited in addition to tokens because the duration of a batch step grows with
//! both: a hundred one-line questions hold few tokens but slow down every token.
//!
//! A sample counts only as over or within its target. A window misses the target when more than 5
//! in 100 samples are over it, which is the 95th percentile of `docs/design.md`, section 2, without
//! a histogram.

use std::time::{Duration, Instant};

use waxwing_core::units;

/// Latency targets, bounds and step sizes of an admission limit.
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// Target for the time to first token; 990 ms by default.
    pub first_token_target: Duration,
    /// Target for the time between two tokens; 58 ms by default.
    pub token_target: Duration,
    /// Context tokens that fit into the engine's KV cache; zero if the endpoint has no such bound.
    pub cap: units::TokenCount,
    /// Lower bound of the token limit, unless the cap is lower; 8,192 tokens by default, which
    /// admits one dossier (a request with a long document).
    pub floor: units::TokenCount,
    /// Additive increase of the token limit after a window that met the targets and used more than
    /// 80% of the limit; 2,048 tokens by default.
    pub step: units::TokenCount,
    /// Initial limit of concurrent requests; 32 by default.
    pub initial_running: usize,
    /// Lower bound of the limit of concurrent requests; 4 by default.
    pub min_running: usize,
    /// Share of the first-token target that pending prefill may take; 0.12 by default. Engines
    /// compute prefill in arrival order, so all pending prefill delays the next urgent request. A
    /// share of 0.8 doubled the time to first token of urgent requests below capacity and kept
    /// engines no busier.
    pub prefill_share: f64,
    /// Multiplicative decrease of both limits after a window that missed a target; 0.85 by default.
    pub decrease: f64,
    /// Minimum length of a window; 500 ms by default.
    pub window: Duration,
    /// Minimum number of samples before a target counts as met; 20 by default, the fewest that can
    /// resolve 5 in 100.
    pub min_samples: u32,
    /// Upper bound of the limit of concurrent requests; 256 by default.
    pub max_running: usize,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            first_token_target: Duration::from_millis(990),
            token_target: Duration::from_millis(58),
            cap: units::TokenCount::ZERO,
            floor: units::TokenCount(8_192),
            step: units::TokenCount(2_048),
            initial_running: 32,
            min_running: 4,
            prefill_share: 0.12,
            decrease: 0.85,
            window: Duration::from_millis(500),
            min_samples: 20,
            max_running: 256,
        }
    }
}

/// Whether a request can be admitted now, and which limit prevents it if not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request can be admitted.
    Fits,
    /// The request exceeds the token limit by this many context tokens.
    LacksTokens(units::TokenCount),
    /// The limit of concurrent requests is reached.
    LacksSlot,
    /// The pending prefill would exceed its share of the first-token target.
    LacksPrefill,
}

/// Number of samples since the last conclusive window, and how many of them were over the target.
#[derive(Debug, Clone, Copy, Default)]
struct SampleCount {
    total: u32,
    over: u32,
}

impl SampleCount {
    fn record(&mut self, over: bool) {
        self.total += 1;
        self.over += u32::from(over);
    }

    /// Returns whether more than 5 in 100 samples are over the target, or `None` if there are too
    /// few samples to tell. With fewer than `min_samples`, a miss is certain once more than a
    /// twentieth of `min_samples` are over.
    fn misses_target(self, min_samples: u32) -> Option<bool> {
        if self.over * 20 > self.total.max(min_samples) {
            return Some(true);
        }
        (self.total >= min_samples).then_some(false)
    }
}

/// Capacity that is reserved for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Context tokens (prompt and output) when the request ends.
    pub context: units::TokenCount,
    /// Prompt tokens that the engine has not computed yet.
    pub prefill: units::TokenCount,
}

/// Adaptive limit on the context tokens, concurrent requests and pending prefill of an endpoint.
#[derive(Debug, Clone)]
pub struct AdmissionLimit {
    options: AdmissionOptions,
    token_limit: f64,
    request_limit: f64,
    held_context: units::TokenCount,
    pending_prefill: units::TokenCount,
    running: usize,
    /// Maximum of `held_context` in the current window.
    peak_context: units::TokenCount,
    /// Maximum of `running` in the current window.
    peak_running: usize,
    token_samples: SampleCount,
    first_token_samples: SampleCount,
    window_start: Instant,
}

impl AdmissionLimit {
    /// Creates a limit that starts at the cap, or at eight times the floor without a cap. Starting
    /// high refuses nothing before there are samples, and a limit that is too high is lowered after
    /// one window.
    #[must_use]
    pub fn new(options: AdmissionOptions, now: Instant) -> Self {
        let start = match options.cap.0 {
            0 => options.floor.0 * 8,
            cap => cap,
        };
        Self {
            token_limit: start as f64,
            request_limit: options.initial_running.min(options.max_running) as f64,
            options,
            held_context: units::TokenCount::ZERO,
            pending_prefill: units::TokenCount::ZERO,
            running: 0,
            peak_context: units::TokenCount::ZERO,
            peak_running: 0,
            token_samples: SampleCount::default(),
            first_token_samples: SampleCount::default(),
            window_start: now,
        }
    }

    /// Replaces the options and clamps the current limits to the new bounds.
    pub fn set_options(&mut self, options: AdmissionOptions) {
        self.options = options;
        self.clamp();
    }

    /// Returns the limit of context tokens.
    #[must_use]
    pub fn token_limit(&self) -> units::TokenCount {
        units::TokenCount(self.token_limit as u64)
    }

    /// Returns the context tokens that are reserved by admitted requests.
    #[must_use]
    pub fn held_context(&self) -> units::TokenCount {
        self.held_context
    }

    /// Returns the prompt tokens of admitted requests that the engine has not computed yet.
    #[must_use]
    pub fn pending_prefill(&self) -> units::TokenCount {
        self.pending_prefill
    }

    /// Returns the target for the time to first token.
    #[must_use]
    pub fn first_token_target(&self) -> Duration {
        self.options.first_token_target
    }

    /// Decides whether a request can be admitted now; `rate` is the expected prefill rate. A
    /// request is always admitted when nothing else runs, since one larger than the limit would
    /// otherwise never run.
    #[must_use]
    pub fn decide(&self, request: Reservation, rate: units::TokenRate) -> AdmissionDecision {
        if self.running == 0 {
            return AdmissionDecision::Fits;
        }
        if self.running >= self.request_limit as usize {
            return AdmissionDecision::LacksSlot;
        }
        let total_context = self.held_context + request.context;
        let excess = total_context.saturating_sub(self.token_limit());
        if excess > units::TokenCount::ZERO {
            return AdmissionDecision::LacksTokens(excess);
        }
        let pending = self.pending_prefill + request.prefill;
        if self.pending_prefill > units::TokenCount::ZERO && pending > self.prefill_budget(rate) {
            return AdmissionDecision::LacksPrefill;
        }
        AdmissionDecision::Fits
    }

    /// Returns the prompt tokens that may be pending at a prefill rate of `rate`: those computed
    /// within [`AdmissionOptions::prefill_share`] of the first-token target.
    #[must_use]
    pub fn prefill_budget(&self, rate: units::TokenRate) -> units::TokenCount {
        let seconds = self.options.first_token_target.as_secs_f64();
        units::TokenCount((rate.0 * seconds * self.options.prefill_share) as u64)
    }

    /// Returns the limit of concurrent requests.
    #[must_use]
    pub fn request_limit(&self) -> usize {
        self.request_limit as usize
    }

    /// Reserves capacity for a request.
    pub fn admit(&mut self, reservation: Reservation) {
        self.held_context += reservation.context;
        self.pending_prefill += reservation.prefill;
        self.running += 1;
        self.peak_context = self.peak_context.max(self.held_context);
        self.peak_running = self.peak_running.max(self.running);
    }

    /// Releases the pending prefill of a running request, whose prompt is computed now.
    pub fn prefill_done(&mut self, reservation: &mut Reservation) {
        self.pending_prefill = self.pending_prefill.saturating_sub(reservation.prefill);
        reservation.prefill = units::TokenCount::ZERO;
    }

    /// Releases the reservation of a request that ended.
    pub fn release(&mut self, reservation: Reservation) {
        self.held_context = self.held_context.saturating_sub(reservation.context);
        self.pending_prefill = self.pending_prefill.saturating_sub(reservation.prefill);
        self.running = self.running.saturating_sub(1);
    }

    /// Records the time to first token of a request. `own` is the nominal time of the request's own
    /// prefill. A long prompt that exceeds the target by its own prefill says nothing about the
    /// limit, so its target is at least twice that time.
    pub fn record_first_token(&mut self, sample: Duration, own: Duration) {
        let target = self.options.first_token_target.max(own * 2);
        self.first_token_samples.record(sample > target);
    }

    /// Records the time between two tokens of one answer. The caller must leave out samples taken
    /// while prefill was pending: a prefill chunk lengthens a batch step whatever the limit is, and
    /// pending prefill has its own bound.
    pub fn record_token_interval(&mut self, sample: Duration) {
        self.token_samples
            .record(sample > self.options.token_target);
    }

    /// Lowers the limit of concurrent requests to `running`, the number that the engine runs while
    /// it reports further requests in its internal queue.
    pub fn lower_request_limit(&mut self, running: usize) {
        self.request_limit = self.request_limit.min(running as f64);
        self.clamp();
    }

    /// Adapts the limits if the current window is long enough, and starts a new window. Returns
    /// whether a limit changed.
    pub fn adjust(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.window_start) < self.options.window {
            return false;
        }
        let min_samples = self.options.min_samples;
        let tokens = self.token_samples.misses_target(min_samples);
        let first = self.first_token_samples.misses_target(min_samples);
        let before = (self.token_limit, self.request_limit);
        if tokens == Some(true) || first == Some(true) {
            // Decrease from the peak usage: unused capacity delayed no request.
            self.token_limit =
                self.token_limit.min(self.peak_context.0 as f64) * self.options.decrease;
            self.request_limit =
                self.request_limit.min(self.peak_running as f64) * self.options.decrease;
        } else if tokens.or(first) == Some(false) {
            if self.peak_context.0 as f64 > 0.8 * self.token_limit {
                self.token_limit += self.options.step.0 as f64;
            }
            if self.peak_running as f64 > 0.8 * self.request_limit {
                self.request_limit += 1.0;
            }
        }
        self.clamp();
        self.window_start = now;
        self.peak_context = self.held_context;
        self.peak_running = self.running;
        if tokens.is_some() {
            self.token_samples = SampleCount::default();
        }
        if first.is_some() {
            self.first_token_samples = SampleCount::default();
        }
        before != (self.token_limit, self.request_limit)
    }

    fn clamp(&mut self) {
        let floor = self.options.floor.0 as f64;
        let cap = match self.options.cap.0 {
            0 => f64::MAX,
            cap => cap as f64,
        };
        self.token_limit = self.token_limit.max(floor).min(cap);
        let max_requests = self.options.max_running as f64;
        self.request_limit = self
            .request_limit
            .max(self.options.min_running as f64)
            .min(max_requests);
    }
}
