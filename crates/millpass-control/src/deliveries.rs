//! Calls to engines and the platform, in the order of [`CallSchedule`], on a bounded pool of
//! threads.
//!
//! An order may be lost or delivered twice; its fence makes that harmless. A call that cannot be
//! queued or expires while waiting is reported to the core as not sent, and the core decides anew.
//! When the member stops leading, waiting calls are cancelled and calls in flight are aborted.

use crate::call_schedule::{CallOutcome, CallSchedule};
use crate::fenced_calls::{agent, send_before};
use crate::inputs::Inputs;
use crate::interface::EngineCalls;
use crate::settings::ProcessLimits;
use millpass_control_plane::{CallResult, ControlInput};
use millpass_proto::{
    CallId, Duration, EngineInstruction, EngineOrder, InstanceId, InstructionResult, OrderResponse,
    PlatformList, Timestamp,
};
use millpass_telemetry::ProcessClock;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Idle time after which a thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Stack size of a calling thread, small as the HTTP client does not recurse deeply.
const STACK_BYTES: usize = 256 * 1024;
/// Minimum time left to send an instruction, as a connection may have to be opened first.
const MINIMUM_SEND_TIME: Duration = Duration::from_millis(20);

/// A call to make.
pub(crate) enum Delivery {
    /// Deliver an order to the engine at this address.
    Order(String, EngineOrder),
    /// Read the platform's list at this address.
    ReadPlatform(String),
    /// Send an instruction to an engine; its last byte must be sent before this time.
    Instruct(EngineInstruction, Timestamp),
    /// Read the state of an engine.
    ReadEngine(EngineRead),
}

/// A read of an engine's state.
pub(crate) struct EngineRead {
    /// Incarnation of the engine.
    pub(crate) instance: InstanceId,
    /// IP address and port.
    pub(crate) address: String,
    pub(crate) call: CallId,
}

impl Delivery {
    /// Returns the peer; calls to one peer keep their order.
    fn peer(&self) -> &str {
        match self {
            Delivery::Order(address, _) | Delivery::ReadPlatform(address) => address,
            Delivery::Instruct(instruction, _) => &instruction.instance.0,
            Delivery::ReadEngine(read) => &read.instance.0,
        }
    }

    /// Returns the input that reports to the core that the call was not made; `None` if the core
    /// does not wait for it.
    fn not_sent(self, queue_time: Duration) -> Option<ControlInput> {
        let (instance, call) = match self {
            Delivery::Order(_, order) => {
                return Some(ControlInput::OrderDelivered {
                    backend: order.backend,
                    fence: order.fence,
                    response: None,
                });
            }
            // It is read again at the next interval.
            Delivery::ReadPlatform(_) => return None,
            Delivery::Instruct(instruction, _) => (instruction.instance, instruction.call),
            Delivery::ReadEngine(read) => (read.instance, read.call),
        };
        Some(ControlInput::EngineCallCompleted(CallResult {
            instance,
            call,
            result: InstructionResult::NotSent,
            queue_time,
            response_time: Duration::ZERO,
        }))
    }
}

struct WaitingDelivery {
    since: Timestamp,
    /// Nothing may be written after this time.
    deadline: Timestamp,
    delivery: Delivery,
}

struct State {
    schedule: CallSchedule<WaitingDelivery>,
    threads: usize,
    idle: usize,
    is_closed: bool,
    /// Agent for calls taken from the schedule, replaced by [`Deliveries::cancel`].
    agent: ureq::Agent,
    /// Number of the agent.
    generation: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Wakes idle threads.
    queued: Condvar,
    /// Wakes the thread that starts threads.
    thread_demand: Condvar,
    maximum_threads: usize,
    clock: ProcessClock,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Submits calls to the pool; the pool ends when this is dropped.
pub(crate) struct Deliveries {
    shared: Arc<Shared>,
    inputs: Inputs,
    call_timeout: Duration,
    read_error_statuses: bool,
}

impl Deliveries {
    /// Creates the submitting end and the pool, which a separate thread must run.
    pub(crate) fn new(
        inputs: Inputs,
        clock: ProcessClock,
        limits: &ProcessLimits,
        engines: Option<Arc<dyn EngineCalls>>,
    ) -> (Deliveries, DeliveryPool) {
        let maximum_threads = limits.delivery_threads.max(1);
        // Engines of an announced fleet state refusals by status.
        let read_error_statuses = engines.is_some();
        let state = State {
            schedule: CallSchedule::new(maximum_threads, limits.delivery_queue),
            threads: 0,
            idle: 0,
            is_closed: false,
            agent: agent(clock, limits.call_timeout, read_error_statuses),
            generation: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            queued: Condvar::new(),
            thread_demand: Condvar::new(),
            maximum_threads,
            clock,
        });
        let pool = DeliveryPool {
            worker: DeliveryWorker {
                shared: shared.clone(),
                inputs: inputs.clone(),
                engines,
            },
        };
        let deliveries = Deliveries {
            shared,
            inputs,
            call_timeout: limits.call_timeout,
            read_error_statuses,
        };
        (deliveries, pool)
    }

