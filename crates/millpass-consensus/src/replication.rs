//! Leader side of replication: pipelined append requests and their responses.

use crate::log::BatchLimits;
use crate::persistence::Requirement;
use crate::progress::{Mode, SentAppend};
use crate::{Consensus, RoleState};
use millpass_proto::{AppendRequest, AppendResponse, LogPosition, MemberId, PeerMessage};

impl Consensus {
    /// Sends missing entries to every member, as far as its window allows.
    pub(crate) fn replicate_to_all(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<MemberId> = leader.members.keys().copied().collect();
        for member in members {
            self.replicate_to(member);
        }
    }

    /// Sends missing entries to one member, as far as its window allows.
    pub(crate) fn replicate_to(&mut self, member: MemberId) {
        while self.send_next_append(member) {}
    }

    /// Sends one request with entries. Returns whether another may be sent immediately.
    fn send_next_append(&mut self, member: MemberId) -> bool {
        let last = self.log.last().index;
        let RoleState::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.members.get_mut(&member) else {
            return false;
        };
        let next = progress.next_index;
        let window_is_full = progress.window_is_full(self.settings.maximum_in_flight_bytes);
        match &mut progress.mode {
            Mode::Snapshot(_) => return false,
            Mode::Probe { waiting: true } => return false,
            Mode::Probe { waiting } => *waiting = true,
            Mode::Replicate if next > last || window_is_full => return false,
            Mode::Replicate => {}
        }
        let is_probe = matches!(progress.mode, Mode::Probe { .. });
        let is_unreachable =
            self.now.since(progress.last_contact_at) >= self.settings.election_timeout;
        let Some(previous) = self.log.position_at(next - 1) else {
            if !self.start_snapshot_transfer(member) {
                self.send_append(member, LogPosition::ZERO, 0);
            }
            return false;
        };
        // An unreachable member is probed without entries to save bandwidth.
        let maximum_entries = match is_probe && is_unreachable {
            true => 0,
            false => self.settings.maximum_append_entries,
        };
        self.send_append(member, previous, maximum_entries);
        !is_probe
    }

    /// Sends a heartbeat. In probe mode it carries entries and serves as the next probe.
    pub(crate) fn send_heartbeat(&mut self, member: MemberId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&member) else {
            return;
        };
        let previous = self.log.position_at(progress.next_index - 1);
        let awaits_large_request = progress.awaits_large_request(
            self.now,
            self.settings.maximum_append_bytes,
            self.settings.election_timeout,
        );
        match (&progress.mode, previous) {
            // The zero position always matches, so the lease is renewed during a snapshot transfer.
            (Mode::Snapshot(_), _) => {
                self.send_append(member, LogPosition::ZERO, 0);
                self.resend_snapshot_chunk(member);
            }
            _ if awaits_large_request => self.send_append(member, LogPosition::ZERO, 0),
            (Mode::Replicate, Some(previous)) => self.send_append(member, previous, 0),
            // If the next entries of a pipelined member were compacted, a heartbeat cannot reveal
            // lost requests: go back to probing.
            (Mode::Replicate, None) | (Mode::Probe { .. }, _) => {
                progress.mode = Mode::Probe { waiting: false };
                self.replicate_to(member);
            }
        }
    }

    fn send_append(&mut self, member: MemberId, previous: LogPosition, maximum_entries: usize) {
        let limits = BatchLimits {
            entries: maximum_entries,
            bytes: self.settings.maximum_append_bytes,
        };
        let batch = self.log.batch_from(previous.index + 1, limits);
        let is_large = batch.bytes > limits.bytes;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let sequence = leader.next_sequence;
        leader.next_sequence += 1;
        let last_index = previous.index + batch.entries.len() as u64;
        if let Some(progress) = leader.members.get_mut(&member) {
            progress.record_sent(SentAppend {
                sequence,
                sent_at: self.now,
                sent_running: self.running.now(),
                previous_index: previous.index,
                last_index,
                bytes: batch.bytes,
            });
            if is_large {
                progress.large_request_sent();
            }
            if matches!(progress.mode, Mode::Replicate) {
                progress.next_index = progress.next_index.max(last_index + 1);
            }
        }
        let request = AppendRequest {
            previous,
            entries: batch.entries,
            commit: self.commit,
            sequence,
        };
        self.send(
            member,
            Requirement::Nothing,
            PeerMessage::AppendRequest(request),
        );
    }

    /// Handles a response of the current term.
    pub(crate) fn receive_append_response(&mut self, from: MemberId, response: &AppendResponse) {
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let next_sequence = leader.next_sequence;
        let Some(progress) = leader.members.get_mut(&from) else {
            return;
        };
        let request = progress.record_response(response.sequence, now);
        match (response.accepted, request) {
            (true, request) => progress.handle_accepted(request, response.match_index),
            (false, Some(request)) => {
                progress.handle_rejected(request, response.match_index, next_sequence);
            }
            (false, None) => {}
        }
        self.record_quorum_contact();
        self.advance_commit();
        self.replicate_to(from);
        self.offer_leadership_if_caught_up(from);
    }
}
