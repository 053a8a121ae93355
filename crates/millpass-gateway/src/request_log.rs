//! Log lines about requests and their sends.

use crate::forward::is_stream;
use crate::metrics::millis;
use crate::shared::Shared;
use millpass_dispatch::{QueueFacts, Ticket};
use millpass_proto::{Duration, Timestamp};
use millpass_telemetry::event_line;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Event of a caller's request that ended.
const CALLER_REQUEST: &str = "request_ended";
/// Event of a request of another gateway that ended; the other one logs the caller's request.
const FORWARDED_REQUEST: &str = "forwarded_request_ended";

/// Most parts of a prompt that are logged.
const MAXIMUM_LOGGED_PARTS: usize = 32;

/// Keys and values of a log line.
type Pairs = Vec<(&'static str, String)>;

/// What is logged if the caller leaves before the request has ended.
struct OpenRequest {
    attempt: String,
    arrived: Timestamp,
    /// Gateway that forwarded it, if one did.
    from: Option<String>,
    credit: Pairs,
}

/// Counts a request as in flight until dropped. Logs the request if it is dropped before its end,
/// which happens when the caller disconnects.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    /// A request that was routed and has not ended.
    open: Option<OpenRequest>,
}

impl InFlight {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { shared, open: None }
    }

    pub(crate) fn track(&mut self, ticket: &Ticket) {
        self.open = Some(OpenRequest {
            attempt: ticket.description.attempt.clone(),
            arrived: ticket.arrived,
            from: forwarded_from(ticket),
            credit: credit_pairs(ticket),
        });
    }

    /// Updates what is logged if the caller leaves before the request has ended.
    pub(crate) fn update(&mut self, ticket: &Ticket) {
        if let Some(open) = &mut self.open {
            open.credit = credit_pairs(ticket);
        }
    }

    /// Marks the request as ended; false if it already was.
    pub(crate) fn finish(&mut self) -> bool {
        self.open.take().is_some()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        let Some(open) = self.open.take() else {
            return;
        };
        let event = match &open.from {
            Some(_) => FORWARDED_REQUEST,
            None => {
                self.shared.metrics.count_request(None, "caller-left");
                CALLER_REQUEST
            }
        };
        let mut pairs = vec![
            ("request", open.attempt),
            ("outcome", "caller-left".to_owned()),
            ("age_ms", millis(self.shared.now().since(open.arrived))),
        ];
        pairs.extend(open.from.map(|from| ("from", from)));
        pairs.extend(open.credit);
        log::info!("{}", event_line(event, &pairs));
    }
}

/// Logs and counts an ended request.
pub(crate) fn log_request(
    shared: &Shared,
    ticket: &Ticket,
    outcome: &str,
    status: &str,
    head: Option<Duration>,
    retry_after: Option<Duration>,
) {
    let tenant = ticket.tenant.as_ref().map(|tenant| &tenant.name);
    let from = forwarded_from(ticket);
    let event = match &from {
        Some(_) => FORWARDED_REQUEST,
        None => {
            shared.metrics.count_request(tenant, outcome);
            CALLER_REQUEST
        }
    };
    let last = ticket.tried.last();
    let description = &ticket.description;
    let model = description.model.as_ref();
    let adapter = description.adapter.as_ref();
    let now = shared.now();
    let version = shared.core().table().map_or(0, |table| table.version());
    let queue = |text: fn(QueueFacts) -> String| ticket.queue.map_or_else(String::new, text);
    let waited = ticket.sent_at.map(|sent| sent.since(ticket.arrived));
    let mut pairs = vec![
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
        ("queue_ahead", queue(|facts| facts.ahead.to_string())),
        ("queue_length", queue(|facts| facts.length.to_string())),
        ("queue_expected_ms", queue(|facts| millis(facts.expected))),
        (
            "retry_after_ms",
            retry_after.map_or_else(String::new, millis),
        ),
    ];
    pairs.extend(from.map(|from| ("from", from)));
    if !ticket.forwarded_to.is_empty() {
        pairs.push(("forwarded_to", ticket.forwarded_to.join(",")));
    }
    if outcome != "answered" {
        pairs.extend(prompt_pair(ticket));
    }
    pairs.extend(stream_pairs(ticket));
    pairs.extend(credit_pairs(ticket));
    log::info!("{}", event_line(event, &pairs));
}

