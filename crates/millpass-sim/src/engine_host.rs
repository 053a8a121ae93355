//! Host of a simulated engine: requests, loads from the weight store and reports.

use crate::back_ends::Run;
use crate::engine::{EngineEffect, EngineModel};
use crate::event::{
    ANY_RUN, AnswerPart, BackEnd, BackEndRequest, ControlEvent, EngineEvent, OrderReply,
    PendingLoad, ReplyTo, RouterEvent, SimEvent,
};
use crate::settings::MILLIS;
use crate::world::World;
use millpass_checkers::{Event, RunEnding};
use millpass_proto::{BackendObservation, EngineOrder, OrderResponse};
use millpass_routing::{AttemptFailure, RoutingInput};

const TOKENS_PER_STEP: u64 = 4;
const STEP_MICROS: u64 = 20 * MILLIS;
const CACHED_LOAD_MICROS: u64 = 150 * MILLIS;
const STORE_LOAD_MICROS: u64 = 300 * MILLIS;
const STORE_LOAD_JITTER: u64 = 300 * MILLIS;
const FAILED_LOADS_PERMILLE: u64 = 20;
const REFUSED_MICROS: u64 = MILLIS;
const SLOW_STORE_FACTOR: u64 = 6;

impl World {
    /// Schedules an event for an engine.
    pub(crate) fn engine_later(&mut self, engine: usize, run: u64, delay: u64, event: EngineEvent) {
        let at = self.now + delay;
        self.queue.push(at, SimEvent::Engine(engine, run, event));
    }

    /// Handles an event of an engine.
    pub(crate) fn engine_event(&mut self, engine: usize, run: u64, event: EngineEvent) {
        let node = &self.engines[engine];
        let for_this_run = run == ANY_RUN || run == node.run;
        if !node.alive || !for_this_run {
            return self.fail_undeliverable(engine, event);
        }
        match event {
            EngineEvent::Order(order, reply_to) => self.engine_order(engine, &order, reply_to),
            EngineEvent::Request(request) => self.engine_request(engine, *request),
            EngineEvent::Cancel(reply_to) => self.engine_cancel(engine, reply_to),
            EngineEvent::Step(reply_to) => self.engine_step(engine, reply_to),
            EngineEvent::Loaded(part, fence, success) => {
                let effects = self.engines[engine].model.loaded(&part, fence, success);
                self.execute_effects(engine, effects);
            }
            EngineEvent::Unloaded(part) => {
                let effects = self.engines[engine].model.unloaded(&part);
                self.execute_effects(engine, effects);
            }
            EngineEvent::Poll(router, run) => self.send_engine_report(engine, router, run),
        }
    }

