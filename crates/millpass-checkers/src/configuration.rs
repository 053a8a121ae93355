//! Checks that accepted configuration is applied in time and never reverts.
//!
//! A router that can reach a majority applies a committed revision within the bound after the last
//! disturbance. Within an incarnation the applied revision never decreases, and every change
//! reported as accepted is in the final audit log.

use crate::{Breach, Event, History, Limits};
use millpass_proto::{
    ChangeId, ConfigurationRevision, Incarnation, ObjectChangeOutcome, RouterName,
};
use std::collections::{BTreeMap, BTreeSet};

/// Name of the checker.
pub const NAME: &str = "configuration";

/// Reports revisions that were late, reverted or lost.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut breaches = reverted(history);
    breaches.extend(lost(history));
    breaches.extend(late(history, limits));
    breaches
}

fn breach(at_micros: u64, detail: String) -> Breach {
    Breach {
        checker: NAME,
        at_micros,
        detail,
    }
}

fn reverted(history: &History) -> Vec<Breach> {
    let mut applied: BTreeMap<(&RouterName, Incarnation), ConfigurationRevision> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        let Event::RevisionApplied {
            router,
            incarnation,
            revision,
        } = &record.event
        else {
            continue;
        };
        let before = applied.insert((router, *incarnation), *revision);
        if let Some(before) = before.filter(|before| before.0 > revision.0) {
            breaches.push(breach(
                record.at_micros,
                format!("router {router} reverted from revision {before} to {revision}"),
            ));
        }
    }
    breaches
}

fn lost(history: &History) -> Vec<Breach> {
    let mut change_of_call: BTreeMap<u64, &ChangeId> = BTreeMap::new();
    let mut accepted: BTreeMap<&ChangeId, ConfigurationRevision> = BTreeMap::new();
    let mut before_audit = BTreeMap::new();
    let mut audited: BTreeMap<&ChangeId, ConfigurationRevision> = BTreeMap::new();
    let mut audit_read = None;
    let mut breaches = Vec::new();
    for record in history.records() {
        match &record.event {
            Event::ChangeCalled {
                call, change_id, ..
            } => {
                change_of_call.insert(*call, change_id);
            }
            Event::ChangeReturned {
                call,
                outcome: ObjectChangeOutcome::Accepted(answer),
            } => {
                if let Some(change_id) = change_of_call.get(call) {
                    accepted.insert(change_id, answer.revision);
                }
            }
            Event::FinalAudit {
                change_id,
                revision,
            } => {
                let before = audited.insert(change_id, *revision);
                let duplicate = before.map(|_| {
                    breach(
                        record.at_micros,
                        format!("change {change_id} is in the audit log twice"),
                    )
                });
                breaches.extend(duplicate);
            }
            Event::FinalAuditCalled => before_audit = accepted.clone(),
            Event::FinalAuditRead => audit_read = Some(record.at_micros),
            _ => {}
        }
    }
    let Some(read_at) = audit_read else {
        return breaches;
    };
    for (change_id, revision) in before_audit {
        if audited.get(change_id) != Some(&revision) {
            breaches.push(breach(
                read_at,
                format!(
                    "accepted change {change_id} at revision {revision} is missing in the audit log"
                ),
            ));
        }
    }
    breaches
}

#[derive(Default)]
struct RouterTimeline {
    applied: Vec<(u64, u64)>,
    reachable: Vec<(u64, bool)>,
}

impl RouterTimeline {
    /// Returns the start of the first interval of length `bound`, at or after `from`, during which
    /// the router is reachable and nothing is disturbed; `None` if the run ends before.
    fn stable_from(
        &self,
        from: u64,
        bound: u64,
        disturbances: &BTreeSet<u64>,
        run_end: u64,
    ) -> Option<u64> {
        let mut start = from;
        loop {
            if start.saturating_add(bound) > run_end {
                return None;
            }
            start = self.reachable_from(start)?;
            let end = start.saturating_add(bound);
            let disturbed = disturbances.range(start + 1..=end).next_back().copied();
            let unreachable = self
                .reachable
                .iter()
                .rev()
                .find(|(at, reachable)| !reachable && *at > start && *at <= end);
            match (disturbed, unreachable) {
                (None, None) => return (end <= run_end).then_some(start),
                (disturbed, unreachable) => {
                    start = disturbed
                        .unwrap_or(0)
                        .max(unreachable.map_or(0, |(at, _)| *at));
                }
            }
        }
    }

    fn reachable_from(&self, at: u64) -> Option<u64> {
        let mut from = at;
        loop {
            if self.is_reachable_at(from) {
                return Some(from);
            }
            let later = self.reachable.iter().find(|(when, _)| *when > from);
            from = later?.0;
        }
    }

    /// Returns the state after the last record up to `at`, inclusive.
    fn is_reachable_at(&self, at: u64) -> bool {
        let before = self.reachable.iter().rev().find(|(when, _)| *when <= at);
        before.is_some_and(|(_, reachable)| *reachable)
    }

    fn applied_at(&self, at: u64) -> u64 {
        let before = self.applied.iter().rev().find(|(when, _)| *when <= at);
        before.map_or(0, |(_, revision)| *revision)
    }
}

fn late(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut timelines: BTreeMap<&RouterName, RouterTimeline> = BTreeMap::new();
    let mut disturbances = BTreeSet::new();
    let mut committed = Vec::new();
    let mut run_end = 0;
    for record in history.records() {
        let at = record.at_micros;
        match &record.event {
            Event::RevisionApplied {
                router, revision, ..
            } => timelines
                .entry(router)
                .or_default()
                .applied
                .push((at, revision.0)),
            Event::RouterReachable { router, reachable } => timelines
                .entry(router)
                .or_default()
                .reachable
                .push((at, *reachable)),
            Event::Disturbed { .. } | Event::AllHealed => {
                disturbances.insert(at);
            }
            Event::RevisionCommitted { revision } => committed.push((at, *revision)),
            Event::RunOver => run_end = at,
            _ => {}
        }
    }
    let mut breaches = Vec::new();
    for (at, revision) in committed {
        for (router, timeline) in &timelines {
            let bound = limits.in_force_micros;
            let stable = timeline.stable_from(at, bound, &disturbances, run_end);
            let Some(due) = stable.map(|start| start + bound) else {
                continue;
            };
            let applied = timeline.applied_at(due);
            if applied < revision.0 {
                breaches.push(breach(
                    due,
                    format!(
                        "router {router} still applies {applied}; revision {revision}, committed at \
                         {at}, is due"
                    ),
                ));
            }
        }
    }
    breaches
}
