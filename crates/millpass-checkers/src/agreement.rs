//! Checks that the committed log is the same on all members and never changes.

use crate::{Breach, Event, History, Limits};
use millpass_proto::LogPosition;
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "agreement";

/// Reports different entries committed at the same index, by two members or by one over time.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let mut committed: BTreeMap<u64, (LogPosition, u64)> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        let Event::Committed {
            member,
            position,
            payload_hash,
        } = &record.event
        else {
            continue;
        };
        let entry = (*position, *payload_hash);
        let first = *committed.entry(position.index).or_insert(entry);
        if first != entry {
            breaches.push(Breach {
                checker: NAME,
                at_micros: record.at_micros,
                detail: format!(
                    "member {member} commits {position} where {} was committed before",
                    first.0
                ),
            });
        }
    }
    breaches
}
