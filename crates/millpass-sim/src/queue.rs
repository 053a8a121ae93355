//! Event queue ordered by time; events of equal time keep the order of scheduling.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Scheduled<E> {
    at: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed, since [`BinaryHeap`] is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Queue of scheduled events.
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    next_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: u64, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Scheduled { at, number, event });
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|next| (next.at, next.event))
    }
}
