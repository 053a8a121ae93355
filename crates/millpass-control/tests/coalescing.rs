//! Guards against reports of a gateway that are lost or counted twice when they are merged.

use millpass_control::coalescing::{WaitingReports, reporting_connection};
use millpass_control_plane::{ConnectionId, ControlInput};
use millpass_proto::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CONNECTION: ConnectionId = ConnectionId(7);

fn demand(model: u64, unserved: u32, in_flight: u32, priority: u32) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model: format!("model-{model}").into(),
        adapter: None,
        unserved,
        arrivals: unserved + 1,
        in_flight,
        priority,
        unread_tokens: 10,
        refused_full: unserved / 2,
    }
}

fn report(sequence: u64, demand: Vec<GatewayModelDemand>) -> GatewayReport {
    GatewayReport {
        gateway: "g".to_owned(),
        zone: "zone-a".into(),
        sequence,
        version: sequence,
        demand,
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: sequence,
        known_instance_digests: match sequence {
            1 => vec![11, 12],
            _ => Vec::new(),
        },
        paces: Vec::new(),
    }
}

fn input(report: GatewayReport) -> ControlInput {
    ControlInput::Router {
        connection: CONNECTION,
        message: RouterToControl::Gateway(report),
    }
}

/// Queues all reports behind the first and returns what the core receives.
fn merged(reports: &[GatewayReport]) -> GatewayReport {
    let mut waiting = WaitingReports::default();
    let mut reports = reports.iter().cloned().map(input);
    let first = reports.next().expect("a report");
    let mut first = *waiting.merge(first).expect_err("none waits");
    waiting.begin(reporting_connection(&first).expect("a report"));
    for report in reports {
        assert!(waiting.merge(report).is_ok());
    }
    waiting.complete(&mut first);
    match first {
        ControlInput::Router {
            message: RouterToControl::Gateway(report),
            ..
        } => report,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merged_reports_add_counts_and_keep_the_latest_states(
        demands in prop::collection::vec(
            prop::collection::btree_map(0_u64..5, (0_u32..4, 0_u32..4, 0_u32..3), 0..5),
            1..6,
        )
    ) {
        let reports: Vec<GatewayReport> = demands.iter().enumerate().map(|(index, demands)| {
            let demands = demands.iter();
            let demands = demands.map(|(model, (unserved, in_flight, priority))| {
                demand(*model, *unserved, *in_flight, *priority)
            });
            report(index as u64 + 1, demands.collect())
        }).collect();
        let result = merged(&reports);
        let last = reports.last().expect("a report");
        prop_assert_eq!(result.sequence, last.sequence);
        prop_assert_eq!((result.version, result.as_of), (last.version, last.as_of));
        prop_assert_eq!(&result.known_instance_digests, &vec![11, 12]);
        for number in 0..5 {
            let of_model = |report: &GatewayReport| {
                let name = format!("model-{number}");
                report.demand.iter().find(|it| it.model == name.as_str().into()).cloned()
            };
            let each: Vec<GatewayModelDemand> = reports.iter().filter_map(of_model).collect();
            let Some(total) = of_model(&result) else {
                prop_assert!(each.is_empty());
                continue;
            };
            prop_assert_eq!(total.unserved, each.iter().map(|it| it.unserved).sum::<u32>());
            prop_assert_eq!(total.arrivals, each.iter().map(|it| it.arrivals).sum::<u32>());
            prop_assert_eq!(total.refused_full, each.iter().map(|it| it.refused_full).sum::<u32>());
            let in_flight = of_model(last).map_or(0, |it| it.in_flight);
            prop_assert_eq!(total.in_flight, in_flight);
            let unserved = each.iter().filter(|it| it.unserved > 0);
            if let Some(priority) = unserved.map(|it| it.priority).min() {
                prop_assert_eq!(total.priority, priority);
            }
        }
    }
}

#[test]
fn a_report_waits_on_its_own_once_the_core_has_taken_the_previous_one() {
    let mut waiting = WaitingReports::default();
    waiting.begin(CONNECTION);
    let mut first = input(report(1, vec![demand(1, 1, 0, 1)]));
    waiting.complete(&mut first);
    let next = input(report(2, Vec::new()));
    assert!(waiting.merge(next).is_err());
}

#[test]
fn other_inputs_and_other_connections_are_not_merged() {
    let mut waiting = WaitingReports::default();
    waiting.begin(ConnectionId(8));
    assert!(waiting.merge(input(report(1, Vec::new()))).is_err());
    let end = ControlInput::RouterDisconnected(ConnectionId(8));
    assert!(waiting.merge(end).is_err());
}
