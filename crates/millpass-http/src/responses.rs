//! Constructors of complete responses, including the errors that the server itself returns.

use crate::interface::Response;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};

/// `Retry-After` value of temporary refusals, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

impl Response {
    /// Returns a response with a JSON body.
    pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
        Response::with_type(
            status,
            "application/json",
            Bytes::from(value.to_string().into_bytes()),
        )
    }

    /// Returns a response with a plain-text body.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
        let body = Bytes::from(text.into().into_bytes());
        Response::with_type(status, "text/plain; charset=utf-8", body)
    }

    /// Returns a response with a body of the given content type.
    pub fn with_type(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Response {
            status,
            headers,
            body,
        }
    }

    /// Adds a header. A value that is not valid in a header is ignored.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Response {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}

impl Response {
    /// Encodes the response as HTTP/1.1 with `connection: close`.
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

/// Returns an error response for a request that was not passed to the handler.
pub(crate) fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let error = serde_json::json!({
        "error": {"code": code, "message": message, "executed": "no"}
    });
    Response::json(status, &error).with_header(HeaderName::from_static("millpass-executed"), "no")
}

/// Response to a connection above the limit.
pub(crate) fn too_many_connections(limit: usize) -> Response {
    let message = format!("the limit of {limit} open connections is reached; retry later");
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "too_many_connections",
        &message,
    )
    .with_header(RETRY_AFTER, RETRY_AFTER_SECONDS)
}

/// Response to a request received while the server drains.
pub(crate) fn draining() -> Response {
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "this server is stopping; use another one, or retry later",
    )
    .with_header(RETRY_AFTER, RETRY_AFTER_SECONDS)
    .with_header(CONNECTION, "close")
}

/// Response to a request head that was not received within the timeout.
pub(crate) fn head_timeout(milliseconds: u128) -> Response {
    let message = format!("the header did not arrive within {milliseconds} ms; send it at once");
    refusal(StatusCode::REQUEST_TIMEOUT, "header_timeout", &message)
}

/// Response to a request head above the limits.
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

/// Response to a request head that is not valid HTTP/1.1.
pub(crate) fn head_malformed(error: &hyper::Error) -> Response {
    let message = format!("the header is not valid HTTP/1.1 ({error}); correct the client");
    refusal(StatusCode::BAD_REQUEST, "header_malformed", &message)
}

/// Response to a request body above the limit.
pub(crate) fn body_too_large(limit: usize) -> Response {
    let message = format!("the body exceeds the limit of {limit} bytes; send a smaller one");
    refusal(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", &message)
}

/// Response to a request body that was not received within the timeout.
pub(crate) fn body_timeout(milliseconds: u128) -> Response {
    let message = format!("the body did not arrive within {milliseconds} ms; send it faster");
    refusal(StatusCode::REQUEST_TIMEOUT, "body_timeout", &message)
}

/// Response to a truncated or malformed request body.
pub(crate) fn body_unreadable() -> Response {
    refusal(
        StatusCode::BAD_REQUEST,
        "body_unreadable",
        "the body is truncated or malformed; send it whole",
    )
}

/// Response to a request whose handler dropped the responder.
pub(crate) fn missing_response() -> Response {
    let error = serde_json::json!({
        "error": {
            "code": "internal",
            "message": "the server produced no response; report the request id to its operators",
            "executed": "unknown",
        }
    });
    Response::json(StatusCode::INTERNAL_SERVER_ERROR, &error)
        .with_header(HeaderName::from_static("millpass-executed"), "unknown")
}
