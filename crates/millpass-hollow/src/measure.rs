//! Measures a group with hollow routers at one size, and prints one line per phase.

use crate::catalog;
use crate::engines::{self, EnginesHandle};
use crate::figures::summary;
use crate::group::{Group, wait_for};
use crate::options::MeasureOptions;
use crate::router::RequestTarget;
use crate::routers::{Applied, Routers, RoutersHandle};
use crate::usage::{Usage, busiest_threads};
use anyhow::Result;
use std::sync::Arc;
use std::thread;
use std::time::{Duration as StdDuration, Instant};

/// Configuration changes per second in the change phase.
const CHANGES_PER_SECOND: u64 = 10;
/// Cold loads per second in the cold load phase.
const LOADS_PER_SECOND: u64 = 5;
/// Wait for the last deltas, loads or claims of a phase.
const SETTLE_TIME: StdDuration = StdDuration::from_secs(2);
/// Routers that join before the initial placement, so that its burst of loads does not involve all
/// routers.
const INITIAL_ROUTERS: usize = 25;
/// Percentage of replicas that must be ordered before the steady phase.
const PLACED_PERCENT: usize = 98;

/// Named values that are fitted over the number of routers.
pub type Values = Vec<(&'static str, f64)>;

/// A running deployment of one size.
struct Deployment<'a> {
    options: &'a MeasureOptions,
    // Field order is drop order: routers, group, engines.
    running: Vec<RoutersHandle>,
    routers: Arc<Routers>,
    group: Group,
    engines: EnginesHandle,
    leader: usize,
}

/// Measures one size; returns the values to fit.
pub fn measure(options: &MeasureOptions, count: usize) -> Result<Values> {
    let engines = count * options.engines_per_router;
    let replicas = replicas(options, engines);
    println!(
        "size routers={count} engines={engines} models={} adapters={} members={} replicas={}",
        options.models,
        options.adapters,
        options.members,
        replicas as usize * options.models
    );
    let mut deployment = Deployment::start(options, count, engines, replicas)?;
    deployment.measure_join("first_joined", INITIAL_ROUTERS.min(count), engines)?;
    deployment.measure_placement(replicas as usize * options.models)?;
    let mut values = deployment.measure_join("joined", count, engines)?;
    values.extend(deployment.measure_steady_state()?);
    values.extend(deployment.measure_changes()?);
    deployment.measure_cold_loads()?;
    values.extend(deployment.measure_claims()?);
    if !options.no_faults && options.members >= 3 {
        values.extend(deployment.measure_failover()?);
        deployment.measure_wiped_member()?;
    }
    Ok(values)
}

fn replicas(options: &MeasureOptions, engines: usize) -> u32 {
    if options.replicas > 0 {
        return options.replicas;
    }
    engines.div_ceil(options.models.max(1)) as u32
}

impl<'a> Deployment<'a> {
    fn start(
        options: &'a MeasureOptions,
        count: usize,
        engine_count: usize,
        replicas: u32,
    ) -> Result<Self> {
        let load_time = StdDuration::from_millis(options.load_millis);
        let engines = engines::start(engine_count, load_time, options.checkpoints)?;
        let group = Group::start(options, engines.address())?;
        let leader = group.leader()?;
        let started = Instant::now();
        let administration = group.administration();
        let [first, second] = catalog::objects(options.models, options.adapters, replicas);
        let mut times = catalog::create(&administration, &first)?;
        times.extend(catalog::create(&administration, &second)?);
        let rate = times.len() as f64 / started.elapsed().as_secs_f64();
        println!(
            "catalog changes_per_second={rate:.0} {}",
            summary(&mut times)
        );
        let routers = Routers::new(
            count,
            group.peers()?,
            engines.engines.clone(),
            options.demand,
            options.models,
        );
        Ok(Deployment {
            options,
            running: Vec::new(),
            routers,
            group,
            engines,
            leader,
        })
    }

