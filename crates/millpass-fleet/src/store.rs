//! How many loads from the weight store go on at once at full speed, learned from how long they take.
//!
//! Beyond some number of loads at once the store serves each of them more slowly. More loads then end no
//! sooner than fewer, and each holds up its engine for longer. The configuration states how long a load
//! takes, not that number.
//!
//! A store that serves `capacity` loads at full speed gives each of `n` loads the share
//! `min(1, capacity / n)` of that speed. A load that ended tells the capacity for which its shares add
//! up to the stated time. One that took no longer than stated only tells that the capacity is not
//! less than the loads beside it. The limit grows while loads are not slowed, and is what they tell once
//! they are. Doubling and halving the limit as TCP does was weighed: loads take seconds, so a limit that
//! oscillates is wrong for minutes.

use crate::handover::InstructionHistory;
use millpass_proto::{Duration, InstanceId, ModelName, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Loads at once before anything is known: enough to see one beside another.
const FIRST_LIMIT: f64 = 3.0;
/// Growth of the limit at the end of a load that was not slowed: between TCP's slow start, which overshoots
/// by up to as much again, and one more at a time, which takes minutes where loads take seconds.
const GROWTH: f64 = 1.5;
/// Share of the stated time by which a load that is not slowed may take longer.
const TOLERANCE: f64 = 0.15;
/// Time by which the end of a load may be noticed late: the engine's word travels, and reads are paced.
const NOTICE: Duration = Duration::from_millis(300);
/// Times the stated time after which a load under way counts as slowed.
const OVERDUE: f64 = 1.5;
/// Time after a slowed load for which the limit does not grow. A store that was disturbed gets another
/// chance after it.
const CAUTION: Duration = Duration::from_secs(30);
/// Loads whose ends are remembered. The greatest capacity among them counts: a load may be slow for a
/// reason of its own, never fast.
const REMEMBERED: usize = 4;
/// Share of the limit that loads must have used for the limit to grow.
const USED_SHARE: f64 = 0.7;

/// A load under way.
struct StoreLoad {
    model: ModelName,
    stated: Duration,
    /// Time spent beside how many loads at once, itself included.
    beside: BTreeMap<AtOnce, Duration>,
}

/// Loads under way at the same time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AtOnce {
    /// Those, and what else may be one.
    at_most: u32,
    /// Those that this leader began.
    at_least: u32,
}

/// A load from the weight store that is under way now.
pub struct PendingLoad {
    /// Engine that loads.
    pub instance: InstanceId,
    /// Model.
    pub model: ModelName,
    /// Time that the load takes at full speed.
    pub nominal_time: Duration,
}

/// Learns how many loads at once the weight store serves at full speed.
pub struct StoreCapacity {
    limit: f64,
    under_way: BTreeMap<InstanceId, StoreLoad>,
    /// Loads under way that this leader did not begin.
    others: usize,
    observed_at: Timestamp,
    slowed_at: Option<Timestamp>,
    /// What the last loads told.
    told: VecDeque<f64>,
}

impl Default for StoreCapacity {
    fn default() -> Self {
        StoreCapacity {
            limit: FIRST_LIMIT,
            under_way: BTreeMap::new(),
            others: 0,
            observed_at: Timestamp::ZERO,
            slowed_at: None,
            told: VecDeque::new(),
        }
    }
}

impl StoreCapacity {
    /// Goes on with what earlier leaders learned.
    pub fn from_history(history: &InstructionHistory) -> Self {
        let known = history.store_capacity();
        StoreCapacity {
            limit: known.map_or(FIRST_LIMIT, |known| (f64::from(known) / 100.0).max(1.0)),
            ..StoreCapacity::default()
        }
    }

    /// The limit in hundredths, for the leaders to come.
    pub(crate) fn hundredths(&self) -> u32 {
        (self.limit * 100.0).round() as u32
    }

    /// Loads that may be under way at once.
    pub fn limit(&self) -> usize {
        self.limit.round().max(1.0) as usize
    }

    /// Takes which loads are under way, besides `others` that this leader did not begin. `ended` says
    /// whether a load that is no longer under way brought its model. True if the limit changed.
    pub fn observe(
        &mut self,
        now: Timestamp,
        loads: Vec<PendingLoad>,
        others: usize,
        ended: impl Fn(&InstanceId, &ModelName) -> bool,
    ) -> bool {
        let before = self.limit();
        self.pass_time(now);
        self.others = others;
        let mut previous = std::mem::take(&mut self.under_way);
        for load in loads {
            let known = previous.remove(&load.instance);
            let same = known.filter(|known| known.model == load.model);
            let kept = same.unwrap_or(StoreLoad {
                model: load.model,
                stated: load.nominal_time,
                beside: BTreeMap::new(),
            });
            self.under_way.insert(load.instance, kept);
        }
        for (instance, load) in previous {
            if ended(&instance, &load.model) {
                self.learn(now, &load);
            }
        }
        self.notice_overdue(now);
        self.limit() != before
    }

