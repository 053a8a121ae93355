//! What the process around a control member's core does, in virtual time.

use crate::event::{ANY_RUN, ControlEvent, EngineEvent, OrderReply, RouterEvent, SimEvent};
use crate::settings::MILLIS;
use crate::world::World;
use millpass_checkers::ProcessName;
use millpass_control_plane::{AdministrationRequest, ConnectionId, ControlInput, ControlOutput};
use millpass_proto::{
    ControlToRouter, EngineOrder, OrderResponse, PeerEnvelope, PeerMessage, RouterToControl,
};

const SYNC_MICROS: u64 = 800;
const SYNC_JITTER_MICROS: u64 = 1_500;
const SLOW_SYNC_PERMILLE: u64 = 10;
const SLOW_SYNC_MICROS: u64 = 60 * MILLIS;
const SNAPSHOT_MICROS: u64 = 30 * MILLIS;
const HANDOFF_MICROS: u64 = 300;
/// Old orders that a rogue sender may deliver again.
const REMEMBERED_ORDERS: usize = 64;

impl World {
    /// Name of the process at a place.
    pub(crate) fn control_name(place: usize) -> ProcessName {
        ProcessName(format!("control-{place}"))
    }

    /// Schedules an event for a member's present run.
    pub(crate) fn control_later(&mut self, place: usize, delay: u64, event: ControlEvent) {
        let run = self.control[place].run;
        let at = self.now + delay;
        self.queue.push(at, SimEvent::Control(place, run, event));
    }

    /// Handles an event of a member.
    pub(crate) fn control_event(&mut self, place: usize, run: u64, event: ControlEvent) {
        let node = &mut self.control[place];
        if node.run != run || node.core.is_none() {
            return;
        }
        if let ControlEvent::DiskSynced(write) = event {
            node.disk.sync(write);
            let input = ControlInput::Persisted { write };
            return self.control_runs(place, ControlEvent::Input(Box::new(input)));
        }
        if let ControlEvent::SnapshotSaved(snapshot) = event {
            return node.disk.save_snapshot(*snapshot);
        }
        self.control_runs(place, event);
    }

    /// Lets the process handle an event, now or when it wakes.
    fn control_runs(&mut self, place: usize, event: ControlEvent) {
        let node = &mut self.control[place];
        if !node.frozen {
            return self.control_handle(place, event);
        }
        if !matches!(event, ControlEvent::Tick) {
            node.backlog.push(event);
        }
    }

    fn control_handle(&mut self, place: usize, event: ControlEvent) {
        match event {
            ControlEvent::Tick => {
                let tick = self.settings.times.tick;
                self.control_later(place, tick, ControlEvent::Tick);
                self.control_step(place, ControlInput::Tick);
            }
            ControlEvent::Input(input) => self.control_step(place, *input),
            ControlEvent::Act(output) => self.control_act(place, *output),
            ControlEvent::Opened(connection, router, run) => {
                let peer = (router, run);
                self.control[place].connections.insert(connection, peer);
            }
            ControlEvent::FromRouter(connection, message) => {
                if self.control[place].connections.contains_key(&connection) {
                    let message = *message;
                    self.control_step(
                        place,
                        ControlInput::Router {
                            connection,
                            message,
                        },
                    );
                }
            }
            ControlEvent::Closed(connection) => {
                if self.control[place]
                    .connections
                    .remove(&connection)
                    .is_some()
                {
                    self.control_step(place, ControlInput::RouterDisconnected(connection));
                }
            }
            ControlEvent::AskToJoin => self.ask_to_join(place),
            ControlEvent::OrderAnswered(delivery, answer) => {
                self.order_answered(place, delivery, answer);
            }
            ControlEvent::DiskSynced(_) | ControlEvent::SnapshotSaved(_) => {}
        }
    }

    /// Gives an input to the core and carries out what it wants.
    pub(crate) fn control_step(&mut self, place: usize, input: ControlInput) {
        let now = self.now;
        let node = &mut self.control[place];
        let (local, wall) = (node.clock.local(now), node.clock.unix_millis(now));
        let Some(core) = &mut node.core else {
            return;
        };
        let outputs = core.step(local, wall, input);
        for output in outputs {
            self.control_output(place, output);
        }
    }

