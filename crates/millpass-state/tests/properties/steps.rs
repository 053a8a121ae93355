//! Random steps and their commands in the current state.

use crate::support::*;
use millpass_proto::*;
use millpass_state::State;
use proptest::prelude::*;
use proptest::sample::Index;

/// A command relative to the state in which it is applied.
#[derive(Clone, Debug)]
pub enum Step {
    Register {
        engine: u8,
        incarnation: u64,
        web: bool,
    },
    Mark {
        engine: u8,
        incarnation: u64,
        state: BackendState,
    },
    PutModel {
        model: u8,
        accelerators: u32,
        maximum: u32,
        concurrency: u32,
        label: u8,
    },
    PutVersion {
        model: u8,
        label: u8,
        weights: u64,
    },
    PutAdapter {
        adapter: u8,
        model: u8,
        bytes: u64,
    },
    Delete {
        pick: Index,
    },
    Place {
        model: u8,
        label: u8,
        engine: u8,
        accelerators: Vec<u32>,
        off_by: u32,
    },
    Retire {
        pick: Index,
    },
    Attach {
        pick: Index,
        adapter: u8,
    },
    Detach {
        pick: Index,
        adapter: u8,
    },
    SettleNext {
        pick: Index,
        result: OrderResult,
    },
    SettleStale {
        pick: Index,
        index: u64,
        result: OrderResult,
    },
    ChangeRole {
        engine: u8,
        incarnation: u64,
        role: EngineRole,
    },
}

fn model_name(model: u8) -> String {
    format!("m{model}")
}

fn label_name(label: u8) -> String {
    format!("v{label}")
}

fn engine_name(engine: u8) -> String {
    format!("e{engine}")
}

fn result() -> impl Strategy<Value = OrderResult> {
    prop_oneof![
        3 => Just(OrderResult::Loaded),
        3 => Just(OrderResult::Unloaded),
        1 => Just(OrderResult::Failed("broken".to_owned())),
    ]
}

fn state_of_backend() -> impl Strategy<Value = BackendState> {
    prop_oneof![
        2 => Just(BackendState::Live),
        2 => Just(BackendState::Leaving),
        1 => Just(BackendState::Gone),
    ]
}

pub fn step() -> impl Strategy<Value = Step> {
    let model = 0..3_u8;
    let label = 0..2_u8;
    let adapter = 0..4_u8;
    let engine = 0..3_u8;
    let pick = any::<Index>;
    prop_oneof![
        2 => (engine.clone(), 1..4_u64, prop::bool::weighted(0.1)).prop_map(
            |(engine, incarnation, web)| Step::Register { engine, incarnation, web }),
        1 => (engine.clone(), 1..4_u64, state_of_backend()).prop_map(
            |(engine, incarnation, state)| Step::Mark { engine, incarnation, state }),
        2 => (model.clone(), 1..3_u32, 0..4_u32, 1..3_u32, label.clone()).prop_map(
            |(model, accelerators, maximum, concurrency, label)| Step::PutModel {
                model, accelerators, maximum, concurrency, label }),
        2 => (model.clone(), label.clone(), 1..30_u64).prop_map(
            |(model, label, weights)| Step::PutVersion { model, label, weights }),
        1 => (adapter.clone(), model.clone(), 1..8_u64).prop_map(
            |(adapter, model, bytes)| Step::PutAdapter { adapter, model, bytes }),
        1 => pick().prop_map(|pick| Step::Delete { pick }),
        12 => (model, label, engine.clone(), prop::collection::vec(0..3_u32, 1..3),
            prop_oneof![8 => Just(0), 1 => 1..3_u32]).prop_map(
            |(model, label, engine, accelerators, off_by)| Step::Place {
                model, label, engine, accelerators, off_by }),
        3 => pick().prop_map(|pick| Step::Retire { pick }),
        4 => (pick(), adapter.clone()).prop_map(|(pick, adapter)| Step::Attach { pick, adapter }),
        2 => (pick(), adapter).prop_map(|(pick, adapter)| Step::Detach { pick, adapter }),
        12 => (pick(), result()).prop_map(|(pick, result)| Step::SettleNext { pick, result }),
        2 => (pick(), 1..200_u64, result()).prop_map(
            |(pick, index, result)| Step::SettleStale { pick, index, result }),
        1 => (engine, 1..4_u64, prop_oneof![Just(EngineRole::Mixed), Just(EngineRole::Decode)])
            .prop_map(|(engine, incarnation, role)| Step::ChangeRole {
                engine, incarnation, role }),
    ]
}

/// Creates or replaces an object at its current version.
fn put(state: &State, kind: ObjectKind, name: &str, id: u64, spec: ObjectSpec) -> Command {
    let stored = state.object(&key(kind, name));
    let expected = stored.map_or(0, |object| object.version);
    change(kind, name, expected, &format!("change-{id}"), Some(spec))
}

