//! Tests of the replicated state machine: settings changes, claims and snapshots.

mod support;

use proptest::prelude::*;
use prost::Message as _;
use test_case::test_case;
use waxwing_control::{changes, claims, commands, machine};
use waxwing_settings::{credentials, patches};
use waxwing_wire::messages;

/// A state machine that applies actions at log times set by the test.
#[derive(Clone, Default)]
struct TestLog {
    machine: machine::StateMachine,
    index: u64,
    log_millis: u64,
}

impl TestLog {
    fn start() -> Self {
        let mut log = Self::default();
        let tree = serde_json::to_vec(&support::tree()).unwrap().into();
        let bootstrap = commands::BootstrapSettings { tree };
        log.apply(commands::LogAction::Bootstrap(bootstrap));
        log
    }

    fn apply(&mut self, action: commands::LogAction) -> commands::ResultKind {
        self.index += 1;
        let command = commands::LogCommand {
            log_millis: self.log_millis,
            wall_millis: 0,
            action: Some(action),
        };
        let result = self.machine.apply(self.index, &command.encode_to_vec());
        result.kind.unwrap()
    }

    fn change(&mut self, change: &commands::ChangeSettings) -> commands::ResultKind {
        self.apply(commands::LogAction::Change(change.clone()))
    }

    fn claim(&mut self, question: &messages::ClaimKey) -> messages::ClaimResult {
        match self.apply(commands::LogAction::Claim(question.clone())) {
            commands::ResultKind::Claim(result) => result,
            other => panic!("unexpected result {other:?}"),
        }
    }

    fn complete(&mut self, key: &str, request: u8, body: Vec<u8>) {
        self.apply(commands::LogAction::Complete(messages::CompleteClaim {
            name: support::claim(key, request).name,
            request: vec![request; 16],
            result: Some(messages::ClaimOutcome {
                whole: true,
                status: 200,
                body: Some(body.into()),
                ..messages::ClaimOutcome::default()
            }),
            group: 0,
        }));
    }

    fn version(&self) -> u64 {
        self.machine.settings().version().0
    }

    /// Replaces the state by one restored from its snapshot, and checks that both encode to the
    /// same bytes.
    fn restart(&mut self) {
        let bytes = self.machine.to_snapshot();
        self.machine = machine::StateMachine::from_snapshot(&bytes).unwrap();
        assert_eq!(self.machine.to_snapshot(), bytes);
    }
}

fn change(
    id: u128,
    base: u64,
    path: &str,
    value: serde_json::Value,
    token: &str,
) -> commands::ChangeSettings {
    let patch = patches::SettingsPatch::from_entries([(path.into(), value)]).unwrap();
    commands::ChangeSettings {
        id: id.to_be_bytes().to_vec(),
        base,
        patch: patch.to_vec().into(),
        token_digest: credentials::TokenDigest::of(token).to_string(),
    }
}

fn offers_change(id: u128, base: u64, value: u64) -> commands::ChangeSettings {
    change(
        id,
        base,
        "/policy/offers",
        value.into(),
        support::ROOT_TOKEN,
    )
}

/// Guards against accepting two changes on the same base, and against a conflict that doesn't name
/// the accepted change.
#[test]
fn only_one_of_two_concurrent_changes_is_accepted() {
    let mut log = TestLog::start();
    let base = log.version();
    let won = log.change(&offers_change(1, base, 3));
    let version = log.version();
    assert_eq!(
        won,
        commands::ResultKind::Changed(commands::ChangedSettings { version })
    );
    let commands::ResultKind::Conflict(conflict) = log.change(&offers_change(2, base, 4)) else {
        panic!("the second change on the same base must conflict");
    };
    let winner = conflict.winner.unwrap();
    assert_eq!((conflict.version, winner.version), (version, version));
    assert_eq!(
        (winner.id, winner.operator),
        (1u128.to_be_bytes().to_vec(), "root/ada".to_owned())
    );
    assert_eq!(log.machine.settings().typed().policy.offers, 3);
}

