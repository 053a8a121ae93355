//! Requests that wait for a slot or for a load: whether a request can be served in time, its place
//! in the queue of its resource, who is called when a slot becomes free, and Retry-After.

use crate::admission::{AdmissionQueues, Joined, ResourceKey, Turn, WaiterNumber, WaiterTerms};
use crate::dispatcher::{Choice, Dispatcher, RefusalReason};
use crate::instances::{Instance, SendOutcome};
use crate::request::{SendRecord, Ticket};
use crate::selection::CAPACITY_RETRY_AFTER;
use crate::service_times::ServiceTimes;
use millpass_proto::{Duration, InstanceId, ServiceName, Timestamp};
use std::collections::HashMap;

/// Interval at which the first request of a queue checks again: estimates of loads decay between
/// updates and responses.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the other requests of a queue check again.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Delay of a load's expected end up to which waiting requests don't decide again.
const TOLERATED_DELAY: Duration = Duration::from_millis(200);
/// Time for which no request is sent into the queue of an instance that rejected one as full.
const REJECTION_BACKOFF: Duration = Duration::from_millis(300);
/// Least time left to serve a request.
pub(crate) const MIN_SERVING_TIME: Duration = Duration::from_millis(250);

/// Requests that are served before a further one in the queue of an instance, per slot, at most.
/// What is queued beyond that would not start within the time for which one request occupies a
/// slot, and a request that waits at the gateway can still go to another instance.
const QUEUE_AHEAD_PER_SLOT: f64 = 1.0;
/// Length of an instance's queue, per slot, up to which requests are sent into it. Instances queue
/// at least three times their slots; a third of that covers sends of other gateways that are not
/// known here yet.
const QUEUE_PER_SLOT: f64 = 2.0;

/// Fraction of the usable queue of an instance that late requests may use: those that can still be
/// in time come first.
const LATE_FRACTION: f64 = 0.5;
/// Probability that the queue ahead of an urgent request is longer than assumed.
const LONGER_QUEUE_PROBABILITY: f64 = 0.05;
/// Share of the slots that a rank is assumed to get at least, whatever more urgent ones use.
const LEAST_SHARE: f64 = 0.05;

/// Factor of an expected wait at the gateway within which it must be useful. Waits grow while a
/// burst arrives, and a request that is refused after waiting is worse off than one refused at once.
const WAIT_MARGIN: f64 = 1.5;

/// Time in which at most [`MIN_CALLS`] waiting requests are called for an instance, or this
/// gateway's part of what it takes if that is more. All gateways learn at the same time that a model
/// is loaded; without a bound, those of 61 gateways with a full queue each would send 15 times what
/// an engine and its queue take, before a rejection or a load tells them.
const CALL_WINDOW: Duration = Duration::from_millis(50);
/// Waiting requests called for an instance in [`CALL_WINDOW`] at least: more than usually wait for
/// one model at one of many gateways.
const MIN_CALLS: u32 = 4;

/// State of waiting at a gateway.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pub(crate) queues: AdmissionQueues,
    pub(crate) times: ServiceTimes,
    /// Instances that rejected a request as full, and when.
    rejections: HashMap<InstanceId, Timestamp>,
    /// Instances for which waiting requests were called recently: since when, and how many.
    calls: HashMap<InstanceId, (Timestamp, u32)>,
}

/// Place of a request in its queue, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFacts {
    /// Number of requests ahead of it when it was last evaluated.
    pub ahead: usize,
    /// Time from its arrival until it was expected to be served.
    pub expected: Duration,
    /// Number of requests that waited for the same resource.
    pub length: usize,
    /// When it began to wait.
    pub since: Timestamp,
}

/// Whether an instance can take a request now; the greatest is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Room {
    /// No: it would not be served in time.
    None,
    /// In its queue, where it is expected to be served in time.
    Queue,
    /// It has a free slot.
    Slot,
}

impl Dispatcher {
    /// Returns what this request waits for.
    pub(crate) fn resource_key(&self, ticket: &Ticket) -> ResourceKey {
        let engine = self.is_engine(&ticket.service);
        let description = &ticket.description;
        ResourceKey {
            service: ticket.service.clone(),
            model: description.model.clone().filter(|_| engine),
            adapter: description.adapter.clone().filter(|_| engine),
            software: ticket.required_software().cloned(),
        }
    }

