//! Tests of the format of log lines and metrics.

use millpass_telemetry::{LogSettings, event_line, exposition, registry, start_logging};
use rstest::rstest;

#[rstest]
#[case("plain", "event=e key=plain")]
#[case("two words", "event=e key=\"two words\"")]
#[case("", "event=e key=\"\"")]
#[case("a=b", "event=e key=\"a=b\"")]
#[case("line\nbreak", "event=e key=\"line\\nbreak\"")]
fn values_are_quoted_when_needed(#[case] value: &str, #[case] line: &str) {
    assert_eq!(event_line("e", &[("key", value.to_owned())]), line);
}

#[test]
fn each_record_is_one_line_of_pairs() {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("log");
    let settings = LogSettings {
        level: "info".to_owned(),
        file: file.display().to_string(),
    };
    start_logging(&settings).expect("logging");
    log::info!("event=started zone=west");
    log::debug!("event=hidden");
    log::warn!("not an event\nof ours");
    log::logger().flush();
    let text = std::fs::read_to_string(&file).expect("log file");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].starts_with("at_unix_ms="), "{text}");
    assert!(
        lines[0].ends_with(" level=info event=started zone=west"),
        "{text}"
    );
    assert!(lines[1].contains("event=message"), "{text}");
    assert!(start_logging(&settings).is_err());
}

#[test]
fn metrics_are_prefixed() {
    let registry = registry();
    let counter = prometheus::IntCounter::new("things_total", "Things.").expect("counter");
    registry
        .register(Box::new(counter.clone()))
        .expect("register");
    counter.inc();
    assert!(exposition(&registry).contains("millpass_things_total 1"));
}
