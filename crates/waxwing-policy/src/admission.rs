//! The admission limit of one endpoint: a bound on context tokens, and on requests beside it, that
//! adapts to the latency targets, below the hard cap of the engine's cache memory.
//!
//! Requests are bounded beside tokens since a batch step grows with both: a hundred one-line
//! questions hold few tokens and slow every token down. A sample is over target or not, and a window is over target when more than 5 in 100 samples
//! are; that is the 95th percentile of `docs/design.md`, section 2, without a histogram.

use std::time::{Duration, Instant};

use waxwing_core::units;

/// `AdmissionOptions` hold the targets and steps of an admission limit.
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// Target for the first token; 990 ms.
    pub first_token_target: Duration,
    /// Target for the time between tokens; 58 ms.
    pub token_target: Duration,
    /// Context tokens that the engine's cache holds; zero where the endpoint has no such bound.
    pub cap: units::TokenCount,
    /// The limit below which it never falls, unless the cap is lower; 8,192 tokens, one dossier.
    pub floor: units::TokenCount,
    /// The growth of the limit in a window in which it was in use; 2,048 tokens.
    pub step: units::TokenCount,
    /// The requests at the start; 32.
    pub start_running: usize,
    /// The requests below which the limit never falls; 4.
    pub floor_running: usize,
    /// The share of the first-token target that pending prefill may fill; 0.12. Engines compute
    /// prefill in arrival order, so all that is pending delays the next urgent request; a share of
    /// 0.8 doubled its first-token time below capacity and kept engines no busier.
    pub prefill_share: f64,
    /// The factor that a window over target applies; 0.85.
    pub decrease: f64,
    /// The shortest window; 500 ms.
    pub window: Duration,
    /// Samples below which a window is not judged; 20, the least that can show 5 in 100.
    pub min_samples: u32,
    /// Requests that may run at one time; 256.
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
            start_running: 32,
            floor_running: 4,
            prefill_share: 0.12,
            decrease: 0.85,
            window: Duration::from_millis(500),
            min_samples: 20,
            max_running: 256,
        }
    }
}

/// A `FitVerdict` tells whether a request fits now, and what is lacking if not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FitVerdict {
    /// It fits.
    Fits,
    /// This many context tokens are lacking below the limit.
    LacksTokens(units::TokenCount),
    /// Too many requests run.
    LacksSlot,
    /// The prefill that is pending would pass the first-token target.
    LacksPrefill,
}

/// A `WindowCount` counts samples over a target.
#[derive(Debug, Clone, Copy, Default)]
struct WindowCount {
    total: u32,
    over: u32,
}

impl WindowCount {
    fn add(&mut self, over: bool) {
        self.total += 1;
        self.over += u32::from(over);
    }

    /// Returns whether more than 5 in 100 samples are over, once that is certain: more than a
    /// twentieth of the least number of samples is over, or there are enough samples.
    fn verdict(self, min_samples: u32) -> Option<bool> {
        if self.over * 20 > self.total.max(min_samples) {
            return Some(true);
        }
        (self.total >= min_samples).then_some(false)
    }
}

/// A `Reservation` is the share of the limit that one request holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Context tokens at the end of the request.
    pub context: units::TokenCount,
    /// Prompt tokens that are still to be computed.
    pub prefill: units::TokenCount,
}

/// An `AdmissionLimit` decides how much runs at an endpoint at one time.
#[derive(Debug, Clone)]
pub struct AdmissionLimit {
    options: AdmissionOptions,
    limit: f64,
    slots: f64,
    held: units::TokenCount,
    pending: units::TokenCount,
    running: usize,
    peak: units::TokenCount,
    peak_running: usize,
    tokens: WindowCount,
    first_tokens: WindowCount,
    window_start: Instant,
}

impl AdmissionLimit {
    /// Builds a limit that starts at the cap, or at eight times the floor without one. It falls
    /// within a window when that is too much, and nothing is refused for want of samples.
    #[must_use]
    pub fn new(options: AdmissionOptions, now: Instant) -> Self {
        let start = match options.cap.0 {
            0 => options.floor.0 * 8,
            cap => cap,
        };
        Self {
            limit: start as f64,
            slots: options.start_running.min(options.max_running) as f64,
            options,
            held: units::TokenCount::ZERO,
            pending: units::TokenCount::ZERO,
            running: 0,
            peak: units::TokenCount::ZERO,
            peak_running: 0,
            tokens: WindowCount::default(),
            first_tokens: WindowCount::default(),
            window_start: now,
        }
    }

    /// Changes the targets, floor, cap and bounds; the limit is kept inside of them.
    pub fn set_options(&mut self, options: AdmissionOptions) {
        self.options = options;
        self.clamp();
    }

    /// Returns the limit in tokens.
    #[must_use]
    pub fn limit(&self) -> units::TokenCount {
        units::TokenCount(self.limit as u64)
    }

