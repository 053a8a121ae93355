//! Answers of the gateway's own.

use crate::relay::{RelayBody, whole_body};
use crate::shared::Shared;
use bytes::Bytes;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use millpass_dispatch::{IdentityError, RouteError};
use millpass_proto::{Duration, RouteSpec};
use millpass_telemetry::event_line;

/// When a caller may come back while there is no configuration, or none that may be gone by.
pub(crate) const NOT_CONFIGURED_WAIT: Duration = Duration::from_millis(300);

/// The answer to a caller that is not known. Keys are never logged, not even as hashes.
pub(crate) fn unidentified(
    shared: &Shared,
    attempt: &str,
    route: &RouteSpec,
    error: IdentityError,
) -> Response<RelayBody> {
    let (status, retry_after) = match error {
        IdentityError::Unverifiable => (StatusCode::SERVICE_UNAVAILABLE, Some(NOT_CONFIGURED_WAIT)),
        IdentityError::KeyMissing | IdentityError::KeyUnusable | IdentityError::KeyUnknown => {
            (StatusCode::UNAUTHORIZED, None)
        }
    };
    let (version, freshness) = knowledge(shared);
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
    own_answer(shared, attempt, status, &error.to_string(), retry_after)
}

/// The answer to a request that no route takes.
pub(crate) fn unrouted(
    shared: &Shared,
    attempt: &str,
    host: &str,
    path: &str,
    error: RouteError,
) -> Response<RelayBody> {
    let (status, retry_after) = match error {
        RouteError::NotConfigured | RouteError::Unconfirmed => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(NOT_CONFIGURED_WAIT))
        }
        RouteError::NoRoute => (StatusCode::NOT_FOUND, None),
    };
    let (version, freshness) = knowledge(shared);
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
    own_answer(shared, attempt, status, &error.to_string(), retry_after)
}

/// Version in force here, and how new what is known here is: its state, and milliseconds since it was confirmed.
fn knowledge(shared: &Shared) -> (u64, String) {
    let now = shared.now();
    let core = shared.core();
    let version = core.table().map_or(0, |table| table.version());
    let age = core.confirmation_age(now);
    let age = age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
    (version, format!("{}:{age}", core.freshness(now).as_str()))
}

/// An answer of the gateway's own.
pub(crate) fn own_answer(
    shared: &Shared,
    attempt: &str,
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<RelayBody> {
    let mut response = Response::new(whole_body(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    let headers: &mut HeaderMap = response.headers_mut();
    shared.interface.mark_answer(headers, attempt);
    if let Some(time) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
