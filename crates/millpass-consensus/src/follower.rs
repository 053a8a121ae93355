//! Follower side of replication.

use crate::Consensus;
use crate::persistence::Requirement;
use crate::quorum::is_voter;
use millpass_proto::{
    AppendRequest, AppendResponse, LogEntry, MemberId, PeerEnvelope, PeerMessage,
};

impl Consensus {
    /// Handles a message that only leaders send.
    pub(crate) fn receive_from_leader(&mut self, envelope: PeerEnvelope) {
        let from = envelope.from;
        if envelope.term < self.hard_state.term {
            self.reject_stale_leader(from, &envelope.message);
            return;
        }
        if let PeerMessage::TimeoutNow = envelope.message {
            self.receive_timeout_now(from, envelope.term);
            return;
        }
        self.become_follower(envelope.term, Some(from));
        self.votes = None;
        self.backoff.reset();
        self.leader_contact_at = Some(self.now);
        self.leader_contact_running = Some(self.running.now());
        self.reset_election_deadline();
        match envelope.message {
            PeerMessage::AppendRequest(request) => self.receive_append(from, request),
            PeerMessage::SnapshotChunk(chunk) => self.receive_snapshot_chunk(from, chunk),
            _ => {}
        }
    }

    /// Responds to a leader of an earlier term with the current term, so that it steps down.
    fn reject_stale_leader(&mut self, from: MemberId, message: &PeerMessage) {
        let sequence = match message {
            PeerMessage::AppendRequest(request) => request.sequence,
            _ => 0,
        };
        let response = AppendResponse {
            accepted: false,
            match_index: self.commit,
            sequence,
        };
        let message = PeerMessage::AppendResponse(response);
        self.send(from, Requirement::HardState, message);
    }

    /// Campaigns immediately at the leader's request. The leader waives the vote promise, so no
    /// pre-vote is needed.
    fn receive_timeout_now(&mut self, from: MemberId, term: u64) {
        let from_leader =
            term == self.hard_state.term && self.leader.is_none_or(|leader| leader == from);
        if from_leader && is_voter(self.log.membership(), self.settings.member) {
            self.campaign(true);
        }
    }

    fn receive_append(&mut self, from: MemberId, request: AppendRequest) {
        if !self.matches_at(&request) {
            self.reject_append(from, &request);
            return;
        }
        let has_entries = !request.entries.is_empty();
        let last_index = request.previous.index + request.entries.len() as u64;
        self.append_entries(request.entries);
        self.verified = self.verified.max(last_index);
        self.commit = self.commit.max(request.commit.min(self.verified));
        let response = AppendResponse {
            accepted: true,
            match_index: self.verified,
            sequence: request.sequence,
        };
        // Heartbeats are acknowledged immediately with what is synced; entries once they are synced.
        let requirement = if has_entries {
            Requirement::Log
        } else {
            Requirement::HardState
        };
        self.send(from, requirement, PeerMessage::AppendResponse(response));
    }

    /// Returns whether the log matches the leader's up to the request's previous position. Committed
    /// entries match the log of every later leader, even if compacted here.
    fn matches_at(&self, request: &AppendRequest) -> bool {
        request.previous.index <= self.commit || self.log.contains(request.previous)
    }

    fn reject_append(&mut self, from: MemberId, request: &AppendRequest) {
        let last = self.log.last().index;
        let hint = if request.previous.index > last {
            last
        } else {
            self.log.first_index_of_term_at(request.previous.index) - 1
        };
        let response = AppendResponse {
            accepted: false,
            match_index: hint.max(self.commit),
            sequence: request.sequence,
        };
        let message = PeerMessage::AppendResponse(response);
        self.send(from, Requirement::HardState, message);
    }

    /// Appends missing entries, truncating the log at the first conflict.
    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let index = entry.position.index;
            if index <= self.commit || self.log.contains(entry.position) {
                continue;
            }
            if index <= self.log.last().index {
                self.log.truncate_from(index);
                self.writes.log_truncated(index);
            }
            self.log.append(entry);
            self.writes.entries_changed(index);
        }
    }
}
