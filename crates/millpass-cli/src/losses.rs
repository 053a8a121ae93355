//! Analysis of lost requests from the logs of gateways: what was lost, why, and what could have been
//! served in hindsight. Pure aggregation of `request_ended` lines; `commands::losses` reads the files.

use crate::log_line::LogLine;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write;

/// Outcome of a request that an instance answered.
const ANSWERED: &str = "answered";
/// Placeholder for a key that a line lacks.
const ABSENT: &str = "-";

/// What to print.
#[derive(Clone, Copy, Debug)]
pub struct LossOptions {
    /// Number of rows of each table; 0 for all.
    pub rows: usize,
    /// Time before a request's arrival and after its end within which a send of the same model
    /// elsewhere counts as a missed chance.
    pub window_ms: u64,
    /// Time to the response head from which answered requests are listed; none lists nothing.
    pub slow_ms: Option<u64>,
}

/// One `request_ended` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// When it ended: milliseconds of the line's `at_unix_ms`, or of the seconds in its prefix.
    pub ended_ms: Option<u64>,
    /// Request id.
    pub request: String,
    /// Fingerprint, which all tries of a request share; empty if the line has none.
    pub fingerprint: String,
    /// Route.
    pub route: String,
    /// Tenant.
    pub tenant: String,
    /// Service, model and adapter; none for a request without a model.
    pub model: Option<String>,
    /// Last instance.
    pub instance: String,
    /// Outcome: `answered` or the cause of the loss.
    pub outcome: String,
    /// Time until the last send; none if it was not sent.
    pub waited_ms: Option<u64>,
    /// Time from the last send to the response head.
    pub head_ms: Option<u64>,
    /// Time from arrival to end.
    pub age_ms: u64,
}

impl EndedRequest {
    /// Parses a log line; none if it is not a complete `request_ended` line. Words before the first
    /// pair are a prefix, of which the first number is the time in seconds.
    pub fn parse(line: &str) -> Option<EndedRequest> {
        if !line.contains("event=request_ended") {
            return None;
        }
        let line = LogLine::parse(line);
        if line.text("event") != "request_ended" {
            return None;
        }
        let or_absent = |key| match line.text(key) {
            "" => ABSENT.to_owned(),
            text => text.to_owned(),
        };
        let model = match (line.text("model"), line.text("adapter")) {
            ("", _) => None,
            (model, "") => Some(format!("{}/{model}", line.text("service"))),
            (model, adapter) => Some(format!("{}/{model}+{adapter}", line.text("service"))),
        };
        Some(EndedRequest {
            ended_ms: line.time_ms(),
            request: or_absent("request"),
            fingerprint: line.text("fingerprint").to_owned(),
            route: or_absent("route"),
            tenant: or_absent("tenant"),
            model,
            instance: or_absent("instance"),
            outcome: line.pairs.get("outcome")?.clone(),
            waited_ms: line.number("waited_ms"),
            head_ms: line.number("head_ms"),
            age_ms: line.number("age_ms")?,
        })
    }

    fn is_answered(&self) -> bool {
        self.outcome == ANSWERED
    }

    /// Time spent waiting at the gateway: until the last send, or until the end without one.
    fn wait_ms(&self) -> u64 {
        self.waited_ms.unwrap_or(self.age_ms)
    }

    fn model_name(&self) -> &str {
        self.model.as_deref().unwrap_or(ABSENT)
    }
}

/// Ended requests of all gateways.
#[derive(Default)]
pub struct LossAnalysis {
    lost: Vec<EndedRequest>,
    answered: usize,
    without_time: usize,
    /// Ages and times to the response head of answered requests.
    answered_ages: Vec<u64>,
    heads: BTreeMap<String, Vec<u64>>,
    slow: Vec<EndedRequest>,
    /// Times at which answered requests of each model were sent.
    sends: HashMap<String, Vec<u64>>,
    /// Times at which requests of each fingerprint were answered.
    answers: HashMap<String, Vec<u64>>,
    earliest_ms: Option<u64>,
}

