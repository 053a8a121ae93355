//! The leader lease, and the promise of followers it rests on.
//!
//! Promise: a member that heard from a leader refuses votes for the shortest election timeout
//! after that, by its own clock, whatever the candidate's term. It is kept in memory only, so a
//! member also refuses for that long after its start.
//!
//! Lease: a leader counts each member's promise from the time it *sent* the request that the
//! member answered, by its own clock, and for the shorter lease length. As long as a quorum's
//! promises stand, no other member can be elected. The settings leave room for drift:
//! `lease_length / (1 - drift) < election_timeout / (1 + drift)`.

use crate::leader::LeaderState;
use crate::quorum::quorum_value;
use crate::{Consensus, RoleState};
use millpass_proto::Timestamp;

impl Consensus {
    /// Whether this member leads and a quorum has acknowledged it recently enough that no other
    /// leader can exist now, by this member's own clock.
    ///
    /// It also holds that every entry acknowledged by any earlier leader was handed out for
    /// applying here (an entry of the own term was), so a read of the applied state under the
    /// lease is linearizable. Never true again in a term in which leadership was offered away.
    pub fn holds_lease(&self, now: Timestamp) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        if leader.lease_forfeited || self.emitted < leader.first_own_index {
            return false;
        }
        let Some(contact) = self.quorum_contact(now) else {
            return false;
        };
        now < contact + self.settings.lease_length
    }

    /// Latest time such that a quorum answered requests sent at it or later.
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

    /// The same in running time, for the question whether to go on leading.
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

    /// Whether this member must refuse (pre-)votes: it may have promised to, or it leads with a
    /// quorum behind it.
    pub(crate) fn must_refuse_votes(&self) -> bool {
        let promise = self.settings.election_timeout;
        if self.now < self.started_at + promise {
            return true;
        }
        if let RoleState::Leader(_) = self.role {
            return !self.lost_quorum();
        }
        let heard_lately = self
            .leader_heard_at
            .is_some_and(|heard| self.now < heard + promise);
        // The promise is over, but this member has not run for long enough to know the leader is silent.
        let may_lie_unread = self
            .leader_heard_running
            .is_some_and(|heard| self.running.now() < heard + promise);
        heard_lately || may_lie_unread
    }

    /// Whether a leader gives up: it has lost its quorum, and answers may no longer be late as after a slow
    /// election.
    pub(crate) fn gives_up_leading(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        self.lost_quorum() && self.running.now() >= leader.lateness_allowed_until
    }

    /// Whether a leader has had no contact with a quorum for the shortest election timeout, in which it
    /// ran itself.
    pub(crate) fn lost_quorum(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        let contact = self.quorum_contact_running(leader);
        let latest = contact.map_or(leader.elected_at, |contact| contact.max(leader.elected_at));
        self.running.now() >= latest + self.settings.election_timeout
    }

    /// Ends the longer waits once a quorum has answered this leader, and in time.
    pub(crate) fn note_contact(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let has_answered = self.quorum_contact_running(leader) >= Some(leader.elected_at);
        if has_answered && !self.lost_quorum() {
            self.backoff.succeeded();
        }
    }
}
