//! Which change of the members follows from a request: a host joins as a learner, votes once it
//! has caught up, and a host that lost its disk is removed under its former store id first.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use waxwing_core::ids;
use waxwing_quorum::{errors as quorum_errors, members, node, ready};

use crate::{commands, errors, log, machine, options};

/// Time between attempts to make a learner a voter.
pub(crate) const PROMOTION_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a member must be silent before another data folder may take its name; a second
/// process that was started under the same name by mistake is refused.
const SILENCE_BEFORE_REPLACEMENT: Duration = Duration::from_secs(3);

/// A `Declined` tells why a request led to no proposal.
#[derive(Debug)]
pub(crate) enum Declined {
    /// The request has its answer already.
    Answered(Box<commands::ResultKind>),
    /// The request may be repeated, here or at another host.
    Failed(errors::SubmitError),
}

impl From<errors::SubmitError> for Declined {
    fn from(error: errors::SubmitError) -> Self {
        Self::Failed(error)
    }
}

impl Declined {
    /// Translates the node's refusal of a change.
    pub(crate) fn from_change(
        error: &quorum_errors::ChangeError,
        request: &commands::MemberRequest,
    ) -> Self {
        match error {
            quorum_errors::ChangeError::Propose(_) | quorum_errors::ChangeError::Pending => {
                Self::Failed(errors::SubmitError::Unavailable)
            }
            refused => Self::refused(request, &refused.to_string()),
        }
    }

    fn refused(request: &commands::MemberRequest, detail: &str) -> Self {
        let name = request.info.as_ref().map(|info| info.name.as_str());
        let value = commands::RefusedValue {
            path: format!("/members/{}", name.unwrap_or_default()),
            found: detail.to_owned(),
            allowed: "one change at a time, by a listed peer or an operator of root".to_owned(),
        };
        let findings = vec![value];
        let refused = commands::ResultKind::Refused(commands::ChangeRefused { findings });
        Self::Answered(Box::new(refused))
    }
}

/// A `MemberStep` is the next step of a request.
#[derive(Debug)]
pub(crate) struct MemberStep {
    /// A command that goes before the change.
    pub(crate) action: Option<commands::LogAction>,
    /// The change.
    pub(crate) change: members::MemberChange,
    /// Whether the request has to come again for its next step.
    pub(crate) again: bool,
}

/// A `MemberPolicy` knows which hosts may join without an operator.
#[derive(Debug)]
pub(crate) struct MemberPolicy {
    own: String,
    peers: Vec<String>,
}

impl MemberPolicy {
    pub(crate) fn new(host: &options::ControlOptions) -> Self {
        let peers = host.peers.iter().map(|peer| peer.name.to_string());
        Self {
            own: host.name.to_string(),
            peers: peers.collect(),
        }
    }

    /// Finds the name of a member.
    pub(crate) fn name_of(
        &self,
        member: ids::MemberId,
        described: &BTreeMap<String, commands::MemberInfo>,
    ) -> Option<String> {
        let own = std::iter::once(&self.own);
        let mut names = own.chain(&self.peers).chain(described.keys());
        names.find(|name| log::member_id(name) == member).cloned()
    }

    /// Returns the next learner that may vote, if this node leads.
    pub(crate) fn next_promotion(&self, node: &node::QuorumNode) -> Option<members::MemberChange> {
        if node.status().role != ready::NodeRole::Leader {
            return None;
        }
        let mut members = node.members().iter();
        let (identity, _) = members.find(|(identity, kind)| {
            *kind == members::MemberKind::Learner
                && self
                    .peers
                    .iter()
                    .any(|peer| log::member_id(peer) == identity.member)
        })?;
        Some(members::MemberChange::Promote(identity))
    }

    /// Decides the next step of a request.
    pub(crate) fn decide(
        &self,
        node: &node::QuorumNode,
        machine: &machine::StateMachine,
        now: Duration,
        request: &commands::MemberRequest,
    ) -> Result<MemberStep, Declined> {
        if node.status().role != ready::NodeRole::Leader {
            let leader = node.status().leader;
            let leader = leader.and_then(|leader| self.name_of(leader.member, machine.members()));
            return Err(errors::SubmitError::NotLeader { leader }.into());
        }
        let refuse = |detail: &str| Declined::refused(request, detail);
        let info = request.info.as_ref();
        let info = info.ok_or_else(|| refuse("a request without a host"))?;
        if info.name.parse::<ids::ProcessName>().is_err() {
            return Err(refuse("a name that is not valid"));
        }
        let listed = node.members().find(log::member_id(&info.name));
        match request.kind() {
            commands::MemberActionKind::Join | commands::MemberActionKind::Add => {
                let asked = request.kind() == commands::MemberActionKind::Join;
                let known = self.peers.contains(&info.name);
                if asked && (!known || machine.is_removed(&info.name)) {
                    return Err(refuse("a host that is not a listed peer"));
                }
                Self::admit(node, now, request, info)
            }
            commands::MemberActionKind::Promote => {
                let listed = listed.ok_or_else(|| refuse("a host that is not a member"))?;
                Ok(step(members::MemberChange::Promote(listed)))
            }
            commands::MemberActionKind::Remove => {
                let listed = listed.ok_or_else(|| refuse("a host that is not a member"))?;
                let name = info.name.clone();
                let forget = commands::ForgetMember { name };
                Ok(MemberStep {
                    action: Some(commands::LogAction::Forget(forget)),
                    ..step(members::MemberChange::Remove(listed))
                })
            }
            commands::MemberActionKind::Unspecified => Err(refuse("a request without a kind")),
        }
    }

    fn admit(
        node: &node::QuorumNode,
        now: Duration,
        request: &commands::MemberRequest,
        info: &commands::MemberInfo,
    ) -> Result<MemberStep, Declined> {
        let refuse = |detail: &str| Declined::refused(request, detail);
        let store = ids::StoreId::from_slice(&info.store);
        let store = store.map_err(|_| refuse("a store id that is not 16 bytes"))?;
        if info.link.parse::<SocketAddr>().is_err() {
            return Err(refuse("a link address that is not `ip:port`"));
        }
        let member = log::member_id(&info.name);
        let identity = members::MemberIdentity { member, store };
        match node.members().find(member) {
            Some(listed) if listed == identity => Err(Declined::Answered(Box::new(
                commands::ResultKind::Done(true),
            ))),
            Some(former) => {
                let peers = node.peers();
                let heard = peers.iter().find(|peer| peer.identity == former);
                let heard = heard.and_then(|peer| peer.last_contact);
                let silent = heard
                    .is_none_or(|heard| now.saturating_sub(heard) >= SILENCE_BEFORE_REPLACEMENT);
                if !silent {
                    return Err(errors::SubmitError::Unavailable.into());
                }
                Ok(MemberStep {
                    again: true,
                    ..step(members::MemberChange::Remove(former))
                })
            }
            None => Ok(MemberStep {
                action: Some(commands::LogAction::Describe(info.clone())),
                ..step(members::MemberChange::AddLearner(identity))
            }),
        }
    }
}

fn step(change: members::MemberChange) -> MemberStep {
    MemberStep {
        action: None,
        change,
        again: false,
    }
}

/// Returns the other voter that has most of the log.
pub(crate) fn successor(node: &node::QuorumNode) -> Option<ids::MemberId> {
    let peers = node.peers();
    let voters = peers
        .iter()
        .filter(|peer| node.members().is_voter(peer.identity));
    voters
        .max_by_key(|peer| peer.match_index)
        .map(|peer| peer.identity.member)
}
