//! Events of a history: decisions, requests, responses, process states and faults.

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

/// Identifier of a caller's request, unique in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Hash over the complete content of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerDigest(pub u64);

/// Whether the refused request ran, as stated by the refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedExecution {
    /// It did not run and will not run.
    No,
    /// It may have run.
    Unknown,
}

/// Outcome of a request as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerOutcome {
    /// A complete answer, terminated explicitly.
    Whole(AnswerDigest),
    /// A refusal.
    Refused {
        /// Whether the request ran, as stated by the refusal.
        executed: StatedExecution,
        /// Reason.
        reason: String,
    },
    /// An explicit error after a part of the answer.
    BrokenOff,
    /// The connection to the router ended without a final answer.
    ConnectionLost,
    /// The caller closed the connection.
    CallerGone,
}

/// How a run at a back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnding {
    /// It completed.
    Finished,
    /// The router cancelled it.
    Cancelled,
    /// The back end stopped, or unloaded the model, before it completed.
    CutOff,
}

/// Memory use of one accelerator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUse {
    /// Bytes in use.
    pub used_bytes: u64,
    /// Total bytes.
    pub capacity_bytes: u64,
}

/// A router's operation on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimOperation {
    /// Requests the claim.
    Begin,
    /// Ends the claim: the request ran, and its recorded answer has this digest.
    FinishAnswered(u64),
    /// Ends the claim: the request did not run.
    FinishNotRun,
    /// Ends the claim: the request may have run.
    FinishUnknown,
}

/// Identity of a claim attempt over all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Router.
    pub router: RouterName,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Number of the request in that incarnation.
    pub attempt: u64,
}

/// Key of a claim, scoped to its tenant.
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
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Maximum number of replicas of the model.
        maximum: u32,
    },
    /// A committed command released a replica.
    ReplicaReleased {
        /// Slot.
        slot: SlotId,
    },
    /// An engine allocated memory for a replica.
    ReplicaHeld {
        /// Engine.
        backend: BackendName,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Slot.
        slot: SlotId,
        /// Model.
        model: ModelName,
    },
    /// An engine freed all memory of a replica.
    ReplicaFreed {
        /// Engine.
        backend: BackendName,
        /// Incarnation of the engine.
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
        /// Tenant of its API key.
        tenant: TenantName,
        /// Router that received it.
        router: ProcessName,
        /// Time by which it must be answered or refused, in microseconds.
        deadline_micros: u64,
        /// Digest of its complete answer.
        expected: AnswerDigest,
        /// Claim key; `None` if the request may be repeated.
        key: Option<ScopedKey>,
    },
    /// A caller received the final outcome, or hung up.
    RequestEnded {
        /// Request.
        request: RequestId,
        /// Outcome.
        outcome: AnswerOutcome,
    },
    /// A back end began to run a request.
    RunStarted {
        /// Back end.
        backend: BackendName,
        /// Incarnation of the back end.
        incarnation: Incarnation,
        /// Request.
        request: RequestId,
        /// Claim key; `None` if the request may be repeated.
        key: Option<ScopedKey>,
        /// Whether it resumes a stream that another attempt began.
        resumed: bool,
    },
    /// A back end ended a run.
    RunEnded {
        /// Back end.
        backend: BackendName,
        /// Incarnation of the back end.
        incarnation: Incarnation,
        /// Request.
        request: RequestId,
        /// How it ended.
        ending: RunEnding,
    },
    /// The platform's list shows a back end as leaving for the first time.
    ListedLeaving {
        /// Back end.
        backend: BackendName,
        /// Incarnation of the back end.
        incarnation: Incarnation,
    },
    /// A planned stop of a process began.
    StopPlanned {
        /// Process.
        process: ProcessName,
    },
    /// A process ended after a planned stop.
    Stopped {
        /// Process.
        process: ProcessName,
    },
    /// A process was killed or its machine was reclaimed.
    Killed {
        /// Process.
        process: ProcessName,
    },
    /// A process started.
    Started {
        /// Process.
        process: ProcessName,
    },
    /// A process was suspended.
    Frozen {
        /// Process.
        process: ProcessName,
    },
    /// A suspended process resumed.
    Woken {
        /// Process.
        process: ProcessName,
    },
    /// Reachability between a router and a majority of the control group changed.
    RouterReachable {
        /// Router.
        router: RouterName,
        /// Whether they can exchange messages.
        reachable: bool,
    },
    /// A fault was injected or ended.
    Disturbed {
        /// Description of the fault.
        what: String,
    },
    /// All faults have ended and every process runs.
    AllHealed,
    /// The run ended. Requests due earlier must have an outcome.
    RunOver,
    /// A catalog revision was committed.
    RevisionCommitted {
        /// Revision.
        revision: ConfigurationRevision,
    },
    /// A router applied a catalog revision.
    RevisionApplied {
        /// Router.
        router: RouterName,
        /// Incarnation of the router.
        incarnation: Incarnation,
        /// Revision.
        revision: ConfigurationRevision,
    },
    /// An operator submitted a change. A resend has a new call number and the same change id.
    ChangeCalled {
        /// Number of the call, unique in the run.
        call: u64,
        /// Object.
        object: ObjectKey,
        /// Version read by the operator.
        expected_version: u64,
        /// Identity of the change.
        change_id: ChangeId,
        /// Whether it deletes the object.
        deletes: bool,
    },
    /// An operator received the outcome of a change. Without this event the outcome is unknown.
    ChangeReturned {
        /// Number of the call.
        call: u64,
        /// Outcome.
        outcome: ObjectChangeOutcome,
    },
    /// An operator received the acceptance of the removal of a tenant.
    TenantRemoved {
        /// Tenant.
        tenant: TenantName,
    },
    /// An operator requested an object.
    ReadCalled {
        /// Number of the call, unique in the run.
        call: u64,
        /// Object.
        object: ObjectKey,
    },
    /// An operator received the version of an object; 0 if it does not exist.
    ReadReturned {
        /// Number of the call.
        call: u64,
        /// Version.
        version: u64,
    },
    /// The audit log read at the end of the run contains this change.
    FinalAudit {
        /// Identity of the change.
        change_id: ChangeId,
        /// Revision.
        revision: ConfigurationRevision,
    },
    /// The audit log was requested. It must contain every change accepted before.
    FinalAuditCalled,
    /// The audit log was read completely.
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
    /// A router received the decision on a claim.
    ClaimReturned {
        /// Attempt.
        attempt: AttemptId,
        /// Key.
        key: ScopedKey,
        /// Decision.
        decision: ClaimDecision,
    },
    /// A router received the confirmation that the end of its claim is committed.
    ClaimFinishReturned {
        /// Attempt.
        attempt: AttemptId,
        /// Key.
        key: ScopedKey,
    },
    /// A load from the weight store began.
    StoreLoadStarted {
        /// Number of the load, unique in the run.
        load: u64,
    },
    /// A load from the weight store ended.
    StoreLoadEnded {
        /// Number of the load.
        load: u64,
    },
}
