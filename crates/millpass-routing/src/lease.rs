//! Lease on catalog and routes.
//!
//! The lease counts from the time at which the acknowledged report was sent, on this router's
//! clock, so that it never expires later here than at the leader. Updates are accepted only if they
//! respond to a report of this incarnation and come from the highest term seen.

use millpass_proto::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of reports awaiting a response.
const MAXIMUM_OUTSTANDING: usize = 128;

#[derive(Debug)]
pub(crate) struct Lease {
    term: u64,
    next_sequence: u64,
    sent: BTreeMap<u64, Timestamp>,
    expires_at: Timestamp,
    is_held: bool,
}

impl Lease {
    pub fn new() -> Self {
        Lease {
            term: 0,
            next_sequence: 1,
            sent: BTreeMap::new(),
            expires_at: Timestamp::ZERO,
            is_held: false,
        }
    }

    /// Allocates the sequence number of a report that is sent now.
    pub fn record_report_sent(&mut self, now: Timestamp) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sent.insert(sequence, now);
        while self.sent.len() > MAXIMUM_OUTSTANDING {
            self.sent.pop_first();
        }
        sequence
    }

    /// Accepts an update if its term is not below the highest seen and it responds to an
    /// outstanding report of this incarnation. Returns when that report was sent.
    pub fn accept(&mut self, term: u64, sequence: u64) -> Option<Timestamp> {
        if term < self.term {
            return None;
        }
        let sent = self.sent.get(&sequence).copied()?;
        self.term = term;
        // Responses to older reports contain nothing newer.
        self.sent.retain(|outstanding, _| *outstanding > sequence);
        Some(sent)
    }

    /// Highest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Extends the lease; it is never shortened. Returns true if there was no valid lease before.
    pub fn extend(&mut self, sent: Timestamp, length: Duration, now: Timestamp) -> bool {
        self.expires_at = self.expires_at.max(sent + length);
        let gained = !self.is_held && now < self.expires_at;
        self.is_held = self.is_held || gained;
        gained
    }

    /// Returns true once, in the first step after the lease expired.
    pub fn check_expiry(&mut self, now: Timestamp) -> bool {
        let expired = self.is_held && now >= self.expires_at;
        if expired {
            self.is_held = false;
        }
        expired
    }

    /// Returns true if catalog and routes may be used.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.is_held && now < self.expires_at
    }

    /// When the lease expires.
    pub fn expires_at(&self) -> Timestamp {
        self.expires_at
    }
}
