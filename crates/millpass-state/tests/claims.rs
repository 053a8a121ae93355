//! Claims: at-most-once execution per key despite resends, losses and expiry.

mod support;

use millpass_proto::*;
use millpass_state::{
    MAXIMUM_ANSWER_BYTES, MAXIMUM_CLAIM_AGE_MILLIS, MAXIMUM_CLAIMS_PER_TENANT,
    MAXIMUM_CLOCK_SKEW_MILLIS, State,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use support::*;

const NOW: u64 = 1_000_000_000;

fn begin(key: &str, router: &str, attempt: u64) -> ClaimBegin {
    ClaimBegin {
        tenant: "t".into(),
        key: key.into(),
        digest: "digest".to_owned(),
        created_unix_millis: NOW,
        router: router.into(),
        router_incarnation: Incarnation(1),
        attempt,
        at_unix_millis: NOW,
    }
}

fn finish(begin: &ClaimBegin, conclusion: ClaimConclusion) -> Command {
    Command::FinishClaim(ClaimFinish {
        tenant: begin.tenant.clone(),
        key: begin.key.clone(),
        router: begin.router.clone(),
        router_incarnation: begin.router_incarnation,
        attempt: begin.attempt,
        conclusion,
    })
}

fn abandon(router: &str) -> Command {
    Command::AbandonClaims(AbandonClaims {
        router: router.into(),
        router_incarnation: Incarnation(1),
    })
}

fn expire(created_before_unix_millis: u64) -> Command {
    Command::ExpireClaims(ExpireClaims {
        created_before_unix_millis,
    })
}

fn answer(bytes: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; bytes].into(),
    }
}

