//! Host of a control member's core in virtual time.

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
/// Orders kept for replay.
const MAXIMUM_RECENT_ORDERS: usize = 64;

impl World {
    /// Returns the name of the process of a member.
    pub(crate) fn control_name(member_index: usize) -> ProcessName {
        ProcessName(format!("control-{member_index}"))
    }

    /// Schedules an event for the current run of a member.
    pub(crate) fn control_later(&mut self, member_index: usize, delay: u64, event: ControlEvent) {
        let run = self.control[member_index].run;
        let at = self.now + delay;
        self.queue
            .push(at, SimEvent::Control(member_index, run, event));
    }

    /// Handles an event of a member.
    pub(crate) fn control_event(&mut self, member_index: usize, run: u64, event: ControlEvent) {
        let node = &mut self.control[member_index];
        if node.run != run || node.core.is_none() {
            return;
        }
        if let ControlEvent::DiskSynced(write) = event {
            node.disk.sync(write);
            let input = ControlInput::Persisted { write };
            return self.handle_unless_frozen(member_index, ControlEvent::Input(Box::new(input)));
        }
        if let ControlEvent::SnapshotSaved(snapshot) = event {
            return node.disk.save_snapshot(*snapshot);
        }
        self.handle_unless_frozen(member_index, event);
    }

    /// Handles an event now, or after the process resumes if it is frozen.
    fn handle_unless_frozen(&mut self, member_index: usize, event: ControlEvent) {
        let node = &mut self.control[member_index];
        if !node.frozen {
            return self.control_handle(member_index, event);
        }
        if !matches!(event, ControlEvent::Tick) {
            node.backlog.push(event);
        }
    }

    fn control_handle(&mut self, member_index: usize, event: ControlEvent) {
        match event {
            ControlEvent::Tick => {
                let tick = self.settings.times.tick;
                self.control_later(member_index, tick, ControlEvent::Tick);
                self.control_step(member_index, ControlInput::Tick);
            }
            ControlEvent::Input(input) => self.control_step(member_index, *input),
            ControlEvent::Execute(output) => self.execute_output(member_index, *output),
            ControlEvent::Opened(connection, router, run) => {
                let peer = (router, run);
                self.control[member_index]
                    .connections
                    .insert(connection, peer);
            }
            ControlEvent::FromRouter(connection, message) => {
                if self.control[member_index]
                    .connections
                    .contains_key(&connection)
                {
                    let message = *message;
                    self.control_step(
                        member_index,
                        ControlInput::Router {
                            connection,
                            message,
                        },
                    );
                }
            }
            ControlEvent::Closed(connection) => {
                if self.control[member_index]
                    .connections
                    .remove(&connection)
                    .is_some()
                {
                    self.control_step(member_index, ControlInput::RouterDisconnected(connection));
                }
            }
            ControlEvent::RequestJoin => self.request_join(member_index),
            ControlEvent::DeliveryEnded(delivery, response) => {
                self.end_delivery(member_index, delivery, response);
            }
            ControlEvent::DiskSynced(_) | ControlEvent::SnapshotSaved(_) => {}
        }
    }

    /// Passes an input to the core and executes its outputs.
    pub(crate) fn control_step(&mut self, member_index: usize, input: ControlInput) {
        let now = self.now;
        let node = &mut self.control[member_index];
        let (local, wall) = (node.clock.local(now), node.clock.unix_millis(now));
        let Some(core) = &mut node.core else {
            return;
        };
        let outputs = core.step(local, wall, input);
        for output in outputs {
            self.control_output(member_index, output);
        }
    }

