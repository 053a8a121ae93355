//! Replaces dead members with processes that request to join, one at a time.
//!
//! A joiner is first added as a learner. Once it has caught up, it is promoted in place of a voter
//! without contact for longer than `member_replacement_delay`. The number of voters never decreases
//! here. It grows up to the target, if one is set; otherwise operators change it through the
//! administration API.

use millpass_consensus::{ConsensusStatus, MemberProgress, MembershipChange};
use millpass_proto::{Duration, MemberAddress, MemberId, Membership, Timestamp};
use std::collections::BTreeMap;

/// Interval between checks of the membership. Replacing a lost disk takes up to three of them: 0.2 s in
/// the median in virtual time, 0.7 s with checks every 500 ms.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a join request after which a joiner is removed.
const JOINER_TIMEOUT: Duration = Duration::from_secs(10);
const MAXIMUM_JOINERS: usize = 16;
/// Maximum number of learners added automatically.
const MAXIMUM_LEARNERS: usize = 3;
/// Entries that a learner may be missing and still count as caught up; joint consensus replicates
/// the rest.
const CAUGHT_UP_ENTRIES: u64 = 64;

#[derive(Clone, Copy, Debug)]
pub(crate) struct RepairSettings {
    /// Time without contact after which a member is replaced.
    pub(crate) replacement_delay: Duration,
    /// Time without contact after which a member counts as unresponsive.
    pub(crate) response_timeout: Duration,
    /// Number of voters up to which learners are promoted.
    pub(crate) target_voters: usize,
}

/// Processes that request to join and are not members yet. A joiner that was added is removed from
/// this list: if it is replaced later, its machine has returned under another identity, and no
/// process responds under this one.
#[derive(Default)]
pub(crate) struct Repair {
    joiners: BTreeMap<MemberId, (MemberAddress, Timestamp)>,
}

impl Repair {
    /// Records a join request. Returns true if it is the first from this process.
    pub(crate) fn record_join(&mut self, now: Timestamp, address: MemberAddress) -> bool {
        self.expire(now);
        let member = address.member;
        let is_new = !self.joiners.contains_key(&member);
        if is_new && self.joiners.len() >= MAXIMUM_JOINERS {
            return false;
        }
        self.joiners.insert(member, (address, now));
        is_new
    }

    /// Returns the next change of the membership, if any.
    pub(crate) fn next_change(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        settings: RepairSettings,
    ) -> Option<MembershipChange> {
        self.expire(now);
        let membership = &status.membership;
        self.joiners
            .retain(|member, _| !membership.contains(*member));
        if !membership.outgoing_voters.is_empty() {
            return None;
        }
        let view = MembershipView { status, settings };
        view.removal()
            .or_else(|| view.promotion())
            .or_else(|| view.growth())
            .or_else(|| self.addition(membership))
    }

    pub(crate) fn has_joiners(&self) -> bool {
        !self.joiners.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.joiners.clear();
    }

    fn expire(&mut self, now: Timestamp) {
        self.joiners
            .retain(|_, (_, last_request)| now.since(*last_request) <= JOINER_TIMEOUT);
    }

    fn addition(&self, membership: &Membership) -> Option<MembershipChange> {
        if membership.learners.len() >= MAXIMUM_LEARNERS {
            return None;
        }
        self.joiners
            .values()
            .map(|(address, _)| address)
            .find(|address| !membership.contains(address.member))
            .map(|address| MembershipChange::AddLearner(address.clone()))
    }
}

struct MembershipView<'a> {
    status: &'a ConsensusStatus,
    settings: RepairSettings,
}

impl MembershipView<'_> {
    fn progress(&self, member: MemberId) -> Option<&MemberProgress> {
        let progress = &self.status.progress;
        progress.iter().find(|progress| progress.member == member)
    }

    fn since_contact(&self, member: MemberId) -> Duration {
        let millis = self
            .progress(member)
            .map_or(0, |found| found.since_contact_millis);
        Duration::from_millis(millis)
    }

    /// Returns the removal of a learner that is unreachable or superseded by another member at its
    /// address.
    fn removal(&self) -> Option<MembershipChange> {
        let learners = &self.status.membership.learners;
        learners
            .iter()
            .find(|learner| {
                let since_contact = self.since_contact(learner.member);
                since_contact > self.settings.replacement_delay
                    || (since_contact > self.settings.response_timeout
                        && self.is_superseded(learner))
            })
            .map(|learner| MembershipChange::Remove(learner.member))
    }

    /// Returns true if another identity at the same address responded more recently: a process has
    /// one identity at a time.
    fn is_superseded(&self, address: &MemberAddress) -> bool {
        let membership = &self.status.membership;
        let since_contact = self.since_contact(address.member);
        membership
            .voters
            .iter()
            .chain(&membership.learners)
            .filter(|other| other.member != address.member)
            .filter(|other| other.peer_address == address.peer_address)
            .any(|other| {
                self.has_responded(other.member) && self.since_contact(other.member) < since_contact
            })
    }

    /// Returns true if a member has ever confirmed an entry to this leader, or is the leader
    /// itself.
    fn has_responded(&self, member: MemberId) -> bool {
        self.progress(member)
            .is_none_or(|progress| progress.match_index > 0)
    }

    /// Returns the promotion of a caught-up learner in place of a dead voter. Prefers the voter
    /// with the learner's address, then one in its zone, then the one without contact for longest.
    fn promotion(&self) -> Option<MembershipChange> {
        let dead = self.dead_voters();
        self.status
            .membership
            .learners
            .iter()
            .filter(|learner| self.is_caught_up(learner.member))
            .filter_map(|learner| {
                let best = dead.iter().max_by_key(|voter| {
                    let same_address = voter.peer_address == learner.peer_address;
                    let same_zone = voter.zone == learner.zone;
                    (same_address, same_zone, self.since_contact(voter.member))
                })?;
                let preference = (
                    best.peer_address == learner.peer_address,
                    best.zone == learner.zone,
                );
                Some((preference, learner.member, best.member))
            })
            .max_by_key(|(preference, _, _)| *preference)
            .map(|(_, learner, voter)| MembershipChange::Promote {
                learner,
                replaces: Some(voter),
            })
    }

    /// Returns the promotion of a caught-up learner to an additional voter, preferably from a zone
    /// without one.
    fn growth(&self) -> Option<MembershipChange> {
        let membership = &self.status.membership;
        if membership.voters.len() >= self.settings.target_voters {
            return None;
        }
        let has_voter = |zone| membership.voters.iter().any(|voter| voter.zone == zone);
        membership
            .learners
            .iter()
            .filter(|learner| self.is_caught_up(learner.member))
            .min_by_key(|learner| has_voter(learner.zone.clone()))
            .map(|learner| MembershipChange::Promote {
                learner: learner.member,
                replaces: None,
            })
    }

    fn dead_voters(&self) -> Vec<&MemberAddress> {
        self.status
            .membership
            .voters
            .iter()
            .filter(|voter| {
                // Only an identity that has responded can supersede another one at its address.
                self.since_contact(voter.member) > self.settings.replacement_delay
                    || self.is_superseded(voter)
            })
            .collect()
    }

    fn is_caught_up(&self, learner: MemberId) -> bool {
        self.has_responded(learner)
            && self.since_contact(learner) < self.settings.response_timeout
            && self.progress(learner).is_some_and(|progress| {
                progress.match_index + CAUGHT_UP_ENTRIES >= self.status.last
            })
    }
}
