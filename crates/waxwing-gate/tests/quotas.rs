//! Quotas over all entries: lagging books, restarts, and entries that can't reach each other.

mod support;

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use test_case::test_case;
use waxwing_fleet::deployments;
use waxwing_gate::{gate, options, quotas};

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

/// Asks an entry to admit a request of the account.
fn admit(
    core: &mut gate::GateCore,
    now: Instant,
    cost: f64,
    rank: (u32, u32),
) -> Result<(), Duration> {
    let claim = quotas::QuotaClaim {
        account: &account(),
        quota: &quota(),
        cost,
        rank,
    };
    core.admit(now, claim)
}

fn entry(now: Instant) -> gate::GateCore {
    let mut core = gate::GateCore::new(options::GateOptions::default(), now);
    core.quotas
        .configure(now, std::iter::once((&account(), &quota())));
    core
}

/// Sends requests of 10 units for `seconds` to all entries by turns, far beyond the quota, and
/// returns the units that were admitted. Books are exchanged every 20 ms among those linked.
fn flood(entries: &mut [gate::GateCore], from: Instant, seconds: u64, linked: bool) -> f64 {
    flood_for(entries, from, seconds * 1_000, linked)
}

fn flood_for(entries: &mut [gate::GateCore], from: Instant, duration: u64, linked: bool) -> f64 {
    let mut admitted = 0.0;
    for step in 0..duration {
        let now = from + millis(step);
        for core in entries.iter_mut() {
            if admit(core, now, 10.0, BULK).is_ok() {
                admitted += 10.0;
            }
        }
        if linked && step % 20 == 0 {
            exchange(entries, now);
        }
    }
    admitted
}

/// Exchanges first books, as when links open.
fn link(entries: &mut [gate::GateCore], now: Instant) {
    exchange_books(entries, now, true);
}

fn exchange(entries: &mut [gate::GateCore], now: Instant) {
    exchange_books(entries, now, false);
}

fn exchange_books(entries: &mut [gate::GateCore], now: Instant, whole: bool) {
    for sender in 0..entries.len() {
        let book = entries[sender].take_book(now, whole);
        for (receiver, core) in entries.iter_mut().enumerate() {
            if receiver != sender {
                core.observe_book(now, address(u8::try_from(sender).unwrap()), book.clone());
            }
        }
    }
}

#[test]
fn entries_together_keep_to_the_quota() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start), entry(start)];
    link(&mut entries, start);
    let admitted = flood(&mut entries, start + millis(5_000), 8, true);
    assert!(admitted <= (RATE * 8.0 + RATE) * 1.1, "{admitted}");
    assert!(admitted >= RATE * 8.0, "{admitted}");
}

/// Guards against an entry that starts with a full bucket after a crash: the fleet then admitted
/// the burst once more (found by a hunted day).
#[test]
fn a_restart_admits_no_second_burst() {
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

/// Guards against entries that lost their links and then each admit the whole quota.
#[test]
fn entries_that_are_cut_off_share_the_quota() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start), entry(start)];
    link(&mut entries, start);
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

/// Guards against entries that restart together and admit the whole quota each until their links
/// are open (found by a hunted day of our own: nine entries in a rolling restart).
#[test]
fn entries_that_restart_together_make_good_what_they_admitted_alone() {
    let start = Instant::now();
    let mut entries: Vec<_> = (0..9).map(|_| entry(start)).collect();
    let mut admitted = flood_for(&mut entries, start, 500, false);
    link(&mut entries, start + millis(500));
    admitted += flood_for(&mut entries, start + millis(500), 7_500, true);
    assert!(admitted <= (RATE * 8.0 + RATE) * 1.1, "{admitted}");
    assert!(admitted >= RATE * 6.0, "{admitted}");
}

/// Guards against an entry that takes itself for the only one before its links are open.
#[test]
fn an_entry_that_was_told_of_others_keeps_to_its_share_before_they_are_linked() {
    let start = Instant::now();
    let mut entries = [entry(start)];
    entries[0].expect_peers(start, &[address(1), address(2)]);
    let admitted = flood_for(&mut entries, start, 3_000, false);
    assert!(admitted <= RATE * 1.1, "{admitted}");
}

/// Guards against a link that opens again: what the other entry admitted long ago must not count.
#[test_case(3_000; "after a short cut")]
#[test_case(30_000; "after the entry no longer counts as running")]
fn a_link_that_opens_again_counts_only_what_was_admitted_meanwhile(cut_millis: u64) {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    link(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 4_000, true);
    let cut = from + millis(4_000);
    entries[0].forget_peer(cut, address(1));
    // Counting entries is what lets go of those that are lost for long.
    let _ = admit(&mut entries[0], cut + millis(cut_millis - 10), 1.0, BULK);
    let later = cut + millis(cut_millis);
    let book = entries[1].take_book(later, true);
    entries[0].observe_book(later, address(1), book);
    assert!(admit(&mut entries[0], later, RATE * 0.9, BULK).is_ok());
}

/// Guards against a link that opens and takes the news from all other links.
#[test]
fn a_whole_book_leaves_what_the_next_one_tells() {
    let start = Instant::now();
    let mut core = entry(start);
    let from = start + millis(5_000);
    assert!(admit(&mut core, from, 10.0, BULK).is_ok());
    assert_eq!(core.take_book(from, true).accounts.len(), 1);
    assert_eq!(core.take_book(from, false).accounts.len(), 1);
    assert_eq!(core.take_book(from, false).accounts.len(), 0);
}

