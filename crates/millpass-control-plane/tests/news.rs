//! Routers are told to report at once when there is something newer than their last report knew.

mod harness;

use harness::{Fleet, create_model};
use std::time::Duration;

/// Longer than the look for news, much shorter than routers' report interval.
const SOON: Duration = Duration::from_millis(50);

fn fleet() -> Fleet {
    let routers = [("r-1", "zone-1"), ("r-2", "zone-1")];
    Fleet::new(&routers, &[("e-1", "zone-1")])
}

/// How often each router was told since the last look.
fn told(fleet: &mut Fleet, after: Duration) -> Vec<u32> {
    fleet.world.run(after);
    let mut told = Vec::new();
    for router in &mut fleet.routers {
        router.receive(&mut fleet.world);
        told.push(std::mem::take(&mut router.news));
    }
    told
}

#[test]
fn a_change_of_the_catalog_is_news_to_every_router_once_until_it_reports() {
    let mut fleet = fleet();
    let leader = fleet.leader;
    told(&mut fleet, SOON);
    create_model(&mut fleet.world, leader, "other");
    assert_eq!(told(&mut fleet, SOON), [1, 1]);
    create_model(&mut fleet.world, leader, "third");
    assert_eq!(told(&mut fleet, SOON), [0, 0], "not again before a report");
    fleet.rounds(2);
    let revision = fleet.state().configuration_revision();
    let mut routers = fleet.routers.iter();
    assert!(routers.all(|router| router.configuration == revision));
    told(&mut fleet, SOON);
    create_model(&mut fleet.world, leader, "fourth");
    assert_eq!(told(&mut fleet, SOON), [1, 1]);
}

#[test]
fn a_change_of_routes_is_news_only_where_requests_wait() {
    let mut fleet = fleet();
    told(&mut fleet, SOON);
    fleet.waiting(3);
    let (world, routers) = (&mut fleet.world, &mut fleet.routers);
    routers[0].report(world);
    assert_eq!(told(&mut fleet, Duration::from_millis(300)), [1, 0]);
}
