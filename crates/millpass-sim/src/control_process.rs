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
    pub(crate) fn request_join(&mut self, member_index: usize) {
        let address = self.control[member_index].address.clone();
        let voters = &self.observer.membership().voters;
        if voters.iter().any(|voter| voter.member == address.member) {
            self.control[member_index].joining = false;
            return;
        }
        self.control_later(member_index, JOIN_INTERVAL, ControlEvent::RequestJoin);
        for target in 0..self.control.len() {
            let (from, to) = (self.control[member_index].zone, self.control[target].zone);
            if target == member_index {
                continue;
            }
            if let Some(delay) = self.network.delay(&mut self.random, from, to) {
                let input = ControlInput::Join(address.clone());
                self.control_later(target, delay, ControlEvent::Input(Box::new(input)));
            }
        }
    }

    /// Handles the end of a drained process.
    pub(crate) fn control_stopped(&mut self, member_index: usize) {
        let process = Self::control_name(member_index);
        self.record(Event::Stopped { process });
        self.end_control(member_index);
        self.dead_members.push(member_index);
    }

    /// Ends the process of a member; writes that are not synced may be lost.
    pub(crate) fn end_control(&mut self, member_index: usize) {
        let connections: Vec<ConnectionId> = self.control[member_index]
            .connections
            .keys()
            .copied()
            .collect();
        for connection in connections {
            self.end_link_at_router(member_index, connection);
        }
        let node = &mut self.control[member_index];
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
        self.disk_busy_until[member_index] = self.now;
    }

    /// Schedules the end of a connection at its router.
    fn end_link_at_router(&mut self, member_index: usize, connection: ConnectionId) {
        let node = &self.control[member_index];
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

    /// Starts the process of a member.
    pub(crate) fn start_control(&mut self, member_index: usize) {
        if self.control[member_index].core.is_some() {
            return;
        }
        if self.control[member_index].disk_lost {
            self.assign_new_identity(member_index);
        }
        let seed = self.random.number();
        let now = self.now;
        let store = self.scheduler_store_limits();
        let node = &mut self.control[member_index];
        node.run += 1;
        if let Err(error) = node.start(now, seed, store) {
            self.fail(format!(
                "control-{member_index} failed to start from its disk: {error}"
            ));
            return;
        }
        let member = node.address.member;
        let entries = node.disk.entries().to_vec();
        self.observer.record_restart(member, &entries);
        let joining = self.control[member_index].joining;
        self.record(Event::Started {
            process: Self::control_name(member_index),
        });
        self.control_later(member_index, self.settings.times.tick, ControlEvent::Tick);
        if joining {
            self.control_later(member_index, MILLIS, ControlEvent::RequestJoin);
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

    fn assign_new_identity(&mut self, member_index: usize) {
        self.disk_losses += 1;
        let losses = self.disk_losses;
        let node = &mut self.control[member_index];
        node.address.member = member_id(member_index, losses);
        node.disk = crate::world::empty_disk();
        node.disk_lost = false;
        node.joining = true;
    }
}
