//! Start and end of a control member's process.

use crate::control_node::member_id;
use crate::event::{ControlEvent, RouterEvent, SimEvent};
use crate::settings::{MILLIS, SECONDS, StoreLimits};
use crate::world::World;
use millpass_checkers::Event;
use millpass_control_plane::{ConnectionId, ControlInput};

const JOIN_INTERVAL: u64 = SECONDS;

impl World {
    /// Requests membership from every other member, until the process is a member.
    pub(crate) fn request_join(&mut self, place: usize) {
        let address = self.control[place].address.clone();
        let voters = &self.observer.membership().voters;
        if voters.iter().any(|voter| voter.member == address.member) {
            self.control[place].joining = false;
            return;
        }
        self.control_later(place, JOIN_INTERVAL, ControlEvent::RequestJoin);
        for target in 0..self.control.len() {
            let (from, to) = (self.control[place].zone, self.control[target].zone);
            if target == place {
                continue;
            }
            if let Some(delay) = self.network.delay(&mut self.random, from, to) {
                let input = ControlInput::Join(address.clone());
                self.control_later(target, delay, ControlEvent::Input(Box::new(input)));
            }
        }
    }

    /// Handles the end of a drained process.
    pub(crate) fn control_stopped(&mut self, place: usize) {
        let process = Self::control_name(place);
        self.record(Event::Stopped { process });
        self.end_control(place);
        self.dead_members.push(place);
    }

    /// Ends the process at a place; writes that are not synced may be lost.
    pub(crate) fn end_control(&mut self, place: usize) {
        let connections: Vec<ConnectionId> =
            self.control[place].connections.keys().copied().collect();
        for connection in connections {
            self.end_link_at_router(place, connection);
        }
        let node = &mut self.control[place];
        node.run += 1;
        node.core = None;
        node.frozen = false;
        node.connections.clear();
        node.deliveries.clear();
        node.disk.crash(&mut self.random);
        if !self.settings.mechanisms.synced_writes {
            const LOST_ENTRIES: usize = 12;
            node.disk.lose_synced(LOST_ENTRIES);
        }
        self.disk_busy_until[place] = self.now;
    }

    /// Schedules the end of a connection at its router.
    fn end_link_at_router(&mut self, place: usize, connection: ConnectionId) {
        let node = &self.control[place];
        let Some(&(router, run)) = node.connections.get(&connection) else {
            return;
        };
        let passes = self.network.passes(node.zone, self.routers[router].zone);
        let delay = if passes {
            2 * MILLIS
        } else {
            self.settings.times.link_timeout
        };
        let event = RouterEvent::LinkEnded(connection);
        self.queue
            .push(self.now + delay, SimEvent::Router(router, run, event));
    }

    /// Starts the process at a place.
    pub(crate) fn start_control(&mut self, place: usize) {
        if self.control[place].core.is_some() {
            return;
        }
        if self.control[place].disk_lost {
            self.assign_new_identity(place);
        }
        let seed = self.random.number();
        let now = self.now;
        let store = self.scheduler_store_limits();
        let node = &mut self.control[place];
        node.run += 1;
        if let Err(error) = node.start(now, seed, store) {
            self.fail(format!(
                "control-{place} failed to start from its disk: {error}"
            ));
            return;
        }
        let member = node.address.member;
        let entries = node.disk.entries().to_vec();
        self.observer.record_restart(member, &entries);
        let joining = self.control[place].joining;
        self.record(Event::Started {
            process: Self::control_name(place),
        });
        self.control_later(place, self.settings.times.tick, ControlEvent::Tick);
        if joining {
            self.control_later(place, MILLIS, ControlEvent::RequestJoin);
        }
    }

    /// Returns the weight store limits configured for the scheduler.
    fn scheduler_store_limits(&self) -> StoreLimits {
        const UNLIMITED: u32 = 1_000;
        if self.settings.mechanisms.store_permits {
            return self.settings.store;
        }
        StoreLimits {
            loads_per_second: UNLIMITED,
            concurrent_loads: UNLIMITED,
        }
    }

    fn assign_new_identity(&mut self, place: usize) {
        self.disk_losses += 1;
        let losses = self.disk_losses;
        let node = &mut self.control[place];
        node.address.member = member_id(place, losses);
        node.disk = crate::world::empty_disk();
        node.disk_lost = false;
        node.joining = true;
    }
}
