//! Guards against factors that outlive what they were learned from, that urgent requests disregard,
//! or that invalid input sets.

mod harness;

use harness::{at, begin, gateway, record, sent_to, update};
use millpass_dispatch::*;
use millpass_proto::*;
use rstest::rstest;

fn pace(instance: &str, relative_time: u32, machine_time: u32) -> EnginePace {
    EnginePace {
        instance: instance.into(),
        relative_time,
        machine_time,
    }
}

fn apply(gateway: &mut Dispatcher, now: u64, paces: Vec<EnginePace>) {
    let update = GatewayUpdate {
        first: false,
        document: None,
        paces,
        ..update(1, 1, Vec::new())
    };
    gateway.update(at(now), update);
}

fn factor(gateway: &Dispatcher, now: u64, instance: &str) -> f64 {
    gateway.pace_factor(at(now), &instance.into())
}

fn two_engines() -> Dispatcher {
    gateway("g", 1, &[record("e-1", "text"), record("e-2", "text")])
}

fn load(machine_time: Stated<u32>) -> ReportedLoad {
    ReportedLoad {
        running: 1,
        waiting: 0,
        machine_time,
    }
}

/// Sends a request, answers its head after this time, and returns the instance.
fn answered(gateway: &mut Dispatcher, now: u64, millis: u64) -> InstanceId {
    let mut ticket = begin(gateway, now, "/text/");
    let instance = sent_to(gateway, now, &mut ticket).expect("sent");
    let record = ticket.send_record(&instance);
    let time = Duration::from_millis(millis);
    gateway.record_first_byte(at(now + millis), &record, time);
    let end = SendOutcome::Responded(time);
    gateway.record_send_outcome(at(now + millis), &record, end);
    instance
}

/// Guards against learning from other times than those to the first byte, and against reporting
/// them twice.
#[test]
fn first_byte_times_are_reported_once() {
    let mut gateway = two_engines();
    let instance = answered(&mut gateway, 0, 30);
    let paces = gateway.report(at(100)).paces;
    // Without prompt and load, typical work takes 15 ms.
    let expected = EnginePaceSample {
        instance,
        samples: 1,
        relative_time: 200,
        machine_time: 0,
    };
    assert_eq!(paces, vec![expected]);
    assert!(gateway.report(at(200)).paces.is_empty());
}

/// Guards against slow engines that are chosen like typical ones, and against an estimate that
/// disregards their speed.
#[test]
fn engine_known_to_be_slow_is_avoided_and_expected_to_respond_later() {
    let mut gateway = two_engines();
    let typical = gateway.expected_first_byte(at(0), &"e-1".into(), 4_000, 4.0);
    assert_eq!(typical, Duration::from_millis(15 + 100 + 12));
    apply(&mut gateway, 10, vec![pace("e-1", 300, 0)]);
    let slow = gateway.expected_first_byte(at(10), &"e-1".into(), 4_000, 4.0);
    assert_eq!(slow, typical * 3);
    for identity in 0..8 {
        let mut gateway = two_engines();
        apply(&mut gateway, 10, vec![pace("e-1", 300, 0)]);
        let mut ticket = begin(&mut gateway, 20, "/text/");
        ticket.description.prompt = vec![PromptPart {
            identity,
            tokens: 800,
        }]
        .into();
        let chosen = sent_to(&mut gateway, 20, &mut ticket);
        assert_eq!(chosen, Some("e-2".into()));
    }
    assert_eq!(gateway.pace_summary(at(25)), (3.0, 1));
}

/// Guards against a pause of a machine that is held against its engine after it has ended.
#[test]
fn machine_time_is_forgotten_within_seconds() {
    let mut gateway = two_engines();
    gateway.record_load(at(0), &"e-1".into(), load(Stated::Value(250)));
    assert_eq!(factor(&gateway, 0, "e-1"), 2.5);
    assert!(factor(&gateway, 1_000, "e-1") < 1.15);
    assert!(factor(&gateway, 3_000, "e-1") < 1.01);
    gateway.record_load(at(100), &"e-1".into(), load(Stated::Value(100)));
    assert_eq!(factor(&gateway, 100, "e-1"), 1.0);
}

/// Guards against a time of another gateway that replaces a newer one stated to this gateway.
#[test]
fn own_machine_time_is_kept_over_older_ones() {
    let mut gateway = two_engines();
    gateway.record_load(at(1_000), &"e-1".into(), load(Stated::Value(100)));
    apply(&mut gateway, 1_100, vec![pace("e-1", 100, 250)]);
    assert_eq!(factor(&gateway, 1_100, "e-1"), 1.0);
    apply(&mut gateway, 1_400, vec![pace("e-1", 100, 250)]);
    assert_eq!(factor(&gateway, 1_400, "e-1"), 2.5);
}

/// Guards against knowledge that is kept although no leader confirms it.
#[test]
fn unconfirmed_factor_decays() {
    let mut gateway = two_engines();
    apply(&mut gateway, 0, vec![pace("e-1", 200, 0)]);
    gateway.connection_ended();
    assert_eq!(factor(&gateway, 10_000, "e-1"), 2.0);
    assert!(factor(&gateway, 30_000, "e-1") < 1.4);
    assert!(factor(&gateway, 120_000, "e-1") < 1.01);
    apply(&mut gateway, 120_000, vec![pace("e-1", 200, 0)]);
    assert_eq!(factor(&gateway, 125_000, "e-1"), 2.0);
}

