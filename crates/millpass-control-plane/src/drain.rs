//! The planned stop: finish what is under way, hand leadership over, stop. Bounded in time.

use millpass_consensus::{ConsensusStatus, Role};
use millpass_proto::{Duration, MemberId, Timestamp};

/// Time after which the member stops even if nobody took leadership over.
const DRAIN_DEADLINE: Duration = Duration::from_secs(5);
/// Time that proposals under way are given before leadership is handed over.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after which the transfer is asked for again, of the next best voter.
const TRANSFER_INTERVAL: Duration = Duration::from_secs(1);

/// What a draining member does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainStep {
    /// Nothing yet.
    Wait,
    /// Hand leadership to this voter.
    Transfer(MemberId),
    /// Stop.
    Stop,
}

/// A drain under way.
pub(crate) struct Drain {
    since: Timestamp,
    transfers: usize,
    next_transfer: Timestamp,
}

impl Drain {
    /// Starts to drain.
    pub(crate) fn new(now: Timestamp) -> Self {
        Drain {
            since: now,
            transfers: 0,
            next_transfer: now,
        }
    }

    /// Decides what to do now, `pending` proposals being under way.
    pub(crate) fn next(
        &mut self,
        now: Timestamp,
        own: MemberId,
        status: &ConsensusStatus,
        pending: usize,
    ) -> DrainStep {
        let elapsed = now.since(self.since);
        if status.role != Role::Leader || elapsed >= DRAIN_DEADLINE {
            return DrainStep::Stop;
        }
        if pending > 0 && elapsed < SETTLE_TIME {
            return DrainStep::Wait;
        }
        let candidates = successors(own, status);
        if candidates.is_empty() {
            return DrainStep::Stop;
        }
        if now < self.next_transfer {
            return DrainStep::Wait;
        }
        let chosen = candidates[self.transfers % candidates.len()];
        self.transfers += 1;
        self.next_transfer = now + TRANSFER_INTERVAL;
        DrainStep::Transfer(chosen)
    }
}

/// Other voters, those that answered lately and hold the most first.
fn successors(own: MemberId, status: &ConsensusStatus) -> Vec<MemberId> {
    let mut voters: Vec<(u64, u64, MemberId)> = status
        .membership
        .voters
        .iter()
        .filter(|voter| voter.member != own)
        .map(|voter| {
            let progress = status
                .progress
                .iter()
                .find(|progress| progress.member == voter.member);
            let missing = progress.map_or(u64::MAX, |found| {
                status.last.saturating_sub(found.match_index)
            });
            let silent = progress.map_or(u64::MAX, |found| found.silent_millis);
            (missing, silent, voter.member)
        })
        .collect();
    voters.sort_unstable();
    voters.into_iter().map(|(_, _, member)| member).collect()
}
