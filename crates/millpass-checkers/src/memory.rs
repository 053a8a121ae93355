//! Checks that accelerator memory is never overcommitted.

use crate::{Breach, Event, History, Limits};

/// Name of the checker.
pub const NAME: &str = "memory";

/// Reports each memory event in which an accelerator uses more than its capacity.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for record in history.records() {
        let Event::MemoryUsed {
            backend,
            accelerators,
        } = &record.event
        else {
            continue;
        };
        for (index, memory) in accelerators.iter().enumerate() {
            if memory.used_bytes > memory.capacity_bytes {
                breaches.push(Breach {
                    checker: NAME,
                    at_micros: record.at_micros,
                    detail: format!(
                        "accelerator {index} of {backend} uses {} of {} bytes",
                        memory.used_bytes, memory.capacity_bytes
                    ),
                });
            }
        }
    }
    breaches
}
