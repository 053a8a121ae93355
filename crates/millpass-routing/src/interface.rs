//! Inputs, outputs and settings of the routing core.

use millpass_proto::{
    AdapterName, BackendName, BackendObservation, ClaimBegin, ClaimDecision, ClaimFinish, ClaimKey,
    Duration, GroupId, Incarnation, ModelName, RecordedAnswer, RouterHello, RouterName,
    RouterReport, RouterUpdate, SlotId, TenantName, Timestamp, Urgency, VersionLabel,
    WatchedBackend, ZoneName,
};

/// Settings of the routing core.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Control group.
    pub group: GroupId,
    /// Name of this router.
    pub router: RouterName,
    /// Incarnation of this router process.
    pub incarnation: Incarnation,
    /// Zone of this router; backends in the same zone are preferred.
    pub zone: ZoneName,
    /// IP address and port of the caller API.
    pub address: String,
    /// Interval between reports. A report that must not wait goes out at once, but no sooner than
    /// `minimum_report_interval` after the last.
    pub report_interval: Duration,
    /// Minimum interval between two reports.
    pub minimum_report_interval: Duration,
    /// Maximum number of waiting requests.
    pub maximum_waiting: usize,
    /// Maximum number of attempts per request, including the first.
    pub maximum_attempts: u32,
    /// Retries allowed per hundred first attempts.
    pub retry_budget_percent: u32,
    /// Consecutive failures after which a backend is ejected.
    pub circuit_failures: u32,
    /// How long an ejected backend gets no requests.
    pub circuit_open: Duration,
    /// How long a request waits for the decision on its claim before it is refused.
    pub claim_timeout: Duration,
}

/// Number of a request, unique within one incarnation of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// What a request addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, optionally with an adapter.
    Model {
        /// Model.
        model: ModelName,
        /// Adapter.
        adapter: Option<AdapterName>,
        /// `completion` or `chat`.
        kind: &'static str,
        /// BLAKE3 hash of the start of the prompt, for prefix locality.
        prefix_hash: u64,
    },
    /// A path served by a group of web backends.
    Web {
        /// Path with query.
        path: String,
        /// The method is safe to repeat (GET, HEAD).
        safe_method: bool,
    },
}

/// Idempotency key of a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Key.
    pub key: ClaimKey,
    /// Creation time, from the key (UUID version 7) or the `Idempotency-Key-Born` header.
    pub created_unix_millis: u64,
    /// BLAKE3 hash (hex) of method, path and body.
    pub digest: String,
}

/// An arriving request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number.
    pub request: RequestNumber,
    /// Request id as sent to the caller, for explanations; may be empty and need not be unique.
    pub request_id: String,
    /// API key as sent; only its hash is looked up.
    pub api_key: String,
    /// Addressed model or path.
    pub target: Target,
    /// When the request must have been completed or refused.
    pub deadline: Timestamp,
    /// Idempotency key; a request with one runs at most once.
    pub idempotency: Option<IdempotencyKey>,
}

/// How a dispatched attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request reached the backend.
    NotSent,
    /// The backend refused it with `executed: no`.
    RefusedByBackend,
    /// The backend may have run it; no part of a response was sent to the caller.
    MayHaveRun,
    /// The response broke off after part of it was sent to the caller.
    BrokenOff {
        /// Tokens forwarded so far; a resumable stream continues from here.
        tokens: u64,
    },
}

