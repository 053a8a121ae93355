//! Schedule of reports to the leader.

use millpass_gateway::ReportSchedule;
use millpass_proto::{Duration, Timestamp};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn schedule() -> ReportSchedule {
    ReportSchedule::new(Duration::from_millis(300))
}

/// Guards against a slow recovery after a leader change: a new connection must not wait for an older response.
#[test]
fn the_first_report_on_a_connection_is_due_at_once() {
    assert!(schedule().is_due(at(1_000), false, false));
}

#[test]
fn a_periodic_report_waits_for_the_previous_response() {
    let mut schedule = schedule();
    schedule.record_sent(at(1_000));
    assert!(!schedule.is_due(at(1_299), true, false));
    assert!(schedule.is_due(at(1_300), true, false));
    assert!(!schedule.is_due(at(1_300), false, false));
    assert_eq!(schedule.next_check(at(1_300), false), at(1_900));
    assert!(schedule.is_due(at(1_900), false, false));
}

#[test]
fn an_urgent_report_waits_only_for_the_minimum_interval() {
    let mut schedule = schedule();
    schedule.record_sent(at(1_000));
    assert!(!schedule.is_due(at(1_004), false, true));
    assert_eq!(schedule.next_check(at(1_004), true), at(1_005));
    assert!(schedule.is_due(at(1_005), false, true));
}
