//! Settings of the control member process.

use millpass_control_plane::FleetSettings;
use millpass_proto::{Duration, GroupId, ZoneName};
use millpass_scheduler::SchedulerSettings;
use millpass_storage::StorageOptions;
use std::path::{Path, PathBuf};

/// Timing of consensus; see the settings reference for what each bounds.
#[derive(Clone, Debug)]
pub struct ConsensusTiming {
    /// Shortest time without a leader before a member asks for votes.
    pub election_timeout: Duration,
    /// Time between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Time the leader may act alone after a heartbeat that a quorum acknowledged.
    pub lease_length: Duration,
    /// Time for which the leader's disk may stall, while a majority's go on, before it hands leadership over.
    pub stalled_disk_limit: Duration,
    /// Most log entries in one message.
    pub maximum_append_entries: usize,
    /// Bytes in one piece of a snapshot.
    pub snapshot_chunk_bytes: usize,
}

impl Default for ConsensusTiming {
    fn default() -> Self {
        ConsensusTiming {
            election_timeout: Duration::from_millis(800),
            heartbeat_interval: Duration::from_millis(100),
            lease_length: Duration::from_millis(600),
            stalled_disk_limit: Duration::from_secs(1),
            maximum_append_entries: 256,
            snapshot_chunk_bytes: 256 * 1024,
        }
    }
}

/// A member of the initial group, as every initial member's settings list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMember {
    /// Zone it runs in.
    pub zone: ZoneName,
    /// IP address and port for members and routers.
    pub peer_address: String,
    /// IP address and port of its administration API.
    pub administration_address: String,
}

/// A member that others find the group through. Its zone is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedMember {
    /// IP address and port for members and routers.
    pub peer_address: String,
    /// IP address and port of its administration API.
    pub administration_address: String,
}

/// Bounds of the process.
#[derive(Clone, Debug)]
pub struct ProcessLimits {
    /// Most connections of members, routers and joiners together.
    pub maximum_connections: usize,
    /// Most messages that wait for one member; later ones are dropped, and consensus resends.
    pub peer_queue: usize,
    /// Most messages that wait for one router; a router that does not read is disconnected.
    pub router_queue: usize,
    /// Most calls to engines and the platform at once, each on a thread; threads are started as calls need them.
    pub delivery_threads: usize,
    /// Most deliveries that wait for a thread; later ones are not sent.
    pub delivery_queue: usize,
    /// Longest wait for an engine's or the platform's answer.
    pub call_timeout: Duration,
    /// Silence after which a connection counts as broken.
    pub connection_timeout: Duration,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits {
            maximum_connections: 4_096,
            peer_queue: 1_024,
            router_queue: 1_024,
            delivery_threads: 32,
            delivery_queue: 4_096,
            call_timeout: Duration::from_secs(2),
            connection_timeout: Duration::from_secs(10),
        }
    }
}

/// Settings of a control member process.
#[derive(Clone, Debug)]
pub struct ControlProcessSettings {
    /// Consensus group.
    pub group: GroupId,
    /// Zone this member runs in.
    pub zone: ZoneName,
    /// Folder for log, snapshots and identity.
    pub data_folder: PathBuf,
    /// How that folder is written.
    pub storage: StorageOptions,
    /// IP address and port to listen at for members and routers; port 0 picks one.
    pub peer_listen: String,
    /// IP address and port to listen at for the administration API; port 0 picks one.
    pub administration_listen: String,
    /// Address others reach `peer_listen` at, where it differs.
    pub peer_advertise: Option<String>,
    /// Address others reach `administration_listen` at, where it differs.
    pub administration_advertise: Option<String>,
    /// Whether an empty data folder becomes a group of this member alone.
    pub bootstrap: bool,
    /// The initial members, the same list in the same order on each.
    pub initial_members: Vec<InitialMember>,
    /// Members to find the group through.
    pub seeds: Vec<SeedMember>,
    /// Whether the seeds form the group when their data folders are empty.
    pub form_from_seeds: bool,
    /// Where the platform's list is read; none for no platform.
    pub platform_address: Option<String>,
    /// BLAKE3 hash (hex) of the key that counts as administrator while no operator exists.
    pub bootstrap_key_hash: Option<String>,
    /// Timing of consensus.
    pub consensus: ConsensusTiming,
    /// Scheduler settings.
    pub scheduler: SchedulerSettings,
    /// Lease given to routers.
    pub router_lease: Duration,
    /// Time between scheduling rounds.
    pub scheduling_interval: Duration,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// How long claims are kept.
    pub claim_retention: Duration,
    /// Silence after which a member is replaced by a waiting one.
    pub member_replacement_delay: Duration,
    /// Time a machine must be missing from the platform's list before it counts as gone.
    pub machine_gone_delay: Duration,
    /// Voters up to which caught-up members are promoted; 0 to keep their number.
    pub target_voters: usize,
    /// Instances that announce themselves; none where the platform lists machines instead.
    pub fleet: Option<FleetSettings>,
    /// Bounds of the process.
    pub limits: ProcessLimits,
}

impl ControlProcessSettings {
    /// A group of one member on free loopback ports, for `millpass dev` and tests.
    pub fn single(data_folder: impl AsRef<Path>) -> Self {
        ControlProcessSettings {
            group: GroupId(1),
            zone: "local".into(),
            data_folder: data_folder.as_ref().to_owned(),
            storage: StorageOptions::default(),
            peer_listen: "127.0.0.1:0".to_owned(),
            administration_listen: "127.0.0.1:0".to_owned(),
            peer_advertise: None,
            administration_advertise: None,
            bootstrap: true,
            initial_members: Vec::new(),
            seeds: Vec::new(),
            form_from_seeds: false,
            platform_address: None,
            bootstrap_key_hash: None,
            consensus: ConsensusTiming::default(),
            scheduler: SchedulerSettings::default(),
            router_lease: Duration::from_secs(3),
            scheduling_interval: Duration::from_millis(50),
            snapshot_entries: 20_000,
            claim_retention: Duration::from_secs(86_400),
            member_replacement_delay: Duration::from_secs(30),
            machine_gone_delay: Duration::from_secs(10),
            fleet: None,
            target_voters: 0,
            limits: ProcessLimits::default(),
        }
    }
}