    /// Waits until `count` routers are served and together watch all engines.
    fn measure_join(&mut self, name: &str, count: usize, engines: usize) -> Result<Values> {
        self.leader = self.group.leader()?;
        let (bytes_before, _) = self.routers.bytes();
        let (started, before) = (Instant::now(), self.group.usage()?);
        let first = if self.running.is_empty() {
            0
        } else {
            INITIAL_ROUTERS.min(count)
        };
        self.running.push(self.routers.start(first..count));
        wait_for("response to each router", || {
            self.routers.responded_above_term(0, count)
        })?;
        let served = started.elapsed();
        wait_for("watcher of each engine", || {
            (self.routers.watched() >= engines).then_some(())
        })?;
        let watched = started.elapsed();
        let used = self.format_usage(&before, started.elapsed())?;
        let (bytes, _) = self.routers.bytes();
        println!(
            "{name} routers={count} served_ms={} watched_ms={} received_mib={} \
             placement_mib={} configuration_mib={} watch_mib={} {used}",
            served.as_millis(),
            watched.as_millis(),
            (bytes.received - bytes_before.received) >> 20,
            (bytes.placement - bytes_before.placement) >> 20,
            (bytes.configuration - bytes_before.configuration) >> 20,
            (bytes.watch - bytes_before.watch) >> 20,
        );
        Ok(vec![("join_ms", served.as_secs_f64() * 1e3)])
    }

    /// Waits until the replicas required by the catalog are ordered.
    fn measure_placement(&mut self, replicas: usize) -> Result<()> {
        self.leader = self.group.leader()?;
        let (started, before) = (Instant::now(), self.group.usage()?);
        let end = started + StdDuration::from_secs(self.options.placing_seconds);
        let orders = || {
            self.engines
                .engines
                .orders
                .load(std::sync::atomic::Ordering::Relaxed)
        };
        while (orders() as usize) < replicas * PLACED_PERCENT / 100 && Instant::now() < end {
            thread::sleep(StdDuration::from_millis(50));
        }
        let elapsed = started.elapsed();
        let rate = orders() as f64 / elapsed.as_secs_f64();
        let used = self.format_usage(&before, elapsed)?;
        println!(
            "placing orders={} of={replicas} seconds={:.1} orders_per_second={rate:.0} {used}",
            orders(),
            elapsed.as_secs_f64()
        );
        thread::sleep(SETTLE_TIME);
        Ok(())
    }

    fn measure_steady_state(&mut self) -> Result<Values> {
        self.leader = self.group.leader()?;
        self.routers.take_records();
        let (started, before) = (Instant::now(), self.group.usage()?);
        let (bytes_before, reports_before) = self.routers.bytes();
        thread::sleep(StdDuration::from_secs(self.options.steady_seconds));
        let seconds = started.elapsed().as_secs_f64();
        let (bytes, reports) = self.routers.bytes();
        let after = self.group.usage()?;
        let per_router = 1.0 / seconds / self.routers.len() as f64;
        let rate = |now: u64, then: u64| (now - then) as f64 * per_router;
        let sent = rate(bytes.sent, bytes_before.sent);
        let received = rate(bytes.received, bytes_before.received);
        println!(
            "steady reports_per_second={:.0} sent_bytes_per_second_and_router={sent:.0} \
             received_bytes_per_second_and_router={received:.0} of_that_configuration={:.0} \
             placement={:.0} watch={:.0} watch_lists={} {} {}",
            (reports - reports_before) as f64 / seconds,
            rate(bytes.configuration, bytes_before.configuration),
            rate(bytes.placement, bytes_before.placement),
            rate(bytes.watch, bytes_before.watch),
            bytes.watch_lists - bytes_before.watch_lists,
            summary(&mut self.routers.take_records().response_times),
            self.format_usage(&before, started.elapsed())?,
        );
        let cpu = |member: usize| cpu_rate(&before[member], &after[member], seconds);
        let follower = (self.leader + 1) % self.options.members;
        Ok(vec![
            ("leader_cpu_ms_per_s", cpu(self.leader)),
            ("follower_cpu_ms_per_s", cpu(follower)),
            (
                "leader_resident_mib",
                after[self.leader].resident_kib as f64 / 1024.0,
            ),
            (
                "follower_resident_mib",
                after[follower].resident_kib as f64 / 1024.0,
            ),
            ("sent_bytes_per_s_and_router", sent),
            ("received_bytes_per_s_and_router", received),
        ])
    }

