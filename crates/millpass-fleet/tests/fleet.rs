//! Instances, gateways, and which engine loads what.

mod harness;

use harness::calls::Calls;
use harness::documents::{self, NOBODY, Room, engine_document};
use millpass_fleet::{
    Fleet, FleetOutput, FleetSettings, InstructionHistory, StoreCapacity, StorePermits,
};
use millpass_proto::*;
use rstest::rstest;

const MODEL_KILOBYTES: u64 = 60;
const ROOM_KILOBYTES: u64 = 130;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn model(name: &str) -> EngineModelSpec {
    documents::model(name, MODEL_KILOBYTES, 4)
}

fn document() -> DeploymentDocument {
    let room = Room {
        weights_kilobytes: ROOM_KILOBYTES,
        adapter_slots: 2,
        milliloads_per_second: 2_000,
    };
    engine_document(["a", "b", "c", "d"].map(model).to_vec(), &room)
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
    }
}

fn need(model: &str, adapter: Option<&str>) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model: model.into(),
        adapter: adapter.map(Into::into),
        unserved: 1,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 0,
    }
}

fn report(needs: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: "g".to_owned(),
        zone: "z".into(),
        sequence: 1,
        version: 1,
        demand: needs,
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
    }
}

fn state(revision: u64, models: &[&str]) -> InstructionResult {
    state_with_copies(revision, models, &[])
}

/// A state with copies of weights in host memory.
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

struct Bench {
    fleet: Fleet,
    document: DeploymentDocument,
    calls: Calls,
}

impl Bench {
    fn new() -> Bench {
        let settings = FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        };
        Bench {
            fleet: Fleet::new(settings),
            document: document(),
            calls: Calls::default(),
        }
    }

    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let outputs = self.fleet.run(at(now), 3, Some(&self.document), &NOBODY);
        self.calls.note(&outputs);
        outputs
    }

    /// An engine's state is read, now or as soon as the leader looks again; this is the answer.
    fn is_read(&mut self, now: u64, instance: &str, answer: &InstructionResult) {
        let before = self.calls.newest(instance);
        for now in (now..now + 500).step_by(9) {
            self.run(now);
            if self.calls.newest(instance) != before {
                return self.answered(now, instance, answer);
            }
        }
        panic!("{instance} is not read");
    }

    /// The newest call to an engine is answered.
    fn answered(&mut self, now: u64, instance: &str, answer: &InstructionResult) {
        let answer = self.calls.answer(&instance.into(), answer);
        self.fleet.answered(at(now), &answer);
    }

    /// Runs every tenth of a second from one moment to another, as a leader does that has its processor; only such
    /// time counts as the silence of instances.
    fn live(&mut self, from: u64, to: u64) -> Vec<FleetOutput> {
        let moments = (from..to).step_by(100).chain([to]);
        moments.flat_map(|now| self.run(now)).collect()
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

    /// Engine e-1, which holds a and b, is told to unload one of them and takes it; gives the other.
    fn makes_room(&mut self) -> &'static str {
        let first = self.instructions(1_100);
        assert_eq!(first[0].operation, InstructionOperation::Unload);
        self.answered(1_110, "e-1", &InstructionResult::Accepted);
        if first[0].model == "a".into() {
            "b"
        } else {
            "a"
        }
    }

    /// An engine whose state has been read.
    fn engine(&mut self, now: u64, name: &str, models: &[&str]) {
        self.fleet
            .announce(at(now), record(name, now, models), false);
        self.is_read(now, name, &state(0, models));
    }
}

#[test]
fn a_needed_model_is_loaded_once_however_often_it_is_asked_for() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench.engine(1_000, "e-2", &["b"]);
    let mut given = Vec::new();
    for connection in 0..5 {
        let mut report = report(vec![need("c", None)]);
        report.gateway = format!("g-{connection}");
        bench.fleet.report(at(1_100), connection, &report);
        given.extend(bench.instructions(1_100 + connection * 120));
    }
    assert_eq!(given.len(), 1, "{given:?}");
    assert_eq!(given[0].operation, InstructionOperation::Load);
    assert_eq!(given[0].model, "c".into());
    assert_eq!(given[0].expected_revision, 0);
    assert_eq!(given[0].fence, 3);
}