/// Guards against a retry that is evaluated again, after other changes or a restart from a
/// snapshot, instead of getting the result of the first attempt, whether accepted or refused.
#[test_case(3, "Changed"; "accepted")]
#[test_case(99, "Refused"; "refused")]
fn a_retry_gets_the_first_result(value: u64, kind: &str) {
    let mut log = TestLog::start();
    let first = offers_change(1, log.version(), value);
    let answer = log.change(&first);
    assert!(format!("{answer:?}").starts_with(kind));
    log.change(&offers_change(2, log.version(), 2));
    assert_eq!(log.change(&first), answer);
    log.restart();
    let version = log.version();
    assert_eq!(log.change(&first), answer);
    assert_eq!(log.version(), version);
}

/// Guards against a different change that reuses the id of an accepted one and gets its result.
#[test]
fn a_change_id_is_refused_for_another_change() {
    let mut log = TestLog::start();
    log.change(&offers_change(1, log.version(), 3));
    let other = log.change(&offers_change(1, log.version(), 4));
    assert!(matches!(other, commands::ResultKind::Refused(_)));
    assert_eq!(log.machine.settings().typed().policy.offers, 3);
}

/// Guards against dropping results within 10,000 changes or within 24 h, and against keeping them
/// without bound.
#[test]
fn results_are_retained_for_a_day_and_for_ten_thousand_changes() {
    let mut log = TestLog::start();
    let conflict = |id| offers_change(id, 0, 3);
    let is_retained = |log: &TestLog, id| {
        let id = waxwing_core::ids::ChangeId(id);
        log.machine.settings().retained_result(id).is_some()
    };
    let count = changes::MIN_RETAINED_RESULTS as u128 + 10;
    for id in 1..=count {
        log.change(&conflict(id));
    }
    assert!(is_retained(&log, 1), "younger than 24 h");
    log.log_millis += changes::RESULT_RETENTION_MILLIS;
    log.change(&conflict(count + 1));
    assert!(!is_retained(&log, 1));
    assert!(is_retained(&log, 12), "one of the last 10,000");
}

/// Guards against changes by an operator to settings of another team, and by an operator who was
/// removed.
#[test]
fn changes_outside_the_scope_of_the_operator_are_forbidden() {
    let mut log = TestLog::start();
    let path = "/teams/other/roles";
    let outside_scope = change(
        1,
        log.version(),
        path,
        serde_json::json!({}),
        support::BENCH_TOKEN,
    );
    assert!(matches!(
        log.change(&outside_scope),
        commands::ResultKind::Forbidden(_)
    ));
    let own = "/teams/bench/roles";
    let allowed = change(
        2,
        log.version(),
        own,
        serde_json::json!({}),
        support::BENCH_TOKEN,
    );
    assert!(matches!(
        log.change(&allowed),
        commands::ResultKind::Changed(_)
    ));
    let operator_path = "/teams/bench/operators/lin";
    let removal = change(
        3,
        log.version(),
        operator_path,
        serde_json::Value::Null,
        support::ROOT_TOKEN,
    );
    assert!(matches!(
        log.change(&removal),
        commands::ResultKind::Changed(_)
    ));
    let change_after_removal = change(
        4,
        log.version(),
        own,
        serde_json::Value::Null,
        support::BENCH_TOKEN,
    );
    assert!(matches!(
        log.change(&change_after_removal),
        commands::ResultKind::Forbidden(_)
    ));
}

/// Guards against an initial tree that replaces the current settings when the host that created the
/// group restarts.
#[test]
fn bootstrap_never_replaces_a_tree() {
    let mut log = TestLog::start();
    log.change(&offers_change(1, log.version(), 3));
    let tree = serde_json::to_vec(&support::tree()).unwrap().into();
    let again = commands::BootstrapSettings { tree };
    log.apply(commands::LogAction::Bootstrap(again));
    assert_eq!(log.machine.settings().typed().policy.offers, 3);
}

