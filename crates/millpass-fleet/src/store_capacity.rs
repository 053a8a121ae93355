//! Estimate of how many concurrent loads the weight store serves at full speed.
//!
//! Beyond its capacity the store slows down every load, so more concurrent loads end no sooner and
//! block their engines for longer. The configuration states the duration of a load, but not the
//! capacity.
//!
//! With capacity `c`, each of `n` loads progresses at `min(1, c / n)` of full speed. A slowed load
//! yields the `c` for which its progress adds up to the nominal time. A load at full speed only
//! shows that the capacity is not below its concurrency. The limit grows while loads are not slowed
//! and otherwise follows these samples. It is not halved on slowdown as in TCP: a load takes
//! seconds, so an oscillating limit would be wrong for minutes.

use crate::instruction_history::InstructionHistory;
use millpass_proto::{Duration, InstanceId, ModelName, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Limit before the first sample; large enough for loads to overlap.
const INITIAL_LIMIT: f64 = 3.0;
/// Limit after a load that was not slowed, as a multiple of its mean concurrency. Doubling, as in TCP
/// slow start, overshoots by up to as much again; one more at a time takes minutes where loads take
/// seconds.
const GROWTH_FACTOR: f64 = 1.5;
/// Fraction of the nominal time by which a load at full speed may take longer.
const SLOWDOWN_TOLERANCE: f64 = 0.15;
/// Maximum delay in detecting the end of a load: responses travel, and reads are spaced.
const DETECTION_DELAY: Duration = Duration::from_millis(300);
/// Multiple of the nominal time after which a pending load counts as slowed.
const OVERDUE_FACTOR: f64 = 1.5;
/// Time after a slowed load during which the limit does not grow. A store that was disturbed gets
/// another chance after it.
const GROWTH_PAUSE: Duration = Duration::from_secs(30);
/// Samples kept. The largest one counts, because a load may be slow for other reasons, but never
/// fast.
const MAX_SAMPLES: usize = 4;
/// Fraction of the limit that must have been used for the limit to grow.
const MIN_USED_FRACTION: f64 = 0.7;

/// A pending load.
struct StoreLoad {
    model: ModelName,
    nominal_time: Duration,
    /// Time spent at each concurrency, this load included.
    time_by_concurrency: BTreeMap<Concurrency, Duration>,
}

/// Number of concurrent loads.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Concurrency {
    /// Includes loads that other leaders may have started.
    at_most: u32,
    /// Loads started by this leader.
    at_least: u32,
}

/// A pending load from the weight store.
pub struct PendingLoad {
    /// Engine that loads the model.
    pub instance: InstanceId,
    /// Model being loaded.
    pub model: ModelName,
    /// Duration of the load at full speed.
    pub nominal_time: Duration,
}

/// Estimates how many concurrent loads the weight store serves at full speed.
pub struct StoreCapacity {
    limit: f64,
    pending: BTreeMap<InstanceId, StoreLoad>,
    /// Pending loads that this leader did not start.
    unknown_loads: usize,
    observed_at: Timestamp,
    slowed_at: Option<Timestamp>,
    /// Capacities derived from the last loads.
    samples: VecDeque<f64>,
}

impl Default for StoreCapacity {
    fn default() -> Self {
        StoreCapacity {
            limit: INITIAL_LIMIT,
            pending: BTreeMap::new(),
            unknown_loads: 0,
            observed_at: Timestamp::ZERO,
            slowed_at: None,
            samples: VecDeque::new(),
        }
    }
}

impl StoreCapacity {
    /// Continues from the capacity recorded by earlier leaders.
    pub fn from_history(history: &InstructionHistory) -> Self {
        let recorded = history.store_capacity();
        StoreCapacity {
            limit: recorded.map_or(INITIAL_LIMIT, |recorded| {
                (f64::from(recorded) / 100.0).max(1.0)
            }),
            ..StoreCapacity::default()
        }
    }

    /// Returns the limit in hundredths of a load, to be recorded for later leaders.
    pub(crate) fn hundredths(&self) -> u32 {
        (self.limit * 100.0).round() as u32
    }

    /// Returns the number of loads that may be pending at once.
    pub fn limit(&self) -> usize {
        self.limit.round().max(1.0) as usize
    }

    /// Updates the estimate from the pending loads and the number of `unknown_loads` that this
    /// leader did not start. `has_completed` returns whether a load that is no longer
    /// pending has completed. Returns true if the limit changed.
    pub fn observe(
        &mut self,
        now: Timestamp,
        loads: Vec<PendingLoad>,
        unknown_loads: usize,
        has_completed: impl Fn(&InstanceId, &ModelName) -> bool,
    ) -> bool {
        let previous_limit = self.limit();
        self.advance(now);
        self.unknown_loads = unknown_loads;
        let mut previous = std::mem::take(&mut self.pending);
        for load in loads {
            let recorded = previous.remove(&load.instance);
            let continued = recorded.filter(|recorded| recorded.model == load.model);
            let pending = continued.unwrap_or(StoreLoad {
                model: load.model,
                nominal_time: load.nominal_time,
                time_by_concurrency: BTreeMap::new(),
            });
            self.pending.insert(load.instance, pending);
        }
        for (instance, load) in previous {
            if has_completed(&instance, &load.model) {
                self.add_sample(now, &load);
            }
        }
        self.lower_for_overdue(now);
        self.limit() != previous_limit
    }

