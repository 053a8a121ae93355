//! Tests of hang detection.

use millpass_telemetry::{HangDetector, Heartbeat, watch_for_hang};

/// Far more checks than the detector tolerates without progress.
const MANY_CHECKS: u64 = 1_000;

#[test]
fn a_thread_that_progresses_slowly_is_not_hung() {
    let mut detector = HangDetector::default();
    for check in 0..MANY_CHECKS {
        assert!(!detector.check(check / 10), "check {check}");
    }
}

#[test]
fn a_thread_without_progress_is_hung_after_fifteen_checks() {
    let mut detector = HangDetector::default();
    let first = (0..MANY_CHECKS).position(|_| detector.check(7));
    assert_eq!(first, Some(15));
    assert!(!detector.check(8), "it goes on");
}

#[test]
fn the_watch_thread_starts() {
    let heartbeat = Heartbeat::default();
    heartbeat.beat();
    watch_for_hang(heartbeat, || {}).expect("thread");
}
