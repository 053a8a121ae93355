//! Injection of faults into the deployment, and their end.

use crate::event::{BackEnd, ControlEvent, RouterEvent, SimEvent};
use crate::faults::{Fault, Member};
use crate::settings::{MILLIS, SECONDS};
use crate::world::World;
use millpass_checkers::Event;
use millpass_control_plane::ControlInput;
use millpass_proto::BackendState;

/// Time after which a killed back end restarts.
const RESTART_MICROS: u64 = 400 * MILLIS;

impl World {
    /// Injects a fault or ends one.
    pub(crate) fn inject(&mut self, fault: Fault) {
        self.statistics.fault(kind_of(&fault));
        self.record(Event::Disturbed {
            what: format!("{fault:?}"),
        });
        match fault {
            Fault::KillControl(member) => self.apply_to_member(member, World::kill_control),
            Fault::KillAllControl => self.kill_all_control(),
            Fault::StartAllControl => self.start_all_control(),
            Fault::LoseDisk(member) => self.apply_to_member(member, World::lose_disk),
            Fault::StartControl(member) => self.apply_to_member(member, World::start_dead_control),
            Fault::FreezeControl(member) => self.apply_to_member(member, World::freeze_control),
            Fault::FreezeLeaderAtOrder => self.freeze_leader_at_order = true,
            Fault::WakeControl => self.wake_all_control(),
            Fault::DrainControl(member) => self.apply_to_member(member, World::drain_control),
            Fault::KillRouter(router) => self.kill_router(router),
            Fault::StartRouter(router) => self.start_router(router),
            Fault::FreezeRouter(router) => self.freeze_router(router),
            Fault::FreezeRouterAtDispatch(router) => {
                self.routers[router].freeze_at_dispatch = true;
            }
            Fault::WakeRouter(router) => self.wake_router(router),
            Fault::DrainRouter(router) => self.drain_router(router),
            Fault::KillEngine(engine) => self.kill_engine(engine),
            Fault::KillNextLoadingEngine => self.kill_next_loading_engine = true,
            Fault::ReclaimEngine(engine) => self.reclaim_engine(engine),
            Fault::ReturnEngine(engine) => self.return_back_end(BackEnd::Engine(engine)),
            Fault::LeaveEngine(engine) => self.leave(BackEnd::Engine(engine)),
            Fault::KillWeb(web) => self.kill_web(web),
            Fault::LeaveWeb(web) => self.leave(BackEnd::Web(web)),
            Fault::ReturnWeb(web) => self.return_back_end(BackEnd::Web(web)),
            Fault::Cut(from, to) => self.network.cut(from, to),
            Fault::Mend(from, to) => self.network.unblock(from, to),
            Fault::BadNetwork(bad) => self.network.set_bad(bad),
            Fault::SlowStore(slow) => self.slow_store = slow,
            Fault::StaleReports(stale) => self.stale_reports = stale,
        }
        self.update_reachable();
    }

    /// Ends all faults and restarts every process.
    pub(crate) fn heal(&mut self) {
        if self.settings.mechanisms.healing {
            self.end_all_faults();
        }
        self.record(Event::AllHealed);
        self.update_reachable();
    }

    fn end_all_faults(&mut self) {
        self.network.unblock_all();
        self.slow_store = false;
        self.stale_reports = false;
        self.freeze_leader_at_order = false;
        self.kill_next_loading_engine = false;
        self.wake_all_control();
        self.start_all_control();
        for router in 0..self.routers.len() {
            self.routers[router].freeze_at_dispatch = false;
            self.wake_router(router);
            self.start_router(router);
        }
        for engine in 0..self.engines.len() {
            self.return_back_end(BackEnd::Engine(engine));
        }
        for web in 0..self.web.len() {
            self.return_back_end(BackEnd::Web(web));
        }
    }

    fn apply_to_member(&mut self, member: Member, action: fn(&mut World, usize)) {
        let member_index = match member {
            Member::At(member_index) => Some(member_index),
            Member::Leader => self.leader_index(),
            Member::Follower(number) => self.follower_index(number),
            Member::FirstDead => self.dead_members.first().copied(),
        };
        if let Some(member_index) = member_index {
            action(self, member_index);
        }
    }

    fn leader_index(&self) -> Option<usize> {
        let leader = self.observer.leader()?;
        let is_leader = |node: &crate::control_node::ControlNode| node.address.member == leader;
        self.control.iter().position(is_leader)
    }

    fn follower_index(&self, number: usize) -> Option<usize> {
        let leader = self.leader_index();
        let followers: Vec<usize> = (0..self.control.len())
            .filter(|member_index| {
                self.control[*member_index].runs() && Some(*member_index) != leader
            })
            .collect();
        followers.get(number % followers.len().max(1)).copied()
    }

    fn kill_control(&mut self, member_index: usize) {
        if self.control[member_index].core.is_none() {
            return;
        }
        let process = Self::control_name(member_index);
        self.record(Event::Killed { process });
        self.end_control(member_index);
        self.dead_members.push(member_index);
    }

