//! One request from its head to its answer.

use crate::answers::{NOT_CONFIGURED_WAIT, own_answer, unidentified, unrouted};
use crate::credit::{CreditHold, CreditRefusal};
use crate::exchange::{self, Received, SendFailure, Template, remove_hop_headers};
use crate::interface::{AnswerFacts, SendFacts};
use crate::metrics::millis;
use crate::relay::{Relay, RelayBody, relay, whole_body};
use crate::shared::{ActiveSend, Shared};
use crate::statements::note_statement;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use millpass_dispatch::{Choice, RefusalReason, RequestIdentity, RouteError, SendOutcome, Ticket};
use millpass_proto::{Duration, InstanceId, RouteSpec, Timestamp};
use millpass_telemetry::event_line;
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Most bytes of a body where the configuration states no limit.
const DEFAULT_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Time to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Most bytes of a failed answer that is kept to be passed on.
const MAXIMUM_FAILURE_BYTES: usize = 256 * 1024;
/// Time for a failed answer's body to come.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a request is held while there is no configuration, or none that may be gone by.
const NOT_CONFIGURED_HOLD: Duration = Duration::from_millis(250);
/// Time over which callers of a tenant that has used up its quota come back.
const QUOTA_SPREAD: Duration = Duration::from_millis(500);

/// A failed answer of an instance, passed on if there is no better one.
struct FailedAnswer {
    head: http::response::Parts,
    body: Bytes,
}

/// Counts a request as in flight for as long as it lives. When its caller leaves, what answers it is
/// dropped wherever it waits: then this says so.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    /// Attempt and arrival of a request that has a route and no end yet.
    open: Option<(String, Timestamp)>,
}

impl InFlight {
    fn new(shared: Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { shared, open: None }
    }

    fn opened(&mut self, ticket: &Ticket) {
        self.open = Some((ticket.description.attempt.clone(), ticket.arrived));
    }

    /// The request's end is about to be logged; false if it was before.
    pub(crate) fn ended(&mut self) -> bool {
        self.open.take().is_some()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        let Some((attempt, arrived)) = self.open.take() else {
            return;
        };
        self.shared.metrics.count_request(None, "caller-left");
        let pairs = [
            ("request", attempt),
            ("outcome", "caller-left".to_owned()),
            ("age_ms", millis(self.shared.now().since(arrived))),
        ];
        log::info!("{}", event_line("request_ended", &pairs));
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<RelayBody> {
    let in_flight = InFlight::new(shared.clone());
    let mut response = answer(&shared, request, in_flight).await;
    if shared.is_draining() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    mut in_flight: InFlight,
) -> Response<RelayBody> {
    let (head, body) = request.into_parts();
    let mut description = shared.interface.describe(&head.headers);
    let attempt = description.attempt.clone();
    let host = head
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.authority().map(|authority| authority.as_str()))
        .unwrap_or("")
        .to_owned();
    let arrived = shared.now();
    let route = match route_of(shared, &host, head.uri.path()).await {
        Ok(route) => route,
        Err(error) => return unrouted(shared, &attempt, &host, head.uri.path(), error),
    };
    let identified = shared.core().identify(arrived, &route, description.key);
    let tenant = match identified {
        Ok(tenant) => tenant,
        Err(error) => return unidentified(shared, &attempt, &route, error),
    };
    let body = match read_body(shared, body).await {
        Ok(body) => body,
        Err(status) => {
            let reason = "the body exceeds the limit of the configuration or came too slowly";
            return own_answer(shared, &attempt, status, reason, None);
        }
    };
    let identity = RequestIdentity {
        tenant: tenant.as_deref(),
        route: &route,
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("", |path| path.as_str()),
        body: &body,
    };
    description.fingerprint = identity.fingerprint();
    let draw: f64 = rand::rng().random();
    let ticket = shared
        .core()
        .begin(arrived, route, tenant, description, draw);
    in_flight.opened(&ticket);
    let template = Template::new(shared.interface.as_ref(), head, body);
    let forward = Forward {
        shared: shared.clone(),
        ticket,
        credit: None,
        template,
        failed: None,
        may_have_run: false,
        in_flight: Some(in_flight),
    };
    forward.within_quota().await
}

/// The route of a request. A gateway that has just started, or lost the leader, gets its configuration or its
/// confirmation in a moment: the request is held that long.
async fn route_of(shared: &Shared, host: &str, path: &str) -> Result<Arc<RouteSpec>, RouteError> {
    let until = shared.now() + NOT_CONFIGURED_HOLD;
    loop {
        let changed = shared.changed.listen();
        let now = shared.now();
        let route = shared.core().route(now, host, path);
        let is_known = !matches!(
            route,
            Err(RouteError::NotConfigured | RouteError::Unconfirmed)
        );
        if is_known || now >= until {
            return route;
        }
        shared.wait_for_change(changed, until).await;
    }
}

struct Forward {
    shared: Arc<Shared>,
    ticket: Ticket,
    /// Its units of the tenant's quota, where there is a limit.
    credit: Option<CreditHold>,
    template: Template,
    failed: Option<FailedAnswer>,
    may_have_run: bool,
    in_flight: Option<InFlight>,
}

/// What became of one send.
enum Sent {
    /// The answer is on its way.
    Answered(Box<Response<RelayBody>>),
    /// Another instance may be tried.
    TryAnother,
    /// It is over.
    Over(StatusCode, &'static str),
}

impl Forward {
    /// Serves the request once its tenant's quota covers it.
    async fn within_quota(mut self) -> Response<RelayBody> {
        let now = self.shared.now();
        let held_back = self.shared.core().quarantined_for(now, &self.ticket);
        if let Some(retry_after) = held_back {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reason = RefusalReason::Quarantined.as_str();
            return self.give_up(status, reason, Some(retry_after));
        }
        let hold = match CreditHold::claim(&self.shared, &self.ticket) {
            Ok(Some(hold)) => hold,
            Ok(None) => return self.run().await,
            Err(_) => return self.give_up(StatusCode::BAD_REQUEST, "tokens-unreadable", None),
        };
        match hold.covered(&self.ticket).await {
            Ok(()) => {
                self.credit = Some(hold);
                self.run().await
            }
            Err(CreditRefusal::Exhausted { retry_after }) => {
                // Spread, so that the callers of a tenant do not come back at one time.
                let spread = QUOTA_SPREAD.mul_f64(rand::rng().random());
                let status = StatusCode::TOO_MANY_REQUESTS;
                self.give_up(status, "quota", Some(retry_after + spread))
            }
            Err(CreditRefusal::Unanswered) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                self.give_up(status, "quota-unknown", Some(NOT_CONFIGURED_WAIT))
            }
        }
    }

