//! Reading a caller's request: target, API key, deadline, idempotency key and request id.

use crate::refusal::{ErrorAnswer, REQUEST_ID_HEADER};
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

/// Path of plain completions.
const COMPLETIONS: &str = "/v1/completions";
/// Path of chat completions.
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
/// Header with the deadline in milliseconds from arrival.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("millpass-deadline-ms");
/// Header with the idempotency key.
pub(crate) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the birth of an idempotency key that does not tell it itself.
const BORN_HEADER: HeaderName = HeaderName::from_static("idempotency-key-born");
/// Most characters of a request id or an idempotency key.
const MAXIMUM_ID_LENGTH: usize = 128;
/// How far ahead of this machine's clock a key may be born. A later birth would outlive the time
/// for which keys are kept.
const MAXIMUM_CLOCK_DIFFERENCE: Duration = Duration::from_secs(300);
/// Bytes at the start of the prompt that decide on prefix locality.
const PREFIX_BYTES: usize = 1_024;

/// A caller's request, read and checked.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// What it asks for.
    pub(crate) target: Target,
    /// API key; empty if none was sent.
    pub(crate) api_key: String,
    /// Time until its deadline.
    pub(crate) deadline: Duration,
    /// Idempotency key, if any.
    pub(crate) idempotency: Option<IdempotencyKey>,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
}

impl CallerRequest {
    /// Reads a request that goes to a back end.
    pub(crate) fn read(request: &Request, limits: &CallerLimits) -> Result<Self, ErrorAnswer> {
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

/// Takes the caller's request id if it is well formed, or makes one.
pub(crate) fn request_id(headers: &HeaderMap) -> String {
    let given = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    match given {
        Some(id) if is_request_id(id) => id.to_owned(),
        _ => Uuid::new_v4().to_string(),
    }
}

fn is_request_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !id.is_empty() && id.len() <= MAXIMUM_ID_LENGTH && id.bytes().all(is_allowed)
}

/// The API key of the `Authorization` header; empty without one.
pub(crate) fn api_key(headers: &HeaderMap) -> Result<String, ErrorAnswer> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(String::new());
    };
    let words = value.to_str().ok().and_then(|text| text.split_once(' '));
    match words {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().to_owned()),
        _ => Err(ErrorAnswer::malformed(
            "authorization_malformed",
            "the Authorization header is not understood; send `Authorization: Bearer KEY`",
        )
        .with_status(StatusCode::UNAUTHORIZED)),
    }
}

/// The parts of a completion's body that the router reads.
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

