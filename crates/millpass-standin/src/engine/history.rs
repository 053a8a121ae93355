//! States kept for reports, which show the engine as it was some time ago.

use super::settings::PublishingSettings;
use millpass_proto::{EngineReport, Timestamp};
use std::collections::VecDeque;

/// Most states kept; the oldest go first.
const MAXIMUM_STATES: usize = 64;

/// States by the time since which they held.
#[derive(Clone, Debug)]
pub struct ReportHistory {
    publishing: PublishingSettings,
    states: VecDeque<(Timestamp, EngineReport)>,
}

impl ReportHistory {
    /// Holds the state at the start.
    pub fn new(publishing: &PublishingSettings, start: Timestamp, first: EngineReport) -> Self {
        ReportHistory {
            publishing: publishing.clone(),
            states: VecDeque::from([(start, first)]),
        }
    }

    /// Whether a state that holds since `since` is worth keeping.
    pub fn wants(&self, since: Timestamp) -> bool {
        self.states
            .back()
            .is_none_or(|(last, _)| since.since(*last) >= self.publishing.report_interval)
    }

    /// Keeps a state that holds since `since`, and drops what no report can show any more.
    pub fn keep(&mut self, now: Timestamp, since: Timestamp, state: EngineReport) {
        self.states.push_back((since, state));
        let shown = self.shown_time(now);
        while self.states.len() > 1 && self.states[1].0 <= shown {
            self.states.pop_front();
        }
        if self.states.len() > MAXIMUM_STATES {
            self.states.pop_front();
        }
    }

    /// The report at `now`. `changed` is when the current state began, `current` makes it.
    /// The sequence is the time shown, in microseconds, so that it grows.
    pub fn report(
        &self,
        now: Timestamp,
        changed: Timestamp,
        current: impl FnOnce() -> EngineReport,
    ) -> EngineReport {
        let shown = self.shown_time(now);
        let mut report = if changed <= shown {
            current()
        } else {
            self.state_at(shown).unwrap_or_else(current)
        };
        report.sequence = shown.as_micros();
        report
    }

    fn state_at(&self, shown: Timestamp) -> Option<EngineReport> {
        let newest = self.states.iter().rev().find(|(since, _)| *since <= shown);
        newest
            .or(self.states.front())
            .map(|(_, state)| state.clone())
    }

    fn shown_time(&self, now: Timestamp) -> Timestamp {
        let lag = u64::try_from(self.publishing.report_lag.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(now.as_micros().saturating_sub(lag))
    }
}
