//! Handling of instances and gateways, and placement of models.

mod harness;

use harness::calls::Calls;
use harness::documents::{self, EMPTY_CONTEXT, EngineCapacity, engine_document};
use millpass_fleet::{
    Fleet, FleetOutput, FleetSettings, InstructionHistory, StoreCapacity, StorePermits,
};
use millpass_proto::*;
use rstest::rstest;

const MODEL_KILOBYTES: u64 = 60;
const MEMORY_KILOBYTES: u64 = 130;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn model(name: &str) -> EngineModelSpec {
    documents::model(name, MODEL_KILOBYTES, 4)
}

fn document() -> DeploymentDocument {
    let capacity = EngineCapacity {
        weights_kilobytes: MEMORY_KILOBYTES,
        adapter_slots: 2,
        milliloads_per_second: 2_000,
    };
    engine_document(["a", "b", "c", "d"].map(model).to_vec(), &capacity)
}

fn held(models: &[&str]) -> Vec<HeldModel> {
    models
        .iter()
        .map(|name| HeldModel {
            model: (*name).into(),
            adapters: Vec::new(),
        })
        .collect()
}

fn record(instance: &str, sequence: u64, models: &[&str]) -> InstanceRecord {
    InstanceRecord {
        instance: instance.into(),
        service: "text".into(),
        address: format!("{instance}:80"),
        zone: "z".into(),
        slots: 8,
        draining: false,
        warmup_millis: 0,
        sequence,
        models: held(models),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

fn unmet_demand(model: &str, adapter: Option<&str>) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model: model.into(),
        adapter: adapter.map(Into::into),
        unserved: 1,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 0,
        refused_full: 0,
    }
}

fn report(demand: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: "g".to_owned(),
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

fn state(revision: u64, models: &[&str]) -> InstructionResult {
    state_with_copies(revision, models, &[])
}

/// Returns a state with weight copies in host memory.
fn state_with_copies(revision: u64, models: &[&str], in_memory: &[&str]) -> InstructionResult {
    InstructionResult::State(EngineState {
        revision,
        busy: false,
        models: held(models),
        in_memory: in_memory.iter().map(|name| (*name).into()).collect(),
        on_disk: Vec::new(),
        loading_adapters: Vec::new(),
    })
}

struct TestLeader {
    fleet: Fleet,
    document: DeploymentDocument,
    calls: Calls,
}

impl TestLeader {
    fn new() -> TestLeader {
        let settings = FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        };
        TestLeader {
            fleet: Fleet::new(settings),
            document: document(),
            calls: Calls::default(),
        }
    }

    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let outputs = self.fleet.run(
            at(now),
            3,
            Some(&self.document.clone().into()),
            &EMPTY_CONTEXT,
        );
        self.calls.record(&outputs);
        outputs
    }

    /// Runs the leader until it reads the engine's state, and responds.
    fn respond_to_read(&mut self, now: u64, instance: &str, result: &InstructionResult) {
        let previous = self.calls.newest(instance);
        for now in (now..now + 500).step_by(9) {
            self.run(now);
            if self.calls.newest(instance) != previous {
                return self.respond(now, instance, result);
            }
        }
        panic!("the state of {instance} is not read");
    }

    /// Responds to the newest call to an engine.
    fn respond(&mut self, now: u64, instance: &str, result: &InstructionResult) {
        let result = self.calls.response(&instance.into(), result);
        self.fleet.handle_call_result(at(now), &result);
    }

    /// Runs the leader every 100 ms: only time between frequent runs counts towards the instance
    /// timeout.
    fn run_between(&mut self, from: u64, to: u64) -> Vec<FleetOutput> {
        let times = (from..to).step_by(100).chain([to]);
        times.flat_map(|now| self.run(now)).collect()
    }

    fn instructions(&mut self, now: u64) -> Vec<EngineInstruction> {
        self.run(now)
            .into_iter()
            .filter_map(|output| match output {
                FleetOutput::Instruct(instruction) => Some(instruction),
                _ => None,
            })
            .collect()
    }

    /// Accepts the unload of a or b at engine e-1, and returns the other model.
    fn accept_eviction(&mut self) -> &'static str {
        let first = self.instructions(1_100);
        assert_eq!(first[0].operation, InstructionOperation::Unload);
        self.respond(1_110, "e-1", &InstructionResult::Accepted);
        if first[0].model == "a".into() {
            "b"
        } else {
            "a"
        }
    }

    /// Adds an engine and responds to the read of its state.
    fn add_engine(&mut self, now: u64, name: &str, models: &[&str]) {
        self.fleet
            .handle_announcement(at(now), record(name, now, models), false);
        self.respond_to_read(now, name, &state(0, models));
    }
}

#[test]
fn requested_model_is_loaded_once() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader.add_engine(1_000, "e-2", &["b"]);
    let mut instructions = Vec::new();
    for connection in 0..5 {
        let mut report = report(vec![unmet_demand("c", None)]);
        report.gateway = format!("g-{connection}");
        leader.fleet.handle_report(at(1_100), connection, &report);
        instructions.extend(leader.instructions(1_100 + connection * 120));
    }
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(instructions[0].operation, InstructionOperation::Load);
    assert_eq!(instructions[0].model, "c".into());
    assert_eq!(instructions[0].expected_revision, 0);
    assert_eq!(instructions[0].fence, 3);
}

