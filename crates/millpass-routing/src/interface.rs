//! Inputs, outputs and settings of a router's decision core.

use millpass_proto::{
    AdapterName, BackendName, BackendObservation, ClaimBegin, ClaimDecision, ClaimFinish, ClaimKey,
    Duration, GroupId, Incarnation, ModelName, RecordedAnswer, RouterHello, RouterName,
    RouterReport, RouterUpdate, SlotId, TenantName, Timestamp, Urgency, VersionLabel,
    WatchedBackend, ZoneName,
};

/// Settings of the decision core.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Group.
    pub group: GroupId,
    /// This router.
    pub router: RouterName,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its zone; back ends of the same zone are preferred.
    pub zone: ZoneName,
    /// IP address and port of its caller API.
    pub address: String,
    /// Time between reports when idle; with waiting requests the next report goes out at once,
    /// but no more often than `minimum_report_interval`.
    pub report_interval: Duration,
    /// Shortest time between two reports.
    pub minimum_report_interval: Duration,
    /// Most requests waiting in all.
    pub maximum_waiting: usize,
    /// Most attempts of one request, the first included.
    pub maximum_attempts: u32,
    /// Retries allowed per hundred first attempts.
    pub retry_budget_percent: u32,
    /// Consecutive failures after which a back end is left out for a while.
    pub circuit_failures: u32,
    /// How long it is left out.
    pub circuit_open: Duration,
    /// How long a claim is waited for before the request is refused.
    pub claim_timeout: Duration,
}

/// Number of a request within one run of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, with an adapter or without.
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
    /// A path of a group of web back ends.
    Web {
        /// Path with query.
        path: String,
        /// Whether the method may be repeated (GET, HEAD).
        safe_method: bool,
    },
}

/// Idempotency key and birth of a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Key.
    pub key: ClaimKey,
    /// Birth, from the key (UUID version 7) or the `Idempotency-Key-Born` header.
    pub created_unix_millis: u64,
    /// BLAKE3 hash (hex) of method, path and body.
    pub digest: String,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number.
    pub request: RequestNumber,
    /// Identity that the caller knows, for explanations; may be empty or stand twice.
    pub request_id: String,
    /// API key as sent; the core looks up its hash.
    pub api_key: String,
    /// What it asks for.
    pub target: Target,
    /// When it must be answered or refused.
    pub deadline: Timestamp,
    /// Idempotency key, if any. With one, the request runs at most once.
    pub idempotency: Option<IdempotencyKey>,
}

/// How a dispatched attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request can have reached the back end.
    NotSent,
    /// The back end refused without running it (its documented `executed: no` answer).
    RefusedByBackend,
    /// The back end may have run it, and nothing of the answer went to the caller.
    MayHaveRun,
    /// The answer broke off after some of it went to the caller.
    BrokenOff {
        /// Tokens passed on so far; a resumable stream goes on from here.
        tokens: u64,
    },
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum RoutingInput {
    /// Time passed; sent every few milliseconds.
    Tick,
    /// A request arrived.
    Arrived(Arrival),
    /// The caller hung up.
    CallerGone(RequestNumber),
    /// The attempt got its first byte of answer.
    FirstByte(RequestNumber),
    /// The attempt ended with a whole answer. `answer` is given for claimed requests.
    Completed {
        /// Request.
        request: RequestNumber,
        /// Answer to record.
        answer: Option<RecordedAnswer>,
    },
    /// The attempt failed.
    Failed {
        /// Request.
        request: RequestNumber,
        /// How.
        failure: AttemptFailure,
    },
    /// The leader answered a report.
    Update(RouterUpdate),
    /// The link to the leader was made anew: say hello and report.
    LinkUp,
    /// The link was lost. Leases go on until they end.
    LinkDown,
    /// A claim was answered.
    ClaimDecided {
        /// Attempt: the request's number.
        attempt: u64,
        /// Decision.
        decision: ClaimDecision,
    },
    /// The end of a claim is committed.
    ClaimFinished {
        /// Attempt: the request's number.
        attempt: u64,
    },
    /// A watched back end was read, or did not answer.
    Observed(BackendObservation),
    /// The leader has something newer than the last report knew.
    ChangesAvailable,
    /// Stop: refuse new requests, finish those in flight, then report `Drained`.
    Drain,
}

/// Whether a refused request can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executed {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// No or unknown API key (401).
    UnknownKey,
    /// No such model, adapter or path (404).
    NotFound,
    /// A policy denies it, or none allows it (403).
    PolicyDenied,
    /// The path needs an idempotency key and none was given (400).
    KeyRequired,
    /// The idempotency key is too old (400).
    KeyExpired,
    /// The idempotency key was used for another request (422).
    KeyReused,
    /// Another attempt with this key is running (409).
    InProgress,
    /// An earlier attempt with this key may have run (409).
    MayHaveRun,
    /// The deadline cannot be met (503).
    Hopeless,
    /// The deadline passed (504).
    DeadlinePassed,
    /// Too many requests wait (429).
    QueueFull,
    /// The tenant has too many requests waiting (429).
    TenantLimit,
    /// This router has no fresh lease (503).
    NoLease,
    /// The router is stopping (503).
    Draining,
    /// Every allowed attempt failed (502).
    BackendFailed,
    /// The control group did not answer the claim in time (503).
    ClaimUnavailable,
}

/// A refusal: final, and given at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Whether it can have run.
    pub executed: Executed,
    /// When to come back, if that can help.
    pub retry_after: Option<Duration>,
    /// One sentence for the caller, with the remedy.
    pub message: String,
}

/// Where to send an attempt.
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
    /// Back end.
    pub backend: BackendName,
    /// Run of the back end.
    pub incarnation: Incarnation,
    /// IP address and port.
    pub address: String,
    /// Replica and version, for a model.
    pub slot: Option<(SlotId, VersionLabel)>,
    /// Token position to go on from; 0 for a fresh attempt.
    pub resume_from: u64,
    /// The attempt must be sent no later than this (lease and deadline); the host checks its
    /// clock right before writing.
    pub send_before: Timestamp,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Whether the answer is to be recorded (claimed request).
    pub record: bool,
}

/// What the host must do.
#[derive(Clone, Debug)]
pub enum RoutingOutput {
    /// Send an attempt.
    Dispatch(Box<Dispatch>),
    /// Refuse a request.
    Refuse(RequestNumber, Refusal),
    /// Answer with a recorded answer of an earlier run.
    Replay(RequestNumber, RecordedAnswer),
    /// Cancel the attempt at the back end.
    Cancel(RequestNumber),
    /// End the answer with an explicit error: it broke off and cannot go on.
    BreakOff(RequestNumber, Refusal),
    /// Say hello on a new link.
    SendHello(RouterHello),
    /// Send a report.
    SendReport(RouterReport),
    /// Ask for a claim.
    SendClaim(ClaimBegin),
    /// End a claim.
    SendClaimFinish(ClaimFinish),
    /// Watch these back ends, and no others.
    Watch(Vec<WatchedBackend>),
    /// One event for the log.
    Event(RoutingEvent),
    /// Every request ended after `Drain`.
    Drained,
}

/// An event worth a log line: a name and key=value pairs.
#[derive(Clone, Debug)]
pub struct RoutingEvent {
    /// Name of the event.
    pub name: &'static str,
    /// Pairs, in order.
    pub pairs: Vec<(&'static str, String)>,
}
