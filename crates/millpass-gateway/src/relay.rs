//! Relays a response body as it arrives, and resumes a broken resumable stream at another instance.
//! Dropping the body cancels the request at the instance.

use crate::body_end;
use crate::body_memory::BodyReservation;
use crate::credit::CreditHold;
use crate::events::{BodyEvents, EventBuffer};
use crate::exchange::{self, ReceivedResponse, RequestTemplate, SendFailure, Target};
use crate::forward::is_stream;
use crate::framing::{Framing, is_event_stream};
use crate::hop::HopOutcome;
use crate::interface::SendFacts;
use crate::peer::{self, PeerResponse};
use crate::peer_service::ForwardedGuard;
use crate::pool::InstanceSender;
use crate::reach::{self, PathWatch};
use crate::request_log::{InFlight, log_connection_end, log_request};
use crate::send_outcomes::{record_failure, record_rejection};
use crate::shared::{Active, ActiveForward, ActiveSend, Shared, Turn};
use crate::statements::record_statement;
use bytes::Bytes;
use futures_lite::{future, stream};
use http::StatusCode;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use millpass_dispatch::{Choice, ForwardOutcome, RefusalReason, SendOutcome, Ticket};
use millpass_event_stream::EventScanner;
use millpass_proto::{Duration, GatewayPeer, Timestamp};
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Body of a response to a caller.
pub(crate) type RelayBody = UnsyncBoxBody<Bytes, io::Error>;

/// Creates a body from buffered bytes.
pub(crate) fn full_body(bytes: Bytes) -> RelayBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// A response being relayed.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    /// Units used from the tenant's quota, if the stream may be resumed.
    credit: Option<CreditHold>,
    ticket: Ticket,
    template: RequestTemplate,
    /// Memory of the template's body, if the stream may be resumed.
    _reservation: Option<BodyReservation>,
    active: Option<Active>,
    /// Dropped before the response is resumed at another instance, so that this one stops its work.
    body: Option<Incoming>,
    sender: Option<InstanceSender>,
    keep_alive: Option<Duration>,
    head_latency: Duration,
    status: StatusCode,
    framing: Framing,
    events: BodyEvents,
    /// Whether the caller has had an event.
    has_event: bool,
    /// Whether the response has lasted long enough to show that its prompt crashes nothing.
    has_lasted: bool,
    ended: bool,
    /// Whether it could not be made certain which process run is behind a connection.
    is_uncertain: bool,
    in_flight: Option<InFlight>,
    /// Present if another gateway forwarded the request.
    _guard: Option<ForwardedGuard>,
}

enum BodyRead {
    Bytes(Bytes),
    End,
    Broken(String),
    TimedOut,
}

impl Relay {
    #[expect(clippy::too_many_arguments, reason = "built in one place")]
    pub(crate) fn new(
        shared: Arc<Shared>,
        credit: Option<CreditHold>,
        ticket: Ticket,
        template: RequestTemplate,
        reservation: Option<BodyReservation>,
        active: Active,
        received: ReceivedResponse,
        head_latency: Duration,
        resumable: bool,
        in_flight: Option<InFlight>,
        guard: Option<ForwardedGuard>,
    ) -> Self {
        let events = match is_event_stream(&ticket.route, &received.head) {
            false => BodyEvents::None,
            true if resumable && is_stream(&ticket.route) => {
                BodyEvents::Buffered(EventBuffer::default())
            }
            true => BodyEvents::Followed(EventScanner::default()),
        };
        let mut relay = Relay {
            shared,
            credit,
            ticket,
            template,
            _reservation: reservation,
            active: Some(active),
            body: Some(received.body),
            sender: Some(received.sender),
            keep_alive: received.facts.keep_alive,
            head_latency,
            status: received.head.status,
            framing: Framing::of(&received.head),
            events,
            has_event: false,
            has_lasted: false,
            ended: false,
            is_uncertain: false,
            in_flight,
            _guard: guard,
        };
        if !relay.events.is_buffered() && relay.is_end_stream() {
            // hyper does not poll an empty body.
            relay.finish();
        }
        relay
    }

