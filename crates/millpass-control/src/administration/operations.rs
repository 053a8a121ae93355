//! Calls the core and builds response bodies.

use super::AdministrationCalls;
use super::admission;
use super::authentication::{BOOTSTRAP_OPERATOR, Caller, superseded_key};
use super::failure::Failure;
use super::routes::Route;
use crate::api::{
    self, AcceptedBody, AuditBody, AuditRecordBody, BackendStateBody, ChangeBody, MembershipBody,
    ObjectBody, ObjectsBody, QuarantinedRequestsBody, StatusBody,
};
use http::StatusCode;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse, DeploymentStatus};
use millpass_http::Response;
use millpass_proto::{
    BackendName, ChangeId, ConfigurationRevision, ObjectChange, ObjectChangeOutcome, ObjectKey,
    ObjectSpec, OperatorName, StoredObject,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of newest audit records searched for a resend with the superseded bootstrap key. The
/// state remembers more changes than that, so it is certain to recognize the resend.
const BOOTSTRAP_RESEND_RECORDS: usize = millpass_state::MAXIMUM_REMEMBERED_CHANGES / 2;
/// Remedy when the outcome of a change of an object is unknown.
const RESEND_CHANGE: &str =
    "resend it with the same change id until it succeeds; it takes effect at most once";
/// Remedy when the outcome of a call without change id is unknown; such calls are idempotent.
const RESEND_CALL: &str = "resend it until it succeeds; the call is idempotent";

/// Executes the route on behalf of the caller.
pub(crate) fn execute(
    calls: &dyn AdministrationCalls,
    caller: &Caller,
    route: Route,
    body: &[u8],
) -> Result<Response, Failure> {
    let change = match route {
        Route::Put(key) => put_change(key, body)?,
        Route::Delete {
            key,
            expected_version,
            change_id,
        } => Change {
            key,
            expected_version,
            change_id,
            spec: None,
        },
        _ if caller.is_superseded => return Err(superseded_key()),
        Route::Get(key) => return get(calls, key),
        Route::List(kind) => return list(calls, kind),
        Route::Status => return status(calls),
        Route::Audit(after) => return audit(calls, after),
        Route::BackendState(name) => return set_backend_state(calls, &name, body),
        Route::Members => return change_members(calls, body),
        Route::QuarantinedRequests => return quarantined_requests(calls),
        Route::LiftQuarantine(request) => {
            return release(calls, AdministrationRequest::LiftQuarantine(request));
        }
        Route::ReleaseParts(set) => {
            return release(calls, AdministrationRequest::ReleaseParts(set));
        }
    };
    submit(calls, caller, change)
}

/// A change as an operator submits it.
struct Change {
    key: ObjectKey,
    expected_version: u64,
    change_id: String,
    spec: Option<ObjectSpec>,
}

fn put_change(key: ObjectKey, body: &[u8]) -> Result<Change, Failure> {
    let body: ChangeBody = read_body(body)?;
    let spec = api::spec_from_json(key.kind, &body.spec)
        .map_err(|error| Failure::rejected(error.to_string()))?;
    Ok(Change {
        key,
        expected_version: body.expected_version,
        change_id: body.change_id,
        spec: Some(spec),
    })
}

fn submit(
    calls: &dyn AdministrationCalls,
    caller: &Caller,
    change: Change,
) -> Result<Response, Failure> {
    if caller.is_superseded {
        check_bootstrap_resend(calls, &change)?;
    }
    if let Some(spec) = &change.spec {
        admission::check_spec(&change.key, spec)?;
    }
    admission::check_administrator_left(
        &caller.operators,
        &change.key,
        change.expected_version,
        change.spec.as_ref(),
    )?;
    let change = ObjectChange {
        key: change.key,
        expected_version: change.expected_version,
        change_id: ChangeId(change.change_id),
        operator: caller.operator.clone(),
        at_unix_millis: unix_millis(),
        spec: change.spec,
    };
    match calls.call(AdministrationRequest::Change(change)) {
        AdministrationResponse::Change(outcome) => change_response(outcome),
        AdministrationResponse::Unknown => Err(Failure::outcome_unknown(RESEND_CHANGE)),
        // The core rejects invalid content in the outcome; it refuses a change only when
        // overloaded.
        AdministrationResponse::Refused(reason) => Err(Failure::busy(reason)),
        other => Err(unexpected_response(other)),
    }
}

/// Allows only a resend of a change that the bootstrap key already made: the response to the change
/// that created the first account may have been lost.
fn check_bootstrap_resend(calls: &dyn AdministrationCalls, change: &Change) -> Result<(), Failure> {
    let request = AdministrationRequest::Audit(ConfigurationRevision(0));
    let records = match calls.call(request) {
        AdministrationResponse::Audit(records) => records,
        other => return Err(unexpected_response(other)),
    };
    let newest = records.iter().rev().take(BOOTSTRAP_RESEND_RECORDS);
    let bootstrap = OperatorName::from(BOOTSTRAP_OPERATOR);
    let was_accepted = newest.into_iter().any(|record| {
        record.operator == bootstrap
            && record.change_id.0 == change.change_id
            && record.key == change.key
    });
    if was_accepted {
        Ok(())
    } else {
        Err(superseded_key())
    }
}

fn change_response(outcome: ObjectChangeOutcome) -> Result<Response, Failure> {
    match outcome {
        ObjectChangeOutcome::Accepted(accepted) => ok(&AcceptedBody::from(accepted)),
        ObjectChangeOutcome::VersionConflict(conflict) => {
            Err(Failure::version_conflict(conflict.current_version))
        }
        ObjectChangeOutcome::Rejected(reason) => Err(Failure::rejected(reason)),
    }
}

fn get(calls: &dyn AdministrationCalls, key: ObjectKey) -> Result<Response, Failure> {
    match calls.call(AdministrationRequest::Get(key)) {
        AdministrationResponse::Object(Some(object)) => ok(&object_body(&object)?),
        AdministrationResponse::Object(None) => Err(Failure::new(
            StatusCode::NOT_FOUND,
            "not_found",
            "the object does not exist",
            "list its kind for the names there are",
        )),
        other => Err(unexpected_response(other)),
    }
}

fn list(
    calls: &dyn AdministrationCalls,
    kind: millpass_proto::ObjectKind,
) -> Result<Response, Failure> {
    match calls.call(AdministrationRequest::List(kind)) {
        AdministrationResponse::Objects(objects) => {
            let objects: Result<_, _> = objects.iter().map(object_body).collect();
            ok(&ObjectsBody { objects: objects? })
        }
        other => Err(unexpected_response(other)),
    }
}

fn object_body(object: &StoredObject) -> Result<ObjectBody, Failure> {
    ObjectBody::try_from(object).map_err(|error| Failure::internal(error.to_string()))
}

fn status(calls: &dyn AdministrationCalls) -> Result<Response, Failure> {
    ok(&StatusBody::from(&*read_status(calls)?))
}

fn read_status(calls: &dyn AdministrationCalls) -> Result<Box<DeploymentStatus>, Failure> {
    match calls.call(AdministrationRequest::Status) {
        AdministrationResponse::Status(status) => Ok(status),
        other => Err(unexpected_response(other)),
    }
}

fn audit(calls: &dyn AdministrationCalls, after: u64) -> Result<Response, Failure> {
    match calls.call(AdministrationRequest::Audit(ConfigurationRevision(after))) {
        AdministrationResponse::Audit(records) => ok(&AuditBody {
            records: records.iter().map(AuditRecordBody::from).collect(),
        }),
        other => Err(unexpected_response(other)),
    }
}

fn set_backend_state(
    calls: &dyn AdministrationCalls,
    name: &str,
    body: &[u8],
) -> Result<Response, Failure> {
    let body: BackendStateBody = read_body(body)?;
    let state = api::backend_state_from_name(&body.state).ok_or_else(|| {
        Failure::rejected(format!(
            "there is no state `{}`; use live, leaving or gone",
            body.state
        ))
    })?;
    let backend = BackendName::from(name);
    let request = AdministrationRequest::MarkBackend(backend.clone(), state);
    match calls.call(request) {
        AdministrationResponse::Done => ok(&json!({})),
        AdministrationResponse::Unknown => Err(Failure::outcome_unknown(RESEND_CALL)),
        AdministrationResponse::Refused(reason) => {
            let status = read_status(calls)?;
            ok_if_done(reason, status.backends.contains(&(backend, state)))
        }
        other => Err(unexpected_response(other)),
    }
}

fn change_members(calls: &dyn AdministrationCalls, body: &[u8]) -> Result<Response, Failure> {
    let body: MembershipBody = read_body(body)?;
    let request = AdministrationRequest::ChangeMembership((&body).into());
    match calls.call(request) {
        AdministrationResponse::Done => ok(&json!({})),
        AdministrationResponse::Unknown => Err(Failure::outcome_unknown(RESEND_CALL)),
        AdministrationResponse::Refused(reason) => {
            let status = read_status(calls)?;
            ok_if_done(reason, body.is_satisfied_by(&status.consensus.membership))
        }
        other => Err(unexpected_response(other)),
    }
}

fn quarantined_requests(calls: &dyn AdministrationCalls) -> Result<Response, Failure> {
    match calls.call(AdministrationRequest::QuarantinedRequests) {
        AdministrationResponse::QuarantinedRequests(held, parts) => {
            ok(&QuarantinedRequestsBody::new(held, parts))
        }
        other => Err(unexpected_response(other)),
    }
}

fn release(
    calls: &dyn AdministrationCalls,
    request: AdministrationRequest,
) -> Result<Response, Failure> {
    match calls.call(request) {
        AdministrationResponse::Done => ok(&json!({})),
        AdministrationResponse::Unknown => Err(Failure::outcome_unknown(RESEND_CALL)),
        other => Err(unexpected_response(other)),
    }
}

/// Succeeds for a repeated call whose effect is already in place.
fn ok_if_done(reason: String, is_done: bool) -> Result<Response, Failure> {
    if is_done {
        ok(&json!({}))
    } else {
        Err(Failure::rejected(reason))
    }
}

/// Converts a response that does not match the request into a failure.
pub(crate) fn unexpected_response(response: AdministrationResponse) -> Failure {
    match response {
        AdministrationResponse::NotLeader { leader_address } => Failure::not_leader(leader_address),
        AdministrationResponse::Unknown => Failure::outcome_unknown(RESEND_CALL),
        AdministrationResponse::Busy => {
            Failure::busy("too many calls are in progress; nothing was done")
        }
        AdministrationResponse::Refused(reason) => Failure::busy(reason),
        _ => Failure::internal("the core returned a response of another type"),
    }
}

fn read_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        Failure::malformed(
            format!("the body is invalid: {error}"),
            "send the JSON that the administration API reference defines for this path",
        )
    })
}

fn ok<T: Serialize>(body: &T) -> Result<Response, Failure> {
    let json = serde_json::to_value(body).map_err(|error| Failure::internal(error.to_string()))?;
    Ok(Response::json(StatusCode::OK, &json))
}

/// Wall-clock time, for the audit log only.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
