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
        self.leader_heard_at
            .is_some_and(|heard| self.now < heard + promise)
    }

    /// Whether a leader has had no contact with a quorum for the shortest election timeout.
    pub(crate) fn lost_quorum(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        let contact = self.quorum_contact(self.now);
        let latest = contact.map_or(leader.elected_at, |contact| contact.max(leader.elected_at));
        self.now >= latest + self.settings.election_timeout
    }
}
