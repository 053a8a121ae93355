//! Processor time of the core's thread is attributed to kinds of work.

use millpass_control::work::{WorkKind, WorkMeter};
use std::time::Duration;

#[test]
fn work_is_summed_by_kind_and_reset_when_taken() {
    let mut meter = WorkMeter::default();
    meter.record(WorkKind::Reports, Duration::from_micros(150));
    meter.record(WorkKind::Planning, Duration::from_millis(8));
    meter.record(WorkKind::Reports, Duration::from_micros(50));
    let taken = meter.take();
    assert_eq!(
        taken,
        [
            (WorkKind::Planning, 1, Duration::from_millis(8)),
            (WorkKind::Reports, 2, Duration::from_micros(200)),
        ]
    );
    assert!(meter.take().is_empty());
}