/// Returns the parts of a prompt, in order; none without a prompt.
fn prompt_pair(ticket: &Ticket) -> Option<(&'static str, String)> {
    let parts = ticket.description.prompt.iter().take(MAXIMUM_LOGGED_PARTS);
    let parts: Vec<String> = parts.map(|part| format!("{:x}", part.identity)).collect();
    (!parts.is_empty()).then(|| ("prompt", parts.join(",")))
}

/// Returns the software that served a stream, and the stream that it continues; empty for other
/// requests.
fn stream_pairs(ticket: &Ticket) -> Pairs {
    if !is_stream(&ticket.route) {
        return Vec::new();
    }
    let mut pairs = vec![("software", ticket.software.as_str().to_owned())];
    if let Some(continuation) = &ticket.description.continuation {
        let attempt = continuation.attempt.as_deref().unwrap_or("unstated");
        pairs.push(("continues", attempt.to_owned()));
        pairs.push(("after", continuation.last_event.clone()));
    }
    pairs
}

/// Returns the gateway that forwarded a request, if one did.
fn forwarded_from(ticket: &Ticket) -> Option<String> {
    let forwarded = ticket.forwarded.as_ref()?;
    Some(forwarded.from.clone())
}

/// Returns the origin of a request's quota units and the times of its sends, as ages since its
/// arrival; empty if its tenant has no limit or no units were granted.
fn credit_pairs(ticket: &Ticket) -> Pairs {
    let (Some(credit), Some(tenant)) = (ticket.credit, &ticket.tenant) else {
        return Vec::new();
    };
    let since_arrival = |at: &Timestamp| millis(at.since(ticket.arrived));
    let sends: Vec<String> = ticket.send_times.iter().map(since_arrival).collect();
    vec![
        ("quota_tenant", tenant.name.0.clone()),
        ("units", credit.units.to_string()),
        ("units_source", credit.source.as_str().to_owned()),
        ("units_term", credit.term.to_string()),
        ("units_ms", since_arrival(&credit.covered_at)),
        ("sends_ms", sends.join(",")),
    ]
}

/// Logs and counts a response body that ended with its connection, inside an event or not; none if
/// it has no events.
pub(crate) fn log_connection_end(shared: &Shared, ticket: &Ticket, inside_event: Option<bool>) {
    let position = match inside_event {
        Some(true) => "inside-event",
        Some(false) => "after-event",
        None => "no-events",
    };
    let ends = &shared.metrics.connection_ends;
    ends.with_label_values(&[position]).inc();
    let instance = ticket.tried.last();
    let pairs = [
        ("request", ticket.description.attempt.clone()),
        ("route", ticket.route.name.clone()),
        (
            "instance",
            instance.map_or_else(String::new, |instance| instance.0.clone()),
        ),
        ("position", position.to_owned()),
    ];
    log::info!("{}", event_line("body_ended_with_connection", &pairs));
}

/// Logs a send without a response that is relayed.
pub(crate) fn log_send_failure(
    shared: &Shared,
    ticket: &Ticket,
    instance: &str,
    outcome: &str,
    detail: &str,
) {
    let now = shared.now();
    let mut pairs = vec![
        ("request", ticket.description.attempt.clone()),
        ("fingerprint", ticket.description.fingerprint.to_string()),
        ("route", ticket.route.name.clone()),
        ("instance", instance.to_owned()),
        ("outcome", outcome.to_owned()),
        ("detail", detail.to_owned()),
        ("age_ms", millis(now.since(ticket.arrived))),
    ];
    pairs.extend(prompt_pair(ticket));
    log::info!("{}", event_line("send_ended", &pairs));
}
