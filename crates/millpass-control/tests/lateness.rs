//! Log lines about lateness are rate-limited and report the worst case.

use millpass_control::lateness::{LATENESS_THRESHOLD, LatenessWatch};
use millpass_control::priority::Priority;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn punctual_ticks_are_not_reported() {
    let mut watch = LatenessWatch::default();
    let age = LATENESS_THRESHOLD - Duration::from_millis(1);
    assert_eq!(watch.record(Instant::now(), None, age), None);
}

#[test]
fn reports_the_worst_lateness_and_the_count_once_a_second() {
    let mut watch = LatenessWatch::default();
    let start = Instant::now();
    let first = watch.record(start, Some(Priority::Reports), SECOND);
    let first = first.expect("the first is reported at once");
    assert_eq!((first.class, first.count), (Some(Priority::Reports), 1));
    let soon = start + SECOND / 2;
    assert_eq!(
        watch.record(soon, Some(Priority::Consensus), 3 * SECOND),
        None
    );
    assert_eq!(watch.record(soon, None, 2 * SECOND), None);
    let later = watch.record(start + SECOND, Some(Priority::Credit), Duration::ZERO);
    let later = later.expect("lateness since the last report");
    assert_eq!(later.class, Some(Priority::Consensus));
    assert_eq!((later.age, later.count), (3 * SECOND, 2));
}
