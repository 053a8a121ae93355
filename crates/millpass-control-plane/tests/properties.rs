//! Invariants of a group of three under random faults and competing operators.

mod harness;

use harness::{TestRouter, World, change, create_model, seconds, tenant};
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;

const MEMBERS: u64 = 3;
const OPERATORS: u64 = 3;

/// One step of a scenario.
#[derive(Clone, Debug)]
enum Step {
    /// Advances time by this many milliseconds.
    Run(u64),
    /// All operators change the same version, each at the next member from this one.
    Race(u64),
    /// Resends an earlier change.
    Resend(u64, u64),
    /// Drop, delay and duplication between members, in percent.
    Network(u64, u64, u64),
    Halt(u64),
    Restart(u64),
    Freeze(u64),
    Resume(u64),
    Partition(u64),
    Heal(u64),
    /// Routers report this many waiting requests for the model.
    Reports(u32),
    FinishLoads,
    RestartEngine(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let member = || 1..=MEMBERS;
    prop_oneof![
        6 => (10_u64..2_500).prop_map(Step::Run),
        6 => member().prop_map(Step::Race),
        3 => (any::<u64>(), member()).prop_map(|(number, member)| Step::Resend(number, member)),
        2 => (0_u64..40, 0_u64..60, 0_u64..40).prop_map(|(a, b, c)| Step::Network(a, b, c)),
        1 => member().prop_map(Step::Halt),
        3 => member().prop_map(Step::Restart),
        1 => member().prop_map(Step::Freeze),
        2 => member().prop_map(Step::Resume),
        1 => member().prop_map(Step::Partition),
        2 => member().prop_map(Step::Heal),
        4 => (0_u32..40).prop_map(Step::Reports),
        2 => Just(Step::FinishLoads),
        1 => (1_u64..=2).prop_map(Step::RestartEngine),
    ]
}

/// A scenario and the responses that its operators received.
struct Scenario {
    world: World,
    routers: Vec<TestRouter>,
    /// Changes, each with the calls that sent it.
    changes: Vec<(ObjectChange, Vec<u64>)>,
    /// Version as known to the operators.
    version: u64,
    calls: u64,
    acknowledged: ConfigurationRevision,
    engine_incarnation: u64,
}

impl Scenario {
    fn new(seed: u64, snapshot_entries: u64) -> Scenario {
        let mut world = World::with_snapshots(MEMBERS, snapshot_entries);
        world.network.seed = seed;
        let leader = world.elect();
        world.add_engine("e-1", "zone-1");
        world.add_engine("e-2", "zone-2");
        create_model(&mut world, leader, "chat");
        let calls = world.responses.len() as u64;
        let routers =
            ["r-1", "r-2"].map(|name| TestRouter::new(&mut world, leader, name, "zone-1"));
        Scenario {
            world,
            routers: routers.into(),
            changes: Vec::new(),
            version: 0,
            calls,
            acknowledged: ConfigurationRevision(0),
            engine_incarnation: 1,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Run(millis) => self.world.run(Duration::from_millis(millis)),
            Step::Race(first) => self.race(first),
            Step::Resend(number, member) if !self.changes.is_empty() => {
                let number = number as usize % self.changes.len();
                self.send(number, member);
            }
            Step::Resend(..) => {}
            Step::Network(dropped, delayed, doubled) => {
                self.world.network.dropped = dropped;
                self.world.network.delayed = delayed;
                self.world.network.doubled = doubled;
            }
            Step::Halt(id) => self.world.halt(MemberId(id)),
            Step::Restart(id) => self.world.restart(id),
            Step::Freeze(id) => self.member(id).frozen = true,
            Step::Resume(id) => self.world.resume(MemberId(id)),
            Step::Partition(id) => self.member(id).partitioned = true,
            Step::Heal(id) => self.member(id).partitioned = false,
            Step::Reports(waiting) => self.reports(waiting),
            Step::FinishLoads => self.finish_loads(),
            Step::RestartEngine(number) => self.restart_engine(number),
        }
        self.check();
    }

