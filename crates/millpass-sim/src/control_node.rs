//! A simulated control member: its core, disk, clock and connections.

use crate::clock::NodeClock;
use crate::disk::Disk;
use crate::event::ControlEvent;
use crate::network::Zone;
use crate::settings::StoreLimits;
use millpass_consensus::{ConsensusSettings, RestoredLog};
use millpass_control_plane::{ConnectionId, ControlPlane, ControlPlaneSettings};
use millpass_proto::{
    BackendName, Duration, GroupId, LogPosition, MemberAddress, MemberId, Timestamp,
};
use millpass_scheduler::SchedulerSettings;
use millpass_state::State;
use std::collections::BTreeMap;

/// The control group of the deployment.
pub const GROUP: GroupId = GroupId(1);
const SNAPSHOT_ENTRIES: u64 = 150;

/// A control machine and its process.
pub struct ControlNode {
    /// Addresses and identity of the member.
    pub address: MemberAddress,
    /// Zone.
    pub zone: Zone,
    /// Clock.
    pub clock: NodeClock,
    /// Disk.
    pub disk: Disk,
    /// Core; `None` while no process runs.
    pub core: Option<ControlPlane>,
    /// Number of the process's run.
    pub run: u64,
    /// Whether the process is suspended.
    pub frozen: bool,
    /// Events that arrived while it was frozen.
    pub backlog: Vec<ControlEvent>,
    /// Open connections, with router and its run.
    pub connections: BTreeMap<ConnectionId, (usize, u64)>,
    /// Deliveries of orders in flight.
    pub deliveries: BTreeMap<u64, (BackendName, LogPosition)>,
    /// Whether the disk was lost, so that the next process gets a new identity.
    pub disk_lost: bool,
    /// Whether the process requests membership.
    pub joining: bool,
    /// Whether a planned stop began.
    pub draining: bool,
}

impl ControlNode {
    /// Whether a process runs and is not frozen.
    pub fn runs(&self) -> bool {
        self.core.is_some() && !self.frozen
    }

    /// Starts a process from the state on the disk.
    pub fn start(&mut self, at_micros: u64, seed: u64, store: StoreLimits) -> anyhow::Result<()> {
        let (restored, data) = self.disk.restore();
        let state = read_state(&restored, data)?;
        let settings = member_settings(self.address.clone(), seed, store);
        let now: Timestamp = self.clock.local(at_micros);
        self.core = Some(ControlPlane::new(settings, restored, state, now));
        self.frozen = false;
        self.draining = false;
        self.backlog.clear();
        self.connections.clear();
        Ok(())
    }
}

fn read_state(restored: &RestoredLog, data: &[u8]) -> anyhow::Result<State> {
    if restored.snapshot.last.index == 0 {
        return Ok(State::default());
    }
    Ok(State::decode(data)?)
}

/// Returns the identity of a member; `losses` distinguishes replaced disks.
pub fn member_id(member_index: usize, losses: u64) -> MemberId {
    MemberId(member_index as u64 + 1 + 100 * losses)
}

/// Returns the addresses of a member.
pub fn member_address(member_index: usize, zone: Zone, member: MemberId) -> MemberAddress {
    MemberAddress {
        member,
        zone: zone_name(zone),
        peer_address: format!("10.0.{zone}.{member_index}:7000"),
        administration_address: format!("10.0.{zone}.{member_index}:7001"),
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: Zone) -> millpass_proto::ZoneName {
    millpass_proto::ZoneName(format!("zone-{zone}"))
}

fn member_settings(address: MemberAddress, seed: u64, store: StoreLimits) -> ControlPlaneSettings {
    let consensus = ConsensusSettings {
        group: GROUP,
        member: address.member,
        election_timeout: Duration::from_millis(500),
        heartbeat_interval: Duration::from_millis(100),
        lease_length: Duration::from_millis(400),
        stalled_disk_limit: Duration::from_secs(1),
        maximum_append_entries: 64,
        maximum_append_bytes: 384 * 1024,
        maximum_in_flight_bytes: 4 * 1024 * 1024,
        maximum_uncommitted_bytes: 16 * 1024 * 1024,
        snapshot_chunk_bytes: 4_096,
        seed,
    };
    let scheduler = SchedulerSettings {
        store_loads_per_second: store.loads_per_second,
        store_concurrent_loads: store.concurrent_loads,
        store_bytes_per_second: 100_000,
        ..SchedulerSettings::default()
    };
    ControlPlaneSettings {
        address,
        consensus,
        scheduler,
        router_lease: Duration::from_millis(2_500),
        scheduling_interval: Duration::from_millis(100),
        snapshot_entries: SNAPSHOT_ENTRIES,
        claim_retention: Duration::from_secs(3_600),
        member_replacement_delay: Duration::from_millis(1_500),
        machine_gone_delay: Duration::from_millis(2_000),
        fleet: None,
        seeds: Vec::new(),
        target_voters: 0,
    }
}
