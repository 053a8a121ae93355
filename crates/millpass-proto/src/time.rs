//! Time types of the decision cores: monotonic time in microseconds, passed in by the caller.

/// Alias of the standard library type.
pub type Duration = std::time::Duration;

/// A point on the monotonic clock of a process or of the simulator, in microseconds since an
/// arbitrary origin. Not comparable between processes and never sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    micros: u64,
}

impl Timestamp {
    /// Origin of the clock.
    pub const ZERO: Timestamp = Timestamp { micros: 0 };

    /// Creates a timestamp from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp { micros }
    }

    /// Creates a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp {
            micros: millis * 1_000,
        }
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.micros / 1_000
    }

    /// Subtracts a duration, saturating at the origin.
    pub fn earlier(self, length: Duration) -> Timestamp {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        Timestamp {
            micros: self.micros.saturating_sub(micros),
        }
    }

    /// Duration since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, length: Duration) -> Timestamp {
        let added = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        Timestamp {
            micros: self.micros.saturating_add(added),
        }
    }
}
