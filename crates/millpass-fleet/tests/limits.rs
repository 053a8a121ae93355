//! Limits that instances state, as the leader takes them.

mod harness;

use harness::calls::Calls;
use harness::documents::{self, NOBODY, Room, engine_document};
use millpass_fleet::{Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn record(instance: &str, models: &[&str]) -> InstanceRecord {
    let models = models.iter().map(|name| HeldModel {
        model: (*name).into(),
        adapters: Vec::new(),
    });
    InstanceRecord {
        instance: instance.into(),
        service: "text".into(),
        address: format!("{instance}:80"),
        zone: "z".into(),
        slots: 8,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        models: models.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn report(gateway: &str, sequence: u64, needs: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: gateway.to_owned(),
        zone: "z".into(),
        sequence,
        version: 1,
        demand: needs,
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
    }
}

fn unserved(model: &str) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model: model.into(),
        adapter: None,
        unserved: 5,
        arrivals: 5,
        in_flight: 0,
        priority: 0,
        unread_tokens: 0,
    }
}

fn document() -> DeploymentDocument {
    let room = Room {
        weights_kilobytes: 130,
        adapter_slots: 2,
        milliloads_per_second: 20_000,
    };
    engine_document(vec![documents::model("a", 60, 0)], &room)
}

/// The state of an engine that holds this and was ordered nothing.
fn idle(models: Vec<HeldModel>) -> EngineState {
    EngineState {
        revision: 0,
        busy: false,
        models,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        loading_adapters: Vec::new(),
    }
}

/// A leader with two gateways and two engines, of which the first holds model `a`.
struct Leader(Fleet, Calls);

impl Leader {
    fn new() -> Leader {
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        fleet.begin(at(1), std::iter::empty(), std::iter::empty(), &history);
        for (connection, gateway) in ["g-1", "g-2"].into_iter().enumerate() {
            fleet.report(at(1), connection as u64, &report(gateway, 1, Vec::new()));
        }
        fleet.announce(at(2), record("i-1", &["a"]), false);
        fleet.announce(at(2), record("i-2", &[]), false);
        let mut leader = Leader(fleet, Calls::default());
        leader.run(10);
        leader
    }

    /// Runs once; reads of engines' state are answered: nothing was ordered yet.
    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let outputs = self.0.run(at(now), 3, Some(&document()), &NOBODY);
        self.1.note(&outputs);
        for output in &outputs {
            let FleetOutput::ReadEngine { instance, .. } = output else {
                continue;
            };
            let held = match instance.0.as_str() {
                "i-1" => record("i-1", &["a"]).models,
                _ => Vec::new(),
            };
            let state = InstructionResult::State(idle(held));
            let answer = self.1.answer(instance, &state);
            self.0.answered(at(now), &answer);
        }
        outputs
    }

    fn hear_limit(&mut self, now: u64, milli_per_second: Option<u64>) {
        let word = LimitObservation {
            instance: "i-1".into(),
            milli_per_second,
            request_age_millis: 5,
            response_age_millis: 0,
        };
        let request = PermitRequest {
            gateway: "g-1".to_owned(),
            sequence: now,
            observations: vec![word],
            instances: Vec::new(),
        };
        self.0.permit_request(at(now), 3, &request);
    }

    /// Engines that are told to load something while a need of model `a` is reported again and again.
    fn loads(&mut self, from: u64) -> Vec<InstanceId> {
        let mut loads = Vec::new();
        for now in (from..from + 1_000).step_by(100) {
            let needs = vec![unserved("a")];
            self.0.report(at(now), 0, &report("g-1", now, needs));
            for output in self.run(now) {
                if let FleetOutput::Instruct(given) = output {
                    loads.push(given.instance);
                }
            }
        }
        loads
    }

    /// Limits that each gateway is told with the next run.
    fn told(&mut self, now: u64) -> Vec<Vec<Option<u64>>> {
        let told = self.run(now).into_iter().filter_map(|output| match output {
            FleetOutput::Limits { update, .. } => Some(update.limits),
            _ => None,
        });
        told.map(|words| words.iter().map(|word| word.milli_per_second).collect())
            .collect()
    }
}

#[test]
fn a_model_that_only_a_limited_engine_holds_is_brought_to_no_other() {
    let mut leader = Leader::new();
    assert!(leader.loads(100).is_empty());
    leader.hear_limit(1_200, Some(1_000));
    assert_eq!(leader.loads(1_300).first(), Some(&"i-2".into()));
}

#[test]
fn a_gateway_is_not_told_of_a_limit_that_another_heard_or_of_its_end() {
    let mut leader = Leader::new();
    assert_eq!(leader.told(100), Vec::<Vec<Option<u64>>>::new());
    leader.hear_limit(200, Some(1_000));
    assert_eq!(leader.told(201), vec![vec![Some(1_000)], vec![Some(1_000)]]);
    leader.hear_limit(300, None);
    assert_eq!(leader.told(301), vec![vec![None], vec![None]]);
    assert_eq!(leader.told(400), Vec::<Vec<Option<u64>>>::new());
}
