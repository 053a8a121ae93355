//! Histograms and counts of a run.

use crate::answer::AnswerVerdict;
use crate::history::{HistoryRecord, Outcome};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Upper bound of a histogram, in microseconds; longer times saturate.
const LONGEST_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Grace period after the deadline for network and caller delays, in microseconds.
pub const DEADLINE_GRACE_MICROS: u64 = 500_000;

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_millis: f64,
    /// 90th percentile.
    pub p90_millis: f64,
    /// 99th percentile.
    pub p99_millis: f64,
    /// 99.9th percentile.
    pub p999_millis: f64,
    /// Maximum.
    pub max_millis: f64,
}

/// A histogram of times in microseconds.
#[derive(Clone, Debug)]
pub struct TimeHistogram {
    histogram: Histogram<u64>,
}

impl Default for TimeHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the constant bounds are valid");
        TimeHistogram { histogram }
    }
}

impl TimeHistogram {
    /// Records a time in microseconds.
    pub fn record(&mut self, micros: u64) {
        self.histogram.saturating_record(micros);
    }

    /// Returns the quantiles of the recorded times.
    pub fn quantiles(&self) -> Quantiles {
        let at = |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Quantiles {
            count: self.histogram.len(),
            p50_millis: at(0.5),
            p90_millis: at(0.9),
            p99_millis: at(0.99),
            p999_millis: at(0.999),
            max_millis: self.histogram.max() as f64 / 1_000.0,
        }
    }
}

/// Counts and quantiles of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests planned.
    pub requests: u64,
    /// Complete, correct responses.
    pub whole: u64,
    /// Of these, responses replayed for the same key.
    pub replayed: u64,
    /// Truncated responses, with or without the end marker.
    pub truncated: u64,
    /// Responses with repeated tokens.
    pub duplicated: u64,
    /// Responses with text of another request.
    pub foreign: u64,
    /// Refusals by status and code.
    pub refusals: BTreeMap<String, u64>,
    /// Refusals by stated execution.
    pub refusals_by_executed: BTreeMap<String, u64>,
    /// Faulty refusals by status and fault.
    pub faulty_refusals: BTreeMap<String, u64>,
    /// Failed connections.
    pub transport_errors: u64,
    /// Requests without a response.
    pub no_answer: u64,
    /// Requests not sent because no caller thread was free before the deadline.
    pub not_sent: u64,
    /// Requests that ended after the deadline and the grace period.
    pub late: u64,
    /// Time to first token of cold model requests.
    pub first_token_cold: Quantiles,
    /// Time to first token of warm model requests.
    pub first_token_warm: Quantiles,
    /// Longest interval between tokens, one value per request.
    pub token_pause: Quantiles,
    /// Total time of complete model responses.
    pub total_model: Quantiles,
    /// Total time of complete web responses.
    pub total_web: Quantiles,
    /// Time until a refusal.
    pub refusal_time: Quantiles,
    /// Delay between due time and send time.
    pub send_delay: Quantiles,
    /// Complete responses by tenant.
    pub whole_by_tenant: BTreeMap<String, u64>,
    /// Requests by tenant.
    pub requests_by_tenant: BTreeMap<String, u64>,
}

impl Summary {
    /// Summarizes records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a HistoryRecord>) -> Self {
        let mut collector = SummaryCollector::default();
        for record in records {
            collector.add(record);
        }
        collector.finish()
    }

    /// Returns the number of complete refusals.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Returns the number of faulty refusals.
    pub fn faulty(&self) -> u64 {
        self.faulty_refusals.values().sum()
    }

    /// Returns the number of violations visible to a caller. Connection failures are excluded,
    /// since a fault test may kill routers.
    pub fn breaches(&self) -> u64 {
        self.truncated + self.duplicated + self.foreign + self.faulty() + self.no_answer + self.late
    }
}

/// Collects a summary record by record.
#[derive(Default)]
pub struct SummaryCollector {
    summary: Summary,
    first_token_cold: TimeHistogram,
    first_token_warm: TimeHistogram,
    token_pause: TimeHistogram,
    total_model: TimeHistogram,
    total_web: TimeHistogram,
    refusal_time: TimeHistogram,
    send_delay: TimeHistogram,
}

