//! A candidacy under way, and what is told of one that ends without a leader.

use crate::interface::{CandidacyEnd, CandidacyResponse, ConsensusOutput, EndedCandidacy};
use crate::{Consensus, RoleState};
use millpass_proto::{Duration, MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Who answered a request for votes or pre-votes, and when.
#[derive(Debug)]
pub(crate) struct Candidacy {
    begun_at: Timestamp,
    /// Members that granted what was asked for.
    pub(crate) granted: BTreeSet<MemberId>,
    /// First answer of each other member.
    responses: BTreeMap<MemberId, (bool, Duration)>,
}

/// Votes for this member in its term.
#[derive(Debug)]
pub(crate) struct Votes {
    /// When they were asked for, in running time.
    pub(crate) asked_at: Timestamp,
    pub(crate) granted: BTreeSet<MemberId>,
}

impl Candidacy {
    pub(crate) fn begun(now: Timestamp) -> Self {
        Candidacy {
            begun_at: now,
            granted: BTreeSet::new(),
            responses: BTreeMap::new(),
        }
    }

    /// Takes the answer of another member.
    pub(crate) fn answered(&mut self, now: Timestamp, from: MemberId, is_granted: bool) {
        let latency = now.since(self.begun_at);
        self.responses.entry(from).or_insert((is_granted, latency));
        if is_granted {
            self.granted.insert(from);
        }
    }

    /// Why it ends at its deadline.
    fn end_at_deadline(&self) -> CandidacyEnd {
        let is_refused = self.responses.values().any(|(is_granted, _)| !is_granted);
        match is_refused {
            true => CandidacyEnd::Refused,
            false => CandidacyEnd::TimedOut,
        }
    }
}

impl Consensus {
    /// Tells that the candidacy under way, if any, is over at its deadline.
    pub(crate) fn candidacy_expired(&mut self) {
        let (RoleState::PreCandidate(candidacy) | RoleState::Candidate(candidacy)) = &self.role
        else {
            return;
        };
        let end = candidacy.end_at_deadline();
        match self.role {
            RoleState::PreCandidate(_) => self.backoff.asked_in_vain(),
            _ => self.backoff.failed(),
        }
        self.tell_candidacy_ended(end);
    }

    /// Tells that the candidacy under way, if any, ends because another member got further.
    pub(crate) fn candidacy_outvoted(&mut self) {
        self.tell_candidacy_ended(CandidacyEnd::Superseded);
    }

    fn tell_candidacy_ended(&mut self, end: CandidacyEnd) {
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
            duration: self.now.since(candidacy.begun_at),
            responses: responses.collect(),
        };
        self.outputs.push(ConsensusOutput::CandidacyEnded(ended));
    }
}
