//! Authentication, target lookup, policies, limits, early refusals and deadlines.

mod common;

use common::*;
use millpass_proto::*;
use millpass_routing::*;
use rstest::rstest;

#[rstest]
#[case::unknown_key("nobody", model_target("m1"), Some(RefusalReason::UnknownKey))]
#[case::unknown_model("t1", model_target("m9"), Some(RefusalReason::NotFound))]
#[case::denied("t2", model_target("m2"), Some(RefusalReason::PolicyDenied))]
#[case::key_required(
    "t1",
    web_target("/publish/7?a=b", false),
    Some(RefusalReason::KeyRequired)
)]
#[case::model("t1", model_target("m1"), None)]
#[case::web_by_longest_prefix("t1", web_target("/deep/x", true), None)]
fn arrivals_are_admitted_or_refused(
    #[case] tenant: &str,
    #[case] target: Target,
    #[case] expected: Option<RefusalReason>,
) {
    let mut deep = web(2, "north");
    deep.group = "deep".into();
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![deep]);
    let arrival = driver.arrival(tenant, target);
    let (number, outputs) = driver.arrive(arrival);
    match expected {
        Some(reason) => assert_eq!(refusals(&outputs), [(number, reason, Executed::No)]),
        None => assert_eq!(dispatches(&outputs).len(), 1, "{outputs:?}"),
    }
}

#[test]
fn an_adapter_must_belong_to_the_model_and_be_loaded() {
    let mut with_adapter = replica(2, "m1", "south");
    with_adapter.adapters.push("a1".into());
    let mut driver = Driver::ready(vec![replica(1, "m1", "north"), with_adapter], vec![]);
    let target = |model: &str| Target::Model {
        model: model.into(),
        adapter: Some("a1".into()),
        kind: "chat",
        prefix_hash: 1,
    };
    let arrival = driver.arrival("t1", target("m1"));
    let (_, outputs) = driver.arrive(arrival);
    assert_eq!(dispatches(&outputs)[0].slot.as_ref().unwrap().0, SlotId(2));
    let arrival = driver.arrival("t1", target("m2"));
    let (number, outputs) = driver.arrive(arrival);
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::NotFound, Executed::No)]
    );
}

#[test]
fn policy_denials_name_the_policy() {
    let mut driver = Driver::ready(vec![], vec![]);
    let (number, outputs) = driver.request("t2", "m2");
    let RoutingOutput::Refuse(_, refusal) = &outputs[0] else {
        panic!("{outputs:?}");
    };
    assert!(refusal.message.contains("barred"), "{}", refusal.message);
    let explanation = driver.routing.explain(number, driver.now).unwrap();
    assert_eq!(explanation.policy, Some("barred".into()));
    assert_eq!(
        explanation.outcome,
        Outcome::Refused(RefusalReason::PolicyDenied)
    );
}

#[test]
fn a_request_waits_until_its_deadline_and_is_then_refused_once() {
    let mut driver = Driver::ready(vec![], vec![]);
    let mut arrival = driver.arrival("t1", model_target("m1"));
    arrival.deadline = driver.now + Duration::from_millis(500);
    let (number, outputs) = driver.arrive(arrival);
    assert!(refusals(&outputs).is_empty());
    assert!(refusals(&driver.tick(499)).is_empty());
    let expected = [(number, RefusalReason::DeadlinePassed, Executed::No)];
    assert_eq!(refusals(&driver.tick(1)), expected);
    assert!(refusals(&driver.tick(1)).is_empty());
}

#[test]
fn deadline_in_flight_cancels_the_attempt_and_reports_unknown_execution() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let mut arrival = driver.arrival("t1", model_target("m1"));
    arrival.deadline = driver.now + Duration::from_millis(100);
    let (number, _) = driver.arrive(arrival);
    let outputs = driver.tick(100);
    assert!(matches!(outputs[0], RoutingOutput::Cancel(cancelled) if cancelled == number));
    let expected = [(number, RefusalReason::DeadlinePassed, Executed::Unknown)];
    assert_eq!(refusals(&outputs), expected);
    assert!(driver.complete(number).is_empty());
}

#[test]
fn response_at_the_deadline_completes_the_request() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (number, _) = driver.request("t1", "m1");
    driver.now = driver.now + Duration::from_millis(REQUEST_TIMEOUT_MILLIS);
    let outputs = driver.complete(number);
    assert!(refusals(&outputs).is_empty() && break_offs(&outputs).is_empty());
    let explanation = driver.routing.explain(number, driver.now).unwrap();
    assert_eq!(explanation.outcome, Outcome::Completed);
}

#[test]
fn requests_with_unreachable_deadlines_are_refused_on_a_new_estimate() {
    let mut driver = Driver::ready(vec![], vec![]);
    let (long_deadline, _) = driver.request("t1", "m1");
    let mut arrival = driver.arrival("t1", model_target("m1"));
    arrival.deadline = driver.now + Duration::from_millis(2_000);
    let (short_deadline, _) = driver.arrive(arrival);
    let outputs = driver.send_estimate(5_000, true);
    assert_eq!(
        refusals(&outputs),
        [(short_deadline, RefusalReason::Hopeless, Executed::No)]
    );
    let RoutingOutput::Refuse(_, refusal) = &outputs[0] else {
        panic!("{outputs:?}");
    };
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(5)));
    let mut arrival = driver.arrival("t1", model_target("m1"));
    arrival.deadline = driver.now + Duration::from_millis(2_000);
    let (late, outputs) = driver.arrive(arrival);
    assert_eq!(
        refusals(&outputs),
        [(late, RefusalReason::Hopeless, Executed::No)]
    );
    let outputs = driver.update_routes(vec![replica(1, "m1", "north")], vec![]);
    assert_eq!(dispatches(&outputs)[0].request, long_deadline);
}

