//! Simulated network between members that drops, delays and duplicates messages.

use millpass_control_plane::ControlInput;
use millpass_proto::{Duration, MemberId, Timestamp};
use std::collections::BTreeMap;

/// Default maximum delay of a message, in milliseconds.
const LONGEST_DELAY_MILLIS: u64 = 400;

/// Probabilities in percent, drawn from a seeded generator; reliable if all are zero.
pub struct Network {
    pub seed: u64,
    /// Seed for messages about instances, so that they do not affect the draws of other messages.
    pub share_seed: u64,
    pub dropped: u64,
    pub doubled: u64,
    pub delayed: u64,
    /// Maximum delay of a message, in milliseconds.
    pub longest_delay_millis: u64,
    pub under_way: BTreeMap<(Timestamp, u64), (MemberId, ControlInput)>,
    pub sent: u64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            seed: 0,
            share_seed: 0,
            dropped: 0,
            doubled: 0,
            delayed: 0,
            longest_delay_millis: LONGEST_DELAY_MILLIS,
            under_way: BTreeMap::new(),
            sent: 0,
        }
    }
}

impl Network {
    /// Returns the delay of each copy that arrives.
    pub fn copies(&mut self) -> Vec<Duration> {
        if self.chance(self.dropped) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.chance(self.doubled));
        (0..copies).map(|_| self.delay()).collect()
    }

    /// The same for messages about instances.
    pub fn share_copies(&mut self) -> Vec<Duration> {
        std::mem::swap(&mut self.seed, &mut self.share_seed);
        let copies = self.copies();
        std::mem::swap(&mut self.seed, &mut self.share_seed);
        copies
    }

    fn delay(&mut self) -> Duration {
        if !self.chance(self.delayed) {
            return Duration::ZERO;
        }
        Duration::from_millis(1 + self.next() % self.longest_delay_millis)
    }

    /// Schedules a message.
    pub fn send(&mut self, at: Timestamp, to: MemberId, input: ControlInput) {
        self.sent += 1;
        self.under_way.insert((at, self.sent), (to, input));
    }

    /// Removes and returns the messages that have arrived by now, in order.
    pub fn arrived(&mut self, now: Timestamp) -> Vec<(MemberId, ControlInput)> {
        let later = self.under_way.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.under_way, later)
            .into_values()
            .collect()
    }

    fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.next() % 100 < percent
    }

    /// SplitMix64.
    fn next(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
