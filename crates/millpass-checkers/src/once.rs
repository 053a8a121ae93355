//! Checks that a request that may not be repeated runs at most once per tenant and key.

use crate::{Breach, Event, History, Limits, ScopedKey};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "once";

/// Reports each further run of a key.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let mut first_run: BTreeMap<&ScopedKey, String> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        let Event::RunStarted {
            backend,
            request,
            key: Some(key),
            ..
        } = &record.event
        else {
            continue;
        };
        let place = format!("request {} on {backend}", request.0);
        match first_run.get(key) {
            None => {
                first_run.insert(key, place);
            }
            Some(first) => breaches.push(Breach {
                checker: NAME,
                at_micros: record.at_micros,
                detail: format!(
                    "key {} of {} ran as {first} and again as {place}",
                    key.key, key.tenant
                ),
            }),
        }
    }
    breaches
}
