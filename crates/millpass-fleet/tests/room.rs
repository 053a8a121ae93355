//! Guards against orders beyond an engine's capacity, which crash it: memory and adapter slots must
//! not be recorded as free because of a response to another call, a late acceptance of an abandoned
//! order, a stale announcement, or elapsed time.

mod harness;

use harness::calls::{self, Calls};
use harness::documents::{self, EMPTY_CONTEXT, EngineCapacity, engine_document};
use millpass_fleet::{Fleet, FleetOutput, FleetSettings};
use millpass_proto::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns a document whose engines hold up to two models and two adapters.
fn document(models: &[&str]) -> DeploymentDocument {
    let models = models.iter().map(|name| documents::model(name, 60, 9));
    let capacity = EngineCapacity {
        weights_kilobytes: 130,
        adapter_slots: 2,
        milliloads_per_second: 20_000,
    };
    engine_document(models.collect(), &capacity)
}

fn held(model: &str, adapters: &[&str]) -> HeldModel {
    HeldModel {
        model: model.into(),
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    }
}

fn state(revision: u64, models: &[HeldModel]) -> InstructionResult {
    InstructionResult::State(EngineState {
        revision,
        busy: false,
        models: models.to_vec(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        loading_adapters: Vec::new(),
    })
}

/// A leader with one engine.
struct Leader {
    fleet: Fleet,
    document: DeploymentDocument,
    calls: Calls,
    sequence: u64,
}

impl Leader {
    /// Creates a leader that has read the engine's state: these models, and no accepted orders.
    fn new(held: &[HeldModel]) -> Leader {
        Leader::with_state(held, &state(0, held))
    }

    /// Creates a leader whose engine announces these models, and responds to the read of its state.
    fn with_state(held: &[HeldModel], state_report: &InstructionResult) -> Leader {
        let settings = FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        };
        let mut leader = Leader {
            fleet: Fleet::new(settings),
            document: document(&["a", "b", "c", "d"]),
            calls: Calls::default(),
            sequence: 0,
        };
        leader.announce(1_000, held);
        leader.run(1_000);
        leader.respond(1_000, state_report);
        leader
    }

    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let document = self.document.clone().into();
        let outputs = self.fleet.run(at(now), 3, Some(&document), &EMPTY_CONTEXT);
        self.calls.record(&outputs);
        outputs
    }

    fn announce(&mut self, now: u64, held: &[HeldModel]) {
        self.sequence += 1;
        let record = InstanceRecord {
            instance: "e".into(),
            service: "text".into(),
            address: "e:80".to_owned(),
            zone: "z".into(),
            slots: 8,
            draining: false,
            warmup_millis: 0,
            sequence: self.sequence,
            models: held.to_vec(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            software: SoftwareStatement::default(),
        };
        self.fleet.handle_announcement(at(now), record, false);
    }

    /// Runs the leader, which must read the state, and returns the call.
    fn expect_read(&mut self, now: u64) -> CallId {
        let outputs = self.run(now).into_iter();
        let mut reads = outputs.filter_map(|output| match output {
            FleetOutput::ReadEngine { call, .. } => Some(call),
            _ => None,
        });
        reads.next().expect("a read is due")
    }

    /// Responds to the newest call.
    fn respond(&mut self, now: u64, result: &InstructionResult) {
        let result = self.calls.response(&"e".into(), result);
        self.fleet.handle_call_result(at(now), &result);
    }

    /// Responds to this call.
    fn respond_to(&mut self, now: u64, call: CallId, result: &InstructionResult) {
        let result = calls::response_to(call, &"e".into(), result);
        self.fleet.handle_call_result(at(now), &result);
    }

    /// Reports demand for a model or an adapter of it for one second, and returns the instructions
    /// sent. State reads are not responded to.
    fn request(&mut self, now: u64, model: &str, adapter: Option<&str>) -> Vec<EngineInstruction> {
        let mut instructions = Vec::new();
        for now in (now..now + 1_000).step_by(100) {
            let demand = GatewayModelDemand {
                service: "text".into(),
                model: model.into(),
                adapter: adapter.map(Into::into),
                unserved: 1,
                arrivals: 1,
                in_flight: 0,
                priority: 1,
                unread_tokens: 0,
                refused_full: 0,
            };
            let report = GatewayReport {
                gateway: "g".to_owned(),
                zone: "z".into(),
                sequence: now,
                version: 1,
                demand: vec![demand],
                inconsistent: Vec::new(),
                in_flight: Vec::new(),
                as_of: 0,
                known_instance_digests: Vec::new(),
                paces: Vec::new(),
            };
            self.fleet.handle_report(at(now), 1, &report);
            let outputs = self.run(now).into_iter();
            instructions.extend(outputs.filter_map(|output| match output {
                FleetOutput::Instruct(instruction) => Some(instruction),
                _ => None,
            }));
        }
        instructions
    }
}

