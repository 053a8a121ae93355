//! Relative speed of engines, merged over the reports of all gateways.
//!
//! Handles engines of unequal speed, and engines slowed by other work on their machine. A gateway
//! sees one in sixty of an engine's responses at 61 gateways, too few to learn from; together they
//! report several a second. Each engine's responses give a mean logarithm of the time relative to
//! that of typical work; its factor is the difference to the service's median. An engine is not
//! distinguished from the median until the difference exceeds a fifth and three standard errors, so
//! that equal engines are treated as equal: with two, three of 60 equal engines would differ.

use crate::registry::Registry;
use millpass_proto::{Duration, EnginePace, EnginePaceSample, InstanceId, ServiceName, Timestamp};
use std::collections::BTreeMap;

/// Decay time of the weight of responses. Long enough for a standard error of a tenth at three
/// responses a second.
const SAMPLE_DECAY_SECONDS: f64 = 20.0;
/// Weight of responses from which an engine's speed counts as known.
const MIN_SAMPLES: f64 = 10.0;
/// Time over which these responses must have come.
const MIN_OBSERVED: Duration = Duration::from_secs(4);
/// Responses a second that count as independent in the standard error: those within half a second
/// share the state of the engine, such as its load or a pause.
const INDEPENDENT_PER_SECOND: f64 = 2.0;
/// Responses of a typical engine that each engine is assumed to have given: pulls an engine with
/// few responses towards the median.
const PRIOR_SAMPLES: f64 = 2.0;
/// Bounds of the deviation of one report, as logarithms. Long times count for less, as they are
/// often queueing rather than speed.
const DEVIATION_BOUNDS: (f64, f64) = (-0.8, 0.5);
/// Variance of the logarithms assumed before it is known, and the number of responses for which the
/// assumption counts. The variance of a few responses in a row is too low, as they share a state.
const PRIOR_VARIANCE: f64 = 0.25;
const PRIOR_VARIANCE_SAMPLES: f64 = 10.0;
/// Standard errors of the logarithm by which an engine must differ to be published, and to stay so.
const PUBLISH_ERRORS: f64 = 3.0;
const WITHDRAW_ERRORS: f64 = 1.0;
/// Bound of the deviation that counts for the variance.
const MAX_VARIANCE_DEVIATION: f64 = 2.0;
/// Logarithm of a factor from which it is published, and below which it is withdrawn. Equal engines
/// differ by up to 0.15 where their load differs, as the constants do not describe it exactly.
const PUBLISH_DIFFERENCE: f64 = 0.2;
const WITHDRAW_DIFFERENCE: f64 = 0.1;
/// Change of the logarithm of a published factor from which it is published again.
const REPUBLISH_CHANGE: f64 = 0.1;
/// Minimum interval between computations of medians and factors.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between comparisons of machine times.
const MACHINE_INTERVAL: Duration = Duration::from_millis(50);
/// Factors in one update. The rest follow in the next.
const MAX_PACES_PER_UPDATE: usize = 128;
/// Decay time of a stated machine time, as at gateways.
const MACHINE_DECAY_SECONDS: f64 = 0.4;
/// Weight of responses from which an engine's machine times are published: five responses a second.
/// With fewer, they are older on arrival than the 600 ms for which other work lasts.
const MIN_MACHINE_SAMPLES: f64 = 5.0 * SAMPLE_DECAY_SECONDS;
/// Relative change of the machine time from which it is published.
const MACHINE_CHANGE: f64 = 0.25;
/// Largest product of engines and gateways for which machine times are published. With more, their
/// changes would exceed the leader's bandwidth.
const MAX_MACHINE_PAIRS: usize = 16_384;
/// Factors sent a second over all gateways; some 30 bytes each. The largest changes come first.
const MAX_FACTORS_PER_SECOND: f64 = 30_000.0;
/// Reports in a row with the same machine time, other than the usual one, after which it counts as
/// stuck, and the least time that they span. It normally changes many times a second.
const STUCK_REPORTS: u32 = 12;
const STUCK_TIME: Duration = Duration::from_secs(4);
/// Range of valid times in hundredths.
const VALID_HUNDREDTHS: std::ops::RangeInclusive<u32> = 1..=10_000;
/// Bounds of a factor, as at gateways.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 10.0);
/// Factor from which an engine is logged as slow, and below which as no longer slow.
const SLOW_FACTOR: f64 = 1.5;
const RECOVERED_FACTOR: f64 = 1.25;

