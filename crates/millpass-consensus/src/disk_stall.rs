//! A leader whose disk stalls hands leadership over.
//!
//! It applies and acknowledges only what its own disk holds, and its heartbeats, which need no disk, keep the others from
//! standing: no change was acknowledged for as long as a stall lasted, 17 s in a soak. A disk that is slow finishes writes
//! all the same; where all disks stall, nothing beyond the leader's own is committed and nobody could do better.

use crate::{Consensus, RoleState};
use millpass_proto::{MemberId, Timestamp};

/// For how many limits a leader leads before its disk may cost it the lead: disks that stall in turn change the leader no
/// more often than that.
const LEAST_LEAD: u32 = 2;

/// When the disk last finished a write, or had none to do, in running time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiskProgress {
    completed: u64,
    since: Timestamp,
}

impl DiskProgress {
    pub(crate) fn new(now: Timestamp) -> Self {
        DiskProgress {
            completed: 0,
            since: now,
        }
    }
}

impl Consensus {
    /// Notes whether the disk makes progress.
    pub(crate) fn watch_disk(&mut self) {
        let completed = self.writes.completed();
        if self.writes.is_idle() || completed != self.disk.completed {
            self.disk = DiskProgress {
                completed,
                since: self.running.now(),
            };
        }
    }

    /// Hands over once this member's disk has stalled for the limit while a majority has synced more than it holds.
    pub(crate) fn tick_stalled_disk(&mut self) {
        let limit = self.settings.stalled_disk_limit;
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let now = self.running.now();
        let has_led = now.since(leader.elected_at) >= limit * LEAST_LEAD;
        let is_stalled = now.since(self.disk.since) >= limit;
        let others_go_on = self.commit > self.writes.durable_index();
        if !has_led || !is_stalled || !others_go_on || leader.transfer.is_some() {
            return;
        }
        if let Some(successor) = self.most_advanced_voter() {
            self.transfer_leadership(successor);
        }
    }

    /// Of the other voters, the one that holds most of the log.
    pub(crate) fn most_advanced_voter(&self) -> Option<MemberId> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        let voters = &self.log.membership().voters;
        voters
            .iter()
            .filter_map(|voter| leader.members.get_key_value(&voter.member))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(member, _)| *member)
    }
}
