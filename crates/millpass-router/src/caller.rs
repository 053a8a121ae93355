//! Parsing of caller requests: target, API key, deadline, idempotency key and request id.

use crate::refusal::{ErrorResponse, REQUEST_ID_HEADER};
use crate::settings::CallerLimits;
use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderMap, Method, StatusCode};
use millpass_http::Request;
use millpass_routing::{IdempotencyKey, Target};
use millpass_telemetry::unix_millis;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;
use uuid::Uuid;

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
/// Header with the deadline, in milliseconds from arrival.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("millpass-deadline-ms");
pub(crate) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the creation time of an idempotency key that does not contain it.
const CREATED_HEADER: HeaderName = HeaderName::from_static("idempotency-key-born");
/// Maximum length of a request id or an idempotency key.
const MAXIMUM_ID_LENGTH: usize = 128;
/// Maximum difference by which a key's creation time may be ahead of the local clock. Keys created
/// later would outlive the retention period.
const MAXIMUM_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Length of the prompt prefix that is hashed for prefix locality.
const PREFIX_BYTES: usize = 1_024;

/// A parsed and validated caller request.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) target: Target,
    /// API key; empty if none was sent.
    pub(crate) api_key: String,
    /// Time until the deadline.
    pub(crate) deadline: Duration,
    pub(crate) idempotency: Option<IdempotencyKey>,
    /// True if the response is to be streamed.
    pub(crate) stream: bool,
}

impl CallerRequest {
    /// Parses a request to a backend.
    pub(crate) fn read(request: &Request, limits: &CallerLimits) -> Result<Self, ErrorResponse> {
        let (target, stream) = match request.uri.path() {
            COMPLETIONS => read_completion(request, "completion")?,
            CHAT_COMPLETIONS => read_completion(request, "chat")?,
            _ => (web_target(request)?, false),
        };
        Ok(CallerRequest {
            target,
            api_key: api_key(&request.headers)?,
            deadline: deadline(&request.headers, limits)?,
            idempotency: idempotency_key(request)?,
            stream,
        })
    }
}

/// Returns the caller's request id if it is well formed, or a new one.
pub(crate) fn request_id(headers: &HeaderMap) -> String {
    let header = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    match header {
        Some(id) if is_request_id(id) => id.to_owned(),
        _ => Uuid::new_v4().to_string(),
    }
}

fn is_request_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !id.is_empty() && id.len() <= MAXIMUM_ID_LENGTH && id.bytes().all(is_allowed)
}

/// Returns the API key of the `Authorization` header; empty without one.
pub(crate) fn api_key(headers: &HeaderMap) -> Result<String, ErrorResponse> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(String::new());
    };
    let parts = value.to_str().ok().and_then(|text| text.split_once(' '));
    match parts {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().to_owned()),
        _ => Err(ErrorResponse::malformed(
            "authorization_malformed",
            "invalid Authorization header; send `Authorization: Bearer KEY`",
        )
        .with_status(StatusCode::UNAUTHORIZED)),
    }
}

/// Fields of a completion request that the router reads.
#[derive(Deserialize)]
struct CompletionBody<'a> {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
}

fn read_completion(request: &Request, kind: &'static str) -> Result<(Target, bool), ErrorResponse> {
    if request.method != Method::POST {
        let message = format!("{} supports only POST; use POST", request.uri.path());
        let error = ErrorResponse::malformed("method_not_allowed", message);
        return Err(error.with_status(StatusCode::METHOD_NOT_ALLOWED));
    }
    let body = parse_completion(&request.body)?;
    let (field, input) = match kind {
        "chat" => ("messages", body.messages),
        _ => ("prompt", body.prompt),
    };
    let Some(input) = input.filter(|input| input.get() != "null") else {
        let message = format!("the field `{field}` is missing; add it");
        return Err(ErrorResponse::malformed("input_missing", message));
    };
    let name = body.model.unwrap_or_default();
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name.as_str(), None),
    };
    if model.is_empty() || adapter.is_some_and(str::is_empty) {
        return Err(ErrorResponse::malformed(
            "model_missing",
            "the field `model` is missing or empty; set it to a model or `model:adapter` from GET \
             /v1/models",
        ));
    }
    let target = Target::Model {
        model: model.into(),
        adapter: adapter.map(Into::into),
        kind,
        prefix_hash: prefix_hash(input.get()),
    };
    Ok((target, body.stream.unwrap_or(false)))
}

