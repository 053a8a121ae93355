//! When an instance or a service counts as out of reach, and how it is found again.

use millpass_proto::{Duration, InstanceId, ServiceName, Timestamp};
use millpass_reach::{ConnectionFailure, KnownInstances, PathChange, Paths, ReachSettings};
use proptest::prelude::*;

const TIMED_OUT: ConnectionFailure = ConnectionFailure::Other;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service() -> ServiceName {
    "web".into()
}

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|number| format!("i-{number}").as_str().into())
        .collect()
}

fn paths() -> Paths {
    Paths::new(ReachSettings::default(), 0)
}

fn probes(paths: &mut Paths, now: u64, known: &[InstanceId]) -> Vec<InstanceId> {
    let known: Vec<&InstanceId> = known.iter().collect();
    let service = service();
    let known = KnownInstances {
        service: &service,
        instances: &known,
    };
    paths.take_probes(at(now), &known)
}

/// Guards against giving a service up because one of its instances ended.
#[test]
fn one_failed_instance_does_not_make_its_service_unreachable() {
    let known = instances(5);
    let mut paths = paths();
    for now in [10, 20, 30, 40] {
        paths.record_failed(at(now), &service(), &known[0], known.len(), TIMED_OUT);
    }
    assert!(paths.is_lost(&service(), &known[0]));
    assert!(!paths.is_lost(&service(), &known[1]));
    assert!(!paths.is_service_lost(&service()));
}

/// Guards against trying the instances of a partitioned service one by one.
#[test]
fn failures_of_a_whole_sample_make_the_service_unreachable() {
    let known = instances(20);
    let mut paths = paths();
    paths.record_failed(at(10), &service(), &known[0], known.len(), TIMED_OUT);
    let sampled = probes(&mut paths, 11, &known);
    assert_eq!(sampled.len(), 5, "{sampled:?}");
    assert!(!sampled.contains(&known[0]));
    for (number, instance) in sampled.iter().enumerate() {
        assert!(!paths.is_service_lost(&service()), "after {number}");
        paths.record_failed(at(12), &service(), instance, known.len(), TIMED_OUT);
    }
    assert!(paths.is_service_lost(&service()));
    assert!(
        known
            .iter()
            .all(|instance| paths.is_lost(&service(), instance))
    );
    assert_eq!(paths.lost_since(&service()), Some(at(12)));
}

/// Guards against six connections for each instance that ends.
#[test]
fn a_refused_connection_is_compared_with_one_other_first() {
    let known = instances(20);
    let mut paths = paths();
    let refused = ConnectionFailure::Refused;
    paths.record_failed(at(10), &service(), &known[0], known.len(), refused);
    let sampled = probes(&mut paths, 11, &known);
    assert_eq!(sampled.len(), 1, "{sampled:?}");
    paths.record_failed(at(12), &service(), &sampled[0], known.len(), refused);
    assert_eq!(probes(&mut paths, 13, &known).len(), 5);
}

/// Guards against taking many ended instances, whose probes fail again and again, for a partition.
#[test]
fn ended_instances_do_not_make_their_service_unreachable() {
    let known = instances(40);
    let mut paths = paths();
    let refused = ConnectionFailure::Refused;
    for now in (0..10_000).step_by(5) {
        if now < 40 {
            let instance = &known[now as usize / 5];
            paths.record_failed(at(now), &service(), instance, known.len(), refused);
        }
        for instance in probes(&mut paths, now, &known) {
            let has_ended = known[..8].contains(&instance);
            match has_ended {
                true => paths.record_failed(at(now), &service(), &instance, known.len(), refused),
                false => paths.record_connected(at(now), &service(), &instance, || known.len()),
            }
        }
        assert!(!paths.is_service_lost(&service()), "{now} ms");
    }
    assert_eq!(paths.lost_instances().count(), 8);
}

#[test]
fn a_success_in_a_sample_keeps_the_service_reachable() {
    let known = instances(20);
    let mut paths = paths();
    paths.record_failed(at(10), &service(), &known[0], known.len(), TIMED_OUT);
    let sampled = probes(&mut paths, 11, &known);
    for instance in &sampled[..4] {
        paths.record_failed(at(12), &service(), instance, known.len(), TIMED_OUT);
    }
    paths.record_connected(at(13), &service(), &sampled[4], || known.len());
    assert!(!paths.is_service_lost(&service()));
    paths.record_failed(at(14), &service(), &known[0], known.len(), TIMED_OUT);
    assert!(!paths.is_service_lost(&service()));
}

