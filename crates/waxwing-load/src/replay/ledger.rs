//! What became of the requests of a replay, and how the slots were used.

use std::{collections::BTreeMap, fmt, time::Duration};

use super::{
    engines::{EngineUsage, ratio},
    traffic::{RequestArrival, RequestKind},
};

/// Counts of one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindLedger {
    /// Requests of callers, without those that returned.
    pub asked: usize,
    /// Answers that began within their objective.
    pub on_time: usize,
    /// Answers that began later.
    pub late: usize,
    /// Requests that were refused for good.
    pub refused: usize,
    /// Arrivals that an endpoint turned away.
    pub rejected: usize,
}

/// Counts of a replay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplayLedger {
    kinds: BTreeMap<RequestKind, KindLedger>,
    /// Worth that was asked for and earned.
    asked: f64,
    earned: f64,
    /// Requests that were sent, and those among them that left their data centre.
    started: usize,
    remote: usize,
    /// Sums over the steps in which requests waited.
    waiting_steps: usize,
    empty_slots: f64,
    queued_requests: f64,
}

impl ReplayLedger {
    pub(super) fn new() -> Self {
        Self::default()
    }

    fn kind_mut(&mut self, kind: RequestKind) -> &mut KindLedger {
        self.kinds.entry(kind).or_default()
    }

    pub(super) fn count_arrival(&mut self, arrival: &RequestArrival) {
        if arrival.refusals == 0 {
            self.kind_mut(arrival.kind).asked += 1;
            self.asked += arrival.kind.profile().worth.0;
        }
    }

    /// Counts an answer that begins `waited` after its request arrived.
    pub(super) fn count_begin(&mut self, arrival: &RequestArrival, waited: Duration) {
        let profile = arrival.kind.profile();
        let is_on_time = arrival.is_on_time(waited);
        let counts = self.kind_mut(arrival.kind);
        if is_on_time {
            counts.on_time += 1;
            self.earned += profile.worth.0;
        } else {
            counts.late += 1;
            self.earned += profile.worth.1;
        }
    }

    /// Counts an answer as late that began `waited` after its request arrived and then paused for too
    /// long.
    pub(super) fn count_long_pause(&mut self, arrival: &RequestArrival, waited: Duration) {
        if !arrival.is_on_time(waited) {
            return;
        }
        let profile = arrival.kind.profile();
        let counts = self.kind_mut(arrival.kind);
        counts.on_time -= 1;
        counts.late += 1;
        self.earned += profile.worth.1 - profile.worth.0;
    }

    pub(super) const fn count_start(&mut self, is_remote: bool) {
        self.started += 1;
        self.remote += if is_remote { 1 } else { 0 };
    }

    /// Returns the share of the requests that left their data centre.
    #[must_use]
    pub fn remote_share(&self) -> f64 {
        ratio(self.remote, self.started)
    }

    pub(super) fn count_refusal(&mut self, kind: RequestKind) {
        self.kind_mut(kind).refused += 1;
    }

    pub(super) fn count_rejection(&mut self, kind: RequestKind) {
        self.kind_mut(kind).rejected += 1;
    }

    pub(super) fn observe(&mut self, usage: EngineUsage, waiting: usize) {
        if waiting > 0 {
            self.waiting_steps += 1;
            self.empty_slots += 1.0 - ratio(usage.running, usage.slots);
        }
        self.queued_requests += ratio(usage.queued, usage.slots);
    }

    /// Returns the counts of a kind of request.
    #[must_use]
    pub fn kind(&self, kind: RequestKind) -> KindLedger {
        self.kinds.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the worth earned as a share of the worth asked for.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.earned / self.asked.max(f64::MIN_POSITIVE)
    }

    /// Returns the mean share of empty slots while a request waited at any entry.
    #[must_use]
    pub fn empty_while_waiting(&self) -> f64 {
        match self.waiting_steps {
            0 => 0.0,
            steps => self.empty_slots * ratio(1, steps),
        }
    }
}

impl fmt::Display for ReplayLedger {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "goodput {:.3}, sent to other data centres {:.3}, slots empty while requests waited {:.3}",
            self.goodput(),
            self.remote_share(),
            self.empty_while_waiting()
        )?;
        for (kind, counts) in &self.kinds {
            let kind = format!("{kind:?}").to_lowercase();
            let KindLedger {
                asked,
                on_time,
                late,
                refused,
                rejected,
            } = counts;
            write!(
                formatter,
                "; {kind}: {asked} asked, {on_time} on time, {late} late, {refused} refused, \
                 {rejected} turned away"
            )?;
        }
        Ok(())
    }
}