#[test]
fn what_is_idle_makes_way_first_and_never_more_than_fits_is_ordered() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a", "b"]);
    // Model a is busy; b was never asked for.
    let mut busy = need("a", None);
    busy.unserved = 0;
    busy.arrivals = 20;
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![busy, need("c", None)]));
    let first = bench.instructions(1_100);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].operation, InstructionOperation::Unload);
    assert_eq!(first[0].model, "b".into());
    bench.answered(1_110, "e-1", &InstructionResult::Accepted);
    assert!(
        bench.instructions(1_250).is_empty(),
        "room is not there yet"
    );
    bench
        .fleet
        .announce(at(1_300), record("e-1", 2_000, &["a"]), false);
    // An announcement may be old: the engine is asked, by the same order, and says that it is done.
    let asked = bench.instructions(1_350);
    assert_eq!(asked.len(), 1, "{asked:?}");
    assert_eq!(asked[0].operation, InstructionOperation::Unload);
    assert_eq!(asked[0].expected_revision, 1, "the unload counts");
    assert!(bench.instructions(1_390).is_empty(), "nor is room yet");
    bench.answered(1_400, "e-1", &InstructionResult::AlreadySo);
    let second = bench.instructions(1_450);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0].operation, InstructionOperation::Load);
    assert_eq!(second[0].model, "c".into());
    assert_eq!(second[0].expected_revision, 1, "the unload counts");
}

#[test]
fn an_unanswered_instruction_is_followed_by_a_look_and_by_nothing_else() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("c", None)]));
    assert_eq!(bench.instructions(1_100).len(), 1);
    bench.answered(2_000, "e-1", &InstructionResult::Unanswered);
    assert!(bench.instructions(2_100).is_empty());
    let reads = bench
        .run(2_600)
        .into_iter()
        .filter(|output| matches!(output, FleetOutput::ReadEngine { .. }))
        .count();
    assert_eq!(reads, 1);
    bench
        .fleet
        .report(at(2_650), 1, &report(vec![need("c", None)]));
    bench.answered(2_700, "e-1", &state(4, &["a"]));
    let again = bench.instructions(2_800);
    assert_eq!(again.len(), 1);
    assert_eq!(
        again[0].expected_revision, 4,
        "a late copy of the first does nothing"
    );
}

#[test]
fn a_copy_at_hand_wins_over_the_weight_store() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    let mut second = record("e-2", 1, &["b"]);
    second.in_memory = vec!["c".into()];
    bench.fleet.announce(at(1_000), second, false);
    let read = state_with_copies(0, &["b"], &["c"]);
    bench.is_read(1_000, "e-2", &read);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("c", None)]));
    let given = bench.instructions(1_100);
    assert_eq!(given[0].instance, "e-2".into());
}

#[test]
fn an_adapter_goes_to_an_engine_that_holds_its_model_and_is_told_once_it_has_settled() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench.engine(1_000, "e-2", &["b"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("b", Some("x"))]));
    let given = bench.instructions(1_100);
    assert_eq!(given.len(), 1);
    assert_eq!(
        (given[0].instance.clone(), given[0].adapter.clone()),
        ("e-2".into(), Some("x".into()))
    );
    bench.answered(1_110, "e-2", &InstructionResult::Accepted);
    // An announcement that was under way does not know of it yet.
    bench
        .fleet
        .announce(at(1_120), record("e-2", 1_500, &["b"]), false);
    let told = bench.run(1_130).into_iter().any(|output| {
        matches!(output, FleetOutput::Update { update, .. } if update.instances.iter().any(
            |record| record.models.iter().any(|held| held.adapters.contains(&"x".into()))))
    });
    assert!(told);
}

/// Found on the operators' platform: reports are some hundred milliseconds old, and an order count
/// taken from one made every following order refused.
#[test]
fn a_report_of_fewer_orders_than_the_engine_has_surely_taken_is_read_again() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("a", Some("x"))]));
    assert_eq!(bench.instructions(1_100).len(), 1);
    bench.answered(1_110, "e-1", &InstructionResult::Accepted);
    bench.run(1_200);
    let mut doubts = report(vec![need("a", Some("y"))]);
    doubts.inconsistent = vec!["e-1".into()];
    bench.fleet.report(at(1_210), 1, &doubts);
    bench.is_read(1_220, "e-1", &state(0, &["a"]));
    assert!(
        bench.instructions(1_550).is_empty(),
        "the count is not known"
    );
    bench.is_read(1_560, "e-1", &state(1, &["a"]));
    bench
        .fleet
        .report(at(1_710), 1, &report(vec![need("a", Some("y"))]));
    let given = bench.instructions(1_800);
    assert_eq!(given.len(), 1);
    assert_eq!(given[0].expected_revision, 1);
}

