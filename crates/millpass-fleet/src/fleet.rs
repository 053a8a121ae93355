//! Decision core: handles messages of instances, gateways and engines and returns the actions to
//! take.

use crate::contact_clock::HearingClock;
use crate::crashes::CrashTracker;
use crate::demand::Demand;
use crate::documents::ChangeCache;
use crate::engines::Engines;
use crate::gateways::Gateways;
use crate::instruction_history::InstructionHistory;
use crate::interface::{FleetEvent, FleetOutput, FleetSettings};
use crate::local_share::Share;
use crate::observed_state::{self, Evidence};
use crate::pending::PendingInstruction;
use crate::permits::StorePermits;
use crate::planner::{self, Step, View};
use crate::registry::Registry;
use crate::rollout::{LAG, Rollout};
use crate::shares::{Holder, Shares};
use crate::standby::Standby;
use crate::store_capacity::{PendingLoad, StoreCapacity};
use crate::traffic::Traffic;
use crate::updates::GatewayContext;
use millpass_limits::PermitLedger;
use millpass_proto::{
    CallId, DeploymentDocument, Duration, EngineInstruction, GatewayReport, InstanceChanges,
    InstanceId, InstanceLoad, InstanceRecord, InstructionOperation, ModelName, ModelReadyEstimate,
    QuarantineRecord, ServiceName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between planning rounds when nothing changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between records of instances in the log.
const NOTE_INTERVAL: Duration = Duration::from_millis(1_000);
const MINIMUM_PLAN_INTERVAL: Duration = Duration::from_millis(8);
/// Minimum planning interval per engine, because the cost of a round grows with their number.
const PLAN_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(100);

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
    pub(crate) share: Share,
    /// Instances that announce themselves at other members.
    pub(crate) shares: Shares,
    pub(crate) gateways: Gateways,
    pub(crate) rollout: Rollout,
    pub(crate) demand: Demand,
    pub(crate) traffic: Traffic,
    pub(crate) engines: Engines,
    pub(crate) crashes: CrashTracker,
    pub(crate) limits: PermitLedger,
    permits: StorePermits,
    store: StoreCapacity,
    /// Instructions of earlier leaders.
    history: InstructionHistory,
    /// When this member became leader.
    in_charge_since: Option<Timestamp>,
    /// Time for which this member could receive announcements since then.
    pub(crate) hearing: HearingClock,
    /// That time is long enough to have received every instance.
    pub(crate) complete: bool,
    /// Factor by which planning and update intervals are extended when this member lacks CPU time.
    pub(crate) pace: u32,
    pub(crate) term: u64,
    pub(crate) outlook: Vec<ModelReadyEstimate>,
    pub(crate) outlook_revision: u64,
    /// Ready times as published to gateways, and a revision that increases when they move.
    pub(crate) told_times: Vec<Timestamp>,
    pub(crate) times_revision: u64,
    /// Loads as published to gateways, and a revision that increases when they change.
    pub(crate) told_loads: Vec<InstanceLoad>,
    pub(crate) loads_revision: u64,
    pub(crate) changes: ChangeCache,
    /// Models waiting for an engine or for the weight store.
    waiting: BTreeSet<(ServiceName, ModelName)>,
    pub(crate) dirty: bool,
    next_plan: Timestamp,
    last_plan: Timestamp,
    /// Registry revision last recorded in the log, and when.
    noted: u64,
    noted_at: Timestamp,
    /// Calls to engines since this process started.
    calls: u64,
    pub(crate) out: Vec<FleetOutput>,
}

impl Fleet {
    /// Creates a core without any recorded state.
    pub fn new(settings: FleetSettings) -> Self {
        Fleet {
            history: InstructionHistory::new(Timestamp::ZERO, settings.order_handover),
            settings,
            registry: Registry::default(),
            standby: Standby::default(),
            idle_since: BTreeMap::new(),
            next_activation: Timestamp::ZERO,
            active_revision: 1,
            share: Share::default(),
            shares: Shares::default(),
            gateways: Gateways::default(),
            rollout: Rollout::default(),
            demand: Demand::default(),
            traffic: Traffic::default(),
            engines: Engines::default(),
            crashes: CrashTracker::default(),
            limits: PermitLedger::default(),
            permits: StorePermits::default(),
            store: StoreCapacity::default(),
            in_charge_since: None,
            hearing: HearingClock::default(),
            complete: false,
            pace: 1,
            term: 0,
            outlook: Vec::new(),
            outlook_revision: 0,
            told_times: Vec::new(),
            times_revision: 0,
            told_loads: Vec::new(),
            loads_revision: 0,
            changes: ChangeCache::default(),
            waiting: BTreeSet::new(),
            dirty: false,
            next_plan: Timestamp::ZERO,
            last_plan: Timestamp::ZERO,
            noted: 0,
            noted_at: Timestamp::ZERO,
            calls: 0,
            out: Vec::new(),
        }
    }

