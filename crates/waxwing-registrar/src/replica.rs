//! A control host's replica of the deployment document, the departures of endpoints and the
//! roll-outs: what it answers to operators and endpoints, and which membership changes it proposes.
//! It has no network, disk or clock, so that tests can explore orders of failures with the code that
//! runs in production.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use waxwing_core::{ids, units as core_units};
use waxwing_quorum::{
    errors as quorum_errors, members, messages, node, options as quorum_options, ready, units,
};
use waxwing_rollout::ledger;

use crate::{departures, documents, errors, repair};

/// Time between two checks by the leader of whether the membership needs a repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a known leader after which a host asks to join. A member that only lost its leader
/// asks too, which changes nothing.
const JOIN_AFTER_LEADERLESS: Duration = Duration::from_millis(1_200);

/// Time between two join requests of a host. A leader may live for half a second only while hosts
/// crash, and a host with a new disk needs three changes of the membership to vote again.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a call: the document that is current after it, if there is any.
pub type CallOutcome = Result<Option<documents::StoredDocument>, errors::GroupError>;

/// Configuration of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaOptions {
    /// The timeouts and limits of the replicated log. The default timeouts are shorter than those
    /// of [`quorum_options::NodeOptions`], because a change must be acknowledged within seconds of
    /// the loss of a leader. Hosts are milliseconds apart, which allows this.
    pub node: quorum_options::NodeOptions,
    /// Bytes of log entries since the last snapshot at which a new one is taken; default 2 MiB.
    /// This bounds the replay at a restart and the memory that the log uses.
    pub snapshot_bytes: core_units::ByteCount,
    /// The hosts or disks that may be lost at the same time; default 1. It sets how many voters the
    /// repair of the membership keeps.
    pub tolerated_losses: u32,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            node: quorum_options::NodeOptions {
                tick_interval: Duration::from_millis(25),
                election_timeout_min: Duration::from_millis(300),
                election_timeout_max: Duration::from_millis(600),
                heartbeat_interval: Duration::from_millis(100),
                max_uncommitted_bytes: core_units::ByteCount(32 * 1024 * 1024),
                max_command_bytes: core_units::ByteCount(8 * 1024 * 1024),
                ..quorum_options::NodeOptions::default()
            },
            snapshot_bytes: core_units::ByteCount(2 * 1024 * 1024),
            tolerated_losses: 1,
        }
    }
}

/// A proposal whose entry is not committed yet. An entry that is committed at its index with
/// another term has replaced it.
struct PendingProposal<T> {
    term: units::Term,
    ticket: T,
}

/// What to do once a quorum has confirmed that this host leads.
enum PendingCall<T> {
    Read(T),
    Put(documents::StoredDocument, T),
}

impl<T> PendingCall<T> {
    fn into_ticket(self) -> T {
        match self {
            Self::Read(ticket) | Self::Put(_, ticket) => ticket,
        }
    }
}

/// A replica of the deployment document. `T` identifies a call until it is answered. All times are
/// durations since the start of the replica on a monotonic clock, read after the input arrived.
pub struct DeploymentReplica<T> {
    node: node::QuorumNode,
    register: documents::DocumentRegister,
    departures: Arc<departures::DepartureLedger>,
    rollouts: Arc<ledger::RolloutLedger>,
    snapshot_bytes: core_units::ByteCount,
    voter_bounds: repair::VoterBounds,
    proposals: BTreeMap<units::LogIndex, PendingProposal<T>>,
    calls: HashMap<u64, PendingCall<T>>,
    next_read_token: u64,
    outcomes: Vec<(T, CallOutcome)>,
    next_repair: Duration,
    next_join: Duration,
    /// When a leader was last known.
    last_leader: Duration,
    /// When this host became leader; `None` while it isn't.
    leader_since: Option<Duration>,
    /// When this leader first saw each member in the membership; cleared when this host gains or
    /// loses leadership.
    first_seen: HashMap<members::MemberIdentity, Duration>,
    /// The voters that the leader has not heard for [`repair::SILENCE_BEFORE_REMOVAL`].
    silent_voters: usize,
}

impl<T> DeploymentReplica<T> {
    /// Creates a replica from the recovered state. `seed` seeds the random election timeouts and
    /// should differ between hosts.
    ///
    /// # Errors
    /// Fails if the recovered state is invalid.
    pub fn new(
        identity: members::MemberIdentity,
        options: ReplicaOptions,
        recovered: ready::RecoveredState,
        seed: u64,
    ) -> Result<Self, errors::RegistrarError> {
        let state = match &recovered.snapshot {
            Some(snapshot) => ReplicatedState::decode(&snapshot.data)?,
            None => ReplicatedState::default(),
        };
        let node = node::QuorumNode::new(identity, options.node, recovered, seed, Duration::ZERO)?;
        Ok(Self {
            node,
            register: state.register,
            departures: Arc::new(state.departures),
            rollouts: Arc::new(state.rollouts),
            snapshot_bytes: options.snapshot_bytes,
            voter_bounds: repair::VoterBounds::tolerating(options.tolerated_losses),
            proposals: BTreeMap::new(),
            calls: HashMap::new(),
            next_read_token: 0,
            outcomes: Vec::new(),
            next_repair: Duration::ZERO,
            next_join: Duration::ZERO,
            last_leader: Duration::ZERO,
            leader_since: None,
            first_seen: HashMap::new(),
            silent_voters: 0,
        })
    }

