//! Requests whose eligible instances are all in backoff or at their stated limit.

use crate::admission::Turn;
use crate::dispatcher::{Choice, Dispatcher, RefusalReason};
use crate::instances::Instance;
use crate::request::Ticket;
use crate::selection::{CAPACITY_RETRY_AFTER, DEMAND_REPEAT_INTERVAL};
use millpass_limits::Availability;
use millpass_proto::{Duration, InstanceId, Timestamp};

impl Dispatcher {
    /// Returns true if an instance is neither in backoff nor at its stated limit.
    pub(crate) fn accepts_requests(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let in_backoff = self.statements.backoff_until(now, instance).is_some();
        !in_backoff && self.permits.may_send(now, instance, self.gateways)
    }

    /// Returns when an unavailable instance may accept a request, and the reason to refuse until
    /// then.
    fn availability(&self, now: Timestamp, instance: &InstanceId) -> (Availability, RefusalReason) {
        let limit_availability = || self.permits.availability(now, instance, self.gateways);
        match self.statements.backoff_until(now, instance) {
            Some(until) => (Availability::At(until), RefusalReason::Backoff),
            None => (limit_availability(), RefusalReason::Limited),
        }
    }

    /// All eligible instances are in backoff or at their limit: waits if one becomes available
    /// or another engine loads the model soon, otherwise refuses at once.
    pub(crate) fn wait_or_refuse_unavailable(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        engine: bool,
        unavailable: &[InstanceId],
        turn: &Turn,
    ) -> Choice {
        if engine {
            // The leader may load the model on another engine.
            self.record_demand(now, ticket);
        }
        let availabilities = unavailable.iter().map(|instance| {
            let (availability, reason) = self.availability(now, instance);
            (availability, reason, instance)
        });
        let soonest = availabilities.min_by_key(|(availability, _, _)| availability.known_by());
        let Some((availability, reason, instance)) = soonest else {
            return self.wait_or_refuse_no_instance(now, ticket, engine, turn);
        };
        let objective_end = ticket.arrived + ticket.objective();
        match availability {
            Availability::AwaitingResponse(until) if now < objective_end => {
                self.request_permit(now, ticket, instance);
                Choice::Wait {
                    until: until.min(objective_end),
                }
            }
            Availability::At(at) if at <= ticket.wait_limit() => {
                self.request_permit(now, ticket, instance);
                Choice::Wait { until: at }
            }
            Availability::At(_) if engine && self.is_loading(ticket) => {
                self.wait_for_load(now, ticket, turn)
            }
            Availability::AwaitingResponse(at) | Availability::At(at) => {
                self.cancel_permit_request(ticket);
                if reason == RefusalReason::Limited {
                    self.permits.record_refusal(instance);
                }
                Choice::Refuse {
                    reason,
                    retry_after: at.since(now),
                }
            }
        }
    }

    /// Refuses a request that has no attempts left. Retry-After is when an instance accepts
    /// requests.
    pub(crate) fn refuse_no_attempts(
        &self,
        now: Timestamp,
        ticket: &Ticket,
        engine: bool,
    ) -> Choice {
        let available_in =
            |instance: &Instance| match self.accepts_requests(now, &instance.record.instance) {
                true => Duration::ZERO,
                false => {
                    let (availability, _) = self.availability(now, &instance.record.instance);
                    availability.known_by().since(now)
                }
            };
        let soonest = self.eligible(now, ticket, engine).map(available_in).min();
        Choice::Refuse {
            reason: RefusalReason::NoAttempts,
            retry_after: soonest.unwrap_or_default().max(CAPACITY_RETRY_AFTER),
        }
    }

    fn request_permit(&mut self, now: Timestamp, ticket: &mut Ticket, instance: &InstanceId) {
        let is_recent = |at| now.since(at) < DEMAND_REPEAT_INTERVAL;
        let requested = ticket.permit_requested.as_ref();
        if requested.is_some_and(|(requested, at)| requested == instance && is_recent(*at)) {
            return;
        }
        self.cancel_permit_request(ticket);
        ticket.permit_requested = Some((instance.clone(), now));
        self.permits.add_waiter(now, instance);
    }

    pub(crate) fn cancel_permit_request(&mut self, ticket: &mut Ticket) {
        if let Some((instance, _)) = ticket.permit_requested.take() {
            self.permits.remove_waiter(&instance);
        }
    }

    /// Returns true if the request's model, or an adapter of it, is loading or waiting to load.
    pub(crate) fn is_loading(&self, ticket: &Ticket) -> bool {
        let model = ticket.description.model.as_ref();
        self.ready_estimates.iter().any(|(estimate, _)| {
            estimate.service == ticket.service && Some(&estimate.model) == model
        })
    }

    /// Returns true if engines hold the request's model but none accepts requests now.
    pub(crate) fn are_holders_unavailable(&self, now: Timestamp, ticket: &Ticket) -> bool {
        let mut holders = self.eligible(now, ticket, true).peekable();
        holders.peek().is_some()
            && holders.all(|instance| !self.accepts_requests(now, &instance.record.instance))
    }
}