#[test]
fn unplaceable_requests_are_refused_after_the_grace_period() {
    let mut driver = Driver::ready(vec![], vec![]);
    let (number, _) = driver.request("t1", "m1");
    assert!(refusals(&driver.send_estimate(100, false)).is_empty());
    assert!(refusals(&driver.tick(400)).is_empty());
    let expected = [(number, RefusalReason::Hopeless, Executed::No)];
    assert_eq!(refusals(&driver.tick(100)), expected);
    let (next, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(next, RefusalReason::Hopeless, Executed::No)]
    );
}

#[test]
fn requests_to_a_web_group_without_backends_are_refused_after_the_grace_period() {
    let mut driver = Driver::ready(vec![], vec![]);
    let arrival = driver.arrival("t1", web_target("/totals", true));
    let (number, _) = driver.arrive(arrival);
    assert!(refusals(&driver.tick(900)).is_empty());
    let expected = [(number, RefusalReason::Hopeless, Executed::No)];
    assert_eq!(refusals(&driver.tick(100)), expected);
}

#[test]
fn waiting_requests_are_limited_per_tenant() {
    let mut driver = Driver::ready(vec![], vec![]);
    for _ in 0..50 {
        assert!(refusals(&driver.request("t1", "m1").1).is_empty());
    }
    let (number, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::TenantLimit, Executed::No)]
    );
    assert!(refusals(&driver.request("t2", "m1").1).is_empty());
}

#[test]
fn full_table_refuses_batch_requests_and_displaces_them_for_urgent_ones() {
    let mut small = settings();
    small.maximum_waiting = 3;
    let mut driver = Driver::ready_with(small, vec![], vec![]);
    let (_, _) = driver.request("batcher", "m1");
    let (newest, _) = driver.request("batcher", "m1");
    driver.request("t1", "m1");
    let (refused, outputs) = driver.request("batcher", "m1");
    assert_eq!(
        refusals(&outputs),
        [(refused, RefusalReason::QueueFull, Executed::No)]
    );
    let (_, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(newest, RefusalReason::QueueFull, Executed::No)]
    );
    driver.request("t1", "m1");
    let (refused, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(refused, RefusalReason::QueueFull, Executed::No)]
    );
    assert_eq!(driver.routing.snapshot(driver.now).waiting, 3);
}

#[test]
fn catalog_change_rechecks_waiting_requests() {
    let mut driver = Driver::ready(vec![], vec![]);
    let (barred, _) = driver.request("t1", "m1");
    let (kept, _) = driver.request("t2", "m1");
    driver.tick(1_000);
    let mut update = driver.update();
    let mut denying = policy("true");
    denying.deny = Some("tenant == 't1'".to_owned());
    let mut delta = driver.full_catalog(vec![policy_object("shut", denying)]);
    (delta.full, delta.from) = (false, ConfigurationRevision(1));
    update.configuration = Some(delta);
    let outputs = driver.step(RoutingInput::Update(update));
    let expected = [(barred, RefusalReason::PolicyDenied, Executed::No)];
    assert_eq!(refusals(&outputs), expected);
    let explanation = driver.routing.explain(kept, driver.now).unwrap();
    assert_eq!(explanation.outcome, Outcome::Waiting);
}

#[test]
fn a_policy_that_does_not_compile_denies_everything() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    driver.tick(1_000);
    let mut update = driver.update();
    let mut objects = catalog_objects();
    objects.push(policy_object("broken", policy("tenant ==")));
    update.configuration = Some(driver.full_catalog(objects));
    driver.step(RoutingInput::Update(update));
    let (number, outputs) = driver.request("t1", "m1");
    let expected = [(number, RefusalReason::PolicyDenied, Executed::No)];
    assert_eq!(refusals(&outputs), expected);
}

#[test]
fn draining_refuses_new_requests_and_finishes_the_others() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (first, _) = driver.request("t1", "m1");
    let (second, _) = driver.request("t1", "m1");
    let (waiting, _) = driver.request("t1", "m1");
    driver.step(RoutingInput::Drain);
    let (refused, outputs) = driver.request("t1", "m1");
    assert_eq!(
        refusals(&outputs),
        [(refused, RefusalReason::Draining, Executed::No)]
    );
    assert!(
        driver
            .tick(50)
            .iter()
            .any(|output| matches!(output, RoutingOutput::SendReport(report) if report.draining))
    );
    let outputs = driver.complete(first);
    assert_eq!(dispatches(&outputs)[0].request, waiting);
    driver.complete(second);
    let outputs = driver.complete(waiting);
    assert!(matches!(outputs.last(), Some(RoutingOutput::Drained)));
    assert!(
        !driver
            .tick(1)
            .iter()
            .any(|output| matches!(output, RoutingOutput::Drained))
    );
}
