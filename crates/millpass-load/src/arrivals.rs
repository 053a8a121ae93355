//! Arrival times and popularity: the random parts of a schedule.

use crate::workload::RateShape;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Lowest share of the steady rate outside a peak.
const PEAK_FLOOR: f64 = 1.0;

impl RateShape {
    /// Rate at a time as a multiple of the steady rate.
    pub fn factor(&self, seconds: f64) -> f64 {
        match *self {
            RateShape::Constant => 1.0,
            RateShape::Diurnal {
                period_seconds,
                swing,
            } => {
                let turn = seconds / period_seconds * std::f64::consts::TAU;
                1.0 - swing * turn.cos()
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

    /// An upper bound of [`RateShape::factor`].
    pub fn largest_factor(&self) -> f64 {
        match *self {
            RateShape::Constant => 1.0,
            RateShape::Diurnal { swing, .. } => 1.0 + swing,
            RateShape::Peak { height, .. } => height.max(PEAK_FLOOR),
        }
    }
}

/// Times of a Poisson process whose rate follows a shape, in microseconds, ascending.
///
/// Candidates come at the largest rate and are thinned to the rate at their time.
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
        let kept: f64 = random.random();
        if kept * largest <= shape.factor(seconds) {
            times.push(seconds_to_micros(seconds));
        }
    }
}

/// Seconds as whole microseconds.
pub fn seconds_to_micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000_000.0) as u64
}

/// Choice among weighted items by their running sums.
#[derive(Clone, Debug)]
pub struct WeightedChoice {
    sums: Vec<f64>,
}

impl WeightedChoice {
    /// A choice by these weights; none if no weight is above zero.
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

    /// A choice among `count` items by Zipf's law, item 0 the most likely.
    pub fn zipf(count: usize, exponent: f64) -> Option<Self> {
        Self::new((1..=count).map(|rank| (rank as f64).powf(-exponent)))
    }

    /// Draws one item.
    pub fn draw(&self, random: &mut ChaCha8Rng) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let uniform: f64 = random.random();
        let point = uniform * total;
        let found = self.sums.partition_point(|sum| *sum <= point);
        found.min(self.sums.len() - 1)
    }
}