    fn control_output(&mut self, place: usize, output: ControlOutput) {
        match output {
            ControlOutput::Persist(request) => {
                let member = self.control[place].address.member;
                self.observer.wrote(member, &request);
                let write = request.write;
                self.control[place].disk.write(request);
                let latency = self.sync_latency(place);
                self.control_later(place, latency, ControlEvent::DiskSynced(write));
            }
            ControlOutput::SaveSnapshot(snapshot) => {
                let event = ControlEvent::SnapshotSaved(Box::new(snapshot));
                self.control_later(place, SNAPSHOT_MICROS, event);
            }
            ControlOutput::Event(event) => {
                self.trace_event("control", place, event.name, &event.pairs)
            }
            ControlOutput::SendPeer { address, envelope } => {
                self.send_peer(place, &address, envelope);
            }
            ControlOutput::DeliverOrder { .. } => {
                let delay = self.random.below(HANDOFF_MICROS);
                self.control_later(place, delay, ControlEvent::Act(Box::new(output)));
                if self.freeze_leader_at_order {
                    self.freeze_leader_at_order = false;
                    self.freeze_control(place);
                }
            }
            other => self.control_act(place, other),
        }
    }

    /// Time until a write is synced; syncs of one disk end in order.
    fn sync_latency(&mut self, place: usize) -> u64 {
        let mut latency = SYNC_MICROS + self.random.below(SYNC_JITTER_MICROS);
        if self.random.chance(SLOW_SYNC_PERMILLE) {
            latency += SLOW_SYNC_MICROS;
        }
        let busy_until = &mut self.disk_busy_until[place];
        *busy_until = (*busy_until).max(self.now + latency);
        *busy_until - self.now
    }

    fn control_act(&mut self, place: usize, output: ControlOutput) {
        match output {
            ControlOutput::SendRouter {
                connection,
                message,
            } => self.send_to_router(place, connection, *message),
            ControlOutput::DeliverOrder { address, order } => {
                self.deliver_order(place, &address, order);
            }
            ControlOutput::ReadPlatform => {
                let list = self.platform.read(self.now);
                let delay = self.random.between(MILLIS, 5 * MILLIS);
                let input = ControlInput::PlatformListed(list);
                self.control_later(place, delay, ControlEvent::Input(Box::new(input)));
            }
            ControlOutput::AdministrationResponse {
                call,
                response: answer,
            } => self.answer_operator(place, call, answer),
            ControlOutput::Stopped => self.control_stopped(place),
            ControlOutput::ForwardJoin { address, joiner } => {
                if let Some(target) = self.place_of_peer(&address) {
                    let delay = self.random.between(MILLIS, 5 * MILLIS);
                    let input = ControlInput::Join(joiner);
                    self.control_later(target, delay, ControlEvent::Input(Box::new(input)));
                }
            }
            // No instances announce themselves here.
            ControlOutput::SendShare { .. }
            | ControlOutput::SendShareResponse { .. }
            | ControlOutput::Instruct { .. }
            | ControlOutput::ReadEngine { .. }
            | ControlOutput::DocumentReached(_)
            | ControlOutput::DepartureReached(_) => {}
            ControlOutput::Persist(_)
            | ControlOutput::SaveSnapshot(_)
            | ControlOutput::Event(_)
            | ControlOutput::SendPeer { .. } => {}
        }
    }

    fn send_peer(&mut self, place: usize, address: &str, envelope: PeerEnvelope) {
        if let PeerMessage::AppendRequest(request) = &envelope.message {
            let events = self
                .observer
                .leads(envelope.from, envelope.term, request.commit);
            self.record_all(events);
        }
        let Some(target) = self.place_of_peer(address) else {
            return;
        };
        let (from, to) = (self.control[place].zone, self.control[target].zone);
        for delay in self.network.delays(&mut self.random, from, to) {
            let input = ControlInput::Peer(envelope.clone());
            self.control_later(target, delay, ControlEvent::Input(Box::new(input)));
        }
    }

    /// Place of the member that listens at a peer or administration address.
    pub(crate) fn place_of_peer(&self, address: &str) -> Option<usize> {
        self.control.iter().position(|node| {
            node.address.peer_address == address || node.address.administration_address == address
        })
    }

