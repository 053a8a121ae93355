//! Simulates one trace with routers, scheduler, state, engines and weight store in virtual time.

use crate::catalog::{Catalog, position};
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::metrics::{Measurements, RequestEnd};
use crate::replica_pool::{LoadedReplica, ReplicaPool};
use crate::routers::{Routers, Target, adapter_name, target};
use crate::trace::Trace;
use millpass_proto::{BackendName, Command, Duration, Incarnation, LogPosition, SlotId, Timestamp};
use millpass_scheduler::{Scheduler, SchedulerSettings};
use millpass_standin::engine::{EngineOutput, EngineRequest, RequestHandle};
use millpass_state::State;
use std::collections::BTreeMap;

/// Interval between rounds while requests wait or orders are outstanding.
const BUSY_ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between rounds while requests only run. Longer than in the control process, whose
/// additional rounds would not change the decisions.
const RUNNING_ROUND_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between rounds without any request; within the scheduler's contact timeout.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_secs(5);
/// Delay from the first waiting request of a target until the next round.
const NEW_DEMAND_DELAY: Duration = Duration::from_millis(10);
/// Time a model must be unplaceable before its requests are refused, as in a router.
const UNPLACEABLE_GRACE: Duration = Duration::from_millis(500);
/// Incarnation of every router.
const ROUTER_INCARNATION: Incarnation = Incarnation(1);

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    cold: bool,
    slot: Option<SlotId>,
    recorded: bool,
}

/// Counters of engines and weight store at the start of the measurement.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    loaded_millis: u64,
    idle_millis: u64,
    model_loads: u64,
    store_loads: u64,
}

