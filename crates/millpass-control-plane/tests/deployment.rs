//! A deployment configured by one document, with instances that announce themselves.

mod harness;

use harness::announced::{gateway_report, instance_record};
use harness::{World, address, seconds};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ConnectionId, ControlInput, FleetSettings,
};
use millpass_proto::*;
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Creates a group of this size whose instances announce themselves.
fn world(members: u64) -> World {
    let mut world = World::new(0);
    world.fleet = Some(FleetSettings::default());
    world.snapshot_entries = 2;
    world.boot_voters(members);
    world
}

fn put(version: u64) -> AdministrationRequest {
    AdministrationRequest::PutDocument(Box::new(PutDocument {
        document: Arc::new(DeploymentDocument {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: CallerLimits {
                header_bytes: 0,
                body_bytes: 0,
                header_millis: 0,
                idle_millis: 0,
            },
            tenants: Vec::new(),
        }),
        source: Arc::new(ByteBuf::from(format!("version {version}").into_bytes())),
    }))
}

fn record(instance: &str, sequence: u64, draining: bool) -> InstanceRecord {
    instance_record(instance.into(), sequence, draining)
}

fn announce(instance: &str, sequence: u64, draining: bool) -> AdministrationRequest {
    AdministrationRequest::Announce(record(instance, sequence, draining))
}

fn source(world: &mut World, member: MemberId) -> Option<String> {
    match world.call(member, AdministrationRequest::GetDocument) {
        Some(AdministrationResponse::DocumentSource(Some(source))) => {
            Some(String::from_utf8(source).expect("text"))
        }
        _ => None,
    }
}

/// Returns the updates that a gateway received on this connection.
fn updates(world: &mut World, connection: ConnectionId) -> Vec<GatewayUpdate> {
    world
        .take_received(connection)
        .into_iter()
        .filter_map(|message| match message {
            ControlToRouter::Gateway(update) => Some(update),
            _ => None,
        })
        .collect()
}

fn report(world: &mut World, connection: ConnectionId) {
    report_as_of(world, connection, 0);
}

/// Sends the report of a gateway that has applied required entries up to this index.
fn report_as_of(world: &mut World, connection: ConnectionId, as_of: u64) {
    let report = gateway_report(as_of);
    world.router_sends(connection, RouterToControl::Gateway(report));
}

#[rstest]
#[case::alone(1)]
#[case::three(3)]
#[case::five(5)]
fn lower_document_versions_are_acknowledged_without_effect(#[case] members: u64) {
    let mut world = world(members);
    let leader = world.elect();
    for version in [7, 3, 7, 9] {
        let response = world.call(leader, put(version));
        assert!(
            matches!(response, Some(AdministrationResponse::Done)),
            "{response:?}"
        );
    }
    assert_eq!(source(&mut world, leader).as_deref(), Some("version 9"));
}

#[test]
fn acknowledged_document_survives_a_leader_change() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, put(4));
    world.halt(leader);
    let next = world.elect();
    assert_ne!(next, leader);
    assert_eq!(source(&mut world, next).as_deref(), Some("version 4"));
}

#[test]
fn leader_without_a_lease_serves_no_reads() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, put(4));
    world.members.get_mut(&leader).unwrap().partitioned = true;
    world.run(seconds(3));
    assert_eq!(source(&mut world, leader), None);
}

#[test]
fn acknowledged_drain_survives_the_leader() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, announce("i-1", 1, false));
    let response = world.call(leader, announce("i-1", 2, true));
    assert!(
        matches!(response, Some(AdministrationResponse::Done)),
        "{response:?}"
    );
    world.halt(leader);
    let next = world.elect();
    // A delayed copy of an earlier announcement, and a newer one that claims to be ready again.
    for sequence in [1, 9] {
        world.call(next, announce("i-1", sequence, false));
    }
    let connection = world.connect(next);
    report(&mut world, connection);
    world.run(seconds(1));
    let received = updates(&mut world, connection);
    let instances: Vec<&InstanceRecord> = received
        .iter()
        .flat_map(|update| &update.instances)
        .collect();
    assert!(!instances.is_empty());
    assert!(
        instances.iter().all(|record| record.draining),
        "{instances:?}"
    );
}