    pub(crate) fn waiter_terms(&self, now: Timestamp, ticket: &Ticket) -> WaiterTerms {
        let due = ticket.arrived + ticket.objective();
        let prompt = ticket.description.prompt.iter();
        WaiterTerms {
            rank: ticket.rank,
            tenant: ticket.tenant.as_ref().map(|tenant| tenant.name.clone()),
            due,
            latest: ticket.first_event_deadline(),
            late: now >= due || ticket.late,
            tokens: prompt.fold(0, |sum, part| sum.saturating_add(part.tokens)),
            excluded: ticket.tried.clone(),
        }
    }

    /// Returns whether an instance can take a request now. `reserved` is the number of slots kept
    /// for requests that were called before.
    pub(crate) fn room(
        &self,
        now: Timestamp,
        instance: &Instance,
        key: &ResourceKey,
        terms: &WaiterTerms,
        reserved: u32,
    ) -> Room {
        let load = instance.load(now) + f64::from(reserved);
        let slots = f64::from(instance.record.slots.max(1));
        if load < slots {
            return Room::Slot;
        }
        match self.queue_wait(now, instance, key, terms, load) {
            Some(wait) if now + wait <= if terms.late { terms.latest } else { terms.due } => {
                Room::Queue
            }
            _ => Room::None,
        }
    }

    /// Estimates the time to the first byte in the queue of an instance; none if the request must
    /// not be queued there.
    fn queue_wait(
        &self,
        now: Timestamp,
        instance: &Instance,
        key: &ResourceKey,
        terms: &WaiterTerms,
        load: f64,
    ) -> Option<Duration> {
        let times = &self.admission.times;
        let holding = self.slot_time(instance)?;
        let engine = key.model.is_some();
        let slots = f64::from(instance.record.slots.max(1));
        let queue = load - slots + 1.0;
        // An engine serves the more urgent of its queue first.
        let ahead = match engine {
            true => queue.min(urgent_queue(
                times.urgent_fraction(&key.service, terms.rank),
            )),
            false => queue,
        };
        let is_full = queue > slots * QUEUE_PER_SLOT || ahead > slots * QUEUE_AHEAD_PER_SLOT;
        let rejected = self.admission.rejections.get(&instance.record.instance);
        let is_rejecting = rejected.is_some_and(|at| now.since(*at) < REJECTION_BACKOFF);
        let is_too_long = terms.late && ahead > slots * QUEUE_AHEAD_PER_SLOT * LATE_FRACTION;
        if is_full || is_too_long || is_rejecting {
            return None;
        }
        if times.was_more_urgent_refused(now, key, terms.rank) {
            return None;
        }
        let share = match engine {
            true => self.share_left(&key.service, terms.rank),
            false => 1.0,
        };
        let wait = Duration::from_secs_f64(ahead * holding / slots / share);
        Some(wait + self.first_byte_at_slot(now, instance, engine, terms.tokens))
    }

    /// Average seconds for which a request occupies a slot of an instance; none until one has ended.
    fn slot_time(&self, instance: &Instance) -> Option<f64> {
        self.admission.times.holding(&instance.record.service)
    }

    /// Estimates the time to the first byte once a request has a slot.
    fn first_byte_at_slot(
        &self,
        now: Timestamp,
        instance: &Instance,
        engine: bool,
        unread_tokens: u32,
    ) -> Duration {
        if !engine {
            let holding = self.slot_time(instance);
            return Duration::from_secs_f64(holding.unwrap_or_default());
        }
        let load = instance
            .load(now)
            .min(f64::from(instance.record.slots.max(1)));
        let id = &instance.record.instance;
        instance.prefill_until.since(now) + self.expected_first_byte(now, id, unread_tokens, load)
    }

    /// Removes a request from its queue to decide again.
    pub(crate) fn take_turn(&mut self, ticket: &mut Ticket) -> Turn {
        ticket.waiting = false;
        let waiter = ticket.waiter;
        let turn = waiter.and_then(|number| self.admission.queues.leave(number));
        turn.unwrap_or_default()
    }

    /// Refuses a request that had to make room for a more urgent one.
    pub(crate) fn refuse_displaced(&mut self, now: Timestamp, ticket: &mut Ticket) -> Choice {
        let retry_after = self.slot_retry_after(now, ticket, CAPACITY_RETRY_AFTER);
        self.record_refused_full(now, ticket);
        Choice::Refuse {
            reason: RefusalReason::Displaced,
            retry_after,
        }
    }

