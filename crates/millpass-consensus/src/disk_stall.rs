//! Transfers leadership away from a leader whose disk stalls.
//!
//! A leader acknowledges only what its own disk has synced, while its heartbeats need no disk and
//! suppress elections: without a transfer, no change would be acknowledged until the stall ends. If
//! all disks stall, nothing beyond the leader's own log is committed and no transfer happens.

use crate::{Consensus, RoleState};
use millpass_proto::{MemberId, Timestamp};

/// Minimum leadership duration before a transfer, as a multiple of the stall limit. Bounds how
/// often alternating stalls can change the leader.
const MINIMUM_TENURE_FACTOR: u32 = 2;

/// Running time at which the disk last completed a write or was idle.
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
    pub(crate) fn update_disk_progress(&mut self) {
        let completed = self.writes.completed();
        if self.writes.is_idle() || completed != self.disk.completed {
            self.disk = DiskProgress {
                completed,
                since: self.running.now(),
            };
        }
    }

    /// Transfers leadership once the disk has stalled for the limit while a majority has synced
    /// more than this member.
    pub(crate) fn tick_stalled_disk(&mut self) {
        let limit = self.settings.stalled_disk_limit;
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let now = self.running.now();
        let has_minimum_tenure = now.since(leader.elected_at) >= limit * MINIMUM_TENURE_FACTOR;
        let is_stalled = now.since(self.disk.since) >= limit;
        let majority_is_ahead = self.commit > self.writes.durable_index();
        if !has_minimum_tenure || !is_stalled || !majority_is_ahead || leader.transfer.is_some() {
            return;
        }
        if let Some(successor) = self.most_advanced_voter() {
            self.transfer_leadership(successor);
        }
    }

    /// Returns the other voter with the highest match index.
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
