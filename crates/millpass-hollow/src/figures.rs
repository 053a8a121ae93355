//! Quantiles and least squares.

use std::time::Duration;

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Growth with each unit.
    pub slope: f64,
}

/// The line with the least sum of squared distances; none for fewer than two different places.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let together = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = together.sum::<f64>() / spread;
    Some(Line {
        intercept: mean_y - slope * mean_x,
        slope,
    })
}

/// The value below which this share of the times lies; zero of none.
pub fn quantile(times: &mut [Duration], share: f64) -> Duration {
    if times.is_empty() {
        return Duration::ZERO;
    }
    times.sort();
    let place = (times.len() as f64 * share) as usize;
    times[place.min(times.len() - 1)]
}

/// Count, median, 99th percentile and maximum, in milliseconds.
pub fn summary(times: &mut [Duration]) -> String {
    let millis = |time: Duration| time.as_secs_f64() * 1e3;
    format!(
        "count={} p50_ms={:.1} p99_ms={:.1} max_ms={:.1}",
        times.len(),
        millis(quantile(times, 0.5)),
        millis(quantile(times, 0.99)),
        millis(quantile(times, 1.0)),
    )
}
