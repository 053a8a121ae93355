//! After the faults end, requests are served again within a bound.

use crate::{AnswerOutcome, Breach, Event, History, Limits};

/// Name of the checker.
pub const NAME: &str = "liveness";

/// Reports a run in which no request sent after the last fault is served within the bound,
/// though some were sent.
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
    let asked = after
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
    if served || !asked || !ran_long_enough {
        return Vec::new();
    }
    vec![Breach {
        checker: NAME,
        at_micros: bound,
        detail: format!("nothing served between {healed_at} and {bound}"),
    }]
}