/// A change to be logged.
#[derive(Debug, PartialEq)]
pub(crate) enum PaceChange {
    /// An engine takes this many times as long as the median.
    Slow(InstanceId, f64),
    /// An engine is no longer slow.
    Recovered(InstanceId, f64),
    /// An engine keeps stating the same machine time, which is ignored from now on.
    Stuck(InstanceId, u32),
}

/// Stated machine times of one engine.
#[derive(Debug, Default)]
struct MachineTime {
    /// Last stated time relative to the usual one; 0 if none was.
    last: f64,
    last_at: Timestamp,
    /// Published time; 0 if none was.
    published: f64,
    published_at: Timestamp,
    hundredths: u32,
    /// Reports in a row with that time.
    repeats: u32,
    repeated_since: Timestamp,
    stuck: bool,
}

impl MachineTime {
    /// Records a stated time. Returns true if it has become stuck.
    fn record(&mut self, now: Timestamp, hundredths: u32) -> bool {
        if hundredths != self.hundredths {
            self.hundredths = hundredths;
            self.repeats = 0;
            self.repeated_since = now;
        }
        self.repeats = self.repeats.saturating_add(1);
        let was_stuck = self.stuck;
        self.stuck = hundredths != 100
            && self.repeats >= STUCK_REPORTS
            && now.since(self.repeated_since) >= STUCK_TIME;
        if !self.stuck {
            let time = f64::from(hundredths) / 100.0;
            self.last = time.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
            self.last_at = now;
        }
        self.stuck && !was_stuck
    }

    /// Returns whether the time differs from what gateways assume.
    fn is_changed(&self, now: Timestamp) -> bool {
        let last = decayed_machine(now, self.last, self.last_at);
        let published = decayed_machine(now, self.published, self.published_at);
        (last / published - 1.0).abs() > MACHINE_CHANGE
    }
}

fn decayed_machine(now: Timestamp, time: f64, at: Timestamp) -> f64 {
    if time == 0.0 {
        return 1.0;
    }
    let age = now.since(at).as_secs_f64();
    1.0 + (time - 1.0) * (-age / MACHINE_DECAY_SECONDS).exp()
}

/// What is known of one engine.
#[derive(Debug)]
struct EngineEntry {
    service: ServiceName,
    /// Mean logarithm of the time relative to typical work, and the variance of one response.
    mean: f64,
    variance: f64,
    /// Number of responses behind the mean, decayed since `at`.
    weight: f64,
    at: Timestamp,
    /// Time of its first response.
    since: Timestamp,
    machine: MachineTime,
    published: f64,
    /// Revision at which it was last published; 0 for never.
    revision: u64,
    logged_slow: bool,
}

impl EngineEntry {
    fn new(service: ServiceName) -> Self {
        EngineEntry {
            service,
            mean: 0.0,
            variance: PRIOR_VARIANCE,
            weight: 0.0,
            at: Timestamp::ZERO,
            since: Timestamp::ZERO,
            machine: MachineTime::default(),
            published: 1.0,
            revision: 0,
            logged_slow: false,
        }
    }

    fn weight(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.weight * (-age / SAMPLE_DECAY_SECONDS).exp()
    }

    fn is_known(&self, now: Timestamp) -> bool {
        self.weight(now) >= MIN_SAMPLES && now.since(self.since) >= MIN_OBSERVED
    }

    fn record(&mut self, now: Timestamp, samples: f64, log_ratio: f64) {
        let weight = self.weight(now);
        if weight == 0.0 {
            self.since = now;
        }
        let mut deviation = log_ratio - self.mean;
        let bounded = deviation.clamp(-MAX_VARIANCE_DEVIATION, MAX_VARIANCE_DEVIATION);
        let observed = bounded * bounded * samples;
        if weight >= MIN_SAMPLES {
            deviation = deviation.clamp(DEVIATION_BOUNDS.0, DEVIATION_BOUNDS.1);
        }
        let share = samples / (weight + samples);
        self.mean += deviation * share;
        if weight >= 1.0 {
            let share = 1.0 / (weight + PRIOR_VARIANCE_SAMPLES);
            self.variance += (observed - self.variance) * share;
        }
        self.weight = weight + samples;
        self.at = now;
    }

