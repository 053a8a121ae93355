//! Which instance a request is sent to, whether it waits, or is refused.

use crate::dispatcher::{Choice, Dispatcher, RefusalReason};
use crate::freshness::Freshness;
use crate::instances::Instance;
use crate::prompts::{Beginning, all_tokens, beginnings, rendezvous};
use crate::request::Ticket;
use crate::retry_budget::BudgetTerms;
use millpass_proto::{Duration, InstanceId, RequestFingerprint, Timestamp, WeightsSource};

/// Time after which a request that still waits notes its need again.
pub(crate) const NEED_REPEAT: Duration = Duration::from_millis(400);
/// Time added to an estimated load before a caller is told to come back.
const READY_MARGIN: Duration = Duration::from_millis(60);
/// Estimated time of an adapter's load, from need to serving.
const ADAPTER_WAIT: Duration = Duration::from_millis(60);
/// Estimated time from a need to the beginning of a load: reports, and room to be made.
const LOAD_LEAD: Duration = Duration::from_millis(350);
/// When a caller refused for lack of room is told to come back.
pub(crate) const ROOM_WAIT: Duration = Duration::from_millis(250);
/// Time that must be left to serve a request that waits for a load.
const SERVING_TIME: Duration = Duration::from_millis(250);
/// Time that must be left before this gateway's end to begin to serve a request that has waited: an answer
/// that is cut may have run.
const STOPPING_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a request waits while what this gateway knows is not confirmed: a new leader, or a majority of
/// the members, usually answers within it.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(300);
/// When a caller refused for that is told to come back; it may meet another gateway.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);
/// Cost of sending to another zone, in milliseconds.
const OTHER_ZONE_COST: f64 = 5.0;
/// Cost of a certain failure, in milliseconds.
const FAILURE_COST: f64 = 1_500.0;
/// Cost of an instance filled to its slots, in milliseconds.
const FULL_COST: f64 = 120.0;
/// Cost of each request that waits at an engine for its prompt to be read, in milliseconds.
const WAITING_REQUEST_COST: f64 = 60.0;
/// Cost of each request at an engine, in milliseconds.
const ENGINE_REQUEST_COST: f64 = 3.0;
/// Share of a part's tokens that count as read where all gateways would send it: between nothing, which
/// spreads each part over all replicas, and all, which would outweigh what a gateway knows.
const AGREED_SHARE: f64 = 0.5;

impl Dispatcher {
    /// Decides what to do with a request now. A send is noted as begun.
    pub fn choose(&mut self, now: Timestamp, ticket: &mut Ticket) -> Choice {
        if let Some(retry_after) = self.quarantined_for(now, ticket) {
            return Choice::Refuse {
                reason: RefusalReason::Quarantined,
                retry_after,
            };
        }
        if self.freshness_on_arrival(now) == Freshness::Unconfirmed {
            return unconfirmed(now, ticket);
        }
        ticket.unconfirmed_since = None;
        let engine = self.is_engine(&ticket.service);
        if ticket.sends > 0 && !self.may_repeat(now, ticket) {
            return self.without_attempts(now, ticket, engine);
        }
        let candidates = self.candidates(now, ticket, engine);
        if candidates.open.is_empty() {
            if !candidates.closed.is_empty() {
                return self.without_open(now, ticket, engine, &candidates.closed);
            }
            return self.without_candidates(now, ticket, engine);
        }
        let hashes = beginnings(&ticket.description);
        let apart = self.crashes.is_suspect(&ticket.description.fingerprint);
        let best = candidates
            .open
            .iter()
            .filter_map(|instance| {
                let found = self.instances.get(instance)?;
                let load = found.load(now);
                let room = load < f64::from(found.record.slots.max(1));
                let cost = match apart {
                    true => apart_cost(&ticket.description.fingerprint, instance),
                    false => self.cost(now, found, engine, &hashes),
                };
                let limited = self.permits.rate(instance).is_some();
                Some((room, limited, cost, instance))
            })
            .min_by(|left, right| {
                // An instance in need is spared while another has room.
                let spared = right.0.cmp(&left.0).then(left.1.cmp(&right.1));
                spared.then(left.2.total_cmp(&right.2))
            });
        let Some((room, _, _, instance)) = best else {
            return self.without_candidates(now, ticket, engine);
        };
        if !room {
            return self.without_room(now, ticket);
        }
        let instance = instance.clone();
        if ticket.sends > 0 {
            self.take_repeat(now, ticket);
        }
        self.note_send(now, ticket, &instance, &hashes)
    }

    /// Whether the route's attempts and the budget allow one more send.
    fn may_repeat(&mut self, now: Timestamp, ticket: &Ticket) -> bool {
        if ticket.sends >= ticket.route.maximum_attempts.max(1) {
            return false;
        }
        let terms = self.budget_terms();
        let budget = self.budgets.entry(ticket.service.clone()).or_default();
        budget.has_room(now, &terms)
    }

    fn take_repeat(&mut self, now: Timestamp, ticket: &Ticket) {
        let terms = self.budget_terms();
        let budget = self.budgets.entry(ticket.service.clone()).or_default();
        budget.take(now, &terms);
    }

