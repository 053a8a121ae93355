//! Streaming HTTP/1.1 server shared by the router and the stand-ins: `hyper` over `smol`.
//!
//! A few executor threads carry all connections. Each whole request is handed to a
//! [`Handler`], which runs on a bounded crossbeam worker pool and may block. A streamed body is a
//! bounded channel: the handler's writes wait for the caller, and fail at once when it hangs up.

mod answer;
mod body;
mod caller_stream;
mod connection;
mod gone;
mod in_flight;
pub mod interface;
mod pool;
mod responder;
mod server;

pub use body::BodyWriter;
pub use gone::GoneFlag;
pub use interface::*;
pub use responder::{Handler, Responder};
pub use server::{DrainReport, Server, ServerError, ServerHandle};