    /// Returns the factor to publish, given the mean of the service's median engine.
    fn target(&self, now: Timestamp, median: f64) -> f64 {
        let weight = self.weight(now);
        let known = weight / (weight + PRIOR_SAMPLES);
        let difference = (self.mean - median) * known;
        let observed = now
            .since(self.since)
            .as_secs_f64()
            .min(SAMPLE_DECAY_SECONDS);
        let independent = weight.min(INDEPENDENT_PER_SECOND * observed);
        let standard_error = (self.variance / independent.max(1.0)).sqrt();
        let factor = difference.exp().clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        let is_published = self.published != 1.0;
        let threshold = match is_published {
            true => WITHDRAW_DIFFERENCE.max(WITHDRAW_ERRORS * standard_error),
            false => PUBLISH_DIFFERENCE.max(PUBLISH_ERRORS * standard_error),
        };
        if (!is_published && !self.is_known(now)) || difference.abs() <= threshold {
            return 1.0;
        }
        (factor * 100.0).round() / 100.0
    }
}

/// Speeds of the engines that gateways report.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    engines: BTreeMap<InstanceId, EngineEntry>,
    /// Published engines by revision.
    by_revision: BTreeMap<u64, InstanceId>,
    revision: u64,
    medians: BTreeMap<ServiceName, f64>,
    next_refresh: Timestamp,
    next_machine_refresh: Timestamp,
}

impl Paces {
    /// Returns the time of an engine relative to its service's median, apart from the effect of
    /// other work on its machine.
    pub(crate) fn factor(&self, instance: &InstanceId) -> f64 {
        let entry = self.engines.get(instance);
        entry.map_or(1.0, |entry| entry.published)
    }

    /// Returns the slowest factor and the number of engines whose factor is not 1.
    pub(crate) fn summary(&self) -> (f64, usize) {
        let factors = self.engines.values().map(|entry| entry.published);
        let known = factors.filter(|factor| *factor != 1.0);
        known.fold((1.0, 0), |(slowest, count), factor| {
            (factor.max(slowest), count + 1)
        })
    }

