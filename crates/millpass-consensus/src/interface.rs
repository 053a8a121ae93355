//! Inputs, outputs and settings of the consensus core.

use millpass_proto::{
    Command, Duration, GroupId, HardState, LogEntry, LogPosition, MemberAddress, MemberId,
    Membership, PeerEnvelope, Snapshot, SnapshotMeta,
};

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct ConsensusSettings {
    /// Group the member belongs to.
    pub group: GroupId,
    /// Identity of this member.
    pub member: MemberId,
    /// Minimum election timeout; each wait is drawn between this and twice this.
    pub election_timeout: Duration,
    /// Interval of a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of the leader lease from the sending time of an acknowledged request. Must be shorter
    /// than `election_timeout` by more than the clock drift in that time.
    pub lease_length: Duration,
    /// Running time without a completed write, while a majority has synced more than this member,
    /// after which a leader transfers leadership.
    pub stalled_disk_limit: Duration,
    /// Maximum entries per append request.
    pub maximum_append_entries: usize,
    /// Encoded bytes of entries after which no further entry is added to an append request.
    pub maximum_append_bytes: usize,
    /// Encoded bytes of entries in flight to a member after which no further request is sent to it.
    pub maximum_in_flight_bytes: usize,
    /// Encoded bytes of uncommitted entries after which proposals are rejected.
    pub maximum_uncommitted_bytes: usize,
    /// Maximum bytes per snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// Persisted state from which a member starts.
#[derive(Clone, Debug)]
pub struct RestoredLog {
    /// Term and vote.
    pub hard_state: HardState,
    /// Metadata of the newest snapshot. The initial membership is a snapshot at position zero.
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot, in order.
    pub entries: Vec<LogEntry>,
}

/// A requested membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Add a member that receives the log and does not vote.
    AddLearner(MemberAddress),
    /// Promote a caught-up learner to voter and optionally remove a voter, in one joint change.
    Promote {
        /// The learner.
        learner: MemberId,
        /// The voter it replaces.
        replaces: Option<MemberId>,
    },
    /// Remove a voter or learner.
    Remove(MemberId),
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum ConsensusInput {
    /// Passage of time; the host sends it every few milliseconds.
    Tick,
    /// A received message.
    Receive(PeerEnvelope),
    /// Append a command, if this member leads.
    Propose {
        /// Host-assigned number, echoed in the outputs.
        ticket: u64,
        /// Command.
        command: Command,
    },
    /// Change the membership, if this member leads and no change is in progress.
    ChangeMembership {
        /// Host-assigned number, echoed in the outputs.
        ticket: u64,
        /// Change.
        change: MembershipChange,
    },
    /// Transfer leadership to a voter.
    TransferLeadership(MemberId),
    /// The write with this number is synced. Writes complete in order.
    Persisted {
        /// Number from [`PersistRequest::write`].
        write: u64,
    },
    /// The host took a snapshot of the applied state. The log up to it may be compacted, and the
    /// snapshot may be sent to lagging members.
    SnapshotTaken(Snapshot),
}

/// State to write and sync, in order of `write`. The host responds with
/// [`ConsensusInput::Persisted`].
#[derive(Clone, Debug)]
pub struct PersistRequest {
    /// Number of the write; increments by one.
    pub write: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, which replaces state and log.
    pub snapshot: Option<Snapshot>,
    /// Entries to write. The log is first truncated before the index of the first one.
    pub entries: Vec<LogEntry>,
}

/// Why a proposal was not appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalRejection {
    /// This member does not lead.
    #[error("this member does not lead; send it to the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// A membership change is in progress, or the change is not applicable.
    #[error("membership change refused: {0}; retry when the current one is done")]
    MembershipRefused(String),
    /// The entry exceeds [`MAXIMUM_ENTRY_BYTES`](millpass_proto::codec::MAXIMUM_ENTRY_BYTES).
    #[error("change of {bytes} bytes as encoded exceeds {maximum}; submit a smaller one")]
    TooLarge {
        /// Encoded size of the entry.
        bytes: usize,
        /// Maximum encoded size.
        maximum: usize,
    },
    /// Too many bytes of earlier proposals are not committed.
    #[error("too many uncommitted changes; retry when they are committed")]
    Overloaded,
    /// A leadership transfer is in progress.
    #[error("leadership is being handed over; retry shortly")]
    Transferring,
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// An action for the host to execute.
#[derive(Clone, Debug)]
pub enum ConsensusOutput {
    /// Send a message; it may be lost, duplicated, delayed or reordered.
    Send(PeerEnvelope),
    /// Write and sync durable state.
    Persist(PersistRequest),
    /// Apply these committed entries in order.
    Commit(Vec<LogEntry>),
    /// Replace the state machine with this snapshot, which is already synced.
    Restore(Snapshot),
    /// A proposal was appended at this position. It is committed if the entry committed at that index
    /// has this term; if it has another term, the proposal is lost.
    Appended {
        /// Host-assigned number.
        ticket: u64,
        /// Position.
        position: LogPosition,
    },
    /// A proposal was rejected and will not be appended.
    Rejected {
        /// Host-assigned number.
        ticket: u64,
        /// Reason.
        reason: ProposalRejection,
    },
    /// Role, term or known leader has changed.
    RoleChanged(ConsensusStatus),
    /// A candidacy of this member failed; for logging.
    CandidacyEnded(EndedCandidacy),
}

/// Why a candidacy failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidacyEnd {
    /// Timed out after at least one refusal.
    Refused,
    /// Another member leads or campaigns in a later term.
    Superseded,
    /// Timed out without refusals: responses are late or lost.
    TimedOut,
}

/// A failed candidacy of this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedCandidacy {
    /// Term of this member at the end of the candidacy.
    pub term: u64,
    /// Whether it was in the pre-vote phase.
    pub is_pre_vote: bool,
    /// Reason for the failure.
    pub end: CandidacyEnd,
    /// Duration of the candidacy.
    pub duration: Duration,
    /// Responses received by then.
    pub responses: Vec<CandidacyResponse>,
}

/// A member's first response to a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidacyResponse {
    /// Member.
    pub member: MemberId,
    /// Whether it granted the vote or pre-vote.
    pub is_granted: bool,
    /// Time from the request to the response.
    pub latency: Duration,
}

/// Observed state of the group on one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusStatus {
    /// Role.
    pub role: Role,
    /// Term.
    pub term: u64,
    /// Leader of the term, if known.
    pub leader: Option<MemberId>,
    /// Commit index.
    pub commit: u64,
    /// Index of the last log entry.
    pub last: u64,
    /// Current membership.
    pub membership: Membership,
    /// Replication progress of each other member; empty unless this member leads.
    pub progress: Vec<MemberProgress>,
}

/// Replication progress of one member, as observed by its leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// Member.
    pub member: MemberId,
    /// Last index known to be synced on the member.
    pub match_index: u64,
    /// Milliseconds since its last response.
    pub since_contact_millis: u64,
}