#[rstest]
#[case::two_a_second(2_000, 9)]
#[case::one_in_ten_seconds(100, 1)]
fn the_store_s_rate_holds_in_every_window(#[case] milliloads: u64, #[case] allowed: usize) {
    let mut permits = StorePermits::default();
    let taken: Vec<u64> = (0..20_000)
        .step_by(10)
        .filter(|now| permits.take(at(*now), milliloads))
        .collect();
    assert_eq!(most_in_a_window(&taken), Some(allowed));
}

/// Most loads that begin in any five seconds.
fn most_in_a_window(begun: &[u64]) -> Option<usize> {
    let in_window = |start: &u64| {
        let window = *start..*start + 5_000;
        begun.iter().filter(|at| window.contains(at)).count()
    };
    begun.iter().map(in_window).max()
}

/// Found on the operators' platform: a replica of the busiest model made way for a model that one
/// request had asked for, because a copy of its weights was at hand there.
#[test]
fn a_busy_model_does_not_make_way_for_a_single_request() {
    let mut bench = Bench::new();
    let mut first = record("e-1", 1_000, &["a", "b"]);
    first.in_memory = vec!["c".into()];
    bench.fleet.announce(at(1_000), first, false);
    bench.is_read(1_000, "e-1", &state(0, &["a", "b"]));
    let busy = |model: &str| GatewayModelDemand {
        unserved: 0,
        arrivals: 40,
        in_flight: 5,
        ..need(model, None)
    };
    let needs = vec![busy("a"), busy("b"), need("c", None)];
    bench.fleet.report(at(1_050), 1, &report(needs));
    assert!(bench.instructions(1_100).is_empty());
}

/// Found on the operators' platform: the only engine with a model had crashed, and the model counted as
/// held until the engine had been silent for six seconds.
#[test]
fn a_model_whose_only_engine_cannot_be_read_is_loaded_elsewhere() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench.engine(1_000, "e-2", &["b"]);
    let mut doubts = report(vec![need("a", None)]);
    doubts.inconsistent = vec!["e-1".into()];
    bench.fleet.report(at(1_050), 1, &doubts);
    bench.run(1_100);
    bench.run(1_400);
    bench.answered(1_500, "e-1", &InstructionResult::Unanswered);
    bench
        .fleet
        .report(at(1_510), 1, &report(vec![need("a", None)]));
    let given = bench.instructions(1_600);
    assert_eq!(given.len(), 1, "{given:?}");
    assert_eq!(
        (given[0].instance.clone(), given[0].model.clone()),
        ("e-2".into(), "a".into())
    );
    // It is back as soon as it announces itself.
    bench
        .fleet
        .announce(at(1_700), record("e-1", 3_000, &["a"]), false);
    bench.answered(1_710, "e-2", &InstructionResult::Accepted);
    bench
        .fleet
        .report(at(1_720), 1, &report(vec![need("a", None)]));
    assert!(bench.instructions(1_900).is_empty());
}

#[test]
fn a_model_whose_prompts_take_much_of_its_engine_gets_a_replica() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench.engine(1_000, "e-2", &["b"]);
    let mut busy = need("a", None);
    busy.unserved = 0;
    busy.unread_tokens = 10_000;
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![busy.clone()]));
    assert!(bench.instructions(1_100).is_empty(), "not yet busy");
    busy.unread_tokens = 60_000;
    bench.fleet.report(at(1_150), 1, &report(vec![busy]));
    let given = bench.instructions(1_200);
    assert_eq!(given.len(), 1, "{given:?}");
    assert_eq!(
        (given[0].instance.clone(), given[0].model.clone()),
        ("e-2".into(), "a".into())
    );
}

/// Found on the operators' platform: the load that follows a reservation, and a need for the same
/// model, each loaded it in one round.
#[test]
fn a_model_whose_room_was_just_made_is_loaded_there_alone() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a", "b"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("c", None)]));
    let left = bench.makes_room();
    bench.engine(1_150, "e-2", &["d"]);
    bench
        .fleet
        .announce(at(1_200), record("e-1", 2_000, &[left]), false);
    assert_eq!(
        bench.instructions(1_250).len(),
        1,
        "it is asked whether it is done"
    );
    bench.answered(1_260, "e-1", &InstructionResult::AlreadySo);
    bench
        .fleet
        .report(at(1_270), 1, &report(vec![need("c", None)]));
    let given = bench.instructions(1_400);
    assert_eq!(given.len(), 1, "{given:?}");
    assert_eq!(given[0].instance, "e-1".into());
}

