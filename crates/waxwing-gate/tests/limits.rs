//! Limits that endpoints name on the requests a second of all entries together.

mod support;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use test_case::test_case;
use waxwing_core::units::RequestRate;
use waxwing_gate::{gate, limits, tickets};

use support::{address, granted, millis, refused, ticket};

/// Span in which the requests at a limited endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which a changed limit must hold.
const SETTLING: Duration = Duration::from_secs(3);

const LIMITED: &str = "one";

/// Returns the most requests that an endpoint may get in [`WINDOW`]: one and a half times what the
/// limit allows, and five.
fn allowed(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() * 1.5 + 5.0
}

#[test_case(1, 1.6; "one entry")]
#[test_case(3, 2.4; "three entries")]
#[test_case(4, 0.3; "a request in three seconds")]
#[test_case(20, 1.6; "more entries than requests")]
#[test_case(340, 1.6; "many entries and a tiny limit")]
#[test_case(340, 500.0; "many entries and a large limit")]
fn shares_add_up_to_the_limit(entries: u16, limit: f64) {
    let hosts: Vec<SocketAddr> = (0..entries)
        .map(|host| SocketAddr::from(([10, 1, (host >> 8) as u8, host as u8], 8080)))
        .collect();
    for endpoint in ["one", "two", "three"] {
        let shares = hosts.iter().map(|own| {
            let others: Vec<_> = hosts.iter().copied().filter(|other| other != own).collect();
            limits::entry_share(RequestRate(limit), *own, &others, endpoint).0
        });
        let shares: Vec<_> = shares.filter(|share| *share > 0.0).collect();
        let sum: f64 = shares.iter().sum();
        assert!((sum - limit).abs() < 1e-6, "{sum}");
        // Each entry with a share may send one request at once.
        let burst = f64::from(u32::try_from(shares.len()).unwrap());
        assert!(burst + limit * WINDOW.as_secs_f64() <= allowed(limit));
    }
}

/// Guards against an endpoint that is never asked again, so that nobody learns that its limit has
/// ended.
#[test]
fn limit_of_zero_lets_a_request_through_now_and_then() {
    let share = limits::entry_share(RequestRate(0.0), address(1), &[], LIMITED);
    assert!(share.0 > 0.0 && share.0 <= 0.2);
}

/// Guards against a limit that ends for an answer which was on its way when the limit was named,
/// and against one that an older statement of another entry brings back.
#[test]
fn newest_statement_wins() {
    let start = Instant::now();
    let mut limit = limits::EndpointLimit::default();
    let statement = |rate: Option<f64>, at| limits::LimitStatement {
        limit: rate.map(RequestRate),
        at: start + millis(at),
    };
    assert!(!limit.observe(statement(None, 0)));
    assert!(limit.observe(statement(Some(2.0), 100)));
    assert!(!limit.observe(statement(Some(2.0), 200)));
    // The others hold an older statement and are told the newer one.
    assert!(limit.observe(statement(None, 150)));
    assert_eq!(limit.limit(), Some(RequestRate(2.0)));
    assert!(limit.observe(statement(None, 300)));
    assert_eq!(limit.limit(), None);
    assert!(limit.observe(statement(Some(2.0), 250)));
    assert_eq!(limit.limit(), None);
}

/// Guards against a limit that holds for an endpoint which has started again since it named it,
/// because an entry that hasn't learnt of the new start passes it on.
#[test]
fn limit_of_a_former_life_is_not_taken_over() {
    let now = Instant::now();
    let id = SmolStr::new(LIMITED);
    let mut behind = support::entry(now, 1, &[(LIMITED, 100, 4)], 0);
    let mut core = support::entry(now, 2, &[(LIMITED, 100, 4)], 0);
    behind.record_limit(now, &id, Some(RequestRate(2.0)), now);
    core.apply_update(now, address(1), behind.take_update(now, true));
    assert_eq!(core.take_limit_changes().len(), 1);
    let mut started = support::notice(LIMITED, 100, 4);
    started.born = started.born.map(|born| born + 1);
    core.observe_notice(started, now);
    core.apply_update(now, address(1), behind.take_update(now, true));
    assert_eq!(core.take_limit_changes(), []);
}

