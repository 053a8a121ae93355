//! Elections: timeouts, pre-votes and votes.

use crate::candidacy::{Candidacy, Votes};
use crate::persistence::Requirement;
use crate::quorum::{has_quorum, is_voter, members_except};
use crate::{Consensus, RoleState};
use millpass_proto::{MemberId, PeerEnvelope, PeerMessage, VoteRequest, VoteResponse};
use rand::RngExt;
use std::collections::BTreeSet;

impl Consensus {
    /// Draws the next election timeout, between the minimum and twice that.
    pub(crate) fn reset_election_deadline(&mut self) {
        let minimum = self.backoff.minimum_wait(self.settings.election_timeout);
        let minimum_micros = u64::try_from(minimum.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.random.random_range(0..=minimum_micros);
        let wait = minimum + millpass_proto::Duration::from_micros(jitter);
        self.election_deadline = self.running.now() + wait;
    }

    /// Starts a pre-vote after the election timeout.
    pub(crate) fn tick_election(&mut self) {
        if self.running.now() < self.election_deadline {
            return;
        }
        self.candidacy_expired();
        self.reset_election_deadline();
        self.leader = None;
        self.role = RoleState::Follower;
        let may_campaign = is_voter(self.log.membership(), self.settings.member);
        if may_campaign && !self.must_refuse_votes() {
            self.start_pre_vote();
        }
    }

    fn start_pre_vote(&mut self) {
        let own = self.settings.member;
        let mut candidacy = Candidacy::new(self.now);
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

    /// Handles a granted pre-vote for `term`.
    pub(crate) fn receive_pre_vote(&mut self, from: MemberId, term: u64) {
        if term != self.hard_state.term + 1 {
            return;
        }
        if let RoleState::PreCandidate(candidacy) = &mut self.role {
            candidacy.record_response(self.now, from, true);
            self.campaign_if_pre_elected();
        }
    }

    /// Handles a refused pre-vote.
    pub(crate) fn receive_pre_vote_refusal(&mut self, from: MemberId) {
        if let RoleState::PreCandidate(candidacy) = &mut self.role {
            candidacy.record_response(self.now, from, false);
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

    /// Starts an election in the next term. Vote requests are sent once the term and own vote are synced.
    pub(crate) fn campaign(&mut self, leadership_transfer: bool) {
        let own = self.settings.member;
        self.enter_term(self.hard_state.term + 1);
        self.hard_state.voted_for = Some(own);
        self.role = RoleState::Candidate(Candidacy::new(self.now));
        self.votes = Some(Votes {
            requested_at: self.running.now(),
            granted: BTreeSet::new(),
        });
        self.leader = None;
        self.reset_election_deadline();
        let request = PeerMessage::VoteRequest(self.vote_request(leadership_transfer));
        for member in members_except(self.log.membership(), own) {
            self.send(member, Requirement::HardState, request.clone());
        }
    }

    /// Counts this member's own vote if it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        if !self.writes.hard_state_is_durable() {
            return;
        }
        self.record_vote(self.settings.member);
    }

    /// Handles a response to a vote request of the current term.
    pub(crate) fn receive_vote(&mut self, from: MemberId, is_granted: bool) {
        if let RoleState::Candidate(candidacy) = &mut self.role {
            candidacy.record_response(self.now, from, is_granted);
        }
        if is_granted {
            self.record_vote(from);
        }
    }

    /// Records a vote of the current term. A quorum of votes elects this member even after the
    /// candidacy timed out, as long as the term has not changed and has no leader.
    fn record_vote(&mut self, from: MemberId) {
        let Some(votes) = &mut self.votes else {
            return;
        };
        votes.granted.insert(from);
        let granted = &votes.granted;
        // The own vote counts only once synced, so other votes may form a quorum before it.
        let own_vote_counts = granted.contains(&self.settings.member);
        let has_quorum = has_quorum(self.log.membership(), |member| granted.contains(&member));
        if own_vote_counts && has_quorum {
            let election_duration = self.running.now().since(votes.requested_at);
            self.become_leader(election_duration);
        }
    }

    /// Handles a request for a vote or pre-vote.
    pub(crate) fn receive_vote_request(&mut self, envelope: PeerEnvelope) {
        match envelope.message {
            PeerMessage::PreVoteRequest(request) => {
                self.respond_to_pre_vote(envelope.from, envelope.term, &request);
            }
            PeerMessage::VoteRequest(request) => {
                self.respond_to_vote(envelope.from, envelope.term, &request);
            }
            _ => {}
        }
    }

    /// Responds to a pre-vote request. A granted pre-vote carries the candidate's term, a refused
    /// one this member's, so that a stale candidate catches up. Pre-votes are not binding and not
    /// persisted.
    fn respond_to_pre_vote(&mut self, from: MemberId, term: u64, request: &VoteRequest) {
        let granted = !self.must_refuse_votes()
            && term > self.hard_state.term
            && request.last >= self.log.last();
        let response_term = if granted { term } else { self.hard_state.term };
        let response = PeerMessage::PreVoteResponse(VoteResponse { granted });
        self.send_in_term(from, Requirement::Nothing, response_term, response);
    }

    /// Responds to a vote request. While a leader may hold a lease based on this member's promise,
    /// requests are ignored, because their term would depose the leader; leadership transfers are
    /// exempt.
    fn respond_to_vote(&mut self, from: MemberId, term: u64, request: &VoteRequest) {
        if self.must_refuse_votes() && !request.leadership_transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let in_term = term == self.hard_state.term;
        let may_vote = match self.hard_state.voted_for {
            None => true,
            Some(candidate) => candidate == from,
        };
        let granted = in_term && may_vote && request.last >= self.log.last();
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.writes.hard_state_changed();
            self.reset_election_deadline();
        }
        let response = PeerMessage::VoteResponse(VoteResponse { granted });
        self.send(from, Requirement::HardState, response);
    }

    /// Becomes a follower in the current or a later term.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        self.candidacy_superseded();
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
