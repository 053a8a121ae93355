//! Each checker accepts valid histories and reports the violation in an invalid one.

mod builder;

use builder::*;
use millpass_checkers::{
    AnswerOutcome, Breach, CHECKERS, ClaimOperation, Event, Limits, MemoryUse, RunEnding,
    StatedExecution, check,
};
use millpass_proto::{ClaimDecision, ConfigurationRevision};
use rstest::rstest;

/// Names of the checkers that report a violation.
fn reporting(events: Vec<(u64, Event)>) -> Vec<&'static str> {
    let breaches = check(&history(events), &Limits::default());
    let mut names: Vec<&'static str> = breaches
        .iter()
        .map(|Breach { checker, .. }| *checker)
        .collect();
    names.dedup();
    names
}

#[test]
fn valid_run_has_no_breach() {
    let events = vec![
        (0, committed(1, 1, 5)),
        (1, committed(2, 1, 5)),
        (2, decided(7, "engine-1", 1)),
        (3, held(7, "engine-1")),
        (4, sent(1, "router-1", 1_000, None)),
        (5, run(1, "engine-1", None)),
        (6, ended(1, whole(1))),
        (7, freed(7, "engine-1")),
        (8, Event::ReplicaReleased { slot: slot(7) }),
        (9, Event::RunOver),
    ];
    assert_eq!(reporting(events), Vec::<&str>::new());
}

