//! When a refusal says that a request did not run, it truly did not run: not before the refusal
//! and not after it.

use crate::{AnswerOutcome, Breach, Event, History, Limits, RequestId, StatedExecution};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "refusals";

/// Reports each request refused as not run that some back end ran.
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
    let both = refused
        .iter()
        .filter_map(|(request, at)| Some((request, at, ran.get(request)?)));
    both.map(|(request, at, place)| Breach {
        checker: NAME,
        at_micros: *at,
        detail: format!("request {} refused as not run, ran on {place}", request.0),
    })
    .collect()
}
