//! Retirement: which replicas are unloaded, when, and which are kept.

mod harness;

use harness::*;
use millpass_proto::*;
use millpass_scheduler::{KeepAlive, SchedulerSettings};
use rstest::rstest;

/// One accelerator of 20 GiB, filled by two idle models of 8 GiB each.
fn full_harness(settings: SchedulerSettings) -> (Harness, SlotId, SlotId) {
    let mut harness = Harness::after_learning(settings);
    harness.fixture.engine("e1", "z1", 1, 20 * GIB);
    for name in ["old", "recent", "wanted"] {
        let spec = model_spec(1, 0, 2, 4);
        harness.fixture.model(name, spec, 8 * GIB);
    }
    let old = harness.fixture.load("old", "e1");
    let recent = harness.fixture.load("recent", "e1");
    (harness, old, recent)
}

fn serve_once(harness: &mut Harness, model: &str) {
    harness.report_waiting("r1", model, 1);
    harness.report("r1", Vec::new());
}

fn model_change(name: &str, spec: ModelSpec) -> Command {
    let spec = Some(ObjectSpec::Model(spec));
    change(ObjectKind::Model, name, 1, &format!("second {name}"), spec)
}

#[test]
fn least_recently_used_replica_is_evicted_for_a_waiting_request() {
    let (mut harness, old, _) = full_harness(open_settings());
    serve_once(&mut harness, "old");
    harness.run_idle_rounds(2_000);
    serve_once(&mut harness, "recent");
    harness.run_idle_rounds(2_000);
    harness.report_waiting("r1", "wanted", 1);
    assert_eq!(retired(&harness.round()), [old]);
    assert_eq!(harness.round(), []);
    harness.settle_all();
    let commands = harness.round();
    assert_eq!(placements(&commands)[0].model, "wanted".into());
}

#[test]
fn model_least_likely_to_be_requested_is_evicted_first() {
    let (mut harness, _, recent) = full_harness(SchedulerSettings {
        keep_alive: KeepAlive::Adaptive,
        ..open_settings()
    });
    // `old` is requested every 20 s, last before `recent`, which is requested once.
    for _ in 0..10 {
        serve_once(&mut harness, "old");
        harness.run_idle_rounds(20_000);
    }
    serve_once(&mut harness, "recent");
    harness.run_idle_rounds(200);
    harness.report_waiting("r1", "wanted", 1);
    assert_eq!(retired(&harness.round()), [recent]);
}

#[test]
fn replica_with_traffic_is_never_evicted() {
    let (mut harness, old, recent) = full_harness(open_settings());
    let mut busy = waiting_for("old", 0);
    busy.in_flight = 1;
    harness.report("r1", vec![busy]);
    harness.engine_report("e1", &[], &[(recent, 1), (old, 0)]);
    harness.report_waiting("r2", "wanted", 1);
    assert_eq!(harness.round(), []);
    let ready_estimate = ready_estimate(&harness, "wanted");
    assert!(!ready_estimate.placeable);
    assert!(ready_estimate.ready_in_millis > 0);
}

#[test]
fn minimum_replicas_are_never_evicted() {
    let (mut harness, old, recent) = full_harness(open_settings());
    for name in ["old", "recent"] {
        let spec = model_spec(1, 1, 2, 4);
        harness.fixture.accept(model_change(name, spec));
    }
    harness.report_waiting("r1", "wanted", 1);
    assert_eq!(harness.round(), []);
    let spec = Some(ObjectSpec::Model(model_spec(1, 0, 2, 4)));
    let change = change(ObjectKind::Model, "old", 2, "third", spec);
    harness.fixture.accept(change);
    assert_eq!(retired(&harness.round()), [old]);
    assert_ne!(old, recent);
}

#[test]
fn batch_demand_evicts_nothing_at_first() {
    let (mut harness, _, _) = full_harness(open_settings());
    let mut batch = waiting_for("wanted", 5);
    batch.most_urgent = Urgency::Batch;
    harness.report("r1", vec![batch]);
    assert_eq!(harness.round(), []);
}

#[test]
fn batch_demand_evicts_after_a_minute() {
    let (mut harness, _, _) = full_harness(open_settings());
    let batch_since = |millis| {
        let mut batch = waiting_for("wanted", 5);
        batch.most_urgent = Urgency::Batch;
        batch.oldest_wait_millis = millis;
        batch
    };
    harness.report("r1", vec![batch_since(0)]);
    assert_eq!(harness.round(), []);
    let model = "wanted".into();
    let ready_estimate =
        harness
            .scheduler
            .ready_estimate(harness.now, &harness.fixture.state, &model);
    assert!(ready_estimate.placeable, "{ready_estimate:?}");
    harness.advance(61_000);
    harness.report("r1", vec![batch_since(61_000)]);
    assert_eq!(retired(&harness.round()).len(), 1);
}

