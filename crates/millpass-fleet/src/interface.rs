//! Settings of the core, and what it wants of its host.

use millpass_proto::{
    CallId, CrashUpdate, Duration, EngineInstruction, GatewayUpdate, InstanceChanges, InstanceId,
    InstructionResult, LimitUpdate, QuarantineRecord, RequestFingerprint,
};
use millpass_tenancy::QuotaTerms;

/// Settings of the core.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Name under which this process gives orders.
    pub holder: String,
    /// Time between two announcements of an instance.
    pub announce_interval: Duration,
    /// Time after which an instance that is not heard of is gone.
    pub instance_silence: Duration,
    /// Time after an engine's last instruction for which no other leader instructs it.
    pub order_handover: Duration,
    /// Longest time from the commit of an instruction's note to its last byte. Another leader waits for so much longer
    /// than `order_handover`, which counts from the last byte.
    pub order_lifetime: Duration,
    /// What the contract bears above tenants' limits.
    pub quota: QuotaTerms,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            holder: "control".to_owned(),
            announce_interval: Duration::from_millis(1_200),
            instance_silence: Duration::from_millis(6_000),
            order_handover: Duration::from_millis(3_500),
            order_lifetime: Duration::from_millis(200),
            quota: QuotaTerms::default(),
        }
    }
}

/// Instances known at a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSizes {
    /// Those that announce themselves here.
    pub heard: usize,
    /// Those that gateways are told of; 0 where this member does not lead.
    pub active: usize,
    /// Those that stand by; 0 where this member does not lead.
    pub standby: usize,
}

/// An event worth a log line.
#[derive(Clone, Debug)]
pub struct FleetEvent {
    /// Name.
    pub name: &'static str,
    /// Pairs, in order.
    pub pairs: Vec<(&'static str, String)>,
}

/// What became of a call to an engine.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// Run it was for.
    pub instance: InstanceId,
    /// The call that it answers.
    pub call: CallId,
    /// Answer.
    pub answer: InstructionResult,
    /// For how long the call waited before it left.
    pub waited: Duration,
    /// Time from then to the answer.
    pub took: Duration,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum FleetOutput {
    /// Send to a gateway on its connection.
    Update {
        /// Connection, numbered by the host.
        connection: u64,
        /// Update.
        update: Box<GatewayUpdate>,
    },
    /// Tell a gateway what is held back.
    Crashes {
        /// Connection, numbered by the host.
        connection: u64,
        /// Update.
        update: CrashUpdate,
    },
    /// Send to a gateway which limits instances state.
    Limits {
        /// Its connection.
        connection: u64,
        /// Limits.
        update: LimitUpdate,
    },
    /// Keep a request that is held back in the replicated log.
    NoteHeldRequest(QuarantineRecord),
    /// Take it from there.
    LiftRequest(RequestFingerprint),
    /// Give an engine an instruction.
    Instruct(EngineInstruction),
    /// Read an engine's state.
    ReadEngine {
        /// Run.
        instance: InstanceId,
        /// IP address and port.
        address: String,
        /// The call, named by its answer.
        call: CallId,
    },
    /// Keep what changed in the replicated log.
    Note(InstanceChanges),
    /// Keep in the replicated log how many loads from the weight store at once go at full speed, in
    /// hundredths.
    NoteStoreCapacity(u32),
    /// A gateway reported the newest document for the first time on its connection, this long after it was
    /// committed.
    DocumentReached(Duration),
    /// A gateway reported that it has been told of a departure, this long after it was committed.
    DepartureReached(Duration),
    /// Log.
    Event(FleetEvent),
}