    fn kill_all_control(&mut self) {
        for member_index in 0..self.control.len() {
            self.kill_control(member_index);
        }
    }

    fn start_all_control(&mut self) {
        for member_index in 0..self.control.len() {
            self.start_dead_control(member_index);
        }
    }

    fn lose_disk(&mut self, member_index: usize) {
        self.kill_control(member_index);
        self.control[member_index].disk = crate::world::empty_disk();
        self.control[member_index].disk_lost = true;
    }

    fn start_dead_control(&mut self, member_index: usize) {
        self.dead_members.retain(|dead| *dead != member_index);
        self.start_control(member_index);
    }

    /// Suspends the process of a control member.
    pub(crate) fn freeze_control(&mut self, member_index: usize) {
        if !self.control[member_index].runs() {
            return;
        }
        self.control[member_index].frozen = true;
        let process = Self::control_name(member_index);
        self.record(Event::Frozen { process });
        self.update_reachable();
    }

    fn wake_all_control(&mut self) {
        for member_index in 0..self.control.len() {
            if self.control[member_index].frozen {
                self.wake_control(member_index);
            }
        }
    }

    /// Resumes a frozen member and schedules the events of its backlog.
    fn wake_control(&mut self, member_index: usize) {
        self.control[member_index].frozen = false;
        let process = Self::control_name(member_index);
        self.record(Event::Woken { process });
        let backlog = std::mem::take(&mut self.control[member_index].backlog);
        for event in backlog {
            self.control_later(member_index, 0, event);
        }
        self.control_later(member_index, 0, ControlEvent::Tick);
    }

    fn drain_control(&mut self, member_index: usize) {
        if !self.control[member_index].runs() {
            return;
        }
        let process = Self::control_name(member_index);
        self.record(Event::StopPlanned { process });
        self.control[member_index].draining = true;
        self.control_step(member_index, ControlInput::Drain);
    }

    fn kill_router(&mut self, router: usize) {
        if self.routers[router].core.is_none() {
            return;
        }
        let process = self.router_name(router);
        self.record(Event::Killed { process });
        self.end_router(router);
    }

    /// Suspends the process of a router.
    pub(crate) fn freeze_router(&mut self, router: usize) {
        if self.routers[router].core.is_none() || self.routers[router].frozen {
            return;
        }
        self.routers[router].frozen = true;
        let process = self.router_name(router);
        self.record(Event::Frozen { process });
        self.update_reachable();
    }

    fn wake_router(&mut self, router: usize) {
        if !self.routers[router].frozen {
            return;
        }
        self.routers[router].frozen = false;
        let process = self.router_name(router);
        self.record(Event::Woken { process });
        let backlog = std::mem::take(&mut self.routers[router].backlog);
        for event in backlog {
            // Wrapped, so that a request is not recorded as sent twice.
            self.router_later(router, 0, RouterEvent::Deferred(Box::new(event)));
        }
        self.router_later(router, 0, RouterEvent::Tick);
        self.router_later(router, 0, RouterEvent::Poll);
    }

    fn kill_engine(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let process = self.back_end_name(BackEnd::Engine(engine));
        self.record(Event::Killed { process });
        self.end_engine(engine);
        let restart = SimEvent::Fault(Fault::ReturnEngine(engine));
        self.queue.push(self.now + RESTART_MICROS, restart);
    }

    /// Schedules a kill of an engine that began a load, if that fault is armed.
    pub(crate) fn kill_loading_engine_if_armed(&mut self, engine: usize) {
        if !self.kill_next_loading_engine {
            return;
        }
        self.kill_next_loading_engine = false;
        let at = self.now + self.random.below(300 * MILLIS);
        self.queue
            .push(at, SimEvent::Fault(Fault::KillEngine(engine)));
    }

    fn reclaim_engine(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let process = self.back_end_name(BackEnd::Engine(engine));
        self.record(Event::Killed { process });
        self.end_engine(engine);
        self.engines[engine].reclaimed = true;
        let name = self.engines[engine].name.clone();
        let visible_at = self.visible_at();
        self.platform.change(visible_at, &name, None);
    }

    fn kill_web(&mut self, web: usize) {
        if !self.web[web].alive {
            return;
        }
        let process = self.back_end_name(BackEnd::Web(web));
        self.record(Event::Killed { process });
        self.end_web(web);
        let restart = SimEvent::Fault(Fault::ReturnWeb(web));
        self.queue.push(self.now + RESTART_MICROS, restart);
    }

    fn visible_at(&mut self) -> u64 {
        self.now + self.random.below(self.settings.times.platform_lag)
    }

    /// Restarts a back end, on its old machine or on a new one of the same name.
    fn return_back_end(&mut self, backend: BackEnd) {
        if self.is_alive(backend) {
            return;
        }
        let (machine, empty) = match backend {
            BackEnd::Engine(engine) => {
                let node = &self.engines[engine];
                (node.machine(BackendState::Live), node.reclaimed)
            }
            BackEnd::Web(web) => (self.web[web].machine(BackendState::Live), false),
        };
        match backend {
            BackEnd::Engine(engine) => self.start_engine(engine, empty),
            BackEnd::Web(web) => self.start_web(web),
        }
        if self.platform.latest(&machine.backend) != Some(&machine) {
            let visible_at = self.visible_at();
            let name = machine.backend.clone();
            self.platform.change(visible_at, &name, Some(machine));
        }
    }

