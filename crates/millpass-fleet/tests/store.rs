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
    fn step(&mut self, learner: &mut StoreCapacity) {
        let share = (self.capacity / self.remaining.len().max(1) as f64).min(1.0);
        for left in self.remaining.values_mut() {
            *left -= share * STEP.as_secs_f64();
        }
        let before = self.remaining.len();
        self.remaining.retain(|_, left| *left > 0.0);
        self.ended += before - self.remaining.len();
        self.now = self.now + STEP;
        self.observe(learner);
    }

    fn observe(&self, learner: &mut StoreCapacity) {
        let loads = self.remaining.keys().map(|instance| PendingLoad {
            instance: instance.clone(),
            model: "m".into(),
            nominal_time: self.stated,
        });
        learner.observe(self.now, loads.collect(), 0, |_, _| true);
    }

    /// Advances by `time` with more demand than may be loaded at once.
    fn run_saturated(&mut self, learner: &mut StoreCapacity, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            while self.remaining.len() < learner.limit() {
                self.begin();
            }
            self.observe(learner);
            self.step(learner);
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
    let mut learner = StoreCapacity::default();
    store.run_saturated(&mut learner, stated * 14);
    let limit = learner.limit() as f64;
    assert!(limit >= capacity * 0.8 - 0.5, "{limit} of {capacity}");
    assert!(limit <= capacity * 1.5 + 0.5, "{limit} of {capacity}");
}

#[test]
fn loads_keep_completing_with_low_store_capacity() {
    let stated = Duration::from_secs(6);
    let mut store = SharedStore::new(4.0, stated);
    let mut learner = StoreCapacity::default();
    store.run_saturated(&mut learner, Duration::from_secs(34));
    assert!(store.ended >= 15, "ended {} of 22 possible", store.ended);
}

#[test]
fn single_stuck_load_does_not_lower_the_limit() {
    let stated = Duration::from_secs(3);
    let mut store = SharedStore::new(30.0, stated);
    let mut learner = StoreCapacity::default();
    let stuck = store.begin();
    store.remaining.insert(stuck, f64::MAX);
    store.run_saturated(&mut learner, Duration::from_secs(40));
    assert!(learner.limit() >= 20, "{}", learner.limit());
}

#[test]
fn limit_recovers_after_store_slowdown() {
    let stated = Duration::from_secs(3);
    let mut store = SharedStore::new(12.0, stated);
    let mut learner = StoreCapacity::default();
    store.run_saturated(&mut learner, Duration::from_secs(30));
    store.capacity = 2.0;
    store.run_saturated(&mut learner, Duration::from_secs(20));
    assert!(learner.limit() <= 4, "{}", learner.limit());
    store.capacity = 12.0;
    store.run_saturated(&mut learner, Duration::from_secs(60));
    assert!(learner.limit() >= 9, "{}", learner.limit());
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
        "absurd, and harmless"
    );
}

#[test]
fn lost_load_does_not_change_the_limit() {
    let mut store = SharedStore::new(30.0, Duration::from_secs(3));
    let mut learner = StoreCapacity::default();
    let before = learner.limit();
    for _ in 0..3 {
        store.begin();
    }
    store.observe(&mut learner);
    store.step(&mut learner);
    store.remaining.clear();
    store.now = store.now + STEP;
    learner.observe(store.now, Vec::new(), 0, |_, _| false);
    assert_eq!(learner.limit(), before);
}

#[test]
fn limit_stays_within_bounds() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let look = (0_u64..20_000, 0_usize..6, 0_usize..4, any::<bool>());
    let looks = proptest::collection::vec(look, 1..60);
    TestRunner::new_with_rng(config, generator)
        .run(&(looks, 0_u64..60_000), |(looks, stated)| {
            let mut learner = StoreCapacity::default();
            let mut now = Timestamp::ZERO;
            let mut most = learner.limit();
            for (millis, loads, others, brought) in looks {
                now = now + Duration::from_millis(millis);
                let under_way = (0..loads).map(|index| PendingLoad {
                    instance: InstanceId(format!("e-{index}")),
                    model: "m".into(),
                    nominal_time: Duration::from_millis(stated),
                });
                most = most.max(loads + others);
                learner.observe(now, under_way.collect(), others, |_, _| brought);
                prop_assert!(learner.limit() >= 1);
                let limit = learner.limit();
                prop_assert!(limit <= most * 2, "{limit} with {most} at once");
            }
            Ok(())
        })
        .expect("bounded");
}
