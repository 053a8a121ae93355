//! Reports of instances from members to the leader, and its responses.

use crate::fleet::Fleet;
use crate::shares::{Admission, Holder};
use millpass_proto::{
    InstanceHeartbeat, InstanceId, MemberAddress, ShareReport, ShareResponse, Timestamp,
};

impl Fleet {
    /// Applies another member's report of the instances that announce themselves there, and returns
    /// the response. `departed` returns, for an instance that departs according to the log, whether
    /// it has ended.
    pub fn handle_share_report(
        &mut self,
        now: Timestamp,
        report: &ShareReport,
        own: MemberAddress,
        departed: &dyn Fn(&InstanceId) -> Option<bool>,
    ) -> ShareResponse {
        let member = report.from.member;
        let is_new = report.base == 0 && !report.instances.is_empty();
        let admission = self.shares.admit(self.contact_clock.now(), report);
        if admission == Admission::Accepted {
            self.apply_report_content(now, report, departed);
        }
        if is_new && admission == Admission::Accepted {
            let pairs = vec![
                ("member", member.to_string()),
                ("zone", report.from.zone.to_string()),
                ("instances", report.instances.len().to_string()),
            ];
            self.event("share-begins", pairs);
        }
        let acknowledged = match admission {
            Admission::Accepted | Admission::Stale => self.shares.revision(member),
            Admission::BaseMismatch => 0,
        };
        let is_stale = report.active_revision != self.active_revision;
        ShareResponse {
            run: report.run,
            number: report.number,
            leader: Some(own),
            acknowledged_revision: Some(acknowledged),
            active_revision: self.active_revision,
            active: is_stale.then(|| self.active_instances_of(report)),
        }
    }

    fn active_instances_of(&self, report: &ShareReport) -> Vec<InstanceId> {
        let held = self.shares.instances_of(report.from.member);
        let active = held.filter(|instance| self.registry.get(instance).is_some());
        active.cloned().collect()
    }

    fn apply_report_content(
        &mut self,
        now: Timestamp,
        report: &ShareReport,
        departed: &dyn Fn(&InstanceId) -> Option<bool>,
    ) {
        let holder = Holder::Member(report.from.member);
        for record in &report.instances {
            let departed = departed(&record.instance);
            let mut record = record.clone();
            record.draining |= departed.is_some();
            self.apply_announcement(now, holder, record, departed == Some(true));
        }
        for heartbeat in &report.heartbeats {
            let Some(mut record) = self.registry.last_announced(&heartbeat.instance) else {
                continue;
            };
            if heartbeat.sequence < record.sequence {
                self.record_lower_sequence(now, &heartbeat.instance);
            }
            record.sequence = heartbeat.sequence;
            self.apply_announcement(now, holder, record, false);
        }
        self.remove_expired(now, holder, &report.expired);
    }

    fn remove_expired(&mut self, now: Timestamp, holder: Holder, expired: &[InstanceHeartbeat]) {
        let is_newest = |heartbeat: &&InstanceHeartbeat| {
            let record = self.registry.get(&heartbeat.instance);
            let record = record.or_else(|| self.standby.get(&heartbeat.instance));
            record.is_none_or(|record| record.sequence <= heartbeat.sequence)
        };
        let removed = self.shares.expired_at(holder, expired).filter(is_newest);
        let removed: Vec<InstanceId> = removed
            .map(|heartbeat| heartbeat.instance.clone())
            .collect();
        for instance in removed {
            self.end_expired(now, &instance, "silent");
        }
    }

    fn end_expired(&mut self, now: Timestamp, instance: &InstanceId, reason: &str) {
        self.attribute_crash_to_load(now, instance);
        self.remove_instance(instance, reason);
    }

    /// Removes expired instances.
    pub(crate) fn remove_expired_instances(&mut self, now: Timestamp) {
        let timeout = self.settings.instance_timeout;
        let expired = self.local_share.expire_unannounced(now, timeout);
        self.remove_expired(now, Holder::Own, &expired);
        let contact_time = self.contact_clock.now();
        for (member, instances) in self.shares.remove_lost(contact_time, timeout) {
            let pairs = vec![
                ("member", member.to_string()),
                ("instances", instances.len().to_string()),
            ];
            self.event("share-lost", pairs);
            for instance in instances {
                self.end_expired(now, &instance, "share-lost");
            }
        }
        for instance in self.shares.expired_unheld(contact_time, timeout) {
            self.end_expired(now, &instance, "silent");
        }
    }

    /// Maintains the instances announced at this member, leading or not.
    pub fn maintain_share(&mut self, now: Timestamp) {
        self.local_share.advance(now);
        if !self.has_started_leading() {
            self.local_share
                .expire_unannounced(now, self.settings.instance_timeout);
        }
    }

    /// Applies committed departures to the instances announced at this member: it may have received
    /// a late announcement of an instance before it applied the departure.
    pub fn apply_departures(&mut self, departed: &dyn Fn(&InstanceId) -> Option<bool>) {
        self.local_share.apply_departures(departed);
    }

    /// Returns whether a report of this member's instances to the leader is due.
    pub fn is_share_report_due(&self, now: Timestamp) -> bool {
        self.local_share.is_report_due(now)
    }

    /// Returns the next report. `run` identifies this process run; without `to_leader`, the report
    /// only requests the address of the leader.
    pub fn next_share_report(
        &mut self,
        now: Timestamp,
        run: u64,
        own: &MemberAddress,
        to_leader: bool,
    ) -> ShareReport {
        self.local_share.next_report(now, run, own, to_leader)
    }

    /// Returns whether the last report timed out.
    pub fn is_share_report_timed_out(&self, now: Timestamp) -> bool {
        self.local_share.is_report_timed_out(now)
    }

    /// Applies the response to the last report.
    pub fn handle_share_response(&mut self, response: &ShareResponse) {
        self.local_share.handle_response(response);
    }
}
