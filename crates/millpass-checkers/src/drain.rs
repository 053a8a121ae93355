//! Checks that a planned stop interrupts no request in flight at a back end or router.

use crate::process_times::ProcessTimes;
use crate::{AnswerOutcome, Breach, Event, History, Limits, ProcessName, RequestId, RunEnding};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "drain";

/// Reports runs and requests interrupted by a planned stop of their back end or router. A process
/// that is killed while it drains is exempt.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let times = ProcessTimes::of(history);
    let mut sent: BTreeMap<RequestId, (u64, &ProcessName)> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        let at = record.at_micros;
        match &record.event {
            Event::RequestSent {
                request, router, ..
            } => {
                sent.insert(*request, (at, router));
            }
            Event::RequestEnded {
                request,
                outcome: AnswerOutcome::ConnectionLost,
            } => {
                let Some((_, router)) = sent.get(request) else {
                    continue;
                };
                if stopped_as_planned(&times, router, at) {
                    breaches.push(breach(at, request, router));
                }
            }
            Event::RunEnded {
                backend,
                request,
                ending: RunEnding::CutOff,
                ..
            } => {
                let process = ProcessName(backend.0.clone());
                if stopped_as_planned(&times, &process, at) {
                    breaches.push(breach(at, request, &process));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Whether a planned stop was in progress at `at` and the process was not killed since it began.
fn stopped_as_planned(times: &ProcessTimes, process: &ProcessName, at: u64) -> bool {
    times
        .stop_planned_before(process, at)
        .is_some_and(|planned| !times.killed_between(process, planned, at))
}

fn breach(at_micros: u64, request: &RequestId, process: &ProcessName) -> Breach {
    Breach {
        checker: NAME,
        at_micros,
        detail: format!(
            "planned stop of {} interrupted request {}",
            process.0, request.0
        ),
    }
}