    /// Measures the time until configuration changes are committed and applied by all routers.
    fn measure_changes(&mut self) -> Result<Values> {
        self.leader = self.group.leader()?;
        let before = self.group.usage()?;
        let started = Instant::now();
        self.routers.take_records();
        let mut client = catalog::client(&self.group.administration());
        let mut submitted = Vec::new();
        let mut commits = Vec::new();
        let pause = StdDuration::from_millis(1_000 / CHANGES_PER_SECOND);
        for number in 0..self.options.changes {
            let begun = Instant::now();
            let revision = catalog::change_tenant(&mut client, number as u64 + 1)?;
            commits.push(begun.elapsed());
            submitted.push((revision, begun));
            thread::sleep(pause.saturating_sub(begun.elapsed()));
        }
        let elapsed = started.elapsed();
        let used = self.format_usage(&before, elapsed)?;
        thread::sleep(SETTLE_TIME);
        let applied = self.routers.take_records().applied;
        let (mut each, mut everywhere) = in_force(&submitted, &applied, self.routers.len());
        println!("changes commit {} {used}", summary(&mut commits));
        println!("changes in_force_at_a_router {}", summary(&mut each));
        println!("changes in_force_everywhere {}", summary(&mut everywhere));
        let slowest = crate::figures::quantile(&mut everywhere, 0.99);
        Ok(vec![(
            "in_force_everywhere_p99_ms",
            slowest.as_secs_f64() * 1e3,
        )])
    }

    /// Measures requests for adapters that are not loaded.
    fn measure_cold_loads(&mut self) -> Result<()> {
        self.leader = self.group.leader()?;
        let (started, before) = (Instant::now(), self.group.usage()?);
        self.routers.take_records();
        let pause = StdDuration::from_millis(1_000 / LOADS_PER_SECOND);
        let count = self.options.loads_seconds * LOADS_PER_SECOND;
        let count = (count as usize).min(self.options.adapters);
        for number in 0..count {
            self.routers
                .add_waiting(number * 13, self.cold_target(number));
            thread::sleep(pause);
        }
        let elapsed = started.elapsed();
        let used = self.format_usage(&before, elapsed)?;
        thread::sleep(SETTLE_TIME);
        let mut loads = self.routers.take_records().loads;
        println!("cold_loads asked={count} {} {used}", summary(&mut loads));
        Ok(())
    }

    fn cold_target(&self, number: usize) -> RequestTarget {
        let model = catalog::model_name(number % self.options.models);
        let adapter = format!("adapter-{number:04}");
        (model.into(), Some(adapter.into()))
    }

    /// Measures claims at a constant concurrency.
    fn measure_claims(&mut self) -> Result<Values> {
        self.leader = self.group.leader()?;
        let (started, before) = (Instant::now(), self.group.usage()?);
        self.routers.take_records();
        self.routers.set_claiming(true);
        for number in 0..self.options.claims {
            self.routers.router(number).begin_claim();
        }
        thread::sleep(StdDuration::from_secs(self.options.claims_seconds));
        let elapsed = started.elapsed();
        let mut records = self.routers.take_records();
        self.routers.set_claiming(false);
        let rate = records.claims.len() as f64 / elapsed.as_secs_f64();
        println!(
            "claims under_way={} per_second={rate:.0} refused={} {} {}",
            self.options.claims,
            records.claims_refused,
            summary(&mut records.claims),
            self.format_usage(&before, elapsed)?,
        );
        thread::sleep(SETTLE_TIME);
        Ok(vec![("claims_per_s", rate)])
    }

