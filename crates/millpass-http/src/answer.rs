//! Helpers that make whole answers, among them the server's own refusals.

use crate::interface::Response;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};

/// Seconds after which a caller refused for now may come back.
const RETRY_SECONDS: &str = "1";

impl Response {
    /// An answer with a JSON body.
    pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
        Response::with_type(
            status,
            "application/json",
            Bytes::from(value.to_string().into_bytes()),
        )
    }

    /// An answer with a plain-text body.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
        let body = Bytes::from(text.into().into_bytes());
        Response::with_type(status, "text/plain; charset=utf-8", body)
    }

    /// An answer with a body of this content type.
    pub fn with_type(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Response {
            status,
            headers,
            body,
        }
    }

    /// The same answer with one more header. A value that is not allowed in a header is left out.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Response {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}

impl Response {
    /// The answer as the last one of a connection, as bytes.
    pub(crate) fn to_http1_closing(&self) -> Vec<u8> {
        let mut bytes = format!("HTTP/1.1 {}\r\n", self.status).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        let length = self.body.len();
        let rest = format!("connection: close\r\ncontent-length: {length}\r\n\r\n");
        bytes.extend_from_slice(rest.as_bytes());
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A refusal by the server itself. The handler never saw the request, so it did not run.
pub(crate) fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let error = serde_json::json!({
        "error": {"code": code, "message": message, "executed": "no"}
    });
    Response::json(status, &error).with_header(HeaderName::from_static("millpass-executed"), "no")
}

/// Refusal of a connection above the limit.
pub(crate) fn too_many_connections(limit: usize) -> Response {
    let message = format!("the limit of {limit} open connections is reached; come back later");
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "too_many_connections",
        &message,
    )
    .with_header(RETRY_AFTER, RETRY_SECONDS)
}

/// Refusal of a request that came after a planned stop began.
pub(crate) fn draining() -> Response {
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "this server is stopping; use another one, or come back later",
    )
    .with_header(RETRY_AFTER, RETRY_SECONDS)
    .with_header(CONNECTION, "close")
}

/// Refusal of a head that did not come in time.
pub(crate) fn head_too_slow(milliseconds: u128) -> Response {
    let message = format!("the header did not arrive within {milliseconds} ms; send it at once");
    refusal(StatusCode::REQUEST_TIMEOUT, "header_timeout", &message)
}

/// Refusal of a head above the limits.
pub(crate) fn head_too_large(bytes: usize, headers: usize) -> Response {
    let message = format!(
        "the header exceeds the limit of {bytes} bytes or {headers} lines; send fewer or shorter \
         header lines"
    );
    refusal(
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "header_too_large",
        &message,
    )
}

/// Refusal of a head that is not HTTP/1.1.
pub(crate) fn head_malformed(error: &hyper::Error) -> Response {
    let message = format!("the header is not valid HTTP/1.1 ({error}); correct the client");
    refusal(StatusCode::BAD_REQUEST, "header_malformed", &message)
}

/// Refusal of a body above the limit.
pub(crate) fn body_too_large(limit: usize) -> Response {
    let message = format!("the body exceeds the limit of {limit} bytes; send a smaller one");
    refusal(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", &message)
}

/// Refusal of a body that did not come in time.
pub(crate) fn body_too_slow(milliseconds: u128) -> Response {
    let message = format!("the body did not arrive within {milliseconds} ms; send it faster");
    refusal(StatusCode::REQUEST_TIMEOUT, "body_timeout", &message)
}

/// Refusal of a body that broke off or was malformed.
pub(crate) fn body_unreadable() -> Response {
    refusal(
        StatusCode::BAD_REQUEST,
        "body_unreadable",
        "the body could not be read to its end; send it whole",
    )
}

/// Answer of a handler that gave none.
pub(crate) fn unanswered() -> Response {
    let error = serde_json::json!({
        "error": {
            "code": "internal",
            "message": "the server gave no answer; report the request id to its operators",
            "executed": "unknown",
        }
    });
    Response::json(StatusCode::INTERNAL_SERVER_ERROR, &error)
        .with_header(HeaderName::from_static("millpass-executed"), "unknown")
}
