//! Leader lease and the follower promise it is based on.
//!
//! Promise: after a message from a leader, a member refuses votes for the minimum election timeout
//! by its own clock, whatever the candidate's term. The promise is kept in memory only, so a member
//! also refuses votes for that long after its start.
//!
//! Lease: the leader counts each member's promise from the time it *sent* the acknowledged request,
//! by its own clock, and for the shorter lease length. While a quorum's promises hold, no other
//! member can be elected. The settings must allow for clock drift:
//! `lease_length / (1 - drift) < election_timeout / (1 + drift)`.

use crate::leader::LeaderState;
use crate::quorum::quorum_value;
use crate::{Consensus, RoleState};
use millpass_proto::Timestamp;

impl Consensus {
    /// Returns whether this member leads and a quorum has acknowledged it recently enough that no
    /// other leader can exist now, by this member's own clock.
    ///
    /// Under the lease, every entry acknowledged by an earlier leader was emitted here for applying,
    /// because an entry of the current term was. A read of the applied state is then linearizable.
    /// Once a leadership transfer was offered, this returns false for the rest of the term.
    pub fn holds_lease(&self, now: Timestamp) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        if leader.lease_forfeited || self.emitted < leader.first_index_in_term {
            return false;
        }
        let Some(contact) = self.quorum_contact(now) else {
            return false;
        };
        now < contact + self.settings.lease_length
    }

    /// Returns the latest time such that a quorum has acknowledged requests sent at or after it.
    pub(crate) fn quorum_contact(&self, now: Timestamp) -> Option<Timestamp> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        let own = self.settings.member;
        let contact = |member| {
            if member == own {
                return Some(now);
            }
            leader
                .members
                .get(&member)
                .and_then(|progress| progress.acknowledged_sent_at)
        };
        quorum_value(self.log.membership(), contact).flatten()
    }

    /// The same in running time; decides whether the leader steps down.
    fn quorum_contact_running(&self, leader: &LeaderState) -> Option<Timestamp> {
        let own = self.settings.member;
        let contact = |member| {
            if member == own {
                return Some(self.running.now());
            }
            let progress = leader.members.get(&member)?;
            progress.acknowledged_sent_running
        };
        quorum_value(self.log.membership(), contact).flatten()
    }

    /// Returns whether this member must refuse votes and pre-votes, because of its promise or
    /// because it leads with a quorum.
    pub(crate) fn must_refuse_votes(&self) -> bool {
        let promise = self.settings.election_timeout;
        if self.now < self.started_at + promise {
            return true;
        }
        if let RoleState::Leader(_) = self.role {
            return !self.lost_quorum();
        }
        let has_recent_contact = self
            .leader_contact_at
            .is_some_and(|contact| self.now < contact + promise);
        // The promise has expired, but messages of the leader may still be unread after a pause.
        let may_have_unread_messages = self
            .leader_contact_running
            .is_some_and(|contact| self.running.now() < contact + promise);
        has_recent_contact || may_have_unread_messages
    }

    /// Returns whether a leader must step down: it has lost its quorum and its grace period for
    /// late responses is over.
    pub(crate) fn should_step_down(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        self.lost_quorum() && self.running.now() >= leader.grace_period_end
    }

    /// Returns whether a leader has had no contact with a quorum for an election timeout of running time.
    pub(crate) fn lost_quorum(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        let contact = self.quorum_contact_running(leader);
        let latest = contact.map_or(leader.elected_at, |contact| contact.max(leader.elected_at));
        self.running.now() >= latest + self.settings.election_timeout
    }

    /// Resets the election backoff once a quorum has acknowledged this leader in time.
    pub(crate) fn record_quorum_contact(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let is_acknowledged = self.quorum_contact_running(leader) >= Some(leader.elected_at);
        if is_acknowledged && !self.lost_quorum() {
            self.backoff.reset();
        }
    }
}
