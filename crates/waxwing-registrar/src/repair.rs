//! Automatic repair of the membership of the replication group.
//!
//! A host that is not a member asks to join and starts as a learner. The leader follows these
//! rules:
//!
//! - A learner that has caught up is promoted to voter where the group then tolerates more
//!   failures: if it has fewer voters than [`VoterBounds`] ask for, if the number of voters is even,
//!   if a second learner can follow, or in place of a silent voter. The quorum node refuses to
//!   promote a learner that has not caught up.
//! - A voter that has been silent for [`SILENCE_BEFORE_REMOVAL`] is removed only while there are
//!   more voters than the tolerated losses ask for, and either their number is even, so that the
//!   quorum becomes smaller, or two are silent beside more responsive ones than a quorum, so that it
//!   does with the next removal. Silent voters that stay would use up the losses that the group
//!   tolerates.
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

/// The largest number of voters, unless more losses are to be tolerated. Each further voter adds a
/// disk sync to every change.
const MAX_VOTERS: usize = 7;

/// Bounds of the number of voters that repair keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterBounds {
    /// The smallest number that a removal for silence leaves, and up to which single learners are
    /// promoted.
    pub min: usize,
    /// The number from which no learner is promoted.
    pub max: usize,
}

impl VoterBounds {
    /// Returns the bounds of a group that loses nothing and goes on while `losses` hosts or their
    /// disks are lost at the same time. As many new hosts may become voters before the lost ones
    /// are removed.
    #[must_use]
    pub fn tolerating(losses: u32) -> Self {
        let losses = usize::try_from(losses.max(1)).unwrap_or(usize::MAX / 4);
        let min = 2 * losses + 1;
        Self {
            min,
            max: MAX_VOTERS.max(min + losses),
        }
    }
}

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

impl MemberView {
    /// Returns whether it is a voter that may be replaced for its silence.
    #[must_use]
    pub fn is_silent_voter(&self) -> bool {
        self.kind == members::MemberKind::Voter && self.silence >= SILENCE_BEFORE_REMOVAL
    }
}

/// Returns the next membership change that repairs the group, if one is needed. `others` holds all
/// members except the leader, which counts as a responsive voter. Hosts that ask to join are left
/// to [`admit`].
#[must_use]
pub fn next_change(others: &[MemberView], bounds: VoterBounds) -> Option<members::MemberChange> {
    let is_voter = |view: &&MemberView| view.kind == members::MemberKind::Voter;
    let voters = others.iter().filter(is_voter).count() + 1;
    let silent_voters = others.iter().filter(|view| view.is_silent_voter());
    let silent = silent_voters.clone().max_by_key(|view| view.silence);
    // A whole data centre may be silent and come back with its disks, so an odd group shrinks only
    // while more voters respond than its quorum needs.
    let silent_count = silent_voters.count();
    let spares = (voters - silent_count).saturating_sub(voters / 2 + 1);
    let shrinks_quorum = voters.is_multiple_of(2) || silent_count > 1 && spares > 0;
    if let Some(view) = silent.filter(|_| voters > bounds.min && shrinks_quorum) {
        return Some(members::MemberChange::Remove(view.identity));
    }
    let mut responsive = others.iter().filter(|view| {
        view.kind == members::MemberKind::Learner && view.silence < SILENCE_BEFORE_REMOVAL
    });
    let (learner, second) = (responsive.next(), responsive.next());
    let improves_tolerance =
        voters < bounds.min || voters.is_multiple_of(2) || second.is_some() || silent.is_some();
    if let Some(view) = learner.filter(|_| improves_tolerance && voters < bounds.max) {
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
