//! Inputs, outputs and settings of a control member's decision core.

use millpass_consensus::{ConsensusSettings, ConsensusStatus, MembershipChange, PersistRequest};
use millpass_fleet::{CallResult, FleetSettings};
use millpass_proto::{
    AuditRecord, BackendName, BackendState, CallId, ConfigurationRevision, ControlToRouter,
    Duration, EngineInstruction, EngineOrder, InstanceDeparture, InstanceId, InstanceRecord,
    LogPosition, MemberAddress, ObjectChange, ObjectChangeOutcome, ObjectKey, ObjectKind,
    OrderResponse, PartSet, PeerEnvelope, PlatformList, PutDocument, RefusedParts,
    RequestFingerprint, RouterToControl, ShareReport, ShareResponse, Snapshot, StoredObject,
    Timestamp,
};
use millpass_scheduler::SchedulerSettings;

/// Settings of the decision core.
#[derive(Clone, Debug)]
pub struct ControlPlaneSettings {
    /// This member and its addresses.
    pub address: MemberAddress,
    /// Consensus settings.
    pub consensus: ConsensusSettings,
    /// Scheduler settings.
    pub scheduler: SchedulerSettings,
    /// Lease granted to routers for catalog and routes.
    pub router_lease: Duration,
    /// Time between scheduling rounds.
    pub scheduling_interval: Duration,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Time for which claims are retained.
    pub claim_retention: Duration,
    /// Time without contact after which a voter is replaced by a waiting learner.
    pub member_replacement_delay: Duration,
    /// Peer addresses of other members, used to discover the group.
    pub seeds: Vec<String>,
    /// Number of voters up to which caught-up learners are promoted; 0 keeps the current number.
    pub target_voters: usize,
    /// Time for which a machine must be missing from the platform's list before it is marked as
    /// gone.
    pub machine_gone_delay: Duration,
    /// Settings for instances that announce themselves; `None` where the platform lists machines
    /// instead.
    pub fleet: Option<FleetSettings>,
}

/// Connection of a router or joiner, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An input of the core.
#[derive(Clone, Debug)]
pub enum ControlInput {
    /// Time has passed; sent every few milliseconds.
    Tick,
    /// A message from another member.
    Peer(PeerEnvelope),
    /// First message on a member's connection, with its address.
    MemberHello(MemberAddress),
    /// A process requests to become a member.
    Join(MemberAddress),
    /// A message from a router.
    Router {
        /// Connection of the message; responses are sent on it.
        connection: ConnectionId,
        /// The message.
        message: RouterToControl,
    },
    /// A router's connection was closed.
    RouterDisconnected(ConnectionId),
    /// An update for a gateway started to queue behind an unsent one, or the queue has drained.
    RouterBacklog {
        /// Connection of the gateway.
        connection: ConnectionId,
        /// Whether an update is queued.
        backlogged: bool,
    },
    /// Result of an attempt to deliver an order.
    OrderDelivered {
        /// Engine that the order is for.
        backend: BackendName,
        /// Fence of the order.
        fence: LogPosition,
        /// The engine's response; `None` if none arrived, although the order may have been
        /// delivered.
        response: Option<OrderResponse>,
    },
    /// The platform's list was read.
    PlatformListed(PlatformList),
    /// The write with this number is on disk.
    Persisted {
        /// Number from [`PersistRequest::write`].
        write: u64,
    },
    /// A call of the administration API, already authenticated.
    Administration {
        /// Number of the call, echoed in the response.
        call: u64,
        /// The request.
        request: AdministrationRequest,
    },
    /// Shut down gracefully: transfer leadership, then emit [`ControlOutput::Stopped`].
    Drain,
    /// Result of an instruction to an engine or of reading an engine's state.
    EngineCallCompleted(CallResult),
    /// Another member reports its share of the instances.
    Share(ShareReport),
    /// Response to this member's share report.
    ShareResponse(ShareResponse),
}

/// A call of the administration API.
#[derive(Clone, Debug)]
pub enum AdministrationRequest {
    /// Changes one object.
    Change(ObjectChange),
    /// Reads one object.
    Get(ObjectKey),
    /// Lists the objects of a kind.
    List(ObjectKind),
    /// Reads the state of the deployment.
    Status,
    /// Reads the audit records after a revision.
    Audit(ConfigurationRevision),
    /// Sets the state of a back end.
    MarkBackend(BackendName, BackendState),
    /// Changes the membership.
    ChangeMembership(MembershipChange),
    /// Commits a deployment document.
    PutDocument(Box<PutDocument>),
    /// Reads the current deployment document as it was uploaded.
    GetDocument,
    /// Announcement of an instance.
    Announce(InstanceRecord),
    /// Reports that an instance is leaving or has ended.
    Depart(InstanceDeparture),
    /// Lists the quarantined requests and the refused parts of prompts.
    QuarantinedRequests,
    /// Releases a quarantined request.
    LiftQuarantine(RequestFingerprint),
    /// Releases refused parts of prompts.
    ReleaseParts(PartSet),
}

