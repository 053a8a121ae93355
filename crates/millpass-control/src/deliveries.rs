//! Calls to engines and the platform, on a bounded pool of threads.
//!
//! An order's delivery may be lost or repeated: its fence makes that harmless. What cannot be
//! queued counts as unanswered, and the core delivers it again.

use crate::inputs::Inputs;
use crossbeam::channel::{Receiver, Sender, bounded};
use millpass_control_plane::ControlInput;
use millpass_proto::{Duration, EngineOrder, OrderAnswer, PlatformList};

/// A call to make.
pub(crate) enum Delivery {
    /// Deliver an order to the engine at this address.
    Order(String, EngineOrder),
    /// Read the platform's list at this address.
    ReadPlatform(String),
}

/// Hands calls to the pool.
pub(crate) struct Deliveries {
    queue: Sender<Delivery>,
    inputs: Inputs,
}

impl Deliveries {
    /// The pool's queue: the end that hands calls over, and the threads' end.
    pub(crate) fn new(inputs: Inputs, queue: usize) -> (Deliveries, Receiver<Delivery>) {
        let (sender, receiver) = bounded(queue);
        let deliveries = Deliveries {
            queue: sender,
            inputs,
        };
        (deliveries, receiver)
    }

    /// Hands a call over.
    pub(crate) fn submit(&self, delivery: Delivery) {
        if let Err(refused) = self.queue.try_send(delivery)
            && let Delivery::Order(_, order) = refused.into_inner()
        {
            let (backend, fence) = (order.backend, order.fence);
            self.inputs.offer(ControlInput::OrderDelivered {
                backend,
                fence,
                answer: None,
            });
        }
    }
}

/// One thread of the pool.
pub(crate) struct DeliveryWorker {
    agent: ureq::Agent,
    queue: Receiver<Delivery>,
    inputs: Inputs,
}

impl DeliveryWorker {
    /// `timeout` bounds each call.
    pub(crate) fn new(queue: Receiver<Delivery>, inputs: Inputs, timeout: Duration) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .build()
            .into();
        DeliveryWorker {
            agent,
            queue,
            inputs,
        }
    }

    /// Body of the thread; ends when the queue's other end is dropped.
    pub(crate) fn run(self) {
        while let Ok(delivery) = self.queue.recv() {
            match delivery {
                Delivery::Order(address, order) => self.deliver(&address, &order),
                Delivery::ReadPlatform(address) => self.read_platform(&address),
            }
        }
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
