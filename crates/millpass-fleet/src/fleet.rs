//! The core itself: takes what instances, gateways and engines say, and gives what to do.

use crate::belief::{self, Word};
use crate::crashes::Crashes;
use crate::demand::Demand;
use crate::documents::ChangeCache;
use crate::engines::Engines;
use crate::gateways::Gateways;
use crate::handover::InstructionHistory;
use crate::hearing::HearingClock;
use crate::interface::{FleetEvent, FleetOutput, FleetSettings};
use crate::pending::Pending;
use crate::permits::StorePermits;
use crate::planner::{self, Step, View};
use crate::registry::Registry;
use crate::rollout::{LAG, Rollout};
use crate::share::Share;
use crate::shares::{Holder, Shares};
use crate::standby::Standby;
use crate::store::{LoadUnderWay, StoreCapacity};
use crate::traffic::Traffic;
use crate::updates::GatewayContext;
use millpass_limits::PermitLedger;
use millpass_proto::{
    CallId, DeploymentDocument, Duration, EngineInstruction, GatewayReport, InstanceChanges,
    InstanceId, InstanceLoad, InstanceRecord, InstructionOperation, ModelName, ModelReadyEstimate,
    QuarantineRecord, ServiceName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two looks for work when nothing happens.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two notes of instances in the log.
const NOTE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest time between two looks.
const MINIMUM_PLAN_INTERVAL: Duration = Duration::from_millis(8);
/// The same for each engine: a look takes time in proportion to them.
const PLAN_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(100);

/// The leader's view of instances and gateways.
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    /// Active instances.
    pub(crate) registry: Registry,
    pub(crate) standby: Standby,
    /// Since when active instances are needed by nobody.
    pub(crate) idle_since: BTreeMap<InstanceId, Timestamp>,
    pub(crate) next_activation: Timestamp,
    /// Grows when instances become active or stand by, or an active one announces itself at another member.
    pub(crate) active_revision: u64,
    /// Instances that announce themselves at this member.
    pub(crate) share: Share,
    /// Those that do at the others.
    pub(crate) shares: Shares,
    pub(crate) gateways: Gateways,
    pub(crate) rollout: Rollout,
    pub(crate) demand: Demand,
    pub(crate) traffic: Traffic,
    pub(crate) engines: Engines,
    pub(crate) crashes: Crashes,
    pub(crate) limits: PermitLedger,
    permits: StorePermits,
    store: StoreCapacity,
    /// Instructions of earlier leaders.
    history: InstructionHistory,
    /// When this member took charge.
    in_charge_since: Option<Timestamp>,
    /// For how long this member could hear instances since then.
    pub(crate) hearing: HearingClock,
    /// It did so for long enough to know every instance.
    pub(crate) complete: bool,
    /// By how much longer than usual planning and updates wait, as this member has little processor.
    pub(crate) pace: u32,
    pub(crate) term: u64,
    pub(crate) outlook: Vec<ModelReadyEstimate>,
    pub(crate) outlook_revision: u64,
    /// When each entry of the outlook was told to be ready, and a revision that grows when those times move.
    pub(crate) told_times: Vec<Timestamp>,
    pub(crate) times_revision: u64,
    /// Loads last told, and a revision that grows when they change.
    pub(crate) told_loads: Vec<InstanceLoad>,
    pub(crate) loads_revision: u64,
    pub(crate) changes: ChangeCache,
    /// Models that wait for an engine or the weight store.
    waiting: BTreeSet<(ServiceName, ModelName)>,
    pub(crate) dirty: bool,
    next_plan: Timestamp,
    last_plan: Timestamp,
    /// Registry revision that was noted in the log, and when.
    noted: u64,
    noted_at: Timestamp,
    /// Calls made to engines since this process began.
    calls: u64,
    pub(crate) out: Vec<FleetOutput>,
}

impl Fleet {
    /// Starts without any belief.
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
            crashes: Crashes::default(),
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

    /// Drops every belief: another member leads, or this one begins to. Calls are numbered on: an answer to one of
    /// before is none to a later one. What this member itself heard of instances stays.
    pub fn clear(&mut self) {
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

    /// Connections of gateways.
    pub fn connections(&self) -> Vec<u64> {
        self.gateways.sessions.keys().copied().collect()
    }

    /// Begins, the first time it is called since this member took charge: with `records`, as a leader
    /// before it noted them, the requests that are held back, and the instructions of those leaders. Records count
    /// as heard now.
    pub fn begin(
        &mut self,
        now: Timestamp,
        records: impl Iterator<Item = InstanceRecord>,
        held: impl Iterator<Item = QuarantineRecord>,
        history: &InstructionHistory,
    ) {
        if self.has_begun() {
            return;
        }
        self.permits = StorePermits::after(history);
        self.store = StoreCapacity::after(history);
        self.history = history.clone();
        self.restore_held(now, held);
        for mut record in records {
            // Any word of the instance itself is newer.
            record.sequence = 0;
            self.shares.noted(self.hearing.now(), &record.instance);
            self.take_active(now, record);
        }
        self.noted = self.registry.revision();
        self.noted_at = now;
        self.take_charge(now);
    }

    /// Takes charge of what this member itself has heard.
    fn take_charge(&mut self, now: Timestamp) {
        self.in_charge_since = Some(now);
        let heard: Vec<InstanceRecord> = self.share.records().cloned().collect();
        for record in heard {
            self.hear(now, Holder::Own, record, false);
        }
    }

    /// Whether this member was in charge since the beliefs were last dropped.
    pub fn has_begun(&self) -> bool {
        self.in_charge_since.is_some()
    }

    /// What is to be noted now, if anything.
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
        self.out.push(FleetOutput::Note(note));
    }

