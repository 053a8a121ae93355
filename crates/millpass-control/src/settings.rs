//! Settings of the control member process.

use millpass_control_plane::FleetSettings;
use millpass_proto::{Duration, GroupId, ZoneName};
use millpass_scheduler::SchedulerSettings;
use millpass_storage::StorageOptions;
use std::path::{Path, PathBuf};

/// Timing of consensus.
#[derive(Clone, Debug)]
pub struct ConsensusTiming {
    /// Minimum time without a leader before a member requests votes.
    pub election_timeout: Duration,
    /// Interval of the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of the leader lease after a heartbeat that a quorum acknowledged.
    pub lease_length: Duration,
    /// Time for which the leader's disk may stall, while a majority's disks work, before it transfers leadership.
    pub stalled_disk_limit: Duration,
    /// Maximum number of log entries in one message.
    pub maximum_append_entries: usize,
    /// Size of one chunk of a snapshot, in bytes.
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

/// A member of the initial group, listed in the settings of every initial member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMember {
    /// Zone it runs in.
    pub zone: ZoneName,
    /// IP address and port for members and routers.
    pub peer_address: String,
    /// IP address and port of its administration API.
    pub administration_address: String,
}

/// A member through which others find the group. Its zone is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedMember {
    /// IP address and port for members and routers.
    pub peer_address: String,
    /// IP address and port of its administration API.
    pub administration_address: String,
}

/// Limits of the process.
#[derive(Clone, Debug)]
pub struct ProcessLimits {
    /// Maximum number of inbound connections of members, routers and joiners.
    pub maximum_connections: usize,
    /// Maximum number of messages queued for one member; later ones are dropped and resent by consensus.
    pub peer_queue: usize,
    /// Maximum number of messages queued for one router; when exceeded, the router is disconnected.
    pub router_queue: usize,
    /// Maximum number of concurrent calls to engines and the platform; each uses a thread, started on demand.
    pub delivery_threads: usize,
    /// Maximum number of calls that wait for a thread; later ones are not sent.
    pub delivery_queue: usize,
    /// Timeout of a call to an engine or the platform.
    pub call_timeout: Duration,
    /// Time without data after which a connection counts as broken.
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
    /// Id of the consensus group.
    pub group: GroupId,
    /// Zone this member runs in.
    pub zone: ZoneName,
    /// Folder for log, snapshots and identity.
    pub data_folder: PathBuf,
    /// Storage options of that folder.
    pub storage: StorageOptions,
    /// Listen address (IP:port) for members and routers; port 0 picks a free port.
    pub peer_listen: String,
    /// Listen address (IP:port) of the administration API; port 0 picks a free port.
    pub administration_listen: String,
    /// Advertised address of `peer_listen`, if it differs.
    pub peer_advertise: Option<String>,
    /// Advertised address of `administration_listen`, if it differs.
    pub administration_advertise: Option<String>,
    /// Whether an empty data folder becomes a group of this member alone.
    pub bootstrap: bool,
    /// The initial members; must be the same list in the same order on each.
    pub initial_members: Vec<InitialMember>,
    /// Members through which to find the group.
    pub seeds: Vec<SeedMember>,
    /// Whether the seeds form the group when their data folders are empty.
    pub form_from_seeds: bool,
    /// Address of the platform's list; `None` without a platform.
    pub platform_address: Option<String>,
    /// BLAKE3 hash (hex) of the key that has the administrator role while no operator exists.
    pub bootstrap_key_hash: Option<String>,
    /// Timing of consensus.
    pub consensus: ConsensusTiming,
    /// Scheduler settings.
    pub scheduler: SchedulerSettings,
    /// Lease granted to routers.
    pub router_lease: Duration,
    /// Time between scheduling rounds.
    pub scheduling_interval: Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Retention period of claims.
    pub claim_retention: Duration,
    /// Time without contact after which a member is replaced by a learner.
    pub member_replacement_delay: Duration,
    /// Time for which a machine must be missing from the platform's list before it counts as gone.
    pub machine_gone_delay: Duration,
    /// Target number of voters, up to which caught-up members are promoted; 0 to keep the current number.
    pub target_voters: usize,
    /// Settings of announced instances; `None` if the platform lists machines instead.
    pub fleet: Option<FleetSettings>,
    /// Limits of the process.
    pub limits: ProcessLimits,
}

impl ControlProcessSettings {
    /// Returns settings of a group of one on free loopback ports, for `millpass dev` and tests.
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
