//! Assignment of back ends to watchers, and handling of the platform's lagging list.

mod harness;

use harness::{Fleet, seconds};
use millpass_control_plane::ControlInput;
use millpass_proto::*;
use rstest::rstest;

fn multi_zone_fleet() -> Fleet {
    let routers = [("r-1", "zone-1"), ("r-2", "zone-1"), ("r-3", "zone-2")];
    let engines = [
        ("e-1", "zone-1"),
        ("e-2", "zone-1"),
        ("e-3", "zone-1"),
        ("e-4", "zone-1"),
        ("e-5", "zone-2"),
        ("e-6", "zone-2"),
        ("e-7", "zone-3"),
        ("e-8", "zone-3"),
    ];
    Fleet::new(&routers, &engines)
}

/// Asserts that each engine has one watcher, from its own zone if a router there can watch.
fn assert_one_watcher_each(fleet: &Fleet, excluded: &str) {
    let watchers = fleet.watchers();
    let can_watch = |router: &&harness::TestRouter| router.name.0 != excluded;
    for (name, engine) in &fleet.world.engines {
        let found = watchers.get(name).cloned().unwrap_or_default();
        let [watcher] = found.as_slice() else {
            panic!("{name} is watched by {found:?}");
        };
        let is_local = |router: &harness::TestRouter| router.zone == engine.zone;
        let mut routers = fleet.routers.iter().filter(can_watch);
        let watching = routers.clone().find(|router| router.name == *watcher);
        let watching = watching.unwrap_or_else(|| panic!("{watcher} is excluded"));
        assert!(
            is_local(watching) || !routers.any(is_local),
            "{name}: {watcher}"
        );
    }
}

/// How a router is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RouterLoss {
    Unreachable,
    Draining,
}

#[rstest]
fn back_ends_of_a_lost_router_are_reassigned(
    #[values(RouterLoss::Unreachable, RouterLoss::Draining)] loss: RouterLoss,
    #[values("r-1", "r-3")] name: &str,
) {
    let mut fleet = multi_zone_fleet();
    assert_one_watcher_each(&fleet, "nobody");
    let before = fleet.watchers();
    let position = fleet
        .routers
        .iter()
        .position(|router| router.name.0 == name);
    let position = position.unwrap();
    assert!(!fleet.routers[position].watch.is_empty());
    let removed = if loss == RouterLoss::Draining {
        fleet.routers[position].draining = true;
        None
    } else {
        Some(fleet.routers.remove(position))
    };
    fleet.rounds(10);
    assert_one_watcher_each(&fleet, name);
    for (engine, watcher) in fleet.watchers() {
        let moved = before[&engine] != watcher;
        let was_assigned = before[&engine][0].0 == name;
        assert_eq!(
            moved, was_assigned,
            "only back ends of {name} may move: {engine}"
        );
    }
    // The router returns.
    fleet.routers.extend(removed);
    for router in &mut fleet.routers {
        router.draining = false;
    }
    fleet.rounds(3);
    assert_eq!(fleet.watchers(), before);
}

#[rstest]
fn only_the_watcher_can_report_a_new_incarnation() {
    let mut fleet = multi_zone_fleet();
    let engine = BackendName::from("e-5");
    fleet.engine("e-5").restart(2);
    for sequence in 1..4 {
        let mut report = fleet.engine("e-5").report();
        report.sequence = sequence;
        let observation = BackendObservation::Engine(report);
        fleet.routers[0].report_with(&mut fleet.world, vec![observation]);
    }
    let run = |fleet: &Fleet| {
        fleet
            .state()
            .backend(&engine)
            .unwrap()
            .registration
            .incarnation
    };
    assert_eq!(run(&fleet), Incarnation(1));
    fleet.rounds(3);
    assert_eq!(run(&fleet), Incarnation(2));
}

