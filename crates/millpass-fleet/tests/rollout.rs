//! Events and outputs show the propagation of a document version to each gateway.

mod harness;

use harness::{Leader, at};
use millpass_fleet::FleetOutput;
use millpass_proto::Duration;

fn events(outputs: &[FleetOutput], name: &str) -> Vec<String> {
    let events = outputs.iter().filter_map(|output| match output {
        FleetOutput::Event(event) if event.name == name => {
            let pairs = event.pairs.iter();
            let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
            Some(pairs.join(" "))
        }
        _ => None,
    });
    events.collect()
}

fn reached(outputs: &[FleetOutput]) -> Vec<Duration> {
    let times = outputs.iter().filter_map(|output| match output {
        FleetOutput::DocumentAcknowledged(after) => Some(*after),
        _ => None,
    });
    times.collect()
}

#[test]
fn propagation_time_is_output_per_gateway_and_completion_logged() {
    let mut leader = Leader::new(0, 0);
    leader.report(1_000, 1, 1);
    leader.report(1_000, 2, 1);
    leader.run(1_010);
    leader.commit_next_version(1_100);
    leader.run(1_100);
    leader.report(1_140, 1, 2);
    let first = leader.run(1_150);
    assert_eq!(reached(&first), [Duration::from_millis(40)]);
    assert_eq!(events(&first, "document-everywhere"), [""; 0]);
    leader.report(1_300, 2, 2);
    let last = leader.run(1_300);
    assert_eq!(reached(&last), [Duration::from_millis(200)]);
    assert_eq!(
        events(&last, "document-everywhere"),
        ["version=2 gateways=2 not_connected=0 after_ms=200"]
    );
    leader.report(1_400, 2, 2);
    let later = leader.run(1_400);
    assert!(reached(&later).is_empty(), "output once per gateway");
    assert!(events(&later, "document-everywhere").is_empty());
}

#[test]
fn lagging_gateways_are_logged_with_reason() {
    let mut leader = Leader::new(0, 0);
    for connection in 1..=3 {
        leader.report(1_000, connection, 1);
    }
    leader.run(1_010);
    leader.commit_next_version(2_000);
    leader.run(2_000);
    leader.report(2_100, 1, 2);
    leader.report(2_900, 2, 1);
    leader.fleet.handle_disconnect(at(2_500), 3);
    assert!(events(&leader.run(2_990), "document-lags").is_empty());
    let lagging = events(&leader.run(3_000), "document-lags");
    assert_eq!(
        lagging,
        [
            "version=2 after_ms=1000 lagging=2 gateway=g-2 held=1 why=sent-not-reported heard_ms=100 sent_ms=10 \
             connected_ms=2000",
            "version=2 after_ms=1000 lagging=2 gateway=g-3 held=1 why=not-connected heard_ms=2000 lost_ms=500",
        ]
    );
    assert!(
        events(&leader.run(3_900), "document-lags").is_empty(),
        "the interval doubles"
    );
    assert_eq!(events(&leader.run(4_000), "document-lags").len(), 2);
}

/// A gateway unknown to this leader may have had the version for long, so no propagation time is
/// output.
#[test]
fn version_held_on_connect_is_not_measured() {
    let mut leader = Leader::new(0, 0);
    leader.run(1_000);
    leader.report(60_000, 1, 1);
    assert!(reached(&leader.run(60_000)).is_empty());
    leader.fleet.handle_disconnect(at(60_100), 1);
    leader.report(60_200, 7, 1);
    assert!(
        reached(&leader.run(60_200)).is_empty(),
        "its version is known from its previous connection"
    );
}

#[test]
fn number_of_logged_lagging_gateways_is_bounded() {
    let mut leader = Leader::new(0, 0);
    for connection in 0..100 {
        leader.report(1_000, connection, 1);
    }
    leader.commit_next_version(2_000);
    leader.run(2_000);
    let lagging = events(&leader.run(3_000), "document-lags");
    assert_eq!(lagging.len(), 8);
    assert!(lagging[0].contains("lagging=100"), "{lagging:?}");
}

#[test]
fn propagation_time_of_departure_is_output_per_gateway() {
    let propagation_times = |leader: &mut Leader, now: u64| {
        let outputs = leader.run(now).into_iter();
        let times = outputs.filter_map(|output| match output {
            FleetOutput::DepartureAcknowledged(after) => Some(after.as_millis()),
            _ => None,
        });
        times.collect::<Vec<_>>()
    };
    let mut leader = Leader::new(0, 0);
    leader.fleet.record_departure_commit(at(900), 4);
    leader.report_as_of(1_000, 1, 5);
    assert_eq!(
        propagation_times(&mut leader, 1_000),
        [0; 0],
        "what it received before it connected is not measured"
    );
    leader.fleet.record_departure_commit(at(1_100), 7);
    leader.fleet.record_departure_commit(at(1_120), 9);
    leader.report_as_of(1_150, 1, 7);
    assert_eq!(propagation_times(&mut leader, 1_150), [50]);
    leader.report_as_of(1_200, 1, 7);
    assert_eq!(propagation_times(&mut leader, 1_200), [0; 0]);
    leader.report_as_of(1_250, 1, 12);
    assert_eq!(propagation_times(&mut leader, 1_250), [130]);
}