/// Guards against entries that tell each other a limit again and again, since it differs by what
/// load updates round off.
#[test_case(2.3; "one decimal")]
#[test_case(2.345_678; "more decimals than load updates carry")]
fn unchanged_limit_is_told_once(limit: f64) {
    let start = Instant::now();
    let id = SmolStr::new(LIMITED);
    let mut entries = [1, 2].map(|number| support::entry(start, number, &[(LIMITED, 9, 4)], 0));
    let mut changes = 0;
    for step in 0..10 {
        let now = start + millis(10 * step);
        let sender = usize::try_from(step % 2).unwrap();
        entries[sender].record_limit(now, &id, Some(RequestRate(limit)), now);
        let update = entries[sender].take_update(now, false);
        let from = address(u8::try_from(sender).unwrap() + 1);
        entries[1 - sender].apply_update(now, from, update);
        changes += entries
            .iter_mut()
            .map(|core| core.take_limit_changes().len())
            .sum::<usize>();
    }
    assert_eq!(changes, 2);
}

/// A request at an endpoint, and when its answer begins and ends.
struct SimulatedRun {
    entry: usize,
    endpoint: SmolStr,
    sent: Instant,
    answers: Option<Instant>,
    ends: Instant,
}

/// Entries in front of three endpoints, one of which names limits.
struct LimitSimulation {
    start: Instant,
    elapsed: u64,
    entries: Vec<gate::GateCore>,
    runs: Vec<SimulatedRun>,
    /// The limit that the endpoint names now.
    limit: Option<f64>,
    /// When each request reached the limited endpoint, in milliseconds.
    arrivals: Vec<u64>,
    refusals: usize,
    /// Whether load updates get through.
    connected: bool,
}

/// Slots of each endpoint.
const ENDPOINT_SLOTS: u32 = 60;

impl LimitSimulation {
    fn new(entries: u8) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            elapsed: 0,
            entries: Vec::new(),
            runs: Vec::new(),
            limit: None,
            arrivals: Vec::new(),
            refusals: 0,
            connected: true,
        };
        for _ in 0..entries {
            simulation.add_entry();
        }
        simulation
    }

    /// Starts an entry, which gets the whole state of the others, as they get its own.
    fn add_entry(&mut self) {
        let now = self.start + millis(self.elapsed);
        let number = u8::try_from(self.entries.len()).unwrap();
        let endpoints = [LIMITED, "two", "three"].map(|id| (id, 100, ENDPOINT_SLOTS));
        let mut core = support::entry(now, number, &[], 0);
        for (host, (id, _, slots)) in (100..).zip(endpoints) {
            core.observe_notice(support::notice(id, host, slots), now);
        }
        for (peer, other) in self.entries.iter_mut().enumerate() {
            let from = address(u8::try_from(peer).unwrap());
            core.apply_update(now, from, other.take_update(now, true));
            other.apply_update(now, address(number), core.take_update(now, true));
        }
        self.entries.push(core);
    }

    /// Runs for `duration`; each entry gets a request every `interval` ms.
    fn run(&mut self, duration: Duration, interval: u64) {
        let end = self.elapsed + u64::try_from(duration.as_millis()).unwrap();
        while self.elapsed < end {
            self.elapsed += 1;
            let now = self.start + millis(self.elapsed);
            self.advance_runs(now);
            for entry in 0..self.entries.len() {
                let phase = 7 * u64::try_from(entry).unwrap();
                self.send_requests(now, entry, (self.elapsed + phase).is_multiple_of(interval));
            }
            if self.connected && self.elapsed.is_multiple_of(20) {
                self.exchange(now);
            }
        }
    }

    fn advance_runs(&mut self, now: Instant) {
        let size = ticket(now, 0, 100).size;
        for run in &mut self.runs {
            if run.answers.is_some_and(|at| at <= now) {
                run.answers = None;
                let limit = (run.endpoint == LIMITED).then_some(self.limit).flatten();
                let core = &mut self.entries[run.entry];
                core.record_first_event(now, &run.endpoint, size, 100, millis(60));
                core.record_success(now, &run.endpoint);
                core.record_limit(now, &run.endpoint, limit.map(RequestRate), run.sent);
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) =
            self.runs.drain(..).partition(|run| run.ends <= now);
        self.runs = running;
        for run in ended {
            let core = &mut self.entries[run.entry];
            core.record_generation(now, &run.endpoint, 50, millis(200), millis(260));
            core.finish(&run.endpoint, size, true);
        }
    }

    fn send_requests(&mut self, now: Instant, entry: usize, arrives: bool) {
        let core = &mut self.entries[entry];
        for id in [LIMITED, "two", "three"] {
            core.record_success(now, &SmolStr::new(id));
        }
        if arrives {
            core.count_request(now, &SmolStr::new(support::SERVICE));
            core.enqueue(tickets::WaitingTicket {
                size: tickets::WorkSize::Generation {
                    prompt: 100,
                    answer: 50,
                },
                ..ticket(now, 1, 100)
            });
        }
        let decisions = core.decide(now);
        self.refusals += refused(&decisions).len();
        for (_, endpoint) in granted(&decisions) {
            if endpoint == LIMITED {
                self.arrivals.push(self.elapsed);
            }
            self.runs.push(SimulatedRun {
                entry,
                endpoint,
                sent: now,
                answers: Some(now + millis(60)),
                ends: now + millis(260),
            });
        }
    }

    fn exchange(&mut self, now: Instant) {
        for sender in 0..self.entries.len() {
            let update = self.entries[sender].take_update(now, false);
            let from = address(u8::try_from(sender).unwrap());
            for (receiver, core) in self.entries.iter_mut().enumerate() {
                if receiver != sender {
                    core.apply_update(now, from, update.clone());
                }
            }
        }
    }

    /// Names a limit, runs until it must hold, and checks each window of the time after it.
    fn check_limit(&mut self, limit: f64, interval: u64) {
        self.limit = Some(limit);
        self.run(SETTLING, interval);
        let from = self.elapsed;
        self.run(WINDOW * 3, interval);
        let arrivals: Vec<_> = self.arrivals.iter().filter(|at| **at > from).collect();
        let window = u64::try_from(WINDOW.as_millis()).unwrap();
        let mut counts = BTreeMap::new();
        for first in &arrivals {
            let within = arrivals
                .iter()
                .filter(|at| (**first..**first + window).contains(at));
            counts.insert(within.count(), **first);
        }
        let most = counts.last_key_value().map_or(0, |(count, _)| *count);
        let most = f64::from(u32::try_from(most).unwrap());
        assert!(most <= allowed(limit), "{most} at a limit of {limit}");
        assert!(!arrivals.is_empty(), "nothing at a limit of {limit}");
    }

    /// Ends the limit, and checks that the endpoint gets its part of the load again.
    fn check_end(&mut self, interval: u64) {
        self.limit = None;
        self.run(Duration::from_secs(12), interval);
        let before = self.arrivals.len();
        self.run(Duration::from_secs(1), interval);
        let entries = u64::try_from(self.entries.len()).unwrap();
        let load = usize::try_from(1_000 * entries / interval).unwrap();
        let arrived = self.arrivals.len() - before;
        assert!(arrived * 6 >= load, "{arrived} of {load}");
    }
}

