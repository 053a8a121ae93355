//! Validation of objects beyond the checks of the replicated state.
//!
//! Checks must be deterministic in the content, so that a resend of an accepted change still gets the
//! first response. [`check_administrator_left`] handles resends explicitly.

use super::failure::Failure;
use blake3::Hash;
use millpass_proto::{
    ObjectKey, ObjectKind, ObjectSpec, OperatorRole, PolicyName, PolicySpec, StoredObject,
};
use std::thread::Builder;

/// Stack size of the thread that validates a policy.
const POLICY_STACK_BYTES: usize = 8 * 1024 * 1024;

/// Validates content: policies compile and pass their examples, key hashes are well-formed.
pub(crate) fn check_spec(key: &ObjectKey, spec: &ObjectSpec) -> Result<(), Failure> {
    match spec {
        ObjectSpec::Policy(policy) => check_policy(&PolicyName(key.name.clone()), policy),
        ObjectSpec::Operator(operator) => check_hash("key_hash", &operator.key_hash),
        ObjectSpec::Tenant(tenant) => {
            let mut hashes = tenant.api_key_hashes.iter();
            hashes.try_for_each(|hash| check_hash("api_key_hashes", hash))
        }
        ObjectSpec::Version(version) if version.cache_bytes == 0 => Err(Failure::rejected(
            "cache_bytes is 0: running requests need cache memory, so each would be too large; \
             state how much a replica may use",
        )),
        _ => Ok(()),
    }
}

/// Compiles a policy and runs its examples on a separate thread: the recursive compiler needs a larger
/// stack than the server's threads have.
fn check_policy(name: &PolicyName, policy: &PolicySpec) -> Result<(), Failure> {
    let result = std::thread::scope(|scope| {
        let builder = Builder::new().name("policy-check".to_owned());
        let validate = || millpass_policy::validate(name, policy);
        let thread = builder
            .stack_size(POLICY_STACK_BYTES)
            .spawn_scoped(scope, validate);
        thread.map(|thread| thread.join())
    });
    match result {
        Ok(Ok(Ok(()))) => Ok(()),
        Ok(Ok(Err(error))) => Err(Failure::policy_rejected(&error)),
        Ok(Err(_)) => Err(Failure::internal(
            "validating the policy failed; it was not stored",
        )),
        Err(_) => Err(Failure::busy(
            "no thread could be started to validate the policy",
        )),
    }
}

/// Accepts only the canonical lower-case spelling, as routers compare hashes as text.
fn check_hash(field: &str, text: &str) -> Result<(), Failure> {
    let is_hash = Hash::from_hex(text).is_ok_and(|hash| hash.to_hex().as_str() == text);
    if is_hash {
        return Ok(());
    }
    Err(Failure::rejected(format!(
        "{field} must hold BLAKE3 hashes, 64 lower-case hexadecimal digits; \
         hash the key and submit the hash, never the key"
    )))
}

/// Rejects a change of operators that leaves accounts but no administrator, which could not be undone.
///
/// A change that expects another version than the current one passes: it is a resend or a conflict,
/// and the state tells them apart.
pub(crate) fn check_administrator_left(
    operators: &[StoredObject],
    key: &ObjectKey,
    expected_version: u64,
    spec: Option<&ObjectSpec>,
) -> Result<(), Failure> {
    if key.kind != ObjectKind::Operator {
        return Ok(());
    }
    let current = operators.iter().find(|object| object.key == *key);
    if current.map_or(0, |object| object.version) != expected_version {
        return Ok(());
    }
    let others = operators.iter().filter(|object| object.key != *key);
    let remaining: Vec<&ObjectSpec> = others.map(|object| &object.spec).chain(spec).collect();
    if remaining.is_empty() || remaining.into_iter().any(is_administrator) {
        return Ok(());
    }
    Err(Failure::rejected(
        "no operator with the role Administrator would be left; \
         create another administrator first",
    ))
}

fn is_administrator(spec: &ObjectSpec) -> bool {
    let ObjectSpec::Operator(operator) = spec else {
        return false;
    };
    operator.role == OperatorRole::Administrator
}
