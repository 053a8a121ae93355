//! Curves of idle time against cold-start time, and comparisons at equal values of one of them.

use serde::Serialize;

/// A strategy's place: less is better on both axes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Idle accelerator hours a day.
    pub idle: f64,
    /// Cold-start time, in seconds.
    pub cold: f64,
}

impl Point {
    fn mirrored(self) -> Point {
        Point {
            idle: self.cold,
            cold: self.idle,
        }
    }
}

/// Baselines: curves, each of one strategy at several parameters, in the order of the parameter.
#[derive(Clone, Debug, Default)]
pub struct Baselines {
    curves: Vec<Vec<Point>>,
}

impl Baselines {
    /// Takes curves; one of a single point is a strategy without a parameter.
    pub fn new(curves: Vec<Vec<Point>>) -> Self {
        Baselines { curves }
    }

    /// Least cold-start time that any baseline has for no more than this idle time. Between two
    /// neighbouring points of a curve it is read off the straight line. None if all idle longer.
    pub fn cold_at(&self, idle: f64) -> Option<f64> {
        least_at(&self.curves, idle)
    }

    /// Least idle time that any baseline has for no more than this cold-start time.
    pub fn idle_at(&self, cold: f64) -> Option<f64> {
        let mirrored: Vec<Vec<Point>> = self
            .curves
            .iter()
            .map(|curve| curve.iter().map(|point| point.mirrored()).collect())
            .collect();
        least_at(&mirrored, cold)
    }
}

fn least_at(curves: &[Vec<Point>], idle: f64) -> Option<f64> {
    let mut least: Option<f64> = None;
    for curve in curves {
        let points = curve.iter().filter(|point| point.idle <= idle);
        let on_points = points.map(|point| point.cold);
        let on_lines = curve
            .windows(2)
            .filter_map(|pair| between(pair[0], pair[1], idle));
        for cold in on_points.chain(on_lines) {
            least = Some(least.map_or(cold, |known| known.min(cold)));
        }
    }
    least
}

fn between(first: Point, second: Point, idle: f64) -> Option<f64> {
    let (low, high) = if first.idle <= second.idle {
        (first, second)
    } else {
        (second, first)
    };
    if idle < low.idle || idle > high.idle || low.idle == high.idle {
        return None;
    }
    let share = (idle - low.idle) / (high.idle - low.idle);
    Some(low.cold + share * (high.cold - low.cold))
}
