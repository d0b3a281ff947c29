//! Quotas across entries: delayed updates, restarts, and entries that can't reach each other.

mod support;

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use test_case::test_case;
use waxwing_fleet::deployments;
use waxwing_gate::{gate, gate::LOST_PEER_RECORD_RETENTION, options, quotas};

use support::{address, millis};

const RATE: f64 = 1_000.0;

const URGENT: (u32, u32) = (1, 0);
const BULK: (u32, u32) = (1, 2);

fn quota() -> deployments::AccountQuota {
    deployments::AccountQuota {
        unit: deployments::QuotaUnit::Tokens,
        rate: RATE,
        burst: RATE,
        default_cost: 1.0,
    }
}

fn account() -> SmolStr {
    SmolStr::new("large")
}

/// Requests `cost` units of the account's quota at an entry.
fn admit(
    core: &mut gate::GateCore,
    now: Instant,
    cost: f64,
    rank: (u32, u32),
) -> Result<(), Duration> {
    let request = quotas::QuotaRequest {
        account: &account(),
        quota: &quota(),
        cost,
        rank,
    };
    core.admit(now, request)
}

fn entry(now: Instant) -> gate::GateCore {
    let mut core = gate::GateCore::new(options::GateOptions::default(), now);
    core.quotas
        .configure(now, std::iter::once((&account(), &quota())));
    core
}

/// Sends requests of 10 units to all entries in turn for `seconds`, far beyond the quota, and
/// returns the units admitted. If `connected`, the entries exchange updates every 20 ms.
fn flood(entries: &mut [gate::GateCore], from: Instant, seconds: u64, connected: bool) -> f64 {
    flood_for(entries, from, seconds * 1_000, connected)
}

fn flood_for(entries: &mut [gate::GateCore], from: Instant, duration: u64, connected: bool) -> f64 {
    let mut admitted = 0.0;
    for step in 0..duration {
        let now = from + millis(step);
        for core in entries.iter_mut() {
            if admit(core, now, 10.0, BULK).is_ok() {
                admitted += 10.0;
            }
        }
        if connected && step % 20 == 0 {
            exchange(entries, now);
        }
    }
    admitted
}

/// Exchanges snapshots, as when connections open.
fn connect(entries: &mut [gate::GateCore], now: Instant) {
    exchange_updates(entries, now, true);
}

fn exchange(entries: &mut [gate::GateCore], now: Instant) {
    exchange_updates(entries, now, false);
}

fn exchange_updates(entries: &mut [gate::GateCore], now: Instant, snapshot: bool) {
    for sender in 0..entries.len() {
        let update = entries[sender].take_update(now, snapshot);
        for (receiver, core) in entries.iter_mut().enumerate() {
            if receiver != sender {
                core.apply_update(now, address(u8::try_from(sender).unwrap()), update.clone());
            }
        }
    }
}

#[test]
fn entries_together_stay_within_the_quota() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start), entry(start)];
    connect(&mut entries, start);
    let admitted = flood(&mut entries, start + millis(5_000), 8, true);
    assert!(admitted <= (RATE * 8.0 + RATE) * 1.1, "{admitted}");
    assert!(admitted >= RATE * 8.0, "{admitted}");
}

/// Guards against an entry that starts with a full bucket after a crash, so that all entries
/// together admit the burst a second time.
#[test]
fn restart_admits_no_second_burst() {
    let start = Instant::now();
    let mut entries = [entry(start)];
    let from = start + millis(5_000);
    let mut admitted = flood(&mut entries, from, 1, false);
    for crash in 1..8 {
        let now = from + millis(crash * 1_000);
        entries = [entry(now)];
        admitted += flood(&mut entries, now, 1, false);
    }
    assert!(admitted <= (RATE * 8.0 + RATE) * 1.1, "{admitted}");
}

/// Guards against entries that each admit the whole quota after losing their connections.
#[test]
fn partitioned_entries_share_the_quota() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start), entry(start)];
    connect(&mut entries, start);
    let from = start + millis(5_000);
    for (own, core) in entries.iter_mut().enumerate() {
        for other in (0..3).filter(|other| *other != own) {
            core.forget_peer(from, address(u8::try_from(other).unwrap()));
        }
    }
    let admitted = flood(&mut entries, from, 8, false);
    assert!(admitted <= (RATE * 8.0 + RATE) * 1.1, "{admitted}");
    assert!(admitted >= RATE * 7.0, "{admitted}");
}

