//! Builders and simulated endpoints shared by the tests of the gate.
#![allow(dead_code, reason = "each test file uses a part of the builders")]

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::dialects;
use waxwing_gate::{gate, options, tickets};
use waxwing_wire::messages;

pub(crate) const SERVICE: &str = "model";

pub(crate) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8080))
}

pub(crate) fn notice(id: &str, host: u8, slots: u32) -> messages::EndpointNotice {
    messages::EndpointNotice {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: address(host).to_string(),
        data_centre: "a".to_owned(),
        slots,
        phase: messages::EndpointPhase::Ready.into(),
        cold_millis: 0,
        born: Some(1),
        sequence: 1,
        age_millis: 0,
        version: "v1".to_owned(),
    }
}

/// Builds a gate that sends an endpoint no more requests than it has slots.
pub(crate) fn gate(now: Instant, endpoints: &[(&str, u8, u32)]) -> gate::GateCore {
    gate_with_queue(now, endpoints, 0)
}

/// Builds a gate that sends each endpoint `queue_depth` requests more than it has slots.
pub(crate) fn gate_with_queue(
    now: Instant,
    endpoints: &[(&str, u8, u32)],
    queue_depth: u32,
) -> gate::GateCore {
    entry(now, 0, endpoints, queue_depth)
}

/// Builds the gate of one of several entries, which the others know by `address(number)`.
pub(crate) fn entry(
    now: Instant,
    number: u8,
    endpoints: &[(&str, u8, u32)],
    queue_depth: u32,
) -> gate::GateCore {
    let options = options::GateOptions {
        address: address(number),
        endpoint_queue_depth: queue_depth,
        ..options::GateOptions::default()
    };
    let mut core = gate::GateCore::new(options, now);
    for (id, host, slots) in endpoints {
        core.observe_notice(notice(id, *host, *slots), now);
    }
    core
}

pub(crate) fn ticket(now: Instant, rank: u32, prompt: u64) -> tickets::WaitingTicket {
    tickets::WaitingTicket {
        service: SmolStr::new(SERVICE),
        rank: (rank, rank),
        arrival: now,
        queued: now,
        due: now + millis(800),
        deadline: now + millis(15_000),
        size: tickets::WorkSize::Generation {
            prompt,
            answer: 300,
        },
        pause: None,
        returned: false,
        resumed: false,
        excluded: Vec::new(),
        may_go_back: true,
        prefers_target: false,
    }
}

pub(crate) fn granted(decisions: &[tickets::GateDecision]) -> Vec<(tickets::TicketId, SmolStr)> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        tickets::GateDecision::Grant {
            ticket, endpoint, ..
        } => Some((*ticket, endpoint.clone())),
        tickets::GateDecision::Refuse { .. } => None,
    });
    grants.collect()
}

pub(crate) fn refused(decisions: &[tickets::GateDecision]) -> Vec<tickets::TicketId> {
    let refusals = decisions.iter().filter_map(|decision| match decision {
        tickets::GateDecision::Refuse { ticket, .. } => Some(*ticket),
        tickets::GateDecision::Grant { .. } => None,
    });
    refusals.collect()
}

/// Simulated endpoint with a fixed number of slots and a bounded queue.
#[derive(Debug)]
pub(crate) struct SlotServer<T> {
    slots: usize,
    max_queue: usize,
    /// Running requests, each with the step at which it ends.
    running: Vec<(T, u64)>,
    /// Queued requests, each with its run time in steps.
    queue: VecDeque<(T, u64)>,
}

impl<T> SlotServer<T> {
    pub(crate) fn new(slots: u32, max_queue: usize) -> Self {
        Self {
            slots: usize::try_from(slots).unwrap(),
            max_queue,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn requests(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    pub(crate) fn load(&self) -> dialects::LoadFacts {
        dialects::LoadFacts {
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: u32::try_from(self.queue.len()).unwrap(),
            slots: u32::try_from(self.slots).unwrap(),
            pace: dialects::PaceStatement::Absent,
        }
    }

    /// Queues a request; returns `false` if the queue is full.
    pub(crate) fn accept(&mut self, request: T, steps: u64) -> bool {
        let accepted = self.queue.len() < self.max_queue;
        if accepted {
            self.queue.push_back((request, steps));
        }
        accepted
    }

    /// Advances to `step` and returns the requests that have ended.
    pub(crate) fn advance(&mut self, step: u64) -> Vec<T> {
        let running = std::mem::take(&mut self.running).into_iter();
        let (ended, running): (Vec<_>, Vec<_>) = running.partition(|(_, end)| *end <= step);
        self.running = running;
        while self.running.len() < self.slots {
            let Some((request, steps)) = self.queue.pop_front() else {
                break;
            };
            self.running.push((request, step + steps));
        }
        ended.into_iter().map(|(request, _)| request).collect()
    }
}
