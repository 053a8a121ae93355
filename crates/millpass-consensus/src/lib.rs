//! Consensus core of a control group: elections with pre-vote, replication, leader lease,
//! snapshots and membership changes, as a state machine without I/O, clock or threads.
//!
//! The host calls [`Consensus::step`] with one input at a time and executes the outputs in order.
//! No output that depends on a write is emitted before the host reports that write as synced with
//! [`ConsensusInput::Persisted`].
//!
//! After a restart the host passes the restored snapshot as [`ConsensusInput::SnapshotTaken`], so
//! that a leader can send it to lagging members.

mod backoff;
mod candidacy;
mod disk_stall;
mod dispatch;
mod election;
mod follower;
pub mod interface;
mod leader;
mod leadership_transfer;
mod lease;
mod log;
mod membership;
mod persistence;
mod progress;
mod quorum;
mod replication;
mod running_time;
mod snapshot_transfer;

pub use interface::*;

use crate::backoff::Backoff;
use crate::candidacy::{Candidacy, Votes};
use crate::disk_stall::DiskProgress;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::persistence::{Requirement, WriteQueue};
use crate::running_time::RunningTime;
use crate::snapshot_transfer::IncomingSnapshot;
use millpass_proto::{HardState, MemberId, PeerEnvelope, PeerMessage, Snapshot, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// Limits of the entries kept before the snapshot position, so that slightly lagging members need no
/// snapshot.
#[derive(Clone, Copy, Debug)]
pub struct TrailingLimits {
    /// Maximum number.
    pub entries: u64,
    /// Maximum encoded bytes.
    pub bytes: usize,
}

impl Default for TrailingLimits {
    fn default() -> Self {
        TrailingLimits {
            entries: 1024,
            bytes: 8 * 1024 * 1024,
        }
    }
}

/// Role and its state.
enum RoleState {
    Follower,
    /// Collects pre-votes; the term is unchanged.
    PreCandidate(Candidacy),
    Candidate(Candidacy),
    Leader(Box<LeaderState>),
}

/// One member's consensus state.
pub struct Consensus {
    settings: ConsensusSettings,
    trailing: TrailingLimits,
    random: ChaCha8Rng,
    /// Time of the last step.
    now: Timestamp,
    running: RunningTime,
    disk: DiskProgress,
    started_at: Timestamp,
    hard_state: HardState,
    log: Log,
    writes: WriteQueue,
    /// Highest index known to be committed.
    commit: u64,
    /// Highest index emitted to the host for applying, or covered by a restored snapshot.
    emitted: u64,
    role: RoleState,
    /// Votes for this member in its current term. Kept while it collects pre-votes for the next
    /// term, so that a late vote still counts; cleared on election.
    votes: Option<Votes>,
    backoff: Backoff,
    leader: Option<MemberId>,
    /// Time of the last message from a leader. Kept across terms, because the promise not to vote is too.
    leader_contact_at: Option<Timestamp>,
    /// The same in running time.
    leader_contact_running: Option<Timestamp>,
    /// Running time at which this member starts an election.
    election_deadline: Timestamp,
    /// Last index known to match the log of this term's leader.
    verified: u64,
    incoming_snapshot: Option<IncomingSnapshot>,
    latest_snapshot: Option<Arc<Snapshot>>,
    outputs: Vec<ConsensusOutput>,
}

impl Consensus {
    /// Creates a member from its persisted state.
    pub fn new(settings: ConsensusSettings, restored: RestoredLog, now: Timestamp) -> Self {
        let covered = restored.snapshot.last.index;
        let log = Log::new(restored.snapshot, restored.entries);
        let writes = WriteQueue::new(log.last().index);
        let running = RunningTime::new(settings.heartbeat_interval);
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut consensus = Consensus {
            settings,
            trailing: TrailingLimits::default(),
            random,
            now,
            running,
            disk: DiskProgress::new(running.now()),
            started_at: now,
            hard_state: restored.hard_state,
            log,
            writes,
            commit: covered,
            emitted: covered,
            role: RoleState::Follower,
            votes: None,
            backoff: Backoff::default(),
            leader: None,
            leader_contact_at: None,
            leader_contact_running: None,
            election_deadline: running.now(),
            verified: 0,
            incoming_snapshot: None,
            latest_snapshot: None,
            outputs: Vec::new(),
        };
        consensus.reset_election_deadline();
        consensus
    }

    /// Sets which entries before the snapshot position stay in memory for lagging members.
    pub fn set_trailing_limits(&mut self, limits: TrailingLimits) {
        self.trailing = limits;
    }

    /// Processes one input and returns the actions that the host must execute, in order.
    pub fn step(&mut self, now: Timestamp, input: ConsensusInput) -> Vec<ConsensusOutput> {
        self.running.advance(now.since(self.now));
        self.now = self.now.max(now);
        let before = self.reported_status();
        self.dispatch(input);
        self.emit_committed();
        self.flush_write();
        self.flush_messages();
        if self.reported_status() != before {
            let status = self.status();
            self.outputs.push(ConsensusOutput::RoleChanged(status));
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the observed state of the group.
    pub fn status(&self) -> ConsensusStatus {
        ConsensusStatus {
            role: self.visible_role(),
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last().index,
            membership: self.log.membership().clone(),
            progress: self.member_progress(),
        }
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns whether this member is in the latest membership of the log, in any role.
    pub fn is_in_membership(&self) -> bool {
        self.log.membership().contains(self.settings.member)
    }

    /// Returns the index of the last log entry that gateways must apply, committed or not; 0 if
    /// none is known. Entries covered by a snapshot are recorded in the applied state.
    pub fn required_index(&self) -> u64 {
        self.log.required_index()
    }

    /// Returns the index of the latest membership entry in the log, committed or not.
    pub fn membership_index(&self) -> u64 {
        self.log.membership_index()
    }

    /// State whose change is reported with [`ConsensusOutput::RoleChanged`].
    fn reported_status(&self) -> (Role, u64, Option<MemberId>) {
        (self.visible_role(), self.hard_state.term, self.leader)
    }

    fn visible_role(&self) -> Role {
        match self.role {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    fn member_progress(&self) -> Vec<MemberProgress> {
        let RoleState::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let describe = |(member, progress): (&MemberId, &progress::Progress)| MemberProgress {
            member: *member,
            match_index: progress.match_index,
            since_contact_millis: self.now.since(progress.last_contact_at).as_millis() as u64,
        };
        leader.members.iter().map(describe).collect()
    }

    /// Emits committed entries that are synced locally. While a received snapshot is being written,
    /// no entry counts as synced.
    fn emit_committed(&mut self) {
        let target = self.commit.min(self.writes.durable_index());
        if target <= self.emitted {
            return;
        }
        let count = (target - self.emitted) as usize;
        let entries = self.log.entries_from(self.emitted + 1, count);
        self.emitted = target;
        self.outputs.push(ConsensusOutput::Commit(entries));
    }

    fn flush_write(&mut self) {
        if let Some(write) = self.writes.take_write(&self.hard_state, &self.log) {
            self.outputs.push(ConsensusOutput::Persist(write));
        }
    }

    fn flush_messages(&mut self) {
        for envelope in self.writes.take_messages() {
            self.outputs.push(ConsensusOutput::Send(envelope));
        }
    }

    /// Queues a message with this member's current term.
    fn send(&mut self, to: MemberId, requirement: Requirement, message: PeerMessage) {
        self.send_in_term(to, requirement, self.hard_state.term, message);
    }

    fn send_in_term(
        &mut self,
        to: MemberId,
        requirement: Requirement,
        term: u64,
        message: PeerMessage,
    ) {
        let envelope = PeerEnvelope {
            group: self.settings.group,
            from: self.settings.member,
            to,
            term,
            message,
        };
        self.writes.send(requirement, envelope);
    }
}
