//! Checks that a leaving back end starts no new requests after the bound.

use crate::{Breach, Event, History, Limits};
use millpass_proto::{BackendName, Incarnation};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "leaving";

/// Reports each run that starts later than the bound after its back end was listed as leaving.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut listed: BTreeMap<(&BackendName, Incarnation), u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        match &record.event {
            Event::ListedLeaving {
                backend,
                incarnation,
            } => {
                listed
                    .entry((backend, *incarnation))
                    .or_insert(record.at_micros);
            }
            Event::RunStarted {
                backend,
                incarnation,
                request,
                ..
            } => {
                let Some(since) = listed.get(&(backend, *incarnation)) else {
                    continue;
                };
                let after = record.at_micros - since;
                if after > limits.leaving_micros {
                    breaches.push(Breach {
                        checker: NAME,
                        at_micros: record.at_micros,
                        detail: format!(
                            "request {} started on {backend} {after} us after it was listed as leaving",
                            request.0
                        ),
                    });
                }
            }
            _ => {}
        }
    }
    breaches
}
