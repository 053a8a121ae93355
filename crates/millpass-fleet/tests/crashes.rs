//! Requests and loads that end instances, as the leader judges them over all gateways.

mod harness;

use harness::calls::Calls;
use harness::documents::{self, NOBODY, Room, engine_document};
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
    }
}

fn report(gateway: &str, needs: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: gateway.to_owned(),
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

fn ended(instance: &str, requests: &[u64]) -> CrashReport {
    CrashReport {
        crashes: vec![InstanceCrash {
            instance: instance.into(),
            requests: requests.iter().copied().map(request).collect(),
        }],
        served: Vec::new(),
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

struct Leader(Fleet, Calls);

impl Leader {
    /// A leader with two gateways, that begins with what the log holds back.
    fn new(held: Vec<QuarantineRecord>) -> Leader {
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        fleet.begin(at(1), std::iter::empty(), held.into_iter(), &history);
        for (connection, gateway) in ["g-1", "g-2"].into_iter().enumerate() {
            fleet.report(at(1), connection as u64, &report(gateway, Vec::new()));
        }
        Leader(fleet, Calls::default())
    }

    fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let outputs = self.0.run(at(now), 3, Some(&document()), &NOBODY);
        self.1.note(&outputs);
        outputs
    }

    /// The newest call to an engine is answered.
    fn answered(&mut self, now: u64, instance: &InstanceId, answer: &InstructionResult) {
        let answer = self.1.answer(instance, answer);
        self.0.answered(at(now), &answer);
    }

    /// What the gateways were told last to hold back, one list for each.
    fn told(&mut self, now: u64) -> Vec<Vec<RequestFingerprint>> {
        let told = self.run(now).into_iter().filter_map(|output| match output {
            FleetOutput::Crashes { update, .. } => Some(update),
            _ => None,
        });
        told.map(|update| {
            let held = update
                .requests
                .into_iter()
                .filter(|it| it.remaining_millis > 0);
            held.map(|it| it.request).collect()
        })
        .collect()
    }
}

/// Three ends of one request, each seen by another gateway than the one before.
fn three_ends(leader: &mut Leader) {
    for (place, instance) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        let place = place as u64;
        leader
            .0
            .announce(at(10 + place), record(instance, 1, &[]), false);
        let now = at(1_000 * (place + 1));
        leader
            .0
            .crashes_reported(now, &ended(instance, &[1, 20 + place]));
    }
}

#[test]
fn ends_seen_by_different_gateways_add_up_and_all_of_them_are_told() {
    let mut leader = Leader::new(Vec::new());
    leader.run(5);
    three_ends(&mut leader);
    assert_eq!(leader.told(3_001), vec![vec![request(1)], vec![request(1)]]);
    let held = leader.0.held_requests(at(3_001));
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].1, 3);
}

#[test]
fn what_is_certain_goes_to_the_log_and_the_next_leader_begins_with_it() {
    let mut leader = Leader::new(Vec::new());
    three_ends(&mut leader);
    let noted = |leader: &mut Leader, now| -> Vec<QuarantineRecord> {
        let notes = leader
            .run(now)
            .into_iter()
            .filter_map(|output| match output {
                FleetOutput::NoteHeldRequest(note) => Some(note),
                _ => None,
            });
        notes.collect()
    };
    assert!(
        noted(&mut leader, 3_100).is_empty(),
        "a run may announce itself yet"
    );
    let notes = noted(&mut leader, 5_000);
    assert_eq!(notes.len(), 1);
    assert_eq!(
        (notes[0].request.clone(), notes[0].crashes),
        (request(1), 3)
    );
    let mut next = Leader::new(notes);
    assert_eq!(next.told(10), vec![vec![request(1)], vec![request(1)]]);
}

/// A leader that was elected meanwhile has no log entry yet; gateways tell it what they saw.
#[test]
fn a_leader_that_knows_nothing_learns_it_from_what_gateways_remember() {
    let mut leader = Leader::new(Vec::new());
    let mut remembered = CrashReport {
        crashes: Vec::new(),
        served: Vec::new(),
    };
    for instance in ["i-1", "i-2", "i-3"] {
        remembered.crashes.extend(ended(instance, &[1]).crashes);
    }
    leader.0.crashes_reported(at(10), &remembered);
    assert_eq!(leader.told(11), vec![vec![request(1)], vec![request(1)]]);
}

#[test]
fn a_run_that_announces_itself_has_not_ended() {
    let mut leader = Leader::new(Vec::new());
    three_ends(&mut leader);
    leader.0.announce(at(3_500), record("i-3", 2, &[]), false);
    assert_eq!(leader.told(3_501), vec![Vec::new(), Vec::new()]);
}

#[test]
fn the_end_of_an_instance_that_leaves_says_nothing() {
    let mut leader = Leader::new(Vec::new());
    for instance in ["i-1", "i-2", "i-3"] {
        leader.0.announce(at(10), record(instance, 1, &[]), false);
        leader.0.departed(&instance.into(), false);
        leader.0.crashes_reported(at(500), &ended(instance, &[1]));
    }
    assert!(leader.0.held_requests(at(501)).is_empty());
}

#[test]
fn an_operator_or_a_whole_answer_lets_a_request_go_everywhere() {
    for lifts in [true, false] {
        let mut leader = Leader::new(Vec::new());
        three_ends(&mut leader);
        leader.run(5_000);
        if lifts {
            assert!(leader.0.lift(&request(1)));
            assert!(!leader.0.lift(&request(2)));
        } else {
            let served = CrashReport {
                crashes: Vec::new(),
                served: vec![request(1)],
            };
            leader.0.crashes_reported(at(5_001), &served);
        }
        assert_eq!(leader.told(5_002), vec![Vec::new(), Vec::new()]);
    }
}

/// Engines that end while they load a model: after three, the model is not loaded anywhere for some time.
#[test]
fn a_load_that_ends_engines_is_held_back() {
    let mut leader = Leader::new(Vec::new());
    let mut ends = 0;
    let mut now = 1_000;
    for engine in 0..8 {
        let name = format!("e-{engine}");
        leader.0.announce(at(now), record(&name, now, &[]), false);
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
        leader.answered(now, &id, &InstructionResult::State(state));
        let need = GatewayModelDemand {
            service: "text".into(),
            model: "a".into(),
            adapter: None,
            unserved: 1,
            arrivals: 1,
            in_flight: 0,
            priority: 1,
            unread_tokens: 0,
        };
        leader.0.report(at(now + 10), 0, &report("g-1", vec![need]));
        let outputs = leader.run(now + 200);
        let loads = outputs
            .iter()
            .any(|output| matches!(output, FleetOutput::Instruct(_)));
        if loads {
            ends += 1;
            leader.answered(now + 210, &id, &InstructionResult::Accepted);
        }
        // The load is overdue: its engine's state is read.
        leader.run(now + 3_000);
        leader.answered(now + 3_010, &id, &InstructionResult::OtherRun);
        now += 4_000;
    }
    assert_eq!(ends, 3);
}
