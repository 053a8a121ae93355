//! Membership changes: the resulting memberships and the conditions for rejection.

use crate::interface::{ConsensusOutput, MembershipChange, ProposalRejection};
use crate::quorum::{contains, is_member};
use crate::{Consensus, RoleState};
use millpass_proto::{EntryPayload, MemberAddress, MemberId, Membership};

/// Maximum number of entries that a caught-up learner may lag behind the leader's log.
const CAUGHT_UP_ENTRIES: u64 = 64;

impl Consensus {
    pub(crate) fn change_membership(&mut self, ticket: u64, change: &MembershipChange) {
        match self.plan_change(change) {
            Err(reason) => self.reject(ticket, reason),
            Ok(next) => {
                let position = self.append_entry(EntryPayload::Membership(next));
                self.outputs
                    .push(ConsensusOutput::Appended { ticket, position });
                self.replicate_to_all();
            }
        }
    }

    fn plan_change(&self, change: &MembershipChange) -> Result<Membership, ProposalRejection> {
        if let Some(reason) = self.proposal_obstacle() {
            return Err(reason);
        }
        let RoleState::Leader(leader) = &self.role else {
            return Err(ProposalRejection::NotLeader {
                leader: self.leader,
            });
        };
        if self.commit < leader.first_index_in_term {
            return Err(rejection(
                "the leader has not committed an entry of its term yet",
            ));
        }
        let current = self.log.membership();
        let settled = self.log.membership_index() <= self.commit;
        if !settled || !current.outgoing_voters.is_empty() {
            return Err(rejection("another change is under way"));
        }
        if let MembershipChange::Promote { learner, .. } = change {
            self.check_caught_up(*learner)?;
        }
        next_membership(current, change)
    }

    fn check_caught_up(&self, learner: MemberId) -> Result<(), ProposalRejection> {
        let RoleState::Leader(leader) = &self.role else {
            return Ok(());
        };
        let Some(progress) = leader.members.get(&learner) else {
            return Err(rejection("the learner is not a member"));
        };
        let since_contact = self.now.since(progress.last_contact_at);
        if since_contact >= self.settings.election_timeout {
            return Err(rejection("the learner does not answer"));
        }
        if progress.match_index + CAUGHT_UP_ENTRIES < self.log.last().index
            || progress.match_index == 0
        {
            return Err(rejection("the learner has not caught up"));
        }
        Ok(())
    }
}

fn rejection(reason: &str) -> ProposalRejection {
    ProposalRejection::MembershipRefused(reason.to_owned())
}

/// Returns the membership to append for a change. A change of voters starts as a joint membership.
fn next_membership(
    current: &Membership,
    change: &MembershipChange,
) -> Result<Membership, ProposalRejection> {
    match change {
        MembershipChange::AddLearner(address) => with_learner(current, address),
        MembershipChange::Promote { learner, replaces } => {
            with_promotion(current, *learner, *replaces)
        }
        MembershipChange::Remove(member) => without_member(current, *member),
    }
}

fn with_learner(
    current: &Membership,
    address: &MemberAddress,
) -> Result<Membership, ProposalRejection> {
    if is_member(current, address.member) {
        return Err(rejection("the member to add is already in the group"));
    }
    let mut next = current.clone();
    next.learners.push(address.clone());
    Ok(next)
}

fn with_promotion(
    current: &Membership,
    learner: MemberId,
    replaces: Option<MemberId>,
) -> Result<Membership, ProposalRejection> {
    let Some(address) = find(&current.learners, learner) else {
        return Err(rejection("the member to promote is not a learner"));
    };
    if let Some(replaced) = replaces
        && !contains(&current.voters, replaced)
    {
        return Err(rejection("the member to replace is not a voter"));
    }
    let mut next = joint(current);
    next.voters.push(address.clone());
    next.voters.retain(|voter| Some(voter.member) != replaces);
    next.learners.retain(|address| address.member != learner);
    Ok(next)
}

fn without_member(current: &Membership, member: MemberId) -> Result<Membership, ProposalRejection> {
    if contains(&current.learners, member) {
        let mut next = current.clone();
        next.learners.retain(|address| address.member != member);
        return Ok(next);
    }
    if !contains(&current.voters, member) {
        return Err(rejection("the member to remove is not in the group"));
    }
    if current.voters.len() == 1 {
        return Err(rejection("the last voter cannot be removed"));
    }
    let mut next = joint(current);
    next.voters.retain(|voter| voter.member != member);
    Ok(next)
}

fn joint(current: &Membership) -> Membership {
    Membership {
        outgoing_voters: current.voters.clone(),
        ..current.clone()
    }
}

fn find(list: &[MemberAddress], member: MemberId) -> Option<&MemberAddress> {
    list.iter().find(|address| address.member == member)
}

/// Returns the membership that completes a joint one, or `None` if `current` is not joint.
pub(crate) fn after_joint(current: &Membership) -> Option<Membership> {
    if current.outgoing_voters.is_empty() {
        return None;
    }
    Some(Membership {
        outgoing_voters: Vec::new(),
        ..current.clone()
    })
}
