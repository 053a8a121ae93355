//! One run: the trace goes through routers, scheduler, state, engines and store in virtual time.

use crate::catalog::{Catalog, position};
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::metrics::{Measurements, RequestEnd};
use crate::routers::{Routers, Target, adapter_name, target};
use crate::seats::{Seat, Seats};
use crate::trace::Trace;
use millpass_proto::{BackendName, Command, Duration, Incarnation, LogPosition, SlotId, Timestamp};
use millpass_scheduler::{Scheduler, SchedulerSettings};
use millpass_standin::engine::{EngineOutput, EngineRequest, RequestHandle};
use millpass_state::State;
use std::collections::BTreeMap;

/// Time between rounds while requests wait or orders are under way.
const BUSY_ROUND: Duration = Duration::from_millis(250);
/// Time between rounds while requests only run. The control process decides more often; with
/// nothing under way its further rounds would decide the same.
const RUNNING_ROUND: Duration = Duration::from_secs(4);
/// Time between rounds with no request anywhere; within the silence that a leader bears.
const QUIET_ROUND: Duration = Duration::from_secs(5);
/// Time from the first request that waits until the leader decides on it.
const HURRIED_REPORT: Duration = Duration::from_millis(10);
/// How long a model must be unplaceable before its requests are refused, as at a router.
const UNPLACEABLE_GRACE: Duration = Duration::from_millis(500);
/// The run of every router.
const ROUTER_RUN: Incarnation = Incarnation(1);

/// A request on its way.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    cold: bool,
    slot: Option<SlotId>,
    counted: bool,
}

/// Counters of engines and store when measurement began.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    loaded_millis: u64,
    idle_millis: u64,
    model_loads: u64,
    store_loads: u64,
}

/// One run.
pub struct Simulation<'a> {
    catalog: &'a Catalog,
    trace: &'a Trace,
    state: State,
    commands: u64,
    scheduler: Scheduler,
    fleet: Fleet,
    routers: Routers,
    seats: Seats,
    /// Commands applied when the seats were read.
    seats_of: u64,
    progress: Vec<Progress>,
    delivered: BTreeMap<BackendName, LogPosition>,
    unplaceable_since: BTreeMap<usize, Timestamp>,
    next_round: Timestamp,
    baseline: Option<Baseline>,
    measurements: Measurements,
}

impl<'a> Simulation<'a> {
    /// Sets a run up.
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
            seats: Seats::default(),
            seats_of: 0,
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

