//! Tests of `millpass losses` on literal log lines.

use millpass_cli::commands;
use millpass_cli::losses::{EndedRequest, LossAnalysis, LossCounts, LossOptions};
use millpass_cli::options::Options;
use rstest::rstest;

/// Returns a line as a gateway writes it.
fn line(at: u64, fingerprint: &str, model: &str, outcome: &str, times: &str) -> String {
    format!(
        "at_unix_ms={at} level=info event=request_ended request=r-{at} fingerprint={fingerprint} \
         route=chat tenant=t-1 service=text version=3 model={model} adapter=\"\" instance=e-1 \
         sends=1 outcome={outcome} status=200 {times}"
    )
}

fn analysis(lines: &[String], slow_ms: Option<u64>) -> LossAnalysis {
    let mut analysis = LossAnalysis::default();
    for line in lines {
        analysis.add(EndedRequest::parse(line).expect("an end"), slow_ms);
    }
    analysis
}

fn counts(lines: &[String], window_ms: u64) -> LossCounts {
    let counts = analysis(lines, None).counts(window_ms);
    assert_eq!(counts.len(), 1, "{counts:?}");
    counts.into_values().next().unwrap_or_default()
}

#[rstest]
#[case::time_and_node("12.260 front-pnw-b-2 event=request_ended", Some(12_260))]
#[case::logger(
    "at_unix_ms=1700000000123 level=info event=request_ended",
    Some(1_700_000_000_123)
)]
#[case::both(
    "7.5 g-1 at_unix_ms=1700000000123 event=request_ended",
    Some(1_700_000_000_123)
)]
#[case::node_only("front-pnw-b-2: event=request_ended", None)]
fn prefix_of_a_line_gives_its_time(#[case] start: &str, #[case] ended_ms: Option<u64>) {
    let line = format!("{start} request=r model=m service=s outcome=cold age_ms=1");
    let request = EndedRequest::parse(&line).expect("an end");
    assert_eq!(request.ended_ms, ended_ms);
    assert_eq!(request.model.as_deref(), Some("s/m"));
    assert_eq!((request.waited_ms, request.age_ms), (None, 1));
}

#[test]
fn quoted_and_missing_values_are_read() {
    let line = "event=request_ended request=r route=\"a \\\"b\\\" outcome=x\" tenant=\"\" model=m \
                adapter=a service=s outcome=answered waited_ms=\"\" head_ms=7 age_ms=9";
    let request = EndedRequest::parse(line).expect("an end");
    assert_eq!(request.route, "a \"b\" outcome=x");
    assert_eq!(request.tenant, "-");
    assert_eq!(request.model.as_deref(), Some("s/m+a"));
    assert_eq!(
        (request.outcome.as_str(), request.waited_ms),
        ("answered", None)
    );
    assert_eq!((request.head_ms, request.age_ms), (Some(7), 9));
}

/// Guards against counting lines that were cut when a gateway was killed, or that quote the event.
#[rstest]
#[case::other_event("event=send_ended request=r outcome=broken age_ms=1")]
#[case::cut("event=request_ended request=r route=chat outc")]
#[case::without_age("event=request_ended request=r outcome=cold")]
#[case::quoted("event=message text=\"event=request_ended outcome=cold age_ms=1\"")]
#[case::empty("")]
fn other_lines_are_ignored(#[case] line: &str) {
    assert_eq!(EndedRequest::parse(line), None);
}

/// The lost request arrived at 9,000 and was refused at 10,000.
#[rstest]
#[case::sent_meanwhile("m", 10_500, 0, 1)]
#[case::sent_at_its_end("m", 11_000, 0, 1)]
#[case::sent_later("m", 11_001, 0, 0)]
#[case::sent_later_within_the_window("m", 11_001, 500, 1)]
#[case::sent_before_its_arrival("m", 9_900, 0, 0)]
#[case::another_model("n", 10_500, 0, 0)]
fn model_served_within_the_age_of_a_lost_request_is_a_missed_chance(
    #[case] model: &str,
    #[case] ended_ms: u64,
    #[case] window_ms: u64,
    #[case] expected: usize,
) {
    // Sent 1,000 ms before its end.
    let answered = line(
        ended_ms,
        "f1",
        model,
        "answered",
        "waited_ms=200 head_ms=9 age_ms=1200",
    );
    let lost = line(
        10_000,
        "f2",
        "m",
        "cold",
        "waited_ms=\"\" head_ms=\"\" age_ms=1000",
    );
    let found = counts(&[answered, lost], window_ms);
    assert_eq!((found.lost, found.served_elsewhere), (1, expected));
}