    /// Notes whether the request may have run, so that its units are used.
    fn note_ran(&mut self, ran: bool) {
        if let Some(credit) = &mut self.credit {
            credit.used(ran || self.may_have_run);
        }
    }

    async fn run(mut self) -> Response<RelayBody> {
        loop {
            let changed = self.shared.changed.listen();
            let now = self.shared.now();
            let choice = self.shared.choose(now, &mut self.ticket);
            match choice {
                Choice::Send { instance, address } => match self.send(instance, &address).await {
                    Sent::Answered(response) => return *response,
                    Sent::TryAnother => {}
                    Sent::Over(status, reason) => return self.give_up(status, reason, None),
                },
                Choice::Wait { until } => {
                    self.shared.wait_for_change(changed, until).await;
                }
                Choice::Refuse {
                    reason,
                    retry_after,
                } => {
                    if self.may_have_run {
                        return self.give_up(StatusCode::BAD_GATEWAY, reason.as_str(), None);
                    }
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    return self.give_up(status, reason.as_str(), Some(retry_after));
                }
            }
        }
    }

    async fn send(&mut self, instance: InstanceId, address: &str) -> Sent {
        let shared = self.shared.clone();
        let sent_at = shared.now();
        self.note_ran(true);
        let active = ActiveSend::new(shared.clone(), self.ticket.send_record(&instance));
        let facts = SendFacts {
            remaining: self.ticket.deadline.since(sent_at),
            instance: &instance,
            rank: self.ticket.rank,
            tenant: self.ticket.tenant.as_ref().map(|tenant| &tenant.name),
            last_event: None,
        };
        let give_up = self.ticket.expires_at;
        let received = exchange::send(&shared, &self.template, address, &facts, give_up).await;
        let received = match received {
            Ok(received) => received,
            Err(failure) => return self.failed(active, failure),
        };
        let stated = received.facts.attempt.as_deref();
        if stated.is_some_and(|stated| stated != self.ticket.description.attempt) {
            let failure = SendFailure::Broken("the answer is to another request".to_owned());
            return self.failed(active, failure);
        }
        note_statement(&shared, &self.ticket, &instance, sent_at, &received.facts);
        if let Some(load) = received.facts.load {
            shared.core().record_load(shared.now(), &instance, load);
        }
        if received.facts.misdirected || received.facts.not_executed {
            note_turned_away(&shared, &self.ticket, active, &received);
            self.note_ran(false);
            drop(received);
            return Sent::TryAnother;
        }
        let took = shared.now().since(sent_at);
        if received.head.status.is_server_error() {
            return self.server_failed(active, received).await;
        }
        Sent::Answered(Box::new(self.pass_on(active, received, took)))
    }