#[test]
fn a_silent_instance_is_removed_and_gateways_are_told() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench.fleet.report(at(1_000), 1, &report(Vec::new()));
    bench.live(1_100, 5_000);
    let removed = bench.live(5_000, 8_000).into_iter().any(|output| {
        matches!(output, FleetOutput::Update { update, .. } if update.removed == ["e-1".into()])
    });
    assert!(removed);
}

/// A leader with a third of its processor was not in charge for seconds, or refused announcements, and then forgot 387
/// instances in a minute, all of which lived: requests found none.
#[rstest]
#[case::not_in_charge(false)]
#[case::refuses_announcements(true)]
fn the_silence_of_a_leader_that_does_not_hear_is_not_that_of_instances(#[case] refuses: bool) {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    let mut outputs = bench.live(1_000, 2_000);
    if refuses {
        for now in (2_000..9_000).step_by(500) {
            bench.fleet.announcements_refused(at(now));
            outputs.extend(bench.live(now, now + 500));
        }
    }
    outputs.extend(bench.run(9_000));
    outputs.extend(bench.live(9_000, 10_000));
    let forgotten = |output: &FleetOutput| matches!(output, FleetOutput::Event(event) if event.name == "instance-forgotten");
    assert!(!outputs.iter().any(forgotten));
    // It is gone once it is silent while the leader hears.
    let outputs = bench.live(10_000, 17_000);
    assert!(outputs.iter().any(forgotten));
}

/// An instance that was cut off for longer than the silence that counts as its end, and came back, got no requests from
/// some gateways although the leader knew it: with many gateways, its end and its return travelled in one update, the
/// gateway took the record first and the removal after it, and was told nothing more of it until it changed.
#[test]
fn an_instance_that_returns_before_its_removal_was_told_is_not_named_as_removed() {
    const GATEWAYS: u64 = 70;
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    let mut first = report(Vec::new());
    for connection in 0..GATEWAYS {
        first.gateway = format!("g-{connection}");
        bench.fleet.report(at(1_000), connection, &first);
    }
    bench.live(1_000, 6_900);
    // All are answered shortly before the instance counts as silent.
    for connection in 0..GATEWAYS {
        first.gateway = format!("g-{connection}");
        bench.fleet.report(at(6_990), connection, &first);
    }
    bench.run(6_990);
    let forgotten = bench.run(7_010).into_iter().any(
        |output| matches!(output, FleetOutput::Event(event) if event.name == "instance-forgotten"),
    );
    assert!(forgotten);
    bench.engine(7_020, "e-1", &["a"]);
    let told: Vec<_> = bench
        .run(7_100)
        .into_iter()
        .filter_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update),
            _ => None,
        })
        .collect();
    assert_eq!(told.len(), GATEWAYS as usize);
    for update in told {
        assert_eq!(update.instances.len(), 1, "{update:?}");
        assert!(update.removed.is_empty(), "{update:?}");
    }
}

/// The leader remembers a bounded number of removals. A gateway that was told before the oldest of them went on sending
/// to instances that had ended: the older removals were named in no update, and no update was whole. Evidence: 1,024 of
/// 1,100 were named.
#[test]
fn a_gateway_that_lacks_more_removals_than_are_remembered_is_told_everything() {
    const INSTANCES: usize = 1_100;
    let mut bench = Bench::new();
    let names: Vec<String> = (0..INSTANCES).map(|index| format!("e-{index}")).collect();
    for name in &names {
        bench
            .fleet
            .announce(at(1_000), record(name, 1, &["a"]), false);
    }
    bench.fleet.report(at(1_000), 1, &report(Vec::new()));
    bench.run(1_000);
    for name in &names {
        bench.fleet.departed(&name.as_str().into(), true);
    }
    let told = bench
        .run(1_100)
        .into_iter()
        .find_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update),
            _ => None,
        })
        .expect("an update");
    assert!(
        told.first || told.removed.len() == INSTANCES,
        "it names {} removals",
        told.removed.len()
    );
}

/// Members that do not lead kept a line for each departure that the log told them, until they were elected: the longer
/// they followed, the more memory they took. A leader that begins reads departures from the log's state.
#[test]
fn a_member_that_does_not_lead_keeps_nothing_of_departures() {
    let mut bench = Bench::new();
    for index in 0..1_000 {
        bench
            .fleet
            .departed(&format!("e-{index}").as_str().into(), true);
    }
    let kept = bench.run(1_000);
    assert!(kept.is_empty(), "{} outputs", kept.len());
}

