//! Builders of events for tests.
#![allow(dead_code)]

use millpass_checkers::{
    AnswerDigest, AnswerOutcome, AttemptId, ClaimOperation, Event, History, ProcessName, Record,
    RequestId, RunEnding, ScopedKey, StatedExecution,
};
use millpass_proto::{
    ChangeAccepted, ClaimDecision, ConfigurationRevision, Incarnation, LogPosition, MemberId,
    ObjectChangeOutcome, ObjectKey, ObjectKind, SlotId,
};

/// Incarnation of every process in these tests.
pub const RUN: Incarnation = Incarnation(1);

pub fn history(events: Vec<(u64, Event)>) -> History {
    let record = |(at_micros, event)| Record { at_micros, event };
    History::new(events.into_iter().map(record).collect())
}

pub fn slot(number: u64) -> SlotId {
    SlotId(number)
}

pub fn committed(member: u64, term: u64, payload_hash: u64) -> Event {
    Event::Committed {
        member: MemberId(member),
        position: LogPosition { term, index: 1 },
        payload_hash,
    }
}

pub fn decided(number: u64, backend: &str, maximum: u32) -> Event {
    Event::ReplicaDecided {
        slot: slot(number),
        model: "model".into(),
        backend: backend.into(),
        incarnation: RUN,
        maximum,
    }
}

pub fn held(number: u64, backend: &str) -> Event {
    Event::ReplicaHeld {
        backend: backend.into(),
        incarnation: RUN,
        slot: slot(number),
        model: "model".into(),
    }
}

pub fn freed(number: u64, backend: &str) -> Event {
    Event::ReplicaFreed {
        backend: backend.into(),
        incarnation: RUN,
        slot: slot(number),
    }
}

pub fn scoped(key: &str) -> ScopedKey {
    ScopedKey {
        tenant: "tenant".into(),
        key: key.into(),
    }
}

pub fn sent(request: u64, router: &str, deadline_micros: u64, key: Option<&str>) -> Event {
    Event::RequestSent {
        request: RequestId(request),
        tenant: "tenant".into(),
        router: ProcessName(router.into()),
        deadline_micros,
        expected: AnswerDigest(request),
        key: key.map(scoped),
    }
}

pub fn ended(request: u64, outcome: AnswerOutcome) -> Event {
    Event::RequestEnded {
        request: RequestId(request),
        outcome,
    }
}

pub fn whole(digest: u64) -> AnswerOutcome {
    AnswerOutcome::Whole(AnswerDigest(digest))
}

pub fn refused(executed: StatedExecution) -> AnswerOutcome {
    AnswerOutcome::Refused {
        executed,
        reason: "reason".into(),
    }
}

pub fn run(request: u64, backend: &str, key: Option<&str>) -> Event {
    Event::RunStarted {
        backend: backend.into(),
        incarnation: RUN,
        request: RequestId(request),
        key: key.map(scoped),
        resumed: false,
    }
}

pub fn run_ended(request: u64, backend: &str, ending: RunEnding) -> Event {
    Event::RunEnded {
        backend: backend.into(),
        incarnation: RUN,
        request: RequestId(request),
        ending,
    }
}

pub fn applied(router: &str, revision: u64) -> Event {
    Event::RevisionApplied {
        router: router.into(),
        incarnation: RUN,
        revision: ConfigurationRevision(revision),
    }
}

pub fn reachable(router: &str, reachable: bool) -> Event {
    Event::RouterReachable {
        router: router.into(),
        reachable,
    }
}

pub fn object() -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Policy,
        name: "policy".into(),
    }
}

pub fn change_called(call: u64, expected_version: u64, change_id: &str) -> Event {
    Event::ChangeCalled {
        call,
        object: object(),
        expected_version,
        change_id: change_id.into(),
        deletes: false,
    }
}

pub fn accepted(call: u64, version: u64) -> Event {
    Event::ChangeReturned {
        call,
        outcome: ObjectChangeOutcome::Accepted(ChangeAccepted {
            version,
            revision: ConfigurationRevision(version),
        }),
    }
}

pub fn audited(change_id: &str, revision: u64) -> Event {
    Event::FinalAudit {
        change_id: change_id.into(),
        revision: ConfigurationRevision(revision),
    }
}

pub fn read_called(call: u64) -> Event {
    Event::ReadCalled {
        call,
        object: object(),
    }
}

pub fn attempt(number: u64) -> AttemptId {
    AttemptId {
        router: "router-1".into(),
        incarnation: RUN,
        attempt: number,
    }
}

pub fn claim(number: u64, operation: ClaimOperation) -> Event {
    Event::ClaimCalled {
        attempt: attempt(number),
        key: scoped("key"),
        operation,
    }
}

pub fn claim_decided(number: u64, decision: ClaimDecision) -> Event {
    Event::ClaimReturned {
        attempt: attempt(number),
        key: scoped("key"),
        decision,
    }
}

pub fn claim_finished(number: u64) -> Event {
    Event::ClaimFinishReturned {
        attempt: attempt(number),
        key: scoped("key"),
    }
}