/// Guards against two requests that own the same key, and against a claim that its owner can't get
/// again after a lost response.
#[test]
fn claims_are_replaced_by_epoch_only() {
    let mut log = TestLog::start();
    let first = log.claim(&support::claim("k", 1));
    assert!(first.granted);
    assert_eq!(
        log.claim(&support::claim("k", 1)),
        first,
        "a retry gets its own claim"
    );
    let epoch = first.record.unwrap().epoch;
    let mut second = support::claim("k", 2);
    assert!(!log.claim(&second).granted);
    second.replaces = epoch;
    let replaced = log.claim(&second);
    assert!(replaced.granted);
    assert_eq!(replaced.record.as_ref().unwrap().epoch, epoch + 1);
    let mut third = support::claim("k", 3);
    third.replaces = epoch;
    assert!(
        !log.claim(&third).granted,
        "an old epoch does not replace a claim"
    );
    assert!(
        !log.claim(&support::claim("k", 1)).granted,
        "a retry of the replaced claim is denied"
    );
    log.complete("k", 1, b"late".to_vec());
    log.complete("k", 2, b"done".to_vec());
    log.complete("k", 2, b"twice".to_vec());
    third.replaces = epoch + 1;
    let found = log.claim(&third);
    assert!(!found.granted, "a completed claim is never replaced");
    let result = found.record.unwrap().result.unwrap();
    assert_eq!(result.body.unwrap(), b"done".as_slice());
}

/// Guards against reusing a key for a request with different content.
#[test]
fn another_digest_never_replaces_a_claim() {
    let mut log = TestLog::start();
    let epoch = log.claim(&support::claim("k", 1)).record.unwrap().epoch;
    let mut other = support::claim("k", 2);
    other.record.as_mut().unwrap().digest = vec![2; 32];
    other.replaces = epoch;
    assert!(!log.claim(&other).granted);
}

/// Guards against claims and stored responses that expire too late or too early.
#[test_case(0, 3_599_999, true, true; "before the response expires")]
#[test_case(0, 3_600_000, true, false; "after the response expires")]
#[test_case(0, 86_399_999, true, false; "before the claim expires")]
#[test_case(0, 86_400_000, false, false; "after the claim expires")]
#[test_case(5_000_000, 1, true, true; "log time never goes back")]
fn claims_expire_by_log_time(start: u64, end: u64, claimed: bool, kept: bool) {
    let mut log = TestLog::start();
    log.log_millis = start;
    log.claim(&support::claim("k", 1));
    log.complete("k", 1, vec![1]);
    log.restart();
    log.log_millis = end;
    log.apply(commands::LogAction::IssueFencingNumber(
        commands::IssueFencingNumber::default(),
    ));
    let name = support::claim("k", 1).name.unwrap();
    let found = log.machine.claims().find(&name);
    assert_eq!(found.is_some(), claimed);
    let body = found.and_then(|record| record.result.as_ref()?.body.as_ref());
    assert_eq!(body.is_some(), kept);
}

/// Guards against stored responses that exhaust the memory of a control host, and against hosts
/// that drop different responses after a restart from a snapshot.
#[test]
fn stored_responses_are_bounded() {
    let mut log = TestLog::start();
    log.claim(&support::claim("long", 1));
    log.complete("long", 1, vec![0; claims::MAX_RESPONSE_BYTES + 1]);
    let name = support::claim("long", 1).name.unwrap();
    let result = log
        .machine
        .claims()
        .find(&name)
        .unwrap()
        .result
        .clone()
        .unwrap();
    assert_eq!((result.whole, result.body), (true, None));
    let count = claims::MAX_STORED_RESPONSE_BYTES / claims::MAX_RESPONSE_BYTES + 1;
    let mut restarted = log.clone();
    for log in [&mut log, &mut restarted] {
        for number in 0..count {
            // Later responses have smaller keys, so that dropping by key instead of by time fails
            // the test.
            let key = format!("{:04}", count - number);
            log.log_millis += 1;
            log.claim(&support::claim(&key, 2));
            log.complete(&key, 2, vec![0; claims::MAX_RESPONSE_BYTES]);
            if number == count / 2 {
                log.restart();
            }
        }
    }
    let find = |log: &TestLog, key: &str| {
        let name = support::claim(key, 2).name.unwrap();
        let record = log.machine.claims().find(&name).unwrap().clone();
        record.result.unwrap().body.is_some()
    };
    assert!(
        !find(&log, &format!("{count:04}")),
        "the oldest response must lose its body"
    );
    assert!(find(&log, "0001"), "the newest response must keep its body");
    assert_eq!(log.machine.to_snapshot(), restarted.machine.to_snapshot());
}

