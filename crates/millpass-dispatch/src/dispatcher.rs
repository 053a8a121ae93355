//! The dispatcher: its settings, state and reports.

use crate::crashes::CrashTracker;
use crate::demand::DemandCounters;
use crate::freshness::{Freshness, FreshnessSettings, FreshnessTracker};
use crate::instances::{Instance, ReportedLoad, SendOutcome};
use crate::pace::PaceTable;
use crate::parts::PartSettings;
use crate::reach::{self, ReachStatement};
use crate::request::{
    ForwardTerms, Forwarded, RequestDescription, SendRecord, StreamProgress, Ticket,
};
use crate::retry_budget::RetryBudget;
use crate::statements::Statements;
use crate::table::{IdentityError, RouteError, RoutingTable};
use crate::waiting::Admission;
use millpass_limits::PermitPool;
use millpass_origins::{BegunSettings, BegunStreams, SoleVersions};
use millpass_proto::{
    AdapterName, CrashReport, CrashUpdate, Duration, EngineSpec, GatewayPeer, GatewayReport,
    InstanceId, InstanceLoad, ModelName, ModelReadyEstimate, RouteSpec, ServiceName,
    SoftwareStatement, TenantAccess, Timestamp, ZoneName,
};
use millpass_reach::{Paths, Peers, ReachSettings, RunEnds, RunProofs};
use millpass_tenancy::{CreditPool, PresentedKey, QuotaTolerance};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Step of the low-discrepancy sequence: the fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Name of this gateway, unique in the deployment.
    pub name: String,
    /// Zone of this gateway; instances in it are preferred.
    pub zone: ZoneName,
    /// Retries allowed per request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Further retries allowed per service and window, over all gateways.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Prompt tokens that an engine reads per millisecond.
    pub prompt_tokens_per_milli: f64,
    /// Timeout of callers that state no deadline.
    pub default_timeout: Duration,
    /// Tolerated excess above a tenant's limit.
    pub quota: QuotaTolerance,
    /// Time without confirmation after which keys are no longer accepted; none to accept them
    /// indefinitely.
    pub key_lifetime: Option<Duration>,
    /// Staleness limits of the configuration.
    pub freshness: FreshnessSettings,
    /// When an instance or a service counts as out of reach.
    pub reach: ReachSettings,
    /// How crashes are attributed to parts of prompts.
    pub parts: PartSettings,
    /// How origins of streams are kept and asked for.
    pub origins: BegunSettings,
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its model or adapter is not loaded anywhere.
    Cold,
    /// All instances that could serve it are full.
    Full,
    /// No instance of the service is known.
    NoInstance,
    /// The retry budget or the route's attempts are exhausted.
    NoAttempts,
    /// This gateway stops before it could respond.
    Stopping,
    /// The request is quarantined because instances crashed while running it.
    Quarantined,
    /// Its prompt has a part that crashes the instances that respond to it.
    RefusedPart,
    /// The state of this gateway may be stale.
    Unconfirmed,
    /// All instances that could serve it are at their stated limit.
    Limited,
    /// All instances that could serve it are in backoff.
    Backoff,
    /// A more urgent request took its place among the waiting requests.
    Displaced,
    /// This gateway reaches no instance that could serve it, and no other gateway took it.
    Unreachable,
    /// It could not be sent for another gateway in the time that that one allowed.
    NotStarted,
    /// Where the stream that it takes up began cannot be known at the moment.
    StreamUnconfirmed,
    /// Nobody has stated where the stream that it takes up began.
    StreamUnknown,
    /// The software version that began the stream is not known.
    StreamVersionUnknown,
    /// No instance runs the software version that began the stream.
    StreamVersionGone,
    /// The route's streams may not be taken up.
    StreamNotResumable,
}

