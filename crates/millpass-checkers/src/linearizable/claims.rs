//! Linearizability of claims of requests that may not be repeated.

use super::operations::{TimedOperation, check_operations};
use crate::{AttemptId, Breach, ClaimOperation, Event, History, Limits, ScopedKey};
use millpass_proto::ClaimDecision;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use todc_utils::specifications::Specification;

/// Name of the checker.
pub const CLAIMS: &str = "claims-linearizable";

/// A decision; a recorded answer is represented by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Decision {
    Granted,
    Answered(u64),
    InProgress,
    MayHaveRun,
    Refused,
    Unknown,
}

/// One operation on one key.
#[derive(Clone, Debug)]
enum Operation {
    Begin {
        attempt: AttemptId,
        decision: Decision,
    },
    Finish {
        attempt: AttemptId,
        operation: ClaimOperation,
    },
}

/// State of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum KeyState {
    Free,
    Held(AttemptId),
    Answered(AttemptId, u64),
    MayHaveRun(AttemptId),
}

/// Sequential specification of the claim of one key.
struct Claim;

impl Specification for Claim {
    type State = KeyState;
    type Operation = Operation;

    fn init() -> KeyState {
        KeyState::Free
    }

    fn apply(operation: &Operation, state: &KeyState) -> (bool, KeyState) {
        match operation {
            Operation::Begin { attempt, decision } => begin(attempt, decision, state),
            Operation::Finish { attempt, operation } => (true, finish(attempt, operation, state)),
        }
    }
}

fn begin(attempt: &AttemptId, decision: &Decision, state: &KeyState) -> (bool, KeyState) {
    let held_by_other = matches!(state, KeyState::Held(holder) if holder != attempt);
    match decision {
        Decision::Granted => match state {
            KeyState::Free => (true, KeyState::Held(attempt.clone())),
            KeyState::Held(holder) => (holder == attempt, state.clone()),
            _ => (false, state.clone()),
        },
        Decision::Answered(digest) => {
            let same = matches!(state, KeyState::Answered(_, recorded) if recorded == digest);
            (same, state.clone())
        }
        Decision::InProgress => (held_by_other, state.clone()),
        // The control group may end the claim of a holder whose router has ended.
        Decision::MayHaveRun => match state {
            KeyState::MayHaveRun(_) => (true, state.clone()),
            KeyState::Held(holder) => (held_by_other, KeyState::MayHaveRun(holder.clone())),
            _ => (false, state.clone()),
        },
        Decision::Refused => (true, state.clone()),
        Decision::Unknown if *state == KeyState::Free => (true, KeyState::Held(attempt.clone())),
        Decision::Unknown => (true, state.clone()),
    }
}

fn finish(attempt: &AttemptId, operation: &ClaimOperation, state: &KeyState) -> KeyState {
    let holds = matches!(
        state,
        KeyState::Held(holder) | KeyState::MayHaveRun(holder) if holder == attempt
    );
    if !holds {
        return state.clone();
    }
    match operation {
        ClaimOperation::Begin => state.clone(),
        ClaimOperation::FinishAnswered(digest) => KeyState::Answered(attempt.clone(), *digest),
        ClaimOperation::FinishNotRun => KeyState::Free,
        ClaimOperation::FinishUnknown => KeyState::MayHaveRun(attempt.clone()),
    }
}

/// Reports keys whose claim operations are not linearizable, for instance two grants without a
/// release between them.
pub fn check_claims(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut keys: BTreeMap<&ScopedKey, Vec<TimedOperation<Operation>>> = BTreeMap::new();
    for (order, record) in history.records().iter().enumerate() {
        match &record.event {
            Event::ClaimCalled {
                attempt,
                key,
                operation,
            } => record_call(keys.entry(key).or_default(), order, attempt, operation),
            Event::ClaimReturned {
                attempt,
                key,
                decision,
            } => record_decision(keys.entry(key).or_default(), order, attempt, decision),
            Event::ClaimFinishReturned { attempt, key } => {
                record_finish(keys.entry(key).or_default(), order, attempt);
            }
            _ => {}
        }
    }
    let last = history.records().last().map_or(0, |r| r.at_micros);
    let breaches = keys.iter().filter_map(|(key, operations)| {
        let name = format!("key {} of {}", key.key, key.tenant);
        check_operations::<Claim>(CLAIMS, &name, operations, last, limits)
    });
    breaches.collect()
}

/// Records a call. A resend by the same attempt is the same operation.
fn record_call(
    operations: &mut Vec<TimedOperation<Operation>>,
    order: usize,
    attempt: &AttemptId,
    operation: &ClaimOperation,
) {
    let recorded = operations.iter().any(|recorded| match &recorded.operation {
        Operation::Begin { attempt: other, .. } => {
            other == attempt && *operation == ClaimOperation::Begin
        }
        Operation::Finish {
            attempt: other,
            operation: finish,
        } => other == attempt && finish == operation,
    });
    if recorded {
        return;
    }
    let operation = match operation {
        ClaimOperation::Begin => Operation::Begin {
            attempt: attempt.clone(),
            decision: Decision::Unknown,
        },
        finish => Operation::Finish {
            attempt: attempt.clone(),
            operation: finish.clone(),
        },
    };
    operations.push(TimedOperation {
        called: order,
        returned: None,
        operation,
    });
}

fn record_decision(
    operations: &mut [TimedOperation<Operation>],
    order: usize,
    attempt: &AttemptId,
    answer: &ClaimDecision,
) {
    for timed in operations.iter_mut().filter(|o| o.returned.is_none()) {
        if let Operation::Begin {
            attempt: requester,
            decision,
        } = &mut timed.operation
            && requester == attempt
        {
            *decision = decision_of(answer);
            timed.returned = Some(order);
        }
    }
}

fn record_finish(operations: &mut [TimedOperation<Operation>], order: usize, attempt: &AttemptId) {
    for timed in operations.iter_mut().filter(|o| o.returned.is_none()) {
        let finish = matches!(&timed.operation,
            Operation::Finish { attempt: requester, .. } if requester == attempt);
        if finish {
            timed.returned = Some(order);
        }
    }
}

fn decision_of(decision: &ClaimDecision) -> Decision {
    match decision {
        ClaimDecision::Granted => Decision::Granted,
        ClaimDecision::Answered(answer) => Decision::Answered(digest_of(&answer.body)),
        ClaimDecision::InProgress => Decision::InProgress,
        ClaimDecision::MayHaveRun => Decision::MayHaveRun,
        ClaimDecision::DigestMismatch
        | ClaimDecision::Expired
        | ClaimDecision::Overloaded
        | ClaimDecision::BornInFuture => Decision::Refused,
    }
}

/// Returns the hash of the body of a recorded answer, as in [`ClaimOperation::FinishAnswered`].
pub fn digest_of(body: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}
