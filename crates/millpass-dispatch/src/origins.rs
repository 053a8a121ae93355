//! Streams that go on only at the software version that began them.

use crate::dispatcher::{Choice, Dispatcher, RefusalReason, is_target};
use crate::instances::Instance;
use crate::request::{StreamProgress, Ticket};
use millpass_origins::stream_key;
use millpass_proto::{
    Duration, OriginFinding, OriginUpdate, RouteKind, SoftwareVersion, StreamKey, StreamOrigin,
    StreamReport, Timestamp,
};

/// Whether a stream that a caller takes up may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// It goes on as the ticket's progress says, or the request begins a new stream.
    Decided,
    /// The leader must be asked for the origin of this stream.
    Ask(StreamKey),
    /// It does not go on.
    Refused(RefusalReason),
}

impl Dispatcher {
    /// Returns what a request that may take up a stream needs first.
    pub fn resumption(&self, now: Timestamp, ticket: &mut Ticket) -> Resumption {
        let Some(continuation) = ticket.description.continuation.as_ref() else {
            return Resumption::Decided;
        };
        if ticket.route.kind != RouteKind::Stream {
            return Resumption::Decided;
        }
        if !ticket.route.resumable {
            return Resumption::Refused(RefusalReason::StreamNotResumable);
        }
        match &continuation.attempt {
            Some(attempt) => Resumption::Ask(self.key_of(ticket, attempt)),
            None => match self.sole_version(now, ticket) {
                Some(software) => {
                    ticket.require_software(software);
                    Resumption::Decided
                }
                None => Resumption::Refused(RefusalReason::StreamVersionUnknown),
            },
        }
    }

    /// Returns the software version that began a stream of which the caller names no attempt: the only
    /// one that its service has run for longer than its caller can have waited.
    fn sole_version(&self, now: Timestamp, ticket: &Ticket) -> Option<SoftwareVersion> {
        let service = &ticket.service;
        let timeout = Duration::from_millis(ticket.route.timeout_millis);
        let time = timeout + self.settings.origins.retention;
        let known = self.instances.values();
        let known = known.filter(|instance| instance.record.service == *service);
        let known = known.map(|instance| &instance.record.software);
        self.sole_versions.version(now, service, time, known)
    }

    /// Begins to ask the leader for the origin of a stream. [`Dispatcher::end_lookup`] must follow.
    pub fn begin_lookup(&mut self, stream: &StreamKey) {
        self.origins.begin_lookup(stream);
    }

    /// Ends a question to the leader.
    pub fn end_lookup(&mut self, stream: &StreamKey) {
        self.origins.end_lookup(stream);
    }

    /// Returns when to check again for the answer to a question asked at `since`.
    pub fn check_origin_at(&self, now: Timestamp, since: Timestamp) -> Timestamp {
        self.origins.check_at(now, since, self.gateways)
    }

    /// Applies the leader's answers.
    pub fn apply_origins(&mut self, update: OriginUpdate) {
        self.origins.apply(update.answers);
    }

    /// Returns whether the stream goes on whose origin was asked for at `since`; none to wait for the
    /// answer. If it does, the ticket's progress and service are those of the stream.
    pub fn continue_stream(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        stream: &StreamKey,
        ticket: &mut Ticket,
    ) -> Option<Result<(), (RefusalReason, Option<Duration>)>> {
        let finding = self.origins.finding(now, since, stream, self.gateways)?;
        let origin = match finding {
            OriginFinding::Known(origin) => origin,
            OriginFinding::Contradicted => {
                return Some(Err((RefusalReason::StreamVersionUnknown, None)));
            }
            OriginFinding::Unknown => return Some(Err((RefusalReason::StreamUnknown, None))),
            OriginFinding::Unproven => {
                let retry_after = self.settings.origins.lookup_timeout;
                let reason = RefusalReason::StreamUnconfirmed;
                return Some(Err((reason, Some(retry_after))));
            }
            OriginFinding::Unsettled(millis) => {
                let retry_after = Duration::from_millis(millis);
                let reason = RefusalReason::StreamUnconfirmed;
                return Some(Err((reason, Some(retry_after))));
            }
        };
        if !is_target(&ticket.route, &origin.service) {
            return Some(Err((RefusalReason::StreamVersionGone, None)));
        }
        ticket.service.clone_from(&origin.service);
        ticket.progress = StreamProgress::Begun {
            origin: Some(origin),
        };
        Some(Ok(()))
    }

