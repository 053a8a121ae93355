//! Ends of events, for all line ends and any split into reads.

use millpass_event_stream::EventScanner;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Returns the last position outside an event, and whether the text ends inside one.
fn scan(text: &str) -> (Option<usize>, bool) {
    let mut scanner = EventScanner::default();
    let end = scanner.scan(text.as_bytes());
    (end, scanner.is_inside_event())
}

#[rstest]
#[case::lf("id: 1\ndata: a\n\n", Some(15), false)]
#[case::crlf("id: 1\r\ndata: a\r\n\r\n", Some(18), false)]
#[case::cr("id: 1\rdata: a\r\r", Some(15), false)]
#[case::mixed("id: 1\r\ndata: a\n\r\n", Some(17), false)]
#[case::blank_line_missing("data: a\n", None, true)]
#[case::blank_line_missing_crlf("data: a\r\n", None, true)]
#[case::blank_line_missing_cr("data: a\r", None, true)]
#[case::line_cut("data: a\n\nda", Some(9), true)]
#[case::comment(": ping\n", Some(7), false)]
#[case::comment_cut(": pi", None, true)]
#[case::comment_within_event("data: a\n: ping\n", None, true)]
#[case::blank_lines("\n\n\n", Some(3), false)]
#[case::empty("", None, false)]
fn ends_are_found(#[case] text: &str, #[case] end: Option<usize>, #[case] inside: bool) {
    assert_eq!(scan(text), (end, inside));
}

#[rstest]
#[case::plain("id: 7\ndata: a\n\n", Some("7"))]
#[case::no_space("id:7\r\ndata: a\r\n\r\n", Some("7"))]
#[case::last_field_counts("id: 1\nid: 2\n\n", Some("2"))]
#[case::unfinished_event("id: 1\n\nid: 2\ndata: a\n", Some("1"))]
#[case::without("data: a\n\n", None)]
#[case::within_data("data: id: 3\n\n", None)]
#[case::similar_field("idx: 3\n\n", None)]
fn last_id_is_of_a_complete_event(#[case] text: &str, #[case] id: Option<&str>) {
    let mut scanner = EventScanner::default();
    scanner.scan(text.as_bytes());
    assert_eq!(scanner.last_id(), id);
}

#[test]
fn restart_keeps_the_last_id_and_forgets_the_unfinished_event() {
    let mut scanner = EventScanner::default();
    scanner.scan(b"id: 1\n\nid: 2\nda");
    scanner.restart();
    assert!(!scanner.is_inside_event());
    assert_eq!(scanner.scan(b"id: 2\n\n"), Some(7));
    assert_eq!(scanner.last_id(), Some("2"));
}

/// A CR LF that two reads separate is one line end.
#[test]
fn a_separated_crlf_is_one_line_end() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.scan(b"data: a\r\n\r"), Some(10));
    assert_eq!(scanner.scan(b"\n"), Some(1));
    assert_eq!(scanner.scan(b"data: b\r"), None);
    assert_eq!(scanner.scan(b"\n"), None);
    assert!(scanner.is_inside_event());
}

fn line() -> impl Strategy<Value = String> {
    let line = "(id: [0-9]{1,3}|data: [a-z]{0,5}|: [a-z]{0,3}|)";
    (line, prop_oneof!["\n", "\r\n", "\r"]).prop_map(|(line, end)| format!("{line}{end}"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn splits_do_not_matter(
        lines in prop::collection::vec(line(), 0..12),
        cut in "[a-z]{0,3}",
        sizes in prop::collection::vec(1usize..6, 1..40),
    ) {
        let text = lines.concat() + &cut;
        let mut whole = EventScanner::default();
        let expected = whole.scan(text.as_bytes());
        let mut split = EventScanner::default();
        let (mut position, mut end) = (0, None);
        for size in sizes.into_iter().cycle() {
            if position == text.len() {
                break;
            }
            let until = (position + size).min(text.len());
            let found = split.scan(&text.as_bytes()[position..until]);
            end = found.map(|found| position + found).or(end);
            position = until;
        }
        prop_assert_eq!(end, expected);
        prop_assert_eq!(split.is_inside_event(), whole.is_inside_event());
        prop_assert_eq!(split.last_id(), whole.last_id());
        prop_assert_eq!(end == Some(text.len()) || text.is_empty(), !whole.is_inside_event());
    }
}
