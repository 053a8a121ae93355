//! When a thread counts as hanging.

use millpass_telemetry::{HangDetector, Heartbeat, watch_for_hang};

/// More looks than any pause of a thread that works takes.
const MANY_CHECKS: u64 = 1_000;

#[test]
fn a_thread_that_comes_round_now_and_then_does_not_hang() {
    let mut detector = HangDetector::default();
    for look in 0..MANY_CHECKS {
        assert!(!detector.check(look / 10), "look {look}");
    }
}

#[test]
fn a_thread_without_progress_hangs_after_some_looks_and_not_before() {
    let mut detector = HangDetector::default();
    let first = (0..MANY_CHECKS).position(|_| detector.check(7));
    assert_eq!(first, Some(15));
    assert!(!detector.check(8), "it goes on");
}

#[test]
fn a_watch_can_be_started() {
    let heartbeat = Heartbeat::default();
    heartbeat.beat();
    watch_for_hang(heartbeat, || {}).expect("thread");
}
