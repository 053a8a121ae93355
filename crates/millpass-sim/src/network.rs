//! The network between zones: delay, jitter, partitions, loss and duplication.

use crate::random::Random;
use std::collections::BTreeSet;

/// Index of a zone.
pub type Zone = usize;

const INSIDE_MICROS: u64 = 200;
const BETWEEN_MICROS: u64 = 1_500;
const JITTER_MICROS: u64 = 300;
const BAD_LOSS_PERMILLE: u64 = 50;
const BAD_DOUBLED_PERMILLE: u64 = 50;
const BAD_LATE_PERMILLE: u64 = 100;
const BAD_LATE_MICROS: u64 = 400_000;
const RETRANSMISSION_MICROS: u64 = 200_000;
/// Maximum additional delay of a duplicate, as after a retransmission.
const BAD_COPY_MICROS: u64 = 3_000_000;

/// State of the network.
#[derive(Default)]
pub struct Network {
    cuts: BTreeSet<(Zone, Zone)>,
    bad: bool,
    /// Number of messages lost, duplicated or delayed.
    pub disturbed_messages: u64,
}

impl Network {
    /// Blocks messages in one direction.
    pub fn cut(&mut self, from: Zone, to: Zone) {
        self.cuts.insert((from, to));
    }

    /// Unblocks messages in one direction.
    pub fn unblock(&mut self, from: Zone, to: Zone) {
        self.cuts.remove(&(from, to));
    }

    /// Unblocks all directions and ends the disturbance of messages.
    pub fn unblock_all(&mut self) {
        self.cuts.clear();
        self.bad = false;
    }

    /// Sets whether messages are delayed, lost, duplicated and reordered.
    pub fn set_bad(&mut self, bad: bool) {
        self.bad = bad;
    }

    /// Whether messages are delayed, lost, duplicated and reordered.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Whether a message may pass in this direction.
    pub fn passes(&self, from: Zone, to: Zone) -> bool {
        from == to || !self.cuts.contains(&(from, to))
    }

    /// Whether messages may pass in both directions.
    pub fn passes_both(&self, one: Zone, other: Zone) -> bool {
        self.passes(one, other) && self.passes(other, one)
    }

    /// Returns the delay of a message; `None` if it is blocked or lost.
    pub fn delay(&mut self, random: &mut Random, from: Zone, to: Zone) -> Option<u64> {
        if !self.passes(from, to) {
            return None;
        }
        let base = if from == to {
            INSIDE_MICROS
        } else {
            BETWEEN_MICROS
        };
        let delay = base + random.below(JITTER_MICROS);
        if !self.bad {
            return Some(delay);
        }
        if random.chance(BAD_LOSS_PERMILLE) {
            self.disturbed_messages += 1;
            return None;
        }
        if random.chance(BAD_LATE_PERMILLE) {
            self.disturbed_messages += 1;
            return Some(delay + random.below(BAD_LATE_MICROS));
        }
        Some(delay)
    }

    /// Returns the delay of a message on a stream, including retransmissions; `None` if blocked.
    pub fn stream_delay(&mut self, random: &mut Random, from: Zone, to: Zone) -> Option<u64> {
        if !self.passes(from, to) {
            return None;
        }
        let delay = self.delay(random, from, to);
        Some(delay.unwrap_or_else(|| RETRANSMISSION_MICROS + random.below(BAD_LATE_MICROS)))
    }

    /// Returns the delays of a message and, on a bad network, of its duplicate.
    pub fn delays(&mut self, random: &mut Random, from: Zone, to: Zone) -> Vec<u64> {
        let mut delays: Vec<u64> = self.delay(random, from, to).into_iter().collect();
        if self.bad && self.passes(from, to) && random.chance(BAD_DOUBLED_PERMILLE) {
            self.disturbed_messages += 1;
            delays.push(BETWEEN_MICROS + random.below(BAD_COPY_MICROS));
        }
        delays
    }
}
