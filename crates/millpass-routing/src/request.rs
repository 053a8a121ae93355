//! A live request.

use crate::explain::{AttemptEnd, AttemptRecord};
use crate::interface::{Executed, IdempotencyKey, RequestNumber};
use crate::queues::QueueKey;
use millpass_proto::{
    BackendName, Incarnation, PolicyName, SlotId, TenantName, Timestamp, Urgency, VersionLabel,
};

/// Endpoint of an attempt; also the key for counting attempts in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    /// A replica.
    Slot(SlotId),
    /// A web backend.
    Web(BackendName),
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub endpoint: Endpoint,
    pub backend: BackendName,
    pub incarnation: Incarnation,
    /// Version of the model; `None` for web backends.
    pub version: Option<VersionLabel>,
    /// The first byte of the response arrived.
    pub first_byte: bool,
}

/// Stage of a live request.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Waiting for the decision on its claim; nothing was dispatched.
    AwaitingClaim,
    /// Waiting in its queue.
    Waiting,
    /// An attempt is in flight.
    InFlight(Box<Attempt>),
}

/// A live request. It leaves the table with its single final output.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub number: RequestNumber,
    /// Request id as sent to the caller.
    pub request_id: String,
    pub tenant: TenantName,
    pub queue: QueueKey,
    /// `completion`, `chat` or `web`.
    pub kind: &'static str,
    /// Path without query; empty for model requests.
    pub path: String,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// Urgency set by the policies.
    pub urgency: Urgency,
    /// Policy that allowed it.
    pub policy: Option<PolicyName>,
    /// Arrival time.
    pub arrived: Timestamp,
    /// When it must have been completed or refused.
    pub deadline: Timestamp,
    /// Idempotency key, if it runs at most once under a claim.
    pub claim: Option<IdempotencyKey>,
    /// It may be retried even if an earlier attempt may have run.
    pub repeatable: bool,
    pub stage: Stage,
    /// Dispatched attempts, oldest first; bounded by the settings.
    pub attempts: Vec<AttemptRecord>,
    /// An earlier attempt may have run.
    pub may_have_run: bool,
    /// Part of a response was sent to the caller.
    pub response_started: bool,
    /// Tokens forwarded to the caller.
    pub tokens: u64,
    /// The caller disconnected while its claimed attempt continues.
    pub detached: bool,
}

impl Request {
    /// Returns true if an attempt may have run or may be running.
    fn may_have_executed(&self) -> bool {
        self.may_have_run || matches!(self.stage, Stage::InFlight(_))
    }

    /// Execution state as stated in a refusal.
    pub fn executed(&self) -> Executed {
        if self.may_have_executed() {
            Executed::Unknown
        } else {
            Executed::No
        }
    }

    /// Returns true if part of a response may have reached the caller.
    pub fn has_response_started(&self) -> bool {
        match &self.stage {
            Stage::InFlight(attempt) => self.response_started || attempt.first_byte,
            _ => self.response_started,
        }
    }

    /// Records a dispatched attempt.
    pub fn record_attempt_start(&mut self, attempt: Attempt, now: Timestamp) {
        self.attempts.push(AttemptRecord {
            backend: attempt.backend.clone(),
            resume_from: self.tokens,
            started: now.since(self.arrived),
            ended: None,
        });
        self.stage = Stage::InFlight(Box::new(attempt));
    }

    /// Records the end of the last attempt.
    pub fn record_attempt_end(&mut self, end: AttemptEnd, now: Timestamp) {
        let after = now.since(self.arrived);
        if let Some(last) = self.attempts.last_mut() {
            last.ended = Some((after, end));
        }
    }

    pub fn is_in_flight(&self) -> bool {
        matches!(self.stage, Stage::InFlight(_))
    }
}
