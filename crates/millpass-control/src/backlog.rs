//! Inputs waiting for the core, by priority.
//!
//! Each class has a bounded FIFO queue. A due tick comes first, then the classes in order of
//! priority, each up to its quota per turn, so that no class starves another.

use crate::priority::Priority;
use std::collections::VecDeque;
use std::time::Instant;

const CLASSES: usize = Priority::ALL.len();

/// Next action of the core's thread.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// A tick is due.
    Tick,
    /// Process this input.
    Input(Priority, T),
    /// Nothing to do before the tick is due.
    Idle,
}

/// Bounds of one class.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Maximum queue length.
    length: usize,
    /// Inputs taken per turn while other classes wait.
    quota: usize,
}

/// Returns the bounds of a class. The consensus queue exceeds what members' windows allow to be in
/// flight; the others fit a few inputs from each of 1,000 connections. Quotas keep a turn well
/// below the timeouts of senders: without consensus it takes 44 inputs of 0.1 to 1 ms each.
fn bounds(class: Priority) -> Bounds {
    let (length, quota) = match class {
        Priority::Consensus => (2_048, 256),
        Priority::Promised => (1_024, 16),
        Priority::Credit => (4_096, 16),
        Priority::Reports => (4_096, 8),
        Priority::Announcements => (1_024, 4),
    };
    Bounds { length, quota }
}

/// Waiting inputs by class.
#[derive(Debug)]
pub struct Backlog<T> {
    waiting: [VecDeque<T>; CLASSES],
    /// Taken in this turn.
    taken: [usize; CLASSES],
    /// Refused since the start.
    refused: [u64; CLASSES],
}

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Backlog {
            waiting: std::array::from_fn(|_| VecDeque::new()),
            taken: [0; CLASSES],
            refused: [0; CLASSES],
        }
    }
}

impl<T> Backlog<T> {
    /// Returns whether the class has capacity for one more input.
    pub fn has_capacity(&self, class: Priority) -> bool {
        self.length(class) < bounds(class).length
    }

    /// Adds an input; returns it, and counts it as refused, if its class is full.
    pub fn push(&mut self, class: Priority, input: T) -> Result<(), T> {
        if !self.has_capacity(class) {
            self.refused[class as usize] += 1;
            return Err(input);
        }
        self.waiting[class as usize].push_back(input);
        Ok(())
    }

    /// Adds an input that the core itself caused, regardless of capacity, as it must not be lost.
    pub fn push_unbounded(&mut self, class: Priority, input: T) {
        self.waiting[class as usize].push_back(input);
    }

    /// Returns the next action. The caller measures the time to `tick_due` from the end of the
    /// previous tick, so that ticks leave time for inputs.
    pub fn next(&mut self, now: Instant, tick_due: Instant) -> Next<T> {
        if now >= tick_due {
            return Next::Tick;
        }
        match self.take() {
            Some((class, input)) => Next::Input(class, input),
            None => Next::Idle,
        }
    }

    fn take(&mut self) -> Option<(Priority, T)> {
        let class = self.first_within_quota().or_else(|| {
            self.taken = [0; CLASSES];
            self.first_within_quota()
        })?;
        let index = class as usize;
        let input = self.waiting[index].pop_front()?;
        self.taken[index] += 1;
        // Consensus bounds itself, so its quota applies only while its queue never empties.
        if class == Priority::Consensus && self.waiting[index].is_empty() {
            self.taken[index] = 0;
        }
        Some((class, input))
    }

    fn first_within_quota(&self) -> Option<Priority> {
        Priority::ALL.into_iter().find(|class| {
            let index = *class as usize;
            !self.waiting[index].is_empty() && self.taken[index] < bounds(*class).quota
        })
    }

    /// Returns the oldest waiting input of each class that has any.
    pub fn oldest(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().filter_map(VecDeque::front)
    }

    /// Returns the queue length of a class.
    pub fn length(&self, class: Priority) -> usize {
        self.waiting[class as usize].len()
    }

    /// Returns how many inputs of a class were refused since startup.
    pub fn refused(&self, class: Priority) -> u64 {
        self.refused[class as usize]
    }
}
