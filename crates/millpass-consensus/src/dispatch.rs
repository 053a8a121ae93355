//! Dispatches inputs and messages to their handlers.

use crate::interface::{ConsensusInput, ConsensusOutput, ProposalRejection};
use crate::quorum::is_member;
use crate::{Consensus, RoleState};
use millpass_proto::codec::{MAXIMUM_ENTRY_BYTES, encoded_bytes};
use millpass_proto::{EntryPayload, PeerEnvelope, PeerMessage};

impl Consensus {
    pub(crate) fn dispatch(&mut self, input: ConsensusInput) {
        match input {
            ConsensusInput::Tick => self.tick(),
            ConsensusInput::Receive(envelope) => self.receive(envelope),
            ConsensusInput::Propose { ticket, command } => {
                self.propose(ticket, EntryPayload::Command(command));
            }
            ConsensusInput::ChangeMembership { ticket, change } => {
                self.change_membership(ticket, &change);
            }
            ConsensusInput::TransferLeadership(target) => self.transfer_leadership(target),
            ConsensusInput::Persisted { write } => self.persisted(write),
            ConsensusInput::SnapshotTaken(snapshot) => self.snapshot_taken(snapshot),
        }
    }

    fn tick(&mut self) {
        self.update_disk_progress();
        match self.role {
            RoleState::Leader(_) => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    fn propose(&mut self, ticket: u64, payload: EntryPayload) {
        let obstacle = self.proposal_obstacle();
        if let Some(reason) = obstacle.or_else(|| self.size_obstacle(&payload)) {
            self.reject(ticket, reason);
            return;
        }
        let position = self.append_entry(payload);
        self.outputs
            .push(ConsensusOutput::Appended { ticket, position });
        self.replicate_to_all();
    }

    /// Returns why proposals are currently rejected, or `None` if they are accepted.
    pub(crate) fn proposal_obstacle(&self) -> Option<ProposalRejection> {
        match &self.role {
            RoleState::Leader(leader) if leader.transfer.is_some() => {
                Some(ProposalRejection::Transferring)
            }
            RoleState::Leader(_) => None,
            _ => Some(ProposalRejection::NotLeader {
                leader: self.leader,
            }),
        }
    }

    /// Returns why an entry is too large for the log or for the uncommitted rest of it.
    fn size_obstacle(&self, payload: &EntryPayload) -> Option<ProposalRejection> {
        let bytes = encoded_bytes(payload);
        if bytes > MAXIMUM_ENTRY_BYTES {
            let maximum = MAXIMUM_ENTRY_BYTES;
            return Some(ProposalRejection::TooLarge { bytes, maximum });
        }
        let is_large = bytes > self.settings.maximum_append_bytes;
        let uncommitted = || self.log.bytes_after(self.commit);
        (is_large && uncommitted() >= self.settings.maximum_uncommitted_bytes)
            .then_some(ProposalRejection::Overloaded)
    }

    pub(crate) fn reject(&mut self, ticket: u64, reason: ProposalRejection) {
        self.outputs
            .push(ConsensusOutput::Rejected { ticket, reason });
    }

    fn persisted(&mut self, write: u64) {
        let completion = self.writes.complete(write, self.hard_state.term);
        for snapshot in completion.restored {
            self.snapshot_installed(snapshot);
        }
        self.count_own_vote();
        self.advance_commit();
    }

    /// Handles a message; messages for another group or member are ignored.
    fn receive(&mut self, envelope: PeerEnvelope) {
        let own = self.settings.member;
        let addressed = envelope.group == self.settings.group && envelope.to == own;
        if !addressed || envelope.from == own {
            return;
        }
        match &envelope.message {
            PeerMessage::PreVoteRequest(_) | PeerMessage::VoteRequest(_) => {
                self.receive_vote_request(envelope);
            }
            PeerMessage::AppendRequest(_)
            | PeerMessage::SnapshotChunk(_)
            | PeerMessage::TimeoutNow => self.receive_from_leader(envelope),
            PeerMessage::PreVoteResponse(_)
            | PeerMessage::VoteResponse(_)
            | PeerMessage::AppendResponse(_)
            | PeerMessage::SnapshotProgress(_) => self.receive_response(envelope),
        }
    }

    /// Handles a response. Responses from non-members are ignored, so that they cannot raise the term.
    fn receive_response(&mut self, envelope: PeerEnvelope) {
        if !is_member(self.log.membership(), envelope.from) {
            return;
        }
        if let PeerMessage::PreVoteResponse(response) = &envelope.message
            && response.granted
        {
            self.receive_pre_vote(envelope.from, envelope.term);
            return;
        }
        if envelope.term > self.hard_state.term {
            self.become_follower(envelope.term, None);
            return;
        }
        if envelope.term < self.hard_state.term {
            return;
        }
        match envelope.message {
            PeerMessage::PreVoteResponse(_) => self.receive_pre_vote_refusal(envelope.from),
            PeerMessage::VoteResponse(response) => {
                self.receive_vote(envelope.from, response.granted);
            }
            PeerMessage::AppendResponse(response) => {
                self.receive_append_response(envelope.from, &response);
            }
            PeerMessage::SnapshotProgress(progress) => {
                self.receive_snapshot_progress(envelope.from, &progress);
            }
            _ => {}
        }
    }
}