#[rstest]
#[case::other_entry_committed("agreement", vec![(0, committed(1, 1, 5)), (1, committed(2, 1, 6))])]
#[case::other_term_committed("agreement", vec![(0, committed(1, 1, 5)), (1, committed(1, 2, 5))])]
#[case::never_decided("replicas", vec![(0, held(7, "engine-1"))])]
#[case::decided_elsewhere("replicas", vec![(0, decided(7, "engine-2", 1)), (1, held(7, "engine-1"))])]
#[case::released_early("replicas", vec![
    (0, decided(7, "engine-1", 1)),
    (1, held(7, "engine-1")),
    (2, Event::ReplicaReleased { slot: slot(7) }),
])]
#[case::above_maximum("replicas", vec![(0, decided(7, "engine-1", 1)), (1, decided(8, "engine-2", 1))])]
#[case::overcommitted("memory", vec![(0, Event::MemoryUsed {
    backend: "engine-1".into(),
    accelerators: vec![MemoryUse { used_bytes: 9, capacity_bytes: 8 }],
})])]
#[case::never_answered("answers", vec![(0, sent(1, "router-1", 1_000, None)), (9_000_000, Event::RunOver)])]
#[case::answered_late("answers", vec![(0, sent(1, "router-1", 1_000, None)), (2_000_000, ended(1, whole(1)))])]
#[case::answered_twice("answers", vec![
    (0, sent(1, "router-1", 1_000, None)),
    (1, ended(1, whole(1))),
    (2, ended(1, whole(1))),
])]
#[case::answered_late_after_a_freeze("answers", vec![
    (0, sent(1, "router-1", 1_000_000, None)),
    (1, Event::Frozen { process: "router-1".into() }),
    (2_000_000, Event::Woken { process: "router-1".into() }),
    (2_200_000, ended(1, whole(1))),
])]
#[case::answered_late_after_two_freezes("answers", vec![
    (0, sent(1, "router-1", 1_000_000, None)),
    (1, Event::Frozen { process: "router-1".into() }),
    (2_000_000, Event::Woken { process: "router-1".into() }),
    (2_000_000, Event::Frozen { process: "router-1".into() }),
    (3_000_000, Event::Woken { process: "router-1".into() }),
    (3_200_000, ended(1, whole(1))),
])]
#[case::connection_lost_without_kill("answers", vec![
    (0, sent(1, "router-1", 1_000, None)),
    (1, ended(1, AnswerOutcome::ConnectionLost)),
])]
#[case::answer_of_another("integrity", vec![(0, sent(1, "router-1", 1_000, None)), (1, ended(1, whole(2)))])]
#[case::refused_and_ran("refusals", vec![
    (0, sent(1, "router-1", 1_000, None)),
    (1, run(1, "engine-1", None)),
    (2, ended(1, refused(StatedExecution::No))),
])]
#[case::refused_then_ran("refusals", vec![
    (0, sent(1, "router-1", 1_000, None)),
    (2, ended(1, refused(StatedExecution::No))),
    (3, run(1, "engine-1", None)),
])]
#[case::key_ran_twice("once", vec![(0, run(1, "web-1", Some("key"))), (1, run(2, "web-2", Some("key")))])]
#[case::new_run_while_leaving("leaving", vec![
    (0, Event::ListedLeaving { backend: "engine-1".into(), incarnation: RUN }),
    (5_000_001, run(1, "engine-1", None)),
])]
#[case::planned_stop_interrupts_run("drain", vec![
    (0, run(1, "engine-1", None)),
    (1, Event::StopPlanned { process: "engine-1".into() }),
    (2, run_ended(1, "engine-1", RunEnding::CutOff)),
])]
#[case::removed_tenant_is_served("enforcement", vec![
    (0, Event::TenantRemoved { tenant: "tenant".into() }),
    (5_000_001, sent(1, "router-1", 6_000_000, None)),
    (5_000_002, ended(1, whole(1))),
])]
#[case::too_many_loads_in_a_second("store", (0..4).flat_map(|load| [
    (load * 10, Event::StoreLoadStarted { load }),
    (load * 10 + 1, Event::StoreLoadEnded { load }),
]).collect())]
#[case::too_many_loads_at_once("store", (0..7).map(|load| {
    (load * 2_000_000, Event::StoreLoadStarted { load })
}).collect())]
#[case::nothing_served_after_healing("liveness", vec![
    (0, Event::AllHealed),
    (1, sent(1, "router-1", 1_000, None)),
    (2, ended(1, refused(StatedExecution::No))),
    (16_000_000, Event::RunOver),
])]
#[case::revision_reverted("configuration", vec![(0, applied("router-1", 4)), (1, applied("router-1", 3))])]
#[case::revision_late_after_brief_reachability("configuration", vec![
    (0, reachable("router-1", false)),
    (2, Event::RevisionCommitted { revision: ConfigurationRevision(4) }),
    (1_000_000, reachable("router-1", true)),
    (1_000_000, reachable("router-1", false)),
    (2_000_000, reachable("router-1", true)),
    (5_100_000, applied("router-1", 4)),
    (9_000_000, Event::RunOver),
])]
#[case::revision_late("configuration", vec![
    (0, reachable("router-1", true)),
    (1, applied("router-1", 3)),
    (2, Event::RevisionCommitted { revision: ConfigurationRevision(4) }),
    (4_000_000, applied("router-1", 4)),
    (9_000_000, Event::RunOver),
])]
#[case::accepted_change_lost("configuration", vec![
    (0, change_called(1, 0, "change-1")),
    (1, accepted(1, 1)),
    (2, Event::FinalAuditCalled),
    (3, Event::FinalAuditRead),
])]
#[case::change_audited_twice("configuration", vec![(0, audited("change-1", 1)), (1, audited("change-1", 2))])]
#[case::two_changes_of_one_version("configuration-linearizable", vec![
    (0, change_called(1, 0, "change-1")),
    (1, change_called(2, 0, "change-2")),
    (2, accepted(1, 1)),
    (3, accepted(2, 1)),
])]
#[case::stale_read("configuration-linearizable", vec![
    (0, change_called(1, 0, "change-1")),
    (1, accepted(1, 1)),
    (2, read_called(2)),
    (3, Event::ReadReturned { call: 2, version: 0 }),
])]
#[case::resend_took_effect_again("configuration-linearizable", vec![
    (0, change_called(1, 0, "change-1")),
    (1, accepted(1, 1)),
    (2, change_called(2, 0, "change-1")),
    (3, accepted(2, 2)),
])]
#[case::granted_twice("claims-linearizable", vec![
    (0, claim(1, ClaimOperation::Begin)),
    (1, claim(2, ClaimOperation::Begin)),
    (2, claim_decided(1, ClaimDecision::Granted)),
    (3, claim_decided(2, ClaimDecision::Granted)),
])]
#[case::granted_after_an_answer("claims-linearizable", vec![
    (0, claim(1, ClaimOperation::Begin)),
    (1, claim_decided(1, ClaimDecision::Granted)),
    (2, claim(1, ClaimOperation::FinishAnswered(3))),
    (3, claim_finished(1)),
    (4, claim(2, ClaimOperation::Begin)),
    (5, claim_decided(2, ClaimDecision::Granted)),
])]
fn each_breach_is_reported_by_its_checker(
    #[case] checker: &str,
    #[case] events: Vec<(u64, Event)>,
) {
    assert_eq!(reporting(events), vec![checker]);
}