    /// Fails requests and orders that reach a machine without a process.
    fn fail_undeliverable(&mut self, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::Request(request) => {
                let reply_to = request.reply_to;
                self.fail_attempt(
                    BackEnd::Engine(engine),
                    reply_to,
                    AttemptFailure::MayHaveRun,
                );
            }
            EngineEvent::Order(_, Some(reply_to)) => {
                self.send_order_response(engine, reply_to, None)
            }
            _ => {}
        }
    }

    fn engine_order(&mut self, engine: usize, order: &EngineOrder, reply_to: Option<OrderReply>) {
        let (response, effects) = self.engines[engine].model.handle_order(order);
        self.statistics.orders += 1;
        self.trace.mark(self.now, order.fence.index);
        let now = self.now;
        self.trace.line(now, || {
            format!(
                "order backend={} fence={} action={:?} answer={response:?}",
                order.backend, order.fence, order.action
            )
        });
        self.execute_effects(engine, effects);
        if let Some(reply_to) = reply_to {
            self.send_order_response(engine, reply_to, Some(response));
        }
    }

    fn send_order_response(
        &mut self,
        engine: usize,
        reply_to: OrderReply,
        response: Option<OrderResponse>,
    ) {
        let from = self.engines[engine].zone;
        let to = self.control[reply_to.member_index].zone;
        if let Some(delay) = self.network.delay(&mut self.random, from, to) {
            let event = ControlEvent::DeliveryEnded(reply_to.delivery, response);
            let at = self.now + delay;
            self.queue.push(
                at,
                SimEvent::Control(reply_to.member_index, reply_to.run, event),
            );
        }
    }

    /// Executes effects of the engine and records its state for delayed reports.
    fn execute_effects(&mut self, engine: usize, effects: Vec<EngineEffect>) {
        let (name, incarnation) = {
            let node = &self.engines[engine];
            (node.name.clone(), node.incarnation)
        };
        for effect in effects {
            match effect {
                EngineEffect::Held(slot, model) => {
                    self.record(Event::ReplicaHeld {
                        backend: name.clone(),
                        incarnation,
                        slot,
                        model,
                    });
                    self.kill_loading_engine_if_armed(engine);
                }
                EngineEffect::Freed(slot) => self.record(Event::ReplicaFreed {
                    backend: name.clone(),
                    incarnation,
                    slot,
                }),
                EngineEffect::MemoryChanged => {
                    let accelerators = self.engines[engine].model.memory();
                    self.record(Event::MemoryUsed {
                        backend: name.clone(),
                        accelerators,
                    });
                }
                EngineEffect::Load {
                    part,
                    fence,
                    cached,
                } => {
                    let run = self.engines[engine].run;
                    let pending = PendingLoad {
                        engine,
                        run,
                        part,
                        fence,
                    };
                    self.statistics.loads += 1;
                    self.begin_load(pending, cached);
                }
                EngineEffect::Unload(part) => {
                    let run = self.engines[engine].run;
                    let unload = self.settings.times.unload;
                    self.engine_later(engine, run, unload, EngineEvent::Unloaded(part));
                }
            }
        }
        let now = self.now;
        self.engines[engine].record_report(now);
    }

    fn begin_load(&mut self, pending: PendingLoad, cached: bool) {
        if cached {
            let loaded = EngineEvent::Loaded(pending.part, pending.fence, true);
            return self.engine_later(pending.engine, pending.run, CACHED_LOAD_MICROS, loaded);
        }
        let micros = STORE_LOAD_MICROS + self.random.below(STORE_LOAD_JITTER);
        let factor = if self.slow_store {
            SLOW_STORE_FACTOR
        } else {
            1
        };
        self.store.set_slow_factor(factor);
        let (load, micros) = self.store.start(micros);
        self.record(Event::StoreLoadStarted { load });
        let ended = SimEvent::StoreLoadEnded(pending, load);
        self.queue.push(self.now + micros, ended);
    }

    /// Handles the end of a load from the weight store.
    pub(crate) fn store_load_ended(&mut self, pending: PendingLoad, load: u64) {
        self.record(Event::StoreLoadEnded { load });
        let success = !self.random.chance(FAILED_LOADS_PERMILLE);
        let event = EngineEvent::Loaded(pending.part, pending.fence, success);
        self.engine_later(pending.engine, pending.run, 0, event);
    }

    fn engine_request(&mut self, engine: usize, request: BackEndRequest) {
        let node = &mut self.engines[engine];
        let slot = request.slot.unwrap_or(millpass_proto::SlotId(0));
        if !node.model.serves(slot, request.adapter.as_ref()) {
            let reply_to = request.reply_to;
            let failure = AttemptFailure::RefusedByBackend;
            return self.fail_attempt(BackEnd::Engine(engine), reply_to, failure);
        }
        node.model.run_started(slot);
        let reply_to = request.reply_to;
        let (started, event) = Run::begin(&node.name, node.incarnation, request);
        node.runs.insert(reply_to, started);
        let run = node.run;
        self.record(event);
        self.engine_later(engine, run, STEP_MICROS, EngineEvent::Step(reply_to));
    }

    fn engine_step(&mut self, engine: usize, reply_to: ReplyTo) {
        let node = &mut self.engines[engine];
        let run_number = node.run;
        let Some(run) = node.runs.get_mut(&reply_to) else {
            return;
        };
        let from = run.position;
        let to = (from + TOKENS_PER_STEP).min(run.request.length);
        run.position = to;
        let part = AnswerPart {
            tokens: run.request.seed.tokens(from, to),
            last: to == run.request.length,
        };
        let last = part.last;
        if last {
            self.end_engine_run(engine, reply_to, RunEnding::Finished);
        } else {
            let step = EngineEvent::Step(reply_to);
            self.engine_later(engine, run_number, STEP_MICROS, step);
        }
        self.send_answer_part(BackEnd::Engine(engine), reply_to, part);
    }

    fn engine_cancel(&mut self, engine: usize, reply_to: ReplyTo) {
        self.end_engine_run(engine, reply_to, RunEnding::Cancelled);
    }

    fn end_engine_run(&mut self, engine: usize, reply_to: ReplyTo, ending: RunEnding) {
        let node = &mut self.engines[engine];
        let Some(run) = node.runs.remove(&reply_to) else {
            return;
        };
        let event = run.end(&node.name, node.incarnation, ending);
        let slot = run.request.slot.unwrap_or(millpass_proto::SlotId(0));
        let effects = node.model.run_ended(slot);
        self.record(event);
        self.execute_effects(engine, effects);
    }

    fn send_engine_report(&mut self, engine: usize, router: usize, run: u64) {
        let times = &self.settings.times;
        let lag = if self.stale_reports {
            self.random.below(times.stale_report_lag)
        } else {
            times.report_lag
        };
        let node = &self.engines[engine];
        let report = node.report_at(self.now.saturating_sub(lag));
        let observation = BackendObservation::Engine(report);
        self.send_observation(node.zone, router, run, observation);
    }

    /// Sends an observation of a back end to the router that polled it.
    pub(crate) fn send_observation(
        &mut self,
        zone: usize,
        router: usize,
        run: u64,
        observation: BackendObservation,
    ) {
        let to = self.routers[router].zone;
        if let Some(delay) = self.network.delay(&mut self.random, zone, to) {
            let input = RoutingInput::Observed(observation);
            let event = RouterEvent::Input(Box::new(input));
            self.queue
                .push(self.now + delay, SimEvent::Router(router, run, event));
        }
    }

    /// Sends a part of an answer to the router; it is lost if the zones are partitioned.
    pub(crate) fn send_answer_part(
        &mut self,
        backend: BackEnd,
        reply_to: ReplyTo,
        part: AnswerPart,
    ) {
        let (from, to) = (self.zone_of(backend), self.routers[reply_to.router].zone);
        if let Some(delay) = self.network.stream_delay(&mut self.random, from, to) {
            let at = self.answer_arrival(reply_to, delay);
            let event = RouterEvent::Answer(reply_to.key, part);
            self.queue
                .push(at, SimEvent::Router(reply_to.router, reply_to.run, event));
        }
    }

    /// Notifies the router of a failed attempt. If the zones are partitioned, the router detects the
    /// failure only by its progress timeout.
    pub(crate) fn fail_attempt(
        &mut self,
        backend: BackEnd,
        reply_to: ReplyTo,
        failure: AttemptFailure,
    ) {
        let (from, to) = (self.zone_of(backend), self.routers[reply_to.router].zone);
        if let Some(delay) = self.network.stream_delay(&mut self.random, from, to) {
            let at = self.answer_arrival(reply_to, delay + REFUSED_MICROS);
            let event = RouterEvent::Failed(reply_to.key, failure);
            self.queue
                .push(at, SimEvent::Router(reply_to.router, reply_to.run, event));
        }
    }

    /// Ends an engine's process and interrupts its running requests.
    pub(crate) fn end_engine(&mut self, engine: usize) {
        let node = &mut self.engines[engine];
        node.alive = false;
        node.run += 1;
        let runs = std::mem::take(&mut node.runs);
        let (name, incarnation) = (node.name.clone(), node.incarnation);
        for (reply_to, run) in runs {
            self.record(Event::RunEnded {
                backend: name.clone(),
                incarnation,
                request: run.request.request,
                ending: RunEnding::CutOff,
            });
            self.fail_attempt(
                BackEnd::Engine(engine),
                reply_to,
                AttemptFailure::MayHaveRun,
            );
        }
    }

    /// Starts an engine's process; `empty` discards the checkpoints of its machine.
    pub(crate) fn start_engine(&mut self, engine: usize, empty: bool) {
        if self.engines[engine].alive {
            return;
        }
        let incarnation = self.new_incarnation();
        let sizes = &self.settings.sizes;
        let capacity = vec![sizes.accelerator_bytes; sizes.accelerators];
        let node = &mut self.engines[engine];
        let checkpoints = if empty {
            Default::default()
        } else {
            node.model.checkpoints().clone()
        };
        node.model = EngineModel::new(
            node.name.clone(),
            incarnation,
            crate::control_node::zone_name(node.zone),
            capacity,
            checkpoints,
            self.settings.mechanisms.engine,
        );
        node.alive = true;
        node.reclaimed = false;
        node.run += 1;
        node.incarnation = incarnation;
        node.reports.clear();
        node.record_report(self.now);
        let process = self.back_end_name(BackEnd::Engine(engine));
        self.record(Event::Started { process });
    }
}
