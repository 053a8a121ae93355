//! The core itself.

use crate::crashes::CrashWatch;
use crate::freshness::{Freshness, FreshnessSettings, FreshnessTracker};
use crate::instances::{Instance, SendEnd, ToldLoad};
use crate::needs::Needs;
use crate::request::{Description, SendRecord, Ticket};
use crate::retry_budget::RetryBudget;
use crate::statements::Statements;
use crate::table::{IdentityError, RouteError, RoutingTable};
use millpass_limits::PermitPool;
use millpass_proto::{
    AdapterName, CrashReport, CrashUpdate, Duration, EngineSpec, GatewayReport, InstanceId,
    InstanceLoad, ModelName, ModelReadyEstimate, RouteSpec, ServiceName, TenantAccess, Timestamp,
    ZoneName,
};
use millpass_tenancy::{CreditPool, PresentedKey, QuotaTerms};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Step of the evenly covering sequence: the fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

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
    /// What the contract bears above a tenant's limit.
    pub quota: QuotaTerms,
    /// Time without confirmation of what is known after which keys count as unchecked; none to go on with them.
    pub key_lifetime: Option<Duration>,
    /// Bounds of what is answered by knowledge of some age.
    pub freshness: FreshnessSettings,
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
    /// This gateway stops before it could be answered.
    Stopping,
    /// The instances that began to run it ended.
    EndsInstances,
    /// What this gateway knows may be outdated.
    Unconfirmed,
    /// All instances that could serve it state a limit, and have no room within it now.
    Limited,
    /// All instances that could serve it have asked this gateway for rest.
    Resting,
}

impl RefusalReason {
    /// The reason in a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Cold => "cold",
            RefusalReason::Full => "full",
            RefusalReason::NoInstance => "no-instance",
            RefusalReason::NoAttempts => "no-attempts",
            RefusalReason::Stopping => "stopping",
            RefusalReason::EndsInstances => "ends-instances",
            RefusalReason::Unconfirmed => "unconfirmed",
            RefusalReason::Limited => "limited",
            RefusalReason::Resting => "resting",
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

/// The decision core of one gateway.
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) freshness: FreshnessTracker,
    pub(crate) instances: BTreeMap<InstanceId, Instance>,
    /// Instances named on the connection to the leader, until it says that it has named all of them.
    pub(crate) named: Option<BTreeSet<InstanceId>>,
    pub(crate) budgets: HashMap<ServiceName, RetryBudget>,
    /// Where each route with several targets stands in its sequence, from 0 to 1.
    pub(crate) splits: HashMap<String, f64>,
    pub(crate) needs: Needs,
    pub(crate) doubted: BTreeSet<InstanceId>,
    pub(crate) outlook: Vec<(ModelReadyEstimate, Timestamp)>,
    /// Loads as last told on the connection to the leader.
    pub(crate) told_loads: Vec<InstanceLoad>,
    /// Whether a report on that connection has said which instances are known here.
    instances_told: bool,
    pub(crate) term: u64,
    pub(crate) gateways: u32,
    pub(crate) reports: u64,
    pub(crate) credit: CreditPool,
    pub(crate) crashes: CrashWatch,
    pub(crate) statements: Statements,
    pub(crate) permits: PermitPool,
    /// When this gateway ends, once it was told to stop.
    pub(crate) stops_at: Option<Timestamp>,
}

impl Dispatcher {
    /// Starts without configuration.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher {
            credit: CreditPool::new(settings.quota),
            crashes: CrashWatch::default(),
            statements: Statements::default(),
            permits: PermitPool::new(&settings.name),
            settings,
            table: None,
            freshness: FreshnessTracker::default(),
            instances: BTreeMap::new(),
            named: Some(BTreeSet::new()),
            budgets: HashMap::new(),
            splits: HashMap::new(),
            needs: Needs::default(),
            doubted: BTreeSet::new(),
            outlook: Vec::new(),
            told_loads: Vec::new(),
            instances_told: false,
            term: 0,
            gateways: 0,
            reports: 0,
            stops_at: None,
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

    /// Models that are being loaded or waited for, as the leader last told.
    pub fn awaited_models(&self) -> usize {
        self.outlook.len()
    }

