//! Instances that announce themselves at many members, which report changes to the leader.

mod harness;

use harness::shares::{Cluster, ReportStats};
use harness::steering::InstructingLeader;
use millpass_fleet::FleetOutput;
use millpass_proto::*;
use rstest::rstest;

/// Members of a cluster, including the leader.
const MEMBERS: u64 = 24;

/// Guards against a leader whose load grows with the number of instances while nothing changes.
#[test]
fn leader_cost_of_unchanged_fleet_does_not_depend_on_its_size() {
    let few = steady_cost(2_000);
    let many = steady_cost(20_000);
    assert_eq!(few.reports, many.reports);
    // Each other member sends a keepalive every 200 ms.
    assert!(many.reports <= 5 * (MEMBERS as usize - 1) * 10, "{many:?}");
    // Only the distribution of the active instances over members differs.
    assert!(many.bytes <= few.bytes * 5 / 4, "{few:?}, {many:?}");
    // 17 KB a second is the cost of one member.
    assert!(many.bytes < 10 * 17_000, "{many:?}");
}

/// Returns the reports of ten seconds in a settled cluster.
fn steady_cost(instances: u64) -> ReportStats {
    let mut cluster = Cluster::new(MEMBERS, instances);
    cluster.run(20_000);
    assert_eq!(cluster.known_count(), instances as usize);
    cluster.report_stats = ReportStats::default();
    cluster.run(10_000);
    assert_eq!(cluster.known_count(), instances as usize);
    cluster.report_stats
}

/// All instances announce themselves within 100 ms.
#[test]
fn wave_of_announcements_is_sent_in_bounded_reports() {
    let mut cluster = Cluster::new(MEMBERS, 0);
    cluster.run(1_000);
    cluster.add(20_000, 100);
    cluster.run(2_000);
    assert_eq!(cluster.known_count(), 20_000);
    assert!(
        cluster.report_stats.largest < 128 * 1024,
        "{:?}",
        cluster.report_stats
    );
    assert!(
        cluster.report_stats.most_records <= 256,
        "{:?}",
        cluster.report_stats
    );
}

/// Instances of a stopped member switch to another one, and none expires meanwhile.
#[test]
fn instances_do_not_expire_with_their_member() {
    let mut cluster = Cluster::new(4, 200);
    cluster.run(10_000);
    cluster.stop_member(2);
    cluster.run(30_000);
    assert_eq!(cluster.known_count(), 200);
    assert_eq!(cluster.removed, Vec::<String>::new());
}

/// A member cut off from the leader only keeps receiving its instances.
#[test]
fn instances_survive_short_partition_of_their_member() {
    let mut cluster = Cluster::new(4, 200);
    cluster.run(10_000);
    cluster.set_partitioned(3, true);
    cluster.run(10_000);
    cluster.set_partitioned(3, false);
    cluster.run(5_000);
    assert_eq!(cluster.known_count(), 200);
    assert_eq!(cluster.removed, Vec::<String>::new());
}

/// Guards against an expiry reported by a member that an instance has left.
#[test]
fn ended_instance_expires_at_its_last_member() {
    let mut cluster = Cluster::new(4, 40);
    cluster.run(10_000);
    cluster.crash(7);
    // The member that it announced itself at before reports its expiry as well.
    cluster.move_instance(8);
    cluster.run(12_000);
    assert_eq!(cluster.known_count(), 39);
    assert_eq!(cluster.removed, vec![Cluster::name(7)]);
}

/// The new leader is sent every share whole; instances need not announce themselves again.
#[test]
fn next_leader_rebuilds_fleet_from_members() {
    let mut cluster = Cluster::new(MEMBERS, 5_000);
    cluster.run(10_000);
    cluster.mute(true);
    cluster.elect(1);
    cluster.run(1_000);
    assert_eq!(cluster.known_count(), 5_000);
}

