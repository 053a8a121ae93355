//! Placement: number, location and order of replicas.

mod harness;

use harness::*;
use millpass_proto::*;
use millpass_scheduler::SchedulerSettings;
use rstest::rstest;

fn harness(settings: SchedulerSettings) -> Harness {
    let mut harness = Harness::after_learning(settings);
    harness.fixture.engine("e1", "z1", 2, 16 * GIB);
    harness.fixture.engine("e2", "z2", 2, 16 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 4, 4), 8 * GIB);
    harness
}

#[test]
fn a_burst_at_many_routers_gives_exactly_one_load() {
    let mut harness = harness(open_settings());
    let mut commands = Vec::new();
    for round in 0..20 {
        for router in 0..30 {
            if round < 10 {
                harness.report_waiting(&format!("r{router}"), "m", u32::from(router == 0));
            }
        }
        commands.extend(harness.round());
    }
    assert_eq!(placements(&commands).len(), 1);
    harness.settle_all();
    assert_eq!(harness.fixture.state.replicas().len(), 1);
}

#[test]
fn proposal_is_not_repeated_before_it_expires() {
    let mut harness = harness(open_settings());
    harness.report_waiting("r1", "m", 1);
    assert_eq!(placements(&harness.decide()).len(), 1);
    let expiry = SchedulerSettings::default().proposal_expiry;
    let rounds = expiry.as_millis() as u64 / ROUND_MILLIS;
    for _ in 1..rounds {
        assert_eq!(harness.decide(), []);
    }
    assert_eq!(placements(&harness.decide()).len(), 1);
}

#[test]
fn further_replicas_wait_for_the_first_load_or_a_large_backlog() {
    let mut harness = harness(open_settings());
    harness.report_waiting("r1", "m", 9);
    assert_eq!(placements(&harness.round()).len(), 1);
    assert_eq!(harness.round(), []);
    harness.settle_all();
    assert_eq!(placements(&harness.round()).len(), 1);
    harness.report_waiting("r1", "m", 40);
    assert_eq!(placements(&harness.round()).len(), 1);
}

#[rstest]
#[case::memory_before_disk(CheckpointTier::Memory, CheckpointTier::Disk, "e1")]
#[case::disk_before_remote(CheckpointTier::Remote, CheckpointTier::Disk, "e2")]
#[case::zone_of_the_demand(CheckpointTier::Remote, CheckpointTier::Remote, "e2")]
fn engine_choice_prefers_fastest_tier_then_zone_of_demand(
    #[case] first: CheckpointTier,
    #[case] second: CheckpointTier,
    #[case] chosen: &str,
) {
    let mut harness = harness(open_settings());
    harness.engine_report("e1", &[("m/v1", first)], &[]);
    harness.engine_report("e2", &[("m/v1", second)], &[]);
    harness
        .scheduler
        .set_router_zone(&"r1".into(), &"z2".into());
    harness.report_waiting("r1", "m", 1);
    let commands = harness.round();
    assert_eq!(placements(&commands)[0].backend, chosen.into());
}

#[test]
fn tightest_accelerator_is_selected() {
    let mut harness = harness(open_settings());
    harness.fixture.model("small", model_spec(1, 0, 1, 1), GIB);
    harness.fixture.load("small", "e2");
    harness.report_waiting("r1", "m", 1);
    let commands = harness.round();
    let place = placements(&commands)[0].clone();
    assert_eq!((place.backend, place.accelerators), ("e2".into(), vec![0]));
}

#[test]
fn replicas_of_a_model_are_spread_over_engines() {
    let mut harness = harness(open_settings());
    harness.fixture.load("m", "e1");
    harness.report_waiting("r1", "m", 8);
    let commands = harness.round();
    assert_eq!(placements(&commands)[0].backend, "e2".into());
}

#[test]
fn store_loads_respect_the_concurrency_limit() {
    let mut harness = harness(SchedulerSettings {
        store_concurrent_loads: 2,
        ..open_settings()
    });
    let mut demand = Vec::new();
    for number in 0..5 {
        let name = format!("n{number}");
        harness.fixture.model(&name, model_spec(1, 0, 1, 1), GIB);
        demand.push(waiting_for(&name, 1));
    }
    harness.report("r1", demand);
    let mut placed = 0;
    for _ in 0..10 {
        placed += placements(&harness.round()).len();
    }
    assert_eq!(placed, 2);
    harness.settle_all();
    assert_eq!(placements(&harness.round()).len(), 2);
}

#[test]
fn store_loads_respect_the_rate_limit() {
    let mut harness = harness(SchedulerSettings {
        store_loads_per_second: 2,
        ..open_settings()
    });
    let mut demand = Vec::new();
    for number in 0..12 {
        let name = format!("n{number}");
        harness.fixture.model(&name, model_spec(1, 0, 1, 1), GIB);
        demand.push(waiting_for(&name, 1));
    }
    let mut placed = 0;
    for _ in 0..10 {
        harness.report("r1", demand.clone());
        placed += placements(&harness.round()).len();
    }
    // One initial token, plus two seconds at two per second.
    assert!((4..=5).contains(&placed), "{placed}");
}

#[test]
fn loads_are_ordered_by_urgency_then_wait() {
    let mut harness = harness(SchedulerSettings {
        store_concurrent_loads: 1,
        ..open_settings()
    });
    for name in ["a", "b", "c"] {
        harness.fixture.model(name, model_spec(1, 0, 1, 1), GIB);
    }
    let mut old = waiting_for("b", 1);
    old.oldest_wait_millis = 5_000;
    let mut urgent = waiting_for("c", 1);
    urgent.most_urgent = Urgency::Interactive;
    harness.report("r1", vec![waiting_for("a", 1), old, urgent]);
    let mut order = Vec::new();
    for _ in 0..3 {
        let commands = harness.round();
        order.extend(placements(&commands).iter().map(|one| one.model.0.clone()));
        harness.settle_all();
    }
    assert_eq!(order, ["c", "b", "a"]);
}

#[test]
fn minimum_replicas_are_placed_without_demand() {
    let mut harness = harness(open_settings());
    harness.fixture.model("kept", model_spec(1, 1, 2, 1), GIB);
    let commands = harness.round();
    assert_eq!(placements(&commands)[0].model, "kept".into());
    harness.settle_all();
    assert_eq!(harness.run_idle_rounds(60_000), []);
}

#[test]
fn adapter_is_attached_to_the_loaded_replica() {
    let mut harness = harness(open_settings());
    harness.fixture.adapter("a", "m", GIB);
    let mut demand = waiting_for("m", 1);
    demand.adapter = Some("a".into());
    harness.report("r1", vec![demand]);
    assert_eq!(placements(&harness.round()).len(), 1);
    assert_eq!(harness.round(), []);
    harness.settle_all();
    let commands = harness.round();
    assert!(matches!(commands[..], [Command::AttachAdapter(_)]));
    harness.settle_all();
    assert_eq!(harness.round(), []);
}
