//! Waiting and running requests of an engine.

use super::batch::QueuePosition;
use super::messages::{EngineRequest, RequestHandle};
use std::collections::BTreeMap;

/// A request and its progress.
#[derive(Clone, Debug)]
pub struct RequestState {
    pub request: EngineRequest,
    /// Position in the slot's queue or batch.
    pub queue_position: QueuePosition,
    /// Position of the next token.
    pub position: u32,
    /// Position after the last token.
    pub end: u32,
    /// Cache memory reserved while it runs.
    pub cache_bytes: u64,
    /// Whether it has ever entered the running batch.
    pub started: bool,
}

/// Requests by handle.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    states: BTreeMap<RequestHandle, RequestState>,
    next_arrival: u64,
}

impl Requests {
    /// Returns the sequence number of the next arrival.
    pub fn arrival(&mut self) -> u64 {
        self.next_arrival += 1;
        self.next_arrival
    }

    pub fn insert(&mut self, state: RequestState) {
        self.states.insert(state.request.handle, state);
    }

    pub fn get(&self, handle: RequestHandle) -> Option<&RequestState> {
        self.states.get(&handle)
    }

    pub fn get_mut(&mut self, handle: RequestHandle) -> Option<&mut RequestState> {
        self.states.get_mut(&handle)
    }

    pub fn remove(&mut self, handle: RequestHandle) -> Option<RequestState> {
        self.states.remove(&handle)
    }

    /// Iterates over the requests, ordered by handle.
    pub fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.states.values()
    }
}
