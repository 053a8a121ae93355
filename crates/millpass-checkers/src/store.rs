//! Checks the weight store's limits on loads per second and concurrent loads.

use crate::{Breach, Event, History, Limits};
use std::collections::{BTreeSet, VecDeque};

/// Name of the checker.
pub const NAME: &str = "store";

const WINDOW_MICROS: u64 = 1_000_000;

/// Reports each load whose start exceeds a limit.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut recent: VecDeque<u64> = VecDeque::new();
    let mut running: BTreeSet<u64> = BTreeSet::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        let at = record.at_micros;
        match &record.event {
            Event::StoreLoadStarted { load } => {
                running.insert(*load);
                recent.push_back(at);
                while recent.front().is_some_and(|old| old + WINDOW_MICROS <= at) {
                    recent.pop_front();
                }
                let details = [
                    exceeded(
                        "loads started within one second",
                        recent.len(),
                        limits.store_loads_per_second,
                    ),
                    exceeded(
                        "concurrent loads",
                        running.len(),
                        limits.store_concurrent_loads,
                    ),
                ];
                for detail in details.into_iter().flatten() {
                    breaches.push(Breach {
                        checker: NAME,
                        at_micros: at,
                        detail,
                    });
                }
            }
            Event::StoreLoadEnded { load } => {
                running.remove(load);
            }
            _ => {}
        }
    }
    breaches
}

fn exceeded(what: &str, count: usize, limit: usize) -> Option<String> {
    (count > limit).then(|| format!("{count} {what}, {limit} allowed"))
}
