//! Records departures of endpoints in the replicated log, and tells the other control hosts and the
//! entries of those that the log holds.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use waxwing_core::clock::Clock;
use waxwing_wire::messages;

use crate::{departures, errors, host};

/// Time after which the leader is asked again to record a departure.
const DEPARTURE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a host tries to record a departure that was not acknowledged in time. A quorum that
/// is lost with its hosts is back within seconds; a departure has no use once the registries have
/// forgotten its endpoint.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(30);

impl<C: Clock> host::RegistrarHost<C> {
    /// Waits until a departure is committed, for as long as a call may take. Without a leader for
    /// that long, the endpoint is told to ask again; the host goes on by itself meanwhile, so that the
    /// departure isn't lost if the endpoint ends before it is acknowledged.
    pub(crate) async fn record_departure(
        &self,
        departure: messages::EndpointDeparture,
    ) -> Result<(), errors::GroupError> {
        let limit = self.options.call_limit();
        let recorded = self.await_recorded(&departure, limit).await;
        if recorded.is_err() {
            let (endpoint, born) = (&departure.id, departure.born);
            tracing::info!(event = "departure-not-recorded", endpoint, born);
            self.record_later(departure);
        }
        recorded
    }

    /// Goes on to record a departure after its call was answered, once for each that is open.
    fn record_later(&self, departure: messages::EndpointDeparture) {
        let is_new = self.late_departures().insert(departure.clone());
        if !is_new {
            return;
        }
        let host = self.clone();
        tokio::spawn(async move {
            // The endpoint is gone or asks again by the end of it.
            let _ = host.await_recorded(&departure, DEPARTURE_LIMIT).await;
            host.late_departures().remove(&departure);
        });
    }

    /// Waits until a departure is committed, for `limit` at most. A host that doesn't lead asks the
    /// others, of which the leader answers, so that it needs neither its own disk nor to know who
    /// leads.
    async fn await_recorded(
        &self,
        departure: &messages::EndpointDeparture,
        limit: Duration,
    ) -> Result<(), errors::GroupError> {
        let deadline = self.clock.now() + limit;
        let departures = vec![departure.clone()];
        let request = messages::Body::RecordDepartures(messages::RecordDepartures { departures });
        loop {
            let changed = self.departures_changed.notified();
            tokio::pin!(changed);
            // Registered before the check, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.directory().is_recorded(departure) {
                return Ok(());
            }
            let remaining = deadline.saturating_duration_since(self.clock.now());
            if remaining.is_zero() {
                return Err(errors::GroupError::Unavailable);
            }
            if self.group.view.borrow().leads {
                self.spawn_recording(vec![departure.clone()], None);
            } else {
                self.network
                    .broadcast(messages::ProcessKind::Control, &request);
            }
            tokio::select! {
                () = changed => {}
                () = self.clock.sleep(remaining.min(DEPARTURE_RETRY_INTERVAL)) => {}
            }
        }
    }

    /// Records departures in the log if this host leads, and then tells the host that asked for it.
    pub(crate) fn spawn_recording(
        &self,
        departures: Vec<messages::EndpointDeparture>,
        asked_by: Option<SocketAddr>,
    ) {
        if !self.group.view.borrow().leads {
            return;
        }
        let host = self.clone();
        tokio::spawn(async move {
            let list = departures::DepartureList { departures };
            let recorded = tokio::select! {
                recorded = host.group.record_departures(list.clone()) => recorded,
                () = host.clock.sleep(host.options.call_limit()) => {
                    Err(errors::GroupError::Unavailable)
                }
            };
            if recorded.is_err() {
                return;
            }
            host.learn_departures(&list.departures, false);
            if let Some(asked_by) = asked_by {
                let recorded = messages::RecordedDepartures {
                    departures: list.departures,
                    whole: false,
                };
                host.network
                    .send(asked_by, messages::Body::RecordedDepartures(recorded));
            }
        });
    }

    /// Takes committed departures. `whole` tells that the log held no others when a quorum was last
    /// asked; entries are told of the endpoints from then on.
    pub(crate) fn learn_departures(&self, departures: &[messages::EndpointDeparture], whole: bool) {
        let (changed, completed) = {
            let mut directory = self.directory();
            let was_complete = directory.is_complete();
            let changed = directory.learn(departures, whole);
            (changed, !was_complete && directory.is_complete())
        };
        self.departures_changed.notify_waiters();
        let messages = if completed {
            tracing::info!(event = "departures-known", departures = departures.len());
            self.directory_messages()
        } else if changed.notices.is_empty() {
            Vec::new()
        } else {
            vec![messages::Body::EndpointNotices(changed)]
        };
        for body in &messages {
            self.tell_entries(body);
        }
    }

    /// Sends all departures to control hosts that may lack some, after a quorum has confirmed that
    /// this host knows them.
    pub(crate) fn share_departures(&self, uninformed: HashSet<SocketAddr>) {
        if uninformed.is_empty() && self.directory().is_complete() {
            return;
        }
        let departures = self.group.view.borrow().departures.to_list().departures;
        self.learn_departures(&departures, true);
        for address in uninformed {
            let recorded = messages::RecordedDepartures {
                departures: departures.clone(),
                whole: true,
            };
            self.network
                .send(address, messages::Body::RecordedDepartures(recorded));
        }
    }
}