fn decide(fixture: &mut Fixture, begin: &ClaimBegin) -> ClaimDecision {
    match fixture.apply(Command::BeginClaim(begin.clone())) {
        CommandOutcome::Claim(decision) => decision,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_resend_is_granted_again_and_another_attempt_is_not() {
    let mut fixture = Fixture::default();
    let first = begin("k", "r1", 1);
    assert_eq!(decide(&mut fixture, &first), ClaimDecision::Granted);
    assert_eq!(decide(&mut fixture, &first), ClaimDecision::Granted);
    let second = begin("k", "r2", 1);
    assert_eq!(decide(&mut fixture, &second), ClaimDecision::InProgress);
    fixture.must_ignore(finish(&second, ClaimConclusion::NotRun));
    fixture.must(finish(&first, ClaimConclusion::Answered(answer(3))));
    let recorded = ClaimDecision::Answered(answer(3));
    assert_eq!(decide(&mut fixture, &second), recorded);
    assert_eq!(decide(&mut fixture, &first), recorded);
}

#[test]
fn another_request_with_the_same_key_is_refused() {
    let mut fixture = Fixture::default();
    decide(&mut fixture, &begin("k", "r1", 1));
    let mut other = begin("k", "r1", 1);
    other.digest = "other".to_owned();
    assert_eq!(decide(&mut fixture, &other), ClaimDecision::DigestMismatch);
    let mut recreated = begin("k", "r1", 1);
    recreated.created_unix_millis += 1;
    assert_eq!(
        decide(&mut fixture, &recreated),
        ClaimDecision::DigestMismatch
    );
    let mut other_tenant = begin("k", "r1", 1);
    other_tenant.tenant = "u".into();
    assert_eq!(decide(&mut fixture, &other_tenant), ClaimDecision::Granted);
}

#[test]
fn a_key_that_did_not_run_may_be_claimed_by_a_later_attempt() {
    let mut fixture = Fixture::default();
    let first = begin("k", "r1", 1);
    decide(&mut fixture, &first);
    fixture.must(finish(&first, ClaimConclusion::NotRun));
    assert_eq!(decide(&mut fixture, &first), ClaimDecision::InProgress);
    let second = begin("k", "r1", 2);
    assert_eq!(decide(&mut fixture, &second), ClaimDecision::Granted);
    fixture.must_ignore(finish(&first, ClaimConclusion::NotRun));
    assert_eq!(
        decide(&mut fixture, &begin("k", "r1", 3)),
        ClaimDecision::InProgress
    );
}

#[test]
fn a_late_duplicate_of_a_refused_attempt_does_not_claim_the_key() {
    let mut fixture = Fixture::default();
    let first = begin("k", "r1", 1);
    let refused = begin("k", "r2", 1);
    decide(&mut fixture, &first);
    assert_eq!(decide(&mut fixture, &refused), ClaimDecision::InProgress);
    fixture.must(finish(&first, ClaimConclusion::NotRun));
    assert_eq!(decide(&mut fixture, &refused), ClaimDecision::InProgress);
    let next = begin("k", "r2", 2);
    assert_eq!(decide(&mut fixture, &next), ClaimDecision::Granted);
}

#[test]
fn a_late_duplicate_of_an_earlier_holder_does_not_claim_the_key() {
    let mut fixture = Fixture::default();
    let first = begin("k", "r1", 1);
    let second = begin("k", "r2", 1);
    for holder in [&first, &second] {
        assert_eq!(decide(&mut fixture, holder), ClaimDecision::Granted);
        fixture.must(finish(holder, ClaimConclusion::NotRun));
    }
    assert_eq!(decide(&mut fixture, &first), ClaimDecision::InProgress);
}

#[test]
fn abandoned_claims_may_have_run_until_the_holder_concludes() {
    let mut fixture = Fixture::default();
    let first = begin("k", "r1", 1);
    decide(&mut fixture, &first);
    assert_eq!(fixture.state.open_claim_runs().count(), 1);
    fixture.must(abandon("r1"));
    assert_eq!(fixture.state.open_claim_runs().count(), 0);
    fixture.must_ignore(abandon("r1"));
    let second = begin("k", "r2", 1);
    assert_eq!(decide(&mut fixture, &second), ClaimDecision::MayHaveRun);
    fixture.must(finish(&first, ClaimConclusion::Answered(answer(1))));
    let recorded = ClaimDecision::Answered(answer(1));
    assert_eq!(decide(&mut fixture, &second), recorded);
}

#[test]
fn an_expired_key_is_never_granted_and_the_threshold_never_decreases() {
    let mut fixture = Fixture::default();
    decide(&mut fixture, &begin("k", "r1", 1));
    fixture.must(expire(NOW));
    assert_eq!(fixture.state.claim_count(), 1);
    fixture.must(expire(NOW + 1));
    assert_eq!(fixture.state.claim_count(), 0);
    assert_eq!(fixture.state.open_claim_runs().count(), 0);
    fixture.must_ignore(expire(NOW));
    assert_eq!(fixture.state.claims_expired_before(), NOW + 1);
    let again = begin("k", "r1", 1);
    assert_eq!(decide(&mut fixture, &again), ClaimDecision::Expired);
}

#[test]
fn keys_created_too_early_or_in_the_future_are_refused() {
    let mut fixture = Fixture::default();
    let mut old = begin("old", "r1", 1);
    old.created_unix_millis = NOW - MAXIMUM_CLAIM_AGE_MILLIS - 1;
    assert_eq!(decide(&mut fixture, &old), ClaimDecision::Expired);
    let mut young = begin("young", "r1", 2);
    young.created_unix_millis = NOW + MAXIMUM_CLOCK_SKEW_MILLIS + 1;
    assert_eq!(decide(&mut fixture, &young), ClaimDecision::BornInFuture);
    assert_eq!(fixture.state.claim_count(), 0);
}

#[test]
fn an_oversized_answer_is_recorded_as_may_have_run() {
    let mut fixture = Fixture::default();
    let first = begin("k", "r1", 1);
    decide(&mut fixture, &first);
    let large = answer(MAXIMUM_ANSWER_BYTES + 1);
    fixture.must(finish(&first, ClaimConclusion::Answered(large)));
    assert_eq!(decide(&mut fixture, &first), ClaimDecision::MayHaveRun);
}

#[test]
fn claims_beyond_the_tenant_limit_are_refused_and_none_are_evicted() {
    let mut fixture = Fixture::default();
    for number in 0..MAXIMUM_CLAIMS_PER_TENANT {
        let claim = begin(&format!("k{number}"), "r1", number as u64);
        assert_eq!(decide(&mut fixture, &claim), ClaimDecision::Granted);
    }
    let over = begin("over", "r1", u64::MAX);
    assert_eq!(decide(&mut fixture, &over), ClaimDecision::Overloaded);
    let first = begin("k0", "r2", 0);
    assert_eq!(decide(&mut fixture, &first), ClaimDecision::InProgress);
    let mut other_tenant = begin("k", "r1", 1);
    other_tenant.tenant = "u".into();
    assert_eq!(decide(&mut fixture, &other_tenant), ClaimDecision::Granted);
    fixture.must(expire(NOW + 1));
    assert_eq!(fixture.state.claim_count(), 0);
}

/// A step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Begin(ClaimBegin),
    Finish(ClaimBegin, ClaimConclusion),
    Abandon(String),
    Expire(u64),
    Snapshot,
}

/// Grants per key, and keys released because nothing ran.
#[derive(Default)]
struct Grants {
    holder: BTreeMap<ClaimKey, (RouterName, u64)>,
    released: BTreeSet<ClaimKey>,
    answers: BTreeMap<ClaimKey, RecordedAnswer>,
    refused: BTreeSet<(ClaimKey, RouterName, u64)>,
}

impl Grants {
    /// Checks the outcome of a step against the claim invariant.
    fn check(&mut self, step: &Step, outcome: &CommandOutcome) -> Result<(), String> {
        match (step, outcome) {
            (Step::Begin(begin), CommandOutcome::Claim(ClaimDecision::Granted)) => {
                self.granted(begin)
            }
            (Step::Begin(begin), CommandOutcome::Claim(ClaimDecision::InProgress)) => {
                self.refused.insert(attempt_of(begin));
                Ok(())
            }
            (Step::Begin(begin), CommandOutcome::Claim(ClaimDecision::Answered(answer))) => {
                if self.answers.get(&begin.key) != Some(answer) {
                    return Err(format!("{} got an answer that was not recorded", begin.key));
                }
                Ok(())
            }
            (Step::Finish(begin, ClaimConclusion::NotRun), CommandOutcome::Done) => {
                self.released.insert(begin.key.clone());
                Ok(())
            }
            (Step::Finish(begin, ClaimConclusion::Answered(answer)), CommandOutcome::Done) => {
                let before = self.answers.insert(begin.key.clone(), answer.clone());
                match before {
                    Some(_) => Err(format!("{} was answered twice", begin.key)),
                    None => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }

    fn granted(&mut self, begin: &ClaimBegin) -> Result<(), String> {
        if self.refused.contains(&attempt_of(begin)) {
            return Err(format!("{} was granted to a refused attempt", begin.key));
        }
        let holder = (begin.router.clone(), begin.attempt);
        let released = self.released.remove(&begin.key);
        let before = self.holder.insert(begin.key.clone(), holder.clone());
        match before {
            Some(before) if before != holder && !released => {
                Err(format!("{} was granted to two attempts", begin.key))
            }
            Some(before) if before == holder && released => Err(format!(
                "{} was granted again to the attempt that released it",
                begin.key
            )),
            _ => Ok(()),
        }
    }
}

fn attempt_of(begin: &ClaimBegin) -> (ClaimKey, RouterName, u64) {
    (begin.key.clone(), begin.router.clone(), begin.attempt)
}

fn step() -> impl Strategy<Value = Step> {
    let begin = (0..3_u64, 0..3_u64, 0..3_u64).prop_map(|(key, router, attempt)| ClaimBegin {
        created_unix_millis: NOW + key,
        ..begin(&format!("k{key}"), &format!("r{router}"), attempt)
    });
    let conclusion = prop_oneof![
        Just(ClaimConclusion::NotRun),
        Just(ClaimConclusion::Unknown),
        (1..4_usize).prop_map(|bytes| ClaimConclusion::Answered(answer(bytes))),
    ];
    prop_oneof![
        8 => begin.clone().prop_map(Step::Begin),
        8 => (begin, conclusion).prop_map(|(begin, end)| Step::Finish(begin, end)),
        1 => (0..3_u64).prop_map(|router| Step::Abandon(format!("r{router}"))),
        1 => (0..3_u64).prop_map(|key| Step::Expire(NOW + key)),
        1 => Just(Step::Snapshot),
    ]
}

fn command_of(step: &Step) -> Option<Command> {
    match step {
        Step::Begin(begin) => Some(Command::BeginClaim(begin.clone())),
        Step::Finish(begin, conclusion) => Some(finish(begin, conclusion.clone())),
        Step::Abandon(router) => Some(abandon(router)),
        Step::Expire(threshold) => Some(expire(*threshold)),
        Step::Snapshot => None,
    }
}

#[test]
fn a_key_is_granted_to_one_attempt_unless_it_did_not_run() {
    check_cases(512, prop::collection::vec(step(), 1..80), |steps| {
        let mut fixture = Fixture::default();
        let mut grants = Grants::default();
        for step in &steps {
            let Some(command) = command_of(step) else {
                let decoded = State::decode(&fixture.state.encode()).expect("decodes");
                prop_assert_eq!(&decoded, &fixture.state);
                fixture.state = decoded;
                continue;
            };
            let outcome = fixture.apply(command);
            let checked = grants.check(step, &outcome);
            prop_assert!(checked.is_ok(), "{:?}", checked);
        }
        Ok(())
    });
}

#[test]
fn the_grant_check_reports_a_second_grant() {
    let granted = CommandOutcome::Claim(ClaimDecision::Granted);
    let mut grants = Grants::default();
    let first = Step::Begin(begin("k", "r1", 1));
    let second = Step::Begin(begin("k", "r2", 1));
    assert_eq!(grants.check(&first, &granted), Ok(()));
    assert!(grants.check(&second, &granted).is_err());
    let not_run = Step::Finish(begin("k", "r2", 1), ClaimConclusion::NotRun);
    assert_eq!(grants.check(&not_run, &CommandOutcome::Done), Ok(()));
    assert_eq!(grants.check(&first, &granted), Ok(()));
}