#[test]
fn idle_model_is_evicted_first_and_load_waits_for_free_memory() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a", "b"]);
    // Model a is busy, b was never requested.
    let mut busy = unmet_demand("a", None);
    busy.unserved = 0;
    busy.arrivals = 20;
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![busy, unmet_demand("c", None)]));
    let first = leader.instructions(1_100);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].operation, InstructionOperation::Unload);
    assert_eq!(first[0].model, "b".into());
    leader.respond(1_110, "e-1", &InstructionResult::Accepted);
    assert!(
        leader.instructions(1_250).is_empty(),
        "memory is not free yet"
    );
    leader
        .fleet
        .handle_announcement(at(1_300), record("e-1", 2_000, &["a"]), false);
    // The announcement may be stale: the unload is repeated to confirm that it is done.
    let repeated = leader.instructions(1_350);
    assert_eq!(repeated.len(), 1, "{repeated:?}");
    assert_eq!(repeated[0].operation, InstructionOperation::Unload);
    assert_eq!(
        repeated[0].expected_revision, 1,
        "the unload increments the revision"
    );
    assert!(
        leader.instructions(1_390).is_empty(),
        "the unload is not confirmed yet"
    );
    leader.respond(1_400, "e-1", &InstructionResult::AlreadySo);
    let second = leader.instructions(1_450);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0].operation, InstructionOperation::Load);
    assert_eq!(second[0].model, "c".into());
    assert_eq!(
        second[0].expected_revision, 1,
        "the unload increments the revision"
    );
}

#[test]
fn unanswered_instruction_is_followed_by_a_read_only() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("c", None)]));
    assert_eq!(leader.instructions(1_100).len(), 1);
    leader.respond(2_000, "e-1", &InstructionResult::Unanswered);
    assert!(leader.instructions(2_100).is_empty());
    let reads = leader
        .run(2_600)
        .into_iter()
        .filter(|output| matches!(output, FleetOutput::ReadEngine { .. }))
        .count();
    assert_eq!(reads, 1);
    leader
        .fleet
        .handle_report(at(2_650), 1, &report(vec![unmet_demand("c", None)]));
    leader.respond(2_700, "e-1", &state(4, &["a"]));
    let second = leader.instructions(2_800);
    assert_eq!(second.len(), 1);
    assert_eq!(
        second[0].expected_revision, 4,
        "the new revision makes a late copy of the first order fail"
    );
}

#[test]
fn local_copy_is_preferred_over_weight_store() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    let mut second = record("e-2", 1, &["b"]);
    second.in_memory = vec!["c".into()];
    leader.fleet.handle_announcement(at(1_000), second, false);
    let read = state_with_copies(0, &["b"], &["c"]);
    leader.respond_to_read(1_000, "e-2", &read);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("c", None)]));
    let instructions = leader.instructions(1_100);
    assert_eq!(instructions[0].instance, "e-2".into());
}

#[test]
fn adapter_is_loaded_at_holder_of_its_model_and_published_when_complete() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader.add_engine(1_000, "e-2", &["b"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("b", Some("x"))]));
    let instructions = leader.instructions(1_100);
    assert_eq!(instructions.len(), 1);
    assert_eq!(
        (
            instructions[0].instance.clone(),
            instructions[0].adapter.clone()
        ),
        ("e-2".into(), Some("x".into()))
    );
    leader.respond(1_110, "e-2", &InstructionResult::Accepted);
    // An announcement sent before the adapter was loaded does not list it.
    leader
        .fleet
        .handle_announcement(at(1_120), record("e-2", 1_500, &["b"]), false);
    let published = leader.run(1_130).into_iter().any(|output| {
        matches!(output, FleetOutput::Update { update, .. } if update.contents.iter().any(
            |contents| contents.instance == "e-2".into()
                && contents.models.iter().any(|held| held.adapters.contains(&"x".into()))))
    });
    assert!(published);
}

/// Guards against using the revision of a stale report, which made the engine refuse all further
/// orders.
#[test]
fn report_below_confirmed_revision_is_read_again() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("a", Some("x"))]));
    assert_eq!(leader.instructions(1_100).len(), 1);
    leader.respond(1_110, "e-1", &InstructionResult::Accepted);
    leader.run(1_200);
    let mut inconsistency = report(vec![unmet_demand("a", Some("y"))]);
    inconsistency.inconsistent = vec!["e-1".into()];
    leader.fleet.handle_report(at(1_210), 1, &inconsistency);
    leader.respond_to_read(1_220, "e-1", &state(0, &["a"]));
    assert!(
        leader.instructions(1_550).is_empty(),
        "the revision is unknown"
    );
    leader.respond_to_read(1_560, "e-1", &state(1, &["a"]));
    leader
        .fleet
        .handle_report(at(1_710), 1, &report(vec![unmet_demand("a", Some("y"))]));
    let instructions = leader.instructions(1_800);
    assert_eq!(instructions.len(), 1);
    assert_eq!(instructions[0].expected_revision, 1);
}

#[rstest]
#[case::two_a_second(2_000, 9)]
#[case::one_in_ten_seconds(100, 1)]
fn store_rate_holds_in_every_window(#[case] milliloads: u64, #[case] allowed: usize) {
    let mut permits = StorePermits::default();
    let acquired: Vec<u64> = (0..20_000)
        .step_by(10)
        .filter(|now| permits.try_acquire(at(*now), milliloads))
        .collect();
    assert_eq!(max_in_window(&acquired), Some(allowed));
}