/// After faults on the way between members, the leader has recorded exactly the live instances.
#[rstest]
fn fleet_converges_after_lost_late_and_duplicated_messages(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut cluster = Cluster::new(5, 60);
    cluster.set_failures(seed, 30);
    cluster.run(5_000);
    for round in 0..6 {
        cluster.crash(seed % 7 + round * 9);
        cluster.move_instance(seed % 5 + round * 9 + 1);
        cluster.restart(seed % 3 + round * 9 + 2);
        if round == 3 {
            cluster.elect(1 + seed % 4);
        }
        cluster.run(1_500);
    }
    cluster.set_failures(seed, 0);
    cluster.run(20_000);
    assert_eq!(cluster.known_incarnations(), cluster.live_incarnations());
}

/// Guards against reading and publishing thousands of engines without demand.
#[test]
fn engines_without_demand_are_neither_read_nor_published() {
    // The limit for keeping all active, two replicas of each model, and spares in each zone.
    let limit = 256 + 2 * 100 + 4 * 8;
    for engines in [2_000, 20_000] {
        let (reads, published) = first_update(engines);
        assert!(
            reads <= limit && published <= limit,
            "{engines}: {reads}, {published}"
        );
    }
}

/// Returns the engines read until the cluster has settled, and the instances in a gateway's first
/// update.
fn first_update(engines: u64) -> (usize, usize) {
    let mut cluster = Cluster::new(MEMBERS, engines);
    cluster.run(10_000);
    let update = cluster.first_update();
    assert!(update.complete);
    for model in 0..harness::shares::MODELS {
        let name: ModelName = harness::shares::model(model);
        let holders = update.instances.iter();
        let holders = holders.filter(|record| record.models.iter().any(|held| held.model == name));
        let zones: std::collections::BTreeSet<_> = holders.map(|record| &record.zone).collect();
        assert!(zones.len() >= 2, "{name} is in {zones:?}");
    }
    (cluster.reads, update.instances.len())
}

/// Demand beyond the capacity of the active replicas activates others without loads.
#[test]
fn demand_activates_standby_replicas() {
    let mut cluster = Cluster::new(4, 2_000);
    cluster.run(10_000);
    let before = cluster.active_replicas(0);
    // Twice what one engine processes.
    cluster.set_demand(0, 76_000);
    cluster.run(9_000);
    let after = cluster.active_replicas(0);
    assert!(before < 7 && after >= 7, "{before}, {after}");
    assert_eq!(cluster.loads, 0);
}

/// Each model keeps replicas, and standby instances replace the lost ones.
#[test]
fn loss_of_a_zone_leaves_replicas() {
    let mut cluster = Cluster::new(4, 2_000);
    cluster.run(10_000);
    cluster.crash_zone(0);
    assert!((0..harness::shares::MODELS).all(|model| cluster.live_replicas(model) > 0));
    cluster.run(9_000);
    assert!((0..harness::shares::MODELS).all(|model| cluster.live_replicas(model) >= 2));
}

/// Guards against completing an unload because a keepalive repeats the previous announcement: it
/// does not state what the leader has recorded as served.
#[test]
fn keepalive_does_not_complete_pending_unload() {
    let mut leader = InstructingLeader::new();
    leader.announce(1, &["a", "b"]);
    leader.run(100);
    leader.respond(110, leader.state(0, &["a", "b"]));
    leader.report_demand(5_000, "c");
    let unload = leader.run(5_010);
    assert!(
        matches!(unload[..], [FleetOutput::Instruct(_)]),
        "{unload:?}"
    );
    leader.respond(5_020, InstructionResult::Accepted);
    leader.announce_unchanged(2);
    leader.announce_unchanged(3);
    let calls = leader.run(5_400);
    assert!(calls.is_empty(), "{calls:?}");
    leader.announce(4, &["b"]);
    let calls = leader.run(5_700);
    assert_eq!(calls.len(), 1, "{calls:?}");
}
