//! Membership changes of the control group.

use millpass_consensus::MembershipChange;
use millpass_proto::{MemberAddress, MemberId, Membership, ZoneName};
use serde::{Deserialize, Serialize};

/// One membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum MembershipBody {
    /// Add a non-voting member that receives the log.
    AddLearner {
        /// Member id.
        member: u64,
        /// Zone.
        zone: String,
        /// IP address and port for members and routers.
        peer_address: String,
        /// IP address and port of its administration API.
        administration_address: String,
    },
    /// Make a caught-up learner a voter.
    Promote {
        /// Member id of the learner.
        learner: u64,
        /// Member id of the voter that it replaces; `None` to add a voter.
        #[serde(default)]
        replaces: Option<u64>,
    },
    /// Remove a voter or learner.
    Remove {
        /// Member id.
        member: u64,
    },
}

impl MembershipBody {
    /// Returns whether the membership already reflects this change.
    pub(crate) fn is_satisfied_by(&self, membership: &Membership) -> bool {
        if !membership.outgoing_voters.is_empty() {
            return false;
        }
        let is_voter = |member| contains(&membership.voters, member);
        let is_member = |member| is_voter(member) || contains(&membership.learners, member);
        match self {
            MembershipBody::AddLearner { member, .. } => is_member(*member),
            MembershipBody::Promote { learner, replaces } => {
                is_voter(*learner) && replaces.is_none_or(|replaced| !is_member(replaced))
            }
            MembershipBody::Remove { member } => !is_member(*member),
        }
    }
}

fn contains(members: &[MemberAddress], member: u64) -> bool {
    members.iter().any(|known| known.member.0 == member)
}

impl From<&MembershipBody> for MembershipChange {
    fn from(body: &MembershipBody) -> Self {
        match body {
            MembershipBody::AddLearner {
                member,
                zone,
                peer_address,
                administration_address,
            } => MembershipChange::AddLearner(MemberAddress {
                member: MemberId(*member),
                zone: ZoneName(zone.clone()),
                peer_address: peer_address.clone(),
                administration_address: administration_address.clone(),
            }),
            MembershipBody::Promote { learner, replaces } => MembershipChange::Promote {
                learner: MemberId(*learner),
                replaces: replaces.map(MemberId),
            },
            MembershipBody::Remove { member } => MembershipChange::Remove(MemberId(*member)),
        }
    }
}
