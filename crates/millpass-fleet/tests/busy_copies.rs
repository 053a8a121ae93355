//! Use of weight copies on engines that are swapping models or that an earlier leader instructed:
//! a load from the weight store takes several times as long as waiting for such an engine, and the
//! store serves few loads at once.

mod harness;

use harness::at;
use harness::calls::Calls;
use harness::documents::{self, EMPTY_CONTEXT, EngineCapacity, engine_document};
use millpass_fleet::{Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;
use rstest::rstest;

/// Durations in milliseconds: loads of the models in [`documents::model`], and the planner's estimate
/// of an unload.
const STORE_LOAD: u64 = 2_000;
const MEMORY_LOAD: u64 = 400;
const UNLOAD: u64 = 300;
/// Interval of the runs and reports, in milliseconds.
const STEP: u64 = 50;

/// Two engines that hold two models each: `busy`, with the only copy of model `c`, and `free`.
struct TwoEngines {
    fleet: Fleet,
    document: DeploymentDocument,
    calls: Calls,
    sequence: u64,
    /// Model that the busy engine unloads for `d`.
    victim: ModelName,
    /// Ready estimates of `c` published so far, with the times of publication.
    estimates: Vec<(u64, u64)>,
    instructions: Vec<(u64, EngineInstruction)>,
    /// Reads of the busy engine that await a response.
    busy_reads: Vec<CallId>,
}

fn held(models: &[&str]) -> Vec<HeldModel> {
    let held = |name: &&str| HeldModel {
        model: (*name).into(),
        adapters: Vec::new(),
    };
    models.iter().map(held).collect()
}

fn state(revision: u64, busy: bool, models: &[&str], in_memory: &[&str]) -> InstructionResult {
    InstructionResult::State(EngineState {
        revision,
        busy,
        models: held(models),
        in_memory: in_memory.iter().map(|name| (*name).into()).collect(),
        on_disk: Vec::new(),
        loading_adapters: Vec::new(),
    })
}

impl TwoEngines {
    fn new(handover: Duration) -> TwoEngines {
        let capacity = EngineCapacity {
            weights_kilobytes: 130,
            adapter_slots: 2,
            milliloads_per_second: 20_000,
        };
        let models = ["a", "b", "c", "d"].map(|name| documents::model(name, 60, 0));
        TwoEngines {
            fleet: Fleet::new(FleetSettings {
                order_handover: handover,
                order_lifetime: Duration::ZERO,
                ..FleetSettings::default()
            }),
            document: engine_document(models.to_vec(), &capacity),
            calls: Calls::default(),
            sequence: 0,
            victim: "a".into(),
            estimates: Vec::new(),
            instructions: Vec::new(),
            busy_reads: Vec::new(),
        }
    }

    /// Creates a leader of which the busy engine accepted an unload at 1,100 ms, to load `d`, and
    /// whose free engine has room.
    fn swapping(in_memory: &[&str]) -> TwoEngines {
        let mut engines = TwoEngines::new(Duration::ZERO);
        engines.add_engine(1_000, "busy", &["a", "b"], in_memory);
        engines.step(1_050, &["d"]);
        engines.run(1_100);
        let (_, unload) = engines.instructions.pop().expect("the swap begins");
        assert_eq!(unload.operation, InstructionOperation::Unload);
        assert_eq!(unload.instance, "busy".into());
        engines.victim = unload.model;
        engines.respond(1_100, "busy", &InstructionResult::Accepted);
        engines.add_engine(1_100, "free", &[], &[]);
        engines.instructions.clear();
        engines
    }

    fn announce(&mut self, now: u64, name: &str, models: &[&str], in_memory: &[&str]) {
        self.sequence += 1;
        let record = InstanceRecord {
            instance: name.into(),
            service: "text".into(),
            address: format!("{name}:80"),
            zone: "z".into(),
            slots: 8,
            draining: false,
            warmup_millis: 0,
            sequence: self.sequence,
            models: held(models),
            in_memory: in_memory.iter().map(|name| (*name).into()).collect(),
            on_disk: Vec::new(),
            software: SoftwareStatement::default(),
        };
        self.fleet.handle_announcement(at(now), record, false);
    }

    /// Announces an engine, and responds to the read of its state.
    fn add_engine(&mut self, now: u64, name: &str, models: &[&str], in_memory: &[&str]) {
        self.announce(now, name, models, in_memory);
        // A new leader reads states after the delay of reports.
        let read_at = (now..now + 500).step_by(10).find(|now| {
            self.run(*now);
            self.calls.newest(name).is_some()
        });
        let read_at = read_at.unwrap_or_else(|| panic!("{name} is not read"));
        self.respond(read_at, name, &state(0, false, models, in_memory));
        self.busy_reads.clear();
    }

    fn respond(&mut self, now: u64, name: &str, result: &InstructionResult) {
        let result = self.calls.response(&name.into(), result);
        self.fleet.handle_call_result(at(now), &result);
    }

    /// Runs the leader and records what it sends.
    fn run(&mut self, now: u64) {
        let outputs = self.fleet.run(
            at(now),
            3,
            Some(&self.document.clone().into()),
            &EMPTY_CONTEXT,
        );
        self.calls.record(&outputs);
        for output in outputs {
            match output {
                FleetOutput::Instruct(instruction) => self.instructions.push((now, instruction)),
                FleetOutput::ReadEngine { instance, call, .. } if instance == "busy".into() => {
                    self.busy_reads.push(call);
                }
                FleetOutput::Update { update, .. } => {
                    let published = update.ready_estimates.iter().chain(&update.moved_estimates);
                    let of_model = published.filter(|estimate| estimate.model == "c".into());
                    let ready_in = of_model.map(|estimate| (now, estimate.ready_in_millis));
                    self.estimates.extend(ready_in);
                }
                _ => {}
            }
        }
    }

    /// Reports requests that wait for these models, and runs the leader.
    fn step(&mut self, now: u64, wanted: &[&str]) {
        self.sequence += 1;
        let demand = wanted.iter().map(|model| GatewayModelDemand {
            service: "text".into(),
            model: (*model).into(),
            adapter: None,
            unserved: 1,
            arrivals: 1,
            in_flight: 0,
            priority: 1,
            unread_tokens: 0,
            refused_full: 0,
        });
        let report = GatewayReport {
            gateway: "g".to_owned(),
            zone: "z".into(),
            sequence: self.sequence,
            version: 1,
            demand: demand.collect(),
            inconsistent: Vec::new(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: Vec::new(),
            paces: Vec::new(),
        };
        self.fleet.handle_report(at(now), 1, &report);
        self.run(now);
    }

    /// Reports demand for `c` until a time, while the unload of the busy engine waits for requests.
    fn step_while_unloading(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(STEP as usize) {
            self.step(now, &["c"]);
            for call in std::mem::take(&mut self.busy_reads) {
                let state = state(1, true, &["a", "b"], &["c", "d"]);
                let result = harness::calls::response_to(call, &"busy".into(), &state);
                self.fleet.handle_call_result(at(now), &result);
            }
        }
    }

    fn remaining(&self) -> &'static str {
        if self.victim == "a".into() { "b" } else { "a" }
    }

    /// Instructions that load `c`, with the times of sending.
    fn loads(&self) -> Vec<(u64, InstanceId)> {
        let loads = self.instructions.iter().filter(|(_, instruction)| {
            instruction.operation == InstructionOperation::Load && instruction.model == "c".into()
        });
        loads
            .map(|(at, instruction)| (*at, instruction.instance.clone()))
            .collect()
    }
}

/// Guards against loads from the store for models that the engine with their copy serves sooner, and
/// against callers that are refused because the published time is that of the store.
#[test]
fn copy_on_swapping_engine_is_waited_for_and_published() {
    let mut engines = TwoEngines::swapping(&["c", "d"]);
    engines.step_while_unloading(1_200, 1_400);
    assert_eq!(engines.instructions, []);
    // The unload ends at 1,400 ms; then d is loaded, another model is unloaded, and c is loaded.
    let ready = 1_100 + UNLOAD + MEMORY_LOAD + UNLOAD + MEMORY_LOAD;
    assert!(!engines.estimates.is_empty());
    for (published, ready_in) in &engines.estimates {
        let published_ready = published + ready_in;
        assert!(
            published_ready.abs_diff(ready) <= 150,
            "at {published}: ready at {published_ready}, expected {ready}"
        );
    }
}

/// Guards against an engine that is waited for and then not used.
#[test]
fn copy_is_used_once_its_engine_is_available() {
    let mut engines = TwoEngines::swapping(&["c", "d"]);
    engines.step_while_unloading(1_200, 1_400);
    let remaining = engines.remaining();
    engines.announce(1_400, "busy", &[remaining], &["c", "d"]);
    engines.step(1_400, &["c"]);
    let (_, repeated) = engines.instructions.pop().expect("the unload is confirmed");
    assert_eq!(repeated.operation, InstructionOperation::Unload);
    engines.respond(1_410, "busy", &InstructionResult::AlreadySo);
    engines.step(1_450, &["c"]);
    let (_, load) = engines.instructions.pop().expect("d is loaded");
    assert_eq!(load.model, "d".into());
    engines.respond(1_460, "busy", &InstructionResult::Accepted);
    for now in (1_500..1_900).step_by(STEP as usize) {
        engines.step(now, &["c"]);
    }
    assert_eq!(engines.instructions, [], "c waits for the load of d");
    engines.announce(1_900, "busy", &[remaining, "d"], &["c", "d"]);
    engines.step(1_900, &["c"]);
    let (_, unload) = engines.instructions.pop().expect("room is made for c");
    assert_eq!(unload.operation, InstructionOperation::Unload);
    assert_eq!(unload.instance, "busy".into());
    assert_eq!(unload.model, remaining.into());
    engines.respond(1_910, "busy", &InstructionResult::Accepted);
    engines.announce(2_200, "busy", &["d"], &["c", "d"]);
    engines.step(2_200, &["c"]);
    engines.respond(2_210, "busy", &InstructionResult::AlreadySo);
    engines.step(2_250, &["c"]);
    assert_eq!(engines.loads(), [(2_250, "busy".into())]);
}

/// Guards against demand that waits without bound for an engine whose swap does not end.
#[test]
fn store_is_used_after_the_time_of_a_store_load() {
    let mut engines = TwoEngines::swapping(&["c", "d"]);
    engines.step_while_unloading(1_200, 1_200 + STORE_LOAD);
    assert_eq!(engines.loads(), []);
    engines.step_while_unloading(1_200 + STORE_LOAD, 1_200 + STORE_LOAD + 2 * STEP);
    assert_eq!(engines.loads(), [(1_200 + STORE_LOAD, "free".into())]);
}

/// Guards against waiting for a copy that is ready later than a load from the store.
#[test]
fn copy_that_is_slower_than_the_store_is_not_waited_for() {
    // The busy engine loads d from the store before it can load c.
    let mut engines = TwoEngines::swapping(&["c"]);
    engines.step(1_200, &["c"]);
    assert_eq!(engines.loads(), [(1_200, "free".into())]);
}

/// Guards against a new leader that loads from the store what an engine with a copy serves sooner,
/// although it must not instruct that engine yet, or that waits for it longer than for the store.
#[rstest]
#[case::soon(700, true)]
#[case::late(1_400, false)]
fn new_leader_waits_for_a_copy_behind_the_handover_if_that_is_sooner(
    #[case] left: u64,
    #[case] is_waited_for: bool,
) {
    let handover = 3_000;
    let started = 10_000;
    let mut history = InstructionHistory::new(Timestamp::ZERO, Duration::from_secs(600));
    let instructed = InstructionIntent {
        instances: vec!["busy".into()],
        store_loads: 0,
    };
    history.record(at(started + left - handover), &instructed);
    let mut engines = TwoEngines::new(Duration::from_millis(handover));
    let (records, quarantined) = (std::iter::empty(), std::iter::empty());
    engines
        .fleet
        .start_leading(at(started - 1_000), records, quarantined, &history);
    engines.add_engine(started - 1_000, "busy", &["a", "b"], &["c"]);
    engines.add_engine(started - 500, "free", &[], &[]);
    engines.step(started, &["c"]);
    if !is_waited_for {
        assert_eq!(engines.loads(), [(started, "free".into())]);
        return;
    }
    let ready = started + left + UNLOAD + MEMORY_LOAD;
    for now in (started + STEP..started + left).step_by(STEP as usize) {
        engines.step(now, &["c"]);
    }
    assert_eq!(engines.instructions, []);
    let (published, ready_in) = engines.estimates[0];
    assert_eq!(published + ready_in, ready);
    engines.step(started + left, &["c"]);
    let (_, unload) = engines.instructions.pop().expect("room is made for c");
    assert_eq!(unload.instance, "busy".into());
    assert_eq!(unload.operation, InstructionOperation::Unload);
}
