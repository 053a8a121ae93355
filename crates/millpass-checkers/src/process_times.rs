//! Times at which processes were killed, stopped or frozen, for checkers that exempt them.

use crate::{Event, History, ProcessName};
use std::collections::BTreeMap;

/// A time interval in microseconds, including its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start.
    pub from: u64,
    /// End; `u64::MAX` while it is open.
    pub to: u64,
}

impl Span {
    /// Whether it overlaps the interval from `from` to `to`, both inclusive.
    pub fn overlaps(&self, from: u64, to: u64) -> bool {
        self.from <= to && from <= self.to
    }
}

/// Kill, stop and freeze times by process.
#[derive(Debug, Default)]
pub struct ProcessTimes {
    killed: BTreeMap<ProcessName, Vec<u64>>,
    stop_planned: BTreeMap<ProcessName, Vec<u64>>,
    frozen: BTreeMap<ProcessName, Vec<Span>>,
}

impl ProcessTimes {
    /// Collects the times from a history.
    pub fn of(history: &History) -> Self {
        let mut times = ProcessTimes::default();
        for record in history.records() {
            times.record(record.at_micros, &record.event);
        }
        times
    }

    fn record(&mut self, at: u64, event: &Event) {
        match event {
            Event::Killed { process } => {
                self.killed.entry(process.clone()).or_default().push(at);
                self.end_freeze(process, at);
            }
            Event::StopPlanned { process } => self
                .stop_planned
                .entry(process.clone())
                .or_default()
                .push(at),
            Event::Frozen { process } => {
                self.frozen.entry(process.clone()).or_default().push(Span {
                    from: at,
                    to: u64::MAX,
                })
            }
            Event::Woken { process } => self.end_freeze(process, at),
            _ => {}
        }
    }

    fn end_freeze(&mut self, process: &ProcessName, at: u64) {
        let open = self
            .frozen
            .get_mut(process)
            .and_then(|spans| spans.last_mut().filter(|span| span.to == u64::MAX));
        if let Some(span) = open {
            span.to = at;
        }
    }

    /// Whether the process was killed between the two times, both inclusive.
    pub fn killed_between(&self, process: &ProcessName, from: u64, to: u64) -> bool {
        let inside = |at: &u64| (from..=to).contains(at);
        self.killed
            .get(process)
            .is_some_and(|times| times.iter().any(inside))
    }

    /// Returns the latest time up to `to` at which a planned stop began.
    pub fn stop_planned_before(&self, process: &ProcessName, to: u64) -> Option<u64> {
        let times = self.stop_planned.get(process)?;
        times.iter().copied().filter(|at| *at <= to).max()
    }

    /// Returns the end of the last freeze that overlaps the interval. Freezes that begin within
    /// `grace` of the end of the previous one count as one, since the process may have made no
    /// progress between them.
    pub fn woken_after(
        &self,
        process: &ProcessName,
        from: u64,
        to: u64,
        grace: u64,
    ) -> Option<u64> {
        let spans = self.frozen.get(process)?;
        let mut end = to;
        let mut woken = None;
        for span in spans.iter().filter(|span| span.to >= from) {
            if span.from > end {
                break;
            }
            woken = Some(span.to);
            end = end.max(span.to.saturating_add(grace));
        }
        woken
    }
}