    /// Applies a gateway's report. Unknown instances and values out of range are ignored.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        samples: &[EnginePaceSample],
        registry: &Registry,
    ) -> Vec<PaceChange> {
        let mut changes = Vec::new();
        for sample in samples {
            let Some(record) = registry.get(&sample.instance) else {
                continue;
            };
            if !self.engines.contains_key(&sample.instance) {
                let entry = EngineEntry::new(record.service.clone());
                self.engines.insert(sample.instance.clone(), entry);
            }
            let Some(entry) = self.engines.get_mut(&sample.instance) else {
                continue;
            };
            let mut machine = 1.0;
            if VALID_HUNDREDTHS.contains(&sample.machine_time) {
                let hundredths = sample.machine_time;
                if entry.machine.record(now, hundredths) {
                    changes.push(PaceChange::Stuck(sample.instance.clone(), hundredths));
                }
                if !entry.machine.stuck {
                    machine = f64::from(hundredths) / 100.0;
                }
            }
            if sample.samples > 0 && VALID_HUNDREDTHS.contains(&sample.relative_time) {
                let ratio = f64::from(sample.relative_time) / 100.0 / machine;
                entry.record(now, f64::from(sample.samples.min(64)), ratio.ln());
            }
        }
        changes
    }

    /// Forgets an engine.
    pub(crate) fn remove(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.engines.remove(instance) {
            self.by_revision.remove(&entry.revision);
        }
    }

    /// Computes and publishes changed factors, if due.
    pub(crate) fn refresh(
        &mut self,
        now: Timestamp,
        registry: &Registry,
        gateways: u32,
    ) -> Vec<PaceChange> {
        let is_due = now >= self.next_refresh;
        if !is_due && now < self.next_machine_refresh {
            return Vec::new();
        }
        self.next_machine_refresh = now + MACHINE_INTERVAL;
        let pairs = self.engines.len().saturating_mul(gateways as usize);
        let publishes_machines = pairs <= MAX_MACHINE_PAIRS;
        if is_due {
            self.next_refresh = now + REFRESH_INTERVAL;
            let is_gone = |instance: &&InstanceId| registry.get(instance).is_none();
            let gone: Vec<InstanceId> = self.engines.keys().filter(is_gone).cloned().collect();
            for instance in gone {
                self.remove(&instance);
            }
            self.refresh_medians(now);
        }
        if is_due {
            self.refresh_factors(now, gateways);
        }
        if publishes_machines {
            self.refresh_machines(now);
        }
        let entries = self.engines.iter_mut();
        entries
            .filter_map(|(instance, entry)| entry.slowness_change(instance))
            .collect()
    }

    /// Publishes changed factors, the largest changes first.
    fn refresh_factors(&mut self, now: Timestamp, gateways: u32) {
        let mut changed = Vec::new();
        for (instance, entry) in &self.engines {
            let median = self.medians.get(&entry.service).copied();
            let target = median.map_or(1.0, |median| entry.target(now, median));
            let change = (target / entry.published).ln().abs();
            let withdrawn = target == 1.0 && entry.published != 1.0;
            if withdrawn || change > REPUBLISH_CHANGE {
                changed.push((change, target, instance.clone()));
            }
        }
        changed.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
        let per_second = MAX_FACTORS_PER_SECOND / f64::from(gateways.max(1));
        let limit = (per_second * REFRESH_INTERVAL.as_secs_f64()).ceil() as usize;
        for (_, target, instance) in changed.into_iter().take(limit) {
            if let Some(entry) = self.engines.get_mut(&instance) {
                entry.published = target;
            }
            self.publish(&instance);
        }
    }

    /// Publishes changed machine times.
    fn refresh_machines(&mut self, now: Timestamp) {
        let entries = self.engines.iter_mut();
        let changed = entries.filter(|(_, entry)| {
            entry.weight(now) >= MIN_MACHINE_SAMPLES && entry.machine.is_changed(now)
        });
        let changed: Vec<InstanceId> = changed
            .map(|(instance, entry)| {
                entry.machine.published = entry.machine.last;
                entry.machine.published_at = entry.machine.last_at;
                instance.clone()
            })
            .collect();
        for instance in &changed {
            self.publish(instance);
        }
    }

    /// Has gateways sent what is known of an engine.
    fn publish(&mut self, instance: &InstanceId) {
        let Some(entry) = self.engines.get_mut(instance) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        self.revision += 1;
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, instance.clone());
    }

    /// Computes the median of each service of which at least two engines are known.
    fn refresh_medians(&mut self, now: Timestamp) {
        let mut means: BTreeMap<&ServiceName, Vec<f64>> = BTreeMap::new();
        for entry in self.engines.values() {
            if entry.is_known(now) {
                means.entry(&entry.service).or_default().push(entry.mean);
            }
        }
        let medians = means.into_iter().filter(|(_, means)| means.len() >= 2);
        self.medians = medians
            .map(|(service, mut means)| {
                means.sort_unstable_by(f64::total_cmp);
                let middle = means.len() / 2;
                let median = match means.len() % 2 {
                    0 => (means[middle - 1] + means[middle]) / 2.0,
                    _ => means[middle],
                };
                (service.clone(), median)
            })
            .collect();
    }

    /// Returns what was published after a revision, and the revision up to which it is complete.
    pub(crate) fn published_since(&self, now: Timestamp, revision: u64) -> (Vec<EnginePace>, u64) {
        let newer = self.by_revision.range(revision + 1..);
        let mut sent = self.revision;
        let mut paces = Vec::new();
        for (published, instance) in newer {
            if paces.len() == MAX_PACES_PER_UPDATE {
                break;
            }
            sent = *published;
            let Some(entry) = self.engines.get(instance) else {
                continue;
            };
            let machine = &entry.machine;
            let time = decayed_machine(now, machine.published, machine.published_at);
            let is_recent = machine.published != 0.0
                && now.since(machine.published_at).as_secs_f64() < 4.0 * MACHINE_DECAY_SECONDS;
            paces.push(EnginePace {
                instance: instance.clone(),
                relative_time: (entry.published * 100.0).round() as u32,
                machine_time: match is_recent {
                    true => (time * 100.0).round() as u32,
                    false => 0,
                },
            });
        }
        (paces, sent)
    }
}

impl EngineEntry {
    fn slowness_change(&mut self, instance: &InstanceId) -> Option<PaceChange> {
        let factor = self.published;
        if !self.logged_slow && factor >= SLOW_FACTOR {
            self.logged_slow = true;
            return Some(PaceChange::Slow(instance.clone(), factor));
        }
        if self.logged_slow && factor < RECOVERED_FACTOR {
            self.logged_slow = false;
            return Some(PaceChange::Recovered(instance.clone(), factor));
        }
        None
    }
}
