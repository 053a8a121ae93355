//! The leader says which voters it misses, since when, and what restores the tolerance: without it, a group that bears no
//! further loss looks like one that is well.

mod harness;

use harness::{World, seconds};
use millpass_consensus::MembershipChange;
use millpass_control_plane::AdministrationRequest;

/// What the leader said under this name, in order.
fn said(world: &World, name: &str) -> Vec<String> {
    let events = world.events.iter().filter(|event| event.1 == name);
    events.map(|(_, _, pairs)| pairs.clone()).collect()
}

#[test]
fn a_voter_that_is_lost_and_comes_back_is_named_both_times() {
    let mut world = World::new(3);
    let leader = world.elect();
    let lost = world.follower(leader);
    assert_eq!(said(&world, "voter-missing"), Vec::<String>::new());
    world.halt(lost);
    world.run(seconds(3));
    let missing = said(&world, "voter-missing");
    assert!(
        missing.len() >= 2,
        "once more after two seconds: {missing:?}"
    );
    let first = &missing[0];
    for part in [
        format!("(\"member\", \"{lost}\")"),
        "(\"voters\", \"3\")".to_owned(),
        "(\"answering\", \"2\")".to_owned(),
        "(\"needed\", \"2\")".to_owned(),
        "(\"restores\", \"its-return\")".to_owned(),
    ] {
        assert!(first.contains(&part), "{part} in {first}");
    }
    assert_eq!(world.members[&leader].plane.missing_voter_count(), 1);
    world.restart(lost.0);
    world.run(seconds(2));
    let back = said(&world, "voter-missing-no-more");
    assert_eq!(back.len(), 1, "{back:?}");
    assert!(back[0].contains("\"back\""), "{back:?}");
    assert_eq!(world.members[&leader].plane.missing_voter_count(), 0);
}

#[test]
fn a_voter_that_is_gone_for_good_is_missed_until_another_takes_its_place() {
    let mut world = World::new(3);
    let leader = world.elect();
    let lost = world.follower(leader);
    world.halt(lost);
    world.run(world.replacement_delay + seconds(5));
    let missing = said(&world, "voter-missing");
    let last = missing.last().expect("missing");
    assert!(last.contains("nobody-asks-to-join"), "{last}");
    let removal = MembershipChange::Remove(lost);
    world.call(leader, AdministrationRequest::ChangeMembership(removal));
    world.run(seconds(1));
    let replaced = said(&world, "voter-missing-no-more");
    assert!(replaced[0].contains("\"replaced\""), "{replaced:?}");
}
