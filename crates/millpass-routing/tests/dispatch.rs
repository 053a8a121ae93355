//! Backend selection, fair queues, retries, circuit breakers and resumed streams.

mod common;

use AttemptFailure::*;
use common::*;
use millpass_proto::*;
use millpass_routing::*;
use rstest::rstest;
use std::collections::BTreeMap;

fn changed(mut route: ReplicaRoute, change: impl FnOnce(&mut ReplicaRoute)) -> ReplicaRoute {
    change(&mut route);
    route
}

#[rstest]
#[case::same_zone(vec![replica(1, "m1", "south"), replica(2, "m1", "north")], Some(2))]
#[case::other_zone_as_fallback(vec![replica(1, "m1", "south")], Some(1))]
#[case::not_leaving(vec![changed(replica(1, "m1", "north"), |route| route.leaving = true)], None)]
#[case::not_loading(
    vec![changed(replica(1, "m1", "north"), |route| route.phase = ReplicaPhase::Loading)], None)]
#[case::not_unloading(
    vec![changed(replica(1, "m1", "north"), |route| route.phase = ReplicaPhase::Unloading)], None)]
#[case::not_prefill(
    vec![changed(replica(1, "m1", "north"), |route| route.role = EngineRole::Prefill)], None)]
#[case::other_model(vec![replica(1, "m2", "north")], None)]
fn eligible_replica_is_selected(
    #[case] replicas: Vec<ReplicaRoute>,
    #[case] expected: Option<u64>,
) {
    let mut driver = Driver::ready(replicas, vec![]);
    let (_, outputs) = driver.request("t1", "m1");
    let slots = dispatches(&outputs)
        .first()
        .and_then(|dispatch| dispatch.slot.clone());
    assert_eq!(slots.map(|(slot, _)| slot.0), expected);
}

#[test]
fn equal_prefixes_use_one_replica_up_to_the_locality_slack() {
    let wide = |slot| changed(replica(slot, "m1", "north"), |route| route.concurrency = 8);
    let mut driver = Driver::ready(vec![wide(1), wide(2), wide(3)], vec![]);
    let mut counts = BTreeMap::new();
    for _ in 0..6 {
        let (_, outputs) = driver.request("t1", "m1");
        let slot = dispatches(&outputs)[0].slot.clone().unwrap().0;
        *counts.entry(slot).or_insert(0) += 1;
    }
    let mut sizes: Vec<_> = counts.into_values().collect();
    sizes.sort_unstable();
    assert_eq!(
        sizes.last(),
        Some(&3),
        "locality slack of two requests: {sizes:?}"
    );
}

#[test]
fn web_requests_go_to_the_least_loaded_backend_of_the_zone() {
    let mut driver = Driver::ready(
        vec![],
        vec![web(1, "north"), web(2, "north"), web(3, "south")],
    );
    let mut counts = BTreeMap::new();
    for _ in 0..10 {
        let arrival = driver.arrival("t1", web_target("/x", true));
        let (_, outputs) = driver.arrive(arrival);
        *counts
            .entry(dispatches(&outputs)[0].backend.0.clone())
            .or_insert(0) += 1;
    }
    assert_eq!(
        counts,
        BTreeMap::from([("web-1".to_owned(), 5), ("web-2".to_owned(), 5)])
    );
}

#[test]
fn observed_load_of_other_routers_counts_until_it_expires() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let slot = EngineSlotReport {
        slot: SlotId(1),
        model: "m1".into(),
        version: "v1".into(),
        fence: LogPosition::ZERO,
        phase: EngineSlotPhase::Loaded,
        adapters: vec![],
        running: 1,
        waiting: 1,
    };
    let report = EngineReport {
        backend: "engine-1".into(),
        incarnation: Incarnation(1),
        zone: "north".into(),
        role: EngineRole::Mixed,
        sequence: 1,
        highest_fence: LogPosition::ZERO,
        accelerator_bytes: vec![],
        used_bytes: vec![],
        slots: vec![slot],
        checkpoints: vec![],
    };
    driver.step(RoutingInput::Observed(BackendObservation::Engine(report)));
    let (number, outputs) = driver.request("t1", "m1");
    assert!(dispatches(&outputs).is_empty());
    driver.tick(1_000);
    let update = driver.update();
    driver.step(RoutingInput::Update(update));
    assert_eq!(dispatches(&driver.tick(1_000))[0].request, number);
}

#[test]
fn urgent_requests_go_first_and_tenants_share_by_weight() {
    let mut driver = Driver::ready(vec![], vec![]);
    let mut tenant_of = BTreeMap::new();
    for _ in 0..40 {
        for tenant in ["batcher", "t1", "t2"] {
            tenant_of.insert(driver.request(tenant, "m1").0, tenant);
        }
    }
    let mut narrow = replica(1, "m1", "north");
    narrow.concurrency = 1;
    let mut served = Vec::new();
    let mut outputs = driver.update_routes(vec![narrow], vec![]);
    for _ in 0..40 {
        let number = dispatches(&outputs)[0].request;
        served.push(tenant_of[&number]);
        outputs = driver.complete(number);
    }
    let count = |name| served.iter().filter(|tenant| **tenant == name).count();
    assert_eq!((count("t1"), count("t2"), count("batcher")), (10, 30, 0));
}

