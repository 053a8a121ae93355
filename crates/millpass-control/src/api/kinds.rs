//! Names of object kinds in paths and bodies.

use millpass_proto::ObjectKind;

/// Kinds with their name in bodies and their plural in paths. A kind refers only to kinds before it;
/// operators come last.
pub const KINDS: [(ObjectKind, &str, &str); 7] = [
    (ObjectKind::Tenant, "tenant", "tenants"),
    (ObjectKind::Model, "model", "models"),
    (ObjectKind::Version, "version", "versions"),
    (ObjectKind::Adapter, "adapter", "adapters"),
    (ObjectKind::BackendGroup, "backend-group", "backend-groups"),
    (ObjectKind::Policy, "policy", "policies"),
    (ObjectKind::Operator, "operator", "operators"),
];

/// Returns the name of a kind, as used in object files.
pub fn kind_name(kind: ObjectKind) -> &'static str {
    let known = KINDS.iter().find(|(known, ..)| *known == kind);
    known.map_or("", |(_, name, _)| name)
}

/// Returns the plural of a kind, as used in paths.
pub fn kind_plural(kind: ObjectKind) -> &'static str {
    let known = KINDS.iter().find(|(known, ..)| *known == kind);
    known.map_or("", |(_, _, plural)| plural)
}

/// Returns the kind with this singular name; `None` if there is none.
pub fn kind_from_name(name: &str) -> Option<ObjectKind> {
    let known = KINDS.iter().find(|(_, known, _)| *known == name);
    known.map(|(kind, ..)| *kind)
}

/// Returns the kind with this plural; `None` if there is none.
pub fn kind_from_plural(plural: &str) -> Option<ObjectKind> {
    let known = KINDS.iter().find(|(_, _, known)| *known == plural);
    known.map(|(kind, ..)| *kind)
}
