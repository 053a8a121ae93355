//! Sends a request to an instance and reads the head of its response.

use crate::hop;
use crate::interface::{Interface, ResponseFacts, SendFacts};
use crate::pool::{self, Connection, InstanceSender};
use crate::reach::{self, PathWatch};
use crate::run_proof::{self, RunQuestion};
use crate::shared::Shared;
use bytes::Bytes;
use futures_lite::future;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, Method, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use millpass_dispatch::{RefusalReason, Ticket};
use millpass_proto::{InstanceId, Timestamp};
use std::time::Duration;

/// Hop-by-hop headers, besides those listed in `Connection`.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] =
    [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];
/// Hop-by-hop headers without a constant in `http`.
const EXTRA_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// A request without the headers that each send sets.
#[derive(Clone, Debug)]
pub(crate) struct RequestTemplate {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl RequestTemplate {
    /// Builds the template from a caller's request. This is the only place where a caller's headers
    /// enter: hop-by-hop and reserved headers are removed here, so no send, retry or resume can
    /// forward them.
    pub(crate) fn new(interface: &dyn Interface, head: http::request::Parts, body: Bytes) -> Self {
        let mut headers = head.headers;
        remove_hop_by_hop_headers(&mut headers);
        interface.strip_reserved(&mut headers);
        hop::strip(&mut headers);
        let uri = match head.uri.path_and_query() {
            Some(path) => path.as_str().parse().unwrap_or(head.uri.clone()),
            None => head.uri.clone(),
        };
        RequestTemplate {
            method: head.method,
            uri,
            headers,
            body,
        }
    }

    /// Returns the request to send, without the headers that each send sets.
    pub(crate) fn request(&self) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // hyper sets the length from the buffered body.
        request.headers_mut().remove(CONTENT_LENGTH);
        request
    }
}

/// Why a send got no response.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// The request did not reach the instance.
    Unreachable(String),
    /// The instance refuses connections. The request did not reach it.
    ConnectionRefused(String),
    /// The request could not be sent for a reason of this machine; it did not reach the instance.
    Unsent(String),
    /// The connection broke or the response was invalid; the request may have run.
    Broken(String),
    /// It is not certain that the required process run is behind the connection. Nothing was sent.
    Uncertain(String),
    /// No response in time; the request may have run.
    TimedOut,
    /// The request was quarantined before its response began, and cancelled; it may have run.
    Quarantined(RefusalReason),
}

impl SendFailure {
    /// Returns true if the instance may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(
            self,
            SendFailure::Broken(_) | SendFailure::TimedOut | SendFailure::Quarantined(_)
        )
    }
}

/// The head of a response, and the connection it came on.
pub(crate) struct ReceivedResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) sender: InstanceSender,
    pub(crate) facts: ResponseFacts,
}

impl ReceivedResponse {
    /// Returns why the response of an instance cannot be its answer to the request of a ticket; none
    /// if it can.
    pub(crate) fn defect(&self, shared: &Shared, ticket: &Ticket) -> Option<String> {
        let stated = self.facts.attempt.as_deref();
        if stated.is_some_and(|stated| stated != ticket.description.attempt) {
            return Some("the response belongs to another request".to_owned());
        }
        let answers = &shared.settings.answers;
        let is_attempt_missing = answers.states_attempt
            && self.head.status.is_success()
            && !ticket.description.attempt.is_empty()
            && stated.is_none();
        let defect = match is_attempt_missing {
            true => Some("the response states no attempt".to_owned()),
            false => answers.defect(&self.head),
        };
        if defect.is_some() {
            shared.metrics.unrecognized_responses.inc();
        }
        defect
    }
}

/// Removes hop-by-hop headers.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in EXTRA_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Where and how long a request is sent.
pub(crate) struct Target<'a> {
    pub(crate) ticket: &'a Ticket,
    /// IP address and port.
    pub(crate) address: &'a str,
    /// When waiting for the response head ends.
    pub(crate) expires_at: Timestamp,
    /// Whether a lost path to the instance ends it sooner.
    pub(crate) watch: PathWatch,
}

impl Target<'_> {
    /// Returns whether the request goes on with a stream, so that the run behind the connection must be
    /// certain.
    fn needs_certain_run(&self, shared: &Shared) -> bool {
        self.ticket.required_software().is_some() && shared.core().needs_certain_run(self.ticket)
    }
}

/// Sends the request and waits for the response head.
pub(crate) async fn send(
    shared: &Shared,
    template: &RequestTemplate,
    target: &Target<'_>,
    facts: &SendFacts<'_>,
) -> Result<ReceivedResponse, SendFailure> {
    let expires_at = target.expires_at;
    let exchange = async { Some(exchange(shared, template, target, facts).await) };
    let lost = async {
        reach::path_lost(shared, facts.instance, target.watch).await;
        Some(Err(SendFailure::Broken("the path was lost".to_owned())))
    };
    let quarantined = async {
        let reason = shared.quarantined(target.ticket).await;
        Some(Err(SendFailure::Quarantined(reason)))
    };
    let timer = async {
        shared.sleep_until(expires_at).await;
        None
    };
    let stopped = future::or(future::or(lost, quarantined), timer);
    future::or(exchange, stopped)
        .await
        .unwrap_or(Err(SendFailure::TimedOut))
}

