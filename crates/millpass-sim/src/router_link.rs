//! A router's link to the control group; it tries one member after another until one leads.

use crate::event::{ControlEvent, RouterEvent, SimEvent};
use crate::router_node::Link;
use crate::settings::MILLIS;
use crate::world::World;
use millpass_control_plane::ConnectionId;
use millpass_proto::{ControlToRouter, NotLeader, RouterToControl};
use millpass_routing::RoutingInput;

const RECONNECT_MICROS: u64 = 100 * MILLIS;

impl World {
    /// Opens the link to the next member.
    pub(crate) fn connect(&mut self, router: usize) {
        if self.routers[router].link != Link::Down {
            return;
        }
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let member_index = self.routers[router].next_member % self.control.len();
        self.routers[router].next_member = member_index + 1;
        self.routers[router].link = Link::Opening(connection);
        let (from, to) = (self.routers[router].zone, self.control[member_index].zone);
        let both = self.network.passes_both(from, to);
        let listens = self.control[member_index].runs();
        let delay = self.network.delay(&mut self.random, from, to);
        match delay {
            Some(delay) if both && listens => {
                let run = self.routers[router].run;
                let opened = ControlEvent::Opened(connection, router, run);
                self.control_later(member_index, delay, opened);
                let connected = RouterEvent::Connected(connection, member_index);
                self.router_later(router, 2 * delay, connected);
            }
            _ => {
                let ended = RouterEvent::LinkEnded(connection);
                self.router_later(router, RECONNECT_MICROS, ended);
            }
        }
    }

    /// Handles the opening of the link.
    pub(crate) fn connected(
        &mut self,
        router: usize,
        connection: ConnectionId,
        member_index: usize,
    ) {
        if self.routers[router].link != Link::Opening(connection) {
            return;
        }
        self.routers[router].link = Link::Up {
            connection,
            member_index,
            last_message_at: self.now,
        };
        self.router_step(router, RoutingInput::LinkUp);
    }

    /// Handles the end of the link and schedules the next connection attempt.
    pub(crate) fn link_ended(&mut self, router: usize, connection: ConnectionId) {
        let was_up = match self.routers[router].link {
            Link::Down => return,
            Link::Opening(opening) if opening == connection => false,
            Link::Up { connection: up, .. } if up == connection => true,
            _ => return,
        };
        self.routers[router].link = Link::Down;
        if was_up {
            self.router_step(router, RoutingInput::LinkDown);
        }
        self.router_later(router, RECONNECT_MICROS / 2, RouterEvent::Connect);
    }

    /// Closes a link without messages for longer than the link timeout.
    pub(crate) fn check_link(&mut self, router: usize) {
        let Link::Up {
            connection,
            last_message_at,
            ..
        } = self.routers[router].link
        else {
            return;
        };
        if self.now - last_message_at > self.settings.times.link_timeout {
            self.close_link(router);
            self.link_ended(router, connection);
        }
    }

    /// Closes the link. The member is notified, or detects it by the link timeout if partitioned.
    pub(crate) fn close_link(&mut self, router: usize) {
        let Link::Up {
            connection,
            member_index,
            ..
        } = self.routers[router].link
        else {
            return;
        };
        let (from, to) = (self.routers[router].zone, self.control[member_index].zone);
        let delay = if self.network.passes(from, to) {
            2 * MILLIS
        } else {
            self.settings.times.link_timeout
        };
        let at = self.stream_arrival((connection, false), delay);
        let run = self.control[member_index].run;
        let closed = ControlEvent::Closed(connection);
        self.queue
            .push(at, SimEvent::Control(member_index, run, closed));
    }

    /// Sends a message on the link, if it is up.
    pub(crate) fn send_to_leader(&mut self, router: usize, message: RouterToControl) {
        let Link::Up {
            connection,
            member_index,
            ..
        } = self.routers[router].link
        else {
            return;
        };
        let (from, to) = (self.routers[router].zone, self.control[member_index].zone);
        match self.network.stream_delay(&mut self.random, from, to) {
            Some(delay) => {
                let at = self.stream_arrival((connection, false), delay);
                self.send_to_control(member_index, at, connection, message);
            }
            None => self.break_link(member_index, connection),
        }
    }

    /// Handles a message received on the link.
    pub(crate) fn handle_control_message(
        &mut self,
        router: usize,
        connection: ConnectionId,
        message: ControlToRouter,
    ) {
        match &mut self.routers[router].link {
            Link::Up {
                connection: up,
                last_message_at,
                ..
            } if *up == connection => *last_message_at = self.now,
            _ => return,
        }
        match message {
            ControlToRouter::Update(update) => {
                self.router_step(router, RoutingInput::Update(update));
            }
            ControlToRouter::ChangesAvailable => {
                self.router_step(router, RoutingInput::ChangesAvailable)
            }
            // Sent to gateways only.
            ControlToRouter::Gateway(_)
            | ControlToRouter::Credit(_)
            | ControlToRouter::Crashes(_)
            | ControlToRouter::Permits(_)
            | ControlToRouter::Limits(_)
            | ControlToRouter::Peers(_)
            | ControlToRouter::Origins(_)
            | ControlToRouter::Runs(_) => {}
            ControlToRouter::Claim(response) => {
                self.handle_claim_decision(router, response.attempt, response.decision);
            }
            ControlToRouter::ClaimFinished(attempt) => self.claim_finished(router, attempt),
            ControlToRouter::NotLeader(not_leader) => {
                self.reconnect_to_leader(router, connection, &not_leader)
            }
        }
    }

    fn reconnect_to_leader(
        &mut self,
        router: usize,
        connection: ConnectionId,
        not_leader: &NotLeader,
    ) {
        let leader = not_leader.leader_address.as_deref();
        if let Some(member_index) = leader.and_then(|address| self.member_index_at(address)) {
            self.routers[router].next_member = member_index;
        }
        self.close_link(router);
        self.link_ended(router, connection);
    }
}
