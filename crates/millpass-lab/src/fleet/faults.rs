//! Fault plans: what is broken, and mended again.

use super::deployed::{Fleet, holds_within};
use super::layout::SERVICES_ZONE;
use super::operator;
use crate::options::FaultPlan;
use crate::relay::PathKey;
use anyhow::{Context, Result, ensure};
use millpass_checkers::Event;
use millpass_proto::RouterName;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longest nap, so that a stop of the run is seen soon.
const LONGEST_NAP: Duration = Duration::from_millis(100);
/// Time after which the platform notices that a machine is gone.
const PLATFORM_NOTICE: Duration = Duration::from_secs(2);
/// Longest planned stop of one process.
const PLANNED_STOP: Duration = Duration::from_secs(90);
/// Longest wait for a restarted process to take part again.
const REJOIN: Duration = Duration::from_secs(30);
/// Longest wait for a lost member to be replaced.
const REPAIR: Duration = Duration::from_secs(90);
/// Voters of the control group.
const VOTERS: usize = 5;

/// What a fault did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultOutcome {
    /// What was done, in order.
    pub steps: Vec<String>,
    /// Zones without the use of their members, engines or routers.
    pub unhealthy_zones: Vec<String>,
    /// What did not come back as it should.
    pub breaches: Vec<String>,
}

/// Carries out plans.
pub struct FaultRunner<'a> {
    fleet: &'a Fleet,
    length: Duration,
    stop: &'a AtomicBool,
    outcome: FaultOutcome,
}

/// Carries out a plan and mends what it broke.
pub fn run(
    fleet: &Fleet,
    plan: FaultPlan,
    length: Duration,
    stop: &AtomicBool,
) -> Result<FaultOutcome> {
    let mut runner = FaultRunner {
        fleet,
        length,
        stop,
        outcome: FaultOutcome::default(),
    };
    match plan {
        FaultPlan::LeaderKill => runner.leader_kill()?,
        FaultPlan::ZoneCut => runner.zone_cut()?,
        FaultPlan::LeaderFreeze => runner.leader_freeze()?,
        FaultPlan::TwoMembersLost => runner.two_members_lost()?,
        FaultPlan::EngineKill => runner.engine_kill()?,
        FaultPlan::RollingRestart => runner.rolling_restart()?,
    }
    fleet.events.push(Event::AllHealed);
    Ok(runner.outcome)
}

