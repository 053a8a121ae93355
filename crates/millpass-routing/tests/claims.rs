//! Claims of requests that run at most once, from the claim request to the committed conclusion.

mod common;

use common::*;
use millpass_proto::*;
use millpass_routing::*;
use rstest::rstest;

/// A web request whose claim is not decided yet.
fn claim_requested() -> (Driver, RequestNumber) {
    let mut driver = Driver::ready(vec![], vec![web(1, "north"), web(2, "north")]);
    let mut arrival = driver.arrival("t1", web_target("/publish/7", false));
    arrival.idempotency = key("k");
    let (number, outputs) = driver.arrive(arrival);
    assert_eq!(requested_claims(&outputs), [number.0]);
    assert!(dispatches(&outputs).is_empty());
    (driver, number)
}

/// A web request whose claim was granted and that was dispatched.
fn claim_granted() -> (Driver, RequestNumber) {
    let (mut driver, number) = claim_requested();
    let outputs = driver.decide_claim(number, ClaimDecision::Granted);
    assert_eq!(dispatches(&outputs).len(), 1);
    assert!(dispatches(&outputs)[0].record);
    (driver, number)
}

#[rstest]
#[case::in_progress(
    ClaimDecision::InProgress,
    RefusalReason::InProgress,
    Executed::Unknown
)]
#[case::may_have_run(
    ClaimDecision::MayHaveRun,
    RefusalReason::MayHaveRun,
    Executed::Unknown
)]
#[case::reused(ClaimDecision::DigestMismatch, RefusalReason::KeyReused, Executed::No)]
#[case::expired(ClaimDecision::Expired, RefusalReason::KeyExpired, Executed::Unknown)]
fn denied_claim_refuses_the_request(
    #[case] decision: ClaimDecision,
    #[case] reason: RefusalReason,
    #[case] executed: Executed,
) {
    let (mut driver, number) = claim_requested();
    let outputs = driver.decide_claim(number, decision);
    assert_eq!(refusals(&outputs), [(number, reason, executed)]);
    assert!(conclusions(&outputs).is_empty());
    assert_eq!(driver.routing.snapshot(driver.now).claims, 0);
}

#[test]
fn recorded_response_is_replayed() {
    let (mut driver, number) = claim_requested();
    let outputs = driver.decide_claim(number, ClaimDecision::Answered(recorded_answer()));
    assert!(matches!(&outputs[..], [RoutingOutput::Replay(replayed, _)] if *replayed == number));
}

#[test]
fn claim_request_is_resent_with_the_same_attempt() {
    let (mut driver, number) = claim_requested();
    assert_eq!(requested_claims(&driver.tick(500)), [number.0]);
    driver.step(RoutingInput::LinkDown);
    assert!(requested_claims(&driver.tick(500)).is_empty());
    assert_eq!(
        requested_claims(&driver.step(RoutingInput::LinkUp)),
        [number.0]
    );
}

#[test]
fn conclusion_is_resent_until_committed() {
    let (mut driver, number) = claim_granted();
    let outputs = driver.step(RoutingInput::Completed {
        request: number,
        answer: Some(recorded_answer()),
    });
    let expected = [ClaimConclusion::Answered(recorded_answer())];
    assert_eq!(conclusions(&outputs), expected);
    assert_eq!(conclusions(&driver.tick(500)), expected);
    driver.step(RoutingInput::ClaimFinished { attempt: number.0 });
    assert!(conclusions(&driver.tick(500)).is_empty());
}

#[rstest]
#[case::may_have_run(AttemptFailure::MayHaveRun)]
#[case::broken_off(AttemptFailure::BrokenOff { tokens: 1 })]
fn claimed_attempt_that_may_have_run_is_never_retried(#[case] failure: AttemptFailure) {
    let (mut driver, number) = claim_granted();
    let outputs = driver.fail(number, failure);
    assert!(dispatches(&outputs).is_empty());
    assert_eq!(conclusions(&outputs), [ClaimConclusion::Unknown]);
    let broken = matches!(failure, AttemptFailure::BrokenOff { .. });
    assert_eq!(break_offs(&outputs).len(), usize::from(broken));
    assert_eq!(refusals(&outputs).len(), usize::from(!broken));
}

#[test]
fn unsent_claimed_attempt_is_retried_under_the_same_claim() {
    let (mut driver, number) = claim_granted();
    for _ in 0..2 {
        assert_eq!(
            dispatches(&driver.fail(number, AttemptFailure::NotSent)).len(),
            1
        );
    }
    let outputs = driver.fail(number, AttemptFailure::RefusedByBackend);
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::BackendFailed, Executed::No)]
    );
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
}

#[rstest]
#[case::timeout(2_000, RefusalReason::ClaimUnavailable)]
#[case::lease(LEASE_MILLIS, RefusalReason::NoLease)]
fn late_grant_is_concluded_as_not_run(#[case] delay: u64, #[case] reason: RefusalReason) {
    let (mut driver, number) = claim_requested();
    let outputs = driver.tick(delay);
    assert_eq!(refusals(&outputs), [(number, reason, Executed::No)]);
    let outputs = driver.decide_claim(number, ClaimDecision::Granted);
    assert!(dispatches(&outputs).is_empty());
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
}

#[test]
fn refused_request_with_a_granted_claim_is_concluded_as_not_run() {
    let mut driver = Driver::ready(vec![], vec![]);
    let mut arrival = driver.arrival("t1", model_target("m1"));
    arrival.idempotency = key("k");
    let (number, _) = driver.arrive(arrival);
    driver.decide_claim(number, ClaimDecision::Granted);
    let outputs = driver.send_estimate(REQUEST_TIMEOUT_MILLIS * 2, true);
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::Hopeless, Executed::No)]
    );
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
}

#[test]
fn caller_disconnect_before_the_grant_concludes_the_claim_as_not_run() {
    let (mut driver, number) = claim_requested();
    driver.step(RoutingInput::CallerGone(number));
    let outputs = driver.decide_claim(number, ClaimDecision::Granted);
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
    assert!(dispatches(&outputs).is_empty());
}

#[test]
fn caller_disconnect_after_dispatch_keeps_the_claimed_attempt_running() {
    let (mut driver, number) = claim_granted();
    assert!(driver.step(RoutingInput::CallerGone(number)).is_empty());
    let outputs = driver.step(RoutingInput::Completed {
        request: number,
        answer: Some(recorded_answer()),
    });
    assert_eq!(
        conclusions(&outputs),
        [ClaimConclusion::Answered(recorded_answer())]
    );
}

#[test]
fn expired_key_is_refused_without_a_claim_request() {
    let (mut driver, _) = claim_requested();
    driver.tick(1_000);
    let mut update = driver.update();
    update.claims_created_after_unix_millis = UNIX_MILLIS + 1;
    driver.step(RoutingInput::Update(update));
    let mut arrival = driver.arrival("t1", web_target("/publish/8", false));
    arrival.idempotency = key("old");
    let (number, outputs) = driver.arrive(arrival);
    let expected = [(number, RefusalReason::KeyExpired, Executed::Unknown)];
    assert_eq!(refusals(&outputs), expected);
}
