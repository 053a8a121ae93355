//! What waits for the core, by priority.
//!
//! Each class has a bounded queue of its own, in order of arrival. A tick that is due comes before all
//! else, then what consensus needs, then the other classes in order, each up to its quota of a turn. So no
//! class waits for another for good: at most the shares of the less urgent classes are taken before an
//! input of a class whose quota is used up.

use crate::priority::Priority;
use std::collections::VecDeque;
use std::time::Instant;

const CLASSES: usize = Priority::ALL.len();

/// What the core's thread does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// A tick is due.
    Tick,
    /// Take this input up.
    Input(Priority, T),
    /// Nothing to do before the tick is due.
    Idle,
}

/// Bounds of one class.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Inputs that may wait.
    length: usize,
    /// Inputs taken in one turn while others wait.
    quota: usize,
}

/// A class is refused, or its sender waits, beyond `length`. What a member sends is bounded by its windows
/// (32 requests under way for each other member), so the length of consensus is never reached by a group
/// of 64. The others hold a call, a request for credit, or a few reports of each of 1,000 connections; of
/// announcements as many as may be under way at once.
///
/// A turn without consensus takes 44 inputs. A step takes 0.1 to 1 ms, so a turn ends well within the wait
/// that a sender of credit or announcements grants.
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

/// Inputs that wait, by class.
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
    /// Whether the class has room for one more.
    pub fn has_capacity(&self, class: Priority) -> bool {
        self.length(class) < bounds(class).length
    }

    /// Adds an input; hands it back, and counts it, when its class is full.
    pub fn push(&mut self, class: Priority, input: T) -> Result<(), T> {
        if !self.has_capacity(class) {
            self.refused[class as usize] += 1;
            return Err(input);
        }
        self.waiting[class as usize].push_back(input);
        Ok(())
    }

    /// Adds an input of the core's own making, which cannot wait for room and must not be lost.
    pub fn push_unbounded(&mut self, class: Priority, input: T) {
        self.waiting[class as usize].push_back(input);
    }

    /// What to do now, when the next tick is due at `tick_due`. The caller counts the time to a tick from
    /// the end of the one before, so that ticks leave time for inputs.
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
        // Consensus limits itself: only a queue that never empties has to let others pass.
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

    /// Inputs of a class that wait.
    pub fn length(&self, class: Priority) -> usize {
        self.waiting[class as usize].len()
    }

    /// Inputs of a class that were refused since the start.
    pub fn refused(&self, class: Priority) -> u64 {
        self.refused[class as usize]
    }
}