#[rstest]
#[case::always_loaded(KeepAlive::AlwaysLoaded, 0)]
#[case::least_recently_used(KeepAlive::LeastRecentlyUsed, 1)]
fn keep_alive_strategy_determines_evictions(
    #[case] keep_alive: KeepAlive,
    #[case] evictions: usize,
) {
    let (mut harness, _, _) = full_harness(SchedulerSettings {
        keep_alive,
        ..open_settings()
    });
    harness.report_waiting("r1", "wanted", 1);
    assert_eq!(retired(&harness.round()).len(), evictions);
}

#[test]
fn memory_to_be_freed_is_reserved_for_one_waiting_model() {
    let (mut harness, old, recent) = full_harness(open_settings());
    let spec = model_spec(1, 0, 2, 4);
    harness.fixture.model("other", spec, 8 * GIB);
    let demand = vec![waiting_for("wanted", 1), waiting_for("other", 1)];
    harness.report("r1", demand);
    let mut slots = retired(&harness.round());
    slots.sort();
    assert_eq!(slots, [old, recent]);
}

#[test]
fn new_leader_retires_nothing_during_the_learning_period() {
    let mut harness = Harness::new(SchedulerSettings {
        keep_alive: KeepAlive::Fixed(Duration::from_secs(1)),
        ..open_settings()
    });
    harness.fixture.engine("e1", "z1", 1, 20 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 1, 1), 8 * GIB);
    let slot = harness.fixture.load("m", "e1");
    // The leader receives no router report.
    for _ in 0..200 {
        assert_eq!(harness.round(), []);
    }
    let learning = SchedulerSettings::default().learning_period.as_millis() as u64;
    assert_eq!(harness.run_idle_rounds(learning - ROUND_MILLIS), []);
    assert_eq!(retired(&harness.run_idle_rounds(2_000)), [slot]);
}

#[test]
fn leader_without_router_reports_retires_nothing() {
    let (mut harness, _, _) = full_harness(SchedulerSettings {
        keep_alive: KeepAlive::Fixed(Duration::from_secs(30)),
        ..open_settings()
    });
    harness.run_idle_rounds(1_000);
    harness.advance(60_000);
    assert_eq!(harness.round(), []);
}

#[test]
fn replicas_of_a_leaving_engine_are_replaced_before_retirement() {
    let (mut harness, old, recent) = full_harness(open_settings());
    harness.fixture.engine("e2", "z1", 1, 20 * GIB);
    let mut busy = waiting_for("old", 0);
    busy.in_flight = 1;
    harness.report("r1", vec![busy]);
    harness.engine_report("e1", &[], &[(old, 1), (recent, 0)]);
    harness.fixture.mark("e1", BackendState::Leaving);
    let commands = harness.round();
    assert_eq!(placements(&commands)[0].backend, "e2".into());
    assert_eq!(retired(&commands), [recent]);
    assert_eq!(harness.round(), []);
    harness.settle_all();
    // The replacement serves, but a request still runs on the leaving engine.
    assert_eq!(harness.round(), []);
    harness.engine_report("e1", &[], &[(old, 0)]);
    assert_eq!(retired(&harness.round()), [old]);
}

#[test]
fn new_version_is_loaded_before_the_old_one_is_retired() {
    let (mut harness, old, _) = full_harness(open_settings());
    harness.fixture.engine("e2", "z1", 1, 20 * GIB);
    harness.fixture.version("old", "v2", 8 * GIB);
    let mut spec = model_spec(1, 0, 2, 4);
    spec.current_version = "v2".into();
    harness.fixture.accept(model_change("old", spec));
    harness.report_waiting("r1", "old", 1);
    let commands = harness.round();
    assert_eq!(placements(&commands)[0].version, "v2".into());
    assert_eq!(retired(&commands), []);
    assert_eq!(harness.round(), []);
    harness.settle_all();
    assert_eq!(retired(&harness.round()), [old]);
}

#[test]
fn old_version_is_retired_first_if_the_maximum_is_one() {
    let (mut harness, old, _) = full_harness(open_settings());
    harness.fixture.version("old", "v2", 8 * GIB);
    let mut spec = model_spec(1, 0, 1, 4);
    spec.current_version = "v2".into();
    harness.fixture.accept(model_change("old", spec));
    harness.report_waiting("r1", "old", 1);
    assert_eq!(retired(&harness.round()), [old]);
    harness.settle_all();
    assert_eq!(placements(&harness.round()).len(), 1);
}

#[test]
fn idle_replica_is_retired_after_the_fixed_time() {
    let (mut harness, old, recent) = full_harness(SchedulerSettings {
        keep_alive: KeepAlive::Fixed(Duration::from_secs(60)),
        ..open_settings()
    });
    assert_eq!(harness.run_idle_rounds(59_000), []);
    let mut slots = retired(&harness.run_idle_rounds(3_000));
    slots.sort();
    assert_eq!(slots, [old, recent]);
}

