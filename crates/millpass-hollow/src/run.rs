//! All sizes, and the lines through what grows with them.

use crate::figures::least_squares;
use crate::measure::{Values, measure};
use crate::options::MeasureOptions;
use anyhow::{Context, Result};

/// The size to design for.
const WANTED_ROUTERS: f64 = 490.0;

/// Measures each size in turn and prints the lines.
pub fn run(options: &MeasureOptions) -> Result<()> {
    let mut sizes = Vec::new();
    for text in options.routers.split(',') {
        let count: usize = text.trim().parse().context("numbers of routers")?;
        sizes.push((count as f64, measure(options, count)?));
    }
    print_lines(&sizes);
    Ok(())
}

fn print_lines(sizes: &[(f64, Values)]) {
    let Some((_, first)) = sizes.first() else {
        return;
    };
    for (name, _) in first {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .filter_map(|(count, values)| {
                let value = values.iter().find(|(other, _)| other == name)?;
                Some((*count, value.1))
            })
            .collect();
        let Some(line) = least_squares(&points) else {
            continue;
        };
        println!(
            "line {name} intercept={:.2} slope_per_router={:.4} at_{WANTED_ROUTERS}={:.1}",
            line.intercept,
            line.slope,
            line.intercept + line.slope * WANTED_ROUTERS
        );
    }
}