/// Guards against a new entry that counts all that long-running ones ever admitted: each link then
/// used up a burst, and accounts within their quota were refused for seconds.
#[test]
fn a_new_entry_does_not_count_what_others_admitted_long_ago() {
    let start = Instant::now();
    let mut entries: Vec<_> = (0..8).map(|_| entry(start)).collect();
    link(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 10_000, true);
    let restart = from + millis(10_000);
    entries.push(entry(restart));
    let linked = restart + millis(300);
    link(&mut entries, linked);
    let later = linked + millis(1_500);
    assert!(admit(&mut entries[8], later, RATE * 0.9, BULK).is_ok());
}

/// Guards against the sums of a new life that are taken for those of the former one: its new link
/// opened before the old one was found lost, the sums seemed to fall, and the bucket was emptied
/// (found by a hunted day of our own).
#[test]
fn a_restart_whose_old_link_is_not_lost_yet_gives_nothing_back() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    link(&mut entries, start);
    let from = start + millis(5_000);
    flood_for(&mut entries, from, 6_000, true);
    let restart = from + millis(6_000);
    entries[1] = entry(restart);
    flood_for(&mut entries[1..], restart, 300, false);
    let book = entries[1].take_book(restart + millis(300), true);
    entries[0].observe_book(restart + millis(300), address(1), book);
    let admitted = flood_for(&mut entries[..1], restart + millis(300), 150, false);
    assert!(admitted <= RATE * 0.5, "{admitted}");
}

#[test]
fn an_account_that_others_serve_is_counted_before_its_first_call_here() {
    let start = Instant::now();
    let mut entries = [entry(start), entry(start)];
    link(&mut entries, start);
    let from = start + millis(5_000);
    assert!(admit(&mut entries[0], from, RATE, BULK).is_ok());
    exchange(&mut entries, from);
    assert!(admit(&mut entries[1], from, RATE, BULK).is_err());
}

#[test]
fn a_refused_request_gives_its_units_back() {
    let start = Instant::now();
    let mut core = entry(start);
    let from = start + millis(5_000);
    assert!(admit(&mut core, from, RATE, BULK).is_ok());
    assert_eq!(admit(&mut core, from, RATE, BULK), Err(millis(1_000)));
    core.quotas.refund(&account(), RATE);
    assert!(admit(&mut core, from, RATE, BULK).is_ok());
}

/// Sends bulk of 10 units every millisecond, ten times the quota, and an urgent request of 200
/// units at an interval; returns the units that were admitted of either.
fn flood_tiers(entries: &mut [gate::GateCore], from: Instant, urgent_every: u64) -> (f64, f64) {
    let mut admitted = (0.0, 0.0);
    for step in 0..10_000 {
        let now = from + millis(step);
        let count = u64::try_from(entries.len()).unwrap();
        let place = usize::try_from(step % count).unwrap();
        if step % urgent_every == urgent_every - 1
            && admit(&mut entries[place], now, 200.0, URGENT).is_ok()
        {
            admitted.0 += 200.0;
        }
        if admit(&mut entries[place], now, 10.0, BULK).is_ok() {
            admitted.1 += 10.0;
        }
        if step % 20 == 0 {
            exchange(entries, now);
        }
    }
    admitted
}

/// Pattern: an account asks for far more than its quota, in many small requests of a low tier and
/// some large urgent ones. The small ones fill the quota as soon as there is room for one of them.
#[test_case(1; "one entry")]
#[test_case(3; "three entries")]
fn large_urgent_requests_of_an_account_over_its_quota_come_before_small_bulk(count: usize) {
    let start = Instant::now();
    let mut entries: Vec<_> = (0..count).map(|_| entry(start)).collect();
    link(&mut entries, start);
    // Urgent requests for 0.8 of the quota; every 251 ms, so that each entry gets some.
    let (urgent, bulk) = flood_tiers(&mut entries, start + millis(5_000), 251);
    assert!(urgent >= 0.9 * 40.0 * 200.0, "{urgent} urgent, {bulk} bulk");
    assert!(urgent + bulk <= RATE * 11.5, "{urgent} urgent, {bulk} bulk");
    assert!(urgent + bulk >= RATE * 9.0, "{urgent} urgent, {bulk} bulk");
}

#[test]
fn bulk_gets_the_whole_quota_where_nothing_urgent_is_short() {
    let start = Instant::now();
    let mut entries = [entry(start)];
    let (_, bulk) = flood_tiers(&mut entries, start + millis(5_000), u64::MAX);
    assert!(bulk >= RATE * 10.0, "{bulk}");
}

#[test]
fn a_request_above_what_is_left_to_its_tier_fits_an_empty_quota() {
    let start = Instant::now();
    let mut core = entry(start);
    let from = start + millis(5_000);
    assert!(admit(&mut core, from, RATE, URGENT).is_ok());
    assert!(admit(&mut core, from, RATE, URGENT).is_err());
    let later = from + millis(1_000);
    assert!(admit(&mut core, later - millis(1), RATE, URGENT).is_err());
    assert!(admit(&mut core, later, RATE, BULK).is_ok());
}
