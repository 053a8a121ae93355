//! Selects an instance for a request, or decides that it waits or is refused.

use crate::admission::{ResourceKey, Turn};
use crate::dispatcher::{Choice, Dispatcher, RefusalReason};
use crate::freshness::Freshness;
use crate::instances::Instance;
use crate::prompts::{PromptPrefix, prefixes, rendezvous, total_tokens};
use crate::request::Ticket;
use crate::retry_budget::BudgetTerms;
use crate::waiting::{MIN_SERVING_TIME, Room};
use millpass_proto::{Duration, InstanceId, StreamDemand, Timestamp, WeightsSource};

/// Interval at which a waiting request records its demand again.
pub(crate) const DEMAND_REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Margin added to an estimated load time in Retry-After.
const READY_MARGIN: Duration = Duration::from_millis(60);
/// Estimated time from demand for an adapter until it serves.
const ADAPTER_LOAD_ESTIMATE: Duration = Duration::from_millis(60);
/// Estimated time from demand until a load begins: reporting, and freeing memory.
const LOAD_START_ESTIMATE: Duration = Duration::from_millis(350);
/// Retry-After of a request refused for lack of free capacity.
pub(crate) const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Least time left before this gateway stops to start serving a request that has waited: a request
/// whose response is cut off may have run.
const MIN_TIME_BEFORE_STOP: Duration = Duration::from_millis(1_500);
/// Time for which a request waits for a freshness confirmation; a new leader or a majority of the
/// members usually responds within it.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(300);
/// Retry-After of a request refused without confirmation; the retry may reach another gateway.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Cost of sending to another zone.
const CROSS_ZONE_COST_MS: f64 = 5.0;
/// Cost of a send that is certain to fail.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Cost of an instance whose slots are all in use.
const FULL_COST_MS: f64 = 120.0;
/// Cost of each request queued at an engine until its prompt is read.
const QUEUED_REQUEST_COST_MS: f64 = 60.0;
/// Cost of each request at an engine.
pub(crate) const ENGINE_REQUEST_COST_MS: f64 = 3.0;
/// Weight of rendezvous ranks for prompt parts that no known instance has read. At 0 each part
/// would spread over all replicas; at 1 the ranks would outweigh known prefixes.
const RENDEZVOUS_WEIGHT: f64 = 0.5;

impl Dispatcher {
    /// Decides what to do with a request now, and records the start of a send.
    pub fn choose(&mut self, now: Timestamp, ticket: &mut Ticket) -> Choice {
        let turn = self.take_turn(ticket);
        let choice = match turn.displaced {
            true => self.refuse_displaced(now, ticket),
            false => self.decide(now, ticket, &turn),
        };
        let choice = limit_wait(choice, ticket);
        let sent_to = match &choice {
            Choice::Send { instance, .. } => Some(instance),
            Choice::Forward { .. } | Choice::Wait { .. } | Choice::Refuse { .. } => None,
        };
        // Capacity may be left there, or the slot for which the request was called.
        for instance in sent_to.into_iter().chain(&turn.called_for) {
            self.call_next(now, instance);
        }
        choice
    }

