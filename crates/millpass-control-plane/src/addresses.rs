//! Addresses of members.

use millpass_proto::{MemberAddress, MemberId, Membership};
use std::collections::BTreeMap;

/// Maximum number of remembered addresses of processes outside the membership.
const MAXIMUM_HELLOS: usize = 64;

/// Addresses of the current membership and of processes that sent a hello.
///
/// A process that requests to join has an empty membership until it receives the log, so it can only
/// respond to the leader at the address in the leader's hello.
pub(crate) struct AddressBook {
    members: BTreeMap<MemberId, MemberAddress>,
    hellos: BTreeMap<MemberId, MemberAddress>,
}

impl AddressBook {
    pub(crate) fn new(membership: &Membership) -> Self {
        AddressBook {
            members: by_member(membership),
            hellos: BTreeMap::new(),
        }
    }

    pub(crate) fn replace(&mut self, membership: &Membership) {
        self.members = by_member(membership);
    }

    pub(crate) fn record_hello(&mut self, address: MemberAddress) {
        let known = self.hellos.contains_key(&address.member);
        if !known && self.hellos.len() >= MAXIMUM_HELLOS {
            self.hellos.pop_first();
        }
        self.hellos.insert(address.member, address);
    }

    /// Returns the address of a member of the current membership.
    pub(crate) fn get(&self, member: MemberId) -> Option<&MemberAddress> {
        self.members.get(&member)
    }

    /// Returns the address to send to: that of the membership, or else that of the member's hello.
    pub(crate) fn resolve(&self, member: MemberId) -> Option<&MemberAddress> {
        self.get(member).or_else(|| self.hellos.get(&member))
    }
}

fn by_member(membership: &Membership) -> BTreeMap<MemberId, MemberAddress> {
    membership
        .voters
        .iter()
        .chain(&membership.outgoing_voters)
        .chain(&membership.learners)
        .map(|address| (address.member, address.clone()))
        .collect()
}
