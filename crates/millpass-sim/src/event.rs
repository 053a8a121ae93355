//! Events of the simulation queue.

use crate::content::ContentSeed;
use crate::engine::Part;
use crate::faults::Fault;
use crate::operators::Pending;
use millpass_checkers::{AnswerOutcome, RequestId, ScopedKey};
use millpass_control_plane::{AdministrationResponse, ConnectionId, ControlInput, ControlOutput};
use millpass_proto::{
    AdapterName, ControlToRouter, EngineOrder, LogPosition, OrderResponse, RouterToControl, SlotId,
    Snapshot,
};
use millpass_routing::{AttemptFailure, Dispatch, RoutingInput, Target};

/// One event. Events of a process carry the number of its run and are dropped once that run has
/// ended; a frozen process handles them when it resumes.
pub enum SimEvent {
    /// For a control member.
    Control(usize, u64, ControlEvent),
    /// For a router.
    Router(usize, u64, RouterEvent),
    /// For an engine.
    Engine(usize, u64, EngineEvent),
    /// For a web back end.
    Web(usize, u64, WebEvent),
    /// A load from the weight store ended.
    StoreLoadEnded(PendingLoad, u64),
    /// For the callers.
    Caller(CallerEvent),
    /// For an operator.
    Operator(usize, OperatorEvent),
    /// A fault begins or ends.
    Fault(Fault),
    /// All faults end.
    Heal,
    /// An earlier order is delivered again by a sender outside the system.
    ReplayOrder,
    /// The audit log is requested.
    ReadAudit,
    /// The platform's list shows a back end of this run as leaving.
    ListedLeaving(BackEnd, u64),
    /// The leave notice of a back end of this run has elapsed.
    LeaveNoticeElapsed(BackEnd, u64),
    /// The run ends.
    RunEnd,
}

/// A back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackEnd {
    /// Engine of this index.
    Engine(usize),
    /// Web back end of this index.
    Web(usize),
}

/// Event of a control member.
pub enum ControlEvent {
    /// A tick of the core is due.
    Tick,
    /// An input of the core.
    Input(Box<ControlInput>),
    /// A worker executes an output of the core.
    Execute(Box<ControlOutput>),
    /// The disk synced a write.
    DiskSynced(u64),
    /// The disk saved a snapshot.
    SnapshotSaved(Box<Snapshot>),
    /// A router of this run opened a connection.
    Opened(ConnectionId, usize, u64),
    /// A message was received on a connection.
    FromRouter(ConnectionId, Box<RouterToControl>),
    /// A connection ended.
    Closed(ConnectionId),
    /// The process requests membership.
    RequestJoin,
    /// The response to a delivery of an order; `None` if it failed or timed out.
    DeliveryEnded(u64, Option<OrderResponse>),
}

/// Event of a router.
pub enum RouterEvent {
    /// A tick of the core is due.
    Tick,
    /// An input of the core.
    Input(Box<RoutingInput>),
    /// A worker sends an attempt.
    Send(Box<Dispatch>),
    /// The reports of watched back ends are due.
    Poll,
    /// The link to the control group is to be opened.
    Connect,
    /// The link to the member with this index is open.
    Connected(ConnectionId, usize),
    /// The link could not be opened, or ended.
    LinkEnded(ConnectionId),
    /// A message was received on the link.
    FromControl(ConnectionId, Box<ControlToRouter>),
    /// A request was received.
    Request(Box<CallerRequest>),
    /// A caller closed its connection.
    CallerGone(RequestId),
    /// A part of an answer was received.
    Answer(AttemptKey, AnswerPart),
    /// An attempt failed.
    Failed(AttemptKey, AttemptFailure),
    /// An event that arrived while the process was frozen.
    Deferred(Box<RouterEvent>),
    /// Progress timeout of an attempt that had received this many parts.
    NoProgress(AttemptKey, u64),
}

/// One attempt at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Number of the request in the router's run.
    pub request: u64,
    /// Number of the attempt.
    pub attempt: u32,
}

/// Destination of the answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplyTo {
    /// Router.
    pub router: usize,
    /// Number of its run.
    pub run: u64,
    /// Attempt.
    pub key: AttemptKey,
}

