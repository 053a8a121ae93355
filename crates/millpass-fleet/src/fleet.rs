//! Decision core: handles messages of instances, gateways and engines and returns the actions to
//! take.

use crate::contact_clock::ContactClock;
use crate::crashes::CrashTracker;
use crate::demand::Demand;
use crate::documents::ChangeCache;
use crate::engines::Engines;
use crate::gateways::Gateways;
use crate::instruction_history::InstructionHistory;
use crate::interface::{FleetEvent, FleetOutput, FleetSettings};
use crate::local_share::LocalShare;
use crate::observed_state::{self, Evidence};
use crate::pace::{PaceChange, Paces};
use crate::pending::PendingInstruction;
use crate::permits::StorePermits;
use crate::planner::{self, ServiceView, Step};
use crate::ready_estimates::ReadyEstimates;
use crate::registry::Registry;
use crate::rollout::{LAG_THRESHOLD, Rollout};
use crate::runs::RunTable;
use crate::shares::{Holder, Shares};
use crate::standby::Standby;
use crate::store_capacity::{PendingLoad, StoreCapacity};
use crate::traffic::Traffic;
use crate::updates::GatewayContext;
use millpass_limits::PermitLedger;
use millpass_origins::OriginTable;
use millpass_proto::{
    CallId, DeploymentDocument, Duration, EngineInstruction, GatewayReport, InstanceChanges,
    InstanceId, InstanceLoad, InstanceRecord, InstructionOperation, ModelName, ModelReadyEstimate,
    QuarantineRecord, ServiceName, SharedDocument, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between planning rounds when nothing changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between records of instances in the log.
const RECORD_INTERVAL: Duration = Duration::from_millis(1_000);
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(8);
/// Minimum planning interval per engine, because the cost of a round grows with their number.
const PLAN_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(100);
/// Upper bound of the planning interval under a slowdown: demand is planned for within this time.
const MAX_SLOWED_PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Decision core of the leader for instances, engines and gateways.
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) registry: Registry,
    pub(crate) standby: Standby,
    /// Active instances without demand, and since when.
    pub(crate) idle_since: BTreeMap<InstanceId, Timestamp>,
    pub(crate) next_activation: Timestamp,
    /// Increases when an instance becomes active or standby, or an active one moves to another
    /// member.
    pub(crate) active_revision: u64,
    /// Instances that announce themselves at this member.
    pub(crate) local_share: LocalShare,
    /// Instances that announce themselves at other members.
    pub(crate) shares: Shares,
    pub(crate) gateways: Gateways,
    pub(crate) rollout: Rollout,
    pub(crate) demand: Demand,
    pub(crate) traffic: Traffic,
    pub(crate) pace: Paces,
    pub(crate) engines: Engines,
    pub(crate) crashes: CrashTracker,
    pub(crate) limits: PermitLedger,
    /// Origins of the streams of all gateways.
    pub(crate) origins: OriginTable,
    pub(crate) runs: RunTable,
    permits: StorePermits,
    store: StoreCapacity,
    /// Instructions of earlier leaders.
    history: InstructionHistory,
    /// When this member became leader.
    pub(crate) leading_since: Option<Timestamp>,
    /// Time for which this member could receive announcements since then.
    pub(crate) contact_clock: ContactClock,
    /// Whether that time is long enough for every live instance to have been announced.
    pub(crate) complete: bool,
    /// Factor by which planning and update intervals are extended when this member lacks CPU time.
    pub(crate) slowdown: u32,
    pub(crate) term: u64,
    pub(crate) ready_estimates: ReadyEstimates,
    /// Loads as published to gateways, and a revision that increases when they change.
    pub(crate) published_loads: Vec<InstanceLoad>,
    pub(crate) loads_revision: u64,
    pub(crate) changes: ChangeCache,
    /// Models waiting for an engine or for the weight store.
    waiting_models: BTreeSet<(ServiceName, ModelName)>,
    pub(crate) dirty: bool,
    /// Set when gateways that lack contact may have to be told of others.
    pub(crate) peers_changed: bool,
    pub(crate) next_peer_update: Timestamp,
    next_plan: Timestamp,
    last_plan: Timestamp,
    planning_rounds: u64,
    /// Registry revision last recorded in the log, and when.
    recorded_revision: u64,
    recorded_at: Timestamp,
    /// Calls to engines since this process started.
    call_count: u64,
    pub(crate) out: Vec<FleetOutput>,
}

