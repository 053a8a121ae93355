//! Checks that every complete answer belongs to the request of its caller.

use crate::{AnswerDigest, AnswerOutcome, Breach, Event, History, Limits, RequestId};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "integrity";

/// Reports complete answers whose digest differs from the expected one: those of another request,
/// truncated, duplicated in part or out of order.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let mut expected: BTreeMap<RequestId, AnswerDigest> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        match &record.event {
            Event::RequestSent {
                request,
                expected: digest,
                ..
            } => {
                expected.insert(*request, *digest);
            }
            Event::RequestEnded {
                request,
                outcome: AnswerOutcome::Whole(digest),
            } if expected.get(request) != Some(digest) => breaches.push(Breach {
                checker: NAME,
                at_micros: record.at_micros,
                detail: format!(
                    "request {} received an answer whose digest differs from the expected one",
                    request.0
                ),
            }),
            _ => {}
        }
    }
    breaches
}
