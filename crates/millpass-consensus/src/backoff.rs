//! Exponential backoff of election timeouts.
//!
//! Responses of an overloaded voter may take longer than the election timeout. A candidate that
//! retried at a fixed interval would abandon each candidacy before its votes arrive and disrupt
//! those of others. Each failed candidacy therefore doubles the next wait, up to a limit, until a
//! leader is in contact or a quorum acknowledges this leader.

use millpass_proto::Duration;

/// Responses that take up to 8 election timeouts can still elect a leader; the longest wait is 16 timeouts.
const MAXIMUM_DOUBLINGS: u32 = 3;

/// Consecutive candidacies of this member that elected no leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(crate) fn candidacy_failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Counts repeated pre-vote failures once: they raise no term and disrupt no other candidacy,
    /// and a longer wait would delay the election after a partition heals.
    pub(crate) fn pre_vote_failed(&mut self) {
        self.failures = self.failures.max(1);
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the minimum wait; the actual one is drawn between this and twice this.
    pub(crate) fn minimum_wait(&self, election_timeout: Duration) -> Duration {
        election_timeout * (1 << self.failures.min(MAXIMUM_DOUBLINGS))
    }
}
