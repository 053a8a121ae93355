//! Orders are sent only under the lease and resent until settled, and only a report newer than the
//! order settles it.

mod harness;

use harness::Fleet;
use millpass_proto::*;
use rstest::rstest;

/// Bytes reserved for the only replica of the model.
const REPLICA_BYTES: u64 = 3_000;
/// Free bytes of an idle engine.
const CAPACITY: u64 = 16_000;

fn free(fleet: &Fleet) -> u64 {
    fleet.free("e-1").iter().sum()
}

/// The harness asserts that no order is sent without the lease.
#[rstest]
fn partitioned_leader_stops_sending_and_the_next_sends_the_same_order() {
    let mut fleet = Fleet::small(&["e-1"]);
    fleet.engine("e-1").responds = false;
    let fence = fleet.place().fence;
    let old = fleet.leader;
    fleet.fail_over();
    let before = fleet.sent(fence)[&old];
    fleet.engine("e-1").responds = true;
    fleet.rounds(6);
    let sent = fleet.sent(fence);
    assert_eq!(sent[&old], before, "{sent:?}");
    assert!(sent[&fleet.leader] > 0, "{sent:?}");
    assert_eq!(fleet.engine("e-1").accepted.len(), 1);
}

#[rstest]
#[case::order_lost(true)]
#[case::response_lost(false)]
fn unanswered_order_is_resent_and_keeps_its_memory_until_settled(#[case] order_lost: bool) {
    let mut fleet = Fleet::small(&["e-1"]);
    let before = fleet.engine("e-1").report();
    let engine = fleet.engine("e-1");
    engine.responds = !order_lost;
    engine.drops_responses = !order_lost;
    let replica = fleet.place();
    fleet.rounds(10);
    // A report from before the order does not settle it, whatever its sequence number.
    let mut late = before.clone();
    late.sequence = 1_000;
    fleet.routers[0].report_with(&mut fleet.world, vec![BackendObservation::Engine(late)]);
    assert!(fleet.sent(replica.fence)[&fleet.leader] > 2);
    assert_eq!(fleet.replicas(), vec![replica.clone()]);
    assert_eq!(free(&fleet), CAPACITY - REPLICA_BYTES);
    let engine = fleet.engine("e-1");
    engine.responds = true;
    engine.drops_responses = false;
    fleet.rounds(24);
    assert_eq!(fleet.engine("e-1").accepted.len(), 1);
    fleet.engine("e-1").finish_loads();
    fleet.rounds(1);
    assert_eq!(fleet.replicas()[0].phase, ReplicaPhase::Loaded);
    assert_eq!(fleet.state().outstanding_order_count(), 0);
}

#[rstest]
fn accepted_order_is_resent_with_backoff_during_the_load() {
    let mut fleet = Fleet::small(&["e-1"]);
    let fence = fleet.place().fence;
    fleet.rounds(60);
    let sent = fleet.sent(fence)[&fleet.leader];
    assert!((3..=6).contains(&sent), "{sent}");
    assert_eq!(fleet.engine("e-1").accepted.len(), 1);
}

#[rstest]
fn order_with_a_stale_response_is_not_settled_and_is_resent() {
    let mut fleet = Fleet::small(&["e-1"]);
    let future_fence = LogPosition {
        term: 99,
        index: 1_000,
    };
    fleet.engine("e-1").highest = future_fence;
    let replica = fleet.place();
    fleet.rounds(4);
    assert!(fleet.world.count_events("order-stale") > 1);
    assert_eq!(fleet.replicas(), vec![replica.clone()]);
    assert_eq!(free(&fleet), CAPACITY - REPLICA_BYTES);
    fleet.engine("e-1").highest = LogPosition::ZERO;
    fleet.rounds(24);
    fleet.engine("e-1").finish_loads();
    fleet.rounds(1);
    assert_eq!(fleet.replicas()[0].phase, ReplicaPhase::Loaded);
}

/// How a report differs from one that states that the load failed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Difference {
    None,
    OlderThanTheOrder,
    SlotUnderAnOlderFence,
    SlotMissing,
    StillLoading,
    AnotherIncarnation,
}

#[rstest]
#[case(Difference::None)]
#[case(Difference::OlderThanTheOrder)]
#[case(Difference::SlotUnderAnOlderFence)]
#[case(Difference::SlotMissing)]
#[case(Difference::StillLoading)]
#[case(Difference::AnotherIncarnation)]
fn memory_is_freed_only_when_the_latest_order_is_settled(#[case] difference: Difference) {
    let mut fleet = Fleet::small(&["e-1"]);
    let fence = fleet.place().fence;
    fleet.set_waiting(0);
    let mut report = fleet.engine("e-1").report();
    assert_eq!(report.highest_fence, fence);
    let older = LogPosition {
        term: fence.term,
        index: fence.index - 1,
    };
    report.slots[0].phase = EngineSlotPhase::Failed("weights missing".to_owned());
    match difference {
        Difference::None => {}
        Difference::OlderThanTheOrder => report.highest_fence = older,
        Difference::SlotUnderAnOlderFence => report.slots[0].fence = older,
        Difference::SlotMissing => report.slots.clear(),
        Difference::StillLoading => report.slots[0].phase = EngineSlotPhase::Loading,
        Difference::AnotherIncarnation => report.incarnation = Incarnation(7),
    }
    // A duplicate report counts once.
    for _ in 0..2 {
        let observation = BackendObservation::Engine(report.clone());
        fleet.routers[0].report_with(&mut fleet.world, vec![observation]);
    }
    let freed = free(&fleet) == CAPACITY;
    assert_eq!(freed, difference == Difference::None);
}

#[rstest]
#[case::order_sent(false)]
#[case::order_under_way(true)]
fn new_incarnation_of_an_engine_settles_its_orders(#[case] unanswered: bool) {
    let mut fleet = Fleet::small(&["e-1"]);
    fleet.engine("e-1").responds = !unanswered;
    let old = fleet.place();
    fleet.set_waiting(0);
    let engine = fleet.engine("e-1");
    engine.responds = true;
    engine.restart(2);
    fleet.rounds(4);
    assert_eq!(fleet.state().outstanding_order_count(), 0);
    assert_eq!(free(&fleet), CAPACITY);
    // Delayed reports of the previous incarnation neither bring it back nor settle anything.
    let new = fleet.place();
    let mut delayed = fleet.engine("e-1").report();
    delayed.incarnation = old.incarnation;
    delayed.highest_fence = new.fence;
    delayed.slots[0].phase = EngineSlotPhase::Failed("ended".to_owned());
    for _ in 0..3 {
        delayed.sequence += 1;
        let observation = BackendObservation::Engine(delayed.clone());
        fleet.routers[0].report_with(&mut fleet.world, vec![observation]);
    }
    assert_eq!(fleet.replicas(), vec![new.clone()]);
    assert_eq!(new.incarnation, Incarnation(2));
}

#[rstest]
fn resumed_former_leader_sends_no_orders() {
    let mut fleet = Fleet::small(&["e-1"]);
    fleet.engine("e-1").responds = false;
    let fence = fleet.place().fence;
    let old = fleet.leader;
    fleet.world.members.get_mut(&old).unwrap().frozen = true;
    fleet.world.run(harness::seconds(1));
    fleet.leader = fleet.world.elect();
    let before = fleet.sent(fence)[&old];
    fleet.world.resume(old);
    fleet.world.run(harness::seconds(20));
    assert_eq!(fleet.sent(fence)[&old], before);
    assert!(fleet.sent(fence)[&fleet.leader] > 0);
}
