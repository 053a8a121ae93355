//! Checks that every request gets exactly one final answer or refusal by its deadline.
//!
//! Exempt are requests whose caller hung up and connections lost because the router was killed. A
//! frozen router answers after it resumes, and the timeout of a request that arrived during the
//! freeze starts when the router reads it.

use crate::process_times::ProcessTimes;
use crate::{AnswerOutcome, Breach, Event, History, Limits, ProcessName, RequestId};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "answers";

/// A router that resumes for less than this may not read the requests queued during the freeze.
const MINIMUM_AWAKE_MICROS: u64 = 1_000;

struct SentRequest {
    at: u64,
    router: ProcessName,
    deadline: u64,
    endings: Vec<(u64, AnswerOutcome)>,
}

/// Reports requests with a missing, late or repeated final answer, and connections lost while the
/// router was alive.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let times = ProcessTimes::of(history);
    let run_end = history
        .records()
        .iter()
        .rev()
        .find(|record| matches!(record.event, Event::RunOver));
    let run_end = run_end.map_or(0, |record| record.at_micros);
    let requests = collect(history);
    let mut breaches = Vec::new();
    for (request, sent) in &requests {
        if let Some(detail) = check_request(sent, &times, run_end, limits) {
            breaches.push(Breach {
                checker: NAME,
                at_micros: sent.deadline,
                detail: format!("request {} via {}: {detail}", request.0, sent.router.0),
            });
        }
    }
    breaches
}

fn collect(history: &History) -> BTreeMap<RequestId, SentRequest> {
    let mut requests = BTreeMap::new();
    for record in history.records() {
        match &record.event {
            Event::RequestSent {
                request,
                router,
                deadline_micros,
                ..
            } => {
                let sent = SentRequest {
                    at: record.at_micros,
                    router: router.clone(),
                    deadline: *deadline_micros,
                    endings: Vec::new(),
                };
                requests.insert(*request, sent);
            }
            Event::RequestEnded { request, outcome } => {
                if let Some(sent) = requests.get_mut(request) {
                    sent.endings.push((record.at_micros, outcome.clone()));
                }
            }
            _ => {}
        }
    }
    requests
}

fn check_request(
    sent: &SentRequest,
    times: &ProcessTimes,
    run_end: u64,
    limits: &Limits,
) -> Option<String> {
    let grace = limits.answer_grace_micros;
    let read_at = times.woken_after(&sent.router, sent.at, sent.at, MINIMUM_AWAKE_MICROS);
    let allowed = sent.deadline - sent.at;
    let deadline = read_at.map_or(sent.deadline, |read_at| read_at.saturating_add(allowed));
    let resumed_at =
        times.woken_after(&sent.router, sent.at, deadline.saturating_add(grace), grace);
    let due = deadline.max(resumed_at.unwrap_or(0)).saturating_add(grace);
    match sent.endings.as_slice() {
        [] if due > run_end => None,
        [] => Some(format!("no final answer by {due}")),
        [(at, outcome)] => check_ending(sent, times, *at, outcome, due),
        several => Some(format!("{} final answers", several.len())),
    }
}

fn check_ending(
    sent: &SentRequest,
    times: &ProcessTimes,
    at: u64,
    outcome: &AnswerOutcome,
    due: u64,
) -> Option<String> {
    match outcome {
        AnswerOutcome::CallerGone => None,
        AnswerOutcome::ConnectionLost if times.killed_between(&sent.router, sent.at, at) => None,
        AnswerOutcome::ConnectionLost => Some("connection lost while the router was alive".into()),
        _ if at > due => Some(format!("final answer at {at}, due by {due}")),
        _ => None,
    }
}
