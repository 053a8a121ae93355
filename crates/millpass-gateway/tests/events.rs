//! `EventBuffer` forwards only complete events.

use millpass_gateway::EventBuffer;
use rstest::rstest;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case::byte_by_byte(1)]
#[case::seven_bytes(7)]
#[case::whole(1_000)]
fn forwards_all_bytes_of_complete_events_in_order(#[case] size: usize) {
    let mut events = EventBuffer::default();
    let mut forwarded = Vec::new();
    for part in STREAM.chunks(size) {
        let complete = events.push(part);
        assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
        forwarded.extend_from_slice(&complete);
    }
    assert_eq!(forwarded, STREAM);
    assert_eq!(events.last_identity(), Some("3"));
    assert!(events.is_at_boundary());
}

#[test]
fn buffers_a_partial_event_until_it_is_discarded() {
    let mut events = EventBuffer::default();
    let forwarded = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&forwarded[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_identity(), Some("1"));
    assert!(!events.is_at_boundary());
    events.discard_partial();
    let forwarded = events.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&forwarded[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn take_remainder_returns_bytes_after_the_last_event() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\n\ntail");
    assert_eq!(&events.take_remainder()[..], b"tail");
}
