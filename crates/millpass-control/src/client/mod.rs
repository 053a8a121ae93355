//! Client of the administration API, for the command line and the lab.
//!
//! A call tries the members in turn, follows the leader that a member names, and is resent with the
//! same change id until it succeeds or its deadline passes. Resending is safe: changes are
//! deduplicated by change id, and the other calls are idempotent.

mod call;
mod error;

pub use error::ClientError;

use crate::api::{
    AcceptedBody, AuditBody, BackendStateBody, ChangeBody, ErrorBody, MembershipBody, ObjectBody,
    ObjectsBody, QuarantinedRequestsBody, StatusBody, backend_state_name, kind_plural,
};
use call::{Call, encode, object_path};
use http::{Method, StatusCode};
use millpass_proto::{BackendState, Duration, ObjectKind};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Instant;
use ureq::Agent;

/// Deadline of a call when none is set.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(15);
/// Timeout of one attempt: longer than the core's own deadline of a change.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(7);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum idle time of a reused connection; members close idle connections later.
const MAXIMUM_IDLE_AGE: Duration = Duration::from_secs(5);
/// Delay after the first failed attempt; it doubles up to [`MAXIMUM_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAXIMUM_BACKOFF: Duration = Duration::from_millis(500);
const MAXIMUM_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// A client of the administration API.
#[derive(Clone, Debug)]
pub struct AdministrationClient {
    agent: Agent,
    addresses: Vec<String>,
    /// Address of the next attempt: one of the list, or a reported leader.
    current: String,
    /// Index of the next address to try when no leader is reported.
    next_index: usize,
    key: String,
    deadline: Duration,
}

/// Result of one attempt.
enum Attempt {
    /// The response body.
    Success(Vec<u8>),
    /// An error that a retry would not resolve.
    Failed(ClientError),
    /// Another member leads; nothing was done.
    NotLeader(Option<String>),
    /// The call was not accepted; nothing was done.
    NotExecuted(String),
    /// The response was lost; the call may have been executed.
    Lost(String),
}

impl AdministrationClient {
    /// Creates a client of the members at these addresses (IP:port) with an operator's key.
    pub fn new(addresses: Vec<String>, key: impl Into<String>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_age(MAXIMUM_IDLE_AGE)
            .build();
        AdministrationClient {
            agent: config.into(),
            current: addresses.first().cloned().unwrap_or_default(),
            next_index: 1,
            addresses,
            key: key.into(),
            deadline: DEFAULT_DEADLINE,
        }
    }

    /// Sets the deadline of each call, including resends.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Reads one object; `None` if it does not exist.
    pub fn get(&mut self, kind: ObjectKind, name: &str) -> Result<Option<ObjectBody>, ClientError> {
        match self.call(Call::read(object_path(kind, name))) {
            Ok(object) => Ok(Some(object)),
            Err(ClientError::Rejected { detail, .. }) if detail.kind == "not_found" => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Lists the objects of a kind, ordered by name.
    pub fn list(&mut self, kind: ObjectKind) -> Result<Vec<ObjectBody>, ClientError> {
        let path = format!("/v1/{}", kind_plural(kind));
        let listed: ObjectsBody = self.call(Call::read(path))?;
        Ok(listed.objects)
    }

    /// Creates or changes an object.
    pub fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        change: &ChangeBody,
    ) -> Result<AcceptedBody, ClientError> {
        self.call(Call::change(Method::PUT, object_path(kind, name), change)?)
    }

    /// Deletes an object.
    pub fn delete(
        &mut self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        change_id: &str,
    ) -> Result<AcceptedBody, ClientError> {
        let path = object_path(kind, name);
        let change_id = encode(change_id);
        self.call(Call {
            method: Method::DELETE,
            path: format!("{path}?expected_version={expected_version}&change_id={change_id}"),
            body: Vec::new(),
            changes: true,
        })
    }

    /// Reads the state of the deployment.
    pub fn status(&mut self) -> Result<StatusBody, ClientError> {
        self.call(Call::read("/v1/status".to_owned()))
    }

    /// Reads the retained audit records after a revision.
    pub fn audit(&mut self, after: u64) -> Result<AuditBody, ClientError> {
        self.call(Call::read(format!("/v1/audit?after={after}")))
    }

    /// Marks a back end as leaving: it gets no new work and finishes what it has.
    pub fn drain_backend(&mut self, backend: &str) -> Result<(), ClientError> {
        let path = format!("/v1/backends/{}/state", encode(backend));
        let state = BackendStateBody {
            state: backend_state_name(BackendState::Leaving).to_owned(),
        };
        let _: Value = self.call(Call::change(Method::PUT, path, &state)?)?;
        Ok(())
    }

    /// Lists the quarantined requests.
    pub fn quarantined_requests(&mut self) -> Result<QuarantinedRequestsBody, ClientError> {
        self.call(Call::read("/v1/held-requests".to_owned()))
    }

    /// Lifts the quarantine of a request.
    pub fn lift_quarantine(&mut self, fingerprint: &str) -> Result<(), ClientError> {
        let _: Value = self.call(Call {
            method: Method::DELETE,
            path: format!("/v1/held-requests/{}", encode(fingerprint)),
            body: Vec::new(),
            changes: true,
        })?;
        Ok(())
    }

    /// Releases refused parts of prompts, as the list states them.
    pub fn release_parts(
        &mut self,
        service: &str,
        parts: &str,
        tenant: Option<&str>,
        all_tenants: bool,
    ) -> Result<(), ClientError> {
        let query = match (tenant, all_tenants) {
            (_, true) => "?all_tenants=true".to_owned(),
            (Some(tenant), false) => format!("?tenant={}", encode(tenant)),
            (None, false) => String::new(),
        };
        let _: Value = self.call(Call {
            method: Method::DELETE,
            path: format!(
                "/v1/held-parts/{}/{}{query}",
                encode(service),
                encode(parts)
            ),
            body: Vec::new(),
            changes: true,
        })?;
        Ok(())
    }

    /// Changes the members of the control group.
    pub fn change_members(&mut self, change: &MembershipBody) -> Result<(), ClientError> {
        let path = "/v1/members".to_owned();
        let _: Value = self.call(Call::change(Method::POST, path, change)?)?;
        Ok(())
    }

    /// Sends a call until it succeeds, fails permanently, or the deadline passes.
    fn call<T: DeserializeOwned>(&mut self, call: Call) -> Result<T, ClientError> {
        if self.addresses.is_empty() {
            return Err(ClientError::NoAddress);
        }
        let end = Instant::now() + self.deadline;
        let mut backoff = INITIAL_BACKOFF;
        let mut may_have_run = false;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let last = match self.send(&call, left.min(ATTEMPT_TIMEOUT)) {
                Attempt::Success(body) => return parse_body(&body),
                Attempt::Failed(error) => return Err(error),
                Attempt::NotLeader(leader) => {
                    let last = format!("{} does not lead", self.current);
                    self.select_next(leader);
                    last
                }
                Attempt::NotExecuted(reason) => {
                    self.select_next(None);
                    reason
                }
                Attempt::Lost(reason) => {
                    may_have_run |= call.changes;
                    self.select_next(None);
                    reason
                }
            };
            let left = end.saturating_duration_since(Instant::now());
            if left <= backoff {
                return Err(deadline_error(may_have_run, last));
            }
            std::thread::sleep(backoff);
            backoff = (backoff * 2).min(MAXIMUM_BACKOFF);
        }
    }

