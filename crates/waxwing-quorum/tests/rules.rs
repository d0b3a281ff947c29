//! Tests of single rules of the Raft state machine with hand-written messages.

use std::time::Duration;

use bytes::Bytes;
use test_case::test_case;
use waxwing_core::{ids, units as core_units};
use waxwing_quorum::{errors, members, messages, node, options, ready, units};

/// A time at which the first election timeout, at most 2 s, has expired.
const START: Duration = Duration::from_secs(3);

fn identity(member: u64) -> members::MemberIdentity {
    members::MemberIdentity {
        member: ids::MemberId(member),
        store: ids::StoreId(u128::from(member)),
    }
}

fn initial_state(voters: u64) -> ready::RecoveredState {
    let voters: Vec<_> = (1..=voters).map(identity).collect();
    let members = members::Membership::from_voters(&voters);
    ready::RecoveredState {
        snapshot: Some(ready::Snapshot::founding(members, Bytes::new())),
        ..ready::RecoveredState::default()
    }
}

fn node_with(voters: u64, options: options::NodeOptions) -> node::QuorumNode {
    node::QuorumNode::new(
        identity(1),
        options,
        initial_state(voters),
        1,
        Duration::ZERO,
    )
    .expect("the recovered state is valid")
}

fn node(voters: u64) -> node::QuorumNode {
    node_with(voters, options::NodeOptions::default())
}

fn message(
    sender: members::MemberIdentity,
    term: u64,
    body: messages::PeerBody,
) -> messages::PeerMessage {
    messages::PeerMessage {
        term,
        sender: Some(sender.into()),
        recipient: Some(identity(1).into()),
        body: Some(body),
    }
}

/// Reports all writes as persisted and returns the messages, committed entries and reads.
fn complete_writes(node: &mut node::QuorumNode) -> ready::Ready {
    let mut all = ready::Ready::default();
    for _ in 0..4 {
        let ready = node.take_ready();
        if let Some(batch) = &ready.writes {
            node.persisted(batch.sequence);
        }
        all.messages.extend(ready.messages);
        all.committed.extend(ready.committed);
        all.reads.extend(ready.reads);
        all.failed_reads.extend(ready.failed_reads);
    }
    all
}

fn granted_vote(pre_vote: bool, request_term: u64) -> messages::PeerBody {
    messages::PeerBody::VoteResponse(messages::VoteResponse {
        request_term,
        granted: true,
        pre_vote,
    })
}

/// Acknowledges entries up to `index` and heartbeats up to `round` as member 2.
fn acknowledge(node: &mut node::QuorumNode, now: Duration, index: u64, round: u64) {
    let response = messages::AppendResponse {
        round,
        index,
        ..messages::AppendResponse::default()
    };
    let term = node.status().term;
    let body = messages::PeerBody::AppendResponse(response);
    node.receive(now, ids::MemberId(2), message(identity(2), term, body))
        .expect("the response is accepted");
}

/// Creates member 1 of three and makes it the leader of term 2 with the vote of member 2.
fn elected_leader(options: options::NodeOptions) -> node::QuorumNode {
    let mut node = node_with(3, options);
    node.tick(START);
    complete_writes(&mut node);
    for pre_vote in [true, false] {
        let body = granted_vote(pre_vote, 2);
        node.receive(
            START,
            ids::MemberId(2),
            message(identity(2), 2 - u64::from(pre_vote), body),
        )
        .expect("the vote is accepted");
        complete_writes(&mut node);
    }
    assert_eq!(node.status().role, ready::NodeRole::Leader);
    node
}

/// Guards against unbounded memory growth while no quorum responds.
#[test]
fn proposals_above_the_limit_are_rejected() {
    let mut node = elected_leader(options::NodeOptions {
        max_uncommitted_bytes: core_units::ByteCount(1000),
        max_command_bytes: core_units::ByteCount(500),
        ..options::NodeOptions::default()
    });
    let command = Bytes::from(vec![1; 400]);
    let long = node.propose(vec![1; 501].into());
    assert!(matches!(long, Err(errors::ProposeError::TooLong { .. })));
    node.propose(command.clone())
        .expect("the first command fits");
    node.propose(command.clone())
        .expect("the second command fits");
    let refused = node.propose(command.clone());
    assert!(matches!(
        refused,
        Err(errors::ProposeError::Overloaded { .. })
    ));
    complete_writes(&mut node);
    acknowledge(&mut node, START, 4, 1);
    node.propose(command)
        .expect("the command fits after the commit");
}

