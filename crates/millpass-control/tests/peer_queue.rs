//! Message queue for a member that does not read.

use millpass_control::peer_queue::PeerQueue;
use millpass_proto::{
    AppendRequest, EntryPayload, GroupId, LinkMessage, LogEntry, LogPosition, MemberId, Membership,
    PeerEnvelope, PeerMessage, SnapshotChunk, SnapshotMeta, VoteResponse,
};

fn peer(message: PeerMessage) -> LinkMessage {
    peer_to(MemberId(2), message)
}

fn peer_to(to: MemberId, message: PeerMessage) -> LinkMessage {
    LinkMessage::Peer(PeerEnvelope {
        group: GroupId(1),
        from: MemberId(1),
        to,
        term: 3,
        message,
    })
}

fn heartbeat_to(to: MemberId, sequence: u64) -> LinkMessage {
    peer_to(
        to,
        PeerMessage::AppendRequest(AppendRequest {
            previous: LogPosition::ZERO,
            entries: Vec::new(),
            commit: 0,
            sequence,
        }),
    )
}

fn request(sequence: u64, entries: usize) -> LinkMessage {
    let entry = LogEntry {
        position: LogPosition { term: 3, index: 1 },
        payload: EntryPayload::Noop,
    };
    peer(PeerMessage::AppendRequest(AppendRequest {
        previous: LogPosition::ZERO,
        entries: vec![entry; entries],
        commit: 0,
        sequence,
    }))
}

fn vote() -> LinkMessage {
    peer(PeerMessage::VoteResponse(VoteResponse { granted: true }))
}

fn chunk(bytes: usize) -> LinkMessage {
    let membership = Membership {
        voters: Vec::new(),
        outgoing_voters: Vec::new(),
        learners: Vec::new(),
    };
    peer(PeerMessage::SnapshotChunk(SnapshotChunk {
        meta: SnapshotMeta {
            last: LogPosition::ZERO,
            membership,
        },
        offset: 0,
        data: vec![0; bytes].into(),
        last_chunk: true,
    }))
}

fn drain(queue: &mut PeerQueue) -> Vec<LinkMessage> {
    std::iter::from_fn(|| queue.pop()).collect()
}

/// After a stall, only the newest heartbeat is sent, but all votes and entries, in order.
#[test]
fn superseded_heartbeats_are_not_sent() {
    let mut queue = PeerQueue::new(100);
    let sent = [
        request(1, 0),
        vote(),
        request(2, 0),
        request(3, 1),
        request(4, 0),
        request(5, 2),
        request(6, 0),
        request(7, 0),
        vote(),
    ];
    for message in sent {
        assert!(queue.push(message));
    }
    let expected = [vote(), request(3, 1), request(5, 2), request(7, 0), vote()];
    assert_eq!(drain(&mut queue), expected);
}

#[test]
fn a_queue_that_is_read_drops_nothing() {
    let mut queue = PeerQueue::new(100);
    for sequence in 0..1_000 {
        assert!(queue.push(request(sequence, 0)));
        assert_eq!(queue.pop(), Some(request(sequence, 0)));
    }
    assert!(queue.is_empty());
}

#[test]
fn messages_and_bytes_are_bounded() {
    let mut queue = PeerQueue::new(100);
    let fit = (0..200).filter(|_| queue.push(vote())).count();
    assert_eq!(fit, 100);
    queue.clear();
    let megabyte = 1024 * 1024;
    let fit = (0..100).filter(|_| queue.push(chunk(megabyte))).count();
    assert!((8..=16).contains(&fit), "{fit} megabytes");
    assert_eq!(drain(&mut queue).len(), fit);
    assert!(
        queue.push(chunk(64 * megabyte)),
        "an empty queue accepts any message"
    );
    assert!(!queue.push(vote()));
    assert_eq!(drain(&mut queue).len(), 1);
    assert!(queue.push(vote()));
}

/// Guards against a learner that never catches up: after a disk loss, its old identity has the same
/// address, and heartbeats to one must not supersede heartbeats to the other.
#[test]
fn a_heartbeat_is_superseded_only_by_requests_to_the_same_member() {
    let mut queue = PeerQueue::new(100);
    let (learner, old_identity) = (MemberId(5), MemberId(9));
    let sent = [
        heartbeat_to(learner, 1),
        heartbeat_to(old_identity, 2),
        heartbeat_to(learner, 3),
        heartbeat_to(old_identity, 4),
    ];
    for message in &sent {
        assert!(queue.push(message.clone()));
    }
    assert_eq!(drain(&mut queue), sent[2..].to_vec());
}

/// Guards against a leader that loses its lease while a large entry is sent: heartbeats and votes
/// must not wait behind it, and entries must keep their order.
#[test]
fn heartbeats_and_votes_overtake_entries_and_snapshots() {
    let mut queue = PeerQueue::new(100);
    let member = MemberId(2);
    let sent = [
        request(1, 1),
        heartbeat_to(member, 2),
        chunk(1_000),
        vote(),
        heartbeat_to(member, 3),
        request(4, 1),
    ];
    for message in &sent {
        assert!(queue.push(message.clone()));
    }
    let overtaking: Vec<LinkMessage> = std::iter::from_fn(|| queue.pop_overtaking()).collect();
    assert_eq!(overtaking, [vote(), heartbeat_to(member, 3)]);
    assert_eq!(
        drain(&mut queue),
        [request(1, 1), chunk(1_000), request(4, 1)]
    );
}
