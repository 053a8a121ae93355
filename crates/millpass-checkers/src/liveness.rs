//! Checks that requests are served again within a bound after the faults end.

use crate::{AnswerOutcome, Breach, Event, History, Limits};

/// Name of the checker.
pub const NAME: &str = "liveness";

/// Reports a run in which requests were sent after the last fault and none was served within the
/// bound.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let records = history.records();
    let Some(healed) = records
        .iter()
        .rposition(|record| matches!(record.event, Event::AllHealed))
    else {
        return Vec::new();
    };
    let healed_at = records[healed].at_micros;
    let bound = healed_at + limits.recovery_micros;
    let after = &records[healed..];
    let ran_long_enough = after.iter().any(|record| record.at_micros >= bound);
    let requested = after
        .iter()
        .any(|record| matches!(record.event, Event::RequestSent { .. }));
    let served = after.iter().any(|record| {
        let whole = matches!(
            record.event,
            Event::RequestEnded {
                outcome: AnswerOutcome::Whole(_),
                ..
            }
        );
        whole && record.at_micros <= bound
    });
    if served || !requested || !ran_long_enough {
        return Vec::new();
    }
    vec![Breach {
        checker: NAME,
        at_micros: bound,
        detail: format!("no request was served between {healed_at} and {bound}"),
    }]
}