/// Returns the maximum number of loads that begin in any five seconds.
fn max_in_window(started: &[u64]) -> Option<usize> {
    let in_window = |start: &u64| {
        let window = *start..*start + 5_000;
        started.iter().filter(|at| window.contains(at)).count()
    };
    started.iter().map(in_window).max()
}

/// Guards against evicting a replica of a busy model because a weight copy of the requested model
/// is available there.
#[test]
fn busy_model_is_not_evicted_for_a_single_request() {
    let mut leader = TestLeader::new();
    let mut first = record("e-1", 1_000, &["a", "b"]);
    first.in_memory = vec!["c".into()];
    leader.fleet.handle_announcement(at(1_000), first, false);
    leader.respond_to_read(1_000, "e-1", &state(0, &["a", "b"]));
    let busy = |model: &str| GatewayModelDemand {
        unserved: 0,
        arrivals: 40,
        in_flight: 5,
        ..unmet_demand(model, None)
    };
    let demand = vec![busy("a"), busy("b"), unmet_demand("c", None)];
    leader.fleet.handle_report(at(1_050), 1, &report(demand));
    assert!(leader.instructions(1_100).is_empty());
}

/// Guards against counting a model as held while its only engine has crashed.
#[test]
fn model_of_unreachable_engine_is_loaded_elsewhere() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader.add_engine(1_000, "e-2", &["b"]);
    let mut inconsistency = report(vec![unmet_demand("a", None)]);
    inconsistency.inconsistent = vec!["e-1".into()];
    leader.fleet.handle_report(at(1_050), 1, &inconsistency);
    leader.run(1_100);
    leader.run(1_400);
    leader.respond(1_500, "e-1", &InstructionResult::Unanswered);
    leader
        .fleet
        .handle_report(at(1_510), 1, &report(vec![unmet_demand("a", None)]));
    let instructions = leader.instructions(1_600);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(
        (
            instructions[0].instance.clone(),
            instructions[0].model.clone()
        ),
        ("e-2".into(), "a".into())
    );
    // The engine is used again once it announces itself.
    leader
        .fleet
        .handle_announcement(at(1_700), record("e-1", 3_000, &["a"]), false);
    leader.respond(1_710, "e-2", &InstructionResult::Accepted);
    leader
        .fleet
        .handle_report(at(1_720), 1, &report(vec![unmet_demand("a", None)]));
    assert!(leader.instructions(1_900).is_empty());
}

#[test]
fn model_with_high_prompt_load_gets_a_replica() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader.add_engine(1_000, "e-2", &["b"]);
    let mut busy = unmet_demand("a", None);
    busy.unserved = 0;
    busy.unread_tokens = 10_000;
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![busy.clone()]));
    assert!(
        leader.instructions(1_100).is_empty(),
        "utilization is still low"
    );
    busy.unread_tokens = 60_000;
    leader
        .fleet
        .handle_report(at(1_150), 1, &report(vec![busy]));
    let instructions = leader.instructions(1_200);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(
        (
            instructions[0].instance.clone(),
            instructions[0].model.clone()
        ),
        ("e-2".into(), "a".into())
    );
}

/// Guards against loading a model twice in one round: for its reservation and for unmet demand.
#[test]
fn reserved_model_is_loaded_only_at_its_reservation() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a", "b"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("c", None)]));
    let remaining = leader.accept_eviction();
    leader.add_engine(1_150, "e-2", &["d"]);
    leader
        .fleet
        .handle_announcement(at(1_200), record("e-1", 2_000, &[remaining]), false);
    assert_eq!(
        leader.instructions(1_250).len(),
        1,
        "the unload is repeated for confirmation"
    );
    leader.respond(1_260, "e-1", &InstructionResult::AlreadySo);
    leader
        .fleet
        .handle_report(at(1_270), 1, &report(vec![unmet_demand("c", None)]));
    let instructions = leader.instructions(1_400);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(instructions[0].instance, "e-1".into());
}

#[test]
fn expired_instance_is_removed_from_gateways() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader
        .fleet
        .handle_report(at(1_000), 1, &report(Vec::new()));
    leader.run_between(1_100, 5_000);
    let removed = leader.run_between(5_000, 8_000).into_iter().any(|output| {
        matches!(output, FleetOutput::Update { update, .. } if update.removed == ["e-1".into()])
    });
    assert!(removed);
}

/// Guards against expiring live instances after the leader was not leading or refused
/// announcements.
#[rstest]
#[case::not_in_charge(false)]
#[case::refuses_announcements(true)]
fn instances_do_not_expire_while_leader_receives_nothing(#[case] refuses: bool) {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    let mut outputs = leader.run_between(1_000, 2_000);
    if refuses {
        for now in (2_000..9_000).step_by(500) {
            leader.fleet.record_refused_announcements(at(now));
            outputs.extend(leader.run_between(now, now + 500));
        }
    }
    outputs.extend(leader.run(9_000));
    outputs.extend(leader.run_between(9_000, 10_000));
    let is_removal = |output: &FleetOutput| matches!(output, FleetOutput::Event(event) if event.name == "instance-forgotten");
    assert!(!outputs.iter().any(is_removal));
    // Without announcements while the leader runs, the instance expires.
    let outputs = leader.run_between(10_000, 17_000);
    assert!(outputs.iter().any(is_removal));
}