/// Time for which the adaptive strategy keeps an idle model of 8 GiB, in seconds; at most an hour.
fn kept_seconds(cold_start_weight: u32, idle_weight: u32, period: u64) -> u64 {
    let (mut harness, old, _) = full_harness(SchedulerSettings {
        cold_start_weight,
        idle_weight,
        keep_alive: KeepAlive::Adaptive,
        ..open_settings()
    });
    for _ in 0..10 {
        serve_once(&mut harness, "old");
        harness.advance(period);
    }
    serve_once(&mut harness, "old");
    for second in 0..3_600 {
        if retired(&harness.run_idle_rounds(1_000)).contains(&old) {
            return second;
        }
    }
    3_600
}

#[test]
fn weights_change_the_keep_alive_time() {
    let period = 120_000;
    let idle_expensive = kept_seconds(1, 1, period);
    let balanced = kept_seconds(60, 1, period);
    let cold_start_expensive = kept_seconds(1_000, 1, period);
    assert!(idle_expensive < 60, "{idle_expensive}");
    assert!(balanced >= 120, "{balanced}");
    assert!(
        balanced < cold_start_expensive,
        "{balanced} {cold_start_expensive}"
    );
}

#[test]
fn likely_arrival_causes_prewarming() {
    let mut harness = Harness::after_learning(SchedulerSettings {
        // One second of cold start costs as much as ten idle seconds.
        cold_start_weight: 10,
        idle_weight: 1,
        keep_alive: KeepAlive::Adaptive,
        prewarm: true,
        ..open_settings()
    });
    harness.fixture.engine("e1", "z1", 1, 20 * GIB);
    let spec = model_spec(1, 0, 1, 4);
    harness.fixture.model("hourly", spec, 12 * GIB);
    for _ in 0..10 {
        serve_once(&mut harness, "hourly");
        harness.advance(600_000);
    }
    serve_once(&mut harness, "hourly");
    assert_eq!(harness.run_idle_rounds(400_000), []);
    let commands = harness.run_idle_rounds(200_000);
    assert_eq!(placements(&commands).len(), 1, "{commands:?}");
}

#[test]
fn surplus_is_retired_after_the_delay_and_one_replica_remains() {
    let delay = SchedulerSettings::default().scale_down_delay;
    let mut harness = Harness::after_learning(SchedulerSettings {
        keep_alive: KeepAlive::Fixed(Duration::from_secs(3_600)),
        ..open_settings()
    });
    harness.fixture.engine("e1", "z1", 2, 20 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 2, 1), GIB);
    harness.fixture.load("m", "e1");
    let second = harness.fixture.load("m", "e1");
    let millis = delay.as_millis() as u64;
    assert_eq!(harness.run_idle_rounds(millis), []);
    assert_eq!(retired(&harness.run_idle_rounds(millis)), [second]);
}

#[test]
fn replicas_of_a_deleted_model_are_retired() {
    let (mut harness, old, _) = full_harness(open_settings());
    let deletions = [
        change(ObjectKind::Version, "old@v1", 1, "d1", None),
        change(ObjectKind::Model, "old", 1, "d2", None),
    ];
    for deletion in deletions {
        harness.fixture.accept(deletion);
    }
    harness.report("listener", Vec::new());
    assert_eq!(retired(&harness.round()), [old]);
}

fn ready_estimate(harness: &Harness, model: &str) -> LoadEstimate {
    let state = &harness.fixture.state;
    harness
        .scheduler
        .ready_estimate(harness.now, state, &model.into())
}

#[test]
fn ready_estimate_follows_the_load() {
    let mut harness = Harness::after_learning(open_settings());
    harness.fixture.engine("e1", "z1", 1, 20 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 1, 1), 8 * GIB);
    assert!(!ready_estimate(&harness, "unknown").placeable);
    harness.report_waiting("r1", "m", 1);
    let before = ready_estimate(&harness, "m");
    assert!(before.placeable && before.ready_in_millis > 4_000);
    harness.round();
    harness.round();
    harness.advance(2_000);
    let halfway = ready_estimate(&harness, "m").ready_in_millis;
    assert!(halfway < before.ready_in_millis && halfway > 0);
    harness.settle_all();
    assert_eq!(ready_estimate(&harness, "m").ready_in_millis, 0);
}

#[test]
fn model_too_large_for_every_engine_is_not_placeable() {
    let mut harness = Harness::after_learning(open_settings());
    harness.fixture.engine("e1", "z1", 1, 4 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 1, 1), 8 * GIB);
    harness.report_waiting("r1", "m", 1);
    assert_eq!(harness.round(), []);
    assert!(!ready_estimate(&harness, "m").placeable);
}
