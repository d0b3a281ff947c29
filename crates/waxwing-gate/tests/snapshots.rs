//! Snapshots of the load that entries send each other when a link between them opens.

mod support;

use std::time::Instant;

use prost::Message as _;
use test_case::test_case;
use waxwing_gate::gate;

use support::{address, entry, granted, millis, notice, ticket};

/// Endpoints of the day at 300 machines.
const ENDPOINTS: usize = 3_000;

/// Entries of that day.
const ENTRIES: usize = 104;

/// Bytes a second of an entry's link: 10 Mbit/s.
const LINK_RATE: usize = 10_000_000 / 8;

fn large_entry(now: Instant) -> gate::GateCore {
    let mut core = entry(now, 0, &[], 0);
    for number in 0..ENDPOINTS {
        let id = format!("model-runner-{number:06}");
        let host = u8::try_from(number % 200).unwrap();
        let notice = waxwing_wire::messages::EndpointNotice {
            address: format!("10.{}.0.{host}:80", number / 200),
            ..notice(&id, host, 4)
        };
        core.observe_notice(notice, now);
    }
    core
}

/// Guards against entries that serve nothing for seconds after they were all started again: each
/// sent each other one a snapshot that named all endpoints, so that their links were full, were lost
/// and opened again.
#[test]
fn snapshots_of_all_entries_fit_their_links() {
    let now = Instant::now();
    let mut core = large_entry(now);
    for _ in 0..10 {
        core.enqueue(ticket(now, 0, 100));
    }
    assert_eq!(granted(&core.decide(now)).len(), 10);
    let snapshot = core.take_update(now, true);
    assert_eq!(snapshot.endpoints.len(), 10);
    // All of them together may take a tenth of a second.
    assert!(snapshot.encoded_len() * ENTRIES < LINK_RATE / 10);
}

/// Guards against requests that are counted at an endpoint after they ended while the link was lost:
/// the snapshot doesn't name the endpoint any more.
#[test_case(1; "one endpoint")]
#[test_case(3; "several endpoints")]
fn snapshot_replaces_what_was_told_before(running: usize) {
    let now = Instant::now();
    let endpoints = [("one", 1, 4), ("two", 2, 4), ("three", 3, 4)];
    let mut sender = entry(now, 1, &endpoints, 0);
    let mut receiver = entry(now, 2, &endpoints, 0);
    for _ in 0..running {
        sender.enqueue(ticket(now, 0, 100));
    }
    let started = granted(&sender.decide(now));
    receiver.apply_update(now, address(1), sender.take_update(now, true));
    let counted = |core: &gate::GateCore| -> u32 {
        let views = endpoints.iter().filter_map(|(id, _, _)| core.endpoint(id));
        views.map(|view| view.total().running).sum()
    };
    assert_eq!(counted(&receiver), u32::try_from(running).unwrap());
    for (_, endpoint) in started {
        sender.finish(&endpoint, ticket(now, 0, 100).size, false);
    }
    // This update is lost.
    sender.take_update(now, false);
    let later = now + millis(500);
    receiver.apply_update(later, address(1), sender.take_update(later, true));
    assert_eq!(counted(&receiver), 0);
}
