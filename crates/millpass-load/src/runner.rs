//! Carries a schedule out: one thread watches the clock, a bounded pool of threads calls.

use crate::caller::{CallContext, CallResult, call, client};
use crate::history::{HistoryRecord, HistoryWriter, Outcome};
use crate::population::Population;
use crate::schedule::{PlannedRequest, Schedule, Target};
use crate::summary::{Summary, SummaryCollector};
use crossbeam::channel::{Receiver, Sender, bounded};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Stack of one caller thread.
const CALLER_STACK_BYTES: usize = 256 * 1024;
/// Longest nap of the clock thread, so that a stop is seen soon.
const LONGEST_NAP: Duration = Duration::from_millis(50);
/// Records on their way to the history file.
const RECORD_QUEUE: usize = 4_096;

/// How a schedule is carried out.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Addresses of the routers, `IP:port`, in the order of the schedule's indices.
    pub routers: Vec<String>,
    /// Most requests at once; one more waits for a thread and, past its deadline, is not sent.
    pub callers: usize,
    /// Time past the deadline at which a caller stops listening.
    pub grace: Duration,
    /// A model request waiting longer than this for its first token counts as cold.
    pub cold_after: Duration,
    /// History file.
    pub history: Option<PathBuf>,
    /// Bound of the history file.
    pub maximum_history_bytes: u64,
}

impl Default for RunSettings {
    fn default() -> Self {
        RunSettings {
            routers: Vec::new(),
            callers: 400,
            grace: Duration::from_secs(5),
            cold_after: Duration::from_millis(400),
            history: None,
            maximum_history_bytes: 256 * 1024 * 1024,
        }
    }
}

/// Why a run could not start or end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Fewer addresses than the schedule has routers.
    #[error("the schedule names router {needed} and {given} addresses are given; give all")]
    TooFewRouters {
        /// Index named.
        needed: usize,
        /// Addresses given.
        given: usize,
    },
    /// A tenant index outside the population.
    #[error("the schedule names tenant {0}, which the population lacks; use the same population")]
    UnknownTenant(usize),
    /// The history cannot be written.
    #[error("cannot write the history: {0}; give a folder that can be written")]
    History(std::io::Error),
    /// A thread cannot be started.
    #[error("cannot start a caller thread: {0}; lower the number of callers")]
    Thread(std::io::Error),
}

/// What a run gave.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Counts and quantiles.
    pub summary: Summary,
    /// Every record, in order of ending.
    pub records: Vec<HistoryRecord>,
    /// Records that did not fit into the history file.
    pub skipped_records: u64,
}

/// Carries out a schedule. Setting `stop` ends it early: what is not yet due is left out.
pub fn run(
    schedule: &Schedule,
    population: &Population,
    settings: &RunSettings,
    stop: &AtomicBool,
) -> Result<RunResult, RunError> {
    check(schedule, population, settings)?;
    let history = match &settings.history {
        Some(path) => Some(
            HistoryWriter::create(path, settings.maximum_history_bytes)
                .map_err(RunError::History)?,
        ),
        None => None,
    };
    let run = Run::new(population, settings);
    thread::scope(|scope| {
        let (work, work_taken) = bounded::<&PlannedRequest>(schedule.requests.len().max(1));
        let (records, records_taken) = bounded::<HistoryRecord>(RECORD_QUEUE);
        for number in 0..settings.callers.min(schedule.requests.len()).max(1) {
            let (work_taken, records, run) = (work_taken.clone(), records.clone(), &run);
            thread::Builder::new()
                .name(format!("caller-{number}"))
                .stack_size(CALLER_STACK_BYTES)
                .spawn_scoped(scope, move || run.carry_out(&work_taken, &records))
                .map_err(RunError::Thread)?;
        }
        drop((work_taken, records));
        let collector = scope.spawn(move || collect(&records_taken, history));
        run.keep_time(schedule, work, stop);
        collector.join().expect("the collector does not panic")
    })
}

fn check(
    schedule: &Schedule,
    population: &Population,
    settings: &RunSettings,
) -> Result<(), RunError> {
    for planned in &schedule.requests {
        if planned.router >= settings.routers.len() {
            return Err(RunError::TooFewRouters {
                needed: planned.router,
                given: settings.routers.len(),
            });
        }
        if planned.tenant >= population.tenants.len() {
            return Err(RunError::UnknownTenant(planned.tenant));
        }
    }
    Ok(())
}

