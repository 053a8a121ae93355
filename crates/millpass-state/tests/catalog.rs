//! Catalog: concurrent changes, resends, validation, versions after deletion, bounded tables.

mod support;

use millpass_proto::*;
use millpass_state::{MAXIMUM_REMEMBERED_CHANGES, MAXIMUM_TOMBSTONES};
use rstest::rstest;
use support::*;

fn tenant(name: &str, expected: u64, id: &str, weight: u32) -> Command {
    let spec = Some(tenant_spec(weight));
    change(ObjectKind::Tenant, name, expected, id, spec)
}

fn delete(name: &str, expected: u64, id: &str) -> Command {
    change(ObjectKind::Tenant, name, expected, id, None)
}

fn conflict(outcome: CommandOutcome) -> u64 {
    match outcome {
        CommandOutcome::Object(ObjectChangeOutcome::VersionConflict(conflict)) => {
            conflict.current_version
        }
        other => panic!("{other:?}"),
    }
}

fn rejection(outcome: CommandOutcome) -> String {
    match outcome {
        CommandOutcome::Object(ObjectChangeOutcome::Rejected(reason)) => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn one_of_two_changes_with_equal_versions_wins() {
    let mut fixture = Fixture::default();
    fixture.accept(tenant("t", 0, "a", 1));
    let winner = fixture.accept(tenant("t", 1, "b", 2));
    assert_eq!((winner.version, winner.revision.0), (2, 2));
    assert_eq!(conflict(fixture.apply(tenant("t", 1, "c", 3))), 2);
    let stored = fixture.state.object(&key(ObjectKind::Tenant, "t"));
    assert_eq!(stored.expect("tenant").spec, tenant_spec(2));
    assert_eq!(fixture.state.configuration_revision().0, 2);
}

#[test]
fn a_resend_returns_the_first_outcome_even_after_later_changes() {
    let mut fixture = Fixture::default();
    let first = fixture.accept(tenant("t", 0, "a", 1));
    fixture.accept(tenant("t", 1, "b", 2));
    assert_eq!(fixture.accept(tenant("t", 0, "a", 1)), first);
    assert_eq!(fixture.state.configuration_revision().0, 2);
    let reason = rejection(fixture.apply(tenant("t", 2, "a", 9)));
    assert!(reason.contains("change id"), "{reason}");
}

#[test]
fn a_resend_beyond_the_deduplication_window_conflicts_and_changes_nothing() {
    let mut fixture = Fixture::default();
    fixture.accept(tenant("t", 0, "first", 1));
    for number in 0..MAXIMUM_REMEMBERED_CHANGES as u64 {
        fixture.accept(tenant("other", number, &format!("{number}"), 1));
    }
    let revision = fixture.state.configuration_revision();
    assert_eq!(conflict(fixture.apply(tenant("t", 0, "first", 1))), 1);
    assert_eq!(fixture.state.configuration_revision(), revision);
}

#[test]
fn versions_continue_after_a_deletion() {
    let mut fixture = Fixture::default();
    fixture.accept(tenant("t", 0, "a", 1));
    assert_eq!(fixture.accept(delete("t", 1, "b")).version, 2);
    assert_eq!(fixture.accept(tenant("t", 0, "c", 1)).version, 3);
    assert_eq!(conflict(fixture.apply(tenant("t", 1, "d", 5))), 3);
}

#[test]
fn versions_continue_after_the_tombstone_is_evicted() {
    let mut fixture = Fixture::default();
    fixture.accept(tenant("t", 0, "a", 1));
    fixture.accept(delete("t", 1, "b"));
    for number in 0..=MAXIMUM_TOMBSTONES {
        let name = format!("n{number}");
        let created = fixture.accept(tenant(&name, 0, &format!("create {name}"), 1));
        let id = format!("delete {name}");
        fixture.accept(delete(&name, created.version, &id));
    }
    assert!(fixture.accept(tenant("t", 0, "again", 1)).version > 2);
    let delta = fixture.state.configuration_since(ConfigurationRevision(1));
    assert!(delta.expect("delta").full);
}

#[rstest]
#[case::empty_name(create(ObjectKind::Tenant, "", tenant_spec(1)), "object name")]
#[case::other_kind(create(ObjectKind::Model, "n", tenant_spec(1)), "kind")]
#[case::weight(create(ObjectKind::Tenant, "t", tenant_spec(0)), "share_weight")]
#[case::orphan_version(
    create(
        ObjectKind::Version,
        "none@v1",
        ObjectSpec::Version(version_spec("none", "v1", 1))
    ),
    "create it first"
)]
#[case::version_name(
    create(
        ObjectKind::Version,
        "m-v1",
        ObjectSpec::Version(version_spec("m", "v1", 1))
    ),
    "m@v1"
)]
#[case::no_weights(
    create(
        ObjectKind::Version,
        "m@v2",
        ObjectSpec::Version(version_spec("m", "v2", 0))
    ),
    "weights_bytes"
)]
#[case::at_in_model(
    create(ObjectKind::Model, "m@x", ObjectSpec::Model(model_spec(1, 0, 1, 1))),
    "`@`"
)]
#[case::minimum_over_maximum(
    create(ObjectKind::Model, "n", ObjectSpec::Model(model_spec(1, 2, 1, 1))),
    "minimum"
)]
#[case::model_in_use(change(ObjectKind::Model, "m", 1, "x", None), "m@v1")]
#[case::nothing_to_delete(change(ObjectKind::Model, "none", 0, "x", None), "nothing to delete")]
fn an_invalid_change_is_rejected_with_its_remedy(#[case] command: Command, #[case] text: &str) {
    let mut fixture = Fixture::default();
    fixture.model("m", model_spec(1, 0, 1, 1), GIB);
    let before = fixture.state.clone();
    let reason = rejection(fixture.apply(command));
    assert!(reason.contains(text), "{reason}");
    assert_eq!(fixture.state, before);
}

