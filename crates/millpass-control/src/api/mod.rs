//! Bodies of the administration API (JSON).
//!
//! The content of an object has the field names of the message types, as the `[[kind]]` tables
//! of object files have them; [`spec_to_json`] and [`spec_from_json`] convert.

mod kinds;
mod membership;
mod quarantine;
mod specs;
mod status;

pub use kinds::{KINDS, kind_from_name, kind_from_plural, kind_name, kind_plural};
pub use membership::MembershipBody;
pub use quarantine::{QuarantinedRequestBody, QuarantinedRequestsBody};
pub use specs::{SpecError, spec_from_json, spec_to_json};
pub use status::{
    BackendBody, BackendStateBody, MemberBody, ReplicaBody, RouterBody, StatusBody,
    backend_state_from_name, backend_state_name,
};

use millpass_proto::{AuditRecord, ChangeAccepted, StoredObject};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Largest body of a request, in bytes. The largest object is far below it.
pub const MAXIMUM_BODY_BYTES: usize = 512 * 1024;

/// One change of one object; its kind and name stand in the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Version that the operator saw; 0 for an object that must not exist.
    pub expected_version: u64,
    /// Identity of the change; a resend carries the same one and gets the first answer.
    pub change_id: String,
    /// New content.
    pub spec: Value,
}

/// An accepted change: committed, never reverted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// New version of the object.
    pub version: u64,
    /// Revision of the catalog that holds it.
    pub revision: u64,
}

impl From<ChangeAccepted> for AcceptedBody {
    fn from(accepted: ChangeAccepted) -> Self {
        AcceptedBody {
            version: accepted.version,
            revision: accepted.revision.0,
        }
    }
}

/// One stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectBody {
    /// Kind, in the singular, as in object files.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Version of this object; the next change must expect it.
    pub version: u64,
    /// Revision of the catalog at which it last changed.
    pub revision: u64,
    /// Content.
    pub spec: Value,
}

impl TryFrom<&StoredObject> for ObjectBody {
    type Error = SpecError;

    fn try_from(object: &StoredObject) -> Result<Self, SpecError> {
        Ok(ObjectBody {
            kind: kind_name(object.key.kind).to_owned(),
            name: object.key.name.clone(),
            version: object.version,
            revision: object.revision.0,
            spec: spec_to_json(&object.spec)?,
        })
    }
}

/// All objects of a kind, by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectsBody {
    /// Objects.
    pub objects: Vec<ObjectBody>,
}

/// Part of the audit log, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Records.
    pub records: Vec<AuditRecordBody>,
}

/// One accepted change in the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecordBody {
    /// Revision of the catalog that holds the change.
    pub revision: u64,
    /// Kind of the object, in the singular.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version of the object after the change.
    pub version: u64,
    /// Identity of the change.
    pub change_id: String,
    /// Operator who submitted it.
    pub operator: String,
    /// Wall-clock time at the member that took it, in Unix milliseconds.
    pub at_unix_millis: u64,
    /// Whether the change deleted the object.
    pub deleted: bool,
}

impl From<&AuditRecord> for AuditRecordBody {
    fn from(record: &AuditRecord) -> Self {
        AuditRecordBody {
            revision: record.revision.0,
            kind: kind_name(record.key.kind).to_owned(),
            name: record.key.name.clone(),
            version: record.version,
            change_id: record.change_id.0.clone(),
            operator: record.operator.0.clone(),
            at_unix_millis: record.at_unix_millis,
            deleted: record.deleted,
        }
    }
}

/// Body of every answer that is not a success.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong and what to do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Word for programs; the interface's page lists them. The HTTP server's own refusals call
    /// it `code`.
    #[serde(alias = "code")]
    pub kind: String,
    /// What went wrong, for people.
    #[serde(default)]
    pub message: String,
    /// What to do about it.
    #[serde(default)]
    pub remedy: String,
    /// Administration address of the leader, when this member does not lead and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader_address: Option<String>,
    /// Version of the object now, for a conflict; 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<u64>,
    /// Program of the policy that is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<String>,
    /// Line in that program, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Column in that line, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}
