//! Adapter attachment: order at the store, and memory beside the model's replicas.

mod harness;

use harness::*;
use millpass_proto::*;
use millpass_scheduler::SchedulerSettings;

fn waiting_with(model: &str, adapter: &str, oldest_wait_millis: u64) -> ModelDemand {
    ModelDemand {
        adapter: Some(adapter.into()),
        oldest_wait_millis,
        ..waiting_for(model, 1)
    }
}

fn attached(commands: &[Command]) -> Vec<&AdapterDecision> {
    let attach = commands.iter().filter_map(|command| match command {
        Command::AttachAdapter(decision) => Some(decision),
        _ => None,
    });
    attach.collect()
}

/// One engine with `accelerators` of 16 GiB, and two models of 8 GiB per replica; `m` has an
/// adapter of 1 GiB.
fn harness(settings: SchedulerSettings, accelerators: usize) -> Harness {
    let mut harness = Harness::after_learning(settings);
    harness.fixture.engine("e1", "z1", accelerators, 16 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 2, 4), 7 * GIB);
    harness.fixture.model("n", model_spec(1, 0, 1, 4), 7 * GIB);
    harness.fixture.adapter("a", "m", GIB);
    harness
}

#[test]
fn longest_waiting_adapter_is_loaded_before_models() {
    let mut harness = harness(
        SchedulerSettings {
            store_loads_per_second: 1,
            ..open_settings()
        },
        2,
    );
    harness.fixture.load("m", "e1");
    let mut demand = vec![waiting_with("m", "a", 5_000)];
    for number in 0..20 {
        let name = format!("s{number}");
        harness.fixture.model(&name, model_spec(1, 0, 1, 1), 1);
        demand.push(waiting_for(&name, 1));
    }
    harness.report("r1", demand);
    let commands = harness.round();
    assert_eq!(attached(&commands).len(), 1, "{commands:?}");
}

#[test]
fn longest_waiting_model_is_loaded_before_adapters() {
    let mut harness = harness(
        SchedulerSettings {
            store_loads_per_second: 1,
            ..open_settings()
        },
        2,
    );
    harness.fixture.load("m", "e1");
    let mut model = waiting_for("n", 1);
    model.oldest_wait_millis = 5_000;
    harness.report("r1", vec![waiting_with("m", "a", 0), model]);
    let commands = harness.round();
    assert_eq!(placements(&commands).len(), 1, "{commands:?}");
}

#[test]
fn placement_leaves_headroom_for_adapters() {
    let mut harness = harness(open_settings(), 2);
    harness.fixture.load("m", "e1");
    harness.report_waiting("r1", "n", 1);
    let commands = harness.round();
    // Accelerator 0 is the tightest fit, but would have no headroom left.
    assert_eq!(placements(&commands)[0].accelerators, vec![1]);
}

#[test]
fn placement_uses_headroom_if_nothing_else_fits() {
    let mut harness = harness(open_settings(), 1);
    harness.fixture.load("m", "e1");
    harness.report_waiting("r1", "n", 1);
    assert_eq!(placements(&harness.round()).len(), 1);
}

#[test]
fn idle_replica_is_evicted_for_an_adapter() {
    let mut harness = harness(open_settings(), 1);
    harness.fixture.load("m", "e1");
    let idle = harness.fixture.load("n", "e1");
    harness.report("r1", vec![waiting_with("m", "a", 0)]);
    assert_eq!(retired(&harness.round()), [idle]);
    assert_eq!(harness.round(), []);
    harness.settle_all();
    assert_eq!(attached(&harness.round()).len(), 1);
}

#[test]
fn spare_replica_is_evicted_for_an_adapter_of_the_same_model() {
    let mut harness = harness(open_settings(), 1);
    let first = harness.fixture.load("m", "e1");
    let second = harness.fixture.load("m", "e1");
    harness.report("r1", vec![waiting_with("m", "a", 0)]);
    let gone = retired(&harness.round());
    assert!(gone == [first] || gone == [second], "{gone:?}");
    harness.settle_all();
    assert_eq!(attached(&harness.round()).len(), 1);
}

#[test]
fn replica_with_running_requests_is_not_evicted_for_an_adapter() {
    let mut harness = harness(open_settings(), 1);
    harness.fixture.load("m", "e1");
    let busy = harness.fixture.load("n", "e1");
    harness.engine_report("e1", &[], &[(busy, 1)]);
    harness.report("r1", vec![waiting_with("m", "a", 0)]);
    assert_eq!(harness.round(), []);
}