    fn budget_terms(&self) -> BudgetTerms {
        BudgetTerms {
            window: self.settings.retry_window,
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            gateways: self.gateways,
        }
    }

    /// Instances that could serve the request. Of those that take requests now, some that could not be reached
    /// lately come in only when there is no other.
    fn candidates(&self, now: Timestamp, ticket: &Ticket, engine: bool) -> Candidates {
        let untried = |instance: &&Instance| !ticket.tried.contains(&instance.record.instance);
        let fit = self.fit(now, ticket, engine).filter(untried);
        let (open, closed): (Vec<&Instance>, Vec<&Instance>) =
            fit.partition(|instance| self.is_open(now, &instance.record.instance));
        let reachable = open.iter().filter(|instance| !instance.is_left_out(now));
        let reachable = names(reachable);
        Candidates {
            open: match reachable.is_empty() {
                true => names(open.iter()),
                false => reachable,
            },
            closed: names(closed.iter()),
        }
    }

    /// Instances that could serve the request, were it new.
    pub(crate) fn fit(
        &self,
        now: Timestamp,
        ticket: &Ticket,
        engine: bool,
    ) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| {
            let record = &instance.record;
            record.service == ticket.service
                && !self.is_leaving(instance)
                && (!engine || holds_for(now, instance, ticket))
        })
    }

    /// Whether an instance leaves, by what it announced or by what it stated in an answer.
    fn is_leaving(&self, instance: &Instance) -> bool {
        let record = &instance.record;
        record.draining || self.statements.is_leaving(&record.instance)
    }

    /// Expected time to the first byte, in milliseconds, with costs that stand for risks.
    fn cost(&self, now: Timestamp, instance: &Instance, engine: bool, hashes: &[Beginning]) -> f64 {
        let load = instance.load(now);
        let fill = load / f64::from(instance.record.slots.max(1));
        let mut cost = FULL_COST * fill * fill + FAILURE_COST * instance.failures(now);
        if instance.record.zone != self.settings.zone {
            cost += OTHER_ZONE_COST;
        }
        if !engine {
            let work = instance.answer_millis.max(1.0);
            return cost + work * (1.0 + load);
        }
        let (known, unknown) = instance.prompts.split(hashes);
        let unread = f64::from(all_tokens(unknown)) - agreed_tokens(instance, known, unknown);
        let reading = instance.reading_until.since(now).as_secs_f64() * 1_000.0;
        let waiting = instance.waiting(now) * WAITING_REQUEST_COST;
        let reading = reading.max(waiting);
        cost + reading + unread / self.settings.prompt_tokens_per_milli + load * ENGINE_REQUEST_COST
    }

    fn note_send(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        instance: &InstanceId,
        hashes: &[Beginning],
    ) -> Choice {
        let rate = self.settings.prompt_tokens_per_milli;
        let key = self.need_key(ticket);
        let mut address = String::new();
        let mut unread = 0;
        if let Some(found) = self.instances.get_mut(instance) {
            unread = all_tokens(found.prompts.split(hashes).1);
            let reading = Duration::from_secs_f64(f64::from(unread) / rate / 1_000.0);
            found.reading_until = found.reading_until.max(now) + reading;
            found.prompts.note(now, hashes);
            found.in_flight += 1;
            address.clone_from(&found.record.address);
        }
        if let Some(key) = key {
            self.needs.sent(key, unread);
        }
        self.unwant_permit(ticket);
        self.permits.record_send(now, instance, self.gateways);
        ticket.tried.push(instance.clone());
        ticket.sends += 1;
        ticket.sent_at = Some(now);
        Choice::Send {
            instance: instance.clone(),
            address,
        }
    }

    /// All that could serve it are full: a short wait, then an early refusal.
    fn without_room(&self, now: Timestamp, ticket: &Ticket) -> Choice {
        let until = ticket.patient_until();
        if now < until {
            return Choice::Wait {
                until: until.min(now + Duration::from_millis(10)),
            };
        }
        Choice::Refuse {
            reason: RefusalReason::Full,
            retry_after: ROOM_WAIT,
        }
    }

    pub(crate) fn without_candidates(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        engine: bool,
    ) -> Choice {
        if ticket.sends > 0 && !engine {
            return self.without_attempts(now, ticket, engine);
        }
        if !engine || ticket.description.model.is_none() {
            let until = ticket.patient_until();
            if now < until {
                return Choice::Wait { until };
            }
            return Choice::Refuse {
                reason: RefusalReason::NoInstance,
                retry_after: ROOM_WAIT,
            };
        }
        self.note_need(now, ticket);
        if !self.is_coming(ticket) && self.are_holders_closed(now, ticket) {
            return self.without_attempts(now, ticket, engine);
        }
        self.wait_for_load(now, ticket)
    }

    pub(crate) fn note_need(&mut self, now: Timestamp, ticket: &mut Ticket) {
        if ticket
            .need_noted
            .is_some_and(|at| now.since(at) < NEED_REPEAT)
        {
            return;
        }
        ticket.need_noted = Some(now);
        if let Some(key) = self.need_key(ticket) {
            self.needs.unserved(key, ticket.route.priority);
        }
    }

    /// Waits when the load ends within the objective. Otherwise refuses early and says when to come
    /// back, if the caller then still has time; else waits as long as the caller may be served.
    pub(crate) fn wait_for_load(&self, now: Timestamp, ticket: &Ticket) -> Choice {
        let ready = self.ready_at(now, ticket) + READY_MARGIN;
        let come_back = ready.since(now);
        let refusal = Choice::Refuse {
            reason: RefusalReason::Cold,
            retry_after: come_back,
        };
        let on_time = ticket.arrived + ticket.objective() > ready + SERVING_TIME;
        let in_time = ticket.leaves_at() > ready + SERVING_TIME;
        if self.stops_at.is_some_and(|end| ready + STOPPING_TIME > end) {
            return Choice::Refuse {
                reason: RefusalReason::Stopping,
                retry_after: ROOM_WAIT,
            };
        }
        let early = now <= ticket.patient_until();
        let comes_back = come_back * 3 < ticket.deadline.since(now);
        if !in_time || (early && comes_back && !on_time) {
            return refusal;
        }
        Choice::Wait {
            until: ticket.leaves_at().min(now + NEED_REPEAT),
        }
    }

    /// When the model, or adapter, is expected to serve.
    fn ready_at(&self, now: Timestamp, ticket: &Ticket) -> Timestamp {
        let model = ticket.description.model.as_ref();
        let adapter = ticket.description.adapter.as_ref();
        let soonest = self
            .outlook
            .iter()
            .filter(|(outlook, _)| {
                outlook.service == ticket.service && Some(&outlook.model) == model
            })
            .map(|(_, ready)| *ready)
            .min();
        if let Some(ready) = soonest {
            return ready.max(now);
        }
        let held = self.instances.values().any(|instance| {
            instance.record.service == ticket.service
                && !self.is_leaving(instance)
                && model.is_some_and(|model| instance.holds(model, None))
        });
        if held && adapter.is_some() {
            return now + ADAPTER_WAIT;
        }
        now + LOAD_LEAD + self.shortest_load(ticket)
    }

    fn shortest_load(&self, ticket: &Ticket) -> Duration {
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
        let has = |copies: &dyn Fn(&Instance) -> bool| {
            self.instances
                .values()
                .any(|instance| instance.record.service == ticket.service && copies(instance))
        };
        let wanted = &specification.name;
        let source = if has(&|instance| instance.record.in_memory.contains(wanted)) {
            WeightsSource::Memory
        } else if has(&|instance| instance.record.on_disk.contains(wanted)) {
            WeightsSource::Disk
        } else {
            WeightsSource::Store
        };
        specification.load_time(source)
    }
}

