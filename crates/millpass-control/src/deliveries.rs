//! Calls to engines and the platform, on a bounded pool of threads.
//!
//! Engines of a deployment whose instances announce themselves are called through
//! [`EngineCalls`](crate::EngineCalls).
//!
//! Which call is made next is decided by [`CallSchedule`]. Threads are started as calls need them, and end when they have
//! been idle. An order's delivery may be lost or repeated: its fence makes that harmless. What cannot be queued, or waits
//! past its time, is answered as not sent; the core decides anew.

use crate::call_schedule::{CallOutcome, CallSchedule};
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

/// Time without a call after which a thread ends. Calls come in bursts, when demand moves or servers are out of reach.
const IDLE_LIFETIME: Duration = Duration::from_secs(5);
/// Stack of a thread that makes calls: they are made by a client without deep recursion.
const STACK_BYTES: usize = 256 * 1024;
/// An order that has less time left than this does not leave: a connection may have to be made.
const LEAST_SENDING_TIME: Duration = Duration::from_millis(20);

/// A call to make.
pub(crate) enum Delivery {
    /// Deliver an order to the engine at this address.
    Order(String, EngineOrder),
    /// Read the platform's list at this address.
    ReadPlatform(String),
    /// Give an engine an instruction, whose last byte leaves by this time.
    Instruct(EngineInstruction, Timestamp),
    /// Read the state of an engine.
    ReadEngine(EngineRead),
}

/// A read of an engine's state.
pub(crate) struct EngineRead {
    /// Run.
    pub(crate) instance: InstanceId,
    /// IP address and port.
    pub(crate) address: String,
    pub(crate) call: CallId,
}

impl Delivery {
    /// Whom it calls: calls to one keep their order.
    fn peer(&self) -> &str {
        match self {
            Delivery::Order(address, _) | Delivery::ReadPlatform(address) => address,
            Delivery::Instruct(instruction, _) => &instruction.instance.0,
            Delivery::ReadEngine(read) => &read.instance.0,
        }
    }

    /// What the core hears if it is not made.
    fn not_sent(self, waited: Duration) -> Option<ControlInput> {
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
            queue_time: waited,
            response_time: Duration::ZERO,
        }))
    }
}

/// A call that waits for a thread.
struct Waiting {
    since: Timestamp,
    delivery: Delivery,
}

struct State {
    schedule: CallSchedule<Waiting>,
    threads: usize,
    idle: usize,
    is_closed: bool,
}

struct Shared {
    state: Mutex<State>,
    /// Idle threads wait here.
    pushed: Condvar,
    /// Who starts threads waits here.
    lacking: Condvar,
    most_threads: usize,
    clock: ProcessClock,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hands calls to the pool; the pool ends when this is dropped.
pub(crate) struct Deliveries {
    shared: Arc<Shared>,
    inputs: Inputs,
    call_timeout: Duration,
}

impl Deliveries {
    /// The end that hands calls over, and the pool, to be run by a thread of its own.
    pub(crate) fn new(
        inputs: Inputs,
        clock: ProcessClock,
        limits: &ProcessLimits,
        engines: Option<Arc<dyn EngineCalls>>,
    ) -> (Deliveries, DeliveryPool) {
        let most_threads = limits.delivery_threads.max(1);
        let state = State {
            schedule: CallSchedule::new(most_threads, limits.delivery_queue),
            threads: 0,
            idle: 0,
            is_closed: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            pushed: Condvar::new(),
            lacking: Condvar::new(),
            most_threads,
            clock,
        });
        let pool = DeliveryPool {
            worker: DeliveryWorker {
                agent: agent(limits.call_timeout, engines.is_some()),
                shared: shared.clone(),
                inputs: inputs.clone(),
                engines,
            },
        };
        let deliveries = Deliveries {
            shared,
            inputs,
            call_timeout: limits.call_timeout,
        };
        (deliveries, pool)
    }

