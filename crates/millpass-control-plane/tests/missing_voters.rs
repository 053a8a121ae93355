//! The leader logs which voters are missing, since when, and what restores fault tolerance.

mod harness;

use harness::{World, seconds};
use millpass_consensus::MembershipChange;
use millpass_control_plane::AdministrationRequest;

/// Returns the pairs of the events with this name, in order.
fn logged(world: &World, name: &str) -> Vec<String> {
    let events = world.events.iter().filter(|event| event.1 == name);
    events.map(|(_, _, pairs)| pairs.clone()).collect()
}

#[test]
fn lost_voter_is_logged_as_missing_and_as_recovered() {
    let mut world = World::new(3);
    let leader = world.elect();
    let lost = world.follower(leader);
    assert_eq!(logged(&world, "voter-missing"), Vec::<String>::new());
    world.halt(lost);
    world.run(seconds(3));
    let missing = logged(&world, "voter-missing");
    assert!(
        missing.len() >= 2,
        "not logged again after two seconds: {missing:?}"
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
    let back = logged(&world, "voter-missing-no-more");
    assert_eq!(back.len(), 1, "{back:?}");
    assert!(back[0].contains("\"back\""), "{back:?}");
    assert_eq!(world.members[&leader].plane.missing_voter_count(), 0);
}

#[test]
fn removed_voter_is_logged_as_missing_until_replaced() {
    let mut world = World::new(3);
    let leader = world.elect();
    let lost = world.follower(leader);
    world.halt(lost);
    world.run(world.replacement_delay + seconds(5));
    let missing = logged(&world, "voter-missing");
    let last = missing.last().expect("missing");
    assert!(last.contains("nobody-asks-to-join"), "{last}");
    let removal = MembershipChange::Remove(lost);
    world.call(leader, AdministrationRequest::ChangeMembership(removal));
    world.run(seconds(1));
    let replaced = logged(&world, "voter-missing-no-more");
    assert!(replaced[0].contains("\"replaced\""), "{replaced:?}");
}
