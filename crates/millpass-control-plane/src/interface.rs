//! Inputs, outputs and settings of a control member's decision core.

use millpass_consensus::{ConsensusSettings, ConsensusStatus, MembershipChange, PersistRequest};
use millpass_fleet::{CallAnswer, FleetSettings};
use millpass_proto::{
    AuditRecord, BackendName, BackendState, CallId, ConfigurationRevision, ControlToRouter,
    Duration, EngineInstruction, EngineOrder, InstanceDeparture, InstanceId, InstanceRecord,
    LogPosition, MemberAddress, ObjectChange, ObjectChangeOutcome, ObjectKey, ObjectKind,
    OrderResponse, PeerEnvelope, PlatformList, PutDocument, RequestFingerprint, RouterToControl,
    ShareReport, ShareResponse, Snapshot, StoredObject, Timestamp,
};
use millpass_scheduler::SchedulerSettings;

/// Settings of the decision core.
#[derive(Clone, Debug)]
pub struct ControlPlaneSettings {
    /// This member and where it listens.
    pub address: MemberAddress,
    /// Consensus settings.
    pub consensus: ConsensusSettings,
    /// Scheduler settings.
    pub scheduler: SchedulerSettings,
    /// Lease given to routers for catalog and routes.
    pub router_lease: Duration,
    /// Time between scheduling rounds.
    pub scheduling_interval: Duration,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// How long claims are kept.
    pub claim_retention: Duration,
    /// Time without answer after which a dead voter is replaced by a waiting learner.
    pub member_replacement_delay: Duration,
    /// Peer addresses of other members to find the group through.
    pub seeds: Vec<String>,
    /// Voters up to which caught-up learners are promoted; 0 to keep their number.
    pub wanted_voters: usize,
    /// Time a machine must be missing from the platform's list before it counts as gone.
    pub machine_gone_delay: Duration,
    /// Instances that announce themselves, and the engines among them; none where the platform
    /// lists machines instead.
    pub fleet: Option<FleetSettings>,
}

/// A router's or joiner's connection, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An input of the core.
#[derive(Clone, Debug)]
pub enum ControlInput {
    /// Time passed; sent every few milliseconds.
    Tick,
    /// A message from a member.
    Peer(PeerEnvelope),
    /// A process introduced itself on its connection, before its messages as a member.
    PeerGreeting(MemberAddress),
    /// A process asks to become a member.
    Join(MemberAddress),
    /// A message from a router.
    Router {
        /// Connection it came on; answers go back on it.
        connection: ConnectionId,
        /// Message.
        message: RouterToControl,
    },
    /// A router's connection ended.
    RouterDisconnected(ConnectionId),
    /// An update of a gateway begins to wait behind another that its socket has not taken, or none waits any more.
    RouterBacklog {
        /// Connection.
        connection: ConnectionId,
        /// Whether one waits.
        waits: bool,
    },
    /// What became of a delivery attempt of an order.
    OrderDelivered {
        /// Engine.
        backend: BackendName,
        /// Fence of the order.
        fence: LogPosition,
        /// The engine's answer; none when there was none (it may have arrived all the same).
        answer: Option<OrderResponse>,
    },
    /// The platform's list was read.
    PlatformListed(PlatformList),
    /// The write of this number is synced.
    Persisted {
        /// Number from [`PersistRequest::write`].
        write: u64,
    },
    /// A call of the administration API, already authenticated by the core's own operators.
    Administration {
        /// Host's number, echoed in the answer.
        call: u64,
        /// Request.
        request: AdministrationRequest,
    },
    /// Stop: hand leadership over, then report [`ControlOutput::Stopped`].
    Drain,
    /// What became of an instruction to an engine, or of reading its state.
    InstructionAnswered(CallAnswer),
    /// Another member says what it hears of instances.
    Share(ShareReport),
    /// Answer to this member's own report.
    ShareResponse(ShareResponse),
}

/// A call of the administration API.
#[derive(Clone, Debug)]
pub enum AdministrationRequest {
    /// Change one object.
    Change(ObjectChange),
    /// Read one object.
    Get(ObjectKey),
    /// List objects of a kind.
    List(ObjectKind),
    /// State of the deployment.
    Status,
    /// Audit records after a revision.
    Audit(ConfigurationRevision),
    /// Set a back end's state by hand.
    MarkBackend(BackendName, BackendState),
    /// Change members.
    ChangeMembership(MembershipChange),
    /// Put a deployment document in force.
    PutDocument(Box<PutDocument>),
    /// Read the deployment document in force, as it was sent.
    GetDocument,
    /// An instance says what it is.
    Announce(InstanceRecord),
    /// An instance leaves or has left.
    Depart(InstanceDeparture),
    /// List the requests that are held back.
    HeldRequests,
    /// Let a request go that is held back.
    LiftRequest(RequestFingerprint),
}

