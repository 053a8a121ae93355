//! Splitting of event streams.

use millpass_router::sse::{EventSplitter, StreamError, StreamEvent};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use rstest::rstest;

fn events_of(pieces: &[&[u8]]) -> Vec<StreamEvent> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event().unwrap() {
            events.push(event);
        }
    }
    events
}

fn token_counts(text: &str) -> Vec<u64> {
    let events = events_of(&[text.as_bytes()]);
    let counts = events.iter().map(|event| match event {
        StreamEvent::Data { tokens, .. } => *tokens,
        StreamEvent::Done | StreamEvent::Error => 99,
    });
    counts.collect()
}

#[rstest]
#[case::completion("data: {\"choices\":[{\"text\":\"a\"}]}\n\n", &[1])]
#[case::chat("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", &[1])]
#[case::escaped("data: {\"choices\":[{\"text\":\"\\n\"}]}\n\n", &[1])]
#[case::role("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n", &[0])]
#[case::finish("data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n", &[0])]
#[case::usage("data: {\"choices\":[],\"usage\":{\"total_tokens\":3}}\n\n", &[0])]
#[case::not_json("data: hello\n\n", &[0])]
#[case::comment(": keep-alive\n\n", &[])]
#[case::blank("\n\n\n", &[])]
#[case::carriage_returns("data: {\"choices\":[{\"text\":\"a\"}]}\r\n\r\n", &[1])]
#[case::no_space("data:{\"choices\":[{\"text\":\"a\"}]}\n\n", &[1])]
#[case::done("data: [DONE]\n\n", &[99])]
#[case::error("event: error\ndata: {}\n\n", &[99])]
#[case::error_in_data("data: {\"error\":{\"code\":\"unloaded\"}}\n\n", &[99])]
#[case::no_error("data: {\"choices\":[{\"text\":\"a\"}],\"error\":null}\n\n", &[1])]
#[case::unfinished("data: {\"choices\":[{\"text\":\"a\"}]}\n", &[])]
fn tokens_are_counted(#[case] text: &str, #[case] expected: &[u64]) {
    assert_eq!(token_counts(text), expected);
}

#[test]
fn event_above_the_maximum_size_is_rejected() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 2 * 1024 * 1024]);
    assert_eq!(splitter.next_event(), Err(StreamError::EventTooLong));
}

#[test]
fn events_are_independent_of_read_boundaries() {
    let text = b"data: {\"choices\":[{\"text\":\"a\"}]}\n\n: comment\n\ndata: x\r\n\r\n\
                 event: note\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\ndata: [DONE]\n\n";
    let whole = events_of(&[text]);
    assert_eq!(whole.len(), 4);
    let mut runner = TestRunner::deterministic();
    let cuts = proptest::collection::btree_set(0..text.len(), 0..12);
    let result = runner.run(&cuts, |cuts| {
        let mut pieces = Vec::new();
        let mut start = 0;
        for cut in cuts {
            pieces.push(&text[start..cut]);
            start = cut;
        }
        pieces.push(&text[start..]);
        prop_assert_eq!(events_of(&pieces), whole.clone());
        Ok(())
    });
    result.unwrap();
}
