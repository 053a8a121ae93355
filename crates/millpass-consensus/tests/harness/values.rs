//! Test values for members and commands.

use millpass_consensus::ConsensusSettings;
use millpass_proto::{
    ChangeId, Command, Duration, GroupId, HardState, LogEntry, LogPosition, MemberAddress,
    MemberId, Membership, ObjectChange, ObjectKey, ObjectKind, OperatorName, SnapshotMeta,
};
use std::hash::{DefaultHasher, Hash, Hasher};

pub const GROUP: GroupId = GroupId(7);
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
pub const LEASE_LENGTH: Duration = Duration::from_millis(70);
pub const STALLED_DISK_LIMIT: Duration = Duration::from_millis(300);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);

pub const MAXIMUM_APPEND_BYTES: usize = 4 * 1024;
pub const MAXIMUM_IN_FLIGHT_BYTES: usize = 16 * 1024;
pub const MAXIMUM_UNCOMMITTED_BYTES: usize = 64 * 1024;

/// Maximum clock drift in per mille. Limited by the lease:
/// 70 / (1 - 0.15) = 82.4 is less than 100 / (1 + 0.15) = 87.0.
pub const DRIFT_BOUND_PER_MILLE: i64 = 150;

pub fn settings(member: MemberId, seed: u64) -> ConsensusSettings {
    ConsensusSettings {
        group: GROUP,
        member,
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        lease_length: LEASE_LENGTH,
        stalled_disk_limit: STALLED_DISK_LIMIT,
        maximum_append_entries: 8,
        maximum_append_bytes: MAXIMUM_APPEND_BYTES,
        maximum_in_flight_bytes: MAXIMUM_IN_FLIGHT_BYTES,
        maximum_uncommitted_bytes: MAXIMUM_UNCOMMITTED_BYTES,
        snapshot_chunk_bytes: 64,
        seed,
    }
}

pub fn address(member: MemberId) -> MemberAddress {
    MemberAddress {
        member,
        zone: "zone".into(),
        peer_address: format!("127.0.0.1:{}", member.0),
        administration_address: String::new(),
    }
}

pub fn membership(voters: &[u64]) -> Membership {
    Membership {
        voters: voters.iter().map(|id| address(MemberId(*id))).collect(),
        outgoing_voters: Vec::new(),
        learners: Vec::new(),
    }
}

pub fn initial(voters: &[u64]) -> SnapshotMeta {
    SnapshotMeta {
        last: LogPosition::ZERO,
        membership: membership(voters),
    }
}

pub fn no_vote(term: u64) -> HardState {
    HardState {
        term,
        voted_for: None,
    }
}

pub fn command(ticket: u64) -> Command {
    Command::ChangeObject(ObjectChange {
        key: ObjectKey {
            kind: ObjectKind::Model,
            name: "model".to_owned(),
        },
        expected_version: 0,
        change_id: ChangeId(ticket.to_string()),
        operator: OperatorName("operator".to_owned()),
        at_unix_millis: 0,
        spec: None,
    })
}

/// Returns a command of at least `bytes` bytes.
pub fn sized_command(ticket: u64, bytes: usize) -> Command {
    let Command::ChangeObject(change) = command(ticket) else {
        unreachable!("commands change objects");
    };
    Command::ChangeObject(ObjectChange {
        change_id: ChangeId(format!("{}{ticket}", "0".repeat(bytes))),
        ..change
    })
}

pub fn digest(entry: &LogEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

/// Returns the digest of a state after another entry.
pub fn chain(state: u64, entry: &LogEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    (state, digest(entry)).hash(&mut hasher);
    hasher.finish()
}
