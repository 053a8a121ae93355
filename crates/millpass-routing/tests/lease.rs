//! Leases, terms, revisions and reports.

mod common;

use common::*;
use millpass_proto::*;
use millpass_routing::*;
use rstest::rstest;

#[test]
fn nothing_is_admitted_before_the_first_lease() {
    let mut driver = Driver::without_lease(settings());
    let (number, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::NoLease, Executed::No)]
    );
}

#[test]
fn lease_counts_from_when_its_report_was_sent() {
    let mut driver = Driver::without_lease(settings());
    driver.step(RoutingInput::LinkUp);
    let sent = driver.now;
    driver.now = driver.now + Duration::from_millis(400);
    let mut update = driver.update();
    update.configuration = Some(driver.full_catalog(catalog_objects()));
    update.placement = Some(driver.full_routes(vec![replica(1, "m1", "north")], vec![]));
    driver.step(RoutingInput::Update(update));
    let (_, outputs) = driver.request("t1", "m1");
    let lease_end = sent + Duration::from_millis(LEASE_MILLIS);
    assert_eq!(dispatches(&outputs)[0].send_before, lease_end);
    let mut short_deadline = driver.arrival("t1", model_target("m1"));
    short_deadline.deadline = driver.now + Duration::from_millis(10);
    let deadline = short_deadline.deadline;
    let (_, outputs) = driver.arrive(short_deadline);
    assert_eq!(dispatches(&outputs)[0].send_before, deadline);
}

#[test]
fn lease_expiry_refuses_waiting_requests_and_keeps_attempts_in_flight() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (running, _) = driver.request("t1", "m1");
    let (waiting, _) = driver.request("t1", "m2");
    driver.step(RoutingInput::LinkDown);
    let outputs = driver.tick(LEASE_MILLIS);
    assert_eq!(
        refusals(&outputs),
        [(waiting, RefusalReason::NoLease, Executed::No)]
    );
    let outputs = driver.complete(running);
    assert!(refusals(&outputs).is_empty());
}

#[test]
fn router_resuming_from_a_freeze_dispatches_nothing() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (first, _) = driver.request("t1", "m1");
    driver.request("t1", "m1");
    let (waiting, _) = driver.request("t1", "m1");
    driver.now = driver.now + Duration::from_millis(LEASE_MILLIS + 5_000);
    // The completion frees capacity, but the lease is checked first.
    let outputs = driver.complete(first);
    assert_eq!(
        refusals(&outputs),
        [(waiting, RefusalReason::NoLease, Executed::No)]
    );
    assert!(dispatches(&outputs).is_empty());
}

#[rstest]
#[case::lower_term(4, 0)]
#[case::unknown_sequence(5, 99)]
fn unusable_update_is_ignored(#[case] term: u64, #[case] ahead: u64) {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    driver.tick(1_000);
    let mut update = driver.update();
    update.term = term;
    update.sequence += ahead;
    update.placement = Some(driver.full_routes(vec![], vec![]));
    driver.step(RoutingInput::Update(update));
    let (_, outputs) = driver.request("t1", "m1");
    assert_eq!(dispatches(&outputs).len(), 1);
    driver.now = driver.now + Duration::from_millis(LEASE_MILLIS - 1_000);
    let (number, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::NoLease, Executed::No)]
    );
}

#[test]
fn delta_gap_does_not_extend_the_lease_and_expedites_the_next_report() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    driver.tick(1_000);
    let mut update = driver.update();
    let mut delta = driver.full_catalog(vec![model_object("m7")]);
    (delta.full, delta.from, delta.to) =
        (false, ConfigurationRevision(8), ConfigurationRevision(9));
    update.configuration = Some(delta);
    driver.step(RoutingInput::Update(update));
    assert!(reports(&driver.tick(50)));
    let report = driver.last_report.clone().unwrap();
    assert_eq!(report.configuration, ConfigurationRevision(1));
    let (_, outputs) = driver.request("t1", "m7");
    assert_eq!(refusals(&outputs)[0].1, RefusalReason::NotFound);
    driver.tick(LEASE_MILLIS - 1_050);
    assert_eq!(
        refusals(&driver.request("t1", "m1").1)[0].1,
        RefusalReason::NoLease
    );
}

#[test]
fn older_revisions_never_replace_newer_ones() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    driver.update_routes(vec![replica(2, "m1", "north")], vec![]);
    driver.tick(1_000);
    let mut update = driver.update();
    update.term = 6;
    let mut old = driver.full_routes(vec![replica(1, "m1", "north")], vec![]);
    old.to = PlacementRevision(1);
    update.placement = Some(old);
    driver.step(RoutingInput::Update(update));
    let (_, outputs) = driver.request("t1", "m1");
    assert_eq!(dispatches(&outputs)[0].backend, "engine-2".into());
}