    /// Records that the caller of a resumable stream gets events of the instance that it was last sent
    /// to, with the software as stated then.
    pub fn record_events(&mut self, now: Timestamp, ticket: &mut Ticket) {
        let mut opened_at = None;
        if ticket.progress == StreamProgress::NotBegun {
            let origin = self.origin(ticket);
            opened_at = ticket.connection_opened_at.filter(|opened| {
                let run = ticket.tried.last();
                self.needs_certain_run(ticket)
                    && run.is_some_and(|run| !self.runs.is_same(run, *opened, *opened))
            });
            ticket.progress = StreamProgress::Begun { origin };
        }
        // The gateway that forwarded it records it.
        if ticket.forwarded.is_some() {
            return;
        }
        let StreamProgress::Begun { origin } = &ticket.progress else {
            return;
        };
        let stream = self.key_of(ticket, &ticket.description.attempt);
        let origin = origin.clone();
        if let (Some(origin), Some(_)) = (&origin, opened_at) {
            let until = now + self.settings.origins.proof_timeout;
            self.runs.want(&origin.instance, until);
        }
        self.origins
            .begin(now, stream, origin, opened_at, ticket.deadline);
    }

    /// Returns where a stream begins; none if its process run has been replaced since the request was
    /// sent, or its software is not known.
    fn origin(&self, ticket: &Ticket) -> Option<StreamOrigin> {
        let instance = ticket.tried.last()?;
        let software = ticket.software.version()?;
        let is_replaced = instance
            .runs_in(&self.instances)
            .any(|known| instance.is_before(known));
        (!is_replaced).then(|| StreamOrigin {
            service: ticket.service.clone(),
            instance: instance.clone(),
            software: software.clone(),
        })
    }

    /// Returns true if a stream that broke off may go on elsewhere.
    pub fn may_go_on(&self, ticket: &Ticket) -> bool {
        match &ticket.progress {
            StreamProgress::NotBegun => true,
            StreamProgress::Begun { origin: None } => false,
            StreamProgress::Begun { origin: Some(_) } => {
                let stream = self.key_of(ticket, &ticket.description.attempt);
                ticket.forwarded.is_some() || !self.origins.is_uncertain(&stream)
            }
        }
    }

    /// Returns when streams are to be stated to the leader, or asked for.
    pub fn stream_report_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.origins.report_at(now, self.gateways)
    }

    /// Returns the streams to state to the leader and those to ask for, if due.
    pub fn stream_report(&mut self, now: Timestamp) -> Option<StreamReport> {
        self.origins.report(now, self.gateways)
    }

    /// Number of streams whose origins are kept.
    pub fn stream_origins(&self) -> usize {
        self.origins.len()
    }

    /// Returns true if an instance runs the software that a request requires.
    pub(crate) fn runs_required(&self, instance: &Instance, ticket: &Ticket) -> bool {
        let required = ticket.required_software();
        required.is_none_or(|required| instance.record.software.version() == Some(required))
    }

    /// Refuses a request whose software version no instance of its service runs.
    pub(crate) fn refuse_gone(&self, ticket: &Ticket) -> Option<Choice> {
        ticket.required_software()?;
        let serves = self.instances.values().any(|instance| {
            instance.record.service == ticket.service
                && !self.is_leaving(instance)
                && self.runs_required(instance, ticket)
        });
        (!serves).then_some(Choice::Refuse {
            reason: RefusalReason::StreamVersionGone,
            retry_after: Duration::ZERO,
        })
    }

    pub(crate) fn key_of(&self, ticket: &Ticket, attempt: &str) -> StreamKey {
        let tenant = ticket.tenant.as_ref().map(|tenant| &tenant.name);
        stream_key(tenant, &ticket.route.name, attempt)
    }
}
