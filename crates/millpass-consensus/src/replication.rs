//! A leader's side of replication: pipelined append requests, and their answers.

use crate::persistence::Requirement;
use crate::progress::{Mode, SentAppend};
use crate::{Consensus, RoleState};
use millpass_proto::{AppendRequest, AppendResponse, LogPosition, MemberId, PeerMessage};

impl Consensus {
    /// Sends every member what it lacks, as far as its window allows.
    pub(crate) fn replicate_to_all(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<MemberId> = leader.members.keys().copied().collect();
        for member in members {
            self.replicate_to(member);
        }
    }

    /// Sends one member what it lacks, as far as its window allows.
    pub(crate) fn replicate_to(&mut self, member: MemberId) {
        while self.send_next_append(member) {}
    }

    /// Sends one request with entries. Returns whether another may follow at once.
    fn send_next_append(&mut self, member: MemberId) -> bool {
        let last = self.log.last().index;
        let RoleState::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.members.get_mut(&member) else {
            return false;
        };
        let next = progress.next_index;
        let window_is_full = progress.window_is_full();
        match &mut progress.mode {
            Mode::Snapshot(_) => return false,
            Mode::Probe { waiting: true } => return false,
            Mode::Probe { waiting } => *waiting = true,
            Mode::Replicate if next > last || window_is_full => return false,
            Mode::Replicate => {}
        }
        let is_probe = matches!(progress.mode, Mode::Probe { .. });
        let is_silent = self.now.since(progress.heard_at) >= self.settings.election_timeout;
        let Some(previous) = self.log.position_at(next - 1) else {
            if !self.start_snapshot_transfer(member) {
                self.send_append(member, LogPosition::ZERO, 0);
            }
            return false;
        };
        // A silent member is probed without entries: they would be sent in vain.
        let maximum_entries = match is_probe && is_silent {
            true => 0,
            false => self.settings.maximum_append_entries,
        };
        self.send_append(member, previous, maximum_entries);
        !is_probe
    }

    /// Sends a heartbeat. To a member being probed it carries entries, as the next probe.
    pub(crate) fn send_heartbeat(&mut self, member: MemberId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&member) else {
            return;
        };
        let previous = self.log.position_at(progress.next_index - 1);
        match (&progress.mode, previous) {
            // A position before everything always matches. It keeps the lease of a leader whose
            // member is busy with a snapshot.
            (Mode::Snapshot(_), _) => {
                self.send_append(member, LogPosition::ZERO, 0);
                self.resend_snapshot_piece(member);
            }
            (Mode::Replicate, Some(previous)) => self.send_append(member, previous, 0),
            // Also a pipelined member is probed anew when what it would be sent next is
            // compacted away: a heartbeat could not show any more that requests were lost.
            (Mode::Replicate, None) | (Mode::Probe { .. }, _) => {
                progress.mode = Mode::Probe { waiting: false };
                self.replicate_to(member);
            }
        }
    }

    fn send_append(&mut self, member: MemberId, previous: LogPosition, maximum_entries: usize) {
        let entries = self.log.entries_from(previous.index + 1, maximum_entries);
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let sequence = leader.next_sequence;
        leader.next_sequence += 1;
        let last_index = previous.index + entries.len() as u64;
        if let Some(progress) = leader.members.get_mut(&member) {
            progress.remember(SentAppend {
                sequence,
                sent_at: self.now,
                sent_running: self.running.now(),
                previous_index: previous.index,
                last_index,
            });
            if matches!(progress.mode, Mode::Replicate) {
                progress.next_index = progress.next_index.max(last_index + 1);
            }
        }
        let request = AppendRequest {
            previous,
            entries,
            commit: self.commit,
            sequence,
        };
        self.send(
            member,
            Requirement::Nothing,
            PeerMessage::AppendRequest(request),
        );
    }

    /// Takes a member's answer of this term.
    pub(crate) fn receive_append_response(&mut self, from: MemberId, response: &AppendResponse) {
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let next_sequence = leader.next_sequence;
        let Some(progress) = leader.members.get_mut(&from) else {
            return;
        };
        let request = progress.answered(response.sequence, now);
        match (response.accepted, request) {
            (true, request) => progress.accepted(request, response.match_index),
            (false, Some(request)) => {
                progress.refused(request, response.match_index, next_sequence);
            }
            (false, None) => {}
        }
        self.note_contact();
        self.advance_commit();
        self.replicate_to(from);
        self.offer_leadership_if_caught_up(from);
    }
}