#[test]
fn reports_are_sent_at_their_interval_and_at_once_for_a_first_waiting_request() {
    let mut driver = Driver::ready(vec![], vec![]);
    assert!(!reports(&driver.tick(999)));
    assert!(reports(&driver.tick(1)));
    driver.tick(60);
    let (_, outputs) = driver.request("t1", "m1");
    assert!(reports(&outputs), "first waiting request of m1");
    let (_, outputs) = driver.request("t1", "m2");
    assert!(
        !reports(&outputs),
        "no more often than the shortest interval"
    );
    assert!(reports(&driver.tick(50)));
    let demand = driver.last_report.clone().unwrap().demand;
    let waiting: Vec<_> = demand.iter().map(|entry| entry.waiting).collect();
    assert_eq!(waiting, [1, 1]);
    assert_eq!(demand[0].oldest_wait_millis, 50);
}

#[test]
fn demand_is_reported_until_acknowledged() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (number, _) = driver.request("t1", "m1");
    driver.complete(number);
    driver.tick(1_000);
    let lost = driver.last_report.clone().unwrap();
    assert_eq!((lost.demand[0].arrivals, lost.demand[0].in_flight), (1, 0));
    driver.tick(1_000);
    assert_eq!(driver.last_report.clone().unwrap().demand, lost.demand);
    let update = driver.update();
    driver.step(RoutingInput::Update(update));
    driver.tick(1_000);
    assert!(driver.last_report.clone().unwrap().demand.is_empty());
}

#[test]
fn observations_are_sent_until_acknowledged_and_again_to_a_new_leader() {
    let mut driver = Driver::ready(vec![], vec![]);
    driver.tick(1_000);
    let mut update = driver.update();
    update.watch = Some(WatchList {
        backends: vec![WatchedBackend {
            backend: "engine-1".into(),
            kind: BackendKind::Engine,
            address: "127.0.0.1:1001".to_owned(),
        }],
    });
    let outputs = driver.step(RoutingInput::Update(update));
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, RoutingOutput::Watch(list) if list.len() == 1))
    );
    for name in ["engine-1", "engine-9"] {
        let observation = BackendObservation::Unreachable(name.into());
        driver.step(RoutingInput::Observed(observation));
    }
    let mut counts = Vec::new();
    for acknowledged in [false, true, false] {
        driver.tick(1_000);
        counts.push(driver.last_report.clone().unwrap().observations.len());
        if acknowledged {
            let update = driver.update();
            driver.step(RoutingInput::Update(update));
        }
    }
    assert_eq!(counts, [1, 1, 0]);
    driver.step(RoutingInput::LinkDown);
    let outputs = driver.step(RoutingInput::LinkUp);
    assert!(matches!(outputs[0], RoutingOutput::SendHello(_)));
    assert_eq!(driver.last_report.clone().unwrap().observations.len(), 1);
}

fn engine_observation(sequence: u64, phase: EngineSlotPhase, running: u32) -> RoutingInput {
    let slot = EngineSlotReport {
        slot: SlotId(1),
        model: "m1".into(),
        version: "v1".into(),
        fence: LogPosition::ZERO,
        phase,
        adapters: vec![],
        running,
        waiting: 0,
    };
    RoutingInput::Observed(BackendObservation::Engine(EngineReport {
        backend: "engine-1".into(),
        incarnation: Incarnation(1),
        zone: "north".into(),
        role: EngineRole::Mixed,
        sequence,
        highest_fence: LogPosition::ZERO,
        accelerator_bytes: vec![],
        used_bytes: vec![],
        slots: vec![slot],
        checkpoints: vec![],
    }))
}

/// Guards against delayed reports of finished loads, which may unblock requests at any router. A
/// changed load alone is not urgent.
#[rstest]
#[case::load_ended(EngineSlotPhase::Loaded, 0, true)]
#[case::load_goes_on(EngineSlotPhase::Loading, 3, false)]
fn finished_load_is_reported_at_once(
    #[case] phase: EngineSlotPhase,
    #[case] running: u32,
    #[case] at_once: bool,
) {
    let mut driver = Driver::ready(vec![], vec![]);
    driver.tick(1_000);
    let mut update = driver.update();
    update.watch = Some(WatchList {
        backends: vec![WatchedBackend {
            backend: "engine-1".into(),
            kind: BackendKind::Engine,
            address: "127.0.0.1:1001".to_owned(),
        }],
    });
    driver.step(RoutingInput::Update(update));
    driver.step(engine_observation(1, EngineSlotPhase::Loading, 0));
    driver.tick(1_000);
    driver.tick(100);
    let outputs = driver.step(engine_observation(2, phase, running));
    assert_eq!(reports(&outputs), at_once);
}

#[test]
fn available_changes_trigger_a_report() {
    let mut driver = Driver::ready(vec![], vec![]);
    driver.tick(1_000);
    driver.tick(100);
    assert!(reports(&driver.step(RoutingInput::ChangesAvailable)));
}
