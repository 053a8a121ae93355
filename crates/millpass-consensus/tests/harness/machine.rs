//! Simulated machine: a member with disk, clock and state machine.

use super::disk::Disk;
use super::values::{DRIFT_BOUND_PER_MILLE, chain, settings};
use millpass_consensus::{
    Consensus, ConsensusInput, ConsensusOutput, ConsensusStatus, Role, TrailingLimits,
};
use millpass_proto::{
    LogEntry, LogPosition, MemberId, Membership, Snapshot, SnapshotMeta, Timestamp,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const MICROS_PER_SECOND: u64 = 1_000_000;
const TRAILING_BYTES: usize = 32 * 1024;

/// A drifting clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset_micros: u64,
    pub drift_per_mille: i64,
}

impl Clock {
    pub fn at(&self, true_micros: u64) -> Timestamp {
        let scaled = true_micros as i128 * (1000 + self.drift_per_mille) as i128 / 1000;
        Timestamp::from_micros(self.offset_micros + scaled as u64)
    }

    pub fn drifting(offset_seconds: u64, drift_per_mille: i64) -> Self {
        Clock {
            offset_micros: offset_seconds * MICROS_PER_SECOND,
            drift_per_mille: drift_per_mille.clamp(-900, 4 * DRIFT_BOUND_PER_MILLE),
        }
    }
}

pub struct Machine {
    pub member: MemberId,
    pub core: Option<Consensus>,
    pub disk: Disk,
    pub clock: Clock,
    /// Incremented on start and stop; events of earlier incarnations are ignored.
    pub incarnation: u64,
    pub frozen: bool,
    pub applied: u64,
    pub applied_position: LogPosition,
    pub state: u64,
    pub membership: Membership,
    /// Tickets of proposals on this machine, by log position.
    pub tickets: BTreeMap<LogPosition, u64>,
    pub trailing_entries: u64,
    pub trailing_bytes: usize,
    /// Minimum and maximum delay until a received message or disk report is processed.
    pub lag_micros: (u64, u64),
    /// Time at which the last delayed event is processed; order is preserved.
    pub busy_until: u64,
}

impl Machine {
    pub fn new(member: MemberId, meta: SnapshotMeta, clock: Clock) -> Self {
        Machine {
            member,
            core: None,
            membership: meta.membership.clone(),
            disk: Disk::new(meta),
            clock,
            incarnation: 0,
            frozen: false,
            applied: 0,
            applied_position: LogPosition::ZERO,
            state: 0,
            tickets: BTreeMap::new(),
            trailing_entries: 4,
            trailing_bytes: TRAILING_BYTES,
            lag_micros: (0, 0),
            busy_until: 0,
        }
    }

    /// Starts from the disk. Returns the outputs of passing the restored snapshot to the core.
    pub fn start(&mut self, now: u64, seed: u64) -> Vec<ConsensusOutput> {
        self.incarnation += 1;
        let time = self.clock.at(now);
        let mut core = Consensus::new(settings(self.member, seed), self.disk.restored(), time);
        core.set_trailing_limits(TrailingLimits {
            entries: self.trailing_entries,
            bytes: self.trailing_bytes,
        });
        self.core = Some(core);
        self.applied = 0;
        self.applied_position = LogPosition::ZERO;
        self.state = 0;
        self.tickets.clear();
        self.membership = self.disk.meta.membership.clone();
        match self.disk.snapshot.clone() {
            Some(snapshot) => {
                self.restore(&snapshot);
                self.step(now, ConsensusInput::SnapshotTaken(snapshot))
            }
            None => Vec::new(),
        }
    }

    pub fn stop(&mut self, surviving_writes: usize) {
        self.incarnation += 1;
        self.core = None;
        self.frozen = false;
        self.busy_until = 0;
        self.disk.crash(surviving_writes);
    }

    pub fn step(&mut self, now: u64, input: ConsensusInput) -> Vec<ConsensusOutput> {
        let time = self.clock.at(now);
        match &mut self.core {
            Some(core) => core.step(time, input),
            None => Vec::new(),
        }
    }

    pub fn status(&self) -> Option<ConsensusStatus> {
        self.core.as_ref().map(Consensus::status)
    }

    pub fn leads(&self) -> bool {
        self.status()
            .is_some_and(|status| status.role == Role::Leader)
    }

    pub fn holds_lease(&self, now: u64) -> bool {
        let time = self.clock.at(now);
        self.core
            .as_ref()
            .is_some_and(|core| core.holds_lease(time))
    }

    pub fn apply(&mut self, entry: &LogEntry) {
        self.applied = entry.position.index;
        self.applied_position = entry.position;
        self.state = chain(self.state, entry);
        if let millpass_proto::EntryPayload::Membership(membership) = &entry.payload {
            self.membership = membership.clone();
        }
    }

    /// Pads the state so that a snapshot takes several chunks.
    pub fn take_snapshot(&self) -> Snapshot {
        let mut data = self.state.to_le_bytes().to_vec();
        data.resize(200 + (self.applied % 64) as usize, 1);
        Snapshot {
            meta: SnapshotMeta {
                last: self.applied_position,
                membership: self.membership.clone(),
            },
            data: Arc::new(data.into()),
        }
    }

    pub fn restore(&mut self, snapshot: &Snapshot) {
        let mut state = [0; 8];
        state.copy_from_slice(&snapshot.data[..8]);
        self.state = u64::from_le_bytes(state);
        self.applied_position = snapshot.meta.last;
        self.applied = snapshot.meta.last.index;
        self.membership = snapshot.meta.membership.clone();
    }
}
