//! Helpers for HTTP requests and responses.

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, StatusCode, Uri};
use millpass_http::Response;
use percent_encoding::percent_decode_str;
use serde::{Serialize, de::DeserializeOwned};
use std::str::FromStr;

/// States whether a failed request ran: `no` guarantees that it did not, `yes` means that it may have.
pub const EXECUTED_HEADER: HeaderName = HeaderName::from_static("millpass-executed");
const JSON: &str = "application/json";

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::with_type(status, JSON, Bytes::from(body)),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a JSON error response; `executed` states whether the request ran.
pub fn error_response(status: StatusCode, code: &str, message: &str, executed: bool) -> Response {
    let executed = if executed { "yes" } else { "no" };
    let body = serde_json::json!({
        "error": {"code": code, "message": message, "executed": executed}
    });
    Response::json(status, &body).with_header(EXECUTED_HEADER, executed)
}

/// Parses a JSON body; the error is the response to send.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response>> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("body is not the expected JSON: {error}");
        Box::new(error_response(
            StatusCode::BAD_REQUEST,
            "malformed_body",
            &message,
            false,
        ))
    })
}

/// Returns a header's value, if it is valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a decimal header value; `None` without the header.
pub fn header_number<T: FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Box<Response>> {
    let Some(text) = header_text(headers, name) else {
        return Ok(None);
    };
    let parsed = text.trim().parse().map(Some);
    parsed.map_err(|_| malformed_header(name, "a decimal number"))
}

/// Creates the error response for a malformed header.
pub fn malformed_header(name: &str, wanted: &str) -> Box<Response> {
    let message = format!("header {name} must be {wanted}");
    let status = StatusCode::BAD_REQUEST;
    Box::new(error_response(status, "malformed_header", &message, false))
}

/// Returns the percent-decoded segments of the path.
pub fn path_segments(uri: &Uri) -> Vec<String> {
    let parts = uri.path().split('/').filter(|part| !part.is_empty());
    parts.map(decoded).collect()
}

/// Parses a numeric query parameter.
pub fn query_number(uri: &Uri, key: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = values.find(|(name, _)| *name == key)?;
    value.parse().ok()
}

fn decoded(part: &str) -> String {
    percent_decode_str(part).decode_utf8_lossy().into_owned()
}
