//! Requests whose instances take none now, by what those have stated themselves.

use crate::choosing::{NEED_REPEAT, ROOM_WAIT};
use crate::dispatcher::{Choice, Dispatcher, RefusalReason};
use crate::instances::Instance;
use crate::request::Ticket;
use millpass_limits::Availability;
use millpass_proto::{Duration, InstanceId, Timestamp};

impl Dispatcher {
    /// Whether an instance takes requests of this gateway now, by what it has stated itself.
    pub(crate) fn is_open(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let rests = self.statements.rests_until(now, instance).is_some();
        !rests && self.permits.may_send(now, instance, self.gateways)
    }

    /// When an instance that is not open may take a request, and why not before.
    fn opening(&self, now: Timestamp, instance: &InstanceId) -> (Availability, RefusalReason) {
        let by_limit = || self.permits.availability(now, instance, self.gateways);
        match self.statements.rests_until(now, instance) {
            Some(until) => (Availability::At(until), RefusalReason::Backoff),
            None => (by_limit(), RefusalReason::Limited),
        }
    }

    /// All that could serve it take nothing now, by what they have stated themselves: a short wait where one opens in
    /// that time, else a refusal at once.
    pub(crate) fn without_open(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        engine: bool,
        closed: &[InstanceId],
    ) -> Choice {
        if engine {
            // The leader may bring the model to another engine.
            self.note_need(now, ticket);
        }
        let openings = closed.iter().map(|instance| {
            let (opening, reason) = self.opening(now, instance);
            (opening, reason, instance)
        });
        let soonest = openings.min_by_key(|(opening, _, _)| opening.known_by());
        let Some((opening, reason, instance)) = soonest else {
            return self.without_candidates(now, ticket, engine);
        };
        let on_time = ticket.arrived + ticket.objective();
        match opening {
            Availability::AwaitingResponse(until) if now < on_time => {
                self.want_permit(now, ticket, instance);
                Choice::Wait {
                    until: until.min(on_time),
                }
            }
            Availability::At(opens) if opens <= ticket.patient_until() => {
                self.want_permit(now, ticket, instance);
                Choice::Wait { until: opens }
            }
            Availability::At(_) if engine && self.is_coming(ticket) => {
                self.wait_for_load(now, ticket)
            }
            Availability::AwaitingResponse(opens) | Availability::At(opens) => {
                self.unwant_permit(ticket);
                if reason == RefusalReason::Limited {
                    self.permits.record_refusal(instance);
                }
                Choice::Refuse {
                    reason,
                    retry_after: opens.since(now),
                }
            }
        }
    }

    /// The request may be sent no more. Its caller may come back as soon as an instance takes requests.
    pub(crate) fn without_attempts(&self, now: Timestamp, ticket: &Ticket, engine: bool) -> Choice {
        let opens_in = |instance: &Instance| match self.is_open(now, &instance.record.instance) {
            true => Duration::ZERO,
            false => {
                let (opening, _) = self.opening(now, &instance.record.instance);
                opening.known_by().since(now)
            }
        };
        let soonest = self.fit(now, ticket, engine).map(opens_in).min();
        Choice::Refuse {
            reason: RefusalReason::NoAttempts,
            retry_after: soonest.unwrap_or_default().max(ROOM_WAIT),
        }
    }

    fn want_permit(&mut self, now: Timestamp, ticket: &mut Ticket, instance: &InstanceId) {
        let lately = |at| now.since(at) < NEED_REPEAT;
        let wanted = ticket.permit_wanted.as_ref();
        if wanted.is_some_and(|(wanted, at)| wanted == instance && lately(*at)) {
            return;
        }
        self.unwant_permit(ticket);
        ticket.permit_wanted = Some((instance.clone(), now));
        self.permits.add_waiter(now, instance);
    }

    pub(crate) fn unwant_permit(&mut self, ticket: &mut Ticket) {
        if let Some((instance, _)) = ticket.permit_wanted.take() {
            self.permits.remove_waiter(&instance);
        }
    }

    /// Whether the request's model, or adapter, is on its way to an engine.
    pub(crate) fn is_coming(&self, ticket: &Ticket) -> bool {
        let model = ticket.description.model.as_ref();
        self.outlook
            .iter()
            .any(|(outlook, _)| outlook.service == ticket.service && Some(&outlook.model) == model)
    }

    /// Whether there are engines that hold what the request needs, and none of them takes requests now.
    pub(crate) fn are_holders_closed(&self, now: Timestamp, ticket: &Ticket) -> bool {
        let mut holders = self.fit(now, ticket, true).peekable();
        holders.peek().is_some()
            && holders.all(|instance| !self.is_open(now, &instance.record.instance))
    }
}