    fn member(&mut self, id: u64) -> &mut harness::Member {
        self.world.members.get_mut(&MemberId(id)).unwrap()
    }

    fn race(&mut self, first: u64) {
        for operator in 0..OPERATORS {
            let id = format!("change-{}", self.changes.len());
            let spec = tenant(operator as u32 + 1);
            let change = change(ObjectKind::Tenant, "news", self.version, &id, spec);
            self.changes.push((change, Vec::new()));
            self.send(self.changes.len() - 1, (first + operator) % MEMBERS + 1);
        }
        self.update_version();
    }

    fn send(&mut self, number: usize, member: u64) {
        let (change, calls) = &mut self.changes[number];
        self.calls += 1;
        calls.push(self.calls);
        let request = AdministrationRequest::Change(change.clone());
        self.world.call(MemberId(member), request);
    }

    /// Operators take the version from the responses received.
    fn update_version(&mut self) {
        let known = self
            .outcomes()
            .into_iter()
            .map(|(_, outcome)| match outcome {
                ObjectChangeOutcome::Accepted(accepted) => accepted.version,
                ObjectChangeOutcome::VersionConflict(conflict) => conflict.current_version,
                other => panic!("{other:?}"),
            });
        self.version = known.max().unwrap_or(0).max(self.version);
    }

    /// Returns the final responses, with the number of the change.
    fn outcomes(&self) -> Vec<(usize, &ObjectChangeOutcome)> {
        let calls = self.changes.iter().enumerate();
        calls
            .flat_map(|(number, (_, calls))| calls.iter().map(move |call| (number, call)))
            .filter_map(|(number, call)| match self.world.responses.get(call) {
                Some(AdministrationResponse::Change(outcome)) => Some((number, outcome)),
                _ => None,
            })
            .collect()
    }

    fn reports(&mut self, waiting: u32) {
        let leader = self.world.leader();
        for router in &mut self.routers {
            router.wait_for("chat", waiting);
            let member = self.world.connection_member.get(&router.connection);
            if let Some(leader) = leader.filter(|leader| Some(leader) != member) {
                router.reconnect(&mut self.world, leader, 1);
            }
            router.report(&mut self.world);
        }
    }

    fn finish_loads(&mut self) {
        for engine in self.world.engines.values_mut() {
            engine.finish_loads();
        }
    }

    fn restart_engine(&mut self, number: u64) {
        self.engine_incarnation += 1;
        let name = BackendName(format!("e-{number}"));
        let incarnation = self.engine_incarnation;
        self.world
            .engines
            .get_mut(&name)
            .unwrap()
            .restart(incarnation);
    }

    /// Checks the invariants. The harness also checks the ledger and the replicas at each index,
    /// and that no router's revision reverts.
    fn check(&mut self) {
        self.check_leaders();
        self.check_engines();
        self.check_responses();
    }

    fn check_leaders(&mut self) {
        let now = self.world.now;
        let members = self.world.members.values();
        let leading =
            members.filter(|member| member.up && !member.frozen && member.plane.is_leading(now));
        let revisions: Vec<ConfigurationRevision> = leading
            .map(|member| member.plane.state().configuration_revision())
            .collect();
        assert!(revisions.len() <= 1, "two members are leading");
        for revision in revisions {
            assert!(
                revision >= self.acknowledged,
                "an acknowledged change is missing"
            );
        }
    }

    /// Asserts that everything an engine holds was decided and is not yet released.
    fn check_engines(&self) {
        for engine in self.world.engines.values() {
            for (slot, report) in &engine.slots {
                let holds = matches!(
                    report.phase,
                    EngineSlotPhase::Loading | EngineSlotPhase::Loaded
                );
                let decided = self.world.audit.state.replica(*slot);
                let decided =
                    decided.is_some_and(|replica| replica.incarnation == engine.incarnation);
                assert!(decided || !holds, "{slot:?} at {:?}", engine.backend);
            }
        }
    }

