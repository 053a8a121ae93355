//! Leadership transfer to another voter.

use crate::persistence::Requirement;
use crate::quorum::contains;
use crate::{Consensus, RoleState};
use millpass_proto::{MemberId, PeerMessage, Timestamp};

/// An ongoing leadership transfer. Proposals are rejected until it ends.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    target: MemberId,
    deadline: Timestamp,
    offered: bool,
}

impl Consensus {
    /// Starts a transfer: the target first receives the entries it is missing.
    pub(crate) fn transfer_leadership(&mut self, target: MemberId) {
        let is_valid_target =
            target != self.settings.member && contains(&self.log.membership().voters, target);
        let deadline = self.now + self.settings.election_timeout;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if !is_valid_target || leader.transfer.is_some() {
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

    /// Sends `TimeoutNow` to the target once it has the whole log. The lease is then forfeited for
    /// the rest of the term, because the message may be delivered at any later time.
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

    /// Aborts a transfer after its deadline. Once `TimeoutNow` was sent, this member cannot hold
    /// the lease again in this term and steps down.
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
