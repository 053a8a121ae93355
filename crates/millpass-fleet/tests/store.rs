//! Estimates for weight stores of different capacities, in virtual time.

use millpass_fleet::{InstructionHistory, PendingLoad, StoreCapacity};
use millpass_proto::{Duration, InstanceId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use std::collections::BTreeMap;

/// Time between two observations.
const STEP: Duration = Duration::from_millis(100);

/// A weight store that serves `capacity` loads at full speed and shares that speed among more.
struct SharedStore {
    capacity: f64,
    stated: Duration,
    /// Remaining time of each load at full speed, in seconds.
    remaining: BTreeMap<InstanceId, f64>,
    begun: usize,
    ended: usize,
    now: Timestamp,
}

impl SharedStore {
    fn new(capacity: f64, stated: Duration) -> Self {
        SharedStore {
            capacity,
            stated,
            remaining: BTreeMap::new(),
            begun: 0,
            ended: 0,
            now: Timestamp::from_millis(1_000),
        }
    }

    fn begin(&mut self) -> InstanceId {
        self.begun += 1;
        let instance = InstanceId(format!("e-{}", self.begun));
        self.remaining
            .insert(instance.clone(), self.stated.as_secs_f64());
        instance
    }

    /// Advances one step and passes the pending loads to the estimator.
    fn step(&mut self, estimator: &mut StoreCapacity) {
        let speed = (self.capacity / self.remaining.len().max(1) as f64).min(1.0);
        for left in self.remaining.values_mut() {
            *left -= speed * STEP.as_secs_f64();
        }
        let pending = self.remaining.len();
        self.remaining.retain(|_, left| *left > 0.0);
        self.ended += pending - self.remaining.len();
        self.now = self.now + STEP;
        self.observe(estimator);
    }

    fn observe(&self, estimator: &mut StoreCapacity) {
        let loads = self.remaining.keys().map(|instance| PendingLoad {
            instance: instance.clone(),
            model: "m".into(),
            nominal_time: self.stated,
        });
        estimator.observe(self.now, loads.collect(), 0, |_, _| true);
    }

    /// Advances by `time` with more demand than may be loaded at once.
    fn run_saturated(&mut self, estimator: &mut StoreCapacity, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            while self.remaining.len() < estimator.limit() {
                self.begin();
            }
            self.observe(estimator);
            self.step(estimator);
        }
    }
}

#[rstest]
fn limit_converges_to_store_capacity(
    #[values(1.0, 2.0, 4.0, 7.0, 13.0, 30.0, 70.0)] capacity: f64,
    #[values(1_300, 6_000)] stated: u64,
) {
    let stated = Duration::from_millis(stated);
    let mut store = SharedStore::new(capacity, stated);
    let mut estimator = StoreCapacity::default();
    store.run_saturated(&mut estimator, stated * 14);
    let limit = estimator.limit() as f64;
    assert!(limit >= capacity * 0.8 - 0.5, "{limit} of {capacity}");
    assert!(limit <= capacity * 1.5 + 0.5, "{limit} of {capacity}");
}

#[test]
fn loads_keep_completing_with_low_store_capacity() {
    let stated = Duration::from_secs(6);
    let mut store = SharedStore::new(4.0, stated);
    let mut estimator = StoreCapacity::default();
    store.run_saturated(&mut estimator, Duration::from_secs(34));
    assert!(store.ended >= 15, "ended {} of 22 possible", store.ended);
}

#[test]
fn single_stuck_load_does_not_lower_the_limit() {
    let stated = Duration::from_secs(3);
    let mut store = SharedStore::new(30.0, stated);
    let mut estimator = StoreCapacity::default();
    let stuck = store.begin();
    store.remaining.insert(stuck, f64::MAX);
    store.run_saturated(&mut estimator, Duration::from_secs(40));
    assert!(estimator.limit() >= 20, "{}", estimator.limit());
}

#[test]
fn limit_recovers_after_store_slowdown() {
    let stated = Duration::from_secs(3);
    let mut store = SharedStore::new(12.0, stated);
    let mut estimator = StoreCapacity::default();
    store.run_saturated(&mut estimator, Duration::from_secs(30));
    store.capacity = 2.0;
    store.run_saturated(&mut estimator, Duration::from_secs(20));
    assert!(estimator.limit() <= 4, "{}", estimator.limit());
    store.capacity = 12.0;
    store.run_saturated(&mut estimator, Duration::from_secs(60));
    assert!(estimator.limit() >= 9, "{}", estimator.limit());
}

#[test]
fn new_leader_continues_with_recorded_capacity() {
    let mut history = InstructionHistory::new(Timestamp::ZERO, Duration::from_secs(3));
    let unknown = StoreCapacity::from_history(&history).limit();
    assert_eq!(unknown, StoreCapacity::default().limit());
    history.record_store_capacity(1_200);
    assert_eq!(StoreCapacity::from_history(&history).limit(), 12);
    history.record_store_capacity(0);
    assert_eq!(
        StoreCapacity::from_history(&history).limit(),
        1,
        "the limit is at least one"
    );
}

#[test]
fn lost_load_does_not_change_the_limit() {
    let mut store = SharedStore::new(30.0, Duration::from_secs(3));
    let mut estimator = StoreCapacity::default();
    let previous_limit = estimator.limit();
    for _ in 0..3 {
        store.begin();
    }
    store.observe(&mut estimator);
    store.step(&mut estimator);
    store.remaining.clear();
    store.now = store.now + STEP;
    estimator.observe(store.now, Vec::new(), 0, |_, _| false);
    assert_eq!(estimator.limit(), previous_limit);
}

#[test]
fn limit_stays_within_bounds() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let observation = (0_u64..20_000, 0_usize..6, 0_usize..4, any::<bool>());
    let observations = proptest::collection::vec(observation, 1..60);
    TestRunner::new_with_rng(config, generator)
        .run(&(observations, 0_u64..60_000), |(observations, stated)| {
            let mut estimator = StoreCapacity::default();
            let mut now = Timestamp::ZERO;
            let mut most = estimator.limit();
            for (millis, loads, unknown_loads, completed) in observations {
                now = now + Duration::from_millis(millis);
                let under_way = (0..loads).map(|index| PendingLoad {
                    instance: InstanceId(format!("e-{index}")),
                    model: "m".into(),
                    nominal_time: Duration::from_millis(stated),
                });
                most = most.max(loads + unknown_loads);
                estimator.observe(now, under_way.collect(), unknown_loads, |_, _| completed);
                prop_assert!(estimator.limit() >= 1);
                let limit = estimator.limit();
                prop_assert!(
                    limit <= most * 2,
                    "limit {limit} with at most {most} concurrent loads"
                );
            }
            Ok(())
        })
        .expect("the limit stays bounded");
}
