//! Requests that run at most once: claims from asking to their committed end.

mod common;

use common::*;
use millpass_proto::*;
use millpass_routing::*;
use rstest::rstest;

/// A claimed web request, asked for and not answered.
fn asked() -> (Driver, RequestNumber) {
    let mut driver = Driver::ready(vec![], vec![web(1, "north"), web(2, "north")]);
    let mut arrival = driver.arrival("t1", web_target("/publish/7", false));
    arrival.idempotency = key("k");
    let (number, outputs) = driver.arrive(arrival);
    assert_eq!(claims_asked(&outputs), [number.0]);
    assert!(dispatches(&outputs).is_empty());
    (driver, number)
}

/// The same, granted and dispatched.
fn dispatched() -> (Driver, RequestNumber) {
    let (mut driver, number) = asked();
    let outputs = driver.claim(number, ClaimDecision::Granted);
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
fn a_claim_that_is_not_granted_refuses(
    #[case] decision: ClaimDecision,
    #[case] reason: RefusalReason,
    #[case] executed: Executed,
) {
    let (mut driver, number) = asked();
    let outputs = driver.claim(number, decision);
    assert_eq!(refusals(&outputs), [(number, reason, executed)]);
    assert!(conclusions(&outputs).is_empty());
    assert_eq!(driver.routing.snapshot(driver.now).claims, 0);
}

#[test]
fn a_recorded_answer_is_replayed() {
    let (mut driver, number) = asked();
    let outputs = driver.claim(number, ClaimDecision::Answered(answer()));
    assert!(matches!(&outputs[..], [RoutingOutput::Replay(replayed, _)] if *replayed == number));
}

#[test]
fn a_claim_is_asked_for_again_with_the_same_attempt() {
    let (mut driver, number) = asked();
    assert_eq!(claims_asked(&driver.tick(500)), [number.0]);
    driver.step(RoutingInput::LinkDown);
    assert!(claims_asked(&driver.tick(500)).is_empty());
    assert_eq!(claims_asked(&driver.step(RoutingInput::LinkUp)), [number.0]);
}

#[test]
fn the_end_is_sent_until_it_is_committed() {
    let (mut driver, number) = dispatched();
    let outputs = driver.step(RoutingInput::Completed {
        request: number,
        answer: Some(answer()),
    });
    let expected = [ClaimConclusion::Answered(answer())];
    assert_eq!(conclusions(&outputs), expected);
    assert_eq!(conclusions(&driver.tick(500)), expected);
    driver.step(RoutingInput::ClaimFinished { attempt: number.0 });
    assert!(conclusions(&driver.tick(500)).is_empty());
}

#[rstest]
#[case::may_have_run(AttemptFailure::MayHaveRun)]
#[case::broken_off(AttemptFailure::BrokenOff { tokens: 1 })]
fn a_claimed_attempt_that_may_have_run_is_never_repeated(#[case] failure: AttemptFailure) {
    let (mut driver, number) = dispatched();
    let outputs = driver.fail(number, failure);
    assert!(dispatches(&outputs).is_empty());
    assert_eq!(conclusions(&outputs), [ClaimConclusion::Unknown]);
    let broken = matches!(failure, AttemptFailure::BrokenOff { .. });
    assert_eq!(break_offs(&outputs).len(), usize::from(broken));
    assert_eq!(refusals(&outputs).len(), usize::from(!broken));
}

#[test]
fn a_claimed_attempt_that_was_not_sent_goes_elsewhere_under_the_same_claim() {
    let (mut driver, number) = dispatched();
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
fn a_grant_that_comes_too_late_ends_as_not_run(
    #[case] silence: u64,
    #[case] reason: RefusalReason,
) {
    let (mut driver, number) = asked();
    let outputs = driver.tick(silence);
    assert_eq!(refusals(&outputs), [(number, reason, Executed::No)]);
    let outputs = driver.claim(number, ClaimDecision::Granted);
    assert!(dispatches(&outputs).is_empty());
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
}

#[test]
fn a_granted_request_that_is_refused_ends_as_not_run() {
    let mut driver = Driver::ready(vec![], vec![]);
    let mut arrival = driver.arrival("t1", model_target("m1"));
    arrival.idempotency = key("k");
    let (number, _) = driver.arrive(arrival);
    driver.claim(number, ClaimDecision::Granted);
    let outputs = driver.outlook(PATIENCE_MILLIS * 2, true);
    assert_eq!(
        refusals(&outputs),
        [(number, RefusalReason::Hopeless, Executed::No)]
    );
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
}

#[test]
fn a_caller_that_hangs_up_before_the_grant_ends_the_claim_as_not_run() {
    let (mut driver, number) = asked();
    driver.step(RoutingInput::CallerGone(number));
    let outputs = driver.claim(number, ClaimDecision::Granted);
    assert_eq!(conclusions(&outputs), [ClaimConclusion::NotRun]);
    assert!(dispatches(&outputs).is_empty());
}

#[test]
fn a_caller_that_hangs_up_later_leaves_the_claimed_attempt_running() {
    let (mut driver, number) = dispatched();
    assert!(driver.step(RoutingInput::CallerGone(number)).is_empty());
    let outputs = driver.step(RoutingInput::Completed {
        request: number,
        answer: Some(answer()),
    });
    assert_eq!(conclusions(&outputs), [ClaimConclusion::Answered(answer())]);
}

#[test]
fn an_expired_key_is_refused_before_asking() {
    let (mut driver, _) = asked();
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
