//! Detects a lack of processor time from the delay of ticks and of inputs that wait.
//!
//! Planning and gateway updates are slowed down accordingly. Otherwise a starved leader spends its
//! time on them, its lease expires, and it can neither commit nor serve reads. Ticks precede inputs
//! and stay on time while inputs wait for seconds, so that both delays count.

use millpass_proto::{Duration, Timestamp};

/// Inverse weight of the newest gap in the moving average, which covers some tenths of a second.
const WEIGHT: u32 = 16;
/// Average gap up to which nothing is slowed down; ticks are sent every 5 ms, and a usual
/// step takes a few.
const NORMAL_GAP: Duration = Duration::from_millis(20);
/// Delay of inputs up to which nothing is slowed down.
const NORMAL_DELAY: Duration = Duration::from_millis(50);
/// Growth of the slowdown with each tick at which inputs are delayed.
const GROWTH: f64 = 1.1;
/// Decrease of the slowdown with each tick at which they are not: more slowly than it grows, so that
/// it settles instead of swinging.
const DECREASE: f64 = 0.98;
/// Maximum slowdown factor. The fleet limits it further, so that planning and confirmations never
/// cease.
const MAXIMUM_FACTOR: f64 = 64.0;

/// Moving average of the gap between ticks, and the slowdown due to delayed inputs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadDetector {
    last: Option<Timestamp>,
    average: Duration,
    input_factor: f64,
}

impl Default for OverloadDetector {
    fn default() -> Self {
        OverloadDetector {
            last: None,
            average: Duration::ZERO,
            input_factor: 1.0,
        }
    }
}

impl OverloadDetector {
    /// Records a tick and how long the oldest input has waited. Returns the factor by which deferrable
    /// work is slowed down.
    pub(crate) fn record_tick(&mut self, now: Timestamp, input_delay: Duration) -> u32 {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.last = Some(now);
        self.average = (self.average * (WEIGHT - 1) + gap) / WEIGHT;
        let step = match input_delay > NORMAL_DELAY {
            true => GROWTH,
            false => DECREASE,
        };
        self.input_factor = (self.input_factor * step).clamp(1.0, MAXIMUM_FACTOR);
        let tick_factor = self.average.as_secs_f64() / NORMAL_GAP.as_secs_f64();
        let factor = tick_factor.max(self.input_factor);
        factor.clamp(1.0, MAXIMUM_FACTOR) as u32
    }
}
