//! Passes an answer's body on as it comes, and lets a resumable stream go on at another instance when
//! its own breaks. Dropping the body ends the work at the instance.

use crate::events::EventBuffer;
use crate::exchange::{self, Received, Template};
use crate::forward::{InFlight, is_stream, log_request, note_failure, note_turned_away};
use crate::interface::SendFacts;
use crate::shared::{ActiveSend, Shared};
use crate::statements::note_statement;
use bytes::Bytes;
use futures_lite::{future, stream};
use http::StatusCode;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::SendRequest;
use millpass_dispatch::{Choice, SendOutcome, Ticket};
use millpass_proto::Duration;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;

/// Body of any answer to a caller.
pub(crate) type RelayBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is there already.
pub(crate) fn whole_body(bytes: Bytes) -> RelayBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// An answer on its way.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    ticket: Ticket,
    template: Template,
    active: Option<ActiveSend>,
    body: Incoming,
    sender: Option<SendRequest<Full<Bytes>>>,
    keep_alive: Option<Duration>,
    took: Duration,
    status: StatusCode,
    /// Present when the stream may go on elsewhere.
    events: Option<EventBuffer>,
    ended: bool,
    in_flight: Option<InFlight>,
}

enum Part {
    Bytes(Bytes),
    End,
    Broken(String),
    TimedOut,
}

