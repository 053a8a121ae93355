//! What the event queue of a run holds.

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

/// One event. Events of a process carry the number of its run and are dropped when that run is
/// over; a frozen process gets them when it wakes.
pub enum SimEvent {
    /// For a control member.
    Control(usize, u64, ControlEvent),
    /// For a router.
    Router(usize, u64, RouterEvent),
    /// For an engine.
    Engine(usize, u64, EngineEvent),
    /// For a web back end.
    Web(usize, u64, WebEvent),
    /// A load at the weight store ended.
    StoreLoadEnded(StoreWaiter, u64),
    /// For the callers.
    Caller(CallerEvent),
    /// For an operator.
    Operator(usize, OperatorEvent),
    /// A fault, or the end of one.
    Fault(Fault),
    /// Everything is mended.
    Heal,
    /// Old orders are delivered again by somebody outside the system.
    RogueOrder,
    /// The audit log is read.
    ReadAudit,
    /// A back end appears on the platform's list as leaving.
    ListedLeaving(BackEnd, u64),
    /// A leaving machine stops.
    LeavingStops(BackEnd, u64),
    /// The run ends.
    Over,
}

/// A back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackEnd {
    /// Engine of this index.
    Engine(usize),
    /// Web back end of this index.
    Web(usize),
}

/// What a control member gets.
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// An input of the core.
    Input(Box<ControlInput>),
    /// A worker carries out an output of the core.
    Act(Box<ControlOutput>),
    /// The disk synced a write.
    DiskSynced(u64),
    /// The disk saved a snapshot.
    SnapshotSaved(Box<Snapshot>),
    /// A router opened a connection.
    Opened(ConnectionId, usize, u64),
    /// A message came on a connection.
    FromRouter(ConnectionId, Box<RouterToControl>),
    /// A connection ended.
    Closed(ConnectionId),
    /// A process that is no member yet asks to join.
    AskToJoin,
    /// The answer to a delivery of an order; none when there was none in time.
    OrderAnswered(u64, Option<OrderResponse>),
}

/// What a router gets.
pub enum RouterEvent {
    /// Time passed.
    Tick,
    /// An input of the core.
    Input(Box<RoutingInput>),
    /// A worker sends an attempt.
    Send(Box<Dispatch>),
    /// Watched back ends are read.
    Poll,
    /// The link is opened.
    Connect,
    /// The link is open.
    Connected(ConnectionId, usize),
    /// The link could not be opened, or ended.
    LinkEnded(ConnectionId),
    /// A message came on the link.
    FromControl(ConnectionId, Box<ControlToRouter>),
    /// A request came.
    Request(Box<CallerRequest>),
    /// A caller hung up.
    CallerGone(RequestId),
    /// Part of an answer came.
    Answer(AttemptKey, AnswerPart),
    /// An attempt failed.
    Failed(AttemptKey, AttemptFailure),
    /// An event that came while the process was frozen.
    Woken(Box<RouterEvent>),
    /// An attempt made no progress since it was this far.
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

/// Where the answer to an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplyTo {
    /// Router.
    pub router: usize,
    /// Its run.
    pub run: u64,
    /// Attempt.
    pub key: AttemptKey,
}

/// Part of an answer.
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
    /// Key, when it may not be repeated.
    pub key: Option<ScopedKey>,
    /// What the answer is made from.
    pub seed: ContentSeed,
    /// Length of the whole answer.
    pub length: u64,
    /// Position to go on from.
    pub resume_from: u64,
    /// Slot, for an engine.
    pub slot: Option<SlotId>,
    /// Adapter, for an engine.
    pub adapter: Option<AdapterName>,
    /// Where the answer goes.
    pub reply_to: ReplyTo,
}

/// Number that stands for whatever run of a process there is when an event arrives.
pub const ANY_RUN: u64 = u64::MAX;

/// Where the answer to an order goes.
#[derive(Clone, Copy, Debug)]
pub struct OrderReply {
    /// Place of the control member.
    pub place: usize,
    /// Its run.
    pub run: u64,
    /// Number of the delivery.
    pub delivery: u64,
}

/// What an engine gets.
pub enum EngineEvent {
    /// An order, with where its answer goes.
    Order(Box<EngineOrder>, Option<OrderReply>),
    /// A request.
    Request(Box<BackEndRequest>),
    /// A request was cancelled.
    Cancel(ReplyTo),
    /// A running request's next step is done.
    Step(ReplyTo),
    /// A load is over.
    Loaded(Part, LogPosition, bool),
    /// A part's memory is free.
    Unloaded(Part),
    /// A router reads the report.
    Poll(usize, u64),
}

/// What a web back end gets.
pub enum WebEvent {
    /// A request.
    Request(Box<BackEndRequest>),
    /// A request was cancelled.
    Cancel(ReplyTo),
    /// A request is done.
    Done(ReplyTo),
    /// A router reads the report.
    Poll(usize, u64),
}

/// An engine that waits for the weight store.
#[derive(Clone, Debug)]
pub struct StoreWaiter {
    /// Engine.
    pub engine: usize,
    /// Its run.
    pub run: u64,
    /// Part.
    pub part: Part,
    /// Fence of the load order.
    pub fence: LogPosition,
}

/// A request as its caller sends it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request.
    pub id: RequestId,
    /// API key.
    pub api_key: String,
    /// Tenant that the key belongs to.
    pub tenant: millpass_proto::TenantName,
    /// What it asks for.
    pub target: Target,
    /// Time it may take from when it is sent.
    pub allowed_micros: u64,
    /// When it was sent.
    pub sent_at: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Length of the whole answer.
    pub length: u64,
    /// Key, when it may not be repeated.
    pub key: Option<ScopedKey>,
    /// When the key was born.
    pub born_unix_millis: u64,
    /// Resends left after a refusal.
    pub resends: u32,
    /// Time after which the caller hangs up, if it does.
    pub hang_up_after: Option<u64>,
}

/// What the callers get.
pub enum CallerEvent {
    /// The next request of the open loop.
    Next,
    /// A burst for one model.
    Burst(usize),
    /// A request is sent, or sent again.
    Send(Box<CallerRequest>),
    /// Part of an answer came.
    Answer(RequestId, AnswerPart),
    /// The answer ended otherwise.
    Ended(RequestId, AnswerOutcome),
    /// The caller hangs up.
    HangUp(RequestId),
}

/// What an operator gets.
pub enum OperatorEvent {
    /// It reads an object and changes it.
    Begin,
    /// The answer to its call of this number.
    Answered(u64, Box<AdministrationResponse>),
    /// It asks, or asks again after a pause.
    Ask(Box<Pending>),
    /// No answer to its call of this number.
    TimedOut(u64),
}
