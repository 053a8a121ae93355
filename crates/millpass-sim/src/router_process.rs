//! Start and end of a router's process.

use crate::event::RouterEvent;
use crate::world::World;
use millpass_checkers::{AnswerOutcome, Event};
use millpass_routing::RoutingInput;

impl World {
    /// Begins a planned stop.
    pub(crate) fn drain_router(&mut self, router: usize) {
        if self.routers[router].core.is_none() || self.routers[router].frozen {
            return;
        }
        let process = self.router_name(router);
        self.record(Event::StopPlanned { process });
        self.routers[router].draining = true;
        if !self.settings.mechanisms.drains {
            return self.router_drained(router);
        }
        self.router_step(router, RoutingInput::Drain);
    }

    pub(crate) fn router_drained(&mut self, router: usize) {
        let process = self.router_name(router);
        self.record(Event::Stopped { process });
        self.end_router(router);
    }

    /// Ends a router's process; callers of requests in flight lose their connections.
    pub(crate) fn end_router(&mut self, router: usize) {
        let numbers: Vec<u64> = self.routers[router].requests.keys().copied().collect();
        for number in numbers {
            self.end_request(router, number, AnswerOutcome::ConnectionLost);
        }
        let backlog = std::mem::take(&mut self.routers[router].backlog);
        for event in backlog {
            self.drop_unread(event);
        }
        self.close_link(router);
        let node = &mut self.routers[router];
        node.run += 1;
        node.core = None;
        node.frozen = false;
    }

    /// Starts a router's process.
    pub(crate) fn start_router(&mut self, router: usize) {
        if self.routers[router].core.is_some() {
            return;
        }
        let incarnation = self.new_incarnation();
        let now = self.now;
        self.routers[router].start(now, incarnation);
        let process = self.router_name(router);
        self.record(Event::Started { process });
        self.router_later(router, 0, RouterEvent::Connect);
        self.router_later(router, self.settings.times.tick, RouterEvent::Tick);
        self.router_later(router, self.settings.times.poll, RouterEvent::Poll);
    }
}
