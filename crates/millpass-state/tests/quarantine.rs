//! Quarantined requests in the replicated state and its snapshots.

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

fn quarantine(state: &mut State, index: u64, number: u64, crashes: u32) {
    let record = QuarantineRecord {
        request: request(number),
        crashes,
        expired: false,
    };
    apply(state, index, &Command::QuarantineRequest(record));
}

#[test]
fn a_new_record_replaces_the_earlier_one_and_a_lift_removes_it() {
    let mut state = State::default();
    quarantine(&mut state, 1, 5, 3);
    quarantine(&mut state, 2, 5, 4);
    let crashes: Vec<u32> = state
        .quarantined_requests()
        .map(|record| record.crashes)
        .collect();
    assert_eq!(crashes, vec![4]);
    apply(&mut state, 3, &Command::LiftQuarantine(request(5)));
    assert_eq!(state.quarantined_requests().count(), 0);
}

#[test]
fn quarantined_requests_are_bounded_and_the_oldest_is_evicted() {
    let mut state = State::default();
    for number in 0..MAXIMUM_QUARANTINED_REQUESTS as u64 + 3 {
        quarantine(&mut state, number + 1, number, 3);
    }
    assert_eq!(
        state.quarantined_requests().count(),
        MAXIMUM_QUARANTINED_REQUESTS
    );
    let first = state
        .quarantined_requests()
        .next()
        .map(|record| record.request.clone());
    assert_eq!(first, Some(request(3)));
}

#[test]
fn quarantined_requests_survive_snapshots_and_older_snapshots_decode() {
    let mut state = State::default();
    quarantine(&mut state, 1, 5, 3);
    let read = State::decode(&state.encode()).expect("snapshot");
    assert_eq!(read, state);
    let without = State::default();
    let earlier = codec::encode(&(2_u32, &without)).expect("bytes");
    assert_eq!(State::decode(&earlier).expect("earlier snapshot"), without);
    let unknown = codec::encode(&(9_u32, &without)).expect("bytes");
    assert!(State::decode(&unknown).is_err());
}
