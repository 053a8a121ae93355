//! Order of calls to engines and the platform.
//!
//! Guards against head-of-line blocking: timeouts of calls to unreachable engines must not delay
//! calls to the others.

use millpass_control::call_schedule::{CallOutcome, CallSchedule};
use millpass_proto::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeMap;

const CONCURRENCY: usize = 16;
/// Duration of a call to an unreachable engine, in milliseconds.
const TIMEOUT: u64 = 600;
/// Duration of a call to a reachable engine, in milliseconds.
const RESPONSE_TIME: u64 = 4;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn peer(number: usize) -> String {
    format!("e-{number:03}")
}

/// Calls to engines, some of them unreachable, in virtual time.
struct Pool {
    schedule: CallSchedule<u64>,
    now: u64,
    /// End, peer, and whether it responds.
    in_progress: Vec<(u64, String, bool)>,
    /// Waiting times of calls to reachable engines.
    waited: Vec<u64>,
}

impl Pool {
    fn step(&mut self, is_unreachable: impl Fn(&str) -> bool) {
        self.now += 1;
        let (ended, in_progress) = std::mem::take(&mut self.in_progress)
            .into_iter()
            .partition::<Vec<_>, _>(|(end, _, _)| *end <= self.now);
        self.in_progress = in_progress;
        for (_, peer, responds) in ended {
            let end = if responds {
                CallOutcome::Responded
            } else {
                CallOutcome::Unreachable
            };
            self.schedule.finish(&peer, end);
        }
        self.schedule.take_expired(at(self.now));
        while self.in_progress.len() < CONCURRENCY {
            let Some((peer, since)) = self.schedule.take() else {
                break;
            };
            let unreachable = is_unreachable(&peer);
            if !unreachable {
                self.waited.push(self.now - since);
            }
            let takes = if unreachable { TIMEOUT } else { RESPONSE_TIME };
            self.in_progress
                .push((self.now + takes, peer, !unreachable));
        }
    }

    fn call(&mut self, peer: &str) {
        let expires_at = at(self.now + TIMEOUT);
        let _ = self.schedule.push(peer, expires_at, self.now);
    }
}

#[test]
fn unreachable_engines_do_not_delay_others() {
    const ENGINES: usize = 140;
    let is_unreachable = |peer: &str| peer < peer_limit().as_str();
    let mut pool = Pool {
        schedule: CallSchedule::new(CONCURRENCY, 256),
        now: 0,
        in_progress: Vec::new(),
        waited: Vec::new(),
    };
    // Unreachable engines are called once a second, the others four times a second.
    for step in 0..20_000_u64 {
        for engine in 0..ENGINES {
            let name = peer(engine);
            let period = if is_unreachable(&name) { 1_000 } else { 250 };
            if (step + engine as u64 * 7).is_multiple_of(period) {
                pool.call(&name);
            }
        }
        pool.step(is_unreachable);
    }
    // Skips the first calls, before the schedule has detected the unreachable engines.
    let mut later = pool.waited.split_off(pool.waited.len() / 4);
    later.sort_unstable();
    assert!(later.len() > 2_500, "{} calls", later.len());
    let longest = later[later.len() - 1];
    assert!(longest <= 20, "a call waited {longest} ms");
}

/// Engines before this one are unreachable: six in ten.
fn peer_limit() -> String {
    peer(84)
}

