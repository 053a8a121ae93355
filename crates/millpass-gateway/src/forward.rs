//! Handles one request from its head to its response.

use crate::body_end;
use crate::body_memory::{BodyRefusal, BodyReservation};
use crate::caller_limits;
use crate::caller_stream::CallerConnection;
use crate::credit::{CreditHold, CreditRefusal};
use crate::error_body::read_error_body;
use crate::exchange::{
    self, ReceivedResponse, RequestTemplate, SendFailure, Target, remove_hop_by_hop_headers,
};
use crate::framing::Framing;
use crate::hop::{HopOutcome, HopRequest, HopResponse};
use crate::interface::SendFacts;
use crate::peer::{self, PeerResponse};
use crate::peer_service::{self, ForwardedGuard, state_hop};
use crate::reach::PathWatch;
use crate::relay::{Relay, RelayBody, full_body, relay};
use crate::request_body::{BodyError, read_body};
use crate::request_log::{InFlight, log_request, log_send_failure};
use crate::responses::{
    NOT_CONFIGURED_RETRY_AFTER, gateway_response, large_head_response, request_host,
    unidentified_response, unrouted_response,
};
use crate::resumption;
use crate::send_outcomes::{record_failure, record_rejection};
use crate::shared::{Active, ActiveForward, ActiveSend, Shared, Turn};
use crate::statements::record_statement;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use millpass_dispatch::{
    Choice, ForwardOutcome, RefusalReason, RequestIdentity, RouteError, SendOutcome, Ticket,
};
use millpass_proto::{
    Duration, GatewayPeer, InstanceId, RequestFingerprint, RouteSpec, TenantAccess, Timestamp,
};
use rand::RngExt;
use std::sync::Arc;

/// Maximum time for which a request waits for a confirmed configuration.
const NOT_CONFIGURED_WAIT: Duration = Duration::from_millis(250);
/// Jitter added to Retry-After when a tenant has used up its quota, as a fraction of it. Spreads
/// the callers over the time that their units take to refill.
const QUOTA_RETRY_JITTER_FRACTION: f64 = 0.5;
/// Minimum of that jitter's range, for a quota that is available again within milliseconds.
const MINIMUM_QUOTA_RETRY_JITTER: Duration = Duration::from_millis(200);
/// Maximum of that range: enough to spread callers, also where the bucket is in debt for minutes.
const MAXIMUM_QUOTA_RETRY_JITTER: Duration = Duration::from_secs(1);

/// An error response of an instance, relayed if no other instance serves the request.
struct ErrorResponse {
    head: http::response::Parts,
    body: Bytes,
}

/// Handles one request of a caller.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    caller: &CallerConnection,
) -> Response<RelayBody> {
    let in_flight = InFlight::new(shared.clone());
    let mut response = respond(&shared, request, caller, in_flight).await;
    if shared.is_draining() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    caller: &CallerConnection,
    mut in_flight: InFlight,
) -> Response<RelayBody> {
    let (head, body) = request.into_parts();
    let mut description = shared.interface.describe(&head.headers);
    let attempt = description.attempt.clone();
    let host = request_host(&head.headers, &head.uri);
    let arrived = shared.now();
    let header_bytes = shared.caller_limits.header_bytes();
    if caller_limits::exceeds(&head, header_bytes) {
        return large_head_response(shared, &attempt, header_bytes);
    }
    let route = match resolve_route(shared, &host, head.uri.path()).await {
        Ok(route) => route,
        Err(error) => return unrouted_response(shared, &attempt, &host, head.uri.path(), error),
    };
    let identified = shared.core().identify(arrived, &route, description.key);
    let tenant = match identified {
        Ok(tenant) => tenant,
        Err(error) => return unidentified_response(shared, &attempt, &route, error),
    };
    let body = match read_body(shared, body).await {
        Ok(body) => body,
        Err(error) => return error.response(shared, &attempt),
    };
    caller.request_received();
    description.fingerprint = fingerprint(&head, tenant.as_deref(), &route, &body.bytes);
    let draw: f64 = rand::rng().random();
    let ticket = shared
        .core()
        .begin(arrived, route, tenant, description, draw);
    in_flight.track(&ticket);
    let template = RequestTemplate::new(shared.interface.as_ref(), head, body.bytes);
    let forward = Forward::new(shared, ticket, template, body.reservation, in_flight);
    forward.serve_within_quota().await
}

