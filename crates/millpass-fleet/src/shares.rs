//! Which member each instance announces itself at, as the leader knows it.
//!
//! A member's word of an instance is as new as the instance's own sequence in it. That an instance fell silent at a member
//! says nothing once another member has heard it since; and a member that is silent itself says nothing of its instances:
//! those that live call another member within seconds.

use millpass_proto::{Duration, InstanceHeartbeat, InstanceId, MemberId, ShareReport, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Where an instance announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holder {
    /// At this member.
    Own,
    /// At another one.
    Member(MemberId),
}

/// Intervals of `instance_silence` after which the instances of a silent member that no other has heard are gone: it may
/// be cut off from the leader alone, and its instances live.
const LOST_SHARE_PATIENCE: u32 = 2;
/// Most members whose shares are known.
const MAXIMUM_MEMBERS: usize = 1_024;

/// The share of one other member.
struct MemberShare {
    run: u64,
    /// Of its newest report: an older one that comes late says nothing.
    number: u64,
    /// Revision up to which it is known.
    known: u64,
    heard_at: Timestamp,
    instances: BTreeSet<InstanceId>,
}

/// What a report is to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It continues what is known, or begins anew: its content is to be taken.
    Taken,
    /// It continues something else: the member tells its share anew.
    Unfit,
    /// A newer one was taken before it.
    Outdated,
}

/// Shares by member. Times are of the leader's hearing clock.
#[derive(Default)]
pub(crate) struct Shares {
    members: BTreeMap<MemberId, MemberShare>,
    holders: BTreeMap<InstanceId, Holder>,
    /// Instances that no member holds, and since when: noted by an earlier leader, or no more named by their member.
    unheld: BTreeMap<InstanceId, Timestamp>,
}

impl Shares {
    /// Admits a report; from then on the member counts as heard.
    pub(crate) fn admit(&mut self, now: Timestamp, report: &ShareReport) -> Admission {
        let member = report.from.member;
        let known = self.members.get(&member);
        let is_outdated =
            known.is_some_and(|share| share.run == report.run && share.number >= report.number);
        if is_outdated {
            return Admission::Outdated;
        }
        let fits = known.is_some_and(|share| {
            share.run == report.run && share.known == report.base && report.base > 0
        });
        if !fits && report.base > 0 {
            return Admission::Unfit;
        }
        if !fits {
            if known.is_none() && self.members.len() >= MAXIMUM_MEMBERS {
                return Admission::Unfit;
            }
            self.begin(now, member, report.run);
        }
        if let Some(share) = self.members.get_mut(&member) {
            share.heard_at = now;
            share.number = report.number;
            share.known = report.revision;
        }
        Admission::Taken
    }

    /// The share of a member begins anew: what it does not name again is held by nobody.
    fn begin(&mut self, now: Timestamp, member: MemberId, run: u64) {
        let share = MemberShare {
            run,
            number: 0,
            known: 0,
            heard_at: now,
            instances: BTreeSet::new(),
        };
        let before = self.members.insert(member, share);
        for instance in before.into_iter().flat_map(|share| share.instances) {
            self.holders.remove(&instance);
            self.unheld.insert(instance, now);
        }
    }

    /// Revision up to which a member's share is known; 0 for none.
    pub(crate) fn known(&self, member: MemberId) -> u64 {
        self.members.get(&member).map_or(0, |share| share.known)
    }

    /// An instance was heard at a member. True where it was not held there before.
    pub(crate) fn heard(&mut self, instance: &InstanceId, holder: Holder) -> bool {
        if self.holders.get(instance) == Some(&holder) {
            return false;
        }
        self.forget(instance);
        if let Holder::Member(member) = holder
            && let Some(share) = self.members.get_mut(&member)
        {
            share.instances.insert(instance.clone());
        }
        self.holders.insert(instance.clone(), holder);
        true
    }

    /// An instance is known that no member has named yet.
    pub(crate) fn noted(&mut self, now: Timestamp, instance: &InstanceId) {
        self.unheld.insert(instance.clone(), now);
    }

    /// Whether no member holds an instance.
    pub(crate) fn is_unheld(&self, instance: &InstanceId) -> bool {
        !self.holders.contains_key(instance)
    }

    /// Whether an instance announces itself at this member, as far as is known.
    pub(crate) fn is_held_by(&self, instance: &InstanceId, holder: Holder) -> bool {
        self.holders.get(instance) == Some(&holder)
    }

    /// An instance is gone.
    pub(crate) fn forget(&mut self, instance: &InstanceId) {
        self.unheld.remove(instance);
        if let Some(Holder::Member(member)) = self.holders.remove(instance)
            && let Some(share) = self.members.get_mut(&member)
        {
            share.instances.remove(instance);
        }
    }

    /// Those of a report's silent instances that no other member has heard since.
    pub(crate) fn silent<'a>(
        &'a self,
        holder: Holder,
        silent: &'a [InstanceHeartbeat],
    ) -> impl Iterator<Item = &'a InstanceHeartbeat> {
        let held = move |seen: &&InstanceHeartbeat| self.is_held_by(&seen.instance, holder);
        silent.iter().filter(held)
    }

    /// Instances of a member's share, in order.
    pub(crate) fn of(&self, member: MemberId) -> impl Iterator<Item = &InstanceId> {
        let share = self.members.get(&member);
        share.into_iter().flat_map(|share| &share.instances)
    }

    /// Drops the shares of members that are silent for long; names their instances that nobody else heard.
    pub(crate) fn lost(
        &mut self,
        now: Timestamp,
        silence: Duration,
    ) -> Vec<(MemberId, Vec<InstanceId>)> {
        let patience = silence * LOST_SHARE_PATIENCE;
        let is_lost = |share: &MemberShare| now.since(share.heard_at) > patience;
        let members = self.members.iter();
        let lost: Vec<MemberId> = members
            .filter(|(_, share)| is_lost(share))
            .map(|(member, _)| *member)
            .collect();
        let mut named = Vec::new();
        for member in lost {
            let share = self.members.remove(&member);
            let instances = share.into_iter().flat_map(|share| share.instances);
            named.push((member, instances.collect()));
        }
        named
    }

    /// Instances that no member has held for longer than `silence`.
    pub(crate) fn unheld(&self, now: Timestamp, silence: Duration) -> Vec<InstanceId> {
        let unheld = self.unheld.iter();
        let long = unheld.filter(|(_, since)| now.since(**since) > silence);
        long.map(|(instance, _)| instance.clone()).collect()
    }
}
