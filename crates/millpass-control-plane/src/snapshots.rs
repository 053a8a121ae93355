//! When to take a snapshot, and what it covers.

use millpass_proto::{Command, EntryPayload, LogPosition, Membership, Snapshot, SnapshotMeta};
use millpass_state::State;

/// Notes of instructions that weigh as much as one other entry: they are small, frequent, and leave
/// the state as it is.
const NOTES_PER_ENTRY: u64 = 16;

/// Where the applied state stands, and where the newest snapshot does.
pub(crate) struct AppliedLog {
    /// Last entry applied.
    pub(crate) last: LogPosition,
    /// Membership at that entry.
    membership: Membership,
    /// Weight of the entries since the last snapshot, in notes of instructions.
    weight: u64,
    /// Whether the host asks for one, as the log on its disk is long.
    is_wanted: bool,
}

impl AppliedLog {
    /// Starts at a snapshot.
    pub(crate) fn new(meta: &SnapshotMeta) -> Self {
        AppliedLog {
            last: meta.last,
            membership: meta.membership.clone(),
            weight: 0,
            is_wanted: false,
        }
    }

    /// The host asks for a snapshot.
    pub(crate) fn want_snapshot(&mut self) {
        self.is_wanted = true;
    }

    /// Notes that an entry was applied.
    pub(crate) fn applied(&mut self, at: LogPosition, payload: &EntryPayload) {
        self.last = at;
        self.weight += match payload {
            EntryPayload::Command(Command::RecordInstructionIntent(_)) => 1,
            _ => NOTES_PER_ENTRY,
        };
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
        let due_from = match self.is_wanted {
            true => 1,
            false => snapshot_entries.max(1) * NOTES_PER_ENTRY,
        };
        if self.weight < due_from {
            return None;
        }
        self.weight = 0;
        self.is_wanted = false;
        let meta = SnapshotMeta {
            last: self.last,
            membership: self.membership.clone(),
        };
        let data = serde_bytes::ByteBuf::from(state.encode());
        Some(Snapshot { meta, data })
    }
}
