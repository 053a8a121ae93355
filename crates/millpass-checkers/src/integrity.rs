//! Each caller receives the whole answer to its own request.

use crate::{AnswerDigest, AnswerOutcome, Breach, Event, History, Limits, RequestId};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "integrity";

/// Reports a whole answer that is not the one of its request: somebody else's, shortened, with a
/// part doubled or out of order.
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
                detail: format!("request {} got an answer that is not its own", request.0),
            }),
            _ => {}
        }
    }
    breaches
}
