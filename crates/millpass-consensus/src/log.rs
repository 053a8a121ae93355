//! The replicated log in memory: the entries after a base position, and the memberships in them.

use millpass_proto::{EntryPayload, LogEntry, LogPosition, Membership, SnapshotMeta};
use std::collections::VecDeque;

/// A membership and the index of the entry that brought it.
#[derive(Clone, Debug)]
struct MembershipRecord {
    index: u64,
    membership: Membership,
}

/// Entries after `base`. Invariant: indexes are contiguous, and `memberships` is never empty; its
/// first record is the membership in force at `base`.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    memberships: Vec<MembershipRecord>,
    /// Indexes of the entries that bind gateways, rising; those at or below the base may be missing.
    binding: Vec<u64>,
}

impl Log {
    /// A log that starts after a snapshot.
    pub(crate) fn new(snapshot: SnapshotMeta, entries: Vec<LogEntry>) -> Self {
        let mut log = Log {
            base: snapshot.last,
            entries: VecDeque::new(),
            memberships: vec![MembershipRecord {
                index: snapshot.last.index,
                membership: snapshot.membership,
            }],
            binding: Vec::new(),
        };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Position before the first entry held.
    pub(crate) fn base(&self) -> LogPosition {
        self.base
    }

    /// Position of the last entry, or the base of an empty log.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Position at an index, if the log still holds it or it is the base.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.entry_at(index).map(|entry| entry.position)
    }

    /// Whether the log holds this position, by index and term.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.position_at(position.index) == Some(position)
    }

    fn entry_at(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// At most `maximum` entries from an index on.
    pub(crate) fn entries_from(&self, first: u64, maximum: usize) -> Vec<LogEntry> {
        let offset = first.saturating_sub(self.base.index + 1) as usize;
        let start = offset.min(self.entries.len());
        let end = start.saturating_add(maximum).min(self.entries.len());
        self.entries.range(start..end).cloned().collect()
    }

    /// First index that carries the same term as the entry at `index`.
    pub(crate) fn first_index_of_term_at(&self, index: u64) -> u64 {
        let Some(position) = self.position_at(index) else {
            return index;
        };
        let mut first = index;
        while first > self.base.index + 1 {
            match self.position_at(first - 1) {
                Some(before) if before.term == position.term => first -= 1,
                _ => break,
            }
        }
        first
    }

    /// Adds an entry right after the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push(MembershipRecord {
                index: entry.position.index,
                membership: membership.clone(),
            });
        }
        if entry.payload.is_required_by_gateways() {
            self.binding.push(entry.position.index);
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at `first` and all later ones.
    pub(crate) fn truncate_from(&mut self, first: u64) {
        let keep = first.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
        let last = self.last().index;
        let base = self.base.index;
        self.memberships
            .retain(|record| record.index <= last || record.index <= base);
        self.binding.retain(|index| *index <= last);
    }

    /// Drops the entries up to and with `index`; it must be held.
    pub(crate) fn compact_to(&mut self, index: u64) {
        let Some(position) = self.position_at(index) else {
            return;
        };
        let count = (index - self.base.index) as usize;
        self.entries.drain(..count);
        self.base = position;
        let at_or_below = self
            .memberships
            .iter()
            .filter(|record| record.index <= index)
            .count();
        self.memberships.drain(..at_or_below.saturating_sub(1));
        let newest = self.binding.last().copied();
        self.binding
            .retain(|held| *held > index || Some(*held) == newest);
    }

    /// Membership in force: the latest in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.latest_membership().membership
    }

    /// Index of the entry that brought the membership in force.
    pub(crate) fn membership_index(&self) -> u64 {
        self.latest_membership().index
    }

    /// Index of the last entry that binds gateways, committed or not; 0 if none is known. One that a snapshot covers
    /// may be unknown here: the applied state knows it.
    pub(crate) fn required_index(&self) -> u64 {
        self.binding.last().copied().unwrap_or(0)
    }

    fn latest_membership(&self) -> &MembershipRecord {
        self.memberships
            .last()
            .expect("a log always has the membership at its base")
    }
}
