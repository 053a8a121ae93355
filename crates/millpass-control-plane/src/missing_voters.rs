//! Which voters a leader misses, since when, and what the group does about it: for the log and the metrics.

use crate::outputs::Outputs;
use crate::repair::{Repair, RepairSettings};
use millpass_consensus::{ConsensusStatus, MemberProgress};
use millpass_proto::{Duration, MemberAddress, MemberId, Timestamp};
use std::collections::BTreeMap;

/// Time between two looks.
pub(crate) const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a voter is missed when the log says it a second time; then each time that it has doubled.
const SECOND_REPORT: Duration = Duration::from_secs(2);

/// A voter that does not answer.
struct MissingVoter {
    since: Timestamp,
    next_report: Duration,
}

/// Voters that do not answer.
#[derive(Default)]
pub(crate) struct MissingVoters {
    missing: BTreeMap<MemberId, MissingVoter>,
}

impl MissingVoters {
    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.missing.len()
    }

    /// This member does not lead: it cannot tell.
    pub(crate) fn clear(&mut self) {
        self.missing.clear();
    }

    /// Looks at who answers the leader.
    pub(crate) fn look(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        repair: &Repair,
        settings: RepairSettings,
        out: &mut Outputs,
    ) {
        let silent: BTreeMap<MemberId, Duration> = status
            .progress
            .iter()
            .filter(|it| silence(it) > settings.answer_timeout)
            .map(|it| (it.member, silence(it)))
            .collect();
        self.report_returns(now, status, &silent, out);
        for voter in &status.membership.voters {
            if let Some(silence) = silent.get(&voter.member) {
                let restores = next_step(status, repair, *silence, settings);
                self.report_missing(now, status, voter, *silence, restores, out);
            }
        }
    }

    fn report_returns(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        silent: &BTreeMap<MemberId, Duration>,
        out: &mut Outputs,
    ) {
        let voters = &status.membership.voters;
        let is_voter = |member: &MemberId| voters.iter().any(|voter| voter.member == *member);
        self.missing.retain(|member, missing| {
            let is_missing = is_voter(member) && silent.contains_key(member);
            if !is_missing {
                let how = if is_voter(member) { "back" } else { "replaced" };
                let pairs = vec![
                    ("member", member.to_string()),
                    ("how", how.to_owned()),
                    ("after_ms", now.since(missing.since).as_millis().to_string()),
                ];
                out.event("voter-missing-no-more", pairs);
            }
            is_missing
        });
    }

    fn report_missing(
        &mut self,
        now: Timestamp,
        status: &ConsensusStatus,
        voter: &MemberAddress,
        silence: Duration,
        restores: &str,
        out: &mut Outputs,
    ) {
        let missing = self.missing.entry(voter.member).or_insert(MissingVoter {
            since: now,
            next_report: Duration::ZERO,
        });
        if silence < missing.next_report {
            return;
        }
        missing.next_report = (silence * 2).max(SECOND_REPORT);
        let voters = status.membership.voters.len();
        let answering = voters.saturating_sub(self.missing.len());
        let pairs = vec![
            ("member", voter.member.to_string()),
            ("address", voter.peer_address.clone()),
            ("zone", voter.zone.to_string()),
            ("silent_ms", silence.as_millis().to_string()),
            ("voters", voters.to_string()),
            ("answering", answering.to_string()),
            ("needed", (voters / 2 + 1).to_string()),
            ("restores", restores.to_owned()),
        ];
        out.event("voter-missing", pairs);
    }
}

fn silence(progress: &MemberProgress) -> Duration {
    Duration::from_millis(progress.silent_millis)
}

/// What brings the lost tolerance back next.
fn next_step(
    status: &ConsensusStatus,
    repair: &Repair,
    silence: Duration,
    settings: RepairSettings,
) -> &'static str {
    if !status.membership.outgoing_voters.is_empty() {
        "change-under-way"
    } else if !status.membership.learners.is_empty() {
        "joiner-catches-up"
    } else if repair.has_joiners() {
        "joiner-is-taken-on"
    } else if silence <= settings.replacement_delay {
        "its-return"
    } else {
        "nobody-asks-to-join"
    }
}
