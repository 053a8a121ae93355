//! Adapters that requests wait for get their turn at the store, and room beside their model.

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

/// One engine with this many accelerators of 16 GiB, a model that takes 8 GiB with an adapter of 1 GiB, and
/// another model of that size.
fn harness(settings: SchedulerSettings, accelerators: usize) -> Harness {
    let mut harness = Harness::learned(settings);
    harness.fixture.engine("e1", "z1", accelerators, 16 * GIB);
    harness.fixture.model("m", model_spec(1, 0, 2, 4), 7 * GIB);
    harness.fixture.model("n", model_spec(1, 0, 1, 4), 7 * GIB);
    harness.fixture.adapter("a", "m", GIB);
    harness
}

#[test]
fn an_adapter_that_waits_longest_is_not_behind_all_models() {
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
fn a_model_that_waits_longest_is_not_behind_all_adapters() {
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
fn a_model_leaves_room_for_adapters_where_it_can() {
    let mut harness = harness(open_settings(), 2);
    harness.fixture.load("m", "e1");
    harness.wants("r1", "n", 1);
    let commands = harness.round();
    // The tightest accelerator is 0, and would be full.
    assert_eq!(placements(&commands)[0].accelerators, vec![1]);
}

#[test]
fn a_model_takes_the_last_room_where_there_is_no_other() {
    let mut harness = harness(open_settings(), 1);
    harness.fixture.load("m", "e1");
    harness.wants("r1", "n", 1);
    assert_eq!(placements(&harness.round()).len(), 1);
}

#[test]
fn an_idle_replica_makes_room_for_an_adapter() {
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
fn a_second_replica_makes_room_for_an_adapter_of_the_first() {
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
fn a_replica_with_running_requests_makes_no_room() {
    let mut harness = harness(open_settings(), 1);
    harness.fixture.load("m", "e1");
    let busy = harness.fixture.load("n", "e1");
    harness.engine_report("e1", &[], &[(busy, 1)]);
    harness.report("r1", vec![waiting_with("m", "a", 0)]);
    assert_eq!(harness.round(), []);
}
