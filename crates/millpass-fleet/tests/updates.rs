//! Guards against updates that grow with the fleet instead of with what changed: full updates to
//! all reconnecting gateways delayed the renewal of the leader lease and so caused further leader
//! changes. Also tests that only what a gateway reports counts as received.

mod harness;

use harness::{Leader, ROUTES, at, document, encoded_size, record, route};
use millpass_fleet::FleetOutput;
use millpass_proto::*;
use rstest::rstest;

const INSTANCES: u64 = 144;
const DEPARTED: u64 = 256;
/// Time after which the leader is complete.
const COMPLETE: u64 = 10_000;

/// Returns the digests of the records in an update.
fn digests(update: &GatewayUpdate) -> Vec<u64> {
    let records = update.instances.iter();
    records.map(InstanceRecord::digest).collect()
}

fn single(updates: Vec<(u64, GatewayUpdate)>) -> GatewayUpdate {
    assert_eq!(updates.len(), 1, "{updates:?}");
    updates.into_iter().next().expect("one").1
}

/// Connects gateway g-1 on connection 1, brings it up to date and returns the digests it holds.
fn connect_up_to_date(leader: &mut Leader, now: u64) -> Vec<u64> {
    leader.report_of(now, 1, "g-1", 0, Vec::new());
    let first = single(leader.updates(now));
    assert_eq!(first.document.as_ref().map(|found| found.version), Some(1));
    leader.report_of(now + 1, 1, "g-1", 1, Vec::new());
    leader.updates(now + 1);
    digests(&first)
}

#[test]
fn reconnecting_unchanged_gateway_is_sent_digests_only() {
    let mut leader = Leader::new(INSTANCES, DEPARTED);
    let digests = connect_up_to_date(&mut leader, COMPLETE);
    leader.fleet.handle_disconnect(at(COMPLETE + 10), 1);
    leader.report_of(COMPLETE + 20, 2, "g-1", 1, digests.clone());
    let update = single(leader.updates(COMPLETE + 20));
    assert!(update.first);
    assert!(update.instances.is_empty() && update.removed.is_empty());
    assert!(update.document.is_none() && update.document_change.is_none());
    let mut unchanged = update.unchanged_instance_digests.clone();
    let mut digests = digests;
    unchanged.sort_unstable();
    digests.sort_unstable();
    assert_eq!(unchanged, digests, "all digests are unchanged");
    // A digest takes at most ten bytes, the rest of the update a few dozen.
    assert!(
        encoded_size(&update) <= 1_500,
        "{} bytes",
        encoded_size(&update)
    );
}

/// An incomplete leader sends departures only to gateways that hold instances unknown to it.
#[test]
fn incomplete_leader_sends_departures_only_if_needed() {
    let mut leader = Leader::new(INSTANCES, DEPARTED);
    let digests: Vec<u64> = (0..INSTANCES)
        .map(|number| record(number).digest())
        .collect();
    leader.report_of(100, 1, "g-1", 1, digests.clone());
    let update = single(leader.updates(100));
    assert!(!update.complete);
    assert!(
        encoded_size(&update) <= 1_500,
        "{} bytes",
        encoded_size(&update)
    );
    let mut one_more = digests;
    one_more.push(record(INSTANCES).digest());
    leader.report_of(200, 2, "g-2", 1, one_more);
    let update = single(leader.updates(200));
    assert_eq!(update.removed.len(), DEPARTED as usize);
    leader.report_of(300, 3, "g-3", 1, Vec::new());
    let update = single(leader.updates(300));
    assert_eq!(
        update.removed.len(),
        DEPARTED as usize,
        "a gateway without digests may hold any instance"
    );
}

#[test]
fn reconnecting_gateway_is_sent_changed_instances_only() {
    let mut leader = Leader::new(INSTANCES, 0);
    let digests = connect_up_to_date(&mut leader, COMPLETE);
    leader.fleet.handle_disconnect(at(COMPLETE + 10), 1);
    leader.fleet.handle_departure(&"i-000000003".into(), false);
    leader.fleet.handle_departure(&"i-000000004".into(), true);
    let mut announced = record(5);
    announced.sequence = 9;
    leader
        .fleet
        .handle_announcement(at(COMPLETE + 11), announced, false);
    leader.report_of(COMPLETE + 20, 2, "g-1", 1, digests.clone());
    let update = single(leader.updates(COMPLETE + 20));
    let changed: Vec<&str> = update
        .instances
        .iter()
        .map(|record| record.instance.as_str())
        .collect();
    assert_eq!(changed, ["i-000000003"]);
    assert_eq!(update.unchanged_instance_digests.len(), digests.len() - 2);
    assert!(
        !update
            .unchanged_instance_digests
            .contains(&record(4).digest())
    );
}

