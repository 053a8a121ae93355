//! Runs a fleet: start, load, fault, stop, check and report.

use super::audits::Audits;
use super::deployed::{Fleet, Programs};
use super::events::unix_micros;
use super::evidence::{Evidence, limits, read_journals};
use super::faults::{self, FaultOutcome};
use super::figures::{self, Quantiles, longest_gap_millis};
use super::folder::WorkFolder;
use super::observer::{Observation, observe};
use super::operator;
use super::prober::{ProbedChanges, probe};
use super::report::{ChangeFigures, FaultFigures, FleetReport, KindMemory, LoadFigures};
use super::revisions::{self, SeenRevisions};
use super::traffic::{self, TrafficResult};
use crate::deployment::Deployment;
use crate::options::FleetOptions;
use anyhow::{Context, Result, anyhow};
use millpass_checkers::{Event, Record};
use millpass_load::Schedule;
use millpass_proto::{ChangeId, ConfigurationRevision, RouterName};
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Wait after the load for the last changes to be applied.
const SETTLE: Duration = Duration::from_secs(4);
/// Deadline of the final read of the audit log.
const AUDIT_DEADLINE: Duration = Duration::from_secs(15);
const MILLIS_PER_HOUR: f64 = 3_600_000.0;

/// Runs a fleet and prints its report. The exit code is a failure if any check failed.
pub fn run(options: &FleetOptions) -> Result<ExitCode> {
    let deployment = Deployment::named(&options.deployment)?;
    let programs = Programs::beside_current_exe()?;
    let abort = register_abort_signals()?;
    let (folder, temporary) = work_folder(options)?;
    let report = run_in(options, deployment, folder.clone(), programs, &abort);
    let report = report.inspect_err(|_| keep_folder(&folder))?;
    let text = serde_json::to_vec_pretty(&report)?;
    std::fs::write(folder.report(), text)?;
    println!("{report}");
    if report.breaches.is_empty() {
        drop(temporary);
        return Ok(ExitCode::SUCCESS);
    }
    keep_folder(&folder);
    Ok(ExitCode::FAILURE)
}

fn keep_folder(folder: &WorkFolder) {
    println!("logs and histories: {}", folder.root.display());
}

/// Ends the run early on SIGINT or SIGTERM; the children are still stopped in order.
fn register_abort_signals() -> Result<Arc<AtomicBool>> {
    let abort = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, abort.clone())?;
    }
    Ok(abort)
}

/// A temporary folder that is removed when dropped.
struct TemporaryFolder(std::path::PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            eprintln!("millpass-lab: {}: {error}; remove it", self.0.display());
        }
    }
}

fn work_folder(options: &FleetOptions) -> Result<(WorkFolder, Option<TemporaryFolder>)> {
    if let Some(root) = &options.folder {
        return Ok((WorkFolder::create(root)?, None));
    }
    let name = format!("millpass-fleet-{}", uuid::Uuid::new_v4());
    let root = std::env::temp_dir().join(name);
    let folder = WorkFolder::create(&root)?;
    Ok((folder, Some(TemporaryFolder(root))))
}

/// Results of one run.
struct RunResults {
    ready_seconds: f64,
    catalog_seconds: f64,
    processes: usize,
    traffic: TrafficResult,
    changes: ProbedChanges,
    seen: SeenRevisions,
    observation: Observation,
    fault: Option<(FaultOutcome, u64)>,
    audits: Audits,
    breaches: Vec<String>,
    load_span: (u64, u64),
}

fn run_in(
    options: &FleetOptions,
    deployment: Deployment,
    folder: WorkFolder,
    programs: Programs,
    abort: &AtomicBool,
) -> Result<FleetReport> {
    let begin = Instant::now();
    println!("starting {} processes", deployment.process_count());
    let fleet = Fleet::start(deployment, folder, programs)?;
    operator::wait_until_ready(&fleet)?;
    let ready = begin.elapsed();
    fleet.apply_catalog()?;
    operator::wait_until_in_force(&fleet)?;
    let catalog = begin.elapsed() - ready;
    for place in &fleet.layout.routers {
        fleet.events.push(Event::RouterReachable {
            router: RouterName(place.name.clone()),
            reachable: true,
        });
    }
    println!("ready; load for {} s", options.seconds);
    let schedule = traffic::schedule(&fleet, options)?;
    let mut results = run_load(&fleet, options, &schedule, abort)?;
    results.ready_seconds = ready.as_secs_f64();
    results.catalog_seconds = catalog.as_secs_f64();
    read_audit_log(&fleet, &mut results.breaches);
    results.audits = Audits::read(&fleet);
    let late = fleet.stop();
    let late = late.iter();
    let late = late.map(|name| format!("stop: {name} did not stop in time and was killed"));
    results.breaches.extend(late);
    report(options, &fleet, &schedule, results)
}