    /// Returns the node of the replicated log.
    #[must_use]
    pub const fn node(&self) -> &node::QuorumNode {
        &self.node
    }

    /// Returns the node for its driver, which performs the writes and sends that it requests.
    pub const fn node_mut(&mut self) -> &mut node::QuorumNode {
        &mut self.node
    }

    /// Returns the document as this replica knows it, if there is any; a quorum may hold a newer one.
    #[must_use]
    pub const fn document(&self) -> Option<&documents::StoredDocument> {
        self.register.current()
    }

    /// Returns the departures of endpoints that are committed as far as this replica knows.
    #[must_use]
    pub const fn departures(&self) -> &Arc<departures::DepartureLedger> {
        &self.departures
    }

    /// Returns the roll-outs that are committed as far as this replica knows.
    #[must_use]
    pub const fn rollouts(&self) -> &Arc<ledger::RolloutLedger> {
        &self.rollouts
    }

    /// Returns whether this host is the leader.
    #[must_use]
    pub const fn leads(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Returns the number of voters that are silent; zero if this host isn't the leader.
    #[must_use]
    pub const fn silent_voters(&self) -> usize {
        self.silent_voters
    }

    /// Returns the calls that were answered since the last call, with their outcomes.
    pub fn take_outcomes(&mut self) -> Vec<(T, CallOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Advances the time to `now`. Returns whether the host should ask the others to let it join.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.node.tick(now);
        if self.node.status().leader.is_some() {
            self.last_leader = now;
        }
        if self.leader_since.is_some() && now >= self.next_repair {
            self.next_repair = now + REPAIR_INTERVAL;
            self.repair_membership(now);
        }
        // A host that knows of no group asks at once: there is no leader to wait for.
        let lacks_leader = self.node.members().is_empty()
            || now.saturating_sub(self.last_leader) >= JOIN_AFTER_LEADERLESS;
        let joins = lacks_leader && now >= self.next_join;
        if joins {
            self.next_join = now + JOIN_INTERVAL;
        }
        joins
    }

    fn repair_membership(&mut self, now: Duration) {
        let leader_since = self.leader_since.unwrap_or(now);
        let own = self.node.identity();
        let peers = self.node.peers();
        let mut views = Vec::new();
        for (identity, kind) in self.node.members().iter() {
            if identity == own {
                continue;
            }
            // Silence from before this host led, or before the member was added, doesn't count.
            let seen = (*self.first_seen.entry(identity).or_insert(now)).max(leader_since);
            let unseen = now.saturating_sub(seen);
            let heard = peers.iter().find(|peer| peer.identity == identity);
            let silence = heard
                .and_then(|peer| peer.last_contact)
                .map_or(unseen, |heard| now.saturating_sub(heard).min(unseen));
            views.push(repair::MemberView {
                identity,
                kind,
                silence,
            });
        }
        self.note_silent_voters(&views);
        if let Some(change) = repair::next_change(&views, self.voter_bounds) {
            self.propose_member_change(change);
        }
    }

    /// Counts the silent voters, and logs each change of their number: every one of them uses up a
    /// loss that the group tolerates.
    fn note_silent_voters(&mut self, others: &[repair::MemberView]) {
        let silent = others.iter().filter(|view| view.is_silent_voter()).count();
        if std::mem::replace(&mut self.silent_voters, silent) == silent {
            return;
        }
        let voters = self.node.members().voters().count();
        tracing::warn!(event = "voters-silent", silent, voters);
    }

    fn propose_member_change(&mut self, change: members::MemberChange) {
        match self.node.change_members(change) {
            Ok(proposal) => {
                tracing::info!(event = "member-change", ?change, index = proposal.index);
            }
            // The next check, or the next request of a joining host, tries it again.
            Err(error) => tracing::debug!(event = "member-change-refused", ?change, %error),
        }
    }

    /// Handles the request of a host to join the group.
    pub fn join(&mut self, joining: members::MemberIdentity) {
        if self.leader_since.is_none() {
            return;
        }
        if let Some(change) = repair::admit(self.node.members(), joining) {
            self.propose_member_change(change);
        }
    }

    /// Handles a message from another member.
    ///
    /// # Errors
    /// Fails if the message was ignored; the replica remains usable.
    pub fn receive(
        &mut self,
        now: Duration,
        from: ids::MemberId,
        payload: Bytes,
    ) -> Result<(), quorum_errors::ReceiveError> {
        let message = messages::decode(payload)?;
        self.node.receive(now, from, message)
    }

    /// Starts to store a document, unless the current one has the same or a higher version. That
    /// case needs a confirmed leader too: it is acknowledged without an entry of its own, which is
    /// safe only once the current document is known to be committed.
    pub fn put(&mut self, now: Duration, document: documents::StoredDocument, ticket: T) {
        self.confirm_leadership(now, PendingCall::Put(document, ticket));
    }

    /// Starts to read the current document, which is answered once a quorum has confirmed that it
    /// is the newest.
    pub fn read(&mut self, now: Duration, ticket: T) {
        self.confirm_leadership(now, PendingCall::Read(ticket));
    }

    /// Starts to record departures of endpoints. It is answered once they are committed; only the
    /// leader can record those that are not.
    pub fn record_departures(&mut self, list: &departures::DepartureList, ticket: T) {
        let missing = list
            .departures
            .iter()
            .any(|departure| !self.departures.covers(&departure.id, Some(departure.born)));
        if !missing {
            self.outcomes
                .push((ticket, Ok(self.register.current().cloned())));
            return;
        }
        self.propose_command("departures", list.encode_to_vec(), ticket);
    }

    /// Starts to record a change of a roll-out. It is answered once it is committed; whether it has
    /// taken effect is in [`Self::rollouts`] then.
    pub fn change_rollout(&mut self, change: &ledger::RolloutChange, ticket: T) {
        self.propose_command("rollout", change.encode_to_vec(), ticket);
    }

    /// Proposes an entry of the log; only the leader can.
    fn propose_command(&mut self, kind: &str, command: Vec<u8>, ticket: T) {
        match self.node.propose(command.into()) {
            Ok(proposal) => {
                let term = proposal.term;
                let pending = PendingProposal { term, ticket };
                self.proposals.insert(proposal.index, pending);
            }
            Err(error) => {
                tracing::info!(event = "change-failed", kind, %error);
                self.fail(ticket);
            }
        }
    }

    fn confirm_leadership(&mut self, now: Duration, call: PendingCall<T>) {
        let token = self.next_read_token;
        self.next_read_token += 1;
        match self.node.read_index(now, units::ReadToken(token)) {
            Ok(()) => {
                self.calls.insert(token, call);
            }
            Err(error) => {
                let failure = match error {
                    quorum_errors::ReadError::NotLeader { leader } => {
                        errors::GroupError::NotLeader(
                            leader.map(|leader| repair::link_address(leader.member)),
                        )
                    }
                    _ => errors::GroupError::Unavailable,
                };
                self.outcomes.push((call.into_ticket(), Err(failure)));
            }
        }
    }

    fn fail(&mut self, ticket: T) {
        let failure = Err(errors::GroupError::Unavailable);
        self.outcomes.push((ticket, failure));
    }

    /// Replaces the document by that of a snapshot from the leader.
    pub fn install(&mut self, snapshot: &ready::Snapshot) {
        match ReplicatedState::decode(&snapshot.data) {
            Ok(state) => {
                self.register = state.register;
                self.departures = Arc::new(state.departures);
                self.rollouts = Arc::new(state.rollouts);
            }
            Err(error) => {
                // Applying later entries to the older state would make this replica diverge.
                tracing::error!(%error, "cannot decode a snapshot from the leader; halting");
                self.node.storage_failed();
            }
        }
    }

    /// Applies committed entries and answers the calls that proposed them.
    pub fn apply(&mut self, entries: &[messages::LogEntry]) {
        for entry in entries {
            if entry.kind() == messages::EntryKind::Members {
                // A repair may take several steps: check for the next one at once.
                self.next_repair = Duration::ZERO;
            }
            if entry.kind() == messages::EntryKind::Command {
                self.apply_command(entry);
            }
            if let Some(pending) = self.proposals.remove(&entry.index) {
                let outcome = if pending.term == entry.term {
                    Ok(self.register.current().cloned())
                } else {
                    Err(errors::GroupError::Unavailable)
                };
                self.outcomes.push((pending.ticket, outcome));
            }
        }
        self.compact();
    }

    fn apply_command(&mut self, entry: &messages::LogEntry) {
        match departures::DepartureList::decode(&entry.payload[..]) {
            Ok(list) if list.departures.is_empty() => {}
            Ok(list) => {
                Arc::make_mut(&mut self.departures).extend(&list);
                return;
            }
            Err(error) => {
                tracing::error!(%error, index = entry.index, "cannot decode a command");
                return;
            }
        }
        match ledger::RolloutChange::decode(&entry.payload[..]) {
            Ok(change) if change.order.is_none() && change.step.is_none() => {}
            Ok(change) => {
                Arc::make_mut(&mut self.rollouts).apply(&change);
                tracing::info!(
                    event = "rollout-committed",
                    ?change,
                    revision = self.rollouts.revision(),
                    index = entry.index,
                    term = entry.term
                );
                return;
            }
            Err(error) => {
                tracing::error!(%error, index = entry.index, "cannot decode a command");
                return;
            }
        }
        match self.register.apply(&entry.payload) {
            Ok(true) => tracing::info!(
                event = "deployment-committed",
                version = self.register.version(),
                index = entry.index,
                term = entry.term
            ),
            Ok(false) => {}
            Err(error) => {
                tracing::error!(%error, index = entry.index, "cannot decode a command")
            }
        }
    }

    fn compact(&mut self) {
        let status = self.node.status();
        let document = self.register.current();
        let document_bytes = document.map_or(0, |document| document.body.len() as u64);
        if status.log_bytes < self.snapshot_bytes.0.max(document_bytes) {
            return;
        }
        let mut data = self.register.to_snapshot().to_vec();
        data.extend(self.departures.to_list().encode_to_vec());
        data.extend(self.rollouts.to_snapshot());
        if let Err(error) = self.node.compact(status.applied_index, data.into()) {
            tracing::warn!(%error, "cannot compact the log");
        }
    }

    /// Answers the calls whose reads are confirmed, and fails those in `failed`.
    pub fn answer_reads(
        &mut self,
        reads: Vec<ready::ConfirmedRead>,
        failed: Vec<units::ReadToken>,
    ) {
        for read in reads {
            let Some(call) = self.calls.remove(&read.token.0) else {
                continue;
            };
            let status = self.node.status();
            if status.applied_index < read.index {
                // The local disk lags behind the quorum, so this state is too old. The caller
                // retries.
                self.fail(call.into_ticket());
                continue;
            }
            let current = self.register.current().cloned();
            let version = self.register.version();
            match call {
                PendingCall::Read(ticket) => {
                    let term = status.term;
                    tracing::info!(event = "deployment-read", version, index = read.index, term);
                    self.outcomes.push((ticket, Ok(current)));
                }
                PendingCall::Put(document, ticket) if Some(document.version) <= version => {
                    self.outcomes.push((ticket, Ok(current)));
                }
                PendingCall::Put(document, ticket) => {
                    self.propose_command("document", document.encode_to_vec(), ticket);
                }
            }
        }
        for token in failed {
            if let Some(call) = self.calls.remove(&token.0) {
                self.fail(call.into_ticket());
            }
        }
    }

    /// Notes a change of this host's role or of the leader that it knows.
    pub fn change_role(&mut self, now: Duration, change: &ready::RoleChange) {
        let leads = change.role == ready::NodeRole::Leader;
        if leads != self.leader_since.is_some() {
            self.leader_since = leads.then_some(now);
            self.first_seen.clear();
            self.silent_voters = 0;
        }
        if !leads {
            // A later leader may still commit these entries, so the outcome is unknown.
            for (_, pending) in std::mem::take(&mut self.proposals) {
                self.fail(pending.ticket);
            }
        }
        let leader = change
            .leader
            .map(|leader| repair::link_address(leader.member));
        let status = self.node.status();
        let (last, committed) = (status.last_index, status.commit_index);
        let voters = self.node.members().voters().count();
        tracing::info!(
            event = "log-role",
            role = ?change.role,
            term = change.term,
            ?leader,
            voters,
            last,
            committed
        );
    }
}

/// The state that the log replicates, as snapshots store it. The fields of its parts have different
/// numbers, so that each can be read without the others.
#[derive(Default)]
struct ReplicatedState {
    register: documents::DocumentRegister,
    departures: departures::DepartureLedger,
    rollouts: ledger::RolloutLedger,
}

impl ReplicatedState {
    fn decode(data: &[u8]) -> Result<Self, prost::DecodeError> {
        let mut departures = departures::DepartureLedger::default();
        departures.extend(&departures::DepartureList::decode(data)?);
        Ok(Self {
            register: documents::DocumentRegister::from_snapshot(data)?,
            departures,
            rollouts: ledger::RolloutLedger::from_snapshot(data)?,
        })
    }
}

/// Returns the first snapshot of a new group with these voters and no document. Every founding
/// member stores the same one.
#[must_use]
pub fn founding_snapshot(founders: &[members::MemberIdentity]) -> ready::Snapshot {
    let voters = members::Membership::from_voters(founders);
    ready::Snapshot::founding(voters, documents::DocumentRegister::default().to_snapshot())
}