/// The store's rate counts over a change of leader: the next one goes on from the loads that the log
/// tells, and where it cannot know them, it counts them as made.
#[rstest]
#[case::all_loads_known(0, 6_000)]
#[case::it_has_just_started(6_000, 6_000)]
fn the_store_s_rate_holds_over_a_change_of_leader(#[case] listens_from: u64, #[case] change: u64) {
    const MILLILOADS: u64 = 2_000;
    let mut history = InstructionHistory::new(at(listens_from), Duration::from_secs(60));
    let mut first = StorePermits::default();
    let mut begun: Vec<u64> = Vec::new();
    for now in (0..change).step_by(10) {
        // The old leader saves its permits and takes them at once, right before it falls.
        if now >= change - 500 && first.take(at(now), MILLILOADS) {
            begun.push(now);
            let note = InstructionIntent {
                instances: Vec::new(),
                store_loads: 1,
            };
            if now >= listens_from {
                history.note(at(now), &note);
            }
        }
    }
    assert_eq!(begun.len(), 9);
    let mut second = StorePermits::after(&history);
    begun.extend(
        (change..20_000)
            .step_by(10)
            .filter(|now| second.take(at(*now), MILLILOADS)),
    );
    let most = most_in_a_window(&begun);
    // Ten loads begin in five seconds at this rate; the store bears a tenth and three more.
    assert!(most <= Some(14), "{most:?}");
    assert!(begun.len() > 25, "{begun:?}");
}

/// Found on the operators' platform: with 70 gateways and 140 engines, every change went to every gateway
/// at once, the leader's processor was full, gateways took it for dead and connected anew, and each got
/// everything again.
#[rstest]
#[case::few(7, 100, 100)]
#[case::many(70, 13, 15)]
fn many_changes_travel_in_few_updates_where_there_are_many_gateways(
    #[case] gateways: u64,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut bench = Bench::new();
    bench
        .fleet
        .announce(at(1_000), record("e-1", 1, &["a"]), false);
    for connection in 0..gateways {
        let mut first = report(Vec::new());
        first.gateway = format!("g-{connection}");
        bench.fleet.report(at(1_000), connection, &first);
    }
    bench.run(1_000);
    let mut updates = 0;
    for change in 1..=100 {
        let now = 1_000 + change * 10;
        let models: &[&str] = if change % 2 == 0 { &["a"] } else { &["b"] };
        bench
            .fleet
            .announce(at(now), record("e-1", 1 + change, models), false);
        let outputs = bench.run(now);
        updates += outputs
            .iter()
            .filter(|output| matches!(output, FleetOutput::Update { connection: 0, .. }))
            .count();
    }
    assert!((least..=most).contains(&updates), "{updates}");
}

/// Found in the last reading: the second model that had to make way for a reservation could be one whose
/// adapter somebody waits for.
#[test]
fn a_reservation_takes_no_model_that_somebody_waits_for() {
    let mut bench = Bench::new();
    let engine = bench.document.services[0].engine.as_mut().expect("engine");
    engine.models.push(EngineModelSpec {
        weights_kilobytes: 2 * MODEL_KILOBYTES,
        ..model("large")
    });
    bench.engine(1_000, "e-1", &["a", "b"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("large", None)]));
    let left = bench.makes_room();
    bench
        .fleet
        .announce(at(1_300), record("e-1", 2_000, &[left]), false);
    assert_eq!(
        bench.instructions(1_350).len(),
        1,
        "it is asked whether it is done"
    );
    bench.answered(1_360, "e-1", &InstructionResult::AlreadySo);
    bench
        .fleet
        .report(at(1_410), 1, &report(vec![need(left, Some("x"))]));
    let second = bench.instructions(1_500);
    assert!(
        second
            .iter()
            .all(|given| given.operation == InstructionOperation::Load),
        "{second:?}"
    );
}

/// Found on the operators' platform: an adapter's load and a model's unload went to one engine in the same
/// round; the engine took the first, the second overwrote it in the leader's books, and the next adapter
/// was ordered over the engine's places.
#[test]
fn an_engine_gets_one_instruction_a_round() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a", "b"]);
    let needs = vec![need("a", Some("x")), need("c", None)];
    bench.fleet.report(at(1_050), 1, &report(needs));
    let given = bench.instructions(1_100);
    assert_eq!(given.len(), 1, "{given:?}");
}

