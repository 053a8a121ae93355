//! Running batch and inner queue of one slot.

use super::messages::RequestHandle;
use millpass_proto::{Timestamp, Urgency};
use std::collections::BTreeMap;

/// Place in the queue: more urgent first, then by arrival.
pub type QueuePlace = (Urgency, u64);

/// Running and waiting requests of one slot.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    running: BTreeMap<QueuePlace, RequestHandle>,
    waiting: BTreeMap<QueuePlace, RequestHandle>,
    /// Cache memory that the running requests may fill.
    pub running_bytes: u64,
    /// When the step that goes on ends.
    pub step_ends: Option<Timestamp>,
}

impl Batch {
    /// Puts a request into the queue.
    pub fn enqueue(&mut self, place: QueuePlace, handle: RequestHandle) {
        self.waiting.insert(place, handle);
    }

    /// The next request to run.
    pub fn next_waiting(&self) -> Option<(QueuePlace, RequestHandle)> {
        self.waiting
            .first_key_value()
            .map(|(place, handle)| (*place, *handle))
    }

    /// Moves a waiting request, which may fill `bytes` of cache, to the running ones.
    pub fn start(&mut self, place: QueuePlace, bytes: u64) {
        if let Some(handle) = self.waiting.remove(&place) {
            self.running.insert(place, handle);
            self.running_bytes += bytes;
        }
    }

    /// The running batch request that arrived last: the first to be preempted.
    pub fn preemption_victim(&self) -> Option<(QueuePlace, RequestHandle)> {
        let (place, handle) = self.running.last_key_value()?;
        (place.0 == Urgency::Batch).then_some((*place, *handle))
    }

    /// Moves a running request back to the queue.
    pub fn preempt(&mut self, place: QueuePlace, bytes: u64) {
        if let Some(handle) = self.running.remove(&place) {
            self.waiting.insert(place, handle);
            self.running_bytes -= bytes;
        }
    }

    /// Removes a request wherever it is; `bytes` is what it holds if it runs.
    pub fn remove(&mut self, place: QueuePlace, bytes: u64) {
        if self.running.remove(&place).is_some() {
            self.running_bytes -= bytes;
        }
        self.waiting.remove(&place);
    }

    /// Running requests, the most urgent first.
    pub fn running(&self) -> Vec<RequestHandle> {
        self.running.values().copied().collect()
    }

    /// Waiting requests, the next one first.
    pub fn waiting(&self) -> Vec<RequestHandle> {
        self.waiting.values().copied().collect()
    }

    /// Number of running requests.
    pub fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }
}