/// Guards against a single instance whose failure can't be compared with another's.
#[test]
fn the_only_instance_of_a_service_decides_alone() {
    let known = instances(1);
    let mut paths = paths();
    paths.record_failed(at(10), &service(), &known[0], 1, TIMED_OUT);
    assert!(paths.is_service_lost(&service()));
    paths.record_connected(at(300), &service(), &known[0], || 1);
    assert!(!paths.is_service_lost(&service()));
}

/// Guards against returning to a service after one lucky connection during a partition that flaps.
#[test]
fn two_instances_without_a_failure_in_between_confirm_that_a_service_is_reached() {
    let known = instances(4);
    let mut paths = paths();
    for instance in &known {
        paths.record_failed(at(10), &service(), instance, known.len(), TIMED_OUT);
    }
    paths.record_connected(at(300), &service(), &known[0], || known.len());
    assert!(paths.is_service_lost(&service()));
    paths.record_failed(at(310), &service(), &known[1], known.len(), TIMED_OUT);
    paths.record_connected(at(320), &service(), &known[2], || known.len());
    assert!(paths.is_service_lost(&service()), "a failure in between");
    paths.record_connected(at(330), &service(), &known[0], || known.len());
    assert!(!paths.is_service_lost(&service()));
    let changes = paths.take_changes();
    let length = Duration::from_millis(320);
    assert!(changes.contains(&PathChange::ServiceReached(service(), length)));
}

#[test]
fn probes_back_off_while_a_service_is_unreachable() {
    let known = instances(4);
    let mut paths = paths();
    for instance in &known {
        paths.record_failed(at(0), &service(), instance, known.len(), TIMED_OUT);
    }
    let mut sent = Vec::new();
    for now in (0..5_000).step_by(10) {
        if !probes(&mut paths, now, &known).is_empty() {
            sent.push(now);
        }
    }
    assert_eq!(sent[..4], [200, 600, 1_400, 2_400]);
}

#[test]
fn a_path_of_an_instance_that_left_is_forgotten() {
    let known = instances(3);
    let mut paths = paths();
    paths.record_failed(at(0), &service(), &known[0], known.len(), TIMED_OUT);
    probes(&mut paths, 500, &known[1..]);
    assert_eq!(paths.lost_instances().count(), 0);
}

/// Guards against a connection for each request of a busy service whose responses take long.
#[test]
fn silence_is_probed_at_most_once_a_second() {
    let known = instances(3);
    let mut paths = paths();
    let probed = (0..10_000)
        .step_by(10)
        .filter(|now| paths.record_silence(at(*now), &service(), &known[0]))
        .count();
    assert_eq!(probed, 10);
}

#[derive(Clone, Debug)]
enum Step {
    Connected(usize),
    Failed(usize),
    Probe,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..6usize).prop_map(Step::Connected),
        (0..6usize).prop_map(Step::Failed),
        Just(Step::Probe),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happened before, a gateway whose connections all work again uses every instance
    /// within a few probes.
    #[test]
    fn every_path_is_used_again_once_connections_work(steps in steps()) {
        let known = instances(6);
        let mut paths = paths();
        let mut now = 0;
        for step in steps {
            now += 37;
            match step {
                Step::Connected(at_instance) => {
                    paths.record_connected(at(now), &service(), &known[at_instance], || known.len());
                }
                Step::Failed(at_instance) => {
                    paths.record_failed(at(now), &service(), &known[at_instance], known.len(), TIMED_OUT);
                }
                Step::Probe => drop(probes(&mut paths, now, &known)),
            }
        }
        for _ in 0..500 {
            now += 10;
            for instance in probes(&mut paths, now, &known) {
                paths.record_connected(at(now), &service(), &instance, || known.len());
            }
        }
        for instance in &known {
            prop_assert!(!paths.is_lost(&service(), instance), "{instance}");
        }
        prop_assert_eq!(paths.next_probe_at(), None);
    }
}
