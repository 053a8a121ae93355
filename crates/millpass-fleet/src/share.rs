//! Instances that announce themselves at this member, and what of them the leader has been told.
//!
//! Any member takes announcements: an unchanged one ends here. The leader is told what changed, as a difference to what it
//! last confirmed, and that the member lives. So the leader's work follows what changes, and not how many instances there
//! are.

use crate::hearing::HearingClock;
use crate::registry::{Announced, same_but_sequence};
use millpass_proto::{
    Duration, InstanceHeartbeat, InstanceId, InstanceRecord, MemberAddress, ShareReport,
    ShareResponse, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Shortest time between two reports: many changes travel in one.
const CHANGE_PAUSE: Duration = Duration::from_millis(20);
/// Time between two reports while nothing changes; the leader takes one for a sign of life.
const SIGN_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a report that was not answered counts as lost.
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);
/// Most records in one report: some 90 KB, and a few milliseconds of the leader's core.
const MAXIMUM_RECORDS: usize = 256;
/// Most instances that fell silent remembered for the leader; beyond, it is told the share anew.
const MAXIMUM_SILENT: usize = 4_096;
/// Time between two looks for instances that fell silent.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

struct Entry {
    record: InstanceRecord,
    /// By the hearing clock.
    heard_at: Timestamp,
    revision: u64,
}

/// An instance that fell silent.
struct Silent {
    sequence: u64,
    revision: u64,
}

/// A report that is not answered yet.
struct UnderWay {
    number: u64,
    sent_at: Timestamp,
}

/// The instances of one member.
#[derive(Default)]
pub(crate) struct Share {
    run: u64,
    entries: BTreeMap<InstanceId, Entry>,
    silent: BTreeMap<InstanceId, Silent>,
    /// Each instance heard or silent, by the revision of its last change.
    changes: BTreeMap<u64, InstanceId>,
    revision: u64,
    hearing: HearingClock,
    next_sweep: Timestamp,
    /// Revision that the leader confirmed; 0 for none.
    known: u64,
    number: u64,
    under_way: Option<UnderWay>,
    sent_at: Option<Timestamp>,
    /// The last answer was no leader's.
    is_leaderless: bool,
    /// Active instances among these, as the leader last told.
    active: BTreeSet<InstanceId>,
    active_revision: u64,
    /// Those of them that announced themselves unchanged since the last report.
    seen: BTreeMap<InstanceId, u64>,
}

