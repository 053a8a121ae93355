//! Simulated time as a multiple of real time.

use millpass_proto::{Duration, Timestamp};
use std::time::Instant;

const SCALE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=100_000.0;

/// Clock that starts at zero and runs `scale` simulated seconds per real second.
#[derive(Clone, Copy, Debug)]
pub struct ScaledClock {
    start: Instant,
    scale: f64,
}

impl ScaledClock {
    /// Starts the clock now. Clamps the scale to the range 0.001 to 100,000.
    pub fn start(scale: f64) -> Self {
        let wanted = if scale.is_finite() { scale } else { 1.0 };
        ScaledClock {
            start: Instant::now(),
            scale: wanted.clamp(*SCALE_RANGE.start(), *SCALE_RANGE.end()),
        }
    }

    /// Current simulated time.
    pub fn now(&self) -> Timestamp {
        let passed = self.to_simulated(self.start.elapsed());
        Timestamp::ZERO + passed
    }

    /// Real time until a simulated time; zero if it has passed.
    pub fn real_until(&self, at: Timestamp) -> Duration {
        let due = self.to_real(at.since(Timestamp::ZERO));
        due.saturating_sub(self.start.elapsed())
    }

    /// Converts a real duration to simulated time.
    pub fn to_simulated(&self, real: Duration) -> Duration {
        Duration::try_from_secs_f64(real.as_secs_f64() * self.scale).unwrap_or(Duration::MAX)
    }

    /// Converts a simulated duration to real time.
    pub fn to_real(&self, simulated: Duration) -> Duration {
        Duration::try_from_secs_f64(simulated.as_secs_f64() / self.scale).unwrap_or(Duration::MAX)
    }
}
