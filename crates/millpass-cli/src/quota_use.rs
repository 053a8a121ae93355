//! Use of tenants' quotas from the logs of gateways: the window in which each tenant used most, and
//! where its units came from. Pure aggregation of `request_ended` lines; `commands::quota_use` reads
//! the files.

use crate::log_line::LogLine;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Ages of units when they were used, in milliseconds; older ones form a last group.
const AGE_GROUPS_MS: [u64; 4] = [100, 500, 1_500, 4_000];

/// What to print.
#[derive(Clone, Debug)]
pub struct QuotaUseOptions {
    /// Length of the window over which use is summed.
    pub window_ms: u64,
    /// Tenant to print; none prints all.
    pub tenant: Option<String>,
    /// Number of listed requests whose units were oldest when used; 0 for none.
    pub rows: usize,
}

/// One send of a request with units of its tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaSend {
    /// Tenant.
    pub tenant: String,
    /// Request id.
    pub request: String,
    /// When it was sent, in Unix milliseconds or from the line's prefix.
    pub sent_ms: u64,
    /// Units of the request.
    pub units: u64,
    /// Origin of the units and term of the leader.
    pub origin: String,
    /// Time from when the units were obtained to the send.
    pub age_ms: u64,
    /// Earlier sends of the same request.
    pub earlier_sends: usize,
}

impl QuotaSend {
    /// Returns the sends stated by a log line; empty if it is not a `request_ended` line of a request
    /// with units.
    pub fn parse(line: &str) -> Vec<QuotaSend> {
        if !line.contains("event=request_ended") || !line.contains("units_source=") {
            return Vec::new();
        }
        let line = LogLine::parse(line);
        let (Some(ended), Some(age), Some(units), Some(obtained)) = (
            line.time_ms(),
            line.number("age_ms"),
            line.number("units"),
            line.number("units_ms"),
        ) else {
            return Vec::new();
        };
        let arrived = ended.saturating_sub(age);
        let sends = line.text("sends_ms").split(',');
        let sends = sends.filter_map(|sent| sent.parse::<u64>().ok());
        sends
            .enumerate()
            .map(|(earlier_sends, sent)| QuotaSend {
                tenant: line.text("quota_tenant").to_owned(),
                request: line.text("request").to_owned(),
                sent_ms: arrived + sent,
                units,
                origin: format!("{}:{}", line.text("units_source"), line.text("units_term")),
                age_ms: sent.saturating_sub(obtained),
                earlier_sends,
            })
            .collect()
    }
}

/// Sends of all tenants.
#[derive(Default)]
pub struct QuotaUseAnalysis {
    sends: BTreeMap<String, Vec<QuotaSend>>,
}

impl QuotaUseAnalysis {
    /// Adds a send.
    pub fn add(&mut self, send: QuotaSend) {
        self.sends
            .entry(send.tenant.clone())
            .or_default()
            .push(send);
    }

    /// Returns true if there is no send.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns the sends in the window in which a tenant used most, in order of time.
    pub fn busiest_window(&self, tenant: &str, window_ms: u64) -> Vec<QuotaSend> {
        let mut sends = self.sends.get(tenant).cloned().unwrap_or_default();
        sends.sort_by_key(|send| send.sent_ms);
        let (mut first, mut sum) = (0, 0);
        let (mut best, mut range) = (0, 0..0);
        for (position, send) in sends.iter().enumerate() {
            sum += send.units;
            while sends[first].sent_ms + window_ms <= send.sent_ms {
                sum -= sends[first].units;
                first += 1;
            }
            if sum > best {
                best = sum;
                range = first..position + 1;
            }
        }
        sends[range].to_vec()
    }

    /// Formats the report.
    pub fn report(&self, options: &QuotaUseOptions) -> String {
        let mut text = String::new();
        for tenant in self.sends.keys() {
            if options.tenant.as_ref().is_none_or(|only| only == tenant) {
                let window = self.busiest_window(tenant, options.window_ms);
                write_window(&mut text, tenant, &window, options);
            }
        }
        text
    }
}

fn write_window(text: &mut String, tenant: &str, sends: &[QuotaSend], options: &QuotaUseOptions) {
    let (Some(first), Some(last)) = (sends.first(), sends.last()) else {
        return;
    };
    let begin = last.sent_ms.saturating_sub(options.window_ms);
    let total: u64 = sends.iter().map(|send| send.units).sum();
    let mut by_origin: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
    let mut by_age = [(0_usize, 0_u64); AGE_GROUPS_MS.len() + 1];
    let mut repeated = (0, 0);
    let mut carried = (0, 0);
    for send in sends {
        count(by_origin.entry(&send.origin).or_default(), send);
        let group = AGE_GROUPS_MS.iter().position(|most| send.age_ms <= *most);
        count(&mut by_age[group.unwrap_or(AGE_GROUPS_MS.len())], send);
        if send.earlier_sends > 0 {
            count(&mut repeated, send);
        }
        if send.sent_ms.saturating_sub(send.age_ms) < begin {
            count(&mut carried, send);
        }
    }
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "{tenant}: {total} units in {} sends from {} to {}",
        sends.len(),
        first.sent_ms,
        last.sent_ms
    );
    for (origin, (sends, units)) in by_origin {
        let _ = writeln!(text, "  origin {origin}: {units} units, {sends} sends");
    }
    for (group, (sends, units)) in by_age.into_iter().enumerate() {
        let label = match AGE_GROUPS_MS.get(group) {
            Some(most) => format!("at most {most}"),
            None => format!("over {}", AGE_GROUPS_MS[AGE_GROUPS_MS.len() - 1]),
        };
        let _ = writeln!(text, "  age {label} ms: {units} units, {sends} sends");
    }
    let _ = writeln!(
        text,
        "  sent again: {} units, {} sends",
        repeated.1, repeated.0
    );
    let _ = writeln!(
        text,
        "  obtained before the window: {} units, {} sends",
        carried.1, carried.0
    );
    let mut oldest: Vec<&QuotaSend> = sends.iter().collect();
    oldest.sort_by_key(|send| std::cmp::Reverse(send.age_ms));
    for send in oldest.into_iter().take(options.rows) {
        let _ = writeln!(
            text,
            "  request {} sent {} units {} origin {} age_ms {} earlier_sends {}",
            send.request, send.sent_ms, send.units, send.origin, send.age_ms, send.earlier_sends
        );
    }
}

fn count(counts: &mut (usize, u64), send: &QuotaSend) {
    counts.0 += 1;
    counts.1 += send.units;
}