    /// Announces a back end as leaving and schedules its stop after the leave notice.
    fn leave(&mut self, backend: BackEnd) {
        if !self.is_alive(backend) {
            return;
        }
        let (machine, run) = match backend {
            BackEnd::Engine(engine) => {
                let node = &self.engines[engine];
                (node.machine(BackendState::Leaving), node.run)
            }
            BackEnd::Web(web) => {
                let node = &self.web[web];
                (node.machine(BackendState::Leaving), node.run)
            }
        };
        if self.platform.is_leaving(&machine.backend) {
            return;
        }
        let name = machine.backend.clone();
        let visible_at = self.visible_at();
        let visible_at = self.platform.change(visible_at, &name, Some(machine));
        self.queue
            .push(visible_at, SimEvent::ListedLeaving(backend, run));
        let stop = visible_at + self.settings.times.leave_notice;
        self.queue
            .push(stop, SimEvent::LeaveNoticeElapsed(backend, run));
    }

    /// Records that the platform's list shows a back end as leaving.
    pub(crate) fn listed_leaving(&mut self, backend: BackEnd, run: u64) {
        let (name, incarnation, current_run) = match backend {
            BackEnd::Engine(engine) => {
                let node = &self.engines[engine];
                (node.name.clone(), node.incarnation, node.run)
            }
            BackEnd::Web(web) => {
                let node = &self.web[web];
                (node.name.clone(), node.incarnation, node.run)
            }
        };
        if current_run == run {
            self.record(Event::ListedLeaving {
                backend: name,
                incarnation,
            });
        }
    }

    /// Stops a leaving back end after its notice has elapsed.
    pub(crate) fn leave_notice_elapsed(&mut self, backend: BackEnd, run: u64) {
        let current_run = match backend {
            BackEnd::Engine(engine) => self.engines[engine].run,
            BackEnd::Web(web) => self.web[web].run,
        };
        if current_run != run {
            return;
        }
        let process = self.back_end_name(backend);
        self.record(Event::StopPlanned {
            process: process.clone(),
        });
        match backend {
            BackEnd::Engine(engine) => {
                self.end_engine(engine);
                self.engines[engine].reclaimed = true;
            }
            BackEnd::Web(web) => self.end_web(web),
        }
        self.record(Event::Stopped { process });
        let name = match backend {
            BackEnd::Engine(engine) => self.engines[engine].name.clone(),
            BackEnd::Web(web) => self.web[web].name.clone(),
        };
        let visible_at = self.visible_at();
        self.platform.change(visible_at, &name, None);
        let restart = match backend {
            BackEnd::Engine(engine) => Fault::ReturnEngine(engine),
            BackEnd::Web(web) => Fault::ReturnWeb(web),
        };
        self.queue
            .push(self.now + 4 * SECONDS, SimEvent::Fault(restart));
    }
}

/// Returns the kind of a fault for the statistics; ends of faults share one kind.
fn kind_of(fault: &Fault) -> &'static str {
    match fault {
        Fault::KillControl(_) => "kill-control",
        Fault::KillAllControl => "kill-all-control",
        Fault::LoseDisk(_) => "lose-disk",
        Fault::FreezeControl(_) => "freeze-control",
        Fault::FreezeLeaderAtOrder => "freeze-leader-at-order",
        Fault::DrainControl(_) => "drain-control",
        Fault::KillRouter(_) => "kill-router",
        Fault::FreezeRouter(_) => "freeze-router",
        Fault::FreezeRouterAtDispatch(_) => "freeze-router-at-dispatch",
        Fault::DrainRouter(_) => "drain-router",
        Fault::KillEngine(_) => "kill-engine",
        Fault::KillNextLoadingEngine => "kill-loading-engine",
        Fault::ReclaimEngine(_) => "reclaim-engine",
        Fault::LeaveEngine(_) => "leave-engine",
        Fault::KillWeb(_) => "kill-web",
        Fault::LeaveWeb(_) => "leave-web",
        Fault::Cut(_, _) => "cut",
        Fault::BadNetwork(true) => "bad-network",
        Fault::SlowStore(true) => "slow-store",
        Fault::StaleReports(true) => "stale-reports",
        Fault::StartControl(_)
        | Fault::StartAllControl
        | Fault::WakeControl
        | Fault::StartRouter(_)
        | Fault::WakeRouter(_)
        | Fault::ReturnEngine(_)
        | Fault::ReturnWeb(_)
        | Fault::Mend(_, _)
        | Fault::BadNetwork(false)
        | Fault::SlowStore(false)
        | Fault::StaleReports(false) => "ends-of-faults",
    }
}
