//! Running batch and request queue of one slot.

use super::messages::RequestHandle;
use millpass_proto::{Timestamp, Urgency};
use std::collections::BTreeMap;

/// Position in the queue: by urgency, then by arrival.
pub type QueuePosition = (Urgency, u64);

/// Running and waiting requests of one slot.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    running: BTreeMap<QueuePosition, RequestHandle>,
    waiting: BTreeMap<QueuePosition, RequestHandle>,
    /// Cache memory reserved for the running requests.
    pub running_bytes: u64,
    /// End of the current step; `None` between steps.
    pub step_ends: Option<Timestamp>,
}

impl Batch {
    pub fn enqueue(&mut self, queue_position: QueuePosition, handle: RequestHandle) {
        self.waiting.insert(queue_position, handle);
    }

    /// Returns the next request to run.
    pub fn next_waiting(&self) -> Option<(QueuePosition, RequestHandle)> {
        self.waiting
            .first_key_value()
            .map(|(queue_position, handle)| (*queue_position, *handle))
    }

    /// Moves a waiting request to the running batch and reserves `bytes` of cache for it.
    pub fn start(&mut self, queue_position: QueuePosition, bytes: u64) {
        if let Some(handle) = self.waiting.remove(&queue_position) {
            self.running.insert(queue_position, handle);
            self.running_bytes += bytes;
        }
    }

    /// Returns the request to preempt first: the running request of batch urgency that arrived last.
    pub fn preemption_victim(&self) -> Option<(QueuePosition, RequestHandle)> {
        let (queue_position, handle) = self.running.last_key_value()?;
        (queue_position.0 == Urgency::Batch).then_some((*queue_position, *handle))
    }

    /// Moves a running request back to the queue and frees its `bytes` of cache.
    pub fn preempt(&mut self, queue_position: QueuePosition, bytes: u64) {
        if let Some(handle) = self.running.remove(&queue_position) {
            self.waiting.insert(queue_position, handle);
            self.running_bytes -= bytes;
        }
    }

    /// Removes a running or waiting request; `bytes` is its cache reservation while running.
    pub fn remove(&mut self, queue_position: QueuePosition, bytes: u64) {
        if self.running.remove(&queue_position).is_some() {
            self.running_bytes -= bytes;
        }
        self.waiting.remove(&queue_position);
    }

    /// Returns the running requests in queue order.
    pub fn running(&self) -> Vec<RequestHandle> {
        self.running.values().copied().collect()
    }

    /// Returns the waiting requests in queue order.
    pub fn waiting(&self) -> Vec<RequestHandle> {
        self.waiting.values().copied().collect()
    }

    pub fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub fn waiting_count(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether no request is running or waiting.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }
}