#[test]
fn change_of_one_route_does_not_send_the_document() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    let full_update = single({
        leader.report(COMPLETE + 2, 2, 0);
        leader.updates(COMPLETE + 2)
    });
    leader.report(COMPLETE + 3, 2, 1);
    leader.updates(COMPLETE + 3);
    leader.commit_next_version(COMPLETE + 100);
    let updates = leader.updates(COMPLETE + 100);
    assert_eq!(updates.len(), 2);
    for (_, update) in updates {
        assert!(update.document.is_none());
        let change = update.document_change.as_ref().expect("a change");
        assert_eq!((change.base, change.version), (1, 2));
        assert_eq!(
            change
                .apply(&document(1))
                .map(|found| found.routes[7].timeout_millis),
            Some(1_001)
        );
        assert!(
            encoded_size(&update) <= 200,
            "{} of {} bytes",
            encoded_size(&update),
            encoded_size(&full_update)
        );
    }
}

/// A connection keeps its order: earlier messages arrive first.
#[test]
fn change_is_based_on_last_sent_version() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    for version in 2..=4 {
        leader.commit_next_version(COMPLETE + version * 10);
        let update = single(leader.updates(COMPLETE + version * 10));
        let change = update.document_change.expect("a change");
        assert_eq!((change.base, change.version), (version - 1, version));
    }
}

#[test]
fn change_lost_with_its_connection_is_resent_on_the_next() {
    let mut leader = Leader::new(INSTANCES, 0);
    let digests = connect_up_to_date(&mut leader, COMPLETE);
    leader.commit_next_version(COMPLETE + 100);
    assert_eq!(leader.updates(COMPLETE + 100).len(), 1);
    leader.fleet.handle_disconnect(at(COMPLETE + 110), 1);
    leader.report_of(COMPLETE + 120, 2, "g-1", 1, digests);
    let update = single(leader.updates(COMPLETE + 120));
    let change = update.document_change.as_ref().expect("a change");
    assert_eq!((change.base, change.version), (1, 2));
    assert!(update.instances.is_empty());
    assert!(
        encoded_size(&update) <= 1_700,
        "{} bytes",
        encoded_size(&update)
    );
}

/// A gateway that keeps reporting an older version is sent the whole document.
#[test]
fn unreported_version_is_resent() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    let sent = COMPLETE + 100;
    leader.commit_next_version(sent);
    assert_eq!(leader.updates(sent).len(), 1);
    leader.report_of(sent + 100, 1, "g-1", 1, Vec::new());
    let early = single(leader.updates(sent + 100));
    assert!(
        early.document.is_none() && early.document_change.is_none(),
        "the version is still on its way"
    );
    // Without reports nothing is resent: it would queue behind what is already pending.
    assert!(leader.updates(sent + 1_500).is_empty());
    leader.report_of(sent + 1_600, 1, "g-1", 1, Vec::new());
    let resent = single(leader.updates(sent + 1_600));
    assert_eq!(resent.document.as_ref().map(|found| found.version), Some(2));
    leader.report_of(sent + 1_700, 1, "g-1", 1, Vec::new());
    assert!(
        single(leader.updates(sent + 1_700)).document.is_none(),
        "not resent at each report"
    );
    leader.report_of(sent + 3_200, 1, "g-1", 1, Vec::new());
    assert!(single(leader.updates(sent + 3_200)).document.is_some());
    leader.report_of(sent + 4_800, 1, "g-1", 2, Vec::new());
    assert!(
        single(leader.updates(sent + 4_800)).document.is_none(),
        "the version has arrived"
    );
}