    /// Returns whether another instance may complete the body.
    pub(crate) fn may_be_resumed(&self) -> bool {
        self.events.is_buffered()
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Relay)> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                BodyRead::Bytes(bytes) => {
                    self.record_progress();
                    // hyper drops a body with a content length after its last byte, without polling
                    // for the end.
                    if !self.events.is_buffered() && self.is_end_stream() {
                        self.finish();
                    }
                    let forwarded = self.events.push(bytes);
                    if !forwarded.is_empty() {
                        self.record_events();
                        return Some((Ok(Frame::data(forwarded)), self));
                    }
                    if self.events.is_excessive() {
                        let reason = "an event of the stream does not end";
                        if self.resume(reason).await {
                            continue;
                        }
                        return Some(self.abort("broken", reason).await);
                    }
                }
                BodyRead::End => {
                    let remainder = self.events.take_remainder();
                    self.finish();
                    if remainder.is_empty() {
                        return None;
                    }
                    self.ended = true;
                    return Some((Ok(Frame::data(remainder)), self));
                }
                BodyRead::Broken(reason) => {
                    if self.events.is_buffered() && self.resume(&reason).await {
                        continue;
                    }
                    return Some(self.abort("broken", &reason).await);
                }
                BodyRead::TimedOut => return Some(self.abort("timed-out", "").await),
            }
        }
    }

    async fn read(&mut self) -> BodyRead {
        if let Some(sender) = &self.sender {
            sender.meter.begin_body();
        }
        let Some(body) = &mut self.body else {
            return BodyRead::Broken("the response was given up".to_owned());
        };
        let read = async {
            loop {
                match body.frame().await {
                    None => return BodyRead::End,
                    Some(Err(error)) => return BodyRead::Broken(error.to_string()),
                    Some(Ok(frame)) => {
                        if let Ok(bytes) = frame.into_data() {
                            return BodyRead::Bytes(bytes);
                        }
                    }
                }
            }
        };
        let timer = async {
            self.shared.sleep_until(self.ticket.expires_at).await;
            BodyRead::TimedOut
        };
        let watch = PathWatch::within_response(&self.shared, self.events.is_buffered());
        let instance = self.active.as_ref().and_then(Active::instance);
        let lost = async {
            match instance {
                Some(instance) => reach::path_lost(&self.shared, instance, watch).await,
                None => future::pending().await,
            }
            BodyRead::Broken("the path was lost".to_owned())
        };
        match future::or(read, future::or(lost, timer)).await {
            BodyRead::End if self.framing == Framing::Connection => self.end_of_connection().await,
            read => read,
        }
    }

    /// Returns what the end of a connection means for the body that nothing else ends.
    async fn end_of_connection(&self) -> BodyRead {
        let inside_event = self.events.is_inside_event();
        log_connection_end(&self.shared, &self.ticket, inside_event);
        if inside_event == Some(true) {
            return BodyRead::Broken("the connection ended inside an event".to_owned());
        }
        // A stream that may be resumed goes on elsewhere instead of waiting.
        let until = match self.events.is_buffered() {
            true => self.shared.now(),
            false => self.ticket.expires_at,
        };
        let is_whole = match &self.active {
            Some(active) => body_end::is_whole(&self.shared, active, until).await,
            None => false,
        };
        if is_whole {
            return BodyRead::End;
        }
        BodyRead::Broken("the connection ended, and perhaps its instance".to_owned())
    }

    /// Completes the response: the connection can be reused.
    fn finish(&mut self) {
        let Some(active) = self.active.take() else {
            return;
        };
        if let Some(sender) = self.sender.take() {
            active.put_connection(sender, self.keep_alive);
        }
        active.end(SendOutcome::Responded(self.head_latency));
        if !self.record_end() {
            return;
        }
        let status = self.status.as_str();
        log_request(
            &self.shared,
            &self.ticket,
            "answered",
            status,
            Some(self.head_latency),
            None,
        );
    }

    /// Records that the instance goes on responding, while that is of interest.
    fn record_progress(&mut self) {
        if self.has_lasted || !self.shared.watches_parts.load(Ordering::Relaxed) {
            return;
        }
        let Some(Active::Instance(send)) = &self.active else {
            return;
        };
        let now = self.shared.now();
        self.has_lasted = self.shared.core().record_progress(now, send.record());
        if self.has_lasted {
            self.shared.report.notify(1);
        }
    }

    /// Records where a resumable stream began, with its first event.
    fn record_events(&mut self) {
        if self.has_event || !self.events.is_buffered() {
            return;
        }
        self.has_event = true;
        let now = self.shared.now();
        let origins = {
            let mut core = self.shared.core();
            core.record_events(now, &mut self.ticket);
            core.stream_origins()
        };
        self.shared.metrics.stream_origins.set(origins as i64);
        // The leader is to know before this gateway can be lost.
        self.shared.report.notify(1);
    }

    /// Marks the request as ended; false if it already was.
    fn record_end(&mut self) -> bool {
        self.in_flight.as_mut().is_some_and(InFlight::finish)
    }

    /// Aborts the response, so that the caller detects the truncation. Yields first, as hyper
    /// discards unflushed bytes when a body fails.
    async fn abort(
        mut self,
        outcome: &'static str,
        reason: &str,
    ) -> (io::Result<Frame<Bytes>>, Relay) {
        self.sender = None;
        if let Some(active) = self.active.take() {
            let end = if outcome == "broken" {
                SendOutcome::Broken
            } else {
                SendOutcome::Abandoned
            };
            active.end(end);
        }
        self.record_end();
        log_request(
            &self.shared,
            &self.ticket,
            outcome,
            reason,
            Some(self.head_latency),
            None,
        );
        future::yield_now().await;
        self.ended = true;
        let error = io::Error::other(format!("response aborted: {outcome}"));
        (Err(error), self)
    }

    /// Resumes the stream at another instance after the last complete event; false if none can take
    /// it.
    async fn resume(&mut self, reason: &str) -> bool {
        self.sender = None;
        self.body = None;
        if let Some(active) = self.active.take() {
            let instance = active.name();
            log::info!(
                "event=stream_broken request={} fingerprint={} instance={instance} software={} reason={reason:?}",
                self.ticket.description.attempt,
                self.ticket.description.fingerprint,
                self.ticket.software.as_str()
            );
            active.end(SendOutcome::Broken);
        }
        self.events.discard_partial();
        if !self.is_origin_certain().await {
            self.log_not_resumed(RefusalReason::StreamVersionUnknown);
            return false;
        }
        let mut turn = Turn::new(self.shared.clone());
        loop {
            if !self.wait_until_covered().await {
                return false;
            }
            let changed = self.shared.changed.listen();
            let now = self.shared.now();
            if !self.is_covered(now) {
                continue;
            }
            if self.is_uncertain {
                self.log_not_resumed(RefusalReason::StreamUnconfirmed);
                return false;
            }
            let choice = self.shared.choose(now, &mut self.ticket, &mut turn);
            match choice {
                Choice::Send { instance, address } => {
                    if self.resume_at(now, instance, &address).await {
                        return true;
                    }
                }
                Choice::Forward { peer } => {
                    if self.resume_at_peer(now, &peer).await {
                        return true;
                    }
                }
                Choice::Wait { until } => {
                    if now >= self.ticket.expires_at {
                        return false;
                    }
                    let waiting = self.shared.wait_to_decide(&mut turn, changed, until);
                    waiting.await;
                }
                Choice::Refuse { reason, .. } => {
                    self.log_not_resumed(reason);
                    return false;
                }
            }
        }
    }

    /// Waits until it is certain which process run began the stream; false if it is not in time.
    async fn is_origin_certain(&self) -> bool {
        let limit = self.shared.now() + self.shared.settings.dispatch.origins.proof_timeout;
        let until = limit.min(self.ticket.expires_at);
        loop {
            let changed = self.shared.changed.listen();
            let now = self.shared.now();
            let certain = self.shared.core().certain_origin(now, &self.ticket);
            if let Some(certain) = certain {
                return certain;
            }
            if now >= until {
                return false;
            }
            self.shared.report.notify(1);
            self.shared.wait_for_change(changed, until).await;
        }
    }

    fn log_not_resumed(&self, reason: RefusalReason) {
        let required = self.ticket.required_software();
        log::info!(
            "event=stream_not_resumed request={} software={} reason={}",
            self.ticket.description.attempt,
            required.map_or("any", |software| software.as_str()),
            reason.as_str()
        );
    }

    /// Claims units for another send and waits for them; returns false if there are none.
    async fn wait_until_covered(&mut self) -> bool {
        let Some(credit) = &mut self.credit else {
            return true;
        };
        credit.repeat_if_used();
        if credit.wait_until_covered(&self.ticket).await.is_err() {
            return false;
        }
        self.ticket.credit = credit.credit_use();
        true
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

    /// Tries to resume the stream at this instance; returns whether it did.
    async fn resume_at(
        &mut self,
        sent_at: Timestamp,
        instance: millpass_proto::InstanceId,
        address: &str,
    ) -> bool {
        let shared = self.shared.clone();
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.update(&self.ticket);
        }
        let mut active =
            ActiveSend::new(shared.clone(), self.ticket.send_record(&instance), address);
        let last = self.events.last_identity();
        if let Some(credit) = &mut self.credit {
            credit.begin_use(sent_at);
        }
        let facts = SendFacts {
            remaining: self.ticket.deadline.since(sent_at),
            instance: &instance,
            rank: self.ticket.rank,
            tenant: self.ticket.tenant.as_ref().map(|tenant| &tenant.name),
            last_event: last.as_deref(),
        };
        let expires_at = self.ticket.expires_at;
        let watch = PathWatch::before_response(&shared, &self.ticket);
        let target = Target {
            ticket: &self.ticket,
            address,
            expires_at,
            watch,
        };
        let sent = exchange::send(&shared, &self.template, &target, &facts);
        let received = match sent.await {
            Ok(received) => received,
            Err(failure) => {
                record_failure(&shared, &mut self.ticket, active, &failure);
                if !failure.may_have_run() {
                    self.undo_credit_use();
                }
                self.is_uncertain |= matches!(failure, SendFailure::Uncertain(_));
                return false;
            }
        };
        if let Some(defect) = received.defect(&shared, &self.ticket) {
            let failure = SendFailure::Broken(defect);
            record_failure(&shared, &mut self.ticket, active, &failure);
            return false;
        }
        record_statement(&shared, &self.ticket, &instance, sent_at, &received.facts);
        if received.facts.not_executed || received.facts.misdirected {
            record_rejection(&shared, &self.ticket, active, &received);
            self.undo_credit_use();
            return false;
        }
        if received.head.status != self.status {
            active.end(SendOutcome::Failed);
            return false;
        }
        active.record_begin();
        active.record_connection(&received.sender);
        self.resume_with(Active::Instance(active), received, last.as_deref());
        true
    }

    /// Tries to resume the stream through another gateway; returns whether it did.
    async fn resume_at_peer(&mut self, sent_at: Timestamp, peer: &GatewayPeer) -> bool {
        let shared = self.shared.clone();
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.update(&self.ticket);
        }
        let active = ActiveForward::new(shared.clone(), peer.gateway.clone());
        let last = self.events.last_identity();
        if let Some(credit) = &mut self.credit {
            credit.begin_use(sent_at);
        }
        let (template, ticket) = (&self.template, &mut self.ticket);
        let sent = peer::forward(&shared, template, ticket, peer, last.as_deref()).await;
        let PeerResponse { received, hop } = match sent {
            Ok(response) => response,
            Err(failure) => {
                peer::record_failure(&shared, &mut self.ticket, active, peer, &failure);
                if !failure.may_have_run() {
                    self.undo_credit_use();
                }
                return false;
            }
        };
        let outcome = hop.outcome;
        peer::log_end(&shared, &self.ticket, peer, outcome.as_str(), &hop.reason);
        if outcome != HopOutcome::Answered || received.head.status != self.status {
            active.end_for(&mut self.ticket, ForwardOutcome::Responded, hop.sends);
            if hop.sends == 0 {
                self.undo_credit_use();
            }
            return false;
        }
        self.resume_with(Active::Peer(active), received, last.as_deref());
        true
    }

    /// Continues with the response of a resumed stream.
    fn resume_with(&mut self, active: Active, received: ReceivedResponse, last: Option<&str>) {
        log::info!(
            "event=stream_resumed request={} instance={} software={} after={}",
            self.ticket.description.attempt,
            active.name(),
            self.ticket.software.as_str(),
            last.unwrap_or("none"),
        );
        self.shared.metrics.resumed.inc();
        self.active = Some(active);
        self.has_lasted = false;
        self.framing = Framing::of(&received.head);
        self.body = Some(received.body);
        self.sender = Some(received.sender);
        self.keep_alive = received.facts.keep_alive;
    }
}

/// Turns a relay into a response body.
pub(crate) fn relay(state: Relay) -> RelayBody {
    let frames = stream::unfold(state, Relay::next);
    StreamBody::new(frames).boxed_unsync()
}
