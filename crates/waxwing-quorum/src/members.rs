//! The membership of a group: identities of members, voters and learners.

use std::{collections::BTreeMap, fmt};

use prost::Message as _;
use waxwing_core::ids;

use crate::{errors, messages, units};

/// Identifies one incarnation of a member: its member id and the store id of its data folder.
/// A wiped folder gets a new store id, so a member that lost its term, vote and log doesn't
/// count as the voter that it was before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberIdentity {
    /// The member id.
    pub member: ids::MemberId,
    /// The store id of the member's data folder.
    pub store: ids::StoreId,
}

impl fmt::Display for MemberIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "member {} with store {}",
            self.member, self.store
        )
    }
}

/// Whether a member takes part in elections and commits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberKind {
    /// The member receives the log, but neither votes nor counts towards the commit quorum.
    Learner,
    /// The member votes and counts towards the commit quorum.
    Voter,
}

/// A change of a single member. Because only one member changes, every quorum of the old membership
/// overlaps with every quorum of the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a member as a learner.
    AddLearner(MemberIdentity),
    /// Promotes a learner that has caught up to voter.
    Promote(MemberIdentity),
    /// Removes a learner or a voter.
    Remove(MemberIdentity),
}

/// The voters and learners of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    members: BTreeMap<ids::MemberId, (ids::StoreId, MemberKind)>,
}

impl Membership {
    /// Creates a membership in which all members are voters, as in a new group.
    #[must_use]
    pub fn from_voters(voters: &[MemberIdentity]) -> Self {
        let entry = |voter: &MemberIdentity| (voter.member, (voter.store, MemberKind::Voter));
        Self {
            members: voters.iter().map(entry).collect(),
        }
    }

    /// Returns whether there are no members, as on a host that has not joined a group yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the identity of the member with this member id.
    #[must_use]
    pub fn find(&self, member: ids::MemberId) -> Option<MemberIdentity> {
        let (store, _) = self.members.get(&member)?;
        Some(MemberIdentity {
            member,
            store: *store,
        })
    }

    /// Returns the kind of a member, or `None` if the membership lists no member with both this
    /// member id and this store id.
    #[must_use]
    pub fn kind(&self, identity: MemberIdentity) -> Option<MemberKind> {
        let (store, kind) = self.members.get(&identity.member)?;
        (*store == identity.store).then_some(*kind)
    }

    /// Returns whether the identity is a voter.
    #[must_use]
    pub fn is_voter(&self, identity: MemberIdentity) -> bool {
        self.kind(identity) == Some(MemberKind::Voter)
    }

    /// Returns all members with their kinds, ordered by member id.
    pub fn iter(&self) -> impl Iterator<Item = (MemberIdentity, MemberKind)> + '_ {
        self.members.iter().map(|(member, (store, kind))| {
            let identity = MemberIdentity {
                member: *member,
                store: *store,
            };
            (identity, *kind)
        })
    }

    /// Returns the voters, ordered by member id.
    pub fn voters(&self) -> impl Iterator<Item = MemberIdentity> + '_ {
        self.iter()
            .filter(|(_, kind)| *kind == MemberKind::Voter)
            .map(|(identity, _)| identity)
    }

    /// Returns the number of voters in a quorum, a majority of all voters.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns a copy of the membership with a change applied.
    ///
    /// # Errors
    /// Fails if the member to add is a member already, the member to promote or remove isn't one,
    /// or the member to promote is a voter already.
    pub fn with_change(&self, change: MemberChange) -> Result<Self, errors::ChangeError> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(identity) => {
                if self.members.contains_key(&identity.member) {
                    return Err(errors::ChangeError::AlreadyMember(identity.member));
                }
                next.members
                    .insert(identity.member, (identity.store, MemberKind::Learner));
            }
            MemberChange::Promote(identity) => match self.kind(identity) {
                None => return Err(errors::ChangeError::NotMember(identity)),
                Some(MemberKind::Voter) => {
                    return Err(errors::ChangeError::AlreadyVoter(identity.member));
                }
                Some(MemberKind::Learner) => {
                    next.members
                        .insert(identity.member, (identity.store, MemberKind::Voter));
                }
            },
            MemberChange::Remove(identity) => {
                if self.kind(identity).is_none() {
                    return Err(errors::ChangeError::NotMember(identity));
                }
                next.members.remove(&identity.member);
            }
        }
        Ok(next)
    }

    /// Converts the membership to the encoding of messages, log entries and snapshots.
    #[must_use]
    pub fn to_message(&self) -> messages::MemberList {
        let record = |(identity, kind): (MemberIdentity, MemberKind)| messages::MemberRecord {
            identity: Some(identity.into()),
            voter: kind == MemberKind::Voter,
        };
        messages::MemberList {
            members: self.iter().map(record).collect(),
        }
    }

    /// Converts the encoding of messages, log entries and snapshots to a membership.
    ///
    /// # Errors
    /// Fails if an identity is missing or a store id has the wrong length.
    pub fn from_message(list: &messages::MemberList) -> Result<Self, errors::DecodeError> {
        let mut members = BTreeMap::new();
        for record in &list.members {
            let identity = record.identity.as_ref();
            let identity =
                identity.ok_or(errors::DecodeError::MissingField("a member's identity"))?;
            let identity = MemberIdentity::try_from(identity)?;
            let kind = if record.voter {
                MemberKind::Voter
            } else {
                MemberKind::Learner
            };
            members.insert(identity.member, (identity.store, kind));
        }
        Ok(Self { members })
    }

    /// Encodes the membership as the payload of a log entry.
    #[must_use]
    pub fn encode(&self) -> bytes::Bytes {
        self.to_message().encode_to_vec().into()
    }

    /// Decodes the payload of a log entry.
    ///
    /// # Errors
    /// Fails if the bytes are malformed.
    pub fn decode(payload: &[u8]) -> Result<Self, errors::DecodeError> {
        Self::from_message(&messages::MemberList::decode(payload)?)
    }
}

/// The membership at the base of the log and at every membership entry after it. A membership takes
/// effect when its entry is appended, and is reverted when that entry is truncated.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    memberships: Vec<(units::LogIndex, Membership)>,
}

impl MembershipHistory {
    pub(crate) fn with_base(index: units::LogIndex, membership: Membership) -> Self {
        Self {
            memberships: vec![(index, membership)],
        }
    }

    pub(crate) fn latest(&self) -> &Membership {
        let (_, membership) = self.memberships.last().expect("the history has a base");
        membership
    }

    pub(crate) fn latest_index(&self) -> units::LogIndex {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    pub(crate) fn at(&self, index: units::LogIndex) -> &Membership {
        let older = self
            .memberships
            .iter()
            .rev()
            .find(|(changed_at, _)| *changed_at <= index);
        older.map_or(&self.memberships[0].1, |(_, membership)| membership)
    }

    pub(crate) fn push(&mut self, index: units::LogIndex, membership: Membership) {
        self.memberships.push((index, membership));
    }

    pub(crate) fn truncate(&mut self, from: units::LogIndex) {
        let kept = self
            .memberships
            .iter()
            .take_while(|(changed_at, _)| *changed_at < from);
        let kept = kept.count().max(1);
        self.memberships.truncate(kept);
    }

    pub(crate) fn compact(&mut self, index: units::LogIndex) {
        let covered = self
            .memberships
            .iter()
            .take_while(|(changed_at, _)| *changed_at <= index);
        let dropped = covered.count().saturating_sub(1);
        self.memberships.drain(..dropped);
    }
}