/// Runs load, prober, watchers and fault concurrently until the load ends.
fn run_load(
    fleet: &Fleet,
    options: &FleetOptions,
    schedule: &Schedule,
    abort: &AtomicBool,
) -> Result<RunResults> {
    let stop_probing = AtomicBool::new(false);
    let stop_watching = AtomicBool::new(false);
    let load_begin = unix_micros();
    let processes = fleet.lock().process_ids().len();
    thread::scope(|scope| {
        let traffic = scope.spawn(|| traffic::run_schedule(fleet, schedule, abort));
        let prober = scope.spawn(|| probe(fleet, &stop_probing));
        let revisions = scope.spawn(|| revisions::watch(fleet, &stop_watching));
        let observer = scope.spawn(|| observe(fleet, &stop_watching, abort));
        let fault = scope.spawn(|| fault(fleet, options, abort));
        let fault = join_result(fault.join());
        let traffic = join_result(traffic.join());
        stop_probing.store(true, Ordering::Relaxed);
        let changes = prober.join();
        let load_end = unix_micros();
        thread::sleep(SETTLE);
        stop_watching.store(true, Ordering::Relaxed);
        let (seen, observation) = (revisions.join(), observer.join());
        let panicked = |_| anyhow!("a watcher thread panicked");
        Ok(RunResults {
            ready_seconds: 0.0,
            catalog_seconds: 0.0,
            processes,
            traffic: traffic?,
            changes: changes.map_err(panicked)?,
            seen: seen.map_err(panicked)?,
            observation: observation.map_err(panicked)?,
            fault: fault?,
            audits: Audits::default(),
            breaches: Vec::new(),
            load_span: (load_begin, load_end),
        })
    })
}

fn join_result<T>(result: thread::Result<Result<T>>) -> Result<T> {
    result.map_err(|_| anyhow!("a lab thread panicked"))?
}

/// Injects the requested fault, if any, after a third of the load.
fn fault(
    fleet: &Fleet,
    options: &FleetOptions,
    abort: &AtomicBool,
) -> Result<Option<(FaultOutcome, u64)>> {
    let Some(plan) = options.fault else {
        return Ok(None);
    };
    let end = Instant::now() + Duration::from_secs(options.seconds) / 3;
    while Instant::now() < end && !abort.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(50));
    }
    let begin = unix_micros();
    let length = Duration::from_secs(options.fault_seconds);
    let outcome = faults::run(fleet, plan, length, abort)
        .with_context(|| format!("cannot inject the fault {}", plan.name()))?;
    Ok(Some((outcome, begin)))
}

/// Records the audit log for the check that no accepted change is lost.
fn read_audit_log(fleet: &Fleet, breaches: &mut Vec<String>) {
    fleet.events.push(Event::FinalAuditCalled);
    match operator::operator(fleet, AUDIT_DEADLINE).audit(0) {
        Ok(audit) => {
            for record in audit.records {
                fleet.events.push(Event::FinalAudit {
                    change_id: ChangeId(record.change_id),
                    revision: ConfigurationRevision(record.revision),
                });
            }
            fleet.events.push(Event::FinalAuditRead);
        }
        Err(error) => breaches.push(format!("cannot read the audit log: {error}")),
    }
}

fn report(
    options: &FleetOptions,
    fleet: &Fleet,
    schedule: &Schedule,
    results: RunResults,
) -> Result<FleetReport> {
    let records = &results.traffic.run.records;
    let summary = &results.traffic.run.summary;
    let events = fleet.events.records();
    let evidence = Evidence {
        events: events.clone(),
        callers: records,
        callers_start_micros: results.traffic.start_micros,
        runs: read_journals(&fleet.folder.journals())?,
    };
    let assembled = evidence.history(&fleet.layout, unix_micros());
    let mut file = std::io::BufWriter::new(std::fs::File::create(fleet.folder.history())?);
    assembled.history.write(&mut file)?;
    let found = millpass_checkers::check(&assembled.history, &limits(&fleet.deployment));
    let mut breaches: Vec<String> = found.iter().map(ToString::to_string).collect();
    breaches.extend(results.observation.breaches.iter().cloned());
    breaches.extend(results.audits.breaches());
    breaches.extend(results.changes.unexpected.iter().cloned());
    breaches.extend(results.breaches.iter().cloned());
    if let Some((outcome, _)) = &results.fault {
        breaches.extend(outcome.breaches.iter().cloned());
    }
    if summary.faulty() > 0 {
        breaches.push(format!("callers: {} faulty refusals", summary.faulty()));
    }
    Ok(FleetReport {
        deployment: fleet.deployment.name.clone(),
        seed: options.seed,
        seconds: options.seconds,
        processes: results.processes,
        ready_seconds: results.ready_seconds,
        catalog_seconds: results.catalog_seconds,
        callers: summary.clone(),
        unreached: assembled.unreached,
        burst: figures::burst(records),
        first_token: figures::first_token(records),
        loads: loads(schedule, &results),
        changes: changes(fleet, &results, &events),
        fault: fault_figures(options, fleet, &results),
        memory: memory(&results.observation),
        breaches,
    })
}

