//! The lease on catalog and routes.
//!
//! A lease counts from when the report that it answers was sent, by this router's own clock, so
//! that it ends here no later than the leader believes. Only an update that answers a report of
//! this run, from a leader of the highest term seen, is used.

use millpass_proto::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Most reports remembered as sent and not answered.
const MAXIMUM_OUTSTANDING: usize = 128;

/// The lease.
#[derive(Debug)]
pub(crate) struct Lease {
    term: u64,
    next_sequence: u64,
    sent: BTreeMap<u64, Timestamp>,
    end: Timestamp,
    held: bool,
}

impl Lease {
    /// No lease.
    pub fn new() -> Self {
        Lease {
            term: 0,
            next_sequence: 1,
            sent: BTreeMap::new(),
            end: Timestamp::ZERO,
            held: false,
        }
    }

    /// Draws the number of a report sent now.
    pub fn report_sent(&mut self, now: Timestamp) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sent.insert(sequence, now);
        while self.sent.len() > MAXIMUM_OUTSTANDING {
            self.sent.pop_first();
        }
        sequence
    }

    /// Whether an update may be used: its term is not below the highest seen and it answers a
    /// report of this run. Returns when that report was sent.
    pub fn accept(&mut self, term: u64, sequence: u64) -> Option<Timestamp> {
        if term < self.term {
            return None;
        }
        let sent = self.sent.get(&sequence).copied()?;
        self.term = term;
        // Answers to older reports carry nothing that this one lacks.
        self.sent.retain(|outstanding, _| *outstanding > sequence);
        Some(sent)
    }

    /// Highest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Extends the lease; a lease never gets shorter. True if there was none before.
    pub fn extend(&mut self, sent: Timestamp, length: Duration, now: Timestamp) -> bool {
        self.end = self.end.max(sent + length);
        let gained = !self.held && now < self.end;
        self.held = self.held || gained;
        gained
    }

    /// Notices the end of the lease. True once, at the first step after the end.
    pub fn lapse(&mut self, now: Timestamp) -> bool {
        let lapsed = self.held && now >= self.end;
        if lapsed {
            self.held = false;
        }
        lapsed
    }

    /// Whether catalog and routes may be used now.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.held && now < self.end
    }

    /// When the lease ends.
    pub fn end(&self) -> Timestamp {
        self.end
    }
}
