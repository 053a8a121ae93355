//! Command builders and a state that applies commands at increasing positions. Also used by the
//! scheduler's tests.
#![allow(dead_code)]

use millpass_proto::*;
use millpass_state::State;

pub const GIB: u64 = 1 << 30;

/// A state and the position of the next command.
#[derive(Clone, Default)]
pub struct Fixture {
    pub state: State,
    pub index: u64,
}

impl Fixture {
    pub fn apply(&mut self, command: Command) -> CommandOutcome {
        self.index += 1;
        self.state.apply(position(self.index), &command)
    }

    /// Applies a command that must take effect.
    pub fn must(&mut self, command: Command) -> CommandOutcome {
        let outcome = self.apply(command.clone());
        let refused = matches!(outcome, CommandOutcome::Ignored(_));
        assert!(!refused, "{command:?} gave {outcome:?}");
        outcome
    }

    pub fn must_ignore(&mut self, command: Command) -> String {
        match self.apply(command.clone()) {
            CommandOutcome::Ignored(reason) => reason,
            other => panic!("{command:?} gave {other:?}"),
        }
    }

    pub fn accept(&mut self, command: Command) -> ChangeAccepted {
        match self.apply(command.clone()) {
            CommandOutcome::Object(ObjectChangeOutcome::Accepted(accepted)) => accepted,
            other => panic!("{command:?} gave {other:?}"),
        }
    }

    /// Creates a model with a version `v1` of this size.
    pub fn model(&mut self, name: &str, spec: ModelSpec, weights_bytes: u64) {
        self.accept(create(
            ObjectKind::Model,
            name,
            ObjectSpec::Model(spec.clone()),
        ));
        self.version(name, &spec.current_version.0, weights_bytes);
    }

    pub fn version(&mut self, model: &str, label: &str, weights_bytes: u64) {
        let spec = version_spec(model, label, weights_bytes);
        let name = format!("{model}@{label}");
        self.accept(create(
            ObjectKind::Version,
            &name,
            ObjectSpec::Version(spec),
        ));
    }

    pub fn adapter(&mut self, name: &str, model: &str, bytes: u64) {
        let spec = AdapterSpec {
            model: model.into(),
            bytes,
            checkpoint: format!("adapters/{name}"),
        };
        self.accept(create(ObjectKind::Adapter, name, ObjectSpec::Adapter(spec)));
    }

    pub fn engine(&mut self, name: &str, zone: &str, accelerators: usize, bytes: u64) {
        self.must(Command::RegisterBackend(engine(
            name,
            zone,
            1,
            accelerators,
            bytes,
        )));
    }

