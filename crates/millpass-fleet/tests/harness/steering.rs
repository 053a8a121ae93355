//! A leader that instructs one engine, which announces itself at another member.

use super::at;
use super::calls::Calls;
use super::documents::{EMPTY_CONTEXT, EngineCapacity, engine_document, model};
use millpass_fleet::{Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;

pub struct InstructingLeader {
    fleet: Fleet,
    document: DeploymentDocument,
    calls: Calls,
    number: u64,
    revision: u64,
}

impl InstructingLeader {
    pub fn new() -> InstructingLeader {
        let capacity = EngineCapacity {
            weights_kilobytes: 130,
            adapter_slots: 2,
            milliloads_per_second: 2_000,
        };
        let models = ["a", "b", "c"].map(|name| model(name, 60, 0));
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        let nothing = std::iter::empty;
        fleet.start_leading(at(0), nothing(), std::iter::empty(), &history);
        InstructingLeader {
            fleet,
            document: engine_document(models.to_vec(), &capacity),
            calls: Calls::default(),
            number: 0,
            revision: 0,
        }
    }

    fn held(models: &[&str]) -> Vec<HeldModel> {
        let held = |name: &&str| HeldModel {
            model: (*name).into(),
            adapters: Vec::new(),
        };
        models.iter().map(held).collect()
    }

    fn report(&mut self, instances: Vec<InstanceRecord>, heartbeats: Vec<InstanceHeartbeat>) {
        self.number += 1;
        let base = self.revision;
        self.revision += u64::from(!instances.is_empty());
        let member = MemberAddress {
            member: MemberId(2),
            zone: "z".into(),
            peer_address: "10.9.0.2:1".to_owned(),
            administration_address: "10.9.0.2:2".to_owned(),
        };
        let report = ShareReport {
            from: member.clone(),
            run: 7,
            number: self.number,
            base,
            revision: self.revision,
            instances,
            expired: Vec::new(),
            heartbeats,
            active_revision: 0,
        };
        let now = at(self.number);
        self.fleet
            .handle_share_report(now, &report, member, &|_| None);
    }

    /// Reports a changed announcement received by the other member.
    pub fn announce(&mut self, sequence: u64, models: &[&str]) {
        let record = InstanceRecord {
            instance: "e-1".into(),
            service: "text".into(),
            address: "10.0.0.1:80".to_owned(),
            zone: "z".into(),
            slots: 8,
            draining: false,
            warmup_millis: 0,
            sequence,
            models: InstructingLeader::held(models),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            software: SoftwareStatement::default(),
        };
        self.report(vec![record], Vec::new());
    }

    /// Reports an unchanged announcement received by the other member.
    pub fn announce_unchanged(&mut self, sequence: u64) {
        let heartbeat = InstanceHeartbeat {
            instance: "e-1".into(),
            sequence,
        };
        self.report(Vec::new(), vec![heartbeat]);
    }

    pub fn state(&self, revision: u64, models: &[&str]) -> InstructionResult {
        InstructionResult::State(EngineState {
            revision,
            busy: false,
            models: InstructingLeader::held(models),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            loading_adapters: Vec::new(),
        })
    }

    /// Reports a request that waits for a model.
    pub fn report_demand(&mut self, now: u64, model: &str) {
        let report = GatewayReport {
            gateway: "g".to_owned(),
            zone: "z".into(),
            sequence: 1,
            version: 1,
            demand: vec![GatewayModelDemand {
                service: "text".into(),
                model: model.into(),
                adapter: None,
                unserved: 1,
                arrivals: 1,
                in_flight: 0,
                priority: 1,
                unread_tokens: 0,
                refused_full: 0,
            }],
            inconsistent: Vec::new(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: Vec::new(),
            paces: Vec::new(),
        };
        self.fleet.handle_report(at(now), 1, &report);
    }

    /// Runs the leader and returns its calls to the engine.
    pub fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let document = self.document.clone().into();
        let mut outputs = self.fleet.run(at(now), 3, Some(&document), &EMPTY_CONTEXT);
        self.calls.record(&outputs);
        outputs.retain(|output| {
            matches!(
                output,
                FleetOutput::Instruct(_) | FleetOutput::ReadEngine { .. }
            )
        });
        outputs
    }

    /// Responds to the newest call.
    pub fn respond(&mut self, now: u64, result: InstructionResult) {
        let result = self.calls.response(&"e-1".into(), &result);
        self.fleet.handle_call_result(at(now), &result);
    }
}
