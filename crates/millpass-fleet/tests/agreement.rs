//! A gateway that is up to date when its connection ends receives no instances or document on the
//! next connection, whatever happened before.

mod harness;

use harness::{Leader, at, gateway, record};
use millpass_dispatch::Dispatcher;
use millpass_proto::*;
use proptest::prelude::*;

const INSTANCES: u64 = 6;
/// Longer than the minimum interval between passes.
const STEP_MILLIS: u64 = 150;

#[derive(Clone, Debug)]
enum Action {
    /// An instance announces itself: number, models held, draining, warm-up in milliseconds.
    Announce(u64, usize, bool, u64),
    /// An instance departs: number, whether it has ended.
    Depart(u64, bool),
    /// An engine's state is read: number, models held, which may differ from the announced ones.
    Read(u64, usize),
    /// The document changes.
    Put,
    /// The gateway sends a report.
    Report,
    /// The gateway's connection ends and it reconnects.
    Reconnect,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..INSTANCES, 0..3_usize, prop::bool::weighted(0.1), 0..2_u64)
            .prop_map(|(number, models, draining, warmup)| Action::Announce(number, models, draining, warmup)),
        1 => (0..INSTANCES, any::<bool>()).prop_map(|(number, ended)| Action::Depart(number, ended)),
        1 => (0..INSTANCES, 0..3_usize).prop_map(|(number, models)| Action::Read(number, models)),
        1 => Just(Action::Put),
        3 => Just(Action::Report),
        2 => Just(Action::Reconnect),
    ]
}

fn held(models: usize) -> Vec<HeldModel> {
    let model = |number| HeldModel {
        model: format!("m-{number}").into(),
        adapters: Vec::new(),
    };
    (0..models).map(model).collect()
}

/// A leader and a gateway that exchange messages without delay.
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
            .handle_report(at(self.now), self.connection, &report);
    }

    /// Delivers the leader's next updates and returns the first update of a connection, if any.
    fn exchange(&mut self) -> Option<GatewayUpdate> {
        let updates = self.leader.updates(self.now);
        let mut first_update = None;
        for (_, update) in updates {
            if update.first {
                first_update = Some(update.clone());
            }
            let outcome = self.gateway.update(at(self.now), update);
            assert_eq!(outcome.mismatched_base, None);
        }
        first_update
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
        self.leader
            .fleet
            .handle_announcement(at(self.now), announced, ended);
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Announce(number, models, draining, warmup) => {
                self.announce(*number, *models, *draining, *warmup);
            }
            Action::Depart(number, ended) => {
                let instance = record(*number).instance;
                self.leader.fleet.handle_departure(&instance, *ended);
                if *ended {
                    self.leader.departed.push(instance);
                }
            }
            Action::Read(number, models) => {
                let state = InstructionResult::State(EngineState {
                    revision: 1,
                    busy: false,
                    models: held(*models),
                    in_memory: Vec::new(),
                    on_disk: Vec::new(),
                    loading_adapters: Vec::new(),
                });
                let instance = record(*number).instance;
                self.leader.respond(self.now, &instance, &state);
            }
            Action::Put => self.leader.commit_next_version(self.now),
            Action::Report => self.report(),
            Action::Reconnect => self.reconnect(),
        }
    }

    fn reconnect(&mut self) {
        // Delivers pending updates, so that the gateway is up to date.
        self.exchange();
        let instance_count = self.gateway.instance_count();
        self.leader
            .fleet
            .handle_disconnect(at(self.now), self.connection);
        self.gateway.connection_ended();
        self.connection += 1;
        self.now += STEP_MILLIS;
        self.report();
        let first_update = self.exchange().expect("a first update");
        assert!(
            first_update.instances.is_empty(),
            "{:?}",
            first_update.instances
        );
        assert!(first_update.document.is_none() && first_update.document_change.is_none());
        assert_eq!(
            first_update.unchanged_instance_digests.len(),
            instance_count
        );
        assert_eq!(
            self.gateway.instance_count(),
            instance_count,
            "all instances are kept"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn reconnecting_up_to_date_gateway_is_sent_no_instances(actions in prop::collection::vec(action(), 1..40)) {
        let mut pair = Pair {
            leader: Leader::new(INSTANCES, 0),
            gateway: gateway(),
            connection: 1,
            now: 10_000,
            sequence: 1,
        };
        pair.report();
        pair.exchange();
        for action in &actions {
            pair.now += STEP_MILLIS;
            pair.perform(action);
            pair.exchange();
            let table = pair.gateway.table().expect("a document");
            let leader_document = pair.leader.documents.document(pair.leader.version);
            prop_assert_eq!(Some(table.document()), leader_document);
        }
    }
}