/// Counts of lost requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Lost attempts.
    pub lost: usize,
    /// Those of which a later attempt with the same fingerprint was answered.
    pub recovered: usize,
    /// Those whose model was served to another request within the window.
    pub served_elsewhere: usize,
}

impl LossAnalysis {
    /// Adds a request. Those answered with a response head after `slow_ms` are kept for the listing.
    pub fn add(&mut self, request: EndedRequest, slow_ms: Option<u64>) {
        match request.ended_ms {
            Some(ended) => {
                let earliest = self.earliest_ms.unwrap_or(ended);
                self.earliest_ms = Some(earliest.min(ended));
            }
            None => self.without_time += 1,
        }
        if !request.is_answered() {
            self.lost.push(request);
            return;
        }
        self.answered += 1;
        self.answered_ages.push(request.age_ms);
        if let Some(ended) = request.ended_ms {
            if let Some(model) = &request.model {
                let sent = ended.saturating_sub(request.age_ms) + request.wait_ms();
                self.sends.entry(model.clone()).or_default().push(sent);
            }
            if !request.fingerprint.is_empty() {
                let answers = self.answers.entry(request.fingerprint.clone());
                answers.or_default().push(ended);
            }
        }
        if let Some(head) = request.head_ms {
            let heads = self.heads.entry(request.instance.clone());
            heads.or_default().push(head);
            if slow_ms.is_some_and(|slow| head >= slow) {
                self.slow.push(request);
            }
        }
    }

    /// Returns the counts of all lost requests by outcome.
    pub fn counts(&self, window_ms: u64) -> BTreeMap<String, LossCounts> {
        self.hindsight()
            .counts_by(window_ms, |it| it.outcome.clone())
    }

    /// Returns the report.
    pub fn report(&self, options: &LossOptions) -> String {
        let sorted = self.hindsight();
        let mut text = String::new();
        let attempts = self.answered + self.lost.len();
        let _ = writeln!(
            text,
            "attempts={attempts} answered={} lost={} without_time={}",
            self.answered,
            self.lost.len(),
            self.without_time
        );
        let total = sorted.total(options.window_ms);
        let _ = writeln!(
            text,
            "recovered={} never_answered={} served_elsewhere={}",
            total.recovered,
            sorted.never_answered(),
            total.served_elsewhere
        );
        let ages = quantiles(&self.answered_ages);
        let _ = writeln!(text, "answered: age_ms p50/p90/p99/max {ages}\n");
        sorted.write_causes(&mut text, options);
        for (title, key) in GROUPINGS {
            sorted.write_grouping(&mut text, options, title, key);
        }
        self.write_seconds(&mut text);
        self.write_slow(&mut text, options);
        text
    }