    fn decide(&mut self, now: Timestamp, ticket: &mut Ticket, turn: &Turn) -> Choice {
        if let Some((reason, retry_after)) = self.quarantine(now, ticket) {
            return Choice::Refuse {
                reason,
                retry_after,
            };
        }
        if self.freshness_on_arrival(now) == Freshness::Unconfirmed {
            return wait_for_confirmation(now, ticket);
        }
        ticket.unconfirmed_since = None;
        if let Some(refusal) = self.refuse_gone(ticket) {
            return refusal;
        }
        if ticket.is_past_start(now) {
            return Choice::Refuse {
                reason: RefusalReason::NotStarted,
                retry_after: CAPACITY_RETRY_AFTER,
            };
        }
        let engine = self.is_engine(&ticket.service);
        if ticket.sends > 0 && !self.may_retry(now, ticket) {
            return self.refuse_without_attempts(now, ticket, engine);
        }
        let candidates = self.candidates(now, ticket, engine);
        if candidates.available.is_empty() {
            if candidates.unavailable.is_empty()
                && candidates.is_any_lost
                && let Some(choice) = self.forward_or_refuse(now, ticket, engine)
            {
                return choice;
            }
            if !candidates.unavailable.is_empty() {
                return self.wait_or_refuse_unavailable(
                    now,
                    ticket,
                    engine,
                    &candidates.unavailable,
                    turn,
                );
            }
            return self.wait_or_refuse_no_instance(now, ticket, engine, turn);
        }
        let prefixes = prefixes(&ticket.description);
        let key = self.resource_key(ticket);
        let terms = self.waiter_terms(now, ticket);
        let isolation = self.isolation(ticket);
        let best = candidates
            .available
            .iter()
            .filter_map(|instance| {
                let found = self.instances.get(instance)?;
                let reserved = self.admission.queues.reserved(instance);
                let room = self.room(now, found, &key, &terms, reserved);
                let cost = match isolation {
                    Some(suspect) => isolation_cost(suspect, instance),
                    None => self.cost(now, ticket, found, engine, &prefixes),
                };
                let limited = self.permits.rate(instance).is_some();
                Some((room, limited, cost, instance))
            })
            .min_by(|left, right| {
                // Instances with a limit are avoided while another has free capacity.
                let order = right.0.cmp(&left.0).then(left.1.cmp(&right.1));
                order.then(left.2.total_cmp(&right.2))
            });
        let Some((room, _, _, instance)) = best else {
            return self.wait_or_refuse_no_instance(now, ticket, engine, turn);
        };
        if room == Room::None {
            return self.wait_or_refuse_full(now, ticket, turn);
        }
        let instance = instance.clone();
        if !self.is_first_for(now, ticket, &instance, turn) {
            if ticket.waiting {
                let until = self.next_check(now, ticket);
                return Choice::Wait { until };
            }
            return self.wait_or_refuse_full(now, ticket, turn);
        }
        ticket.queued_at_instance = room == Room::Queue;
        self.admission.times.record_send(now, &key, ticket.rank);
        if ticket.sends > 0 {
            self.consume_retry(now, ticket);
        }
        self.begin_send(now, ticket, &instance, &prefixes)
    }

    /// Returns what makes a request suspect, if anything.
    fn isolation(&self, ticket: &Ticket) -> Option<u64> {
        let fingerprint = &ticket.description.fingerprint;
        match self.crashes.is_suspect(fingerprint) {
            true => Some(fingerprint.low),
            false => self.crashes.parts.suspect_part(ticket),
        }
    }

    /// Returns true if the route's attempts and the retry budget allow one more send.
    fn may_retry(&mut self, now: Timestamp, ticket: &Ticket) -> bool {
        // The gateway that forwarded it retries, within its own budget.
        if ticket.forwarded.is_some() {
            return false;
        }
        if ticket.sends >= ticket.route.maximum_attempts.max(1) {
            return false;
        }
        let terms = self.budget_terms();
        let budget = self.budgets.entry(ticket.service.clone()).or_default();
        budget.has_capacity(now, &terms)
    }

    pub(crate) fn consume_retry(&mut self, now: Timestamp, ticket: &Ticket) {
        let terms = self.budget_terms();
        let budget = self.budgets.entry(ticket.service.clone()).or_default();
        budget.try_consume(now, &terms);
    }

    fn budget_terms(&self) -> BudgetTerms {
        BudgetTerms {
            window: self.settings.retry_window,
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            gateways: self.gateways,
        }
    }

    /// Returns the untried instances that could serve the request and are reached. Ejected ones are
    /// included only if no other is available.
    fn candidates(&self, now: Timestamp, ticket: &Ticket, engine: bool) -> Candidates {
        let is_untried = |instance: &&Instance| !ticket.tried.contains(&instance.record.instance);
        let (lost, reached): (Vec<&Instance>, Vec<&Instance>) = self
            .eligible(now, ticket, engine)
            .partition(|instance| self.is_lost(instance));
        let eligible = reached.into_iter().filter(is_untried);
        let (available, unavailable): (Vec<&Instance>, Vec<&Instance>) =
            eligible.partition(|instance| self.accepts_requests(now, &instance.record.instance));
        let reachable = available
            .iter()
            .filter(|instance| !instance.is_ejected(now));
        let reachable = ids(reachable);
        Candidates {
            available: match reachable.is_empty() {
                true => ids(available.iter()),
                false => reachable,
            },
            unavailable: ids(unavailable.iter()),
            is_any_lost: !lost.is_empty(),
        }
    }

