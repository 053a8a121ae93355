//! Which control member a router turns to next.

use std::net::SocketAddr;

/// Members in turn, the leader that one of them named first, and for one round not the one whose
/// connection broke last: the others go on naming it as leader until they have elected another. No
/// longer than a round, since it may lead on and be reachable again.
#[derive(Clone, Debug)]
pub struct MemberChoice {
    members: Vec<SocketAddr>,
    next: usize,
    named: Option<SocketAddr>,
    lost: Option<SocketAddr>,
    turns_left: usize,
}

impl MemberChoice {
    /// Begins with the first member.
    pub fn new(members: Vec<SocketAddr>) -> Self {
        MemberChoice {
            members,
            next: 0,
            named: None,
            lost: None,
            turns_left: 0,
        }
    }

    /// The member to turn to now; none without members.
    pub fn turn(&mut self) -> Option<SocketAddr> {
        self.turns_left = self.turns_left.saturating_sub(1);
        if self.turns_left == 0 {
            self.lost = None;
        }
        if let Some(named) = self.named.take() {
            return Some(named);
        }
        let first = self.in_turn()?;
        if Some(first) != self.lost {
            return Some(first);
        }
        self.in_turn()
    }

    /// A member that does not lead named the leader, if it knows one.
    pub fn named(&mut self, leader: Option<SocketAddr>) {
        self.named = leader.filter(|leader| Some(*leader) != self.lost);
    }

    /// The connection to a member broke, could not be made, or went silent.
    pub fn lost(&mut self, member: SocketAddr) {
        self.lost = Some(member);
        self.turns_left = self.members.len();
    }

    fn in_turn(&mut self) -> Option<SocketAddr> {
        let count = self.members.len();
        let member = self.members.get(self.next % count.max(1)).copied();
        self.next = (self.next + 1) % count.max(1);
        member
    }
}
