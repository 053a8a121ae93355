//! Properties of ledger, slots, orders, deltas and snapshots under random commands.

mod checks;
mod steps;
#[path = "../support/mod.rs"]
mod support;

use checks::*;
use millpass_proto::*;
use millpass_state::State;
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::BTreeMap;
use steps::*;
use support::*;

fn check_all(state: &State) -> Result<(), TestCaseError> {
    for checked in [check_engines(state), check_orders(state)] {
        checked.map_err(TestCaseError::fail)?;
    }
    Ok(())
}

#[test]
fn ledger_slots_and_orders_hold_after_each_command() {
    let mut reached = std::collections::BTreeSet::new();
    let reached_cell = std::cell::RefCell::new(&mut reached);
    check_cases(512, prop::collection::vec(step(), 1..150), |steps| {
        let mut fixture = Fixture::default();
        for step in &steps {
            let Some(command) = command_of(&fixture.state, fixture.index, step) else {
                continue;
            };
            let revision = fixture.state.placement_revision().0;
            let outcome = fixture.apply(command.clone());
            if outcome_took_effect(&outcome) {
                let kind = std::mem::discriminant(&command);
                let mut reached = reached_cell.borrow_mut();
                reached.insert(format!("{kind:?}"));
            }
            check_all(&fixture.state)?;
            prop_assert!(fixture.state.placement_revision().0 <= revision + 1);
            if let (CommandOutcome::Placed(slot), Command::PlaceReplica(place)) =
                (&outcome, &command)
            {
                let model = fixture.state.model(&place.model).expect("model");
                let slots = fixture.state.replicas_of(&place.model).len() as u32;
                prop_assert!(slots <= model.maximum_replicas);
                prop_assert_eq!(slots, place.expected_slots + 1);
                prop_assert_eq!(*slot, SlotId(fixture.index));
            }
        }
        Ok(())
    });
    // Every kind of command must have taken effect at least once.
    assert_eq!(reached.len(), 10, "{reached:?}");
}

#[test]
fn deltas_from_any_revision_lead_to_the_full_copy() {
    check_cases(256, prop::collection::vec(step(), 1..120), |steps| {
        let mut fixture = Fixture::default();
        let mut followers = vec![Follower::default()];
        for step in &steps {
            if let Some(command) = command_of(&fixture.state, fixture.index, step) {
                fixture.apply(command);
            }
            let mut follower = followers.last().cloned().unwrap_or_default();
            follower.catch_up(&fixture.state);
            followers.push(follower);
        }
        let mut full = Follower::default();
        full.apply_configuration(fixture.state.full_configuration());
        full.apply_placement(fixture.state.full_placement());
        for mut follower in followers {
            follower.catch_up(&fixture.state);
            prop_assert_eq!(&follower, &full);
        }
        Ok(())
    });
}

#[test]
fn a_restored_snapshot_produces_the_same_outcomes() {
    let steps = prop::collection::vec(step(), 2..120);
    check_cases(128, (steps, any::<Index>()), |(steps, cut)| {
        let cut = cut.index(steps.len());
        let mut fixture = Fixture::default();
        let mut restored: Option<Fixture> = None;
        for (number, step) in steps.iter().enumerate() {
            if number == cut {
                let state = State::decode(&fixture.state.encode()).expect("decodes");
                prop_assert_eq!(&state, &fixture.state);
                let index = fixture.index;
                restored = Some(Fixture { state, index });
            }
            let Some(command) = command_of(&fixture.state, fixture.index, step) else {
                continue;
            };
            let outcome = fixture.apply(command.clone());
            if let Some(restored) = &mut restored {
                prop_assert_eq!(restored.apply(command), outcome);
            }
        }
        let restored = restored.expect("cut is within the steps");
        prop_assert_eq!(restored.state.encode(), fixture.state.encode());
        Ok(())
    });
}

#[test]
fn a_damaged_snapshot_does_not_decode() {
    let mut fixture = Fixture::default();
    fixture.engine("e1", "z1", 1, GIB);
    let mut bytes = fixture.state.encode();
    bytes[3] ^= 1;
    assert!(State::decode(&bytes).is_err());
    assert!(State::decode(&[]).is_err());
}

#[test]
fn the_ledger_check_reports_a_violation() {
    let mut fixture = Fixture::default();
    fixture.engine("e1", "z1", 1, 16 * GIB);
    fixture.model("m", model_spec(1, 0, 2, 1), 8 * GIB);
    fixture.place("m", "e1");
    let replicas = fixture.state.replicas();
    let capacity = [16 * GIB];
    assert_eq!(check_ledger(&capacity, &replicas, &[7 * GIB]), Ok(()));
    assert!(check_ledger(&capacity, &replicas, &[8 * GIB]).is_err());
    let twice = [replicas[0], replicas[0]];
    assert!(check_ledger(&capacity, &twice, &[0]).is_err());
}

fn outcome_took_effect(outcome: &CommandOutcome) -> bool {
    matches!(
        outcome,
        CommandOutcome::Done
            | CommandOutcome::Placed(_)
            | CommandOutcome::Object(ObjectChangeOutcome::Accepted(_))
    )
}

/// Each version of an object is accepted once, whatever the order of concurrent changes.
#[test]
fn each_version_is_accepted_once() {
    let race = prop::collection::vec((0..4_u64, 0..6_u64), 1..60);
    check_cases(256, race, |changes| {
        let mut fixture = Fixture::default();
        let mut winners: BTreeMap<u64, u64> = BTreeMap::new();
        for (expected, id) in changes {
            let spec = tenant_spec(id as u32 + 1);
            let text = format!("{expected}-{id}");
            let command = change(ObjectKind::Tenant, "t", expected, &text, Some(spec));
            let outcome = fixture.apply(command);
            if let CommandOutcome::Object(ObjectChangeOutcome::Accepted(accepted)) = outcome {
                let first = *winners.entry(accepted.version).or_insert(id);
                prop_assert_eq!(first, id);
                prop_assert_eq!(accepted.version, expected + 1);
            }
        }
        Ok(())
    });
}
