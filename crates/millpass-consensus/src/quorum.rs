//! Majorities over a membership. During joint consensus both sets need one.

use millpass_proto::{MemberAddress, MemberId, Membership};

/// The largest value that a majority of each voter set reaches, or `None` without voters.
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

/// Whether a majority of each voter set agrees.
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

/// Whether a member votes, in the newer or the older set.
pub(crate) fn is_voter(membership: &Membership, member: MemberId) -> bool {
    contains(&membership.voters, member) || contains(&membership.outgoing_voters, member)
}

/// Whether a member is a voter or learner.
pub(crate) fn is_member(membership: &Membership, member: MemberId) -> bool {
    is_voter(membership, member) || contains(&membership.learners, member)
}

/// Whether a list holds a member.
pub(crate) fn contains(list: &[MemberAddress], member: MemberId) -> bool {
    list.iter().any(|address| address.member == member)
}

/// All members but one, each once, in order of identity.
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