impl Fleet {
    /// Creates a core without any recorded state.
    pub fn new(settings: FleetSettings) -> Self {
        Fleet {
            history: InstructionHistory::new(Timestamp::ZERO, settings.order_handover),
            origins: OriginTable::new(Timestamp::ZERO, settings.origins),
            runs: RunTable::new(settings.announce_interval),
            crashes: CrashTracker::new(settings.parts),
            settings,
            registry: Registry::default(),
            standby: Standby::default(),
            idle_since: BTreeMap::new(),
            next_activation: Timestamp::ZERO,
            active_revision: 1,
            local_share: LocalShare::default(),
            shares: Shares::default(),
            gateways: Gateways::default(),
            rollout: Rollout::default(),
            demand: Demand::default(),
            traffic: Traffic::default(),
            pace: Paces::default(),
            engines: Engines::default(),
            limits: PermitLedger::default(),
            permits: StorePermits::default(),
            store: StoreCapacity::default(),
            leading_since: None,
            contact_clock: ContactClock::default(),
            complete: false,
            slowdown: 1,
            term: 0,
            ready_estimates: ReadyEstimates::default(),
            published_loads: Vec::new(),
            loads_revision: 0,
            changes: ChangeCache::default(),
            waiting_models: BTreeSet::new(),
            dirty: false,
            peers_changed: false,
            next_peer_update: Timestamp::ZERO,
            next_plan: Timestamp::ZERO,
            last_plan: Timestamp::ZERO,
            planning_rounds: 0,
            recorded_revision: 0,
            recorded_at: Timestamp::ZERO,
            call_count: 0,
            out: Vec::new(),
        }
    }

    /// Drops all leader state, keeping the instances announced at this member. Call ids continue,
    /// so that a late response never matches a later call.
    pub fn reset(&mut self) {
        let call_count = self.call_count;
        let local_share = std::mem::take(&mut self.local_share);
        *self = Fleet::new(self.settings.clone());
        self.call_count = call_count;
        self.local_share = local_share;
    }

    fn next_call(&mut self) -> CallId {
        self.call_count += 1;
        CallId(self.call_count)
    }

    /// Returns the name of the gateway on a connection; `None` before its first report.
    pub fn gateway_name(&self, connection: u64) -> Option<&str> {
        let session = self.gateways.sessions.get(&connection)?;
        Some(&session.name)
    }

    /// Returns the connections of gateways.
    pub fn connections(&self) -> Vec<u64> {
        self.gateways.sessions.keys().copied().collect()
    }

    /// Starts leading on the first call since the last [`Fleet::reset`], with the instance records,
    /// quarantined requests and instructions that earlier leaders recorded in the log. The records
    /// count as received now.
    pub fn start_leading(
        &mut self,
        now: Timestamp,
        records: impl Iterator<Item = InstanceRecord>,
        quarantined: impl Iterator<Item = QuarantineRecord>,
        history: &InstructionHistory,
    ) {
        if self.has_started_leading() {
            return;
        }
        self.permits = StorePermits::from_history(history);
        self.store = StoreCapacity::from_history(history);
        self.history = history.clone();
        self.restore_quarantined(now, quarantined);
        for mut record in records {
            // Any announcement of the instance is newer.
            record.sequence = 0;
            self.shares
                .record_unheld(self.contact_clock.now(), &record.instance);
            self.record_active(now, record);
        }
        self.recorded_revision = self.registry.revision();
        self.recorded_at = now;
        self.become_leader(now);
    }

    /// Becomes leader with the instances announced at this member.
    fn become_leader(&mut self, now: Timestamp) {
        self.leading_since = Some(now);
        self.origins = OriginTable::new(now, self.settings.origins);
        self.runs = RunTable::new(self.settings.announce_interval);
        let announced: Vec<InstanceRecord> = self.local_share.records().cloned().collect();
        for record in announced {
            self.apply_announcement(now, Holder::Own, record, false);
        }
    }

    /// Returns whether this member has started leading since the last [`Fleet::reset`].
    pub fn has_started_leading(&self) -> bool {
        self.leading_since.is_some()
    }