async fn exchange(
    shared: &Shared,
    template: &RequestTemplate,
    target: &Target<'_>,
    facts: &SendFacts<'_>,
) -> Result<ReceivedResponse, SendFailure> {
    let mut request = template.request();
    shared
        .interface
        .set_send_headers(request.headers_mut(), facts);

    let open = || open(shared, facts.instance, target);
    let pooled = match target.needs_certain_run(shared) {
        true => take_certain(shared, facts.instance),
        false => shared.pool.take(facts.instance),
    };
    let (response, sender) = round_trip(pooled, open, request).await?;
    let (head, body) = response.into_parts();
    let facts = shared.interface.read_response(head.status, &head.headers);
    Ok(ReceivedResponse {
        head,
        body,
        sender,
        facts,
    })
}

/// Sends a request on a pooled connection, or on a new one if there is none or it was closed before
/// anything was sent.
pub(crate) async fn round_trip<Opening>(
    mut pooled: Option<Connection>,
    open: impl Fn() -> Opening,
    mut request: hyper::Request<Full<Bytes>>,
) -> Result<(http::Response<Incoming>, InstanceSender), SendFailure>
where
    Opening: Future<Output = Result<Connection, SendFailure>>,
{
    loop {
        let mut used = match pooled.take() {
            Some(pooled) => pooled,
            None => open().await?,
        };
        let meter = used.sender.meter.clone();
        meter.begin_head();
        let interim = meter.clone();
        hyper::ext::on_informational(&mut request, move |_| interim.interim_head_received());
        let received = async { Some(used.sender.requests.try_send_request(request).await) };
        let overdue = async {
            meter.head_overdue().await;
            None
        };
        let Some(received) = future::or(received, overdue).await else {
            let reason = "the head of the response does not end".to_owned();
            return Err(SendFailure::Broken(reason));
        };
        match received {
            Ok(response) => {
                meter.begin_body();
                return Ok((response, used.sender));
            }
            Err(mut error) => {
                let unsent_request = error.take_message();
                let reason = error.into_error().to_string();
                match unsent_request {
                    Some(message) if used.reused => request = message,
                    Some(_) => return Err(SendFailure::Unreachable(reason)),
                    None if used.reused => {
                        return Err(SendFailure::Broken(format!("reused connection: {reason}")));
                    }
                    None => return Err(SendFailure::Broken(reason)),
                }
            }
        }
    }
}

/// Takes an idle connection that is certain to lead to the process run.
fn take_certain(shared: &Shared, instance: &InstanceId) -> Option<Connection> {
    let core = shared.core();
    let is_certain = |opened| core.is_same_run(instance, opened, opened);
    shared.pool.take_if(instance, is_certain)
}

/// Waits until a new connection is certain to lead to the process run.
async fn make_certain(
    shared: &Shared,
    instance: &InstanceId,
    target: &Target<'_>,
    connection: Connection,
) -> Result<Connection, SendFailure> {
    let opened_at = connection.sender.opened_at;
    let question = RunQuestion {
        run: instance,
        opened_at,
        alive_at: opened_at,
    };
    let limit = shared.now() + shared.settings.dispatch.origins.proof_timeout;
    if run_proof::is_certain(shared, question, limit.min(target.expires_at)).await {
        return Ok(connection);
    }
    let reason = "the process run behind the connection is not known".to_owned();
    Err(SendFailure::Uncertain(reason))
}

async fn open(
    shared: &Shared,
    instance: &InstanceId,
    target: &Target<'_>,
) -> Result<Connection, SendFailure> {
    shared.metrics.connects.inc();
    let timeout: Duration = shared.settings.connect_timeout;
    let connector = &shared.settings.connector;
    match pool::connect(
        shared.executor,
        connector,
        target.address,
        timeout,
        shared.clock,
    )
    .await
    {
        Ok(connection) => {
            reach::record_connected(shared, instance);
            // The request may have been quarantined while the connection was established.
            if shared.is_quarantined(target.ticket) {
                shared.pool.put(instance, connection.sender, None);
                return Err(SendFailure::Unsent("quarantined".to_owned()));
            }
            if target.needs_certain_run(shared) {
                return make_certain(shared, instance, target, connection).await;
            }
            Ok(connection)
        }
        Err(error) if error.is_refused() => Err(SendFailure::ConnectionRefused(error.to_string())),
        Err(error) if error.is_of_path() => Err(SendFailure::Unreachable(error.to_string())),
        Err(error) => Err(SendFailure::Unsent(error.to_string())),
    }
}
