//! Which waiting call is made next.
//!
//! Calls wait by peer: an engine, or the platform. A peer gets one call at a time, in order. One whose last call was not
//! answered is silent: silent peers together have a share of the calls at once, so that calls to them, each of which lasts
//! until its time-out, hold up nobody else. A call that has waited past its time is never made.

use millpass_proto::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share of the calls at once that silent peers may take: a quarter.
const SILENT_SHARE: usize = 4;
/// Most silent peers that are remembered; beyond it all are given the benefit of the doubt.
const MOST_SILENT: usize = 8_192;

/// A call that waits.
struct Waiting<T> {
    leave_by: Timestamp,
    call: T,
}

/// Calls of one peer.
struct Lane<T> {
    waiting: VecDeque<Waiting<T>>,
    is_under_way: bool,
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
    lanes: BTreeMap<String, Lane<T>>,
    silent: BTreeSet<String>,
    /// Peers with a waiting call and none under way, the longest waiting first.
    ready: VecDeque<String>,
    silent_ready: VecDeque<String>,
    silent_under_way: usize,
    most_silent_under_way: usize,
    waiting: usize,
    most_waiting: usize,
}

impl<T> CallSchedule<T> {
    /// For so many calls at once, and so many that wait.
    pub fn new(at_once: usize, most_waiting: usize) -> Self {
        CallSchedule {
            lanes: BTreeMap::new(),
            silent: BTreeSet::new(),
            ready: VecDeque::new(),
            silent_ready: VecDeque::new(),
            silent_under_way: 0,
            most_silent_under_way: (at_once / SILENT_SHARE).max(1),
            waiting: 0,
            most_waiting,
        }
    }

    /// Adds a call to a peer; gives it back if too many wait.
    pub fn push(&mut self, peer: &str, leave_by: Timestamp, call: T) -> Result<(), T> {
        if self.waiting >= self.most_waiting {
            return Err(call);
        }
        self.waiting += 1;
        let lane = self.lanes.entry(peer.to_owned()).or_insert(Lane {
            waiting: VecDeque::new(),
            is_under_way: false,
        });
        lane.waiting.push_back(Waiting { leave_by, call });
        if lane.waiting.len() == 1 && !lane.is_under_way {
            self.make_ready(peer.to_owned());
        }
        Ok(())
    }

    fn make_ready(&mut self, peer: String) {
        match self.silent.contains(&peer) {
            true => self.silent_ready.push_back(peer),
            false => self.ready.push_back(peer),
        }
    }

    /// Whether a call may be made now.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty() || self.may_call_silent()
    }

    fn may_call_silent(&self) -> bool {
        !self.silent_ready.is_empty() && self.silent_under_way < self.most_silent_under_way
    }

    /// The next call to make, and its peer; [`CallSchedule::finish`] is owed for it.
    pub fn take(&mut self) -> Option<(String, T)> {
        let peer = match self.ready.pop_front() {
            Some(peer) => peer,
            None if self.may_call_silent() => self.silent_ready.pop_front()?,
            None => return None,
        };
        let lane = self.lanes.get_mut(&peer)?;
        let waiting = lane.waiting.pop_front()?;
        lane.is_under_way = true;
        self.waiting -= 1;
        if self.silent.contains(&peer) {
            self.silent_under_way += 1;
        }
        Some((peer, waiting.call))
    }

    /// The call under way to a peer has ended.
    pub fn finish(&mut self, peer: &str, end: CallOutcome) {
        if self.silent.remove(peer) {
            self.silent_under_way -= 1;
        }
        if end == CallOutcome::Unreachable {
            if self.silent.len() >= MOST_SILENT {
                self.forget_silent();
            }
            self.silent.insert(peer.to_owned());
        }
        let Some(lane) = self.lanes.get_mut(peer) else {
            return;
        };
        lane.is_under_way = false;
        if lane.waiting.is_empty() {
            self.lanes.remove(peer);
        } else {
            self.make_ready(peer.to_owned());
        }
    }

    /// Those with a call under way stay, as their ends are counted.
    fn forget_silent(&mut self) {
        let lanes = &self.lanes;
        self.silent
            .retain(|peer| lanes.get(peer).is_some_and(|lane| lane.is_under_way));
        self.ready.append(&mut self.silent_ready);
    }

    /// Takes out the calls whose time has passed.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<T> {
        if self.waiting == 0 {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.lanes.retain(|_, lane| {
            let waiting = std::mem::take(&mut lane.waiting);
            for call in waiting {
                match now > call.leave_by {
                    true => expired.push(call.call),
                    false => lane.waiting.push_back(call),
                }
            }
            lane.is_under_way || !lane.waiting.is_empty()
        });
        self.waiting -= expired.len();
        let lanes = &self.lanes;
        let waits = |peer: &String| lanes.get(peer).is_some_and(|lane| !lane.waiting.is_empty());
        self.ready.retain(waits);
        self.silent_ready.retain(waits);
        expired
    }

    /// When the next waiting call's time passes.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let waiting = self.lanes.values().flat_map(|lane| &lane.waiting);
        waiting.map(|waiting| waiting.leave_by).min()
    }
}
