//! Histograms and counts of a run.

use crate::answer::AnswerVerdict;
use crate::history::{HistoryRecord, Outcome};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Longest time a histogram holds, in microseconds; longer ones count as this.
const LONGEST_MICROS: u64 = 3_600_000_000;
/// Significant digits kept.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Grace after the deadline for the way back and for a busy caller, in microseconds.
pub const DEADLINE_GRACE_MICROS: u64 = 500_000;

/// Quantiles of one measure, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Values counted.
    pub count: u64,
    /// Half are at most this.
    pub p50_millis: f64,
    /// 90 of 100.
    pub p90_millis: f64,
    /// 99 of 100.
    pub p99_millis: f64,
    /// 999 of 1000.
    pub p999_millis: f64,
    /// Largest.
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
    /// Counts one time.
    pub fn record(&mut self, micros: u64) {
        self.histogram.saturating_record(micros);
    }

    /// Quantiles so far.
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
    /// Whole, own answers.
    pub whole: u64,
    /// Of these, recorded answers given again for the same key.
    pub replayed: u64,
    /// Answers that lack their end, with the end falsely stated or not stated.
    pub truncated: u64,
    /// Answers with doubled tokens.
    pub duplicated: u64,
    /// Answers of another request.
    pub foreign: u64,
    /// Refusals by status and code.
    pub refusals: BTreeMap<String, u64>,
    /// Refusals by what they say of execution.
    pub refusals_by_executed: BTreeMap<String, u64>,
    /// Refusals that lack something, by fault.
    pub faulty_refusals: BTreeMap<String, u64>,
    /// Broken connections.
    pub transport_errors: u64,
    /// Requests without any answer.
    pub no_answer: u64,
    /// Requests the caller itself could not send for lack of threads.
    pub not_sent: u64,
    /// Ended later than the deadline and the grace.
    pub late: u64,
    /// Time to first token of cold model requests.
    pub first_token_cold: Quantiles,
    /// Time to first token of warm model requests.
    pub first_token_warm: Quantiles,
    /// Longest pause between tokens, a request each.
    pub token_pause: Quantiles,
    /// Total time of whole model answers.
    pub total_model: Quantiles,
    /// Total time of whole web answers.
    pub total_web: Quantiles,
    /// Time until a refusal.
    pub refusal_time: Quantiles,
    /// Delay of the caller itself in sending.
    pub send_delay: Quantiles,
    /// Whole answers by tenant, for fairness.
    pub whole_by_tenant: BTreeMap<String, u64>,
    /// Requests by tenant.
    pub requests_by_tenant: BTreeMap<String, u64>,
}

impl Summary {
    /// Sums up records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a HistoryRecord>) -> Self {
        let mut collector = SummaryCollector::default();
        for record in records {
            collector.add(record);
        }
        collector.finish()
    }

    /// All refusals that say what they must.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Refusals that lack something.
    pub fn faulty(&self) -> u64 {
        self.faulty_refusals.values().sum()
    }

    /// Breaches that a caller can see by itself. A lost connection is not one: its request may
    /// have met a killed router.
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
    /// Counts one record.
    pub fn add(&mut self, record: &HistoryRecord) {
        let tenant = record.tenant.to_string();
        let asked = self.summary.requests_by_tenant.entry(tenant.clone());
        *asked.or_default() += 1;
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
            } => self.count_answer(record, *verdict, *replayed, total),
            Outcome::Refused {
                status,
                code,
                executed,
                ..
            } => {
                self.refusal_time.record(total);
                *entry(&mut self.summary.refusals, format!("{status} {code}")) += 1;
                let word = format!("{executed:?}").to_lowercase();
                *entry(&mut self.summary.refusals_by_executed, word) += 1;
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

    fn count_answer(
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

    /// The summary.
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
