//! Whole events of a stream.

use millpass_gateway::EventBuffer;
use rstest::rstest;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_sevens(7)]
#[case::whole(1_000)]
fn every_byte_of_whole_events_is_passed_on_in_order(#[case] size: usize) {
    let mut events = EventBuffer::default();
    let mut passed = Vec::new();
    for part in STREAM.chunks(size) {
        let whole = events.push(part);
        assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
        passed.extend_from_slice(&whole);
    }
    assert_eq!(passed, STREAM);
    assert_eq!(events.last_identity(), Some("3"));
    assert!(events.is_at_boundary());
}

#[test]
fn a_part_of_an_event_is_held_back_and_can_be_dropped() {
    let mut events = EventBuffer::default();
    let passed = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&passed[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_identity(), Some("1"));
    assert!(!events.is_at_boundary());
    events.discard_partial();
    let passed = events.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&passed[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn what_stands_behind_the_last_event_is_given_at_the_end() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\n\ntail");
    assert_eq!(&events.take_remainder()[..], b"tail");
}