    /// Version of the document in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// This gateway was told to stop and ends at this time, whatever is in flight.
    pub fn stop_at(&mut self, end: Timestamp) {
        self.stops_at = Some(end);
    }

    /// The route of a request. That there is none is said only by a document that may be in force.
    pub fn route(
        &self,
        now: Timestamp,
        host: &str,
        path: &str,
    ) -> Result<Arc<RouteSpec>, RouteError> {
        let table = self.table.as_ref().ok_or(RouteError::NotConfigured)?;
        match self.freshness(now) {
            Freshness::Confirmed => table.route(host, path),
            Freshness::CutOff => table.route(host, path).map_err(|_| RouteError::Unconfirmed),
            Freshness::Unconfirmed => Err(RouteError::Unconfirmed),
        }
    }

    /// Whose a request is; none where callers need no key.
    pub fn identify(
        &self,
        now: Timestamp,
        route: &RouteSpec,
        key: PresentedKey,
    ) -> Result<Option<Arc<TenantAccess>>, IdentityError> {
        let Some(table) = &self.table else {
            return Err(IdentityError::Outdated);
        };
        let tenant = table.identify(route, key);
        if tenant.is_err() && self.freshness(now) != Freshness::Confirmed {
            return Err(IdentityError::Outdated);
        }
        let tenant = tenant?;
        if tenant.is_some() && self.keys_unchecked(now) {
            return Err(IdentityError::Outdated);
        }
        Ok(tenant)
    }

    /// Whether keys may have been taken away for longer than their lifetime.
    fn keys_unchecked(&self, now: Timestamp) -> bool {
        let age = self.freshness.age(now);
        let lifetime = self.settings.key_lifetime;
        lifetime.is_some_and(|lifetime| age.is_none_or(|age| age > lifetime))
    }

