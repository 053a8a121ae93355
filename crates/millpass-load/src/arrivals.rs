//! Random arrival times and weighted choices.

use crate::workload::RateShape;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Rate outside a peak, as a multiple of the steady rate.
const PEAK_FLOOR: f64 = 1.0;

impl RateShape {
    /// Returns the rate at a time as a multiple of the steady rate.
    pub fn factor(&self, seconds: f64) -> f64 {
        match *self {
            RateShape::Constant => 1.0,
            RateShape::Diurnal {
                period_seconds,
                swing,
            } => {
                let angle = seconds / period_seconds * std::f64::consts::TAU;
                1.0 - swing * angle.cos()
            }
            RateShape::Peak {
                at_seconds,
                half_width_seconds,
                height,
            } => {
                let distance = ((seconds - at_seconds) / half_width_seconds).abs();
                let rise = (1.0 - distance).max(0.0);
                PEAK_FLOOR + (height - PEAK_FLOOR) * rise
            }
        }
    }

    /// Returns an upper bound of [`RateShape::factor`].
    pub fn largest_factor(&self) -> f64 {
        match *self {
            RateShape::Constant => 1.0,
            RateShape::Diurnal { swing, .. } => 1.0 + swing,
            RateShape::Peak { height, .. } => height.max(PEAK_FLOOR),
        }
    }
}

/// Returns the ascending arrival times, in microseconds, of a Poisson process whose rate follows
/// `shape`. Samples by thinning.
pub fn poisson_times(
    random: &mut ChaCha8Rng,
    duration_seconds: f64,
    requests_per_second: f64,
    shape: &RateShape,
) -> Vec<u64> {
    let largest = shape.largest_factor();
    let candidate_rate = requests_per_second * largest;
    let mut times = Vec::new();
    if candidate_rate <= 0.0 {
        return times;
    }
    let mut seconds = 0.0;
    loop {
        let uniform: f64 = random.random();
        seconds += -(1.0 - uniform).ln() / candidate_rate;
        if seconds >= duration_seconds {
            return times;
        }
        let acceptance: f64 = random.random();
        if acceptance * largest <= shape.factor(seconds) {
            times.push(seconds_to_micros(seconds));
        }
    }
}

/// Converts seconds to whole microseconds; negative values become 0.
pub fn seconds_to_micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000_000.0) as u64
}

/// Random choice among weighted items.
#[derive(Clone, Debug)]
pub struct WeightedChoice {
    sums: Vec<f64>,
}

impl WeightedChoice {
    /// Creates a choice with these weights; `None` if no weight is positive.
    pub fn new(weights: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut sum = 0.0;
        let sums: Vec<f64> = weights
            .into_iter()
            .map(|weight| {
                sum += weight.max(0.0);
                sum
            })
            .collect();
        (sum > 0.0).then_some(WeightedChoice { sums })
    }

    /// Creates a choice among `count` items with a Zipf distribution; item 0 is the most likely.
    pub fn zipf(count: usize, exponent: f64) -> Option<Self> {
        Self::new((1..=count).map(|rank| (rank as f64).powf(-exponent)))
    }

    /// Draws the index of an item.
    pub fn draw(&self, random: &mut ChaCha8Rng) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let uniform: f64 = random.random();
        let point = uniform * total;
        let found = self.sums.partition_point(|sum| *sum <= point);
        found.min(self.sums.len() - 1)
    }
}
