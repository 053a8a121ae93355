//! Selection of the control member to connect to.

use std::net::SocketAddr;

/// Returns members in rotation, a stated leader first. For one rotation, skips the member that was
/// last marked unreachable, as the others state it as leader until they elect another. Afterwards
/// it is tried again, because it may be reachable and still lead.
#[derive(Clone, Debug)]
pub struct MemberSelector {
    members: Vec<SocketAddr>,
    next: usize,
    leader_hint: Option<SocketAddr>,
    unreachable: Option<SocketAddr>,
    skip_turns_left: usize,
}

impl MemberSelector {
    /// Starts with the first member.
    pub fn new(members: Vec<SocketAddr>) -> Self {
        MemberSelector {
            members,
            next: 0,
            leader_hint: None,
            unreachable: None,
            skip_turns_left: 0,
        }
    }

    /// Returns the next member to connect to; `None` without members.
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

    /// Sets the leader stated by a member; `None` if the member has none recorded.
    pub fn set_leader_hint(&mut self, leader: Option<SocketAddr>) {
        self.leader_hint = leader.filter(|leader| Some(*leader) != self.unreachable);
    }

    /// Marks a member as unreachable, after a failed or lost connection.
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
