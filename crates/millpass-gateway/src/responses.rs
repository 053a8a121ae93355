//! Responses that the gateway generates itself.

use crate::relay::{RelayBody, full_body};
use crate::shared::Shared;
use bytes::Bytes;
use http::header::{HOST, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode, Uri};
use millpass_dispatch::{IdentityError, RouteError};
use millpass_proto::{Duration, RouteSpec};
use millpass_telemetry::event_line;

/// Retry-After while there is no configuration, or none that is confirmed.
pub(crate) const NOT_CONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Response to an unauthenticated caller. Keys are never logged, not even as hashes.
pub(crate) fn unidentified_response(
    shared: &Shared,
    attempt: &str,
    route: &RouteSpec,
    error: IdentityError,
) -> Response<RelayBody> {
    let (status, retry_after) = match error {
        IdentityError::Unverifiable => (
            StatusCode::SERVICE_UNAVAILABLE,
            Some(NOT_CONFIGURED_RETRY_AFTER),
        ),
        IdentityError::KeyMissing | IdentityError::KeyUnusable | IdentityError::KeyUnknown => {
            (StatusCode::UNAUTHORIZED, None)
        }
    };
    let (version, freshness) = configuration_state(shared);
    let pairs = [
        ("request", attempt.to_owned()),
        ("route", route.name.clone()),
        ("version", version.to_string()),
        ("freshness", freshness),
        ("reason", error.as_str().to_owned()),
        ("status", status.as_str().to_owned()),
    ];
    log::info!("{}", event_line("request_unidentified", &pairs));
    shared.metrics.count_request(None, "unidentified");
    gateway_response(shared, attempt, status, &error.to_string(), retry_after)
}

/// Response to a request that matches no route.
pub(crate) fn unrouted_response(
    shared: &Shared,
    attempt: &str,
    host: &str,
    path: &str,
    error: RouteError,
) -> Response<RelayBody> {
    let (status, retry_after) = match error {
        RouteError::NotConfigured | RouteError::Unconfirmed => (
            StatusCode::SERVICE_UNAVAILABLE,
            Some(NOT_CONFIGURED_RETRY_AFTER),
        ),
        RouteError::NoRoute => (StatusCode::NOT_FOUND, None),
    };
    let (version, freshness) = configuration_state(shared);
    let pairs = [
        ("request", attempt.to_owned()),
        ("host", host.to_owned()),
        ("path", path.to_owned()),
        ("version", version.to_string()),
        ("freshness", freshness),
        ("status", status.as_str().to_owned()),
    ];
    log::info!("{}", event_line("request_unrouted", &pairs));
    shared.metrics.count_request(None, "unrouted");
    gateway_response(shared, attempt, status, &error.to_string(), retry_after)
}

/// Response to a request whose head exceeds the limit of the configuration.
pub(crate) fn large_head_response(
    shared: &Shared,
    attempt: &str,
    header_bytes: usize,
) -> Response<RelayBody> {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    log::info!("event=request_head_too_large request={attempt} limit_bytes={header_bytes}");
    shared.metrics.count_request(None, "head-too-large");
    let reason = format!("send at most {header_bytes} bytes of headers and of request line");
    gateway_response(shared, attempt, status, &reason, None)
}

/// Returns the applied version, and its freshness with the milliseconds since the last
/// confirmation.
fn configuration_state(shared: &Shared) -> (u64, String) {
    let now = shared.now();
    let core = shared.core();
    let version = core.table().map_or(0, |table| table.version());
    let age = core.confirmation_age(now);
    let age = age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
    (version, format!("{}:{age}", core.freshness(now).as_str()))
}

/// Returns the host that a request is for.
pub(crate) fn request_host(headers: &HeaderMap, uri: &Uri) -> String {
    let stated = headers.get(HOST).and_then(|value| value.to_str().ok());
    let authority = || uri.authority().map(|authority| authority.as_str());
    stated.or_else(authority).unwrap_or("").to_owned()
}

/// Builds a plain-text response with `reason` as its body.
pub(crate) fn gateway_response(
    shared: &Shared,
    attempt: &str,
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<RelayBody> {
    let mut response = Response::new(full_body(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    let headers: &mut HeaderMap = response.headers_mut();
    shared.interface.mark_response(headers, attempt);
    if let Some(time) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
