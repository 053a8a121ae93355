//! Orders leave only under the lease, again until settled, and only a report newer than the order
//! settles it.

mod harness;

use harness::Fleet;
use millpass_proto::*;
use rstest::rstest;

/// Bytes that the one replica of the model holds.
const REPLICA_BYTES: u64 = 3_000;
/// Free bytes of an idle engine.
const CAPACITY: u64 = 16_000;

fn free(fleet: &Fleet) -> u64 {
    fleet.free("e-1").iter().sum()
}

/// The harness itself fails when an order leaves without the lease.
#[rstest]
fn a_leader_that_is_cut_off_stops_sending_and_the_next_sends_the_same_order() {
    let mut fleet = Fleet::small(&["e-1"]);
    fleet.engine("e-1").answers = false;
    let fence = fleet.place().fence;
    let old = fleet.leader;
    fleet.fail_over();
    let before = fleet.sent(fence)[&old];
    fleet.engine("e-1").answers = true;
    fleet.rounds(6);
    let sent = fleet.sent(fence);
    assert_eq!(sent[&old], before, "{sent:?}");
    assert!(sent[&fleet.leader] > 0, "{sent:?}");
    assert_eq!(fleet.engine("e-1").accepted.len(), 1);
}

#[rstest]
#[case::order_lost(true)]
#[case::answer_lost(false)]
fn an_unanswered_order_is_sent_again_and_keeps_its_memory_until_a_report_settles_it(
    #[case] order_lost: bool,
) {
    let mut fleet = Fleet::small(&["e-1"]);
    let before = fleet.engine("e-1").report();
    let engine = fleet.engine("e-1");
    engine.answers = !order_lost;
    engine.loses_answers = !order_lost;
    let replica = fleet.place();
    fleet.rounds(10);
    // A report from before the order, however late its number, says nothing about it.
    let mut late = before.clone();
    late.sequence = 1_000;
    fleet.routers[0].report_with(&mut fleet.world, vec![BackendObservation::Engine(late)]);
    assert!(fleet.sent(replica.fence)[&fleet.leader] > 2);
    assert_eq!(fleet.replicas(), vec![replica.clone()]);
    assert_eq!(free(&fleet), CAPACITY - REPLICA_BYTES);
    let engine = fleet.engine("e-1");
    engine.answers = true;
    engine.loses_answers = false;
    fleet.rounds(24);
    assert_eq!(fleet.engine("e-1").accepted.len(), 1);
    fleet.engine("e-1").finish_loads();
    fleet.rounds(1);
    assert_eq!(fleet.replicas()[0].phase, ReplicaPhase::Loaded);
    assert_eq!(fleet.state().outstanding_order_count(), 0);
}

#[rstest]
fn an_accepted_order_is_sent_again_with_growing_pauses_while_its_load_runs() {
    let mut fleet = Fleet::small(&["e-1"]);
    let fence = fleet.place().fence;
    fleet.rounds(60);
    let sent = fleet.sent(fence)[&fleet.leader];
    assert!((3..=6).contains(&sent), "{sent}");
    assert_eq!(fleet.engine("e-1").accepted.len(), 1);
}

#[rstest]
fn an_order_answered_stale_settles_nothing_and_is_sent_again() {
    let mut fleet = Fleet::small(&["e-1"]);
    let far = LogPosition {
        term: 99,
        index: 1_000,
    };
    fleet.engine("e-1").highest = far;
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

/// How a report differs from the one that says that the load failed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Difference {
    None,
    OlderThanTheOrder,
    SlotUnderAnOlderFence,
    SlotMissing,
    StillLoading,
    AnotherRun,
}

#[rstest]
#[case(Difference::None)]
#[case(Difference::OlderThanTheOrder)]
#[case(Difference::SlotUnderAnOlderFence)]
#[case(Difference::SlotMissing)]
#[case(Difference::StillLoading)]
#[case(Difference::AnotherRun)]
fn memory_is_freed_only_by_the_end_of_the_latest_order(#[case] difference: Difference) {
    let mut fleet = Fleet::small(&["e-1"]);
    let fence = fleet.place().fence;
    fleet.waiting(0);
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
        Difference::AnotherRun => report.incarnation = Incarnation(7),
    }
    // A doubled report counts once.
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
fn a_new_run_of_an_engine_settles_its_orders(#[case] unanswered: bool) {
    let mut fleet = Fleet::small(&["e-1"]);
    fleet.engine("e-1").answers = !unanswered;
    let old = fleet.place();
    fleet.waiting(0);
    let engine = fleet.engine("e-1");
    engine.answers = true;
    engine.restart(2);
    fleet.rounds(4);
    assert_eq!(fleet.state().outstanding_order_count(), 0);
    assert_eq!(free(&fleet), CAPACITY);
    // Leftovers of the run that ended neither bring it back nor settle anything.
    let new = fleet.place();
    let mut leftover = fleet.engine("e-1").report();
    leftover.incarnation = old.incarnation;
    leftover.highest_fence = new.fence;
    leftover.slots[0].phase = EngineSlotPhase::Failed("ended".to_owned());
    for _ in 0..3 {
        leftover.sequence += 1;
        let observation = BackendObservation::Engine(leftover.clone());
        fleet.routers[0].report_with(&mut fleet.world, vec![observation]);
    }
    assert_eq!(fleet.replicas(), vec![new.clone()]);
    assert_eq!(new.incarnation, Incarnation(2));
}

#[rstest]
fn a_leader_that_was_frozen_sends_nothing_when_it_wakes() {
    let mut fleet = Fleet::small(&["e-1"]);
    fleet.engine("e-1").answers = false;
    let fence = fleet.place().fence;
    let old = fleet.leader;
    fleet.world.members.get_mut(&old).unwrap().frozen = true;
    fleet.world.run(harness::seconds(1));
    fleet.leader = fleet.world.elect();
    let before = fleet.sent(fence)[&old];
    fleet.world.thaw(old);
    fleet.world.run(harness::seconds(20));
    assert_eq!(fleet.sent(fence)[&old], before);
    assert!(fleet.sent(fence)[&fleet.leader] > 0);
}