#[test]
fn leader_without_a_quorum_does_not_acknowledge_a_drain() {
    let mut world = world(3);
    let leader = world.elect();
    world.members.get_mut(&leader).unwrap().partitioned = true;
    let response = world.call(leader, announce("i-1", 1, true));
    assert!(
        !matches!(response, Some(AdministrationResponse::Done)),
        "{response:?}"
    );
}

#[test]
fn ended_instance_is_never_listed_again() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, announce("i-1", 1, false));
    let departure = InstanceDeparture {
        instance: "i-1".into(),
        ended: true,
    };
    world.call(leader, AdministrationRequest::Depart(departure));
    world.call(leader, announce("i-1", 5, false));
    let connection = world.connect(leader);
    report(&mut world, connection);
    world.run(seconds(1));
    let received = updates(&mut world, connection);
    assert!(!received.is_empty());
    assert!(received.iter().all(|update| update.instances.is_empty()));
}

/// Guards against gateways that keep sending to instances that departed between two leaders.
#[rstest]
#[case::has_ended(true)]
#[case::leaves(false)]
fn new_leader_lists_departed_instances_at_once(#[case] ended: bool) {
    let mut world = world(3);
    let leader = world.elect();
    for sequence in 1..3 {
        world.call(leader, announce("i-2", sequence, false));
    }
    let departure = InstanceDeparture {
        instance: "i-1".into(),
        ended,
    };
    world.call(leader, AdministrationRequest::Depart(departure));
    world.halt(leader);
    let next = world.elect();
    let connection = world.connect(next);
    report(&mut world, connection);
    world.run(std::time::Duration::from_millis(50));
    let received = updates(&mut world, connection);
    let first = &received[0];
    assert!(first.first && !first.complete, "{first:?}");
    assert_eq!(first.removed, ["i-1".into()]);
}

/// Guards against gateways that keep sending to a departed instance because the new leader never
/// recorded it.
#[rstest]
#[case::has_ended(true)]
#[case::leaves(false)]
fn departure_of_an_instance_unknown_to_the_leader_reaches_gateways(#[case] ended: bool) {
    let mut world = world(3);
    let leader = world.elect();
    let connection = world.connect(leader);
    report(&mut world, connection);
    world.run(std::time::Duration::from_millis(50));
    updates(&mut world, connection);
    let departure = InstanceDeparture {
        instance: "i-1".into(),
        ended,
    };
    world.call(leader, AdministrationRequest::Depart(departure));
    world.run(std::time::Duration::from_millis(50));
    let received = updates(&mut world, connection);
    let removed: Vec<InstanceId> = received
        .into_iter()
        .flat_map(|update| update.removed)
        .collect();
    assert_eq!(removed, ["i-1".into()]);
}

/// Guards against listing only part of the departures while advancing the gateway's log index past
/// all of them.
#[rstest]
#[case::by_a_new_leader(false)]
#[case::by_a_member_without_a_leader(true)]
fn gateway_receives_all_departures_that_it_missed(#[case] without_leader: bool) {
    const DEPARTURES: usize = 300;
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, put(4));
    let connection = world.connect(leader);
    report(&mut world, connection);
    world.run(std::time::Duration::from_millis(50));
    let received = updates(&mut world, connection);
    let known_index = received.last().expect("an update").as_of;
    for number in 0..DEPARTURES {
        let departure = InstanceDeparture {
            instance: format!("i-{number}").as_str().into(),
            ended: true,
        };
        world.call(leader, AdministrationRequest::Depart(departure));
    }
    world.run(seconds(1));
    let member = if without_leader {
        let follower = world.follower(leader);
        for member in (1..=3).map(MemberId).filter(|member| *member != follower) {
            world.halt(member);
        }
        follower
    } else {
        world.halt(leader);
        world.elect()
    };
    let connection = world.connect(member);
    report_as_of(&mut world, connection, known_index);
    world.run(std::time::Duration::from_millis(50));
    let updates_received = updates(&mut world, connection);
    let first = updates_received.first().expect("an update");
    assert_eq!(first.provisional, without_leader);
    assert!(!first.complete && first.as_of >= known_index + DEPARTURES as u64);
    assert_eq!(first.removed.len(), DEPARTURES);
}

