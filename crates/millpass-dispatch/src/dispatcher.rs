//! The core itself.

use crate::instances::{Instance, SendEnd, ToldLoad};
use crate::needs::Needs;
use crate::prompts::{beginnings, rendezvous};
use crate::request::{Description, SendRecord, Ticket};
use crate::retry_budget::{BudgetTerms, RetryBudget};
use crate::table::{RouteError, RoutingTable};
use millpass_proto::{
    AdapterName, Duration, EngineSpec, GatewayReport, GatewayUpdate, InstanceId, ModelName,
    ModelOutlook, RouteSpec, ServiceName, Timestamp, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Time after which a request that still waits notes its need again.
const NEED_REPEAT: Duration = Duration::from_millis(400);
/// Time added to an estimated load before a caller is told to come back.
const READY_MARGIN: Duration = Duration::from_millis(60);
/// Estimated time of an adapter's load, from need to serving.
const ADAPTER_WAIT: Duration = Duration::from_millis(60);
/// Estimated time from a need to the beginning of a load: reports, and room to be made.
const LOAD_LEAD: Duration = Duration::from_millis(350);
/// When a caller refused for lack of room is told to come back.
const ROOM_WAIT: Duration = Duration::from_millis(250);
/// Time that must be left to serve a request that waits for a load.
const SERVING_TIME: Duration = Duration::from_millis(250);
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

/// Settings of the core.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Name of this gateway, unique in the deployment.
    pub name: String,
    /// Its zone; instances there are preferred.
    pub zone: ZoneName,
    /// Repeats a service may get for each request, over all gateways.
    pub retry_ratio: f64,
    /// Repeats a service may get beyond that in a window, over all gateways.
    pub retry_slack: f64,
    /// Length of the window of the retry budget.
    pub retry_window: Duration,
    /// Prompt tokens an engine reads in a millisecond.
    pub prompt_tokens_per_milli: f64,
    /// How long a caller without a stated deadline waits.
    pub default_patience: Duration,
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its model, or adapter, is not loaded anywhere.
    Cold,
    /// All instances that could serve it are full.
    Full,
    /// No instance of the service is known.
    NoInstance,
    /// The retry budget or the route's attempts are used up.
    NoAttempts,
}

impl RefusalReason {
    /// The reason in a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Cold => "cold",
            RefusalReason::Full => "full",
            RefusalReason::NoInstance => "no-instance",
            RefusalReason::NoAttempts => "no-attempts",
        }
    }
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this instance; its start was noted.
    Send {
        /// Instance.
        instance: InstanceId,
        /// IP address and port.
        address: String,
    },
    /// Ask again when something changes, or at this time.
    Wait {
        /// When to ask again at the latest.
        until: Timestamp,
    },
    /// Refuse it; it has not run.
    Refuse {
        /// Reason.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// Version of the document that came into force.
    pub version: Option<u64>,
    /// Instances that are new or changed.
    pub changed: usize,
    /// Instances that are gone.
    pub removed: usize,
    /// The update was of an older leader and ignored.
    pub stale: bool,
}

/// The decision core of one gateway.
pub struct Dispatcher {
    settings: DispatchSettings,
    table: Option<Arc<RoutingTable>>,
    /// What is held came from a member that does not lead.
    provisional: bool,
    instances: BTreeMap<InstanceId, Instance>,
    budgets: HashMap<ServiceName, RetryBudget>,
    needs: Needs,
    doubted: BTreeSet<InstanceId>,
    outlook: Vec<(ModelOutlook, Timestamp)>,
    term: u64,
    gateways: u32,
    reports: u64,
}

