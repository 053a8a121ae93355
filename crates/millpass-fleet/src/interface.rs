//! Settings, inputs and outputs of the core.

use millpass_origins::TableSettings;
use millpass_proto::{
    CallId, CrashUpdate, Duration, EngineInstruction, GatewayUpdate, InstanceChanges, InstanceId,
    InstructionResult, LimitUpdate, PartRecord, PartSet, PeerUpdate, QuarantineRecord,
    RequestFingerprint,
};
use millpass_quarantine::PartQuarantineSettings;
use millpass_tenancy::QuotaTolerance;

/// Settings of the core.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Name under which this process sends orders to engines.
    pub holder: String,
    /// Interval between announcements of an instance.
    pub announce_interval: Duration,
    /// Time without announcements after which an instance is removed.
    pub instance_timeout: Duration,
    /// Time after an engine's last instruction during which no other leader instructs it.
    pub order_handover: Duration,
    /// Maximum time from the commit of an instruction record to the last byte of the instruction.
    /// Another leader waits this much longer than `order_handover`, which counts from the last
    /// byte.
    pub order_lifetime: Duration,
    /// Tolerance above tenants' limits.
    pub quota: QuotaTolerance,
    /// How origins of streams are kept.
    pub origins: TableSettings,
    /// When parts of prompts are refused.
    pub parts: PartQuarantineSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            holder: "control".to_owned(),
            announce_interval: Duration::from_millis(1_200),
            instance_timeout: Duration::from_millis(6_000),
            order_handover: Duration::from_millis(3_500),
            order_lifetime: Duration::from_millis(200),
            quota: QuotaTolerance::default(),
            origins: TableSettings::default(),
            parts: PartQuarantineSettings::default(),
        }
    }
}

/// Number of instances known at a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSizes {
    /// Instances that announce themselves at this member.
    pub local: usize,
    /// Instances sent to gateways; 0 unless this member leads.
    pub active: usize,
    /// Instances on standby; 0 unless this member leads.
    pub standby: usize,
    /// Engines whose time differs from their service's median; 0 unless this member leads.
    pub known_paces: usize,
    /// Slowest time of an engine relative to its service's median, in hundredths.
    pub slowest_pace: u32,
    /// Gateways that state to reach no instance of a service; 0 unless this member leads.
    pub gateways_without_contact: usize,
    /// Streams whose origins are kept; 0 unless this member leads.
    pub stream_origins: usize,
    /// Streams whose origins were not kept for lack of room, since it leads.
    pub dropped_origins: u64,
}

/// A log event.
#[derive(Clone, Debug)]
pub struct FleetEvent {
    /// Event name.
    pub name: &'static str,
    /// Key-value pairs, in output order.
    pub pairs: Vec<(&'static str, String)>,
}

/// Outcome of a call to an engine.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Incarnation that was called.
    pub instance: InstanceId,
    /// Call that this is the response to.
    pub call: CallId,
    /// Response of the engine, or why there is none.
    pub result: InstructionResult,
    /// Time the call was queued before it was sent.
    pub queue_time: Duration,
    /// Time from sending to the response.
    pub response_time: Duration,
}

/// An action for the host to perform.
#[derive(Clone, Debug)]
pub enum FleetOutput {
    /// Sends an update to a gateway.
    Update {
        /// Gateway connection, as numbered by the host.
        connection: u64,
        /// Update to send.
        update: Box<GatewayUpdate>,
    },
    /// Sends the quarantined requests to a gateway.
    Crashes {
        /// Gateway connection, as numbered by the host.
        connection: u64,
        /// Quarantined requests.
        update: CrashUpdate,
    },
    /// Sends the limits stated by instances to a gateway.
    Limits {
        /// Gateway connection, as numbered by the host.
        connection: u64,
        /// Limits of instances.
        update: LimitUpdate,
    },
    /// Sends a gateway that lacks contact the gateways that may serve its requests.
    Peers {
        /// Gateway connection, as numbered by the host.
        connection: u64,
        /// Gateways.
        update: PeerUpdate,
    },
    /// Records a quarantined request in the replicated log.
    QuarantineRequest(QuarantineRecord),
    /// Removes a released request from the replicated log.
    LiftQuarantine(RequestFingerprint),
    /// Records refused parts of prompts in the replicated log.
    QuarantineParts(PartRecord),
    /// Removes released parts of prompts from the replicated log.
    ReleaseParts(PartSet),
    /// Sends an instruction to an engine.
    Instruct(EngineInstruction),
    /// Reads the state of an engine.
    ReadEngine {
        /// Incarnation to read.
        instance: InstanceId,
        /// IP address and port.
        address: String,
        /// Call id to repeat in the response.
        call: CallId,
    },
    /// Records changed instances in the replicated log.
    RecordInstances(InstanceChanges),
    /// Records in the replicated log how many loads the weight store serves at full speed at once,
    /// in hundredths of a load.
    RecordStoreCapacity(u32),
    /// A gateway reported the current document for the first time on its connection. Carries the
    /// time since its commit.
    DocumentAcknowledged(Duration),
    /// A gateway reported to have received a departure. Carries the time since its commit.
    DepartureAcknowledged(Duration),
    /// Writes a log event.
    Event(FleetEvent),
}
