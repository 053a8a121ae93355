//! JSON bodies of the administration API.
//!
//! The content of an object has the field names of the message types, like the `[[kind]]` tables of
//! object files; [`spec_to_json`] and [`spec_from_json`] convert.

mod kinds;
mod membership;
mod quarantine;
mod specs;
mod status;

pub use kinds::{KINDS, kind_from_name, kind_from_plural, kind_name, kind_plural};
pub use membership::MembershipBody;
pub use quarantine::{QuarantinedRequestBody, QuarantinedRequestsBody, RefusedPartsBody};
pub use specs::{SpecError, spec_from_json, spec_to_json};
pub use status::{
    BackendBody, BackendStateBody, MemberBody, ReplicaBody, RouterBody, StatusBody,
    backend_state_from_name, backend_state_name,
};

use millpass_proto::{AuditRecord, ChangeAccepted, StoredObject};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum size of a request body, in bytes.
pub const MAXIMUM_BODY_BYTES: usize = 512 * 1024;

/// One change of one object; its kind and name are in the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Version that the change is based on; 0 for an object that must not exist.
    pub expected_version: u64,
    /// Identity of the change; a resend with the same one gets the first response.
    pub change_id: String,
    /// New content.
    pub spec: Value,
}

/// An accepted change: committed, never reverted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// New version of the object.
    pub version: u64,
    /// Catalog revision that contains it.
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
    /// Version of this object, to be expected by the next change.
    pub version: u64,
    /// Catalog revision of its last change.
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
    /// Catalog revision that contains the change.
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
    /// Wall-clock time at the member that accepted it, in Unix milliseconds.
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

/// Body of every error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error and its remedy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Machine-readable error kind. The HTTP server's own errors name this field `code`.
    #[serde(alias = "code")]
    pub kind: String,
    /// Human-readable message.
    #[serde(default)]
    pub message: String,
    /// Human-readable remedy.
    #[serde(default)]
    pub remedy: String,
    /// Administration address of the leader, if this member does not lead and the leader is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader_address: Option<String>,
    /// Current version of the object, for a conflict; 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<u64>,
    /// Program of the policy that contains the error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<String>,
    /// Line in that program, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Column in that line, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}
