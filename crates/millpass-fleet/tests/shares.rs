//! Instances that announce themselves at many members, and the leader that is told what changed.

mod harness;

use harness::shares::{Group, Sizes};
use harness::steering::Steering;
use millpass_fleet::FleetOutput;
use millpass_proto::*;
use rstest::rstest;

/// Members of a group, the leader among them.
const MEMBERS: u64 = 24;

/// While nothing changes, the leader takes the same number of words, and of bytes but for the active instances, however
/// many instances there are.
#[test]
fn an_unchanged_fleet_costs_the_leader_the_same_at_any_size() {
    let few = steady_cost(2_000);
    let many = steady_cost(20_000);
    assert_eq!(few.reports, many.reports);
    // A sign of life of each other member every 200 ms.
    assert!(many.reports <= 5 * (MEMBERS as usize - 1) * 10, "{many:?}");
    // What grows is how the active ones fall to the members: by a quarter at most for ten times the instances.
    assert!(many.bytes <= few.bytes * 5 / 4, "{few:?}, {many:?}");
    // 17 KB a second are a node's.
    assert!(many.bytes < 10 * 17_000, "{many:?}");
}

/// Ten seconds after all is known.
fn steady_cost(instances: u64) -> Sizes {
    let mut group = Group::new(MEMBERS, instances);
    group.run(20_000);
    assert_eq!(group.known(), instances as usize);
    group.sizes = Sizes::default();
    group.run(10_000);
    assert_eq!(group.known(), instances as usize);
    group.sizes
}

/// All instances announce themselves in the same 100 ms: no word to the leader is large, and all are known soon.
#[test]
fn a_wave_of_announcements_is_told_in_bounded_words() {
    let mut group = Group::new(MEMBERS, 0);
    group.run(1_000);
    group.add(20_000, 100);
    group.run(2_000);
    assert_eq!(group.known(), 20_000);
    assert!(group.sizes.largest < 128 * 1024, "{:?}", group.sizes);
    assert!(group.sizes.most_records <= 256, "{:?}", group.sizes);
}

/// The instances of a member that ends, or is cut off from them, call another: none of them is forgotten meanwhile, and
/// gateways are told nothing of it.
#[test]
fn the_silence_of_a_member_is_not_that_of_its_instances() {
    let mut group = Group::new(4, 200);
    group.run(10_000);
    group.ends(2);
    group.run(30_000);
    assert_eq!(group.known(), 200);
    assert_eq!(group.forgotten, Vec::<String>::new());
}

/// Cut off from the leader alone, a member goes on to take its instances' word: they are not forgotten for a cut of
/// seconds.
#[test]
fn a_member_cut_off_from_the_leader_for_seconds_costs_no_instance() {
    let mut group = Group::new(4, 200);
    group.run(10_000);
    group.cut(3, true);
    group.run(10_000);
    group.cut(3, false);
    group.run(5_000);
    assert_eq!(group.known(), 200);
    assert_eq!(group.forgotten, Vec::<String>::new());
}

/// A later run, a departure, and an instance that falls silent are the leader's to believe, wherever they are heard.
#[test]
fn an_instance_that_ends_is_forgotten_where_it_was_last_heard() {
    let mut group = Group::new(4, 40);
    group.run(10_000);
    group.crash(7);
    // It moved a moment ago: the member that it was at before says that it is silent, too.
    group.moves(8);
    group.run(12_000);
    assert_eq!(group.known(), 39);
    assert_eq!(group.forgotten, vec![Group::name(7)]);
}

/// The next leader is told every share whole, from what the members know: no instance announces itself anew for it.
#[test]
fn the_next_leader_knows_the_fleet_from_its_members() {
    let mut group = Group::new(MEMBERS, 5_000);
    group.run(10_000);
    group.mute(true);
    group.lead(1);
    group.run(1_000);
    assert_eq!(group.known(), 5_000);
}

/// Whatever becomes of members' words on their way, every living instance is known in the end, and no other.
#[rstest]
fn words_that_are_lost_late_or_doubled_settle(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut group = Group::new(5, 60);
    group.fail(seed, 30);
    group.run(5_000);
    for round in 0..6 {
        group.crash(seed % 7 + round * 9);
        group.moves(seed % 5 + round * 9 + 1);
        group.restart(seed % 3 + round * 9 + 2);
        if round == 3 {
            group.lead(1 + seed % 4);
        }
        group.run(1_500);
    }
    group.fail(seed, 0);
    group.run(20_000);
    assert_eq!(group.known_runs(), group.living_runs());
}

/// Of a service with thousands of engines, the leader reads, plans with and tells gateways of those that are needed.
#[test]
fn engines_that_nobody_needs_are_neither_read_nor_told() {
    // A service that is used whole, two replicas of each model, and some to spare in each zone.
    let most = 256 + 2 * 100 + 4 * 8;
    for engines in [2_000, 20_000] {
        let (reads, told) = first_update(engines);
        assert!(reads <= most && told <= most, "{engines}: {reads}, {told}");
    }
}

/// Engines read until all is settled, and instances in the first update of a gateway.
fn first_update(engines: u64) -> (usize, usize) {
    let mut group = Group::new(MEMBERS, engines);
    group.run(10_000);
    let update = group.first_update();
    assert!(update.complete);
    for model in 0..harness::shares::MODELS {
        let name: ModelName = harness::shares::model(model);
        let holders = update.instances.iter();
        let holders = holders.filter(|record| record.models.iter().any(|held| held.model == name));
        let zones: std::collections::BTreeSet<_> = holders.map(|record| &record.zone).collect();
        assert!(zones.len() >= 2, "{name} is in {zones:?}");
    }
    (group.reads, update.instances.len())
}

/// A model that is asked for more than its active replicas serve well gets more of them at once, and no load.
#[test]
fn demand_calls_up_replicas_that_stand_by() {
    let mut group = Group::new(4, 2_000);
    group.run(10_000);
    let before = group.active_replicas(0);
    // Twice what one engine reads.
    group.ask_for(0, 76_000);
    group.run(9_000);
    let after = group.active_replicas(0);
    assert!(before < 7 && after >= 7, "{before}, {after}");
    assert_eq!(group.loads, 0);
}

/// The loss of a zone leaves replicas of each model, and others are called up in its place.
#[test]
fn the_loss_of_a_zone_leaves_replicas() {
    let mut group = Group::new(4, 2_000);
    group.run(10_000);
    group.crash_zone(0);
    assert!((0..harness::shares::MODELS).all(|model| group.living_replicas(model) > 0));
    group.run(9_000);
    assert!((0..harness::shares::MODELS).all(|model| group.living_replicas(model) >= 2));
}

/// What an engine announces unchanged at another member is what it last announced, not what the leader believes it to serve:
/// an unload under way is not done by it.
#[test]
fn an_unchanged_word_says_nothing_of_an_unload_under_way() {
    let mut leader = Steering::new();
    leader.tells(1, &["a", "b"]);
    leader.run(100);
    leader.answers(110, leader.state(0, &["a", "b"]));
    leader.needs(5_000, "c");
    let unload = leader.run(5_010);
    assert!(
        matches!(unload[..], [FleetOutput::Instruct(_)]),
        "{unload:?}"
    );
    leader.answers(5_020, InstructionResult::Accepted);
    leader.sees(2);
    leader.sees(3);
    let calls = leader.run(5_400);
    assert!(calls.is_empty(), "{calls:?}");
    leader.tells(4, &["b"]);
    let calls = leader.run(5_700);
    assert_eq!(calls.len(), 1, "{calls:?}");
}
