//! Catalog objects as operators write them: TOML, one `[[kind]]` table per object, with defaults
//! for what may be left out.

use millpass_control::api::{kind_from_name, kind_from_plural, kind_name};
use millpass_proto::{
    AdapterSpec, BackendGroupSpec, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, OperatorSpec,
    PolicySpec, TenantSpec, VersionSpec,
};
use serde::de::DeserializeOwned;
use toml::{Table, Value};

/// One object of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredObject {
    /// Kind and name.
    pub key: ObjectKey,
    /// What it states.
    pub spec: ObjectSpec,
}

/// Why a file of objects was not taken. Nothing of it was submitted.
#[derive(Debug, thiserror::Error)]
pub enum ObjectsError {
    /// Not TOML.
    #[error("{file}: not valid TOML: {reason}")]
    Malformed {
        /// File.
        file: String,
        /// Parser's message, with line and column.
        reason: String,
    },
    /// A table's name is no kind.
    #[error(
        "{file}: [[{kind}]] is no kind of object; write one of {}",
        kind_words()
    )]
    UnknownKind {
        /// File.
        file: String,
        /// Word found.
        kind: String,
    },
    /// An object is wrong.
    #[error("{file}: [[{kind}]] number {number}: {reason}; see docs/OPERATIONS.md for its keys")]
    Invalid {
        /// File.
        file: String,
        /// Kind.
        kind: &'static str,
        /// Place among the tables of that kind, from 1.
        number: usize,
        /// What is wrong.
        reason: String,
    },
}

/// A kind: its keys, and what may be left out.
struct KindForm {
    kind: ObjectKind,
    defaults: &'static str,
    keys: &'static [&'static str],
}

/// In the order in which objects may refer to each other. Operators come last: the bootstrap key
/// that submits a first file counts for nothing once an account exists.
const KINDS: [KindForm; 7] = [
    KindForm {
        kind: ObjectKind::Tenant,
        defaults: "api_key_hashes = []\nshare_weight = 1\ncapacity_bytes = 9223372036854775807\nmaximum_waiting = 1000",
        keys: &[
            "api_key_hashes",
            "share_weight",
            "capacity_bytes",
            "maximum_waiting",
        ],
    },
    KindForm {
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
    KindForm {
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
    KindForm {
        kind: ObjectKind::Adapter,
        defaults: "",
        keys: &["model", "bytes", "checkpoint"],
    },
    KindForm {
        kind: ObjectKind::BackendGroup,
        defaults: "non_repeatable_paths = []",
        keys: &["path_prefix", "non_repeatable_paths"],
    },
    KindForm {
        kind: ObjectKind::Policy,
        defaults: "examples = []",
        keys: &["allow", "deny", "urgency", "capacity_bytes", "examples"],
    },
    KindForm {
        kind: ObjectKind::Operator,
        defaults: "",
        keys: &["key_hash", "role"],
    },
];

impl KindForm {
    fn word(&self) -> &'static str {
        kind_name(self.kind)
    }
}

fn kind_words() -> String {
    KINDS.map(|form| form.word()).join(", ")
}

/// The kind of a word, singular or plural.
pub fn parse_kind(word: &str) -> Option<ObjectKind> {
    kind_from_name(word).or_else(|| kind_from_plural(word))
}

/// Reads the objects of a file, ordered so that an object comes after those it refers to.
pub fn parse_objects(file: &str, text: &str) -> Result<Vec<DeclaredObject>, ObjectsError> {
    let table: Table = text
        .parse()
        .map_err(|error: toml::de::Error| ObjectsError::Malformed {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
    if let Some(kind) = table
        .keys()
        .find(|key| KINDS.iter().all(|form| form.word() != *key))
    {
        return Err(ObjectsError::UnknownKind {
            file: file.to_owned(),
            kind: kind.clone(),
        });
    }
    let mut objects = Vec::new();
    for form in &KINDS {
        let Some(value) = table.get(form.word()) else {
            continue;
        };
        let invalid = |number: usize, reason: String| ObjectsError::Invalid {
            file: file.to_owned(),
            kind: form.word(),
            number,
            reason,
        };
        let Value::Array(entries) = value else {
            return Err(invalid(1, format!("write it as [[{}]]", form.word())));
        };
        for (index, entry) in entries.iter().enumerate() {
            let object = parse_object(form, entry).map_err(|reason| invalid(index + 1, reason))?;
            objects.push(object);
        }
    }
    Ok(objects)
}

fn parse_object(form: &KindForm, entry: &Value) -> Result<DeclaredObject, String> {
    let mut table = entry.as_table().ok_or("not a table")?.clone();
    let name = take_name(form.kind, &mut table)?;
    if let Some(key) = table.keys().find(|key| !form.keys.contains(&key.as_str())) {
        return Err(format!(
            "unknown key `{key}`; known are name, {}",
            form.keys.join(", ")
        ));
    }
    let defaults: Table = form.defaults.parse().map_err(|_| "defaults")?;
    for (key, value) in defaults {
        table.entry(key).or_insert(value);
    }
    if form.keys.contains(&"checkpoint") {
        table
            .entry("checkpoint")
            .or_insert_with(|| Value::String(name.clone()));
    }
    let spec = match form.kind {
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
            kind: form.kind,
            name,
        },
        spec,
    })
}

/// A version's name follows from its model and label; every other object states its name.
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
