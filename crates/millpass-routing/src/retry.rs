//! Ends of attempts, and whether another one follows.

use crate::explain::{AttemptEnd, Outcome};
use crate::interface::{AttemptFailure, RefusalReason, RequestNumber};
use crate::queues::QueueKey;
use crate::refusals::Refused;
use crate::request::{Attempt, Request, Stage};
use crate::{Routing, Step};
use millpass_proto::{ClaimConclusion, RecordedAnswer, Timestamp};

/// Tokens that one retry costs; a first attempt earns `retry_budget_percent` of it.
const RETRY_COST: u64 = 100;
/// Retries that may be saved up, and that are there at the start.
const SAVED_RETRIES: u64 = 10;

/// Token bucket that bounds retries to a share of first attempts, so that a fault which fails
/// everything does not multiply the load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    percent: u64,
    tokens: u64,
}

impl RetryBudget {
    /// A bucket that earns this many retries per hundred first attempts.
    pub fn new(percent: u32) -> Self {
        RetryBudget {
            percent: u64::from(percent),
            tokens: SAVED_RETRIES * RETRY_COST,
        }
    }

    /// A first attempt was dispatched.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + self.percent).min(SAVED_RETRIES * RETRY_COST);
    }

    /// Takes one retry, if there is one.
    fn take(&mut self) -> bool {
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }
}

impl Routing {
    /// The first byte of an answer arrived.
    pub(crate) fn first_byte(&mut self, number: RequestNumber) {
        self.table.update(number, |request| {
            if let Stage::InFlight(attempt) = &mut request.stage {
                attempt.first_byte = true;
            }
        });
    }

    /// The attempt ended with a whole answer.
    pub(crate) fn completed(
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
        request.attempt_ended(AttemptEnd::Completed, step.now);
        self.release(&request.queue, &attempt);
        self.circuits
            .succeeded(&attempt.backend, attempt.incarnation);
        // An answer that the host could not record must not be taken for one that did not run.
        let conclusion = answer.map_or(ClaimConclusion::Unknown, ClaimConclusion::Answered);
        self.conclude_claim(number, conclusion, step);
        self.record(&request, Outcome::Completed, step.now);
        step.freed.push(request.queue);
    }

    /// The attempt failed: another one, or the end.
    pub(crate) fn failed(
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
        // Past deadline or lease the host itself holds an attempt back; no fault of the back end.
        let in_time = request.deadline > step.now && self.lease.is_fresh(step.now);
        if in_time || failure != AttemptFailure::NotSent {
            self.count_failure(&attempt, step);
        }
        let Some(request) = self.table.get(number) else {
            return;
        };
        let queue = request.queue.clone();
        let again = failure_allows_retry(request, failure)
            && request.attempts.len() < self.settings.maximum_attempts as usize
            && in_time
            && self.budget.take();
        self.release(&queue, &attempt);
        step.freed.push(queue);
        self.table.update(number, |request| {
            note_failure(request, failure, &attempt, step.now)
        });
        if again {
            // Its number puts it ahead of younger requests; its queue is served in this step.
            self.push_to_queue(number);
            return;
        }
        let reason = self.reason_of_failure(number, step);
        self.give_up(number, Refused::new(reason), step);
    }

    /// The attempt in flight of a request.
    fn attempt_of(&self, number: RequestNumber) -> Option<Attempt> {
        match &self.table.get(number)?.stage {
            Stage::InFlight(attempt) => Some((**attempt).clone()),
            _ => None,
        }
    }

    fn count_failure(&mut self, attempt: &Attempt, step: &mut Step) {
        let opened = self
            .circuits
            .failed(&attempt.backend, attempt.incarnation, step.now);
        if opened {
            let pairs = vec![("backend", attempt.backend.to_string())];
            step.event("circuit_opened", pairs);
        }
    }

    fn reason_of_failure(&self, number: RequestNumber, step: &Step) -> RefusalReason {
        let passed = self
            .table
            .get(number)
            .is_some_and(|request| request.deadline <= step.now);
        if passed {
            RefusalReason::DeadlinePassed
        } else if !self.lease.is_fresh(step.now) {
            RefusalReason::NoLease
        } else {
            RefusalReason::BackendFailed
        }
    }
}

/// Whether a failure of this kind leaves room for another attempt of this request.
fn failure_allows_retry(request: &Request, failure: AttemptFailure) -> bool {
    let is_model = matches!(request.queue, QueueKey::Model { .. });
    match failure {
        AttemptFailure::NotSent | AttemptFailure::RefusedByBackend => !request.detached,
        AttemptFailure::MayHaveRun => request.repeatable,
        // Only a model's stream can go on from a position.
        AttemptFailure::BrokenOff { .. } => request.repeatable && is_model,
    }
}

/// Writes a failed attempt into its request, which then waits.
fn note_failure(request: &mut Request, failure: AttemptFailure, attempt: &Attempt, now: Timestamp) {
    request.attempt_ended(AttemptEnd::Failed(failure), now);
    match failure {
        AttemptFailure::NotSent | AttemptFailure::RefusedByBackend => {}
        AttemptFailure::MayHaveRun => request.may_have_run = true,
        AttemptFailure::BrokenOff { tokens } => {
            request.may_have_run = true;
            request.answer_started = true;
            request.tokens = request.tokens.max(tokens);
        }
    }
    request.stage = Stage::Waiting;
    // What went to the caller came from this version; another one would tell another story.
    if let (true, QueueKey::Model { version, .. }) = (request.answer_started, &mut request.queue) {
        version.get_or_insert_with(|| attempt.version.clone().unwrap_or_else(|| "".into()));
    }
}