/// Serves a request that another gateway forwarded, which has claimed its units.
pub(crate) async fn serve_forwarded(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    route: Arc<RouteSpec>,
    tenant: Option<Arc<TenantAccess>>,
    hop: HopRequest,
    guard: Option<ForwardedGuard>,
) -> Response<RelayBody> {
    let mut in_flight = InFlight::new(shared.clone());
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let mut description = shared.interface.describe(&head.headers);
    let body = match read_body(shared, body).await {
        Ok(body) => body,
        Err(BodyError::Refused(BodyRefusal::NoMemory)) => {
            return peer_service::decline(shared, &description.attempt, "busy");
        }
        Err(error) => return error.response(shared, &description.attempt),
    };
    description.fingerprint = fingerprint(&head, tenant.as_deref(), &route, &body.bytes);
    let mut ticket = shared
        .core()
        .begin_forwarded(arrived, route, tenant, description, hop.terms);
    if let Some(software) = hop.software {
        ticket.require_software(software);
    }
    in_flight.track(&ticket);
    let template = RequestTemplate::new(shared.interface.as_ref(), head, body.bytes);
    let forward = Forward {
        last_event: hop.last_event,
        guard,
        ..Forward::new(shared, ticket, template, body.reservation, in_flight)
    };
    forward.run().await
}

fn fingerprint(
    head: &http::request::Parts,
    tenant: Option<&TenantAccess>,
    route: &RouteSpec,
    body: &[u8],
) -> RequestFingerprint {
    let identity = RequestIdentity {
        tenant,
        route,
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("", |path| path.as_str()),
        body,
    };
    identity.fingerprint()
}

/// Resolves the route of a request. Waits briefly for a confirmed configuration, as a gateway that
/// has just started or lost the leader usually gets one soon.
async fn resolve_route(
    shared: &Shared,
    host: &str,
    path: &str,
) -> Result<Arc<RouteSpec>, RouteError> {
    let until = shared.now() + NOT_CONFIGURED_WAIT;
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
    /// Units claimed from the tenant's quota; `None` if it has no limit.
    credit: Option<CreditHold>,
    template: RequestTemplate,
    /// Memory of the template's body.
    reservation: Option<BodyReservation>,
    error_response: Option<ErrorResponse>,
    may_have_run: bool,
    in_flight: Option<InFlight>,
    /// Event after which a stream resumes that another gateway forwarded.
    last_event: Option<String>,
    /// Present if another gateway forwarded the request.
    guard: Option<ForwardedGuard>,
}

/// Result of one send.
enum SendResult {
    /// The response is being relayed.
    Responded(Box<Response<RelayBody>>),
    /// Another instance may be tried.
    Retry,
    /// The request failed with this status and reason.
    Failed(StatusCode, &'static str),
    /// It is not certain that an instance of its stream's version is reached; it has not been sent.
    Uncertain,
}

impl Forward {
    fn new(
        shared: &Arc<Shared>,
        ticket: Ticket,
        template: RequestTemplate,
        reservation: BodyReservation,
        in_flight: InFlight,
    ) -> Self {
        Forward {
            shared: shared.clone(),
            ticket,
            credit: None,
            template,
            reservation: Some(reservation),
            error_response: None,
            may_have_run: false,
            in_flight: Some(in_flight),
            last_event: None,
            guard: None,
        }
    }

