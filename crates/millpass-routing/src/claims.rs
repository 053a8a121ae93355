//! Claims of requests that run at most once: the table, its deadlines and resends.
//!
//! A claim outlives its request: it stays until its end is committed, or until the answer shows
//! that this run never held it. Each message is sent again until it is answered, always with the
//! same attempt number, so that the control group can tell a resend from a second attempt.

use crate::interface::{Executed, RequestNumber, RoutingOutput};
use millpass_proto::{ClaimBegin, ClaimConclusion, ClaimFinish, Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Most claims not ended.
pub(crate) const MAXIMUM_CLAIMS: usize = 16_384;
/// Time after which an unanswered message is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// How far a claim is.
#[derive(Clone, Debug)]
enum ClaimPhase {
    /// Asked for; the request waits for the answer.
    Asked,
    /// Asked for, but the request is given up: if it is granted, it ends as not run.
    Abandoned,
    /// Granted; the request may be dispatched.
    Granted,
    /// Its end is sent and not committed yet.
    Finishing(ClaimConclusion),
}

/// One claim.
#[derive(Clone, Debug)]
struct Claim {
    begin: ClaimBegin,
    phase: ClaimPhase,
    asked: Timestamp,
    due: Option<Timestamp>,
}

/// What a grant means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    /// It may be dispatched.
    Dispatch,
    /// It was given up before; the claim now ends as not run.
    ReleaseClaim,
    /// Nothing: a repeated or unknown answer.
    Ignore,
}

/// All claims that are not ended.
#[derive(Debug)]
pub(crate) struct Claims {
    timeout: Duration,
    claims: BTreeMap<RequestNumber, Claim>,
    due: BTreeSet<(Timestamp, RequestNumber)>,
}