/// Guards against an endpoint that gets more requests than the limit it names (issue 22),
/// and against refusals while the other endpoints have room.
#[test_case(1, 10; "one entry")]
#[test_case(3, 30; "three entries")]
#[test_case(11, 100; "more entries than requests in a second")]
#[test_case(24, 240; "many entries")]
fn changing_limit_is_kept_by_all_entries(entries: u8, interval: u64) {
    let mut simulation = LimitSimulation::new(entries);
    simulation.run(Duration::from_secs(2), interval);
    assert!(!simulation.arrivals.is_empty());
    for limit in [2.4, 1.6, 12.0, 0.5] {
        simulation.check_limit(limit, interval);
    }
    assert_eq!(simulation.refusals, 0);
    simulation.check_end(interval);
}

/// Guards against entries that take the whole limit for themselves: some start later, and none
/// reaches another one for a while.
#[test]
fn limit_is_kept_beside_new_and_isolated_entries() {
    let mut simulation = LimitSimulation::new(4);
    simulation.run(Duration::from_secs(2), 30);
    simulation.check_limit(2.4, 30);
    for _ in 0..4 {
        simulation.add_entry();
        simulation.run(millis(200), 30);
    }
    simulation.check_limit(2.4, 30);
    simulation.connected = false;
    for entry in 0..simulation.entries.len() {
        let now = simulation.start + millis(simulation.elapsed);
        for peer in (0..simulation.entries.len()).filter(|peer| *peer != entry) {
            let peer = address(u8::try_from(peer).unwrap());
            simulation.entries[entry].forget_peer(now, peer);
        }
    }
    simulation.check_limit(2.4, 30);
    assert_eq!(simulation.refusals, 0);
}
