//! In-memory replicated log: the entries after a base position and their memberships.

use millpass_proto::codec::encoded_bytes;
use millpass_proto::{EntryPayload, LogEntry, LogPosition, Membership, SnapshotMeta};
use std::collections::VecDeque;

/// A membership and the index of its entry.
#[derive(Clone, Debug)]
struct MembershipRecord {
    index: u64,
    membership: Membership,
}

/// An entry with its encoded size.
#[derive(Clone, Debug)]
struct SizedEntry {
    entry: LogEntry,
    bytes: usize,
}

/// Maximum number and encoded bytes of entries in one message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchLimits {
    pub(crate) entries: usize,
    /// The first entry is included whatever its size.
    pub(crate) bytes: usize,
}

/// Consecutive entries of the log and their encoded size.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) bytes: usize,
}

/// Entries after `base`. Invariant: indexes are contiguous, and `memberships` is never empty: its
/// first record is the membership at `base`.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    base: LogPosition,
    entries: VecDeque<SizedEntry>,
    memberships: Vec<MembershipRecord>,
    /// Ascending indexes of the entries that gateways must apply; those at or below `base` may be missing.
    required: Vec<u64>,
}

impl Log {
    /// Creates a log that starts after a snapshot.
    pub(crate) fn new(snapshot: SnapshotMeta, entries: Vec<LogEntry>) -> Self {
        let mut log = Log {
            base: snapshot.last,
            entries: VecDeque::new(),
            memberships: vec![MembershipRecord {
                index: snapshot.last.index,
                membership: snapshot.membership,
            }],
            required: Vec::new(),
        };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Returns the position before the first entry.
    pub(crate) fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the position of the last entry, or the base of an empty log.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |sized| sized.entry.position)
    }

    /// Returns the position at an index, if it is in the log or the base.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.entry_at(index).map(|entry| entry.position)
    }

    /// Returns whether the log contains this position, by index and term.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.position_at(position.index) == Some(position)
    }

    fn entry_at(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        let sized = self.entries.get(usize::try_from(offset).ok()?);
        sized.map(|sized| &sized.entry)
    }

    /// Iterates over the entries from index `first` on.
    fn sized_from(&self, first: u64) -> impl Iterator<Item = &SizedEntry> {
        let offset = first.saturating_sub(self.base.index + 1) as usize;
        self.entries.range(offset.min(self.entries.len())..)
    }

    /// Returns at most `maximum` entries, starting at index `first`.
    pub(crate) fn entries_from(&self, first: u64, maximum: usize) -> Vec<LogEntry> {
        let sized = self.sized_from(first).take(maximum);
        sized.map(|sized| sized.entry.clone()).collect()
    }

    /// Returns entries from index `first` on, up to the limits.
    pub(crate) fn batch_from(&self, first: u64, limits: BatchLimits) -> Batch {
        let mut batch = Batch::default();
        for sized in self.sized_from(first).take(limits.entries) {
            let bytes = batch.bytes.saturating_add(sized.bytes);
            if bytes > limits.bytes && !batch.entries.is_empty() {
                break;
            }
            batch.bytes = bytes;
            batch.entries.push(sized.entry.clone());
        }
        batch
    }

    /// Returns the encoded bytes of the entries after `index`.
    pub(crate) fn bytes_after(&self, index: u64) -> usize {
        let sized = self.sized_from(index + 1);
        sized.fold(0, |sum: usize, sized| sum.saturating_add(sized.bytes))
    }

    /// Returns the least index after which the entries up to `last` have at most `maximum` encoded
    /// bytes.
    pub(crate) fn index_within_bytes(&self, last: u64, maximum: usize) -> u64 {
        let count = last.saturating_sub(self.base.index) as usize;
        let mut bytes: usize = 0;
        let mut index = last;
        for sized in self.entries.iter().take(count).rev() {
            bytes = bytes.saturating_add(sized.bytes);
            if bytes > maximum {
                break;
            }
            index -= 1;
        }
        index
    }

    /// Returns the first index with the same term as the entry at `index`.
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

    /// Appends an entry directly after the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push(MembershipRecord {
                index: entry.position.index,
                membership: membership.clone(),
            });
        }
        if entry.payload.is_required_by_gateways() {
            self.required.push(entry.position.index);
        }
        let bytes = encoded_bytes(&entry);
        self.entries.push_back(SizedEntry { entry, bytes });
    }

    /// Drops all entries from index `first` on.
    pub(crate) fn truncate_from(&mut self, first: u64) {
        let keep = first.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
        let last = self.last().index;
        let base = self.base.index;
        self.memberships
            .retain(|record| record.index <= last || record.index <= base);
        self.required.retain(|index| *index <= last);
    }

    /// Drops the entries up to and including `index`, if the log contains it.
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
        let newest = self.required.last().copied();
        self.required
            .retain(|required| *required > index || Some(*required) == newest);
    }

    /// Returns the current membership: the latest in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.latest_membership().membership
    }

    /// Returns the index of the latest membership entry.
    pub(crate) fn membership_index(&self) -> u64 {
        self.latest_membership().index
    }

    /// Returns the index of the last entry that gateways must apply, committed or not; 0 if none is
    /// known. Entries covered by a snapshot are recorded in the applied state.
    pub(crate) fn required_index(&self) -> u64 {
        self.required.last().copied().unwrap_or(0)
    }

    fn latest_membership(&self) -> &MembershipRecord {
        self.memberships
            .last()
            .expect("a log always has the membership at its base")
    }
}
