//! Quarantine of requests and loads that crash instances, over all gateways.

mod harness;

use harness::calls::Calls;
use harness::documents::{self, EMPTY_CONTEXT, EngineCapacity, engine_document};
use millpass_fleet::{Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint {
        high: 7,
        low: number,
    }
}

fn record(instance: &str, sequence: u64, models: &[&str]) -> InstanceRecord {
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
        sequence,
        models: models.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

fn report(gateway: &str, demand: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: gateway.to_owned(),
        zone: "z".into(),
        sequence: 1,
        version: 1,
        demand,
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    }
}

fn crash_report(instance: &str, requests: &[u64]) -> CrashReport {
    CrashReport {
        crashes: vec![InstanceCrash {
            instance: instance.into(),
            requests: requests.iter().copied().map(request).collect(),
        }],
        served: Vec::new(),
        prompts: Vec::new(),
        served_parts: Vec::new(),
        refused_parts: Vec::new(),
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

struct Leader(Fleet, Calls);

impl Leader {
    /// Creates a leader with two gateways and the quarantined requests recorded in the log.
    fn new(held: Vec<QuarantineRecord>) -> Leader {
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        fleet.start_leading(at(1), std::iter::empty(), held.into_iter(), &history);
        for (connection, gateway) in ["g-1", "g-2"].into_iter().enumerate() {
            fleet.handle_report(at(1), connection as u64, &report(gateway, Vec::new()));
        }
        Leader(fleet, Calls::default())
    }

    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let outputs = self
            .0
            .run(at(now), 3, Some(&document().into()), &EMPTY_CONTEXT);
        self.1.record(&outputs);
        outputs
    }

    /// Responds to the newest call to an engine.
    fn respond(&mut self, now: u64, instance: &InstanceId, result: &InstructionResult) {
        let result = self.1.response(instance, result);
        self.0.handle_call_result(at(now), &result);
    }

    /// Returns the quarantined requests sent by the next run, one list per gateway.
    fn quarantined_by_gateway(&mut self, now: u64) -> Vec<Vec<RequestFingerprint>> {
        let updates = self.run(now).into_iter().filter_map(|output| match output {
            FleetOutput::Crashes { update, .. } => Some(update),
            _ => None,
        });
        updates
            .map(|update| {
                let quarantined = update
                    .requests
                    .into_iter()
                    .filter(|request| request.remaining_millis > 0);
                quarantined.map(|request| request.request).collect()
            })
            .collect()
    }
}

/// Reports three crashes of instances that had request 1 in flight.
fn report_three_crashes(leader: &mut Leader) {
    for (index, instance) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        let index = index as u64;
        leader
            .0
            .handle_announcement(at(10 + index), record(instance, 1, &[]), false);
        let now = at(1_000 * (index + 1));
        leader
            .0
            .handle_crash_report(now, &crash_report(instance, &[1, 20 + index]));
    }
}

#[test]
fn crashes_reported_by_different_gateways_add_up_and_quarantine_reaches_all() {
    let mut leader = Leader::new(Vec::new());
    leader.run(5);
    report_three_crashes(&mut leader);
    assert_eq!(
        leader.quarantined_by_gateway(3_001),
        vec![vec![request(1)], vec![request(1)]]
    );
    let held = leader.0.quarantined_requests(at(3_001));
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].1, 3);
}

#[test]
fn confirmed_quarantine_is_recorded_and_restored_by_next_leader() {
    let mut leader = Leader::new(Vec::new());
    report_three_crashes(&mut leader);
    let recorded = |leader: &mut Leader, now| -> Vec<QuarantineRecord> {
        let records = leader
            .run(now)
            .into_iter()
            .filter_map(|output| match output {
                FleetOutput::QuarantineRequest(record) => Some(record),
                _ => None,
            });
        records.collect()
    };
    assert!(
        recorded(&mut leader, 3_100).is_empty(),
        "an instance may still announce itself"
    );
    let records = recorded(&mut leader, 5_000);
    assert_eq!(records.len(), 1);
    assert_eq!(
        (records[0].request.clone(), records[0].crashes),
        (request(1), 3)
    );
    let mut next = Leader::new(records);
    assert_eq!(
        next.quarantined_by_gateway(10),
        vec![vec![request(1)], vec![request(1)]]
    );
}

