//! Ends of attempts, and retries.

use crate::explain::{AttemptEnd, Outcome};
use crate::interface::{AttemptFailure, RefusalReason, RequestNumber};
use crate::queues::QueueKey;
use crate::refusals::Rejection;
use crate::request::{Attempt, Request, Stage};
use crate::{Routing, Step};
use millpass_proto::{ClaimConclusion, RecordedAnswer, Timestamp};

/// Tokens per retry; a first attempt earns `retry_budget_percent` tokens.
const RETRY_COST: u64 = 100;
/// Capacity of the budget in retries; the budget starts full.
const RETRY_BURST: u64 = 10;

/// Token bucket that limits retries to a percentage of first attempts, so that a widespread failure
/// does not multiply the load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    percent: u64,
    tokens: u64,
}

impl RetryBudget {
    /// A full bucket that earns `percent` retries per hundred first attempts.
    pub fn new(percent: u32) -> Self {
        RetryBudget {
            percent: u64::from(percent),
            tokens: RETRY_BURST * RETRY_COST,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.percent).min(RETRY_BURST * RETRY_COST);
    }

    /// Takes one retry from the budget, if available.
    fn try_take(&mut self) -> bool {
        let is_available = self.tokens >= RETRY_COST;
        if is_available {
            self.tokens -= RETRY_COST;
        }
        is_available
    }
}

impl Routing {
    /// Handles the first byte of a response.
    pub(crate) fn handle_first_byte(&mut self, number: RequestNumber) {
        self.table.update(number, |request| {
            if let Stage::InFlight(attempt) = &mut request.stage {
                attempt.first_byte = true;
            }
        });
    }

    /// Handles a complete response.
    pub(crate) fn handle_completed(
        &mut self,
        number: RequestNumber,
        answer: Option<RecordedAnswer>,
        step: &mut Step,
    ) {
        let Some(attempt) = self.attempt_of(number) else {
            return;
        };
        let Some(mut request) = self.table.remove(number) else {
            return;
        };
        request.record_attempt_end(AttemptEnd::Completed, step.now);
        self.release(&request.queue, &attempt);
        self.circuits
            .record_success(&attempt.backend, attempt.incarnation);
        // A response that could not be recorded must not count as not run.
        let conclusion = answer.map_or(ClaimConclusion::Unknown, ClaimConclusion::Answered);
        self.conclude_claim(number, conclusion, step);
        self.record(&request, Outcome::Completed, step.now);
        step.freed.push(request.queue);
    }

    /// Handles a failed attempt: retries it or ends the request.
    pub(crate) fn handle_failed(
        &mut self,
        number: RequestNumber,
        failure: AttemptFailure,
        step: &mut Step,
    ) {
        let Some(attempt) = self.attempt_of(number) else {
            return;
        };
        let Some(request) = self.table.get(number) else {
            return;
        };
        // The host does not send an attempt after the deadline or the end of the lease; that is not
        // a failure of the backend.
        let in_time = request.deadline > step.now && self.lease.is_valid(step.now);
        if in_time || failure != AttemptFailure::NotSent {
            self.count_failure(&attempt, step);
        }
        let Some(request) = self.table.get(number) else {
            return;
        };
        let queue = request.queue.clone();
        let retry = failure_allows_retry(request, failure)
            && request.attempts.len() < self.settings.maximum_attempts as usize
            && in_time
            && self.budget.try_take();
        self.release(&queue, &attempt);
        step.freed.push(queue);
        self.table.update(number, |request| {
            apply_failure(request, failure, &attempt, step.now)
        });
        if retry {
            // The request number keeps its place before newer requests; the queue is served in this
            // step.
            self.push_to_queue(number);
            return;
        }
        let reason = self.reason_of_failure(number, step);
        self.end_request(number, Rejection::new(reason), step);
    }

    /// Returns the attempt in flight of a request.
    fn attempt_of(&self, number: RequestNumber) -> Option<Attempt> {
        match &self.table.get(number)?.stage {
            Stage::InFlight(attempt) => Some((**attempt).clone()),
            _ => None,
        }
    }

    fn count_failure(&mut self, attempt: &Attempt, step: &mut Step) {
        let opened = self
            .circuits
            .record_failure(&attempt.backend, attempt.incarnation, step.now);
        if opened {
            let pairs = vec![("backend", attempt.backend.to_string())];
            step.event("circuit_opened", pairs);
        }
    }

    fn reason_of_failure(&self, number: RequestNumber, step: &Step) -> RefusalReason {
        let is_past_deadline = self
            .table
            .get(number)
            .is_some_and(|request| request.deadline <= step.now);
        if is_past_deadline {
            RefusalReason::DeadlinePassed
        } else if !self.lease.is_valid(step.now) {
            RefusalReason::NoLease
        } else {
            RefusalReason::BackendFailed
        }
    }
}

/// Returns true if a request may be retried after this failure.
fn failure_allows_retry(request: &Request, failure: AttemptFailure) -> bool {
    let is_model = matches!(request.queue, QueueKey::Model { .. });
    match failure {
        AttemptFailure::NotSent | AttemptFailure::RefusedByBackend => !request.detached,
        AttemptFailure::MayHaveRun => request.repeatable,
        // Only streams of a model can be resumed.
        AttemptFailure::BrokenOff { .. } => request.repeatable && is_model,
    }
}

/// Records a failed attempt in its request, which then waits.
fn apply_failure(
    request: &mut Request,
    failure: AttemptFailure,
    attempt: &Attempt,
    now: Timestamp,
) {
    request.record_attempt_end(AttemptEnd::Failed(failure), now);
    match failure {
        AttemptFailure::NotSent | AttemptFailure::RefusedByBackend => {}
        AttemptFailure::MayHaveRun => request.may_have_run = true,
        AttemptFailure::BrokenOff { tokens } => {
            request.may_have_run = true;
            request.response_started = true;
            request.tokens = request.tokens.max(tokens);
        }
    }
    request.stage = Stage::Waiting;
    // A resumed stream must continue on the version that produced its first part.
    if let (true, QueueKey::Model { version, .. }) = (request.response_started, &mut request.queue)
    {
        version.get_or_insert_with(|| attempt.version.clone().unwrap_or_else(|| "".into()));
    }
}
