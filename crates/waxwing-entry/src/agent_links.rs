//! The task that maintains the link to one agent and dispatches its messages.

use std::sync::{Arc, Weak, atomic::Ordering};

use waxwing_core::{clock, counters, ids, units};
use waxwing_policy::{budget, choice};
use waxwing_wire::{errors, links, messages};

use crate::{agents, request_core, routes};

/// Connection attempts after which an agent that the directory doesn't list is removed. With the
/// backoff they take about 10 s, the time that a request waits for a settlement.
const MAX_UNLISTED_ATTEMPTS: u32 = 14;

/// Connects to one agent, and reconnects with backoff until the agent is removed.
pub(crate) struct LinkSupervisor<C> {
    context: agents::LinkContext<C>,
    handle: Arc<agents::AgentHandle>,
    table: Weak<agents::AgentTable<C>>,
    /// Connection attempts since the last link.
    attempts: u32,
    /// Incarnation of the agent at the last link.
    last_incarnation: ids::Incarnation,
}

impl<C: clock::Clock> LinkSupervisor<C> {
    pub(crate) fn new(
        context: agents::LinkContext<C>,
        handle: Arc<agents::AgentHandle>,
        table: Weak<agents::AgentTable<C>>,
    ) -> Self {
        Self {
            context,
            handle,
            table,
            attempts: 0,
            last_incarnation: ids::Incarnation::default(),
        }
    }

    pub(crate) async fn run(mut self) {
        let shutdown = self.handle.shutdown.clone();
        shutdown.run_until_cancelled(self.maintain()).await;
        self.on_disconnected();
    }

    async fn maintain(&mut self) {
        loop {
            if let Some(link) = self.connect().await {
                self.serve(link).await;
                self.attempts = 0;
            }
            if self.attempts >= MAX_UNLISTED_ATTEMPTS && !self.handle.info.load().listed {
                if let Some(table) = self.table.upgrade() {
                    table.remove_agent(&self.handle);
                }
                return;
            }
            let delay = budget::BackoffPolicy::default().delay(self.attempts, &mut rand::rng());
            self.attempts += 1;
            self.context.clock.sleep(delay).await;
        }
    }

    async fn connect(&self) -> Option<links::Link> {
        let address = self.handle.info.load().address;
        let link = links::connect(
            address,
            self.context.hello.clone(),
            links::LinkOptions::with_counters(&self.context.counters),
            self.context.security.clone(),
            self.context.clock.clone(),
        );
        // Another agent may have taken over the address and must not get the work of this one.
        link.await
            .ok()
            .filter(|link| link.peer.name == self.handle.name)
    }

    async fn serve(&mut self, mut link: links::Link) {
        let incarnation = ids::Incarnation(link.peer.incarnation);
        self.on_connected(&link, incarnation).await;
        let error = loop {
            match link.receiver.recv().await {
                Ok(envelope) => self.receive(envelope, &link.sender),
                Err(error) => break error,
            }
        };
        if matches!(error, errors::LinkError::TimedOut) {
            self.context
                .counters
                .count(counters::CounterEvent::LinksSilent);
        }
        tracing::info!(agent = %self.handle.name, %error, "link to agent lost");
        self.on_disconnected();
    }

    async fn on_connected(&mut self, link: &links::Link, incarnation: ids::Incarnation) {
        self.context
            .counters
            .count(counters::CounterEvent::LinksOpened);
        let cancels = self.handle.take_pending_cancels();
        if incarnation == self.last_incarnation {
            for body in cancels {
                // If this link is lost too, the agent cancels the work by itself.
                let _ = link.sender.send(0, body).await;
            }
        } else {
            // A restarted agent has an empty cache and accepts new work.
            routes::lock(&self.context.prefixes).forget(self.handle.id);
            self.handle.is_draining.store(false, Ordering::Relaxed);
        }
        self.last_incarnation = incarnation;
        self.handle.link.store(Some(Arc::new(agents::LiveLink {
            sender: link.sender.clone(),
            incarnation,
        })));
        self.handle.update_availability();
        let agent = self.handle.id;
        let event = request_core::CoreEvent::LinkUp { agent, incarnation };
        self.context.routes.broadcast(&event);
    }

    fn on_disconnected(&self) {
        if let Some(link) = self.handle.link.swap(None) {
            link.sender.close();
            self.handle.update_availability();
            let agent = self.handle.id;
            let event = request_core::CoreEvent::LinkDown { agent };
            self.context.routes.broadcast(&event);
        }
    }

    fn receive(&self, envelope: messages::Envelope, sender: &links::LinkSender) {
        match envelope.body {
            Some(messages::Body::Report(report)) => self.apply_report(&report),
            Some(messages::Body::Leaving(_)) => self.set_draining(true),
            Some(body) => self.route(envelope.correlation, body, sender),
            None => {}
        }
    }

    fn set_draining(&self, is_draining: bool) {
        self.handle
            .is_draining
            .store(is_draining, Ordering::Relaxed);
        self.handle.update_availability();
    }

    fn route(&self, correlation: u64, body: messages::Body, sender: &links::LinkSender) {
        let Some(request) = body
            .request()
            .and_then(|bytes| ids::RequestId::from_slice(bytes).ok())
        else {
            return;
        };
        let decline_message = match &body {
            messages::Body::Grant(grant) => Some(messages::Decline {
                request: grant.request.clone(),
                grant: grant.grant,
            }),
            _ => None,
        };
        let event = request_core::CoreEvent::Message {
            agent: self.handle.id,
            correlation,
            body,
        };
        let routed = self.context.routes.send(request, event);
        if let (false, Some(decline)) = (routed, decline_message) {
            // The request has ended, so the granted slot is returned at once.
            let _ = sender.try_send(decline.grant, messages::Body::Decline(decline));
            self.context
                .counters
                .count(counters::CounterEvent::GrantsDeclined);
        }
    }

    fn apply_report(&self, report: &messages::Report) {
        let waiting = report.ranks.iter().map(|load| {
            let rank = u8::try_from(load.rank).unwrap_or(u8::MAX);
            (ids::TierRank(rank), units::TokenCount(load.waiting_tokens))
        });
        self.handle.load.update(&choice::LoadSample {
            prefill_rate: units::TokenRate(report.prefill_rate),
            speed_factor: report.speed_factor,
            pending_prefill: units::TokenCount(report.pending_prefill_tokens),
            waiting: waiting.collect(),
            reported_requests: report.reported_requests,
        });
        self.set_draining(report.draining);
        if let Some(table) = self.table.upgrade() {
            table.set_models(&self.handle, &report.models);
        }
        let mut prefixes = routes::lock(&self.context.prefixes);
        for hash in &report.cached {
            prefixes.insert(*hash, self.handle.id);
        }
        for hash in &report.evicted {
            prefixes.remove(*hash, self.handle.id);
        }
    }
}
