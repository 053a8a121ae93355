//! HTTP interface of the engine.

mod calls;
mod chunks;
mod fetches;
mod service;
mod start;
mod streams;

pub use start::{EngineFront, EngineHandle, start, start_many, start_with};
