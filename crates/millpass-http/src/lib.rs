//! Streaming HTTP/1.1 server shared by the router and the stand-ins: `hyper` over `smol`.
//!
//! A few executor threads carry all connections. Each whole request is handed to a
//! [`Handler`], which runs on a bounded crossbeam worker pool and may block. A streamed body is a
//! bounded channel: the handler's writes wait for the caller, and fail at once when it hangs up.

pub mod interface;

pub use interface::*;