#[derive(Clone, Debug)]
enum Act {
    Push(usize),
    Take,
    /// The oldest call in progress ends.
    End(bool),
    Pass(u64),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Act::Push),
        3 => Just(Act::Take),
        3 => any::<bool>().prop_map(Act::End),
        1 => (1..400_u64).prop_map(Act::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Calls to one peer are sequential and ordered, and none is made late, lost or made twice.
    #[test]
    fn calls_of_one_peer_keep_their_order(acts in prop::collection::vec(act(), 1..200)) {
        let mut schedule = CallSchedule::new(4, 64);
        let mut now = 0;
        let mut pushed = 0_u64;
        let mut in_progress: Vec<String> = Vec::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        let mut expires_at: BTreeMap<u64, u64> = BTreeMap::new();
        let mut dropped = 0;
        for act in acts {
            let expired = schedule.take_expired(at(now));
            dropped += expired.len();
            for call in expired {
                prop_assert!(expires_at.remove(&call).expect("waits") < now);
            }
            match act {
                Act::Push(number) => {
                    pushed += 1;
                    expires_at.insert(pushed, now + 600);
                    if schedule.push(&peer(number), at(now + 600), pushed).is_err() {
                        expires_at.remove(&pushed);
                        dropped += 1;
                    }
                }
                Act::Take => {
                    let Some((peer, call)) = schedule.take() else {
                        continue;
                    };
                    prop_assert!(!in_progress.contains(&peer), "two calls to {} at once", peer);
                    prop_assert!(last.insert(peer.clone(), call).is_none_or(|last| last < call));
                    prop_assert!(expires_at.remove(&call).expect("waits") >= now);
                    in_progress.push(peer);
                }
                Act::End(responded) if !in_progress.is_empty() => {
                    let end = if responded { CallOutcome::Responded } else { CallOutcome::Unreachable };
                    schedule.finish(&in_progress.remove(0), end);
                }
                Act::End(_) => {}
                Act::Pass(millis) => now += millis,
            }
        }
        // All remaining calls can be taken once those in progress have ended.
        let mut taken = 0;
        for peer in in_progress.drain(..) {
            schedule.finish(&peer, CallOutcome::Unreachable);
        }
        while let Some((peer, call)) = schedule.take() {
            prop_assert!(expires_at.remove(&call).is_some());
            schedule.finish(&peer, CallOutcome::Responded);
            taken += 1;
        }
        prop_assert!(expires_at.is_empty(), "{} left of {}", expires_at.len(), pushed);
        prop_assert!(dropped + taken <= pushed as usize);
        prop_assert!(!schedule.has_ready());
    }
}

#[test]
fn an_engine_that_responds_again_is_reachable() {
    let mut schedule = CallSchedule::new(4, 64);
    for engine in 0..2 {
        schedule.push(&peer(engine), at(600), 0).expect("capacity");
        let (peer, _) = schedule.take().expect("ready");
        schedule.finish(&peer, CallOutcome::Unreachable);
    }
    for engine in 0..2 {
        schedule.push(&peer(engine), at(600), 1).expect("capacity");
    }
    let (first, _) = schedule.take().expect("one unreachable engine at a time");
    assert!(schedule.take().is_none());
    schedule.finish(&first, CallOutcome::Responded);
    let (second, _) = schedule.take().expect("the other");
    schedule.push(&first, at(600), 2).expect("capacity");
    assert!(
        schedule.take().is_some(),
        "a reachable engine does not wait for unreachable ones"
    );
    schedule.finish(&second, CallOutcome::Unreachable);
}

/// After a term, no waiting call may be made, and the schedule must go on to serve the next term.
#[test]
fn waiting_calls_are_taken_at_once_and_calls_in_progress_remain() {
    let mut schedule = CallSchedule::new(4, 8);
    for (peer, call) in [("a", 1), ("a", 2), ("b", 3)] {
        schedule
            .push(peer, Timestamp::from_millis(10), call)
            .expect("room");
    }
    assert_eq!(schedule.take(), Some(("a".to_owned(), 1)));
    assert_eq!(schedule.take_waiting(), [2, 3]);
    assert_eq!(schedule.in_progress(), 1);
    assert!(!schedule.has_ready());
    assert_eq!(schedule.take(), None);

    schedule
        .push("a", Timestamp::from_millis(10), 4)
        .expect("room");
    assert_eq!(schedule.take(), None, "one call at a time to a peer");
    schedule.finish("a", CallOutcome::Responded);
    assert_eq!(schedule.take(), Some(("a".to_owned(), 4)));
}