    /// Records changed instances in the log, if due.
    fn record_instances(&mut self, now: Timestamp) {
        let revision = self.registry.revision();
        if revision == self.recorded_revision || now.since(self.recorded_at) < RECORD_INTERVAL {
            return;
        }
        let changes = InstanceChanges {
            instances: self.registry.changed_since(self.recorded_revision),
            removed: self.registry.removed_since(self.recorded_revision),
        };
        self.recorded_revision = revision;
        self.recorded_at = now;
        self.out.push(FleetOutput::RecordInstances(changes));
    }

    /// Records the log index of a committed departure, to track its propagation to gateways.
    pub fn record_departure_commit(&mut self, now: Timestamp, index: u64) {
        self.rollout.record_departure(now, index);
    }

    /// Applies a gateway's report; the next [`Fleet::run`] returns the response.
    pub fn handle_report(&mut self, now: Timestamp, connection: u64, report: &GatewayReport) {
        if self.gateways.is_superseded(connection, &report.gateway) {
            let pairs = vec![
                ("gateway", report.gateway.clone()),
                ("sequence", report.sequence.to_string()),
            ];
            return self.event("report-late", pairs);
        }
        let previous_version = self.gateways.reported_version(connection, &report.gateway);
        let previous_version =
            previous_version.or_else(|| self.rollout.last_reported_version(&report.gateway));
        let previous_as_of = self.gateways.as_of(connection);
        let is_new = self
            .gateways
            .record_report(now, connection, report, &self.ready_estimates);
        if is_new {
            self.rollout.record_connect(&report.gateway);
            self.event(
                "gateway-connected",
                vec![
                    ("gateway", report.gateway.clone()),
                    ("zone", report.zone.0.clone()),
                    ("version", report.version.to_string()),
                ],
            );
        }
        self.acknowledge_version(now, previous_version, report.version);
        self.acknowledge_departures(now, previous_as_of, report.as_of);
        self.demand
            .record_report(now, &report.gateway, &report.demand);
        self.traffic
            .record_report(&report.gateway, &report.in_flight);
        let changes = self.pace.record_report(now, &report.paces, &self.registry);
        self.log_pace_changes(changes);
        self.dirty |= report
            .demand
            .iter()
            .any(|model_demand| model_demand.unserved > 0);
        self.dirty |= !report.inconsistent.is_empty();
        for instance in &report.inconsistent {
            if let Some(engine) = self.engines.engines.get_mut(instance)
                && engine.pending.is_none()
            {
                engine.invalidate_state(now);
            }
        }
    }

    /// Returns the time of an engine relative to its service's median: 1.0 if nothing else is
    /// known, 2.0 if it takes twice as long. Short effects of other work on its machine are not
    /// included.
    pub fn engine_pace(&self, instance: &InstanceId) -> f64 {
        self.pace.factor(instance)
    }

    /// Returns the slowest factor and the number of engines whose factor is not 1.
    pub fn pace_summary(&self) -> (f64, usize) {
        self.pace.summary()
    }

    pub(crate) fn log_pace_changes(&mut self, changes: Vec<PaceChange>) {
        for change in changes {
            let (name, instance, value) = match change {
                PaceChange::Slow(instance, factor) => {
                    ("engine-slow", instance, ("factor", format!("{factor:.2}")))
                }
                PaceChange::Recovered(instance, factor) => {
                    let factor = format!("{factor:.2}");
                    ("engine-speed-recovered", instance, ("factor", factor))
                }
                PaceChange::Stuck(instance, hundredths) => {
                    let hundredths = hundredths.to_string();
                    ("machine-time-stuck", instance, ("hundredths", hundredths))
                }
            };
            self.event(name, vec![("instance", instance.0), value]);
        }
    }

    /// Records whether updates are queued at a gateway's connection because its socket does not
    /// accept them. While they are, no further updates are sent.
    pub fn set_backlogged(&mut self, now: Timestamp, connection: u64, is_backlogged: bool) {
        let Some((gateway, duration)) =
            self.gateways.set_backlogged(now, connection, is_backlogged)
        else {
            return;
        };
        if duration >= LAG_THRESHOLD {
            let duration = duration.as_millis().to_string();
            let pairs = vec![("gateway", gateway), ("behind_ms", duration)];
            self.event("gateway-caught-up", pairs);
        }
    }

