//! Automatic repair of the group's membership, and the replicated document register.

use std::{net::SocketAddr, time::Duration};

use test_case::test_case;
use waxwing_core::ids;
use waxwing_quorum::members::{MemberChange, MemberIdentity, MemberKind, Membership};
use waxwing_registrar::{
    documents::{DocumentRegister, StoredDocument},
    repair::{self, MemberView, VoterBounds},
};

const ONE_LOSS: VoterBounds = VoterBounds { min: 3, max: 7 };
const TWO_LOSSES: VoterBounds = VoterBounds { min: 5, max: 7 };

fn identity(host: u8) -> MemberIdentity {
    let link = SocketAddr::from(([10, 0, 0, host], 7600));
    repair::founding_identity(repair::member_id(link).unwrap())
}

fn view(host: u8, kind: MemberKind, silent: bool) -> MemberView {
    let silence = if silent { 4 } else { 0 };
    MemberView {
        identity: identity(host),
        kind,
        silence: Duration::from_secs(silence),
    }
}

fn voters(silent: &[bool]) -> Vec<MemberView> {
    let view = |(host, silent): (usize, &bool)| {
        view(u8::try_from(host).unwrap(), MemberKind::Voter, *silent)
    };
    silent.iter().enumerate().map(view).collect()
}

#[test_case(&[false, false]; "three responsive voters")]
#[test_case(&[true, false]; "three voters, one silent")]
#[test_case(&[true, true]; "three voters, two silent")]
#[test_case(&[true]; "two voters, one silent")]
#[test_case(&[true, false, false, false]; "five voters, one silent")]
#[test_case(&[true, true, false, false]; "five voters, a data centre of two silent")]
#[test_case(&[true, true, true, false, false, false]; "seven voters, a data centre of three silent")]
fn repair_never_lowers_fault_tolerance(silent: &[bool]) {
    assert_eq!(repair::next_change(&voters(silent), ONE_LOSS), None);
}

#[test]
fn silent_voter_is_removed_after_its_replacement_is_promoted() {
    let mut views = voters(&[true, false]);
    views.push(view(9, MemberKind::Learner, false));
    assert_eq!(
        repair::next_change(&views, ONE_LOSS),
        Some(MemberChange::Promote(identity(9)))
    );
    views[2].kind = MemberKind::Voter;
    assert_eq!(
        repair::next_change(&views, ONE_LOSS),
        Some(MemberChange::Remove(identity(0)))
    );
}

#[test]
fn single_learner_beside_an_odd_group_is_not_promoted() {
    let mut views = voters(&[false, false]);
    views.push(view(9, MemberKind::Learner, false));
    assert_eq!(repair::next_change(&views, ONE_LOSS), None);
}

#[test]
fn two_learners_are_promoted_one_after_the_other() {
    let mut views = voters(&[false, false]);
    views.push(view(8, MemberKind::Learner, false));
    views.push(view(9, MemberKind::Learner, false));
    assert_eq!(
        repair::next_change(&views, ONE_LOSS),
        Some(MemberChange::Promote(identity(8)))
    );
    views[2].kind = MemberKind::Voter;
    assert_eq!(
        repair::next_change(&views, ONE_LOSS),
        Some(MemberChange::Promote(identity(9)))
    );
}

#[test]
fn bounds_follow_the_tolerated_losses() {
    assert_eq!(VoterBounds::tolerating(0), ONE_LOSS);
    assert_eq!(VoterBounds::tolerating(1), ONE_LOSS);
    assert_eq!(VoterBounds::tolerating(2), TWO_LOSSES);
    assert_eq!(VoterBounds::tolerating(3), VoterBounds { min: 7, max: 10 });
}

/// Guards against silent voters that stay in a group which has replaced them, and use up the losses
/// that it tolerates.
#[test_case(6, 1; "six voters")]
#[test_case(6, 2; "two silent of six voters")]
#[test_case(7, 2; "two silent of seven voters")]
fn voters_beyond_the_tolerated_losses_are_removed_when_silent(total: usize, silent: usize) {
    let silent: Vec<_> = (1..total).map(|number| number <= silent).collect();
    let change = repair::next_change(&voters(&silent), TWO_LOSSES);
    assert!(
        matches!(change, Some(MemberChange::Remove(_))),
        "{change:?}"
    );
}

