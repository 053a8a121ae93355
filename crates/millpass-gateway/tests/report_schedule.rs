//! When a gateway reports.

use millpass_gateway::ReportSchedule;
use millpass_proto::{Duration, Timestamp};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn schedule() -> ReportSchedule {
    ReportSchedule::new(Duration::from_millis(300))
}

/// After the loss of all members, gateways that had reported to members which did not lead found the leader 0.6 s late.
#[test]
fn the_first_report_on_a_connection_waits_for_no_answer() {
    assert!(schedule().is_due(at(1_000), false, false));
}

#[test]
fn a_report_that_nothing_urges_waits_for_the_answer_to_the_last() {
    let mut schedule = schedule();
    schedule.record_sent(at(1_000));
    assert!(!schedule.is_due(at(1_299), true, false));
    assert!(schedule.is_due(at(1_300), true, false));
    assert!(!schedule.is_due(at(1_300), false, false));
    assert_eq!(schedule.next_check(at(1_300), false), at(1_900));
    assert!(schedule.is_due(at(1_900), false, false));
}

#[test]
fn what_is_urgent_waits_for_a_short_pause_alone() {
    let mut schedule = schedule();
    schedule.record_sent(at(1_000));
    assert!(!schedule.is_due(at(1_004), false, true));
    assert_eq!(schedule.next_check(at(1_004), true), at(1_005));
    assert!(schedule.is_due(at(1_005), false, true));
}
