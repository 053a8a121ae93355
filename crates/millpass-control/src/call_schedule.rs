//! Schedules calls to peers: engines and the platform.
//!
//! A peer gets one call at a time, in order. A peer whose last call got no response counts as
//! unreachable. Unreachable peers together may use only a fraction of the concurrent calls, so that
//! their timeouts do not delay calls to others. Callers remove expired calls with
//! [`CallSchedule::take_expired`] before each [`CallSchedule::take`], so that none is made late.

use millpass_proto::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Unreachable peers may use one in this many concurrent calls.
const UNREACHABLE_DIVISOR: usize = 4;
/// Maximum number of tracked unreachable peers; when exceeded, tracking starts over.
const MAXIMUM_UNREACHABLE: usize = 8_192;

struct WaitingCall<T> {
    expires_at: Timestamp,
    call: T,
}

struct PeerQueue<T> {
    waiting: VecDeque<WaitingCall<T>>,
    in_progress: bool,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The peer responded.
    Responded,
    /// The peer did not respond.
    Unreachable,
}

/// Waiting calls and calls in progress.
pub struct CallSchedule<T> {
    queues: BTreeMap<String, PeerQueue<T>>,
    unreachable: BTreeSet<String>,
    /// Peers with a waiting call and none in progress, the longest waiting first.
    ready: VecDeque<String>,
    unreachable_ready: VecDeque<String>,
    unreachable_in_progress: usize,
    maximum_unreachable_in_progress: usize,
    waiting: usize,
    maximum_waiting: usize,
}

impl<T> CallSchedule<T> {
    /// Creates a schedule for this many concurrent and waiting calls.
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

    /// Adds a call to a peer; returns it if too many calls wait.
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

    /// Returns whether a call can be made now.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty() || self.may_call_unreachable()
    }

    fn may_call_unreachable(&self) -> bool {
        !self.unreachable_ready.is_empty()
            && self.unreachable_in_progress < self.maximum_unreachable_in_progress
    }

    /// Takes the next call and its peer. The caller must call [`CallSchedule::finish`] after the
    /// call.
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

    /// Records the outcome of the call in progress to a peer.
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

    /// Forgets unreachable peers, except those with a call in progress: `finish` still decrements
    /// their count.
    fn forget_unreachable(&mut self) {
        let queues = &self.queues;
        self.unreachable
            .retain(|peer| queues.get(peer).is_some_and(|queue| queue.in_progress));
        self.ready.append(&mut self.unreachable_ready);
    }

    /// Removes and returns all waiting calls.
    pub fn take_waiting(&mut self) -> Vec<T> {
        self.take_where(|_| true)
    }

    /// Returns the number of calls in progress.
    pub fn in_progress(&self) -> usize {
        let queues = self.queues.values();
        queues.filter(|queue| queue.in_progress).count()
    }

    /// Removes and returns the expired calls.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<T> {
        self.take_where(|expires_at| now > expires_at)
    }

    fn take_where(&mut self, is_taken: impl Fn(Timestamp) -> bool) -> Vec<T> {
        if self.waiting == 0 {
            return Vec::new();
        }
        let mut taken = Vec::new();
        self.queues.retain(|_, queue| {
            let waiting = std::mem::take(&mut queue.waiting);
            for call in waiting {
                match is_taken(call.expires_at) {
                    true => taken.push(call.call),
                    false => queue.waiting.push_back(call),
                }
            }
            queue.in_progress || !queue.waiting.is_empty()
        });
        self.waiting -= taken.len();
        let queues = &self.queues;
        let waits = |peer: &String| {
            queues
                .get(peer)
                .is_some_and(|queue| !queue.waiting.is_empty())
        };
        self.ready.retain(waits);
        self.unreachable_ready.retain(waits);
        taken
    }

    /// Returns when the next waiting call expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let waiting = self.queues.values().flat_map(|queue| &queue.waiting);
        waiting.map(|waiting| waiting.expires_at).min()
    }
}
