//! Which waiting call is made next.
//!
//! Calls wait by peer: an engine, or the platform. A peer gets one call at a time, in order. One whose last call was not
//! answered is silent: silent peers together have a share of the calls at once, so that calls to them, each of which lasts
//! until its time-out, hold up nobody else. A call that has waited past its time is never made.

use millpass_proto::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share of the calls at once that silent peers may take: a quarter.
const UNREACHABLE_DIVISOR: usize = 4;
/// Most silent peers that are remembered; beyond it all are given the benefit of the doubt.
const MAXIMUM_UNREACHABLE: usize = 8_192;

/// A call that waits.
struct WaitingCall<T> {
    expires_at: Timestamp,
    call: T,
}

/// Calls of one peer.
struct PeerQueue<T> {
    waiting: VecDeque<WaitingCall<T>>,
    in_progress: bool,
}

/// How a call ended, as far as it matters for those to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The peer answered.
    Responded,
    /// It did not.
    Unreachable,
}

/// Calls that wait, and those under way.
pub struct CallSchedule<T> {
    queues: BTreeMap<String, PeerQueue<T>>,
    unreachable: BTreeSet<String>,
    /// Peers with a waiting call and none under way, the longest waiting first.
    ready: VecDeque<String>,
    unreachable_ready: VecDeque<String>,
    unreachable_in_progress: usize,
    maximum_unreachable_in_progress: usize,
    waiting: usize,
    maximum_waiting: usize,
}

impl<T> CallSchedule<T> {
    /// For so many calls at once, and so many that wait.
    pub fn new(concurrency: usize, maximum_waiting: usize) -> Self {
        CallSchedule {
            queues: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            ready: VecDeque::new(),
            unreachable_ready: VecDeque::new(),
            unreachable_in_progress: 0,
            maximum_unreachable_in_progress: (concurrency / UNREACHABLE_DIVISOR).max(1),
            waiting: 0,
            maximum_waiting,
        }
    }

    /// Adds a call to a peer; gives it back if too many wait.
    pub fn push(&mut self, peer: &str, expires_at: Timestamp, call: T) -> Result<(), T> {
        if self.waiting >= self.maximum_waiting {
            return Err(call);
        }
        self.waiting += 1;
        let queue = self.queues.entry(peer.to_owned()).or_insert(PeerQueue {
            waiting: VecDeque::new(),
            in_progress: false,
        });
        queue.waiting.push_back(WaitingCall { expires_at, call });
        if queue.waiting.len() == 1 && !queue.in_progress {
            self.make_ready(peer.to_owned());
        }
        Ok(())
    }

    fn make_ready(&mut self, peer: String) {
        match self.unreachable.contains(&peer) {
            true => self.unreachable_ready.push_back(peer),
            false => self.ready.push_back(peer),
        }
    }

    /// Whether a call may be made now.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty() || self.may_call_unreachable()
    }

    fn may_call_unreachable(&self) -> bool {
        !self.unreachable_ready.is_empty()
            && self.unreachable_in_progress < self.maximum_unreachable_in_progress
    }

    /// The next call to make, and its peer; [`CallSchedule::finish`] is owed for it.
    pub fn take(&mut self) -> Option<(String, T)> {
        let peer = match self.ready.pop_front() {
            Some(peer) => peer,
            None if self.may_call_unreachable() => self.unreachable_ready.pop_front()?,
            None => return None,
        };
        let queue = self.queues.get_mut(&peer)?;
        let waiting = queue.waiting.pop_front()?;
        queue.in_progress = true;
        self.waiting -= 1;
        if self.unreachable.contains(&peer) {
            self.unreachable_in_progress += 1;
        }
        Some((peer, waiting.call))
    }

    /// The call under way to a peer has ended.
    pub fn finish(&mut self, peer: &str, outcome: CallOutcome) {
        if self.unreachable.remove(peer) {
            self.unreachable_in_progress -= 1;
        }
        if outcome == CallOutcome::Unreachable {
            if self.unreachable.len() >= MAXIMUM_UNREACHABLE {
                self.forget_unreachable();
            }
            self.unreachable.insert(peer.to_owned());
        }
        let Some(queue) = self.queues.get_mut(peer) else {
            return;
        };
        queue.in_progress = false;
        if queue.waiting.is_empty() {
            self.queues.remove(peer);
        } else {
            self.make_ready(peer.to_owned());
        }
    }

    /// Those with a call under way stay, as their ends are counted.
    fn forget_unreachable(&mut self) {
        let queues = &self.queues;
        self.unreachable
            .retain(|peer| queues.get(peer).is_some_and(|queue| queue.in_progress));
        self.ready.append(&mut self.unreachable_ready);
    }

    /// Takes out the calls whose time has passed.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<T> {
        if self.waiting == 0 {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.queues.retain(|_, queue| {
            let waiting = std::mem::take(&mut queue.waiting);
            for call in waiting {
                match now > call.expires_at {
                    true => expired.push(call.call),
                    false => queue.waiting.push_back(call),
                }
            }
            queue.in_progress || !queue.waiting.is_empty()
        });
        self.waiting -= expired.len();
        let queues = &self.queues;
        let waits = |peer: &String| {
            queues
                .get(peer)
                .is_some_and(|queue| !queue.waiting.is_empty())
        };
        self.ready.retain(waits);
        self.unreachable_ready.retain(waits);
        expired
    }

    /// When the next waiting call's time passes.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let waiting = self.queues.values().flat_map(|queue| &queue.waiting);
        waiting.map(|waiting| waiting.expires_at).min()
    }
}
