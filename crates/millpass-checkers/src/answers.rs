//! Every request is answered or refused by its deadline, with exactly one final answer.
//!
//! Allowed for: a caller that hung up; a router that was killed, whose callers see their
//! connections end; a router that was frozen, which answers as soon as it runs again for longer
//! than a moment, and which counts the time of a request that came meanwhile from when it reads
//! it.

use crate::process_times::ProcessTimes;
use crate::{AnswerOutcome, Breach, Event, History, Limits, ProcessName, RequestId};
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "answers";

/// A waking shorter than this is too short to read the requests that came during the freeze.
const READING_MICROS: u64 = 1_000;

/// What is known of one request.
struct Sent {
    at: u64,
    router: ProcessName,
    deadline: u64,
    endings: Vec<(u64, AnswerOutcome)>,
}

/// Reports requests without an answer, with a late one, with more than one, and connections that
/// ended though their router lived.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let times = ProcessTimes::of(history);
    let over = history
        .records()
        .iter()
        .rev()
        .find(|record| matches!(record.event, Event::RunOver));
    let over = over.map_or(0, |record| record.at_micros);
    let requests = collect(history);
    let mut breaches = Vec::new();
    for (request, sent) in &requests {
        if let Some(detail) = judge(sent, &times, over, limits) {
            breaches.push(Breach {
                checker: NAME,
                at_micros: sent.deadline,
                detail: format!("request {} via {}: {detail}", request.0, sent.router.0),
            });
        }
    }
    breaches
}

fn collect(history: &History) -> BTreeMap<RequestId, Sent> {
    let mut requests = BTreeMap::new();
    for record in history.records() {
        match &record.event {
            Event::RequestSent {
                request,
                router,
                deadline_micros,
                ..
            } => {
                let sent = Sent {
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

fn judge(sent: &Sent, times: &ProcessTimes, over: u64, limits: &Limits) -> Option<String> {
    let grace = limits.answer_grace_micros;
    let read = times.woken_after(&sent.router, sent.at, sent.at, READING_MICROS);
    let allowed = sent.deadline - sent.at;
    let deadline = read.map_or(sent.deadline, |read| read.saturating_add(allowed));
    let woken = times.woken_after(&sent.router, sent.at, deadline.saturating_add(grace), grace);
    let due = deadline.max(woken.unwrap_or(0)).saturating_add(grace);
    match sent.endings.as_slice() {
        [] if due > over => None,
        [] => Some(format!("no final answer by {due}")),
        [(at, outcome)] => judge_ending(sent, times, *at, outcome, due),
        several => Some(format!("{} final answers", several.len())),
    }
}

fn judge_ending(
    sent: &Sent,
    times: &ProcessTimes,
    at: u64,
    outcome: &AnswerOutcome,
    due: u64,
) -> Option<String> {
    match outcome {
        AnswerOutcome::CallerGone => None,
        AnswerOutcome::ConnectionLost if times.killed_between(&sent.router, sent.at, at) => None,
        AnswerOutcome::ConnectionLost => Some("connection ended though the router lived".into()),
        _ if at > due => Some(format!("final answer at {at}, due by {due}")),
        _ => None,
    }
}
