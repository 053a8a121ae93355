//! Leader state, heartbeats and commit index.

use crate::leadership_transfer::Transfer;
use crate::persistence::Requirement;
use crate::progress::Progress;
use crate::quorum::{is_member, members_except, quorum_value};
use crate::{Consensus, RoleState};
use millpass_proto::{
    Duration, EntryPayload, LogEntry, LogPosition, MemberId, PeerMessage, Timestamp,
};
use std::collections::BTreeMap;

/// Grace period of a new leader for late responses, as a multiple of the duration of its election.
/// A commit takes a slow voter two delays (message and disk sync), and the grace period allows for
/// two commits.
const GRACE_ELECTION_FACTOR: u32 = 4;
/// Maximum grace period in election timeouts; equals the longest election backoff.
const MAXIMUM_GRACE_TIMEOUTS: u32 = 16;

/// State that only a leader has.
pub(crate) struct LeaderState {
    /// Progress of every other member.
    pub(crate) members: BTreeMap<MemberId, Progress>,
    /// Sequence number of the next append request.
    pub(crate) next_sequence: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_due: Timestamp,
    /// Running time of the election.
    pub(crate) elected_at: Timestamp,
    /// Running time until which late responses of a quorum are tolerated.
    pub(crate) grace_period_end: Timestamp,
    /// Index of the first entry of the leader's term.
    pub(crate) first_index_in_term: u64,
    /// Ongoing leadership transfer.
    pub(crate) transfer: Option<Transfer>,
    /// Set once `TimeoutNow` was sent in this term: another member may be elected at any time.
    pub(crate) lease_forfeited: bool,
}

impl Consensus {
    /// Becomes leader and appends an empty entry, which commits the entries of earlier terms.
    pub(crate) fn become_leader(&mut self, election_duration: Duration) {
        let state = LeaderState {
            members: BTreeMap::new(),
            next_sequence: 1,
            heartbeat_due: self.now + self.settings.heartbeat_interval,
            elected_at: self.running.now(),
            grace_period_end: self.running.now() + self.response_grace(election_duration),
            first_index_in_term: self.log.last().index + 1,
            transfer: None,
            lease_forfeited: false,
        };
        self.role = RoleState::Leader(Box::new(state));
        self.votes = None;
        self.leader = Some(self.settings.member);
        self.track_members();
        self.append_entry(EntryPayload::Noop);
        self.replicate_to_all();
    }

    fn response_grace(&self, election_duration: Duration) -> Duration {
        let maximum = self.settings.election_timeout * MAXIMUM_GRACE_TIMEOUTS;
        (election_duration * GRACE_ELECTION_FACTOR).min(maximum)
    }

    /// Appends an entry of the current term. It is written at the end of this step.
    pub(crate) fn append_entry(&mut self, payload: EntryPayload) -> LogPosition {
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

    /// Updates the tracked members to the current membership.
    fn track_members(&mut self) {
        let current = members_except(self.log.membership(), self.settings.member);
        let last_index = self.log.last().index;
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        leader.members.retain(|member, _| current.contains(member));
        for member in current {
            leader
                .members
                .entry(member)
                .or_insert_with(|| Progress::new(last_index, now));
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        if self.should_step_down() {
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

    /// Advances the commit index to what a quorum has synced. Only entries of the current term
    /// count directly; they commit all earlier ones.
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
        if index <= self.commit || index < leader.first_index_in_term {
            return;
        }
        self.commit = index;
        self.continue_membership_change();
    }

    /// Continues a membership change once its entry is committed.
    fn continue_membership_change(&mut self) {
        if self.log.membership_index() > self.commit {
            return;
        }
        if let Some(next) = crate::membership::after_joint(self.log.membership()) {
            self.append_entry(EntryPayload::Membership(next));
            self.replicate_to_all();
            return;
        }
        if !is_member(self.log.membership(), self.settings.member) {
            self.step_down_after_removal();
        }
    }

    /// Steps down after this leader was removed: sends the commit index to all members, and
    /// `TimeoutNow` to the most advanced voter.
    fn step_down_after_removal(&mut self) {
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