/// Guards against factors that decay while their leader sends updates without repeating them, and
/// against those of a former leader that its successor confirms unseen.
#[test]
fn updates_of_the_same_leader_confirm_a_factor() {
    let mut gateway = two_engines();
    apply(&mut gateway, 0, vec![pace("e-1", 200, 0)]);
    for second in 1..60 {
        apply(&mut gateway, second * 1_000, Vec::new());
    }
    assert_eq!(factor(&gateway, 60_000, "e-1"), 2.0);
    for second in 60..180 {
        let update = GatewayUpdate {
            first: false,
            document: None,
            ..update(2, 1, Vec::new())
        };
        gateway.update(at(second * 1_000), update);
    }
    assert!(factor(&gateway, 180_000, "e-1") < 1.01);
}

/// Guards against the speed of a former process run that is applied to its successor.
#[test]
fn engine_that_returns_under_its_id_is_learned_anew() {
    let mut gateway = two_engines();
    apply(&mut gateway, 0, vec![pace("e-1", 200, 0)]);
    let removed = GatewayUpdate {
        first: false,
        document: None,
        removed: vec!["e-1".into()],
        ..update(1, 1, Vec::new())
    };
    gateway.update(at(10), removed);
    let returned = GatewayUpdate {
        first: false,
        document: None,
        ..update(1, 1, vec![record("e-1", "text")])
    };
    gateway.update(at(20), returned);
    assert_eq!(factor(&gateway, 20, "e-1"), 1.0);
}

/// Guards against figures of a faulty server that change the selection, and against a log line for
/// each of its responses.
#[rstest]
#[case::zero(Stated::Value(0))]
#[case::too_large(Stated::Value(10_001))]
#[case::largest(Stated::Value(u32::MAX))]
#[case::malformed(Stated::Malformed)]
fn absurd_machine_times_are_ignored_and_reported_once(#[case] stated: Stated<u32>) {
    let mut gateway = two_engines();
    for now in 0..100 {
        gateway.record_load(at(now), &"e-1".into(), load(stated));
    }
    assert_eq!(factor(&gateway, 100, "e-1"), 1.0);
    assert_eq!(gateway.take_malformed_loads(), vec!["e-1".into()]);
    assert!(gateway.take_malformed_loads().is_empty());
    assert!(gateway.report(at(100)).paces.is_empty());
}

/// Guards against factors out of range, and against instances that are added by a factor.
#[test]
fn absurd_factors_are_ignored() {
    let mut gateway = two_engines();
    let paces = vec![
        pace("e-1", 0, 0),
        pace("e-2", u32::MAX, u32::MAX),
        pace("e-9", 300, 300),
    ];
    apply(&mut gateway, 0, paces);
    for engine in ["e-1", "e-2", "e-9"] {
        assert_eq!(factor(&gateway, 0, engine), 1.0);
    }
    assert_eq!(gateway.instance_count(), 2);
    apply(&mut gateway, 0, vec![pace("e-1", 10_000, 0)]);
    assert_eq!(factor(&gateway, 0, "e-1"), 10.0, "bounded");
}

/// Guards against a response whose send began before the engine was replaced.
#[test]
fn response_of_an_unknown_instance_is_ignored() {
    let mut gateway = two_engines();
    let mut ticket = begin(&mut gateway, 0, "/text/");
    sent_to(&mut gateway, 0, &mut ticket).expect("sent");
    let record = ticket.send_record(&"e-9".into());
    gateway.record_first_byte(at(10), &record, Duration::from_millis(10));
    assert!(gateway.report(at(100)).paces.is_empty());
}

/// Guards against slow engines that are never tried again, and against urgent requests that try
/// them.
#[test]
fn only_requests_that_can_wait_explore() {
    let mut gateway = two_engines();
    let document = update(1, 1, Vec::new()).document.expect("document");
    let mut document = DeploymentDocument::clone(&document);
    document.version = 2;
    let urgent = document.routes.iter().find(|it| it.path_prefix == "/text/");
    let mut patient = urgent.expect("route").clone();
    patient.name = "later".to_owned();
    patient.path_prefix = "/later/".to_owned();
    patient.objective_millis *= 4;
    document.routes.push(patient);
    let changed = GatewayUpdate {
        first: false,
        document: Some(document.into()),
        ..update(1, 1, Vec::new())
    };
    gateway.update(at(1), changed);
    apply(&mut gateway, 2, vec![pace("e-1", 1_000, 0)]);
    let mut to_slow = |path: &str, identities: std::ops::Range<u64>| {
        let sent = identities.filter(|identity| {
            let now = 10 + identity * 10;
            let route = gateway.route(at(now), "h.example", path).expect("route");
            let description = RequestDescription {
                attempt: "r".to_owned(),
                model: Some("a".into()),
                prompt: vec![PromptPart {
                    identity: *identity,
                    tokens: 200,
                }]
                .into(),
                ..RequestDescription::default()
            };
            let mut ticket = gateway.begin(at(now), route, None, description, 0.5);
            let instance = sent_to(&mut gateway, now, &mut ticket).expect("sent");
            let end = SendOutcome::Responded(Duration::from_millis(5));
            let record = ticket.send_record(&instance);
            gateway.record_send_outcome(at(now + 5), &record, end);
            instance == "e-1".into()
        });
        sent.count()
    };
    assert_eq!(to_slow("/text/", 0..320), 0);
    let explored = to_slow("/later/", 320..640);
    assert!(
        (1..=20).contains(&explored),
        "{explored} of 20 explorations"
    );
}