#[rstest]
#[case::answered_later("f", 12_000, 1)]
#[case::answered_before("f", 8_000, 0)]
#[case::another_request("g", 12_000, 0)]
fn refused_request_that_is_answered_later_is_recovered(
    #[case] fingerprint: &str,
    #[case] answered_at: u64,
    #[case] recovered: usize,
) {
    let times = "waited_ms=0 head_ms=9 age_ms=10";
    let answered = line(answered_at, fingerprint, "m", "answered", times);
    let lost = line(
        10_000,
        "f",
        "m",
        "cold",
        "waited_ms=\"\" head_ms=\"\" age_ms=5",
    );
    assert_eq!(counts(&[answered, lost], 0).recovered, recovered);
}

#[test]
fn report_lists_causes_groups_seconds_and_slow_instances() {
    let lost = |at, outcome, age| {
        let times = format!("waited_ms=\"\" head_ms=\"\" age_ms={age}");
        line(at, &format!("f{at}"), "m", outcome, &times)
    };
    let mut lines: Vec<String> = (1..=10)
        .map(|number| lost(1_000 + number, "cold", number * 10))
        .collect();
    lines.push(lost(3_500, "quota", 7));
    lines.push(lost(3_500, "quota", 7));
    lines.push(line(
        3_600,
        "a",
        "m",
        "answered",
        "waited_ms=5 head_ms=900 age_ms=950",
    ));
    lines.push(line(
        3_700,
        "b",
        "m",
        "answered",
        "waited_ms=5 head_ms=20 age_ms=50",
    ));
    let options = LossOptions {
        rows: 0,
        window_ms: 0,
        slow_ms: Some(600),
    };
    let report = analysis(&lines, options.slow_ms).report(&options);
    let rows: Vec<Vec<&str>> = report
        .lines()
        .map(|row| row.split_whitespace().collect())
        .collect();
    for expected in [
        "attempts=14 answered=2 lost=12 without_time=0",
        // The two quota refusals are tries of one request.
        "recovered=0 never_answered=11 served_elsewhere=0",
        "cold 10 0 0 50/90/100/100 50/90/100/100",
        "quota 2 0 0 7/7/7/7 7/7/7/7",
        "chat 12 0 0 cold=10 quota=2",
        "t-1 12 0 0 cold=10 quota=2",
        "text/m 12 0 0 cold=10 quota=2",
        "0 10 cold=10",
        "2 2 quota=2",
        "e-1 1 2 20/900/900/900",
        "r-3600 e-1 chat text/m 5 900 950",
    ] {
        let expected: Vec<&str> = expected.split(' ').collect();
        assert!(rows.contains(&expected), "{expected:?} in\n{report}");
    }
}

#[test]
fn rows_are_limited() {
    let lines: Vec<String> = (0..5)
        .map(|number| line(1_000, "f", &format!("m-{number}"), "cold", "age_ms=1"))
        .collect();
    let options = LossOptions {
        rows: 2,
        window_ms: 0,
        slow_ms: None,
    };
    let report = analysis(&lines, None).report(&options);
    assert_eq!(report.matches("text/m-").count(), 2, "{report}");
}

/// Guards against a report of zeros for logs of other processes or levels.
#[rstest]
#[case::gateway_log("2.5 g-1 event=request_ended request=r outcome=cold age_ms=1\n", true)]
#[case::invalid_bytes("\u{0}event=x\n1.0 g event=request_ended outcome=cold age_ms=1", true)]
#[case::other_log("event=instruction-sent instance=e\n", false)]
fn files_without_ended_requests_are_reported(#[case] text: &str, #[case] accepted: bool) {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("gateway.log");
    std::fs::write(&file, text).expect("write");
    let ended = commands::run(Options::Losses {
        rows: 20,
        window: 0,
        slow: None,
        files: vec![file],
    });
    assert_eq!(ended.is_ok(), accepted, "{ended:?}");
}