/// Found on the operators' platform: adapters that were on their way counted for nothing.
#[test]
fn adapters_on_their_way_take_their_places() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    let coming = InstructionResult::State(EngineState {
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
    bench.answered(1_010, "e-1", &coming);
    let needs = vec![need("a", Some("z"))];
    bench.fleet.report(at(1_050), 1, &report(needs));
    let given = bench.instructions(1_100);
    assert!(given.is_empty(), "{given:?}");
}

/// An announcement may be under way for seconds. One from before a load must not make the leader believe
/// that there is room where that load has filled it.
#[test]
fn an_announcement_from_before_a_load_makes_no_room() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("b", None)]));
    assert_eq!(bench.instructions(1_100).len(), 1);
    bench.answered(1_110, "e-1", &InstructionResult::Accepted);
    bench
        .fleet
        .announce(at(3_200), record("e-1", 5_000, &["a", "b"]), false);
    bench
        .fleet
        .announce(at(3_300), record("e-1", 5_001, &["a"]), false);
    bench
        .fleet
        .report(at(3_310), 1, &report(vec![need("c", None)]));
    let given = bench.instructions(3_400);
    let loads = |given: &EngineInstruction| given.operation == InstructionOperation::Load;
    assert!(!given.iter().any(loads), "{given:?}");
}

/// Found on the operators' platform: needs waited for an engine whose instruction nobody had answered, for
/// as long as that lasted.
#[test]
fn a_need_waits_for_no_engine_whose_instruction_is_not_confirmed() {
    let mut bench = Bench::new();
    let mut first = record("e-1", 1_000, &["a"]);
    first.in_memory = vec!["c".into()];
    bench.fleet.announce(at(1_000), first, false);
    let read = state_with_copies(0, &["a"], &["c"]);
    bench.is_read(1_000, "e-1", &read);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("b", None)]));
    assert_eq!(bench.instructions(1_100)[0].instance, "e-1".into());
    bench.engine(1_200, "e-2", &["d"]);
    bench
        .fleet
        .report(at(1_210), 1, &report(vec![need("c", None)]));
    let given = bench.instructions(1_300);
    assert_eq!(given.len(), 1, "{given:?}");
    assert_eq!(given[0].instance, "e-2".into());
}

/// Found on the operators' platform: an engine that finishes its runs before an unload announced the model
/// meanwhile, gateways sent more requests for it, and the engine turned them away as if it were full.
#[test]
fn a_model_that_is_being_unloaded_gets_no_requests_whatever_the_engine_announces() {
    let mut bench = Bench::new();
    bench.fleet.report(at(900), 1, &report(Vec::new()));
    bench.engine(1_000, "e-1", &["a", "b"]);
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("c", None)]));
    let left = bench.makes_room();
    bench
        .fleet
        .announce(at(1_200), record("e-1", 2_000, &["a", "b"]), false);
    // It connects anew, and is told all there is: an announcement that says nothing new is told to nobody.
    bench.fleet.report(at(1_210), 2, &report(Vec::new()));
    let records = bench
        .run(1_220)
        .into_iter()
        .filter_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(update.instances),
            _ => None,
        })
        .flatten();
    let last = records.last().expect("an update");
    assert_eq!(last.models, held(&[left]));
}

/// Found on the operators' platform: gateways took a load to begin at once though it waited for an engine, and
/// held requests that could not be served in time.
#[test]
fn gateways_are_told_when_a_model_that_waits_for_an_engine_will_serve() {
    let mut bench = Bench::new();
    bench
        .fleet
        .announce(at(1_000), record("e-1", 1_000, &["a"]), false);
    bench.is_read(1_000, "e-1", &state_with_copies(0, &["a"], &["c"]));
    bench
        .fleet
        .report(at(1_050), 1, &report(vec![need("b", None)]));
    assert_eq!(bench.instructions(1_100)[0].model, "b".into());
    bench.answered(1_110, "e-1", &InstructionResult::Accepted);
    bench
        .fleet
        .report(at(1_300), 1, &report(vec![need("c", None)]));
    let outputs = bench.run(1_400);
    let outlook = outputs
        .iter()
        .find_map(|output| match output {
            FleetOutput::Update { update, .. } => Some(&update.ready_estimates),
            _ => None,
        })
        .expect("an update");
    let ready = outlook.iter().find(|outlook| outlook.model == "c".into());
    // The load of b from the weight store goes on until 3.1 s.
    let ready = ready.expect("c is awaited").ready_in_millis;
    assert!((1_700..3_000).contains(&ready), "{ready}");
}

