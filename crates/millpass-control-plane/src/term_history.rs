//! The starts of terms that this member has seen.

use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Number of starts that are kept.
const KEPT_STARTS: usize = 3;

/// Starts of the newest terms as far as this member has seen since its own start.
#[derive(Clone, Debug)]
pub(crate) struct TermHistory {
    term: u64,
    starts: VecDeque<Timestamp>,
}

impl TermHistory {
    /// Starts with the term in the restored log.
    pub(crate) fn new(term: u64) -> Self {
        TermHistory {
            term,
            starts: VecDeque::new(),
        }
    }

    /// Records the current term. Each skipped one may have had a leader that this member did not see.
    pub(crate) fn record(&mut self, now: Timestamp, term: u64) {
        let begun = term.saturating_sub(self.term).min(KEPT_STARTS as u64);
        self.term = self.term.max(term);
        for _ in 0..begun {
            self.starts.push_back(now);
        }
        while self.starts.len() > KEPT_STARTS {
            self.starts.pop_front();
        }
    }

    /// Returns the number of terms that began within this time, up to [`KEPT_STARTS`].
    pub(crate) fn begun_within(&self, now: Timestamp, time: Duration) -> usize {
        let recent = self.starts.iter().filter(|start| now.since(**start) < time);
        recent.count()
    }
}