    /// A departure was committed at this index of the log; its way to gateways is followed.
    pub fn departure_committed(&mut self, now: Timestamp, index: u64) {
        self.rollout.departed(now, index);
    }

    /// Takes a gateway's report; it is answered by the next [`Fleet::run`].
    pub fn report(&mut self, now: Timestamp, connection: u64, report: &GatewayReport) {
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
        self.demand.report(now, &report.gateway, &report.demand);
        self.traffic.report(&report.gateway, &report.in_flight);
        self.dirty |= report.demand.iter().any(|need| need.unserved > 0);
        self.dirty |= !report.inconsistent.is_empty();
        for instance in &report.inconsistent {
            if let Some(engine) = self.engines.engines.get_mut(instance)
                && engine.pending.is_none()
            {
                engine.doubt(now);
            }
        }
    }

    /// Updates begin to wait at a gateway's connection, as its socket does not take them, or none waits any more.
    /// Until then nothing more is sent.
    pub fn backlog(&mut self, now: Timestamp, connection: u64, waits: bool) {
        let Some((gateway, behind)) = self.gateways.backlog(now, connection, waits) else {
            return;
        };
        if behind >= LAG {
            let behind = behind.as_millis().to_string();
            let pairs = vec![("gateway", gateway), ("behind_ms", behind)];
            self.event("gateway-caught-up", pairs);
        }
    }

    /// A gateway's connection ended.
    pub fn disconnected(&mut self, now: Timestamp, connection: u64) {
        let Some(session) = self.gateways.disconnected(connection) else {
            return;
        };
        self.rollout.lost(now, &session);
        self.demand.forget_in_flight(&session.name);
        self.traffic.forget(&session.name);
        self.event("gateway-lost", vec![("gateway", session.name)]);
    }

    /// Announcements were refused here, as too many waited: the silence of instances says nothing meanwhile.
    pub fn announcements_refused(&mut self, now: Timestamp) {
        self.share.refused(now);
        self.hearing.refused(now);
    }

    /// This member has so much less processor than it needs: planning and updates come so much less often. 1 for
    /// enough.
    pub fn set_pace(&mut self, pace: u32) {
        self.pace = pace.max(1);
    }

    /// Does what is due; called only while this member is in charge. `context` is asked when a gateway connects.
    pub fn run(
        &mut self,
        now: Timestamp,
        term: u64,
        document: Option<&DeploymentDocument>,
        context: &GatewayContext<'_>,
    ) -> Vec<FleetOutput> {
        if !self.has_begun() {
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
            self.sweep_crashes(now);
            self.forget_silent(now);
            self.observe_store(now);
            if let Some(document) = document {
                self.keep_active(now, document);
                self.plan(now, document);
            }
        }
        self.note(now);
        self.follow_rollout(now, document, context);
        self.update_crashes(now);
        self.update_limits(now);
        let heard_for = self.hearing.now().since(Timestamp::ZERO);
        self.complete = heard_for >= self.settings.announce_interval * 3;
        self.update_gateways(now, document, context);
        std::mem::take(&mut self.out)
    }

    /// Learns how many loads at once the weight store serves well.
    fn observe_store(&mut self, now: Timestamp) {
        let engines = &self.engines.engines;
        let loads = engines.iter().filter_map(|(instance, engine)| {
            let pending = engine.store_load()?;
            Some(LoadUnderWay {
                instance: instance.clone(),
                model: pending.model.clone(),
                stated: pending.takes,
            })
        });
        let busy = engines
            .values()
            .filter(|engine| engine.is_busy_elsewhere(now));
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
            self.out.push(FleetOutput::NoteStoreCapacity(capacity));
        }
    }

    fn shortest_plan_interval(&self) -> Duration {
        let engines = u32::try_from(self.engines.engines.len()).unwrap_or(u32::MAX);
        let interval = PLAN_INTERVAL_PER_ENGINE.saturating_mul(engines);
        MINIMUM_PLAN_INTERVAL.max(interval) * self.pace
    }

    /// Tells gateways of adapters whose instruction has had its time.
    fn settle_adapters(&mut self, now: Timestamp) {
        for (instance, engine) in &mut self.engines.engines {
            if engine.adapter_settled(now) {
                engine.rests_on(now, Word::Time);
                self.registry.serves(instance, engine.serving());
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

    /// Logs which models have begun to wait.
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
            engine.reads(now, call);
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
        let believed = belief::pairs(now, engine);
        if step.confirms {
            engine.confirms(now, call);
        } else {
            let pending = Pending {
                operation,
                model: model.clone(),
                adapter: adapter.clone(),
                sent_at: now,
                accepted: false,
                was_confirmed: false,
                call,
                expected_revision,
                from_store: step.from_store,
                takes: step.takes,
                done_at: now + step.takes,
            };
            engine.sent(now, pending);
        }
        let unloads = operation == InstructionOperation::Unload;
        if unloads {
            // No gateway sends to what is about to go.
            self.registry.serves(&step.instance, engine.serving());
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