impl Relay {
    #[expect(clippy::too_many_arguments, reason = "built in one place")]
    pub(crate) fn new(
        shared: Arc<Shared>,
        ticket: Ticket,
        template: Template,
        active: ActiveSend,
        received: Received,
        took: Duration,
        resumable: bool,
        in_flight: Option<InFlight>,
    ) -> Self {
        let resumable = resumable && is_stream(&ticket.route);
        let mut relay = Relay {
            shared,
            ticket,
            template,
            active: Some(active),
            body: received.body,
            sender: Some(received.sender),
            keep_alive: received.facts.keep_alive,
            took,
            status: received.head.status,
            events: resumable.then(EventBuffer::default),
            ended: false,
            in_flight,
        };
        if relay.events.is_none() && relay.body.is_end_stream() {
            // An empty body is never asked for.
            relay.finish();
        }
        relay
    }

    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Relay)> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                Part::Bytes(bytes) => {
                    // The server of callers drops a body of stated length once it has its last byte.
                    if self.events.is_none() && self.body.is_end_stream() {
                        self.finish();
                    }
                    let passed = match &mut self.events {
                        Some(events) => events.take(&bytes),
                        None => bytes,
                    };
                    if !passed.is_empty() {
                        return Some((Ok(Frame::data(passed)), self));
                    }
                }
                Part::End => {
                    let rest = self.events.as_mut().map(EventBuffer::rest);
                    self.finish();
                    let rest = rest.filter(|rest| !rest.is_empty())?;
                    self.ended = true;
                    return Some((Ok(Frame::data(rest)), self));
                }
                Part::Broken(reason) => {
                    if self.events.is_some() && self.resume(&reason).await {
                        continue;
                    }
                    return Some(self.cut("broken", &reason).await);
                }
                Part::TimedOut => return Some(self.cut("timed-out", "").await),
            }
        }
    }

    async fn read(&mut self) -> Part {
        let body = &mut self.body;
        let read = async {
            loop {
                match body.frame().await {
                    None => return Part::End,
                    Some(Err(error)) => return Part::Broken(error.to_string()),
                    Some(Ok(frame)) => {
                        if let Ok(bytes) = frame.into_data() {
                            return Part::Bytes(bytes);
                        }
                    }
                }
            }
        };
        let timer = async {
            self.shared.sleep_until(self.ticket.expires_at).await;
            Part::TimedOut
        };
        future::or(read, timer).await
    }

    /// The whole answer was passed on: the connection may be used again.
    fn finish(&mut self) {
        let Some(active) = self.active.take() else {
            return;
        };
        let instance = active.record().instance.clone();
        if let Some(sender) = self.sender.take() {
            self.shared.pool.put(&instance, sender, self.keep_alive);
        }
        active.end(SendOutcome::Responded(self.took));
        if !self.note_end() {
            return;
        }
        let status = self.status.as_str();
        log_request(
            &self.shared,
            &self.ticket,
            "answered",
            status,
            Some(self.took),
        );
    }

    /// False if the end was logged before.
    fn note_end(&mut self) -> bool {
        self.in_flight.as_mut().is_some_and(InFlight::ended)
    }

    /// Ends the answer short of its end, so that the caller sees that it is not whole. hyper drops
    /// what it has not flushed when a body fails, so it first gets a turn to flush.
    async fn cut(
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
        self.note_end();
        log_request(&self.shared, &self.ticket, outcome, reason, Some(self.took));
        future::yield_now().await;
        self.ended = true;
        let error = io::Error::other(format!("the answer was cut: {outcome}"));
        (Err(error), self)
    }

    /// Lets the stream go on at another instance, after the last whole event.
    async fn resume(&mut self, reason: &str) -> bool {
        self.sender = None;
        if let Some(active) = self.active.take() {
            let instance = &active.record().instance;
            log::info!(
                "event=stream_broken request={} fingerprint={} instance={instance} reason={reason:?}",
                self.ticket.description.attempt,
                self.ticket.description.fingerprint
            );
            active.end(SendOutcome::Broken);
        }
        if let Some(events) = &mut self.events {
            events.discard_part();
        }
        loop {
            let changed = self.shared.changed.listen();
            let now = self.shared.now();
            let choice = self.shared.choose(now, &mut self.ticket);
            match choice {
                Choice::Send { instance, address } => {
                    if self.send_again(instance, &address).await {
                        return true;
                    }
                }
                Choice::Wait { until } => {
                    if now >= self.ticket.expires_at {
                        return false;
                    }
                    self.shared.wait_for_change(changed, until).await;
                }
                Choice::Refuse { .. } => return false,
            }
        }
    }

    /// Whether the stream goes on at this instance; otherwise another may be tried.
    async fn send_again(&mut self, instance: millpass_proto::InstanceId, address: &str) -> bool {
        let shared = self.shared.clone();
        let active = ActiveSend::new(shared.clone(), self.ticket.send_record(&instance));
        let last = self
            .events
            .as_ref()
            .and_then(|events| events.last_identity())
            .map(str::to_owned);
        let sent_at = shared.now();
        let facts = SendFacts {
            remaining: self.ticket.deadline.since(sent_at),
            instance: &instance,
            rank: self.ticket.rank,
            tenant: self.ticket.tenant.as_ref().map(|tenant| &tenant.name),
            last_event: last.as_deref(),
        };
        let give_up = self.ticket.expires_at;
        let sent = exchange::send(&shared, &self.template, address, &facts, give_up).await;
        let received = match sent {
            Ok(received) => received,
            Err(failure) => {
                note_failure(&shared, &mut self.ticket, active, &failure);
                return false;
            }
        };
        let stated = received.facts.attempt.as_deref();
        let same = stated.is_none_or(|stated| stated == self.ticket.description.attempt);
        if same {
            note_statement(&shared, &self.ticket, &instance, sent_at, &received.facts);
        }
        if received.facts.not_executed || received.facts.misdirected {
            note_turned_away(&shared, &self.ticket, active, &received);
            return false;
        }
        if !same || received.head.status != self.status {
            active.end(SendOutcome::Failed);
            return false;
        }
        log::info!(
            "event=stream_resumed request={} instance={instance} after={}",
            self.ticket.description.attempt,
            last.as_deref().unwrap_or("none"),
        );
        shared.metrics.resumed.inc();
        self.active = Some(active);
        self.body = received.body;
        self.sender = Some(received.sender);
        self.keep_alive = received.facts.keep_alive;
        true
    }
}

/// The body that a relay gives.
pub(crate) fn relay(state: Relay) -> RelayBody {
    let frames = stream::unfold(state, Relay::next);
    StreamBody::new(frames).boxed_unsync()
}
