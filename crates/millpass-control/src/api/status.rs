//! State of the deployment as the leader sees it.

use millpass_consensus::ConsensusStatus;
use millpass_control_plane::{DeploymentStatus, RouterStatus};
use millpass_proto::{BackendState, MemberAddress, Replica, ReplicaPhase};
use serde::{Deserialize, Serialize};

/// State of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Term of the control group.
    pub term: u64,
    /// Id of the leader; `None` if unknown.
    pub leader: Option<u64>,
    /// Commit index of the log.
    pub commit: u64,
    /// Catalog revision.
    pub configuration: u64,
    /// Orders without a final response from their engines.
    pub outstanding_orders: u64,
    /// Control members.
    pub members: Vec<MemberBody>,
    /// Routers that have reported to this leader.
    pub routers: Vec<RouterBody>,
    /// Placed replicas, in all phases.
    pub replicas: Vec<ReplicaBody>,
    /// Back ends that are not gone.
    pub backends: Vec<BackendBody>,
}

/// One control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Member id.
    pub member: u64,
    /// Zone.
    pub zone: String,
    /// `voter`, `outgoing-voter` (during a change of members) or `learner`.
    pub role: String,
    /// IP address and port for members and routers.
    pub peer_address: String,
    /// Milliseconds since its last response to the leader; `None` for the leader itself.
    pub silent_millis: Option<u64>,
    /// Last log index known to be synced there; `None` for the leader itself.
    pub match_index: Option<u64>,
}

/// One router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterBody {
    /// Name.
    pub router: String,
    /// Zone.
    pub zone: String,
    /// Catalog revision that it has applied.
    pub configuration: u64,
    /// Milliseconds since its last report.
    pub silent_millis: u64,
    /// Whether it is draining.
    pub draining: bool,
}

/// One placed replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaBody {
    /// Slot.
    pub slot: u64,
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Engine.
    pub backend: String,
    /// `loading`, `loaded` or `unloading`.
    pub phase: String,
}

/// One back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendBody {
    /// Name.
    pub backend: String,
    /// `live`, `leaving` or `gone`.
    pub state: String,
}

/// Requested state of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendStateBody {
    /// `live`, `leaving` or `gone`.
    pub state: String,
}

/// Returns the name of a back end's state.
pub const fn backend_state_name(state: BackendState) -> &'static str {
    match state {
        BackendState::Live => "live",
        BackendState::Leaving => "leaving",
        BackendState::Gone => "gone",
    }
}

/// Returns the state with this name; `None` if there is none.
pub fn backend_state_from_name(name: &str) -> Option<BackendState> {
    let states = [
        BackendState::Live,
        BackendState::Leaving,
        BackendState::Gone,
    ];
    states
        .into_iter()
        .find(|state| backend_state_name(*state) == name)
}

const fn phase_name(phase: ReplicaPhase) -> &'static str {
    match phase {
        ReplicaPhase::Loading => "loading",
        ReplicaPhase::Loaded => "loaded",
        ReplicaPhase::Unloading => "unloading",
    }
}

impl From<&DeploymentStatus> for StatusBody {
    fn from(status: &DeploymentStatus) -> Self {
        let backends = status.backends.iter();
        StatusBody {
            term: status.consensus.term,
            leader: status.consensus.leader.map(|member| member.0),
            commit: status.consensus.commit,
            configuration: status.configuration.0,
            outstanding_orders: status.outstanding_orders,
            members: members(&status.consensus),
            routers: status.routers.iter().map(RouterBody::from).collect(),
            replicas: status.replicas.iter().map(ReplicaBody::from).collect(),
            backends: backends
                .map(|(backend, state)| BackendBody {
                    backend: backend.0.clone(),
                    state: backend_state_name(*state).to_owned(),
                })
                .collect(),
        }
    }
}

fn members(status: &ConsensusStatus) -> Vec<MemberBody> {
    let membership = &status.membership;
    let is_voter = |outgoing: &&MemberAddress| {
        membership
            .voters
            .iter()
            .any(|v| v.member == outgoing.member)
    };
    let outgoing = membership.outgoing_voters.iter().filter(|o| !is_voter(o));
    let voters = membership.voters.iter();
    voters
        .map(|address| member(status, address, "voter"))
        .chain(outgoing.map(|address| member(status, address, "outgoing-voter")))
        .chain(
            membership
                .learners
                .iter()
                .map(|address| member(status, address, "learner")),
        )
        .collect()
}

fn member(status: &ConsensusStatus, address: &MemberAddress, role: &str) -> MemberBody {
    let mut progress = status.progress.iter();
    let known = progress.find(|progress| progress.member == address.member);
    MemberBody {
        member: address.member.0,
        zone: address.zone.0.clone(),
        role: role.to_owned(),
        peer_address: address.peer_address.clone(),
        silent_millis: known.map(|progress| progress.silent_millis),
        match_index: known.map(|progress| progress.match_index),
    }
}

impl From<&RouterStatus> for RouterBody {
    fn from(status: &RouterStatus) -> Self {
        RouterBody {
            router: status.router.0.clone(),
            zone: status.zone.0.clone(),
            configuration: status.configuration.0,
            silent_millis: status.millis_since_report,
            draining: status.draining,
        }
    }
}

impl From<&Replica> for ReplicaBody {
    fn from(replica: &Replica) -> Self {
        ReplicaBody {
            slot: replica.slot.0,
            model: replica.model.0.clone(),
            version: replica.version.0.clone(),
            backend: replica.backend.0.clone(),
            phase: phase_name(replica.phase).to_owned(),
        }
    }
}