    /// Submits a call. It expires after the call timeout; an instruction expires at its own
    /// deadline.
    pub(crate) fn submit(&self, delivery: Delivery) {
        let now = self.shared.clock.now();
        let deadline = match &delivery {
            Delivery::Instruct(_, deadline) => *deadline,
            _ => now + self.call_timeout,
        };
        let peer = delivery.peer().to_owned();
        let waiting = WaitingDelivery {
            since: now,
            deadline,
            delivery,
        };
        let mut state = self.shared.lock();
        if let Err(refused) = state.schedule.push(&peer, deadline, waiting) {
            drop(state);
            if let Some(input) = refused.delivery.not_sent(Duration::ZERO) {
                self.inputs.send_unbounded(input);
            }
            return;
        }
        if state.idle > 0 {
            self.shared.queued.notify_one();
        } else if state.threads < self.shared.maximum_threads {
            self.shared.thread_demand.notify_one();
        }
    }
}

impl Deliveries {
    /// Cancels waiting calls and aborts calls in flight, because this member stopped leading.
    /// Nothing of them is delivered afterwards, except what a peer's kernel has received already.
    pub(crate) fn cancel(&self) {
        let now = self.shared.clock.now();
        let next = agent(
            self.shared.clock,
            self.call_timeout,
            self.read_error_statuses,
        );
        // A worker takes a call together with the agent under this lock, so that no call of the
        // ended term is made with the next agent.
        let mut state = self.shared.lock();
        let ended = std::mem::replace(&mut state.agent, next);
        state.generation += 1;
        let cancelled = state.schedule.take_waiting();
        let in_flight = state.schedule.in_progress();
        drop(state);
        ended.shutdown();
        let waiting = cancelled.len();
        if waiting + in_flight > 0 {
            log::info!("event=calls_cancelled waiting={waiting} in_flight={in_flight}");
        }
        for waiting in cancelled {
            let queue_time = now.since(waiting.since);
            if let Some(input) = waiting.delivery.not_sent(queue_time) {
                self.inputs.send_unbounded(input);
            }
        }
    }
}

impl Drop for Deliveries {
    fn drop(&mut self) {
        self.cancel();
        self.shared.lock().is_closed = true;
        self.shared.queued.notify_all();
        self.shared.thread_demand.notify_all();
    }
}

/// Starts threads on demand.
pub(crate) struct DeliveryPool {
    worker: DeliveryWorker,
}

impl DeliveryPool {
    /// Body of the thread that owns the pool's threads; returns after the submitting end is dropped
    /// and they have ended.
    pub(crate) fn run(self) {
        let worker = &self.worker;
        thread::scope(|scope| {
            while worker.wait_for_demand() {
                let builder = thread::Builder::new()
                    .name("control-delivery".to_owned())
                    .stack_size(STACK_BYTES);
                if let Err(error) = builder.spawn_scoped(scope, || worker.run()) {
                    log::error!("event=delivery_thread_failed error=\"{error}\"");
                    worker.shared.lock().threads -= 1;
                    // Existing threads continue to make calls.
                    thread::sleep(IDLE_TIMEOUT);
                }
            }
        });
    }
}

/// A call taken from the schedule.
struct TakenCall {
    peer: String,
    waiting: WaitingDelivery,
    agent: ureq::Agent,
    generation: u64,
}

/// State shared by the threads of the pool.
struct DeliveryWorker {
    shared: Arc<Shared>,
    inputs: Inputs,
    engines: Option<Arc<dyn EngineCalls>>,
}