/// Cost of an instance for a request that two ends count against. Each such request has an order of its own of
/// the instances, the same at every gateway: two that met at both ends part ways, and the next end tells which of
/// them it was.
fn apart_cost(request: &RequestFingerprint, instance: &InstanceId) -> f64 {
    rendezvous(request.low, &instance.0) as f64
}

/// Tokens of a prompt's shared parts that count as read at an instance though this gateway has not sent them
/// there: gateways that know nothing of a part agree on where it goes. The last part is the request's own.
fn agreed_tokens(instance: &Instance, known: &[Beginning], unknown: &[Beginning]) -> f64 {
    let parts = known.len() + unknown.len();
    let shared = parts.saturating_sub(1).max(1).saturating_sub(known.len());
    unknown
        .iter()
        .take(shared)
        .map(|part| {
            let rank = rendezvous(part.hash, &instance.record.instance.0) as f64 / u64::MAX as f64;
            f64::from(part.tokens) * AGREED_SHARE * rank
        })
        .sum()
}

/// Instances that could serve a request.
struct Candidates {
    /// Those that take requests now.
    open: Vec<InstanceId>,
    /// Those that take none now, by what they have stated themselves.
    closed: Vec<InstanceId>,
}

fn names<'a>(instances: impl Iterator<Item = &'a &'a Instance>) -> Vec<InstanceId> {
    let records = instances.map(|instance| &instance.record);
    records.map(|record| record.instance.clone()).collect()
}

fn holds_for(now: Timestamp, instance: &Instance, ticket: &Ticket) -> bool {
    let adapter = ticket.description.adapter.as_ref();
    match &ticket.description.model {
        Some(model) => instance.holds(model, adapter) && !instance.lacks(now, model, adapter),
        None => true,
    }
}

/// An instance may have left since: nothing is sent to any. The request waits a moment, then is refused.
fn unconfirmed(now: Timestamp, ticket: &mut Ticket) -> Choice {
    let since = *ticket.unconfirmed_since.get_or_insert(now);
    let until = (since + UNCONFIRMED_WAIT).min(ticket.expires_at);
    if now < until {
        return Choice::Wait { until };
    }
    Choice::Refuse {
        reason: RefusalReason::Unconfirmed,
        retry_after: UNCONFIRMED_RETRY,
    }
}