#[test]
fn a_model_can_be_deleted_after_its_versions_and_adapters() {
    let mut fixture = Fixture::default();
    fixture.model("m", model_spec(1, 0, 1, 1), GIB);
    fixture.model("m2", model_spec(1, 0, 1, 1), GIB);
    fixture.adapter("a", "m", GIB);
    fixture.accept(change(ObjectKind::Version, "m@v1", 1, "v", None));
    let reason = rejection(fixture.apply(change(ObjectKind::Model, "m", 1, "m", None)));
    assert!(reason.contains("`a`"), "{reason}");
    fixture.accept(change(ObjectKind::Adapter, "a", 1, "a", None));
    fixture.accept(change(ObjectKind::Model, "m", 1, "m", None));
}

#[test]
fn the_audit_log_records_changes_and_operators() {
    let mut fixture = Fixture::default();
    fixture.accept(tenant("t", 0, "a", 1));
    fixture.accept(delete("t", 1, "b"));
    let records = fixture.state.audit_since(ConfigurationRevision(1));
    assert_eq!(records.len(), 1);
    assert!(records[0].deleted);
    assert_eq!(records[0].change_id, "b".into());
    assert_eq!(records[0].operator, "operator".into());
}

#[test]
fn a_changed_concurrency_changes_the_routes() {
    let mut fixture = Fixture::default();
    fixture.engine("e1", "z1", 1, 16 * GIB);
    fixture.model("m", model_spec(1, 0, 1, 1), GIB);
    fixture.load("m", "e1");
    let before = fixture.state.placement_revision();
    let spec = Some(ObjectSpec::Model(model_spec(1, 0, 1, 7)));
    fixture.accept(change(ObjectKind::Model, "m", 1, "x", spec));
    let delta = fixture.state.placement_since(before).expect("delta");
    assert_eq!(delta.replicas[0].concurrency, 7);
}