    fn failed(&mut self, active: ActiveSend, failure: SendFailure) -> Sent {
        note_failure(&self.shared, &mut self.ticket, active, &failure);
        match failure {
            SendFailure::Unreachable(_) | SendFailure::Ended(_) => {
                self.note_ran(false);
                Sent::TryAnother
            }
            SendFailure::Broken(_) => {
                self.may_have_run = true;
                if self.ticket.is_repeatable() {
                    return Sent::TryAnother;
                }
                Sent::Over(StatusCode::BAD_GATEWAY, "broken")
            }
            SendFailure::TimedOut => {
                self.may_have_run = true;
                Sent::Over(StatusCode::GATEWAY_TIMEOUT, "timed-out")
            }
        }
    }

    /// The server's own failure: it ran. Passed on, unless the request may run again.
    async fn server_failed(&mut self, active: ActiveSend, received: Received) -> Sent {
        let instance = active.record().instance.clone();
        let status = received.head.status;
        let status_text = status.as_str();
        log_send(
            &self.shared,
            &self.ticket,
            &instance,
            "server-error",
            status_text,
        );
        self.may_have_run = true;
        let body = read_failure(received.body).await;
        active.end(match body {
            Some(_) => SendOutcome::Failed,
            None => SendOutcome::Broken,
        });
        let Some(body) = body else {
            if self.ticket.is_repeatable() {
                return Sent::TryAnother;
            }
            return Sent::Over(StatusCode::BAD_GATEWAY, "broken");
        };
        let head = received.head;
        self.failed = Some(FailedAnswer { head, body });
        if self.ticket.is_repeatable() {
            return Sent::TryAnother;
        }
        Sent::Over(status, "server-error")
    }

    fn pass_on(
        &mut self,
        active: ActiveSend,
        received: Received,
        took: Duration,
    ) -> Response<RelayBody> {
        let mut response = Response::new(());
        *response.status_mut() = received.head.status;
        *response.headers_mut() = received.head.headers.clone();
        remove_hop_headers(response.headers_mut());
        let resumable = self.ticket.route.resumable && received.head.status.is_success();
        let relayed = Relay::new(
            self.shared.clone(),
            self.ticket.clone(),
            self.template.clone(),
            active,
            received,
            took,
            resumable,
            self.in_flight.take(),
        );
        response.map(|()| relay(relayed))
    }

