//! How long a member waits for a leader, or for the votes it asked for.
//!
//! Answers may come later than the election timeout, when a voter that is needed has little processor. A
//! candidate that stood again after the same time would give each candidacy up before its votes are
//! counted, and void those of others. So each candidacy without a result doubles the next wait, up to a
//! bound, until a leader is heard or a quorum has answered this member as the leader.

use millpass_proto::Duration;

/// Most doublings: with 8 timeouts, answers that take 8 timeouts still elect. A member slower than that
/// is of no use as a voter, and once it recovers the group waits 16 timeouts at most.
const MAXIMUM_DOUBLINGS: u32 = 3;

/// Candidacies of this member in a row that made nobody the leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// A candidacy ended and no leader is known.
    pub(crate) fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Members were asked whether they would vote, and not enough would. That raises no term and voids nobody, so it
    /// counts once however often: a group that was split for 15 s would else wait up to 3 s for its leader after
    /// it is joined (0.6 s at most before there was a back-off).
    pub(crate) fn asked_in_vain(&mut self) {
        self.failures = self.failures.max(1);
    }

    /// A leader is in contact.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// The shortest wait; the real one is drawn between this and twice this.
    pub(crate) fn shortest_wait(&self, election_timeout: Duration) -> Duration {
        election_timeout * (1 << self.failures.min(MAXIMUM_DOUBLINGS))
    }
}
