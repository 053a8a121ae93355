//! Refusal of parts of prompts that crash the instances that respond to them. Gateways report crashes with
//! the prompts that had only begun, and responses to the parts of these; the leader judges them
//! together. Refused parts are sent to every gateway and recorded in the log.

use crate::fleet::Fleet;
use crate::interface::FleetOutput;
use millpass_proto::{
    CrashReport, Duration, InstanceId, PartRecord, PartSet, RefusedParts, Timestamp,
};
use millpass_quarantine::{PartChange, PartQuarantine, RefusedSet};

/// Time for a gateway to learn that a part is watched, and to state a response to it, besides the
/// interval of updates.
const EVIDENCE_LATENCY: Duration = Duration::from_millis(200);

/// Least time between two judgements: a gateway reports each crash of a rack by itself.
const JUDGEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a change of leader in which gateways state what the last one refused. Later it would bring
/// back what has been released meanwhile.
const ADOPTION_TIME: Duration = Duration::from_secs(5);

/// Returns the sets of parts that are refused now.
pub(crate) fn in_force(parts: &PartQuarantine, now: Timestamp) -> Vec<RefusedParts> {
    let in_force = parts.refused().filter(|(_, entry)| !entry.expired);
    in_force
        .map(|(set, entry)| refused_parts(now, set, entry))
        .collect()
}

fn refused_parts(now: Timestamp, set: &PartSet, entry: &RefusedSet) -> RefusedParts {
    let remaining = match entry.expired {
        true => 0,
        false => entry.until.since(now).as_millis().max(1) as u64,
    };
    RefusedParts {
        set: set.clone(),
        crashes: entry.crashes,
        remaining_millis: remaining,
    }
}

impl Fleet {
    /// Restores refused parts recorded in the log.
    pub fn restore_refused_parts(
        &mut self,
        now: Timestamp,
        records: impl Iterator<Item = PartRecord>,
    ) {
        for record in records {
            let parts = &mut self.crashes.parts;
            parts.restore(now, record.set, record.crashes, record.expired);
        }
    }

    /// Applies what a gateway reports of parts of prompts. The end of a draining instance is expected
    /// and not attributed to any.
    pub(crate) fn handle_part_report(&mut self, now: Timestamp, report: &CrashReport) {
        let is_new = self
            .leading_since
            .is_some_and(|since| now.since(since) < ADOPTION_TIME);
        for refused in report.refused_parts.iter().filter(|_| is_new) {
            let remaining = Duration::from_millis(refused.remaining_millis);
            let parts = &mut self.crashes.parts;
            parts.adopt(now, &refused.set, refused.crashes, remaining);
        }
        for served in &report.served_parts {
            let at = now.earlier(Duration::from_millis(served.age_millis));
            self.crashes.parts.record_served(&served.key, at);
        }
        for crash in &report.prompts {
            let record = self.registry.get(&crash.instance);
            if record.is_none_or(|record| !record.draining) {
                self.crashes.parts.record_crash(now, crash);
            }
        }
        self.crashes.are_parts_unjudged = true;
        self.judge_parts_if_due(now);
    }

    /// Judges what has been reported since the last time, if that is long enough ago.
    pub(crate) fn judge_parts_if_due(&mut self, now: Timestamp) {
        let elapsed = now.since(self.crashes.parts_judged_at);
        if self.crashes.are_parts_unjudged && elapsed >= JUDGEMENT_INTERVAL * self.slowdown {
            self.judge_parts(now);
        }
    }

    /// Withdraws the crash of an instance that announces itself.
    pub(crate) fn record_survival_for_parts(&mut self, now: Timestamp, instance: &InstanceId) {
        let parts = &mut self.crashes.parts;
        let crashed_at = parts.crashed_at(instance);
        if crashed_at.is_some_and(|at| now.since(at) >= crate::crashes::SURVIVAL_TIME) {
            parts.retract_crash(now, instance);
            self.output_part_changes();
        }
    }

    /// Ends the quarantine of parts whose time has elapsed.
    pub(crate) fn expire_refused_parts(&mut self, now: Timestamp) {
        if !self.crashes.parts.is_empty() {
            self.crashes.parts.expire(now);
            self.judge_parts(now);
        }
    }

    fn judge_parts(&mut self, now: Timestamp) {
        self.crashes.are_parts_unjudged = false;
        self.crashes.parts_judged_at = now;
        let wait = self.gateways.update_interval(self.slowdown) * 2 + EVIDENCE_LATENCY;
        let parts = &mut self.crashes.parts;
        parts.judge(now, wait);
        let explained: Vec<InstanceId> = parts.take_explained();
        self.retract_request_crashes(now, explained.into_iter());
        self.output_part_changes();
    }

    fn output_part_changes(&mut self) {
        for change in self.crashes.parts.take_changes() {
            match change {
                PartChange::Refused(set, entry) => {
                    let mut pairs = set_pairs(&set);
                    pairs.push(("crashes", entry.crashes.to_string()));
                    pairs.push(("expired", entry.expired.to_string()));
                    self.event("parts-refused", pairs);
                    self.out.push(FleetOutput::QuarantineParts(PartRecord {
                        set,
                        crashes: entry.crashes,
                        expired: entry.expired,
                    }));
                }
                PartChange::Released(set, reason) => {
                    let mut pairs = set_pairs(&set);
                    pairs.push(("reason", reason.as_str().to_owned()));
                    self.event("parts-released", pairs);
                    self.out.push(FleetOutput::ReleaseParts(set));
                }
            }
        }
    }

    /// Releases parts on an operator's behalf. Returns false if they were not refused.
    pub fn release_parts(&mut self, set: &PartSet) -> bool {
        let was_refused = self.crashes.parts.release(set);
        if was_refused {
            let mut pairs = set_pairs(set);
            pairs.push(("reason", "operator".to_owned()));
            self.event("parts-released", pairs);
        }
        was_refused
    }

    /// Returns the refused sets of parts, with no remaining time after their quarantine has expired.
    pub fn refused_parts(&self, now: Timestamp) -> Vec<RefusedParts> {
        let refused = self.crashes.parts.refused();
        refused
            .map(|(set, entry)| refused_parts(now, set, entry))
            .collect()
    }
}

fn set_pairs(set: &PartSet) -> Vec<(&'static str, String)> {
    let parts: Vec<String> = set.parts.iter().map(|part| format!("{part:x}")).collect();
    let tenant = match (&set.tenant, set.all_tenants) {
        (_, true) => "all",
        (Some(tenant), false) => tenant.0.as_str(),
        (None, false) => "",
    };
    vec![
        ("service", set.service.0.clone()),
        ("tenant", tenant.to_owned()),
        ("parts", parts.join(",")),
    ]
}