/// Answer to a call of the administration API.
#[derive(Clone, Debug)]
pub enum AdministrationAnswer {
    /// Outcome of a change; committed before it is given.
    Change(ObjectChangeOutcome),
    /// The object, or none.
    Object(Option<StoredObject>),
    /// Objects.
    Objects(Vec<StoredObject>),
    /// State of the deployment.
    Status(Box<DeploymentStatus>),
    /// Audit records.
    Audit(Vec<AuditRecord>),
    /// Done.
    Done,
    /// Requests that are held back: how many ends count against each, and how much longer it is refused.
    HeldRequests(Vec<(RequestFingerprint, u32, Duration)>),
    /// The deployment document as it was sent; none before the first.
    DocumentSource(Option<Vec<u8>>),
    /// This member does not lead or cannot prove that it does; nothing was done here.
    NotLeader {
        /// Administration address of the leader, if known.
        leader_address: Option<String>,
    },
    /// The outcome is unknown: resend with the same change id.
    Unknown,
    /// Too many changes are under way; nothing was done. Retry in a second.
    Busy,
    /// Refused; reason and remedy.
    Refused(String),
}

/// State of the deployment as the leader sees it.
#[derive(Clone, Debug)]
pub struct DeploymentStatus {
    /// Consensus.
    pub consensus: ConsensusStatus,
    /// Revision of the catalog.
    pub configuration: ConfigurationRevision,
    /// Routers and what they applied.
    pub routers: Vec<RouterStatus>,
    /// Decided replicas, all phases.
    pub replicas: Vec<millpass_proto::Replica>,
    /// Back ends and their states.
    pub backends: Vec<(BackendName, BackendState)>,
    /// Orders outstanding.
    pub outstanding_orders: u64,
}

/// A router as the leader sees it.
#[derive(Clone, Debug)]
pub struct RouterStatus {
    /// Router.
    pub router: millpass_proto::RouterName,
    /// Its zone.
    pub zone: millpass_proto::ZoneName,
    /// Catalog revision it applied.
    pub configuration: ConfigurationRevision,
    /// Milliseconds since its last report.
    pub silent_millis: u64,
    /// Whether it is draining.
    pub draining: bool,
}

/// What the host must do.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// Send to a member; its address is in the membership.
    SendPeer {
        /// Where the member listens.
        address: String,
        /// Message.
        envelope: PeerEnvelope,
    },
    /// Send to a router or joiner on its connection.
    SendRouter {
        /// Connection.
        connection: ConnectionId,
        /// Message.
        message: Box<ControlToRouter>,
    },
    /// Deliver an order to an engine; the leader lease was checked just before.
    DeliverOrder {
        /// IP address and port of the engine.
        address: String,
        /// Order.
        order: EngineOrder,
    },
    /// Pass a request to join on to the member that leads.
    ForwardJoin {
        /// Where the leader listens.
        address: String,
        /// Who asks.
        joiner: MemberAddress,
    },
    /// Tell the leader, or who may know it, what this member hears of instances.
    SendShare {
        /// Where it listens.
        address: String,
        /// Report.
        report: ShareReport,
    },
    /// Answer another member's report of its instances.
    AnswerShare {
        /// Where the member listens.
        address: String,
        /// Answer.
        answer: ShareResponse,
    },
    /// Give an engine an instruction and answer [`ControlInput::InstructionAnswered`]; the leader
    /// lease was checked just before.
    Instruct {
        /// Instruction.
        instruction: EngineInstruction,
        /// Its last byte leaves before then, or it does not leave: the next leader waits for that long.
        ends_by: Timestamp,
    },
    /// Read an engine's state and answer [`ControlInput::InstructionAnswered`].
    ReadEngine {
        /// Run.
        instance: InstanceId,
        /// IP address and port.
        address: String,
        /// The call, named by its answer.
        call: CallId,
    },
    /// Write and sync, then answer [`ControlInput::Persisted`].
    Persist(PersistRequest),
    /// Write this snapshot in the background and drop the log before it. No answer needed.
    SaveSnapshot(Snapshot),
    /// Read the platform's list and answer [`ControlInput::PlatformListed`].
    ReadPlatform,
    /// Answer an administration call.
    Answer {
        /// Host's number of the call.
        call: u64,
        /// Answer.
        answer: AdministrationAnswer,
    },
    /// For metrics: a gateway reported the newest document, this long after it was committed.
    DocumentReached(Duration),
    /// For metrics: a gateway reported that it has been told of a departure, this long after it was committed.
    DepartureReached(Duration),
    /// One event for the log and metrics.
    Event(ControlEvent),
    /// Draining is done; the process may exit.
    Stopped,
}

/// An event worth a log line: a name and key=value pairs.
#[derive(Clone, Debug)]
pub struct ControlEvent {
    /// Name of the event, such as `leader-elected`.
    pub name: &'static str,
    /// Pairs, in order.
    pub pairs: Vec<(&'static str, String)>,
}

/// Why a core stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalState {
    /// It was drained.
    Drained,
    /// A snapshot did not decode; the member must not go on with another state than the group's.
    StateUnreadable(String),
}

impl std::fmt::Display for FinalState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FinalState::Drained => formatter.write_str("drained"),
            FinalState::StateUnreadable(reason) => write!(formatter, "state unreadable: {reason}"),
        }
    }
}
