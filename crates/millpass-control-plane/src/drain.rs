//! Graceful shutdown within a bounded time: finish pending proposals, transfer leadership, stop.

use millpass_consensus::{ConsensusStatus, Role};
use millpass_proto::{Duration, MemberId, Timestamp};

/// Time after which the member stops even if no other member has become leader.
const DRAIN_DEADLINE: Duration = Duration::from_secs(5);
/// Time that pending proposals get before leadership is transferred.
const PROPOSAL_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which the transfer is retried with the next voter.
const TRANSFER_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainStep {
    Wait,
    /// Transfer leadership to this voter.
    Transfer(MemberId),
    Stop,
}

/// A drain in progress.
pub(crate) struct Drain {
    since: Timestamp,
    transfers: usize,
    next_transfer: Timestamp,
}

impl Drain {
    pub(crate) fn new(now: Timestamp) -> Self {
        Drain {
            since: now,
            transfers: 0,
            next_transfer: now,
        }
    }

    /// Returns the next step; `pending` is the number of pending proposals.
    pub(crate) fn next_step(
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
        if pending > 0 && elapsed < PROPOSAL_GRACE_PERIOD {
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

/// Returns the other voters, the most up-to-date and most recently responsive first.
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
            let since_contact = progress.map_or(u64::MAX, |found| found.silent_millis);
            (missing, since_contact, voter.member)
        })
        .collect();
    voters.sort_unstable();
    voters.into_iter().map(|(_, _, member)| member).collect()
}