/// Guards against a lost instance: if its removal and its return share one update, the gateway
/// applies the removal last.
#[test]
fn instance_returning_before_its_removal_was_sent_is_not_removed() {
    const GATEWAYS: u64 = 70;
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    let mut first = report(Vec::new());
    for connection in 0..GATEWAYS {
        first.gateway = format!("g-{connection}");
        leader.fleet.handle_report(at(1_000), connection, &first);
    }
    leader.run_between(1_000, 6_900);
    // All gateways are sent an update shortly before the instance expires.
    for connection in 0..GATEWAYS {
        first.gateway = format!("g-{connection}");
        leader.fleet.handle_report(at(6_990), connection, &first);
    }
    leader.run(6_990);
    let removed = leader.run(7_010).into_iter().any(
        |output| matches!(output, FleetOutput::Event(event) if event.name == "instance-forgotten"),
    );
    assert!(removed);
    leader.add_engine(7_020, "e-1", &["a"]);
    let updates: Vec<_> = leader
        .run(7_100)
        .into_iter()
        .filter_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update),
            _ => None,
        })
        .collect();
    assert_eq!(updates.len(), GATEWAYS as usize);
    for update in updates {
        assert_eq!(update.instances.len(), 1, "{update:?}");
        assert!(update.removed.is_empty(), "{update:?}");
    }
}

/// Guards against silently dropped removals: the leader keeps a bounded number of them.
#[test]
fn gateway_missing_discarded_removals_gets_a_full_update() {
    const INSTANCES: usize = 1_100;
    let mut leader = TestLeader::new();
    let names: Vec<String> = (0..INSTANCES).map(|index| format!("e-{index}")).collect();
    for name in &names {
        leader
            .fleet
            .handle_announcement(at(1_000), record(name, 1, &["a"]), false);
    }
    leader
        .fleet
        .handle_report(at(1_000), 1, &report(Vec::new()));
    leader.run(1_000);
    for name in &names {
        leader.fleet.handle_departure(&name.as_str().into(), true);
    }
    let update = leader
        .run(1_100)
        .into_iter()
        .find_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update),
            _ => None,
        })
        .expect("an update");
    assert!(
        update.first || update.removed.len() == INSTANCES,
        "the update lists {} removals",
        update.removed.len()
    );
}

/// Guards against unbounded memory use: followers collected an output for each departure.
#[test]
fn follower_keeps_no_outputs_for_departures() {
    let mut leader = TestLeader::new();
    for index in 0..1_000 {
        leader
            .fleet
            .handle_departure(&format!("e-{index}").as_str().into(), true);
    }
    let outputs = leader.run(1_000);
    assert!(outputs.is_empty(), "{} outputs", outputs.len());
}

/// The rate limit spans a change of leader: recorded loads count, and unknown ones are assumed.
#[rstest]
#[case::all_loads_known(0, 6_000)]
#[case::it_has_just_started(6_000, 6_000)]
fn store_rate_holds_over_a_change_of_leader(#[case] listens_from: u64, #[case] change: u64) {
    const MILLILOADS: u64 = 2_000;
    let mut history = InstructionHistory::new(at(listens_from), Duration::from_secs(60));
    let mut first = StorePermits::default();
    let mut started: Vec<u64> = Vec::new();
    for now in (0..change).step_by(10) {
        // The old leader uses all of its saved permits right before it fails.
        if now >= change - 500 && first.try_acquire(at(now), MILLILOADS) {
            started.push(now);
            let intent = InstructionIntent {
                instances: Vec::new(),
                store_loads: 1,
            };
            if now >= listens_from {
                history.record(at(now), &intent);
            }
        }
    }
    assert_eq!(started.len(), 9);
    let mut second = StorePermits::from_history(&history);
    started.extend(
        (change..20_000)
            .step_by(10)
            .filter(|now| second.try_acquire(at(*now), MILLILOADS)),
    );
    let max_started = max_in_window(&started);
    // The rate allows ten loads in five seconds; the store tolerates 10 % and three more.
    assert!(max_started <= Some(14), "{max_started:?}");
    assert!(started.len() > 25, "{started:?}");
}

/// Guards against overloading the leader by sending every change to many gateways at once.
#[rstest]
#[case::few(7, 100, 100)]
#[case::many(70, 9, 11)]
fn changes_share_updates_with_many_gateways(
    #[case] gateways: u64,
    #[case] min_updates: usize,
    #[case] max_updates: usize,
) {
    let mut leader = TestLeader::new();
    leader
        .fleet
        .handle_announcement(at(1_000), record("e-1", 1, &["a"]), false);
    for connection in 0..gateways {
        let mut first = report(Vec::new());
        first.gateway = format!("g-{connection}");
        leader.fleet.handle_report(at(1_000), connection, &first);
    }
    leader.run(1_000);
    let mut updates = 0;
    for change in 1..=100 {
        let now = 1_000 + change * 10;
        let models: &[&str] = if change % 2 == 0 { &["a"] } else { &["b"] };
        leader
            .fleet
            .handle_announcement(at(now), record("e-1", 1 + change, models), false);
        let outputs = leader.run(now);
        updates += outputs
            .iter()
            .filter(|output| matches!(output, FleetOutput::Update { connection: 0, .. }))
            .count();
    }
    assert!((min_updates..=max_updates).contains(&updates), "{updates}");
}