fn loads(instructions: &[EngineInstruction]) -> usize {
    let load = InstructionOperation::Load;
    instructions
        .iter()
        .filter(|instructions| instructions.operation == load)
        .count()
}

#[test]
fn late_acceptance_of_abandoned_order_requires_a_read_before_next_order() {
    let mut leader = Leader::new(&[held("a", &[])]);
    let first = leader.request(1_100, "b", None);
    assert_eq!(loads(&first), 1);
    leader.respond_to(2_010, first[0].call, &InstructionResult::Unanswered);
    // The state is read before the engine accepts the order.
    let read = leader.expect_read(2_500);
    leader.respond_to(2_510, read, &state(0, &[held("a", &[])]));
    leader.respond_to(2_800, first[0].call, &InstructionResult::Accepted);
    let next = leader.request(2_810, "c", None);
    assert_eq!(loads(&next), 0, "b is being loaded: {next:?}");
    // A state report shows what the engine holds.
    leader.respond(3_900, &state(1, &[held("a", &[]), held("b", &[])]));
    let next = leader.request(4_000, "c", None);
    assert_eq!(next.len(), 1, "{next:?}");
    assert_eq!(next[0].operation, InstructionOperation::Unload);
    assert_eq!(next[0].expected_revision, 1);
}

#[test]
fn timeout_of_abandoned_read_does_not_end_pending_order() {
    let mut leader = Leader::new(&[held("a", &[])]);
    let first = leader.request(1_100, "b", None);
    leader.respond_to(2_010, first[0].call, &InstructionResult::Conflict);
    let old = leader.expect_read(2_500);
    // There is no response for so long that the state is read again.
    let new = leader.expect_read(4_600);
    assert_ne!(old, new);
    leader.respond_to(4_650, new, &state(0, &[held("a", &[])]));
    let second = leader.request(4_700, "b", None);
    assert_eq!(loads(&second), 1);
    leader.respond_to(5_700, old, &InstructionResult::Unanswered);
    leader.respond_to(5_710, second[0].call, &InstructionResult::Accepted);
    let next = leader.request(5_720, "c", None);
    assert_eq!(loads(&next), 0, "b is being loaded: {next:?}");
}

/// The heartbeat was sent before the adapters were loaded and arrives three seconds later.
#[test]
fn late_heartbeat_frees_no_adapter_slots() {
    let mut leader = Leader::new(&[held("a", &[])]);
    for adapter in ["x", "y"] {
        let now = if adapter == "x" { 1_100 } else { 2_200 };
        let instructions = leader.request(now, "a", Some(adapter));
        assert_eq!(loads(&instructions), 1, "{instructions:?}");
        leader.respond_to(
            now + 1_010,
            instructions[0].call,
            &InstructionResult::Accepted,
        );
        leader.run(now + 1_050);
    }
    leader.announce(6_500, &[held("a", &[])]);
    let next = leader.request(6_510, "a", Some("z"));
    assert_eq!(loads(&next), 0, "both slots are in use: {next:?}");
}

