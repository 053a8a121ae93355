//! Which member each instance announces itself at, as recorded by the leader.
//!
//! Announcements are ordered by the sequence number of the instance. An expiry reported by a member
//! is ignored if another member has received the instance since. Instances of an unreachable member
//! do not expire with it: live ones switch to another member within seconds.

use millpass_proto::{Duration, InstanceHeartbeat, InstanceId, MemberId, ShareReport, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Member at which an instance announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holder {
    /// This member.
    Own,
    /// Another member.
    Member(MemberId),
}

/// Multiple of the instance timeout after which the instances of an unreachable member expire: the
/// member may be cut off from the leader only, while its instances are alive.
const LOST_SHARE_FACTOR: u32 = 2;
const MAX_MEMBERS: usize = 1_024;

/// The share of another member.
struct MemberShare {
    run: u64,
    /// Sequence number of its newest report; older ones are stale.
    number: u64,
    /// Last applied revision of the share.
    revision: u64,
    last_report_at: Timestamp,
    instances: BTreeSet<InstanceId>,
}

/// Outcome of checking a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Continues the recorded share or starts a new one.
    Accepted,
    /// Continues an unknown share: the member must send its whole share.
    BaseMismatch,
    /// Older than a report already applied.
    Stale,
}

/// Shares by member. Times are by the leader's contact clock.
#[derive(Default)]
pub(crate) struct Shares {
    members: BTreeMap<MemberId, MemberShare>,
    holders: BTreeMap<InstanceId, Holder>,
    /// Instances without a holder, and since when: recorded by an earlier leader, or no longer
    /// listed by their member.
    unheld: BTreeMap<InstanceId, Timestamp>,
}

impl Shares {
    /// Checks a report, and records contact with the member if it is accepted.
    pub(crate) fn admit(&mut self, now: Timestamp, report: &ShareReport) -> Admission {
        let member = report.from.member;
        let share = self.members.get(&member);
        let is_stale =
            share.is_some_and(|share| share.run == report.run && share.number >= report.number);
        if is_stale {
            return Admission::Stale;
        }
        let continues = share.is_some_and(|share| {
            share.run == report.run && share.revision == report.base && report.base > 0
        });
        if !continues && report.base > 0 {
            return Admission::BaseMismatch;
        }
        if !continues {
            if share.is_none() && self.members.len() >= MAX_MEMBERS {
                return Admission::BaseMismatch;
            }
            self.reset_member(now, member, report.run);
        }
        if let Some(share) = self.members.get_mut(&member) {
            share.last_report_at = now;
            share.number = report.number;
            share.revision = report.revision;
        }
        Admission::Accepted
    }

    /// Starts a new share of a member. Instances of the previous one have no holder until listed
    /// again.
    fn reset_member(&mut self, now: Timestamp, member: MemberId, run: u64) {
        let share = MemberShare {
            run,
            number: 0,
            revision: 0,
            last_report_at: now,
            instances: BTreeSet::new(),
        };
        let previous = self.members.insert(member, share);
        for instance in previous.into_iter().flat_map(|share| share.instances) {
            self.holders.remove(&instance);
            self.unheld.insert(instance, now);
        }
    }

    /// Returns the last applied revision of a member's share; 0 for none.
    pub(crate) fn revision(&self, member: MemberId) -> u64 {
        self.members.get(&member).map_or(0, |share| share.revision)
    }

    /// Records the holder of an instance. Returns true if it has changed.
    pub(crate) fn record_holder(&mut self, instance: &InstanceId, holder: Holder) -> bool {
        if self.holders.get(instance) == Some(&holder) {
            return false;
        }
        self.remove(instance);
        if let Holder::Member(member) = holder
            && let Some(share) = self.members.get_mut(&member)
        {
            share.instances.insert(instance.clone());
        }
        self.holders.insert(instance.clone(), holder);
        true
    }

    pub(crate) fn record_unheld(&mut self, now: Timestamp, instance: &InstanceId) {
        self.unheld.insert(instance.clone(), now);
    }

    pub(crate) fn is_unheld(&self, instance: &InstanceId) -> bool {
        !self.holders.contains_key(instance)
    }

    pub(crate) fn is_held_by(&self, instance: &InstanceId, holder: Holder) -> bool {
        self.holders.get(instance) == Some(&holder)
    }

    pub(crate) fn remove(&mut self, instance: &InstanceId) {
        self.unheld.remove(instance);
        if let Some(Holder::Member(member)) = self.holders.remove(instance)
            && let Some(share) = self.members.get_mut(&member)
        {
            share.instances.remove(instance);
        }
    }

    /// Returns the expired instances that no other member has received since.
    pub(crate) fn expired_at<'a>(
        &'a self,
        holder: Holder,
        expired: &'a [InstanceHeartbeat],
    ) -> impl Iterator<Item = &'a InstanceHeartbeat> {
        let is_held =
            move |heartbeat: &&InstanceHeartbeat| self.is_held_by(&heartbeat.instance, holder);
        expired.iter().filter(is_held)
    }

    /// Returns the instances of a member's share, in order.
    pub(crate) fn instances_of(&self, member: MemberId) -> impl Iterator<Item = &InstanceId> {
        let share = self.members.get(&member);
        share.into_iter().flat_map(|share| &share.instances)
    }

    /// Removes shares of unreachable members and returns their instances.
    pub(crate) fn remove_lost(
        &mut self,
        now: Timestamp,
        timeout: Duration,
    ) -> Vec<(MemberId, Vec<InstanceId>)> {
        let limit = timeout * LOST_SHARE_FACTOR;
        let is_lost = |share: &MemberShare| now.since(share.last_report_at) > limit;
        let members = self.members.iter();
        let lost: Vec<MemberId> = members
            .filter(|(_, share)| is_lost(share))
            .map(|(member, _)| *member)
            .collect();
        let mut removed = Vec::new();
        for member in lost {
            let share = self.members.remove(&member);
            let instances = share.into_iter().flat_map(|share| share.instances);
            removed.push((member, instances.collect()));
        }
        removed
    }

    /// Returns instances without a holder for longer than `timeout`.
    pub(crate) fn expired_unheld(&self, now: Timestamp, timeout: Duration) -> Vec<InstanceId> {
        let unheld = self.unheld.iter();
        let expired = unheld.filter(|(_, since)| now.since(**since) > timeout);
        expired.map(|(instance, _)| instance.clone()).collect()
    }
}
