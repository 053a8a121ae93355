//! Validation of catalog objects.

use crate::catalog::Catalog;
use millpass_proto::{
    AdapterSpec, BackendGroupSpec, ModelName, ModelSpec, ObjectChange, ObjectKey, ObjectKind,
    ObjectSpec, OperatorSpec, PolicySpec, TenantSpec, VersionSpec,
};

/// Maximum length of a name, in bytes.
pub const MAXIMUM_NAME_BYTES: usize = 253;
/// Maximum size of an encoded object, in bytes.
pub const MAXIMUM_SPEC_BYTES: usize = 64 * 1024;
/// Maximum accelerators per replica.
pub const MAXIMUM_ACCELERATORS_PER_REPLICA: u32 = 64;
/// Maximum replicas per model.
pub const MAXIMUM_REPLICAS_PER_MODEL: u32 = 65_536;
/// Maximum memory size of one object, in bytes. Keeps all sums within 64 bits.
pub const MAXIMUM_OBJECT_BYTES: u64 = 1 << 50;

/// Why a catalog change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidObject {
    /// A name is empty, too long, or contains invalid characters.
    #[error(
        "{0} must have 1 to {MAXIMUM_NAME_BYTES} printable characters and no leading or trailing spaces"
    )]
    Name(&'static str),
    /// A name contains `@`, which separates model and label.
    #[error("{0} must not contain `@`; choose another name")]
    ContainsAtSign(&'static str),
    /// The kinds of content and key differ.
    #[error("content and key have different kinds; submit content of the key's kind")]
    KindMismatch,
    /// The name of a version is not `model@label`.
    #[error("name of a version must be `{0}` to match its content")]
    VersionName(String),
    /// A number is out of range.
    #[error("{field} must be {range}")]
    Range {
        /// Field.
        field: &'static str,
        /// Allowed values.
        range: &'static str,
    },
    /// The object is too large.
    #[error("object is larger than {MAXIMUM_SPEC_BYTES} bytes; reduce or split it")]
    TooLarge,
    /// The model that the object belongs to does not exist.
    #[error("model `{0}` does not exist; create it first")]
    UnknownModel(ModelName),
    /// The model still has versions or adapters.
    #[error("model still has `{0}`; delete its versions and adapters first")]
    ModelInUse(String),
    /// The model of an adapter cannot be changed.
    #[error("adapter belongs to model `{0}`; create a new adapter for the other model")]
    AdapterModelChanged(ModelName),
    /// The path prefix belongs to another group.
    #[error("path prefix is already used by group `{0}`; choose another")]
    PathPrefixTaken(String),
    /// The catalog is full.
    #[error("catalog is full; delete objects first")]
    CatalogFull,
    /// The change id was used for another change.
    #[error("change id was already used for another change; choose a new one")]
    ChangeIdUsed,
    /// The object to delete does not exist.
    #[error("object does not exist; there is nothing to delete")]
    NothingToDelete,
}

/// Validates a change against the catalog, except for its version.
pub(crate) fn check_change(catalog: &Catalog, change: &ObjectChange) -> Result<(), InvalidObject> {
    check_name("change id", &change.change_id.0)?;
    check_name("object name", &change.key.name)?;
    match &change.spec {
        Some(spec) => check_spec(catalog, &change.key, spec),
        None => check_deletion(catalog, &change.key),
    }
}

fn check_spec(catalog: &Catalog, key: &ObjectKey, spec: &ObjectSpec) -> Result<(), InvalidObject> {
    if kind_of(spec) != key.kind {
        return Err(InvalidObject::KindMismatch);
    }
    let encoded = millpass_proto::codec::encode(spec);
    if encoded.map_or(usize::MAX, |bytes| bytes.len()) > MAXIMUM_SPEC_BYTES {
        return Err(InvalidObject::TooLarge);
    }
    match spec {
        ObjectSpec::Tenant(tenant) => check_tenant(tenant),
        ObjectSpec::Model(model) => check_model(key, model),
        ObjectSpec::Version(version) => check_version(catalog, key, version),
        ObjectSpec::Adapter(adapter) => check_adapter(catalog, key, adapter),
        ObjectSpec::BackendGroup(group) => check_group(catalog, key, group),
        ObjectSpec::Policy(policy) => check_policy(policy),
        ObjectSpec::Operator(operator) => check_operator(operator),
    }
}

/// Kind of an object's content.
pub fn kind_of(spec: &ObjectSpec) -> ObjectKind {
    match spec {
        ObjectSpec::Tenant(_) => ObjectKind::Tenant,
        ObjectSpec::Model(_) => ObjectKind::Model,
        ObjectSpec::Version(_) => ObjectKind::Version,
        ObjectSpec::Adapter(_) => ObjectKind::Adapter,
        ObjectSpec::BackendGroup(_) => ObjectKind::BackendGroup,
        ObjectSpec::Policy(_) => ObjectKind::Policy,
        ObjectSpec::Operator(_) => ObjectKind::Operator,
    }
}

fn check_name(what: &'static str, name: &str) -> Result<(), InvalidObject> {
    let printable = name.trim() == name && !name.chars().any(char::is_control);
    if name.is_empty() || name.len() > MAXIMUM_NAME_BYTES || !printable {
        return Err(InvalidObject::Name(what));
    }
    Ok(())
}

fn check_name_part(what: &'static str, name: &str) -> Result<(), InvalidObject> {
    check_name(what, name)?;
    if name.contains('@') {
        return Err(InvalidObject::ContainsAtSign(what));
    }
    Ok(())
}

fn check_range(field: &'static str, range: &'static str, holds: bool) -> Result<(), InvalidObject> {
    if !holds {
        return Err(InvalidObject::Range { field, range });
    }
    Ok(())
}

fn check_tenant(tenant: &TenantSpec) -> Result<(), InvalidObject> {
    check_range("share_weight", "1 or more", tenant.share_weight >= 1)?;
    for hash in &tenant.api_key_hashes {
        check_name("API key hash", hash)?;
    }
    Ok(())
}

fn check_model(key: &ObjectKey, model: &ModelSpec) -> Result<(), InvalidObject> {
    check_name_part("model name", &key.name)?;
    check_name_part("current_version", &model.current_version.0)?;
    let accelerators = model.accelerators_per_replica;
    let in_range = (1..=MAXIMUM_ACCELERATORS_PER_REPLICA).contains(&accelerators);
    check_range("accelerators_per_replica", "1 to 64", in_range)?;
    let in_range = model.maximum_replicas <= MAXIMUM_REPLICAS_PER_MODEL;
    check_range("maximum_replicas", "0 to 65536", in_range)?;
    let in_range = model.minimum_replicas <= model.maximum_replicas;
    check_range("minimum_replicas", "maximum_replicas at most", in_range)?;
    let in_range = model.concurrency_per_replica >= 1;
    check_range("concurrency_per_replica", "1 or more", in_range)
}

fn check_version(
    catalog: &Catalog,
    key: &ObjectKey,
    version: &VersionSpec,
) -> Result<(), InvalidObject> {
    check_name_part("label", &version.label.0)?;
    let name = version_name(&version.model, &version.label.0);
    if key.name != name {
        return Err(InvalidObject::VersionName(name));
    }
    check_name("checkpoint", &version.checkpoint)?;
    let weights_fit = (1..=MAXIMUM_OBJECT_BYTES).contains(&version.weights_bytes);
    check_range("weights_bytes", "1 to 2^50", weights_fit)?;
    let cache_fits = version.cache_bytes <= MAXIMUM_OBJECT_BYTES;
    check_range("cache_bytes", "0 to 2^50", cache_fits)?;
    check_model_exists(catalog, &version.model)
}

fn check_adapter(
    catalog: &Catalog,
    key: &ObjectKey,
    adapter: &AdapterSpec,
) -> Result<(), InvalidObject> {
    check_name("checkpoint", &adapter.checkpoint)?;
    let fits = (1..=MAXIMUM_OBJECT_BYTES).contains(&adapter.bytes);
    check_range("bytes", "1 to 2^50", fits)?;
    check_model_exists(catalog, &adapter.model)?;
    match catalog.spec(key) {
        Some(ObjectSpec::Adapter(old)) if old.model != adapter.model => {
            Err(InvalidObject::AdapterModelChanged(old.model.clone()))
        }
        _ => Ok(()),
    }
}

fn check_group(
    catalog: &Catalog,
    key: &ObjectKey,
    group: &BackendGroupSpec,
) -> Result<(), InvalidObject> {
    let starts = group.path_prefix.starts_with('/');
    check_range("path_prefix", "a path that starts with `/`", starts)?;
    let mut paths = group.non_repeatable_paths.iter();
    let all_start = paths.all(|path| path.starts_with('/'));
    check_range(
        "non_repeatable_paths",
        "paths that start with `/`",
        all_start,
    )?;
    for other in catalog.objects(ObjectKind::BackendGroup) {
        let ObjectSpec::BackendGroup(spec) = &other.spec else {
            continue;
        };
        if other.key != *key && spec.path_prefix == group.path_prefix {
            return Err(InvalidObject::PathPrefixTaken(other.key.name.clone()));
        }
    }
    Ok(())
}

/// The proposer compiles the programs and runs their examples.
fn check_policy(policy: &PolicySpec) -> Result<(), InvalidObject> {
    let stated = !policy.allow.trim().is_empty();
    check_range("allow", "an expression, such as `true`", stated)
}

fn check_operator(operator: &OperatorSpec) -> Result<(), InvalidObject> {
    check_name("key_hash", &operator.key_hash)
}

fn check_deletion(catalog: &Catalog, key: &ObjectKey) -> Result<(), InvalidObject> {
    if catalog.object(key).is_none() {
        return Err(InvalidObject::NothingToDelete);
    }
    if key.kind != ObjectKind::Model {
        return Ok(());
    }
    match catalog.dependent_of(&ModelName(key.name.clone())) {
        Some(dependent) => Err(InvalidObject::ModelInUse(dependent)),
        None => Ok(()),
    }
}

fn check_model_exists(catalog: &Catalog, model: &ModelName) -> Result<(), InvalidObject> {
    if catalog.model(model).is_none() {
        return Err(InvalidObject::UnknownModel(model.clone()));
    }
    Ok(())
}

/// Returns the object name of a version: `model@label`.
pub fn version_name(model: &ModelName, label: &str) -> String {
    format!("{model}@{label}")
}
