//! Audit log and deduplication of accepted catalog changes.

use millpass_proto::{
    AuditRecord, ChangeAccepted, ChangeId, ConfigurationRevision, ObjectChange, OperatorName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum records in the audit log.
pub const MAXIMUM_AUDIT_RECORDS: usize = 16_384;
/// Maximum accepted changes tracked for deduplication. A resend of an older change fails the version
/// check instead and changes nothing.
pub const MAXIMUM_REMEMBERED_CHANGES: usize = 4_096;

/// The most recent accepted changes, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditLog {
    records: VecDeque<AuditRecord>,
}

impl AuditLog {
    pub(crate) fn push(&mut self, record: AuditRecord) {
        self.records.push_back(record);
        if self.records.len() > MAXIMUM_AUDIT_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the records after a revision, oldest first.
    pub(crate) fn since(&self, from: ConfigurationRevision) -> Vec<&AuditRecord> {
        let start = self
            .records
            .partition_point(|record| record.revision <= from);
        self.records.range(start..).collect()
    }
}

/// Result of looking up a resent change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// The change was already accepted, with this outcome.
    Accepted(ChangeAccepted),
    /// The change id was used for another change.
    OtherContent,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedChange {
    /// Digest of object, expected version and content.
    digest: [u8; 32],
    accepted: ChangeAccepted,
}

/// Accepted changes by operator and change id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedChanges {
    changes: BTreeMap<(OperatorName, ChangeId), AcceptedChange>,
    order: VecDeque<(OperatorName, ChangeId)>,
}

impl AcceptedChanges {
    pub(crate) fn find(&self, change: &ObjectChange) -> Option<Resend> {
        let recorded = self.changes.get(&identity(change))?;
        if recorded.digest != digest(change) {
            return Some(Resend::OtherContent);
        }
        Some(Resend::Accepted(recorded.accepted.clone()))
    }

    pub(crate) fn record(&mut self, change: &ObjectChange, accepted: ChangeAccepted) {
        let recorded = AcceptedChange {
            digest: digest(change),
            accepted,
        };
        self.changes.insert(identity(change), recorded);
        self.order.push_back(identity(change));
        if self.order.len() > MAXIMUM_REMEMBERED_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.changes.remove(&oldest);
        }
    }
}

fn identity(change: &ObjectChange) -> (OperatorName, ChangeId) {
    (change.operator.clone(), change.change_id.clone())
}

/// Digest of the content of a change, without operator and time.
fn digest(change: &ObjectChange) -> [u8; 32] {
    let content = (&change.key, change.expected_version, &change.spec);
    // Encoding these types into memory cannot fail.
    let bytes = millpass_proto::codec::encode(&content).unwrap_or_default();
    *blake3::hash(&bytes).as_bytes()
}
