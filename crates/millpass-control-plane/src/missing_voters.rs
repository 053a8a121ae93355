//! Tracks voters that do not respond to the leader, for the log and the metrics.

use crate::outputs::Outputs;
use crate::repair::{Repair, RepairSettings};
use millpass_consensus::{ConsensusStatus, MemberProgress};
use millpass_proto::{Duration, MemberAddress, MemberId, Timestamp};
use std::collections::BTreeMap;

pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without contact at which a missing voter is logged again; doubled after each log line.
const FIRST_REPEAT: Duration = Duration::from_secs(2);

struct MissingVoter {
    since: Timestamp,
    next_report: Duration,
}

/// Voters that do not respond to the leader.
#[derive(Default)]
pub(crate) struct MissingVoters {
    missing: BTreeMap<MemberId, MissingVoter>,
}

impl MissingVoters {
    pub(crate) fn count(&self) -> usize {
        self.missing.len()
    }

    /// Clears the list: only the leader observes voters.
    pub(crate) fn clear(&mut self) {
        self.missing.clear();
    }

    /// Updates the list and logs missing and recovered voters.
    pub(crate) fn check(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        repair: &Repair,
        settings: RepairSettings,
        out: &mut Outputs,
    ) {
        let unreachable: BTreeMap<MemberId, Duration> = status
            .progress
            .iter()
            .filter(|member| since_contact(member) > settings.response_timeout)
            .map(|member| (member.member, since_contact(member)))
            .collect();
        self.log_recovered(now, status, &unreachable, out);
        for voter in &status.membership.voters {
            if let Some(since_contact) = unreachable.get(&voter.member) {
                let remedy = next_step(status, repair, *since_contact, settings);
                self.log_missing(now, status, voter, *since_contact, remedy, out);
            }
        }
    }

    fn log_recovered(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        unreachable: &BTreeMap<MemberId, Duration>,
        out: &mut Outputs,
    ) {
        let voters = &status.membership.voters;
        let is_voter = |member: &MemberId| voters.iter().any(|voter| voter.member == *member);
        self.missing.retain(|member, missing| {
            let is_missing = is_voter(member) && unreachable.contains_key(member);
            if !is_missing {
                let outcome = if is_voter(member) { "back" } else { "replaced" };
                let pairs = vec![
                    ("member", member.to_string()),
                    ("how", outcome.to_owned()),
                    ("after_ms", now.since(missing.since).as_millis().to_string()),
                ];
                out.event("voter-missing-no-more", pairs);
            }
            is_missing
        });
    }

    fn log_missing(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        voter: &MemberAddress,
        since_contact: Duration,
        remedy: &str,
        out: &mut Outputs,
    ) {
        let missing = self.missing.entry(voter.member).or_insert(MissingVoter {
            since: now,
            next_report: Duration::ZERO,
        });
        if since_contact < missing.next_report {
            return;
        }
        missing.next_report = (since_contact * 2).max(FIRST_REPEAT);
        let voters = status.membership.voters.len();
        let responding = voters.saturating_sub(self.missing.len());
        let pairs = vec![
            ("member", voter.member.to_string()),
            ("address", voter.peer_address.clone()),
            ("zone", voter.zone.to_string()),
            ("silent_ms", since_contact.as_millis().to_string()),
            ("voters", voters.to_string()),
            ("answering", responding.to_string()),
            ("needed", (voters / 2 + 1).to_string()),
            ("restores", remedy.to_owned()),
        ];
        out.event("voter-missing", pairs);
    }
}

fn since_contact(progress: &MemberProgress) -> Duration {
    Duration::from_millis(progress.silent_millis)
}

/// Returns the next expected step that restores fault tolerance.
fn next_step(
    status: &ConsensusStatus,
    repair: &Repair,
    since_contact: Duration,
    settings: RepairSettings,
) -> &'static str {
    if !status.membership.outgoing_voters.is_empty() {
        "change-under-way"
    } else if !status.membership.learners.is_empty() {
        "joiner-catches-up"
    } else if repair.has_joiners() {
        "joiner-is-taken-on"
    } else if since_contact <= settings.replacement_delay {
        "its-return"
    } else {
        "nobody-asks-to-join"
    }
}