#[rstest]
fn stale_platform_list_is_ignored() {
    let mut fleet = Fleet::small(&["e-1", "e-2"]);
    let old = fleet.world.platform.clone();
    fleet.world.platform.sequence += 1;
    fleet.world.platform.machines[0].state = BackendState::Leaving;
    fleet.world.run(seconds(3));
    let state = |fleet: &Fleet| {
        fleet
            .state()
            .backend(&BackendName::from("e-1"))
            .unwrap()
            .state
    };
    assert_eq!(state(&fleet), BackendState::Leaving);
    let leader = fleet.leader;
    fleet.world.platform = PlatformList {
        sequence: old.sequence - 1,
        machines: Vec::new(),
    };
    fleet.world.input(leader, ControlInput::PlatformListed(old));
    fleet.rounds(30);
    assert!(fleet.world.count_events("platform-list-stale") > 10);
    assert_eq!(state(&fleet), BackendState::Leaving);
    assert_eq!(fleet.state().backends().len(), 2, "no back end is gone");
}

#[rstest]
#[case::for_less_than_the_delay(8, 8, false, true)]
#[case::counted_anew_by_a_new_leader(8, 8, true, true)]
#[case::for_longer(14, 0, false, false)]
fn missing_machine_is_gone_only_after_the_delay(
    #[case] first: u32,
    #[case] second: u32,
    #[case] leader_changes: bool,
    #[case] stays: bool,
) {
    let mut fleet = Fleet::small(&["e-1", "e-2"]);
    let full = fleet.world.platform.clone();
    let mut lagging = full.clone();
    lagging
        .machines
        .retain(|machine| machine.backend.0 != "e-1");
    lagging.sequence += 1;
    fleet.world.platform = lagging.clone();
    fleet.rounds(2 * first);
    if leader_changes {
        fleet.fail_over();
    } else if second > 0 {
        fleet.world.platform = full;
        fleet.world.platform.sequence += 2;
        fleet.rounds(4);
        fleet.world.platform = lagging;
        fleet.world.platform.sequence += 3;
    }
    fleet.rounds(2 * second);
    let known = fleet.state().backend(&BackendName::from("e-1"));
    let live = known.is_some_and(|backend| backend.state == BackendState::Live);
    assert_eq!(live, stays);
}

#[rstest]
fn leaving_machine_receives_no_new_work() {
    let mut fleet = Fleet::small(&["e-1", "e-2"]);
    fleet.world.platform.sequence += 1;
    fleet.world.platform.machines[0].state = BackendState::Leaving;
    fleet.rounds(5);
    let before = fleet.world.deliveries.len();
    fleet.set_waiting(100);
    for _ in 0..10 {
        fleet.rounds(2);
        fleet.engine("e-2").finish_loads();
    }
    let new = &fleet.world.deliveries[before..];
    assert!(!new.is_empty());
    assert!(
        new.iter().all(|(_, order)| order.backend.0 == "e-2"),
        "{new:?}"
    );
}

#[rstest]
#[case::while_it_loads(false)]
#[case::after_the_load(true)]
fn replicas_of_a_reclaimed_machine_are_replaced(#[case] loaded: bool) {
    let mut fleet = Fleet::small(&["e-1", "e-2"]);
    let old = if loaded { fleet.load() } else { fleet.place() };
    let engine = fleet.world.engines.remove(&old.backend).unwrap();
    let platform = &mut fleet.world.platform;
    platform.sequence += 1;
    platform
        .machines
        .retain(|machine| machine.backend != engine.backend);
    fleet.set_waiting(1);
    for _ in 0..20 {
        fleet.rounds(2);
        for engine in fleet.world.engines.values_mut() {
            engine.finish_loads();
        }
    }
    let replicas = fleet.replicas();
    let [replica] = replicas.as_slice() else {
        panic!("{replicas:?}");
    };
    assert_ne!(replica.backend, old.backend);
    assert_eq!(replica.phase, ReplicaPhase::Loaded);
}
