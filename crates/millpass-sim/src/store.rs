//! The weight store: a limit of loads a second, a limit of loads at once, and slow phases. Loads
//! beyond a limit wait in order.

use std::collections::VecDeque;

const WINDOW_MICROS: u64 = 1_000_000;

/// A load that an engine asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreLoad<T> {
    /// Number, unique in the run.
    pub number: u64,
    /// Time it takes at full speed.
    pub micros: u64,
    /// Who waits for it.
    pub waiter: T,
}

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Loads that start in a second.
    pub loads_per_second: usize,
    /// Loads that run at once.
    pub concurrent_loads: usize,
}

/// The store.
pub struct Store<T> {
    limits: StoreLimits,
    slow_factor: u64,
    waiting: VecDeque<StoreLoad<T>>,
    started: VecDeque<u64>,
    running: usize,
    next_number: u64,
}

impl<T> Store<T> {
    /// An idle store.
    pub fn new(limits: StoreLimits) -> Self {
        Store {
            limits,
            slow_factor: 1,
            waiting: VecDeque::new(),
            started: VecDeque::new(),
            running: 0,
            next_number: 1,
        }
    }

    /// Makes loads that start from now on this many times as long.
    pub fn set_slow_factor(&mut self, factor: u64) {
        self.slow_factor = factor;
    }

    /// Asks for a load.
    pub fn ask(&mut self, micros: u64, waiter: T) {
        let number = self.next_number;
        self.next_number += 1;
        self.waiting.push_back(StoreLoad {
            number,
            micros,
            waiter,
        });
    }

    /// A load ended.
    pub fn ended(&mut self) {
        self.running -= 1;
    }

    /// Starts the next waiting load if the limits allow it; gives it with its duration.
    pub fn start_next(&mut self, now: u64) -> Option<(StoreLoad<T>, u64)> {
        while self
            .started
            .front()
            .is_some_and(|old| old + WINDOW_MICROS <= now)
        {
            self.started.pop_front();
        }
        let limited = self.started.len() >= self.limits.loads_per_second
            || self.running >= self.limits.concurrent_loads;
        if limited {
            return None;
        }
        let load = self.waiting.pop_front()?;
        self.started.push_back(now);
        self.running += 1;
        let micros = load.micros * self.slow_factor;
        Some((load, micros))
    }

    /// When to try again, if something waits for the limit of loads a second.
    pub fn retry_at(&self) -> Option<u64> {
        let oldest = self.started.front()?;
        (!self.waiting.is_empty()).then_some(oldest + WINDOW_MICROS)
    }
}
