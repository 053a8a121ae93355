//! When to take a snapshot, and its contents.

use millpass_proto::{Command, EntryPayload, LogPosition, Membership, Snapshot, SnapshotMeta};
use millpass_state::State;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Weight of an ordinary entry, in instruction records: these are small and frequent, and do not
/// change the state.
const ENTRY_WEIGHT: u64 = 16;
/// Bytes of documents since the last snapshot from which a snapshot is due, as the log holds them.
const MAXIMUM_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Position of the applied log, and the weight of the entries since the last snapshot.
pub(crate) struct AppliedLog {
    pub(crate) last: LogPosition,
    /// Membership as of the last applied entry.
    membership: Membership,
    /// Weight of the entries since the last snapshot, in instruction records.
    weight: u64,
    /// Bytes of documents, as submitted, since the last snapshot.
    document_bytes: usize,
    /// Whether the host requested a snapshot because the log on disk is long.
    is_requested: bool,
}

impl AppliedLog {
    pub(crate) fn new(meta: &SnapshotMeta) -> Self {
        AppliedLog {
            last: meta.last,
            membership: meta.membership.clone(),
            weight: 0,
            document_bytes: 0,
            is_requested: false,
        }
    }

    pub(crate) fn request_snapshot(&mut self) {
        self.is_requested = true;
    }

    pub(crate) fn record_entry(&mut self, at: LogPosition, payload: &EntryPayload) {
        self.last = at;
        self.weight += match payload {
            EntryPayload::Command(Command::RecordInstructionIntent(_)) => 1,
            _ => ENTRY_WEIGHT,
        };
        if let EntryPayload::Command(Command::PutDocument(put)) = payload {
            self.document_bytes = self.document_bytes.saturating_add(put.source.len());
        }
    }

    pub(crate) fn membership_committed(&mut self, membership: &Membership) {
        self.membership = membership.clone();
    }

    /// Returns a snapshot if enough entries have been applied since the last one, or the host
    /// requested one.
    pub(crate) fn snapshot_if_due(
        &mut self,
        state: &State,
        snapshot_entries: u64,
    ) -> Option<Snapshot> {
        let threshold = match self.is_requested {
            true => 1,
            false => snapshot_entries.max(1) * ENTRY_WEIGHT,
        };
        if self.weight < threshold && self.document_bytes < MAXIMUM_DOCUMENT_BYTES {
            return None;
        }
        self.weight = 0;
        self.document_bytes = 0;
        self.is_requested = false;
        let meta = SnapshotMeta {
            last: self.last,
            membership: self.membership.clone(),
        };
        let data = Arc::new(ByteBuf::from(state.encode()));
        Some(Snapshot { meta, data })
    }
}
