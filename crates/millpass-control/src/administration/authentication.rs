//! Authentication by key and authorization by role.

use super::AdministrationCalls;
use super::failure::Failure;
use super::operations::unexpected_response;
use blake3::Hash;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::{ObjectKind, ObjectSpec, OperatorName, OperatorRole, StoredObject};

/// Name under which changes with the bootstrap key are audited.
pub(crate) const BOOTSTRAP_OPERATOR: &str = "bootstrap";
const BEARER_PREFIX: &str = "Bearer ";

/// Authenticated operator of a request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// Account name.
    pub(crate) operator: OperatorName,
    /// Role of the account.
    pub(crate) role: OperatorRole,
    /// All accounts, as read for authentication.
    pub(crate) operators: Vec<StoredObject>,
    /// Whether this is the bootstrap key although accounts exist; it may then only resend its own changes.
    pub(crate) is_superseded: bool,
}

impl Caller {
    /// Fails if the role is below `required`.
    pub(crate) fn check_role(&self, required: OperatorRole) -> Result<(), Failure> {
        if rank(self.role) >= rank(required) {
            return Ok(());
        }
        Err(Failure::forbidden(format!(
            "operator `{}` is {:?}; this requires {required:?}",
            self.operator, self.role
        )))
    }
}

const fn rank(role: OperatorRole) -> u8 {
    match role {
        OperatorRole::Viewer => 0,
        OperatorRole::Editor => 1,
        OperatorRole::Administrator => 2,
    }
}

/// Finds the account of the key in the leader's current catalog.
pub(crate) fn authenticate(
    calls: &dyn AdministrationCalls,
    bootstrap: Option<Hash>,
    headers: &HeaderMap,
) -> Result<Caller, Failure> {
    let key_hash = blake3::hash(bearer_key(headers)?);
    let operators = match calls.call(AdministrationRequest::List(ObjectKind::Operator)) {
        AdministrationResponse::Objects(operators) => operators,
        other => return Err(unexpected_response(other)),
    };
    let account = find_account(&operators, key_hash);
    if let Some((operator, role)) = account {
        return Ok(Caller {
            operator,
            role,
            operators,
            is_superseded: false,
        });
    }
    if bootstrap != Some(key_hash) {
        return Err(Failure::unauthenticated(
            "the key belongs to no operator",
            "send the key of an operator account; keys of tenants do not work here",
        ));
    }
    let is_superseded = !operators.is_empty();
    Ok(Caller {
        operator: BOOTSTRAP_OPERATOR.into(),
        role: OperatorRole::Administrator,
        operators,
        is_superseded,
    })
}

/// Rejection of the bootstrap key once accounts exist.
pub(crate) fn superseded_key() -> Failure {
    Failure::unauthenticated(
        "the bootstrap key is no longer valid: operator accounts exist",
        "send the key of an operator account",
    )
}

fn bearer_key(headers: &HeaderMap) -> Result<&[u8], Failure> {
    let remedy = "send one header `Authorization: Bearer KEY` with an operator's key";
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(Failure::unauthenticated(
            "there is not exactly one Authorization header",
            remedy,
        ));
    };
    let key = value.as_bytes().strip_prefix(BEARER_PREFIX.as_bytes());
    let key = key.filter(|key| !key.is_empty());
    key.ok_or_else(|| {
        Failure::unauthenticated("the Authorization header has no bearer key", remedy)
    })
}

/// Compares the hash with every account, in constant time. If two accounts have the same key, the first by
/// name is returned.
fn find_account(
    operators: &[StoredObject],
    key_hash: Hash,
) -> Option<(OperatorName, OperatorRole)> {
    let mut found = None;
    for object in operators {
        let ObjectSpec::Operator(operator) = &object.spec else {
            continue;
        };
        let matches = Hash::from_hex(&operator.key_hash).is_ok_and(|hash| hash == key_hash);
        if matches && found.is_none() {
            found = Some((OperatorName(object.key.name.clone()), operator.role));
        }
    }
    found
}
