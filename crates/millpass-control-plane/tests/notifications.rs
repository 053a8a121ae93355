//! Routers are notified to report at once when newer revisions are available.

mod harness;

use harness::{Fleet, create_model};
use std::time::Duration;

/// Longer than the notification interval, much shorter than the report interval.
const NOTIFICATION_WAIT: Duration = Duration::from_millis(50);

fn fleet() -> Fleet {
    let routers = [("r-1", "zone-1"), ("r-2", "zone-1")];
    Fleet::new(&routers, &[("e-1", "zone-1")])
}

/// Returns how often each router was notified since the last call.
fn notifications(fleet: &mut Fleet, after: Duration) -> Vec<u32> {
    fleet.world.run(after);
    let mut notifications = Vec::new();
    for router in &mut fleet.routers {
        router.receive(&mut fleet.world);
        notifications.push(std::mem::take(&mut router.notifications));
    }
    notifications
}

#[test]
fn catalog_change_notifies_each_router_once_until_it_reports() {
    let mut fleet = fleet();
    let leader = fleet.leader;
    notifications(&mut fleet, NOTIFICATION_WAIT);
    create_model(&mut fleet.world, leader, "other");
    assert_eq!(notifications(&mut fleet, NOTIFICATION_WAIT), [1, 1]);
    create_model(&mut fleet.world, leader, "third");
    assert_eq!(
        notifications(&mut fleet, NOTIFICATION_WAIT),
        [0, 0],
        "notified again before a report"
    );
    fleet.rounds(2);
    let revision = fleet.state().configuration_revision();
    let mut routers = fleet.routers.iter();
    assert!(routers.all(|router| router.configuration == revision));
    notifications(&mut fleet, NOTIFICATION_WAIT);
    create_model(&mut fleet.world, leader, "fourth");
    assert_eq!(notifications(&mut fleet, NOTIFICATION_WAIT), [1, 1]);
}

#[test]
fn route_change_notifies_only_routers_with_waiting_requests() {
    let mut fleet = fleet();
    notifications(&mut fleet, NOTIFICATION_WAIT);
    fleet.set_waiting(3);
    let (world, routers) = (&mut fleet.world, &mut fleet.routers);
    routers[0].report(world);
    assert_eq!(
        notifications(&mut fleet, Duration::from_millis(300)),
        [1, 0]
    );
}
