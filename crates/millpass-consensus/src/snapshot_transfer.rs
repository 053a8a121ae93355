//! Snapshots: taken by the host, sent in chunks to lagging members, installed by followers.

use crate::interface::ConsensusOutput;
use crate::persistence::Requirement;
use crate::progress::{Mode, SnapshotTransfer};
use crate::{Consensus, RoleState};
use millpass_proto::{
    LogPosition, MemberId, PeerMessage, Snapshot, SnapshotChunk, SnapshotMeta, SnapshotProgress,
};
use std::sync::Arc;

/// Maximum encoded bytes of entries kept for members that receive a snapshot.
const MAXIMUM_TRANSFER_BYTES: usize = 32 * 1024 * 1024;

/// A partially received snapshot. Dropped when the term changes.
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Consensus {
    /// Records a snapshot of the applied state and compacts the log.
    pub(crate) fn snapshot_taken(&mut self, snapshot: Snapshot) {
        let last = snapshot.meta.last;
        let applied = last.index <= self.emitted && self.log.contains(last);
        let newest = self.latest_snapshot.as_ref();
        if !applied || newest.is_some_and(|newest| newest.meta.last >= last) {
            return;
        }
        self.latest_snapshot = Some(Arc::new(snapshot));
        let keep_from = self.compaction_index(last.index);
        if keep_from > self.log.base().index {
            self.log.compact_to(keep_from);
        }
    }

    /// Returns the index up to which the log may be compacted after a snapshot at `snapshot_index`.
    /// Entries that follow a snapshot in transfer are kept within [`MAXIMUM_TRANSFER_BYTES`], so
    /// that its member catches up with them instead of another snapshot.
    fn compaction_index(&self, snapshot_index: u64) -> u64 {
        let trailing = &self.trailing;
        let by_entries = snapshot_index.saturating_sub(trailing.entries);
        let by_bytes = self.log.index_within_bytes(snapshot_index, trailing.bytes);
        let index = by_entries.max(by_bytes);
        let Some(transferred) = self.oldest_transfer_index() else {
            return index;
        };
        let last = self.log.last().index;
        let floor = self.log.index_within_bytes(last, MAXIMUM_TRANSFER_BYTES);
        index.min(transferred.max(floor))
    }

    /// Returns the index of the oldest snapshot in transfer to a member that responds.
    fn oldest_transfer_index(&self) -> Option<u64> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        let transfers = leader.members.values().filter_map(|progress| {
            let responds =
                self.now.since(progress.last_contact_at) < self.settings.election_timeout;
            match &progress.mode {
                Mode::Snapshot(transfer) if responds => Some(transfer.snapshot.meta.last.index),
                _ => None,
            }
        });
        transfers.min()
    }

    /// Starts to send the latest snapshot to a member whose next entry was compacted. Returns false
    /// if there is none, because the host has not passed the restored one yet.
    pub(crate) fn start_snapshot_transfer(&mut self, member: MemberId) -> bool {
        let Some(snapshot) = self.latest_snapshot.clone() else {
            return false;
        };
        let RoleState::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.members.get_mut(&member) else {
            return false;
        };
        progress.mode = Mode::Snapshot(SnapshotTransfer {
            snapshot,
            offset: 0,
            sent_at: self.now,
        });
        self.send_snapshot_chunk(member);
        true
    }

    fn transfer_to(&mut self, member: MemberId) -> Option<&mut SnapshotTransfer> {
        let RoleState::Leader(leader) = &mut self.role else {
            return None;
        };
        match &mut leader.members.get_mut(&member)?.mode {
            Mode::Snapshot(transfer) => Some(transfer),
            _ => None,
        }
    }

    fn send_snapshot_chunk(&mut self, member: MemberId) {
        let chunk_bytes = self.settings.snapshot_chunk_bytes.max(1);
        let now = self.now;
        let Some(transfer) = self.transfer_to(member) else {
            return;
        };
        transfer.sent_at = now;
        let data: &[u8] = &transfer.snapshot.data;
        let start = (transfer.offset as usize).min(data.len());
        let end = start.saturating_add(chunk_bytes).min(data.len());
        let chunk = SnapshotChunk {
            meta: transfer.snapshot.meta.clone(),
            offset: start as u64,
            data: data[start..end].to_vec().into(),
            last_chunk: end == data.len(),
        };
        self.send(
            member,
            Requirement::Nothing,
            PeerMessage::SnapshotChunk(chunk),
        );
    }

    /// Resends a chunk that was not acknowledged within an election timeout.
    pub(crate) fn resend_snapshot_chunk(&mut self, member: MemberId) {
        let timeout = self.settings.election_timeout;
        let now = self.now;
        let overdue = self
            .transfer_to(member)
            .is_some_and(|transfer| now.since(transfer.sent_at) >= timeout);
        if overdue {
            self.send_snapshot_chunk(member);
        }
    }

    /// Handles a member's response to a chunk.
    pub(crate) fn receive_snapshot_progress(
        &mut self,
        from: MemberId,
        response: &SnapshotProgress,
    ) {
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&from) else {
            return;
        };
        progress.last_contact_at = now;
        let Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.snapshot.meta.last != response.last {
            return;
        }
        if response.installed {
            progress.snapshot_installed(response.last.index);
            self.advance_commit();
            self.replicate_to(from);
        } else if response.next_offset != transfer.offset {
            transfer.offset = response.next_offset;
            self.send_snapshot_chunk(from);
        }
    }

    /// Handles a chunk from the leader.
    pub(crate) fn receive_snapshot_chunk(&mut self, from: MemberId, chunk: SnapshotChunk) {
        let last = chunk.meta.last;
        if last.index <= self.commit || self.log.contains(last) {
            self.acknowledge_covered_snapshot(from, last);
            return;
        }
        let Some(received) = self.append_chunk(&chunk) else {
            self.send_snapshot_progress(from, last, 0, false);
            return;
        };
        let is_complete = chunk.last_chunk && received == chunk.offset + chunk.data.len() as u64;
        if !is_complete {
            self.send_snapshot_progress(from, last, received, false);
            return;
        }
        if let Some(incoming) = self.incoming_snapshot.take() {
            self.install_snapshot(Snapshot {
                meta: incoming.meta,
                data: Arc::new(incoming.data.into()),
            });
        }
    }

    /// Responds to a snapshot whose entries are already in the log. Replacing the log could drop
    /// synced entries after the snapshot.
    fn acknowledge_covered_snapshot(&mut self, from: MemberId, last: LogPosition) {
        self.verified = self.verified.max(last.index);
        self.commit = self.commit.max(last.index);
        if self.writes.durable_index() >= last.index {
            self.send_snapshot_progress(from, last, 0, true);
        }
    }

    /// Appends a chunk if it is the next one. Returns the bytes received of this snapshot, or
    /// `None` if another snapshot is being received.
    fn append_chunk(&mut self, chunk: &SnapshotChunk) -> Option<u64> {
        let current = self.incoming_snapshot.as_ref();
        let is_current = current.is_some_and(|incoming| incoming.meta == chunk.meta);
        let is_newer = current.is_none_or(|incoming| chunk.meta.last > incoming.meta.last);
        if !is_current && (!is_newer || chunk.offset != 0) {
            return None;
        }
        if !is_current {
            self.incoming_snapshot = Some(IncomingSnapshot {
                meta: chunk.meta.clone(),
                data: Vec::new(),
            });
        }
        let incoming = self.incoming_snapshot.as_mut()?;
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        Some(incoming.data.len() as u64)
    }

    fn send_snapshot_progress(
        &mut self,
        to: MemberId,
        last: LogPosition,
        next_offset: u64,
        installed: bool,
    ) {
        let progress = SnapshotProgress {
            last,
            next_offset,
            installed,
        };
        self.send(
            to,
            Requirement::Log,
            PeerMessage::SnapshotProgress(progress),
        );
    }

    /// Replaces the log with a snapshot. The response and the restore are emitted once it is synced.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let meta = snapshot.meta.clone();
        self.commit = meta.last.index;
        self.verified = meta.last.index;
        self.log = crate::log::Log::new(meta.clone(), Vec::new());
        self.writes.log_replaced(snapshot);
        if let Some(leader) = self.leader {
            self.send_snapshot_progress(leader, meta.last, 0, true);
        }
    }

    /// Emits the restore of a received snapshot that is now synced.
    pub(crate) fn snapshot_installed(&mut self, snapshot: Snapshot) {
        self.emitted = self.emitted.max(snapshot.meta.last.index);
        self.latest_snapshot = Some(Arc::new(snapshot.clone()));
        self.outputs.push(ConsensusOutput::Restore(snapshot));
    }
}
