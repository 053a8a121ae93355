//! Quorums of a membership. During joint consensus both voter sets need a majority.

use millpass_proto::{MemberAddress, MemberId, Membership};

/// Returns the largest value reached by a majority of each voter set, or `None` without voters.
pub(crate) fn quorum_value<T: Ord + Copy>(
    membership: &Membership,
    value: impl Fn(MemberId) -> T,
) -> Option<T> {
    let newer = majority_value(&membership.voters, &value)?;
    if membership.outgoing_voters.is_empty() {
        return Some(newer);
    }
    let older = majority_value(&membership.outgoing_voters, &value)?;
    Some(newer.min(older))
}

/// Returns whether a majority of each voter set agrees.
pub(crate) fn has_quorum(membership: &Membership, agrees: impl Fn(MemberId) -> bool) -> bool {
    quorum_value(membership, agrees).unwrap_or(false)
}

fn majority_value<T: Ord + Copy>(
    voters: &[MemberAddress],
    value: &impl Fn(MemberId) -> T,
) -> Option<T> {
    let mut values: Vec<T> = voters.iter().map(|voter| value(voter.member)).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(values.len() / 2).copied()
}

/// Returns whether a member is in the current or the outgoing voter set.
pub(crate) fn is_voter(membership: &Membership, member: MemberId) -> bool {
    contains(&membership.voters, member) || contains(&membership.outgoing_voters, member)
}

/// Returns whether a member is a voter or a learner.
pub(crate) fn is_member(membership: &Membership, member: MemberId) -> bool {
    is_voter(membership, member) || contains(&membership.learners, member)
}

pub(crate) fn contains(list: &[MemberAddress], member: MemberId) -> bool {
    list.iter().any(|address| address.member == member)
}

/// Returns all members but `excluded`, without duplicates, sorted by id.
pub(crate) fn members_except(membership: &Membership, excluded: MemberId) -> Vec<MemberId> {
    let mut members: Vec<MemberId> = membership
        .voters
        .iter()
        .chain(&membership.outgoing_voters)
        .chain(&membership.learners)
        .map(|address| address.member)
        .filter(|member| *member != excluded)
        .collect();
    members.sort_unstable();
    members.dedup();
    members
}