impl DeliveryWorker {
    /// Waits until another thread is needed and counts it; returns false when the pool ends.
    fn wait_for_demand(&self) -> bool {
        let mut state = self.shared.lock();
        loop {
            if state.is_closed {
                return false;
            }
            let has_capacity = state.threads < self.shared.maximum_threads;
            if has_capacity && state.idle == 0 && state.schedule.has_ready() {
                state.threads += 1;
                return true;
            }
            let woken = self.shared.thread_demand.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Body of a thread. Catches panics, so that a malformed response cannot crash one leader after
    /// the other.
    fn run(&self) {
        while let Some(taken) = self.next() {
            let TakenCall {
                peer,
                waiting,
                agent,
                generation,
            } = taken;
            let outcome = catch_unwind(AssertUnwindSafe(|| {
                send_before(waiting.deadline, || self.execute(&agent, waiting))
            }));
            let outcome = outcome.unwrap_or_else(|_| {
                log::error!("event=delivery_panicked");
                CallOutcome::Responded
            });
            let mut state = self.shared.lock();
            // An aborted call does not show that the peer is unreachable.
            let outcome = match state.generation == generation {
                true => outcome,
                false => CallOutcome::Responded,
            };
            state.schedule.finish(&peer, outcome);
        }
    }

    /// Returns the next call; `None` after the idle timeout or when the pool ends.
    fn next(&self) -> Option<TakenCall> {
        let mut state = self.shared.lock();
        let idle_until = self.shared.clock.now() + IDLE_TIMEOUT;
        loop {
            let now = self.shared.clock.now();
            let expired = state.schedule.take_expired(now);
            if !expired.is_empty() {
                drop(state);
                self.report_expired(expired, now);
                state = self.shared.lock();
                continue;
            }
            if state.is_closed || now >= idle_until {
                state.threads -= 1;
                return None;
            }
            if let Some((peer, waiting)) = state.schedule.take() {
                if state.schedule.has_ready() {
                    self.wake_another(&state);
                }
                return Some(TakenCall {
                    peer,
                    waiting,
                    agent: state.agent.clone(),
                    generation: state.generation,
                });
            }
            let until = state.schedule.next_expiry().unwrap_or(idle_until);
            let left = until.min(idle_until).since(now);
            state.idle += 1;
            let woken = self.shared.queued.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
            state.idle -= 1;
        }
    }

    fn wake_another(&self, state: &State) {
        if state.idle > 0 {
            self.shared.queued.notify_one();
        } else if state.threads < self.shared.maximum_threads {
            self.shared.thread_demand.notify_one();
        }
    }

    /// Reports expired calls to the core as not sent.
    fn report_expired(&self, expired: Vec<WaitingDelivery>, now: Timestamp) {
        for waiting in expired {
            let queue_time = now.since(waiting.since);
            if let Some(input) = waiting.delivery.not_sent(queue_time) {
                self.inputs.send_unbounded(input);
            }
        }
    }

    fn execute(&self, agent: &ureq::Agent, waiting: WaitingDelivery) -> CallOutcome {
        let now = self.shared.clock.now();
        let queue_time = now.since(waiting.since);
        match waiting.delivery {
            Delivery::Order(address, order) => self.deliver(agent, &address, &order),
            Delivery::ReadPlatform(address) => self.read_platform(agent, &address),
            Delivery::Instruct(instruction, deadline) => {
                let within = deadline.since(now);
                if within < MINIMUM_SEND_TIME {
                    let not_sent = Delivery::Instruct(instruction, deadline).not_sent(queue_time);
                    self.inputs
                        .send(not_sent.expect("instructions always have a completion"));
                    return CallOutcome::Responded;
                }
                self.call_engine(
                    &instruction.instance,
                    instruction.call,
                    queue_time,
                    |engines| engines.instruct(agent, &instruction, within),
                )
            }
            Delivery::ReadEngine(read) => {
                self.call_engine(&read.instance, read.call, queue_time, |engines| {
                    engines.read(agent, &read.instance, &read.address)
                })
            }
        }
    }

    fn call_engine(
        &self,
        instance: &InstanceId,
        call: CallId,
        queue_time: Duration,
        make: impl FnOnce(&dyn EngineCalls) -> InstructionResult,
    ) -> CallOutcome {
        let no_response = InstructionResult::Unanswered;
        let started = self.shared.clock.now();
        let result = self.engines.as_deref().map_or(no_response, make);
        let outcome = match result {
            InstructionResult::Unanswered => CallOutcome::Unreachable,
            _ => CallOutcome::Responded,
        };
        let call_result = CallResult {
            instance: instance.clone(),
            call,
            result,
            queue_time,
            response_time: self.shared.clock.now().since(started),
        };
        self.inputs
            .send(ControlInput::EngineCallCompleted(call_result));
        outcome
    }

    fn deliver(&self, agent: &ureq::Agent, address: &str, order: &EngineOrder) -> CallOutcome {
        let response = match post(agent, address, order) {
            Ok(response) => Some(response),
            Err(error) => {
                let (backend, fence) = (&order.backend, order.fence);
                let error = error.to_string();
                log::warn!(
                    "event=order_delivery_failed backend={backend} fence={fence} error={error:?}"
                );
                None
            }
        };
        let outcome = outcome(response.is_some());
        let (backend, fence) = (order.backend.clone(), order.fence);
        self.inputs.send(ControlInput::OrderDelivered {
            backend,
            fence,
            response,
        });
        outcome
    }

    /// Reads the platform's list; a failed read is retried at the next interval.
    fn read_platform(&self, agent: &ureq::Agent, address: &str) -> CallOutcome {
        let read = get_machines(agent, address);
        let outcome = outcome(read.is_ok());
        match read {
            Ok(list) => {
                self.inputs.send(ControlInput::PlatformListed(list));
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!("event=platform_read_failed address={address} error={error:?}");
            }
        }
        outcome
    }
}

fn post(
    agent: &ureq::Agent,
    address: &str,
    order: &EngineOrder,
) -> Result<OrderResponse, ureq::Error> {
    let url = format!("http://{address}/engine/orders");
    let mut response = agent.post(url).send_json(order)?;
    response.body_mut().read_json()
}

fn get_machines(agent: &ureq::Agent, address: &str) -> Result<PlatformList, ureq::Error> {
    let url = format!("http://{address}/machines");
    agent.get(url).call()?.body_mut().read_json()
}

fn outcome(responded: bool) -> CallOutcome {
    match responded {
        true => CallOutcome::Responded,
        false => CallOutcome::Unreachable,
    }
}
