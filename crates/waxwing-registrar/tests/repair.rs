//! Repair of the group without an operator: what is changed, and what never is.

use std::{net::SocketAddr, time::Duration};

use test_case::test_case;
use waxwing_core::ids;
use waxwing_quorum::members::{MemberChange, MemberIdentity, MemberKind, Membership};
use waxwing_registrar::{
    documents::{DocumentRegister, StoredDocument},
    repair::{self, MemberView},
};

fn identity(host: u8) -> MemberIdentity {
    let link = SocketAddr::from(([10, 0, 0, host], 7600));
    repair::founder(repair::member_id(link).unwrap())
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

#[test_case(&[false, false]; "three voters that answer")]
#[test_case(&[true, false]; "three voters of which one is silent")]
#[test_case(&[true, true]; "three voters of which two are silent")]
#[test_case(&[true]; "two voters of which one is silent")]
#[test_case(&[true, false, false, false]; "five voters of which one is silent")]
fn a_group_never_shrinks_its_tolerance(silent: &[bool]) {
    assert_eq!(repair::next_change(&voters(silent)), None);
}

#[test]
fn a_replaced_voter_goes_once_its_successor_votes() {
    let mut views = voters(&[true, false]);
    views.push(view(9, MemberKind::Learner, false));
    assert_eq!(
        repair::next_change(&views),
        Some(MemberChange::Promote(identity(9)))
    );
    views[2].kind = MemberKind::Voter;
    assert_eq!(
        repair::next_change(&views),
        Some(MemberChange::Remove(identity(0)))
    );
}

#[test]
fn a_spare_host_stays_a_learner() {
    let mut views = voters(&[false, false]);
    views.push(view(9, MemberKind::Learner, false));
    assert_eq!(repair::next_change(&views), None);
}

#[test]
fn two_more_hosts_make_the_group_larger() {
    let mut views = voters(&[false, false]);
    views.push(view(8, MemberKind::Learner, false));
    views.push(view(9, MemberKind::Learner, false));
    assert_eq!(
        repair::next_change(&views),
        Some(MemberChange::Promote(identity(8)))
    );
    views[2].kind = MemberKind::Voter;
    assert_eq!(
        repair::next_change(&views),
        Some(MemberChange::Promote(identity(9)))
    );
}

#[test]
fn a_learner_that_is_gone_is_forgotten() {
    let mut views = voters(&[false, false]);
    views.push(view(9, MemberKind::Learner, true));
    assert_eq!(
        repair::next_change(&views),
        Some(MemberChange::Remove(identity(9)))
    );
}

/// Guards against a wiped host that votes as before: it could vote twice in one term.
#[test]
fn a_wiped_host_joins_as_another_member() {
    let group = Membership::of_voters(&[identity(1), identity(2), identity(3)]);
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
fn a_member_id_leads_to_its_address() {
    let link: SocketAddr = "10.20.30.40:7600".parse().unwrap();
    let member = repair::member_id(link).unwrap();
    assert_eq!(repair::link_address(member), link);
}

fn command(version: u64, body: &'static str) -> Vec<u8> {
    use prost::Message as _;
    let body = body.into();
    StoredDocument { version, body }.encode_to_vec()
}

/// Guards against content that changes under a version that operators have seen acknowledged.
#[test]
fn the_first_document_of_a_version_stays() {
    let mut register = DocumentRegister::default();
    assert!(register.apply(&command(4, "first")).unwrap());
    assert!(!register.apply(&command(4, "second")).unwrap());
    assert!(!register.apply(&command(3, "older")).unwrap());
    assert_eq!(register.held().body, "first");
    assert!(register.apply(&command(9, "newer")).unwrap());
    let restored = DocumentRegister::from_snapshot(&register.to_snapshot()).unwrap();
    assert_eq!(restored, register);
}