    fn control_output(&mut self, member_index: usize, output: ControlOutput) {
        match output {
            ControlOutput::Persist(request) => {
                let member = self.control[member_index].address.member;
                self.observer.record_write(member, &request);
                let write = request.write;
                self.control[member_index].disk.write(request);
                let latency = self.sync_latency(member_index);
                self.control_later(member_index, latency, ControlEvent::DiskSynced(write));
            }
            ControlOutput::SaveSnapshot(snapshot) => {
                let event = ControlEvent::SnapshotSaved(Box::new(snapshot));
                self.control_later(member_index, SNAPSHOT_MICROS, event);
            }
            ControlOutput::Event(event) => {
                self.trace_event("control", member_index, event.name, &event.pairs)
            }
            ControlOutput::SendPeer { address, envelope } => {
                self.send_peer(member_index, &address, envelope);
            }
            ControlOutput::DeliverOrder { .. } => {
                let delay = self.random.below(HANDOFF_MICROS);
                self.control_later(member_index, delay, ControlEvent::Execute(Box::new(output)));
                if self.freeze_leader_at_order {
                    self.freeze_leader_at_order = false;
                    self.freeze_control(member_index);
                }
            }
            other => self.execute_output(member_index, other),
        }
    }

    /// Returns the time until a write is synced; syncs of one disk complete in order.
    fn sync_latency(&mut self, member_index: usize) -> u64 {
        let mut latency = SYNC_MICROS + self.random.below(SYNC_JITTER_MICROS);
        if self.random.chance(SLOW_SYNC_PERMILLE) {
            latency += SLOW_SYNC_MICROS;
        }
        let busy_until = &mut self.disk_busy_until[member_index];
        *busy_until = (*busy_until).max(self.now + latency);
        *busy_until - self.now
    }

