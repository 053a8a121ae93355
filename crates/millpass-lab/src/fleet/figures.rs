//! Quantiles and service gaps.

use millpass_load::{HistoryRecord, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Quantiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: usize,
    /// Median.
    pub p50_millis: f64,
    /// 95th percentile.
    pub p95_millis: f64,
    /// 99th percentile.
    pub p99_millis: f64,
    /// Maximum.
    pub max_millis: f64,
}

impl Quantiles {
    /// Computes nearest-rank quantiles of times in microseconds.
    pub fn of(mut micros: Vec<u64>) -> Self {
        micros.sort_unstable();
        let at = |percent: usize| {
            let rank = (micros.len() * percent).div_ceil(100).max(1);
            let value = micros.get(rank - 1).copied().unwrap_or(0);
            value as f64 / MICROS_PER_MILLI
        };
        Quantiles {
            count: micros.len(),
            p50_millis: at(50),
            p95_millis: at(95),
            p99_millis: at(99),
            max_millis: at(100),
        }
    }
}

/// Returns the time from the due time to the first token, or to the end if not streamed.
fn wait_micros(record: &HistoryRecord) -> u64 {
    let first = record.first_micros.unwrap_or(record.ended_micros);
    first.saturating_sub(record.due_micros)
}

/// Figures of the burst of requests for cold models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurstFigures {
    /// Requests.
    pub requests: usize,
    /// Served.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Time from the due time to the first token, or to the complete response if not streamed.
    pub wait: Quantiles,
}

/// Computes the figures of the burst.
pub fn burst(records: &[HistoryRecord]) -> BurstFigures {
    let burst_records: Vec<&HistoryRecord> = records.iter().filter(|record| record.burst).collect();
    let whole = burst_records.iter().filter(|record| record.is_whole());
    let waits: Vec<u64> = whole.map(|record| wait_micros(record)).collect();
    let is_refused = |record: &&&HistoryRecord| matches!(record.outcome, Outcome::Refused { .. });
    BurstFigures {
        requests: burst_records.len(),
        served: waits.len(),
        refused: burst_records.iter().filter(is_refused).count(),
        wait: Quantiles::of(waits),
    }
}

/// Computes the time to the first token of all streamed responses.
pub fn first_token(records: &[HistoryRecord]) -> Quantiles {
    let streamed = records.iter().filter(|record| {
        record.tokens_asked > 0 && record.first_micros.is_some() && record.is_whole()
    });
    Quantiles::of(streamed.map(wait_micros).collect())
}

/// Service figures of one kind of request in the healthy zones, from the fault on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceFigures {
    /// Requests.
    pub requests: usize,
    /// Served.
    pub served: usize,
    /// Refused without execution.
    pub refused: usize,
    /// Aborted, without a response, or with an unknown outcome.
    pub failed: usize,
    /// Longest period in which requests arrived and none was served.
    pub longest_without_service_millis: f64,
}

/// Service by kind of request (`model`, `read`, `write`) for the requests selected by `is_selected`.
pub fn service(
    records: &[HistoryRecord],
    is_selected: impl Fn(&HistoryRecord) -> bool,
) -> BTreeMap<String, ServiceFigures> {
    let mut by_kind: BTreeMap<String, Vec<&HistoryRecord>> = BTreeMap::new();
    for record in records.iter().filter(|record| is_selected(record)) {
        let kind = record.target.split('/').next().unwrap_or_default();
        by_kind.entry(kind.to_owned()).or_default().push(record);
    }
    let figures = by_kind
        .into_iter()
        .map(|(kind, records)| (kind, service_of(records)));
    figures.collect()
}

fn service_of(mut records: Vec<&HistoryRecord>) -> ServiceFigures {
    records.sort_by_key(|record| record.due_micros);
    let mut figures = ServiceFigures {
        requests: records.len(),
        ..ServiceFigures::default()
    };
    let mut unserved_since = None;
    let mut longest = 0;
    for record in records {
        if record.is_whole() {
            figures.served += 1;
            let since = unserved_since.take().unwrap_or(record.due_micros);
            longest = longest.max(record.due_micros - since);
            continue;
        }
        let since = *unserved_since.get_or_insert(record.due_micros);
        longest = longest.max(record.due_micros - since);
        let is_clean = matches!(
            record.outcome,
            Outcome::Refused {
                executed: millpass_load::refusal::Executed::No,
                ..
            }
        );
        if is_clean {
            figures.refused += 1;
        } else {
            figures.failed += 1;
        }
    }
    figures.longest_without_service_millis = longest as f64 / MICROS_PER_MILLI;
    figures
}

/// Returns the longest gap between events, including the gaps to the ends of the interval.
pub fn longest_gap_millis(times: impl IntoIterator<Item = u64>, from: u64, to: u64) -> f64 {
    let mut last = from;
    let mut longest = 0;
    for time in times.into_iter().filter(|time| (from..=to).contains(time)) {
        longest = longest.max(time - last);
        last = time;
    }
    longest.max(to.saturating_sub(last)) as f64 / MICROS_PER_MILLI
}
