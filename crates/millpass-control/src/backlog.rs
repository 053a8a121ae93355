//! What waits for the core, by urgency.
//!
//! Each class has a bounded queue of its own, in order of arrival. A tick that is due comes before all
//! else, then what consensus needs, then the other classes in order, each up to its share of a turn. So no
//! class waits for another for good: at most the shares of the less urgent classes are taken before an
//! input of a class whose share is used up.

use crate::urgency::Urgency;
use std::collections::VecDeque;
use std::time::Instant;

const CLASSES: usize = Urgency::ALL.len();

/// What the core's thread does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// A tick is due.
    Tick,
    /// Take this input up.
    Input(Urgency, T),
    /// Nothing to do before the tick is due.
    Nothing,
}

/// Bounds of one class.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Inputs that may wait.
    length: usize,
    /// Inputs taken in one turn while others wait.
    share: usize,
}

/// A class is refused, or its sender waits, beyond `length`. What a member sends is bounded by its windows
/// (32 requests under way for each other member), so the length of consensus is never reached by a group
/// of 64. The others hold a call, a request for credit, or a few reports of each of 1,000 connections; of
/// announcements as many as may be under way at once.
///
/// A turn without consensus takes 44 inputs. A step takes 0.1 to 1 ms, so a turn ends well within the wait
/// that a sender of credit or announcements grants.
fn bounds(class: Urgency) -> Bounds {
    let (length, share) = match class {
        Urgency::Consensus => (2_048, 256),
        Urgency::Promised => (1_024, 16),
        Urgency::Credit => (4_096, 16),
        Urgency::Reports => (4_096, 8),
        Urgency::Announcements => (1_024, 4),
    };
    Bounds { length, share }
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
    pub fn has_room(&self, class: Urgency) -> bool {
        self.length(class) < bounds(class).length
    }

    /// Adds an input; hands it back, and counts it, when its class is full.
    pub fn push(&mut self, class: Urgency, input: T) -> Result<(), T> {
        if !self.has_room(class) {
            self.refused[class as usize] += 1;
            return Err(input);
        }
        self.waiting[class as usize].push_back(input);
        Ok(())
    }

    /// Adds an input of the core's own making, which cannot wait for room and must not be lost.
    pub fn push_own(&mut self, class: Urgency, input: T) {
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
            None => Next::Nothing,
        }
    }

    fn take(&mut self) -> Option<(Urgency, T)> {
        let class = self.most_urgent_within_share().or_else(|| {
            self.taken = [0; CLASSES];
            self.most_urgent_within_share()
        })?;
        let index = class as usize;
        let input = self.waiting[index].pop_front()?;
        self.taken[index] += 1;
        // Consensus limits itself: only a queue that never empties has to let others pass.
        if class == Urgency::Consensus && self.waiting[index].is_empty() {
            self.taken[index] = 0;
        }
        Some((class, input))
    }

    fn most_urgent_within_share(&self) -> Option<Urgency> {
        Urgency::ALL.into_iter().find(|class| {
            let index = *class as usize;
            !self.waiting[index].is_empty() && self.taken[index] < bounds(*class).share
        })
    }

    /// Inputs of a class that wait.
    pub fn length(&self, class: Urgency) -> usize {
        self.waiting[class as usize].len()
    }

    /// Inputs of a class that were refused since the start.
    pub fn refused(&self, class: Urgency) -> u64 {
        self.refused[class as usize]
    }
}
