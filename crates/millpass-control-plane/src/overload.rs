//! Detects processor starvation from the delay of ticks.
//!
//! Planning and gateway updates are slowed down accordingly. Otherwise a starved leader spends its
//! time on updates, its lease expires, and it can neither commit nor serve reads.

use millpass_proto::{Duration, Timestamp};

/// Inverse weight of the newest gap in the moving average.
const WEIGHT: u32 = 16;
/// Average gap up to which nothing is slowed down; ticks are sent every 5 ms.
const NORMAL_GAP: Duration = Duration::from_millis(20);
/// Maximum slowdown factor. The fleet limits it further where gateways wait for confirmation.
const MAXIMUM_FACTOR: u32 = 6;

/// Moving average of the gap between ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OverloadDetector {
    last: Option<Timestamp>,
    average: Duration,
}

impl OverloadDetector {
    /// Records a tick. Returns the factor by which deferrable work is slowed down.
    pub(crate) fn record_tick(&mut self, now: Timestamp) -> u32 {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.last = Some(now);
        self.average = (self.average * (WEIGHT - 1) + gap) / WEIGHT;
        let factor = self.average.as_micros() / NORMAL_GAP.as_micros();
        u32::try_from(factor)
            .unwrap_or(MAXIMUM_FACTOR)
            .clamp(1, MAXIMUM_FACTOR)
    }
}