    fn execute_output(&mut self, member_index: usize, output: ControlOutput) {
        match output {
            ControlOutput::SendRouter {
                connection,
                message,
            } => self.send_to_router(member_index, connection, *message),
            ControlOutput::DeliverOrder { address, order } => {
                self.deliver_order(member_index, &address, order);
            }
            ControlOutput::ReadPlatform => {
                let list = self.platform.read(self.now);
                let delay = self.random.between(MILLIS, 5 * MILLIS);
                let input = ControlInput::PlatformListed(list);
                self.control_later(member_index, delay, ControlEvent::Input(Box::new(input)));
            }
            ControlOutput::AdministrationResponse { call, response } => {
                self.send_administration_response(member_index, call, response)
            }
            ControlOutput::Stopped => self.control_stopped(member_index),
            ControlOutput::ForwardJoin { address, joiner } => {
                if let Some(target) = self.member_index_at(&address) {
                    let delay = self.random.between(MILLIS, 5 * MILLIS);
                    let input = ControlInput::Join(joiner);
                    self.control_later(target, delay, ControlEvent::Input(Box::new(input)));
                }
            }
            // The simulator has no instances that announce themselves.
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

    fn send_peer(&mut self, member_index: usize, address: &str, envelope: PeerEnvelope) {
        if let PeerMessage::AppendRequest(request) = &envelope.message {
            let events = self
                .observer
                .record_leader(envelope.from, envelope.term, request.commit);
            self.record_all(events);
        }
        let Some(target) = self.member_index_at(address) else {
            return;
        };
        let (from, to) = (self.control[member_index].zone, self.control[target].zone);
        for delay in self.network.delays(&mut self.random, from, to) {
            let input = ControlInput::Peer(envelope.clone());
            self.control_later(target, delay, ControlEvent::Input(Box::new(input)));
        }
    }

    /// Returns the index of the member with this peer or administration address.
    pub(crate) fn member_index_at(&self, address: &str) -> Option<usize> {
        self.control.iter().position(|node| {
            node.address.peer_address == address || node.address.administration_address == address
        })
    }

    fn send_to_router(
        &mut self,
        member_index: usize,
        connection: ConnectionId,
        message: ControlToRouter,
    ) {
        let node = &self.control[member_index];
        let Some(&(router, run)) = node.connections.get(&connection) else {
            return;
        };
        let (from, to) = (node.zone, self.routers[router].zone);
        match self.network.stream_delay(&mut self.random, from, to) {
            Some(delay) => {
                let message = self.apply_disabled_mechanisms(message);
                let event = RouterEvent::FromControl(connection, Box::new(message));
                let at = self.stream_arrival((connection, true), delay);
                self.queue.push(at, SimEvent::Router(router, run, event));
            }
            // A stream between partitioned zones breaks once its ends detect it.
            None => self.break_link(member_index, connection),
        }
    }

    /// Extends the lease or drops the catalog change of an update if that mechanism is disabled.
    fn apply_disabled_mechanisms(&self, message: ControlToRouter) -> ControlToRouter {
        const NEVER_MILLIS: u64 = 3_600_000;
        let ControlToRouter::Update(mut update) = message else {
            return message;
        };
        if !self.settings.mechanisms.leases_expire {
            update.lease_millis = NEVER_MILLIS;
        }
        let new_revision = update.configuration.as_ref().map(|delta| delta.to.0);
        if !self.settings.mechanisms.catalog_changes && new_revision > Some(self.initial_revision) {
            update.configuration = None;
        }
        ControlToRouter::Update(update)
    }

    /// Ends a connection; both ends detect it after the link timeout.
    pub(crate) fn break_link(&mut self, member_index: usize, connection: ConnectionId) {
        let Some((router, run)) = self.control[member_index]
            .connections
            .get(&connection)
            .copied()
        else {
            return;
        };
        let timeout = self.settings.times.link_timeout;
        let at = self.now + timeout;
        let lost = RouterEvent::LinkEnded(connection);
        self.queue.push(at, SimEvent::Router(router, run, lost));
        self.control_later(member_index, timeout, ControlEvent::Closed(connection));
    }

    fn deliver_order(&mut self, member_index: usize, address: &str, order: EngineOrder) {
        let member = self.control[member_index].address.member;
        let fence = order.fence;
        let events = self.observer.record_leader(member, fence.term, fence.index);
        self.record_all(events);
        self.record_order(&order);
        let delivery = self.open_delivery(member_index, &order);
        let Some(engine) = self.engine_at(address) else {
            return;
        };
        let reply_to = OrderReply {
            member_index,
            run: self.control[member_index].run,
            delivery,
        };
        let (from, to) = (self.control[member_index].zone, self.engines[engine].zone);
        for delay in self.network.delays(&mut self.random, from, to) {
            // An order reaches any run of the engine; its fence and incarnation reject stale ones.
            let event = EngineEvent::Order(Box::new(order.clone()), Some(reply_to));
            self.engine_later(engine, ANY_RUN, delay, event);
        }
    }

    /// Records a delivery and schedules its timeout.
    fn open_delivery(&mut self, member_index: usize, order: &EngineOrder) -> u64 {
        self.next_delivery += 1;
        let delivery = self.next_delivery;
        let subject = (order.backend.clone(), order.fence);
        self.control[member_index]
            .deliveries
            .insert(delivery, subject);
        let timeout = self.settings.times.call_timeout;
        self.control_later(
            member_index,
            timeout,
            ControlEvent::DeliveryEnded(delivery, None),
        );
        delivery
    }

    /// Passes the first response to a delivery, or its timeout, to the core.
    fn end_delivery(
        &mut self,
        member_index: usize,
        delivery: u64,
        response: Option<OrderResponse>,
    ) {
        let Some((backend, fence)) = self.control[member_index].deliveries.remove(&delivery) else {
            return;
        };
        let input = ControlInput::OrderDelivered {
            backend,
            fence,
            response,
        };
        self.control_step(member_index, input);
    }

    fn record_order(&mut self, order: &EngineOrder) {
        if self.recent_orders.len() == MAXIMUM_RECENT_ORDERS {
            self.recent_orders.remove(0);
        }
        self.recent_orders.push(order.clone());
    }

    /// Schedules the arrival of an administration call at a member.
    pub(crate) fn administration_call(
        &mut self,
        member_index: usize,
        delay: u64,
        call: u64,
        request: AdministrationRequest,
    ) {
        let input = ControlInput::Administration { call, request };
        self.control_later(member_index, delay, ControlEvent::Input(Box::new(input)));
    }

    /// Schedules the arrival of a router's message at a member.
    pub(crate) fn send_to_control(
        &mut self,
        member_index: usize,
        at: u64,
        connection: ConnectionId,
        message: RouterToControl,
    ) {
        let run = self.control[member_index].run;
        let event = ControlEvent::FromRouter(connection, Box::new(message));
        self.queue
            .push(at, SimEvent::Control(member_index, run, event));
    }
}
