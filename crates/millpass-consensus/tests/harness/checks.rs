//! Invariants of a run. Violations are collected instead of panicking, so that tests can verify that
//! each check is able to fail.

use super::machine::Machine;
use super::values::digest;
use millpass_proto::{LogEntry, LogPosition, MemberId, PeerEnvelope, PeerMessage};
use std::collections::BTreeMap;

/// Limits the output of one rule, so that it does not hide violations of others.
const VIOLATIONS_KEPT_PER_RULE: usize = 3;

/// Invariant that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    OneLeaderPerTerm,
    LogMatching,
    StateMachineSafety,
    CommittedNeverLost,
    LeaseExclusive,
    LeaseReadsFresh,
    PersistedBeforeSent,
    OneVotePerTerm,
    Converges,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at_micros: u64,
    pub detail: String,
}

#[derive(Default)]
pub struct Checks {
    pub violations: Vec<Violation>,
    leaders: BTreeMap<u64, MemberId>,
    committed: BTreeMap<u64, (LogPosition, u64)>,
    written: BTreeMap<LogPosition, u64>,
    predecessors: BTreeMap<LogPosition, LogPosition>,
    votes: BTreeMap<(MemberId, u64), MemberId>,
    /// Highest index acknowledged to a proposer.
    pub acknowledged: u64,
    pub lease_instants: u64,
}

impl Checks {
    pub fn report(&mut self, rule: Rule, at_micros: u64, detail: String) {
        let same_rule = |violation: &&Violation| violation.rule == rule;
        if self.violations.iter().filter(same_rule).count() < VIOLATIONS_KEPT_PER_RULE {
            self.violations.push(Violation {
                rule,
                at_micros,
                detail,
            });
        }
    }

    pub fn leads(&mut self, now: u64, member: MemberId, term: u64) {
        let first = *self.leaders.entry(term).or_insert(member);
        if first != member {
            let detail = format!("{first} and {member} lead term {term}");
            self.report(Rule::OneLeaderPerTerm, now, detail);
        }
    }

    pub fn elections(&self) -> usize {
        self.leaders.len()
    }

    pub fn commits(&mut self, now: u64, member: MemberId, entry: &LogEntry) {
        let value = (entry.position, digest(entry));
        let first = *self.committed.entry(entry.position.index).or_insert(value);
        if first != value {
            let detail = format!("{member} commits {} over {}", entry.position, first.0);
            self.report(Rule::StateMachineSafety, now, detail);
        }
    }

    pub fn applies_out_of_order(&mut self, now: u64, member: MemberId, detail: String) {
        self.report(Rule::StateMachineSafety, now, format!("{member} {detail}"));
    }

    pub fn committed_count(&self) -> usize {
        self.committed.len()
    }

    /// Checks that entries with the same position are equal, and so are their predecessors.
    pub fn writes(&mut self, now: u64, entries: &[LogEntry]) {
        for entry in entries {
            let digest = digest(entry);
            if *self.written.entry(entry.position).or_insert(digest) != digest {
                let detail = format!("two entries at {}", entry.position);
                self.report(Rule::LogMatching, now, detail);
            }
        }
        for pair in entries.windows(2) {
            let (before, after) = (pair[0].position, pair[1].position);
            if *self.predecessors.entry(after).or_insert(before) != before {
                let detail = format!("two predecessors of {after}");
                self.report(Rule::LogMatching, now, detail);
            }
        }
    }

    /// Records votes when they are sent, to another member or as a candidate's own vote. A vote whose
    /// write was lost in a crash does not count.
    fn votes(&mut self, now: u64, envelope: &PeerEnvelope) {
        let candidate = match &envelope.message {
            PeerMessage::VoteResponse(response) if response.granted => envelope.to,
            PeerMessage::VoteRequest(_) => envelope.from,
            _ => return,
        };
        let key = (envelope.from, envelope.term);
        let first = *self.votes.entry(key).or_insert(candidate);
        if first != candidate {
            let detail = format!("{} votes twice in term {}", envelope.from, envelope.term);
            self.report(Rule::OneVotePerTerm, now, detail);
        }
    }

    /// Checks messages that assert durable state against the current disk.
    pub fn sends(&mut self, now: u64, machine: &Machine, envelope: &PeerEnvelope) {
        self.votes(now, envelope);
        let disk = &machine.disk;
        let kept = match &envelope.message {
            PeerMessage::VoteResponse(response) if response.granted => {
                let vote = (disk.hard_state.term, disk.hard_state.voted_for);
                vote == (envelope.term, Some(envelope.to))
            }
            PeerMessage::VoteRequest(_) => {
                let vote = (disk.hard_state.term, disk.hard_state.voted_for);
                vote == (envelope.term, Some(envelope.from))
            }
            PeerMessage::AppendResponse(response) if response.accepted => {
                disk.hard_state.term >= envelope.term && response.match_index <= disk.last().index
            }
            PeerMessage::SnapshotProgress(progress) if progress.installed => {
                progress.last.index <= disk.last().index
            }
            _ => true,
        };
        if !kept {
            let detail = format!("{envelope:?} but the disk is at {}", disk.last());
            self.report(Rule::PersistedBeforeSent, now, detail);
        }
    }

    /// Checks the leases of all machines at one instant.
    pub fn leases(&mut self, now: u64, machines: &[Machine]) {
        let holders: Vec<&Machine> = machines
            .iter()
            .filter(|machine| machine.holds_lease(now))
            .collect();
        if holders.len() > 1 {
            let names: Vec<MemberId> = holders.iter().map(|machine| machine.member).collect();
            self.report(
                Rule::LeaseExclusive,
                now,
                format!("{names:?} hold the lease"),
            );
        }
        for holder in holders {
            self.lease_instants += 1;
            if holder.applied < self.acknowledged {
                let detail = format!(
                    "{} holds the lease at {} but {} is acknowledged",
                    holder.member, holder.applied, self.acknowledged
                );
                self.report(Rule::LeaseReadsFresh, now, detail);
            }
        }
    }

    /// Checks that all members have the same state, including all acknowledged entries.
    pub fn converged(&mut self, now: u64, machines: &[Machine], members: &[MemberId]) {
        let mut states = BTreeMap::new();
        for machine in machines {
            if !members.contains(&machine.member) {
                continue;
            }
            states.insert((machine.applied, machine.state), machine.member);
            if machine.applied < self.acknowledged {
                let detail = format!(
                    "{} applied {} of {} acknowledged",
                    machine.member, machine.applied, self.acknowledged
                );
                self.report(Rule::CommittedNeverLost, now, detail);
            }
        }
        if states.len() != 1 {
            self.report(Rule::Converges, now, format!("states differ: {states:?}"));
        }
    }

    pub fn has(&self, rule: Rule) -> bool {
        self.violations
            .iter()
            .any(|violation| violation.rule == rule)
    }
}
