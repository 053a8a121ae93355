//! Requests, responses and settings of the server.

use bytes::Bytes;
use std::time::Duration;

/// Limits of a server. Error responses state the limit that was exceeded.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Server name, used in thread names and logs.
    pub name: String,
    /// Number of executor threads.
    pub executor_threads: usize,
    /// Maximum number of handler threads. They start on demand and end when idle.
    pub handler_threads: usize,
    /// Maximum number of open connections; further ones receive 503 and are closed.
    pub maximum_connections: usize,
    /// Maximum request body size; larger requests receive 413.
    pub maximum_body_bytes: usize,
    /// Bytes of bodies of over 64 KiB that are read or handled at once; further ones wait, for
    /// `body_timeout` at most.
    pub maximum_large_bytes: usize,
    /// Time allowed to send a request head before the caller receives 408; also the time after which
    /// an idle connection is closed.
    pub header_timeout: Duration,
    /// Time allowed to send a request body before the caller receives 408.
    pub body_timeout: Duration,
    /// Capacity of a streamed body's buffer, in chunks; writes block while it is full.
    pub stream_buffer_chunks: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings {
            name: "http".to_owned(),
            executor_threads: 2,
            handler_threads: 1_024,
            maximum_connections: 8_192,
            maximum_body_bytes: 4 * 1024 * 1024,
            maximum_large_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            stream_buffer_chunks: 64,
        }
    }
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: http::Method,
    /// Path and query as sent.
    pub uri: http::Uri,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has disconnected; cancel the work")]
pub struct CallerGone;