    /// Kills the leader, waits until its successor has responded to every router, and restarts it.
    fn measure_failover(&mut self) -> Result<Values> {
        self.leader = self.group.leader()?;
        let term = self.routers.term();
        let (bytes_before, _) = self.routers.bytes();
        let killed = self.leader;
        let at = Instant::now();
        self.group.kill(killed)?;
        let responses = wait_for("response of the next leader to each router", || {
            self.routers.responded_above_term(term, self.routers.len())
        })?;
        let times = responses.iter().map(|response| response.duration_since(at));
        let mut times: Vec<StdDuration> = times.collect();
        let (bytes, _) = self.routers.bytes();
        println!(
            "leader_killed served_by_the_next {} received_mib={} of_that_watch_mib={} \
             placement_mib={}",
            summary(&mut times),
            (bytes.received - bytes_before.received) >> 20,
            (bytes.watch - bytes_before.watch) >> 20,
            (bytes.placement - bytes_before.placement) >> 20,
        );
        let slowest = crate::figures::quantile(&mut times, 1.0);
        self.measure_catch_up("restarted", killed, false)?;
        Ok(vec![(
            "next_leader_serves_all_ms",
            slowest.as_secs_f64() * 1e3,
        )])
    }

    /// Wipes the disk of a follower and restarts it.
    fn measure_wiped_member(&mut self) -> Result<()> {
        let leader = self.group.leader()?;
        self.leader = leader;
        let wiped = (leader + 1) % self.options.members;
        self.group.kill(wiped)?;
        self.group.wipe(wiped)?;
        self.measure_catch_up("wiped", wiped, true)
    }

    /// Starts a member and waits until it reaches the current commit index of the leader.
    fn measure_catch_up(&mut self, name: &str, member: usize, wiped: bool) -> Result<()> {
        let leader = self.group.leader()?;
        self.leader = leader;
        let wanted = self.group.metric(leader, "millpass_control_commit_index");
        let folder_kib = self.group.folder_bytes(member) >> 10;
        let started = Instant::now();
        self.group.start_member(member, false)?;
        wait_for("the member's log", || {
            let commit = self.group.metric(member, "millpass_control_commit_index");
            (commit >= wanted).then_some(())
        })?;
        println!(
            "{name} wiped={wiped} folder_kib={folder_kib} commit={} caught_up_ms={}",
            wanted.unwrap_or(0),
            started.elapsed().as_millis()
        );
        Ok(())
    }

    /// Formats processor time and memory of leader and first follower since a reading.
    fn format_usage(&self, before: &[Usage], elapsed: StdDuration) -> Result<String> {
        let after = self.group.usage()?;
        let seconds = elapsed.as_secs_f64();
        let leader = self.leader;
        let changed = self.group.leader()? != leader;
        let mut text = format!(
            "leader_changed={changed} leader_cpu_ms_per_s={:.0} leader_resident_mib={} leader_threads={} \
             leader_written_kib_per_s={:.0}",
            cpu_rate(&before[leader], &after[leader], seconds),
            after[leader].resident_kib / 1024,
            busiest_threads(&before[leader], &after[leader], seconds),
            (after[leader].written_bytes - before[leader].written_bytes) as f64 / 1024.0 / seconds,
        );
        if after.len() > 1 {
            let follower = (leader + 1) % after.len();
            text += &format!(
                " follower_cpu_ms_per_s={:.0} follower_resident_mib={}",
                cpu_rate(&before[follower], &after[follower], seconds),
                after[follower].resident_kib / 1024,
            );
        }
        Ok(text)
    }
}

fn cpu_rate(before: &Usage, after: &Usage, seconds: f64) -> f64 {
    after.cpu_millis.saturating_sub(before.cpu_millis) as f64 / seconds
}

/// Returns the times from the submission of each change until individual routers applied it, and
/// until all did.
pub fn in_force(
    submitted: &[(u64, Instant)],
    applied: &[Applied],
    routers: usize,
) -> (Vec<StdDuration>, Vec<StdDuration>) {
    let mut each = Vec::new();
    let mut everywhere = Vec::new();
    for (revision, begun) in submitted {
        let matching = applied
            .iter()
            .filter(|delta| delta.from < *revision && *revision <= delta.to);
        let times: Vec<StdDuration> = matching
            .map(|delta| delta.at.duration_since(*begun))
            .collect();
        if times.len() >= routers {
            everywhere.extend(times.iter().max());
        }
        each.extend(times);
    }
    (each, everywhere)
}
