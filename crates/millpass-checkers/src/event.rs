//! The events of a history: what was decided, done, asked, answered and broken.

use millpass_proto::{
    BackendName, ChangeId, ClaimDecision, ClaimKey, ConfigurationRevision, Incarnation,
    LogPosition, MemberId, ModelName, ObjectChangeOutcome, ObjectKey, RouterName, SlotId,
    TenantName,
};
use serde::{Deserialize, Serialize};

/// Name of a process: a router, back end or control member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessName(pub String);

impl From<&str> for ProcessName {
    fn from(name: &str) -> Self {
        ProcessName(name.to_owned())
    }
}

/// A caller's name for its request, unique in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Content of an answer, as a hash over all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerDigest(pub u64);

/// What a refusal says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedExecution {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerOutcome {
    /// A whole answer, with its explicit end.
    Whole(AnswerDigest),
    /// A refusal.
    Refused {
        /// What it says of the request.
        executed: StatedExecution,
        /// Reason.
        reason: String,
    },
    /// An explicit error after part of the answer.
    BrokenOff,
    /// The connection to the router ended without a final answer.
    ConnectionLost,
    /// The caller hung up itself.
    CallerGone,
}

/// How a run at a back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnding {
    /// It ran to its end.
    Finished,
    /// It was cancelled by the router.
    Cancelled,
    /// The back end stopped or unloaded under it.
    CutOff,
}

/// A memory use of one accelerator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUse {
    /// Bytes in use.
    pub used_bytes: u64,
    /// Bytes there are.
    pub capacity_bytes: u64,
}

/// What one router's claim operation was.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimOperation {
    /// It asked for the claim.
    Begin,
    /// It ended the claim: the run was answered with this digest of the recorded answer.
    FinishAnswered(u64),
    /// It ended the claim: nothing ran.
    FinishNotRun,
    /// It ended the claim: it may have run.
    FinishUnknown,
}

/// Identity of a claim attempt over all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Router.
    pub router: RouterName,
    /// Run of the router.
    pub incarnation: Incarnation,
    /// Number of the request in that run.
    pub attempt: u64,
}

/// Key of a claim: keys of two tenants never meet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ScopedKey {
    /// Tenant.
    pub tenant: TenantName,
    /// Key.
    pub key: ClaimKey,
}

