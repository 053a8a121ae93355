//! A follower's side of replication.

use crate::Consensus;
use crate::persistence::Requirement;
use crate::quorum::is_voter;
use millpass_proto::{
    AppendRequest, AppendResponse, LogEntry, MemberId, PeerEnvelope, PeerMessage,
};

impl Consensus {
    /// Takes a message that only a leader sends.
    pub(crate) fn receive_from_leader(&mut self, envelope: PeerEnvelope) {
        let from = envelope.from;
        if envelope.term < self.hard_state.term {
            self.tell_term(from, &envelope.message);
            return;
        }
        if let PeerMessage::TimeoutNow = envelope.message {
            self.receive_timeout_now(from, envelope.term);
            return;
        }
        self.become_follower(envelope.term, Some(from));
        self.votes = None;
        self.backoff.succeeded();
        self.leader_heard_at = Some(self.now);
        self.leader_heard_running = Some(self.running.now());
        self.reset_election_deadline();
        match envelope.message {
            PeerMessage::AppendRequest(request) => self.receive_append(from, request),
            PeerMessage::SnapshotChunk(chunk) => self.receive_snapshot_chunk(from, chunk),
            _ => {}
        }
    }

    /// Answers a leader of an earlier term with the own term, so that it steps down.
    fn tell_term(&mut self, from: MemberId, message: &PeerMessage) {
        let sequence = match message {
            PeerMessage::AppendRequest(request) => request.sequence,
            _ => 0,
        };
        let answer = AppendResponse {
            accepted: false,
            match_index: self.commit,
            sequence,
        };
        let message = PeerMessage::AppendResponse(answer);
        self.send(from, Requirement::HardState, message);
    }

    /// A leader asks this member to take over at once. Its promise to that leader is void by the
    /// leader's own wish, so it stands without a pre-vote.
    fn receive_timeout_now(&mut self, from: MemberId, term: u64) {
        let from_leader =
            term == self.hard_state.term && self.leader.is_none_or(|leader| leader == from);
        if from_leader && is_voter(self.log.membership(), self.settings.member) {
            self.campaign(true);
        }
    }

    fn receive_append(&mut self, from: MemberId, request: AppendRequest) {
        if !self.matches_at(&request) {
            self.refuse_append(from, &request);
            return;
        }
        let has_entries = !request.entries.is_empty();
        let last_index = request.previous.index + request.entries.len() as u64;
        self.take_entries(request.entries);
        self.verified = self.verified.max(last_index);
        self.commit = self.commit.max(request.commit.min(self.verified));
        let answer = AppendResponse {
            accepted: true,
            match_index: self.verified,
            sequence: request.sequence,
        };
        // A heartbeat is answered at once, with what is synced by then; entries when synced.
        let requirement = if has_entries {
            Requirement::Log
        } else {
            Requirement::HardState
        };
        self.send(from, requirement, PeerMessage::AppendResponse(answer));
    }

    /// Whether the log matches the leader's up to the request's previous position. Committed
    /// entries match every later leader's log, also where they are compacted away.
    fn matches_at(&self, request: &AppendRequest) -> bool {
        request.previous.index <= self.commit || self.log.contains(request.previous)
    }

    fn refuse_append(&mut self, from: MemberId, request: &AppendRequest) {
        let last = self.log.last().index;
        let hint = if request.previous.index > last {
            last
        } else {
            self.log.first_index_of_term_at(request.previous.index) - 1
        };
        let answer = AppendResponse {
            accepted: false,
            match_index: hint.max(self.commit),
            sequence: request.sequence,
        };
        let message = PeerMessage::AppendResponse(answer);
        self.send(from, Requirement::HardState, message);
    }

    /// Adds the entries that are not held, after cutting the log where it conflicts.
    fn take_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let index = entry.position.index;
            if index <= self.commit || self.log.contains(entry.position) {
                continue;
            }
            if index <= self.log.last().index {
                self.log.truncate_from(index);
                self.writes.log_cut(index);
            }
            self.log.append(entry);
            self.writes.entries_changed(index);
        }
    }
}