/// Guards against entries that restart together and each admit the whole quota until they are
/// connected: nine entries in a rolling restart.
#[test]
fn entries_restarting_together_compensate_for_separate_admissions() {
    let start = Instant::now();
    let mut entries: Vec<_> = (0..9).map(|_| entry(start)).collect();
    let mut admitted = flood_for(&mut entries, start, 500, false);
    connect(&mut entries, start + millis(500));
    admitted += flood_for(&mut entries, start + millis(500), 7_500, true);
    assert!(admitted <= (RATE * 8.0 + RATE) * 1.1, "{admitted}");
    assert!(admitted >= RATE * 6.0, "{admitted}");
}

/// Guards against an entry that takes the whole quota because no other one is connected yet.
#[test]
fn entry_uses_only_its_share_until_expected_peers_connect() {
    let start = Instant::now();
    let mut entries = [entry(start)];
    entries[0].expect_peers(start, &[address(1), address(2)]);
    let admitted = flood_for(&mut entries, start, 3_000, false);
    assert!(admitted <= RATE * 1.1, "{admitted}");
}

/// Guards against a reconnected peer whose earlier admissions are charged again.
#[test_case(3_000; "after a short cut")]
#[test_case(30_000; "after the entry no longer counts as running")]
fn reconnected_peer_is_charged_only_for_new_admissions(cut_millis: u64) {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    connect(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 4_000, true);
    let cut = from + millis(4_000);
    entries[0].forget_peer(cut, address(1));
    // Admission counts the entries, which must not drop the totals of a peer lost long ago.
    let _ = admit(&mut entries[0], cut + millis(cut_millis - 10), 1.0, BULK);
    let later = cut + millis(cut_millis);
    let snapshot = entries[1].take_update(later, true);
    entries[0].apply_update(later, address(1), snapshot);
    assert!(admit(&mut entries[0], later, RATE * 0.9, BULK).is_ok());
}

/// Guards against an entry whose records of others grow by one with each entry that is replaced, for as
/// long as it runs.
#[test]
fn replaced_peers_are_forgotten() {
    let start = Instant::now();
    let mut core = entry(start);
    let mut now = start;
    for number in 1..=200 {
        core.expect_peers(now, &[address(number)]);
        let snapshot = entry(now).take_update(now, true);
        core.apply_update(now, address(number), snapshot);
        now += LOST_PEER_RECORD_RETENTION / 10;
        core.forget_peer(now, address(number));
        assert!(core.peer_records() <= 11, "{}", core.peer_records());
    }
    // An entry that was listed and never connected.
    core.expect_peers(now, &[address(201)]);
    now += LOST_PEER_RECORD_RETENTION * 2;
    core.expect_peers(now, &[]);
    assert_eq!(core.peer_records(), 0);
}

/// Guards against a peer that returns after its record was dropped, and is charged for all that it ever
/// admitted: accounts within their quota would be refused for as long.
#[test]
fn peer_that_returns_after_its_record_was_dropped_is_not_charged_for_old_admissions() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    connect(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 4_000, true);
    let cut = from + millis(4_000);
    entries[0].forget_peer(cut, address(1));
    let later = cut + LOST_PEER_RECORD_RETENTION * 2;
    entries[0].expect_peers(later, &[]);
    assert_eq!(entries[0].peer_records(), 0);
    let snapshot = entries[1].take_update(later, true);
    entries[0].apply_update(later, address(1), snapshot);
    assert!(admit(&mut entries[0], later, RATE * 0.9, BULK).is_ok());
}

/// Guards against a snapshot that consumes the changes pending for all other connections.
#[test]
fn snapshot_keeps_pending_changes() {
    let start = Instant::now();
    let mut core = entry(start);
    let from = start + millis(5_000);
    assert!(admit(&mut core, from, 10.0, BULK).is_ok());
    assert_eq!(core.take_update(from, true).accounts.len(), 1);
    assert_eq!(core.take_update(from, false).accounts.len(), 1);
    assert_eq!(core.take_update(from, false).accounts.len(), 0);
}

/// Guards against a new entry that charges all units that long-running peers ever admitted: each
/// connection used up a burst, and accounts within their quota were refused for seconds.
#[test]
fn new_entry_ignores_old_admissions_of_peers() {
    let start = Instant::now();
    let mut entries: Vec<_> = (0..8).map(|_| entry(start)).collect();
    connect(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 10_000, true);
    let restart = from + millis(10_000);
    entries.push(entry(restart));
    let connected = restart + millis(300);
    connect(&mut entries, connected);
    let later = connected + millis(1_500);
    assert!(admit(&mut entries[8], later, RATE * 0.9, BULK).is_ok());
}