/// A gateway that starts while no leader is elected receives a follower's copy of the state.
#[test]
fn gateway_without_state_receives_the_copy_of_a_follower() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, put(4));
    world.call(leader, announce("i-1", 1, false));
    world.run(seconds(3));
    let follower = world.follower(leader);
    for member in 1..=3 {
        world.halt(MemberId(member));
    }
    world.restart(follower.0);
    let connection = world.connect(follower);
    report(&mut world, connection);
    world.run(std::time::Duration::from_millis(20));
    let received = updates(&mut world, connection);
    assert_eq!(received.len(), 1, "{received:?}");
    assert!(received[0].provisional);
    assert_eq!(
        received[0]
            .document
            .as_ref()
            .map(|document| document.version),
        Some(4)
    );
    assert_eq!(received[0].instances.len(), 1);
}

#[test]
fn new_leader_starts_with_the_recorded_instances() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, announce("i-1", 7, false));
    world.run(seconds(3));
    world.halt(leader);
    let next = world.elect();
    let connection = world.connect(next);
    report(&mut world, connection);
    world.run(std::time::Duration::from_millis(50));
    let received = updates(&mut world, connection);
    assert!(
        received.iter().any(|update| update.instances.len() == 1),
        "{received:?}"
    );
}

#[test]
fn new_document_is_pushed_to_gateways() {
    let mut world = world(3);
    let leader = world.elect();
    let connection = world.connect(leader);
    report(&mut world, connection);
    world.run(seconds(1));
    updates(&mut world, connection);
    world.call(leader, put(5));
    world.run(std::time::Duration::from_millis(20));
    let versions: Vec<u64> = updates(&mut world, connection)
        .iter()
        .filter_map(|update| update.document.as_ref())
        .map(|document| document.version)
        .collect();
    assert_eq!(versions, [5]);
}

/// Creates a group that has been running for longer than the pause between two leaders'
/// instructions, with two empty engines.
fn world_with_engines() -> (World, MemberId) {
    let mut world = world(3);
    let leader = world.elect();
    world.run(seconds(5));
    world.call(leader, engine_document());
    announce_engines(&mut world, leader, 1);
    (world, leader)
}

/// Announces both engines and responds to the leader's reads of their states.
fn announce_engines(world: &mut World, leader: MemberId, sequence: u64) {
    for engine in ["i-1", "i-2"] {
        world.call(leader, announce(engine, sequence, false));
    }
    world.run(std::time::Duration::from_millis(150));
    for engine in ["i-1", "i-2"] {
        let state = EngineState {
            revision: 0,
            busy: false,
            models: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            loading_adapters: Vec::new(),
        };
        world.complete_reads(leader, &engine.into(), InstructionResult::State(state));
    }
}

/// Reports unmet demand for a model to the leader. Returns the instructions sent within 100 ms.
fn instructions_for(world: &mut World, leader: MemberId, model: &str) -> Vec<EngineInstruction> {
    world.instructions.clear();
    let connection = world.connect(leader);
    let report = GatewayReport {
        gateway: "g-1".to_owned(),
        zone: "zone-1".into(),
        sequence: 1,
        version: 2,
        demand: vec![GatewayModelDemand {
            service: "web".into(),
            model: model.into(),
            adapter: None,
            unserved: 1,
            arrivals: 1,
            in_flight: 0,
            priority: 0,
            unread_tokens: 0,
            refused_full: 0,
        }],
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    };
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(std::time::Duration::from_millis(100));
    let sent = world.instructions.iter();
    sent.filter(|(member, _)| *member == leader)
        .map(|(_, instruction)| instruction.clone())
        .collect()
}

