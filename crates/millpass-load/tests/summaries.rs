//! Summaries and history files.

use millpass_load::answer::AnswerVerdict;
use millpass_load::history::{HistoryRecord, HistoryWriter, Outcome, read_history};
use millpass_load::refusal::Executed;
use millpass_load::summary::{DEADLINE_GRACE_MICROS, Summary, TimeHistogram};
use millpass_proto::Urgency;

fn record(request: u64, outcome: Outcome) -> HistoryRecord {
    HistoryRecord {
        request,
        tenant: "tenant".into(),
        key: None,
        target: "model/m".to_owned(),
        router: 0,
        urgency: Urgency::Normal,
        burst: false,
        nonce: format!("n{request}"),
        due_micros: 1_000,
        sent_micros: 1_500,
        first_micros: Some(11_000),
        ended_micros: 21_000,
        deadline_micros: 1_000_000,
        outcome,
        tokens: 4,
        tokens_asked: 4,
        longest_pause_micros: 700,
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

fn refused() -> Outcome {
    Outcome::Refused {
        status: 503,
        code: "no-capacity".to_owned(),
        executed: Executed::No,
        retry_after_seconds: Some(1),
    }
}

#[test]
fn latency_is_measured_from_the_due_time() {
    let summary = Summary::of(&[record(0, answered(AnswerVerdict::Whole))]);
    assert_eq!(summary.first_token_warm.count, 1);
    assert!((summary.first_token_warm.p50_millis - 10.0).abs() < 0.1);
    assert!((summary.total_model.p50_millis - 20.0).abs() < 0.1);
    assert!((summary.send_delay.p50_millis - 0.5).abs() < 0.01);
}

#[test]
fn cold_and_warm_requests_are_counted_separately() {
    let warm = record(0, answered(AnswerVerdict::Whole));
    let mut cold = record(1, answered(AnswerVerdict::Whole));
    cold.cold = true;
    cold.first_micros = Some(3_001_000);
    let summary = Summary::of([&warm, &cold]);
    assert_eq!(summary.first_token_warm.count, 1);
    assert!((summary.first_token_cold.p50_millis - 3_000.0).abs() < 3.0);
}

#[test]
fn each_violation_counts_as_a_breach() {
    let verdicts = [
        AnswerVerdict::Truncated,
        AnswerVerdict::Duplicated,
        AnswerVerdict::Foreign,
    ];
    for verdict in verdicts {
        assert_eq!(Summary::of(&[record(0, answered(verdict))]).breaches(), 1);
    }
    assert_eq!(Summary::of(&[record(0, Outcome::NoAnswer)]).breaches(), 1);
    let mut late = record(0, refused());
    late.ended_micros = late.deadline_micros + DEADLINE_GRACE_MICROS + 1;
    assert_eq!(Summary::of(&[late]).breaches(), 1);
    assert_eq!(Summary::of(&[record(0, refused())]).breaches(), 0);
}

#[test]
fn refusals_are_counted_by_code_and_execution() {
    let summary = Summary::of(&[record(0, refused()), record(1, refused())]);
    assert_eq!(summary.refusals["503 no-capacity"], 2);
    assert_eq!(summary.refusals_by_executed["no"], 2);
    assert_eq!(summary.refused(), 2);
}

#[test]
fn quantiles_match_a_known_distribution() {
    let mut histogram = TimeHistogram::default();
    (1..=1_000_u64).for_each(|millis| histogram.record(millis * 1_000));
    let quantiles = histogram.quantiles();
    assert_eq!(quantiles.count, 1_000);
    assert!((quantiles.p50_millis - 500.0).abs() < 1.0);
    assert!((quantiles.p99_millis - 990.0).abs() < 1.0);
    assert!((quantiles.max_millis - 1_000.0).abs() < 1.0);
}

#[test]
fn history_round_trips_and_respects_the_size_limit() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("history.jsonl");
    let one = record(0, refused());
    let line = serde_json::to_vec(&one).expect("encodable").len() as u64 + 1;
    let mut writer = HistoryWriter::create(&path, 2 * line).expect("created");
    for request in 0..3 {
        writer.write(&record(request, refused())).expect("written");
    }
    assert_eq!(writer.finish().expect("flushed"), 1);
    let read = read_history(&path).expect("readable");
    assert_eq!(read, [record(0, refused()), record(1, refused())]);
}

#[test]
fn a_damaged_history_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("history.jsonl");
    std::fs::write(&path, "{\"request\":0}\n").expect("written");
    assert!(read_history(&path).is_err());
}
