//! Maps method and path to a route.

use super::failure::Failure;
use crate::api;
use http::{Method, StatusCode, Uri};
use millpass_proto::{
    ObjectKey, ObjectKind, OperatorRole, PartSet, RequestFingerprint, TenantName,
};
use percent_encoding::percent_decode_str;

/// Paths that need no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenRoute {
    /// Liveness check.
    Health,
    /// Readiness check: this member leads or can name the leader.
    Ready,
    /// Metrics.
    Metrics,
}

/// Routes for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Read one object.
    Get(ObjectKey),
    /// List the objects of a kind.
    List(ObjectKind),
    /// Create or change an object.
    Put(ObjectKey),
    /// Delete an object.
    Delete {
        /// Key of the object.
        key: ObjectKey,
        /// Version that the change is based on.
        expected_version: u64,
        /// Identity of the change.
        change_id: String,
    },
    /// Read the state of the deployment.
    Status,
    /// Read audit records after a revision.
    Audit(u64),
    /// Set the state of a back end.
    BackendState(String),
    /// Change the members of the control group.
    Members,
    /// List quarantined requests and refused parts of prompts.
    QuarantinedRequests,
    /// Lift the quarantine of a request.
    LiftQuarantine(RequestFingerprint),
    /// Release refused parts of prompts.
    ReleaseParts(PartSet),
}

impl Route {
    /// Returns the minimum role for this route.
    pub(crate) fn required_role(&self) -> OperatorRole {
        match self {
            Route::Get(_)
            | Route::List(_)
            | Route::Status
            | Route::Audit(_)
            | Route::QuarantinedRequests => OperatorRole::Viewer,
            Route::LiftQuarantine(_) | Route::ReleaseParts(_) => OperatorRole::Editor,
            Route::Put(key) | Route::Delete { key, .. } => match key.kind {
                ObjectKind::Operator => OperatorRole::Administrator,
                _ => OperatorRole::Editor,
            },
            Route::BackendState(_) | Route::Members => OperatorRole::Administrator,
        }
    }
}

/// Matches a route that needs no key.
pub(crate) fn open_route(method: &Method, uri: &Uri) -> Option<OpenRoute> {
    if method != Method::GET {
        return None;
    }
    match uri.path() {
        "/healthz" => Some(OpenRoute::Health),
        "/readyz" => Some(OpenRoute::Ready),
        "/metrics" => Some(OpenRoute::Metrics),
        _ => None,
    }
}

/// Matches a route for operators.
pub(crate) fn route(method: &Method, uri: &Uri) -> Result<Route, Failure> {
    let segments = segments(uri.path())?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match segments.as_slice() {
        ["healthz" | "readyz" | "metrics"] => Err(Failure::method_not_allowed("GET")),
        ["v1", "status"] => only(method, Method::GET, "GET", Route::Status),
        ["v1", "audit"] => {
            let after = number(uri, "after")?.unwrap_or(0);
            only(method, Method::GET, "GET", Route::Audit(after))
        }
        ["v1", "members"] => only(method, Method::POST, "POST", Route::Members),
        ["v1", "held-requests"] => only(method, Method::GET, "GET", Route::QuarantinedRequests),
        ["v1", "held-requests", fingerprint] => {
            let route = Route::LiftQuarantine(self::fingerprint(fingerprint)?);
            only(method, Method::DELETE, "DELETE", route)
        }
        ["v1", "held-parts", service, parts] => {
            let route = Route::ReleaseParts(part_set(uri, service, parts)?);
            only(method, Method::DELETE, "DELETE", route)
        }
        ["v1", "backends", name, "state"] => {
            let route = Route::BackendState((*name).to_owned());
            only(method, Method::PUT, "PUT", route)
        }
        ["v1", plural] => only(method, Method::GET, "GET", Route::List(kind(plural)?)),
        ["v1", plural, name] => {
            let key = ObjectKey {
                kind: kind(plural)?,
                name: (*name).to_owned(),
            };
            object_route(method, uri, key)
        }
        _ => Err(unknown_path()),
    }
}

