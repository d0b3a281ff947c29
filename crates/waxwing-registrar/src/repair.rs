//! Repair of the membership of the log without an operator.
//!
//! A host that is not a member asks to join and starts as a learner. Rules for the leader:
//!
//! - A learner that has caught up becomes a voter where that makes the group bear more losses: in
//!   an even group, together with a second learner, or in place of a voter that is silent.
//! - A voter that has been silent for [`SILENCE_BEFORE_REMOVAL`] is removed only while there are
//!   an even number of voters and more than [`MIN_VOTERS`]. The quorum gets smaller by that, and
//!   as many losses are borne as before; an odd group never shrinks by itself.
//! - A host whose data folder was wiped comes back under its member id with another store id. Its
//!   former life holds nothing any more, so it is removed at once and joins anew.

use std::{net, time::Duration};

use waxwing_core::ids;
use waxwing_quorum::members;

/// Silence after which a voter may be replaced; longer than an election and than the restart of a
/// process. A voter that comes back later joins again.
pub const SILENCE_BEFORE_REMOVAL: Duration = Duration::from_millis(1_500);

/// The smallest group that repair leaves; two voters bear no loss.
pub const MIN_VOTERS: usize = 3;

/// The largest group; each further voter costs every change a sync more and bears no more losses
/// than operators plan for.
pub const MAX_VOTERS: usize = 7;

/// A `MemberView` is what the leader knows of a member other than itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView {
    /// The member.
    pub identity: members::MemberIdentity,
    /// Whether it votes.
    pub kind: members::MemberKind,
    /// Time since it last answered.
    pub silence: Duration,
}

/// Returns the change that repairs the group next, without one for hosts that ask to join. The
/// leader itself counts as a voter that answers.
#[must_use]
pub fn next_change(others: &[MemberView]) -> Option<members::MemberChange> {
    let is_voter = |view: &&MemberView| view.kind == members::MemberKind::Voter;
    let voters = others.iter().filter(is_voter).count() + 1;
    let silent = others
        .iter()
        .filter(is_voter)
        .filter(|view| view.silence >= SILENCE_BEFORE_REMOVAL)
        .max_by_key(|view| view.silence);
    if let Some(view) = silent.filter(|_| voters > MIN_VOTERS && voters.is_multiple_of(2)) {
        return Some(members::MemberChange::Remove(view.identity));
    }
    let mut ready = others.iter().filter(|view| {
        view.kind == members::MemberKind::Learner && view.silence < SILENCE_BEFORE_REMOVAL
    });
    let (learner, second) = (ready.next(), ready.next());
    let useful = voters.is_multiple_of(2) || second.is_some() || silent.is_some();
    if let Some(view) = learner.filter(|_| useful && voters < MAX_VOTERS) {
        return Some(members::MemberChange::Promote(view.identity));
    }
    let lost = others.iter().find(|view| {
        view.kind == members::MemberKind::Learner && view.silence >= SILENCE_BEFORE_REMOVAL
    });
    lost.map(|view| members::MemberChange::Remove(view.identity))
}

/// Returns the change for a host that asks to join; `None` if it is a member already.
#[must_use]
pub fn admit(
    membership: &members::Membership,
    joining: members::MemberIdentity,
) -> Option<members::MemberChange> {
    match membership.find(joining.member) {
        Some(listed) if listed == joining => None,
        Some(former) => Some(members::MemberChange::Remove(former)),
        None => Some(members::MemberChange::AddLearner(joining)),
    }
}

/// Bits of a member id that hold the port.
const PORT_BITS: u32 = 16;

/// Derives the member id of a host from where it accepts links, so that every member can reach
/// every other one without a table. `None` for addresses that don't fit.
#[must_use]
pub fn member_id(link: net::SocketAddr) -> Option<ids::MemberId> {
    let net::IpAddr::V4(host) = link.ip() else {
        return None;
    };
    let host = u64::from(u32::from(host));
    Some(ids::MemberId(host << PORT_BITS | u64::from(link.port())))
}

/// Returns where a member accepts links.
#[must_use]
pub fn link_address(member: ids::MemberId) -> net::SocketAddr {
    let host = u32::try_from(member.0 >> PORT_BITS).unwrap_or_default();
    let port = u16::try_from(member.0 & u64::from(u16::MAX)).unwrap_or_default();
    net::SocketAddr::new(net::Ipv4Addr::from(host).into(), port)
}

/// Returns the identity of a founding member. All founders must know each other's identities
/// before they have talked, so the store id follows from the member id.
#[must_use]
pub fn founder(member: ids::MemberId) -> members::MemberIdentity {
    let mut bytes = *b"waxwing-founding";
    for (byte, own) in bytes.iter_mut().zip(member.0.to_be_bytes()) {
        *byte ^= own;
    }
    let store = ids::StoreId::from_slice(&bytes).expect("a store id has sixteen bytes");
    members::MemberIdentity { member, store }
}