    /// Serves the request once its tenant's quota covers it, unless it is quarantined.
    async fn serve_within_quota(mut self) -> Response<RelayBody> {
        let now = self.shared.now();
        let quarantine = self.shared.core().quarantine(now, &self.ticket);
        if let Some((reason, retry_after)) = quarantine {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return self.fail(status, reason.as_str(), Some(retry_after));
        }
        if let Err((reason, retry_after)) =
            resumption::resolve(&self.shared, &mut self.ticket).await
        {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return self.fail(status, reason.as_str(), retry_after);
        }
        let hold = match CreditHold::claim(&self.shared, &self.ticket) {
            Ok(Some(hold)) => hold,
            Ok(None) => return self.run().await,
            Err(_) => return self.fail(StatusCode::BAD_REQUEST, "tokens-unreadable", None),
        };
        self.credit = Some(hold);
        self.run().await
    }

    /// Waits until the units of the next send are granted.
    async fn wait_until_covered(&mut self) -> Result<(), CreditRefusal> {
        let Some(credit) = &self.credit else {
            return Ok(());
        };
        if !credit.is_covered(self.shared.now()) {
            credit.wait_until_covered(&self.ticket).await?;
        }
        self.ticket.credit = credit.credit_use();
        Ok(())
    }

    /// Refuses a request without units.
    fn refuse_credit(self, refusal: CreditRefusal) -> Response<RelayBody> {
        if self.may_have_run {
            return self.fail(StatusCode::BAD_GATEWAY, "quota", None);
        }
        match refusal {
            CreditRefusal::Exhausted { retry_after } => {
                // Jitter keeps the callers of a tenant from retrying at the same time.
                let range = retry_after
                    .mul_f64(QUOTA_RETRY_JITTER_FRACTION)
                    .clamp(MINIMUM_QUOTA_RETRY_JITTER, MAXIMUM_QUOTA_RETRY_JITTER);
                let jitter = range.mul_f64(rand::rng().random());
                let status = StatusCode::TOO_MANY_REQUESTS;
                self.fail(status, "quota", Some(retry_after + jitter))
            }
            CreditRefusal::LeaderUnavailable => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                self.fail(status, "quota-unknown", Some(NOT_CONFIGURED_RETRY_AFTER))
            }
        }
    }

    async fn run(mut self) -> Response<RelayBody> {
        let mut turn = Turn::new(self.shared.clone());
        loop {
            if let Err(refusal) = self.wait_until_covered().await {
                return self.refuse_credit(refusal);
            }
            let changed = self.shared.changed.listen();
            let now = self.shared.now();
            if !self.is_covered(now) {
                continue;
            }
            let choice = self.shared.choose(now, &mut self.ticket, &mut turn);
            match choice {
                Choice::Send { instance, address } => {
                    match self.send(now, instance, &address).await {
                        SendResult::Responded(response) => return *response,
                        SendResult::Retry => {}
                        SendResult::Failed(status, reason) => {
                            return self.fail(status, reason, None);
                        }
                        SendResult::Uncertain => return self.refuse_uncertain(),
                    }
                }
                Choice::Forward { peer } => match self.send_to_peer(now, &peer).await {
                    SendResult::Responded(response) => return *response,
                    SendResult::Retry => {}
                    SendResult::Failed(status, reason) => return self.fail(status, reason, None),
                    SendResult::Uncertain => return self.refuse_uncertain(),
                },
                Choice::Wait { until } => {
                    let waiting = self.shared.wait_to_decide(&mut turn, changed, until);
                    waiting.await;
                }
                Choice::Refuse {
                    reason,
                    retry_after,
                } => {
                    if self.may_have_run {
                        return self.fail(StatusCode::BAD_GATEWAY, reason.as_str(), None);
                    }
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    let retry_after = reason.may_return().then_some(retry_after);
                    return self.fail(status, reason.as_str(), retry_after);
                }
            }
        }
    }

