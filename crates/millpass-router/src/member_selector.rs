//! Which control member a router turns to next.

use std::net::SocketAddr;

/// Members in turn, the leader that one of them named first, and for one round not the one whose
/// connection broke last: the others go on naming it as leader until they have elected another. No
/// longer than a round, since it may lead on and be reachable again.
#[derive(Clone, Debug)]
pub struct MemberSelector {
    members: Vec<SocketAddr>,
    next: usize,
    leader_hint: Option<SocketAddr>,
    unreachable: Option<SocketAddr>,
    skip_turns_left: usize,
}

impl MemberSelector {
    /// Begins with the first member.
    pub fn new(members: Vec<SocketAddr>) -> Self {
        MemberSelector {
            members,
            next: 0,
            leader_hint: None,
            unreachable: None,
            skip_turns_left: 0,
        }
    }

    /// The member to turn to now; none without members.
    pub fn next_member(&mut self) -> Option<SocketAddr> {
        self.skip_turns_left = self.skip_turns_left.saturating_sub(1);
        if self.skip_turns_left == 0 {
            self.unreachable = None;
        }
        if let Some(leader_hint) = self.leader_hint.take() {
            return Some(leader_hint);
        }
        let first = self.next_in_rotation()?;
        if Some(first) != self.unreachable {
            return Some(first);
        }
        self.next_in_rotation()
    }

    /// A member that does not lead named the leader, if it knows one.
    pub fn set_leader_hint(&mut self, leader: Option<SocketAddr>) {
        self.leader_hint = leader.filter(|leader| Some(*leader) != self.unreachable);
    }

    /// The connection to a member broke, could not be made, or went silent.
    pub fn mark_unreachable(&mut self, member: SocketAddr) {
        self.unreachable = Some(member);
        self.skip_turns_left = self.members.len();
    }

    fn next_in_rotation(&mut self) -> Option<SocketAddr> {
        let count = self.members.len();
        let member = self.members.get(self.next % count.max(1)).copied();
        self.next = (self.next + 1) % count.max(1);
        member
    }
}