impl RefusalReason {
    /// Returns the reason code used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Cold => "cold",
            RefusalReason::Full => "full",
            RefusalReason::NoInstance => "no-instance",
            RefusalReason::NoAttempts => "no-attempts",
            RefusalReason::Stopping => "stopping",
            RefusalReason::Quarantined => "ends-instances",
            RefusalReason::RefusedPart => "prompt-part-ends-instances",
            RefusalReason::Unconfirmed => "unconfirmed",
            RefusalReason::Limited => "limited",
            RefusalReason::Backoff => "resting",
            RefusalReason::Displaced => "displaced",
            RefusalReason::Unreachable => "unreachable",
            RefusalReason::NotStarted => "not-started",
            RefusalReason::StreamUnconfirmed => "stream-unconfirmed",
            RefusalReason::StreamUnknown => "stream-unknown",
            RefusalReason::StreamVersionUnknown => "stream-version-unknown",
            RefusalReason::StreamVersionGone => "stream-version-gone",
            RefusalReason::StreamNotResumable => "stream-not-resumable",
        }
    }

    /// Returns true if the caller may come back with the same request; otherwise it must begin anew.
    pub fn may_return(self) -> bool {
        !matches!(
            self,
            RefusalReason::StreamUnknown
                | RefusalReason::StreamVersionUnknown
                | RefusalReason::StreamVersionGone
                | RefusalReason::StreamNotResumable
        )
    }
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this instance; the send has been recorded.
    Send {
        /// Instance.
        instance: InstanceId,
        /// IP address and port.
        address: String,
    },
    /// Forward it to another gateway, as this one reaches no instance that could serve it; the start
    /// has been recorded.
    Forward {
        /// Gateway to forward to.
        peer: Box<GatewayPeer>,
    },
    /// Choose again when something changes, at the latest at `until`.
    Wait {
        /// When to choose again at the latest.
        until: Timestamp,
    },
    /// Refuse it; it has not run.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// When the caller may retry.
        retry_after: Duration,
    },
}

