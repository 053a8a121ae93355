//! A simulated control member: the decision core with its disk, clock and connections.

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

/// The one control group.
pub const GROUP: GroupId = GroupId(1);
const SNAPSHOT_ENTRIES: u64 = 150;

/// One control machine with the process on it.
pub struct ControlNode {
    /// Address and identity of the process.
    pub address: MemberAddress,
    /// Zone.
    pub zone: Zone,
    /// Clock.
    pub clock: NodeClock,
    /// Disk.
    pub disk: Disk,
    /// Core; none while no process runs.
    pub core: Option<ControlPlane>,
    /// Number of the process's run.
    pub run: u64,
    /// Whether it stopped running without ending.
    pub frozen: bool,
    /// Events that came while it was frozen, or that its workers left undone.
    pub backlog: Vec<ControlEvent>,
    /// Open connections: router and its run.
    pub connections: BTreeMap<ConnectionId, (usize, u64)>,
    /// Deliveries of orders under way.
    pub deliveries: BTreeMap<u64, (BackendName, LogPosition)>,
    /// Whether the disk was lost, so that the next process has a new identity.
    pub disk_lost: bool,
    /// Whether the process is to ask to become a member.
    pub joining: bool,
    /// Whether it was told to stop.
    pub draining: bool,
}

impl ControlNode {
    /// Whether a process lives here and runs.
    pub fn runs(&self) -> bool {
        self.core.is_some() && !self.frozen
    }

    /// Starts a process from the disk.
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

/// Identity of the member at a place after some losses of its disk.
pub fn member_id(place: usize, losses: u64) -> MemberId {
    MemberId(place as u64 + 1 + 100 * losses)
}

/// Address of the member at a place.
pub fn member_address(place: usize, zone: Zone, member: MemberId) -> MemberAddress {
    MemberAddress {
        member,
        zone: zone_name(zone),
        peer_address: format!("10.0.{zone}.{place}:7000"),
        administration_address: format!("10.0.{zone}.{place}:7001"),
    }
}

/// Name of a zone.
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
