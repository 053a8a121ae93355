//! Guards against a restarted instance that gets no requests, or is drained, because of messages of
//! its predecessor. In whatever order the announcements of its incarnations arrive, leader and
//! gateways must end with the newest one, in the state it announced.

mod harness;

use harness::{Leader, at, gateway, record};
use millpass_fleet::{Fleet, FleetSettings, InstructionHistory};
use millpass_proto::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const NAME: &str = "i-1";
/// Time between two messages, in milliseconds: long enough for a run of the leader.
const MESSAGE_INTERVAL_MILLIS: u64 = 50;

#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    incarnation: u64,
    sequence: u64,
    draining: bool,
}

impl Heartbeat {
    fn record(self) -> InstanceRecord {
        InstanceRecord {
            instance: InstanceId::of_run(NAME, self.incarnation),
            sequence: self.sequence,
            draining: self.draining,
            ..record(1)
        }
    }
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    // Servers of an earlier release do not state their incarnation.
    let incarnation = prop_oneof![Just(0), Just(1_000), Just(2_000)];
    (incarnation, 0..6_u64, prop::bool::weighted(0.2)).prop_map(
        |(incarnation, sequence, draining)| Heartbeat {
            incarnation,
            sequence,
            draining,
        },
    )
}

/// Returns the incarnation that should be recorded, and whether it drains.
fn expected(heartbeats: &[Heartbeat]) -> Option<(u64, bool)> {
    let mut latest: Option<Heartbeat> = None;
    for heartbeat in heartbeats {
        latest = match latest {
            Some(current) if heartbeat.incarnation < current.incarnation => latest,
            Some(current) if heartbeat.incarnation == current.incarnation => {
                match heartbeat.sequence {
                    sequence if sequence < current.sequence => latest,
                    sequence => Some(Heartbeat {
                        sequence,
                        draining: current.draining || heartbeat.draining,
                        ..current
                    }),
                }
            }
            _ => Some(*heartbeat),
        };
    }
    latest.map(|heartbeat| (heartbeat.incarnation, heartbeat.draining))
}

#[test]
fn newest_incarnation_wins_in_any_order_of_heartbeats() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let heartbeats = proptest::collection::vec(heartbeat(), 1..25);
    let result = runner.run(&heartbeats, |heartbeats| {
        let mut leader = Leader::new(0, 0);
        let mut gateway = gateway();
        let mut held: BTreeMap<InstanceId, InstanceRecord> = BTreeMap::new();
        let mut now = 10_000;
        for heartbeat in &heartbeats {
            now += MESSAGE_INTERVAL_MILLIS;
            leader
                .fleet
                .handle_announcement(at(now), heartbeat.record(), false);
            leader.report(now, 1, 1);
            for (_, update) in leader.updates(now) {
                held.extend(
                    update
                        .instances
                        .iter()
                        .map(|it| (it.instance.clone(), it.clone())),
                );
                for removed in &update.removed {
                    held.remove(removed);
                }
                gateway.update(at(now), update);
            }
        }
        let (incarnation, draining) = expected(&heartbeats).expect("at least one heartbeat");
        let run = InstanceId::of_run(NAME, incarnation);
        prop_assert_eq!(leader.fleet.latest_incarnation(&run), Some(run.clone()));
        prop_assert_eq!(held.keys().collect::<Vec<_>>(), vec![&run]);
        prop_assert_eq!(held[&run].draining, draining);
        prop_assert_eq!(gateway.instance_count(), 1);
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}

/// Guards against a stale announcement that replaces a later incarnation after a change of leader.
#[test]
fn new_leader_keeps_the_later_incarnation() {
    let mut fleet = Fleet::new(FleetSettings::default());
    let heartbeat = |incarnation, sequence| Heartbeat {
        incarnation,
        sequence,
        draining: false,
    };
    let recorded = [heartbeat(1_000, 900).record()];
    let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
    fleet.start_leading(at(0), recorded.into_iter(), std::iter::empty(), &history);
    fleet.handle_announcement(at(10), heartbeat(2_000, 0).record(), false);
    fleet.handle_announcement(at(20), heartbeat(1_000, 901).record(), false);
    let run = InstanceId::of_run(NAME, 2_000);
    assert_eq!(fleet.latest_incarnation(&run), Some(run.clone()));
    fleet.handle_departure(&run, true);
    fleet.handle_announcement(at(30), heartbeat(1_000, 902).record(), false);
    assert_eq!(
        fleet.latest_incarnation(&run),
        None,
        "a departed instance is not restored by a stale heartbeat"
    );
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, ..Config::with_cases(256) })]

    #[test]
    fn instance_id_consists_of_name_and_incarnation(name in "[a-z0-9#-]{0,12}", incarnation: u64, later: u64) {
        let run = InstanceId::of_run(&name, incarnation);
        prop_assert_eq!(run.name(), name.as_str());
        prop_assert_eq!(run.incarnation(), incarnation);
        let other = InstanceId::of_run(&name, later);
        prop_assert_eq!(run.is_before(&other), incarnation < later);
        prop_assert_eq!(run == other, incarnation == later);
        let table = BTreeMap::from([(run.clone(), ()), (other.clone(), ()), (InstanceId::of_run("x-other", later), ())]);
        let found: Vec<&InstanceId> = run.runs_in(&table).collect();
        let expected: BTreeSet<&InstanceId> = [&run, &other].into();
        prop_assert_eq!(found.len(), expected.len(), "each incarnation is returned once");
        prop_assert_eq!(found.into_iter().collect::<BTreeSet<_>>(), expected);
    }
}