    /// Removes the session of a closed gateway connection.
    pub fn handle_disconnect(&mut self, now: Timestamp, connection: u64) {
        let Some(session) = self.gateways.remove(connection) else {
            return;
        };
        self.rollout.record_disconnect(now, &session);
        self.demand.remove_gateway(&session.name);
        self.traffic.remove_gateway(&session.name);
        self.peers_changed = true;
        self.event("gateway-lost", vec![("gateway", session.name)]);
    }

    /// Records that announcements were refused here due to overload, so that instances do
    /// not expire for lack of announcements.
    pub fn record_refused_announcements(&mut self, now: Timestamp) {
        self.local_share.record_refusal(now);
        self.contact_clock.record_refusal(now);
    }

    /// Sets the factor by which planning and update intervals are extended; 1 for normal operation.
    pub fn set_slowdown(&mut self, slowdown: u32) {
        self.slowdown = slowdown.max(1);
    }

    /// Returns the number of planning rounds since the last [`Fleet::reset`].
    pub fn planning_rounds(&self) -> u64 {
        self.planning_rounds
    }

    /// Performs all due work; called only while this member is leading. `context` is queried when a
    /// gateway connects.
    pub fn run(
        &mut self,
        now: Timestamp,
        term: u64,
        document: Option<&SharedDocument>,
        context: &GatewayContext<'_>,
    ) -> Vec<FleetOutput> {
        if !self.has_started_leading() {
            self.become_leader(now);
        }
        self.term = term;
        self.local_share.advance(now);
        self.contact_clock.advance(now);
        let due = now
            >= self
                .next_plan
                .max(self.last_plan + self.min_plan_interval())
            || (self.dirty && now.since(self.last_plan) >= self.min_plan_interval());
        if due {
            self.next_plan = now + PLAN_INTERVAL;
            self.last_plan = now;
            self.dirty = false;
            self.complete_adapter_instructions(now);
            self.expire_quarantine(now);
            self.remove_expired_instances(now);
            self.observe_store(now);
            if let Some(document) = document {
                self.adjust_active_instances(now, document);
                self.planning_rounds += 1;
                self.plan(now, document);
            }
        }
        self.record_instances(now);
        self.track_rollout(now, document.map(|document| &**document), context);
        self.judge_parts_if_due(now);
        self.send_crash_updates(now);
        self.send_limit_updates(now);
        self.send_peer_updates(now);
        let contact_time = self.contact_clock.now().since(Timestamp::ZERO);
        self.complete = contact_time >= self.settings.announce_interval * 3;
        self.send_gateway_updates(now, document, context);
        std::mem::take(&mut self.out)
    }

    /// Updates the estimate of how many loads the weight store serves at once.
    fn observe_store(&mut self, now: Timestamp) {
        let engines = &self.engines.engines;
        let loads = engines.iter().filter_map(|(instance, engine)| {
            let pending = engine.store_load()?;
            Some(PendingLoad {
                instance: instance.clone(),
                model: pending.model.clone(),
                nominal_time: pending.expected_time,
            })
        });
        let unknown_loads = engines
            .values()
            .filter(|engine| engine.has_unknown_order(now));
        let has_completed = |instance: &InstanceId, model: &ModelName| {
            let engine = engines.get(instance);
            engine.is_some_and(|engine| engine.holds(model, None))
        };
        let changed =
            self.store
                .observe(now, loads.collect(), unknown_loads.count(), has_completed);
        if changed {
            let pairs = vec![("loads_at_once", self.store.limit().to_string())];
            self.event("store-limit", pairs);
            let capacity = self.store.hundredths();
            self.out.push(FleetOutput::RecordStoreCapacity(capacity));
        }
    }

    fn min_plan_interval(&self) -> Duration {
        let engines = u32::try_from(self.engines.engines.len()).unwrap_or(u32::MAX);
        let interval = PLAN_INTERVAL_PER_ENGINE.saturating_mul(engines);
        let interval = MIN_PLAN_INTERVAL.max(interval);
        interval.max(MAX_SLOWED_PLAN_INTERVAL.min(interval * self.slowdown))
    }

    /// Completes adapter instructions whose expected time has elapsed.
    fn complete_adapter_instructions(&mut self, now: Timestamp) {
        for (instance, engine) in &mut self.engines.engines {
            if engine.complete_adapter_instruction(now) {
                engine.set_evidence(now, Evidence::Elapsed);
                self.registry
                    .set_served_models(instance, engine.served_models());
            }
            let is_pending = engine
                .pending
                .as_ref()
                .is_some_and(|pending| pending.adapter.is_some());
            self.dirty |= is_pending;
        }
    }