#[rstest]
#[case::not_sent(NotSent, true, Executed::No)]
#[case::refused(RefusedByBackend, true, Executed::No)]
#[case::may_have_run(MayHaveRun, true, Executed::Unknown)]
fn model_requests_are_retried_on_other_backends_up_to_the_limit(
    #[case] failure: AttemptFailure,
    #[case] again: bool,
    #[case] executed: Executed,
) {
    let replicas = vec![replica(1, "m1", "north"), replica(2, "m1", "south")];
    let mut driver = Driver::ready(replicas, vec![]);
    let (number, outputs) = driver.request("t1", "m1");
    assert_eq!(dispatches(&outputs)[0].backend, "engine-1".into());
    let outputs = driver.fail(number, failure);
    assert_eq!(!dispatches(&outputs).is_empty(), again);
    assert_eq!(dispatches(&outputs)[0].backend, "engine-2".into());
    driver.fail(number, failure);
    let outputs = driver.fail(number, failure);
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::BackendFailed, executed)]
    );
}

#[rstest]
#[case::safe("/x", true, MayHaveRun, true)]
#[case::unsafe_method("/x", false, MayHaveRun, false)]
#[case::unsafe_not_sent("/x", false, NotSent, true)]
#[case::broken("/x", true, BrokenOff { tokens: 0 }, false)]
fn web_requests_are_retried_only_if_repeatable(
    #[case] path: &str,
    #[case] safe: bool,
    #[case] failure: AttemptFailure,
    #[case] again: bool,
) {
    let mut driver = Driver::ready(vec![], vec![web(1, "north"), web(2, "north")]);
    let arrival = driver.arrival("t1", web_target(path, safe));
    let (number, _) = driver.arrive(arrival);
    let outputs = driver.fail(number, failure);
    assert_eq!(dispatches(&outputs).len(), usize::from(again));
    let ended = refusals(&outputs).len() + break_offs(&outputs).len();
    assert_eq!(ended, usize::from(!again));
}

#[test]
fn stream_resumes_from_its_position_on_the_same_version() {
    let newer = changed(replica(2, "m1", "north"), |route| {
        route.version = "v2".into()
    });
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (number, _) = driver.request("t1", "m1");
    driver.update_routes(vec![replica(3, "m1", "south"), newer.clone()], vec![]);
    let outputs = driver.fail(number, BrokenOff { tokens: 17 });
    let resumed = dispatches(&outputs)[0];
    assert_eq!(
        (resumed.backend.as_str(), resumed.resume_from),
        ("engine-3", 17)
    );
    driver.update_routes(vec![newer], vec![]);
    driver.fail(number, NotSent);
    let expected = [(number, RefusalReason::BackendFailed)];
    assert_eq!(break_offs(&driver.tick(1)), expected);
}

#[test]
fn retries_stay_within_the_budget() {
    let mut tolerant = settings();
    tolerant.circuit_failures = 1_000;
    let replicas = vec![replica(1, "m1", "north"), replica(2, "m1", "north")];
    let mut driver = Driver::ready_with(tolerant, replicas, vec![]);
    for _ in 0..200 {
        let (number, _) = driver.request("t1", "m1");
        while dispatches(&driver.fail(number, NotSent)).len() == 1 {}
    }
    let snapshot = driver.routing.snapshot(driver.now);
    let retries = snapshot.retries;
    assert!(
        (40..=50).contains(&retries),
        "20 % of 200 plus a burst of 10: {retries}"
    );
}

#[test]
fn failing_backend_is_ejected_then_probed_once() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (number, _) = driver.request("t1", "m1");
    for _ in 0..3 {
        driver.fail(number, NotSent);
    }
    let (waiting, outputs) = driver.request("t1", "m1");
    assert!(dispatches(&outputs).is_empty());
    let mut short_deadline = driver.arrival("t1", model_target("m1"));
    short_deadline.deadline = driver.now + Duration::from_millis(500);
    let (short_deadline, outputs) = driver.arrive(short_deadline);
    assert_eq!(
        refusals(&outputs),
        [(short_deadline, RefusalReason::Hopeless, Executed::No)]
    );
    let (second, _) = driver.request("t1", "m1");
    let outputs = driver.tick(1_000);
    assert_eq!(dispatches(&outputs).len(), 1, "one probe");
    assert_eq!(dispatches(&outputs)[0].request, waiting);
    assert_eq!(dispatches(&driver.complete(waiting))[0].request, second);
}

#[test]
fn caller_disconnect_frees_capacity() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (first, _) = driver.request("t1", "m1");
    driver.request("t1", "m1");
    let (disconnected, _) = driver.request("t1", "m1");
    let (waiting, _) = driver.request("t1", "m1");
    driver.step(RoutingInput::CallerGone(disconnected));
    let outputs = driver.step(RoutingInput::CallerGone(first));
    assert!(matches!(outputs[0], RoutingOutput::Cancel(number) if number == first));
    assert_eq!(dispatches(&outputs)[0].request, waiting);
}
