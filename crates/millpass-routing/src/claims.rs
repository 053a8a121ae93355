//! Claims of requests that run at most once, with their timeouts and resends.
//!
//! A claim outlives its request: it is kept until its conclusion is committed or until the decision
//! shows that it was not granted. Every message is resent until a response arrives, always with the
//! same attempt number, so that the control group can distinguish a resend from a second attempt.

use crate::interface::{Executed, RequestNumber, RoutingOutput};
use millpass_proto::{ClaimBegin, ClaimConclusion, ClaimFinish, Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of open claims.
pub(crate) const MAXIMUM_CLAIMS: usize = 16_384;
/// Interval between resends of an unanswered message.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Phase of a claim.
#[derive(Clone, Debug)]
enum ClaimPhase {
    /// The claim was requested; the request waits for the decision.
    Requested,
    /// The request ended before the decision; a grant is concluded as not run.
    Abandoned,
    /// The claim was granted; the request may be dispatched.
    Granted,
    /// The conclusion was sent and is not committed yet.
    Finishing(ClaimConclusion),
}

#[derive(Clone, Debug)]
struct Claim {
    begin: ClaimBegin,
    phase: ClaimPhase,
    requested_at: Timestamp,
    resend_at: Option<Timestamp>,
}

/// Effect of a grant on the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    /// The request may be dispatched.
    Dispatch,
    /// The request already ended; conclude the claim as not run.
    ReleaseClaim,
    /// Duplicate or unknown decision; nothing to do.
    Ignore,
}

/// All open claims.
#[derive(Debug)]
pub(crate) struct Claims {
    timeout: Duration,
    claims: BTreeMap<RequestNumber, Claim>,
    due: BTreeSet<(Timestamp, RequestNumber)>,
}

impl Claims {
    /// Requests wait up to `timeout` for the decision on their claim.
    pub fn new(timeout: Duration) -> Self {
        Claims {
            timeout,
            claims: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true if another claim can be opened.
    pub fn has_capacity(&self) -> bool {
        self.claims.len() < MAXIMUM_CLAIMS
    }

    /// Opens a claim and returns the message that requests it.
    pub fn begin(
        &mut self,
        number: RequestNumber,
        begin: ClaimBegin,
        now: Timestamp,
    ) -> RoutingOutput {
        let claim = Claim {
            begin: begin.clone(),
            phase: ClaimPhase::Requested,
            requested_at: now,
            resend_at: None,
        };
        self.claims.insert(number, claim);
        self.set_due(number, Some(now + RESEND_INTERVAL.min(self.timeout)));
        RoutingOutput::SendClaim(begin)
    }

    /// Records that a claim was granted.
    pub fn record_grant(&mut self, number: RequestNumber) -> GrantOutcome {
        let Some(claim) = self.claims.get_mut(&number) else {
            return GrantOutcome::Ignore;
        };
        match claim.phase {
            ClaimPhase::Requested => {
                claim.phase = ClaimPhase::Granted;
                self.set_due(number, None);
                GrantOutcome::Dispatch
            }
            ClaimPhase::Abandoned => GrantOutcome::ReleaseClaim,
            ClaimPhase::Granted | ClaimPhase::Finishing(_) => GrantOutcome::Ignore,
        }
    }

    /// Records that a claim was not granted. Returns true if the request still waited for it.
    pub fn record_denial(&mut self, number: RequestNumber) -> bool {
        let Some(claim) = self.claims.get(&number) else {
            return false;
        };
        match claim.phase {
            ClaimPhase::Requested => {
                self.remove(number);
                true
            }
            ClaimPhase::Abandoned => {
                self.remove(number);
                false
            }
            // Late response to a resend; this router holds the claim.
            ClaimPhase::Granted | ClaimPhase::Finishing(_) => false,
        }
    }

    /// Concludes the claim of an ended request. Returns the message to send if the claim may be
    /// held.
    pub fn conclude(
        &mut self,
        number: RequestNumber,
        conclusion: ClaimConclusion,
        now: Timestamp,
    ) -> Option<RoutingOutput> {
        let claim = self.claims.get_mut(&number)?;
        match claim.phase {
            ClaimPhase::Requested => {
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

    /// Records that the conclusion of a claim was committed.
    pub fn record_finished(&mut self, number: RequestNumber) {
        if let Some(Claim {
            phase: ClaimPhase::Finishing(_),
            ..
        }) = self.claims.get(&number)
        {
            self.remove(number);
        }
    }

    /// Returns all unanswered messages, for resending on a new link.
    pub fn resend_all(&mut self, now: Timestamp) -> Vec<RoutingOutput> {
        let numbers: Vec<_> = self.due.iter().map(|(_, number)| *number).collect();
        self.resend(&numbers, now)
    }

    /// Returns the messages whose resend interval has elapsed.
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

    /// Returns the requests whose claim timed out. Only claims due for a resend are checked, so a
    /// timeout is detected at the next resend.
    pub fn timed_out(&self, now: Timestamp) -> Vec<RequestNumber> {
        let due = self.due.iter().take_while(|(due, _)| *due <= now);
        let claims = due.filter_map(|(_, number)| Some((number, self.claims.get(number)?)));
        claims
            .filter(|(_, claim)| matches!(claim.phase, ClaimPhase::Requested))
            .filter(|(_, claim)| claim.requested_at + self.timeout <= now)
            .map(|(number, _)| *number)
            .collect()
    }

    fn set_due(&mut self, number: RequestNumber, due: Option<Timestamp>) {
        let Some(claim) = self.claims.get_mut(&number) else {
            return;
        };
        if let Some(previous) = claim.resend_at.take() {
            self.due.remove(&(previous, number));
        }
        claim.resend_at = due;
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
    /// Returns the message that awaits a response.
    fn message(&self) -> Option<RoutingOutput> {
        match &self.phase {
            ClaimPhase::Requested | ClaimPhase::Abandoned => {
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

/// Conclusion of a claim whose request got no response.
pub(crate) fn conclusion_without_response(executed: Executed) -> ClaimConclusion {
    match executed {
        Executed::No => ClaimConclusion::NotRun,
        Executed::Unknown => ClaimConclusion::Unknown,
    }
}
