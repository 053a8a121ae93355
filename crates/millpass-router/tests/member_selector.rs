//! Selection of a control member after the leader is lost.

use millpass_config::{parse_control, parse_router};
use millpass_router::{LinkSettings, MemberSelector};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

fn member(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number))
}

fn five_members() -> MemberSelector {
    MemberSelector::new((1..=5).map(member).collect())
}

#[test]
fn members_rotate_and_a_stated_leader_comes_first() {
    let mut selector = five_members();
    assert_eq!(selector.next_member(), Some(member(1)));
    selector.set_leader_hint(Some(member(4)));
    assert_eq!(selector.next_member(), Some(member(4)));
    assert_eq!(selector.next_member(), Some(member(2)));
    selector.set_leader_hint(None);
    assert_eq!(selector.next_member(), Some(member(3)));
}

#[test]
fn unreachable_leader_stated_by_others_is_skipped() {
    let mut selector = five_members();
    selector.mark_unreachable(member(2));
    for _ in 0..4 {
        let next = selector.next_member().expect("a member");
        assert_ne!(next, member(2));
        selector.set_leader_hint(Some(member(2)));
    }
    selector.set_leader_hint(Some(member(5)));
    assert_eq!(selector.next_member(), Some(member(5)));
}

/// Guards against skipping a leader forever that was unreachable only temporarily.
#[test]
fn leader_reachable_again_is_followed_after_one_rotation() {
    let mut selector = five_members();
    selector.mark_unreachable(member(2));
    let reconnected_after = (1..=20).find(|_| {
        let found = selector.next_member() == Some(member(2));
        selector.set_leader_hint(Some(member(2)));
        found
    });
    assert!(
        reconnected_after.is_some_and(|turns| turns <= 6),
        "{reconnected_after:?}"
    );
}

#[test]
fn unreachable_member_is_retried() {
    let mut selector = five_members();
    selector.mark_unreachable(member(2));
    let members: Vec<_> = (0..40).filter_map(|_| selector.next_member()).collect();
    assert!(members.contains(&member(2)));
}

#[test]
fn only_member_is_retried_though_unreachable() {
    let mut selector = MemberSelector::new(vec![member(1)]);
    selector.mark_unreachable(member(1));
    assert_eq!(selector.next_member(), Some(member(1)));
    assert_eq!(MemberSelector::new(Vec::new()).next_member(), None);
}

/// Guards the default timeouts: their sum over a leader change must be shorter than the lease.
#[test]
fn router_finds_a_new_leader_before_its_lease_expires() {
    let control = "[member]\nzone = \"a\"\ndata_folder = \"data\"\n";
    let control = parse_control("control.toml", control).expect("settings");
    let router = "[router]\nname = \"r\"\nzone = \"a\"\n[control]\nmembers = [\"127.0.0.1:1\"]\n";
    let router = parse_router("router.toml", router).expect("settings");
    let link = LinkSettings::default();
    let lease = Duration::from_millis(control.routers.lease_ms);
    let last_answer = Duration::from_millis(router.reports.interval_ms);
    // An election starts after one to two times the election timeout.
    let election = Duration::from_millis(control.consensus.election_timeout_ms) * 2;
    // One connection to a follower that states the new leader, and one to the leader.
    let turns = link.maximum_reconnect_delay * 2;
    assert!(last_answer + election + turns < lease);
    // A leader that stops responding without closing the connection is also detected within the
    // lease.
    let silent = last_answer + link.contact_timeout + turns;
    assert!(silent < lease);
}