fn parse_completion(body: &[u8]) -> Result<CompletionBody<'_>, ErrorResponse> {
    let malformed = |reason: &str| {
        let message =
            format!("the body is not a valid JSON completion request: {reason}; correct the body");
        ErrorResponse::malformed("body_malformed", message)
    };
    // `serde_json` would also accept an array of the fields in order.
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(malformed("it does not start with `{`"));
    }
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn prefix_hash(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(start);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn web_target(request: &Request) -> Result<Target, ErrorResponse> {
    if !request.body.is_empty() && !takes_body(&request.method) {
        let message = format!(
            "{} requests must not have a body; use POST, PUT or PATCH, or omit the body",
            request.method
        );
        return Err(ErrorResponse::malformed("body_not_allowed", message));
    }
    Ok(Target::Web {
        path: path_and_query(request).to_owned(),
        safe_method: request.method.is_safe(),
    })
}

/// Returns true if requests of this method are forwarded with a body.
pub(crate) fn takes_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

/// Path and query as received.
pub(crate) fn path_and_query(request: &Request) -> &str {
    let path = request.uri.path_and_query();
    path.map_or("/", |path| path.as_str())
}

fn deadline(headers: &HeaderMap, limits: &CallerLimits) -> Result<Duration, ErrorResponse> {
    let Some(text) = single(headers, &DEADLINE_HEADER)? else {
        return Ok(limits.default_deadline);
    };
    match text.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(limits.maximum_deadline)),
        _ => Err(ErrorResponse::malformed(
            "deadline_malformed",
            format!(
                "Millpass-Deadline-Ms is not a positive whole number of milliseconds; send 1 to {}",
                limits.maximum_deadline.as_millis()
            ),
        )),
    }
}

fn idempotency_key(request: &Request) -> Result<Option<IdempotencyKey>, ErrorResponse> {
    let Some(key) = single(&request.headers, &KEY_HEADER)? else {
        return Ok(None);
    };
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAXIMUM_ID_LENGTH || !is_visible {
        let message = format!(
            "Idempotency-Key must be 1 to {MAXIMUM_ID_LENGTH} visible ASCII characters; send a \
             version 7 UUID"
        );
        return Err(ErrorResponse::malformed(
            "idempotency_key_malformed",
            message,
        ));
    }
    Ok(Some(IdempotencyKey {
        created_unix_millis: key_creation_millis(key, &request.headers)?,
        digest: digest(request),
        key: key.into(),
    }))
}

/// Returns the creation time of a key, from a version 7 UUID if it is one, else from the header.
/// The key takes precedence, so that a resend cannot change the time.
fn key_creation_millis(key: &str, headers: &HeaderMap) -> Result<u64, ErrorResponse> {
    let from_key = Uuid::try_parse(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == 7)
        .and_then(|uuid| uuid.get_timestamp())
        .map(|timestamp| unix_millis_of(timestamp.to_unix()));
    let created = match from_key {
        Some(created) => created,
        None => creation_header(headers)?,
    };
    let latest = unix_millis() + MAXIMUM_CLOCK_SKEW.as_millis() as u64;
    if created > latest {
        return Err(ErrorResponse::malformed(
            "idempotency_key_born_ahead",
            "the creation time of the idempotency key is in the future; correct the caller's clock \
             and create a new key",
        ));
    }
    Ok(created)
}

fn unix_millis_of((seconds, nanoseconds): (u64, u32)) -> u64 {
    seconds * 1_000 + u64::from(nanoseconds / 1_000_000)
}

fn creation_header(headers: &HeaderMap) -> Result<u64, ErrorResponse> {
    let text = single(headers, &CREATED_HEADER)?;
    text.and_then(|text| text.parse().ok()).ok_or_else(|| {
        ErrorResponse::malformed(
            "idempotency_key_birth_missing",
            "the idempotency key has no creation time; use a version 7 UUID as the key, or send \
             `Idempotency-Key-Born` with milliseconds since the Unix epoch, identical on each \
             resend",
        )
    })
}

/// BLAKE3 hash of method, path and body, each prefixed by its length.
fn digest(request: &Request) -> String {
    let mut hasher = blake3::Hasher::new();
    let parts = [
        request.method.as_str().as_bytes(),
        path_and_query(request).as_bytes(),
        &request.body,
    ];
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// Returns the value of a header that may occur at most once, because repeated values are
/// ambiguous.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ErrorResponse> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if values.next().is_none() => Ok(Some(text.trim())),
        _ => Err(ErrorResponse::malformed(
            "header_malformed",
            format!("the header {name} is not plain text or is repeated; send it once"),
        )),
    }
}
