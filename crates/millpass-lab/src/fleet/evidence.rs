//! Merges fleet events, caller records and back end journals into one history for the checkers.

use super::events::process;
use super::layout::Layout;
use anyhow::{Context, Result};
use millpass_checkers::{
    AnswerDigest, AnswerOutcome, Event, History, Limits, ProcessName, Record, RequestId, RunEnding,
    ScopedKey, StatedExecution,
};
use millpass_load::answer::AnswerVerdict;
use millpass_load::refusal::Executed;
use millpass_load::{HistoryRecord, Outcome};
use millpass_proto::{ClaimKey, TenantName};
use millpass_standin::run::{RunRecord, RunStep};
use std::collections::BTreeMap;
use std::path::Path;

/// Tolerance past the deadline for network delay and thread scheduling of the caller.
const RESPONSE_GRACE_MICROS: u64 = 500_000;
/// Digest of a complete, correct response; the callers have already verified the content.
const EXPECTED_DIGEST: AnswerDigest = AnswerDigest(1);
/// Digest of any other response.
const UNEXPECTED_DIGEST: AnswerDigest = AnswerDigest(0);

/// Inputs of a history.
pub struct Evidence<'a> {
    /// Fleet events.
    pub events: Vec<Record>,
    /// Caller records.
    pub callers: &'a [HistoryRecord],
    /// Start of the clock of the callers, in Unix microseconds.
    pub callers_start_micros: u64,
    /// Records of the back end journals.
    pub runs: Vec<RunRecord>,
}

/// A history, and the number of requests excluded because their router was down.
pub struct AssembledHistory {
    /// The history.
    pub history: History,
    /// Requests sent to a router while it was stopped or killed.
    pub unreached: u64,
}

impl Evidence<'_> {
    /// Builds the history, ended at `over_micros`.
    pub fn history(mut self, layout: &Layout, over_micros: u64) -> AssembledHistory {
        let downtimes = downtimes(&self.events);
        let mut records = std::mem::take(&mut self.events);
        let mut unreached = 0;
        for record in self.callers {
            let router = process(&layout.routers[record.router].name);
            let sent = self.callers_start_micros + record.sent_micros;
            let is_broken = matches!(record.outcome, Outcome::TransportError { .. });
            if is_broken && was_down(&downtimes, &router, sent) {
                unreached += 1;
                continue;
            }
            self.add_request(&mut records, record, router);
        }
        records.extend(self.runs.iter().filter_map(run_event));
        records.push(Record {
            at_micros: over_micros,
            event: Event::RunOver,
        });
        let history = History::new(records);
        AssembledHistory { history, unreached }
    }

    fn add_request(&self, records: &mut Vec<Record>, record: &HistoryRecord, router: ProcessName) {
        if record.outcome == Outcome::NotSent {
            return;
        }
        let at = |micros: u64| self.callers_start_micros + micros;
        let request = RequestId(record.request);
        records.push(Record {
            at_micros: at(record.sent_micros),
            event: Event::RequestSent {
                request,
                tenant: record.tenant.clone(),
                router,
                deadline_micros: at(record.deadline_micros),
                expected: EXPECTED_DIGEST,
                key: record.key.as_deref().map(|key| scoped(&record.tenant, key)),
            },
        });
        if let Some(outcome) = answer_outcome(&record.outcome) {
            records.push(Record {
                at_micros: at(record.ended_micros),
                event: Event::RequestEnded { request, outcome },
            });
        }
    }
}

/// Returns `None` if there was no final response.
fn answer_outcome(outcome: &Outcome) -> Option<AnswerOutcome> {
    match outcome {
        Outcome::Answered { verdict, .. } => Some(AnswerOutcome::Whole(match verdict {
            AnswerVerdict::Whole => EXPECTED_DIGEST,
            _ => UNEXPECTED_DIGEST,
        })),
        Outcome::Refused { code, executed, .. } => Some(AnswerOutcome::Refused {
            executed: match executed {
                Executed::No => StatedExecution::No,
                Executed::Yes | Executed::Unknown => StatedExecution::Unknown,
            },
            reason: code.clone(),
        }),
        // The summary of the callers reports a malformed refusal as a breach.
        Outcome::FaultyRefusal { fault, .. } => Some(AnswerOutcome::Refused {
            executed: StatedExecution::Unknown,
            reason: fault.to_string(),
        }),
        Outcome::TransportError { .. } => Some(AnswerOutcome::ConnectionLost),
        Outcome::NoAnswer | Outcome::NotSent => None,
    }
}