/// Guards against evicting a model with unmet demand for an adapter.
#[test]
fn reservation_does_not_evict_model_with_unmet_demand() {
    let mut leader = TestLeader::new();
    let engine = leader.document.services[0]
        .engine
        .as_mut()
        .expect("an engine");
    engine.models.push(EngineModelSpec {
        weights_kilobytes: 2 * MODEL_KILOBYTES,
        ..model("large")
    });
    leader.add_engine(1_000, "e-1", &["a", "b"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("large", None)]));
    let remaining = leader.accept_eviction();
    leader
        .fleet
        .handle_announcement(at(1_300), record("e-1", 2_000, &[remaining]), false);
    assert_eq!(
        leader.instructions(1_350).len(),
        1,
        "the unload is repeated for confirmation"
    );
    leader.respond(1_360, "e-1", &InstructionResult::AlreadySo);
    leader.fleet.handle_report(
        at(1_410),
        1,
        &report(vec![unmet_demand(remaining, Some("x"))]),
    );
    let second = leader.instructions(1_500);
    assert!(
        second
            .iter()
            .all(|instruction| instruction.operation == InstructionOperation::Load),
        "{second:?}"
    );
}

/// Guards against a second instruction that overwrites the pending one: the adapter load would be
/// lost from the recorded state.
#[test]
fn engine_gets_one_instruction_per_round() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a", "b"]);
    let demand = vec![unmet_demand("a", Some("x")), unmet_demand("c", None)];
    leader.fleet.handle_report(at(1_050), 1, &report(demand));
    let instructions = leader.instructions(1_100);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
}

/// Guards against exceeding the adapter slots of an engine.
#[test]
fn loading_adapters_use_slots() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    let state = InstructionResult::State(EngineState {
        revision: 2,
        busy: false,
        models: held(&["a"]),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        loading_adapters: vec![HeldModel {
            model: "a".into(),
            adapters: vec!["x".into(), "y".into()],
        }],
    });
    leader.respond(1_010, "e-1", &state);
    let demand = vec![unmet_demand("a", Some("z"))];
    leader.fleet.handle_report(at(1_050), 1, &report(demand));
    let instructions = leader.instructions(1_100);
    assert!(instructions.is_empty(), "{instructions:?}");
}

/// Guards against exceeding an engine's memory: announcements may be seconds old.
#[test]
fn announcement_sent_before_a_load_frees_no_memory() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("b", None)]));
    assert_eq!(leader.instructions(1_100).len(), 1);
    leader.respond(1_110, "e-1", &InstructionResult::Accepted);
    leader
        .fleet
        .handle_announcement(at(3_200), record("e-1", 5_000, &["a", "b"]), false);
    leader
        .fleet
        .handle_announcement(at(3_300), record("e-1", 5_001, &["a"]), false);
    leader
        .fleet
        .handle_report(at(3_310), 1, &report(vec![unmet_demand("c", None)]));
    let given = leader.instructions(3_400);
    let is_load = |given: &EngineInstruction| given.operation == InstructionOperation::Load;
    assert!(!given.iter().any(is_load), "{given:?}");
}

/// Guards against waiting for an engine that has not accepted its instruction.
#[test]
fn demand_does_not_wait_for_engine_with_unaccepted_instruction() {
    let mut leader = TestLeader::new();
    let mut first = record("e-1", 1_000, &["a"]);
    first.in_memory = vec!["c".into()];
    leader.fleet.handle_announcement(at(1_000), first, false);
    let read = state_with_copies(0, &["a"], &["c"]);
    leader.respond_to_read(1_000, "e-1", &read);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("b", None)]));
    assert_eq!(leader.instructions(1_100)[0].instance, "e-1".into());
    leader.add_engine(1_200, "e-2", &["d"]);
    leader
        .fleet
        .handle_report(at(1_210), 1, &report(vec![unmet_demand("c", None)]));
    let instructions = leader.instructions(1_300);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(instructions[0].instance, "e-2".into());
}

/// Guards against requests for a model whose unload waits for running requests.
#[test]
fn unloading_model_is_not_served_whatever_the_engine_announces() {
    let mut leader = TestLeader::new();
    leader.fleet.handle_report(at(900), 1, &report(Vec::new()));
    leader.add_engine(1_000, "e-1", &["a", "b"]);
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("c", None)]));
    let remaining = leader.accept_eviction();
    leader
        .fleet
        .handle_announcement(at(1_200), record("e-1", 2_000, &["a", "b"]), false);
    // A reconnect triggers a full update; unchanged announcements trigger none.
    leader
        .fleet
        .handle_report(at(1_210), 2, &report(Vec::new()));
    let records = leader
        .run(1_220)
        .into_iter()
        .filter_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update.instances),
            _ => None,
        })
        .flatten();
    let last = records.last().expect("an update");
    assert_eq!(last.models, held(&[remaining]));
}

/// Guards against gateways that hold requests for a model whose load has not started.
#[test]
fn ready_estimate_of_model_waiting_for_an_engine_is_published() {
    let mut leader = TestLeader::new();
    leader
        .fleet
        .handle_announcement(at(1_000), record("e-1", 1_000, &["a"]), false);
    leader.respond_to_read(1_000, "e-1", &state_with_copies(0, &["a"], &["c"]));
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("b", None)]));
    assert_eq!(leader.instructions(1_100)[0].model, "b".into());
    leader.respond(1_110, "e-1", &InstructionResult::Accepted);
    leader
        .fleet
        .handle_report(at(1_300), 1, &report(vec![unmet_demand("c", None)]));
    let outputs = leader.run(1_400);
    let estimates = outputs
        .iter()
        .find_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(&update.moved_estimates),
            _ => None,
        })
        .expect("an update");
    let ready = estimates
        .iter()
        .find(|estimate| estimate.model == "c".into());
    // The load of b from the weight store ends at 3.1 s.
    let ready = ready.expect("an estimate for c").ready_in_millis;
    assert!((1_700..3_000).contains(&ready), "{ready}");
}

