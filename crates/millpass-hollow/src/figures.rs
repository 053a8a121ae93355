//! Quantiles and least squares.

use std::time::Duration;

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Increase per unit.
    pub slope: f64,
}

/// Fits a line by least squares; `None` for fewer than two distinct x values.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = products.sum::<f64>() / spread;
    Some(Line {
        intercept: mean_y - slope * mean_x,
        slope,
    })
}

/// Returns a quantile of the times; zero if there are none.
pub fn quantile(times: &mut [Duration], fraction: f64) -> Duration {
    if times.is_empty() {
        return Duration::ZERO;
    }
    times.sort();
    let index = (times.len() as f64 * fraction) as usize;
    times[index.min(times.len() - 1)]
}

/// Formats count, median, 99th percentile and maximum, in milliseconds.
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
