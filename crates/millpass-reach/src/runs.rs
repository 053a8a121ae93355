//! Which process run is behind a connection.
//!
//! An address and an ID may pass to another process before that announces itself. A connection leads to
//! a run that is known to have been alive after it was opened.

use millpass_proto::{Duration, InstanceId, RunQuery, RunUpdate, Timestamp};
use std::collections::BTreeMap;

/// Interval at which the leader is asked about runs.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a question without an answer is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    alive_at: Option<Timestamp>,
    /// Until when another process may have begun to announce itself as this run.
    restarted_until: Option<Timestamp>,
}

/// What is known of process runs, and which of them the leader is asked about.
#[derive(Debug, Default)]
pub struct RunProofs {
    evidence: BTreeMap<InstanceId, Evidence>,
    /// Until when there is interest in a run.
    wanted: BTreeMap<InstanceId, Timestamp>,
    number: u64,
    asked_at: Option<Timestamp>,
    is_answered: bool,
    is_connected: bool,
}

impl RunProofs {
    /// Returns whether a connection that was opened at `opened` leads to a run that was alive at `alive`.
    pub fn is_same(&self, run: &InstanceId, opened: Timestamp, alive: Timestamp) -> bool {
        let Some(known) = self.evidence.get(run) else {
            return false;
        };
        let is_alive = known.alive_at.is_some_and(|at| at >= alive.max(opened));
        is_alive && known.restarted_until.is_none_or(|until| until < opened)
    }

    /// Asks the leader about a run until a point in time.
    pub fn want(&mut self, run: &InstanceId, until: Timestamp) {
        let wanted = self.wanted.entry(run.clone()).or_insert(until);
        *wanted = until.max(*wanted);
    }

    /// Returns when the leader is to be asked; none if there is nothing to ask.
    pub fn query_at(&self, now: Timestamp) -> Option<Timestamp> {
        if self.wanted.is_empty() || !self.is_connected {
            return None;
        }
        let wait = match self.is_answered {
            true => QUERY_INTERVAL,
            false => ANSWER_TIMEOUT,
        };
        Some(self.asked_at.map_or(now, |at| at + wait))
    }

    /// Returns the question to the leader, if one is due.
    pub fn query(&mut self, now: Timestamp) -> Option<RunQuery> {
        self.wanted.retain(|_, until| now < *until);
        if self.query_at(now)? > now {
            return None;
        }
        self.number += 1;
        self.asked_at = Some(now);
        self.is_answered = false;
        Some(RunQuery {
            number: self.number,
            runs: self.wanted.keys().cloned().collect(),
        })
    }

    /// Applies the leader's answer. Ages count from before the question for a run that was alive, and
    /// from the answer for one that was replaced, so that neither is known too well.
    pub fn apply(&mut self, now: Timestamp, update: RunUpdate) {
        let Some(asked_at) = self.asked_at.filter(|_| update.number == self.number) else {
            return;
        };
        self.is_answered = true;
        for proof in update.proofs {
            let known = self.evidence.entry(proof.instance).or_default();
            let alive_at = proof.alive_millis.map(|age| earlier(asked_at, age));
            known.alive_at = known.alive_at.max(alive_at);
            let restarted = proof.restarted_millis.map(|age| earlier(now, age));
            if restarted > known.restarted_until {
                known.restarted_until = restarted;
                known.alive_at = alive_at;
            }
        }
    }

    /// Forgets runs that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.evidence.retain(|run, _| is_known(run));
        self.wanted.retain(|run, _| is_known(run));
    }

    /// Records that a report arrived at a leader.
    pub fn connected(&mut self) {
        self.is_connected = true;
        self.asked_at = None;
    }

    /// Records the end of the connection to the leader.
    pub fn disconnected(&mut self) {
        self.is_connected = false;
    }
}

fn earlier(at: Timestamp, age_millis: u64) -> Timestamp {
    at.earlier(Duration::from_millis(age_millis))
}
