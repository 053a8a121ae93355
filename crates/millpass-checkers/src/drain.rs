//! A planned stop cuts off no request in flight, at a back end or at a router.

use crate::process_times::ProcessTimes;
use crate::{AnswerOutcome, Breach, Event, History, Limits, ProcessName, RequestId, RunEnding};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "drain";

/// Reports runs that a planned stop of their back end cut off, and requests in flight that a
/// planned stop of their router cut off. A process that is killed while it drains is no planned
/// stop.
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

/// Whether an orderly stop was under way and the process was not killed since.
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
            "the planned stop of {} cut off request {}",
            process.0, request.0
        ),
    }
}