/// An engine must not receive instructions from two leaders without a pause. Other engines are
/// instructed at once.
#[test]
fn new_leader_waits_only_for_recently_instructed_engines() {
    let (mut world, leader) = world_with_engines();
    let first = instructions_for(&mut world, leader, "a");
    assert_eq!(first.len(), 1, "{first:?}");
    world.halt(leader);
    let next = world.elect();
    announce_engines(&mut world, next, 2);
    let second = instructions_for(&mut world, next, "b");
    assert_eq!(second.len(), 1, "{second:?}");
    assert_ne!(second[0].instance, first[0].instance);
    let third = instructions_for(&mut world, next, "c");
    assert!(third.is_empty(), "the other engine is busy: {third:?}");
    world.run(seconds(4));
    announce_engines(&mut world, next, 3);
    let later = instructions_for(&mut world, next, "d");
    assert!(
        later.iter().any(|sent| sent.instance == first[0].instance),
        "{later:?}"
    );
}

#[test]
fn restarted_leader_waits_before_instructing_any_engine() {
    let (mut world, _) = world_with_engines();
    for member in 1..=3 {
        world.halt(MemberId(member));
    }
    for member in 1..=3 {
        world.restart(member);
    }
    let next = world.elect();
    announce_engines(&mut world, next, 2);
    let early = instructions_for(&mut world, next, "a");
    assert!(early.is_empty(), "{early:?}");
    // The pause, and the time for which an earlier order may be in flight.
    world.run(seconds(5));
    announce_engines(&mut world, next, 3);
    let later = instructions_for(&mut world, next, "a");
    assert_eq!(later.len(), 1, "{later:?}");
}

/// Guards against sending two instructions to one engine after a disk stall: the response to one
/// would be taken for that of the other.
#[test]
fn abandoned_instruction_is_not_sent_after_a_late_commit() {
    let mut world = world(1);
    let leader = world.elect();
    world.run(seconds(5));
    world.call(leader, engine_document());
    announce_engines(&mut world, leader, 1);
    world.disks_are_slow = true;
    assert_eq!(instructions_for(&mut world, leader, "a"), Vec::new());
    // The engines are read once the instruction is overdue; they are empty.
    for sequence in 2..30 {
        announce_engines(&mut world, leader, sequence);
    }
    assert_eq!(instructions_for(&mut world, leader, "a"), Vec::new());
    world.sync_disks();
    let sent = world.instructions.iter();
    let mut engines: Vec<InstanceId> = sent.map(|(_, it)| it.instance.clone()).collect();
    let all = engines.len();
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), all, "{:?}", world.instructions);
    assert!(world.count_events("instruction-given-up") > 0);
    // The model is loaded once the disk works and the weight store has permits again.
    world.run(seconds(5));
    announce_engines(&mut world, leader, 30);
    assert_eq!(instructions_for(&mut world, leader, "a").len(), 1);
}

#[test]
fn leader_without_a_quorum_sends_no_instructions() {
    let (mut world, leader) = world_with_engines();
    world.members.get_mut(&leader).unwrap().partitioned = true;
    let sent = instructions_for(&mut world, leader, "a");
    assert!(sent.is_empty(), "{sent:?}");
}

fn engine_document() -> AdministrationRequest {
    let AdministrationRequest::PutDocument(mut put) = put(2) else {
        unreachable!()
    };
    let model = |name: &str| EngineModelSpec {
        name: name.into(),
        weights_kilobytes: 100,
        load_millis: 2_000,
        disk_load_millis: 800,
        memory_load_millis: 400,
        adapters: 0,
        adapter_kilobytes: 1,
    };
    Arc::make_mut(&mut put.document).services.push(ServiceSpec {
        name: "web".into(),
        health_path: String::new(),
        maximum_connections: 0,
        engine: Some(EngineSpec {
            slots: 8,
            cache_tokens: 1_000,
            weights_kilobytes: 100,
            adapter_slots: 2,
            milliloads_per_second: 4_000,
            models: ["a", "b", "c", "d"].map(model).to_vec(),
        }),
    });
    AdministrationRequest::PutDocument(put)
}

#[test]
fn join_request_to_a_follower_is_forwarded() {
    let mut world = world(3);
    let leader = world.elect();
    let follower = world.follower(leader);
    world.boot_joiner(4);
    world.run(seconds(1));
    world.input(follower, ControlInput::Join(address(4)));
    world.run(seconds(3));
    let membership = world.members[&leader].plane.consensus_status().membership;
    let learners: Vec<MemberId> = membership
        .learners
        .iter()
        .map(|found| found.member)
        .collect();
    assert_eq!(learners, [MemberId(4)]);
}

