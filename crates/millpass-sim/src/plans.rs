//! Random fault plans: times and targets of faults, drawn from a seed.

use crate::faults::{Fault, Member};
use crate::random::Random;
use crate::settings::{MILLIS, SECONDS, Settings};

/// Faults with their times.
pub type Plan = Vec<(u64, Fault)>;

/// Draws the faults of a plan.
pub struct Planner<'a> {
    /// Random stream of the plan.
    pub random: &'a mut Random,
    /// Settings of the run, which a scenario may change.
    pub settings: &'a mut Settings,
    /// Plan so far.
    pub plan: Plan,
}

impl Planner<'_> {
    /// Returns a random time for the start of a fault.
    fn random_time(&mut self) -> u64 {
        let times = &self.settings.times;
        self.random
            .between(times.faults_from, times.healed - 2 * SECONDS)
    }

    fn add(&mut self, at: u64, fault: Fault) {
        self.plan.push((at, fault));
    }

    fn random_member(&mut self) -> Member {
        if self.random.chance(500) {
            Member::Leader
        } else {
            Member::Follower(self.random.index(4))
        }
    }

    fn random_router(&mut self) -> usize {
        self.random.index(self.settings.sizes.routers)
    }

    fn random_engine(&mut self) -> usize {
        self.random.index(self.settings.sizes.engines)
    }

    fn random_web(&mut self) -> usize {
        self.random.index(self.settings.sizes.web)
    }

    /// Kills a member and restarts it.
    pub fn kill_control(&mut self) {
        let at = self.random_time();
        let member = self.random_member();
        self.add(at, Fault::KillControl(member));
        let down = self.random.between(50 * MILLIS, 3 * SECONDS);
        self.add(at + down, Fault::StartControl(Member::FirstDead));
    }

    /// Kills all members at once and restarts them.
    pub fn kill_all_control(&mut self) {
        let at = self.random_time();
        self.add(at, Fault::KillAllControl);
        let down = self.random.between(50 * MILLIS, 3 * SECONDS);
        self.add(at + down, Fault::StartAllControl);
    }

    /// Kills the engine that loads next.
    pub fn kill_loading_engine(&mut self) {
        let at = self.random_time();
        self.add(at, Fault::KillNextLoadingEngine);
    }

    /// Kills an engine.
    pub fn kill_engine(&mut self) {
        let (at, engine) = (self.random_time(), self.random_engine());
        self.add(at, Fault::KillEngine(engine));
    }

    /// Kills a web back end.
    pub fn kill_web(&mut self) {
        let (at, web) = (self.random_time(), self.random_web());
        self.add(at, Fault::KillWeb(web));
    }

    /// Kills a router and restarts it.
    pub fn kill_router(&mut self) {
        let (at, router) = (self.random_time(), self.random_router());
        self.add(at, Fault::KillRouter(router));
        let down = self.random.between(100 * MILLIS, 3 * SECONDS);
        self.add(at + down, Fault::StartRouter(router));
    }

    /// Kills a member with its disk, and restarts it with a new identity.
    pub fn lose_disk(&mut self) {
        let at = self.random_time();
        let member = self.random_member();
        self.add(at, Fault::LoseDisk(member));
        let down = self.random.between(100 * MILLIS, SECONDS);
        self.add(at + down, Fault::StartControl(Member::FirstDead));
    }

    /// Kills a member with its disk, and a second one during or soon after the repair of the first.
    pub fn lose_second_disk(&mut self) {
        let from = self.settings.times.faults_from;
        let at = from + self.random.below(SECONDS);
        let member = self.random_member();
        self.add(at, Fault::LoseDisk(member));
        self.add(at + 300 * MILLIS, Fault::StartControl(Member::FirstDead));
        let second = at + self.random.between(500 * MILLIS, 5 * SECONDS);
        let member = self.random_member();
        self.add(second, Fault::LoseDisk(member));
        let down = self.random.between(100 * MILLIS, 2 * SECONDS);
        self.add(second + down, Fault::StartControl(Member::FirstDead));
    }

    /// Partitions one zone from all others.
    pub fn cut_zone(&mut self) {
        let at = self.random_time();
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

    /// Blocks one direction between a zone and one or all others.
    pub fn cut_one_way(&mut self) {
        let at = self.random_time();
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

    /// Freezes the leader, at a random time or when it is about to deliver an order.
    pub fn freeze_leader(&mut self) {
        let at = self.random_time();
        let fault = if self.random.chance(500) {
            Fault::FreezeControl(Member::Leader)
        } else {
            Fault::FreezeLeaderAtOrder
        };
        self.add(at, fault);
        let length = self.random.between(300 * MILLIS, 6 * SECONDS);
        self.add(at + length, Fault::WakeControl);
    }

    /// Freezes a router, at a random time or when it is about to send an attempt.
    pub fn freeze_router(&mut self) {
        let (at, router) = (self.random_time(), self.random_router());
        let fault = if self.random.chance(500) {
            Fault::FreezeRouter(router)
        } else {
            Fault::FreezeRouterAtDispatch(router)
        };
        self.add(at, fault);
        let length = self.random.between(300 * MILLIS, 7 * SECONDS);
        self.add(at + length, Fault::WakeRouter(router));
    }

    /// Slows down the weight store.
    pub fn slow_store(&mut self) {
        let at = self.random_time();
        let length = self.random.between(SECONDS, 6 * SECONDS);
        self.add(at, Fault::SlowStore(true));
        self.add(at + length, Fault::SlowStore(false));
    }

    /// Reclaims an engine's machine without notice, and returns it empty.
    pub fn reclaim_machine(&mut self) {
        let (at, engine) = (self.random_time(), self.random_engine());
        self.add(at, Fault::ReclaimEngine(engine));
        let away = self.random.between(200 * MILLIS, 6 * SECONDS);
        self.add(at + away, Fault::ReturnEngine(engine));
    }

    /// Delays, drops, duplicates and reorders messages.
    pub fn bad_network(&mut self) {
        let at = self.random_time();
        let length = self.random.between(SECONDS, 6 * SECONDS);
        self.add(at, Fault::BadNetwork(true));
        self.add(at + length, Fault::BadNetwork(false));
    }

    /// Delays load reports and drops some.
    pub fn stale_reports(&mut self) {
        let at = self.random_time();
        let length = self.random.between(SECONDS, 7 * SECONDS);
        self.add(at, Fault::StaleReports(true));
        self.add(at + length, Fault::StaleReports(false));
    }

    /// Drains a member and restarts it.
    pub fn stop_control(&mut self) {
        let at = self.random_time();
        let member = self.random_member();
        self.add(at, Fault::DrainControl(member));
        let down = self.random.between(SECONDS, 4 * SECONDS);
        self.add(at + down, Fault::StartControl(Member::FirstDead));
    }

    /// Drains a router and restarts it.
    pub fn stop_router(&mut self) {
        let (at, router) = (self.random_time(), self.random_router());
        self.add(at, Fault::DrainRouter(router));
        let down = self.random.between(SECONDS, 6 * SECONDS);
        self.add(at + down, Fault::StartRouter(router));
    }

    /// Announces an engine or web back end as leaving.
    pub fn leave(&mut self) {
        let at = self.random_time();
        let fault = if self.random.chance(650) {
            Fault::LeaveEngine(self.random_engine())
        } else {
            Fault::LeaveWeb(self.random_web())
        };
        self.add(at, fault);
    }

    /// Stops a member and a router while operators submit hundreds of changes.
    pub fn restart_after_changes(&mut self) {
        let times = self.settings.times.clone();
        let at = times.faults_from;
        let member = self.random_member();
        self.add(at, Fault::KillControl(member));
        let router = self.random_router();
        self.add(at, Fault::KillRouter(router));
        let back = times.healed - self.random.between(SECONDS, 2 * SECONDS);
        self.add(back, Fault::StartControl(Member::FirstDead));
        self.add(back, Fault::StartRouter(router));
    }
}
