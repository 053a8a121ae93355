//! The simulated deployment and its event loop.

use crate::back_ends::{EngineNode, WebNode};
use crate::callers::Callers;
use crate::catalog;
use crate::clock::NodeClock;
use crate::control_node::{ControlNode, member_address, member_id};
use crate::disk::Disk;
use crate::event::{BackEnd, CallerEvent, OperatorEvent, ReplyTo, SimEvent};
use crate::faults::Fault;
use crate::network::{Network, Zone};
use crate::observer::Observer;
use crate::operators::{CallOrigin, Operator};
use crate::platform::Platform;
use crate::queue::EventQueue;
use crate::random::Random;
use crate::router_node::RouterNode;
use crate::settings::{MILLIS, SECONDS, Settings};
use crate::statistics::Statistics;
use crate::store::Store;
use crate::trace::Trace;
use millpass_checkers::{Event, History, ProcessName};
use millpass_control_plane::ConnectionId;
use millpass_proto::{
    BackendState, EngineOrder, HardState, Incarnation, LogPosition, Membership, ObjectChange,
    ObjectChangeOutcome, RouterName, Snapshot, SnapshotMeta,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const NETWORK_STREAM: u64 = 1;
const WORKLOAD_STREAM: u64 = 2;
const CLOCK_STREAM: u64 = 3;

/// A deployment in virtual time.
pub struct World {
    pub(crate) now: u64,
    pub(crate) queue: EventQueue<SimEvent>,
    pub(crate) random: Random,
    pub(crate) workload: Random,
    pub(crate) settings: Settings,
    pub(crate) network: Network,
    pub(crate) control: Vec<ControlNode>,
    pub(crate) disk_busy_until: Vec<u64>,
    pub(crate) disk_losses: u64,
    pub(crate) routers: Vec<RouterNode>,
    pub(crate) engines: Vec<EngineNode>,
    pub(crate) web: Vec<WebNode>,
    pub(crate) store: Store,
    pub(crate) platform: Platform,
    pub(crate) callers: Callers,
    pub(crate) operators: Vec<Operator>,
    pub(crate) calls: BTreeMap<u64, CallOrigin>,
    pub(crate) next_call: u64,
    pub(crate) next_connection: u64,
    pub(crate) next_delivery: u64,
    pub(crate) next_audit_member: usize,
    pub(crate) audit_is_read: bool,
    pub(crate) observer: Observer,
    pub(crate) initial_revision: u64,
    pub(crate) recent_orders: Vec<EngineOrder>,
    pub(crate) freeze_leader_at_order: bool,
    pub(crate) kill_next_loading_engine: bool,
    pub(crate) slow_store: bool,
    pub(crate) stale_reports: bool,
    pub(crate) dead_members: Vec<usize>,
    pub(crate) reachable: Vec<Option<bool>>,
    pub(crate) stream_times: BTreeMap<(ConnectionId, bool), u64>,
    pub(crate) answer_times: BTreeMap<ReplyTo, u64>,
    /// Recorded history.
    pub history: History,
    /// Trace hash and lines.
    pub trace: Trace,
    /// Event counts.
    pub statistics: Statistics,
    /// Failure of the simulator itself; `None` unless one occurred.
    pub failure: Option<String>,
}

/// Returns a disk with an empty log and no members.
pub fn empty_disk() -> Disk {
    let membership = Membership {
        voters: Vec::new(),
        outgoing_voters: Vec::new(),
        learners: Vec::new(),
    };
    disk_with(LogPosition::ZERO, membership, Vec::new())
}

fn disk_with(last: LogPosition, membership: Membership, data: Vec<u8>) -> Disk {
    let hard_state = HardState {
        term: last.term,
        voted_for: None,
    };
    let meta = SnapshotMeta { last, membership };
    let data = Arc::new(data.into());
    Disk::new(hard_state, Snapshot { meta, data })
}

impl World {
    /// Creates a deployment without running processes.
    pub fn new(settings: Settings, seed: u64, keep_lines: bool) -> anyhow::Result<Self> {
        let mut clocks = Random::new(seed, CLOCK_STREAM);
        let sizes = settings.sizes.clone();
        let initial = catalog::initial_state(&sizes)?;
        let (state, at) = (initial.state, initial.at);
        let voters = (0..sizes.members).map(|member_index| {
            member_address(
                member_index,
                member_index % sizes.zones,
                member_id(member_index, 0),
            )
        });
        let membership = Membership {
            voters: voters.collect(),
            outgoing_voters: Vec::new(),
            learners: Vec::new(),
        };
        let data = state.encode();
        let control = (0..sizes.members).map(|member_index| ControlNode {
            address: membership.voters[member_index].clone(),
            zone: member_index % sizes.zones,
            clock: NodeClock::new(&mut clocks),
            disk: disk_with(at, membership.clone(), data.clone()),
            core: None,
            run: 0,
            frozen: false,
            backlog: Vec::new(),
            connections: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            disk_lost: false,
            joining: false,
            draining: false,
        });
        let control: Vec<ControlNode> = control.collect();
        let routers = (0..sizes.routers).map(|index| {
            let name = RouterName(format!("router-{index}"));
            RouterNode::new(name, index % sizes.zones, NodeClock::new(&mut clocks))
        });
        let routers: Vec<RouterNode> = routers.collect();
        let engines = (0..sizes.engines)
            .map(|index| EngineNode::new(format!("engine-{index}").into(), index % sizes.zones));
        let web = (0..sizes.web)
            .map(|index| WebNode::new(format!("web-{index}").into(), index % sizes.zones));
        let operators =
            (0..settings.load.operators).map(|index| Operator::new(index % sizes.zones));
        let mut world = World {
            now: 0,
            queue: EventQueue::default(),
            random: Random::new(seed, NETWORK_STREAM),
            workload: Random::new(seed, WORKLOAD_STREAM),
            network: Network::default(),
            disk_busy_until: vec![0; control.len()],
            disk_losses: 0,
            reachable: vec![None; routers.len()],
            control,
            routers,
            engines: engines.collect(),
            web: web.collect(),
            store: Store::default(),
            platform: Platform::default(),
            callers: Callers::default(),
            operators: operators.collect(),
            calls: BTreeMap::new(),
            next_call: 0,
            next_connection: 0,
            next_delivery: 0,
            next_audit_member: 0,
            audit_is_read: false,
            initial_revision: state.configuration_revision().0,
            observer: Observer::new(state, at, membership),
            recent_orders: Vec::new(),
            freeze_leader_at_order: false,
            kill_next_loading_engine: false,
            slow_store: false,
            stale_reports: false,
            dead_members: Vec::new(),
            stream_times: BTreeMap::new(),
            answer_times: BTreeMap::new(),
            history: History::default(),
            trace: Trace::new(keep_lines),
            statistics: Statistics::default(),
            failure: None,
            settings,
        };
        for (change, outcome) in initial.changes {
            world.record_initial(change, outcome);
        }
        Ok(world)
    }

    /// Records a change that was accepted before the run.
    fn record_initial(&mut self, change: ObjectChange, outcome: ObjectChangeOutcome) {
        self.next_call += 1;
        let call = self.next_call;
        self.record(Event::ChangeCalled {
            call,
            object: change.key,
            expected_version: change.expected_version,
            change_id: change.change_id,
            deletes: false,
        });
        self.record(Event::ChangeReturned { call, outcome });
    }

    /// Starts every process and runs to the end under a fault plan.
    pub fn run(&mut self, plan: Vec<(u64, Fault)>) {
        self.start_everything();
        for (at, fault) in plan {
            self.queue.push(at, SimEvent::Fault(fault));
        }
        self.schedule_run();
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if matches!(event, SimEvent::RunEnd) || self.failure.is_some() {
                break;
            }
            self.handle(event);
        }
        self.record(Event::RunOver);
    }

    fn start_everything(&mut self) {
        for engine in 0..self.engines.len() {
            self.start_engine(engine, true);
            let machine = self.engines[engine].machine(BackendState::Live);
            let name = machine.backend.clone();
            self.platform.change(0, &name, Some(machine));
        }
        for web in 0..self.web.len() {
            self.start_web(web);
            let machine = self.web[web].machine(BackendState::Live);
            let name = machine.backend.clone();
            self.platform.change(0, &name, Some(machine));
        }
        for member_index in 0..self.control.len() {
            self.start_control(member_index);
        }
        for router in 0..self.routers.len() {
            self.start_router(router);
        }
        self.update_reachable();
    }

    fn schedule_run(&mut self) {
        let times = self.settings.times.clone();
        self.queue.push(times.healed, SimEvent::Heal);
        self.queue.push(times.audit, SimEvent::ReadAudit);
        self.queue.push(times.run_end, SimEvent::RunEnd);
        self.queue
            .push(SECONDS, SimEvent::Caller(CallerEvent::Next));
        let span = times.healed - SECONDS;
        for _ in 0..self.settings.load.bursts {
            let at = SECONDS + self.workload.below(span);
            let model = self.workload.index(self.settings.sizes.models);
            self.queue
                .push(at, SimEvent::Caller(CallerEvent::Burst(model)));
        }
        for operator in 0..self.operators.len() {
            let at = SECONDS + self.workload.below(SECONDS);
            self.queue
                .push(at, SimEvent::Operator(operator, OperatorEvent::Begin));
        }
        if self.settings.mechanisms.replayed_orders {
            self.queue.push(3 * SECONDS, SimEvent::ReplayOrder);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        self.statistics.events += 1;
        self.trace.mark(self.now, event_number(&event));
        match event {
            SimEvent::Control(member_index, run, event) => {
                self.control_event(member_index, run, event)
            }
            SimEvent::Router(router, run, event) => self.router_event(router, run, event),
            SimEvent::Engine(engine, run, event) => self.engine_event(engine, run, event),
            SimEvent::Web(web, run, event) => self.web_event(web, run, event),
            SimEvent::StoreLoadEnded(pending, load) => self.store_load_ended(pending, load),
            SimEvent::Caller(event) => self.caller_event(event),
            SimEvent::Operator(operator, event) => self.operator_event(operator, event),
            SimEvent::Fault(fault) => self.inject(fault),
            SimEvent::Heal => self.heal(),
            SimEvent::ReplayOrder => self.replay_order(),
            SimEvent::ReadAudit => self.read_audit(),
            SimEvent::ListedLeaving(backend, run) => self.listed_leaving(backend, run),
            SimEvent::LeaveNoticeElapsed(backend, run) => self.leave_notice_elapsed(backend, run),
            SimEvent::RunEnd => {}
        }
    }

    /// Records an event of the history.
    pub(crate) fn record(&mut self, event: Event) {
        let text = format!("{event:?}");
        self.trace.mark_text(self.now, &text);
        self.trace.line(self.now, || text);
        self.history.push(self.now, event);
    }

    /// Records several events of the history.
    pub(crate) fn record_all(&mut self, events: Vec<Event>) {
        for event in events {
            self.record(event);
        }
    }

    /// Adds an event of a core to the lines of the trace.
    pub(crate) fn trace_event(
        &mut self,
        kind: &str,
        index: usize,
        name: &str,
        pairs: &[(&'static str, String)],
    ) {
        self.trace.line(self.now, || {
            let pairs: Vec<String> = pairs
                .iter()
                .map(|(key, value)| format!("{key}={value}"))
                .collect();
            format!("{kind}-{index} {name} {}", pairs.join(" "))
        });
    }

    /// Ends the run with a failure of the simulator itself; the first reason is kept.
    pub(crate) fn fail(&mut self, reason: String) {
        self.failure.get_or_insert(reason);
    }

    /// Draws the incarnation of a new process.
    pub(crate) fn new_incarnation(&mut self) -> Incarnation {
        Incarnation(self.random.number() | 1)
    }

    /// Returns the arrival time of a message on a stream, not earlier than the previous one.
    pub(crate) fn stream_arrival(&mut self, stream: (ConnectionId, bool), delay: u64) -> u64 {
        let last = self.stream_times.entry(stream).or_insert(0);
        *last = (*last).max(self.now + delay);
        *last
    }

    /// Returns the arrival time of a part of an answer, not earlier than the previous part.
    pub(crate) fn answer_arrival(&mut self, reply_to: ReplyTo, delay: u64) -> u64 {
        let last = self.answer_times.entry(reply_to).or_insert(0);
        *last = (*last).max(self.now + delay);
        *last
    }

    /// Returns the engine with this address.
    pub(crate) fn engine_at(&self, address: &str) -> Option<usize> {
        self.engines
            .iter()
            .position(|node| node.address() == address)
    }

    /// Returns the web back end with this address.
    pub(crate) fn web_at(&self, address: &str) -> Option<usize> {
        self.web.iter().position(|node| node.address() == address)
    }

    /// Returns the back end with this address.
    pub(crate) fn back_end_at(&self, address: &str) -> Option<BackEnd> {
        let engine = self.engine_at(address).map(BackEnd::Engine);
        engine.or_else(|| self.web_at(address).map(BackEnd::Web))
    }

    /// Returns the zone of the back end with this address.
    pub(crate) fn zone_of_back_end(&self, address: &str) -> Option<Zone> {
        self.back_end_at(address)
            .map(|backend| self.zone_of(backend))
    }

    /// Returns the zone of a back end.
    pub(crate) fn zone_of(&self, backend: BackEnd) -> Zone {
        match backend {
            BackEnd::Engine(engine) => self.engines[engine].zone,
            BackEnd::Web(web) => self.web[web].zone,
        }
    }

    /// Whether a back end's process runs.
    pub(crate) fn is_alive(&self, backend: BackEnd) -> bool {
        match backend {
            BackEnd::Engine(engine) => self.engines[engine].alive,
            BackEnd::Web(web) => self.web[web].alive,
        }
    }

    /// Returns the name of a back end's process.
    pub(crate) fn back_end_name(&self, backend: BackEnd) -> ProcessName {
        match backend {
            BackEnd::Engine(engine) => ProcessName(self.engines[engine].name.0.clone()),
            BackEnd::Web(web) => ProcessName(self.web[web].name.0.clone()),
        }
    }

    /// Delivers a random earlier order to its engine again, as a sender outside the system would.
    fn replay_order(&mut self) {
        const INTERVAL: u64 = 200 * MILLIS;
        if self.now + INTERVAL < self.settings.times.run_end {
            self.queue.push(self.now + INTERVAL, SimEvent::ReplayOrder);
        }
        let Some(order) = self
            .recent_orders
            .get(self.workload.index(self.recent_orders.len()))
            .cloned()
        else {
            return;
        };
        let has_name = |node: &EngineNode| node.name == order.backend;
        if let Some(engine) = self.engines.iter().position(has_name) {
            let event = crate::event::EngineEvent::Order(Box::new(order), None);
            self.engine_later(engine, crate::event::ANY_RUN, MILLIS, event);
        }
    }

    /// Returns all zones.
    pub(crate) fn zones(&self) -> BTreeSet<Zone> {
        (0..self.settings.sizes.zones).collect()
    }
}

/// Returns a number for the kind and target of an event, for the trace hash.
fn event_number(event: &SimEvent) -> u64 {
    let (kind, index) = match event {
        SimEvent::Control(member_index, _, _) => (1, *member_index as u64),
        SimEvent::Router(router, _, _) => (2, *router as u64),
        SimEvent::Engine(engine, _, _) => (3, *engine as u64),
        SimEvent::Web(web, _, _) => (4, *web as u64),
        SimEvent::StoreLoadEnded(_, load) => (5, *load),
        SimEvent::Caller(_) => (7, 0),
        SimEvent::Operator(operator, _) => (8, *operator as u64),
        SimEvent::Fault(_) => (9, 0),
        SimEvent::Heal => (10, 0),
        SimEvent::ReplayOrder => (11, 0),
        SimEvent::ReadAudit => (12, 0),
        SimEvent::ListedLeaving(backend, _) => (13, backend.number()),
        SimEvent::LeaveNoticeElapsed(backend, _) => (14, backend.number()),
        SimEvent::RunEnd => (15, 0),
    };
    kind << 32 | index
}
