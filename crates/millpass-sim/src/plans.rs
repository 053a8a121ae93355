//! Fault plans of the scenarios: when what breaks and when it is mended, drawn from a seed.

use crate::faults::{Fault, Member};
use crate::random::Random;
use crate::settings::{MILLIS, SECONDS, Settings};

/// Faults with their times.
pub type Plan = Vec<(u64, Fault)>;

/// Draws plans within the time for faults.
pub struct Planner<'a> {
    /// Random numbers of the plan.
    pub random: &'a mut Random,
    /// Settings of the run, which a plan may change.
    pub settings: &'a mut Settings,
    /// Plan so far.
    pub plan: Plan,
}

impl Planner<'_> {
    /// A time at which something breaks.
    fn some_time(&mut self) -> u64 {
        let times = &self.settings.times;
        self.random
            .between(times.faults_from, times.healed - 2 * SECONDS)
    }

    fn add(&mut self, at: u64, fault: Fault) {
        self.plan.push((at, fault));
    }

    fn some_member(&mut self) -> Member {
        if self.random.chance(500) {
            Member::Leader
        } else {
            Member::Follower(self.random.index(4))
        }
    }

    fn some_router(&mut self) -> usize {
        self.random.index(self.settings.sizes.routers)
    }

    fn some_engine(&mut self) -> usize {
        self.random.index(self.settings.sizes.engines)
    }

    fn some_web(&mut self) -> usize {
        self.random.index(self.settings.sizes.web)
    }

    /// A member dies and starts again.
    pub fn kill_control(&mut self) {
        let at = self.some_time();
        let member = self.some_member();
        self.add(at, Fault::KillControl(member));
        let down = self.random.between(50 * MILLIS, 3 * SECONDS);
        self.add(at + down, Fault::StartControl(Member::FirstDead));
    }

    /// Every member dies at once, as when the power fails, and starts again.
    pub fn kill_all_control(&mut self) {
        let at = self.some_time();
        self.add(at, Fault::KillAllControl);
        let down = self.random.between(50 * MILLIS, 3 * SECONDS);
        self.add(at + down, Fault::StartAllControl);
    }

    /// The engine that loads next dies.
    pub fn kill_loading_engine(&mut self) {
        let at = self.some_time();
        self.add(at, Fault::KillNextLoadingEngine);
    }

    /// Some engine dies.
    pub fn kill_engine(&mut self) {
        let (at, engine) = (self.some_time(), self.some_engine());
        self.add(at, Fault::KillEngine(engine));
    }

    /// Some web back end dies.
    pub fn kill_web(&mut self) {
        let (at, web) = (self.some_time(), self.some_web());
        self.add(at, Fault::KillWeb(web));
    }

    /// A router dies and starts again.
    pub fn kill_router(&mut self) {
        let (at, router) = (self.some_time(), self.some_router());
        self.add(at, Fault::KillRouter(router));
        let down = self.random.between(100 * MILLIS, 3 * SECONDS);
        self.add(at + down, Fault::StartRouter(router));
    }

    /// A member loses its disk and comes back under a new identity.
    pub fn lose_disk(&mut self) {
        let at = self.some_time();
        let member = self.some_member();
        self.add(at, Fault::LoseDisk(member));
        let down = self.random.between(100 * MILLIS, SECONDS);
        self.add(at + down, Fault::StartControl(Member::FirstDead));
    }

    /// A member loses its disk, and a second one does right after the first is repaired.
    pub fn lose_second_disk(&mut self) {
        let from = self.settings.times.faults_from;
        let at = from + self.random.below(SECONDS);
        let member = self.some_member();
        self.add(at, Fault::LoseDisk(member));
        self.add(at + 300 * MILLIS, Fault::StartControl(Member::FirstDead));
        let second = at + self.random.between(500 * MILLIS, 5 * SECONDS);
        let member = self.some_member();
        self.add(second, Fault::LoseDisk(member));
        let down = self.random.between(100 * MILLIS, 2 * SECONDS);
        self.add(second + down, Fault::StartControl(Member::FirstDead));
    }

    /// One zone is cut off from all others.
    pub fn cut_zone(&mut self) {
        let at = self.some_time();
        let length = self.random.between(500 * MILLIS, 6 * SECONDS);
        let zones = self.settings.sizes.zones;
        let zone = self.random.index(zones);
        for other in (0..zones).filter(|other| *other != zone) {
            self.cut_both(at, length, zone, other);
        }
    }

    fn cut_both(&mut self, at: u64, length: u64, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            self.add(at, Fault::Cut(from, to));
            self.add(at + length, Fault::Mend(from, to));
        }
    }

    /// Messages pass in one direction only between two zones, or out of one zone.
    pub fn cut_one_way(&mut self) {
        let at = self.some_time();
        let length = self.random.between(500 * MILLIS, 5 * SECONDS);
        let zones = self.settings.sizes.zones;
        let zone = self.random.index(zones);
        let others: Vec<usize> = (0..zones).filter(|other| *other != zone).collect();
        let inwards = self.random.chance(500);
        let only = self
            .random
            .chance(500)
            .then(|| self.random.index(others.len()));
        for (index, other) in others.into_iter().enumerate() {
            if only.is_some_and(|only| only != index) {
                continue;
            }
            let (from, to) = if inwards {
                (other, zone)
            } else {
                (zone, other)
            };
            self.add(at, Fault::Cut(from, to));
            self.add(at + length, Fault::Mend(from, to));
        }
    }

    /// The leader freezes, at any moment or when it has decided to deliver an order.
    pub fn freeze_leader(&mut self) {
        let at = self.some_time();
        let fault = if self.random.chance(500) {
            Fault::FreezeControl(Member::Leader)
        } else {
            Fault::FreezeLeaderAtOrder
        };
        self.add(at, fault);
        let length = self.random.between(300 * MILLIS, 6 * SECONDS);
        self.add(at + length, Fault::WakeControl);
    }

    /// A router freezes, at any moment or when it has decided to send an attempt.
    pub fn freeze_router(&mut self) {
        let (at, router) = (self.some_time(), self.some_router());
        let fault = if self.random.chance(500) {
            Fault::FreezeRouter(router)
        } else {
            Fault::FreezeRouterAtDispatch(router)
        };
        self.add(at, fault);
        let length = self.random.between(300 * MILLIS, 7 * SECONDS);
        self.add(at + length, Fault::WakeRouter(router));
    }

    /// The weight store is slow for a while.
    pub fn slow_store(&mut self) {
        let at = self.some_time();
        let length = self.random.between(SECONDS, 6 * SECONDS);
        self.add(at, Fault::SlowStore(true));
        self.add(at + length, Fault::SlowStore(false));
    }

    /// A machine is taken without warning and comes back empty.
    pub fn reclaim_machine(&mut self) {
        let (at, engine) = (self.some_time(), self.some_engine());
        self.add(at, Fault::ReclaimEngine(engine));
        let away = self.random.between(200 * MILLIS, 6 * SECONDS);
        self.add(at + away, Fault::ReturnEngine(engine));
    }

    /// Messages are late, lost, doubled and reordered for a while.
    pub fn bad_network(&mut self) {
        let at = self.some_time();
        let length = self.random.between(SECONDS, 6 * SECONDS);
        self.add(at, Fault::BadNetwork(true));
        self.add(at + length, Fault::BadNetwork(false));
    }

    /// Reports are late and have gaps for a while.
    pub fn stale_reports(&mut self) {
        let at = self.some_time();
        let length = self.random.between(SECONDS, 7 * SECONDS);
        self.add(at, Fault::StaleReports(true));
        self.add(at + length, Fault::StaleReports(false));
    }

    /// A member is stopped in an orderly way, and started again.
    pub fn stop_control(&mut self) {
        let at = self.some_time();
        let member = self.some_member();
        self.add(at, Fault::DrainControl(member));
        let down = self.random.between(SECONDS, 4 * SECONDS);
        self.add(at + down, Fault::StartControl(Member::FirstDead));
    }

    /// A router is stopped in an orderly way, and started again.
    pub fn stop_router(&mut self) {
        let (at, router) = (self.some_time(), self.some_router());
        self.add(at, Fault::DrainRouter(router));
        let down = self.random.between(SECONDS, 6 * SECONDS);
        self.add(at + down, Fault::StartRouter(router));
    }

    /// An engine or web back end is announced as leaving.
    pub fn leave(&mut self) {
        let at = self.some_time();
        let fault = if self.random.chance(650) {
            Fault::LeaveEngine(self.some_engine())
        } else {
            Fault::LeaveWeb(self.some_web())
        };
        self.add(at, fault);
    }

    /// A member and a router are down while hundreds of changes pass.
    pub fn restart_after_changes(&mut self) {
        let times = self.settings.times.clone();
        let at = times.faults_from;
        let member = self.some_member();
        self.add(at, Fault::KillControl(member));
        let router = self.some_router();
        self.add(at, Fault::KillRouter(router));
        let back = times.healed - self.random.between(SECONDS, 2 * SECONDS);
        self.add(back, Fault::StartControl(Member::FirstDead));
        self.add(back, Fault::StartRouter(router));
    }
}
