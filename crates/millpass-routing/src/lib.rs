//! Routing core of a router, without I/O, clock or threads: authentication, policies, admission,
//! queues, leases, backend selection, retries and claims.
//!
//! Both the router process and the simulator drive [`Routing::step`]. Every request ends with
//! exactly one of `Completed`, `Refuse`, `Replay`, `BreakOff`, or a caller that disconnects.

mod admission;
mod catalog;
mod circuit;
mod claim_flow;
mod claims;
mod decisions;
mod demand;
mod dispatch;
mod explain;
pub mod interface;
mod lease;
mod load;
mod observations;
mod queues;
mod readiness;
mod ready_estimates;
mod refusals;
mod reporting;
mod request;
mod retry;
mod routes;
mod table;

pub use decisions::{EXPLANATION_CAPACITY, RoutingSnapshot};
pub use explain::{AttemptEnd, AttemptRecord, Explanation, Outcome, WaitReason};
pub use interface::*;

use crate::refusals::Rejection;
use millpass_proto::{Duration, Timestamp};

/// How long a drained router waits for its claim conclusions to be committed.
const CLAIM_GRACE_ON_DRAIN: Duration = Duration::from_secs(5);

/// State of a planned shutdown.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    /// Since when no request is left.
    empty_since: Option<Timestamp>,
    /// `Drained` was output.
    notified: bool,
}

/// Routing core of one router.
pub struct Routing {
    settings: RoutingSettings,
    catalog: catalog::Catalog,
    routes: routes::Routes,
    lease: lease::Lease,
    ready_estimates: ready_estimates::ReadyEstimates,
    table: table::RequestTable,
    queues: queues::Queues,
    load: load::BackendLoad,
    circuits: circuit::Circuits,
    budget: retry::RetryBudget,
    claims: claims::Claims,
    /// Keys created before this time are expired; never decreases.
    claims_created_after: u64,
    demand: demand::DemandTable,
    observations: observations::ObservationTable,
    reporting: reporting::ReportSchedule,
    decisions: decisions::Decisions,
    drain: Option<Drain>,
}

/// Context and results of one step.
struct Step {
    now: Timestamp,
    unix_millis: u64,
    outputs: Vec<RoutingOutput>,
    /// Queues for which a backend became free; dispatched before the step ends.
    freed: Vec<queues::QueueKey>,
}

impl Step {
    fn event(&mut self, name: &'static str, pairs: Vec<(&'static str, String)>) {
        let event = RoutingEvent { name, pairs };
        self.outputs.push(RoutingOutput::Event(event));
    }
}

impl Routing {
    /// Starts without catalog and routes: nothing is admitted before the first update.
    pub fn new(settings: RoutingSettings, _now: Timestamp) -> Self {
        Routing {
            catalog: catalog::Catalog::new(),
            routes: routes::Routes::new(),
            lease: lease::Lease::new(),
            ready_estimates: ready_estimates::ReadyEstimates::default(),
            table: table::RequestTable::default(),
            queues: queues::Queues::default(),
            load: load::BackendLoad::default(),
            circuits: circuit::Circuits::new(settings.circuit_failures, settings.circuit_open),
            budget: retry::RetryBudget::new(settings.retry_budget_percent),
            claims: claims::Claims::new(settings.claim_timeout),
            claims_created_after: 0,
            demand: demand::DemandTable::default(),
            observations: observations::ObservationTable::default(),
            reporting: reporting::ReportSchedule::default(),
            decisions: decisions::Decisions::default(),
            drain: None,
            settings,
        }
    }

    /// Processes one input and returns the actions for the host, in order. `unix_millis` is the
    /// wall clock.
    ///
    /// The lease is checked first, so that a process resuming from a freeze does not act on stale
    /// state. The input is processed before the deadlines of attempts in flight are checked, so
    /// that a response that arrived is never refused.
    pub fn step(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        input: RoutingInput,
    ) -> Vec<RoutingOutput> {
        let mut step = Step {
            now,
            unix_millis,
            outputs: Vec::new(),
            freed: Vec::new(),
        };
        self.handle_lease_expiry(&mut step);
        self.expire_requests(false, &mut step);
        self.handle_input(input, &mut step);
        self.expire_requests(true, &mut step);
        self.poll_claims(&mut step);
        self.dispatch_freed(&mut step);
        self.report_if_due(&mut step);
        self.notify_drained(&mut step);
        step.outputs
    }

    fn handle_input(&mut self, input: RoutingInput, step: &mut Step) {
        match input {
            RoutingInput::Tick => self.refresh_queues(step),
            RoutingInput::Arrived(arrival) => self.handle_arrival(arrival, step),
            RoutingInput::CallerGone(request) => self.handle_caller_gone(request, step),
            RoutingInput::FirstByte(request) => self.handle_first_byte(request),
            RoutingInput::Completed { request, answer } => {
                self.handle_completed(request, answer, step)
            }
            RoutingInput::Failed { request, failure } => self.handle_failed(request, failure, step),
            RoutingInput::Update(update) => self.handle_update(update, step),
            RoutingInput::LinkUp => self.link_up(step),
            RoutingInput::LinkDown => self.link_down(),
            RoutingInput::ClaimDecided { attempt, decision } => {
                self.handle_claim_decision(RequestNumber(attempt), decision, step);
            }
            RoutingInput::ClaimFinished { attempt } => {
                self.claims.record_finished(RequestNumber(attempt));
            }
            RoutingInput::Observed(observation) => {
                self.load.record_observation(&observation, step.now);
                if self.observations.record(observation) {
                    self.reporting.expedite();
                }
            }
            RoutingInput::ChangesAvailable => self.reporting.expedite(),
            RoutingInput::Drain => self.start_drain(step),
        }
    }

    /// Refuses all waiting requests when the lease expires, since the routes may be stale. Attempts
    /// in flight continue.
    fn handle_lease_expiry(&mut self, step: &mut Step) {
        if !self.lease.check_expiry(step.now) {
            return;
        }
        step.event(
            "lease_lost",
            vec![("waiting", self.table.waiting().to_string())],
        );
        self.refuse_all_waiting(&Rejection::new(RefusalReason::NoLease), step);
    }

    /// Ends requests whose deadline has passed.
    fn expire_requests(&mut self, in_flight: bool, step: &mut Step) {
        for number in self.table.expired(step.now, in_flight) {
            let rejection = Rejection::new(RefusalReason::DeadlinePassed);
            self.end_request(number, rejection, step);
        }
    }

    fn dispatch_freed(&mut self, step: &mut Step) {
        while let Some(queue) = step.freed.pop() {
            self.dispatch_waiting(&queue, step);
        }
    }

    fn start_drain(&mut self, step: &mut Step) {
        if self.drain.is_none() {
            self.drain = Some(Drain::default());
            self.reporting.expedite();
            let pairs = vec![("requests", self.table.len().to_string())];
            step.event("drain_started", pairs);
        }
    }

    /// Outputs `Drained` once all requests ended and all claim conclusions are committed or the
    /// grace period elapsed.
    fn notify_drained(&mut self, step: &mut Step) {
        let Some(drain) = &mut self.drain else {
            return;
        };
        if drain.notified || self.table.len() > 0 {
            return;
        }
        let since = *drain.empty_since.get_or_insert(step.now);
        let claims_ended = self.claims.len() == 0;
        if claims_ended || since + CLAIM_GRACE_ON_DRAIN <= step.now {
            drain.notified = true;
            step.outputs.push(RoutingOutput::Drained);
        }
    }
}
