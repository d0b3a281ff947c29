//! What entries know and tell each other of the pace of the endpoints' hosts.

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_wire::messages;

use super::GateCore;
use crate::pace;

impl GateCore {
    /// Records the pace that an endpoint stated with an answer. The other entries learn of it with
    /// the next load update that names the endpoint; no update is sent for it alone.
    pub(super) fn record_pace(&mut self, now: Instant, endpoint: &SmolStr, pace: units::HostPace) {
        let sample = pace::PaceSample { pace, at: now };
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            let model = self.models.entry(view.service.clone()).or_default();
            if view.pace.observe(sample, &mut model.pace) {
                view.pace.mark_own();
            }
        }
    }

    /// Takes what another entry was told of an endpoint's pace.
    pub(super) fn apply_pace(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        stated: messages::PaceStatement,
    ) {
        let Some(pace) = units::HostPace::from_percent(f64::from(stated.percent)) else {
            return;
        };
        let age = Duration::from_millis(stated.age_millis);
        let at = now.checked_sub(age).unwrap_or(now);
        if let Some(view) = self.endpoints.get_mut(endpoint)
            && view.born == stated.born
        {
            let model = self.models.entry(view.service.clone()).or_default();
            view.pace
                .observe(pace::PaceSample { pace, at }, &mut model.pace);
        }
    }

    /// Returns what a load update tells of an endpoint's pace: what this entry received with an answer
    /// and has not told yet, or still holds in a snapshot.
    pub(super) fn take_pace_message(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        snapshot: bool,
    ) -> Option<messages::PaceStatement> {
        let view = self.endpoints.get_mut(endpoint)?;
        let sample = match snapshot {
            true => view.pace.current_own(now),
            false => view.pace.take_untold(),
        }?;
        let age = now.saturating_duration_since(sample.at);
        Some(messages::PaceStatement {
            percent: sample.pace.percent(),
            age_millis: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            born: view.born,
        })
    }
}