    /// Returns the instances that could serve the request on its first attempt.
    pub(crate) fn eligible(
        &self,
        now: Timestamp,
        ticket: &Ticket,
        engine: bool,
    ) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| {
            let record = &instance.record;
            record.service == ticket.service
                && !self.is_leaving(instance)
                && self.runs_required(instance, ticket)
                && (!engine || can_serve_model(now, instance, ticket))
        })
    }

    /// Returns true if an instance announced a drain or stated in a response that it leaves.
    pub(crate) fn is_leaving(&self, instance: &Instance) -> bool {
        let record = &instance.record;
        record.draining || self.statements.is_leaving(&record.instance)
    }

    /// Estimates the time to the first byte in milliseconds, with penalties for risks. Work at a
    /// slow engine counts for more, and its slots count as fuller.
    fn cost(
        &self,
        now: Timestamp,
        ticket: &Ticket,
        instance: &Instance,
        engine: bool,
        prefixes: &[PromptPrefix],
    ) -> f64 {
        let load = instance.load(now);
        let pace = match (instance.speed.factor(now), ticket.explores) {
            (factor, true) => factor.min(1.0),
            (factor, false) => factor,
        };
        let fill = pace * load / f64::from(instance.record.slots.max(1));
        let mut cost = FULL_COST_MS * fill * fill + FAILURE_COST_MS * instance.failures(now);
        if instance.record.zone != self.settings.zone {
            cost += CROSS_ZONE_COST_MS;
        }
        if !engine {
            let work = instance.response_millis.max(1.0);
            return cost + work * pace * (1.0 + load);
        }
        let (known, unknown) = instance.prompts.split(prefixes);
        let unread = f64::from(total_tokens(unknown)) - rendezvous_tokens(instance, known, unknown);
        let reading = instance.prefill_until.since(now).as_secs_f64() * 1_000.0;
        let queued = instance.queued(now) * QUEUED_REQUEST_COST_MS * pace;
        let reading = reading.max(queued);
        cost + reading
            + unread / self.settings.prompt_tokens_per_milli * pace
            + load * ENGINE_REQUEST_COST_MS * pace
    }

    fn begin_send(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        instance: &InstanceId,
        prefixes: &[PromptPrefix],
    ) -> Choice {
        let rate = self.settings.prompt_tokens_per_milli;
        let key = self.demand_key(ticket);
        let mut address = String::new();
        let mut unread = 0;
        ticket.typical_millis = 0.0;
        if let Some(found) = self.instances.get(instance)
            && self.is_engine(&ticket.service)
        {
            let unread = total_tokens(found.prompts.split(prefixes).1);
            ticket.typical_millis = self.typical_first_byte(now, ticket, found, unread);
        }
        if let Some(found) = self.instances.get_mut(instance) {
            unread = total_tokens(found.prompts.split(prefixes).1);
            let reading_millis = f64::from(unread) / rate * found.speed.factor(now);
            let reading_time = Duration::from_secs_f64(reading_millis / 1_000.0);
            found.prefill_until = found.prefill_until.max(now) + reading_time;
            found.prompts.record(now, prefixes);
            found.in_flight += 1;
            ticket.software.clone_from(&found.record.software);
            address.clone_from(&found.record.address);
        }
        if let Some(key) = key {
            self.demand.record_send(key, unread);
        }
        self.cancel_permit_request(ticket);
        self.permits.record_send(now, instance, self.gateways);
        ticket.tried.push(instance.clone());
        ticket.sends += 1;
        ticket.sent_at = Some(now);
        ticket.send_times.push(now);
        Choice::Send {
            instance: instance.clone(),
            address,
        }
    }

    pub(crate) fn wait_or_refuse_no_instance(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        engine: bool,
        turn: &Turn,
    ) -> Choice {
        if ticket.sends > 0 && !engine {
            return self.refuse_no_attempts(now, ticket, engine);
        }
        if !engine || ticket.description.model.is_none() {
            let until = ticket.wait_limit();
            if now < until
                && let Some(choice) = self.join_queue(now, ticket, turn, until, Duration::ZERO)
            {
                return choice;
            }
            return Choice::Refuse {
                reason: RefusalReason::NoInstance,
                retry_after: CAPACITY_RETRY_AFTER,
            };
        }
        self.record_demand(now, ticket);
        if !self.is_loading(ticket) && self.are_holders_unavailable(now, ticket) {
            return self.refuse_no_attempts(now, ticket, engine);
        }
        self.wait_for_load(now, ticket, turn)
    }

    pub(crate) fn record_demand(&mut self, now: Timestamp, ticket: &mut Ticket) {
        if ticket
            .demand_recorded_at
            .is_some_and(|at| now.since(at) < DEMAND_REPEAT_INTERVAL)
        {
            return;
        }
        ticket.demand_recorded_at = Some(now);
        let Some(key) = self.demand_key(ticket) else {
            return;
        };
        match ticket.required_software().cloned() {
            None => self.demand.record_unserved(key, ticket.route.priority),
            Some(software) => {
                let (service, model, adapter) = key;
                self.origins.record_waiting(StreamDemand {
                    service,
                    model,
                    adapter,
                    software,
                    requests: 1,
                });
            }
        }
    }

    /// Waits for a load that is expected to end before the caller's deadline and before this gateway
    /// stops; otherwise refuses. Also refuses early if the load is expected to miss the objective
    /// and the caller has time to return, counting the requests that wait for the same load.
    pub(crate) fn wait_for_load(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        turn: &Turn,
    ) -> Choice {
        let key = self.resource_key(ticket);
        let terms = self.waiter_terms(now, ticket);
        let interval = self.replica_slot_interval(&key);
        let ahead = self.admission.queues.ahead(&key, &terms);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        // A new replica starts as many requests at once as it has slots.
        let slots = self.engine_spec(&key.service);
        let queued = ahead.saturating_sub(slots.map_or(0, |engine| engine.slots));
        let loaded = self.ready_at(now, ticket, &key) + READY_MARGIN;
        let ready = loaded + interval * queued;
        let meets_objective = ticket.arrived + ticket.objective() > ready + MIN_SERVING_TIME;
        let meets_deadline = ticket.first_event_deadline() > ready + MIN_SERVING_TIME;
        if self
            .stops_at
            .is_some_and(|end| ready + MIN_TIME_BEFORE_STOP > end)
        {
            return Choice::Refuse {
                reason: RefusalReason::Stopping,
                retry_after: CAPACITY_RETRY_AFTER,
            };
        }
        let early = now <= ticket.wait_limit();
        let can_retry = ready.since(now) * 3 < ticket.deadline.since(now);
        if meets_deadline && (meets_objective || !early || !can_retry) {
            ticket.late = !meets_objective;
            let until = ticket.first_event_deadline();
            if let Some(choice) = self.join_queue(now, ticket, turn, until, ready.since(now)) {
                return choice;
            }
        }
        self.record_queue_facts(now, ticket, ready.since(now));
        Choice::Refuse {
            reason: RefusalReason::Cold,
            retry_after: self.retry_after_in_order(now, ticket, &key, ready, interval),
        }
    }

    /// Estimates when the model or adapter will serve.
    fn ready_at(&mut self, now: Timestamp, ticket: &Ticket, key: &ResourceKey) -> Timestamp {
        let model = ticket.description.model.as_ref();
        let adapter = ticket.description.adapter.as_ref();
        if let Some(ready) = self.model_ready_at(key) {
            self.admission.times.record_planned(key);
            return ready.max(now);
        }
        let is_loaded = self.instances.values().any(|instance| {
            instance.record.service == ticket.service
                && !self.is_leaving(instance)
                && self.runs_required(instance, ticket)
                && model.is_some_and(|model| instance.holds(model, None))
        });
        if is_loaded && adapter.is_some() {
            return now + ADAPTER_LOAD_ESTIMATE;
        }
        // The leader knows of the demand. The longer it has planned no load, the later one begins.
        let unplanned = self.admission.times.record_unplanned(now, key);
        now + LOAD_START_ESTIMATE.max(unplanned) + self.min_load_time(ticket)
    }

    /// Returns when the leader expects a model to be ready, if it loads or will load.
    pub(crate) fn model_ready_at(&self, key: &ResourceKey) -> Option<Timestamp> {
        let of_model = self.ready_estimates.iter().filter(|(estimate, _)| {
            estimate.service == key.service && Some(&estimate.model) == key.model.as_ref()
        });
        of_model.map(|(_, ready)| *ready).min()
    }

    fn min_load_time(&self, ticket: &Ticket) -> Duration {
        let model = ticket.description.model.as_ref();
        let specification = self.engine_spec(&ticket.service).and_then(|engine| {
            engine
                .models
                .iter()
                .find(|candidate| Some(&candidate.name) == model)
        });
        let Some(specification) = specification else {
            return Duration::ZERO;
        };
        let any_instance = |matches: &dyn Fn(&Instance) -> bool| {
            self.instances
                .values()
                .any(|instance| instance.record.service == ticket.service && matches(instance))
        };
        let model = &specification.name;
        let source = if any_instance(&|instance| instance.record.in_memory.contains(model)) {
            WeightsSource::Memory
        } else if any_instance(&|instance| instance.record.on_disk.contains(model)) {
            WeightsSource::Disk
        } else {
            WeightsSource::Store
        };
        specification.load_time(source)
    }
}

