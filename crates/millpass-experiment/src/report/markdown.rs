//! Markdown report.

use super::figures::{Figures, StrategyFigures};

const HEADER: &str = "| strategy | parameter | idle h/day | loaded h/day | cold share | p50 s | \
p99 s | p99.9 s | batch p99 s | refused | model loads/day | store loads/day | most at store | \
Jain | worst tenant p99 s | best baseline p99 s at equal idle | ratio | best baseline idle h/day \
at equal p99 | ratio |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// Returns the report as Markdown.
pub fn markdown(figures: &Figures) -> String {
    let name = &figures.deployment;
    let mut text = format!(
        "# Cold start and idle hours: {name}\n\n\
         Seeds {}, {} days measured of each after one day to learn. Written by\n\n\
         ```sh\ncargo run --release -p millpass-lab -- experiment --deployment examples/{name} \
         --seeds {} --days {} --output docs/performance\n```\n\n\
         Cold-start times are over all requests but batches; a warm request counts as zero, a \
         refused cold one with its whole patience. The store starts {} loads a second and serves \
         {} at full speed. Bold: the weights that the deployment states.\n\n",
        figures.seeds,
        figures.days,
        figures.seeds,
        figures.days,
        figures.store_loads_per_second,
        figures.store_concurrent_loads,
    );
    text.push_str(HEADER);
    for strategy in &figures.strategies {
        text.push_str(&row(strategy));
    }
    text.push_str(&format!(
        "\n![p99 cold start against idle hours]({name}-p99.svg)\n\n\
         ![quantiles of the cold start]({name}-quantiles.svg)\n\n\
         ![loads against the store's limit]({name}-loads.svg)\n\n\
         ![worst tenant]({name}-tenants.svg)\n"
    ));
    text
}

fn row(one: &StrategyFigures) -> String {
    let mark = if one.stated { "**" } else { "" };
    format!(
        "| {mark}{}{mark} | {mark}{}{mark} | {:.1} | {:.1} | {:.4} | {:.2} | {:.2} | {:.2} | \
         {:.1} | {} | {:.0} | {:.0} | {} | {:.4} | {:.1} | {} | {} | {} | {} |\n",
        one.family,
        one.parameter,
        one.idle_hours_a_day,
        one.loaded_hours_a_day,
        one.cold_share,
        one.cold_start.p50,
        one.cold_start.p99,
        one.cold_start.p999,
        one.batch_cold_start.p99,
        one.refused,
        one.model_loads_a_day,
        one.store_loads_a_day,
        one.store_most_at_once,
        one.fairness,
        one.worst_tenant_p99_seconds,
        cell(one.baseline_p99_seconds),
        cell(one.cold_ratio),
        cell(one.baseline_idle_hours_a_day),
        cell(one.idle_ratio),
    )
}

fn cell(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}