/// Guards against an election, a vote or a commit that counts a member with another store id.
#[test]
fn responses_with_another_store_id_are_rejected() {
    let mut node = node(3);
    node.tick(START);
    complete_writes(&mut node);
    let wiped = members::MemberIdentity {
        store: ids::StoreId(99),
        ..identity(2)
    };
    let refused = node.receive(
        START,
        ids::MemberId(2),
        message(wiped, 1, granted_vote(true, 2)),
    );
    assert_eq!(refused, Err(errors::ReceiveError::UnknownSender(wiped)));
    assert_eq!(node.status().term, 1);
}

/// Guards against a wiped host that takes part under the store id that its peers still know.
#[test]
fn messages_for_another_store_id_are_rejected() {
    let mut node = node(3);
    let mut request = message(identity(2), 2, granted_vote(true, 2));
    let former = members::MemberIdentity {
        store: ids::StoreId(77),
        ..identity(1)
    };
    request.recipient = Some(former.into());
    let refused = node.receive(START, ids::MemberId(2), request.clone());
    assert!(matches!(
        refused,
        Err(errors::ReceiveError::WrongRecipient { .. })
    ));
    let spoofed = node.receive(START, ids::MemberId(3), request);
    assert!(matches!(
        spoofed,
        Err(errors::ReceiveError::SenderMismatch { .. })
    ));
}

fn vote_request(pre_vote: bool, last_term: u64, last_index: u64) -> messages::PeerBody {
    messages::PeerBody::VoteRequest(messages::VoteRequest {
        last_index,
        last_term,
        pre_vote,
        transfer: false,
    })
}

fn vote_granted(node: &mut node::QuorumNode) -> Option<bool> {
    let ready = complete_writes(node);
    ready
        .messages
        .iter()
        .find_map(|message| match &message.message.body {
            Some(messages::PeerBody::VoteResponse(response)) => Some(response.granted),
            _ => None,
        })
}

/// Guards against a voter that helps to replace a working leader, which it may have heard from
/// before a restart, and against votes for a candidate that lacks entries.
#[test_case(500, 1, 1, None; "just started")]
#[test_case(1100, 1, 1, Some(true); "after the timeout")]
#[test_case(1100, 1, 0, Some(false); "shorter log")]
#[test_case(1100, 0, 9, Some(false); "older term")]
fn vote_is_granted_only_after_the_timeout_and_to_a_complete_log(
    millis: u64,
    last_term: u64,
    last_index: u64,
    expected: Option<bool>,
) {
    let mut node = node(3);
    let now = Duration::from_millis(millis);
    let body = vote_request(false, last_term, last_index);
    node.receive(now, ids::MemberId(2), message(identity(2), 2, body))
        .expect("the request is accepted");
    assert_eq!(vote_granted(&mut node), expected);
}

/// Guards against two votes in one term, here with a restart of the voter in between.
#[test]
fn second_vote_in_a_term_is_denied() {
    let mut node = node(3);
    let now = Duration::from_millis(1100);
    let body = vote_request(false, 1, 1);
    node.receive(now, ids::MemberId(2), message(identity(2), 2, body.clone()))
        .expect("the request is accepted");
    let batch = node.take_ready().writes.expect("the vote is written");
    let hard = batch.steps.iter().rev().find_map(|step| match step {
        ready::WriteStep::HardState(hard) => Some(hard.clone()),
        _ => None,
    });
    let recovered = ready::RecoveredState {
        hard_state: hard.expect("the vote is written"),
        ..initial_state(3)
    };
    let options = options::NodeOptions::default();
    let mut node = node::QuorumNode::new(identity(1), options, recovered, 1, Duration::ZERO)
        .expect("the recovered state is valid");
    node.receive(now, ids::MemberId(3), message(identity(3), 2, body))
        .expect("the request is accepted");
    assert_eq!(vote_granted(&mut node), Some(false));
}

