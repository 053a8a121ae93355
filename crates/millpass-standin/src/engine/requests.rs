//! Requests inside an engine.

use super::batch::QueuePlace;
use super::messages::{EngineRequest, RequestHandle};
use std::collections::BTreeMap;

/// One request and how far it is.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// The request.
    pub request: EngineRequest,
    /// Place in its slot's queue or batch.
    pub place: QueuePlace,
    /// Position of the next token.
    pub position: u32,
    /// Position at which the response is whole.
    pub end: u32,
    /// Cache memory it may fill while it runs.
    pub cache_bytes: u64,
    /// Whether it ran at some time.
    pub started: bool,
}

/// Requests by handle.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    states: BTreeMap<RequestHandle, RequestState>,
    next_arrival: u64,
}

impl Requests {
    /// Number to order the next arrival by.
    pub fn arrival(&mut self) -> u64 {
        self.next_arrival += 1;
        self.next_arrival
    }

    /// Adds one.
    pub fn insert(&mut self, state: RequestState) {
        self.states.insert(state.request.handle, state);
    }

    /// Looks one up.
    pub fn get(&self, handle: RequestHandle) -> Option<&RequestState> {
        self.states.get(&handle)
    }

    /// Looks one up to change it.
    pub fn get_mut(&mut self, handle: RequestHandle) -> Option<&mut RequestState> {
        self.states.get_mut(&handle)
    }

    /// Removes one.
    pub fn remove(&mut self, handle: RequestHandle) -> Option<RequestState> {
        self.states.remove(&handle)
    }

    /// All of them, by handle.
    pub fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.states.values()
    }
}