    /// Returns the expected time until the first pending load ends.
    pub fn time_until_slot(&self) -> Duration {
        let remaining = |load: &StoreLoad| {
            let speed = (self.limit / self.pending.len().max(1) as f64).min(1.0);
            let remaining = load.nominal_time.as_secs_f64() - load.progress(self.limit);
            Duration::from_secs_f64(remaining.max(0.0) / speed)
        };
        let soonest = self.pending.values().map(remaining).min();
        soonest.unwrap_or(Duration::ZERO)
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.observed_at);
        self.observed_at = now;
        let count = |loads: usize| u32::try_from(loads).unwrap_or(u32::MAX);
        let concurrency = Concurrency {
            at_most: count(self.pending.len() + self.unknown_loads),
            at_least: count(self.pending.len()),
        };
        for load in self.pending.values_mut() {
            *load.time_by_concurrency.entry(concurrency).or_default() += elapsed;
        }
    }

    fn add_sample(&mut self, now: Timestamp, load: &StoreLoad) {
        let slowed = load.total() > load.max_unslowed_time();
        let capacity = if slowed {
            load.capacity()
        } else {
            load.mean_concurrency()
        };
        self.samples.push_back(capacity);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        if slowed {
            self.slowed_at = Some(now);
            self.limit = self.samples.iter().copied().fold(1.0, f64::max);
        } else if capacity >= self.limit * MIN_USED_FRACTION && !self.is_growth_paused(now) {
            self.limit = self.limit.max(capacity * GROWTH_FACTOR);
        }
    }

    /// Lowers the limit before slowed loads end, which may take long. A single slow load is no
    /// evidence against the store.
    fn lower_for_overdue(&mut self, now: Timestamp) {
        let overdue: Vec<f64> = self
            .pending
            .values()
            .filter(|load| {
                load.total().as_secs_f64() > load.nominal_time.as_secs_f64() * OVERDUE_FACTOR
            })
            .map(StoreLoad::capacity)
            .collect();
        if overdue.len() < 2 || overdue.len() * 2 < self.pending.len() {
            return;
        }
        let greatest = overdue.into_iter().fold(1.0, f64::max);
        if greatest < self.limit {
            self.limit = greatest;
            self.slowed_at = Some(now);
        }
    }

    fn is_growth_paused(&self, now: Timestamp) -> bool {
        self.slowed_at
            .is_some_and(|at| now.since(at) < GROWTH_PAUSE)
    }
}

impl StoreLoad {
    fn total(&self) -> Duration {
        self.time_by_concurrency.values().copied().sum()
    }

    /// Returns the maximum duration that counts as full speed.
    fn max_unslowed_time(&self) -> Duration {
        Duration::from_secs_f64(self.nominal_time.as_secs_f64() * (1.0 + SLOWDOWN_TOLERANCE))
            + DETECTION_DELAY
    }

    fn mean_concurrency(&self) -> f64 {
        let total = self.total().as_secs_f64();
        if total <= 0.0 {
            return 1.0;
        }
        let weighted = |(concurrency, time): (&Concurrency, &Duration)| {
            f64::from(concurrency.at_least) * time.as_secs_f64()
        };
        self.time_by_concurrency.iter().map(weighted).sum::<f64>() / total
    }

    /// Returns the progress, in seconds at full speed, if the store has this capacity.
    fn progress(&self, capacity: f64) -> f64 {
        let speed =
            |concurrency: &Concurrency| (capacity / f64::from(concurrency.at_most.max(1))).min(1.0);
        self.time_by_concurrency
            .iter()
            .map(|(concurrency, time)| speed(concurrency) * time.as_secs_f64())
            .sum()
    }

    /// Returns the capacity for which the progress equals the nominal time.
    fn capacity(&self) -> f64 {
        let nominal = self.nominal_time.as_secs_f64();
        let mut low = 0.0;
        let highest = self.time_by_concurrency.keys().last();
        let mut high = highest.map_or(1.0, |concurrency| f64::from(concurrency.at_most));
        // Bisection: 20 steps reduce the interval to a millionth.
        for _ in 0..20 {
            let middle = (low + high) / 2.0;
            if self.progress(middle) < nominal {
                low = middle;
            } else {
                high = middle;
            }
        }
        high.max(1.0)
    }
}