/// Guards against a group without a leader when a host is lost right after another was replaced:
/// the only other voter doesn't know the replacement yet, whose log is ahead.
#[test]
fn unknown_candidate_is_considered_only_with_a_longer_log() {
    let mut node = node(3);
    let now = Duration::from_millis(1100);
    let replacement = identity(9);
    let behind = vote_request(false, 1, 1);
    let refused = node.receive(now, replacement.member, message(replacement, 2, behind));
    assert_eq!(
        refused,
        Err(errors::ReceiveError::UnknownSender(replacement))
    );
    let ahead = vote_request(false, 1, 2);
    node.receive(now, replacement.member, message(replacement, 2, ahead))
        .expect("the request is accepted");
    assert_eq!(vote_granted(&mut node), Some(true));
}

/// Guards against an isolated leader that confirms reads or that doesn't step down. Its clock may
/// have stood still while another leader was elected, so a read is confirmed only by a heartbeat
/// that was sent after it, however recently a quorum acknowledged the one before.
#[test]
fn isolated_leader_confirms_no_read_and_steps_down() {
    let mut node = elected_leader(options::NodeOptions::default());
    acknowledge(&mut node, START, 2, 1);
    complete_writes(&mut node);
    node.read_index(START, units::ReadToken(1))
        .expect("the node is the leader");
    assert_eq!(complete_writes(&mut node).reads, []);
    acknowledge(&mut node, START, 2, 1);
    assert_eq!(complete_writes(&mut node).reads, []);
    acknowledge(&mut node, START, 2, 2);
    assert_eq!(complete_writes(&mut node).reads.len(), 1);
    node.read_index(START, units::ReadToken(2))
        .expect("the node is the leader");
    assert_eq!(complete_writes(&mut node).reads, []);
    node.tick(START + Duration::from_millis(1100));
    assert_eq!(
        complete_writes(&mut node).failed_reads,
        [units::ReadToken(2)]
    );
    assert_eq!(node.status().role, ready::NodeRole::Follower);
}

/// Guards against a read that is confirmed without a quorum, and a proposal that is taken, after
/// `TimeoutNow` was sent: its target may start an election at any later time.
#[test]
fn leadership_transfer_confirms_no_read_by_itself_and_takes_no_proposal() {
    let mut node = elected_leader(options::NodeOptions::default());
    acknowledge(&mut node, START, 2, 1);
    complete_writes(&mut node);
    node.transfer_leadership(START, ids::MemberId(2))
        .expect("member 2 is a voter");
    let sent = complete_writes(&mut node).messages;
    let is_timeout_now = |message: &ready::OutgoingMessage| {
        matches!(
            message.message.body,
            Some(messages::PeerBody::TimeoutNow(_))
        )
    };
    assert!(sent.iter().any(is_timeout_now));
    node.read_index(START, units::ReadToken(1))
        .expect("the node is the leader");
    assert_eq!(complete_writes(&mut node).reads, []);
    let refused = node.propose(Bytes::new());
    assert_eq!(
        refused,
        Err(errors::ProposeError::Transferring(ids::MemberId(2)))
    );
}

/// Guards against membership changes whose quorums may not overlap, and against new voters that lag
/// so far behind that a quorum can't commit.
#[test]
fn membership_changes_one_caught_up_member_at_a_time() {
    let mut node = elected_leader(options::NodeOptions::default());
    let add = members::MemberChange::AddLearner(identity(4));
    let early = node.change_members(add);
    assert_eq!(early, Err(errors::ChangeError::Pending));
    acknowledge(&mut node, START, 2, 1);
    complete_writes(&mut node);
    node.change_members(add)
        .expect("an entry of the term is committed");
    let second = node.change_members(members::MemberChange::Remove(identity(3)));
    assert_eq!(second, Err(errors::ChangeError::Pending));
    complete_writes(&mut node);
    acknowledge(&mut node, START, 3, 1);
    let promote = node.change_members(members::MemberChange::Promote(identity(4)));
    assert!(matches!(
        promote,
        Err(errors::ChangeError::NotCaughtUp { .. })
    ));
    let own = node.change_members(members::MemberChange::Remove(identity(1)));
    assert_eq!(own, Err(errors::ChangeError::RemovesLeader));
}

/// Guards against messages, writes and proposals after a failed sync.
#[test]
fn halted_node_sends_and_accepts_nothing() {
    let mut node = elected_leader(options::NodeOptions::default());
    node.read_index(START, units::ReadToken(5))
        .expect("the node is the leader");
    node.storage_failed();
    let ready = node.take_ready();
    assert!(ready.messages.is_empty() && ready.writes.is_none());
    assert_eq!(ready.failed_reads, [units::ReadToken(5)]);
    assert_eq!(
        node.propose(Bytes::new()),
        Err(errors::ProposeError::Halted)
    );
    let body = vote_request(true, 9, 9);
    let received = node.receive(START, ids::MemberId(2), message(identity(2), 9, body));
    assert_eq!(received, Err(errors::ReceiveError::Halted));
}