/// A part of an answer.
#[derive(Clone, Debug)]
pub struct AnswerPart {
    /// Tokens.
    pub tokens: Vec<u64>,
    /// Whether it is the last part.
    pub last: bool,
}

/// A request at a back end.
#[derive(Clone, Debug)]
pub struct BackEndRequest {
    /// Caller's request.
    pub request: RequestId,
    /// Claim key; `None` if the request may be repeated.
    pub key: Option<ScopedKey>,
    /// Seed of the answer's content.
    pub seed: ContentSeed,
    /// Length of the complete answer, in tokens.
    pub length: u64,
    /// Position of the first token to send.
    pub resume_from: u64,
    /// Slot, for an engine.
    pub slot: Option<SlotId>,
    /// Adapter, for an engine.
    pub adapter: Option<AdapterName>,
    /// Destination of the answer.
    pub reply_to: ReplyTo,
}

/// Run number that matches any run of a process.
pub const ANY_RUN: u64 = u64::MAX;

/// Destination of the response to an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderReply {
    /// Index of the control member.
    pub member_index: usize,
    /// Number of its run.
    pub run: u64,
    /// Number of the delivery.
    pub delivery: u64,
}

/// Event of an engine.
pub enum EngineEvent {
    /// An order, with the destination of its response.
    Order(Box<EngineOrder>, Option<OrderReply>),
    /// A request.
    Request(Box<BackEndRequest>),
    /// A request was cancelled.
    Cancel(ReplyTo),
    /// The next step of a running request is done.
    Step(ReplyTo),
    /// A load ended; true if it succeeded.
    Loaded(Part, LogPosition, bool),
    /// The unload time of a part has elapsed.
    Unloaded(Part),
    /// A router of this run reads the report.
    Poll(usize, u64),
}

/// Event of a web back end.
pub enum WebEvent {
    /// A request.
    Request(Box<BackEndRequest>),
    /// A request was cancelled.
    Cancel(ReplyTo),
    /// The service time of a request has elapsed.
    Done(ReplyTo),
    /// A router of this run reads the report.
    Poll(usize, u64),
}

/// A load that waits for the weight store.
#[derive(Clone, Debug)]
pub struct PendingLoad {
    /// Engine.
    pub engine: usize,
    /// Number of its run.
    pub run: u64,
    /// Part.
    pub part: Part,
    /// Fence of the load order.
    pub fence: LogPosition,
}

/// A request as sent by its caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request.
    pub id: RequestId,
    /// API key.
    pub api_key: String,
    /// Tenant of the API key.
    pub tenant: millpass_proto::TenantName,
    /// Requested model or path.
    pub target: Target,
    /// Time from sending to the deadline, in microseconds.
    pub timeout_micros: u64,
    /// Time of sending, in microseconds.
    pub sent_at: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Length of the complete answer, in tokens.
    pub length: u64,
    /// Claim key; `None` if the request may be repeated.
    pub key: Option<ScopedKey>,
    /// Creation time of the key, in Unix milliseconds.
    pub key_created_unix_millis: u64,
    /// Remaining resends after a failure.
    pub resends: u32,
    /// Time after which the caller hangs up, in microseconds; `None` if it waits.
    pub hang_up_after: Option<u64>,
}

/// Event of the callers.
pub enum CallerEvent {
    /// The next request of the open loop is due.
    Next,
    /// A burst of requests for one model.
    Burst(usize),
    /// A request is sent or resent.
    Send(Box<CallerRequest>),
    /// A part of an answer was received.
    Answer(RequestId, AnswerPart),
    /// The request ended without a complete answer.
    Ended(RequestId, AnswerOutcome),
    /// The caller hangs up.
    HangUp(RequestId),
}

/// Event of an operator.
pub enum OperatorEvent {
    /// Reads an object and then changes it.
    Begin,
    /// The response to the call of this number.
    Responded(u64, Box<AdministrationResponse>),
    /// Sends or resends a call.
    Send(Box<Pending>),
    /// The call of this number timed out.
    TimedOut(u64),
}
