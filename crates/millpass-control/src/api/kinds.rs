//! Words for the kinds of objects, in paths and bodies.

use millpass_proto::ObjectKind;

/// Kinds with their word in bodies and their plural in paths, in the order in which objects may
/// refer to each other; operators last.
pub const KINDS: [(ObjectKind, &str, &str); 7] = [
    (ObjectKind::Tenant, "tenant", "tenants"),
    (ObjectKind::Model, "model", "models"),
    (ObjectKind::Version, "version", "versions"),
    (ObjectKind::Adapter, "adapter", "adapters"),
    (ObjectKind::BackendGroup, "backend-group", "backend-groups"),
    (ObjectKind::Policy, "policy", "policies"),
    (ObjectKind::Operator, "operator", "operators"),
];

/// Word of a kind, as in object files.
pub fn kind_name(kind: ObjectKind) -> &'static str {
    let known = KINDS.iter().find(|(known, ..)| *known == kind);
    known.map_or("", |(_, name, _)| name)
}

/// Plural of a kind, as in paths.
pub fn kind_plural(kind: ObjectKind) -> &'static str {
    let known = KINDS.iter().find(|(known, ..)| *known == kind);
    known.map_or("", |(_, _, plural)| plural)
}

/// Kind of a word in the singular.
pub fn kind_from_name(name: &str) -> Option<ObjectKind> {
    let known = KINDS.iter().find(|(_, known, _)| *known == name);
    known.map(|(kind, ..)| *kind)
}

/// Kind of a plural.
pub fn kind_from_plural(plural: &str) -> Option<ObjectKind> {
    let known = KINDS.iter().find(|(_, _, known)| *known == plural);
    known.map(|(kind, ..)| *kind)
}
