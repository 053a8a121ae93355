//! Placement commands: refusals, memory reservations and order settlement.

mod support;

use millpass_proto::*;
use millpass_state::Refusal;
use rstest::rstest;
use support::*;

/// An engine with two accelerators of 16 GiB and a model with 8 GiB of weights.
fn fixture() -> Fixture {
    let mut fixture = Fixture::default();
    fixture.engine("e1", "z1", 2, 16 * GIB);
    fixture.model("m", model_spec(1, 0, 2, 4), 8 * GIB);
    fixture
}

fn free(fixture: &Fixture) -> Vec<u64> {
    let free = fixture.state.free_bytes(&"e1".into());
    free.into_iter().map(|bytes| bytes / GIB).collect()
}

#[test]
fn memory_is_reserved_from_placement_to_confirmed_unload() {
    let mut fixture = fixture();
    let slot = fixture.place("m", "e1");
    assert_eq!(free(&fixture), [7, 16]);
    fixture.settle(slot, OrderResult::Loaded);
    fixture.must(Command::RetireReplica(RetireReplica { slot }));
    assert_eq!(free(&fixture), [7, 16]);
    fixture.settle(slot, OrderResult::Unloaded);
    assert_eq!(free(&fixture), [16, 16]);
    assert!(fixture.state.replica(slot).is_none());
}

#[test]
fn an_unload_supersedes_a_load_in_flight() {
    let mut fixture = fixture();
    let slot = fixture.place("m", "e1");
    let loading = fixture.state.replica(slot).expect("slot").clone();
    fixture.must(Command::RetireReplica(RetireReplica { slot }));
    let orders = fixture.state.outstanding_orders();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].action, OrderAction::UnloadModel(slot));
    for result in [
        OrderResult::Loaded,
        OrderResult::Unloaded,
        OrderResult::Failed("late".to_owned()),
    ] {
        fixture.must_ignore(settlement(&loading, None, loading.fence, result));
    }
    assert_eq!(free(&fixture), [7, 16]);
    fixture.settle(slot, OrderResult::Unloaded);
    assert_eq!(free(&fixture), [16, 16]);
    assert_eq!(fixture.state.outstanding_order_count(), 0);
}

#[rstest]
#[case::slot_count(|place: &mut PlaceReplica| place.expected_slots = 1,
    Refusal::SlotCount { found: 0, expected: 1 })]
#[case::accelerator_count(|place: &mut PlaceReplica| place.accelerators = vec![0, 1],
    Refusal::InvalidAccelerators)]
#[case::out_of_range(|place: &mut PlaceReplica| place.accelerators = vec![2],
    Refusal::InvalidAccelerators)]
#[case::incarnation(|place: &mut PlaceReplica| place.incarnation = Incarnation(9),
    Refusal::OtherIncarnation)]
#[case::version(|place: &mut PlaceReplica| place.version = "v9".into(),
    Refusal::UnknownVersion)]
#[case::model(|place: &mut PlaceReplica| place.model = "other".into(),
    Refusal::UnknownModel)]
#[case::backend(|place: &mut PlaceReplica| place.backend = "e9".into(),
    Refusal::UnknownBackend)]
fn an_invalid_placement_is_refused(#[case] spoil: fn(&mut PlaceReplica), #[case] refusal: Refusal) {
    let mut fixture = fixture();
    let mut place = fixture.placement("m", "e1");
    assert_eq!(fixture.state.check_place(&place), Ok(()));
    spoil(&mut place);
    assert_eq!(fixture.state.check_place(&place), Err(refusal.clone()));
    let reason = fixture.must_ignore(Command::PlaceReplica(place));
    assert_eq!(reason, refusal.to_string());
    assert_eq!(free(&fixture), [16, 16]);
}

#[test]
fn placements_beyond_memory_or_maximum_replicas_are_refused() {
    let mut fixture = fixture();
    fixture.place("m", "e1");
    let mut place = fixture.placement("m", "e1");
    assert_eq!(
        fixture.state.check_place(&place),
        Err(Refusal::InsufficientMemory)
    );
    place.accelerators = vec![1];
    fixture.must(Command::PlaceReplica(place.clone()));
    place.expected_slots = 2;
    assert_eq!(
        fixture.state.check_place(&place),
        Err(Refusal::MaximumReplicas)
    );
}

#[test]
fn a_leaving_engine_refuses_placements_and_its_routes_are_marked() {
    let mut fixture = fixture();
    let slot = fixture.load("m", "e1");
    let before = fixture.state.placement_revision();
    fixture.mark("e1", BackendState::Leaving);
    let delta = fixture.state.placement_since(before).expect("delta");
    assert!(delta.replicas[0].leaving);
    assert_eq!(delta.replicas[0].slot, slot);
    let mut place = fixture.placement("m", "e1");
    place.accelerators = vec![1];
    assert_eq!(
        fixture.state.check_place(&place),
        Err(Refusal::NotLiveEngine)
    );
}