#[test]
fn concurrent_store_loads_are_limited_to_known_capacity() {
    let mut leader = TestLeader::new();
    let service = &mut leader.document.services[0];
    let engine = service.engine.as_mut().expect("an engine");
    engine.milliloads_per_second = 100_000;
    engine.models = (0..20).map(|index| model(&format!("m-{index}"))).collect();
    for index in 0..20 {
        leader.add_engine(1_000, &format!("e-{index}"), &[]);
    }
    let demand = (0..20).map(|index| unmet_demand(&format!("m-{index}"), None));
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(demand.collect()));
    let mut started = leader.instructions(1_100).len();
    started += leader.instructions(1_250).len();
    let limit = StoreCapacity::default().limit();
    assert_eq!(started, limit, "of 20 requested models");
}

#[test]
fn disk_copy_is_loaded_while_weight_store_is_full() {
    let mut leader = TestLeader::new();
    let service = &mut leader.document.services[0];
    let engine = service.engine.as_mut().expect("an engine");
    engine.milliloads_per_second = 100_000;
    engine.models = (0..9).map(|index| model(&format!("m-{index}"))).collect();
    for index in 0..8 {
        leader.add_engine(1_000, &format!("e-{index}"), &[]);
    }
    let demand = (0..8).map(|index| unmet_demand(&format!("m-{index}"), None));
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(demand.collect()));
    let first = leader.instructions(1_100).len();
    assert_eq!(first, StoreCapacity::default().limit());
    let mut copy = record("e-8", 2_000, &[]);
    copy.on_disk = vec!["m-8".into()];
    leader.fleet.handle_announcement(at(1_200), copy, false);
    let read = EngineState {
        revision: 0,
        busy: false,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: vec!["m-8".into()],
        loading_adapters: Vec::new(),
    };
    leader.respond_to_read(1_200, "e-8", &InstructionResult::State(read));
    leader
        .fleet
        .handle_report(at(1_260), 1, &report(vec![unmet_demand("m-8", None)]));
    let second = leader.instructions(1_350);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0].model, "m-8".into());
    assert_eq!(second[0].instance, "e-8".into());
}

#[rstest]
fn model_with_load_of_several_engines_gets_replicas(#[values(1, 2, 4, 9)] engines_filled: u32) {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-0", &["a"]);
    for index in 1..8 {
        let name = format!("e-{index}");
        leader.add_engine(1_000, &name, &["b", "c"]);
    }
    let mut busy = unmet_demand("a", None);
    busy.unserved = 0;
    busy.in_flight = 8 * engines_filled;
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![busy]));
    let instructions = leader.instructions(1_100);
    assert!(
        !instructions.is_empty(),
        "no model is evicted for a replica"
    );
}

/// Guards against a busy model that keeps one replica because the cheapest engine for a second one
/// is carrying out another instruction in every round.
#[test]
fn replica_does_not_wait_for_the_cheapest_engine() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    for (name, models, copies) in [
        ("e-2", vec!["b"], vec!["a", "e"]),
        ("e-3", vec!["c", "d"], vec!["a"]),
    ] {
        let mut other = record(name, 1_000, &models);
        other.in_memory = copies.iter().map(|copy| (*copy).into()).collect();
        leader.fleet.handle_announcement(at(1_000), other, false);
        leader.respond_to_read(1_000, name, &state_with_copies(0, &models, &copies));
    }
    // After the load of e, e-2 could hold a at the cost of the idle model b.
    let service = &mut leader.document.services[0];
    let engine = service.engine.as_mut().expect("an engine");
    engine.models.push(model("e"));
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![unmet_demand("e", None)]));
    let first = leader.instructions(1_100);
    assert_eq!(first[0].instance, "e-2".into(), "{first:?}");
    leader.respond(1_110, "e-2", &InstructionResult::Accepted);
    let requests = |model: &str, in_flight, arrivals| GatewayModelDemand {
        unserved: 0,
        in_flight,
        arrivals,
        ..unmet_demand(model, None)
    };
    let demand = vec![
        requests("a", 8, 8),
        requests("c", 0, 2),
        requests("d", 0, 2),
    ];
    leader.fleet.handle_report(at(1_150), 1, &report(demand));
    let instructions = leader.instructions(1_250);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(instructions[0].instance, "e-3".into());
    assert_eq!(instructions[0].operation, InstructionOperation::Unload);
}

/// Guards against a model without free request slots that gets no replica because all other engines
/// use more than half as many of theirs.
#[test]
fn model_without_free_slots_gets_a_replica_on_a_moderately_used_engine() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    leader.add_engine(1_000, "e-2", &["b"]);
    let running = |model: &str, in_flight| GatewayModelDemand {
        unserved: 0,
        in_flight,
        ..unmet_demand(model, None)
    };
    let demand = vec![running("a", 8), running("b", 5)];
    leader.fleet.handle_report(at(1_050), 1, &report(demand));
    let instructions = leader.instructions(1_100);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(instructions[0].instance, "e-2".into());
    assert_eq!(instructions[0].model, "a".into());
}

