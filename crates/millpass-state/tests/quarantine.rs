//! Requests held back in the replicated state, and in its snapshots.

use millpass_proto::*;
use millpass_state::{MAXIMUM_QUARANTINED_REQUESTS, State};

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint {
        high: 1,
        low: number,
    }
}

fn apply(state: &mut State, index: u64, command: &Command) {
    let at = LogPosition { term: 1, index };
    assert_eq!(state.apply(at, command), CommandOutcome::Done);
}

fn held(state: &mut State, index: u64, number: u64, ends: u32) {
    let note = QuarantineRecord {
        request: request(number),
        crashes: ends,
        expired: false,
    };
    apply(state, index, &Command::QuarantineRequest(note));
}

#[test]
fn a_later_word_replaces_the_earlier_one_and_a_lift_removes_it() {
    let mut state = State::default();
    held(&mut state, 1, 5, 3);
    held(&mut state, 2, 5, 4);
    let ends: Vec<u32> = state
        .quarantined_requests()
        .map(|note| note.crashes)
        .collect();
    assert_eq!(ends, vec![4]);
    apply(&mut state, 3, &Command::LiftQuarantine(request(5)));
    assert_eq!(state.quarantined_requests().count(), 0);
}

#[test]
fn they_are_bounded_and_the_first_gives_way() {
    let mut state = State::default();
    for number in 0..MAXIMUM_QUARANTINED_REQUESTS as u64 + 3 {
        held(&mut state, number + 1, number, 3);
    }
    assert_eq!(
        state.quarantined_requests().count(),
        MAXIMUM_QUARANTINED_REQUESTS
    );
    let first = state
        .quarantined_requests()
        .next()
        .map(|note| note.request.clone());
    assert_eq!(first, Some(request(3)));
}

#[test]
fn snapshots_keep_them_and_those_without_them_are_read() {
    let mut state = State::default();
    held(&mut state, 1, 5, 3);
    let read = State::decode(&state.encode()).expect("snapshot");
    assert_eq!(read, state);
    let without = State::default();
    let earlier = codec::encode(&(2_u32, &without)).expect("bytes");
    assert_eq!(State::decode(&earlier).expect("earlier snapshot"), without);
    let unknown = codec::encode(&(9_u32, &without)).expect("bytes");
    assert!(State::decode(&unknown).is_err());
}