    /// Takes a request, of a tenant where callers need keys. `draw`, from 0 to 1, is where a route with several
    /// targets begins: from there on requests spread evenly by the targets' weights.
    pub fn begin(
        &mut self,
        now: Timestamp,
        route: Arc<RouteSpec>,
        tenant: Option<Arc<TenantAccess>>,
        description: Description,
        draw: f64,
    ) -> Ticket {
        let table = self.table.as_ref();
        let rank = table.map_or(route.priority, |table| {
            table.rank(tenant.as_deref(), &route)
        });
        let service = pick_target(&route, self.next_position(&route, draw));
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
            tenant,
            rank,
            sent_at: None,
            permit_wanted: None,
            unconfirmed_since: None,
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

    /// The next point of a sequence that covers 0 to 1 evenly at any length. Independent draws would
    /// leave the shares of some hundred requests off by several percent.
    fn next_position(&mut self, route: &RouteSpec, draw: f64) -> f64 {
        if route.targets.len() < 2 {
            return draw;
        }
        let last = self.splits.get(&route.name);
        let next = last.map_or(draw, |last| (last + GOLDEN_RATIO).fract());
        self.splits.insert(route.name.clone(), next);
        next
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
        self.note_end(now, record, end);
        let Some(found) = self.instances.get_mut(&record.instance) else {
            return;
        };
        found.ended(now, end);
        if end == SendEnd::Replaced {
            self.doubted.insert(record.instance.clone());
            self.instances.remove(&record.instance);
            return;
        }
        if end == SendEnd::Unreachable || end == SendEnd::Ended {
            self.doubted.insert(record.instance.clone());
        }
        if end == SendEnd::Misdirected {
            self.doubted.insert(record.instance.clone());
            if let Some(model) = &record.model {
                found.turned_away(now, model, record.adapter.as_ref());
            }
        }
    }

    /// What a send's end says of the instance's run, and of the request.
    fn note_end(&mut self, now: Timestamp, record: &SendRecord, end: SendEnd) {
        match end {
            SendEnd::Broken => self
                .crashes
                .broke(now, &record.instance, &record.fingerprint),
            SendEnd::Ended | SendEnd::Replaced => self.crashes.ended(now, &record.instance),
            SendEnd::Answered(_) => self.crashes.served(&record.fingerprint),
            _ => {}
        }
    }

    /// Instances at which sends broke, with their addresses: whether they still listen is to be looked at.
    pub fn take_probes(&mut self) -> Vec<(InstanceId, String)> {
        let probes = self.crashes.take_probes().into_iter();
        let address = |instance: &InstanceId| {
            let found = self.instances.get(instance)?;
            Some(found.record.address.clone())
        };
        probes
            .filter_map(|instance| Some((instance.clone(), address(&instance)?)))
            .collect()
    }

    /// An instance refuses connections: its run has ended.
    pub fn run_ended(&mut self, now: Timestamp, instance: &InstanceId) {
        self.crashes.ended(now, instance);
        self.doubted.insert(instance.clone());
        if let Some(found) = self.instances.get_mut(instance) {
            found.leave_out(now);
        }
    }

    /// How much longer a request is held back, as it ends the instances that run it.
    pub fn held_back(&self, now: Timestamp, ticket: &Ticket) -> Option<Duration> {
        self.crashes.held_for(now, &ticket.description.fingerprint)
    }

    /// What to tell the leader of runs that ended, if anything.
    pub fn crash_report(&mut self) -> Option<CrashReport> {
        self.crashes.report()
    }

    /// Takes the leader's word on requests that end instances.
    pub fn take_crashes(&mut self, now: Timestamp, update: &CrashUpdate) {
        self.crashes.update(now, update);
    }

    /// The connection to the leader ended.
    pub fn connection_ended(&mut self) {
        self.crashes.disconnected();
        self.permits.disconnected();
        self.told_loads.clear();
        self.instances_told = false;
    }

    /// Requests that the leader holds back.
    pub fn held_requests(&self) -> usize {
        self.crashes.held_count()
    }

    /// Takes the load an instance told with an answer.
    pub fn told_load(&mut self, now: Timestamp, instance: &InstanceId, load: ToldLoad) {
        if let Some(found) = self.instances.get_mut(instance) {
            found.told_load(now, load);
        }
    }

    /// Whether a report should be sent at once.
    pub fn is_report_urgent(&self) -> bool {
        self.needs.is_urgent() || !self.doubted.is_empty() || self.crashes.is_report_due()
    }

    /// Whether the leader has answered the last report.
    pub fn is_report_answered(&self) -> bool {
        self.freshness.is_answered(self.reports)
    }

    /// The next report; counts begin anew.
    pub fn report(&mut self, now: Timestamp) -> GatewayReport {
        self.reports += 1;
        let report = GatewayReport {
            gateway: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            sequence: self.reports,
            version: self.version(),
            demand: self.needs.take(),
            inconsistent: std::mem::take(&mut self.doubted).into_iter().collect(),
            in_flight: self.in_flight_by_instance(),
            as_of: self.freshness.as_of(),
            known_instance_digests: self.instances_to_tell(),
        };
        self.freshness.reported(now, &report);
        report
    }

    /// Digests of the known instances' records, once on each connection: the leader names only what differs.
    fn instances_to_tell(&mut self) -> Vec<u64> {
        if std::mem::replace(&mut self.instances_told, true) {
            return Vec::new();
        }
        let instances = self.instances.values();
        instances.map(|instance| instance.digest).collect()
    }

    fn in_flight_by_instance(&mut self) -> Vec<InstanceLoad> {
        let loads = self.instances.iter_mut().filter_map(|(id, instance)| {
            let in_flight = instance.report();
            (in_flight > 0).then(|| InstanceLoad {
                instance: id.clone(),
                in_flight,
            })
        });
        loads.collect()
    }

    pub(crate) fn engine_spec(&self, service: &ServiceName) -> Option<&EngineSpec> {
        let table = self.table.as_ref()?;
        table.service(service)?.engine.as_ref()
    }

    pub(crate) fn is_engine(&self, service: &ServiceName) -> bool {
        self.engine_spec(service).is_some()
    }

    pub(crate) fn need_key(
        &self,
        ticket: &Ticket,
    ) -> Option<(ServiceName, ModelName, Option<AdapterName>)> {
        let model = ticket.description.model.clone()?;
        let adapter = ticket.description.adapter.clone();
        Some((ticket.service.clone(), model, adapter))
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