/// Guards against overflows and unbounded planning for absurd reports.
#[test]
fn absurd_demand_is_planned_within_bounds() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-0", &["a"]);
    for index in 1..6 {
        let name = format!("e-{index}");
        leader.add_engine(1_000, &name, &["b", "c"]);
    }
    for gateway in 0..3 {
        let mut demand = unmet_demand("a", None);
        demand.unserved = u32::MAX;
        demand.arrivals = u32::MAX;
        demand.in_flight = u32::MAX;
        demand.unread_tokens = u64::MAX;
        let mut report = report(vec![demand]);
        report.gateway = format!("g-{gateway}");
        leader.fleet.handle_report(at(1_050), gateway, &report);
    }
    let instructions = leader.instructions(1_100);
    assert!(instructions.len() <= 5, "{instructions:?}");
    for gateway in 0..3 {
        leader.fleet.handle_disconnect(at(1_200), gateway);
    }
    leader.run(1_300);
}

#[test]
fn requests_in_flight_are_summed_over_all_gateways() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    let report_of = |gateway: &str, in_flight| {
        let mut report = report(Vec::new());
        report.gateway = gateway.to_owned();
        report.in_flight = vec![InstanceLoad {
            instance: "e-1".into(),
            in_flight,
        }];
        report
    };
    let loads_sent = |leader: &mut TestLeader, now: u64| -> Vec<u32> {
        leader.fleet.handle_report(at(now), 9, &report(Vec::new()));
        let outputs = leader.run(now);
        let updates = outputs.into_iter().filter_map(|output| match output {
            FleetOutput::Update {
                connection: 9,
                update,
            } => Some(update),
            _ => None,
        });
        let loads = updates.flat_map(|update| update.loads);
        loads.map(|load| load.in_flight).collect()
    };
    leader
        .fleet
        .handle_report(at(1_010), 1, &report_of("g-1", 4));
    leader
        .fleet
        .handle_report(at(1_020), 2, &report_of("g-2", 5));
    assert_eq!(loads_sent(&mut leader, 1_100), [9]);
    leader
        .fleet
        .handle_report(at(1_110), 1, &report_of("g-1", 1));
    assert_eq!(
        loads_sent(&mut leader, 1_200),
        [6],
        "a newer report replaces the previous one"
    );
    leader.fleet.handle_disconnect(at(1_200), 2);
    assert_eq!(loads_sent(&mut leader, 1_300), [1]);
    leader
        .fleet
        .handle_report(at(1_310), 1, &report_of("g-1", u32::MAX));
    leader
        .fleet
        .handle_report(at(1_320), 3, &report_of("g-3", u32::MAX));
    assert_eq!(
        loads_sent(&mut leader, 1_400),
        [u32::MAX],
        "the sum saturates"
    );
}

#[test]
fn update_lists_a_bounded_number_of_busy_instances() {
    let mut leader = TestLeader::new();
    let mut full = report(Vec::new());
    full.in_flight = (0..500)
        .map(|index| InstanceLoad {
            instance: format!("e-{index}").into(),
            in_flight: index,
        })
        .collect();
    leader.fleet.handle_report(at(1_010), 1, &full);
    let loads: Vec<InstanceLoad> = leader
        .run(1_100)
        .into_iter()
        .find_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update.loads),
            _ => None,
        })
        .expect("an update");
    assert_eq!(loads.len(), 64);
    assert!(
        loads.iter().all(|load| load.in_flight >= 436),
        "the busiest instances are listed"
    );
}

#[test]
fn store_capacity_is_recorded_for_later_leaders() {
    let mut leader = TestLeader::new();
    for index in 0..4 {
        leader.add_engine(1_000, &format!("e-{index}"), &[]);
    }
    let demand = ["a", "b", "c", "d"].map(|name| unmet_demand(name, None));
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(demand.to_vec()));
    let instructions = leader.instructions(1_100);
    assert_eq!(instructions.len(), StoreCapacity::default().limit());
    for instruction in &instructions {
        let accepted = InstructionResult::Accepted;
        leader.respond(1_110, instruction.instance.name(), &accepted);
    }
    leader.run(1_250);
    for instruction in &instructions {
        let held = [instruction.model.as_str()];
        let loaded = record(instruction.instance.name(), 9_000, &held);
        leader.fleet.handle_announcement(at(3_150), loaded, false);
    }
    let recorded = leader
        .run(3_200)
        .into_iter()
        .find_map(|output| match output {
            FleetOutput::RecordStoreCapacity(hundredths) => Some(hundredths),
            _ => None,
        });
    let first = StoreCapacity::default().limit() as u32 * 100;
    assert!(
        recorded > Some(first),
        "{recorded:?}: the limit grows as no load was slowed"
    );
}

/// Not all gateways have connected to a new leader yet, and those that have would take over the
/// others' portions of shared limits.
#[test]
fn gateway_count_is_sent_only_when_complete() {
    let mut leader = TestLeader::new();
    let mut counts = Vec::new();
    for (since, now) in [(0, 1_000), (1_000, 2_000), (2_000, 6_000)] {
        leader.run_between(since, now);
        for connection in 1..=3 {
            let mut connected = report(Vec::new());
            connected.gateway = format!("g-{connection}");
            leader
                .fleet
                .handle_report(at(now + connection), connection, &connected);
            let outputs = leader.run(now + connection);
            counts.extend(outputs.into_iter().filter_map(|output| match output {
                FleetOutput::Update { update, .. } => Some((now, update.gateways)),
                _ => None,
            }));
        }
    }
    assert!(counts.len() >= 9, "{counts:?}");
    for (now, gateways) in counts {
        assert_eq!(gateways, if now < 6_000 { 0 } else { 3 }, "at {now}");
    }
}