/// Guards against a group that shrinks below what the tolerated losses ask for, since one of its
/// hosts is cut off while another one joins again with an empty disk.
#[test]
fn group_is_not_shrunk_below_the_tolerated_losses() {
    let mut views = voters(&[true, false, false]);
    assert_eq!(repair::next_change(&views, TWO_LOSSES), None);
    assert!(repair::next_change(&views, ONE_LOSS).is_some());
    views.remove(2);
    views.push(view(9, MemberKind::Learner, false));
    views[0].silence = Duration::ZERO;
    assert_eq!(
        repair::next_change(&views, TWO_LOSSES),
        Some(MemberChange::Promote(identity(9)))
    );
    assert_eq!(repair::next_change(&views, ONE_LOSS), None);
}

#[test]
fn silent_learner_is_removed() {
    let mut views = voters(&[false, false]);
    views.push(view(9, MemberKind::Learner, true));
    assert_eq!(
        repair::next_change(&views, ONE_LOSS),
        Some(MemberChange::Remove(identity(9)))
    );
}

/// Guards against a wiped host that keeps its vote: it has lost its record of the votes that it
/// cast and could vote twice in one term.
#[test]
fn wiped_host_is_removed_before_it_joins_again() {
    let group = Membership::from_voters(&[identity(1), identity(2), identity(3)]);
    let wiped = MemberIdentity {
        member: identity(2).member,
        store: ids::StoreId::random(),
    };
    assert_eq!(
        repair::admit(&group, wiped),
        Some(MemberChange::Remove(identity(2)))
    );
    let without = group
        .with_change(MemberChange::Remove(identity(2)))
        .unwrap();
    assert_eq!(
        repair::admit(&without, wiped),
        Some(MemberChange::AddLearner(wiped))
    );
    assert_eq!(repair::admit(&group, identity(3)), None);
}

#[test]
fn member_id_decodes_to_its_address() {
    let link: SocketAddr = "10.20.30.40:7600".parse().unwrap();
    let member = repair::member_id(link).unwrap();
    assert_eq!(repair::link_address(member), link);
}

fn command(version: u64, body: &'static str) -> Vec<u8> {
    use prost::Message as _;
    let body = body.into();
    StoredDocument { version, body }.encode_to_vec()
}

/// Guards against a document whose content changes after its version was acknowledged.
#[test]
fn first_document_of_a_version_wins() {
    let mut register = DocumentRegister::default();
    assert!(register.apply(&command(4, "first")).unwrap());
    assert!(!register.apply(&command(4, "second")).unwrap());
    assert!(!register.apply(&command(3, "older")).unwrap());
    assert_eq!(register.current().unwrap().body, "first");
    assert!(register.apply(&command(9, "newer")).unwrap());
    let restored = DocumentRegister::from_snapshot(&register.to_snapshot()).unwrap();
    assert_eq!(restored, register);
}

/// Guards against a first document that is acknowledged and not stored, since its version stands for none
/// (`review/13`).
#[test]
fn document_of_version_0_is_held_and_restored() {
    let mut register = DocumentRegister::default();
    assert_eq!(register.current(), None);
    let restored = DocumentRegister::from_snapshot(&register.to_snapshot()).unwrap();
    assert_eq!(restored, register);
    assert!(register.apply(&command(0, "first")).unwrap());
    assert!(!register.apply(&command(0, "second")).unwrap());
    assert_eq!(register.current().unwrap().body, "first");
    let restored = DocumentRegister::from_snapshot(&register.to_snapshot()).unwrap();
    assert_eq!(restored, register);
    assert!(register.apply(&command(1, "newer")).unwrap());
}

/// Guards against a command without a document that replaces the one held.
#[test]
fn command_without_a_document_changes_nothing() {
    let mut register = DocumentRegister::default();
    assert!(!register.apply(&command(3, "")).unwrap());
    assert_eq!(register.current(), None);
    assert!(!register.apply(&[]).unwrap());
    assert_eq!(register.current(), None);
}
