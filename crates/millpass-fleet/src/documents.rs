//! The last few documents that this member applied as committed, and when it applied each.
//!
//! Followers keep them too, so that a new leader can tell gateways what changed. No part of the replicated state: a
//! member that started from a snapshot holds fewer, and sends the document whole.

use millpass_proto::{DeploymentDocument, DocumentChange, Timestamp, codec};
use std::collections::{BTreeMap, VecDeque};

/// Most documents kept, the one in force among them. A gateway whose version is older than these gets the document
/// whole; at 45 kB a document, some hundred kilobytes.
const MAXIMUM_DOCUMENTS: usize = 8;

struct Applied {
    document: DeploymentDocument,
    at: Timestamp,
}

/// Documents by version, the newest last.
#[derive(Default)]
pub struct DocumentHistory {
    documents: VecDeque<Applied>,
}

impl DocumentHistory {
    /// Knows none yet.
    pub const fn new() -> Self {
        DocumentHistory {
            documents: VecDeque::new(),
        }
    }

    /// Notes the document in force; one that is not above the newest changes nothing.
    pub fn record(&mut self, now: Timestamp, document: &DeploymentDocument) {
        let newest = self.documents.back();
        if newest.is_some_and(|newest| newest.document.version >= document.version) {
            return;
        }
        self.documents.push_back(Applied {
            document: document.clone(),
            at: now,
        });
        if self.documents.len() > MAXIMUM_DOCUMENTS {
            self.documents.pop_front();
        }
    }

    /// The document of a version, if it is still kept.
    pub fn document(&self, version: u64) -> Option<&DeploymentDocument> {
        self.find(version).map(|found| &found.document)
    }

    /// When a version was applied here.
    pub fn applied_at(&self, version: u64) -> Option<Timestamp> {
        self.find(version).map(|found| found.at)
    }

    fn find(&self, version: u64) -> Option<&Applied> {
        let mut documents = self.documents.iter();
        documents.find(|found| found.document.version == version)
    }
}

/// Changes to the document in force from earlier ones, each computed once for all gateways.
#[derive(Default)]
pub(crate) struct ChangeCache {
    version: u64,
    /// Encoded size of the document, in bytes.
    document_bytes: usize,
    by_base: BTreeMap<u64, Option<DocumentChange>>,
}

impl ChangeCache {
    /// What turns a version into the document; none where that version is not kept, or the change is not smaller
    /// than the document.
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
        let known = self.by_base.entry(base.version).or_insert_with(|| {
            let change = DocumentChange::between(base, document)?;
            (codec::encoded_bytes(&change) < self.document_bytes).then_some(change)
        });
        known.clone()
    }
}