#[test]
fn no_more_loads_begin_at_once_than_the_weight_store_is_known_to_serve() {
    let mut bench = Bench::new();
    let service = &mut bench.document.services[0];
    let engine = service.engine.as_mut().expect("an engine");
    engine.milliloads_per_second = 100_000;
    engine.models = (0..20).map(|index| model(&format!("m-{index}"))).collect();
    for index in 0..20 {
        bench.engine(1_000, &format!("e-{index}"), &[]);
    }
    let needs = (0..20).map(|index| need(&format!("m-{index}"), None));
    bench.fleet.report(at(1_050), 1, &report(needs.collect()));
    let mut begun = bench.instructions(1_100).len();
    begun += bench.instructions(1_250).len();
    let first = StoreCapacity::default().limit();
    assert_eq!(begun, first, "of 20 that are asked for");
}

#[test]
fn a_copy_on_a_disk_is_loaded_while_the_weight_store_has_no_room() {
    let mut bench = Bench::new();
    let service = &mut bench.document.services[0];
    let engine = service.engine.as_mut().expect("an engine");
    engine.milliloads_per_second = 100_000;
    engine.models = (0..9).map(|index| model(&format!("m-{index}"))).collect();
    for index in 0..8 {
        bench.engine(1_000, &format!("e-{index}"), &[]);
    }
    let needs = (0..8).map(|index| need(&format!("m-{index}"), None));
    bench.fleet.report(at(1_050), 1, &report(needs.collect()));
    let first = bench.instructions(1_100).len();
    assert_eq!(first, StoreCapacity::default().limit());
    let mut copy = record("e-8", 2_000, &[]);
    copy.on_disk = vec!["m-8".into()];
    bench.fleet.announce(at(1_200), copy, false);
    let read = EngineState {
        revision: 0,
        busy: false,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: vec!["m-8".into()],
        loading_adapters: Vec::new(),
    };
    bench.is_read(1_200, "e-8", &InstructionResult::State(read));
    bench
        .fleet
        .report(at(1_260), 1, &report(vec![need("m-8", None)]));
    let second = bench.instructions(1_350);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0].model, "m-8".into());
    assert_eq!(second[0].instance, "e-8".into());
}

#[rstest]
fn a_model_that_would_fill_several_engines_gets_further_replicas(
    #[values(1, 2, 4, 9)] engines_filled: u32,
) {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-0", &["a"]);
    for index in 1..8 {
        let name = format!("e-{index}");
        bench.engine(1_000, &name, &["b", "c"]);
    }
    let mut busy = need("a", None);
    busy.unserved = 0;
    busy.in_flight = 8 * engines_filled;
    bench.fleet.report(at(1_050), 1, &report(vec![busy]));
    let instructions = bench.instructions(1_100);
    assert!(!instructions.is_empty(), "nothing makes way for it");
}

/// A gateway that lies, or a sum that overflows, must not keep the leader busy.
#[test]
fn absurd_demand_is_met_within_bounds() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-0", &["a"]);
    for index in 1..6 {
        let name = format!("e-{index}");
        bench.engine(1_000, &name, &["b", "c"]);
    }
    for gateway in 0..3 {
        let mut absurd = need("a", None);
        absurd.unserved = u32::MAX;
        absurd.arrivals = u32::MAX;
        absurd.in_flight = u32::MAX;
        absurd.unread_tokens = u64::MAX;
        let mut report = report(vec![absurd]);
        report.gateway = format!("g-{gateway}");
        bench.fleet.report(at(1_050), gateway, &report);
    }
    let instructions = bench.instructions(1_100);
    assert!(instructions.len() <= 5, "{instructions:?}");
    for gateway in 0..3 {
        bench.fleet.disconnected(at(1_200), gateway);
    }
    bench.run(1_300);
}