    fn send_to_router(&mut self, place: usize, connection: ConnectionId, message: ControlToRouter) {
        let node = &self.control[place];
        let Some(&(router, run)) = node.connections.get(&connection) else {
            return;
        };
        let (from, to) = (node.zone, self.routers[router].zone);
        match self.network.stream_delay(&mut self.random, from, to) {
            Some(delay) => {
                let message = self.tampered(message);
                let event = RouterEvent::FromControl(connection, Box::new(message));
                let at = self.in_order((connection, true), delay);
                self.queue.push(at, SimEvent::Router(router, run, event));
            }
            // A stream over a cut breaks once its ends notice.
            None => self.break_link(place, connection),
        }
    }

    /// What a router is given: leases without end, or no change of the catalog, when that
    /// mechanism is off.
    fn tampered(&self, message: ControlToRouter) -> ControlToRouter {
        const NEVER_MILLIS: u64 = 3_600_000;
        let ControlToRouter::Update(mut update) = message else {
            return message;
        };
        if !self.settings.mechanisms.leases_end {
            update.lease_millis = NEVER_MILLIS;
        }
        let known = update.configuration.as_ref().map(|delta| delta.to.0);
        if !self.settings.mechanisms.catalog_changes && known > Some(self.initial_revision) {
            update.configuration = None;
        }
        ControlToRouter::Update(update)
    }

    /// Ends a connection; each end learns of it once messages pass again, or by its own timeout.
    pub(crate) fn break_link(&mut self, place: usize, connection: ConnectionId) {
        let Some((router, run)) = self.control[place].connections.get(&connection).copied() else {
            return;
        };
        let timeout = self.settings.times.link_timeout;
        let at = self.now + timeout;
        let lost = RouterEvent::LinkEnded(connection);
        self.queue.push(at, SimEvent::Router(router, run, lost));
        self.control_later(place, timeout, ControlEvent::Closed(connection));
    }

    fn deliver_order(&mut self, place: usize, address: &str, order: EngineOrder) {
        let member = self.control[place].address.member;
        let fence = order.fence;
        let events = self.observer.leads(member, fence.term, fence.index);
        self.record_all(events);
        self.remember_order(&order);
        let delivery = self.open_delivery(place, &order);
        let Some(engine) = self.engine_at(address) else {
            return;
        };
        let reply_to = OrderReply {
            place,
            run: self.control[place].run,
            delivery,
        };
        let (from, to) = (self.control[place].zone, self.engines[engine].zone);
        for delay in self.network.delays(&mut self.random, from, to) {
            // An order reaches whatever run of the engine listens when it arrives.
            let event = EngineEvent::Order(Box::new(order.clone()), Some(reply_to));
            self.engine_later(engine, ANY_RUN, delay, event);
        }
    }

    /// Notes a delivery under way; without an answer in time it counts as unanswered.
    fn open_delivery(&mut self, place: usize, order: &EngineOrder) -> u64 {
        self.next_delivery += 1;
        let delivery = self.next_delivery;
        let subject = (order.backend.clone(), order.fence);
        self.control[place].deliveries.insert(delivery, subject);
        let timeout = self.settings.times.call_timeout;
        self.control_later(place, timeout, ControlEvent::OrderAnswered(delivery, None));
        delivery
    }

    /// The first answer to a delivery counts.
    fn order_answered(&mut self, place: usize, delivery: u64, answer: Option<OrderResponse>) {
        let Some((backend, fence)) = self.control[place].deliveries.remove(&delivery) else {
            return;
        };
        let input = ControlInput::OrderDelivered {
            backend,
            fence,
            response: answer,
        };
        self.control_step(place, input);
    }

    fn remember_order(&mut self, order: &EngineOrder) {
        if self.old_orders.len() == REMEMBERED_ORDERS {
            self.old_orders.remove(0);
        }
        self.old_orders.push(order.clone());
    }

    /// A call of the administration API reaches a member.
    pub(crate) fn administration_call(
        &mut self,
        place: usize,
        delay: u64,
        call: u64,
        request: AdministrationRequest,
    ) {
        let input = ControlInput::Administration { call, request };
        self.control_later(place, delay, ControlEvent::Input(Box::new(input)));
    }

    /// A router's message on its way to a member.
    pub(crate) fn send_to_control(
        &mut self,
        place: usize,
        at: u64,
        connection: ConnectionId,
        message: RouterToControl,
    ) {
        let run = self.control[place].run;
        let event = ControlEvent::FromRouter(connection, Box::new(message));
        self.queue.push(at, SimEvent::Control(place, run, event));
    }
}