/// Guards against claims that make a snapshot larger than another host accepts.
#[test]
fn claims_are_bounded() {
    let mut log = TestLog::start();
    let key = |number: usize| format!("{number:0255}");
    let mut count = 0;
    while let commands::ResultKind::Claim(result) =
        log.apply(commands::LogAction::Claim(support::claim(&key(count), 1)))
    {
        assert!(result.granted);
        count += 1;
    }
    assert!(log.machine.to_snapshot().len() < 2 * claims::MAX_CLAIM_BYTES);
    log.restart();
    let refused = log.apply(commands::LogAction::Claim(support::claim(&key(count), 1)));
    assert!(matches!(refused, commands::ResultKind::Malformed(_)));
    log.log_millis = 86_400_000;
    assert!(log.claim(&support::claim(&key(count), 1)).granted);
    assert_eq!(log.machine.claims().len(), 1);
}

/// Guards against refusals whose findings fill the memory for results, and against a tree too large
/// to be sent in one message.
#[test]
fn refusals_and_trees_are_bounded() {
    let mut log = TestLog::start();
    let many: serde_json::Map<_, _> = (0..100)
        .map(|number| (format!("t{number}"), serde_json::json!({})))
        .collect();
    let bad = change(1, log.version(), "/tiers", many.into(), support::ROOT_TOKEN);
    let commands::ResultKind::Refused(refused) = log.change(&bad) else {
        panic!("tiers without a rank must be refused");
    };
    assert_eq!(refused.findings.len(), changes::MAX_RETAINED_FINDINGS + 1);
    for id in 2..10 {
        let accounts: serde_json::Map<_, _> = (0..9_000)
            .map(|number| {
                let name = format!("{id}-{number:050}");
                (
                    name,
                    serde_json::json!({"token_digests": [], "weight_millis": 1_000}),
                )
            })
            .collect();
        let path = format!("/teams/team{id}/accounts");
        let large = change(
            id,
            log.version(),
            &path,
            accounts.into(),
            support::ROOT_TOKEN,
        );
        if let commands::ResultKind::Refused(refused) = log.change(&large) {
            assert!(refused.findings[0].found.contains("bytes"), "{refused:?}");
            return;
        }
    }
    panic!("eight teams of 900 kB each were accepted");
}

/// Guards against a placement controller that was replaced but still places models.
#[test]
fn placements_with_an_old_fencing_number_are_rejected() {
    let mut log = TestLog::start();
    let issue_number =
        commands::LogAction::IssueFencingNumber(commands::IssueFencingNumber::default());
    assert_eq!(
        log.apply(issue_number.clone()),
        commands::ResultKind::Office(1)
    );
    assert_eq!(log.apply(issue_number), commands::ResultKind::Office(2));
    let place = |fencing| {
        commands::LogAction::Place(commands::PlaceModel {
            fencing,
            agent: "agent-1".to_owned(),
            model: "draft".to_owned(),
            wanted: true,
        })
    };
    assert_eq!(log.apply(place(1)), commands::ResultKind::Done(false));
    assert!(log.machine.placement().is_empty());
    assert_eq!(log.apply(place(2)), commands::ResultKind::Done(true));
    log.restart();
    assert!(log.machine.placement()["agent-1"].contains("draft"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on a malformed command or snapshot.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = machine::StateMachine::from_snapshot(&bytes);
        let mut log = TestLog::start();
        let before = log.version();
        log.machine.apply(2, &bytes);
        prop_assert_eq!(log.version(), before);
    }

    /// Guards against a panic on a corrupted snapshot.
    #[test]
    fn corrupted_snapshots_never_panic(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut log = TestLog::start();
        log.change(&offers_change(1, log.version(), 3));
        log.claim(&support::claim("k", 1));
        let mut bytes = log.machine.to_snapshot();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = machine::StateMachine::from_snapshot(&bytes);
    }
}

/// Guards against a host that rejoins on its own after an operator removed it.
#[test]
fn a_removed_host_stays_removed_until_it_is_added() {
    let mut log = TestLog::start();
    let info = commands::MemberInfo {
        name: "control-2".to_owned(),
        ..commands::MemberInfo::default()
    };
    let name = info.name.clone();
    log.apply(commands::LogAction::Describe(info.clone()));
    assert!(!log.machine.is_removed(&name));
    let forget = commands::ForgetMember { name: name.clone() };
    log.apply(commands::LogAction::Forget(forget));
    log.restart();
    assert!(log.machine.is_removed(&name));
    log.apply(commands::LogAction::Describe(info));
    assert!(!log.machine.is_removed(&name));
}
