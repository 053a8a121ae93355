//! Executes a schedule: one thread dispatches requests when due to a bounded pool of callers.

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

const CALLER_STACK_BYTES: usize = 256 * 1024;
/// Bounds the delay until the dispatching thread checks the stop flag.
const MAXIMUM_SLEEP: Duration = Duration::from_millis(50);
/// Capacity of the queue to the history writer.
const RECORD_QUEUE_CAPACITY: usize = 4_096;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Addresses of the routers, `IP:port`, in the order of the schedule's indices.
    pub routers: Vec<String>,
    /// Number of caller threads; a request that finds none free before its deadline is not sent.
    pub callers: usize,
    /// Time after the deadline until a caller stops waiting for a response.
    pub grace: Duration,
    /// Time to first token above which a model request counts as cold.
    pub cold_after: Duration,
    /// History file; `None` writes no history.
    pub history: Option<PathBuf>,
    /// Maximum size of the history file.
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

/// Error of [`run`].
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The schedule uses more routers than there are addresses.
    #[error(
        "the schedule uses router index {needed}, but only {given} addresses are given; add more"
    )]
    TooFewRouters {
        /// Router index used by the schedule.
        needed: usize,
        /// Number of configured addresses.
        given: usize,
    },
    /// A tenant index outside the population.
    #[error("the population has no tenant index {0}; use the schedule's own population")]
    UnknownTenant(usize),
    /// The history cannot be written.
    #[error("cannot write the history: {0}; choose a writable folder")]
    History(std::io::Error),
    /// A thread cannot be started.
    #[error("cannot start a caller thread: {0}; lower the number of callers")]
    Thread(std::io::Error),
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Counts and quantiles.
    pub summary: Summary,
    /// Records in order of completion.
    pub records: Vec<HistoryRecord>,
    /// Records that did not fit into the history file.
    pub skipped_records: u64,
}

/// Executes a schedule. Setting `stop` ends the run early; requests not yet due are dropped.
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
        let (work, work_receiver) = bounded::<&PlannedRequest>(schedule.requests.len().max(1));
        let (records, record_receiver) = bounded::<HistoryRecord>(RECORD_QUEUE_CAPACITY);
        for number in 0..settings.callers.min(schedule.requests.len()).max(1) {
            let (work_receiver, records, run) = (work_receiver.clone(), records.clone(), &run);
            thread::Builder::new()
                .name(format!("caller-{number}"))
                .stack_size(CALLER_STACK_BYTES)
                .spawn_scoped(scope, move || run.run_caller(&work_receiver, &records))
                .map_err(RunError::Thread)?;
        }
        drop((work_receiver, records));
        let collector = scope.spawn(move || collect(&record_receiver, history));
        run.dispatch_when_due(schedule, work, stop);
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
    let mut collected = Vec::new();
    for record in records {
        collector.add(&record);
        if let Some(writer) = &mut history {
            writer.write(&record).map_err(RunError::History)?;
        }
        collected.push(record);
    }
    let skipped_records = match history {
        Some(writer) => writer.finish().map_err(RunError::History)?,
        None => 0,
    };
    Ok(RunResult {
        summary: collector.finish(),
        records: collected,
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

    /// Dispatches each request when it is due, regardless of the progress of earlier ones.
    fn dispatch_when_due<'s>(
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
                thread::sleep(wait.min(MAXIMUM_SLEEP));
            }
            if work.send(planned).is_err() {
                return;
            }
        }
    }

    fn run_caller(&self, work: &Receiver<&PlannedRequest>, records: &Sender<HistoryRecord>) {
        for planned in work {
            let record = self.execute(planned);
            if records.send(record).is_err() {
                return;
            }
        }
    }

    fn execute(&self, planned: &PlannedRequest) -> HistoryRecord {
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

/// Returns the request ID: nonce and sequence number, since a repeat has the same nonce.
pub fn request_id(planned: &PlannedRequest) -> String {
    format!("{}.{}", planned.nonce, planned.request)
}

fn duration_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
