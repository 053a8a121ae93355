//! SVG plots of a comparison.

use super::figures::{Figures, StrategyFigures};
use crate::strategies::Family;
use plotters::prelude::*;
use std::path::Path;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (640, 400);
/// Axis length relative to the largest value.
const HEADROOM: f64 = 1.05;
const FAMILIES: [(Family, RGBColor); 4] = [
    (Family::Adaptive, RGBColor(200, 40, 40)),
    (Family::Fixed, RGBColor(40, 90, 200)),
    (Family::LeastRecentlyUsed, RGBColor(40, 150, 60)),
    (Family::AlwaysLoaded, RGBColor(120, 60, 160)),
];

/// Value of a strategy on the vertical axis.
type Value = fn(&StrategyFigures) -> f64;

/// Error of [`draw`].
#[derive(Debug, thiserror::Error)]
#[error("{file}: {reason}; choose a writable folder")]
pub struct PlotError {
    file: String,
    reason: String,
}

/// A line through the strategies of a family.
struct Line {
    label: String,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Writes all plots to a folder.
pub fn draw(figures: &Figures, folder: &Path) -> Result<(), PlotError> {
    let name = &figures.deployment;
    let plot = |suffix: &str, title: &str, vertical: &str, lines: Vec<Line>| {
        let path = folder.join(format!("{name}-{suffix}.svg"));
        let title = format!("{name}: {title}");
        chart(&path, &title, vertical, &lines).map_err(|error| PlotError {
            file: path.display().to_string(),
            reason: error.to_string(),
        })
    };
    let p99 = by_family(figures, |one| one.cold_start.p99);
    plot("p99", "p99 cold start", "seconds", p99)?;
    let quantiles = adaptive_and_fixed(figures);
    plot("quantiles", "cold-start quantiles", "seconds", quantiles)?;
    let loads = by_family(figures, |one| one.store_most_at_once as f64);
    let mut loads_lines = loads;
    loads_lines.push(limit_line(figures, &loads_lines));
    plot(
        "loads",
        "most loads at the store at once",
        "loads",
        loads_lines,
    )?;
    let tenants = by_family(figures, |one| one.worst_tenant_p99_seconds);
    plot(
        "tenants",
        "worst tenant's p99 cold start",
        "seconds",
        tenants,
    )
}

fn by_family(figures: &Figures, value: impl Fn(&StrategyFigures) -> f64) -> Vec<Line> {
    let lines = FAMILIES.iter().map(|(family, color)| {
        let strategies = figures.family(family.label());
        let points = strategies
            .iter()
            .map(|one| (one.idle_hours_a_day, value(one)));
        Line {
            label: family.label().to_owned(),
            color: *color,
            points: points.collect(),
        }
    });
    lines.collect()
}

/// Returns the p50, p99 and p99.9 lines of the adaptive and fixed strategies.
fn adaptive_and_fixed(figures: &Figures) -> Vec<Line> {
    let quantiles: [(&str, Value); 3] = [
        ("p50", |one| one.cold_start.p50),
        ("p99", |one| one.cold_start.p99),
        ("p99.9", |one| one.cold_start.p999),
    ];
    let mut lines = Vec::new();
    for (quantile, value) in quantiles {
        for line in by_family(figures, value).into_iter().take(2) {
            lines.push(Line {
                label: format!("{}, {quantile}", line.label),
                ..line
            });
        }
    }
    lines
}

fn limit_line(figures: &Figures, lines: &[Line]) -> Line {
    let limit = f64::from(figures.store_concurrent_loads);
    let (most_idle, _) = largest(lines);
    Line {
        label: "full speed up to here".to_owned(),
        color: RGBColor(130, 130, 130),
        points: vec![(0.0, limit), (most_idle, limit)],
    }
}

fn largest(lines: &[Line]) -> (f64, f64) {
    let points = lines.iter().flat_map(|line| &line.points);
    points.fold((1.0, 1.0), |most, point| {
        (f64::max(most.0, point.0), f64::max(most.1, point.1))
    })
}

fn chart(
    path: &Path,
    title: &str,
    vertical: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (most_idle, most) = largest(lines);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_idle * HEADROOM, 0.0..most * HEADROOM)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("idle accelerator hours a day")
        .y_desc(vertical)
        .draw()?;
    for line in lines {
        let color = line.color;
        let series = LineSeries::new(line.points.iter().copied(), color);
        chart
            .draw_series(series)?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let dots = line
            .points
            .iter()
            .map(|point| Circle::new(*point, 3, color));
        chart.draw_series(dots)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