    /// Hands a call over. It waits for a thread as long as it may last, or, an instruction, as long as it may leave.
    pub(crate) fn submit(&self, delivery: Delivery) {
        let now = self.shared.clock.now();
        let leave_by = match &delivery {
            Delivery::Instruct(_, ends_by) => *ends_by,
            _ => now + self.call_timeout,
        };
        let peer = delivery.peer().to_owned();
        let waiting = Waiting {
            since: now,
            delivery,
        };
        let mut state = self.shared.lock();
        if let Err(refused) = state.schedule.push(&peer, leave_by, waiting) {
            drop(state);
            if let Some(input) = refused.delivery.not_sent(Duration::ZERO) {
                self.inputs.put(input);
            }
            return;
        }
        if state.idle > 0 {
            self.shared.pushed.notify_one();
        } else if state.threads < self.shared.most_threads {
            self.shared.lacking.notify_one();
        }
    }
}

impl Drop for Deliveries {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.pushed.notify_all();
        self.shared.lacking.notify_all();
    }
}

/// Starts threads as calls need them.
pub(crate) struct DeliveryPool {
    worker: DeliveryWorker,
}

impl DeliveryPool {
    /// Body of the thread that owns the pool's threads; ends when nothing is handed over any more and they have ended.
    pub(crate) fn run(self) {
        let worker = &self.worker;
        thread::scope(|scope| {
            while worker.is_lacking() {
                let builder = thread::Builder::new()
                    .name("control-delivery".to_owned())
                    .stack_size(STACK_BYTES);
                if let Err(error) = builder.spawn_scoped(scope, || worker.run()) {
                    log::error!("event=delivery_thread_failed error=\"{error}\"");
                    worker.shared.lock().threads -= 1;
                    // The threads that there are go on with the calls.
                    thread::sleep(IDLE_LIFETIME);
                }
            }
        });
    }
}

/// Buffers of a connection, in each direction. Calls and answers are small; the library's own size of
/// 128 KiB each takes a member several megabytes over the threads and idle connections of its pool.
const BUFFER_BYTES: usize = 8 * 1024;

/// The agent of a pool whose calls take at most `timeout`. Engines of an announced fleet answer
/// refusals by status.
fn agent(timeout: Duration, statuses_are_answers: bool) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(!statuses_are_answers)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build()
        .into()
}

/// What the threads of the pool do; all of them share its agent, and its connections.
struct DeliveryWorker {
    agent: ureq::Agent,
    shared: Arc<Shared>,
    inputs: Inputs,
    engines: Option<Arc<dyn EngineCalls>>,
}

