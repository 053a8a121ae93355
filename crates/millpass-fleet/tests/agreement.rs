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
    /// An instance announces itself: number, models held, draining, warm-up in milliseconds, and the
    /// copies in memory and on disk, a bit for each model.
    Announce(u64, usize, bool, u64, (u8, u8)),
    /// An instance departs: number, whether it has ended.
    Depart(u64, bool),
    /// An engine's state is read: number, models held, which may differ from the announced ones.
    Read(u64, usize),
    /// The document changes.
    Put,
    /// The gateway sends a report.
    Report,
    /// The gateway sends a report with unmet demand for a model of some service.
    ReportDemand(usize),
    /// The gateway's connection ends and it reconnects.
    Reconnect,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..INSTANCES, 0..3_usize, prop::bool::weighted(0.1), 0..2_u64, (0..16_u8, 0..16_u8)).prop_map(
            |(number, models, draining, warmup, copies)| Action::Announce(number, models, draining, warmup, copies)
        ),
        1 => (0..INSTANCES, any::<bool>()).prop_map(|(number, ended)| Action::Depart(number, ended)),
        1 => (0..INSTANCES, 0..3_usize).prop_map(|(number, models)| Action::Read(number, models)),
        1 => Just(Action::Put),
        3 => Just(Action::Report),
        2 => (0..3_usize).prop_map(Action::ReportDemand),
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

fn copies(bits: u8) -> Vec<ModelName> {
    let held = (0..4).filter(|bit| bits & (1 << bit) != 0);
    held.map(|number| format!("m-{number}").into()).collect()
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
        let updates = self.leader.updates(self.now).into_iter();
        let mut first_update = None;
        for (_, update) in updates.filter(|(connection, _)| *connection == self.connection) {
            if update.first {
                first_update = Some(update.clone());
            }
            let outcome = self.gateway.update(at(self.now), update);
            assert_eq!(outcome.mismatched_base, None);
        }
        first_update
    }

    fn report_demand(&mut self, model: usize) {
        let mut report = self.gateway.report(at(self.now));
        let demand = (0..INSTANCES).map(|number| GatewayModelDemand {
            service: record(number).service,
            model: format!("m-{model}").into(),
            adapter: None,
            unserved: 1,
            arrivals: 1,
            in_flight: 0,
            priority: 1,
            unread_tokens: 0,
            refused_full: 0,
        });
        report.demand.extend(demand);
        self.leader
            .fleet
            .handle_report(at(self.now), self.connection, &report);
    }

    fn announce(
        &mut self,
        number: u64,
        models: usize,
        draining: bool,
        warmup_millis: u64,
        (in_memory, on_disk): (u8, u8),
    ) {
        self.sequence += 1;
        let announced = InstanceRecord {
            models: held(models),
            draining,
            warmup_millis,
            sequence: self.sequence,
            in_memory: copies(in_memory),
            on_disk: copies(on_disk),
            ..record(number)
        };
        let ended = self.leader.departed.contains(&announced.instance);
        self.leader
            .fleet
            .handle_announcement(at(self.now), announced, ended);
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Announce(number, models, draining, warmup, copies) => {
                self.announce(*number, *models, *draining, *warmup, *copies);
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
            Action::ReportDemand(model) => self.report_demand(*model),
            Action::Reconnect => self.reconnect(),
        }
    }

    fn reconnect(&mut self) {
        // Delivers pending updates, so that the gateway is up to date.
        self.now += STEP_MILLIS;
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
            prop_assert_eq!(Some(table.document()), leader_document.map(|it| &**it));
        }
    }
}

/// Gateways beside the one observed, so that updates are throttled.
const OTHER_GATEWAYS: u64 = 17;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against changes that are lost, applied twice or out of order when some are sent early
    /// and the others at the regular interval.
    #[test]
    fn throttled_gateway_is_up_to_date_after_an_interval(
        actions in prop::collection::vec((action(), any::<bool>()), 1..60)
    ) {
        let mut pair = Pair {
            leader: Leader::new(INSTANCES, 0),
            gateway: gateway(),
            connection: 1,
            now: 10_000,
            sequence: 1,
        };
        for other in 0..OTHER_GATEWAYS {
            pair.leader.report(pair.now, 1_000 + other, 1);
        }
        pair.report();
        pair.exchange();
        for (action, soon) in &actions {
            pair.now += if *soon { 5 } else { STEP_MILLIS };
            pair.perform(action);
            pair.exchange();
        }
        pair.reconnect();
    }
}