/// Guards against a voter that keeps serving an old membership and state after it was replaced
/// during a partition.
#[test]
fn replaced_member_rejoins_after_a_partition() {
    let mut world = world(3);
    let leader = world.elect();
    let replaced = world.follower(leader);
    world.members.get_mut(&replaced).unwrap().partitioned = true;
    world.boot_joiner(4);
    world.join(&[4], 15);
    assert!(!world.voters(leader).contains(&replaced.0), "replaced");
    world.call(leader, put(8));
    world.members.get_mut(&replaced).unwrap().partitioned = false;
    world.run(seconds(2));
    let joiner = world.members[&replaced].address.clone();
    world.input(leader, ControlInput::Join(joiner));
    world.run(seconds(5));
    assert_eq!(world.state(replaced).document_version(), 8);
}

/// Three voters tolerate one loss; for more, joiners become voters.
#[rstest]
#[case::one_loss(3, vec![1, 2, 3])]
#[case::two_losses(5, vec![1, 2, 3, 4, 5])]
fn joiners_become_voters_up_to_the_target(#[case] target: usize, #[case] voters: Vec<u64>) {
    let mut world = World::new(0);
    world.fleet = Some(FleetSettings::default());
    world.target_voters = target;
    world.boot_voters(3);
    let leader = world.elect();
    for joiner in [4, 5, 6] {
        world.boot_joiner(joiner);
    }
    world.join(&[4, 5, 6], 20);
    assert_eq!(world.voters(leader), voters);
}

/// Guards against reconnection storms: redirecting all gateways during a short lease expiry delays
/// the followers' responses and lets the lease expire again.
#[test]
fn leader_with_an_expired_lease_keeps_its_gateways() {
    let mut world = world(3);
    let leader = world.elect();
    world.call(leader, put(4));
    let connection = world.connect(leader);
    report(&mut world, connection);
    world.run(seconds(1));
    world.take_received(connection);
    partition_others(&mut world, leader, true);
    world.run(std::time::Duration::from_millis(850));
    report(&mut world, connection);
    let meanwhile = world.take_received(connection);
    let is_redirect = |message: &ControlToRouter| matches!(message, ControlToRouter::NotLeader(_));
    assert!(!meanwhile.iter().any(is_redirect), "{meanwhile:?}");
    partition_others(&mut world, leader, false);
    world.run(std::time::Duration::from_millis(500));
    let answered = updates(&mut world, connection);
    assert!(
        answered.iter().any(|update| !update.provisional),
        "{answered:?}"
    );
}

/// Cuts the other two members off, or reconnects them.
fn partition_others(world: &mut World, leader: MemberId, partitioned: bool) {
    let others = world.members.iter_mut().filter(|(id, _)| **id != leader);
    others.for_each(|(_, member)| member.partitioned = partitioned);
}

/// A majority without newer required entries confirms a gateway's state only if every majority
/// holds what was acknowledged.
#[test]
fn every_majority_holds_the_acknowledged_entries() {
    let mut world = world(5);
    let mut leader = world.elect();
    for version in 1..12 {
        if version % 4 == 0 {
            world.halt(leader);
            let next = world.elect();
            world.restart(leader.0);
            leader = next;
        }
        let behind = world.follower(leader);
        world.members.get_mut(&behind).unwrap().partitioned = version % 2 == 0;
        let response = world.call(leader, put(version));
        assert!(
            matches!(response, Some(AdministrationResponse::Done)),
            "{response:?}"
        );
        let acknowledged = required_index(&world, leader);
        let holders = (1..=5)
            .filter(|member| required_index(&world, MemberId(*member)) >= acknowledged)
            .count();
        assert!(holders >= 3, "version {version}: {holders} of 5");
        world.members.get_mut(&behind).unwrap().partitioned = false;
        world.run(seconds(1));
    }
}

/// Returns the required index in a member's freshness response.
fn required_index(world: &World, member: MemberId) -> u64 {
    let core = &world.members[&member].plane;
    core.freshness_response(&core.freshness_state(world.now))
        .required_index
}