/// The new leader was elected before the log recorded the quarantined request.
#[test]
fn new_leader_rebuilds_quarantine_from_gateway_reports() {
    let mut leader = Leader::new(Vec::new());
    let mut remembered = CrashReport {
        crashes: Vec::new(),
        served: Vec::new(),
        prompts: Vec::new(),
        served_parts: Vec::new(),
        refused_parts: Vec::new(),
    };
    for instance in ["i-1", "i-2", "i-3"] {
        remembered
            .crashes
            .extend(crash_report(instance, &[1]).crashes);
    }
    leader.0.handle_crash_report(at(10), &remembered);
    assert_eq!(
        leader.quarantined_by_gateway(11),
        vec![vec![request(1)], vec![request(1)]]
    );
}

#[test]
fn announcement_withdraws_reported_crash() {
    let mut leader = Leader::new(Vec::new());
    report_three_crashes(&mut leader);
    leader
        .0
        .handle_announcement(at(3_500), record("i-3", 2, &[]), false);
    assert_eq!(
        leader.quarantined_by_gateway(3_501),
        vec![Vec::new(), Vec::new()]
    );
}

#[test]
fn end_of_draining_instance_is_not_attributed() {
    let mut leader = Leader::new(Vec::new());
    for instance in ["i-1", "i-2", "i-3"] {
        leader
            .0
            .handle_announcement(at(10), record(instance, 1, &[]), false);
        leader.0.handle_departure(&instance.into(), false);
        leader
            .0
            .handle_crash_report(at(500), &crash_report(instance, &[1]));
    }
    assert!(leader.0.quarantined_requests(at(501)).is_empty());
}

#[test]
fn operator_or_served_response_lifts_quarantine_at_all_gateways() {
    for by_operator in [true, false] {
        let mut leader = Leader::new(Vec::new());
        report_three_crashes(&mut leader);
        leader.run(5_000);
        if by_operator {
            assert!(leader.0.lift_quarantine(&request(1)));
            assert!(!leader.0.lift_quarantine(&request(2)));
        } else {
            let served = CrashReport {
                crashes: Vec::new(),
                served: vec![request(1)],
                prompts: Vec::new(),
                served_parts: Vec::new(),
                refused_parts: Vec::new(),
            };
            leader.0.handle_crash_report(at(5_001), &served);
        }
        assert_eq!(
            leader.quarantined_by_gateway(5_002),
            vec![Vec::new(), Vec::new()]
        );
    }
}

/// After three crashes during its load, a model is not loaded anywhere for some time.
#[test]
fn load_that_crashes_engines_is_quarantined() {
    let mut leader = Leader::new(Vec::new());
    let mut crash_count = 0;
    let mut now = 1_000;
    for engine in 0..8 {
        let name = format!("e-{engine}");
        leader
            .0
            .handle_announcement(at(now), record(&name, now, &[]), false);
        let state = EngineState {
            revision: 0,
            busy: false,
            models: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            loading_adapters: Vec::new(),
        };
        let id: InstanceId = name.as_str().into();
        leader.run(now);
        leader.respond(now, &id, &InstructionResult::State(state));
        let demand = GatewayModelDemand {
            service: "text".into(),
            model: "a".into(),
            adapter: None,
            unserved: 1,
            arrivals: 1,
            in_flight: 0,
            priority: 1,
            unread_tokens: 0,
            refused_full: 0,
        };
        leader
            .0
            .handle_report(at(now + 10), 0, &report("g-1", vec![demand]));
        let outputs = leader.run(now + 200);
        let loads = outputs
            .iter()
            .any(|output| matches!(output, FleetOutput::Instruct(_)));
        if loads {
            crash_count += 1;
            leader.respond(now + 210, &id, &InstructionResult::Accepted);
        }
        // The load is overdue, so the engine's state is read.
        leader.run(now + 3_000);
        leader.respond(now + 3_010, &id, &InstructionResult::OtherRun);
        now += 4_000;
    }
    assert_eq!(crash_count, 3);
}
