//! Replication progress of a member, as tracked by the leader.

use millpass_proto::{Duration, Snapshot, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum in-flight append requests with entries per member.
const MAXIMUM_APPENDS_IN_FLIGHT: usize = 32;

/// Maximum sent requests tracked per member. Responses to older requests are ignored.
const MAXIMUM_TRACKED_REQUESTS: usize = 256;

/// Maximum doublings of the time after which a large request is sent again.
const MAXIMUM_RESEND_DOUBLINGS: u32 = 4;

/// An append request that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAppend {
    /// Sequence number.
    pub(crate) sequence: u64,
    /// Sending time by the leader's clock.
    pub(crate) sent_at: Timestamp,
    /// Sending time in the leader's running time.
    pub(crate) sent_running: Timestamp,
    /// Index before the first entry.
    pub(crate) previous_index: u64,
    /// Index of the last entry; equal to `previous_index` for a heartbeat.
    pub(crate) last_index: u64,
    /// Encoded size of the entries.
    pub(crate) bytes: usize,
}

impl SentAppend {
    fn has_entries(&self) -> bool {
        self.last_index > self.previous_index
    }
}

/// An ongoing snapshot transfer to a member, with one chunk in flight at a time.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    /// Snapshot being sent; kept until the transfer ends, even if a newer one is taken.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Offset of the chunk in flight.
    pub(crate) offset: u64,
    /// When that chunk was last sent.
    pub(crate) sent_at: Timestamp,
}

/// How entries are sent to a member.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// One request at a time until the last matching entry is found.
    Probe {
        /// Whether a request is in flight.
        waiting: bool,
    },
    /// Pipelined requests.
    Replicate,
    /// The next entries were compacted: a snapshot is sent.
    Snapshot(SnapshotTransfer),
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be synced on the member.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// How entries are sent.
    pub(crate) mode: Mode,
    /// Sending time of the newest acknowledged request; the lease starts from it.
    pub(crate) acknowledged_sent_at: Option<Timestamp>,
    /// The same in the leader's running time.
    pub(crate) acknowledged_sent_running: Option<Timestamp>,
    /// Time of the last response; initially the time from which the leader tracks the member.
    pub(crate) last_contact_at: Timestamp,
    /// Rejections of requests with a lower sequence number are stale.
    rejections_valid_from: u64,
    sent: VecDeque<SentAppend>,
    /// Large requests sent without progress since, up to [`MAXIMUM_RESEND_DOUBLINGS`].
    resend_doublings: u32,
}

impl Progress {
    /// Creates the progress of a member whose log is unknown. Probing starts after `last_index`.
    pub(crate) fn new(last_index: u64, now: Timestamp) -> Self {
        Progress {
            match_index: 0,
            next_index: last_index + 1,
            mode: Mode::Probe { waiting: false },
            acknowledged_sent_at: None,
            acknowledged_sent_running: None,
            last_contact_at: now,
            rejections_valid_from: 0,
            sent: VecDeque::new(),
            resend_doublings: 0,
        }
    }

    /// Returns whether the window of in-flight requests with entries is full.
    pub(crate) fn window_is_full(&self, maximum_bytes: usize) -> bool {
        let in_flight = || self.sent.iter().filter(|request| request.has_entries());
        let bytes = in_flight().fold(0, |sum: usize, request| sum.saturating_add(request.bytes));
        in_flight().count() >= MAXIMUM_APPENDS_IN_FLIGHT || bytes >= maximum_bytes
    }

    /// Returns whether a request of more than `large_bytes` may still arrive. Heartbeats overtake it,
    /// and must neither test the position after it nor send it again. `timeout` is the time after
    /// which it is sent again at first; each time without progress doubles it, so that it arrives on
    /// a slow path too.
    pub(crate) fn awaits_large_request(
        &self,
        now: Timestamp,
        large_bytes: usize,
        timeout: Duration,
    ) -> bool {
        let timeout = timeout * 2_u32.pow(self.resend_doublings.saturating_sub(1));
        let mut sent = self.sent.iter();
        sent.any(|request| request.bytes > large_bytes && now.since(request.sent_at) < timeout)
    }

    /// Records that a large request was sent.
    pub(crate) fn large_request_sent(&mut self) {
        self.resend_doublings = (self.resend_doublings + 1).min(MAXIMUM_RESEND_DOUBLINGS + 1);
    }

    pub(crate) fn record_sent(&mut self, request: SentAppend) {
        if self.sent.len() >= MAXIMUM_TRACKED_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(request);
    }

    /// Records a response: updates the contact and lease times and returns the matching request,
    /// if it is still tracked.
    pub(crate) fn record_response(&mut self, sequence: u64, now: Timestamp) -> Option<SentAppend> {
        self.last_contact_at = now;
        let request = *self
            .sent
            .iter()
            .find(|request| request.sequence == sequence)?;
        self.acknowledged_sent_at = self.acknowledged_sent_at.max(Some(request.sent_at));
        let running = Some(request.sent_running);
        self.acknowledged_sent_running = self.acknowledged_sent_running.max(running);
        Some(request)
    }

    /// Handles an acceptance: entries up to `match_index` are synced on the member.
    pub(crate) fn handle_accepted(&mut self, request: Option<SentAppend>, match_index: u64) {
        if match_index > self.match_index {
            self.match_index = match_index;
            self.resend_doublings = 0;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
        if let Some(request) = request {
            self.discard_heartbeats_up_to(request.sequence);
            let confirms_match = request.last_index + 1 >= self.next_index;
            if matches!(self.mode, Mode::Probe { .. }) && confirms_match {
                self.mode = Mode::Replicate;
                self.next_index = self.next_index.max(request.last_index + 1);
            }
        }
        let synced = self.match_index;
        self.sent
            .retain(|request| !request.has_entries() || request.last_index > synced);
    }

    /// Handles a rejection: resumes right after `hint`. Returns false if the rejection is stale.
    pub(crate) fn handle_rejected(
        &mut self,
        request: SentAppend,
        hint: u64,
        next_sequence: u64,
    ) -> bool {
        self.discard_heartbeats_up_to(request.sequence);
        if request.sequence < self.rejections_valid_from || matches!(self.mode, Mode::Snapshot(_)) {
            return false;
        }
        let next_index = (hint + 1).min(request.previous_index.max(1));
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = Mode::Probe { waiting: false };
        self.rejections_valid_from = next_sequence;
        self.sent.retain(|request| !request.has_entries());
        true
    }

    /// Records that the member has installed and synced a snapshot up to `last_index`.
    pub(crate) fn snapshot_installed(&mut self, last_index: u64) {
        self.match_index = self.match_index.max(last_index);
        self.next_index = self.match_index + 1;
        self.mode = Mode::Probe { waiting: false };
        self.sent.clear();
    }

    /// Stops tracking heartbeats up to `sequence`. Requests with entries stay until synced.
    fn discard_heartbeats_up_to(&mut self, sequence: u64) {
        self.sent
            .retain(|request| request.sequence > sequence || request.has_entries());
    }
}
