//! Recent committed documents with the time each was applied here.
//!
//! Followers keep them too, so that a new leader can send gateways only what changed. Not part of
//! the replicated state: a member that restored a snapshot has fewer and sends whole documents.

use millpass_proto::{DeploymentDocument, DocumentChange, SharedDocument, Timestamp, codec};
use std::collections::{BTreeMap, VecDeque};

/// Documents kept, including the current one. Gateways with older versions are sent the whole
/// document.
const MAX_DOCUMENTS: usize = 8;
/// Encoded bytes of the documents kept in addition to the current one.
const MAX_EARLIER_BYTES: usize = 4 * 1024 * 1024;

struct AppliedDocument {
    document: SharedDocument,
    bytes: usize,
    applied_at: Timestamp,
}

/// Documents by ascending version.
#[derive(Default)]
pub struct DocumentHistory {
    documents: VecDeque<AppliedDocument>,
}

impl DocumentHistory {
    /// Creates an empty history.
    pub const fn new() -> Self {
        DocumentHistory {
            documents: VecDeque::new(),
        }
    }

    /// Records the current document; ignores versions that are not newer than the last one.
    pub fn record(&mut self, now: Timestamp, document: &SharedDocument) {
        let newest = self.documents.back();
        if newest.is_some_and(|newest| newest.document.version >= document.version) {
            return;
        }
        self.documents.push_back(AppliedDocument {
            document: document.clone(),
            bytes: codec::encoded_bytes(&**document),
            applied_at: now,
        });
        while self.documents.len() > MAX_DOCUMENTS || self.earlier_bytes() > MAX_EARLIER_BYTES {
            self.documents.pop_front();
        }
    }

    /// Returns the encoded bytes of all documents but the current one.
    fn earlier_bytes(&self) -> usize {
        let earlier = self.documents.iter().rev().skip(1);
        earlier.fold(0, |sum: usize, it| sum.saturating_add(it.bytes))
    }

    /// Returns the document of a version, if it is still kept.
    pub fn document(&self, version: u64) -> Option<&SharedDocument> {
        self.find(version).map(|found| &found.document)
    }

    /// Returns when a version was applied here, if it is still kept.
    pub fn applied_at(&self, version: u64) -> Option<Timestamp> {
        self.find(version).map(|found| found.applied_at)
    }

    fn find(&self, version: u64) -> Option<&AppliedDocument> {
        let mut documents = self.documents.iter();
        documents.find(|found| found.document.version == version)
    }
}

/// Changes from earlier versions to the current document, each computed once for all gateways.
#[derive(Default)]
pub(crate) struct ChangeCache {
    version: u64,
    document_bytes: usize,
    by_base: BTreeMap<u64, Option<DocumentChange>>,
}

impl ChangeCache {
    /// Returns the change from `base` to the document. None if `base` is not kept or the change is
    /// not smaller than the document.
    pub(crate) fn change(
        &mut self,
        base: u64,
        document: &DeploymentDocument,
        documents: &DocumentHistory,
    ) -> Option<DocumentChange> {
        if self.version != document.version {
            self.version = document.version;
            self.document_bytes = codec::encoded_bytes(document);
            self.by_base.clear();
        }
        let base = documents.document(base)?;
        let change = self.by_base.entry(base.version).or_insert_with(|| {
            let change = DocumentChange::between(base, document)?;
            (codec::encoded_bytes(&change) < self.document_bytes).then_some(change)
        });
        change.clone()
    }
}
