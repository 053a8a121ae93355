//! Checks that a request refused as not run does not run, neither before nor after the refusal.

use crate::{AnswerOutcome, Breach, Event, History, Limits, RequestId, StatedExecution};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "refusals";

/// Reports each request that was refused as not run and ran at a back end.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let mut refused: BTreeMap<RequestId, u64> = BTreeMap::new();
    let mut ran: BTreeMap<RequestId, String> = BTreeMap::new();
    for record in history.records() {
        match &record.event {
            Event::RequestEnded {
                request,
                outcome:
                    AnswerOutcome::Refused {
                        executed: StatedExecution::No,
                        ..
                    },
            } => {
                refused.insert(*request, record.at_micros);
            }
            Event::RunStarted {
                request, backend, ..
            } => {
                ran.entry(*request)
                    .or_insert_with(|| format!("{backend} at {}", record.at_micros));
            }
            _ => {}
        }
    }
    let refused_and_ran = refused
        .iter()
        .filter_map(|(request, at)| Some((request, at, ran.get(request)?)));
    refused_and_ran
        .map(|(request, at, place)| Breach {
            checker: NAME,
            at_micros: *at,
            detail: format!(
                "request {} was refused as not run but ran on {place}",
                request.0
            ),
        })
        .collect()
}