    /// Time until the first of the loads under way should end.
    pub fn time_until_slot(&self) -> Duration {
        let left = |load: &StoreLoad| {
            let speed = (self.limit / self.under_way.len().max(1) as f64).min(1.0);
            let left = load.stated.as_secs_f64() - load.progress(self.limit);
            Duration::from_secs_f64(left.max(0.0) / speed)
        };
        let soonest = self.under_way.values().map(left).min();
        soonest.unwrap_or(Duration::ZERO)
    }

    fn pass_time(&mut self, now: Timestamp) {
        let passed = now.since(self.observed_at);
        self.observed_at = now;
        let count = |loads: usize| u32::try_from(loads).unwrap_or(u32::MAX);
        let at_once = AtOnce {
            at_most: count(self.under_way.len() + self.others),
            at_least: count(self.under_way.len()),
        };
        for load in self.under_way.values_mut() {
            *load.beside.entry(at_once).or_default() += passed;
        }
    }

    fn learn(&mut self, now: Timestamp, load: &StoreLoad) {
        let slowed = load.total() > load.full_speed();
        let capacity = if slowed {
            load.capacity()
        } else {
            load.mean_beside()
        };
        self.told.push_back(capacity);
        if self.told.len() > REMEMBERED {
            self.told.pop_front();
        }
        if slowed {
            self.slowed_at = Some(now);
            self.limit = self.told.iter().copied().fold(1.0, f64::max);
        } else if capacity >= self.limit * USED_SHARE && !self.is_cautious(now) {
            self.limit = self.limit.max(capacity * GROWTH);
        }
    }

    /// Lowers the limit before slowed loads end: they may take long. One slow load alone says nothing of
    /// the store.
    fn notice_overdue(&mut self, now: Timestamp) {
        let overdue: Vec<f64> = self
            .under_way
            .values()
            .filter(|load| load.total().as_secs_f64() > load.stated.as_secs_f64() * OVERDUE)
            .map(StoreLoad::capacity)
            .collect();
        if overdue.len() < 2 || overdue.len() * 2 < self.under_way.len() {
            return;
        }
        let greatest = overdue.into_iter().fold(1.0, f64::max);
        if greatest < self.limit {
            self.limit = greatest;
            self.slowed_at = Some(now);
        }
    }

    fn is_cautious(&self, now: Timestamp) -> bool {
        self.slowed_at.is_some_and(|at| now.since(at) < CAUTION)
    }
}

impl StoreLoad {
    fn total(&self) -> Duration {
        self.beside.values().copied().sum()
    }

    /// Longest time that counts as not slowed.
    fn full_speed(&self) -> Duration {
        Duration::from_secs_f64(self.stated.as_secs_f64() * (1.0 + TOLERANCE)) + NOTICE
    }

    fn mean_beside(&self) -> f64 {
        let total = self.total().as_secs_f64();
        if total <= 0.0 {
            return 1.0;
        }
        let weighed = |(at_once, time): (&AtOnce, &Duration)| {
            f64::from(at_once.at_least) * time.as_secs_f64()
        };
        self.beside.iter().map(weighed).sum::<f64>() / total
    }

    /// Seconds of full speed that it got if the store serves `capacity` loads at full speed.
    fn progress(&self, capacity: f64) -> f64 {
        let share = |at_once: &AtOnce| (capacity / f64::from(at_once.at_most.max(1))).min(1.0);
        self.beside
            .iter()
            .map(|(at_once, time)| share(at_once) * time.as_secs_f64())
            .sum()
    }

    /// The capacity for which the progress is the stated time.
    fn capacity(&self) -> f64 {
        let stated = self.stated.as_secs_f64();
        let mut low = 0.0;
        let most = self.beside.keys().last();
        let mut high = most.map_or(1.0, |at_once| f64::from(at_once.at_most));
        // Each step halves the interval: twenty give a millionth of it.
        for _ in 0..20 {
            let middle = (low + high) / 2.0;
            if self.progress(middle) < stated {
                low = middle;
            } else {
                high = middle;
            }
        }
        high.max(1.0)
    }
}