/// An unload waits for the adapter's running requests; only a report shows its end.
#[test]
fn unloaded_adapter_keeps_its_slot_until_a_report_shows_it_gone() {
    let full = [held("a", &["x", "y"])];
    let mut leader = Leader::new(&full);
    let instructions = leader.request(1_100, "a", Some("z"));
    assert_eq!(instructions[0].operation, InstructionOperation::Unload);
    leader.respond_to(2_110, instructions[0].call, &InstructionResult::Accepted);
    let next = leader.request(2_200, "a", Some("z"));
    assert_eq!(loads(&next), 0, "its requests are still running: {next:?}");
    leader.respond(3_300, &state(1, &full));
    let next = leader.request(3_400, "a", Some("z"));
    assert_eq!(loads(&next), 0, "its requests are still running: {next:?}");
    leader.respond(4_500, &state(1, &[held("a", &["y"])]));
    let next = leader.request(4_600, "a", Some("z"));
    assert_eq!(loads(&next), 1, "{next:?}");
}

/// Heartbeats do not list adapters being loaded, which may take seconds.
#[test]
fn loading_adapters_keep_their_slots_until_a_report_shows_otherwise() {
    let loading = InstructionResult::State(EngineState {
        revision: 2,
        busy: false,
        models: vec![held("a", &[])],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        loading_adapters: vec![held("a", &["x", "y"])],
    });
    let mut leader = Leader::with_state(&[held("a", &[])], &loading);
    leader.announce(5_000, &[held("a", &[])]);
    let next = leader.request(5_010, "a", Some("z"));
    assert_eq!(loads(&next), 0, "{next:?}");
}

/// A model that is missing from the next document keeps its memory until it is unloaded.
#[test]
fn unconfigured_model_keeps_its_memory() {
    let both = [held("a", &[]), held("b", &[])];
    let mut leader = Leader::new(&both);
    leader.document = document(&["a", "c", "d"]);
    let instructions = leader.request(1_100, "c", None);
    assert_eq!(loads(&instructions), 0, "{instructions:?}");
    assert_eq!(instructions.len(), 1);
    assert_eq!(
        instructions[0].model,
        "b".into(),
        "the model missing from the configuration is unloaded"
    );
}

/// The announcement was sent before the load of the model being unloaded and arrives late.
#[test]
fn announced_unload_frees_no_memory_before_confirmation() {
    let mut leader = Leader::new(&[held("a", &[]), held("b", &[])]);
    let instructions = leader.request(1_100, "c", None);
    assert_eq!(instructions[0].operation, InstructionOperation::Unload);
    let remaining = if instructions[0].model == "a".into() {
        "b"
    } else {
        "a"
    };
    leader.respond_to(2_110, instructions[0].call, &InstructionResult::Accepted);
    leader.announce(2_200, &[held(remaining, &[])]);
    let repeated = leader.request(2_210, "c", None);
    assert_eq!(repeated.len(), 1, "{repeated:?}");
    assert_eq!(repeated[0].operation, InstructionOperation::Unload);
    // Running requests delay the unload, so the engine is busy with another order.
    leader.respond_to(3_300, repeated[0].call, &InstructionResult::Conflict);
    let next = leader.request(3_310, "c", None);
    assert!(next.is_empty(), "{next:?}");
    leader.respond(4_400, &state(1, &[held(remaining, &[])]));
    let next = leader.request(4_410, "c", None);
    assert_eq!(loads(&next), 1, "{next:?}");
}

/// The response to an unload confirms that the adapter is gone, but not that the order was counted.
/// An order naming a revision that the engine reaches later would be carried out in an unknown
/// state.
#[test]
fn revision_is_read_after_immediate_adapter_unload() {
    let mut leader = Leader::new(&[held("a", &["x", "y"])]);
    let instructions = leader.request(1_100, "a", Some("z"));
    assert_eq!(instructions[0].operation, InstructionOperation::Unload);
    leader.respond_to(2_110, instructions[0].call, &InstructionResult::AlreadySo);
    let next = leader.request(2_120, "a", Some("z"));
    assert!(next.is_empty(), "{next:?}");
    let remaining = if instructions[0].adapter == Some("x".into()) {
        "y"
    } else {
        "x"
    };
    leader.respond(3_200, &state(0, &[held("a", &[remaining])]));
    let next = leader.request(3_210, "a", Some("z"));
    assert_eq!(loads(&next), 1, "{next:?}");
    assert_eq!(next[0].expected_revision, 0);
}
