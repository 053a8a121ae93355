//! Measures all sizes and fits lines over the number of routers.

use crate::figures::least_squares;
use crate::measure::{Values, measure};
use crate::options::MeasureOptions;
use anyhow::{Context, Result};

/// Size at which the fitted lines are evaluated.
const TARGET_ROUTERS: f64 = 490.0;

/// Measures each size and prints the fitted lines.
pub fn run(options: &MeasureOptions) -> Result<()> {
    let mut sizes = Vec::new();
    for text in options.routers.split(',') {
        let count: usize = text
            .trim()
            .parse()
            .context("--routers must be numbers separated by commas")?;
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
            "line {name} intercept={:.2} slope_per_router={:.4} at_{TARGET_ROUTERS}={:.1}",
            line.intercept,
            line.slope,
            line.intercept + line.slope * TARGET_ROUTERS
        );
    }
}
