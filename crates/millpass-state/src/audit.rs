//! Audit log and deduplication of accepted catalog changes.

use millpass_proto::{
    AuditRecord, ChangeAccepted, ChangeId, ConfigurationRevision, ObjectChange, OperatorName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Accepted changes kept in the audit log.
pub const MAXIMUM_AUDIT_RECORDS: usize = 16_384;
/// Accepted changes whose resend gets the first outcome. A resend that comes later than this many
/// other changes meets the version check instead: it conflicts and changes nothing.
pub const MAXIMUM_REMEMBERED_CHANGES: usize = 4_096;

/// The newest accepted changes, oldest first.
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

    /// Records after a revision, oldest first.
    pub(crate) fn since(&self, from: ConfigurationRevision) -> Vec<&AuditRecord> {
        let start = self
            .records
            .partition_point(|record| record.revision <= from);
        self.records.range(start..).collect()
    }
}

/// What a resend said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// The change was accepted before, so.
    Accepted(ChangeAccepted),
    /// The identity was used for another change.
    OtherContent,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedChange {
    /// Digest of object, expected version and content.
    digest: [u8; 32],
    accepted: ChangeAccepted,
}

/// Accepted changes by operator and change id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RememberedChanges {
    changes: BTreeMap<(OperatorName, ChangeId), RememberedChange>,
    order: VecDeque<(OperatorName, ChangeId)>,
}

impl RememberedChanges {
    pub(crate) fn find(&self, change: &ObjectChange) -> Option<Resend> {
        let remembered = self.changes.get(&identity(change))?;
        if remembered.digest != digest(change) {
            return Some(Resend::OtherContent);
        }
        Some(Resend::Accepted(remembered.accepted.clone()))
    }

    pub(crate) fn remember(&mut self, change: &ObjectChange, accepted: ChangeAccepted) {
        let remembered = RememberedChange {
            digest: digest(change),
            accepted,
        };
        self.changes.insert(identity(change), remembered);
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

/// Digest of what a change asks for; who asks and when are left out.
fn digest(change: &ObjectChange) -> [u8; 32] {
    let content = (&change.key, change.expected_version, &change.spec);
    // Encoding into memory fails for no value of these types.
    let bytes = millpass_proto::codec::encode(&content).unwrap_or_default();
    *blake3::hash(&bytes).as_bytes()
}
