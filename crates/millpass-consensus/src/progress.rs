//! What a leader knows of one other member.

use millpass_proto::{Snapshot, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// Append requests with entries that may be unanswered at once, per member.
const MAXIMUM_APPENDS_IN_FLIGHT: usize = 32;

/// Sent requests remembered per member; an answer to an older one no longer counts.
const MAXIMUM_REMEMBERED_REQUESTS: usize = 256;

/// An append request that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAppend {
    /// Its number.
    pub(crate) sequence: u64,
    /// When it was sent, by the leader's clock.
    pub(crate) sent_at: Timestamp,
    /// When it was sent, in the leader's running time.
    pub(crate) sent_running: Timestamp,
    /// Index before its first entry.
    pub(crate) previous_index: u64,
    /// Index of its last entry; equal to `previous_index` for a heartbeat.
    pub(crate) last_index: u64,
}

/// A snapshot on its way to a member; one piece is under way at a time.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    /// The snapshot; kept until the transfer ends even if a newer one is taken.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Offset of the piece under way.
    pub(crate) offset: u64,
    /// When that piece was last sent.
    pub(crate) sent_at: Timestamp,
}

/// How entries are sent to a member.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// One request at a time until the point where the logs match is found.
    Probe {
        /// Whether the request is under way.
        waiting: bool,
    },
    /// Pipelined requests.
    Replicate,
    /// The entries it needs are gone: it gets a snapshot.
    Snapshot(SnapshotTransfer),
}

/// Progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be synced there.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// How entries are sent.
    pub(crate) mode: Mode,
    /// Sending time of the newest request it answered. The lease counts from it.
    pub(crate) acknowledged_sent_at: Option<Timestamp>,
    /// The same, in the leader's running time.
    pub(crate) acknowledged_sent_running: Option<Timestamp>,
    /// When it last answered anything; at first, when the leader began to track it.
    pub(crate) heard_at: Timestamp,
    /// Refusals of requests below this number are outdated.
    refusals_count_from: u64,
    sent: VecDeque<SentAppend>,
}

impl Progress {
    /// A member whose log is unknown: probing starts after `last_index`.
    pub(crate) fn new(last_index: u64, now: Timestamp) -> Self {
        Progress {
            match_index: 0,
            next_index: last_index + 1,
            mode: Mode::Probe { waiting: false },
            acknowledged_sent_at: None,
            acknowledged_sent_running: None,
            heard_at: now,
            refusals_count_from: 0,
            sent: VecDeque::new(),
        }
    }

    /// Whether the window of unanswered requests with entries is full.
    pub(crate) fn window_is_full(&self) -> bool {
        let unanswered = self
            .sent
            .iter()
            .filter(|request| request.last_index > request.previous_index);
        unanswered.count() >= MAXIMUM_APPENDS_IN_FLIGHT
    }

    /// Remembers a request.
    pub(crate) fn remember(&mut self, request: SentAppend) {
        if self.sent.len() >= MAXIMUM_REMEMBERED_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(request);
    }

    /// Takes the answer to a request: finds it, counts contact and lease from it.
    pub(crate) fn answered(&mut self, sequence: u64, now: Timestamp) -> Option<SentAppend> {
        self.heard_at = now;
        let request = *self
            .sent
            .iter()
            .find(|request| request.sequence == sequence)?;
        self.acknowledged_sent_at = self.acknowledged_sent_at.max(Some(request.sent_at));
        let running = Some(request.sent_running);
        self.acknowledged_sent_running = self.acknowledged_sent_running.max(running);
        Some(request)
    }

    /// Takes an acceptance up to `match_index` (synced there).
    pub(crate) fn accepted(&mut self, request: Option<SentAppend>, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        if let Some(request) = request {
            self.forget_up_to(request.sequence);
            let proves_the_match = request.last_index + 1 >= self.next_index;
            if matches!(self.mode, Mode::Probe { .. }) && proves_the_match {
                self.mode = Mode::Replicate;
                self.next_index = self.next_index.max(request.last_index + 1);
            }
        }
        let synced = self.match_index;
        self.sent.retain(|request| {
            request.last_index == request.previous_index || request.last_index > synced
        });
    }

    /// Takes a refusal: sends from right after `hint` again. Returns whether it counted.
    pub(crate) fn refused(&mut self, request: SentAppend, hint: u64, next_sequence: u64) -> bool {
        self.forget_up_to(request.sequence);
        if request.sequence < self.refusals_count_from || matches!(self.mode, Mode::Snapshot(_)) {
            return false;
        }
        let wanted = (hint + 1).min(request.previous_index.max(1));
        self.next_index = wanted.max(self.match_index + 1);
        self.mode = Mode::Probe { waiting: false };
        self.refusals_count_from = next_sequence;
        self.sent
            .retain(|request| request.last_index == request.previous_index);
        true
    }

    /// The snapshot up to `last_index` is installed and synced there.
    pub(crate) fn snapshot_installed(&mut self, last_index: u64) {
        self.match_index = self.match_index.max(last_index);
        self.next_index = self.match_index + 1;
        self.mode = Mode::Probe { waiting: false };
        self.sent.clear();
    }

    /// Heartbeats up to this number are settled; requests with entries stay until synced.
    fn forget_up_to(&mut self, sequence: u64) {
        self.sent.retain(|request| {
            request.sequence > sequence || request.last_index > request.previous_index
        });
    }
}