#[test]
fn new_leader_sends_each_instance_once() {
    let mut leader = TestLeader::new();
    for index in 0..5 {
        leader.add_engine(1_000, &format!("e-{index}"), &["a"]);
    }
    let mut sent = Vec::new();
    let mut complete = false;
    for step in 0..20 {
        let now = 1_100 + step * 300;
        for index in 0..5 {
            let name = format!("e-{index}");
            leader
                .fleet
                .handle_announcement(at(now), record(&name, now, &["a"]), false);
        }
        leader.fleet.handle_report(at(now), 1, &report(Vec::new()));
        for output in leader.run(now) {
            if let FleetOutput::Update { update, .. } = output {
                sent.extend(
                    update
                        .instances
                        .iter()
                        .map(|record| record.instance.clone()),
                );
                complete |= update.complete;
            }
        }
    }
    assert!(complete, "an update is marked complete");
    assert_eq!(sent.len(), 5, "{sent:?}");
}

/// Guards against ignoring callers that gateways refuse for lack of request slots: the requests in
/// flight alone cannot exceed the slots, and other models of the engine use most of them.
#[rstest]
#[case::refused(10, 1)]
#[case::served(0, 0)]
fn requests_refused_for_full_slots_add_a_replica(#[case] refused: u32, #[case] loads: usize) {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a", "b"]);
    leader.add_engine(1_000, "e-2", &["c"]);
    let demand = GatewayModelDemand {
        unserved: refused,
        arrivals: 20,
        in_flight: 1,
        refused_full: refused,
        ..unmet_demand("a", None)
    };
    leader
        .fleet
        .handle_report(at(1_050), 1, &report(vec![demand]));
    let instructions = leader.instructions(1_100);
    let replicas = instructions.iter().filter(|instruction| {
        instruction.operation == InstructionOperation::Load
            && instruction.model == "a".into()
            && instruction.instance == "e-2".into()
    });
    assert_eq!(replicas.count(), loads, "{instructions:?}");
}

/// Guards against a saturated model that keeps one replica because the engine with its only other copy
/// holds models that were all swapped in lately.
#[test]
fn saturated_model_gets_a_replica_at_an_engine_with_recent_models() {
    let mut leader = TestLeader::new();
    leader.add_engine(1_000, "e-1", &["a"]);
    let mut other = record("e-2", 1_000, &["b"]);
    other.in_memory = vec!["a".into(), "c".into()];
    leader.fleet.handle_announcement(at(1_000), other, false);
    leader.respond_to_read(1_000, "e-2", &state_with_copies(0, &["b"], &["a", "c"]));
    let running = |model: &str, in_flight| GatewayModelDemand {
        unserved: 0,
        in_flight,
        ..unmet_demand(model, None)
    };
    // c is loaded now; b is requested, so that it is not idle.
    let demand = vec![unmet_demand("c", None), running("b", 1)];
    leader.fleet.handle_report(at(1_050), 1, &report(demand));
    let first = leader.instructions(1_100);
    assert_eq!(first[0].model, "c".into(), "{first:?}");
    leader.respond(1_110, "e-2", &InstructionResult::Accepted);
    let copies = ["a", "b", "c"];
    let mut announced = record("e-2", 1_500, &["b", "c"]);
    announced.in_memory = copies.map(Into::into).to_vec();
    leader
        .fleet
        .handle_announcement(at(1_500), announced, false);
    leader.run_between(1_510, 2_050);
    let demand = vec![running("a", 8), running("b", 2)];
    leader.fleet.handle_report(at(2_100), 1, &report(demand));
    let instructions = leader.instructions(2_200);
    let unloads = instructions.iter().filter(|instruction| {
        instruction.operation == InstructionOperation::Unload
            && instruction.instance == "e-2".into()
            && instruction.model == "c".into()
    });
    assert_eq!(unloads.count(), 1, "{instructions:?}");
}

/// Guards against a stream that is lost because its model is loaded at other software versions only.
#[test]
fn a_stream_gets_its_model_at_its_software_version() {
    let mut leader = TestLeader::new();
    for (name, software, models) in [
        ("e-1", "v1", &["a"][..]),
        ("e-2", "v2", &["c"][..]),
        ("e-3", "v2", &[][..]),
        ("e-4", "v1", &["b"][..]),
    ] {
        let announced = InstanceRecord {
            software: SoftwareStatement::of(software),
            ..record(name, 1_000, models)
        };
        leader
            .fleet
            .handle_announcement(at(1_000), announced, false);
        leader.respond_to_read(1_000, name, &state(0, models));
    }
    let waiting = StreamDemand {
        service: "text".into(),
        model: "c".into(),
        adapter: None,
        software: "v1".into(),
        requests: 1,
    };
    let report = StreamReport {
        begun: Vec::new(),
        lookups: Vec::new(),
        waiting: vec![waiting],
    };
    assert_eq!(leader.fleet.handle_streams(at(1_800), report), None);
    let instructions = leader.instructions(1_900);
    assert_eq!(instructions.len(), 1, "{instructions:?}");
    assert_eq!(instructions[0].operation, InstructionOperation::Load);
    assert_eq!(instructions[0].model, "c".into());
    let instance = instructions[0].instance.0.as_str();
    assert!(["e-1", "e-4"].contains(&instance), "{instance}");
    assert!(leader.instructions(2_020).is_empty(), "it is incoming");
}
