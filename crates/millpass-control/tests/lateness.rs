//! The log lines of a member that is late are bounded, and name the worst case.

use millpass_control::lateness::{LATENESS_THRESHOLD, LatenessWatch};
use millpass_control::priority::Priority;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn what_is_on_time_is_not_told() {
    let mut watch = LatenessWatch::default();
    let age = LATENESS_THRESHOLD - Duration::from_millis(1);
    assert_eq!(watch.record(Instant::now(), None, age), None);
}

#[test]
fn one_line_a_second_names_the_worst_and_the_count() {
    let mut watch = LatenessWatch::default();
    let start = Instant::now();
    let first = watch.record(start, Some(Priority::Reports), SECOND);
    let first = first.expect("the first is told at once");
    assert_eq!((first.class, first.count), (Some(Priority::Reports), 1));
    let soon = start + SECOND / 2;
    assert_eq!(
        watch.record(soon, Some(Priority::Consensus), 3 * SECOND),
        None
    );
    assert_eq!(watch.record(soon, None, 2 * SECOND), None);
    let later = watch.record(start + SECOND, Some(Priority::Credit), Duration::ZERO);
    let later = later.expect("what was late meanwhile is told");
    assert_eq!(later.class, Some(Priority::Consensus));
    assert_eq!((later.age, later.count), (3 * SECOND, 2));
}
