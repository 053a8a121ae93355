//! Decision core of a router, without input/output, clock or threads: authentication, policy,
//! admission, queues, leases, dispatch choice, retries and claims.
//!
//! The router process and the simulator both drive [`Routing::step`]. Every request that arrives
//! ends in exactly one of: an answer (`Completed`), `Refuse`, `Replay`, `BreakOff`, or its caller
//! hanging up.

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
mod outlook;
mod queues;
mod readiness;
mod refusals;
mod reporting;
mod request;
mod retry;
mod routes;
mod table;

pub use decisions::{EXPLANATION_CAPACITY, RoutingSnapshot};
pub use explain::{AttemptEnd, AttemptRecord, Explanation, Outcome, WaitReason};
pub use interface::*;

use crate::refusals::Refused;
use millpass_proto::{Duration, Timestamp};

/// How long a drained router waits for the ends of its claims to be committed.
const CLAIM_GRACE_ON_DRAIN: Duration = Duration::from_secs(5);

/// State of a planned stop.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    /// Since when no request is left.
    empty_since: Option<Timestamp>,
    /// Whether the host was told.
    told: bool,
}

/// One router's decision core.
pub struct Routing {
    settings: RoutingSettings,
    catalog: catalog::Catalog,
    routes: routes::Routes,
    lease: lease::Lease,
    outlooks: outlook::Outlooks,
    table: table::RequestTable,
    queues: queues::Queues,
    load: load::BackendLoad,
    circuits: circuit::Circuits,
    budget: retry::RetryBudget,
    claims: claims::Claims,
    /// Keys born before are expired; never goes back.
    claims_born_after: u64,
    demand: demand::DemandTable,
    observations: observations::ObservationTable,
    reporting: reporting::ReportSchedule,
    decisions: decisions::Decisions,
    drain: Option<Drain>,
}

/// What one step collects.
struct Step {
    now: Timestamp,
    unix_millis: u64,
    outputs: Vec<RoutingOutput>,
    /// Queues for which a place came free; served before the step ends.
    freed: Vec<queues::QueueKey>,
}

impl Step {
    fn event(&mut self, name: &'static str, pairs: Vec<(&'static str, String)>) {
        let event = RoutingEvent { name, pairs };
        self.outputs.push(RoutingOutput::Event(event));
    }
}

impl Routing {
    /// Starts with no catalog and no routes: nothing is admitted before the first update.
    pub fn new(settings: RoutingSettings, _now: Timestamp) -> Self {
        Routing {
            catalog: catalog::Catalog::new(),
            routes: routes::Routes::new(),
            lease: lease::Lease::new(),
            outlooks: outlook::Outlooks::default(),
            table: table::RequestTable::default(),
            queues: queues::Queues::default(),
            load: load::BackendLoad::default(),
            circuits: circuit::Circuits::new(settings.circuit_failures, settings.circuit_open),
            budget: retry::RetryBudget::new(settings.retry_budget_percent),
            claims: claims::Claims::new(settings.claim_timeout),
            claims_born_after: 0,
            demand: demand::DemandTable::default(),
            observations: observations::ObservationTable::default(),
            reporting: reporting::ReportSchedule::default(),
            decisions: decisions::Decisions::default(),
            drain: None,
            settings,
        }
    }

    /// Takes one input; `unix_millis` is the wall clock. Returns what the host must do, in order.
    ///
    /// The lease is judged before anything else: a process that was frozen wakes with an old
    /// copy, and must notice before it acts on it. Ends of attempts are taken before deadlines
    /// are judged, so an answer that came is never refused.
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
        self.end_lapsed_lease(&mut step);
        self.expire(false, &mut step);
        self.take(input, &mut step);
        self.expire(true, &mut step);
        self.tend_claims(&mut step);
        self.serve_freed(&mut step);
        self.report_if_due(&mut step);
        self.tell_drained(&mut step);
        step.outputs
    }

    fn take(&mut self, input: RoutingInput, step: &mut Step) {
        match input {
            RoutingInput::Tick => self.judge_and_serve_all(step),
            RoutingInput::Arrived(arrival) => self.arrive(arrival, step),
            RoutingInput::CallerGone(request) => self.caller_gone(request, step),
            RoutingInput::FirstByte(request) => self.first_byte(request),
            RoutingInput::Completed { request, answer } => self.completed(request, answer, step),
            RoutingInput::Failed { request, failure } => self.failed(request, failure, step),
            RoutingInput::Update(update) => self.take_update(update, step),
            RoutingInput::LinkUp => self.link_up(step),
            RoutingInput::LinkDown => self.link_down(),
            RoutingInput::ClaimDecided { attempt, decision } => {
                self.claim_answered(RequestNumber(attempt), decision, step);
            }
            RoutingInput::ClaimFinished { attempt } => {
                self.claims.finished(RequestNumber(attempt));
            }
            RoutingInput::Observed(observation) => {
                self.load.observe(&observation, step.now);
                if self.observations.observe(observation) {
                    self.reporting.hurry();
                }
            }
            RoutingInput::ChangesAvailable => self.reporting.hurry(),
            RoutingInput::Drain => self.start_drain(step),
        }
    }

    /// At the end of the lease everything that waits is refused: it could be dispatched only on
    /// beliefs that nobody vouches for. Attempts in flight go on.
    fn end_lapsed_lease(&mut self, step: &mut Step) {
        if !self.lease.lapse(step.now) {
            return;
        }
        step.event(
            "lease_lost",
            vec![("waiting", self.table.waiting().to_string())],
        );
        self.refuse_all_waiting(&Refused::new(RefusalReason::NoLease), step);
    }

    /// Gives up requests whose deadline has come.
    fn expire(&mut self, in_flight: bool, step: &mut Step) {
        for number in self.table.expired(step.now, in_flight) {
            let refused = Refused::new(RefusalReason::DeadlinePassed);
            self.give_up(number, refused, step);
        }
    }

    fn serve_freed(&mut self, step: &mut Step) {
        while let Some(queue) = step.freed.pop() {
            self.serve(&queue, step);
        }
    }

    fn start_drain(&mut self, step: &mut Step) {
        if self.drain.is_none() {
            self.drain = Some(Drain::default());
            self.reporting.hurry();
            let pairs = vec![("requests", self.table.len().to_string())];
            step.event("drain_started", pairs);
        }
    }

    /// Tells the host once when every request has ended and every claim's end is committed (or
    /// has had its time).
    fn tell_drained(&mut self, step: &mut Step) {
        let Some(drain) = &mut self.drain else {
            return;
        };
        if drain.told || self.table.len() > 0 {
            return;
        }
        let since = *drain.empty_since.get_or_insert(step.now);
        let claims_ended = self.claims.len() == 0;
        if claims_ended || since + CLAIM_GRACE_ON_DRAIN <= step.now {
            drain.told = true;
            step.outputs.push(RoutingOutput::Drained);
        }
    }
}
