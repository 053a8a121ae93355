//! Time for which units that were granted ahead of requests may be used.

use millpass_proto::{Duration, Timestamp};

/// How long units may be used after the message that stated them as held, or requested them ahead
/// of requests. Longer than an election, so that reserves cover a change of leader.
pub(crate) const STATED_LIFETIME: Duration = Duration::from_secs(2);
/// Interval at which unanswered statements are repeated.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which granted units may be used. The leader counts them as held at least as long, since
/// it counts from the arrival of the message and the gateway from its departure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitLease {
    /// Term of the leader that granted the units; 0 if none did.
    pub(crate) term: u64,
    /// Number of the last request to the leader before the units were obtained.
    since: u64,
    valid_until: Timestamp,
    /// When to state the units to the leader as held.
    state_at: Timestamp,
}

impl UnitLease {
    pub(crate) fn new(now: Timestamp, term: u64, since: u64, valid_until: Timestamp) -> Self {
        UnitLease {
            term,
            since,
            valid_until,
            state_at: statement_time(now, valid_until),
        }
    }

    pub(crate) fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Returns true if units of a leader's term are counted in its next statement.
    pub(crate) fn is_stated(&self, now: Timestamp, term: u64) -> bool {
        self.term == term && term != 0 && self.is_valid(now)
    }

    /// Returns when the units must be stated as held.
    pub(crate) fn state_at(&self) -> Timestamp {
        self.state_at
    }

    /// Records that a message states the units as held.
    pub(crate) fn record_statement(&mut self, now: Timestamp) {
        self.state_at = self.state_at.max(now + STATEMENT_INTERVAL);
    }

    /// Extends the lease if the answered request stated the units.
    pub(crate) fn extend(&mut self, now: Timestamp, term: u64, answered: &AnsweredRequest) {
        if self.is_stated(now, term) && self.since < answered.sequence {
            self.valid_until = self.valid_until.max(answered.sent_at + STATED_LIFETIME);
            self.state_at = statement_time(now, self.valid_until);
        }
    }
}

/// A request to the leader that was answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredRequest {
    pub(crate) sequence: u64,
    pub(crate) sent_at: Timestamp,
}

/// Returns when units of a lease are stated: late, as most are used or returned before.
fn statement_time(now: Timestamp, end: Timestamp) -> Timestamp {
    now + end.since(now) * 3 / 4
}
