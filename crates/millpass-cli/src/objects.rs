//! Parsing of catalog objects from TOML: one `[[kind]]` table per object, with defaults for optional
//! keys.

use millpass_control::api::{kind_from_name, kind_from_plural, kind_name};
use millpass_proto::{
    AdapterSpec, BackendGroupSpec, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, OperatorSpec,
    PolicySpec, TenantSpec, VersionSpec,
};
use serde::de::DeserializeOwned;
use toml::{Table, Value};

/// A catalog object declared in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredObject {
    /// Kind and name.
    pub key: ObjectKey,
    /// Specification.
    pub spec: ObjectSpec,
}

/// Error parsing a file of objects. None of its objects was submitted.
#[derive(Debug, thiserror::Error)]
pub enum ObjectsError {
    /// The file is not valid TOML.
    #[error("{file}: not valid TOML: {reason}")]
    Malformed {
        /// Name of the file.
        file: String,
        /// Parser message with line and column.
        reason: String,
    },
    /// A table's name is not a kind of object.
    #[error(
        "{file}: [[{kind}]] is no kind of object; write one of {}",
        kind_names()
    )]
    UnknownKind {
        /// Name of the file.
        file: String,
        /// Name found.
        kind: String,
    },
    /// An object is invalid.
    #[error("{file}: [[{kind}]] number {number}: {reason}; see docs/OPERATIONS.md for its keys")]
    Invalid {
        /// Name of the file.
        file: String,
        /// Kind of the object.
        kind: &'static str,
        /// Position among the tables of that kind, from 1.
        number: usize,
        /// Reason why it is invalid.
        reason: String,
    },
}

/// The keys of a kind and the defaults of optional ones, as TOML.
struct KindSchema {
    kind: ObjectKind,
    defaults: &'static str,
    keys: &'static [&'static str],
}

/// Kinds ordered so that objects follow those they refer to. Operators come last, because the
/// bootstrap key becomes invalid once an operator account exists.
const KINDS: [KindSchema; 7] = [
    KindSchema {
        kind: ObjectKind::Tenant,
        defaults: "api_key_hashes = []\nshare_weight = 1\ncapacity_bytes = 9223372036854775807\nmaximum_waiting = 1000",
        keys: &[
            "api_key_hashes",
            "share_weight",
            "capacity_bytes",
            "maximum_waiting",
        ],
    },
    KindSchema {
        kind: ObjectKind::Model,
        defaults: "accelerators_per_replica = 1\nmaximum_replicas = 1\nminimum_replicas = 0\nconcurrency_per_replica = 8",
        keys: &[
            "current_version",
            "accelerators_per_replica",
            "maximum_replicas",
            "minimum_replicas",
            "concurrency_per_replica",
        ],
    },
    KindSchema {
        kind: ObjectKind::Version,
        defaults: "",
        keys: &[
            "model",
            "label",
            "weights_bytes",
            "cache_bytes",
            "checkpoint",
        ],
    },
    KindSchema {
        kind: ObjectKind::Adapter,
        defaults: "",
        keys: &["model", "bytes", "checkpoint"],
    },
    KindSchema {
        kind: ObjectKind::BackendGroup,
        defaults: "non_repeatable_paths = []",
        keys: &["path_prefix", "non_repeatable_paths"],
    },
    KindSchema {
        kind: ObjectKind::Policy,
        defaults: "examples = []",
        keys: &["allow", "deny", "urgency", "capacity_bytes", "examples"],
    },
    KindSchema {
        kind: ObjectKind::Operator,
        defaults: "",
        keys: &["key_hash", "role"],
    },
];

impl KindSchema {
    fn name(&self) -> &'static str {
        kind_name(self.kind)
    }
}

fn kind_names() -> String {
    KINDS.map(|schema| schema.name()).join(", ")
}