    /// Drops all leader state, keeping the instances announced at this member. Call ids continue,
    /// so that a late response never matches a later call.
    pub fn reset(&mut self) {
        let calls = self.calls;
        let share = std::mem::take(&mut self.share);
        *self = Fleet::new(self.settings.clone());
        self.calls = calls;
        self.share = share;
    }

    fn next_call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
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
        held: impl Iterator<Item = QuarantineRecord>,
        history: &InstructionHistory,
    ) {
        if self.has_started_leading() {
            return;
        }
        self.permits = StorePermits::from_history(history);
        self.store = StoreCapacity::from_history(history);
        self.history = history.clone();
        self.restore_quarantined(now, held);
        for mut record in records {
            // Any announcement of the instance is newer.
            record.sequence = 0;
            self.shares.noted(self.hearing.now(), &record.instance);
            self.take_active(now, record);
        }
        self.noted = self.registry.revision();
        self.noted_at = now;
        self.take_charge(now);
    }

    /// Becomes leader with the instances announced at this member.
    fn take_charge(&mut self, now: Timestamp) {
        self.in_charge_since = Some(now);
        let heard: Vec<InstanceRecord> = self.share.records().cloned().collect();
        for record in heard {
            self.hear(now, Holder::Own, record, false);
        }
    }

    /// Returns whether this member has started leading since the last [`Fleet::reset`].
    pub fn has_started_leading(&self) -> bool {
        self.in_charge_since.is_some()
    }

    /// Records changed instances in the log, if due.
    fn note(&mut self, now: Timestamp) {
        let revision = self.registry.revision();
        if revision == self.noted || now.since(self.noted_at) < NOTE_INTERVAL {
            return;
        }
        let note = InstanceChanges {
            instances: self.registry.changed_since(self.noted),
            removed: self.registry.removed_since(self.noted),
        };
        self.noted = revision;
        self.noted_at = now;
        self.out.push(FleetOutput::RecordInstances(note));
    }

    /// Records the log index of a committed departure, to track its propagation to gateways.
    pub fn record_departure_commit(&mut self, now: Timestamp, index: u64) {
        self.rollout.departed(now, index);
    }

    /// Applies a gateway's report; the next [`Fleet::run`] returns the response.
    pub fn handle_report(&mut self, now: Timestamp, connection: u64, report: &GatewayReport) {
        if self.gateways.is_outlived(connection, &report.gateway) {
            let pairs = vec![
                ("gateway", report.gateway.clone()),
                ("sequence", report.sequence.to_string()),
            ];
            return self.event("report-late", pairs);
        }
        let before = self.gateways.reported_version(connection, &report.gateway);
        let before = before.or_else(|| self.rollout.held_when_lost(&report.gateway));
        let told = self.gateways.as_of(connection);
        let new = self.gateways.heard(now, connection, report);
        if new {
            self.rollout.connected(&report.gateway);
            self.event(
                "gateway-connected",
                vec![
                    ("gateway", report.gateway.clone()),
                    ("zone", report.zone.0.clone()),
                    ("version", report.version.to_string()),
                ],
            );
        }
        self.reached(now, before, report.version);
        self.departures_reached(now, told, report.as_of);
        self.demand
            .record_report(now, &report.gateway, &report.demand);
        self.traffic.report(&report.gateway, &report.in_flight);
        self.dirty |= report.demand.iter().any(|need| need.unserved > 0);
        self.dirty |= !report.inconsistent.is_empty();
        for instance in &report.inconsistent {
            if let Some(engine) = self.engines.engines.get_mut(instance)
                && engine.pending.is_none()
            {
                engine.invalidate_state(now);
            }
        }
    }

    /// Records whether updates are queued at a gateway's connection because its socket does not
    /// accept them. While they are, no further updates are sent.
    pub fn set_backlogged(&mut self, now: Timestamp, connection: u64, waits: bool) {
        let Some((gateway, behind)) = self.gateways.backlog(now, connection, waits) else {
            return;
        };
        if behind >= LAG {
            let behind = behind.as_millis().to_string();
            let pairs = vec![("gateway", gateway), ("behind_ms", behind)];
            self.event("gateway-caught-up", pairs);
        }
    }

    /// Removes the session of a closed gateway connection.
    pub fn handle_disconnect(&mut self, now: Timestamp, connection: u64) {
        let Some(session) = self.gateways.disconnected(connection) else {
            return;
        };
        self.rollout.lost(now, &session);
        self.demand.remove_gateway(&session.name);
        self.traffic.forget(&session.name);
        self.event("gateway-lost", vec![("gateway", session.name)]);
    }

    /// Records that announcements were refused here due to overload, so that missing announcements
    /// do not count as expired.
    pub fn record_refused_announcements(&mut self, now: Timestamp) {
        self.share.refused(now);
        self.hearing.refused(now);
    }

    /// Sets the factor by which planning and update intervals are extended; 1 for normal operation.
    pub fn set_slowdown(&mut self, pace: u32) {
        self.pace = pace.max(1);
    }

    /// Performs all due work; called only while this member is leading. `context` is queried when a
    /// gateway connects.
    pub fn run(
        &mut self,
        now: Timestamp,
        term: u64,
        document: Option<&DeploymentDocument>,
        context: &GatewayContext<'_>,
    ) -> Vec<FleetOutput> {
        if !self.has_started_leading() {
            self.take_charge(now);
        }
        self.term = term;
        self.share.advance(now);
        self.hearing.advance(now);
        let due = now >= self.next_plan
            || (self.dirty && now.since(self.last_plan) >= self.shortest_plan_interval());
        if due {
            self.next_plan = now + PLAN_INTERVAL;
            self.last_plan = now;
            self.dirty = false;
            self.settle_adapters(now);
            self.expire_quarantine(now);
            self.forget_silent(now);
            self.observe_store(now);
            if let Some(document) = document {
                self.adjust_active_instances(now, document);
                self.plan(now, document);
            }
        }
        self.note(now);
        self.follow_rollout(now, document, context);
        self.send_crash_updates(now);
        self.update_limits(now);
        let heard_for = self.hearing.now().since(Timestamp::ZERO);
        self.complete = heard_for >= self.settings.announce_interval * 3;
        self.update_gateways(now, document, context);
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
        let busy = engines
            .values()
            .filter(|engine| engine.has_unknown_order(now));
        let ended = |instance: &InstanceId, model: &ModelName| {
            let engine = engines.get(instance);
            engine.is_some_and(|engine| engine.holds(model, None))
        };
        let changed = self
            .store
            .observe(now, loads.collect(), busy.count(), ended);
        if changed {
            let pairs = vec![("loads_at_once", self.store.limit().to_string())];
            self.event("store-limit", pairs);
            let capacity = self.store.hundredths();
            self.out.push(FleetOutput::RecordStoreCapacity(capacity));
        }
    }

    fn shortest_plan_interval(&self) -> Duration {
        let engines = u32::try_from(self.engines.engines.len()).unwrap_or(u32::MAX);
        let interval = PLAN_INTERVAL_PER_ENGINE.saturating_mul(engines);
        MINIMUM_PLAN_INTERVAL.max(interval) * self.pace
    }

    /// Completes adapter instructions whose expected time has elapsed.
    fn settle_adapters(&mut self, now: Timestamp) {
        for (instance, engine) in &mut self.engines.engines {
            if engine.complete_adapter_instruction(now) {
                engine.set_evidence(now, Evidence::Elapsed);
                self.registry.serves(instance, engine.served_models());
            }
            let settles = engine
                .pending
                .as_ref()
                .is_some_and(|pending| pending.adapter.is_some());
            self.dirty |= settles;
        }
    }

    fn plan(&mut self, now: Timestamp, document: &DeploymentDocument) {
        let mut steps = Vec::new();
        let mut awaited = Vec::new();
        for service in &document.services {
            let Some(specification) = &service.engine else {
                continue;
            };
            let mut view = View {
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
                awaited: &mut awaited,
                history: &self.history,
                handover: self.settings.order_handover + self.settings.order_lifetime,
            };
            planner::plan(&mut view, &mut steps);
        }
        for step in steps {
            self.carry_out(now, step);
        }
        self.log_waiting(&awaited);
        self.refresh_outlook(now, document, awaited);
    }

    /// Logs models that have started to wait.
    fn log_waiting(&mut self, awaited: &[ModelReadyEstimate]) {
        let before = std::mem::take(&mut self.waiting);
        for outlook in awaited {
            let key = (outlook.service.clone(), outlook.model.clone());
            let waited = before.contains(&key);
            if !self.waiting.insert(key) || waited {
                continue;
            }
            let pairs = vec![
                ("service", outlook.service.0.clone()),
                ("model", outlook.model.0.clone()),
                ("ready_in_ms", outlook.ready_in_millis.to_string()),
                ("loads_at_once", self.store.limit().to_string()),
            ];
            self.event("load-waits", pairs);
        }
    }

    fn carry_out(&mut self, now: Timestamp, step: Step) {
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
        let believed = observed_state::log_pairs(now, engine);
        if step.confirms {
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
                expected_time: step.takes,
                expected_end: now + step.takes,
            };
            engine.record_sent(now, pending);
        }
        let unloads = operation == InstructionOperation::Unload;
        if unloads {
            // Gateways must stop sending requests to what is about to be unloaded.
            self.registry.serves(&step.instance, engine.served_models());
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
            ("takes_ms", step.takes.as_millis().to_string()),
            ("used_kb", step.used_kilobytes.to_string()),
        ];
        pairs.extend(believed);
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