impl Share {
    /// Time passes in which this member could hear.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        self.hearing.advance(now);
    }

    /// Announcements were refused here.
    pub(crate) fn refused(&mut self, now: Timestamp) {
        self.hearing.refused(now);
    }

    /// Takes an announcement. An instance that drains stays draining.
    pub(crate) fn announce(&mut self, record: &InstanceRecord) -> Announced {
        let instance = &record.instance;
        let Some(entry) = self.entries.get_mut(instance) else {
            let known: Vec<InstanceId> = instance.runs_in(&self.entries).cloned().collect();
            if known.iter().any(|run| instance.is_before(run)) {
                return Announced::Late;
            }
            for earlier in known {
                self.fall_silent(&earlier);
            }
            self.change(record.clone());
            return Announced::New;
        };
        if record.sequence < entry.record.sequence {
            return Announced::Late;
        }
        entry.heard_at = self.hearing.now();
        let mut record = record.clone();
        record.draining |= entry.record.draining;
        if same_but_sequence(&entry.record, &record) {
            entry.record.sequence = record.sequence;
            if self.active.contains(instance) {
                self.seen.insert(instance.clone(), record.sequence);
            }
            return Announced::Same;
        }
        self.change(record);
        Announced::Changed
    }

    fn change(&mut self, record: InstanceRecord) {
        let instance = record.instance.clone();
        self.forget(&instance);
        self.revision += 1;
        self.changes.insert(self.revision, instance.clone());
        let entry = Entry {
            record,
            heard_at: self.hearing.now(),
            revision: self.revision,
        };
        self.entries.insert(instance, entry);
    }

    /// Forgets an instance without a word to the leader.
    fn forget(&mut self, instance: &InstanceId) -> Option<InstanceRecord> {
        self.seen.remove(instance);
        if let Some(silent) = self.silent.remove(instance) {
            self.changes.remove(&silent.revision);
        }
        let entry = self.entries.remove(instance)?;
        self.changes.remove(&entry.revision);
        Some(entry.record)
    }

    fn fall_silent(&mut self, instance: &InstanceId) -> Option<InstanceHeartbeat> {
        let record = self.forget(instance)?;
        self.revision += 1;
        self.changes.insert(self.revision, instance.clone());
        let silent = Silent {
            sequence: record.sequence,
            revision: self.revision,
        };
        self.silent.insert(instance.clone(), silent);
        Some(InstanceHeartbeat {
            instance: record.instance,
            sequence: record.sequence,
        })
    }

    /// Drops instances that were not heard of for longer than `silence`, and names them.
    pub(crate) fn sweep(&mut self, now: Timestamp, silence: Duration) -> Vec<InstanceHeartbeat> {
        if now < self.next_sweep {
            return Vec::new();
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let heard = self.hearing.now();
        let entries = self.entries.iter();
        let gone: Vec<InstanceId> = entries
            .filter(|(_, entry)| heard.since(entry.heard_at) > silence)
            .map(|(instance, _)| instance.clone())
            .collect();
        let gone = gone
            .iter()
            .filter_map(|instance| self.fall_silent(instance));
        let gone = gone.collect();
        if self.silent.len() > MAXIMUM_SILENT {
            self.begin_anew();
        }
        gone
    }

    /// Takes what is known of departures: whether an instance that leaves has ended.
    pub(crate) fn take_departures(&mut self, departed: &dyn Fn(&InstanceId) -> Option<bool>) {
        let known: Vec<InstanceId> = self.entries.keys().cloned().collect();
        for instance in known {
            match departed(&instance) {
                Some(true) => self.ended(&instance),
                Some(false) => self.drains(&instance),
                None => {}
            }
        }
    }

    fn drains(&mut self, instance: &InstanceId) {
        let entry = self.entries.get(instance);
        if let Some(entry) = entry.filter(|entry| !entry.record.draining) {
            let mut record = entry.record.clone();
            record.draining = true;
            self.change(record);
        }
    }

    /// Drops an instance that has ended.
    pub(crate) fn ended(&mut self, instance: &InstanceId) {
        self.fall_silent(instance);
    }

    /// The leader is told everything with the next report: what fell silent before need not be remembered.
    fn begin_anew(&mut self) {
        self.known = 0;
        self.active.clear();
        self.active_revision = 0;
        for silent in std::mem::take(&mut self.silent).into_values() {
            self.changes.remove(&silent.revision);
        }
    }

    /// How many instances are heard here.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Instances heard here.
    pub(crate) fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Whether the last report was not answered in time.
    pub(crate) fn is_unanswered(&self, now: Timestamp) -> bool {
        let under_way = self.under_way.as_ref();
        under_way.is_some_and(|report| now.since(report.sent_at) >= ANSWER_PATIENCE)
    }

    /// Whether a report is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        if self.under_way.is_some() && !self.is_unanswered(now) {
            return false;
        }
        let tells = self.known < self.revision && !self.is_leaderless;
        let pause = if tells { CHANGE_PAUSE } else { SIGN_INTERVAL };
        self.sent_at.is_none_or(|at| now.since(at) >= pause)
    }

    /// The next report. `run` names this process' run. One that does not go to a leader, as far as is known, asks only who
    /// leads.
    pub(crate) fn report(
        &mut self,
        now: Timestamp,
        run: u64,
        from: &MemberAddress,
        to_leader: bool,
    ) -> ShareReport {
        self.run = run;
        self.number += 1;
        self.sent_at = Some(now);
        self.under_way = Some(UnderWay {
            number: self.number,
            sent_at: now,
        });
        let mut report = ShareReport {
            from: from.clone(),
            run,
            number: self.number,
            base: self.known,
            revision: self.known,
            instances: Vec::new(),
            expired: Vec::new(),
            heartbeats: Vec::new(),
            active_revision: self.active_revision,
        };
        if to_leader {
            report.heartbeats = self.take_seen();
            self.put_changes(&mut report);
        }
        report
    }

    fn take_seen(&mut self) -> Vec<InstanceHeartbeat> {
        let seen = std::mem::take(&mut self.seen).into_iter();
        let seen = seen.map(|(instance, sequence)| InstanceHeartbeat { instance, sequence });
        seen.collect()
    }

    fn put_changes(&self, report: &mut ShareReport) {
        let lacking = self.changes.range(self.known + 1..);
        for (revision, instance) in lacking.take(MAXIMUM_RECORDS) {
            report.revision = *revision;
            if let Some(entry) = self.entries.get(instance) {
                report.instances.push(entry.record.clone());
            } else if let Some(silent) = self.silent.get(instance) {
                report.expired.push(InstanceHeartbeat {
                    instance: instance.clone(),
                    sequence: silent.sequence,
                });
            }
        }
    }

    /// Takes the answer to the report under way; any other changes nothing.
    pub(crate) fn answered(&mut self, answer: &ShareResponse) {
        let awaited = self
            .under_way
            .take_if(|report| report.number == answer.number);
        if awaited.is_none() || answer.run != self.run {
            return;
        }
        self.is_leaderless = answer.acknowledged_revision.is_none();
        match answer.acknowledged_revision {
            Some(0) if self.known > 0 => self.begin_anew(),
            Some(known) => self.confirmed(known.min(self.revision)),
            None => {}
        }
        if let Some(active) = &answer.active {
            self.active = active.iter().cloned().collect();
            self.active_revision = answer.active_revision;
        }
    }

    fn confirmed(&mut self, known: u64) {
        self.known = known;
        let settled = self.changes.range(..=known);
        let settled = settled.filter(|(_, instance)| self.silent.contains_key(*instance));
        let settled: Vec<(u64, InstanceId)> = settled
            .map(|(revision, instance)| (*revision, instance.clone()))
            .collect();
        for (revision, instance) in settled {
            self.changes.remove(&revision);
            self.silent.remove(&instance);
        }
    }
}
