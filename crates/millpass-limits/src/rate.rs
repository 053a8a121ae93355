//! Request rate of a limit.

use millpass_proto::Duration;

/// Rate used for limits below it: only a response can show that a limit has ended.
const PROBE_RATE: RequestRate = RequestRate {
    milli_per_second: 100,
};

/// Requests per second that an instance accepts from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    /// Rate in thousandths of a request per second.
    pub milli_per_second: u64,
}

impl RequestRate {
    /// Returns the requests per second that may be sent; at least `PROBE_RATE`.
    pub(crate) fn per_second(self) -> f64 {
        self.max(PROBE_RATE).milli_per_second as f64 / 1_000.0
    }

    /// Returns the time between two requests at this rate.
    pub(crate) fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second())
    }
}
