//! Builders shared by the tests of the gate.
#![allow(dead_code, reason = "each test file uses a part of the builders")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
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
        born: 1,
        sequence: 1,
        age_millis: 0,
    }
}

/// Builds a gate that gives an endpoint no more requests than it has slots.
pub(crate) fn gate(now: Instant, endpoints: &[(&str, u8, u32)]) -> gate::GateCore {
    gate_with_door(now, endpoints, 0)
}

/// Builds a gate that lets `door` requests wait at each endpoint.
pub(crate) fn gate_with_door(
    now: Instant,
    endpoints: &[(&str, u8, u32)],
    door: u32,
) -> gate::GateCore {
    let options = options::GateOptions {
        waiting_at_door: door,
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
        returned: false,
        resumed: false,
        excluded: Vec::new(),
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
