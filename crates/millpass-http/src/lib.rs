//! Streaming HTTP/1.1 server, built on `hyper` and `smol`.
//!
//! A few executor threads serve all connections. Each complete request is passed to a [`Handler`],
//! which runs on a bounded thread pool and may block. A streamed body is a bounded channel: writes
//! block while the caller is slow, and fail at once when it disconnects.

mod body;
mod body_budget;
mod caller_stream;
mod connection;
mod gone;
mod in_flight;
pub mod interface;
mod pool;
mod responder;
mod responses;
mod server;

pub use body::BodyWriter;
pub use gone::GoneFlag;
pub use interface::*;
pub use responder::{Handler, Responder};
pub use server::{DrainReport, Server, ServerError, ServerHandle};