impl FaultRunner<'_> {
    fn step(&mut self, what: String) {
        log::info!("event=fault step={what:?}");
        self.outcome.steps.push(what);
    }

    fn nap(&self, length: Duration) {
        let end = Instant::now() + length;
        while !self.stop.load(Ordering::Relaxed) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(LONGEST_NAP));
        }
    }

    fn leader_kill(&mut self) -> Result<()> {
        let leader = operator::leader(self.fleet)?;
        self.step(format!("SIGKILL to leader {leader}"));
        self.fleet.kill(&leader)?;
        self.nap(self.length);
        self.step(format!("{leader} starts again"));
        self.fleet.restart(&leader)
    }

    fn zone_cut(&mut self) -> Result<()> {
        let leader = operator::leader(self.fleet)?;
        let zone = self.fleet.place(&leader)?.zone.clone();
        self.step(format!("zone {zone} of leader {leader} is cut off"));
        self.outcome.unhealthy_zones.push(zone.clone());
        self.fleet.events.disturbed(format!("cut {zone}"));
        // Callers beside the zone's routers still reach them.
        let zones = self.fleet.deployment.zones.iter();
        let others = zones.map(|other| other.name.as_str());
        let others = others.filter(|other| **other != *zone);
        for other in others.chain([SERVICES_ZONE]) {
            self.fleet.relay.cut(&PathKey::new(&zone, other), false)?;
        }
        self.set_reachable(&zone, false);
        self.nap(self.length);
        self.step(format!("zone {zone} is connected again"));
        self.fleet.relay.heal_all()?;
        self.fleet.events.disturbed(format!("heal {zone}"));
        self.set_reachable(&zone, true);
        Ok(())
    }

    fn set_reachable(&self, zone: &str, reachable: bool) {
        let routers = self.fleet.layout.routers.iter();
        for place in routers.filter(|place| place.zone == zone) {
            self.fleet.events.push(Event::RouterReachable {
                router: RouterName(place.name.clone()),
                reachable,
            });
        }
    }

    fn leader_freeze(&mut self) -> Result<()> {
        let leader = operator::leader(self.fleet)?;
        self.step(format!("SIGSTOP to leader {leader}"));
        self.fleet.freeze(&leader)?;
        self.nap(self.length);
        self.step(format!("SIGCONT to {leader}"));
        self.fleet.wake(&leader)
    }

    fn two_members_lost(&mut self) -> Result<()> {
        let first = operator::leader(self.fleet)?;
        let before = self.voters()?;
        self.lose(&first)?;
        self.fleet.restart(&first)?;
        self.await_repair(&first, &before);
        let second = operator::leader(self.fleet)?;
        let before = self.voters()?;
        self.lose(&second)?;
        self.fleet.restart(&second)?;
        self.await_repair(&second, &before);
        Ok(())
    }

    fn lose(&mut self, name: &str) -> Result<()> {
        self.step(format!("{name} loses process and disk"));
        self.fleet.kill(name)?;
        self.fleet.wipe(name)
    }

    fn voters(&self) -> Result<Vec<u64>> {
        let status = operator::status(self.fleet)?;
        let voters = status
            .members
            .iter()
            .filter(|member| member.role == "voter");
        Ok(voters.map(|member| member.member).collect())
    }

    /// Waits until as many members vote as before, and not the same ones.
    fn await_repair(&mut self, name: &str, before: &[u64]) {
        let begin = Instant::now();
        let repaired = holds_within(REPAIR, || {
            let voters = self.voters();
            voters.is_ok_and(|voters| voters.len() == VOTERS && voters != before)
        });
        let seconds = begin.elapsed().as_secs_f64();
        if repaired {
            self.step(format!("{name} was replaced after {seconds:.1} s"));
        } else {
            let breach = format!("repair: {name} was not replaced within {seconds:.0} s");
            self.outcome.breaches.push(breach);
        }
    }

    fn engine_kill(&mut self) -> Result<()> {
        let status = operator::status(self.fleet)?;
        let loaded = status.replicas.iter().find(|one| one.phase == "loaded");
        let engine = loaded.map(|one| one.backend.clone());
        let engine = engine.context("no engine holds a replica; raise --rate or --seconds")?;
        self.step(format!("SIGKILL to {engine}, which holds replicas"));
        self.fleet.kill(&engine)?;
        self.nap(PLATFORM_NOTICE);
        self.take_off_the_list(&engine)?;
        self.nap(self.length.saturating_sub(PLATFORM_NOTICE));
        self.step(format!("{engine} starts again, empty"));
        self.fleet.restart(&engine)
    }

    /// What the platform does when a machine is gone.
    fn take_off_the_list(&self, name: &str) -> Result<()> {
        let address = self.fleet.layout.platform.listen;
        ureq::delete(format!("http://{address}/machines/{name}"))
            .call()
            .context("the platform's list does not answer")?;
        Ok(())
    }

    fn rolling_restart(&mut self) -> Result<()> {
        let layout = &self.fleet.layout;
        let places = layout.routers.iter().chain(&layout.control);
        let names: Vec<String> = places.map(|place| place.name.clone()).collect();
        for name in names {
            if self.stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            self.restart_as_planned(&name)?;
        }
        Ok(())
    }

    fn restart_as_planned(&mut self, name: &str) -> Result<()> {
        let begin = Instant::now();
        self.fleet.events.disturbed(format!("restart {name}"));
        let ended = self.fleet.stop_planned(name, PLANNED_STOP)?;
        ensure!(ended, "{name} did not end within {PLANNED_STOP:?}");
        let seconds = begin.elapsed().as_secs_f64();
        self.step(format!("{name} stopped as planned in {seconds:.1} s"));
        self.fleet.restart(name)?;
        // Changes go on meanwhile: a process is current once it has those from before its start.
        let wanted = operator::status(self.fleet)?.configuration;
        if !holds_within(REJOIN, || self.takes_part(name, wanted)) {
            let breach = format!("restart: {name} did not take part within {REJOIN:?}");
            self.outcome.breaches.push(breach);
        }
        Ok(())
    }

    /// Whether a restarted process is current in the leader's eyes.
    fn takes_part(&self, name: &str, wanted: u64) -> bool {
        let Ok(status) = operator::status(self.fleet) else {
            return false;
        };
        if let Some(router) = status.routers.iter().find(|router| router.router == name) {
            return !router.draining && router.configuration >= wanted;
        }
        let reached_at = self
            .fleet
            .place(name)
            .map(|place| place.reached_at.to_string());
        let member = status.members.iter().find(|member| {
            reached_at
                .as_ref()
                .is_ok_and(|at| *at == member.peer_address)
        });
        member.is_some_and(|member| {
            let silent = member
                .silent_millis
                .map_or(Duration::ZERO, Duration::from_millis);
            silent < Duration::from_secs(1)
        })
    }
}
