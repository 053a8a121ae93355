//! Fault plans: inject a fault and recover from it.

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

/// Interval at which sleeps check for the end of the run.
const SLEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the platform detects a failed machine.
const PLATFORM_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Maximum duration of the planned stop of one process.
const PLANNED_STOP_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum wait for a restarted process to rejoin.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum wait for the replacement of a lost member.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(90);
/// Voters of the control group.
const VOTERS: usize = 5;

/// Outcome of a fault plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultOutcome {
    /// Steps, in order.
    pub steps: Vec<String>,
    /// Zones whose members, engines or routers were unavailable.
    pub unhealthy_zones: Vec<String>,
    /// Processes that did not recover as required.
    pub breaches: Vec<String>,
}

/// Runs a fault plan.
pub struct FaultRunner<'a> {
    fleet: &'a Fleet,
    length: Duration,
    stop: &'a AtomicBool,
    outcome: FaultOutcome,
}

/// Runs a plan: injects the fault and recovers from it.
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
    fn record_step(&mut self, what: String) {
        log::info!("event=fault step={what:?}");
        self.outcome.steps.push(what);
    }

    fn sleep(&self, length: Duration) {
        let end = Instant::now() + length;
        while !self.stop.load(Ordering::Relaxed) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(SLEEP_INTERVAL));
        }
    }

    fn leader_kill(&mut self) -> Result<()> {
        let leader = operator::leader(self.fleet)?;
        self.record_step(format!("SIGKILL to leader {leader}"));
        self.fleet.kill(&leader)?;
        self.sleep(self.length);
        self.record_step(format!("{leader} starts again"));
        self.fleet.restart(&leader)
    }

    fn zone_cut(&mut self) -> Result<()> {
        let leader = operator::leader(self.fleet)?;
        let zone = self.fleet.place(&leader)?.zone.clone();
        self.record_step(format!("zone {zone} of leader {leader} is cut off"));
        self.outcome.unhealthy_zones.push(zone.clone());
        self.fleet.events.disturbed(format!("cut {zone}"));
        // Clients still reach the routers of the zone.
        let zones = self.fleet.deployment.zones.iter();
        let others = zones.map(|other| other.name.as_str());
        let others = others.filter(|other| **other != *zone);
        for other in others.chain([SERVICES_ZONE]) {
            self.fleet.relay.cut(&PathKey::new(&zone, other), false)?;
        }
        self.set_reachable(&zone, false);
        self.sleep(self.length);
        self.record_step(format!("zone {zone} is connected again"));
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
        self.record_step(format!("SIGSTOP to leader {leader}"));
        self.fleet.freeze(&leader)?;
        self.sleep(self.length);
        self.record_step(format!("SIGCONT to {leader}"));
        self.fleet.resume(&leader)
    }

    fn two_members_lost(&mut self) -> Result<()> {
        let first = operator::leader(self.fleet)?;
        let before = self.voters()?;
        self.destroy_member(&first)?;
        self.fleet.restart(&first)?;
        self.wait_for_replacement(&first, &before);
        let second = operator::leader(self.fleet)?;
        let before = self.voters()?;
        self.destroy_member(&second)?;
        self.fleet.restart(&second)?;
        self.wait_for_replacement(&second, &before);
        Ok(())
    }

    fn destroy_member(&mut self, name: &str) -> Result<()> {
        self.record_step(format!("{name} loses process and disk"));
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

    /// Waits until the group is back to full size with a different set of voters.
    fn wait_for_replacement(&mut self, name: &str, before: &[u64]) {
        let begin = Instant::now();
        let repaired = holds_within(REPAIR_TIMEOUT, || {
            let voters = self.voters();
            voters.is_ok_and(|voters| voters.len() == VOTERS && voters != before)
        });
        let seconds = begin.elapsed().as_secs_f64();
        if repaired {
            self.record_step(format!("{name} was replaced after {seconds:.1} s"));
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
        self.record_step(format!("SIGKILL to {engine}, which holds replicas"));
        self.fleet.kill(&engine)?;
        self.sleep(PLATFORM_DETECTION_TIME);
        self.remove_from_platform_list(&engine)?;
        self.sleep(self.length.saturating_sub(PLATFORM_DETECTION_TIME));
        self.record_step(format!("{engine} starts again, empty"));
        self.fleet.restart(&engine)
    }

    /// Removes a machine from the platform list, as the platform does when it fails.
    fn remove_from_platform_list(&self, name: &str) -> Result<()> {
        let address = self.fleet.layout.platform.listen;
        ureq::delete(format!("http://{address}/machines/{name}"))
            .call()
            .context("the platform list does not respond")?;
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
            self.restart_gracefully(&name)?;
        }
        Ok(())
    }

    fn restart_gracefully(&mut self, name: &str) -> Result<()> {
        let begin = Instant::now();
        self.fleet.events.disturbed(format!("restart {name}"));
        let ended = self.fleet.stop_planned(name, PLANNED_STOP_TIMEOUT)?;
        ensure!(ended, "{name} did not stop within {PLANNED_STOP_TIMEOUT:?}");
        let seconds = begin.elapsed().as_secs_f64();
        self.record_step(format!("{name} stopped as planned in {seconds:.1} s"));
        self.fleet.restart(name)?;
        // Changes continue meanwhile: a process is up to date once it has those made before its start.
        let wanted = operator::status(self.fleet)?.configuration;
        if !holds_within(REJOIN_TIMEOUT, || self.has_rejoined(name, wanted)) {
            let breach = format!("restart: {name} did not rejoin within {REJOIN_TIMEOUT:?}");
            self.outcome.breaches.push(breach);
        }
        Ok(())
    }

    /// Returns whether the leader reports a restarted process as up to date.
    fn has_rejoined(&self, name: &str, wanted: u64) -> bool {
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
            let since_contact = member
                .silent_millis
                .map_or(Duration::ZERO, Duration::from_millis);
            since_contact < Duration::from_secs(1)
        })
    }
}
