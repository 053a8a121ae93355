//! A leader's state, its start, its heartbeats and its commit index.

use crate::leadership_transfer::Transfer;
use crate::persistence::Requirement;
use crate::progress::Progress;
use crate::quorum::{is_member, members_except, quorum_value};
use crate::{Consensus, RoleState};
use millpass_proto::{
    Duration, EntryPayload, LogEntry, LogPosition, MemberId, PeerMessage, Timestamp,
};
use std::collections::BTreeMap;

/// For how many times the length of its election a leader may have late answers: one that took a needed
/// voter's delay must be able to commit, which takes that voter two delays (the message and its disk), and
/// to do so again. A leader whose answers stay late gives up then: the delay may be its own.
const LATENESS_ELECTIONS: u32 = 4;
/// Most election timeouts for the same, as long as the longest wait for votes.
const MAXIMUM_LATENESS_TIMEOUTS: u32 = 16;

/// What only a leader keeps.
pub(crate) struct LeaderState {
    /// Every other member.
    pub(crate) members: BTreeMap<MemberId, Progress>,
    /// Number of the next append request.
    pub(crate) next_sequence: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_due: Timestamp,
    /// When it was elected, in running time.
    pub(crate) elected_at: Timestamp,
    /// Running time up to which answers of a quorum may be late.
    pub(crate) lateness_allowed_until: Timestamp,
    /// Index of the first entry of its term.
    pub(crate) first_own_index: u64,
    /// Leadership being handed over.
    pub(crate) transfer: Option<Transfer>,
    /// Leadership was offered away in this term: another member may be elected at any time.
    pub(crate) lease_forfeited: bool,
}

impl Consensus {
    /// Starts to lead, with an empty entry that commits what earlier leaders left.
    pub(crate) fn become_leader(&mut self, election_took: Duration) {
        let state = LeaderState {
            members: BTreeMap::new(),
            next_sequence: 1,
            heartbeat_due: self.now + self.settings.heartbeat_interval,
            elected_at: self.running.now(),
            lateness_allowed_until: self.running.now() + self.allowed_lateness(election_took),
            first_own_index: self.log.last().index + 1,
            transfer: None,
            lease_forfeited: false,
        };
        self.role = RoleState::Leader(Box::new(state));
        self.votes = None;
        self.leader = Some(self.settings.member);
        self.track_members();
        self.append_own_entry(EntryPayload::Noop);
        self.replicate_to_all();
    }

    fn allowed_lateness(&self, election_took: Duration) -> Duration {
        let most = self.settings.election_timeout * MAXIMUM_LATENESS_TIMEOUTS;
        (election_took * LATENESS_ELECTIONS).min(most)
    }

    /// Adds an entry of the own term; the write goes out with this step.
    pub(crate) fn append_own_entry(&mut self, payload: EntryPayload) -> LogPosition {
        let position = LogPosition {
            term: self.hard_state.term,
            index: self.log.last().index + 1,
        };
        let changes_membership = matches!(payload, EntryPayload::Membership(_));
        self.log.append(LogEntry { position, payload });
        self.writes.entries_changed(position.index);
        if changes_membership {
            self.track_members();
        }
        position
    }

    /// Brings the tracked members in line with the membership in force.
    fn track_members(&mut self) {
        let wanted = members_except(self.log.membership(), self.settings.member);
        let last_index = self.log.last().index;
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        leader.members.retain(|member, _| wanted.contains(member));
        for member in wanted {
            leader
                .members
                .entry(member)
                .or_insert_with(|| Progress::new(last_index, now));
        }
    }

    /// Time passed for a leader.
    pub(crate) fn tick_leader(&mut self) {
        if self.gives_up_leading() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.tick_transfer();
        self.tick_stalled_disk();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if self.now < leader.heartbeat_due {
            return;
        }
        leader.heartbeat_due = self.now + self.settings.heartbeat_interval;
        let members: Vec<MemberId> = leader.members.keys().copied().collect();
        for member in members {
            self.send_heartbeat(member);
        }
    }

    /// Commits what a quorum has synced, counting only entries of the own term: one of those
    /// commits all before it.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let own = self.settings.member;
        let durable = self.writes.durable_index();
        let matched = |member| {
            if member == own {
                return durable;
            }
            let progress = leader.members.get(&member);
            progress.map_or(0, |progress| progress.match_index)
        };
        let Some(index) = quorum_value(self.log.membership(), matched) else {
            return;
        };
        let index = index.min(self.log.last().index);
        if index <= self.commit || index < leader.first_own_index {
            return;
        }
        self.commit = index;
        self.membership_may_be_committed();
    }

    /// Goes on with a membership change whose entry is committed.
    fn membership_may_be_committed(&mut self) {
        if self.log.membership_index() > self.commit {
            return;
        }
        if let Some(next) = crate::membership::after_joint(self.log.membership()) {
            self.append_own_entry(EntryPayload::Membership(next));
            self.replicate_to_all();
            return;
        }
        if !is_member(self.log.membership(), self.settings.member) {
            self.leave_leadership();
        }
    }

    /// A leader that was removed tells the others what is committed, and the most advanced voter
    /// to take over at once.
    fn leave_leadership(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let successor = self.most_advanced_voter();
        let members: Vec<MemberId> = leader.members.keys().copied().collect();
        for member in members {
            self.send_heartbeat(member);
        }
        if let Some(successor) = successor {
            self.send(successor, Requirement::Nothing, PeerMessage::TimeoutNow);
        }
        self.become_follower(self.hard_state.term, None);
    }
}