fn object_route(method: &Method, uri: &Uri, key: ObjectKey) -> Result<Route, Failure> {
    match *method {
        Method::GET => Ok(Route::Get(key)),
        Method::PUT => Ok(Route::Put(key)),
        Method::DELETE => Ok(Route::Delete {
            key,
            expected_version: required(number(uri, "expected_version")?, "expected_version")?,
            change_id: required(parameter(uri, "change_id")?, "change_id")?,
        }),
        _ => Err(Failure::method_not_allowed("GET, PUT, DELETE")),
    }
}

fn only(
    method: &Method,
    expected: Method,
    allowed: &'static str,
    route: Route,
) -> Result<Route, Failure> {
    if *method == expected {
        Ok(route)
    } else {
        Err(Failure::method_not_allowed(allowed))
    }
}

fn kind(plural: &str) -> Result<ObjectKind, Failure> {
    api::kind_from_plural(plural).ok_or_else(|| {
        let known: Vec<&str> = api::KINDS.iter().map(|(_, _, plural)| *plural).collect();
        Failure::new(
            StatusCode::NOT_FOUND,
            "unknown_kind",
            format!("there is no kind `{plural}`"),
            format!("use one of {}", known.join(", ")),
        )
    })
}

fn fingerprint(text: &str) -> Result<RequestFingerprint, Failure> {
    RequestFingerprint::from_hex(text).ok_or_else(|| {
        Failure::malformed(
            format!("`{text}` is not a request fingerprint"),
            "use one from the list of held requests, or from `fingerprint=` in a gateway's log",
        )
    })
}

/// Parses parts joined by `+`, and the tenant in the query.
fn part_set(uri: &Uri, service: &str, parts: &str) -> Result<PartSet, Failure> {
    let parsed = parts.split('+').map(|part| u64::from_str_radix(part, 16));
    let Ok(mut parsed) = parsed.collect::<Result<Vec<u64>, _>>() else {
        return Err(Failure::malformed(
            format!("`{parts}` are not parts of prompts"),
            "use those from the list of held requests, in hexadecimal digits and joined by `+`",
        ));
    };
    parsed.sort_unstable();
    Ok(PartSet {
        service: service.into(),
        tenant: parameter(uri, "tenant")?.map(TenantName),
        all_tenants: parameter(uri, "all_tenants")?.as_deref() == Some("true"),
        parts: parsed,
    })
}

fn unknown_path() -> Failure {
    Failure::new(
        StatusCode::NOT_FOUND,
        "unknown_path",
        "there is nothing at this path",
        "see the administration API reference for its paths",
    )
}

/// Splits a path and decodes each segment, so that names may contain an encoded slash.
fn segments(path: &str) -> Result<Vec<String>, Failure> {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').map(decode).collect()
}

fn decode(text: &str) -> Result<String, Failure> {
    let decoded = percent_decode_str(text).decode_utf8();
    let decoded = decoded.map_err(|_| {
        Failure::malformed(
            "the path or query is not UTF-8 once decoded",
            "encode names as UTF-8, then in percent encoding",
        )
    })?;
    Ok(decoded.into_owned())
}

/// Returns a decoded query parameter; a duplicate is rejected as ambiguous.
fn parameter(uri: &Uri, name: &str) -> Result<Option<String>, Failure> {
    let query = uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Failure::malformed(
            format!("the query has more than one `{name}`"),
            "send one",
        ));
    }
    decode(value).map(Some)
}

fn number(uri: &Uri, name: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = parameter(uri, name)? else {
        return Ok(None);
    };
    let number = text.parse().map_err(|_| {
        Failure::malformed(
            format!("`{name}` in the query is not a whole number from 0"),
            "correct it",
        )
    })?;
    Ok(Some(number))
}

fn required<T>(value: Option<T>, name: &str) -> Result<T, Failure> {
    value.ok_or_else(|| {
        Failure::malformed(
            format!("the query is missing `{name}`"),
            "add `?expected_version=N&change_id=ID`",
        )
    })
}
