//! Compares curves of idle time against cold-start time at equal values of either.

use serde::Serialize;

/// Result of a strategy; lower is better on both axes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Idle accelerator hours per day.
    pub idle: f64,
    /// Cold-start time, in seconds.
    pub cold: f64,
}

impl Point {
    fn transposed(self) -> Point {
        Point {
            idle: self.cold,
            cold: self.idle,
        }
    }
}

/// Baseline curves, each of one strategy in the order of its parameter.
#[derive(Clone, Debug, Default)]
pub struct Baselines {
    curves: Vec<Vec<Point>>,
}

impl Baselines {
    /// Creates baselines; a strategy without a parameter is a curve with one point.
    pub fn new(curves: Vec<Vec<Point>>) -> Self {
        Baselines { curves }
    }

    /// Returns the lowest cold-start time of any baseline with at most this idle time, with linear
    /// interpolation between neighboring points. `None` if all have more idle time.
    pub fn cold_at(&self, idle: f64) -> Option<f64> {
        lowest_cold_at(&self.curves, idle)
    }

    /// Returns the lowest idle time of any baseline with at most this cold-start time; `None` if
    /// all have a higher one.
    pub fn idle_at(&self, cold: f64) -> Option<f64> {
        let transposed: Vec<Vec<Point>> = self
            .curves
            .iter()
            .map(|curve| curve.iter().map(|point| point.transposed()).collect())
            .collect();
        lowest_cold_at(&transposed, cold)
    }
}

fn lowest_cold_at(curves: &[Vec<Point>], idle: f64) -> Option<f64> {
    let mut lowest: Option<f64> = None;
    for curve in curves {
        let points = curve.iter().filter(|point| point.idle <= idle);
        let on_points = points.map(|point| point.cold);
        let on_lines = curve
            .windows(2)
            .filter_map(|pair| interpolate(pair[0], pair[1], idle));
        for cold in on_points.chain(on_lines) {
            lowest = Some(lowest.map_or(cold, |lowest| lowest.min(cold)));
        }
    }
    lowest
}

fn interpolate(first: Point, second: Point, idle: f64) -> Option<f64> {
    let (low, high) = if first.idle <= second.idle {
        (first, second)
    } else {
        (second, first)
    };
    if idle < low.idle || idle > high.idle || low.idle == high.idle {
        return None;
    }
    let fraction = (idle - low.idle) / (high.idle - low.idle);
    Some(low.cold + fraction * (high.cold - low.cold))
}
