//! A state that is read with a lag, as load reports and machine lists are.

use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Most states kept; the oldest go first, and a reader then sees a younger one.
const MAXIMUM_STATES: usize = 64;

/// Past states by the time since which they held. No timers: a state is kept when the next change
/// comes ([`Lagged::should_record`], [`Lagged::record`]), and a read picks the one that held `lag` ago.
#[derive(Clone, Debug)]
pub struct Lagged<T> {
    lag: Duration,
    interval: Duration,
    states: VecDeque<(Timestamp, T)>,
    changed: Timestamp,
    is_recorded: bool,
}

impl<T: Clone> Lagged<T> {
    /// Starts with a state. States closer than `interval` are merged into the next one kept, so a
    /// read may be older than `lag` by that much.
    pub fn new(lag: Duration, interval: Duration, start: Timestamp, first: T) -> Self {
        Lagged {
            lag,
            interval,
            states: VecDeque::from([(start, first)]),
            changed: start,
            is_recorded: true,
        }
    }

    /// Whether the state that held until `now` is to be kept before it changes. One that is left
    /// out ended less than the interval after the one kept before it began.
    pub fn should_record(&self, now: Timestamp) -> bool {
        let is_new = !self.is_recorded && self.changed < now;
        is_new
            && self
                .states
                .back()
                .is_none_or(|(last, _)| now.since(*last) >= self.interval)
    }

    /// Keeps the state that held until `now`.
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

    /// Notes a change at `now`.
    pub fn mark_changed(&mut self, now: Timestamp) {
        self.changed = now;
        self.is_recorded = false;
    }

    /// When the current state began.
    pub fn changed(&self) -> Timestamp {
        self.changed
    }

    /// The state as read at `now`.
    pub fn read(&self, now: Timestamp, current: impl FnOnce() -> T) -> T {
        let shown = self.shown_time(now);
        if self.changed <= shown {
            return current();
        }
        let newest = self.states.iter().rev().find(|(since, _)| *since <= shown);
        let state = newest.or(self.states.front());
        state.map_or_else(current, |(_, state)| state.clone())
    }

    /// The time that a read at `now` shows.
    pub fn shown_time(&self, now: Timestamp) -> Timestamp {
        let lag = u64::try_from(self.lag.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(now.as_micros().saturating_sub(lag))
    }
}