fn collect(
    records: &Receiver<HistoryRecord>,
    mut history: Option<HistoryWriter>,
) -> Result<RunResult, RunError> {
    let mut collector = SummaryCollector::default();
    let mut kept = Vec::new();
    for record in records {
        collector.add(&record);
        if let Some(writer) = &mut history {
            writer.write(&record).map_err(RunError::History)?;
        }
        kept.push(record);
    }
    let skipped_records = match history {
        Some(writer) => writer.finish().map_err(RunError::History)?,
        None => 0,
    };
    Ok(RunResult {
        summary: collector.finish(),
        records: kept,
        skipped_records,
    })
}

struct Run<'a> {
    population: &'a Population,
    settings: &'a RunSettings,
    agent: ureq::Agent,
    start: Instant,
    start_unix_millis: u64,
}

impl<'a> Run<'a> {
    fn new(population: &'a Population, settings: &'a RunSettings) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis();
        Run {
            population,
            settings,
            agent: client(),
            start: Instant::now(),
            start_unix_millis: u64::try_from(millis).unwrap_or(u64::MAX),
        }
    }

    /// Hands each request over when it is due, whatever became of earlier ones.
    fn keep_time<'s>(
        &self,
        schedule: &'s Schedule,
        work: Sender<&'s PlannedRequest>,
        stop: &AtomicBool,
    ) {
        for planned in &schedule.requests {
            let due = self.start + Duration::from_micros(planned.due_micros);
            while let Some(wait) = due.checked_duration_since(Instant::now()) {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(wait.min(LONGEST_NAP));
            }
            if work.send(planned).is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, work: &Receiver<&PlannedRequest>, records: &Sender<HistoryRecord>) {
        for planned in work {
            let record = self.one(planned);
            if records.send(record).is_err() {
                return;
            }
        }
    }

    fn one(&self, planned: &PlannedRequest) -> HistoryRecord {
        let tenant = &self.population.tenants[planned.tenant];
        let key = match &planned.target {
            Target::WebWrite { key, .. } => Some(key.render(self.start_unix_millis)),
            _ => None,
        };
        let sent = Instant::now();
        let due = self.start + Duration::from_micros(planned.due_micros);
        let deadline = due + Duration::from_millis(planned.deadline_millis);
        let time_left = deadline.saturating_duration_since(sent);
        let result = if time_left.is_zero() {
            None
        } else {
            let request_id = request_id(planned);
            let context = CallContext {
                router: &self.settings.routers[planned.router],
                api_key: &tenant.api_key,
                request_id: &request_id,
                key: key.as_deref(),
                time_left,
                grace: self.settings.grace,
            };
            Some(call(&self.agent, planned, &context))
        };
        let ended = Instant::now();
        self.record(planned, key, sent, ended, result)
    }

    fn record(
        &self,
        planned: &PlannedRequest,
        key: Option<String>,
        sent: Instant,
        ended: Instant,
        result: Option<CallResult>,
    ) -> HistoryRecord {
        let micros = |instant: Instant| self.micros_at(instant);
        let tokens_asked = match &planned.target {
            Target::Tokens { tokens, .. } => *tokens,
            _ => 0,
        };
        let first_micros = result.as_ref().and_then(|result| result.first).map(micros);
        let until_first = first_micros.map(|first| first.saturating_sub(planned.due_micros));
        let cold_after = duration_micros(self.settings.cold_after);
        HistoryRecord {
            request: planned.request,
            tenant: self.population.tenants[planned.tenant].name.clone(),
            key,
            target: planned.target.label(),
            router: planned.router,
            urgency: planned.urgency,
            burst: planned.burst,
            nonce: planned.nonce.clone(),
            due_micros: planned.due_micros,
            sent_micros: micros(sent),
            first_micros,
            ended_micros: micros(ended),
            deadline_micros: planned.due_micros + planned.deadline_millis * 1_000,
            tokens: result.as_ref().map_or(0, |result| result.tokens),
            tokens_asked,
            longest_pause_micros: result
                .as_ref()
                .map_or(0, |result| duration_micros(result.longest_pause)),
            cold: tokens_asked > 0 && until_first.is_some_and(|wait| wait > cold_after),
            outcome: result.map_or(Outcome::NotSent, |result| result.outcome),
        }
    }

    fn micros_at(&self, instant: Instant) -> u64 {
        duration_micros(instant.saturating_duration_since(self.start))
    }
}

/// Identity of a request: its nonce and its number, since a deliberate repeat shares the nonce.
pub fn request_id(planned: &PlannedRequest) -> String {
    format!("{}.{}", planned.nonce, planned.request)
}

fn duration_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