    fn plan(&mut self, now: Timestamp, document: &DeploymentDocument) {
        let mut steps = Vec::new();
        let mut waiting = Vec::new();
        for service in &document.services {
            let Some(specification) = &service.engine else {
                continue;
            };
            let mut view = ServiceView {
                now,
                service: &service.name,
                specification,
                registry: &self.registry,
                engines: &mut self.engines,
                demand: &mut self.demand,
                permits: &mut self.permits,
                store: &self.store,
                crashes: &self.crashes,
                limits: &self.limits,
                waiting: &mut waiting,
                history: &self.history,
                handover: self.settings.order_handover + self.settings.order_lifetime,
            };
            planner::plan(&mut view, &mut steps);
        }
        for step in steps {
            self.execute_step(now, step);
        }
        self.log_waiting(&waiting);
        self.refresh_ready_estimates(now, document, waiting);
    }

    /// Logs models that have started to wait.
    fn log_waiting(&mut self, waiting: &[ModelReadyEstimate]) {
        let previous = std::mem::take(&mut self.waiting_models);
        for estimate in waiting {
            let key = (estimate.service.clone(), estimate.model.clone());
            let was_waiting = previous.contains(&key);
            if !self.waiting_models.insert(key) || was_waiting {
                continue;
            }
            let pairs = vec![
                ("service", estimate.service.0.clone()),
                ("model", estimate.model.0.clone()),
                ("ready_in_ms", estimate.ready_in_millis.to_string()),
                ("loads_at_once", self.store.limit().to_string()),
            ];
            self.event("load-waits", pairs);
        }
    }

    fn execute_step(&mut self, now: Timestamp, step: Step) {
        let Some(record) = self.registry.get(&step.instance) else {
            return;
        };
        let address = record.address.clone();
        let call = self.next_call();
        let Some(engine) = self.engines.engines.get_mut(&step.instance) else {
            return;
        };
        let Some((operation, model, adapter)) = step.instruction else {
            engine.record_read(now, call);
            self.out.push(FleetOutput::ReadEngine {
                instance: step.instance,
                address,
                call,
            });
            return;
        };
        let Some(expected_revision) = engine.revision else {
            return;
        };
        let state_pairs = observed_state::log_pairs(now, engine);
        if step.is_confirmation {
            engine.record_confirmation(now, call);
        } else {
            let pending = PendingInstruction {
                operation,
                model: model.clone(),
                adapter: adapter.clone(),
                sent_at: now,
                accepted: false,
                confirmation_sent: false,
                call,
                expected_revision,
                from_store: step.from_store,
                expected_time: step.expected_time,
                expected_end: now + step.expected_time,
            };
            engine.record_sent(now, pending);
        }
        let is_unload = operation == InstructionOperation::Unload;
        if is_unload {
            // Gateways must stop sending requests to what is about to be unloaded.
            self.registry
                .set_served_models(&step.instance, engine.served_models());
        }
        let adapter_name = adapter.as_ref().map_or("none", |name| name.as_str());
        let mut pairs = vec![
            ("instance", step.instance.0.clone()),
            ("call", call.0.to_string()),
            ("operation", format!("{operation:?}").to_lowercase()),
            ("model", model.0.clone()),
            ("adapter", adapter_name.to_owned()),
            ("expected_revision", expected_revision.to_string()),
            ("term", self.term.to_string()),
            ("reason", step.reason.to_owned()),
            ("takes_ms", step.expected_time.as_millis().to_string()),
            ("used_kb", step.used_kilobytes.to_string()),
        ];
        pairs.extend(state_pairs);
        self.event("instruction-sent", pairs);
        self.out.push(FleetOutput::Instruct(EngineInstruction {
            instance: step.instance,
            address,
            operation,
            model,
            adapter,
            expected_revision,
            issuer: self.settings.holder.clone(),
            fence: self.term,
            from_store: step.from_store,
            call,
        }));
    }

    pub(crate) fn event(&mut self, name: &'static str, pairs: Vec<(&'static str, String)>) {
        self.out
            .push(FleetOutput::Event(FleetEvent { name, pairs }));
    }
}