fn pick_slot(state: &State, pick: &Index) -> SlotId {
    let replicas = state.replicas();
    match replicas.is_empty() {
        true => SlotId(0),
        false => pick.get(&replicas).slot,
    }
}

fn attachments(state: &State) -> Vec<AdapterDecision> {
    let replicas = state.replicas().into_iter();
    replicas
        .flat_map(|replica| {
            let adapters = replica.adapters.iter();
            adapters.map(|one| AdapterDecision {
                slot: replica.slot,
                adapter: one.adapter.clone(),
            })
        })
        .collect()
}

fn pick_deletion(state: &State, pick: &Index, id: u64) -> Option<Command> {
    let objects: Vec<StoredObject> = state.full_configuration().objects;
    if objects.is_empty() {
        return None;
    }
    let object = pick.get(&objects);
    let id = format!("change-{id}");
    let key = &object.key;
    Some(change(key.kind, &key.name, object.version, &id, None))
}

fn settle_next(state: &State, pick: &Index, result: &OrderResult) -> Option<Command> {
    let orders = state.outstanding_orders();
    if orders.is_empty() {
        return None;
    }
    Some(settle_order(pick.get(&orders), Some(result.clone())))
}

/// Returns the command of a step in the current state, or `None` if it has no target.
pub fn command_of(state: &State, id: u64, step: &Step) -> Option<Command> {
    let command = match step {
        Step::Register {
            engine: number,
            incarnation,
            web: is_web,
        } => {
            let name = engine_name(*number);
            let registration = match is_web {
                true => web(&name, "z1", *incarnation),
                false => engine(&name, "z1", *incarnation, 2, 40),
            };
            Command::RegisterBackend(registration)
        }
        Step::Mark {
            engine,
            incarnation,
            state,
        } => Command::MarkBackend(BackendMark {
            backend: engine_name(*engine).into(),
            incarnation: Incarnation(*incarnation),
            state: *state,
        }),
        Step::PutModel {
            model,
            accelerators,
            maximum,
            concurrency,
            label,
        } => {
            let mut spec = model_spec(*accelerators, 0, *maximum, *concurrency);
            spec.current_version = label_name(*label).into();
            let spec = ObjectSpec::Model(spec);
            put(state, ObjectKind::Model, &model_name(*model), id, spec)
        }
        Step::PutVersion {
            model,
            label,
            weights,
        } => {
            let (model, label) = (model_name(*model), label_name(*label));
            let mut spec = version_spec(&model, &label, *weights);
            spec.cache_bytes = weights / 3;
            let name = format!("{model}@{label}");
            put(
                state,
                ObjectKind::Version,
                &name,
                id,
                ObjectSpec::Version(spec),
            )
        }
        Step::PutAdapter {
            adapter,
            model,
            bytes,
        } => {
            let name = format!("a{adapter}");
            let spec = AdapterSpec {
                model: model_name(*model).into(),
                bytes: *bytes,
                checkpoint: name.clone(),
            };
            put(
                state,
                ObjectKind::Adapter,
                &name,
                id,
                ObjectSpec::Adapter(spec),
            )
        }
        Step::Delete { pick } => return pick_deletion(state, pick, id),
        Step::Place {
            model,
            label,
            engine,
            accelerators,
            off_by,
        } => {
            let model = ModelName::from(model_name(*model));
            let backend = BackendName::from(engine_name(*engine));
            let known = state.backend(&backend)?;
            Command::PlaceReplica(PlaceReplica {
                version: label_name(*label).into(),
                incarnation: known.registration.incarnation,
                accelerators: accelerators.clone(),
                expected_slots: state.replicas_of(&model).len() as u32 + off_by,
                model,
                backend,
            })
        }
        Step::Retire { pick } => Command::RetireReplica(RetireReplica {
            slot: pick_slot(state, pick),
        }),
        Step::Attach { pick, adapter } => Command::AttachAdapter(AdapterDecision {
            slot: pick_slot(state, pick),
            adapter: format!("a{adapter}").into(),
        }),
        Step::Detach { pick, adapter } => {
            let attached = attachments(state);
            let found = (!attached.is_empty()).then(|| pick.get(&attached).clone());
            Command::DetachAdapter(found.unwrap_or_else(|| AdapterDecision {
                slot: pick_slot(state, pick),
                adapter: format!("a{adapter}").into(),
            }))
        }
        Step::SettleNext { pick, result } => return settle_next(state, pick, result),
        Step::SettleStale {
            pick,
            index,
            result,
        } => {
            let replica = state.replica(pick_slot(state, pick))?;
            settlement(replica, None, position(*index), result.clone())
        }
        Step::ChangeRole {
            engine,
            incarnation,
            role,
        } => Command::ChangeRole(ChangeRole {
            backend: engine_name(*engine).into(),
            incarnation: Incarnation(*incarnation),
            role: *role,
        }),
    };
    Some(command)
}
