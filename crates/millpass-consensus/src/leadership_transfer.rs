//! Handing leadership to another voter.

use crate::persistence::Requirement;
use crate::quorum::contains;
use crate::{Consensus, RoleState};
use millpass_proto::{MemberId, PeerMessage, Timestamp};

/// A handover under way. Proposals are refused meanwhile.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    target: MemberId,
    deadline: Timestamp,
    offered: bool,
}

impl Consensus {
    /// Starts a handover: the target first receives what it lacks.
    pub(crate) fn transfer_leadership(&mut self, target: MemberId) {
        let fits =
            target != self.settings.member && contains(&self.log.membership().voters, target);
        let deadline = self.now + self.settings.election_timeout;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if !fits || leader.transfer.is_some() {
            return;
        }
        leader.transfer = Some(Transfer {
            target,
            deadline,
            offered: false,
        });
        self.replicate_to(target);
        self.offer_leadership_if_caught_up(target);
    }

    /// Tells the target to stand, once it has the whole log. From then on this member gives up
    /// the lease for the rest of its term: the offer may arrive at any later time.
    pub(crate) fn offer_leadership_if_caught_up(&mut self, member: MemberId) {
        let last = self.log.last().index;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let progress = leader.members.get(&member);
        let caught_up = progress.is_some_and(|progress| progress.match_index == last);
        if transfer.target != member || transfer.offered || !caught_up {
            return;
        }
        transfer.offered = true;
        leader.lease_forfeited = true;
        self.send(member, Requirement::Nothing, PeerMessage::TimeoutNow);
    }

    /// Ends a handover that takes too long: before the offer, leadership goes on; after it, this
    /// member could never hold the lease again and steps down.
    pub(crate) fn tick_transfer(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &leader.transfer else {
            return;
        };
        if self.now < transfer.deadline {
            return;
        }
        if transfer.offered {
            self.become_follower(self.hard_state.term, None);
        } else {
            leader.transfer = None;
        }
    }
}