    /// Records what is ahead of a request, and when it is expected to be sent.
    pub(crate) fn record_queue_facts(
        &self,
        now: Timestamp,
        ticket: &mut Ticket,
        expected: Duration,
    ) {
        let key = self.resource_key(ticket);
        let terms = self.waiter_terms(now, ticket);
        let queues = &self.admission.queues;
        ticket.queue = Some(QueueFacts {
            ahead: queues.ahead(&key, &terms),
            expected: (now + expected).since(ticket.arrived),
            length: queues.length(&key),
            since: ticket.queue.map_or(now, |facts| facts.since),
        });
    }

    /// Waits in the queue of the request's resource; none if it is full.
    pub(crate) fn join_queue(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        turn: &Turn,
        until: Timestamp,
        expected: Duration,
    ) -> Option<Choice> {
        let key = self.resource_key(ticket);
        let terms = self.waiter_terms(now, ticket);
        self.record_queue_facts(now, ticket, expected);
        let queues = &mut self.admission.queues;
        let number = *ticket.waiter.get_or_insert_with(|| queues.next_number());
        if queues.join(number, key, terms, turn) == Joined::Full {
            return None;
        }
        ticket.waiting = true;
        Some(Choice::Wait {
            until: until.min(self.next_check(now, ticket)),
        })
    }

    /// Returns when a waiting request checks again if it is not called before.
    pub(crate) fn next_check(&self, now: Timestamp, ticket: &Ticket) -> Timestamp {
        let waiting = ticket.waiting();
        match waiting.is_some_and(|number| self.admission.queues.is_first(number)) {
            true => now + FIRST_CHECK_INTERVAL,
            false => now + CHECK_INTERVAL,
        }
    }

    /// Lets requests that waited longer, or are more urgent, go first: returns true if this one
    /// may be sent to the instance now, or else calls the one that is next.
    pub(crate) fn is_first_for(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        instance: &InstanceId,
        turn: &Turn,
    ) -> bool {
        if self.admission.queues.is_empty() || turn.called_for.as_ref() == Some(instance) {
            return true;
        }
        let key = self.resource_key(ticket);
        let terms = self.waiter_terms(now, ticket);
        if self.admission.queues.length(&key) == 0 {
            return true;
        }
        let has_waited = ticket.waiter.is_some();
        let facts = ticket.queue;
        let expected = self.expected_slot_wait(now, ticket).unwrap_or_default();
        self.record_queue_facts(now, ticket, expected);
        let queues = &mut self.admission.queues;
        let number = *ticket.waiter.get_or_insert_with(|| queues.next_number());
        if queues.join(number, key, terms, turn) == Joined::Full {
            ticket.queue = facts;
            // The bound must not leave a slot unused.
            return !self.call_next(now, instance);
        }
        let next = self.next_for(now, instance);
        let is_next = next.is_none_or(|next| next == number);
        if is_next && (!has_waited || self.count_call(now, instance)) {
            self.admission.queues.leave(number);
            ticket.queue = facts;
            return true;
        }
        // A caller whose time is over must not wait behind others.
        ticket.waiting = is_next || now < ticket.expires_at;
        if !ticket.waiting {
            self.admission.queues.leave(number);
        }
        if !is_next {
            self.call_next(now, instance);
        }
        false
    }

    /// All eligible instances are full: waits if the request can be served in time, or else refuses
    /// it at once.
    pub(crate) fn wait_or_refuse_full(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        turn: &Turn,
    ) -> Choice {
        let first_byte = self.time_at_instance(ticket);
        let due = ticket.arrived + ticket.objective();
        let latest = ticket.first_event_deadline();
        let Some(expected) = self.expected_slot_wait(now, ticket) else {
            // Nothing is known of the time that requests take here.
            let until = ticket.wait_limit();
            if now < until
                && let Some(choice) = self.join_queue(now, ticket, turn, until, Duration::ZERO)
            {
                return choice;
            }
            return self.refuse_full(now, ticket, CAPACITY_RETRY_AFTER);
        };
        let ready = now + expected.mul_f64(WAIT_MARGIN) + first_byte;
        let early = now <= ticket.wait_limit();
        if ready <= due {
            if let Some(choice) = self.join_queue(now, ticket, turn, due, expected) {
                return choice;
            }
            return self.refuse_full(now, ticket, expected);
        }
        if early || ticket.queue.is_none() {
            // It would be late, and make others late that can still be served in time.
            return self.refuse_full(now, ticket, expected);
        }
        // Estimates vary: one that was accepted keeps its place until its objective has passed.
        let is_in_time = !ticket.late && now + first_byte < due;
        if is_in_time || ready <= latest {
            ticket.late = !is_in_time;
            let until = if is_in_time { due } else { latest };
            if let Some(choice) = self.join_queue(now, ticket, turn, until, expected) {
                return choice;
            }
        }
        self.refuse_full(now, ticket, expected)
    }