    fn hindsight(&self) -> Hindsight<'_> {
        let sorted = |times: &HashMap<String, Vec<u64>>| {
            let times = times.iter().map(|(key, times)| {
                let mut times = times.clone();
                times.sort_unstable();
                (key.clone(), times)
            });
            times.collect()
        };
        Hindsight {
            lost: &self.lost,
            sends: sorted(&self.sends),
            answers: sorted(&self.answers),
        }
    }

    /// Writes the losses of each second, counted from the first line.
    fn write_seconds(&self, text: &mut String) {
        let first = self.earliest_ms.unwrap_or_default();
        let mut seconds: BTreeMap<u64, BTreeMap<&str, usize>> = BTreeMap::new();
        for request in &self.lost {
            let Some(ended) = request.ended_ms else {
                continue;
            };
            let second = seconds.entry((ended - first) / 1_000).or_default();
            *second.entry(&request.outcome).or_default() += 1;
        }
        let rows = seconds.into_iter().map(|(second, causes)| {
            let lost: usize = causes.values().sum();
            vec![second.to_string(), lost.to_string(), join_counts(causes)]
        });
        write_table(text, "lost by second", &["second", "lost", "causes"], rows);
    }

    fn write_slow(&self, text: &mut String, options: &LossOptions) {
        let Some(slow_ms) = options.slow_ms else {
            return;
        };
        let mut instances: Vec<(&str, usize, &Vec<u64>)> = self
            .heads
            .iter()
            .map(|(instance, heads)| {
                let slow = heads.iter().filter(|head| **head >= slow_ms).count();
                (instance.as_str(), slow, heads)
            })
            .filter(|(_, slow, _)| *slow > 0)
            .collect();
        instances.sort_by_key(|(_, slow, _)| std::cmp::Reverse(*slow));
        let rows = instances.into_iter().map(|(instance, slow, heads)| {
            vec![
                instance.to_owned(),
                slow.to_string(),
                heads.len().to_string(),
                quantiles(heads),
            ]
        });
        let title = format!("answered with head_ms of {slow_ms} or more, by instance");
        let columns = ["instance", "slow", "answered", "head_ms p50/p90/p99/max"];
        write_table(text, &title, &columns, limited(rows, options.rows));
        let mut slowest: Vec<&EndedRequest> = self.slow.iter().collect();
        slowest.sort_by_key(|request| std::cmp::Reverse(request.head_ms));
        let rows = slowest.into_iter().map(|request| {
            vec![
                request.request.clone(),
                request.instance.clone(),
                request.route.clone(),
                request.model_name().to_owned(),
                request.wait_ms().to_string(),
                request.head_ms.unwrap_or_default().to_string(),
                request.age_ms.to_string(),
            ]
        });
        let columns = [
            "request",
            "instance",
            "route",
            "model",
            "waited_ms",
            "head_ms",
            "age_ms",
        ];
        let title = "slowest answered requests";
        write_table(text, title, &columns, limited(rows, options.rows));
    }
}

type Key = fn(&EndedRequest) -> String;

const GROUPINGS: [(&str, Key); 3] = [
    ("route", |request| request.route.clone()),
    ("tenant", |request| request.tenant.clone()),
    ("model", |request| request.model_name().to_owned()),
];

/// Lost requests, with what was served meanwhile in order of time.
struct Hindsight<'a> {
    lost: &'a [EndedRequest],
    sends: HashMap<String, Vec<u64>>,
    answers: HashMap<String, Vec<u64>>,
}

