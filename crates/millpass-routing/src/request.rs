//! One live request.

use crate::explain::{AttemptEnd, AttemptRecord};
use crate::interface::{Executed, IdempotencyKey, RequestNumber};
use crate::queues::QueueKey;
use millpass_proto::{
    BackendName, Incarnation, PolicyName, SlotId, TenantName, Timestamp, Urgency, VersionLabel,
};

/// Where an attempt runs; also the key under which running attempts are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    /// A replica.
    Slot(SlotId),
    /// A web back end.
    Web(BackendName),
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Where it runs.
    pub place: Place,
    /// Back end.
    pub backend: BackendName,
    /// Run of the back end.
    pub incarnation: Incarnation,
    /// Version of the model, for a model.
    pub version: Option<VersionLabel>,
    /// Whether its first byte of answer arrived.
    pub first_byte: bool,
}

/// What a request waits for.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// The answer to its claim. Nothing was dispatched.
    AwaitingClaim,
    /// A place; it is in its queue.
    Waiting,
    /// The end of its attempt.
    InFlight(Box<Attempt>),
}

/// A live request. It leaves the table with its one final output.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Number.
    pub number: RequestNumber,
    /// Identity that its caller knows.
    pub request_id: String,
    /// Tenant.
    pub tenant: TenantName,
    /// Queue it waits in.
    pub queue: QueueKey,
    /// `completion`, `chat` or `web`.
    pub kind: &'static str,
    /// Path without query, for a web request; else empty.
    pub path: String,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// Urgency, from the policies.
    pub urgency: Urgency,
    /// Policy that allowed it.
    pub policy: Option<PolicyName>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When it must be answered or refused.
    pub deadline: Timestamp,
    /// Its key, if it runs at most once under a claim.
    pub claim: Option<IdempotencyKey>,
    /// Whether it may run again after it may have run.
    pub repeatable: bool,
    /// Stage.
    pub stage: Stage,
    /// Attempts dispatched, oldest first; the settings bound their number.
    pub attempts: Vec<AttemptRecord>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether some of the answer went to the caller.
    pub answer_started: bool,
    /// Tokens passed on to the caller.
    pub tokens: u64,
    /// Whether the caller is gone while its claimed attempt goes on.
    pub detached: bool,
}

impl Request {
    /// Whether an attempt may have run, or may be running.
    fn possibly_run(&self) -> bool {
        self.may_have_run || matches!(self.stage, Stage::InFlight(_))
    }

    /// Whether it ran, as a refusal states it.
    pub fn executed(&self) -> Executed {
        if self.possibly_run() {
            Executed::Unknown
        } else {
            Executed::No
        }
    }

    /// Whether some of an answer may have reached the caller.
    pub fn answer_begun(&self) -> bool {
        match &self.stage {
            Stage::InFlight(attempt) => self.answer_started || attempt.first_byte,
            _ => self.answer_started,
        }
    }

    /// Notes that an attempt was dispatched.
    pub fn attempt_started(&mut self, attempt: Attempt, now: Timestamp) {
        self.attempts.push(AttemptRecord {
            backend: attempt.backend.clone(),
            resume_from: self.tokens,
            started: now.since(self.arrived),
            ended: None,
        });
        self.stage = Stage::InFlight(Box::new(attempt));
    }

    /// Notes how the last attempt ended.
    pub fn attempt_ended(&mut self, end: AttemptEnd, now: Timestamp) {
        let after = now.since(self.arrived);
        if let Some(last) = self.attempts.last_mut() {
            last.ended = Some((after, end));
        }
    }

    /// Whether it is dispatched and not ended.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.stage, Stage::InFlight(_))
    }
}
