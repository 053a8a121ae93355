//! Where members listen.

use millpass_proto::{MemberAddress, MemberId, Membership};
use std::collections::BTreeMap;

/// Most members outside the membership that are remembered.
const MAXIMUM_GREETED: usize = 64;

/// Where the members of the membership in force listen, and those that introduced themselves.
///
/// A process that asks to join has an empty membership until the log tells it otherwise: it can
/// answer the leader only at the address that the leader introduced itself with.
pub(crate) struct AddressBook {
    members: BTreeMap<MemberId, MemberAddress>,
    greeted: BTreeMap<MemberId, MemberAddress>,
}

impl AddressBook {
    /// Reads a membership.
    pub(crate) fn new(membership: &Membership) -> Self {
        AddressBook {
            members: read(membership),
            greeted: BTreeMap::new(),
        }
    }

    /// Reads a newer membership.
    pub(crate) fn replace(&mut self, membership: &Membership) {
        self.members = read(membership);
    }

    /// Notes a member that introduced itself.
    pub(crate) fn greet(&mut self, address: MemberAddress) {
        let known = self.greeted.contains_key(&address.member);
        if !known && self.greeted.len() >= MAXIMUM_GREETED {
            self.greeted.pop_first();
        }
        self.greeted.insert(address.member, address);
    }

    /// Where a member of the membership listens.
    pub(crate) fn get(&self, member: MemberId) -> Option<&MemberAddress> {
        self.members.get(&member)
    }

    /// Where a message to a member can be sent.
    pub(crate) fn reach(&self, member: MemberId) -> Option<&MemberAddress> {
        self.get(member).or_else(|| self.greeted.get(&member))
    }
}

fn read(membership: &Membership) -> BTreeMap<MemberId, MemberAddress> {
    membership
        .voters
        .iter()
        .chain(&membership.outgoing_voters)
        .chain(&membership.learners)
        .map(|address| (address.member, address.clone()))
        .collect()
}