impl SummaryCollector {
    /// Adds a record.
    pub fn add(&mut self, record: &HistoryRecord) {
        let tenant = record.tenant.to_string();
        let requests = self.summary.requests_by_tenant.entry(tenant.clone());
        *requests.or_default() += 1;
        self.summary.requests += 1;
        if matches!(record.outcome, Outcome::NotSent) {
            self.summary.not_sent += 1;
            return;
        }
        self.send_delay
            .record(record.sent_micros.saturating_sub(record.due_micros));
        if !record.is_in_time(DEADLINE_GRACE_MICROS) {
            self.summary.late += 1;
        }
        if record.is_whole() {
            *self.summary.whole_by_tenant.entry(tenant).or_default() += 1;
        }
        self.count_outcome(record);
    }

    fn count_outcome(&mut self, record: &HistoryRecord) {
        let total = record.ended_micros.saturating_sub(record.due_micros);
        match &record.outcome {
            Outcome::Answered {
                verdict, replayed, ..
            } => self.count_response(record, *verdict, *replayed, total),
            Outcome::Refused {
                status,
                code,
                executed,
                ..
            } => {
                self.refusal_time.record(total);
                *entry(&mut self.summary.refusals, format!("{status} {code}")) += 1;
                let execution = format!("{executed:?}").to_lowercase();
                *entry(&mut self.summary.refusals_by_executed, execution) += 1;
            }
            Outcome::FaultyRefusal { status, fault } => {
                let name = format!("{status} {fault:?}");
                *entry(&mut self.summary.faulty_refusals, name) += 1;
            }
            Outcome::TransportError { .. } => self.summary.transport_errors += 1,
            Outcome::NoAnswer => self.summary.no_answer += 1,
            Outcome::NotSent => {}
        }
    }

    fn count_response(
        &mut self,
        record: &HistoryRecord,
        verdict: AnswerVerdict,
        replayed: bool,
        total: u64,
    ) {
        match verdict {
            AnswerVerdict::Whole => self.summary.whole += 1,
            AnswerVerdict::Truncated => self.summary.truncated += 1,
            AnswerVerdict::Duplicated => self.summary.duplicated += 1,
            AnswerVerdict::Foreign => self.summary.foreign += 1,
        }
        if verdict != AnswerVerdict::Whole {
            return;
        }
        if replayed {
            self.summary.replayed += 1;
        }
        if record.tokens_asked == 0 {
            self.total_web.record(total);
            return;
        }
        self.total_model.record(total);
        if let Some(first) = record.first_micros {
            let wait = first.saturating_sub(record.due_micros);
            let histogram = if record.cold {
                &mut self.first_token_cold
            } else {
                &mut self.first_token_warm
            };
            histogram.record(wait);
            self.token_pause.record(record.longest_pause_micros);
        }
    }

    /// Returns the summary.
    pub fn finish(mut self) -> Summary {
        self.summary.first_token_cold = self.first_token_cold.quantiles();
        self.summary.first_token_warm = self.first_token_warm.quantiles();
        self.summary.token_pause = self.token_pause.quantiles();
        self.summary.total_model = self.total_model.quantiles();
        self.summary.total_web = self.total_web.quantiles();
        self.summary.refusal_time = self.refusal_time.quantiles();
        self.summary.send_delay = self.send_delay.quantiles();
        self.summary
    }
}

fn entry(counts: &mut BTreeMap<String, u64>, name: String) -> &mut u64 {
    counts.entry(name).or_default()
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "requests {}  whole {} (replayed {})  refused {}  broken connections {}  not sent {}",
            self.requests,
            self.whole,
            self.replayed,
            self.refused(),
            self.transport_errors,
            self.not_sent
        )?;
        writeln!(
            formatter,
            "breaches {}: truncated {}  duplicated {}  foreign {}  faulty refusals {}  \
             no answer {}  late {}",
            self.breaches(),
            self.truncated,
            self.duplicated,
            self.foreign,
            self.faulty(),
            self.no_answer,
            self.late
        )?;
        for (name, count) in self.refusals.iter().chain(&self.faulty_refusals) {
            writeln!(formatter, "  refusal {name}: {count}")?;
        }
        writeln!(
            formatter,
            "{:<22} {:>7} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "milliseconds", "count", "p50", "p90", "p99", "p99.9", "max"
        )?;
        let rows = [
            ("first token, cold", &self.first_token_cold),
            ("first token, warm", &self.first_token_warm),
            ("longest token pause", &self.token_pause),
            ("model answer", &self.total_model),
            ("web answer", &self.total_web),
            ("refusal", &self.refusal_time),
            ("caller's own delay", &self.send_delay),
        ];
        for (name, row) in rows {
            writeln!(
                formatter,
                "{name:<22} {:>7} {:>10.1} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
                row.count,
                row.p50_millis,
                row.p90_millis,
                row.p99_millis,
                row.p999_millis,
                row.max_millis
            )?;
        }
        Ok(())
    }
}
