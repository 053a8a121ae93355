//! Serves requests that other gateways forward because they reach no instance.

use crate::forward;
use crate::hop::{HopOutcome, HopRequest, HopResponse};
use crate::relay::RelayBody;
use crate::responses::{gateway_response, request_host};
use crate::shared::Shared;
use async_io::Timer;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use millpass_dispatch::RouteError;
use millpass_proto::{Duration, RouteSpec, TenantAccess};
use millpass_telemetry::event_line;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Time for which a request waits for a document that the forwarding gateway has.
const VERSION_WAIT: Duration = Duration::from_millis(150);
/// Delay before a request without the key is answered: bounds the rate of guesses.
const REJECTION_DELAY: Duration = Duration::from_millis(100);

/// Counts a request of another gateway as in progress until dropped.
pub(crate) struct ForwardedGuard(Arc<Shared>);

impl ForwardedGuard {
    /// Counts a request; none if too many are in progress.
    fn new(shared: &Arc<Shared>) -> Option<Self> {
        let maximum = shared.settings.maximum_forwarded;
        let before = shared.forwarded.fetch_add(1, Ordering::AcqRel);
        let guard = ForwardedGuard(shared.clone());
        (before < maximum).then_some(guard)
    }
}

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        self.0.forwarded.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handles one request of another gateway.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<RelayBody> {
    let hop = HopRequest::read(request.headers());
    let is_authorized = hop
        .as_ref()
        .is_some_and(|hop| is_equal(&hop.key, &shared.endpoint.key));
    let mut response = match hop.filter(|_| is_authorized) {
        Some(hop) => serve(&shared, hop, request).await,
        None => return reject(&shared).await,
    };
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Rejects a request that does not state the key, without reading it.
async fn reject(shared: &Shared) -> Response<RelayBody> {
    shared
        .metrics
        .served_forwards
        .with_label_values(&["unauthorized"])
        .inc();
    log::warn!("event=forward_unauthorized remedy=\"send requests to the callers' address\"");
    Timer::after(REJECTION_DELAY).await;
    let reason = "this address serves other gateways only; send requests to the callers' address";
    let mut response = gateway_response(shared, "", StatusCode::FORBIDDEN, reason, None);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

async fn serve(
    shared: &Arc<Shared>,
    hop: HopRequest,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let attempt = shared.interface.describe(request.headers()).attempt;
    let guard = ForwardedGuard::new(shared);
    let declined = match &guard {
        _ if shared.is_draining() => Some("stopping"),
        None => Some("busy"),
        Some(_) => None,
    };
    if let Some(reason) = declined {
        return decline(shared, &attempt, reason);
    }
    if !has_version(shared, hop.version).await {
        return decline(shared, &attempt, "older-document");
    }
    let host = request_host(request.headers(), request.uri());
    let route = shared
        .core()
        .route(shared.now(), &host, request.uri().path());
    let route = match route {
        Ok(route) => route,
        Err(RouteError::NoRoute) => return refuse_unrouted(shared, &attempt),
        Err(_) => return decline(shared, &attempt, "unconfirmed"),
    };
    match find_tenant(shared, &route, &hop) {
        Some(tenant) => forward::serve_forwarded(shared, request, route, tenant, hop, guard).await,
        None => decline(shared, &attempt, "tenant-unknown"),
    }
}

/// Waits briefly for a document that is at least as new as that of the forwarding gateway.
async fn has_version(shared: &Shared, version: u64) -> bool {
    let until = shared.now() + VERSION_WAIT;
    loop {
        let changed = shared.changed.listen();
        let held = shared.core().table().map_or(0, |table| table.version());
        if held >= version || shared.now() >= until {
            return held >= version;
        }
        shared.wait_for_change(changed, until).await;
    }
}

/// Returns the tenant that the forwarding gateway states; none if it is unknown here.
fn find_tenant(
    shared: &Shared,
    route: &RouteSpec,
    hop: &HopRequest,
) -> Option<Option<Arc<TenantAccess>>> {
    let core = shared.core();
    let table = core.table()?;
    match &hop.tenant {
        Some(name) => table.tenant(name).map(Some),
        None => (route.anonymous || !table.has_tenants()).then_some(None),
    }
}

pub(crate) fn decline(shared: &Shared, attempt: &str, reason: &'static str) -> Response<RelayBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let response = gateway_response(shared, attempt, status, reason, None);
    state(shared, response, HopOutcome::Declined, reason)
}

fn refuse_unrouted(shared: &Shared, attempt: &str) -> Response<RelayBody> {
    let reason = RouteError::NoRoute.to_string();
    let status = StatusCode::NOT_FOUND;
    let response = gateway_response(shared, attempt, status, &reason, None);
    state(shared, response, HopOutcome::Refused, "unrouted")
}

/// States the outcome of a request that was sent to no instance.
fn state(
    shared: &Shared,
    response: Response<RelayBody>,
    outcome: HopOutcome,
    reason: &str,
) -> Response<RelayBody> {
    let hop = HopResponse {
        connection_age: None,
        outcome,
        reason: reason.to_owned(),
        version: shared.core().table().map_or(0, |table| table.version()),
        sends: 0,
        instance: None,
        software: None,
    };
    state_hop(shared, response, &hop)
}

/// Adds a statement for the forwarding gateway to a response, and counts it.
pub(crate) fn state_hop(
    shared: &Shared,
    mut response: Response<RelayBody>,
    hop: &HopResponse,
) -> Response<RelayBody> {
    let label = match hop.outcome {
        HopOutcome::Answered => hop.outcome.as_str(),
        _ => hop.reason.as_str(),
    };
    let counters = &shared.metrics.served_forwards;
    counters.with_label_values(&[label]).inc();
    if let Err(error) = hop.write(response.headers_mut()) {
        let line = event_line("forward_unstated", &[("error", error.to_string())]);
        log::error!("{line} remedy=\"use instance names without control characters\"");
    }
    response
}

/// Compares secrets in a time that does not depend on where they differ.
fn is_equal(left: &str, right: &str) -> bool {
    let pairs = left.bytes().zip(right.bytes());
    let difference = pairs.fold(0, |sum, (left, right)| sum | (left ^ right));
    left.len() == right.len() && difference == 0
}
