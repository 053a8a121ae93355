//! Forwards a request to another gateway, which reaches an instance that can serve it.

use crate::exchange::{self, ReceivedResponse, RequestTemplate, SendFailure};
use crate::hop::{HopOutcome, HopRequest, HopResponse};
use crate::metrics::millis;
use crate::pool::{self, Connection};
use crate::settings::Connector;
use crate::shared::{ActiveForward, Shared};
use futures_lite::future;
use millpass_dispatch::{ForwardOutcome, ForwardTerms, Ticket};
use millpass_proto::{Duration, GatewayPeer};
use millpass_telemetry::event_line;

/// Time within which another gateway must send a request that uses units of its tenant's quota,
/// which count from when they are used here.
const QUOTA_START: Duration = Duration::from_millis(500);

/// A response that another gateway sent, and what it states of it.
pub(crate) struct PeerResponse {
    pub(crate) received: ReceivedResponse,
    pub(crate) hop: HopResponse,
}

/// Forwards the request and waits for the head of the response. Records what the other gateway
/// states of the request in its ticket.
pub(crate) async fn forward(
    shared: &Shared,
    template: &RequestTemplate,
    ticket: &mut Ticket,
    peer: &GatewayPeer,
    last_event: Option<&str>,
) -> Result<PeerResponse, SendFailure> {
    let hop = hop_request(shared, ticket, peer, last_event);
    let exchange = async { Some(exchange(shared, template, peer, &hop).await) };
    let timer = async {
        shared.sleep_until(ticket.expires_at).await;
        None
    };
    let sent = future::or(exchange, timer).await;
    let response = sent.unwrap_or(Err(SendFailure::TimedOut))?;
    ticket.is_arrival_recorded |= response.hop.outcome != HopOutcome::Declined;
    if let Some(instance) = &response.hop.instance {
        ticket.tried.push(instance.clone());
    }
    ticket.software = response.hop.software.clone().into();
    let age = response.hop.connection_age;
    ticket.connection_opened_at = age.map(|age| shared.now().earlier(age));
    let mut core = shared.core();
    core.record_shown_version(response.hop.version);
    Ok(response)
}

fn hop_request(
    shared: &Shared,
    ticket: &Ticket,
    peer: &GatewayPeer,
    last_event: Option<&str>,
) -> HopRequest {
    let core = shared.core();
    // It never arrived at those out of reach, and the other gateway may reach them.
    let tried = ticket.tried.iter();
    let tried = tried.filter(|instance| !core.is_path_lost(instance));
    HopRequest {
        key: peer.key.clone(),
        version: core.required_peer_version(),
        tenant: ticket.tenant.as_ref().map(|tenant| tenant.name.clone()),
        terms: ForwardTerms {
            from: shared.settings.dispatch.name.clone(),
            elapsed: shared.now().since(ticket.arrived),
            service: ticket.service.clone(),
            tried: tried.cloned().collect(),
            is_arrival: !ticket.is_arrival_recorded,
            start_within: ticket.credit.map(|_| QUOTA_START),
        },
        last_event: last_event.map(str::to_owned),
        software: ticket.required_software().cloned(),
    }
}

async fn exchange(
    shared: &Shared,
    template: &RequestTemplate,
    peer: &GatewayPeer,
    hop: &HopRequest,
) -> Result<PeerResponse, SendFailure> {
    let mut request = template.request();
    if let Err(error) = hop.write(request.headers_mut()) {
        return Err(SendFailure::Unsent(error.to_string()));
    }
    let open = || open(shared, &peer.address);
    let pooled = shared.peer_pool.take(&peer.gateway);
    let (response, sender) = exchange::round_trip(pooled, open, request).await?;
    let (mut head, body) = response.into_parts();
    let Some(hop) = HopResponse::take(&mut head.headers) else {
        let reason = "the response is not of a gateway".to_owned();
        return Err(SendFailure::Broken(reason));
    };
    let facts = shared.interface.read_response(head.status, &head.headers);
    let received = ReceivedResponse {
        head,
        body,
        sender,
        facts,
    };
    Ok(PeerResponse { received, hop })
}

async fn open(shared: &Shared, address: &str) -> Result<Connection, SendFailure> {
    let timeout = shared.settings.connect_timeout;
    let connector = Connector::default();
    let connected =
        pool::connect(shared.executor, &connector, address, timeout, shared.clock).await;
    connected.map_err(|error| SendFailure::Unreachable(error.to_string()))
}

/// Records a forwarded request without a response that can be used, and logs it.
pub(crate) fn record_failure(
    shared: &Shared,
    ticket: &mut Ticket,
    active: ActiveForward,
    peer: &GatewayPeer,
    failure: &SendFailure,
) {
    let (outcome, detail, end) = match failure {
        SendFailure::Unreachable(reason)
        | SendFailure::ConnectionRefused(reason)
        | SendFailure::Uncertain(reason)
        | SendFailure::Unsent(reason) => ("unreachable", reason.as_str(), ForwardOutcome::Failed),
        SendFailure::Broken(reason) => ("broken", reason.as_str(), ForwardOutcome::Failed),
        SendFailure::TimedOut => ("timed-out", "", ForwardOutcome::Abandoned),
        SendFailure::Quarantined(reason) => {
            ("cancelled", reason.as_str(), ForwardOutcome::Abandoned)
        }
    };
    log_end(shared, ticket, peer, outcome, detail);
    let sends = u32::from(failure.may_have_run());
    active.end_for(ticket, end, sends);
}

/// Logs and counts the end of a forwarded request.
pub(crate) fn log_end(
    shared: &Shared,
    ticket: &Ticket,
    peer: &GatewayPeer,
    outcome: &str,
    detail: &str,
) {
    shared.metrics.forwards.with_label_values(&[outcome]).inc();
    let age = shared.now().since(ticket.arrived);
    let pairs = [
        ("request", ticket.description.attempt.clone()),
        ("route", ticket.route.name.clone()),
        ("gateway", peer.gateway.clone()),
        ("outcome", outcome.to_owned()),
        ("detail", detail.to_owned()),
        ("age_ms", millis(age)),
    ];
    log::info!("{}", event_line("forward_ended", &pairs));
}