    fn check_responses(&mut self) {
        let mut accepted: BTreeMap<usize, ChangeAccepted> = BTreeMap::new();
        let mut winners: BTreeMap<u64, usize> = BTreeMap::new();
        let outcomes = self.outcomes();
        for (number, outcome) in &outcomes {
            if let ObjectChangeOutcome::Accepted(response) = outcome {
                let first = accepted.entry(*number).or_insert_with(|| response.clone());
                assert_eq!(first, response, "a resend got a different response");
                let winner = *winners.entry(response.version).or_insert(*number);
                assert_eq!(winner, *number, "two changes made the same version");
            }
        }
        for (number, outcome) in &outcomes {
            let both = accepted.contains_key(number)
                && !matches!(outcome, ObjectChangeOutcome::Accepted(_));
            assert!(!both, "accepted and refused: {outcome:?}");
        }
        let revisions = accepted.into_values().map(|response| response.revision);
        self.acknowledged = revisions.max().unwrap_or(self.acknowledged);
    }

    /// Ends all faults. Every change must get a final response, and all members and routers must
    /// agree.
    fn recover(&mut self) -> usize {
        self.world.network.dropped = 0;
        self.world.network.delayed = 0;
        self.world.network.doubled = 0;
        for id in 1..=MEMBERS {
            self.member(id).partitioned = false;
            if self.member(id).frozen {
                self.world.resume(MemberId(id));
            }
            if !self.member(id).up {
                self.world.restart(id);
            }
        }
        self.world.run(seconds(3));
        let leader = self.world.elect();
        for number in 0..self.changes.len() {
            self.send(number, leader.0);
        }
        for _ in 0..3 {
            self.reports(0);
            self.world.run(seconds(1));
        }
        self.check();
        let state = self.world.state(leader).encode();
        for member in self.world.up() {
            assert_eq!(self.world.state(member).encode(), state, "{member}");
        }
        assert_eq!(self.world.audit.state.encode(), state);
        let revision = self.world.state(leader).configuration_revision();
        let mut objects = self.world.state(leader).full_configuration().objects;
        objects.sort_by(|one, other| one.key.cmp(&other.key));
        for router in &self.routers {
            assert_eq!(router.configuration, revision);
            assert!(router.catalog.values().eq(&objects));
        }
        self.check_winners()
    }

    /// Asserts that each version of the object was made by exactly one change.
    fn check_winners(&self) -> usize {
        let outcomes = self.outcomes();
        let answered: std::collections::BTreeSet<usize> =
            outcomes.iter().map(|(number, _)| *number).collect();
        assert_eq!(answered.len(), self.changes.len());
        let mut versions: Vec<u64> = outcomes
            .iter()
            .filter_map(|(_, outcome)| match outcome {
                ObjectChangeOutcome::Accepted(accepted) => Some(accepted.version),
                _ => None,
            })
            .collect();
        versions.sort_unstable();
        versions.dedup();
        let expected: Vec<u64> = (1..=versions.len() as u64).collect();
        assert_eq!(versions, expected);
        versions.len()
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let (won, placed, changed) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let steps = prop::collection::vec(step(), 1..80);
    let snapshots = prop_oneof![Just(5_u64), Just(1_000_000)];
    TestRunner::new_with_rng(config, generator)
        .run(
            &(any::<u64>(), snapshots, steps),
            |(seed, snapshots, steps)| {
                let mut scenario = Scenario::new(seed, snapshots);
                for step in &steps {
                    scenario.apply(step);
                }
                won.set(won.get() + scenario.recover());
                placed.set(placed.get() + scenario.world.deliveries.len());
                changed.set(changed.get() + scenario.world.count_events("role-changed"));
                Ok(())
            },
        )
        .unwrap();
    // Guards against scenarios that exercise too little.
    assert!(won.get() > 150, "{won:?}");
    assert!(placed.get() > 150, "{placed:?}");
    assert!(changed.get() > 1_500, "{changed:?}");
}