    /// Selects the reported leader, or else the next address of the list. The position in the list
    /// is kept, so that a follower that names an unreachable leader does not hide the other
    /// members.
    fn select_next(&mut self, leader: Option<String>) {
        // Only a socket address is followed, never any other text.
        let leader = leader.filter(|address| address.parse::<SocketAddr>().is_ok());
        self.current = leader.unwrap_or_else(|| {
            let index = self.next_index % self.addresses.len();
            self.next_index = index + 1;
            self.addresses[index].clone()
        });
    }

    fn send(&self, call: &Call, timeout: Duration) -> Attempt {
        let request = http::Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", self.current, call.path))
            .header("Authorization", format!("Bearer {}", self.key))
            .header("Content-Type", "application/json")
            .body(call.body.as_slice());
        let request = match request {
            Ok(request) => request,
            Err(error) => return Attempt::Failed(invalid_request(&error)),
        };
        let agent = &self.agent;
        let configured = agent.configure_request(request);
        let request = configured.timeout_global(Some(timeout)).build();
        let mut response = match agent.run(request) {
            Ok(response) => response,
            Err(
                ureq::Error::ConnectionFailed
                | ureq::Error::HostNotFound
                | ureq::Error::Timeout(ureq::Timeout::Connect),
            ) => {
                return Attempt::NotExecuted(format!("{}: no connection", self.current));
            }
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                return Attempt::NotExecuted(format!("{}: {error}", self.current));
            }
            Err(error) => return Attempt::Lost(format!("{}: {error}", self.current)),
        };
        let status = response.status();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAXIMUM_RESPONSE_BYTES);
        match body.read_to_vec() {
            Ok(body) => classify(status, body),
            Err(error) => Attempt::Lost(format!("{}: {error}", self.current)),
        }
    }
}

/// Classifies a response.
fn classify(status: StatusCode, body: Vec<u8>) -> Attempt {
    if status.is_success() {
        return Attempt::Success(body);
    }
    let parsed: Result<ErrorBody, _> = serde_json::from_slice(&body);
    let Ok(ErrorBody { error: detail }) = parsed else {
        return Attempt::Lost(format!("{status} without an administration API error body"));
    };
    let (message, remedy) = (detail.message.clone(), detail.remedy.clone());
    match (status, detail.kind.as_str()) {
        (StatusCode::MISDIRECTED_REQUEST, _) => Attempt::NotLeader(detail.leader_address),
        (_, "busy" | "too_many_connections" | "body_timeout") => Attempt::NotExecuted(message),
        (StatusCode::UNAUTHORIZED, _) => {
            Attempt::Failed(ClientError::Unauthenticated { message, remedy })
        }
        (StatusCode::FORBIDDEN, _) => Attempt::Failed(ClientError::Forbidden { message, remedy }),
        (StatusCode::CONFLICT, _) => Attempt::Failed(ClientError::Conflict {
            current_version: detail.current_version.unwrap_or(0),
        }),
        _ if status.is_server_error() => Attempt::Lost(message),
        _ => Attempt::Failed(ClientError::Rejected {
            status: status.as_u16(),
            detail: Box::new(detail),
        }),
    }
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| ClientError::UnexpectedResponse(error.to_string()))
}

fn deadline_error(may_have_run: bool, last: String) -> ClientError {
    if may_have_run {
        ClientError::OutcomeUnknown { last }
    } else {
        ClientError::Unavailable { last }
    }
}

/// Error for a key or address that cannot be encoded in a request; nothing was sent.
fn invalid_request(error: &http::Error) -> ClientError {
    ClientError::Unavailable {
        last: format!("the request cannot be encoded: {error}"),
    }
}
