//! Recent changes of the weight copies of an instance. A swap changes one or two of the dozens of
//! copies that a record lists; gateways are sent these instead of the lists.

use millpass_proto::{InstanceRecord, ModelName};
use std::collections::{BTreeSet, VecDeque};

/// Changes kept for each instance. Covers several update intervals at a swap every 300 ms; a gateway
/// that is further behind is sent the whole record.
const MAX_CHANGES: usize = 32;

#[derive(Clone, Copy, PartialEq, Eq)]
enum CopyKind {
    InMemory,
    OnDisk,
}

struct CopyChange {
    revision: u64,
    kind: CopyKind,
    model: ModelName,
}

/// Difference of a list of copies.
pub(crate) struct CopyDifference {
    pub(crate) added: Vec<ModelName>,
    pub(crate) removed: Vec<ModelName>,
}

/// Models whose copies were added or removed, with the revision of the change.
pub(crate) struct CopyHistory {
    changes: VecDeque<CopyChange>,
    /// Revision from which on all changes are kept.
    complete_since: u64,
}

impl CopyHistory {
    /// Creates the history of a record that is new at a revision.
    pub(crate) fn new(revision: u64) -> Self {
        CopyHistory {
            changes: VecDeque::new(),
            complete_since: revision,
        }
    }

    /// Returns whether all changes after a revision are kept.
    pub(crate) fn covers(&self, revision: u64) -> bool {
        revision >= self.complete_since
    }

    /// Records the difference between two records. The order of copies carries no information.
    pub(crate) fn record(&mut self, revision: u64, from: &InstanceRecord, to: &InstanceRecord) {
        self.record_kind(revision, CopyKind::InMemory, &from.in_memory, &to.in_memory);
        self.record_kind(revision, CopyKind::OnDisk, &from.on_disk, &to.on_disk);
        while self.changes.len() > MAX_CHANGES {
            if let Some(discarded) = self.changes.pop_front() {
                self.complete_since = discarded.revision;
            }
        }
    }

    fn record_kind(&mut self, revision: u64, kind: CopyKind, from: &[ModelName], to: &[ModelName]) {
        if from == to {
            return;
        }
        let before: BTreeSet<&ModelName> = from.iter().collect();
        let after: BTreeSet<&ModelName> = to.iter().collect();
        let changed = before.symmetric_difference(&after);
        self.changes.extend(changed.map(|model| CopyChange {
            revision,
            kind,
            model: (*model).clone(),
        }));
    }

    /// Returns how the copies in host memory differ from those at a revision.
    pub(crate) fn in_memory(&self, revision: u64, current: &[ModelName]) -> CopyDifference {
        self.difference(revision, CopyKind::InMemory, current)
    }

    /// Returns how the copies on disk differ from those at a revision.
    pub(crate) fn on_disk(&self, revision: u64, current: &[ModelName]) -> CopyDifference {
        self.difference(revision, CopyKind::OnDisk, current)
    }

    /// A model that changed twice is listed although it may be as before; the gateway's list is the
    /// same in either case.
    fn difference(&self, revision: u64, kind: CopyKind, current: &[ModelName]) -> CopyDifference {
        let changes = self.changes.iter();
        let changes = changes.filter(|change| change.kind == kind && change.revision > revision);
        let changed: BTreeSet<&ModelName> = changes.map(|change| &change.model).collect();
        let (added, removed) = changed
            .into_iter()
            .cloned()
            .partition(|model| current.contains(model));
        CopyDifference { added, removed }
    }
}
