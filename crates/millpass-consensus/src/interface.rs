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
    /// Shortest election timeout; each wait is drawn between this and twice this.
    pub election_timeout: Duration,
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Length of the leader lease from the sending time of an acknowledged heartbeat. Must be
    /// shorter than `election_timeout`, by more than clocks drift in that time.
    pub lease_length: Duration,
    /// Time for which this member's disk may finish no write while a majority syncs more than it holds, before it hands
    /// leadership over, in the time in which it runs.
    pub stalled_disk_limit: Duration,
    /// Most entries in one append request.
    pub maximum_append_entries: usize,
    /// Most bytes in one piece of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// What a member's disk holds when it starts.
#[derive(Clone, Debug)]
pub struct RestoredLog {
    /// Term and vote.
    pub hard_state: HardState,
    /// What the newest snapshot covers. The initial membership is a snapshot at position zero.
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot, in order.
    pub entries: Vec<LogEntry>,
}

/// A change of members a leader is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Add a member that receives the log and does not vote.
    AddLearner(MemberAddress),
    /// Make a caught-up learner a voter, and remove a voter if given, in one joint change.
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
    /// Time passed; sent at least every few milliseconds.
    Tick,
    /// A message arrived.
    Receive(PeerEnvelope),
    /// Append a command, if this member leads.
    Propose {
        /// Host's number for it, echoed in the outputs.
        ticket: u64,
        /// Command.
        command: Command,
    },
    /// Change the members, if this member leads and no change is under way.
    ChangeMembership {
        /// Host's number for it, echoed in the outputs.
        ticket: u64,
        /// Change.
        change: MembershipChange,
    },
    /// Hand leadership to a voter.
    TransferLeadership(MemberId),
    /// The write of this number is synced. Writes complete in order.
    Persisted {
        /// Number from [`PersistRequest::write`].
        write: u64,
    },
    /// The host took a snapshot of the applied state; the log up to it may be dropped and the
    /// snapshot sent to members that lag.
    SnapshotTaken(Snapshot),
}

/// Something to write and sync, in order of `write`. The host answers with
/// [`ConsensusInput::Persisted`].
#[derive(Clone, Debug)]
pub struct PersistRequest {
    /// Number of the write; grows by one.
    pub write: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces state and log (received from the leader).
    pub snapshot: Option<Snapshot>,
    /// Entries to write; the log is first cut before the first one's index.
    pub entries: Vec<LogEntry>,
}

/// Why a proposal did not enter the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalRejection {
    /// This member does not lead.
    #[error("this member does not lead; send it to the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// A membership change is under way, or the change does not fit.
    #[error("membership change refused: {0}; retry when the current one is done")]
    MembershipRefused(String),
    /// Leadership is being handed over.
    #[error("leadership is being handed over; retry shortly")]
    Transferring,
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes (or pre-votes).
    Candidate,
    /// Leads.
    Leader,
}

/// What the host must do.
#[derive(Clone, Debug)]
pub enum ConsensusOutput {
    /// Send a message; it may be lost, doubled, late or reordered.
    Send(PeerEnvelope),
    /// Write and sync.
    Persist(PersistRequest),
    /// These entries are committed: apply them in order.
    Commit(Vec<LogEntry>),
    /// Replace the state machine by this snapshot (already synced).
    Restore(Snapshot),
    /// A proposal entered the log at this position. It is committed if the entry committed at
    /// that index carries this term; another term there means it is lost.
    Appended {
        /// Host's number.
        ticket: u64,
        /// Position.
        position: LogPosition,
    },
    /// A proposal did not enter the log and never will.
    Rejected {
        /// Host's number.
        ticket: u64,
        /// Reason.
        reason: ProposalRejection,
    },
    /// Role, term or known leader changed.
    RoleChanged(ConsensusStatus),
    /// A candidacy of this member ended and did not make it the leader; for the log.
    CandidacyEnded(EndedCandidacy),
}

/// Why a candidacy ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidacyEnd {
    /// Its time was over, and members had refused.
    Refused,
    /// Another member leads, or stands in a later term.
    Superseded,
    /// Its time was over, and no member had refused: answers are late or lost.
    TimedOut,
}

/// A candidacy that did not make this member the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedCandidacy {
    /// Term of this member when it ended.
    pub term: u64,
    /// Whether it only asked whether it would be elected.
    pub is_pre_vote: bool,
    /// Why it ended.
    pub end: CandidacyEnd,
    /// How long it lasted.
    pub duration: Duration,
    /// Who had answered by then.
    pub responses: Vec<CandidacyResponse>,
}

/// A member's first answer to a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidacyResponse {
    /// Member.
    pub member: MemberId,
    /// Whether it granted what was asked for.
    pub is_granted: bool,
    /// Time from the request to the answer.
    pub latency: Duration,
}

/// What a member believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusStatus {
    /// Role.
    pub role: Role,
    /// Term.
    pub term: u64,
    /// Leader of that term, if known.
    pub leader: Option<MemberId>,
    /// Commit index.
    pub commit: u64,
    /// Last index in the log.
    pub last: u64,
    /// Membership in force.
    pub membership: Membership,
    /// For a leader: last index known to be on each other member, and how long ago it answered
    /// in milliseconds.
    pub progress: Vec<MemberProgress>,
}

/// How far one member is, as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// Member.
    pub member: MemberId,
    /// Last index known to be synced there.
    pub match_index: u64,
    /// Milliseconds since its last answer.
    pub since_contact_millis: u64,
}