/// Response to a call of the administration API.
#[derive(Clone, Debug)]
pub enum AdministrationResponse {
    /// Outcome of a committed change.
    Change(ObjectChangeOutcome),
    /// The object; `None` if it does not exist.
    Object(Option<StoredObject>),
    /// The objects of a kind.
    Objects(Vec<StoredObject>),
    /// State of the deployment.
    Status(Box<DeploymentStatus>),
    /// The audit records.
    Audit(Vec<AuditRecord>),
    /// The call succeeded.
    Done,
    /// Quarantined requests, each with its attributed crashes and remaining quarantine, and refused
    /// parts of prompts.
    QuarantinedRequests(Vec<(RequestFingerprint, u32, Duration)>, Vec<RefusedParts>),
    /// The deployment document as it was uploaded; `None` before the first one.
    DocumentSource(Option<Vec<u8>>),
    /// This member is not leading; the call had no effect here.
    NotLeader {
        /// Administration address of the leader, if known.
        leader_address: Option<String>,
    },
    /// The outcome is unknown; resend with the same change id.
    Unknown,
    /// Too many pending changes; the call had no effect. Retry after a second.
    Busy,
    /// The call was refused; the reason and what to do about it.
    Refused(String),
}

/// State of the deployment as observed by the leader.
#[derive(Clone, Debug)]
pub struct DeploymentStatus {
    /// State of the consensus core.
    pub consensus: ConsensusStatus,
    /// Revision of the catalog.
    pub configuration: ConfigurationRevision,
    /// Connected routers and the revisions that they applied.
    pub routers: Vec<RouterStatus>,
    /// Replicas in all phases.
    pub replicas: Vec<millpass_proto::Replica>,
    /// Back ends and their states.
    pub backends: Vec<(BackendName, BackendState)>,
    /// Number of outstanding orders.
    pub outstanding_orders: u64,
}

/// A router as observed by the leader.
#[derive(Clone, Debug)]
pub struct RouterStatus {
    /// Name of the router.
    pub router: millpass_proto::RouterName,
    /// Zone of the router.
    pub zone: millpass_proto::ZoneName,
    /// Catalog revision that the router applied.
    pub configuration: ConfigurationRevision,
    /// Milliseconds since its last report.
    pub millis_since_report: u64,
    /// Whether the router is draining.
    pub draining: bool,
}

/// An output of the core, to be executed by the host.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// Send a message to another member.
    SendPeer {
        /// Peer address of the member.
        address: String,
        /// The message.
        envelope: PeerEnvelope,
    },
    /// Send a message to a router or joiner.
    SendRouter {
        /// Connection to send on.
        connection: ConnectionId,
        /// The message.
        message: Box<ControlToRouter>,
    },
    /// Deliver an order to an engine. The leader lease was checked in the same step.
    DeliverOrder {
        /// IP address and port of the engine.
        address: String,
        /// The order.
        order: EngineOrder,
    },
    /// Forward a join request to the leader.
    ForwardJoin {
        /// Peer address of the leader.
        address: String,
        /// The process that wants to join.
        joiner: MemberAddress,
    },
    /// Send this member's share of the instances to the leader, or to a member that may know the
    /// leader.
    SendShare {
        /// Peer address to send to.
        address: String,
        /// The report.
        report: ShareReport,
    },
    /// Respond to another member's share report.
    SendShareResponse {
        /// Peer address of the member.
        address: String,
        /// The response.
        response: ShareResponse,
    },
    /// Send an instruction to an engine and report [`ControlInput::EngineCallCompleted`]. The
    /// leader lease was checked in the same step.
    Instruct {
        /// The instruction.
        instruction: EngineInstruction,
        /// The instruction must be sent completely before this time or not at all; the next leader
        /// waits until then.
        deadline: Timestamp,
    },
    /// Read an engine's state and report [`ControlInput::EngineCallCompleted`].
    ReadEngine {
        /// Instance to read.
        instance: InstanceId,
        /// IP address and port of the instance.
        address: String,
        /// Identifies the call in its result.
        call: CallId,
    },
    /// Write and sync to disk, then report [`ControlInput::Persisted`].
    Persist(PersistRequest),
    /// Write this snapshot in the background and drop the log before it; no input follows.
    SaveSnapshot(Snapshot),
    /// Read the platform's list and report [`ControlInput::PlatformListed`].
    ReadPlatform,
    /// Respond to an administration call.
    AdministrationResponse {
        /// Number of the call.
        call: u64,
        /// The response.
        response: AdministrationResponse,
    },
    /// For metrics: time from the commit of the newest document until a gateway reported it.
    DocumentReached(Duration),
    /// For metrics: time from the commit of a departure until a gateway reported it.
    DepartureReached(Duration),
    /// An event for the log and metrics.
    Event(ControlEvent),
    /// The core has stopped; the process may exit.
    Stopped,
}

/// An event for the log: a name and key=value pairs.
#[derive(Clone, Debug)]
pub struct ControlEvent {
    /// Name of the event, such as `leader-elected`.
    pub name: &'static str,
    /// Key-value pairs, in order.
    pub pairs: Vec<(&'static str, String)>,
}

/// Reason why the core stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalState {
    /// The member was drained.
    Drained,
    /// A snapshot could not be decoded. Continuing could make this member's state diverge from the
    /// group's.
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