/// Guards against one write or message per proposal instead of one for all pending proposals.
#[test]
fn proposals_between_two_ready_calls_share_a_batch() {
    let mut node = elected_leader(options::NodeOptions::default());
    acknowledge(&mut node, START, 2, 1);
    complete_writes(&mut node);
    for _ in 0..50 {
        node.propose(Bytes::from_static(b"command"))
            .expect("the node is the leader");
    }
    let ready = node.take_ready();
    let steps = ready.writes.expect("there is a write batch").steps;
    assert!(matches!(&steps[..], [ready::WriteStep::Append(entries)] if entries.len() == 50));
    let to_second = ready
        .messages
        .iter()
        .filter(|message| message.to == ids::MemberId(2));
    assert_eq!(to_second.count(), 1);
}

/// Guards against inconsistent timeouts and those with which a lost heartbeat starts an election.
#[test_case(|options| options.heartbeat_interval = Duration::ZERO; "no pause between heartbeats")]
#[test_case(|options| options.election_timeout_max = Duration::from_millis(900); "empty range")]
#[test_case(|options| options.heartbeat_interval = Duration::from_millis(400); "slow heartbeats")]
fn unsafe_options_are_rejected(change: fn(&mut options::NodeOptions)) {
    let mut options = options::NodeOptions::default();
    assert_eq!(options.check(), Ok(()));
    change(&mut options);
    assert!(options.check().is_err());
}

fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Vec<messages::LogEntry> {
    let entry = |index| messages::LogEntry {
        index,
        term,
        kind: messages::EntryKind::Command as i32,
        payload: Bytes::from_static(b"command"),
    };
    indexes.map(entry).collect()
}

fn append(entries: Vec<messages::LogEntry>, commit: u64) -> messages::PeerBody {
    messages::PeerBody::AppendRequest(messages::AppendRequest {
        previous_index: 1,
        previous_term: 1,
        commit,
        round: 1,
        entries,
    })
}

/// Guards against committing an entry of an older term because a quorum has it: a later leader
/// without the entry could still overwrite it.
#[test]
fn entry_of_an_older_term_is_committed_only_with_one_of_the_current_term() {
    let mut recovered = initial_state(3);
    recovered.entries = entries(2..=2, 1);
    let options = options::NodeOptions::default();
    let mut node = node::QuorumNode::new(identity(1), options, recovered, 1, Duration::ZERO)
        .expect("the recovered state is valid");
    node.tick(START);
    complete_writes(&mut node);
    for pre_vote in [true, false] {
        let body = granted_vote(pre_vote, 2);
        node.receive(
            START,
            ids::MemberId(2),
            message(identity(2), 2 - u64::from(pre_vote), body),
        )
        .expect("the vote is accepted");
        complete_writes(&mut node);
    }
    acknowledge(&mut node, START, 2, 1);
    assert_eq!(node.status().commit_index, 1);
    acknowledge(&mut node, START, 3, 1);
    assert_eq!(node.status().commit_index, 3);
}

/// Guards against applying entries before they are synced: the sync of entries that a new leader
/// overwrote must not count for the entries that replace them.
#[test]
fn sync_of_overwritten_entries_does_not_cover_their_replacements() {
    let mut node = node(3);
    let old = message(identity(2), 2, append(entries(2..=5, 2), 1));
    node.receive(START, ids::MemberId(2), old)
        .expect("the request is accepted");
    let first = node.take_ready().writes.expect("the entries are written");
    let new = message(identity(3), 3, append(entries(2..=3, 3), 3));
    node.receive(START, ids::MemberId(3), new)
        .expect("the request is accepted");
    let second = node.take_ready().writes.expect("the entries are written");
    node.persisted(first.sequence);
    assert_eq!(node.take_ready().committed, []);
    node.persisted(second.sequence);
    assert_eq!(node.take_ready().committed, entries(2..=3, 3));
}