    /// Refuses to go on with a stream: its caller may come back.
    fn refuse_uncertain(self) -> Response<RelayBody> {
        let reason = RefusalReason::StreamUnconfirmed.as_str();
        if self.may_have_run {
            return self.fail(StatusCode::BAD_GATEWAY, reason, None);
        }
        let retry_after = self.shared.settings.dispatch.origins.lookup_timeout;
        self.fail(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    async fn send(
        &mut self,
        sent_at: Timestamp,
        instance: InstanceId,
        address: &str,
    ) -> SendResult {
        let shared = self.shared.clone();
        if let Some(credit) = &mut self.credit {
            credit.begin_use(sent_at);
        }
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.update(&self.ticket);
        }
        let mut active =
            ActiveSend::new(shared.clone(), self.ticket.send_record(&instance), address);
        let facts = SendFacts {
            remaining: self.ticket.deadline.since(sent_at),
            instance: &instance,
            rank: self.ticket.rank,
            tenant: self.ticket.tenant.as_ref().map(|tenant| &tenant.name),
            last_event: self.last_event.as_deref(),
        };
        let expires_at = self.ticket.expires_at;
        let watch = PathWatch::before_response(&shared, &self.ticket);
        let target = Target {
            ticket: &self.ticket,
            address,
            expires_at,
            watch,
        };
        let received = exchange::send(&shared, &self.template, &target, &facts).await;
        let received = match received {
            Ok(received) => received,
            Err(failure) => return self.handle_failure(active, failure),
        };
        if let Some(defect) = received.defect(&shared, &self.ticket) {
            return self.handle_failure(active, SendFailure::Broken(defect));
        }
        active.record_connection(&received.sender);
        self.ticket.connection_opened_at = Some(received.sender.opened_at);
        record_statement(&shared, &self.ticket, &instance, sent_at, &received.facts);
        if let Some(load) = received.facts.load {
            shared.core().record_load(shared.now(), &instance, load);
            shared.notify_called();
        }
        if received.facts.misdirected || received.facts.not_executed {
            record_rejection(&shared, &self.ticket, active, &received);
            self.undo_credit_use();
            drop(received);
            return SendResult::Retry;
        }
        let head_latency = shared.now().since(sent_at);
        if received.head.status.is_success() {
            active.record_begin();
            let record = active.record();
            shared
                .core()
                .record_first_byte(shared.now(), record, head_latency);
        }
        let active = Active::Instance(active);
        if received.head.status.is_server_error() {
            return self.handle_server_error(active, received).await;
        }
        SendResult::Responded(Box::new(self.relay_response(
            active,
            received,
            head_latency,
        )))
    }

    /// Forwards the request to another gateway, which sends it once.
    async fn send_to_peer(&mut self, sent_at: Timestamp, peer: &GatewayPeer) -> SendResult {
        let shared = self.shared.clone();
        if let Some(credit) = &mut self.credit {
            credit.begin_use(sent_at);
        }
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.update(&self.ticket);
        }
        let active = ActiveForward::new(shared.clone(), peer.gateway.clone());
        let sent = peer::forward(&shared, &self.template, &mut self.ticket, peer, None).await;
        let PeerResponse { received, hop } = match sent {
            Ok(response) => response,
            Err(failure) => {
                peer::record_failure(&shared, &mut self.ticket, active, peer, &failure);
                return self.result_of(&failure);
            }
        };
        let outcome = hop.outcome;
        peer::log_end(&shared, &self.ticket, peer, outcome.as_str(), &hop.reason);
        if outcome == HopOutcome::Answered {
            let latency = shared.now().since(sent_at);
            let active = Active::Peer(active);
            if received.head.status.is_server_error() {
                return self.handle_server_error(active, received).await;
            }
            let response = self.relay_response(active, received, latency);
            return SendResult::Responded(Box::new(response));
        }
        let end = match outcome {
            HopOutcome::Declined => ForwardOutcome::Declined,
            _ => ForwardOutcome::Responded,
        };
        active.end_for(&mut self.ticket, end, hop.sends);
        match outcome {
            HopOutcome::Failed if received.head.status == StatusCode::GATEWAY_TIMEOUT => {
                self.result_of(&SendFailure::TimedOut)
            }
            HopOutcome::Failed => self.result_of(&SendFailure::Broken(hop.reason)),
            HopOutcome::Refused if hop.sends == 0 => {
                self.undo_credit_use();
                self.relay_refusal(received, &hop.reason).await
            }
            // Not taken, or rejected by an instance: it has not run.
            _ => {
                self.undo_credit_use();
                SendResult::Retry
            }
        }
    }