/// Decides for one gateway where requests go, and builds its reports to the leader. No I/O, clock
/// or threads.
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) freshness: FreshnessTracker,
    pub(crate) instances: BTreeMap<InstanceId, Instance>,
    /// Instances listed on the connection to the leader, until it has listed all of them.
    pub(crate) listed: Option<BTreeSet<InstanceId>>,
    pub(crate) budgets: HashMap<ServiceName, RetryBudget>,
    /// Position of each route with several targets in its sequence, from 0 to 1.
    pub(crate) split_positions: HashMap<String, f64>,
    pub(crate) demand: DemandCounters,
    pub(crate) inconsistent: BTreeSet<InstanceId>,
    pub(crate) ready_estimates: Vec<(ModelReadyEstimate, Timestamp)>,
    /// Last loads received on the connection to the leader.
    pub(crate) fleet_loads: Vec<InstanceLoad>,
    /// Set once the known instances have been reported on this connection.
    pub(crate) instances_reported: bool,
    pub(crate) term: u64,
    pub(crate) gateways: u32,
    pub(crate) reports: u64,
    pub(crate) credit: CreditPool,
    pub(crate) crashes: CrashTracker,
    pub(crate) statements: Statements,
    pub(crate) permits: PermitPool,
    pub(crate) pace: PaceTable,
    pub(crate) admission: Admission,
    pub(crate) paths: Paths,
    pub(crate) peers: Peers,
    pub(crate) run_ends: RunEnds,
    pub(crate) runs: RunProofs,
    /// Ended runs to be logged.
    pub(crate) ended_runs: Vec<InstanceId>,
    pub(crate) reach_statement: ReachStatement,
    pub(crate) origins: BegunStreams,
    pub(crate) sole_versions: SoleVersions,
    /// Newest document version that another gateway has shown to a caller of this one.
    pub(crate) shown_version: u64,
    /// When this gateway stops; none unless it is shutting down.
    pub(crate) stops_at: Option<Timestamp>,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher {
            credit: CreditPool::new(settings.quota),
            crashes: CrashTracker::new(settings.parts),
            statements: Statements::default(),
            permits: PermitPool::new(&settings.name),
            paths: Paths::new(settings.reach, reach::sample_offset(&settings.name)),
            peers: Peers::new(settings.zone.clone()),
            run_ends: RunEnds::default(),
            runs: RunProofs::default(),
            ended_runs: Vec::new(),
            reach_statement: ReachStatement::default(),
            origins: BegunStreams::new(settings.origins),
            sole_versions: SoleVersions::default(),
            shown_version: 0,
            settings,
            table: None,
            freshness: FreshnessTracker::default(),
            instances: BTreeMap::new(),
            listed: Some(BTreeSet::new()),
            budgets: HashMap::new(),
            split_positions: HashMap::new(),
            demand: DemandCounters::default(),
            inconsistent: BTreeSet::new(),
            ready_estimates: Vec::new(),
            fleet_loads: Vec::new(),
            instances_reported: false,
            term: 0,
            gateways: 0,
            reports: 0,
            pace: PaceTable::default(),
            admission: Admission::default(),
            stops_at: None,
        }
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// Number of known instances.
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// Number of models that are loading or waiting to load, as last received from the leader.
    pub fn pending_models(&self) -> usize {
        self.ready_estimates.len()
    }

    /// Returns the version of the document in force; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Sets the time at which this gateway stops, whatever is in flight.
    pub fn stop_at(&mut self, end: Timestamp) {
        self.stops_at = Some(end);
        self.wake_all_waiting();
    }

    /// Returns the route of a request. [`RouteError::NoRoute`] is returned only if the document is
    /// confirmed to be in force.
    pub fn route(
        &self,
        now: Timestamp,
        host: &str,
        path: &str,
    ) -> Result<Arc<RouteSpec>, RouteError> {
        let table = self.table.as_ref().ok_or(RouteError::NotConfigured)?;
        match self.freshness(now) {
            Freshness::Confirmed => table.route(host, path),
            Freshness::Isolated => table.route(host, path).map_err(|_| RouteError::Unconfirmed),
            Freshness::Unconfirmed => Err(RouteError::Unconfirmed),
        }
    }

    /// Returns the tenant of a request; none where callers need no key.
    pub fn identify(
        &self,
        now: Timestamp,
        route: &RouteSpec,
        key: PresentedKey,
    ) -> Result<Option<Arc<TenantAccess>>, IdentityError> {
        let Some(table) = &self.table else {
            return Err(IdentityError::Unverifiable);
        };
        let tenant = table.identify(route, key);
        if tenant.is_err() && self.freshness(now) != Freshness::Confirmed {
            return Err(IdentityError::Unverifiable);
        }
        let tenant = tenant?;
        if tenant.is_some() && self.are_keys_unverified(now) {
            return Err(IdentityError::Unverifiable);
        }
        Ok(tenant)
    }

    /// Returns true if keys may have been revoked longer ago than `key_lifetime`.
    fn are_keys_unverified(&self, now: Timestamp) -> bool {
        let age = self.freshness.age(now);
        let lifetime = self.settings.key_lifetime;
        lifetime.is_some_and(|lifetime| age.is_none_or(|age| age > lifetime))
    }

    /// Begins a request; `tenant` is none where callers need no key. `draw`, from 0 to 1, is the
    /// start of the sequence that spreads a route's requests over its targets by weight.
    pub fn begin(
        &mut self,
        now: Timestamp,
        route: Arc<RouteSpec>,
        tenant: Option<Arc<TenantAccess>>,
        description: RequestDescription,
        draw: f64,
    ) -> Ticket {
        let service = pick_target(&route, self.next_position(&route, draw));
        let mut ticket = self.new_ticket(now, route, service, tenant, description);
        let window = self.settings.retry_window;
        self.budgets
            .entry(ticket.service.clone())
            .or_default()
            .record_request(now, window);
        // The gateway that it is forwarded to counts it.
        if !self.paths.is_service_lost(&ticket.service) {
            self.record_arrival(&mut ticket);
        }
        ticket
    }

    /// Begins a request of another gateway, which has recorded it in its retry budget.
    pub fn begin_forwarded(
        &mut self,
        now: Timestamp,
        route: Arc<RouteSpec>,
        tenant: Option<Arc<TenantAccess>>,
        description: RequestDescription,
        terms: ForwardTerms,
    ) -> Ticket {
        let service = match is_target(&route, &terms.service) {
            true => terms.service,
            false => pick_target(&route, 0.0),
        };
        let arrived = now.earlier(terms.elapsed);
        let mut ticket = self.new_ticket(arrived, route, service, tenant, description);
        ticket.tried = terms.tried;
        ticket.forwarded = Some(Forwarded {
            from: terms.from,
            start_by: terms.start_within.map(|time| now + time),
        });
        if terms.is_arrival {
            self.record_arrival(&mut ticket);
        }
        ticket
    }

    fn record_arrival(&mut self, ticket: &mut Ticket) {
        ticket.is_arrival_recorded = true;
        if let Some(key) = self.demand_key(ticket) {
            self.demand.record_arrival(key);
        }
    }

    fn new_ticket(
        &mut self,
        arrived: Timestamp,
        route: Arc<RouteSpec>,
        service: ServiceName,
        tenant: Option<Arc<TenantAccess>>,
        description: RequestDescription,
    ) -> Ticket {
        let table = self.table.as_ref();
        let rank = table.map_or(route.priority, |table| {
            table.rank(tenant.as_deref(), &route)
        });
        let timeout = description.timeout.unwrap_or(self.settings.default_timeout);
        let deadline = arrived + timeout;
        let explores = self.pace.explores(&service, &route);
        let route_timeout = Duration::from_millis(route.timeout_millis);
        Ticket {
            expires_at: deadline.min(arrived + route_timeout),
            route,
            service,
            arrived,
            deadline,
            tried: Vec::new(),
            sends: 0,
            demand_recorded_at: None,
            tenant,
            rank,
            credit: None,
            send_times: Vec::new(),
            sent_at: None,
            software: SoftwareStatement::default(),
            progress: StreamProgress::default(),
            explores,
            typical_millis: 0.0,
            permit_requested: None,
            unconfirmed_since: None,
            waiter: None,
            waiting: false,
            late: false,
            queued_at_instance: false,
            queue: None,
            forwarded: None,
            forwarded_to: Vec::new(),
            peers_awaited_since: None,
            is_arrival_recorded: false,
            connection_opened_at: None,
            description,
        }
    }

    /// Returns the next point of a low-discrepancy sequence over 0 to 1, which keeps the targets'
    /// shares close to their weights even for a few hundred requests. Independent draws would leave
    /// them off by several percent.
    fn next_position(&mut self, route: &RouteSpec, draw: f64) -> f64 {
        if route.targets.len() < 2 {
            return draw;
        }
        let last = self.split_positions.get(&route.name);
        let next = last.map_or(draw, |last| (last + GOLDEN_RATIO).fract());
        self.split_positions.insert(route.name.clone(), next);
        next
    }

    /// Records how a send ended. Must be called once per send started by [`Dispatcher::choose`].
    pub fn record_send_outcome(
        &mut self,
        now: Timestamp,
        record: &SendRecord,
        outcome: SendOutcome,
    ) {
        if let Some(model) = &record.model {
            let key = (
                record.service.clone(),
                model.clone(),
                record.adapter.clone(),
            );
            self.demand.record_end(key);
        }
        self.record_path_outcome(now, record, outcome);
        self.record_crash_evidence(now, record, outcome);
        self.record_slot_end(now, record, outcome);
        self.record_instance_outcome(now, record, outcome);
        self.call_next(now, &record.instance);
    }

    fn record_instance_outcome(
        &mut self,
        now: Timestamp,
        record: &SendRecord,
        outcome: SendOutcome,
    ) {
        let Some(found) = self.instances.get_mut(&record.instance) else {
            return;
        };
        found.record_send_outcome(now, outcome);
        if outcome == SendOutcome::Replaced {
            self.inconsistent.insert(record.instance.clone());
            self.instances.remove(&record.instance);
            return;
        }
        if outcome == SendOutcome::Unreachable || outcome == SendOutcome::ConnectionRefused {
            self.inconsistent.insert(record.instance.clone());
        }
        if outcome == SendOutcome::Misdirected {
            self.inconsistent.insert(record.instance.clone());
            if let Some(model) = &record.model {
                found.record_misdirected(now, model, record.adapter.as_ref());
            }
        }
    }

    /// Records what the outcome shows of the instance's process run and of the request.
    fn record_crash_evidence(&mut self, now: Timestamp, record: &SendRecord, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Broken => self.crashes.record_broken_send(now, record),
            SendOutcome::Replaced => {
                let (instance, service) = (&record.instance, &record.service);
                self.crashes.record_run_end(now, instance, service);
            }
            SendOutcome::ConnectionRefused => self.record_refused(now, &record.instance),
            SendOutcome::Responded(_) => {
                self.crashes.record_served(&record.fingerprint);
                self.crashes.parts.record_response(now, record, true);
            }
            _ => {}
        }
    }

    /// Returns the instances to probe after broken sends, with their addresses.
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

    /// Records that the process run of an instance has ended.
    pub fn run_ended(&mut self, now: Timestamp, instance: &InstanceId) {
        self.inconsistent.insert(instance.clone());
        if let Some(found) = self.instances.get_mut(instance) {
            found.eject(now);
            let service = found.record.service.clone();
            self.crashes.record_run_end(now, instance, &service);
        }
    }

    /// Returns why a request is refused because of crashes that are attributed to it or to a part of its
    /// prompt, and for how much longer.
    pub fn quarantine(&self, now: Timestamp, ticket: &Ticket) -> Option<(RefusalReason, Duration)> {
        let fingerprint = &ticket.description.fingerprint;
        if let Some(remaining) = self.crashes.quarantined_for(now, fingerprint) {
            return Some((RefusalReason::Quarantined, remaining));
        }
        let remaining = self.crashes.parts.refused_for(now, ticket)?;
        Some((RefusalReason::RefusedPart, remaining))
    }

    /// Records that an instance goes on responding to a request. Returns true once that shows that its
    /// prompt does not crash instances.
    pub fn record_progress(&mut self, now: Timestamp, record: &SendRecord) -> bool {
        self.crashes.parts.record_response(now, record, false)
    }

    /// Returns true if [`Dispatcher::record_progress`] is to be called.
    pub fn is_watching_parts(&self) -> bool {
        self.crashes.parts.is_watching()
    }

    /// Returns what to report to the leader of crashes and of parts of prompts, if anything.
    pub fn crash_report(&mut self, now: Timestamp) -> Option<CrashReport> {
        self.crashes.report(now, self.gateways)
    }

    /// Returns when [`Dispatcher::crash_report`] has something to report of parts of prompts.
    pub fn part_statement_at(&self) -> Option<Timestamp> {
        self.crashes.parts.statement_at()
    }

    /// Number of sets of parts of prompts that the leader refuses.
    pub fn refused_parts(&self) -> usize {
        self.crashes.parts.refused_count()
    }

    /// Applies the leader's quarantine decisions.
    pub fn apply_crash_update(&mut self, now: Timestamp, update: &CrashUpdate) {
        let held = |core: &Self| (core.quarantined_requests(), core.refused_parts());
        let before = held(self);
        self.crashes.update(now, update);
        if held(self) != before {
            self.wake_all_waiting();
        }
    }

    /// Handles the end of the connection to the leader.
    pub fn connection_ended(&mut self) {
        self.crashes.disconnected();
        self.permits.disconnected();
        self.fleet_loads.clear();
        self.instances_reported = false;
        self.reach_statement = ReachStatement::default();
        self.origins.disconnected();
        self.runs.disconnected();
    }

    /// Number of requests quarantined by the leader.
    pub fn quarantined_requests(&self) -> usize {
        self.crashes.quarantined_count()
    }

    /// Records the load that an instance reported in a response.
    pub fn record_load(&mut self, now: Timestamp, instance: &InstanceId, load: ReportedLoad) {
        if let Some(found) = self.instances.get_mut(instance) {
            found.record_load(now, load);
        }
        self.record_machine_time(now, instance, load.machine_time);
        self.call_next(now, instance);
    }

    /// Returns true if a report should be sent at once.
    pub fn is_report_urgent(&self) -> bool {
        self.demand.is_urgent() || !self.inconsistent.is_empty() || self.crashes.is_report_due()
    }

    /// Returns true if the leader has acknowledged the last report.
    pub fn is_report_acknowledged(&self) -> bool {
        self.freshness.is_acknowledged(self.reports)
    }

    /// Returns the next report, and resets the counters.
    pub fn report(&mut self, now: Timestamp) -> GatewayReport {
        if !self.instances_reported {
            self.origins.connected();
            self.runs.connected();
        }
        self.reports += 1;
        self.admission.times.sweep(now);
        let report = GatewayReport {
            gateway: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            sequence: self.reports,
            version: self.version(),
            demand: self.demand.take(),
            inconsistent: std::mem::take(&mut self.inconsistent).into_iter().collect(),
            in_flight: self.in_flight_by_instance(),
            as_of: self.freshness.applied_index(),
            known_instance_digests: self.instance_digests_to_report(),
            paces: self.pace_samples(),
        };
        self.freshness.record_report(now, &report);
        report
    }

    /// Digests of the known instances' records, once per connection: the leader then lists only
    /// what differs.
    fn instance_digests_to_report(&mut self) -> Vec<u64> {
        if std::mem::replace(&mut self.instances_reported, true) {
            return Vec::new();
        }
        let instances = self.instances.values();
        instances.map(|instance| instance.digest).collect()
    }

    fn in_flight_by_instance(&mut self) -> Vec<InstanceLoad> {
        let paths = &self.paths;
        // What is out of reach may not have arrived, and is no load there.
        let reached = self
            .instances
            .iter_mut()
            .filter(|(id, instance)| !paths.is_lost(&instance.record.service, id));
        let loads = reached.filter_map(|(id, instance)| {
            let in_flight = instance.report_in_flight();
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

    pub(crate) fn demand_key(
        &self,
        ticket: &Ticket,
    ) -> Option<(ServiceName, ModelName, Option<AdapterName>)> {
        let model = ticket.description.model.clone()?;
        let adapter = ticket.description.adapter.clone();
        Some((ticket.service.clone(), model, adapter))
    }
}

/// Returns whether a route sends requests to a service.
pub(crate) fn is_target(route: &RouteSpec, service: &ServiceName) -> bool {
    let mut targets = route.targets.iter();
    targets.any(|target| target.service == *service && target.weight > 0)
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