    /// Estimates the time from a send to the first byte for a request that waited for its slot: what
    /// an engine's queue holds when the next is sent into it, and more urgent requests that go first.
    fn time_at_instance(&self, ticket: &Ticket) -> Duration {
        let times = &self.admission.times;
        let least = MIN_SERVING_TIME.min(ticket.objective() / 5);
        let holding = times.holding(&ticket.service).unwrap_or_default();
        if !self.is_engine(&ticket.service) {
            return least.max(Duration::from_secs_f64(holding));
        }
        let ahead = urgent_queue(times.urgent_fraction(&ticket.service, ticket.rank));
        let slots = self.engine_spec(&ticket.service);
        let slots = f64::from(slots.map_or(1, |engine| engine.slots.max(1)));
        let ahead = ahead.min(slots * QUEUE_AHEAD_PER_SLOT);
        let share = self.share_left(&ticket.service, ticket.rank);
        least.max(Duration::from_secs_f64(ahead * holding / slots / share))
    }

    /// Share of the slots that is left to a rank by more urgent ones.
    fn share_left(&self, service: &ServiceName, rank: u32) -> f64 {
        let more_urgent = match rank.checked_sub(1) {
            Some(above) => self.admission.times.urgent_fraction(service, above),
            None => 0.0,
        };
        (1.0 - more_urgent).max(LEAST_SHARE)
    }

    fn refuse_full(&mut self, now: Timestamp, ticket: &mut Ticket, expected: Duration) -> Choice {
        self.record_queue_facts(now, ticket, expected);
        let retry_after = self.slot_retry_after(now, ticket, expected);
        self.record_refused_full(now, ticket);
        Choice::Refuse {
            reason: RefusalReason::Full,
            retry_after,
        }
    }

    /// Refuses a request that has no attempts left. If instances rejected it as full, it counts as
    /// refused for lack of slots.
    pub(crate) fn refuse_without_attempts(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        engine: bool,
    ) -> Choice {
        let last = ticket.tried.last();
        let rejected = last.and_then(|last| self.admission.rejections.get(last));
        if rejected.is_none_or(|at| now.since(*at) >= REJECTION_BACKOFF) {
            return self.refuse_no_attempts(now, ticket, engine);
        }
        let interval = self.slot_interval(now, &self.resource_key(ticket), ticket.rank);
        let expected = interval.unwrap_or_default();
        self.record_queue_facts(now, ticket, expected);
        let retry_after = self.slot_retry_after(now, ticket, expected);
        self.record_refused_full(now, ticket);
        Choice::Refuse {
            reason: RefusalReason::NoAttempts,
            retry_after,
        }
    }

    /// Counts a caller that is refused for lack of slots as demand for a further replica.
    fn record_refused_full(&mut self, now: Timestamp, ticket: &Ticket) {
        let key = self.resource_key(ticket);
        self.admission.times.record_refusal(now, &key, ticket.rank);
        if let Some(key) = self.demand_key(ticket) {
            self.demand.record_refused_full(key, ticket.route.priority);
        }
    }

    /// Retry-After of a request refused for lack of slots: after those refused before it.
    fn slot_retry_after(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        expected: Duration,
    ) -> Duration {
        let key = self.resource_key(ticket);
        let ready = now + expected.max(CAPACITY_RETRY_AFTER);
        let interval = self.slot_interval(now, &key, ticket.rank);
        let interval = interval.unwrap_or_default();
        self.retry_after_in_order(now, ticket, &key, ready, interval)
    }