impl DeliveryWorker {
    /// Waits until a further thread is needed, and counts it; false when the pool ends.
    fn is_lacking(&self) -> bool {
        let mut state = self.shared.lock();
        loop {
            if state.is_closed {
                return false;
            }
            let has_room = state.threads < self.shared.most_threads;
            if has_room && state.idle == 0 && state.schedule.has_ready() {
                state.threads += 1;
                return true;
            }
            let woken = self.shared.lacking.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Body of a thread. What an engine or the platform answers costs one delivery at most: one that makes this panic
    /// would come again at the next leader.
    fn run(&self) {
        while let Some((peer, waiting)) = self.next() {
            let carried_out = catch_unwind(AssertUnwindSafe(|| self.carry_out(waiting)));
            let end = carried_out.unwrap_or_else(|_| {
                log::error!("event=delivery_panicked");
                CallOutcome::Responded
            });
            self.shared.lock().schedule.finish(&peer, end);
        }
    }

    /// The next call; none when there was none for some time, or the pool ends.
    fn next(&self) -> Option<(String, Waiting)> {
        let mut state = self.shared.lock();
        let idle_until = self.shared.clock.now() + IDLE_LIFETIME;
        loop {
            let now = self.shared.clock.now();
            let expired = state.schedule.take_expired(now);
            if !expired.is_empty() {
                drop(state);
                self.give_back(expired, now);
                state = self.shared.lock();
                continue;
            }
            if state.is_closed || now >= idle_until {
                state.threads -= 1;
                return None;
            }
            if let Some(next) = state.schedule.take() {
                if state.schedule.has_ready() {
                    self.wake_another(&state);
                }
                return Some(next);
            }
            let until = state.schedule.next_expiry().unwrap_or(idle_until);
            let left = until.min(idle_until).since(now);
            state.idle += 1;
            let woken = self.shared.pushed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
            state.idle -= 1;
        }
    }

    fn wake_another(&self, state: &State) {
        if state.idle > 0 {
            self.shared.pushed.notify_one();
        } else if state.threads < self.shared.most_threads {
            self.shared.lacking.notify_one();
        }
    }

    /// Calls whose time passed while they waited.
    fn give_back(&self, expired: Vec<Waiting>, now: Timestamp) {
        for waiting in expired {
            let waited = now.since(waiting.since);
            if let Some(input) = waiting.delivery.not_sent(waited) {
                self.inputs.put(input);
            }
        }
    }

    fn carry_out(&self, waiting: Waiting) -> CallOutcome {
        let now = self.shared.clock.now();
        let waited = now.since(waiting.since);
        match waiting.delivery {
            Delivery::Order(address, order) => self.deliver(&address, &order),
            Delivery::ReadPlatform(address) => self.read_platform(&address),
            Delivery::Instruct(instruction, ends_by) => {
                let within = ends_by.since(now);
                if within < LEAST_SENDING_TIME {
                    let not_sent = Delivery::Instruct(instruction, ends_by).not_sent(waited);
                    self.inputs.send(not_sent.expect("the core awaits it"));
                    return CallOutcome::Responded;
                }
                self.call_engine(&instruction.instance, instruction.call, waited, |engines| {
                    engines.instruct(&self.agent, &instruction, within)
                })
            }
            Delivery::ReadEngine(read) => {
                self.call_engine(&read.instance, read.call, waited, |engines| {
                    engines.read(&self.agent, &read.instance, &read.address)
                })
            }
        }
    }

    fn call_engine(
        &self,
        instance: &InstanceId,
        call: CallId,
        waited: Duration,
        make: impl FnOnce(&dyn EngineCalls) -> InstructionResult,
    ) -> CallOutcome {
        let unanswered = InstructionResult::Unanswered;
        let left_at = self.shared.clock.now();
        let answer = self.engines.as_deref().map_or(unanswered, make);
        let end = match answer {
            InstructionResult::Unanswered => CallOutcome::Unreachable,
            _ => CallOutcome::Responded,
        };
        let answer = CallResult {
            instance: instance.clone(),
            call,
            result: answer,
            queue_time: waited,
            response_time: self.shared.clock.now().since(left_at),
        };
        self.inputs.send(ControlInput::EngineCallCompleted(answer));
        end
    }

    fn deliver(&self, address: &str, order: &EngineOrder) -> CallOutcome {
        let answer = match self.post(address, order) {
            Ok(answer) => Some(answer),
            Err(error) => {
                let (backend, fence) = (&order.backend, order.fence);
                let error = error.to_string();
                log::warn!(
                    "event=order_delivery_failed backend={backend} fence={fence} error={error:?}"
                );
                None
            }
        };
        let end = ended(answer.is_some());
        let (backend, fence) = (order.backend.clone(), order.fence);
        self.inputs.send(ControlInput::OrderDelivered {
            backend,
            fence,
            response: answer,
        });
        end
    }

    fn post(&self, address: &str, order: &EngineOrder) -> Result<OrderResponse, ureq::Error> {
        let url = format!("http://{address}/engine/orders");
        let mut response = self.agent.post(url).send_json(order)?;
        response.body_mut().read_json()
    }

    /// A list that cannot be read is read again at the next interval.
    fn read_platform(&self, address: &str) -> CallOutcome {
        let read = self.get_machines(address);
        let end = ended(read.is_ok());
        match read {
            Ok(list) => {
                self.inputs.send(ControlInput::PlatformListed(list));
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!("event=platform_read_failed address={address} error={error:?}");
            }
        }
        end
    }

    fn get_machines(&self, address: &str) -> Result<PlatformList, ureq::Error> {
        let url = format!("http://{address}/machines");
        self.agent.get(url).call()?.body_mut().read_json()
    }
}

fn ended(is_answered: bool) -> CallOutcome {
    match is_answered {
        true => CallOutcome::Responded,
        false => CallOutcome::Unreachable,
    }
}
