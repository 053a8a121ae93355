//! Elections: timeouts, pre-votes and votes.

use crate::candidacy::{Candidacy, Votes};
use crate::persistence::Requirement;
use crate::quorum::{has_quorum, is_voter, members_except};
use crate::{Consensus, RoleState};
use millpass_proto::{MemberId, PeerEnvelope, PeerMessage, VoteRequest, VoteResponse};
use rand::RngExt;
use std::collections::BTreeSet;

impl Consensus {
    /// Draws the next wait for a leader or for votes, between the shortest and twice that.
    pub(crate) fn reset_election_deadline(&mut self) {
        let shortest = self.backoff.shortest_wait(self.settings.election_timeout);
        let shortest_micros = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.random.random_range(0..=shortest_micros);
        let wait = shortest + millpass_proto::Duration::from_micros(jitter);
        self.election_deadline = self.running.now() + wait;
    }

    /// Time passed for a member that does not lead.
    pub(crate) fn tick_election(&mut self) {
        if self.running.now() < self.election_deadline {
            return;
        }
        self.candidacy_expired();
        self.reset_election_deadline();
        self.leader = None;
        self.role = RoleState::Follower;
        let may_stand = is_voter(self.log.membership(), self.settings.member);
        if may_stand && !self.must_refuse_votes() {
            self.start_pre_vote();
        }
    }

    fn start_pre_vote(&mut self) {
        let own = self.settings.member;
        let mut candidacy = Candidacy::begun(self.now);
        candidacy.granted.insert(own);
        self.role = RoleState::PreCandidate(candidacy);
        let request = PeerMessage::PreVoteRequest(self.vote_request(false));
        let term = self.hard_state.term + 1;
        for member in members_except(self.log.membership(), own) {
            self.send_in_term(member, Requirement::Nothing, term, request.clone());
        }
        self.campaign_if_pre_elected();
    }

    fn vote_request(&self, leadership_transfer: bool) -> VoteRequest {
        VoteRequest {
            last: self.log.last(),
            leadership_transfer,
        }
    }

    /// A member would vote for this one in `term`.
    pub(crate) fn receive_pre_vote(&mut self, from: MemberId, term: u64) {
        if term != self.hard_state.term + 1 {
            return;
        }
        if let RoleState::PreCandidate(candidacy) = &mut self.role {
            candidacy.answered(self.now, from, true);
            self.campaign_if_pre_elected();
        }
    }

    /// A member would not vote for this one.
    pub(crate) fn receive_pre_vote_refusal(&mut self, from: MemberId) {
        if let RoleState::PreCandidate(candidacy) = &mut self.role {
            candidacy.answered(self.now, from, false);
        }
    }

    fn campaign_if_pre_elected(&mut self) {
        let RoleState::PreCandidate(candidacy) = &self.role else {
            return;
        };
        let granted = &candidacy.granted;
        if has_quorum(self.log.membership(), |member| granted.contains(&member)) {
            self.campaign(false);
        }
    }

    /// Starts an election in the next term. The requests leave once term and own vote are synced.
    pub(crate) fn campaign(&mut self, leadership_transfer: bool) {
        let own = self.settings.member;
        self.enter_term(self.hard_state.term + 1);
        self.hard_state.voted_for = Some(own);
        self.role = RoleState::Candidate(Candidacy::begun(self.now));
        self.votes = Some(Votes {
            asked_at: self.running.now(),
            granted: BTreeSet::new(),
        });
        self.leader = None;
        self.reset_election_deadline();
        let request = PeerMessage::VoteRequest(self.vote_request(leadership_transfer));
        for member in members_except(self.log.membership(), own) {
            self.send(member, Requirement::HardState, request.clone());
        }
    }

    /// Counts this member's own vote, once it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        if !self.writes.hard_state_is_durable() {
            return;
        }
        self.take_vote(self.settings.member);
    }

    /// Takes another member's answer to the request for its vote in this term.
    pub(crate) fn receive_vote(&mut self, from: MemberId, is_granted: bool) {
        if let RoleState::Candidate(candidacy) = &mut self.role {
            candidacy.answered(self.now, from, is_granted);
        }
        if is_granted {
            self.take_vote(from);
        }
    }

    /// Counts a vote of this term. It may come after the candidacy's time: a quorum of votes of a term
    /// makes its leader whenever the last one arrives, as long as the term lasts and has none yet.
    fn take_vote(&mut self, from: MemberId) {
        let Some(votes) = &mut self.votes else {
            return;
        };
        votes.granted.insert(from);
        let granted = &votes.granted;
        // The own vote joins only when synced, so a quorum without it may come first: wait.
        let own_vote_counts = granted.contains(&self.settings.member);
        let has_quorum = has_quorum(self.log.membership(), |member| granted.contains(&member));
        if own_vote_counts && has_quorum {
            let election_took = self.running.now().since(votes.asked_at);
            self.become_leader(election_took);
        }
    }

    /// Answers a request for a vote or pre-vote.
    pub(crate) fn receive_vote_request(&mut self, envelope: PeerEnvelope) {
        match envelope.message {
            PeerMessage::PreVoteRequest(request) => {
                self.answer_pre_vote(envelope.from, envelope.term, &request);
            }
            PeerMessage::VoteRequest(request) => {
                self.answer_vote(envelope.from, envelope.term, &request);
            }
            _ => {}
        }
    }

    /// A granted pre-vote carries the term of the candidacy, a refused one the own term, so that
    /// a candidate that fell behind learns it. A pre-vote is no promise and is not written.
    fn answer_pre_vote(&mut self, from: MemberId, term: u64, request: &VoteRequest) {
        let granted = !self.must_refuse_votes()
            && term > self.hard_state.term
            && request.last >= self.log.last();
        let answer_term = if granted { term } else { self.hard_state.term };
        let answer = PeerMessage::PreVoteResponse(VoteResponse { granted });
        self.send_in_term(from, Requirement::Nothing, answer_term, answer);
    }

    /// While a leader may hold a lease by this member's word, a request is not even read: its
    /// term would depose the leader. Only a transfer at the leader's own wish passes.
    fn answer_vote(&mut self, from: MemberId, term: u64, request: &VoteRequest) {
        if self.must_refuse_votes() && !request.leadership_transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let in_term = term == self.hard_state.term;
        let vote_is_free = match self.hard_state.voted_for {
            None => true,
            Some(candidate) => candidate == from,
        };
        let granted = in_term && vote_is_free && request.last >= self.log.last();
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.writes.hard_state_changed();
            self.reset_election_deadline();
        }
        let answer = PeerMessage::VoteResponse(VoteResponse { granted });
        self.send(from, Requirement::HardState, answer);
    }

    /// Follows, in this term or a later one.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        self.candidacy_outvoted();
        if term > self.hard_state.term {
            self.enter_term(term);
        }
        if !matches!(self.role, RoleState::Follower) {
            self.role = RoleState::Follower;
            self.reset_election_deadline();
        }
        self.leader = leader;
    }

    fn enter_term(&mut self, term: u64) {
        self.hard_state.term = term;
        self.hard_state.voted_for = None;
        self.votes = None;
        self.writes.hard_state_changed();
        self.verified = 0;
        self.incoming_snapshot = None;
    }
}
