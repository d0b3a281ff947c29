//! The membership change that follows from a request. A host joins as a learner and becomes a voter
//! once it has caught up. A host that lost its disk is first removed under its old store id.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use waxwing_core::ids;
use waxwing_quorum::{errors as quorum_errors, members, node, ready};

use crate::{commands, errors, log, machine, options};

/// Time between attempts to promote a learner to voter.
pub(crate) const PROMOTION_INTERVAL: Duration = Duration::from_millis(500);

/// Time without contact after which a host with another data folder may replace a member of the
/// same name. Until then the replacement is turned away, so that a second process started under the
/// same name by mistake can't take over.
const REPLACEMENT_SILENCE: Duration = Duration::from_secs(3);

/// Why a request led to no proposal.
#[derive(Debug)]
pub(crate) enum NoProposal {
    /// The request has a result without an entry in the log.
    Completed(Box<commands::ResultKind>),
    /// The request may be retried, on this host or another.
    Failed(errors::SubmitError),
}

impl From<errors::SubmitError> for NoProposal {
    fn from(error: errors::SubmitError) -> Self {
        Self::Failed(error)
    }
}

impl NoProposal {
    /// Converts the node's error to the result of a request.
    pub(crate) fn from_change_error(
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
        Self::Completed(Box::new(refused))
    }
}

/// The next step of a membership request.
#[derive(Debug)]
pub(crate) struct MemberStep {
    /// A command to propose before the change.
    pub(crate) action: Option<commands::LogAction>,
    /// The membership change to propose.
    pub(crate) change: members::MemberChange,
    /// Whether the request must be retried to take its next step.
    pub(crate) retry_required: bool,
}

/// Decides on membership requests. The configured peers may join without an operator.
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

    /// Looks up the name of a member among this host, its peers and the hosts in the replicated
    /// state.
    pub(crate) fn name_of(
        &self,
        member: ids::MemberId,
        member_infos: &BTreeMap<String, commands::MemberInfo>,
    ) -> Option<String> {
        let own = std::iter::once(&self.own);
        let mut names = own.chain(&self.peers).chain(member_infos.keys());
        names.find(|name| log::member_id(name) == member).cloned()
    }

    /// Returns a change that promotes a learner among the configured peers, if this node leads.
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

    /// Returns the next step of a request, or why there is none.
    pub(crate) fn decide(
        &self,
        node: &node::QuorumNode,
        machine: &machine::StateMachine,
        now: Duration,
        request: &commands::MemberRequest,
    ) -> Result<MemberStep, NoProposal> {
        if node.status().role != ready::NodeRole::Leader {
            let leader = node.status().leader;
            let leader = leader.and_then(|leader| self.name_of(leader.member, machine.members()));
            return Err(errors::SubmitError::NotLeader { leader }.into());
        }
        let refuse = |detail: &str| NoProposal::refused(request, detail);
        let info = request.info.as_ref();
        let info = info.ok_or_else(|| refuse("a request without a host"))?;
        if info.name.parse::<ids::ProcessName>().is_err() {
            return Err(refuse("a name that is not valid"));
        }
        let member_identity = node.members().find(log::member_id(&info.name));
        match request.kind() {
            commands::MemberActionKind::Join | commands::MemberActionKind::Add => {
                let is_join = request.kind() == commands::MemberActionKind::Join;
                let known = self.peers.contains(&info.name);
                if is_join && (!known || machine.is_removed(&info.name)) {
                    return Err(refuse("a host that is not a listed peer"));
                }
                Self::add_learner(node, now, request, info)
            }
            commands::MemberActionKind::Promote => {
                let member_identity =
                    member_identity.ok_or_else(|| refuse("a host that is not a member"))?;
                Ok(member_step(members::MemberChange::Promote(member_identity)))
            }
            commands::MemberActionKind::Remove => {
                let member_identity =
                    member_identity.ok_or_else(|| refuse("a host that is not a member"))?;
                let name = info.name.clone();
                let forget = commands::ForgetMember { name };
                Ok(MemberStep {
                    action: Some(commands::LogAction::Forget(forget)),
                    ..member_step(members::MemberChange::Remove(member_identity))
                })
            }
            commands::MemberActionKind::Unspecified => Err(refuse("a request without a kind")),
        }
    }

    fn add_learner(
        node: &node::QuorumNode,
        now: Duration,
        request: &commands::MemberRequest,
        info: &commands::MemberInfo,
    ) -> Result<MemberStep, NoProposal> {
        let refuse = |detail: &str| NoProposal::refused(request, detail);
        let store = ids::StoreId::from_slice(&info.store);
        let store = store.map_err(|_| refuse("a store id that is not 16 bytes"))?;
        if info.link.parse::<SocketAddr>().is_err() {
            return Err(refuse("a link address that is not `ip:port`"));
        }
        let member = log::member_id(&info.name);
        let identity = members::MemberIdentity { member, store };
        match node.members().find(member) {
            Some(existing) if existing == identity => Err(NoProposal::Completed(Box::new(
                commands::ResultKind::Done(true),
            ))),
            Some(replaced) => {
                let peers = node.peers();
                let contact = peers.iter().find(|peer| peer.identity == replaced);
                let contact = contact.and_then(|peer| peer.last_contact);
                let silent = contact
                    .is_none_or(|contact| now.saturating_sub(contact) >= REPLACEMENT_SILENCE);
                if !silent {
                    return Err(errors::SubmitError::Unavailable.into());
                }
                Ok(MemberStep {
                    retry_required: true,
                    ..member_step(members::MemberChange::Remove(replaced))
                })
            }
            None => Ok(MemberStep {
                action: Some(commands::LogAction::Describe(info.clone())),
                ..member_step(members::MemberChange::AddLearner(identity))
            }),
        }
    }
}

fn member_step(change: members::MemberChange) -> MemberStep {
    MemberStep {
        action: None,
        change,
        retry_required: false,
    }
}

/// Returns the other voter with the most complete log.
pub(crate) fn transfer_target(node: &node::QuorumNode) -> Option<ids::MemberId> {
    let peers = node.peers();
    let voters = peers
        .iter()
        .filter(|peer| node.members().is_voter(peer.identity));
    voters
        .max_by_key(|peer| peer.match_index)
        .map(|peer| peer.identity.member)
}