/// One event of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A member treats a log entry as committed.
    Committed {
        /// Member.
        member: MemberId,
        /// Position of the entry.
        position: LogPosition,
        /// Hash of its payload.
        payload_hash: u64,
    },
    /// A committed command decided a replica.
    ReplicaDecided {
        /// Slot.
        slot: SlotId,
        /// Model.
        model: ModelName,
        /// Engine.
        backend: BackendName,
        /// Run of the engine.
        incarnation: Incarnation,
        /// Replicas the model may have.
        maximum: u32,
    },
    /// A committed command released a replica; it counts no more.
    ReplicaReleased {
        /// Slot.
        slot: SlotId,
    },
    /// An engine began to hold memory for a replica.
    ReplicaHeld {
        /// Engine.
        backend: BackendName,
        /// Run of the engine.
        incarnation: Incarnation,
        /// Slot.
        slot: SlotId,
        /// Model.
        model: ModelName,
    },
    /// An engine holds nothing of a replica any more.
    ReplicaFreed {
        /// Engine.
        backend: BackendName,
        /// Run of the engine.
        incarnation: Incarnation,
        /// Slot.
        slot: SlotId,
    },
    /// An engine's memory use changed.
    MemoryUsed {
        /// Engine.
        backend: BackendName,
        /// Every accelerator, by index.
        accelerators: Vec<MemoryUse>,
    },
    /// A caller sent a request.
    RequestSent {
        /// Request.
        request: RequestId,
        /// Tenant whose key it carries.
        tenant: TenantName,
        /// Router it went to.
        router: ProcessName,
        /// When it must be answered or refused.
        deadline_micros: u64,
        /// The only whole answer that is its own.
        expected: AnswerDigest,
        /// Key, when it may not be repeated.
        key: Option<ScopedKey>,
    },
    /// A caller got the final answer, or gave up.
    RequestEnded {
        /// Request.
        request: RequestId,
        /// How.
        outcome: AnswerOutcome,
    },
    /// A back end began to run a request.
    RunStarted {
        /// Back end.
        backend: BackendName,
        /// Run of the back end.
        incarnation: Incarnation,
        /// Request.
        request: RequestId,
        /// Key, when it may not be repeated.
        key: Option<ScopedKey>,
        /// Whether it goes on with a stream that broke off elsewhere.
        resumed: bool,
    },
    /// A back end ended a run.
    RunEnded {
        /// Back end.
        backend: BackendName,
        /// Run of the back end.
        incarnation: Incarnation,
        /// Request.
        request: RequestId,
        /// How.
        ending: RunEnding,
    },
    /// The platform's list first shows a back end as leaving.
    ListedLeaving {
        /// Back end.
        backend: BackendName,
        /// Run of the back end.
        incarnation: Incarnation,
    },
    /// A process was told to stop in an orderly way.
    StopPlanned {
        /// Process.
        process: ProcessName,
    },
    /// A process ended in the way planned.
    Stopped {
        /// Process.
        process: ProcessName,
    },
    /// A process died or its machine was taken.
    Killed {
        /// Process.
        process: ProcessName,
    },
    /// A process started.
    Started {
        /// Process.
        process: ProcessName,
    },
    /// A process stopped running without ending.
    Frozen {
        /// Process.
        process: ProcessName,
    },
    /// A frozen process runs again.
    Woken {
        /// Process.
        process: ProcessName,
    },
    /// A router can, or can't, exchange messages with a majority of the control group.
    RouterReachable {
        /// Router.
        router: RouterName,
        /// Whether it can.
        reachable: bool,
    },
    /// Something was broken or mended.
    Disturbed {
        /// What.
        what: String,
    },
    /// The last fault has ended and every process runs.
    AllHealed,
    /// The run ended; requests due before are judged.
    RunOver,
    /// A catalog revision was committed.
    RevisionCommitted {
        /// Revision.
        revision: ConfigurationRevision,
    },
    /// A router uses a catalog revision.
    RevisionApplied {
        /// Router.
        router: RouterName,
        /// Run of the router.
        incarnation: Incarnation,
        /// Revision.
        revision: ConfigurationRevision,
    },
    /// An operator submitted a change. A resend has another number and the same change id.
    ChangeCalled {
        /// Number of the call, unique in the run.
        call: u64,
        /// Object.
        object: ObjectKey,
        /// Version the operator saw.
        expected_version: u64,
        /// Identity of the change.
        change_id: ChangeId,
        /// Whether it deletes the object.
        deletes: bool,
    },
    /// An operator got the outcome of a change. No event means that it is unknown.
    ChangeReturned {
        /// Number of the call.
        call: u64,
        /// Outcome.
        outcome: ObjectChangeOutcome,
    },
    /// An operator was told that the removal of a tenant is accepted.
    TenantRemoved {
        /// Tenant.
        tenant: TenantName,
    },
    /// An operator asked for an object.
    ReadCalled {
        /// Number of the call, unique in the run.
        call: u64,
        /// Object.
        object: ObjectKey,
    },
    /// An operator got the object's version; 0 when it does not exist.
    ReadReturned {
        /// Number of the call.
        call: u64,
        /// Version.
        version: u64,
    },
    /// The audit log read at the end of the run holds this change.
    FinalAudit {
        /// Identity of the change.
        change_id: ChangeId,
        /// Revision.
        revision: ConfigurationRevision,
    },
    /// The audit log is asked for: it must hold every change accepted before.
    FinalAuditCalled,
    /// The audit log was read to its end.
    FinalAuditRead,
    /// A router sent a claim operation.
    ClaimCalled {
        /// Attempt.
        attempt: AttemptId,
        /// Key.
        key: ScopedKey,
        /// Operation.
        operation: ClaimOperation,
    },
    /// A router got the decision on a claim.
    ClaimReturned {
        /// Attempt.
        attempt: AttemptId,
        /// Key.
        key: ScopedKey,
        /// Decision.
        decision: ClaimDecision,
    },
    /// A router learned that the end of its claim is committed.
    ClaimFinishReturned {
        /// Attempt.
        attempt: AttemptId,
        /// Key.
        key: ScopedKey,
    },
    /// A load began at the weight store.
    StoreLoadStarted {
        /// Number of the load, unique in the run.
        load: u64,
    },
    /// A load ended at the weight store.
    StoreLoadEnded {
        /// Number of the load.
        load: u64,
    },
}