    /// Returns the context tokens of everything admitted.
    #[must_use]
    pub fn held(&self) -> units::TokenCount {
        self.held
    }

    /// Returns the prompt tokens that are admitted and not yet computed.
    #[must_use]
    pub fn pending(&self) -> units::TokenCount {
        self.pending
    }

    /// Returns the target for the first token.
    #[must_use]
    pub fn first_token_target(&self) -> Duration {
        self.options.first_token_target
    }

    /// Tells whether a request fits now. A request that is alone always fits, since it would
    /// otherwise never run; `rate` is the prefill rate that is expected now.
    #[must_use]
    pub fn verdict(&self, wanted: Reservation, rate: units::TokenRate) -> FitVerdict {
        if self.running == 0 {
            return FitVerdict::Fits;
        }
        if self.running >= self.slots as usize {
            return FitVerdict::LacksSlot;
        }
        let after = self.held + wanted.context;
        let lacking = after.saturating_sub(self.limit());
        if lacking > units::TokenCount::ZERO {
            return FitVerdict::LacksTokens(lacking);
        }
        let pending = self.pending + wanted.prefill;
        if self.pending > units::TokenCount::ZERO && pending > self.burst(rate) {
            return FitVerdict::LacksPrefill;
        }
        FitVerdict::Fits
    }

    /// Returns the pending prefill that `rate` can process within the first-token target.
    #[must_use]
    pub fn burst(&self, rate: units::TokenRate) -> units::TokenCount {
        let seconds = self.options.first_token_target.as_secs_f64();
        units::TokenCount((rate.0 * seconds * self.options.prefill_share) as u64)
    }

    /// Returns the requests that may run at one time.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots as usize
    }

    /// Takes a share of the limit.
    pub fn admit(&mut self, share: Reservation) {
        self.held += share.context;
        self.pending += share.prefill;
        self.running += 1;
        self.peak = self.peak.max(self.held);
        self.peak_running = self.peak_running.max(self.running);
    }

    /// Marks prompt tokens of a running request as computed.
    pub fn prefill_done(&mut self, share: &mut Reservation) {
        self.pending = self.pending.saturating_sub(share.prefill);
        share.prefill = units::TokenCount::ZERO;
    }

    /// Gives a share back.
    pub fn release(&mut self, share: Reservation) {
        self.held = self.held.saturating_sub(share.context);
        self.pending = self.pending.saturating_sub(share.prefill);
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a sample of the time to the first token. `own` is the nominal time of the request's
    /// own prefill: a dossier that needs longer than the target by itself says nothing about the
    /// limit, so it is measured against twice its own prefill.
    pub fn first_token(&mut self, sample: Duration, own: Duration) {
        let target = self.options.first_token_target.max(own * 2);
        self.first_tokens.add(sample > target);
    }

    /// Takes a sample of the time between two tokens of one answer. A sample that was taken while
    /// prefill was pending is left out by the caller: a chunk of prefill lengthens a step whatever
    /// the limit is, and pending prefill has its own bound.
    pub fn token(&mut self, sample: Duration) {
        self.tokens.add(sample > self.options.token_target);
    }

    /// Lowers the requests that may run to what the engine runs at one time, since it said that
    /// more than that wait inside of it.
    pub fn cap_slots(&mut self, running: usize) {
        self.slots = self.slots.min(running as f64);
        self.clamp();
    }

    /// Closes the window if it is long enough and adapts the limit. Returns whether it changed.
    pub fn adjust(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.window_start) < self.options.window {
            return false;
        }
        let min_samples = self.options.min_samples;
        let tokens = self.tokens.verdict(min_samples);
        let first = self.first_tokens.verdict(min_samples);
        let before = (self.limit, self.slots);
        if tokens == Some(true) || first == Some(true) {
            // The limit falls from what was in use, since an unused part delayed nobody.
            self.limit = self.limit.min(self.peak.0 as f64) * self.options.decrease;
            self.slots = self.slots.min(self.peak_running as f64) * self.options.decrease;
        } else if tokens.or(first) == Some(false) {
            if self.peak.0 as f64 > 0.8 * self.limit {
                self.limit += self.options.step.0 as f64;
            }
            if self.peak_running as f64 > 0.8 * self.slots {
                self.slots += 1.0;
            }
        }
        self.clamp();
        self.window_start = now;
        self.peak = self.held;
        self.peak_running = self.running;
        if tokens.is_some() {
            self.tokens = WindowCount::default();
        }
        if first.is_some() {
            self.first_tokens = WindowCount::default();
        }
        before != (self.limit, self.slots)
    }

    fn clamp(&mut self) {
        let floor = self.options.floor.0 as f64;
        let cap = match self.options.cap.0 {
            0 => f64::MAX,
            cap => cap as f64,
        };
        self.limit = self.limit.max(floor).min(cap);
        let most = self.options.max_running as f64;
        self.slots = self.slots.max(self.options.floor_running as f64).min(most);
    }
}
