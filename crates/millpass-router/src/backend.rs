//! Requests to back ends: one HTTP exchange for each attempt, never repeated by the library.

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

/// Buffers of a connection, each way. Small, because each streaming request holds one pair.
const BUFFER_BYTES: usize = 8 * 1024;
/// Headers that concern one connection or one hop, and are not passed on.
const HOP_HEADERS: [HeaderName; 9] = [
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
/// Another such header, without a name of its own in the library.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Statuses with which a back end refuses a request that another may run. Others, such as 400 and
/// 413, are its answer to the request itself.
const REFUSAL_STATUSES: [StatusCode; 3] = [
    StatusCode::CONFLICT,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// Start of the names of the headers that only the router sets.
const OWN_PREFIX: &str = "millpass-";

/// An answer whose head has arrived.
pub(crate) type BackendAnswer = http::Response<Body>;

/// Client for all back ends.
pub(crate) struct BackendClient {
    /// Reuses connections.
    pooled: Agent,
    /// A fresh connection for each request: claimed requests never meet one that may be dying.
    fresh: Agent,
    timeouts: BackendTimeouts,
    clock: ProcessClock,
}

/// What an attempt sends.
pub(crate) struct Outgoing<'a> {
    /// The caller's request.
    pub(crate) request: &'a Request,
    /// Identity at the back end, unique within the deployment.
    pub(crate) request_id: &'a str,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// The attempt.
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

    /// Sends an attempt and waits for the head of the answer. Must be called, and the answer
    /// read, on the thread that carries the attempt.
    pub(crate) fn send(
        &self,
        outgoing: &Outgoing<'_>,
        control: &Arc<AttemptControl>,
    ) -> Result<BackendAnswer, AttemptFailure> {
        let _current = CurrentAttempt::enter(control.clone());
        let answer = self.exchange(outgoing).map_err(|error| {
            let backend = &outgoing.dispatch.backend;
            log::debug!("event=attempt_failed backend={backend} error=\"{error}\"");
            match control.may_have_sent() {
                true => AttemptFailure::MayHaveRun,
                false => AttemptFailure::NotSent,
            }
        })?;
        if is_refusal(&answer) {
            return Err(AttemptFailure::RefusedByBackend);
        }
        Ok(answer)
    }

    fn exchange(&self, outgoing: &Outgoing<'_>) -> Result<BackendAnswer, ureq::Error> {
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
        let left = self.clock.left_until(dispatch.deadline) + self.timeouts.deadline_slack;
        let silence = match outgoing.stream {
            true => left.min(self.timeouts.stream_read_timeout),
            false => left,
        };
        let configured = agent.configure_request(request);
        let request = configured.timeout_per_read(Some(silence)).build();
        if takes_body(&outgoing.request.method) {
            let body: &[u8] = &outgoing.request.body;
            agent.run(request.map(|()| body))
        } else {
            agent.run(request)
        }
    }

    fn headers(&self, outgoing: &Outgoing<'_>) -> HeaderMap {
        let dispatch = outgoing.dispatch;
        let mut headers = passed_on(&outgoing.request.headers);
        headers.remove(AUTHORIZATION);
        headers.remove(CONTENT_LENGTH);
        headers.remove(KEY_HEADER);
        let left = self.clock.left_until(dispatch.deadline).as_millis();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set("x-request-id", outgoing.request_id);
        set("millpass-tenant", dispatch.tenant.as_str());
        set("millpass-incarnation", &dispatch.incarnation.to_string());
        set("millpass-priority", priority(dispatch.urgency));
        set("millpass-deadline-ms", &left.to_string());
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

    /// Tells an engine to end a request. The closed connection tells it too; this one arrives
    /// even where a proxy keeps the connection.
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

/// Headers of one side that the other may see.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let is_own = |name: &&HeaderName| name.as_str().starts_with(OWN_PREFIX);
    let own = headers.keys().filter(is_own);
    let removed = listed.iter().chain(&HOP_HEADERS).chain(own);
    for name in removed {
        passed.remove(name);
    }
    passed.remove(KEEP_ALIVE);
    passed.remove(REQUEST_ID_HEADER);
    passed
}

/// Whether the back end says that it refused without running the request.
fn is_refusal(answer: &BackendAnswer) -> bool {
    let executed = answer.headers().get(EXECUTED_HEADER);
    REFUSAL_STATUSES.contains(&answer.status()) && executed.is_some_and(|value| value == "no")
}

fn priority(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Interactive => "interactive",
        Urgency::Normal => "normal",
        Urgency::Batch => "batch",
    }
}
