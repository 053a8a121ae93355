//! When to take a snapshot, and what it covers.

use millpass_proto::{LogPosition, Membership, Snapshot, SnapshotMeta};
use millpass_state::State;

/// Where the applied state stands, and where the newest snapshot does.
pub(crate) struct AppliedLog {
    /// Last entry applied.
    pub(crate) last: LogPosition,
    /// Membership at that entry.
    membership: Membership,
    snapshot_index: u64,
}

impl AppliedLog {
    /// Starts at a snapshot.
    pub(crate) fn new(meta: &SnapshotMeta) -> Self {
        AppliedLog {
            last: meta.last,
            membership: meta.membership.clone(),
            snapshot_index: meta.last.index,
        }
    }

    /// Notes that an entry was applied.
    pub(crate) fn applied(&mut self, at: LogPosition) {
        self.last = at;
    }

    /// Notes a committed membership.
    pub(crate) fn membership_committed(&mut self, membership: &Membership) {
        self.membership = membership.clone();
    }

    /// Takes a snapshot when enough entries have been applied since the last one.
    pub(crate) fn snapshot_if_due(
        &mut self,
        state: &State,
        snapshot_entries: u64,
    ) -> Option<Snapshot> {
        if self.last.index - self.snapshot_index < snapshot_entries.max(1) {
            return None;
        }
        self.snapshot_index = self.last.index;
        let meta = SnapshotMeta {
            last: self.last,
            membership: self.membership.clone(),
        };
        let data = serde_bytes::ByteBuf::from(state.encode());
        Some(Snapshot { meta, data })
    }
}