impl Dispatcher {
    /// Starts without configuration.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher {
            settings,
            table: None,
            provisional: false,
            instances: BTreeMap::new(),
            budgets: HashMap::new(),
            needs: Needs::default(),
            doubted: BTreeSet::new(),
            outlook: Vec::new(),
            term: 0,
            gateways: 0,
            reports: 0,
        }
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// Instances known.
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// Takes an update of the leader. A document older than the one in force is never taken.
    pub fn update(&mut self, now: Timestamp, update: GatewayUpdate) -> UpdateOutcome {
        let held = self.table.as_ref().map_or(0, |table| table.version());
        let version = update
            .document
            .as_ref()
            .map_or(0, |document| document.version);
        let late = update.provisional && held > 0 && (!self.provisional || version <= held);
        if update.term < self.term || late {
            return UpdateOutcome {
                stale: true,
                ..UpdateOutcome::default()
            };
        }
        self.term = update.term;
        self.gateways = update.gateways;
        self.provisional = update.provisional;
        if update.provisional {
            // Another member's newer copy takes the place of an older one.
            self.instances.clear();
        }
        let mut outcome = UpdateOutcome::default();
        if let Some(document) = update.document
            && document.version > held
        {
            outcome.version = Some(document.version);
            self.table = Some(Arc::new(RoutingTable::new(document)));
        }
        outcome.changed = update.instances.len();
        if update.first && update.complete {
            let named: BTreeSet<&InstanceId> = update
                .instances
                .iter()
                .map(|record| &record.instance)
                .collect();
            let before = self.instances.len();
            self.instances
                .retain(|instance, _| named.contains(instance));
            outcome.removed = before - self.instances.len();
        }
        for record in update.instances {
            match self.instances.get_mut(&record.instance) {
                Some(instance) => instance.update(record),
                None => {
                    let instance = record.instance.clone();
                    self.instances.insert(instance, Instance::new(record));
                }
            }
        }
        for instance in &update.removed {
            outcome.removed += usize::from(self.instances.remove(instance).is_some());
        }
        self.outlook = update
            .outlook
            .into_iter()
            .map(|outlook| {
                let ready = now + Duration::from_millis(outlook.ready_in_millis);
                (outlook, ready)
            })
            .collect();
        outcome
    }

    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<RouteSpec>, RouteError> {
        let table = self.table.as_ref().ok_or(RouteError::NotConfigured)?;
        table.route(host, path)
    }

    /// Takes a request. `draw`, from 0 to 1, picks one of several targets by their weights.
    pub fn begin(
        &mut self,
        now: Timestamp,
        route: Arc<RouteSpec>,
        description: Description,
        draw: f64,
    ) -> Ticket {
        let service = pick_target(&route, draw);
        let patience = description
            .patience
            .unwrap_or(self.settings.default_patience);
        let deadline = now + patience;
        let timeout = Duration::from_millis(route.timeout_millis);
        let ticket = Ticket {
            give_up: deadline.min(now + timeout),
            route,
            service,
            arrived: now,
            deadline,
            tried: Vec::new(),
            sends: 0,
            need_noted: None,
            sent_at: None,
            description,
        };
        let window = self.settings.retry_window;
        self.budgets
            .entry(ticket.service.clone())
            .or_default()
            .request(now, window);
        if let Some(key) = self.need_key(&ticket) {
            self.needs.arrived(key);
        }
        ticket
    }

    /// Decides what to do with a request now. A send is noted as begun.
    pub fn choose(&mut self, now: Timestamp, ticket: &mut Ticket) -> Choice {
        if ticket.sends > 0 && !self.may_repeat(now, ticket) {
            return Choice::Refuse {
                reason: RefusalReason::NoAttempts,
                retry_after: ROOM_WAIT,
            };
        }
        let engine = self.is_engine(&ticket.service);
        let candidates = self.candidates(now, ticket, engine);
        if candidates.is_empty() {
            return self.without_candidates(now, ticket, engine);
        }
        let hashes = beginnings(&ticket.description);
        let best = candidates
            .iter()
            .filter_map(|instance| {
                let found = self.instances.get(instance)?;
                let load = found.load(now);
                let room = load < f64::from(found.record.slots.max(1));
                Some((room, self.cost(now, found, engine, &hashes), instance))
            })
            .min_by(|left, right| right.0.cmp(&left.0).then(left.1.total_cmp(&right.1)));
        let Some((room, _, instance)) = best else {
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

    /// How a send ended. Each send that [`Dispatcher::choose`] noted ends once.
    pub fn ended(&mut self, now: Timestamp, record: &SendRecord, end: SendEnd) {
        if let Some(model) = &record.model {
            let key = (
                record.service.clone(),
                model.clone(),
                record.adapter.clone(),
            );
            self.needs.ended(key);
        }
        let Some(found) = self.instances.get_mut(&record.instance) else {
            return;
        };
        found.ended(now, end);
        if end == SendEnd::Replaced {
            self.doubted.insert(record.instance.clone());
            self.instances.remove(&record.instance);
            return;
        }
        if end == SendEnd::Unreachable {
            self.doubted.insert(record.instance.clone());
        }
        if end == SendEnd::Misdirected {
            self.doubted.insert(record.instance.clone());
            if let Some(model) = &record.model {
                found.turned_away(now, model, record.adapter.as_ref());
            }
        }
    }

    /// Takes the load an instance told with an answer.
    pub fn told_load(&mut self, now: Timestamp, instance: &InstanceId, load: ToldLoad) {
        if let Some(found) = self.instances.get_mut(instance) {
            found.told_load(now, load);
        }
    }

    /// Whether a report should be sent at once.
    pub fn is_report_urgent(&self) -> bool {
        self.needs.is_urgent() || !self.doubted.is_empty()
    }

    /// The next report; counts begin anew.
    pub fn report(&mut self) -> GatewayReport {
        self.reports += 1;
        GatewayReport {
            gateway: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            sequence: self.reports,
            version: match &self.table {
                Some(table) if !self.provisional => table.version(),
                _ => 0,
            },
            needs: self.needs.take(),
            doubted: std::mem::take(&mut self.doubted).into_iter().collect(),
        }
    }

    fn engine_spec(&self, service: &ServiceName) -> Option<&EngineSpec> {
        let table = self.table.as_ref()?;
        table.service(service)?.engine.as_ref()
    }

    fn is_engine(&self, service: &ServiceName) -> bool {
        self.engine_spec(service).is_some()
    }

    fn need_key(&self, ticket: &Ticket) -> Option<(ServiceName, ModelName, Option<AdapterName>)> {
        let model = ticket.description.model.clone()?;
        let adapter = ticket.description.adapter.clone();
        Some((ticket.service.clone(), model, adapter))
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

    /// Instances that could serve the request. Those that could not be reached lately come in only
    /// when there is no other.
    fn candidates(&self, now: Timestamp, ticket: &Ticket, engine: bool) -> Vec<InstanceId> {
        let fit = |instance: &&Instance| {
            let record = &instance.record;
            record.service == ticket.service
                && !record.draining
                && !ticket.tried.contains(&record.instance)
                && (!engine || holds_for(now, instance, ticket))
        };
        let reachable: Vec<InstanceId> = self
            .instances
            .values()
            .filter(fit)
            .filter(|instance| !instance.is_left_out(now))
            .map(|instance| instance.record.instance.clone())
            .collect();
        if !reachable.is_empty() {
            return reachable;
        }
        self.instances
            .values()
            .filter(fit)
            .map(|instance| instance.record.instance.clone())
            .collect()
    }

    /// Expected time to the first byte, in milliseconds, with costs that stand for risks.
    fn cost(
        &self,
        now: Timestamp,
        instance: &Instance,
        engine: bool,
        hashes: &[(u64, u32)],
    ) -> f64 {
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
        let known = instance.prompts.known_tokens(hashes);
        let all: u32 = hashes.iter().map(|(_, tokens)| tokens).sum();
        let mut unread = f64::from(all - known);
        if known == 0
            && let Some((first, tokens)) = hashes.first()
        {
            // Gateways that know nothing of a prompt agree on where its first part goes.
            let rank = rendezvous(*first, &instance.record.instance.0) as f64 / u64::MAX as f64;
            unread -= f64::from(*tokens) * 0.5 * rank;
        }
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
        hashes: &[(u64, u32)],
    ) -> Choice {
        let rate = self.settings.prompt_tokens_per_milli;
        let key = self.need_key(ticket);
        let mut address = String::new();
        let mut unread = 0;
        if let Some(found) = self.instances.get_mut(instance) {
            let known = found.prompts.known_tokens(hashes);
            let all: u32 = hashes.iter().map(|(_, tokens)| tokens).sum();
            unread = all - known;
            let reading = Duration::from_secs_f64(f64::from(unread) / rate / 1_000.0);
            found.reading_until = found.reading_until.max(now) + reading;
            found.prompts.note(now, hashes);
            found.in_flight += 1;
            address.clone_from(&found.record.address);
        }
        if let Some(key) = key {
            self.needs.sent(key, unread);
        }
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
        let until = ticket.arrived + ticket.objective() / 5;
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

    fn without_candidates(&mut self, now: Timestamp, ticket: &mut Ticket, engine: bool) -> Choice {
        if ticket.sends > 0 && !engine {
            return Choice::Refuse {
                reason: RefusalReason::NoAttempts,
                retry_after: ROOM_WAIT,
            };
        }
        if !engine || ticket.description.model.is_none() {
            let until = ticket.arrived + ticket.objective() / 5;
            if now < until {
                return Choice::Wait { until };
            }
            return Choice::Refuse {
                reason: RefusalReason::NoInstance,
                retry_after: ROOM_WAIT,
            };
        }
        self.note_need(now, ticket);
        self.wait_for_load(now, ticket)
    }

    fn note_need(&mut self, now: Timestamp, ticket: &mut Ticket) {
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
    fn wait_for_load(&self, now: Timestamp, ticket: &Ticket) -> Choice {
        let ready = self.ready_at(now, ticket) + READY_MARGIN;
        let come_back = ready.since(now);
        let refusal = Choice::Refuse {
            reason: RefusalReason::Cold,
            retry_after: come_back,
        };
        let on_time = ticket.arrived + ticket.objective() > ready + SERVING_TIME;
        let in_time = ticket.leaves_at() > ready + SERVING_TIME;
        let early = now.since(ticket.arrived) <= ticket.objective() / 5;
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
                && !instance.record.draining
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
        let millis = if has(&|instance| instance.record.in_memory.contains(wanted)) {
            specification.memory_load_millis
        } else if has(&|instance| instance.record.on_disk.contains(wanted)) {
            specification.disk_load_millis
        } else {
            specification.load_millis
        };
        Duration::from_millis(millis)
    }
}

fn holds_for(now: Timestamp, instance: &Instance, ticket: &Ticket) -> bool {
    let adapter = ticket.description.adapter.as_ref();
    match &ticket.description.model {
        Some(model) => instance.holds(model, adapter) && !instance.lacks(now, model, adapter),
        None => true,
    }
}

fn pick_target(route: &RouteSpec, draw: f64) -> ServiceName {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut left = (draw.clamp(0.0, 1.0) * total as f64) as u64;
    for target in route.targets.iter().filter(|target| target.weight > 0) {
        let weight = u64::from(target.weight);
        if left < weight {
            return target.service.clone();
        }
        left -= weight;
    }
    let last = route.targets.iter().rev().find(|target| target.weight > 0);
    last.map_or_else(
        || ServiceName(String::new()),
        |target| target.service.clone(),
    )
}
