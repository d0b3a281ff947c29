//! Automatic repair of the membership of the replication group.
//!
//! A host that is not a member asks to join and starts as a learner. The leader follows these
//! rules:
//!
//! - A learner that has caught up is promoted to voter where the group then tolerates more
//!   failures: if the number of voters is even, if a second learner can follow, or in place of a
//!   silent voter. The quorum node refuses to promote a learner that has not caught up.
//! - A voter that has been silent for [`SILENCE_BEFORE_REMOVAL`] is removed only while the number
//!   of voters is even and above [`MIN_VOTERS`]. This makes the quorum smaller and tolerates as
//!   many failures as before. A group with an odd number of voters never shrinks automatically.
//! - A learner that has been silent for the same time is removed.
//! - A host whose data folder was wiped returns with its member id and a new store id. The data of
//!   its old identity is lost, so the old identity is removed at once, and the host joins as a new
//!   member.

use std::{net, time::Duration};

use waxwing_core::ids;
use waxwing_quorum::members;

/// Silence after which a voter may be replaced. It is longer than an election and than the restart
/// of a process. A removed voter that comes back joins again.
pub const SILENCE_BEFORE_REMOVAL: Duration = Duration::from_millis(1_500);

/// The smallest number of voters that repair leaves; with two, the group tolerates no failure.
pub const MIN_VOTERS: usize = 3;

/// The largest number of voters. Each further voter adds a disk sync to every change, for more
/// failures than operators plan to tolerate.
pub const MAX_VOTERS: usize = 7;

/// The state of another member as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView {
    /// The member id and store id.
    pub identity: members::MemberIdentity,
    /// Voter or learner.
    pub kind: members::MemberKind,
    /// Time since its last reply.
    pub silence: Duration,
}

/// Returns the next membership change that repairs the group, if one is needed. `others` holds all
/// members except the leader, which counts as a responsive voter. Hosts that ask to join are left
/// to [`admit`].
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
    let mut responsive = others.iter().filter(|view| {
        view.kind == members::MemberKind::Learner && view.silence < SILENCE_BEFORE_REMOVAL
    });
    let (learner, second) = (responsive.next(), responsive.next());
    let improves_tolerance = voters.is_multiple_of(2) || second.is_some() || silent.is_some();
    if let Some(view) = learner.filter(|_| improves_tolerance && voters < MAX_VOTERS) {
        return Some(members::MemberChange::Promote(view.identity));
    }
    let unresponsive = others.iter().find(|view| {
        view.kind == members::MemberKind::Learner && view.silence >= SILENCE_BEFORE_REMOVAL
    });
    unresponsive.map(|view| members::MemberChange::Remove(view.identity))
}

/// Returns the membership change for a host that asks to join, or `None` if it is a member already.
/// A host that is listed with another store id is removed first.
#[must_use]
pub fn admit(
    membership: &members::Membership,
    joining: members::MemberIdentity,
) -> Option<members::MemberChange> {
    match membership.find(joining.member) {
        Some(listed) if listed == joining => None,
        Some(outdated) => Some(members::MemberChange::Remove(outdated)),
        None => Some(members::MemberChange::AddLearner(joining)),
    }
}

/// Bits of a member id that hold the port.
const PORT_BITS: u32 = 16;

/// Encodes the address at which a host accepts links as its member id, so that members can reach
/// each other without an address table. Returns `None` for IPv6 addresses.
#[must_use]
pub fn member_id(link: net::SocketAddr) -> Option<ids::MemberId> {
    let net::IpAddr::V4(host) = link.ip() else {
        return None;
    };
    let host = u64::from(u32::from(host));
    Some(ids::MemberId(host << PORT_BITS | u64::from(link.port())))
}

/// Returns the address at which a member accepts links; the inverse of [`member_id`].
#[must_use]
pub fn link_address(member: ids::MemberId) -> net::SocketAddr {
    let host = u32::try_from(member.0 >> PORT_BITS).unwrap_or_default();
    let port = u16::try_from(member.0 & u64::from(u16::MAX)).unwrap_or_default();
    net::SocketAddr::new(net::Ipv4Addr::from(host).into(), port)
}

/// Returns the identity of a founding member. The founders must know each other's identities before
/// they can communicate, so the store id is derived from the member id.
#[must_use]
pub fn founding_identity(member: ids::MemberId) -> members::MemberIdentity {
    let mut bytes = *b"waxwing-founding";
    for (byte, id_byte) in bytes.iter_mut().zip(member.0.to_be_bytes()) {
        *byte ^= id_byte;
    }
    let store = ids::StoreId::from_slice(&bytes).expect("a store id has sixteen bytes");
    members::MemberIdentity { member, store }
}
