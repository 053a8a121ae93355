//! A router's link to the control group: opened to one member after the other until one leads.

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
        let place = self.routers[router].next_member % self.control.len();
        self.routers[router].next_member = place + 1;
        self.routers[router].link = Link::Opening(connection);
        let (from, to) = (self.routers[router].zone, self.control[place].zone);
        let both = self.network.passes_both(from, to);
        let listens = self.control[place].runs();
        let delay = self.network.delay(&mut self.random, from, to);
        match delay {
            Some(delay) if both && listens => {
                let run = self.routers[router].run;
                let opened = ControlEvent::Opened(connection, router, run);
                self.control_later(place, delay, opened);
                let connected = RouterEvent::Connected(connection, place);
                self.router_later(router, 2 * delay, connected);
            }
            _ => {
                let ended = RouterEvent::LinkEnded(connection);
                self.router_later(router, RECONNECT_MICROS, ended);
            }
        }
    }

    /// The link is open.
    pub(crate) fn connected(&mut self, router: usize, connection: ConnectionId, place: usize) {
        if self.routers[router].link != Link::Opening(connection) {
            return;
        }
        self.routers[router].link = Link::Up {
            connection,
            place,
            heard_at: self.now,
        };
        self.router_step(router, RoutingInput::LinkUp);
    }

    /// The link ended.
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

    /// Gives up a link that is silent for too long.
    pub(crate) fn check_link(&mut self, router: usize) {
        let Link::Up {
            connection,
            heard_at,
            ..
        } = self.routers[router].link
        else {
            return;
        };
        if self.now - heard_at > self.settings.times.link_timeout {
            self.close_link(router);
            self.link_ended(router, connection);
        }
    }

    /// Closes the router's end; the other end learns of it if messages pass.
    pub(crate) fn close_link(&mut self, router: usize) {
        let Link::Up {
            connection, place, ..
        } = self.routers[router].link
        else {
            return;
        };
        let (from, to) = (self.routers[router].zone, self.control[place].zone);
        let delay = if self.network.passes(from, to) {
            2 * MILLIS
        } else {
            self.settings.times.link_timeout
        };
        let at = self.in_order((connection, false), delay);
        let run = self.control[place].run;
        let closed = ControlEvent::Closed(connection);
        self.queue.push(at, SimEvent::Control(place, run, closed));
    }

    /// Sends a message on the link, if it is up.
    pub(crate) fn send_to_leader(&mut self, router: usize, message: RouterToControl) {
        let Link::Up {
            connection, place, ..
        } = self.routers[router].link
        else {
            return;
        };
        let (from, to) = (self.routers[router].zone, self.control[place].zone);
        match self.network.stream_delay(&mut self.random, from, to) {
            Some(delay) => {
                let at = self.in_order((connection, false), delay);
                self.send_to_control(place, at, connection, message);
            }
            None => self.break_link(place, connection),
        }
    }

    /// A message came on the link.
    pub(crate) fn take_control_message(
        &mut self,
        router: usize,
        connection: ConnectionId,
        message: ControlToRouter,
    ) {
        match &mut self.routers[router].link {
            Link::Up {
                connection: up,
                heard_at,
                ..
            } if *up == connection => *heard_at = self.now,
            _ => return,
        }
        match message {
            ControlToRouter::Update(update) => {
                self.router_step(router, RoutingInput::Update(update));
            }
            ControlToRouter::ChangesAvailable => {
                self.router_step(router, RoutingInput::ChangesAvailable)
            }
            // For gateways only.
            ControlToRouter::Gateway(_)
            | ControlToRouter::Credit(_)
            | ControlToRouter::Crashes(_)
            | ControlToRouter::Permits(_)
            | ControlToRouter::Limits(_) => {}
            ControlToRouter::Claim(answer) => {
                self.claim_answered(router, answer.attempt, answer.decision);
            }
            ControlToRouter::ClaimFinished(attempt) => self.claim_finished(router, attempt),
            ControlToRouter::NotLeader(not_leader) => self.follow(router, connection, &not_leader),
        }
    }

    fn follow(&mut self, router: usize, connection: ConnectionId, not_leader: &NotLeader) {
        let leader = not_leader.leader_address.as_deref();
        if let Some(place) = leader.and_then(|address| self.place_of_peer(address)) {
            self.routers[router].next_member = place;
        }
        self.close_link(router);
        self.link_ended(router, connection);
    }
}