/// Simulation of one trace with one strategy.
pub struct Simulation<'a> {
    catalog: &'a Catalog,
    trace: &'a Trace,
    state: State,
    commands: u64,
    scheduler: Scheduler,
    fleet: Fleet,
    routers: Routers,
    replica_pool: ReplicaPool,
    /// Number of applied commands when the replica pool was last refreshed.
    refreshed_at_command: u64,
    progress: Vec<Progress>,
    delivered: BTreeMap<BackendName, LogPosition>,
    unplaceable_since: BTreeMap<usize, Timestamp>,
    next_round: Timestamp,
    baseline: Option<Baseline>,
    measurements: Measurements,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation with the catalog applied to an empty state.
    pub fn new(
        deployment: &Deployment,
        catalog: &'a Catalog,
        trace: &'a Trace,
        settings: SchedulerSettings,
    ) -> Self {
        let mut scheduler = Scheduler::new(settings);
        let routers = Routers::new(catalog.zones.len());
        for (number, zone) in catalog.zones.iter().enumerate() {
            scheduler.set_router_zone(routers.name(number), zone);
        }
        let mut simulation = Simulation {
            catalog,
            trace,
            state: State::default(),
            commands: 0,
            scheduler,
            fleet: Fleet::new(deployment, catalog),
            routers,
            replica_pool: ReplicaPool::default(),
            refreshed_at_command: 0,
            progress: vec![Progress::default(); trace.requests.len()],
            delivered: BTreeMap::new(),
            unplaceable_since: BTreeMap::new(),
            next_round: Timestamp::ZERO,
            baseline: None,
            measurements: Measurements::new(deployment.tenants.count, catalog.models.len()),
        };
        for command in catalog.commands() {
            simulation.apply(command);
        }
        simulation
    }

    /// Runs the trace to its end and returns the measurements.
    pub fn run(mut self) -> Measurements {
        let mut next = 0;
        loop {
            let arrival = self.trace.requests.get(next).map(|request| request.at);
            let due = arrival.into_iter().chain(self.fleet.next_wake());
            let now = due.chain([self.next_round]).min().unwrap_or(self.trace.end);
            if now >= self.trace.end {
                return self.finish();
            }
            if self.baseline.is_none() && now >= self.trace.measured_from {
                self.baseline = Some(self.read_counters(self.trace.measured_from));
            }
            self.advance_fleet(now);
            while self
                .trace
                .requests
                .get(next)
                .is_some_and(|one| one.at <= now)
            {
                self.on_arrival(now, next);
                next += 1;
            }
            if self.next_round <= now {
                self.run_round(now);
            }
            self.advance_fleet(now);
        }
    }

    fn apply(&mut self, command: &Command) {
        self.commands += 1;
        self.state.apply(position(self.commands), command);
    }

    fn on_arrival(&mut self, now: Timestamp, number: usize) {
        let request = &self.trace.requests[number];
        let target = target(request);
        self.routers.record_arrival(request);
        self.progress[number].cold = !self.replica_pool.serves(target);
        let first = !self.routers.has_waiting(target);
        self.routers.enqueue(number, request);
        self.dispatch(now, target);
        let is_new_demand = first && self.routers.has_waiting(target);
        let interval = if is_new_demand {
            NEW_DEMAND_DELAY
        } else {
            RUNNING_ROUND_INTERVAL
        };
        self.next_round = self.next_round.min(now + interval);
    }

    /// Sends waiting requests of a target to engines until no replica has a free slot.
    fn dispatch(&mut self, now: Timestamp, target: Target) {
        let concurrency = self.catalog.models[target.0].concurrency;
        while let Some(number) = self.routers.first_waiting(target) {
            let Some(replica) = self.replica_pool.acquire(target, concurrency) else {
                return;
            };
            self.submit(now, number, replica);
        }
    }

    fn submit(&mut self, now: Timestamp, number: usize, replica: LoadedReplica) {
        let request = &self.trace.requests[number];
        self.routers.dequeue(number, request);
        self.routers.record_dispatch(request);
        self.progress[number].slot = Some(replica.slot);
        let submission = EngineRequest {
            handle: RequestHandle(number as u64),
            request_id: number.to_string(),
            tenant: format!("tenant-{}", request.tenant).into(),
            slot: replica.slot,
            incarnation: None,
            adapter: adapter_name(self.catalog, target(request)).cloned(),
            urgency: request.urgency,
            prompt_tokens: request.prompt_tokens,
            prefix_blocks: Vec::new(),
            maximum_tokens: request.completion_tokens,
            resume_from: 0,
            deadline: None,
            idempotency_key: None,
        };
        self.fleet.submit(now, replica.engine, submission);
    }

    /// Advances engines and weight store to `now` and handles their outputs.
    fn advance_fleet(&mut self, now: Timestamp) {
        loop {
            let outputs = self.fleet.advance(now);
            if outputs.is_empty() {
                return;
            }
            self.handle_outputs(now, outputs);
        }
    }

    fn handle_outputs(&mut self, now: Timestamp, outputs: Vec<EngineOutput>) {
        for output in outputs {
            match output {
                EngineOutput::Started(handle) => self.on_started(now, handle.0 as usize),
                EngineOutput::Finished(handle, _) => self.on_finished(now, handle.0 as usize),
                EngineOutput::Refused(handle, _) => self.on_refused(now, handle.0 as usize),
                _ => {}
            }
        }
    }

    fn on_started(&mut self, now: Timestamp, number: usize) {
        let waited = now.since(self.trace.requests[number].at);
        self.record_end(number, Some(waited));
    }

    fn on_finished(&mut self, now: Timestamp, number: usize) {
        let request = &self.trace.requests[number];
        self.release_replica(number);
        for adapter in self.replica_pool.servable_adapters(request.model) {
            self.dispatch(now, (request.model, adapter));
        }
    }

    fn release_replica(&mut self, number: usize) {
        self.routers.record_end(&self.trace.requests[number]);
        if let Some(slot) = self.progress[number].slot.take() {
            self.replica_pool.release(slot);
        }
    }

    /// Requeues a request that an unloading engine refused.
    fn on_refused(&mut self, now: Timestamp, number: usize) {
        let request = &self.trace.requests[number];
        self.progress[number].cold = true;
        self.routers.enqueue(number, request);
        self.release_replica(number);
        self.next_round = self.next_round.min(now + NEW_DEMAND_DELAY);
    }

    fn record_end(&mut self, number: usize, started_after: Option<Duration>) {
        let request = &self.trace.requests[number];
        let progress = &mut self.progress[number];
        progress.recorded = true;
        if request.at >= self.trace.measured_from {
            let end = RequestEnd {
                cold: progress.cold,
                started_after,
            };
            self.measurements.record(request, end);
        }
    }

    /// Runs one scheduling round: reports, decisions, delivery of orders and dispatch.
    fn run_round(&mut self, now: Timestamp) {
        let trace = &self.trace.requests;
        for report in self.fleet.read_reports(now) {
            self.scheduler.observe_engine(now, &report);
            for (_, command) in self.state.settlements(&report) {
                self.apply(&command);
            }
        }
        for (router, report) in self.routers.reports(now, self.catalog, trace) {
            self.scheduler
                .observe_router(now, &router, ROUTER_INCARNATION, &report);
        }
        for command in self.scheduler.decide(now, &self.state) {
            self.apply(&command);
        }
        if self.refreshed_at_command != self.commands {
            self.refreshed_at_command = self.commands;
            self.replica_pool.refresh(&self.state, self.catalog);
        }
        self.deliver_orders(now);
        for target in self.routers.waiting_targets() {
            self.dispatch(now, target);
        }
        self.refuse_unservable(now);
        let busy = self.routers.any_waiting() || self.state.outstanding_order_count() > 0;
        let interval = match (busy, self.replica_pool.any_in_flight()) {
            (true, _) => BUSY_ROUND_INTERVAL,
            (false, true) => RUNNING_ROUND_INTERVAL,
            (false, false) => IDLE_ROUND_INTERVAL,
        };
        self.next_round = now + interval;
    }

    /// Delivers the next order of each engine once.
    fn deliver_orders(&mut self, now: Timestamp) {
        let engines: Vec<BackendName> = self.state.engines_with_orders().cloned().collect();
        for backend in engines {
            let Some(order) = self.state.next_order(&backend) else {
                continue;
            };
            let delivered = self.delivered.insert(backend.clone(), order.fence);
            if delivered == Some(order.fence) {
                continue;
            }
            if let Some(engine) = self.catalog.engine_number(&backend) {
                self.fleet.order(now, engine, order);
            }
        }
    }

    /// Refuses requests whose model will not be ready by their deadline, as routers do.
    fn refuse_unservable(&mut self, now: Timestamp) {
        let targets = self.routers.waiting_targets();
        let has_waiting = |model: &usize| targets.iter().any(|target| target.0 == *model);
        self.unplaceable_since.retain(|model, _| has_waiting(model));
        for target in targets {
            let model = &self.catalog.models[target.0].name;
            let estimate = self.scheduler.ready_estimate(now, &self.state, model);
            let ready = now + Duration::from_millis(estimate.ready_in_millis);
            let unplaceable = self.is_unplaceable(now, target.0, estimate.placeable);
            for number in self.routers.all_waiting(target) {
                let request = &self.trace.requests[number];
                if unplaceable || request.at + request.timeout < ready {
                    self.routers.dequeue(number, request);
                    self.record_end(number, None);
                }
            }
        }
    }

    fn is_unplaceable(&mut self, now: Timestamp, model: usize, placeable: bool) -> bool {
        if placeable {
            self.unplaceable_since.remove(&model);
            return false;
        }
        let since = *self.unplaceable_since.entry(model).or_insert(now);
        now.since(since) >= UNPLACEABLE_GRACE
    }

    fn read_counters(&self, now: Timestamp) -> Baseline {
        let mut sums = Baseline {
            store_loads: self.fleet.store_audit().started,
            ..Baseline::default()
        };
        for audit in self.fleet.audits(now) {
            sums.loaded_millis += audit.loaded_accelerator_millis;
            sums.idle_millis += audit.idle_accelerator_millis;
            sums.model_loads += audit.model_loads;
        }
        sums
    }

    fn finish(mut self) -> Measurements {
        let before = self.baseline.unwrap_or_default();
        let after = self.read_counters(self.trace.end);
        let measured = &mut self.measurements;
        measured.loaded_millis = after.loaded_millis - before.loaded_millis;
        measured.idle_millis = after.idle_millis - before.idle_millis;
        measured.model_loads = after.model_loads - before.model_loads;
        measured.store_loads = after.store_loads - before.store_loads;
        measured.store_most_at_once = self.fleet.store_audit().most_at_once;
        measured.days = self.trace.measured_days();
        let audits = self.fleet.audits(self.trace.end);
        measured.breaches = audits
            .iter()
            .map(|audit| audit.memory_overcommits + audit.repeated_requests.len() as u64)
            .sum();
        let requests = self.progress.iter().zip(&self.trace.requests);
        let measured_from = self.trace.measured_from;
        measured.unfinished = requests
            .filter(|(progress, request)| !progress.recorded && request.at >= measured_from)
            .count() as u64;
        self.measurements
    }
}