#[test]
fn gateway_with_discarded_version_gets_the_document() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    leader.fleet.handle_disconnect(at(COMPLETE + 2), 1);
    for version in 2..=20 {
        leader.commit_next_version(COMPLETE + version * 10);
        leader.updates(COMPLETE + version * 10);
    }
    leader.report_of(COMPLETE + 500, 2, "g-1", 1, Vec::new());
    let update = single(leader.updates(COMPLETE + 500));
    assert_eq!(update.document.map(|found| found.version), Some(20));
    assert_eq!(update.document_change, None);
    leader.report_of(COMPLETE + 501, 3, "g-2", 19, Vec::new());
    assert!(
        single(leader.updates(COMPLETE + 501))
            .document_change
            .is_some()
    );
}

#[test]
fn change_as_large_as_the_document_is_sent_as_document() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    let mut next = document(2);
    next.routes = (0..ROUTES)
        .map(|number| route(number + ROUTES, 1_000))
        .collect();
    leader.documents.record(at(COMPLETE + 50), &next.into());
    leader.version = 2;
    let update = single(leader.updates(COMPLETE + 50));
    assert_eq!(update.document.map(|found| found.version), Some(2));
    assert_eq!(update.document_change, None);
}

fn report_loads(leader: &mut Leader, now: u64, in_flight: u32) {
    let load = |number: u64| InstanceLoad {
        instance: record(number).instance,
        in_flight,
    };
    let report = GatewayReport {
        gateway: "g-1".to_owned(),
        zone: "zone-a".into(),
        sequence: now,
        version: 1,
        demand: Vec::new(),
        inconsistent: Vec::new(),
        in_flight: (0..INSTANCES).map(load).collect(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    };
    leader.fleet.handle_report(at(now), 1, &report);
}

/// Guards against repeating unchanged loads and ready times in every response.
#[test]
fn response_without_changes_is_small() {
    let mut leader = Leader::new(INSTANCES, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    report_loads(&mut leader, COMPLETE + 100, 3);
    let changed = single(leader.updates(COMPLETE + 100));
    assert!(!changed.loads_unchanged);
    assert_eq!(changed.loads.len(), 64);
    report_loads(&mut leader, COMPLETE + 500, 3);
    let unchanged = single(leader.updates(COMPLETE + 500));
    assert!(unchanged.loads_unchanged && unchanged.ready_estimates_unchanged);
    assert!(unchanged.loads.is_empty() && unchanged.ready_estimates.is_empty());
    assert!(
        encoded_size(&unchanged) <= 32,
        "{} bytes",
        encoded_size(&unchanged)
    );
    report_loads(&mut leader, COMPLETE + 900, 4);
    let changed = single(leader.updates(COMPLETE + 900));
    assert!(!changed.loads_unchanged && changed.ready_estimates_unchanged);
    assert_eq!(changed.loads[0].in_flight, 4);
}

#[test]
fn new_connection_is_sent_ready_estimates_and_loads() {
    let mut leader = Leader::new(INSTANCES, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    report_loads(&mut leader, COMPLETE + 100, 3);
    leader.updates(COMPLETE + 100);
    leader.report(COMPLETE + 200, 2, 1);
    let first = single(leader.updates(COMPLETE + 200));
    assert!(!first.loads_unchanged && !first.ready_estimates_unchanged);
    assert_eq!(first.loads.len(), 64);
}

#[test]
fn update_acknowledges_the_newest_report() {
    let mut leader = Leader::new(0, 0);
    leader.report(COMPLETE, 1, 1);
    leader.report(COMPLETE, 1, 1);
    let newest = leader.newest_report();
    leader.report(COMPLETE, 2, 1);
    let acknowledged: Vec<u64> = leader
        .updates(COMPLETE)
        .iter()
        .map(|(_, update)| update.acknowledged_report)
        .collect();
    assert_eq!(acknowledged, [newest, newest + 1]);
}

/// Guards against updates without a change or report.
#[test]
fn no_update_is_sent_without_changes_or_reports() {
    let mut leader = Leader::new(INSTANCES, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    for millis in 10..500 {
        let outputs = leader.run(COMPLETE + millis);
        let sent = outputs
            .iter()
            .any(|output| matches!(output, FleetOutput::Update { .. }));
        assert!(!sent, "at {millis} ms");
    }
}

/// No updates are queued behind a backlog: changes accumulate at the leader and share one update.
#[test]
fn backlogged_gateway_gets_one_update_after_its_backlog() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    leader.fleet.set_backlogged(at(COMPLETE + 10), 1, true);
    for version in 2..=4 {
        let now = COMPLETE + version * 1_000;
        leader.commit_next_version(now);
        leader
            .fleet
            .handle_announcement(at(now), record(version), false);
        leader.report_of(now, 1, "g-1", 1, Vec::new());
        assert!(leader.updates(now).is_empty());
    }
    leader.fleet.set_backlogged(at(COMPLETE + 5_000), 1, false);
    let update = single(leader.updates(COMPLETE + 5_000));
    let change = update.document_change.expect("a change");
    assert_eq!((change.base, change.version), (1, 4));
    assert_eq!(update.instances.len(), 3);
}

/// Updates left the queue only now, so the report cannot have arrived yet.
#[test]
fn version_delayed_by_backlog_is_not_overdue_at_once() {
    let mut leader = Leader::new(0, 0);
    connect_up_to_date(&mut leader, COMPLETE);
    leader.commit_next_version(COMPLETE + 100);
    assert_eq!(leader.updates(COMPLETE + 100).len(), 1);
    leader.fleet.set_backlogged(at(COMPLETE + 100), 1, true);
    leader.fleet.set_backlogged(at(COMPLETE + 3_000), 1, false);
    leader.report_of(COMPLETE + 3_001, 1, "g-1", 1, Vec::new());
    let update = single(leader.updates(COMPLETE + 3_001));
    assert!(update.document.is_none() && update.document_change.is_none());
}

/// Guards against a stale report, read by another thread, that takes the session from the newer
/// connection of its gateway.
#[test]
fn late_report_of_older_connection_is_ignored() {
    let mut leader = Leader::new(3, 0);
    leader.report_of(100, 1, "g", 1, Vec::new());
    leader.run(100);
    leader.report_of(200, 2, "g", 1, Vec::new());
    leader.run(200);
    leader.report_of(210, 1, "g", 1, Vec::new());
    assert!(
        leader.updates(220).is_empty(),
        "no update is sent on the older connection"
    );
    leader.report_of(300, 2, "g", 1, Vec::new());
    let updates = leader.updates(310);
    let connections: Vec<u64> = updates.iter().map(|(connection, _)| *connection).collect();
    assert_eq!(connections, [2]);
    assert!(
        !updates[0].1.first,
        "the session of the newer connection continues"
    );
}

/// With a thousand gateways, each is sent one update a second; the one with waiting requests is
/// sent the change at once.
#[test]
fn gateway_with_waiting_requests_is_updated_at_once() {
    let mut leader = Leader::new(20, 0);
    for connection in 0..1_000 {
        leader.report(10_000, connection, 1);
    }
    leader.run(10_000);
    leader.report_unmet_demand(12_000, 7);
    leader.run(12_000);
    let mut changed = record(3);
    changed.sequence = 2;
    changed.models = vec![HeldModel {
        model: "m".into(),
        adapters: vec!["a1".into()],
    }];
    leader.fleet.handle_announcement(at(12_050), changed, false);
    let updated: Vec<u64> = leader
        .updates(12_060)
        .iter()
        .filter(|(_, update)| {
            let mut contents = update.contents.iter();
            contents.any(|it| it.instance == record(3).instance)
        })
        .map(|(connection, _)| *connection)
        .collect();
    assert!(updated.contains(&7), "{updated:?}");
}

/// Guards against long passes when a thousand gateways connect at once. Those that hold all
/// instances already are updated within half a second.
#[rstest]
#[case::they_hold_nothing(false, 3_000)]
#[case::they_come_back(true, 500)]
fn simultaneous_connects_are_served_in_bounded_passes(
    #[case] come_back: bool,
    #[case] within: u64,
) {
    let mut leader = Leader::new(500, 0);
    leader.run(COMPLETE);
    let held: Vec<u64> = match come_back {
        true => (0..500).map(|number| record(number).digest()).collect(),
        false => Vec::new(),
    };
    for connection in 0..1_000 {
        let gateway = format!("g-{connection}");
        leader.report_of(COMPLETE, connection, &gateway, 1, held.clone());
    }
    let mut first_updates = 0;
    for pass in 0..within / 10 {
        let updates = leader.updates(COMPLETE + 10 * pass);
        let records: usize = updates
            .iter()
            .map(|(_, update)| update.instances.len())
            .sum();
        // The last first update of a pass starts below the bound.
        assert!(records <= 4_096 + 500, "{records}");
        first_updates += updates.iter().filter(|(_, update)| update.first).count();
    }
    assert_eq!(first_updates, 1_000);
}