impl Claims {
    /// No claims; requests wait this long for the answer to theirs.
    pub fn new(timeout: Duration) -> Self {
        Claims {
            timeout,
            claims: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is room for one more.
    pub fn has_room(&self) -> bool {
        self.claims.len() < MAXIMUM_CLAIMS
    }

    /// Starts a claim; returns the message to send.
    pub fn begin(
        &mut self,
        number: RequestNumber,
        begin: ClaimBegin,
        now: Timestamp,
    ) -> RoutingOutput {
        let claim = Claim {
            begin: begin.clone(),
            phase: ClaimPhase::Asked,
            asked: now,
            due: None,
        };
        self.claims.insert(number, claim);
        self.set_due(number, Some(now + RESEND_INTERVAL.min(self.timeout)));
        RoutingOutput::SendClaim(begin)
    }

    /// The claim was granted.
    pub fn granted(&mut self, number: RequestNumber) -> GrantOutcome {
        let Some(claim) = self.claims.get_mut(&number) else {
            return GrantOutcome::Ignore;
        };
        match claim.phase {
            ClaimPhase::Asked => {
                claim.phase = ClaimPhase::Granted;
                self.set_due(number, None);
                GrantOutcome::Dispatch
            }
            ClaimPhase::Abandoned => GrantOutcome::ReleaseClaim,
            ClaimPhase::Granted | ClaimPhase::Finishing(_) => GrantOutcome::Ignore,
        }
    }

    /// The claim was not granted: nothing is held. True if the request still waited for it.
    pub fn denied(&mut self, number: RequestNumber) -> bool {
        let Some(claim) = self.claims.get(&number) else {
            return false;
        };
        match claim.phase {
            ClaimPhase::Asked => {
                self.remove(number);
                true
            }
            ClaimPhase::Abandoned => {
                self.remove(number);
                false
            }
            // A late answer to a resend; this run holds the claim.
            ClaimPhase::Granted | ClaimPhase::Finishing(_) => false,
        }
    }

    /// The request of this claim ended. Returns the message to send, if the claim is held.
    pub fn conclude(
        &mut self,
        number: RequestNumber,
        conclusion: ClaimConclusion,
        now: Timestamp,
    ) -> Option<RoutingOutput> {
        let claim = self.claims.get_mut(&number)?;
        match claim.phase {
            ClaimPhase::Asked => {
                claim.phase = ClaimPhase::Abandoned;
                None
            }
            ClaimPhase::Abandoned | ClaimPhase::Granted => {
                claim.phase = ClaimPhase::Finishing(conclusion);
                let message = claim.message();
                self.set_due(number, Some(now + RESEND_INTERVAL));
                message
            }
            ClaimPhase::Finishing(_) => None,
        }
    }

    /// The end of a claim is committed.
    pub fn finished(&mut self, number: RequestNumber) {
        if let Some(Claim {
            phase: ClaimPhase::Finishing(_),
            ..
        }) = self.claims.get(&number)
        {
            self.remove(number);
        }
    }

    /// Every message that is not answered, on a new link.
    pub fn resend_all(&mut self, now: Timestamp) -> Vec<RoutingOutput> {
        let numbers: Vec<_> = self.due.iter().map(|(_, number)| *number).collect();
        self.resend(&numbers, now)
    }

    /// Messages that have gone unanswered for a while.
    pub fn resend_due(&mut self, now: Timestamp) -> Vec<RoutingOutput> {
        let due = self.due.iter().take_while(|(due, _)| *due <= now);
        let numbers: Vec<_> = due.map(|(_, number)| *number).collect();
        self.resend(&numbers, now)
    }

    fn resend(&mut self, numbers: &[RequestNumber], now: Timestamp) -> Vec<RoutingOutput> {
        for number in numbers {
            self.set_due(*number, Some(now + RESEND_INTERVAL));
        }
        let claims = numbers.iter().filter_map(|number| self.claims.get(number));
        claims.filter_map(Claim::message).collect()
    }

    /// Requests whose claim has gone unanswered for too long. Looks only at claims that are due
    /// a resend, so a timeout is noticed at the next resend at the latest.
    pub fn timed_out(&self, now: Timestamp) -> Vec<RequestNumber> {
        let due = self.due.iter().take_while(|(due, _)| *due <= now);
        let claims = due.filter_map(|(_, number)| Some((number, self.claims.get(number)?)));
        claims
            .filter(|(_, claim)| matches!(claim.phase, ClaimPhase::Asked))
            .filter(|(_, claim)| claim.asked + self.timeout <= now)
            .map(|(number, _)| *number)
            .collect()
    }

    fn set_due(&mut self, number: RequestNumber, due: Option<Timestamp>) {
        let Some(claim) = self.claims.get_mut(&number) else {
            return;
        };
        if let Some(old) = claim.due.take() {
            self.due.remove(&(old, number));
        }
        claim.due = due;
        if let Some(due) = due {
            self.due.insert((due, number));
        }
    }

    fn remove(&mut self, number: RequestNumber) {
        self.set_due(number, None);
        self.claims.remove(&number);
    }
}

impl Claim {
    /// The message that is not answered yet.
    fn message(&self) -> Option<RoutingOutput> {
        match &self.phase {
            ClaimPhase::Asked | ClaimPhase::Abandoned => {
                Some(RoutingOutput::SendClaim(self.begin.clone()))
            }
            ClaimPhase::Granted => None,
            ClaimPhase::Finishing(conclusion) => {
                Some(RoutingOutput::SendClaimFinish(ClaimFinish {
                    tenant: self.begin.tenant.clone(),
                    key: self.begin.key.clone(),
                    router: self.begin.router.clone(),
                    router_incarnation: self.begin.router_incarnation,
                    attempt: self.begin.attempt,
                    conclusion: conclusion.clone(),
                }))
            }
        }
    }
}

/// How a claim ends when its request gets no answer.
pub(crate) fn conclusion_without_answer(executed: Executed) -> ClaimConclusion {
    match executed {
        Executed::No => ClaimConclusion::NotRun,
        Executed::Unknown => ClaimConclusion::Unknown,
    }
}
