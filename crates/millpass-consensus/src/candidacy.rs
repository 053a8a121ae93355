//! State of an ongoing candidacy, and the report when one fails.

use crate::interface::{CandidacyEnd, CandidacyResponse, ConsensusOutput, EndedCandidacy};
use crate::{Consensus, RoleState};
use millpass_proto::{Duration, MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Responses to a request for votes or pre-votes.
#[derive(Debug)]
pub(crate) struct Candidacy {
    started_at: Timestamp,
    /// Members that granted the vote or pre-vote.
    pub(crate) granted: BTreeSet<MemberId>,
    /// First response of each other member, with its latency.
    responses: BTreeMap<MemberId, (bool, Duration)>,
}

/// Votes for this member in its term.
#[derive(Debug)]
pub(crate) struct Votes {
    /// Running time of the vote request.
    pub(crate) requested_at: Timestamp,
    pub(crate) granted: BTreeSet<MemberId>,
}

impl Candidacy {
    pub(crate) fn new(now: Timestamp) -> Self {
        Candidacy {
            started_at: now,
            granted: BTreeSet::new(),
            responses: BTreeMap::new(),
        }
    }

    /// Records the response of another member.
    pub(crate) fn record_response(&mut self, now: Timestamp, from: MemberId, is_granted: bool) {
        let latency = now.since(self.started_at);
        self.responses.entry(from).or_insert((is_granted, latency));
        if is_granted {
            self.granted.insert(from);
        }
    }

    /// Returns why the candidacy ends at its deadline.
    fn end_at_deadline(&self) -> CandidacyEnd {
        let was_refused = self.responses.values().any(|(is_granted, _)| !is_granted);
        match was_refused {
            true => CandidacyEnd::Refused,
            false => CandidacyEnd::TimedOut,
        }
    }
}

impl Consensus {
    /// Reports that the ongoing candidacy, if any, ended at its deadline.
    pub(crate) fn candidacy_expired(&mut self) {
        let (RoleState::PreCandidate(candidacy) | RoleState::Candidate(candidacy)) = &self.role
        else {
            return;
        };
        let end = candidacy.end_at_deadline();
        match self.role {
            RoleState::PreCandidate(_) => self.backoff.pre_vote_failed(),
            _ => self.backoff.candidacy_failed(),
        }
        self.report_candidacy_end(end);
    }

    /// Reports that another member ended the ongoing candidacy, if any.
    pub(crate) fn candidacy_superseded(&mut self) {
        self.report_candidacy_end(CandidacyEnd::Superseded);
    }

    fn report_candidacy_end(&mut self, end: CandidacyEnd) {
        let (candidacy, is_pre_vote) = match &self.role {
            RoleState::PreCandidate(candidacy) => (candidacy, true),
            RoleState::Candidate(candidacy) => (candidacy, false),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        let responses = candidacy.responses.iter();
        let responses = responses.map(|(member, (is_granted, latency))| CandidacyResponse {
            member: *member,
            is_granted: *is_granted,
            latency: *latency,
        });
        let ended = EndedCandidacy {
            term: self.hard_state.term,
            is_pre_vote,
            end,
            duration: self.now.since(candidacy.started_at),
            responses: responses.collect(),
        };
        self.outputs.push(ConsensusOutput::CandidacyEnded(ended));
    }
}