/// Input of the routing core.
#[derive(Clone, Debug)]
pub enum RoutingInput {
    /// Time passed; sent every few milliseconds.
    Tick,
    /// A request arrived.
    Arrived(Arrival),
    /// The caller disconnected.
    CallerGone(RequestNumber),
    /// The first byte of a response arrived.
    FirstByte(RequestNumber),
    /// The attempt ended with a complete response.
    Completed {
        /// Request.
        request: RequestNumber,
        /// Response to record; only for claimed requests.
        answer: Option<RecordedAnswer>,
    },
    /// The attempt failed.
    Failed {
        /// Request.
        request: RequestNumber,
        /// How it failed.
        failure: AttemptFailure,
    },
    /// The leader responded to a report.
    Update(RouterUpdate),
    /// A link to the leader was established; hello and report are sent on it.
    LinkUp,
    /// The link was lost. The lease stays valid until it expires.
    LinkDown,
    /// The control group decided on a claim.
    ClaimDecided {
        /// Attempt: the number of the request.
        attempt: u64,
        /// Decision.
        decision: ClaimDecision,
    },
    /// The conclusion of a claim was committed.
    ClaimFinished {
        /// Attempt: the number of the request.
        attempt: u64,
    },
    /// A watched backend sent its state or did not respond.
    Observed(BackendObservation),
    /// The leader has an update that the last report did not acknowledge.
    ChangesAvailable,
    /// Refuse new requests, finish those in flight, then output `Drained`.
    Drain,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executed {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request was refused, with the status sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// Missing or unknown API key (401).
    UnknownKey,
    /// Unknown model, adapter or path (404).
    NotFound,
    /// Denied by a policy, or not allowed by any (403).
    PolicyDenied,
    /// The path requires an idempotency key (400).
    KeyRequired,
    /// The idempotency key is too old (400).
    KeyExpired,
    /// The idempotency key was used for a different request (422).
    KeyReused,
    /// Another attempt with this key is in progress (409).
    InProgress,
    /// An earlier attempt with this key may have run (409).
    MayHaveRun,
    /// The deadline cannot be met (503).
    Hopeless,
    /// The deadline passed (504).
    DeadlinePassed,
    /// Too many waiting requests (429).
    QueueFull,
    /// Too many waiting requests of this tenant (429).
    TenantLimit,
    /// The router has no valid lease (503).
    NoLease,
    /// The router is draining (503).
    Draining,
    /// Every allowed attempt failed (502).
    BackendFailed,
    /// The claim was not decided in time (503).
    ClaimUnavailable,
}

/// Final response to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub executed: Executed,
    /// When to retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
    /// Message for the caller: what is wrong and what to do.
    pub message: String,
}

/// An attempt to send to a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request.
    pub request: RequestNumber,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Tenant, for the `Millpass-Tenant` header.
    pub tenant: TenantName,
    /// Urgency, for the priority header.
    pub urgency: Urgency,
    /// Backend.
    pub backend: BackendName,
    /// Incarnation of the backend.
    pub incarnation: Incarnation,
    /// IP address and port.
    pub address: String,
    /// Replica and version; `None` for web backends.
    pub slot: Option<(SlotId, VersionLabel)>,
    /// Token position from which to resume; 0 for a first attempt.
    pub resume_from: u64,
    /// Latest time at which the attempt may be sent, bounded by lease and deadline. The host checks
    /// its clock right before it writes.
    pub send_before: Timestamp,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// The response must be recorded (claimed requests).
    pub record: bool,
}

/// Action that the host must execute.
#[derive(Clone, Debug)]
pub enum RoutingOutput {
    /// Send an attempt.
    Dispatch(Box<Dispatch>),
    /// Refuse a request.
    Refuse(RequestNumber, Refusal),
    /// Respond with the recorded response of an earlier request with the same key.
    Replay(RequestNumber, RecordedAnswer),
    /// Cancel the attempt at the backend.
    Cancel(RequestNumber),
    /// End a partly sent response with an explicit error.
    BreakOff(RequestNumber, Refusal),
    /// Send the hello on a new link.
    SendHello(RouterHello),
    /// Send a report.
    SendReport(RouterReport),
    /// Request a claim.
    SendClaim(ClaimBegin),
    /// Conclude a claim.
    SendClaimFinish(ClaimFinish),
    /// Watch exactly these backends.
    Watch(Vec<WatchedBackend>),
    /// Log an event.
    Event(RoutingEvent),
    /// All requests ended after `Drain`.
    Drained,
}

/// A log event with key-value pairs.
#[derive(Clone, Debug)]
pub struct RoutingEvent {
    /// Name of the event.
    pub name: &'static str,
    /// Key-value pairs, in order.
    pub pairs: Vec<(&'static str, String)>,
}
