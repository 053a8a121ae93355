//! Explanations of requests and the bounds of their history.

mod common;

use common::*;
use millpass_proto::*;
use millpass_routing::*;

fn explain(driver: &Driver, number: RequestNumber) -> Explanation {
    let explanation = driver.routing.explain(number, driver.now);
    explanation.expect("request is in the history")
}

#[test]
fn attempts_are_listed_in_order_with_their_results() {
    let replicas = vec![replica(1, "m1", "north"), replica(2, "m1", "south")];
    let mut driver = Driver::ready(replicas, vec![]);
    let (number, _) = driver.request("t1", "m1");
    driver.tick(7);
    driver.fail(number, AttemptFailure::BrokenOff { tokens: 3 });
    let between = explain(&driver, number);
    assert_eq!(between.outcome, Outcome::InFlight);
    driver.tick(5);
    driver.complete(number);
    let attempts = explain(&driver, number).attempts;
    let failed = AttemptEnd::Failed(AttemptFailure::BrokenOff { tokens: 3 });
    let expected = [
        AttemptRecord {
            backend: "engine-1".into(),
            resume_from: 0,
            started: Duration::ZERO,
            ended: Some((Duration::from_millis(7), failed)),
        },
        AttemptRecord {
            backend: "engine-2".into(),
            resume_from: 3,
            started: Duration::from_millis(7),
            ended: Some((Duration::from_millis(12), AttemptEnd::Completed)),
        },
    ];
    assert_eq!(attempts, expected);
}

#[test]
fn cancelled_attempt_is_listed_as_cancelled() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (number, _) = driver.request("t1", "m1");
    driver.tick(9);
    driver.step(RoutingInput::CallerGone(number));
    let explanation = explain(&driver, number);
    assert_eq!(explanation.outcome, Outcome::CallerGone);
    assert_eq!(
        explanation.attempts[0].ended,
        Some((Duration::from_millis(9), AttemptEnd::Cancelled))
    );
}

#[test]
fn wait_reason_follows_the_latest_estimate() {
    let mut driver = Driver::ready(vec![], vec![]);
    let (number, _) = driver.request("t1", "m1");
    let wait_reason = |driver: &Driver| explain(driver, number).wait_reason;
    assert_eq!(wait_reason(&driver), Some(WaitReason::AwaitingEstimate));
    driver.send_estimate(800, true);
    let ready = WaitReason::ReadyIn(Duration::from_millis(800));
    assert_eq!(wait_reason(&driver), Some(ready));
    // The leader can only respond to a new report.
    driver.tick(1_000);
    driver.send_estimate(800, false);
    assert_eq!(wait_reason(&driver), Some(WaitReason::Unplaceable));
}

#[test]
fn newest_request_with_a_request_id_is_explained() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let mut request = |model: &str| {
        let mut arrival = driver.arrival("t1", model_target(model));
        arrival.request_id = "same".to_owned();
        let (number, _) = driver.arrive(arrival);
        let found = driver.routing.explain_by_id("same", driver.now);
        (number, found.map(|explanation| explanation.request))
    };
    for model in ["m1", "none", "m1"] {
        let (number, found) = request(model);
        // The first request is still live, and a live request is preferred over an ended one.
        let expected = if model == "none" {
            RequestNumber(number.0 - 1)
        } else {
            number
        };
        assert_eq!(found, Some(expected));
    }
    assert_eq!(driver.routing.explain_by_id("other", driver.now), None);
}

#[test]
fn explanations_are_bounded_and_completions_do_not_evict_refusals() {
    let mut driver = Driver::ready(vec![replica(1, "m1", "north")], vec![]);
    let (refused, _) = driver.request("t1", "none");
    let (first, _) = driver.request("t1", "m1");
    driver.complete(first);
    for _ in 0..EXPLANATION_CAPACITY {
        let (number, _) = driver.request("t1", "m1");
        driver.complete(number);
    }
    assert_eq!(driver.routing.explain(first, driver.now), None);
    assert!(driver.routing.explain(refused, driver.now).is_some());
    for _ in 0..EXPLANATION_CAPACITY {
        driver.request("t1", "none");
    }
    assert_eq!(driver.routing.explain(refused, driver.now), None);
}
