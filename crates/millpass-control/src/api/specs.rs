//! Conversion of object content to and from JSON.

use millpass_proto::{ObjectKind, ObjectSpec};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Why JSON is not valid object content.
#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    /// A field is missing or has the wrong type.
    #[error("the content does not match the kind: {0}; correct that field")]
    Invalid(#[from] serde_json::Error),
    /// A field that the kind does not have.
    #[error("unknown field `{0}`; remove it or correct its name")]
    UnknownField(String),
}

/// Converts content to JSON, without its kind.
pub fn spec_to_json(spec: &ObjectSpec) -> Result<Value, serde_json::Error> {
    match spec {
        ObjectSpec::Tenant(tenant) => serde_json::to_value(tenant),
        ObjectSpec::Model(model) => serde_json::to_value(model),
        ObjectSpec::Version(version) => serde_json::to_value(version),
        ObjectSpec::Adapter(adapter) => serde_json::to_value(adapter),
        ObjectSpec::BackendGroup(group) => serde_json::to_value(group),
        ObjectSpec::Policy(policy) => serde_json::to_value(policy),
        ObjectSpec::Operator(operator) => serde_json::to_value(operator),
    }
}

/// Parses content of this kind. All required fields must be present, and unknown fields are rejected.
pub fn spec_from_json(kind: ObjectKind, json: &Value) -> Result<ObjectSpec, SpecError> {
    match kind {
        ObjectKind::Tenant => read(json).map(ObjectSpec::Tenant),
        ObjectKind::Model => read(json).map(ObjectSpec::Model),
        ObjectKind::Version => read(json).map(ObjectSpec::Version),
        ObjectKind::Adapter => read(json).map(ObjectSpec::Adapter),
        ObjectKind::BackendGroup => read(json).map(ObjectSpec::BackendGroup),
        ObjectKind::Policy => read(json).map(ObjectSpec::Policy),
        ObjectKind::Operator => read(json).map(ObjectSpec::Operator),
    }
}

fn read<T: DeserializeOwned + Serialize>(json: &Value) -> Result<T, SpecError> {
    let content = T::deserialize(json)?;
    let parsed = serde_json::to_value(&content)?;
    match unknown_field(json, &parsed) {
        Some(field) => Err(SpecError::UnknownField(field)),
        None => Ok(content),
    }
}

/// Returns the first field of `given` that is missing from `parsed`.
fn unknown_field(given: &Value, parsed: &Value) -> Option<String> {
    match (given, parsed) {
        (Value::Object(given), Value::Object(parsed)) => given.iter().find_map(|(name, value)| {
            let Some(known) = parsed.get(name) else {
                return Some(name.clone());
            };
            unknown_field(value, known)
        }),
        (Value::Array(given), Value::Array(parsed)) => given
            .iter()
            .zip(parsed)
            .find_map(|(given, parsed)| unknown_field(given, parsed)),
        _ => None,
    }
}