    /// Spreads the callers that are told to return, in the order of their refusal. One that would be
    /// told a time at which it cannot come back is not counted, as it returns at another time.
    pub(crate) fn retry_after_in_order(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        key: &ResourceKey,
        ready: Timestamp,
        interval: Duration,
    ) -> Duration {
        let times = &mut self.admission.times;
        let at = ready.max(times.promised(key) + interval);
        if at.since(now) * 3 >= ticket.deadline.since(now) {
            return ready.since(now);
        }
        times.promise(now, key, ready, interval).since(now)
    }

    /// Estimates when a slot will be free for this request, given those ahead of it. None while
    /// nothing is known of the time that requests take.
    fn expected_slot_wait(&self, now: Timestamp, ticket: &Ticket) -> Option<Duration> {
        let key = self.resource_key(ticket);
        let interval = self.slot_interval(now, &key, ticket.rank)?;
        let terms = self.waiter_terms(now, ticket);
        let ahead = self.admission.queues.ahead(&key, &terms);
        Some(interval * u32::try_from(ahead + 1).unwrap_or(u32::MAX))
    }

    /// Estimated time between two slots of a resource that become free for this gateway's requests
    /// of a rank: by what it recently sent, or an equal part of what the instances serve if that is
    /// more, less what more urgent requests use.
    fn slot_interval(&self, now: Timestamp, key: &ResourceKey, rank: u32) -> Option<Duration> {
        let holding = self.admission.times.holding(&key.service)?;
        let holders = self.instances.values().filter(|instance| {
            let record = &instance.record;
            let model = key.model.as_ref();
            record.service == key.service
                && model.is_none_or(|model| instance.holds(model, key.adapter.as_ref()))
        });
        let slots: f64 = holders
            .map(|instance| f64::from(instance.record.slots.max(1)))
            .sum();
        let share = slots / holding.max(0.001) / f64::from(self.gateways.max(1));
        let rate = share.max(self.admission.times.rate(now, key));
        let rate = rate * self.share_left(&key.service, rank);
        (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate))
    }

    /// Time between two slots of one replica that become free for all gateways.
    pub(crate) fn replica_slot_interval(&self, key: &ResourceKey) -> Duration {
        let holding = self.admission.times.holding(&key.service);
        let slots = self.engine_spec(&key.service);
        let slots = slots.map_or(1, |engine| engine.slots.max(1));
        Duration::from_secs_f64(holding.unwrap_or_default() / f64::from(slots))
    }

    /// Removes a request whose caller left, or that ended otherwise.
    pub fn leave_queue(&mut self, now: Timestamp, ticket_waiter: WaiterNumber) {
        if let Some(turn) = self.admission.queues.leave(ticket_waiter)
            && let Some(instance) = turn.called_for
        {
            self.call_next(now, &instance);
        }
    }

    /// Returns the waiting requests that must decide again now.
    pub fn take_called(&mut self) -> Vec<WaiterNumber> {
        self.admission.queues.take_called()
    }

    /// Returns when the models that requests wait for are expected to be ready.
    pub(crate) fn expected_ready_of_waiting(&self) -> Vec<(ResourceKey, Timestamp)> {
        let keys = self.admission.queues.keys();
        let expected = keys.filter_map(|key| Some((key.clone(), self.model_ready_at(key)?)));
        expected.collect()
    }

    /// Wakes the requests that wait for models that will be ready later than expected before: some
    /// can no longer be served in time.
    pub(crate) fn wake_delayed(&mut self, expected: &[(ResourceKey, Timestamp)]) {
        for (key, before) in expected {
            let ready = self.model_ready_at(key);
            if ready.is_some_and(|ready| ready.since(*before) > TOLERATED_DELAY) {
                self.admission.queues.wake_queue(key);
            }
        }
    }

    /// Number of waiting requests.
    pub fn waiting_requests(&self) -> usize {
        self.admission.queues.len()
    }

    /// Wakes all waiting requests, after a change that concerns all of them.
    pub fn wake_all_waiting(&mut self) {
        self.admission.queues.wake_all();
    }

    /// Calls the next request for an instance, if it can take one. Returns whether it did.
    pub(crate) fn call_next(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let Some(number) = self.next_for(now, instance) else {
            return false;
        };
        if !self.count_call(now, instance) {
            // It decides again after the window, as the first of its queue.
            self.admission.queues.wake(number);
            return false;
        }
        self.admission.queues.call(number, instance);
        true
    }

    /// Counts a call for an instance; false if there were too many in [`CALL_WINDOW`].
    fn count_call(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let slots = self.instances.get(instance);
        let slots = slots.map_or(1, |found| found.record.slots.max(1));
        let usable = f64::from(slots) * (1.0 + QUEUE_PER_SLOT);
        let part = usable / f64::from(self.gateways.max(1));
        let allowed = MIN_CALLS.max(part as u32);
        let calls = &mut self.admission.calls;
        calls.retain(|_, (since, _)| now.since(*since) < CALL_WINDOW);
        let (_, count) = calls.entry(instance.clone()).or_insert((now, 0));
        *count += 1;
        *count <= allowed
    }

    /// Calls the next requests for all instances, of which several may have changed.
    pub(crate) fn call_next_for_all(&mut self, now: Timestamp, changed: &[InstanceId]) {
        if self.admission.queues.is_empty() {
            return;
        }
        for instance in changed {
            self.call_next(now, instance);
        }
    }

    /// Returns the first waiting request, over all queues that an instance serves, that it can take
    /// now.
    fn next_for(&self, now: Timestamp, instance: &InstanceId) -> Option<WaiterNumber> {
        let queues = &self.admission.queues;
        if queues.is_empty() {
            return None;
        }
        let found = self.instances.get(instance)?;
        let reserved = queues.reserved(instance);
        let is_usable =
            !self.is_leaving(found) && !self.is_lost(found) && self.accepts_requests(now, instance);
        if !is_usable {
            return None;
        }
        let first = |key: &ResourceKey| {
            queues.first_for(key, instance, |terms| {
                // A waiter past its deadline is about to leave, and must not delay the others.
                now < terms.latest && self.room(now, found, key, terms, reserved) > Room::None
            })
        };
        let first_requests = self
            .queues_of(found)
            .into_iter()
            .filter_map(|key| first(&key));
        first_requests.min().map(|(_, number)| number)
    }

    /// Resources with waiting requests that an instance serves.
    fn queues_of(&self, instance: &Instance) -> Vec<ResourceKey> {
        let record = &instance.record;
        let of_service = ResourceKey {
            service: record.service.clone(),
            model: None,
            adapter: None,
            software: None,
        };
        let software = record.software.version();
        let mut keys = vec![of_service.clone()];
        if software.is_some() {
            keys.push(ResourceKey {
                software: software.cloned(),
                ..of_service.clone()
            });
        }
        for held in &record.models {
            let of_model = ResourceKey {
                model: Some(held.model.clone()),
                ..of_service.clone()
            };
            let waiting = self.admission.queues.keys_from(of_model.clone());
            let waiting = waiting
                .take_while(|key| key.service == of_model.service && key.model == of_model.model);
            let served = waiting.filter(|key| {
                let adapter = key.adapter.as_ref();
                adapter.is_none_or(|adapter| held.adapters.contains(adapter))
                    && (key.software.is_none() || key.software.as_ref() == software)
            });
            keys.extend(served.cloned());
        }
        keys
    }

    /// Records for how long a request occupied its slot, or that it was rejected for lack of one.
    pub(crate) fn record_slot_end(
        &mut self,
        now: Timestamp,
        record: &SendRecord,
        outcome: SendOutcome,
    ) {
        match (outcome, record.slot_taken_at) {
            (SendOutcome::Responded(_), Some(sent_at)) => {
                let times = &mut self.admission.times;
                times.record_holding(&record.service, now.since(sent_at));
            }
            (SendOutcome::Full, _) => {
                let rejections = &mut self.admission.rejections;
                rejections.retain(|_, at| now.since(*at) < REJECTION_BACKOFF);
                rejections.insert(record.instance.clone(), now);
            }
            _ => {}
        }
    }
}

/// Requests at least as urgent as a given one that are ahead of it in the queue of a busy engine,
/// given the fraction of all requests that are as urgent, plus the one to start next. As the engine
/// serves them first, their number is distributed as in a queue with that utilization: the
/// probability of each further one is the fraction.
fn urgent_queue(urgent_fraction: f64) -> f64 {
    if urgent_fraction >= 1.0 {
        return f64::INFINITY;
    }
    1.0 + LONGER_QUEUE_PROBABILITY.ln() / urgent_fraction.ln()
}