fn scoped(tenant: &TenantName, key: &str) -> ScopedKey {
    ScopedKey {
        tenant: tenant.clone(),
        key: ClaimKey(key.to_owned()),
    }
}

fn run_event(run: &RunRecord) -> Option<Record> {
    let request = request_number(&run.request_id)?;
    let backend = run.backend.clone();
    let incarnation = run.incarnation;
    let ended = |ending| Event::RunEnded {
        backend: run.backend.clone(),
        incarnation,
        request,
        ending,
    };
    let event = match run.step {
        RunStep::Started | RunStep::Resumed => Event::RunStarted {
            backend,
            incarnation,
            request,
            key: run.key.as_deref().map(|key| scoped(&run.tenant, key)),
            resumed: run.step == RunStep::Resumed,
        },
        RunStep::Finished => ended(RunEnding::Finished),
        RunStep::Cancelled => ended(RunEnding::Cancelled),
        RunStep::CutOff => ended(RunEnding::CutOff),
    };
    Some(Record {
        at_micros: run.at_micros,
        event,
    })
}

/// Parses the request number from a request id of the form `nonce.number.suffix`.
fn request_number(request_id: &str) -> Option<RequestId> {
    let number = request_id.split('.').nth(1)?;
    number.parse().ok().map(RequestId)
}

type Downtimes = BTreeMap<ProcessName, Vec<(u64, u64)>>;

/// Returns the intervals in which a process accepted no requests: from its planned stop or kill to
/// its next start.
fn downtimes(events: &[Record]) -> Downtimes {
    let mut downtimes = Downtimes::new();
    for record in events {
        let at = record.at_micros;
        match &record.event {
            Event::StopPlanned { process } | Event::Killed { process } => downtimes
                .entry(process.clone())
                .or_default()
                .push((at, u64::MAX)),
            Event::Started { process } => {
                let spans = downtimes.entry(process.clone()).or_default();
                for span in spans.iter_mut().filter(|span| span.1 == u64::MAX) {
                    span.1 = at + STARTUP_MICROS;
                }
            }
            _ => {}
        }
    }
    downtimes
}

/// Time until a started process listens.
const STARTUP_MICROS: u64 = 1_000_000;

fn was_down(downtimes: &Downtimes, process: &ProcessName, at: u64) -> bool {
    let spans = downtimes.get(process);
    spans.is_some_and(|spans| spans.iter().any(|(from, to)| (*from..*to).contains(&at)))
}

/// Reads all journals of a folder. Skips a truncated last line, as a kill leaves it.
pub fn read_journals(folder: &Path) -> Result<Vec<RunRecord>> {
    let mut runs = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let text = std::fs::read_to_string(&path)?;
        let count = text.lines().count();
        for (index, line) in text.lines().enumerate() {
            match serde_json::from_str(line) {
                Ok(run) => runs.push(run),
                Err(_) if index + 1 == count => {}
                Err(error) => {
                    return Err(error).with_context(|| {
                        format!("{} line {}: not a run record", path.display(), index + 1)
                    });
                }
            }
        }
    }
    Ok(runs)
}

/// Returns the limits that the checkers enforce.
pub fn limits(deployment: &crate::deployment::Deployment) -> Limits {
    Limits {
        answer_grace_micros: RESPONSE_GRACE_MICROS,
        store_loads_per_second: deployment.store.loads_per_second as usize,
        store_concurrent_loads: deployment.store.concurrent_loads as usize,
        ..Limits::default()
    }
}
