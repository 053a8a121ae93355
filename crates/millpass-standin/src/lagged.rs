//! State that readers see with a delay, such as load reports and machine lists.

use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Maximum number of past states; beyond it the oldest is evicted and readers see a newer one.
const MAXIMUM_STATES: usize = 64;

/// Past states by the time from which they were current. Needs no timers: a state is recorded before
/// the next change ([`Lagged::should_record`], [`Lagged::record`]), and a read selects the state that was
/// current `lag` ago.
#[derive(Clone, Debug)]
pub struct Lagged<T> {
    lag: Duration,
    interval: Duration,
    states: VecDeque<(Timestamp, T)>,
    changed: Timestamp,
    is_recorded: bool,
}

impl<T: Clone> Lagged<T> {
    /// Creates the history with an initial state. At most one state per `interval` is recorded, so a read
    /// may be older than `lag` by up to `interval`.
    pub fn new(lag: Duration, interval: Duration, start: Timestamp, first: T) -> Self {
        Lagged {
            lag,
            interval,
            states: VecDeque::from([(start, first)]),
            changed: start,
            is_recorded: true,
        }
    }

    /// Whether the state that was current until `now` must be recorded before it changes. States that end
    /// within `interval` of the start of the last recorded one are skipped.
    pub fn should_record(&self, now: Timestamp) -> bool {
        let is_new = !self.is_recorded && self.changed < now;
        is_new
            && self
                .states
                .back()
                .is_none_or(|(last, _)| now.since(*last) >= self.interval)
    }

    /// Records the state that was current until `now`.
    pub fn record(&mut self, now: Timestamp, state: T) {
        self.states.push_back((self.changed, state));
        self.is_recorded = true;
        let shown = self.shown_time(now);
        while self.states.len() > 1 && self.states[1].0 <= shown {
            self.states.pop_front();
        }
        if self.states.len() > MAXIMUM_STATES {
            self.states.pop_front();
        }
    }

    /// Marks the state as changed at `now`.
    pub fn mark_changed(&mut self, now: Timestamp) {
        self.changed = now;
        self.is_recorded = false;
    }

    /// Time of the last change.
    pub fn changed(&self) -> Timestamp {
        self.changed
    }

    /// Returns the state that a reader sees at `now`.
    pub fn read(&self, now: Timestamp, current: impl FnOnce() -> T) -> T {
        let shown = self.shown_time(now);
        if self.changed <= shown {
            return current();
        }
        let newest = self.states.iter().rev().find(|(since, _)| *since <= shown);
        let state = newest.or(self.states.front());
        state.map_or_else(current, |(_, state)| state.clone())
    }

    /// Time of the state that a reader sees at `now`.
    pub fn shown_time(&self, now: Timestamp) -> Timestamp {
        let lag = u64::try_from(self.lag.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(now.as_micros().saturating_sub(lag))
    }
}
