//! Calls to engines and the platform, on a bounded pool of threads.
//!
//! Engines of a deployment whose instances announce themselves are called through
//! [`EngineCalls`](crate::EngineCalls).
//!
//! An order's delivery may be lost or repeated: its fence makes that harmless. What cannot be
//! queued counts as unanswered, and the core delivers it again.

use crate::inputs::Inputs;
use crate::interface::EngineCalls;
use crossbeam::channel::{Receiver, Sender, bounded};
use millpass_control_plane::{CallAnswer, ControlInput};
use millpass_proto::{
    CallId, Duration, EngineInstruction, EngineOrder, InstanceId, InstructionAnswer, OrderAnswer,
    PlatformList,
};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Instant;

/// A call to make.
pub(crate) enum Delivery {
    /// Deliver an order to the engine at this address.
    Order(String, EngineOrder),
    /// Read the platform's list at this address.
    ReadPlatform(String),
    /// Give an engine an instruction.
    Instruct(EngineInstruction),
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

/// A call that waits for a thread.
pub(crate) struct Waiting {
    since: Instant,
    delivery: Delivery,
}

/// Hands calls to the pool.
pub(crate) struct Deliveries {
    queue: Sender<Waiting>,
    inputs: Inputs,
}

impl Deliveries {
    /// The pool's queue: the end that hands calls over, and the threads' end.
    pub(crate) fn new(inputs: Inputs, queue: usize) -> (Deliveries, Receiver<Waiting>) {
        let (sender, receiver) = bounded(queue);
        let deliveries = Deliveries {
            queue: sender,
            inputs,
        };
        (deliveries, receiver)
    }

    /// Hands a call over.
    pub(crate) fn submit(&self, delivery: Delivery) {
        let waiting = Waiting {
            since: Instant::now(),
            delivery,
        };
        let Err(refused) = self.queue.try_send(waiting) else {
            return;
        };
        let unanswered = match refused.into_inner().delivery {
            Delivery::Order(_, order) => ControlInput::OrderDelivered {
                backend: order.backend,
                fence: order.fence,
                answer: None,
            },
            Delivery::Instruct(EngineInstruction { instance, call, .. })
            | Delivery::ReadEngine(EngineRead { instance, call, .. }) => {
                ControlInput::InstructionAnswered(CallAnswer {
                    instance,
                    call,
                    answer: InstructionAnswer::Unanswered,
                    waited: Duration::ZERO,
                    took: Duration::ZERO,
                })
            }
            Delivery::ReadPlatform(_) => return,
        };
        self.inputs.put(unanswered);
    }
}

/// Buffers of a connection, in each direction. Calls and answers are small; the library's own size of
/// 128 KiB each takes a member several megabytes over the threads and idle connections of its pool.
const BUFFER_BYTES: usize = 8 * 1024;

/// The agent of a pool whose calls take at most `timeout`. Engines of an announced fleet answer
/// refusals by status.
pub(crate) fn agent(timeout: Duration, statuses_are_answers: bool) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(!statuses_are_answers)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build()
        .into()
}

/// One thread of the pool.
pub(crate) struct DeliveryWorker {
    agent: ureq::Agent,
    queue: Receiver<Waiting>,
    inputs: Inputs,
    engines: Option<Arc<dyn EngineCalls>>,
}

impl DeliveryWorker {
    /// The agent bounds the time of each call; all threads of the pool share it, and its
    /// connections.
    pub(crate) fn new(
        queue: Receiver<Waiting>,
        inputs: Inputs,
        agent: ureq::Agent,
        engines: Option<Arc<dyn EngineCalls>>,
    ) -> Self {
        DeliveryWorker {
            agent,
            queue,
            inputs,
            engines,
        }
    }

    /// Body of the thread; ends when the queue's other end is dropped. What an engine or the platform answers costs one
    /// delivery at most: one that makes this panic would come again at the next leader.
    pub(crate) fn run(self) {
        while let Ok(waiting) = self.queue.recv() {
            let carried_out = catch_unwind(AssertUnwindSafe(|| self.carry_out(waiting)));
            if carried_out.is_err() {
                log::error!("event=delivery_panicked");
            }
        }
    }

    fn carry_out(&self, waiting: Waiting) {
        let waited = waiting.since.elapsed();
        match waiting.delivery {
            Delivery::Order(address, order) => self.deliver(&address, &order),
            Delivery::ReadPlatform(address) => self.read_platform(&address),
            Delivery::Instruct(instruction) => {
                let call = |engines: &dyn EngineCalls| engines.instruct(&self.agent, &instruction);
                self.call_engine(&instruction.instance, instruction.call, waited, call);
            }
            Delivery::ReadEngine(read) => {
                let call = |engines: &dyn EngineCalls| {
                    engines.read(&self.agent, &read.instance, &read.address)
                };
                self.call_engine(&read.instance, read.call, waited, call);
            }
        }
    }

    fn call_engine(
        &self,
        instance: &InstanceId,
        call: CallId,
        waited: Duration,
        make: impl FnOnce(&dyn EngineCalls) -> InstructionAnswer,
    ) {
        let unanswered = InstructionAnswer::Unanswered;
        let left_at = Instant::now();
        let answer = self.engines.as_deref().map_or(unanswered, make);
        let answer = CallAnswer {
            instance: instance.clone(),
            call,
            answer,
            waited,
            took: left_at.elapsed(),
        };
        self.inputs.send(ControlInput::InstructionAnswered(answer));
    }

    fn deliver(&self, address: &str, order: &EngineOrder) {
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
        let (backend, fence) = (order.backend.clone(), order.fence);
        self.inputs.send(ControlInput::OrderDelivered {
            backend,
            fence,
            answer,
        });
    }

    fn post(&self, address: &str, order: &EngineOrder) -> Result<OrderAnswer, ureq::Error> {
        let url = format!("http://{address}/engine/orders");
        let mut response = self.agent.post(url).send_json(order)?;
        response.body_mut().read_json()
    }

    /// A list that cannot be read is read again at the next interval.
    fn read_platform(&self, address: &str) {
        match self.get_machines(address) {
            Ok(list) => {
                self.inputs.send(ControlInput::PlatformListed(list));
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!("event=platform_read_failed address={address} error={error:?}");
            }
        }
    }

    fn get_machines(&self, address: &str) -> Result<PlatformList, ureq::Error> {
        let url = format!("http://{address}/machines");
        self.agent.get(url).call()?.body_mut().read_json()
    }
}