#[test]
fn gateways_are_told_what_all_of_them_have_in_flight() {
    let mut bench = Bench::new();
    bench.engine(1_000, "e-1", &["a"]);
    let with = |gateway: &str, in_flight| {
        let mut report = report(Vec::new());
        report.gateway = gateway.to_owned();
        report.in_flight = vec![InstanceLoad {
            instance: "e-1".into(),
            in_flight,
        }];
        report
    };
    let told = |bench: &mut Bench, now: u64| -> Vec<u32> {
        bench.fleet.report(at(now), 9, &report(Vec::new()));
        let outputs = bench.run(now);
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
    bench.fleet.report(at(1_010), 1, &with("g-1", 4));
    bench.fleet.report(at(1_020), 2, &with("g-2", 5));
    assert_eq!(told(&mut bench, 1_100), [9]);
    bench.fleet.report(at(1_110), 1, &with("g-1", 1));
    assert_eq!(
        told(&mut bench, 1_200),
        [6],
        "a newer report takes its place"
    );
    bench.fleet.disconnected(at(1_200), 2);
    assert_eq!(told(&mut bench, 1_300), [1]);
    bench.fleet.report(at(1_310), 1, &with("g-1", u32::MAX));
    bench.fleet.report(at(1_320), 3, &with("g-3", u32::MAX));
    assert_eq!(told(&mut bench, 1_400), [u32::MAX], "absurd, and harmless");
}

#[test]
fn an_update_names_a_bounded_number_of_busy_instances() {
    let mut bench = Bench::new();
    let mut full = report(Vec::new());
    full.in_flight = (0..500)
        .map(|index| InstanceLoad {
            instance: format!("e-{index}").into(),
            in_flight: index,
        })
        .collect();
    bench.fleet.report(at(1_010), 1, &full);
    let loads: Vec<InstanceLoad> = bench
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
        "the busiest"
    );
}

#[test]
fn what_the_leader_learns_of_the_weight_store_is_noted_for_the_leaders_to_come() {
    let mut bench = Bench::new();
    for index in 0..4 {
        bench.engine(1_000, &format!("e-{index}"), &[]);
    }
    let needs = ["a", "b", "c", "d"].map(|name| need(name, None));
    bench.fleet.report(at(1_050), 1, &report(needs.to_vec()));
    let begun = bench.instructions(1_100);
    assert_eq!(begun.len(), StoreCapacity::default().limit());
    for instruction in &begun {
        let accepted = InstructionResult::Accepted;
        bench.answered(1_110, instruction.instance.name(), &accepted);
    }
    bench.run(1_250);
    for instruction in &begun {
        let held = [instruction.model.as_str()];
        let loaded = record(instruction.instance.name(), 9_000, &held);
        bench.fleet.announce(at(3_150), loaded, false);
    }
    let noted = bench
        .run(3_200)
        .into_iter()
        .find_map(|output| match output {
            FleetOutput::NoteStoreCapacity(hundredths) => Some(hundredths),
            _ => None,
        });
    let first = StoreCapacity::default().limit() as u32 * 100;
    assert!(noted > Some(first), "{noted:?}: none of them was slowed");
}

/// A leader that has just taken charge counts the gateways that have found it so far. See
/// `a_leader_that_does_not_know_how_many_gateways_there_are_leaves_the_known_number_in_force`.
#[test]
fn a_leader_says_how_many_gateways_there_are_once_all_had_time_to_find_it() {
    let mut bench = Bench::new();
    let mut told = Vec::new();
    for (since, now) in [(0, 1_000), (1_000, 2_000), (2_000, 6_000)] {
        bench.live(since, now);
        for connection in 1..=3 {
            let mut found = report(Vec::new());
            found.gateway = format!("g-{connection}");
            bench.fleet.report(at(now + connection), connection, &found);
            let outputs = bench.run(now + connection);
            told.extend(outputs.into_iter().filter_map(|output| match output {
                FleetOutput::Update { update, .. } => Some((now, update.gateways)),
                _ => None,
            }));
        }
    }
    assert!(told.len() >= 9, "{told:?}");
    for (now, gateways) in told {
        assert_eq!(gateways, if now < 6_000 { 0 } else { 3 }, "at {now}");
    }
}

#[test]
fn a_gateway_is_told_of_each_instance_once_when_a_leader_takes_charge() {
    let mut bench = Bench::new();
    for index in 0..5 {
        bench.engine(1_000, &format!("e-{index}"), &["a"]);
    }
    let mut told = Vec::new();
    let mut complete = false;
    for step in 0..20 {
        let now = 1_100 + step * 300;
        for index in 0..5 {
            let name = format!("e-{index}");
            bench
                .fleet
                .announce(at(now), record(&name, now, &["a"]), false);
        }
        bench.fleet.report(at(now), 1, &report(Vec::new()));
        for output in bench.run(now) {
            if let FleetOutput::Update { update, .. } = output {
                told.extend(
                    update
                        .instances
                        .iter()
                        .map(|record| record.instance.clone()),
                );
                complete |= update.complete;
            }
        }
    }
    assert!(complete, "it is said that all are named");
    assert_eq!(told.len(), 5, "{told:?}");
}
