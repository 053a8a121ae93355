//! Which waiting call is made next.
//!
//! The failure: one queue in order of arrival for sixteen threads. Where six in ten of the engines were out of reach, each
//! call to one of them held a thread for 0.6 s, and calls to all others waited behind: an order left 2.5 s after it had
//! been given up (2.2 s until an answer in one of ten calls, against 0.41 s on a calm day).

use millpass_control::call_schedule::{CallOutcome, CallSchedule};
use millpass_proto::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeMap;

const AT_ONCE: usize = 16;
/// Time until a call to an engine out of reach ends, in milliseconds.
const TIMEOUT: u64 = 600;
/// Time of a call that is answered, in milliseconds.
const ANSWERED_IN: u64 = 4;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn peer(number: usize) -> String {
    format!("e-{number:03}")
}

/// Calls to engines of which some are out of reach, in virtual time.
struct Pool {
    schedule: CallSchedule<u64>,
    now: u64,
    /// By end: peer, and whether it answers.
    under_way: Vec<(u64, String, bool)>,
    /// How long calls to engines in reach waited.
    waited: Vec<u64>,
}

impl Pool {
    fn step(&mut self, is_cut: impl Fn(&str) -> bool) {
        self.now += 1;
        let (ended, under_way) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition::<Vec<_>, _>(|(end, _, _)| *end <= self.now);
        self.under_way = under_way;
        for (_, peer, answers) in ended {
            let end = if answers {
                CallOutcome::Responded
            } else {
                CallOutcome::Unreachable
            };
            self.schedule.finish(&peer, end);
        }
        self.schedule.take_expired(at(self.now));
        while self.under_way.len() < AT_ONCE {
            let Some((peer, since)) = self.schedule.take() else {
                break;
            };
            let cut = is_cut(&peer);
            if !cut {
                self.waited.push(self.now - since);
            }
            let takes = if cut { TIMEOUT } else { ANSWERED_IN };
            self.under_way.push((self.now + takes, peer, !cut));
        }
    }

    fn call(&mut self, peer: &str) {
        let leave_by = at(self.now + TIMEOUT);
        let _ = self.schedule.push(peer, leave_by, self.now);
    }
}

#[test]
fn engines_out_of_reach_hold_up_nobody_else() {
    const ENGINES: usize = 140;
    let is_cut = |peer: &str| peer < peer_limit().as_str();
    let mut pool = Pool {
        schedule: CallSchedule::new(AT_ONCE, 256),
        now: 0,
        under_way: Vec::new(),
        waited: Vec::new(),
    };
    // Each engine out of reach is asked again 0.4 s after the last time, each other one a few times a second.
    for step in 0..20_000_u64 {
        for engine in 0..ENGINES {
            let name = peer(engine);
            let period = if is_cut(&name) { 1_000 } else { 250 };
            if (step + engine as u64 * 7).is_multiple_of(period) {
                pool.call(&name);
            }
        }
        pool.step(is_cut);
    }
    // After the first round, in which nobody knows who is out of reach.
    let mut later = pool.waited.split_off(pool.waited.len() / 4);
    later.sort_unstable();
    assert!(later.len() > 2_500, "{} calls", later.len());
    let longest = later[later.len() - 1];
    assert!(longest <= 20, "a call waited {longest} ms");
}

/// Engines before this one are out of reach: six in ten.
fn peer_limit() -> String {
    peer(84)
}

#[derive(Clone, Debug)]
enum Act {
    Push(usize),
    Take,
    /// The oldest call under way ends.
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
    /// One call a peer at a time, in order, none past its time, none lost and none twice.
    #[test]
    fn calls_of_one_peer_keep_their_order(acts in prop::collection::vec(act(), 1..200)) {
        let mut schedule = CallSchedule::new(4, 64);
        let mut now = 0;
        let mut pushed = 0_u64;
        let mut under_way: Vec<String> = Vec::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        let mut leave_by: BTreeMap<u64, u64> = BTreeMap::new();
        let mut gone = 0;
        for act in acts {
            let expired = schedule.take_expired(at(now));
            gone += expired.len();
            for call in expired {
                prop_assert!(leave_by.remove(&call).expect("waits") < now);
            }
            match act {
                Act::Push(number) => {
                    pushed += 1;
                    leave_by.insert(pushed, now + 600);
                    if schedule.push(&peer(number), at(now + 600), pushed).is_err() {
                        leave_by.remove(&pushed);
                        gone += 1;
                    }
                }
                Act::Take => {
                    let Some((peer, call)) = schedule.take() else {
                        continue;
                    };
                    prop_assert!(!under_way.contains(&peer), "two calls to {} at once", peer);
                    prop_assert!(last.insert(peer.clone(), call).is_none_or(|last| last < call));
                    prop_assert!(leave_by.remove(&call).expect("waits") >= now);
                    under_way.push(peer);
                }
                Act::End(answered) if !under_way.is_empty() => {
                    let end = if answered { CallOutcome::Responded } else { CallOutcome::Unreachable };
                    schedule.finish(&under_way.remove(0), end);
                }
                Act::End(_) => {}
                Act::Pass(millis) => now += millis,
            }
        }
        // All that is left can be taken once the calls under way have ended.
        let mut taken = 0;
        for peer in under_way.drain(..) {
            schedule.finish(&peer, CallOutcome::Unreachable);
        }
        while let Some((peer, call)) = schedule.take() {
            prop_assert!(leave_by.remove(&call).is_some());
            schedule.finish(&peer, CallOutcome::Responded);
            taken += 1;
        }
        prop_assert!(leave_by.is_empty(), "{} left of {}", leave_by.len(), pushed);
        prop_assert!(gone + taken <= pushed as usize);
        prop_assert!(!schedule.has_ready());
    }
}

#[test]
fn an_engine_that_answers_again_is_silent_no_more() {
    let mut schedule = CallSchedule::new(4, 64);
    for engine in 0..2 {
        schedule.push(&peer(engine), at(600), 0).expect("room");
        let (peer, _) = schedule.take().expect("ready");
        schedule.finish(&peer, CallOutcome::Unreachable);
    }
    for engine in 0..2 {
        schedule.push(&peer(engine), at(600), 1).expect("room");
    }
    let (first, _) = schedule.take().expect("one silent engine at a time");
    assert!(schedule.take().is_none());
    schedule.finish(&first, CallOutcome::Responded);
    let (second, _) = schedule.take().expect("the other");
    schedule.push(&first, at(600), 2).expect("room");
    assert!(
        schedule.take().is_some(),
        "it answers, and waits for nobody"
    );
    schedule.finish(&second, CallOutcome::Unreachable);
}