    /// The answer of a request that no instance answered well.
    fn give_up(
        mut self,
        status: StatusCode,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Response<RelayBody> {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.ended();
        }
        if let Some(failed) = self.failed {
            let status = failed.head.status.as_str();
            log_request(&self.shared, &self.ticket, "server-error", status, None);
            let mut response = Response::new(whole_body(failed.body));
            *response.status_mut() = failed.head.status;
            *response.headers_mut() = failed.head.headers;
            remove_hop_headers(response.headers_mut());
            return response;
        }
        log_request(&self.shared, &self.ticket, reason, status.as_str(), None);
        let attempt = self.ticket.description.attempt.clone();
        own_answer(&self.shared, &attempt, status, reason, retry_after)
    }
}

/// Notes a send without an answer. One that did not arrive uses up no attempt.
pub(crate) fn note_failure(
    shared: &Shared,
    ticket: &mut Ticket,
    active: ActiveSend,
    failure: &SendFailure,
) {
    let (outcome, detail, end) = match failure {
        SendFailure::Unreachable(reason) => {
            ("unreachable", reason.as_str(), SendOutcome::Unreachable)
        }
        SendFailure::Ended(reason) => (
            "unreachable",
            reason.as_str(),
            SendOutcome::ConnectionRefused,
        ),
        SendFailure::Broken(reason) => ("broken", reason.as_str(), SendOutcome::Broken),
        SendFailure::TimedOut => ("timed-out", "", SendOutcome::Abandoned),
    };
    log_send(shared, ticket, &active.record().instance, outcome, detail);
    active.end(end);
    if matches!(
        end,
        SendOutcome::Unreachable | SendOutcome::ConnectionRefused
    ) {
        ticket.sends = ticket.sends.saturating_sub(1);
    }
}

/// Notes a send that the instance says did not run.
pub(crate) fn note_turned_away(
    shared: &Shared,
    ticket: &Ticket,
    active: ActiveSend,
    received: &Received,
) {
    let instance = &active.record().instance;
    let status = received.head.status.as_str();
    let end = turned_away(&received.facts, instance);
    log_send(shared, ticket, instance, "not-executed", status);
    active.end(end);
}

/// Logs a send that was not answered well.
fn log_send(shared: &Shared, ticket: &Ticket, instance: &InstanceId, outcome: &str, detail: &str) {
    let now = shared.now();
    let pairs = [
        ("request", ticket.description.attempt.clone()),
        ("fingerprint", ticket.description.fingerprint.to_string()),
        ("route", ticket.route.name.clone()),
        ("instance", instance.0.clone()),
        ("outcome", outcome.to_owned()),
        ("detail", detail.to_owned()),
        ("age_ms", millis(now.since(ticket.arrived))),
    ];
    log::info!("{}", event_line("send_ended", &pairs));
}

/// How a send ended that the instance says did not run.
fn turned_away(facts: &AnswerFacts, instance: &InstanceId) -> SendOutcome {
    let other_run = facts
        .instance
        .as_ref()
        .is_some_and(|found| found.name() != instance.name());
    match (facts.misdirected, other_run) {
        (true, true) => SendOutcome::Replaced,
        (true, false) => SendOutcome::Misdirected,
        (false, _) => SendOutcome::Full,
    }
}

/// Logs how a request ended.
pub(crate) fn log_request(
    shared: &Shared,
    ticket: &Ticket,
    outcome: &str,
    status: &str,
    head: Option<Duration>,
) {
    let tenant = ticket.tenant.as_ref().map(|tenant| &tenant.name);
    shared.metrics.count_request(tenant, outcome);
    let last = ticket.tried.last();
    let description = &ticket.description;
    let model = description.model.as_ref();
    let adapter = description.adapter.as_ref();
    let now = shared.now();
    let version = shared.core().table().map_or(0, |table| table.version());
    let waited = ticket.sent_at.map(|sent| sent.since(ticket.arrived));
    let pairs = [
        ("request", description.attempt.clone()),
        ("fingerprint", description.fingerprint.to_string()),
        ("route", ticket.route.name.clone()),
        (
            "tenant",
            tenant.map_or_else(String::new, |tenant| tenant.0.clone()),
        ),
        ("service", ticket.service.0.clone()),
        ("version", version.to_string()),
        (
            "model",
            model.map_or_else(String::new, |model| model.0.clone()),
        ),
        (
            "adapter",
            adapter.map_or_else(String::new, |adapter| adapter.0.clone()),
        ),
        (
            "instance",
            last.map_or_else(String::new, |instance| instance.0.clone()),
        ),
        ("sends", ticket.sends.to_string()),
        ("outcome", outcome.to_owned()),
        ("status", status.to_owned()),
        ("waited_ms", waited.map_or_else(String::new, millis)),
        ("head_ms", head.map_or_else(String::new, millis)),
        ("age_ms", millis(now.since(ticket.arrived))),
    ];
    log::info!("{}", event_line("request_ended", &pairs));
}

/// Reads a caller's body within the limits of the configuration.
async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, StatusCode> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated = shared
        .core()
        .table()
        .map_or(0, |table| table.document().limits.body_bytes);
    let limit = if stated == 0 {
        DEFAULT_BODY_BYTES
    } else {
        stated
    };
    if body.size_hint().lower() > limit {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let read = async { Some(Limited::new(body, limit).collect().await) };
    let timer = async {
        Timer::after(BODY_TIMEOUT).await;
        None
    };
    match future::or(read, timer).await {
        None => Err(StatusCode::REQUEST_TIMEOUT),
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Some(Err(_)) => Err(StatusCode::BAD_REQUEST),
    }
}

/// The whole body of a failed answer; none if it does not come whole.
async fn read_failure(body: Incoming) -> Option<Bytes> {
    let read = async {
        let collected = Limited::new(body, MAXIMUM_FAILURE_BYTES).collect().await;
        collected.ok().map(http_body_util::Collected::to_bytes)
    };
    let timer = async {
        Timer::after(FAILURE_BODY_TIMEOUT).await;
        None
    };
    future::or(read, timer).await
}

/// Whether an answer on this route is a stream of events.
pub(crate) fn is_stream(route: &RouteSpec) -> bool {
    route.kind == millpass_proto::RouteKind::Stream
}
