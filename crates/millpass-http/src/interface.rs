//! Requests, handlers and settings of the server.

use bytes::Bytes;
use std::time::Duration;

/// Limits of a server. Each refusal they cause names the limit.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Name in logs and thread names.
    pub name: String,
    /// Executor threads.
    pub executor_threads: usize,
    /// Most handler threads; grown on demand, idle ones end.
    pub handler_threads: usize,
    /// Most open connections; one more is answered 503 and closed.
    pub maximum_connections: usize,
    /// Most bytes of a request body; more is answered 413.
    pub maximum_body_bytes: usize,
    /// Time for a caller to send its header, then 408; and for an idle connection, then it is
    /// closed.
    pub header_timeout: Duration,
    /// Time for a caller to send its body; then 408.
    pub body_timeout: Duration,
    /// Chunks a streamed body may hold before writes wait.
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
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            stream_buffer_chunks: 64,
        }
    }
}

/// A whole request.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The caller hung up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller hung up; cancel the work")]
pub struct CallerGone;