#[test]
fn a_new_incarnation_releases_all_slots_and_the_old_one_is_refused() {
    let mut fixture = fixture();
    let slot = fixture.load("m", "e1");
    let old = fixture.state.replica(slot).expect("slot").clone();
    let second = engine("e1", "z1", 2, 2, 16 * GIB);
    fixture.must(Command::RegisterBackend(second.clone()));
    assert_eq!(free(&fixture), [16, 16]);
    assert!(fixture.state.replicas().is_empty());
    let first = engine("e1", "z1", 1, 2, 16 * GIB);
    fixture.must_ignore(Command::RegisterBackend(first));
    fixture.must_ignore(Command::RegisterBackend(second.clone()));
    fixture.must_ignore(settlement(&old, None, old.fence, OrderResult::Loaded));
    let mut moved = second;
    moved.address = "elsewhere:1".to_owned();
    fixture.must(Command::RegisterBackend(moved));
    let backend = fixture.state.backend(&"e1".into()).expect("backend");
    assert_eq!(backend.registration.address, "elsewhere:1");
}

#[test]
fn a_gone_backend_releases_its_slots_and_stays_gone() {
    let mut fixture = fixture();
    fixture.load("m", "e1");
    fixture.mark("e1", BackendState::Gone);
    assert!(fixture.state.replicas().is_empty());
    assert!(fixture.state.backends().is_empty());
    assert_eq!(fixture.state.outstanding_order_count(), 0);
    let again = fixture.mark("e1", BackendState::Live);
    assert!(matches!(again, CommandOutcome::Ignored(_)));
    let same = engine("e1", "z1", 1, 2, 16 * GIB);
    fixture.must_ignore(Command::RegisterBackend(same));
    fixture.must(Command::RegisterBackend(engine("e1", "z1", 2, 2, GIB)));
}

#[test]
fn adapter_memory_is_reserved_from_attachment_to_confirmed_unload() {
    let mut fixture = fixture();
    fixture.adapter("a", "m", GIB);
    fixture.model("other", model_spec(1, 0, 1, 1), GIB);
    fixture.adapter("foreign", "other", GIB);
    let slot = fixture.place("m", "e1");
    let attach = |adapter: &str| AdapterDecision {
        slot,
        adapter: adapter.into(),
    };
    let check = fixture.state.check_attach(&attach("a"));
    assert_eq!(check, Err(Refusal::WrongPhase));
    fixture.settle(slot, OrderResult::Loaded);
    let check = fixture.state.check_attach(&attach("foreign"));
    assert_eq!(check, Err(Refusal::UnknownAdapter));
    fixture.must(Command::AttachAdapter(attach("a")));
    let check = fixture.state.check_attach(&attach("a"));
    assert_eq!(check, Err(Refusal::AdapterPresent));
    assert_eq!(free(&fixture), [6, 16]);
    let replica = fixture.state.replica(slot).expect("slot").clone();
    let fence = replica.adapters[0].fence;
    fixture.must(settlement(&replica, Some("a"), fence, OrderResult::Loaded));
    let route = fixture.state.replica_route(slot).expect("route");
    assert_eq!(route.adapters, [AdapterName::from("a")]);
    fixture.must(Command::DetachAdapter(attach("a")));
    let route = fixture.state.replica_route(slot).expect("route");
    assert!(route.adapters.is_empty());
    fixture.must_ignore(settlement(
        &replica,
        Some("a"),
        fence,
        OrderResult::Unloaded,
    ));
    assert_eq!(free(&fixture), [6, 16]);
    let fence = fixture.state.replica(slot).expect("slot").adapters[0].fence;
    fixture.must(settlement(
        &replica,
        Some("a"),
        fence,
        OrderResult::Unloaded,
    ));
    assert_eq!(free(&fixture), [7, 16]);
}

#[test]
fn a_role_order_is_outstanding_until_settled() {
    let mut fixture = fixture();
    let change = ChangeRole {
        backend: "e1".into(),
        incarnation: Incarnation(1),
        role: EngineRole::Prefill,
    };
    fixture.must(Command::ChangeRole(change));
    let order = fixture.state.next_order(&"e1".into()).expect("order");
    assert_eq!(order.action, OrderAction::ChangeRole(EngineRole::Prefill));
    let settled = RoleSettlement {
        backend: "e1".into(),
        incarnation: Incarnation(1),
        fence: order.fence,
    };
    fixture.must(Command::SettleRole(settled));
    assert_eq!(fixture.state.next_order(&"e1".into()), None);
}

#[test]
fn orders_of_an_engine_are_in_fence_order() {
    let mut fixture = fixture();
    fixture.model("n", model_spec(1, 0, 1, 1), GIB);
    fixture.place("m", "e1");
    fixture.place("n", "e1");
    let orders = fixture.state.outstanding_orders();
    assert_eq!(orders.len(), 2);
    assert!(orders[0].fence < orders[1].fence);
    let next = fixture.state.next_order(&"e1".into());
    assert_eq!(next.as_ref(), Some(&orders[0]));
}
