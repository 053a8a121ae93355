//! Limits stated by instances, at the leader.

mod harness;

use harness::calls::Calls;
use harness::documents::{self, EMPTY_CONTEXT, EngineCapacity, engine_document};
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
        software: SoftwareStatement::default(),
    }
}

fn report(gateway: &str, sequence: u64, demand: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: gateway.to_owned(),
        zone: "z".into(),
        sequence,
        version: 1,
        demand,
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
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
        refused_full: 0,
    }
}

fn document() -> DeploymentDocument {
    let capacity = EngineCapacity {
        weights_kilobytes: 130,
        adapter_slots: 2,
        milliloads_per_second: 20_000,
    };
    engine_document(vec![documents::model("a", 60, 0)], &capacity)
}

/// Returns the state of an engine that has received no orders.
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

/// A leader with two gateways and two engines, the first of which holds model `a`.
struct Leader(Fleet, Calls);

impl Leader {
    fn new() -> Leader {
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        fleet.start_leading(at(1), std::iter::empty(), std::iter::empty(), &history);
        for (connection, gateway) in ["g-1", "g-2"].into_iter().enumerate() {
            fleet.handle_report(at(1), connection as u64, &report(gateway, 1, Vec::new()));
        }
        fleet.handle_announcement(at(2), record("i-1", &["a"]), false);
        fleet.handle_announcement(at(2), record("i-2", &[]), false);
        let mut leader = Leader(fleet, Calls::default());
        leader.run(10);
        leader
    }

    /// Runs once and responds to state reads.
    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let outputs = self
            .0
            .run(at(now), 3, Some(&document().into()), &EMPTY_CONTEXT);
        self.1.record(&outputs);
        for output in &outputs {
            let FleetOutput::ReadEngine { instance, .. } = output else {
                continue;
            };
            let held = match instance.0.as_str() {
                "i-1" => record("i-1", &["a"]).models,
                _ => Vec::new(),
            };
            let state = InstructionResult::State(idle(held));
            let answer = self.1.response(instance, &state);
            self.0.handle_call_result(at(now), &answer);
        }
        outputs
    }

    fn report_limit(&mut self, now: u64, milli_per_second: Option<u64>) {
        let observation = LimitObservation {
            instance: "i-1".into(),
            milli_per_second,
            request_age_millis: 5,
            response_age_millis: 0,
        };
        let request = PermitRequest {
            gateway: "g-1".to_owned(),
            sequence: now,
            observations: vec![observation],
            instances: Vec::new(),
        };
        self.0.handle_permit_request(at(now), 3, &request);
    }

    /// Returns the engines instructed while unmet demand for model `a` is reported.
    fn engines_loading(&mut self, from: u64) -> Vec<InstanceId> {
        let mut engines = Vec::new();
        for now in (from..from + 1_000).step_by(100) {
            let demand = vec![unserved("a")];
            self.0
                .handle_report(at(now), 0, &report("g-1", now, demand));
            for output in self.run(now) {
                if let FleetOutput::Instruct(instruction) = output {
                    engines.push(instruction.instance);
                }
            }
        }
        engines
    }

    /// Returns the limits sent to each gateway by the next run.
    fn limits_by_gateway(&mut self, now: u64) -> Vec<Vec<Option<u64>>> {
        let updates = self.run(now).into_iter().filter_map(|output| match output {
            FleetOutput::Limits { update, .. } => Some(update.limits),
            _ => None,
        });
        updates
            .map(|observations| {
                observations
                    .iter()
                    .map(|observation| observation.milli_per_second)
                    .collect()
            })
            .collect()
    }
}

#[test]
fn model_of_limited_engine_gets_a_replica() {
    let mut leader = Leader::new();
    assert!(leader.engines_loading(100).is_empty());
    leader.report_limit(1_200, Some(1_000));
    assert_eq!(leader.engines_loading(1_300).first(), Some(&"i-2".into()));
}

#[test]
fn limit_and_its_end_are_sent_to_all_gateways() {
    let mut leader = Leader::new();
    assert_eq!(
        leader.limits_by_gateway(100),
        Vec::<Vec<Option<u64>>>::new()
    );
    leader.report_limit(200, Some(1_000));
    assert_eq!(
        leader.limits_by_gateway(201),
        vec![vec![Some(1_000)], vec![Some(1_000)]]
    );
    leader.report_limit(300, None);
    assert_eq!(leader.limits_by_gateway(301), vec![vec![None], vec![None]]);
    assert_eq!(
        leader.limits_by_gateway(400),
        Vec::<Vec<Option<u64>>>::new()
    );
}