    /// Runs the trace to its end.
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
                self.baseline = Some(self.counted(self.trace.measured_from));
            }
            self.advance_fleet(now);
            while self
                .trace
                .requests
                .get(next)
                .is_some_and(|one| one.at <= now)
            {
                self.arrive(now, next);
                next += 1;
            }
            if self.next_round <= now {
                self.round(now);
            }
            self.advance_fleet(now);
        }
    }

    fn apply(&mut self, command: &Command) {
        self.commands += 1;
        self.state.apply(position(self.commands), command);
    }

    fn arrive(&mut self, now: Timestamp, number: usize) {
        let request = &self.trace.requests[number];
        let target = target(request);
        self.routers.arrived(request);
        self.progress[number].cold = !self.seats.serves(target);
        let first = !self.routers.waits(target);
        self.routers.wait(number, request);
        self.dispatch(now, target);
        let hurried = first && self.routers.waits(target);
        let pause = if hurried {
            HURRIED_REPORT
        } else {
            RUNNING_ROUND
        };
        self.next_round = self.next_round.min(now + pause);
    }

    /// Sends as many waiting requests of a target to engines as have room.
    fn dispatch(&mut self, now: Timestamp, target: Target) {
        let concurrency = self.catalog.models[target.0].concurrency;
        while let Some(number) = self.routers.first_waiting(target) {
            let Some(seat) = self.seats.take(target, concurrency) else {
                return;
            };
            self.submit(now, number, seat);
        }
    }

    fn submit(&mut self, now: Timestamp, number: usize, seat: Seat) {
        let request = &self.trace.requests[number];
        self.routers.stop_waiting(number, request);
        self.routers.dispatched(request);
        self.progress[number].slot = Some(seat.slot);
        let submission = EngineRequest {
            handle: RequestHandle(number as u64),
            request_id: number.to_string(),
            tenant: format!("tenant-{}", request.tenant).into(),
            slot: seat.slot,
            incarnation: None,
            adapter: adapter_name(self.catalog, target(request)).cloned(),
            urgency: request.urgency,
            prompt_tokens: request.prompt_tokens,
            prefix_blocks: Vec::new(),
            maximum_tokens: request.answer_tokens,
            resume_from: 0,
            deadline: None,
            idempotency_key: None,
        };
        self.fleet.submit(now, seat.engine, submission);
    }

    /// Lets engines and store do what is due, and takes what became of requests.
    fn advance_fleet(&mut self, now: Timestamp) {
        loop {
            let outputs = self.fleet.advance(now);
            if outputs.is_empty() {
                return;
            }
            self.take_outputs(now, outputs);
        }
    }

    fn take_outputs(&mut self, now: Timestamp, outputs: Vec<EngineOutput>) {
        for output in outputs {
            match output {
                EngineOutput::Started(handle) => self.started(now, handle.0 as usize),
                EngineOutput::Finished(handle, _) => self.left(now, handle.0 as usize),
                EngineOutput::Refused(handle, _) => self.sent_back(now, handle.0 as usize),
                _ => {}
            }
        }
    }

    fn started(&mut self, now: Timestamp, number: usize) {
        let waited = now.since(self.trace.requests[number].at);
        self.count(number, Some(waited));
    }

    fn left(&mut self, now: Timestamp, number: usize) {
        let request = &self.trace.requests[number];
        self.give_back(number);
        for adapter in self.seats.targets_of(request.model) {
            self.dispatch(now, (request.model, adapter));
        }
    }

    fn give_back(&mut self, number: usize) {
        self.routers.ended(&self.trace.requests[number]);
        if let Some(slot) = self.progress[number].slot.take() {
            self.seats.give_back(slot);
        }
    }

    /// An engine that unloads refused the request: it waits for the next round.
    fn sent_back(&mut self, now: Timestamp, number: usize) {
        let request = &self.trace.requests[number];
        self.progress[number].cold = true;
        self.routers.wait(number, request);
        self.give_back(number);
        self.next_round = self.next_round.min(now + HURRIED_REPORT);
    }

    fn count(&mut self, number: usize, started_after: Option<Duration>) {
        let request = &self.trace.requests[number];
        let progress = &mut self.progress[number];
        progress.counted = true;
        if request.at >= self.trace.measured_from {
            let end = RequestEnd {
                cold: progress.cold,
                started_after,
            };
            self.measurements.record(request, end);
        }
    }

    /// One scheduling round with what comes before and after it at the control process.
    fn round(&mut self, now: Timestamp) {
        let trace = &self.trace.requests;
        for report in self.fleet.read_reports(now) {
            self.scheduler.observe_engine(now, &report);
            for (_, command) in self.state.settlements(&report) {
                self.apply(&command);
            }
        }
        for (router, report) in self.routers.reports(now, self.catalog, trace) {
            self.scheduler
                .observe_router(now, &router, ROUTER_RUN, &report);
        }
        for command in self.scheduler.decide(now, &self.state) {
            self.apply(&command);
        }
        if self.seats_of != self.commands {
            self.seats_of = self.commands;
            self.seats.refresh(&self.state, self.catalog);
        }
        self.deliver_orders(now);
        for target in self.routers.waiting_targets() {
            self.dispatch(now, target);
        }
        self.refuse_hopeless(now);
        let busy = self.routers.any_waiting() || self.state.outstanding_order_count() > 0;
        let pause = match (busy, self.seats.any_in_flight()) {
            (true, _) => BUSY_ROUND,
            (false, true) => RUNNING_ROUND,
            (false, false) => QUIET_ROUND,
        };
        self.next_round = now + pause;
    }

    /// Delivers the next order of each engine, once.
    fn deliver_orders(&mut self, now: Timestamp) {
        let engines: Vec<BackendName> = self.state.engines_with_orders().cloned().collect();
        for backend in engines {
            let Some(order) = self.state.next_order(&backend) else {
                continue;
            };
            let known = self.delivered.insert(backend.clone(), order.fence);
            if known == Some(order.fence) {
                continue;
            }
            if let Some(engine) = self.catalog.engine_number(&backend) {
                self.fleet.order(now, engine, order);
            }
        }
    }

    /// Refuses what cannot be met in time by the leader's outlook, as routers do.
    fn refuse_hopeless(&mut self, now: Timestamp) {
        let targets = self.routers.waiting_targets();
        let waits = |model: &usize| targets.iter().any(|target| target.0 == *model);
        self.unplaceable_since.retain(|model, _| waits(model));
        for target in targets {
            let model = &self.catalog.models[target.0].name;
            let outlook = self.scheduler.ready_estimate(now, &self.state, model);
            let ready = now + Duration::from_millis(outlook.ready_in_millis);
            let given_up = self.given_up(now, target.0, outlook.placeable);
            for number in self.routers.all_waiting(target) {
                let request = &self.trace.requests[number];
                if given_up || request.at + request.patience < ready {
                    self.routers.stop_waiting(number, request);
                    self.count(number, None);
                }
            }
        }
    }

    fn given_up(&mut self, now: Timestamp, model: usize, placeable: bool) -> bool {
        if placeable {
            self.unplaceable_since.remove(&model);
            return false;
        }
        let since = *self.unplaceable_since.entry(model).or_insert(now);
        now.since(since) >= UNPLACEABLE_GRACE
    }

    fn counted(&self, now: Timestamp) -> Baseline {
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
        let after = self.counted(self.trace.end);
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
        let uncounted = self.progress.iter().zip(&self.trace.requests);
        let measured_from = self.trace.measured_from;
        measured.unfinished = uncounted
            .filter(|(progress, request)| !progress.counted && request.at >= measured_from)
            .count() as u64;
        self.measurements
    }
}