    /// Hands on a refusal of another gateway.
    async fn relay_refusal(&mut self, received: ReceivedResponse, reason: &str) -> SendResult {
        if self.may_have_run {
            return SendResult::Failed(StatusCode::BAD_GATEWAY, "no-attempts");
        }
        let body = read_error_body(received.body).await.unwrap_or_default();
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.finish();
        }
        let mut head = received.head;
        remove_hop_by_hop_headers(&mut head.headers);
        let status = head.status.as_str();
        log_request(&self.shared, &self.ticket, reason, status, None, None);
        SendResult::Responded(Box::new(Response::from_parts(head, full_body(body))))
    }

    fn is_covered(&self, now: Timestamp) -> bool {
        let credit = self.credit.as_ref();
        credit.is_none_or(|credit| credit.is_covered(now))
    }

    fn undo_credit_use(&mut self) {
        if let Some(credit) = &mut self.credit {
            credit.undo_use();
        }
    }

    /// Claims units for another send of a request that may have run.
    fn retry_after_run(&mut self) -> SendResult {
        if let Some(credit) = &mut self.credit {
            credit.repeat_if_used();
        }
        SendResult::Retry
    }

    fn handle_failure(&mut self, active: ActiveSend, failure: SendFailure) -> SendResult {
        record_failure(&self.shared, &mut self.ticket, active, &failure);
        self.result_of(&failure)
    }

    /// Returns what follows from a send without a response.
    fn result_of(&mut self, failure: &SendFailure) -> SendResult {
        match failure {
            SendFailure::Unreachable(_)
            | SendFailure::ConnectionRefused(_)
            | SendFailure::Unsent(_) => {
                self.undo_credit_use();
                SendResult::Retry
            }
            SendFailure::Uncertain(_) => {
                self.undo_credit_use();
                SendResult::Uncertain
            }
            SendFailure::Broken(_) => {
                self.may_have_run = true;
                if self.ticket.is_repeatable() {
                    return self.retry_after_run();
                }
                SendResult::Failed(StatusCode::BAD_GATEWAY, "broken")
            }
            SendFailure::TimedOut => {
                self.may_have_run = true;
                SendResult::Failed(StatusCode::GATEWAY_TIMEOUT, "timed-out")
            }
            SendFailure::Quarantined(reason) => {
                self.may_have_run = true;
                SendResult::Failed(StatusCode::BAD_GATEWAY, reason.as_str())
            }
        }
    }

    /// Handles a 5xx response: the request ran. The response is relayed unless the request can be
    /// repeated.
    async fn handle_server_error(
        &mut self,
        active: Active,
        received: ReceivedResponse,
    ) -> SendResult {
        let status = received.head.status;
        let status_text = status.as_str();
        log_send_failure(
            &self.shared,
            &self.ticket,
            active.name(),
            "server-error",
            status_text,
        );
        self.may_have_run = true;
        let body = match read_error_body(received.body).await {
            Some(_) if !self.is_whole(&received.head, &active).await => None,
            body => body,
        };
        active.end(match body {
            Some(_) => SendOutcome::Failed,
            None => SendOutcome::Broken,
        });
        let Some(body) = body else {
            if self.ticket.is_repeatable() {
                return self.retry_after_run();
            }
            return SendResult::Failed(StatusCode::BAD_GATEWAY, "broken");
        };
        let head = received.head;
        self.error_response = Some(ErrorResponse { head, body });
        if self.ticket.is_repeatable() {
            return self.retry_after_run();
        }
        SendResult::Failed(status, "server-error")
    }

    /// Returns whether a body that was read to its end has not broken off.
    async fn is_whole(&self, head: &http::response::Parts, active: &Active) -> bool {
        if Framing::of(head) == Framing::Stated {
            return true;
        }
        // A request that may be repeated is repeated instead of waiting.
        let until = match self.ticket.is_repeatable() {
            true => self.shared.now(),
            false => self.ticket.expires_at,
        };
        body_end::is_whole(&self.shared, active, until).await
    }

    fn relay_response(
        &mut self,
        active: Active,
        received: ReceivedResponse,
        head_latency: Duration,
    ) -> Response<RelayBody> {
        let hop = self.hop_response(HopOutcome::Answered, "");
        let mut response = Response::new(());
        *response.status_mut() = received.head.status;
        *response.headers_mut() = received.head.headers.clone();
        remove_hop_by_hop_headers(response.headers_mut());
        let resumable = self.ticket.route.resumable && received.head.status.is_success();
        let credit = self.credit.take().filter(|_| resumable);
        let reservation = self.reservation.take().filter(|_| resumable);
        if !resumable {
            // The body is not sent again.
            self.template.body = Bytes::new();
        }
        let relayed = Relay::new(
            self.shared.clone(),
            credit,
            self.ticket.clone(),
            self.template.clone(),
            reservation,
            active,
            received,
            head_latency,
            resumable,
            self.in_flight.take(),
            self.guard.take(),
        );
        if relayed.may_be_resumed() {
            // Another instance may complete the body with another length.
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        let response = response.map(|()| relay(relayed));
        match hop {
            Some(hop) => state_hop(&self.shared, response, &hop),
            None => response,
        }
    }

    /// Returns what to state to the gateway that forwarded the request, if one did.
    fn hop_response(&self, outcome: HopOutcome, reason: &str) -> Option<HopResponse> {
        self.ticket.forwarded.as_ref()?;
        let core = self.shared.core();
        Some(HopResponse {
            outcome,
            reason: reason.to_owned(),
            version: core.table().map_or(0, |table| table.version()),
            sends: self.ticket.sends,
            instance: self.ticket.tried.last().cloned(),
            connection_age: self
                .ticket
                .connection_opened_at
                .map(|at| self.shared.now().since(at)),
            software: self.ticket.software.version().cloned(),
        })
    }

    /// Ends a request that no instance served: responds with the buffered error response of an
    /// instance, if any, or else with this status and reason.
    fn fail(
        self,
        status: StatusCode,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Response<RelayBody> {
        let outcome = match status {
            _ if self.error_response.is_some() => HopOutcome::Answered,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => HopOutcome::Failed,
            _ if self.ticket.sends == 0 && is_declined(reason) => HopOutcome::Declined,
            _ => HopOutcome::Refused,
        };
        let shared = self.shared.clone();
        let hop = self.hop_response(outcome, reason);
        let response = self.end(status, reason, retry_after);
        match hop {
            Some(hop) => state_hop(&shared, response, &hop),
            None => response,
        }
    }

    fn end(
        mut self,
        status: StatusCode,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Response<RelayBody> {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.finish();
        }
        if let Some(failed) = self.error_response {
            let status = failed.head.status.as_str();
            log_request(
                &self.shared,
                &self.ticket,
                "server-error",
                status,
                None,
                None,
            );
            let mut response = Response::new(full_body(failed.body));
            *response.status_mut() = failed.head.status;
            *response.headers_mut() = failed.head.headers;
            remove_hop_by_hop_headers(response.headers_mut());
            return response;
        }
        let status_text = status.as_str();
        log_request(
            &self.shared,
            &self.ticket,
            reason,
            status_text,
            None,
            retry_after,
        );
        let attempt = self.ticket.description.attempt.clone();
        gateway_response(&self.shared, &attempt, status, reason, retry_after)
    }
}

/// Returns whether a refusal concerns this gateway alone, so that another one may serve the request.
fn is_declined(reason: &str) -> bool {
    let reasons = [
        RefusalReason::Unreachable,
        RefusalReason::NotStarted,
        RefusalReason::Stopping,
        RefusalReason::Unconfirmed,
    ];
    reasons.iter().any(|declined| declined.as_str() == reason)
}

/// Returns whether responses on this route are event streams.
pub(crate) fn is_stream(route: &RouteSpec) -> bool {
    route.kind == millpass_proto::RouteKind::Stream
}
