//! How the end of a response body is recognized.

use crate::forward::is_stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderValue, StatusCode};
use millpass_proto::RouteSpec;

const EVENT_STREAM: &str = "text/event-stream";

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its length, its last chunk or its status: a body that breaks off is an error.
    Stated,
    /// Only the end of the connection, which also ends a body that breaks off.
    Connection,
}

impl Framing {
    /// Returns the framing of the body after this head.
    pub(crate) fn of(head: &Parts) -> Framing {
        let is_empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
        let codings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let is_stated = match codings {
            Some(codings) => is_empty || ends_with_chunked(codings),
            None => is_empty || head.headers.contains_key(CONTENT_LENGTH),
        };
        match is_stated {
            true => Framing::Stated,
            false => Framing::Connection,
        }
    }
}

/// Returns whether the last of the transfer codings marks the end of the body.
fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Returns whether the body after this head is an event stream.
pub(crate) fn is_event_stream(route: &RouteSpec, head: &Parts) -> bool {
    match head.headers.get(CONTENT_TYPE) {
        Some(stated) => {
            let stated = stated.as_bytes().to_ascii_lowercase();
            stated.starts_with(EVENT_STREAM.as_bytes())
        }
        None => is_stream(route) && head.status.is_success(),
    }
}