fn read_completion(request: &Request, kind: &'static str) -> Result<(Target, bool), ErrorAnswer> {
    if request.method != Method::POST {
        let message = format!("{} takes only POST; use POST", request.uri.path());
        let error = ErrorAnswer::malformed("method_not_allowed", message);
        return Err(error.with_status(StatusCode::METHOD_NOT_ALLOWED));
    }
    let body = parse_completion(&request.body)?;
    let (field, input) = match kind {
        "chat" => ("messages", body.messages),
        _ => ("prompt", body.prompt),
    };
    let Some(input) = input.filter(|input| input.get() != "null") else {
        let message = format!("the field `{field}` is missing; add it");
        return Err(ErrorAnswer::malformed("input_missing", message));
    };
    let name = body.model.unwrap_or_default();
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name.as_str(), None),
    };
    if model.is_empty() || adapter.is_some_and(str::is_empty) {
        return Err(ErrorAnswer::malformed(
            "model_missing",
            "the field `model` is missing or empty; name a model, or `model:adapter`; GET \
             /v1/models lists them",
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

fn parse_completion(body: &[u8]) -> Result<CompletionBody<'_>, ErrorAnswer> {
    let malformed = |reason: &str| {
        let message = format!("the body is not a JSON object of the known form: {reason}; mend it");
        ErrorAnswer::malformed("body_malformed", message)
    };
    // The library would also read the fields from an array, in order.
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(malformed("it does not begin with `{`"));
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

fn web_target(request: &Request) -> Result<Target, ErrorAnswer> {
    if !request.body.is_empty() && !takes_body(&request.method) {
        let message = format!(
            "a {} request has no body here; use POST, PUT or PATCH, or leave the body out",
            request.method
        );
        return Err(ErrorAnswer::malformed("body_not_allowed", message));
    }
    Ok(Target::Web {
        path: path_and_query(request).to_owned(),
        safe_method: request.method.is_safe(),
    })
}

/// Whether requests of this method are sent on with a body.
pub(crate) fn takes_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

/// Path and query as sent.
pub(crate) fn path_and_query(request: &Request) -> &str {
    let path = request.uri.path_and_query();
    path.map_or("/", |path| path.as_str())
}

fn deadline(headers: &HeaderMap, limits: &CallerLimits) -> Result<Duration, ErrorAnswer> {
    let Some(text) = single(headers, &DEADLINE_HEADER)? else {
        return Ok(limits.default_deadline);
    };
    match text.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(limits.maximum_deadline)),
        _ => Err(ErrorAnswer::malformed(
            "deadline_malformed",
            format!(
                "Millpass-Deadline-Ms is not a whole number of milliseconds above 0; send 1 to {}",
                limits.maximum_deadline.as_millis()
            ),
        )),
    }
}

fn idempotency_key(request: &Request) -> Result<Option<IdempotencyKey>, ErrorAnswer> {
    let Some(key) = single(&request.headers, &KEY_HEADER)? else {
        return Ok(None);
    };
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAXIMUM_ID_LENGTH || !is_visible {
        let message = format!(
            "Idempotency-Key must be 1 to {MAXIMUM_ID_LENGTH} visible ASCII characters; send a \
             UUID of version 7"
        );
        return Err(ErrorAnswer::malformed("idempotency_key_malformed", message));
    }
    Ok(Some(IdempotencyKey {
        created_unix_millis: key_birth(key, &request.headers)?,
        digest: digest(request),
        key: key.into(),
    }))
}

/// Birth of a key: what a UUID of version 7 says, or else the header. A birth that is not a
/// function of the key would let a resend change it, hence the key goes first.
fn key_birth(key: &str, headers: &HeaderMap) -> Result<u64, ErrorAnswer> {
    let from_key = Uuid::try_parse(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == 7)
        .and_then(|uuid| uuid.get_timestamp())
        .map(|timestamp| unix_millis_of(timestamp.to_unix()));
    let born = match from_key {
        Some(born) => born,
        None => birth_header(headers)?,
    };
    let latest = unix_millis() + MAXIMUM_CLOCK_DIFFERENCE.as_millis() as u64;
    if born > latest {
        return Err(ErrorAnswer::malformed(
            "idempotency_key_born_ahead",
            "the idempotency key was born in the future; set the caller's clock right and make a \
             new key",
        ));
    }
    Ok(born)
}

fn unix_millis_of((seconds, nanoseconds): (u64, u32)) -> u64 {
    seconds * 1_000 + u64::from(nanoseconds / 1_000_000)
}

fn birth_header(headers: &HeaderMap) -> Result<u64, ErrorAnswer> {
    let text = single(headers, &BORN_HEADER)?;
    text.and_then(|text| text.parse().ok()).ok_or_else(|| {
        ErrorAnswer::malformed(
            "idempotency_key_birth_missing",
            "the idempotency key does not say when it was born; use a UUID of version 7 as the \
             key, or add `Idempotency-Key-Born` with milliseconds since 1970, the same on each \
             resend",
        )
    })
}

/// BLAKE3 of method, path and body. Lengths keep the parts apart.
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

/// The only value of a header; two or more are refused, for either may be meant.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ErrorAnswer> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if values.next().is_none() => Ok(Some(text.trim())),
        _ => Err(ErrorAnswer::malformed(
            "header_malformed",
            format!("the header {name} is not plain text or is there twice; send it once"),
        )),
    }
}
