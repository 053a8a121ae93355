//! Histories assembled from a run: a clean one passes every checker, and each breach is reported.

use millpass_checkers::{Event, Limits, ProcessName, Record, check};
use millpass_lab::deployment::Deployment;
use millpass_lab::fleet::evidence::{AssembledHistory, Evidence, read_journals};
use millpass_lab::fleet::layout::Layout;
use millpass_load::answer::AnswerVerdict;
use millpass_load::refusal::Executed;
use millpass_load::{HistoryRecord, Outcome};
use millpass_proto::{Incarnation, Urgency};
use millpass_standin::run::{RunRecord, RunStep};
use rstest::rstest;

const START_MICROS: u64 = 1_000_000_000;
const OVER_MICROS: u64 = START_MICROS + 60_000_000;

fn record(request: u64, outcome: Outcome) -> HistoryRecord {
    HistoryRecord {
        request,
        tenant: "tenant-00".into(),
        key: None,
        target: "model/m".to_owned(),
        router: 0,
        urgency: Urgency::Normal,
        burst: false,
        nonce: format!("n{request}"),
        due_micros: 1_000_000,
        sent_micros: 1_000_000,
        first_micros: Some(1_500_000),
        ended_micros: 2_000_000,
        deadline_micros: 11_000_000,
        outcome,
        tokens: 8,
        tokens_asked: 8,
        longest_pause_micros: 0,
        cold: false,
    }
}

fn answered(verdict: AnswerVerdict) -> Outcome {
    Outcome::Answered {
        status: 200,
        verdict,
        replayed: false,
    }
}

fn refused(executed: Executed) -> Outcome {
    Outcome::Refused {
        status: 503,
        code: "no_lease".to_owned(),
        executed,
        retry_after_seconds: Some(1),
    }
}

fn lost() -> Outcome {
    Outcome::TransportError {
        reason: "connection reset".to_owned(),
    }
}

fn started(request: u64, backend: &str, key: Option<&str>) -> RunRecord {
    RunRecord {
        at_micros: START_MICROS + 1_200_000,
        backend: backend.into(),
        incarnation: Incarnation(1),
        request_id: format!("n{request}.{request}.77.1"),
        tenant: "tenant-00".into(),
        key: key.map(str::to_owned),
        step: RunStep::Started,
    }
}

fn event(at_seconds: u64, event: Event) -> Record {
    Record {
        at_micros: START_MICROS + at_seconds * 1_000_000,
        event,
    }
}

fn router() -> ProcessName {
    ProcessName("router-1".to_owned())
}

fn assemble(
    events: Vec<Record>,
    callers: &[HistoryRecord],
    runs: Vec<RunRecord>,
) -> AssembledHistory {
    let deployment = Deployment::named("pnw").expect("an example");
    let layout = Layout::new(&deployment).expect("a layout");
    let evidence = Evidence {
        events,
        callers,
        callers_start_micros: START_MICROS,
        runs,
    };
    evidence.history(&layout, OVER_MICROS)
}

fn failed_checkers(assembled: &AssembledHistory) -> Vec<&'static str> {
    let breaches = check(&assembled.history, &Limits::default());
    breaches.iter().map(|breach| breach.checker).collect()
}

#[test]
fn a_clean_run_passes() {
    let callers = [
        record(0, answered(AnswerVerdict::Whole)),
        record(1, refused(Executed::No)),
    ];
    let assembled = assemble(Vec::new(), &callers, vec![started(0, "engine-1", None)]);
    assert_eq!(failed_checkers(&assembled), Vec::<&str>::new());
}

#[rstest]
#[case::foreign(answered(AnswerVerdict::Foreign), "integrity")]
#[case::truncated(answered(AnswerVerdict::Truncated), "integrity")]
#[case::no_answer(Outcome::NoAnswer, "answers")]
#[case::connection_lost(lost(), "answers")]
fn an_invalid_outcome_for_a_caller_is_reported(#[case] outcome: Outcome, #[case] checker: &str) {
    let assembled = assemble(Vec::new(), &[record(0, outcome)], Vec::new());
    assert_eq!(failed_checkers(&assembled), [checker]);
}

#[test]
fn a_late_answer_is_reported() {
    let mut late = record(0, answered(AnswerVerdict::Whole));
    late.ended_micros = late.deadline_micros + 1_000_000;
    assert_eq!(
        failed_checkers(&assemble(Vec::new(), &[late], Vec::new())),
        ["answers"]
    );
}

#[test]
fn a_refusal_as_not_executed_of_an_executed_request_is_reported() {
    let callers = [record(4, refused(Executed::No))];
    let assembled = assemble(Vec::new(), &callers, vec![started(4, "engine-1", None)]);
    assert_eq!(failed_checkers(&assembled), ["refusals"]);
    let callers = [record(4, refused(Executed::Unknown))];
    let assembled = assemble(Vec::new(), &callers, vec![started(4, "engine-1", None)]);
    assert_eq!(failed_checkers(&assembled), Vec::<&str>::new());
}

#[test]
fn two_runs_of_one_key_are_reported() {
    let runs = vec![
        started(0, "web-1", Some("key")),
        started(1, "web-2", Some("key")),
    ];
    let callers = [
        record(0, answered(AnswerVerdict::Whole)),
        record(1, answered(AnswerVerdict::Whole)),
    ];
    assert_eq!(
        failed_checkers(&assemble(Vec::new(), &callers, runs)),
        ["once"]
    );
}

#[test]
fn a_request_to_a_stopped_router_is_counted_as_unreached() {
    let down = vec![
        event(0, Event::StopPlanned { process: router() }),
        event(5, Event::Started { process: router() }),
    ];
    let assembled = assemble(down, &[record(0, lost())], Vec::new());
    assert_eq!(assembled.unreached, 1);
    assert_eq!(failed_checkers(&assembled), Vec::<&str>::new());
}

#[test]
fn a_planned_stop_that_aborts_a_request_is_reported() {
    // The request was sent before the stop.
    let stop = vec![event(2, Event::StopPlanned { process: router() })];
    let mut cut = record(0, lost());
    cut.ended_micros = 3_000_000;
    let assembled = assemble(stop, &[cut], Vec::new());
    assert_eq!(assembled.unreached, 0);
    assert!(failed_checkers(&assembled).contains(&"drain"));
}

#[test]
fn a_truncated_last_journal_line_is_skipped() {
    let folder = tempfile::tempdir().expect("a folder");
    let line = serde_json::to_string(&started(0, "engine-1", None)).expect("a line");
    let half = &line[..line.len() / 2];
    let path = folder.path().join("engine-1.jsonl");
    std::fs::write(&path, format!("{line}\n{half}")).expect("written");
    let runs = read_journals(folder.path()).expect("readable");
    assert_eq!(runs, [started(0, "engine-1", None)]);
    std::fs::write(&path, format!("{half}\n{line}\n")).expect("written");
    read_journals(folder.path()).expect_err("a broken line in the middle");
}
