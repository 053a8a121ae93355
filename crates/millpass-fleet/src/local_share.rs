//! Instances that announce themselves at this member, and the revision that the leader confirmed.
//!
//! The leader is sent changes since that revision, and keepalives; unchanged announcements are not
//! forwarded. Its work follows the number of changes, not of instances.

use crate::contact_clock::ContactClock;
use crate::registry::{AnnouncementOutcome, equal_except_sequence};
use millpass_proto::{
    Duration, InstanceHeartbeat, InstanceId, InstanceRecord, MemberAddress, ShareReport,
    ShareResponse, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between reports, so that several changes share one.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reports without changes, which serve as keepalives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Records in one report: about 90 KB, and a few milliseconds of the leader's core.
const MAX_RECORDS: usize = 256;
/// Expired instances kept for the leader; beyond that, the whole share is sent again.
const MAX_EXPIRED: usize = 4_096;
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

struct Entry {
    record: InstanceRecord,
    /// By the contact clock.
    announced_at: Timestamp,
    revision: u64,
}

/// An instance that has expired.
struct Expired {
    sequence: u64,
    revision: u64,
}

/// A report without a response yet.
struct PendingReport {
    number: u64,
    sent_at: Timestamp,
}

/// Instances of this member.
#[derive(Default)]
pub(crate) struct LocalShare {
    run: u64,
    entries: BTreeMap<InstanceId, Entry>,
    expired: BTreeMap<InstanceId, Expired>,
    /// Recorded and expired instances by the revision of their last change.
    changes: BTreeMap<u64, InstanceId>,
    revision: u64,
    contact_clock: ContactClock,
    next_sweep: Timestamp,
    /// Revision confirmed by the leader; 0 for none.
    acknowledged_revision: u64,
    number: u64,
    pending_report: Option<PendingReport>,
    sent_at: Option<Timestamp>,
    /// Whether the last response came from a member that does not lead.
    has_no_leader: bool,
    /// Active instances among these, as last sent by the leader.
    active: BTreeSet<InstanceId>,
    active_revision: u64,
    /// Active instances announced unchanged since the last report, with their sequence numbers.
    heartbeats: BTreeMap<InstanceId, u64>,
}

impl LocalShare {
    /// Advances the contact clock.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        self.contact_clock.advance(now);
    }

    /// Records that announcements were refused.
    pub(crate) fn record_refusal(&mut self, now: Timestamp) {
        self.contact_clock.record_refusal(now);
    }

    /// Applies an announcement. A draining instance stays draining.
    pub(crate) fn apply_announcement(&mut self, record: &InstanceRecord) -> AnnouncementOutcome {
        let instance = &record.instance;
        let Some(entry) = self.entries.get_mut(instance) else {
            let incarnations: Vec<InstanceId> = instance.runs_in(&self.entries).cloned().collect();
            if incarnations
                .iter()
                .any(|incarnation| instance.is_before(incarnation))
            {
                return AnnouncementOutcome::Stale;
            }
            for earlier in incarnations {
                self.expire(&earlier);
            }
            self.record_change(record.clone());
            return AnnouncementOutcome::New;
        };
        if record.sequence < entry.record.sequence {
            // The leader learns of a process that has taken over an ID.
            if instance.incarnation() == 0 && self.active.contains(instance) {
                self.heartbeats.insert(instance.clone(), record.sequence);
            }
            return AnnouncementOutcome::Stale;
        }
        entry.announced_at = self.contact_clock.now();
        let mut record = record.clone();
        record.retain_from(&entry.record);
        if equal_except_sequence(&entry.record, &record) {
            entry.record.sequence = record.sequence;
            if self.active.contains(instance) {
                self.heartbeats.insert(instance.clone(), record.sequence);
            }
            return AnnouncementOutcome::Unchanged;
        }
        self.record_change(record);
        AnnouncementOutcome::Changed
    }

    fn record_change(&mut self, record: InstanceRecord) {
        let instance = record.instance.clone();
        self.remove(&instance);
        self.revision += 1;
        self.changes.insert(self.revision, instance.clone());
        let entry = Entry {
            record,
            announced_at: self.contact_clock.now(),
            revision: self.revision,
        };
        self.entries.insert(instance, entry);
    }

    /// Removes an instance without reporting it to the leader.
    fn remove(&mut self, instance: &InstanceId) -> Option<InstanceRecord> {
        self.heartbeats.remove(instance);
        if let Some(expired) = self.expired.remove(instance) {
            self.changes.remove(&expired.revision);
        }
        let entry = self.entries.remove(instance)?;
        self.changes.remove(&entry.revision);
        Some(entry.record)
    }

    fn expire(&mut self, instance: &InstanceId) -> Option<InstanceHeartbeat> {
        let record = self.remove(instance)?;
        self.revision += 1;
        self.changes.insert(self.revision, instance.clone());
        let expired = Expired {
            sequence: record.sequence,
            revision: self.revision,
        };
        self.expired.insert(instance.clone(), expired);
        Some(InstanceHeartbeat {
            instance: record.instance,
            sequence: record.sequence,
        })
    }

    /// Removes and returns instances without announcements for longer than `timeout`.
    pub(crate) fn expire_unannounced(
        &mut self,
        now: Timestamp,
        timeout: Duration,
    ) -> Vec<InstanceHeartbeat> {
        if now < self.next_sweep {
            return Vec::new();
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let contact_time = self.contact_clock.now();
        let entries = self.entries.iter();
        let expired: Vec<InstanceId> = entries
            .filter(|(_, entry)| contact_time.since(entry.announced_at) > timeout)
            .map(|(instance, _)| instance.clone())
            .collect();
        let expired = expired.iter().filter_map(|instance| self.expire(instance));
        let expired = expired.collect();
        if self.expired.len() > MAX_EXPIRED {
            self.resend_all();
        }
        expired
    }

    /// Applies committed departures; `departed` returns whether a departing instance has ended.
    pub(crate) fn apply_departures(&mut self, departed: &dyn Fn(&InstanceId) -> Option<bool>) {
        let instances: Vec<InstanceId> = self.entries.keys().cloned().collect();
        for instance in instances {
            match departed(&instance) {
                Some(true) => self.remove_ended(&instance),
                Some(false) => self.mark_draining(&instance),
                None => {}
            }
        }
    }

    fn mark_draining(&mut self, instance: &InstanceId) {
        let entry = self.entries.get(instance);
        if let Some(entry) = entry.filter(|entry| !entry.record.draining) {
            let mut record = entry.record.clone();
            record.draining = true;
            self.record_change(record);
        }
    }

    pub(crate) fn remove_ended(&mut self, instance: &InstanceId) {
        self.expire(instance);
    }

    /// Makes the next report send the whole share, so that earlier expired instances need not be
    /// kept.
    fn resend_all(&mut self) {
        self.acknowledged_revision = 0;
        self.active.clear();
        self.active_revision = 0;
        for expired in std::mem::take(&mut self.expired).into_values() {
            self.changes.remove(&expired.revision);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    pub(crate) fn is_report_timed_out(&self, now: Timestamp) -> bool {
        let pending = self.pending_report.as_ref();
        pending.is_some_and(|report| now.since(report.sent_at) >= RESPONSE_TIMEOUT)
    }

    pub(crate) fn is_report_due(&self, now: Timestamp) -> bool {
        if self.pending_report.is_some() && !self.is_report_timed_out(now) {
            return false;
        }
        let has_changes = self.acknowledged_revision < self.revision && !self.has_no_leader;
        let interval = if has_changes {
            MIN_REPORT_INTERVAL
        } else {
            KEEPALIVE_INTERVAL
        };
        self.sent_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Returns the next report. `run` identifies this process run. A report that is not sent to a
    /// known leader only requests the address of the leader.
    pub(crate) fn next_report(
        &mut self,
        now: Timestamp,
        run: u64,
        from: &MemberAddress,
        to_leader: bool,
    ) -> ShareReport {
        self.run = run;
        self.number += 1;
        self.sent_at = Some(now);
        self.pending_report = Some(PendingReport {
            number: self.number,
            sent_at: now,
        });
        let mut report = ShareReport {
            from: from.clone(),
            run,
            number: self.number,
            base: self.acknowledged_revision,
            revision: self.acknowledged_revision,
            instances: Vec::new(),
            expired: Vec::new(),
            heartbeats: Vec::new(),
            active_revision: self.active_revision,
        };
        if to_leader {
            report.heartbeats = self.take_heartbeats();
            self.add_changes(&mut report);
        }
        report
    }

    fn take_heartbeats(&mut self) -> Vec<InstanceHeartbeat> {
        let heartbeats = std::mem::take(&mut self.heartbeats).into_iter();
        let heartbeats =
            heartbeats.map(|(instance, sequence)| InstanceHeartbeat { instance, sequence });
        heartbeats.collect()
    }

    fn add_changes(&self, report: &mut ShareReport) {
        let unacknowledged = self.changes.range(self.acknowledged_revision + 1..);
        for (revision, instance) in unacknowledged.take(MAX_RECORDS) {
            report.revision = *revision;
            if let Some(entry) = self.entries.get(instance) {
                report.instances.push(entry.record.clone());
            } else if let Some(expired) = self.expired.get(instance) {
                report.expired.push(InstanceHeartbeat {
                    instance: instance.clone(),
                    sequence: expired.sequence,
                });
            }
        }
    }

    /// Applies the response to the pending report; ignores any other.
    pub(crate) fn handle_response(&mut self, response: &ShareResponse) {
        let pending = self
            .pending_report
            .take_if(|report| report.number == response.number);
        if pending.is_none() || response.run != self.run {
            return;
        }
        self.has_no_leader = response.acknowledged_revision.is_none();
        match response.acknowledged_revision {
            Some(0) if self.acknowledged_revision > 0 => self.resend_all(),
            Some(acknowledged) => self.acknowledge(acknowledged.min(self.revision)),
            None => {}
        }
        if let Some(active) = &response.active {
            self.active = active.iter().cloned().collect();
            self.active_revision = response.active_revision;
        }
    }

    fn acknowledge(&mut self, acknowledged: u64) {
        self.acknowledged_revision = acknowledged;
        let reported = self.changes.range(..=acknowledged);
        let reported = reported.filter(|(_, instance)| self.expired.contains_key(*instance));
        let reported: Vec<(u64, InstanceId)> = reported
            .map(|(revision, instance)| (*revision, instance.clone()))
            .collect();
        for (revision, instance) in reported {
            self.changes.remove(&revision);
            self.expired.remove(&instance);
        }
    }
}
