//! Property: every proposal applies to the state, and equal inputs produce equal commands.

mod harness;

use harness::*;
use millpass_proto::*;
use millpass_scheduler::{KeepAlive, SchedulerSettings};
use proptest::prelude::*;

const MODELS: u8 = 5;
const ENGINES: u8 = 3;

#[derive(Clone, Debug)]
enum Step {
    Demand {
        router: u8,
        model: u8,
        adapter: bool,
        waiting: u32,
        in_flight: u32,
        urgency: Urgency,
    },
    NoDemand {
        router: u8,
    },
    Report {
        engine: u8,
        model: u8,
        tier: CheckpointTier,
    },
    Mark {
        engine: u8,
        state: BackendState,
    },
    Restart {
        engine: u8,
        incarnation: u64,
    },
    Model {
        model: u8,
        minimum: u32,
        maximum: u32,
        label: u8,
    },
    Settle,
    SettleFirst {
        failed: bool,
    },
    Advance {
        seconds: u64,
    },
    Round,
}

fn urgency() -> impl Strategy<Value = Urgency> {
    prop_oneof![
        Just(Urgency::Interactive),
        Just(Urgency::Normal),
        Just(Urgency::Batch)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let tier = prop_oneof![
        Just(CheckpointTier::Remote),
        Just(CheckpointTier::Disk),
        Just(CheckpointTier::Memory)
    ];
    let state = prop_oneof![Just(BackendState::Live), Just(BackendState::Leaving)];
    prop_oneof![
        6 => (0..3_u8, 0..MODELS, any::<bool>(), 0..12_u32, 0..4_u32, urgency()).prop_map(
            |(router, model, adapter, waiting, in_flight, urgency)| Step::Demand {
                router, model, adapter, waiting, in_flight, urgency }),
        4 => (0..3_u8).prop_map(|router| Step::NoDemand { router }),
        2 => (0..ENGINES, 0..MODELS, tier).prop_map(
            |(engine, model, tier)| Step::Report { engine, model, tier }),
        1 => (0..ENGINES, state).prop_map(|(engine, state)| Step::Mark { engine, state }),
        1 => (0..ENGINES, 1..9_u64).prop_map(
            |(engine, incarnation)| Step::Restart { engine, incarnation }),
        1 => (0..MODELS, 0..2_u32, 0..4_u32, 1..4_u8).prop_map(
            |(model, minimum, maximum, label)| Step::Model { model, minimum, maximum, label }),
        4 => Just(Step::Settle),
        2 => any::<bool>().prop_map(|failed| Step::SettleFirst { failed }),
        2 => (1..30_u64).prop_map(|seconds| Step::Advance { seconds }),
        12 => Just(Step::Round),
    ]
}

fn strategy() -> impl Strategy<Value = KeepAlive> {
    prop_oneof![
        3 => Just(KeepAlive::Adaptive),
        1 => Just(KeepAlive::Fixed(Duration::from_secs(5))),
        1 => Just(KeepAlive::LeastRecentlyUsed),
        1 => Just(KeepAlive::AlwaysLoaded),
    ]
}

fn deployment(keep_alive: KeepAlive) -> Harness {
    let mut harness = Harness::after_learning(SchedulerSettings {
        keep_alive,
        cold_start_weight: 10,
        idle_weight: 1,
        prewarm: true,
        store_loads_per_second: 10,
        ..open_settings()
    });
    for engine in 0..ENGINES {
        let zone = format!("z{}", engine % 2);
        harness
            .fixture
            .engine(&format!("e{engine}"), &zone, 2, 24 * GIB);
    }
    for model in 0..MODELS {
        let name = format!("m{model}");
        let accelerators = 1 + u32::from(model) % 2;
        let spec = model_spec(accelerators, 0, 2, 2);
        let weights = (4 + 3 * u64::from(model)) * GIB;
        harness.fixture.model(&name, spec, weights);
        harness.fixture.version(&name, "v2", weights);
        harness.fixture.adapter(&format!("a{model}"), &name, GIB);
    }
    harness
}

fn change_model(harness: &mut Harness, model: u8, minimum: u32, maximum: u32, label: u8) {
    let name = format!("m{model}");
    let key = key(ObjectKind::Model, &name);
    let stored = harness.fixture.state.object(&key).expect("model");
    let ObjectSpec::Model(old) = stored.spec.clone() else {
        return;
    };
    let spec = ModelSpec {
        minimum_replicas: minimum.min(maximum),
        maximum_replicas: maximum,
        current_version: format!("v{label}").as_str().into(),
        ..old
    };
    let id = format!("{name}-{}", stored.version);
    let spec = Some(ObjectSpec::Model(spec));
    let command = change(ObjectKind::Model, &name, stored.version, &id, spec);
    harness.fixture.accept(command);
}

/// Applies one step; returns the commands of a round, each of which took effect.
fn apply_step(harness: &mut Harness, step: &Step) -> Vec<Command> {
    match step {
        Step::Demand {
            router,
            model,
            adapter,
            waiting,
            in_flight,
            urgency,
        } => {
            let mut demand = waiting_for(&format!("m{model}"), *waiting);
            demand.adapter = adapter.then(|| format!("a{model}").as_str().into());
            demand.in_flight = *in_flight;
            demand.most_urgent = *urgency;
            harness.report(&format!("r{router}"), vec![demand]);
        }
        Step::NoDemand { router } => harness.report(&format!("r{router}"), Vec::new()),
        Step::Report {
            engine,
            model,
            tier,
        } => {
            let checkpoint = format!("m{model}/v1");
            let cached = [(checkpoint.as_str(), *tier)];
            harness.engine_report(&format!("e{engine}"), &cached, &[]);
        }
        Step::Mark { engine, state } => {
            harness.fixture.mark(&format!("e{engine}"), *state);
        }
        Step::Restart {
            engine: number,
            incarnation,
        } => {
            let name = format!("e{number}");
            let registration = engine(&name, "z1", *incarnation, 2, 24 * GIB);
            harness
                .fixture
                .apply(Command::RegisterBackend(registration));
        }
        Step::Model {
            model,
            minimum,
            maximum,
            label,
        } => {
            change_model(harness, *model, *minimum, *maximum, *label);
        }
        Step::Settle => harness.settle_all(),
        Step::SettleFirst { failed } => settle_first(harness, *failed),
        Step::Advance { seconds } => harness.advance(seconds * 1_000),
        Step::Round => return harness.round(),
    }
    Vec::new()
}

fn settle_first(harness: &mut Harness, failed: bool) {
    let replicas = harness.fixture.state.replicas().into_iter();
    let mut loading = replicas.filter(|replica| replica.phase == ReplicaPhase::Loading);
    let Some(slot) = loading.next().map(|replica| replica.slot) else {
        return;
    };
    let result = match failed {
        true => OrderResult::Failed("broken".to_owned()),
        false => OrderResult::Loaded,
    };
    harness.fixture.settle(slot, result);
}

#[test]
fn every_proposal_applies_and_decisions_are_deterministic() {
    let steps = prop::collection::vec(step(), 1..120);
    let seen = std::cell::Cell::new([0_usize; 3]);
    check_cases(192, (strategy(), steps), |(keep_alive, steps)| {
        let mut first = deployment(keep_alive);
        let mut second = deployment(keep_alive);
        for step in &steps {
            // `Harness::round` fails the case when the state rejects a command.
            let commands = apply_step(&mut first, step);
            prop_assert_eq!(&commands, &apply_step(&mut second, step));
            let mut counts = seen.get();
            for command in &commands {
                match command {
                    Command::PlaceReplica(_) => counts[0] += 1,
                    Command::RetireReplica(_) => counts[1] += 1,
                    _ => counts[2] += 1,
                }
            }
            seen.set(counts);
        }
        Ok(())
    });
    // Guards against cases that never reach placements, unloads and adapters.
    assert!(
        seen.get().iter().all(|count| *count > 50),
        "{:?}",
        seen.get()
    );
}
