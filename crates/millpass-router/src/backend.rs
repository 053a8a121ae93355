//! HTTP client for backends: one exchange per attempt, without retries by the library.

use crate::attempt::{AttemptControl, CurrentAttempt};
use crate::caller::{KEY_HEADER, path_and_query, takes_body};
use crate::refusal::{EXECUTED_HEADER, REQUEST_ID_HEADER};
use crate::settings::BackendTimeouts;
use crate::transport::AttemptConnector;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, StatusCode};
use millpass_http::Request;
use millpass_proto::Urgency;
use millpass_routing::{AttemptFailure, Dispatch};
use millpass_telemetry::ProcessClock;
use std::sync::Arc;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Body};

/// Buffer size per direction. Small, because each streaming request holds a pair of buffers.
const BUFFER_BYTES: usize = 8 * 1024;
/// Headers that are not forwarded: hop-by-hop headers, `Host` and `Expect`.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HOST,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Hop-by-hop header without a constant in the `http` crate.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Statuses with which a backend refuses a request that may be retried elsewhere. Other errors,
/// such as 400 and 413, are responses to the request itself.
const REFUSAL_STATUSES: [StatusCode; 3] = [
    StatusCode::CONFLICT,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// Prefix of headers that only the router sets.
const RESERVED_PREFIX: &str = "millpass-";

/// A response whose body has not been read.
pub(crate) type BackendResponse = http::Response<Body>;

pub(crate) struct BackendClient {
    /// Agent with connection reuse.
    pooled: Agent,
    /// Agent without connection reuse, so that claimed requests never use a stale connection.
    fresh: Agent,
    timeouts: BackendTimeouts,
    clock: ProcessClock,
}

/// Request of one attempt.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) request: &'a Request,
    /// Request id at the backend; unique within the deployment.
    pub(crate) request_id: &'a str,
    /// True if the response is streamed.
    pub(crate) stream: bool,
    pub(crate) dispatch: &'a Dispatch,
}

impl BackendClient {
    pub(crate) fn new(timeouts: BackendTimeouts, clock: ProcessClock) -> Self {
        BackendClient {
            pooled: agent(&timeouts, timeouts.idle_connections),
            fresh: agent(&timeouts, 0),
            timeouts,
            clock,
        }
    }

    /// Sends an attempt and waits for the response head. The response must be read on the calling
    /// thread.
    pub(crate) fn send(
        &self,
        outgoing: &OutgoingRequest<'_>,
        control: &Arc<AttemptControl>,
    ) -> Result<BackendResponse, AttemptFailure> {
        let _current = CurrentAttempt::enter(control.clone());
        let response = self.exchange(outgoing).map_err(|error| {
            let backend = &outgoing.dispatch.backend;
            log::debug!("event=attempt_failed backend={backend} error=\"{error}\"");
            match control.may_have_sent() {
                true => AttemptFailure::MayHaveRun,
                false => AttemptFailure::NotSent,
            }
        })?;
        if is_refusal(&response) {
            return Err(AttemptFailure::RefusedByBackend);
        }
        Ok(response)
    }

    fn exchange(&self, outgoing: &OutgoingRequest<'_>) -> Result<BackendResponse, ureq::Error> {
        let dispatch = outgoing.dispatch;
        let path = path_and_query(outgoing.request);
        let uri = format!("http://{}{path}", dispatch.address);
        let mut request = http::Request::builder()
            .method(outgoing.request.method.clone())
            .uri(uri)
            .body(())?;
        *request.headers_mut() = self.headers(outgoing);
        let agent = match dispatch.record {
            true => &self.fresh,
            false => &self.pooled,
        };
        let remaining = self.clock.left_until(dispatch.deadline) + self.timeouts.deadline_slack;
        let read_timeout = match outgoing.stream {
            true => remaining.min(self.timeouts.stream_read_timeout),
            false => remaining,
        };
        let configured = agent.configure_request(request);
        let request = configured.timeout_per_read(Some(read_timeout)).build();
        if takes_body(&outgoing.request.method) {
            let body: &[u8] = &outgoing.request.body;
            agent.run(request.map(|()| body))
        } else {
            agent.run(request)
        }
    }

    fn headers(&self, outgoing: &OutgoingRequest<'_>) -> HeaderMap {
        let dispatch = outgoing.dispatch;
        let mut headers = forwarded_headers(&outgoing.request.headers);
        headers.remove(AUTHORIZATION);
        headers.remove(CONTENT_LENGTH);
        headers.remove(KEY_HEADER);
        let remaining = self.clock.left_until(dispatch.deadline).as_millis();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set("x-request-id", outgoing.request_id);
        set("millpass-tenant", dispatch.tenant.as_str());
        set("millpass-incarnation", &dispatch.incarnation.to_string());
        set("millpass-priority", priority(dispatch.urgency));
        set("millpass-deadline-ms", &remaining.to_string());
        if let Some((slot, _)) = dispatch.slot {
            set("millpass-slot", &slot.to_string());
            set("millpass-resume-from", &dispatch.resume_from.to_string());
        }
        if dispatch.record
            && let Some(key) = outgoing.request.headers.get(KEY_HEADER)
        {
            headers.insert(KEY_HEADER, key.clone());
        }
        headers
    }

    /// Cancels a request at an engine. Required in addition to closing the connection, because a
    /// proxy may keep its own connection open.
    pub(crate) fn cancel(&self, address: &str, request_id: &str) {
        let url = format!("http://{address}/engine/requests/{request_id}");
        let configured = self.pooled.delete(&url).config();
        let request = configured
            .timeout_global(Some(self.timeouts.cancel_timeout))
            .build();
        if let Err(error) = request.call() {
            log::debug!("event=cancel_failed address={address} error=\"{error}\"");
        }
    }
}

fn agent(timeouts: &BackendTimeouts, idle_connections: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("millpass-router")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(timeouts.connect_timeout))
        .max_idle_connections(idle_connections * 16)
        .max_idle_connections_per_host(idle_connections)
        .max_idle_age(timeouts.idle_time)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build();
    Agent::with_parts(config, AttemptConnector, DefaultResolver::default())
}

/// Returns the end-to-end headers without reserved ones.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let is_reserved = |name: &&HeaderName| name.as_str().starts_with(RESERVED_PREFIX);
    let reserved = headers.keys().filter(is_reserved);
    let removed = connection_headers
        .iter()
        .chain(&HOP_BY_HOP_HEADERS)
        .chain(reserved);
    for name in removed {
        forwarded.remove(name);
    }
    forwarded.remove(KEEP_ALIVE);
    forwarded.remove(REQUEST_ID_HEADER);
    forwarded
}

/// Returns true if the backend states that it did not run the request.
fn is_refusal(response: &BackendResponse) -> bool {
    let executed = response.headers().get(EXECUTED_HEADER);
    REFUSAL_STATUSES.contains(&response.status()) && executed.is_some_and(|value| value == "no")
}

fn priority(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Interactive => "interactive",
        Urgency::Normal => "normal",
        Urgency::Batch => "batch",
    }
}