    /// Places a replica on the first accelerators of an engine.
    pub fn place(&mut self, model: &str, backend: &str) -> SlotId {
        let command = self.placement(model, backend);
        match self.must(Command::PlaceReplica(command)) {
            CommandOutcome::Placed(slot) => slot,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the command that places another replica in the current state.
    pub fn placement(&self, model: &str, backend: &str) -> PlaceReplica {
        let model = ModelName::from(model);
        let spec = self.state.model(&model).expect("model");
        let backend = BackendName::from(backend);
        let known = self.state.backend(&backend).expect("backend");
        PlaceReplica {
            version: spec.current_version.clone(),
            incarnation: known.registration.incarnation,
            accelerators: (0..spec.accelerators_per_replica).collect(),
            expected_slots: self.state.replicas_of(&model).len() as u32,
            model,
            backend,
        }
    }

    /// Settles the latest order of a slot.
    pub fn settle(&mut self, slot: SlotId, result: OrderResult) -> CommandOutcome {
        let replica = self.state.replica(slot).expect("slot").clone();
        self.apply(settlement(&replica, None, replica.fence, result))
    }

    /// Places a replica and confirms its load.
    pub fn load(&mut self, model: &str, backend: &str) -> SlotId {
        let slot = self.place(model, backend);
        assert_eq!(self.settle(slot, OrderResult::Loaded), CommandOutcome::Done);
        slot
    }

    pub fn mark(&mut self, backend: &str, state: BackendState) -> CommandOutcome {
        let backend = BackendName::from(backend);
        let known = self.state.backend(&backend).expect("backend");
        let incarnation = known.registration.incarnation;
        self.apply(Command::MarkBackend(BackendMark {
            backend,
            incarnation,
            state,
        }))
    }
}

pub fn position(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

pub fn model_spec(accelerators: u32, minimum: u32, maximum: u32, concurrency: u32) -> ModelSpec {
    ModelSpec {
        current_version: "v1".into(),
        accelerators_per_replica: accelerators,
        maximum_replicas: maximum,
        minimum_replicas: minimum,
        concurrency_per_replica: concurrency,
    }
}

pub fn version_spec(model: &str, label: &str, weights_bytes: u64) -> VersionSpec {
    VersionSpec {
        model: model.into(),
        label: label.into(),
        weights_bytes,
        cache_bytes: GIB,
        checkpoint: format!("{model}/{label}"),
    }
}

pub fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.to_owned(),
    }
}

pub fn change(
    kind: ObjectKind,
    name: &str,
    expected_version: u64,
    change_id: &str,
    spec: Option<ObjectSpec>,
) -> Command {
    Command::ChangeObject(ObjectChange {
        key: key(kind, name),
        expected_version,
        change_id: change_id.into(),
        operator: "operator".into(),
        at_unix_millis: 0,
        spec,
    })
}

pub fn create(kind: ObjectKind, name: &str, spec: ObjectSpec) -> Command {
    let change_id = format!("create-{kind:?}-{name}");
    change(kind, name, 0, &change_id, Some(spec))
}

pub fn tenant_spec(share_weight: u32) -> ObjectSpec {
    ObjectSpec::Tenant(TenantSpec {
        api_key_hashes: vec!["hash".to_owned()],
        share_weight,
        capacity_bytes: 0,
        maximum_waiting: 10,
    })
}

pub fn engine(
    name: &str,
    zone: &str,
    incarnation: u64,
    accelerators: usize,
    bytes: u64,
) -> BackendRegistration {
    BackendRegistration {
        backend: name.into(),
        kind: BackendKind::Engine,
        group: None,
        zone: zone.into(),
        address: format!("{name}:1"),
        incarnation: Incarnation(incarnation),
        accelerator_bytes: vec![bytes; accelerators],
    }
}

pub fn web(name: &str, zone: &str, incarnation: u64) -> BackendRegistration {
    BackendRegistration {
        backend: name.into(),
        kind: BackendKind::Web,
        group: Some("results".into()),
        zone: zone.into(),
        address: format!("{name}:1"),
        incarnation: Incarnation(incarnation),
        accelerator_bytes: Vec::new(),
    }
}

pub fn settlement(
    replica: &Replica,
    adapter: Option<&str>,
    fence: LogPosition,
    result: OrderResult,
) -> Command {
    Command::SettleOrder(OrderSettlement {
        slot: replica.slot,
        adapter: adapter.map(AdapterName::from),
        backend: replica.backend.clone(),
        incarnation: replica.incarnation,
        fence,
        result,
    })
}

/// Settles an order with `result`, or successfully if `None`.
pub fn settle_order(order: &EngineOrder, result: Option<OrderResult>) -> Command {
    let (slot, adapter, done) = match &order.action {
        OrderAction::LoadModel(load) => (load.slot, None, OrderResult::Loaded),
        OrderAction::UnloadModel(slot) => (*slot, None, OrderResult::Unloaded),
        OrderAction::LoadAdapter(load) => (load.slot, Some(&load.adapter), OrderResult::Loaded),
        OrderAction::UnloadAdapter(unload) => {
            (unload.slot, Some(&unload.adapter), OrderResult::Unloaded)
        }
        OrderAction::ChangeRole(_) => {
            return Command::SettleRole(RoleSettlement {
                backend: order.backend.clone(),
                incarnation: order.incarnation,
                fence: order.fence,
            });
        }
    };
    Command::SettleOrder(OrderSettlement {
        slot,
        adapter: adapter.cloned(),
        backend: order.backend.clone(),
        incarnation: order.incarnation,
        fence: order.fence,
        result: result.unwrap_or(done),
    })
}

/// Runs a property over a fixed number of cases with a fixed seed.
pub fn check_cases<S: proptest::strategy::Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), proptest::test_runner::TestCaseError>,
) where
    S::Value: std::fmt::Debug,
{
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(error) = runner.run(&strategy, test) {
        panic!("{error}");
    }
}