#[rstest]
#[case::router_was_killed(vec![
    (0, sent(1, "router-1", 1_000, None)),
    (1, Event::Killed { process: "router-1".into() }),
    (2, ended(1, AnswerOutcome::ConnectionLost)),
])]
#[case::router_was_frozen(vec![
    (0, sent(1, "router-1", 1_000, None)),
    (1, Event::Frozen { process: "router-1".into() }),
    (5_000_000, Event::Woken { process: "router-1".into() }),
    (5_000_001, ended(1, refused(StatedExecution::No))),
    (9_000_000, Event::RunOver),
])]
#[case::router_was_frozen_when_request_arrived(vec![
    (0, Event::Frozen { process: "router-1".into() }),
    (1, sent(1, "router-1", 1_000_001, None)),
    (5_000_000, Event::Woken { process: "router-1".into() }),
    (5_900_000, ended(1, whole(1))),
    (9_000_000, Event::RunOver),
])]
#[case::accepted_after_audit_was_requested(vec![
    (0, change_called(1, 0, "change-1")),
    (1, Event::FinalAuditCalled),
    (2, accepted(1, 1)),
    (3, Event::FinalAuditRead),
])]
#[case::caller_hung_up(vec![
    (0, sent(1, "router-1", 1_000, None)),
    (1, ended(1, AnswerOutcome::CallerGone)),
])]
#[case::killed_while_draining(vec![
    (0, run(1, "engine-1", None)),
    (1, Event::StopPlanned { process: "engine-1".into() }),
    (2, Event::Killed { process: "engine-1".into() }),
    (2, run_ended(1, "engine-1", RunEnding::CutOff)),
])]
#[case::new_run_within_bound(vec![
    (0, Event::ListedLeaving { backend: "engine-1".into(), incarnation: RUN }),
    (4_999_999, run(1, "engine-1", None)),
])]
#[case::unreachable_router_may_be_late(vec![
    (0, reachable("router-1", false)),
    (2, Event::RevisionCommitted { revision: ConfigurationRevision(4) }),
    (4_000_000, reachable("router-1", true)),
    (6_000_000, applied("router-1", 4)),
    (9_000_000, Event::RunOver),
])]
#[case::briefly_reachable_router_may_be_late(vec![
    (0, reachable("router-1", false)),
    (2, Event::RevisionCommitted { revision: ConfigurationRevision(4) }),
    (1_000_000, reachable("router-1", true)),
    (1_000_000, reachable("router-1", false)),
    (6_000_000, reachable("router-1", true)),
    (8_000_000, applied("router-1", 4)),
    (9_000_000, Event::RunOver),
])]
#[case::answered_after_two_freezes(vec![
    (0, sent(1, "router-1", 1_000_000, None)),
    (1, Event::Frozen { process: "router-1".into() }),
    (2_000_000, Event::Woken { process: "router-1".into() }),
    (2_000_000, Event::Frozen { process: "router-1".into() }),
    (3_000_000, Event::Woken { process: "router-1".into() }),
    (3_050_000, ended(1, whole(1))),
])]
#[case::disturbed_router_may_be_late(vec![
    (0, reachable("router-1", true)),
    (2, Event::RevisionCommitted { revision: ConfigurationRevision(4) }),
    (2_000_000, Event::Disturbed { what: "kill".into() }),
    (4_900_000, applied("router-1", 4)),
    (9_000_000, Event::RunOver),
])]
#[case::unknown_outcome_took_effect(vec![
    (0, change_called(1, 0, "change-1")),
    (2, read_called(2)),
    (3, Event::ReadReturned { call: 2, version: 1 }),
])]
#[case::unknown_outcome_had_no_effect(vec![
    (0, change_called(1, 0, "change-1")),
    (2, read_called(2)),
    (3, Event::ReadReturned { call: 2, version: 0 }),
])]
#[case::released_claim_is_granted_again(vec![
    (0, claim(1, ClaimOperation::Begin)),
    (1, claim_decided(1, ClaimDecision::Granted)),
    (2, claim(1, ClaimOperation::FinishNotRun)),
    (3, claim(2, ClaimOperation::Begin)),
    (4, claim_decided(2, ClaimDecision::Granted)),
])]
fn exempt_histories_have_no_breach(#[case] events: Vec<(u64, Event)>) {
    assert_eq!(reporting(events), Vec::<&str>::new());
}

#[test]
fn history_above_the_operation_limit_is_reported() {
    let events = (0..61)
        .map(|call| (call, change_called(call, 0, &format!("change-{call}"))))
        .collect();
    assert_eq!(reporting(events), vec!["configuration-linearizable"]);
}

#[test]
fn checker_names_are_unique() {
    let mut names: Vec<_> = CHECKERS.iter().map(|(name, _)| name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), CHECKERS.len());
}
