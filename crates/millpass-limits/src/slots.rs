//! Time slots in which a gateway may send to a limited instance while the leader is unreachable.
//!
//! Gateways share half of the limit by time: each has one slot in a period of two request intervals
//! per gateway. Unused slots expire, so that idle gateways do not accumulate a burst.

use crate::rate::RequestRate;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Fraction of the limit that gateways use together without a leader, as its inverse.
const LEADERLESS_DIVISOR: u32 = 2;
/// Time for which a slot stays open.
const SLOT_LENGTH: Duration = Duration::from_millis(1_000);
/// Number of gateways assumed while it is unknown.
const ASSUMED_GATEWAYS: u32 = 1_024;

/// The slots of one gateway at one instance.
pub(crate) struct Slots {
    period: Duration,
    /// Start of the slot within the period.
    offset: Duration,
}

impl Slots {
    pub(crate) fn new(
        gateway: &str,
        instance: &InstanceId,
        rate: RequestRate,
        gateways: u32,
    ) -> Self {
        let gateways = match gateways {
            0 => ASSUMED_GATEWAYS,
            known => known,
        };
        let period = rate.interval() * gateways * LEADERLESS_DIVISOR;
        let mut hasher = DefaultHasher::new();
        (gateway, instance).hash(&mut hasher);
        let fraction = hasher.finish() as f64 / u64::MAX as f64;
        let offset = period.mul_f64(fraction);
        Slots { period, offset }
    }

    /// Returns the number of the open slot, if any.
    pub(crate) fn open(&self, now: Timestamp) -> Option<u64> {
        let (number, elapsed) = self.position(now)?;
        (elapsed < SLOT_LENGTH).then_some(number)
    }

    /// Returns when the next slot begins.
    pub(crate) fn next(&self, now: Timestamp) -> Timestamp {
        match self.position(now) {
            Some((_, elapsed)) => now + self.period.saturating_sub(elapsed),
            None => Timestamp::ZERO + self.offset,
        }
    }

    /// Returns the number of the last slot that began, and the time since.
    fn position(&self, now: Timestamp) -> Option<(u64, Duration)> {
        let since_start = now.since(Timestamp::ZERO);
        let since_offset = since_start.checked_sub(self.offset)?;
        let period = self.period.as_micros().max(1);
        let number = since_offset.as_micros() / period;
        let elapsed = since_offset.as_micros() % period;
        Some((number as u64, Duration::from_micros(elapsed as u64)))
    }
}
