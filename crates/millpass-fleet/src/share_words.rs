//! What members say to each other of the instances that announce themselves there: reports to the leader, and its answers.

use crate::fleet::Fleet;
use crate::shares::{Admission, Holder};
use millpass_proto::{
    InstanceHeartbeat, InstanceId, MemberAddress, ShareReport, ShareResponse, Timestamp,
};

impl Fleet {
    /// Takes another member's word of the instances that announce themselves there; `departed` says of those that the log
    /// knows as leaving whether they have ended. Gives the answer.
    pub fn take_share(
        &mut self,
        now: Timestamp,
        report: &ShareReport,
        own: MemberAddress,
        departed: &dyn Fn(&InstanceId) -> Option<bool>,
    ) -> ShareResponse {
        let member = report.from.member;
        let begins = report.base == 0 && !report.instances.is_empty();
        let admission = self.shares.admit(self.hearing.now(), report);
        if admission == Admission::Taken {
            self.take_content(now, report, departed);
        }
        if begins && admission == Admission::Taken {
            let pairs = vec![
                ("member", member.to_string()),
                ("zone", report.from.zone.to_string()),
                ("instances", report.instances.len().to_string()),
            ];
            self.event("share-begins", pairs);
        }
        let known = match admission {
            Admission::Taken | Admission::Outdated => self.shares.known(member),
            Admission::Unfit => 0,
        };
        let outdated = report.active_revision != self.active_revision;
        ShareResponse {
            run: report.run,
            number: report.number,
            leader: Some(own),
            acknowledged_revision: Some(known),
            active_revision: self.active_revision,
            active: outdated.then(|| self.active_of(report)),
        }
    }

    fn active_of(&self, report: &ShareReport) -> Vec<InstanceId> {
        let held = self.shares.of(report.from.member);
        let active = held.filter(|instance| self.registry.get(instance).is_some());
        active.cloned().collect()
    }

    fn take_content(
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
            self.hear(now, holder, record, departed == Some(true));
        }
        for seen in &report.heartbeats {
            let Some(mut record) = self.registry.announced(&seen.instance) else {
                continue;
            };
            record.sequence = seen.sequence;
            self.hear(now, holder, record, false);
        }
        self.fell_silent(now, holder, &report.expired);
    }

    fn fell_silent(&mut self, now: Timestamp, holder: Holder, silent: &[InstanceHeartbeat]) {
        let newest_here = |seen: &&InstanceHeartbeat| {
            let record = self.registry.get(&seen.instance);
            let record = record.or_else(|| self.standby.get(&seen.instance));
            record.is_none_or(|record| record.sequence <= seen.sequence)
        };
        let gone = self.shares.silent(holder, silent).filter(newest_here);
        let gone: Vec<InstanceId> = gone.map(|seen| seen.instance.clone()).collect();
        for instance in gone {
            self.end_silent(now, &instance, "silent");
        }
    }

    fn end_silent(&mut self, now: Timestamp, instance: &InstanceId, reason: &str) {
        self.load_ended(now, instance);
        self.forget(instance, reason);
    }

    /// Forgets instances that nobody has heard of for long.
    pub(crate) fn forget_silent(&mut self, now: Timestamp) {
        let silence = self.settings.instance_silence;
        let silent = self.share.sweep(now, silence);
        self.fell_silent(now, Holder::Own, &silent);
        let heard = self.hearing.now();
        for (member, instances) in self.shares.lost(heard, silence) {
            let pairs = vec![
                ("member", member.to_string()),
                ("instances", instances.len().to_string()),
            ];
            self.event("share-lost", pairs);
            for instance in instances {
                self.end_silent(now, &instance, "share-lost");
            }
        }
        for instance in self.shares.unheld(heard, silence) {
            self.end_silent(now, &instance, "silent");
        }
    }

    /// Keeps what this member itself hears, whether it leads or not.
    pub fn keep_share(&mut self, now: Timestamp) {
        self.share.advance(now);
        if !self.has_begun() {
            self.share.sweep(now, self.settings.instance_silence);
        }
    }

    /// Takes what the log knows of departures into what this member itself hears: before it takes charge, it may have
    /// heard a late word of an instance whose departure it had not applied.
    pub fn take_departures(&mut self, departed: &dyn Fn(&InstanceId) -> Option<bool>) {
        self.share.take_departures(departed);
    }

    /// Whether a report of this member's instances to the leader is due.
    pub fn is_share_due(&self, now: Timestamp) -> bool {
        self.share.is_due(now)
    }

    /// That report. `run` names this process' run; one that is not `to_leader` asks only who leads.
    pub fn share_report(
        &mut self,
        now: Timestamp,
        run: u64,
        own: &MemberAddress,
        to_leader: bool,
    ) -> ShareReport {
        self.share.report(now, run, own, to_leader)
    }

    /// Whether the last report was not answered in time.
    pub fn is_share_unanswered(&self, now: Timestamp) -> bool {
        self.share.is_unanswered(now)
    }

    /// Takes the answer to the last report.
    pub fn share_answered(&mut self, answer: &ShareResponse) {
        self.share.answered(answer);
    }
}
