//! Until when process runs of instances are known to have been alive.
//!
//! A run announces itself again only after an announcement was acknowledged or given up. So it was alive
//! when an earlier one arrived, and another has arrived since, unless both were given up before they
//! arrived: a cut holds up announcements, also until after the end of their run. It shows as a silence.

use crate::fleet::Fleet;
use millpass_proto::{
    Duration, InstanceId, OriginAnswer, OriginFinding, RunProof, RunQuery, RunUpdate, Timestamp,
};
use std::collections::BTreeMap;

/// Least time between an announcement and a later one that proves it was not held up: announcements
/// that arrive together after a pause of this process were sent at unknown times.
const MIN_SPACING: Duration = Duration::from_millis(100);
/// Time without an acknowledgement after which an announcement is given up.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest interval at which held up bytes are sent again. It doubles, so that they arrive after the end
/// of a cut within the time that they were held up, and this.
const RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its last announcement for which a run is remembered: streams that it began go on.
const RETENTION: Duration = Duration::from_secs(60);
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Announcements of one process run.
#[derive(Clone, Copy, Debug)]
struct Announcements {
    sequence: u64,
    heard_at: Timestamp,
    /// Arrival of an announcement that a later one is to prove.
    candidate: Option<Timestamp>,
    /// Until when announcements may arrive that were held up and given up.
    held_up_until: Timestamp,
    alive_at: Option<Timestamp>,
    restarted_at: Option<Timestamp>,
}

impl Announcements {
    fn new(now: Timestamp, sequence: u64) -> Self {
        Announcements {
            sequence,
            heard_at: now,
            candidate: Some(now),
            held_up_until: Timestamp::ZERO,
            alive_at: None,
            restarted_at: None,
        }
    }

    fn record(&mut self, now: Timestamp, sequence: u64, longest_gap: Duration) {
        if sequence <= self.sequence {
            return;
        }
        let silence = now.since(self.heard_at);
        self.sequence = sequence;
        self.heard_at = now;
        if self.candidate.is_some_and(|at| now.since(at) < MIN_SPACING) {
            return;
        }
        if silence > longest_gap {
            self.held_up_until = now + silence + RETRANSMISSION_INTERVAL;
        }
        self.alive_at = self.candidate.or(self.alive_at);
        self.candidate = (now >= self.held_up_until).then_some(now);
    }

    /// Returns whether the run was behind a connection that was opened at `opened`.
    fn is_behind(&self, opened: Timestamp) -> bool {
        self.alive_at.is_some_and(|at| at >= opened)
            && self.restarted_at.is_none_or(|at| at < opened)
    }
}

/// What announcements show of process runs.
#[derive(Debug)]
pub(crate) struct RunTable {
    runs: BTreeMap<InstanceId, Announcements>,
    /// Longest time between two announcements of which none was given up.
    longest_gap: Duration,
    swept_at: Timestamp,
}

impl RunTable {
    /// Creates a table for instances that announce themselves at an interval.
    pub(crate) fn new(announce_interval: Duration) -> Self {
        RunTable {
            runs: BTreeMap::new(),
            longest_gap: announce_interval + ACKNOWLEDGEMENT_TIMEOUT,
            swept_at: Timestamp::ZERO,
        }
    }

    /// Records the arrival of an announcement.
    pub(crate) fn record(&mut self, now: Timestamp, run: &InstanceId, sequence: u64) {
        match self.runs.get_mut(run) {
            Some(known) => known.record(now, sequence, self.longest_gap),
            None => {
                self.runs
                    .insert(run.clone(), Announcements::new(now, sequence));
            }
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.runs
                .retain(|_, run| now.since(run.heard_at) < RETENTION);
        }
    }

    fn record_end(&mut self, now: Timestamp, run: &InstanceId) {
        if let Some(known) = self.runs.get_mut(run) {
            known.record(now, known.sequence.saturating_add(1), self.longest_gap);
        }
    }

    /// Records an announcement with a lower number than one before it; returns whether another process
    /// announces itself as this run. Late announcements of a run that states its start time are told by it.
    fn record_lower_sequence(&mut self, now: Timestamp, run: &InstanceId) -> bool {
        if run.incarnation() > 0 {
            return false;
        }
        let Some(known) = self.runs.get_mut(run) else {
            return false;
        };
        *known = Announcements {
            restarted_at: Some(now),
            ..Announcements::new(now, known.sequence)
        };
        true
    }

    fn proof(&self, now: Timestamp, run: InstanceId) -> Option<RunProof> {
        let known = self.runs.get(&run)?;
        let age = |at: Timestamp| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(RunProof {
            instance: run,
            // Rounded up: never later than it was.
            alive_millis: known.alive_at.map(|at| age(at).saturating_add(1)),
            restarted_millis: known.restarted_at.map(age),
        })
    }
}

impl Fleet {
    /// Returns what is known of the process runs that a gateway asks for.
    pub fn handle_runs(&self, now: Timestamp, query: RunQuery) -> RunUpdate {
        let runs = query.runs.into_iter();
        RunUpdate {
            number: query.number,
            proofs: runs.filter_map(|run| self.runs.proof(now, run)).collect(),
        }
    }

    /// Records that an instance has announced its departure.
    pub fn record_departing(&mut self, now: Timestamp, instance: &InstanceId) {
        self.runs.record_end(now, instance);
    }

    /// Records an announcement with a lower number than one before it.
    pub(crate) fn record_lower_sequence(&mut self, now: Timestamp, instance: &InstanceId) {
        if self.runs.record_lower_sequence(now, instance) {
            self.origins.run_restarted(instance);
            let pairs = vec![("instance", instance.0.clone())];
            self.event("instance-restarted", pairs);
        }
    }

    /// Replaces a known origin by what is known of its process run, unless that began the stream for
    /// certain.
    pub(crate) fn check_origin(&self, answer: &mut OriginAnswer) {
        let OriginFinding::Known(origin) = &answer.finding else {
            return;
        };
        let Some(opened) = self.origins.opened_at(&answer.stream) else {
            return;
        };
        let run = self.runs.runs.get(&origin.instance);
        if run.is_some_and(|run| run.is_behind(opened)) {
            return;
        }
        answer.finding = match self.registry.get(&origin.instance) {
            // Its announcements may go on.
            Some(_) => OriginFinding::Unproven,
            None => OriginFinding::Contradicted,
        };
    }
}