fn loads(schedule: &Schedule, results: &RunResults) -> LoadFigures {
    let audits = &results.audits;
    let models: BTreeSet<&str> = schedule
        .requests
        .iter()
        .filter_map(|planned| match &planned.target {
            millpass_load::Target::Tokens { model, .. } => Some(model.as_str()),
            _ => None,
        })
        .collect();
    let hours = |millis: u64| millis as f64 / MILLIS_PER_HOUR;
    let store = audits.store.as_ref();
    LoadFigures {
        models_asked: models.len(),
        replicas: results.observation.replicas.len(),
        model_loads: audits.sum(|audit| audit.model_loads),
        adapter_loads: audits.sum(|audit| audit.adapter_loads),
        failed_loads: audits.sum(|audit| audit.failed_loads),
        store_transfers: store.map_or(0, |audit| audit.started),
        store_refusals: store.map_or(0, |audit| audit.refused),
        store_most_at_once: store.map_or(0, |audit| audit.most_at_once),
        loaded_accelerator_hours: hours(audits.sum(|audit| audit.loaded_accelerator_millis)),
        idle_accelerator_hours: hours(audits.sum(|audit| audit.idle_accelerator_millis)),
    }
}

fn changes(fleet: &Fleet, results: &RunResults, events: &[Record]) -> ChangeFigures {
    let changes = &results.changes;
    let accepted = &changes.accepted;
    let acceptance = accepted
        .iter()
        .map(|change| change.returned_micros - change.called_micros);
    let returned = accepted.iter().map(|change| change.returned_micros);
    let (from, to) = results.load_span;
    let unreachable: BTreeSet<&str> = events
        .iter()
        .filter_map(|record| match &record.event {
            Event::RouterReachable {
                router,
                reachable: false,
            } => Some(router.as_str()),
            _ => None,
        })
        .collect();
    let names = fleet.layout.routers.iter().map(|place| place.name.clone());
    let reachable: Vec<String> = names
        .filter(|name| !unreachable.contains(name.as_str()))
        .collect();
    let (in_force, not_seen) = revisions::times_in_force(accepted, &results.seen, &reachable);
    ChangeFigures {
        accepted: accepted.len(),
        not_taken: changes.not_taken,
        unknown: changes.unknown,
        acceptance: Quantiles::of(acceptance.collect()),
        longest_without_millis: longest_gap_millis(returned, from, to),
        in_force: Quantiles::of(in_force),
        not_seen_in_force: not_seen,
    }
}

fn fault_figures(
    options: &FleetOptions,
    fleet: &Fleet,
    results: &RunResults,
) -> Option<FaultFigures> {
    let (outcome, begin) = results.fault.as_ref()?;
    let start = results.traffic.start_micros;
    let counts = |record: &millpass_load::HistoryRecord| {
        let zone = &fleet.layout.routers[record.router].zone;
        start + record.due_micros >= *begin && !outcome.unhealthy_zones.contains(zone)
    };
    Some(FaultFigures {
        plan: options.fault.map_or("", |plan| plan.name()).to_owned(),
        steps: outcome.steps.clone(),
        unhealthy_zones: outcome.unhealthy_zones.clone(),
        service: figures::service(&results.traffic.run.records, counts),
    })
}

fn memory(observation: &Observation) -> std::collections::BTreeMap<String, KindMemory> {
    let kinds = observation.memory.iter();
    let kinds = kinds.map(|(kind, (processes, bytes))| {
        let memory = KindMemory {
            processes: *processes,
            bytes: *bytes,
        };
        (kind.clone(), memory)
    });
    kinds.collect()
}
