//! Leader and gateway agree on what a gateway holds, whatever happened before: a gateway that is up to date when its
//! connection ends is told nothing of instances on the next one.

mod harness;

use harness::{Leader, at, gateway, record};
use millpass_dispatch::Dispatcher;
use millpass_proto::*;
use proptest::prelude::*;

const INSTANCES: u64 = 6;
/// Time between two steps: above the shortest time between two looks.
const STEP_MILLIS: u64 = 150;

#[derive(Clone, Debug)]
enum Act {
    /// An instance announces itself, with this many models; it may be draining or slow from its start.
    Announce(u64, usize, bool, u64),
    /// It leaves, or has ended.
    Depart(u64, bool),
    /// An engine's state is read: what it holds is not what it announced.
    Read(u64, usize),
    /// The document changes.
    Put,
    /// A gateway's report.
    Report,
    /// The gateway's connection ends and it connects again.
    Reconnect,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0..INSTANCES, 0..3_usize, prop::bool::weighted(0.1), 0..2_u64)
            .prop_map(|(number, models, draining, warmup)| Act::Announce(number, models, draining, warmup)),
        1 => (0..INSTANCES, any::<bool>()).prop_map(|(number, ended)| Act::Depart(number, ended)),
        1 => (0..INSTANCES, 0..3_usize).prop_map(|(number, models)| Act::Read(number, models)),
        1 => Just(Act::Put),
        3 => Just(Act::Report),
        2 => Just(Act::Reconnect),
    ]
}

fn held(models: usize) -> Vec<HeldModel> {
    let model = |number| HeldModel {
        model: format!("m-{number}").into(),
        adapters: Vec::new(),
    };
    (0..models).map(model).collect()
}

/// Leader and one gateway, whose messages arrive at once.
struct Pair {
    leader: Leader,
    gateway: Dispatcher,
    connection: u64,
    now: u64,
    sequence: u64,
}

impl Pair {
    fn report(&mut self) {
        let report = self.gateway.report(at(self.now));
        self.leader
            .fleet
            .report(at(self.now), self.connection, &report);
    }

    /// The leader's next updates arrive; gives what the first of them says.
    fn exchange(&mut self) -> Option<GatewayUpdate> {
        let updates = self.leader.updates(self.now);
        let mut greeting = None;
        for (_, update) in updates {
            if update.first {
                greeting = Some(update.clone());
            }
            let outcome = self.gateway.update(at(self.now), update);
            assert_eq!(outcome.unfit_change, None);
        }
        greeting
    }

    fn announce(&mut self, number: u64, models: usize, draining: bool, warmup_millis: u64) {
        self.sequence += 1;
        let announced = InstanceRecord {
            models: held(models),
            draining,
            warmup_millis,
            sequence: self.sequence,
            ..record(number)
        };
        let ended = self.leader.departed.contains(&announced.instance);
        self.leader.fleet.announce(at(self.now), announced, ended);
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::Announce(number, models, draining, warmup) => {
                self.announce(*number, *models, *draining, *warmup);
            }
            Act::Depart(number, ended) => {
                let instance = record(*number).instance;
                self.leader.fleet.departed(&instance, *ended);
                if *ended {
                    self.leader.departed.push(instance);
                }
            }
            Act::Read(number, models) => {
                let state = InstructionResult::State(EngineState {
                    revision: 1,
                    busy: false,
                    models: held(*models),
                    in_memory: Vec::new(),
                    on_disk: Vec::new(),
                    loading_adapters: Vec::new(),
                });
                let instance = record(*number).instance;
                self.leader.answered(self.now, &instance, &state);
            }
            Act::Put => self.leader.put(self.now),
            Act::Report => self.report(),
            Act::Reconnect => self.reconnect(),
        }
    }

    fn reconnect(&mut self) {
        // What is under way arrives first: the gateway is up to date.
        self.exchange();
        let before = self.gateway.instance_count();
        self.leader
            .fleet
            .disconnected(at(self.now), self.connection);
        self.gateway.connection_ended();
        self.connection += 1;
        self.now += STEP_MILLIS;
        self.report();
        let greeting = self.exchange().expect("a first update");
        assert!(greeting.instances.is_empty(), "{:?}", greeting.instances);
        assert!(greeting.document.is_none() && greeting.document_change.is_none());
        assert_eq!(greeting.unchanged_instance_digests.len(), before);
        assert_eq!(self.gateway.instance_count(), before, "all count as named");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn a_gateway_that_was_up_to_date_is_told_nothing_of_instances(acts in prop::collection::vec(act(), 1..40)) {
        let mut pair = Pair {
            leader: Leader::new(INSTANCES, 0),
            gateway: gateway(),
            connection: 1,
            now: 10_000,
            sequence: 1,
        };
        pair.report();
        pair.exchange();
        for act in &acts {
            pair.now += STEP_MILLIS;
            pair.act(act);
            pair.exchange();
            let table = pair.gateway.table().expect("a document");
            let leader_s = pair.leader.documents.document(pair.leader.version);
            prop_assert_eq!(Some(table.document()), leader_s);
        }
    }
}