/// Cost of an instance for a suspect request or part of a prompt. Each suspect ranks the instances in its
/// own order, the same at every gateway: two suspects of the same crashes are separated, so that the
/// next crash shows which of them caused it, and the requests with a suspect part risk one instance
/// after the other.
fn isolation_cost(suspect: u64, instance: &InstanceId) -> f64 {
    rendezvous(suspect, &instance.0) as f64
}

/// Tokens credited to an instance for prompt parts that this gateway has not sent there, by
/// rendezvous rank: gateways without a known prefix agree on the instance. The last part is
/// excluded, as it is unique to the request.
fn rendezvous_tokens(instance: &Instance, known: &[PromptPrefix], unknown: &[PromptPrefix]) -> f64 {
    let parts = known.len() + unknown.len();
    let shared = parts.saturating_sub(1).max(1).saturating_sub(known.len());
    unknown
        .iter()
        .take(shared)
        .map(|part| {
            let rank = rendezvous(part.hash, &instance.record.instance.0) as f64 / u64::MAX as f64;
            f64::from(part.tokens) * RENDEZVOUS_WEIGHT * rank
        })
        .sum()
}

/// Instances that could serve a request.
struct Candidates {
    /// Those that accept requests now.
    available: Vec<InstanceId>,
    /// Those in backoff or at their stated limit.
    unavailable: Vec<InstanceId>,
    /// Others could serve it but are out of reach.
    is_any_lost: bool,
}