impl Hindsight<'_> {
    /// Returns whether a request of the same model was sent and answered within the lost one's time,
    /// extended by the window. An upper bound: the instance may have had no further slot.
    fn was_served_elsewhere(&self, request: &EndedRequest, window_ms: u64) -> bool {
        let Some(ended) = request.ended_ms else {
            return false;
        };
        let from = ended.saturating_sub(request.age_ms.saturating_add(window_ms));
        let until = ended.saturating_add(window_ms);
        let sends = request.model.as_ref().and_then(|it| self.sends.get(it));
        sends.is_some_and(|sends| {
            let next = sends.partition_point(|sent| *sent < from);
            sends.get(next).is_some_and(|sent| *sent <= until)
        })
    }

    fn was_recovered(&self, request: &EndedRequest) -> bool {
        let answers = self.answers.get(&request.fingerprint);
        let last = answers.and_then(|answers| answers.last());
        last.zip(request.ended_ms)
            .is_some_and(|(answered, lost)| *answered >= lost)
    }

    fn counts_by(&self, window_ms: u64, key: Key) -> BTreeMap<String, LossCounts> {
        let mut counts: BTreeMap<String, LossCounts> = BTreeMap::new();
        for request in self.lost {
            let entry = counts.entry(key(request)).or_default();
            entry.lost += 1;
            entry.recovered += usize::from(self.was_recovered(request));
            entry.served_elsewhere += usize::from(self.was_served_elsewhere(request, window_ms));
        }
        counts
    }

    fn total(&self, window_ms: u64) -> LossCounts {
        let counts = self.counts_by(window_ms, |_| String::new());
        counts.into_values().next().unwrap_or_default()
    }

    /// Returns the number of requests, each counted once over its tries, of which none was answered
    /// after a lost one.
    fn never_answered(&self) -> usize {
        let lost = self.lost.iter().filter(|it| !self.was_recovered(it));
        let (known, unknown): (Vec<&EndedRequest>, Vec<&EndedRequest>) =
            lost.partition(|request| !request.fingerprint.is_empty());
        let distinct: BTreeSet<&str> = known.iter().map(|it| it.fingerprint.as_str()).collect();
        distinct.len() + unknown.len()
    }

    fn write_causes(&self, text: &mut String, options: &LossOptions) {
        let counts = self.counts_by(options.window_ms, |it| it.outcome.clone());
        let mut counts: Vec<(String, LossCounts)> = counts.into_iter().collect();
        counts.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.lost));
        let rows = counts.into_iter().map(|(cause, counts)| {
            let of_cause = || self.lost.iter().filter(|it| it.outcome == cause);
            let ages: Vec<u64> = of_cause().map(|it| it.age_ms).collect();
            let waits: Vec<u64> = of_cause().map(EndedRequest::wait_ms).collect();
            vec![
                cause.clone(),
                counts.lost.to_string(),
                counts.recovered.to_string(),
                counts.served_elsewhere.to_string(),
                quantiles(&ages),
                quantiles(&waits),
            ]
        });
        let columns = [
            "cause",
            "lost",
            "recovered",
            "served_elsewhere",
            "age_ms p50/p90/p99/max",
            "wait_ms p50/p90/p99/max",
        ];
        write_table(text, "lost by cause", &columns, rows);
    }

    fn write_grouping(&self, text: &mut String, options: &LossOptions, name: &str, key: Key) {
        let mut causes: HashMap<String, BTreeMap<&str, usize>> = HashMap::new();
        for request in self.lost {
            let group = causes.entry(key(request)).or_default();
            *group.entry(&request.outcome).or_default() += 1;
        }
        let counts = self.counts_by(options.window_ms, key);
        let mut counts: Vec<(String, LossCounts)> = counts.into_iter().collect();
        counts.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.lost));
        let rows = counts.into_iter().map(|(group, counts)| {
            let causes = causes.remove(&group).unwrap_or_default();
            vec![
                group,
                counts.lost.to_string(),
                counts.recovered.to_string(),
                counts.served_elsewhere.to_string(),
                join_counts(causes),
            ]
        });
        let columns = [name, "lost", "recovered", "served_elsewhere", "causes"];
        let title = format!("lost by {name}");
        write_table(text, &title, &columns, limited(rows, options.rows));
    }
}

/// Returns the 50th, 90th and 99th percentile and the maximum, by nearest rank.
fn quantiles(values: &[u64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = |percent: usize| {
        let index = (sorted.len() * percent).div_ceil(100).max(1) - 1;
        sorted.get(index).copied().unwrap_or_default()
    };
    format!("{}/{}/{}/{}", rank(50), rank(90), rank(99), rank(100))
}

fn join_counts(counts: BTreeMap<&str, usize>) -> String {
    let mut counts: Vec<(&str, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let texts = counts.iter().map(|(name, count)| format!("{name}={count}"));
    texts.collect::<Vec<_>>().join(" ")
}

fn limited<T>(rows: impl Iterator<Item = T>, limit: usize) -> impl Iterator<Item = T> {
    rows.take(if limit == 0 { usize::MAX } else { limit })
}

/// Writes a table with aligned columns; nothing if it has no rows.
fn write_table(
    text: &mut String,
    title: &str,
    columns: &[&str],
    rows: impl Iterator<Item = Vec<String>>,
) {
    let header = columns.iter().map(|column| (*column).to_owned()).collect();
    let lines: Vec<Vec<String>> = std::iter::once(header).chain(rows).collect();
    if lines.len() == 1 {
        return;
    }
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max();
    let widths: Vec<usize> = (0..columns.len()).filter_map(width).collect();
    let _ = writeln!(text, "{title}");
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let _ = writeln!(text, "  {}", cells.join("  ").trim_end());
    }
    let _ = writeln!(text);
}