/// Guards against the totals of a restarted peer that are compared with those from before. Its new
/// connection opened before the old one was detected as lost, so the totals seemed to fall and the
/// bucket was emptied.
#[test]
fn peer_restart_before_connection_loss_refunds_nothing() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    connect(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 6_000, true);
    let restart = from + millis(6_000);
    entries[1] = entry(restart);
    flood_for(&mut entries[1..], restart, 300, false);
    let snapshot = entries[1].take_update(restart + millis(300), true);
    entries[0].apply_update(restart + millis(300), address(1), snapshot);
    let admitted = flood_for(&mut entries[..1], restart + millis(300), 150, false);
    assert!(admitted <= RATE * 0.5, "{admitted}");
}

#[test]
fn peer_usage_counts_before_the_first_request_of_an_account() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    connect(&mut entries, start);
    let from = start + millis(5_000);
    assert!(admit(&mut entries[0], from, RATE, BULK).is_ok());
    exchange(&mut entries, from);
    assert!(admit(&mut entries[1], from, RATE, BULK).is_err());
}

#[test]
fn refused_request_is_refunded() {
    let start = Instant::now();
    let mut core = entry(start);
    let from = start + millis(5_000);
    assert!(admit(&mut core, from, RATE, BULK).is_ok());
    assert_eq!(admit(&mut core, from, RATE, BULK), Err(millis(1_000)));
    core.quotas.refund(&account(), RATE);
    assert!(admit(&mut core, from, RATE, BULK).is_ok());
}

/// Sends bulk requests of 10 units every millisecond, ten times the quota, and urgent ones of 200
/// units every `urgent_every` milliseconds; returns the urgent and the bulk units admitted.
fn flood_tiers(entries: &mut [gate::GateCore], from: Instant, urgent_every: u64) -> (f64, f64) {
    let mut admitted = (0.0, 0.0);
    for step in 0..10_000 {
        let now = from + millis(step);
        let count = u64::try_from(entries.len()).unwrap();
        let index = usize::try_from(step % count).unwrap();
        if step % urgent_every == urgent_every - 1
            && admit(&mut entries[index], now, 200.0, URGENT).is_ok()
        {
            admitted.0 += 200.0;
        }
        if admit(&mut entries[index], now, 10.0, BULK).is_ok() {
            admitted.1 += 10.0;
        }
        if step % 20 == 0 {
            exchange(entries, now);
        }
    }
    admitted
}

/// An account requests far more than its quota, in many small requests of a low tier and some large
/// urgent ones. Without reservation, the small ones use the quota as soon as one of them fits.
#[test_case(1; "one entry")]
#[test_case(3; "three entries")]
fn large_urgent_requests_are_admitted_before_small_bulk_ones(count: usize) {
    let start = Instant::now();
    let mut entries: Vec<_> = (0..count).map(|_| entry(start)).collect();
    connect(&mut entries, start);
    // Urgent requests use 0.8 of the quota; every 251 ms, so that each entry gets some.
    let (urgent, bulk) = flood_tiers(&mut entries, start + millis(5_000), 251);
    assert!(urgent >= 0.9 * 40.0 * 200.0, "{urgent} urgent, {bulk} bulk");
    assert!(urgent + bulk <= RATE * 11.5, "{urgent} urgent, {bulk} bulk");
    assert!(urgent + bulk >= RATE * 9.0, "{urgent} urgent, {bulk} bulk");
}

#[test]
fn bulk_gets_the_whole_quota_without_urgent_rejections() {
    let start = Instant::now();
    let mut entries = [entry(start)];
    let (_, bulk) = flood_tiers(&mut entries, start + millis(5_000), u64::MAX);
    assert!(bulk >= RATE * 10.0, "{bulk}");
}

#[test]
fn request_above_its_tier_share_fits_an_unused_quota() {
    let start = Instant::now();
    let mut core = entry(start);
    let from = start + millis(5_000);
    assert!(admit(&mut core, from, RATE, URGENT).is_ok());
    assert!(admit(&mut core, from, RATE, URGENT).is_err());
    let later = from + millis(1_000);
    assert!(admit(&mut core, later - millis(1), RATE, URGENT).is_err());
    assert!(admit(&mut core, later, RATE, BULK).is_ok());
}