/// Bounds a wait by the time within which a request of another gateway must be sent.
fn limit_wait(choice: Choice, ticket: &Ticket) -> Choice {
    match (choice, ticket.start_by()) {
        (Choice::Wait { until }, Some(start_by)) => Choice::Wait {
            until: until.min(start_by),
        },
        (choice, _) => choice,
    }
}

fn ids<'a>(instances: impl Iterator<Item = &'a &'a Instance>) -> Vec<InstanceId> {
    let records = instances.map(|instance| &instance.record);
    records.map(|record| record.instance.clone()).collect()
}

fn can_serve_model(now: Timestamp, instance: &Instance, ticket: &Ticket) -> bool {
    let adapter = ticket.description.adapter.as_ref();
    match &ticket.description.model {
        Some(model) => {
            instance.holds(model, adapter) && !instance.has_recently_rejected(now, model, adapter)
        }
        None => true,
    }
}

/// Waits briefly for a confirmation, then refuses. Nothing is sent, as instances may have left.
fn wait_for_confirmation(now: Timestamp, ticket: &mut Ticket) -> Choice {
    let since = *ticket.unconfirmed_since.get_or_insert(now);
    let until = (since + UNCONFIRMED_WAIT).min(ticket.expires_at);
    if now < until {
        return Choice::Wait { until };
    }
    Choice::Refuse {
        reason: RefusalReason::Unconfirmed,
        retry_after: UNCONFIRMED_RETRY_AFTER,
    }
}
