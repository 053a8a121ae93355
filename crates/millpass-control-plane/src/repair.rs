//! Replaces dead members by processes that ask to join, one at a time.
//!
//! A joiner first becomes a learner. Once it has caught up it is promoted in place of a voter
//! that has been silent for longer than `member_replacement_delay`. The number of voters never
//! shrinks here. It grows up to a wanted number, where one is set; else an operator changes it
//! through the administration API.

use millpass_consensus::{ConsensusStatus, MemberProgress, MembershipChange};
use millpass_proto::{Duration, MemberAddress, MemberId, Membership, Timestamp};
use std::collections::BTreeMap;

/// Time between two looks at the membership. Making good a lost disk takes up to three looks: in virtual time 0.2 s in
/// the median, 0.7 s with looks every 500 ms.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a joiner that asks no more is forgotten.
const JOINER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most joiners remembered.
const MAXIMUM_JOINERS: usize = 16;
/// Most learners that the group takes on by itself.
const MAXIMUM_LEARNERS: usize = 3;
/// Entries that a learner may lack and still count as caught up: joint consensus brings the rest.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// When members count as lost, and how many voters there shall be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepairSettings {
    /// Silence after which a member is replaced.
    pub(crate) replacement_delay: Duration,
    /// Silence after which a member does not count as answering.
    pub(crate) answer_timeout: Duration,
    /// Voters up to which learners are promoted.
    pub(crate) target_voters: usize,
}

/// Processes that ask to join and are in no membership. One that was taken on is forgotten: when it is replaced later,
/// its machine has come back under another identity, and nobody answers under this one.
#[derive(Default)]
pub(crate) struct Repair {
    joiners: BTreeMap<MemberId, (MemberAddress, Timestamp)>,
}

impl Repair {
    /// Takes a request to join. True when it is the first of this process.
    pub(crate) fn joining(&mut self, now: Timestamp, address: MemberAddress) -> bool {
        self.expire(now);
        let member = address.member;
        let new = !self.joiners.contains_key(&member);
        if new && self.joiners.len() >= MAXIMUM_JOINERS {
            return false;
        }
        self.joiners.insert(member, (address, now));
        new
    }

    /// The one change to make now, if any.
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
        let view = View { status, settings };
        view.useless_learner()
            .or_else(|| view.promotion())
            .or_else(|| view.growth())
            .or_else(|| self.addition(membership))
    }

    /// Whether a process asks to join.
    pub(crate) fn has_joiners(&self) -> bool {
        !self.joiners.is_empty()
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.joiners.clear();
    }

    fn expire(&mut self, now: Timestamp) {
        self.joiners
            .retain(|_, (_, asked)| now.since(*asked) <= JOINER_TIMEOUT);
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

struct View<'a> {
    status: &'a ConsensusStatus,
    settings: RepairSettings,
}

impl View<'_> {
    fn progress(&self, member: MemberId) -> Option<&MemberProgress> {
        let progress = &self.status.progress;
        progress.iter().find(|progress| progress.member == member)
    }

    fn silent(&self, member: MemberId) -> Duration {
        let millis = self.progress(member).map_or(0, |found| found.silent_millis);
        Duration::from_millis(millis)
    }

    /// A learner that is silent for long, or at whose address another member answers.
    fn useless_learner(&self) -> Option<MembershipChange> {
        let learners = &self.status.membership.learners;
        learners
            .iter()
            .find(|learner| {
                let silent = self.silent(learner.member);
                silent > self.settings.replacement_delay
                    || (silent > self.settings.answer_timeout && self.is_supplanted(learner))
            })
            .map(|learner| MembershipChange::Remove(learner.member))
    }

    /// Whether another identity at the same address was heard after this one: a process has one identity at a time.
    fn is_supplanted(&self, address: &MemberAddress) -> bool {
        let membership = &self.status.membership;
        let silent = self.silent(address.member);
        membership
            .voters
            .iter()
            .chain(&membership.learners)
            .filter(|other| other.member != address.member)
            .filter(|other| other.peer_address == address.peer_address)
            .any(|other| self.has_answered(other.member) && self.silent(other.member) < silent)
    }

    /// Whether a member has ever confirmed an entry to this leader; the leader itself need not.
    fn has_answered(&self, member: MemberId) -> bool {
        self.progress(member)
            .is_none_or(|progress| progress.match_index > 0)
    }

    /// A caught-up learner in place of a dead voter: the voter that listened on the learner's
    /// address first, then one of the same zone, then the one silent longest.
    fn promotion(&self) -> Option<MembershipChange> {
        let dead = self.dead_voters();
        self.status
            .membership
            .learners
            .iter()
            .filter(|learner| self.caught_up(learner.member))
            .filter_map(|learner| {
                let best = dead.iter().max_by_key(|voter| {
                    let same_address = voter.peer_address == learner.peer_address;
                    let same_zone = voter.zone == learner.zone;
                    (same_address, same_zone, self.silent(voter.member))
                })?;
                let fit = (
                    best.peer_address == learner.peer_address,
                    best.zone == learner.zone,
                );
                Some((fit, learner.member, best.member))
            })
            .max_by_key(|(fit, _, _)| *fit)
            .map(|(_, learner, voter)| MembershipChange::Promote {
                learner,
                replaces: Some(voter),
            })
    }

    /// A caught-up learner as one more voter, one of a zone without a voter first.
    fn growth(&self) -> Option<MembershipChange> {
        let membership = &self.status.membership;
        if membership.voters.len() >= self.settings.target_voters {
            return None;
        }
        let has_voter = |zone| membership.voters.iter().any(|voter| voter.zone == zone);
        membership
            .learners
            .iter()
            .filter(|learner| self.caught_up(learner.member))
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
                // An identity under which nobody answers takes no address over.
                self.silent(voter.member) > self.settings.replacement_delay
                    || self.is_supplanted(voter)
            })
            .collect()
    }

    fn caught_up(&self, learner: MemberId) -> bool {
        self.has_answered(learner)
            && self.silent(learner) < self.settings.answer_timeout
            && self.progress(learner).is_some_and(|progress| {
                progress.match_index + CAUGHT_UP_ENTRIES >= self.status.last
            })
    }
}