/// Parses the name of a kind, singular or plural.
pub fn parse_kind(name: &str) -> Option<ObjectKind> {
    kind_from_name(name).or_else(|| kind_from_plural(name))
}

/// Parses the objects of a file, ordered so that objects follow those they refer to.
pub fn parse_objects(file: &str, text: &str) -> Result<Vec<DeclaredObject>, ObjectsError> {
    let table: Table = text
        .parse()
        .map_err(|error: toml::de::Error| ObjectsError::Malformed {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
    if let Some(kind) = table
        .keys()
        .find(|key| KINDS.iter().all(|schema| schema.name() != *key))
    {
        return Err(ObjectsError::UnknownKind {
            file: file.to_owned(),
            kind: kind.clone(),
        });
    }
    let mut objects = Vec::new();
    for schema in &KINDS {
        let Some(value) = table.get(schema.name()) else {
            continue;
        };
        let invalid = |number: usize, reason: String| ObjectsError::Invalid {
            file: file.to_owned(),
            kind: schema.name(),
            number,
            reason,
        };
        let Value::Array(entries) = value else {
            return Err(invalid(1, format!("write it as [[{}]]", schema.name())));
        };
        for (index, entry) in entries.iter().enumerate() {
            let object =
                parse_object(schema, entry).map_err(|reason| invalid(index + 1, reason))?;
            objects.push(object);
        }
    }
    Ok(objects)
}

fn parse_object(schema: &KindSchema, entry: &Value) -> Result<DeclaredObject, String> {
    let mut table = entry.as_table().ok_or("not a table")?.clone();
    let name = take_name(schema.kind, &mut table)?;
    if let Some(key) = table
        .keys()
        .find(|key| !schema.keys.contains(&key.as_str()))
    {
        return Err(format!(
            "unknown key `{key}`; known are name, {}",
            schema.keys.join(", ")
        ));
    }
    let defaults: Table = schema.defaults.parse().map_err(|_| "defaults")?;
    for (key, value) in defaults {
        table.entry(key).or_insert(value);
    }
    if schema.keys.contains(&"checkpoint") {
        table
            .entry("checkpoint")
            .or_insert_with(|| Value::String(name.clone()));
    }
    let spec = match schema.kind {
        ObjectKind::Tenant => ObjectSpec::Tenant(convert::<TenantSpec>(table)?),
        ObjectKind::Model => ObjectSpec::Model(convert::<ModelSpec>(table)?),
        ObjectKind::Version => ObjectSpec::Version(convert::<VersionSpec>(table)?),
        ObjectKind::Adapter => ObjectSpec::Adapter(convert::<AdapterSpec>(table)?),
        ObjectKind::BackendGroup => ObjectSpec::BackendGroup(convert::<BackendGroupSpec>(table)?),
        ObjectKind::Policy => ObjectSpec::Policy(convert::<PolicySpec>(table)?),
        ObjectKind::Operator => ObjectSpec::Operator(convert::<OperatorSpec>(table)?),
    };
    Ok(DeclaredObject {
        key: ObjectKey {
            kind: schema.kind,
            name,
        },
        spec,
    })
}

/// Removes and returns the name. A version's name is derived from its model and label, which stay.
fn take_name(kind: ObjectKind, table: &mut Table) -> Result<String, String> {
    let text = |value: Option<&Value>| value.and_then(Value::as_str).map(str::to_owned);
    if kind == ObjectKind::Version {
        let model = text(table.get("model")).ok_or("missing `model`")?;
        let label = text(table.get("label")).ok_or("missing `label`")?;
        return Ok(format!("{model}@{label}"));
    }
    let name = table.remove("name");
    text(name.as_ref())
        .filter(|name| !name.is_empty())
        .ok_or("missing `name`".to_owned())
}

fn convert<T: DeserializeOwned>(table: Table) -> Result<T, String> {
    table
        .try_into()
        .map_err(|error: toml::de::Error| error.message().to_owned())
}