/// Guards against applying or acknowledging a snapshot that a crash could still lose.
#[test]
fn snapshot_is_installed_and_acknowledged_only_after_its_sync() {
    let mut node = node(3);
    let data = Bytes::from_static(b"state");
    let members = Some(node.members().to_message());
    for (offset, part) in [(0, data.slice(..2)), (2, data.slice(2..))] {
        let body = messages::PeerBody::SnapshotChunk(messages::SnapshotChunk {
            index: 40,
            term: 2,
            members: members.clone(),
            total: 5,
            offset,
            data: part,
            round: 1,
        });
        node.take_ready();
        node.receive(START, ids::MemberId(2), message(identity(2), 2, body))
            .expect("the chunk is accepted");
    }
    let ready = node.take_ready();
    assert!(ready.install.is_none() && ready.messages.is_empty());
    node.persisted(ready.writes.expect("the snapshot is written").sequence);
    let ready = node.take_ready();
    assert_eq!(
        ready
            .install
            .map(|snapshot| (snapshot.index, snapshot.data)),
        Some((40, data))
    );
    let installed = |message: &ready::OutgoingMessage| {
        let Some(messages::PeerBody::SnapshotResponse(response)) = &message.message.body else {
            return false;
        };
        response.installed
    };
    assert!(ready.messages.iter().any(installed));
}

/// Guards against a leader that steps down because its followers' disks are slow: the response to a
/// heartbeat doesn't wait for the sync of entries, and doesn't acknowledge them.
#[test]
fn heartbeat_response_does_not_wait_for_the_sync_of_entries() {
    let mut node = node(3);
    let acknowledged_indexes = |ready: &ready::Ready| -> Vec<u64> {
        let index = |message: &ready::OutgoingMessage| match &message.message.body {
            Some(messages::PeerBody::AppendResponse(response)) => Some(response.index),
            _ => None,
        };
        ready.messages.iter().filter_map(index).collect()
    };
    let heartbeat = messages::PeerBody::AppendRequest(messages::AppendRequest {
        previous_index: 5,
        previous_term: 2,
        round: 2,
        ..messages::AppendRequest::default()
    });
    let send = |node: &mut node::QuorumNode, body: &messages::PeerBody| {
        let message = message(identity(2), 2, body.clone());
        node.receive(START, ids::MemberId(2), message)
            .expect("the request is accepted");
    };
    send(&mut node, &append(entries(2..=5, 2), 1));
    // The new term is not synced, so no message may be sent in it.
    send(&mut node, &heartbeat);
    let first = node.take_ready();
    assert_eq!(acknowledged_indexes(&first), []);
    node.persisted(first.writes.expect("the entries are written").sequence);
    assert_eq!(acknowledged_indexes(&node.take_ready()), [5, 5]);
    let more = messages::PeerBody::AppendRequest(messages::AppendRequest {
        previous_index: 5,
        previous_term: 2,
        entries: entries(6..=7, 2),
        ..messages::AppendRequest::default()
    });
    send(&mut node, &more);
    let late = messages::PeerBody::AppendRequest(messages::AppendRequest {
        previous_index: 7,
        previous_term: 2,
        ..messages::AppendRequest::default()
    });
    send(&mut node, &late);
    let second = node.take_ready();
    assert_eq!(acknowledged_indexes(&second), [5]);
    node.persisted(second.writes.expect("the entries are written").sequence);
    assert_eq!(acknowledged_indexes(&node.take_ready()), [7]);
}

/// Guards against a read that is confirmed without a quorum: a request of an earlier term is held up
/// in a cut, and the leader of that term leads again when its rejection arrives.
#[test]
fn rejected_request_of_an_older_term_acknowledges_no_round() {
    let mut node = node(3);
    let heartbeat = |round| {
        messages::PeerBody::AppendRequest(messages::AppendRequest {
            previous_index: 1,
            previous_term: 1,
            commit: 1,
            round,
            entries: Vec::new(),
        })
    };
    let leader = identity(2);
    let current = message(leader, 4, heartbeat(3));
    node.receive(START, leader.member, current).unwrap();
    complete_writes(&mut node);
    let delayed = message(leader, 3, heartbeat(70));
    node.receive(START, leader.member, delayed).unwrap();
    let sent = complete_writes(&mut node).messages;
    let rounds: Vec<_> = sent
        .iter()
        .filter_map(|sent| match &sent.message.body {
            Some(messages::PeerBody::AppendResponse(response)) => {
                Some((sent.message.term, response.rejected, response.round))
            }
            _ => None,
        })
        .collect();
    assert_eq!(rounds, [(4, true, 0)]);
}
