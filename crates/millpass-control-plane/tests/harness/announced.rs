//! Instances that announce themselves, and their gateway.

use super::{Timing, World};
use millpass_control_plane::FleetSettings;
use millpass_proto::*;

/// Returns the announcement of an instance of the service `web`.
pub fn instance_record(instance: InstanceId, sequence: u64, draining: bool) -> InstanceRecord {
    InstanceRecord {
        instance,
        service: "web".into(),
        address: "10.0.0.9:80".to_owned(),
        zone: "zone-1".into(),
        slots: 4,
        draining,
        warmup_millis: 0,
        sequence,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

/// Returns the first report of a gateway without document and instances that has applied required
/// entries up to this index.
pub fn gateway_report(as_of: u64) -> GatewayReport {
    GatewayReport {
        gateway: "g-1".to_owned(),
        zone: "zone-1".into(),
        sequence: 1,
        version: 0,
        demand: Vec::new(),
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    }
}

/// Creates a group of voters with the timing of a deployment whose instances announce themselves.
pub fn announcing_world(members: u64) -> World {
    let mut world = World::new(0);
    world.fleet = Some(FleetSettings::default());
    world.timing = Timing {
        election_timeout: Duration::from_millis(450),
        heartbeat_interval: Duration::from_millis(75),
        lease_length: Duration::from_millis(330),
    };
    world.boot_voters(members);
    world
}
