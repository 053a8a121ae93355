//! Responses to freshness queries of gateways, which any member can give without a leader.
//!
//! An entry is acknowledged once a majority of the voters has it in its log. A gateway that has
//! applied everything up to an index is therefore current if a majority of the voters holds no
//! required entry beyond that index, committed or not. This costs no write and no election.

use crate::deployment::departures_since;
use crate::interface::ConnectionId;
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_consensus::Consensus;
use millpass_proto::{
    ControlToRouter, FreshnessResponse, GatewayReport, GatewayUpdate, MemberAddress, MemberId,
    Timestamp,
};
use millpass_state::State;

/// Highest index of a required entry that this process has ever held.
///
/// It never decreases: while a received snapshot replaces the log, neither the log nor the state
/// contains the entries that this member has acknowledged. A truncated entry leaves it too high,
/// which only makes gateways consider themselves stale until the leader reports a higher index.
#[derive(Default)]
pub(crate) struct RequiredIndex {
    highest: u64,
    /// Assumed committed index for snapshots of earlier releases, which do not record the required
    /// index.
    assumed: u64,
}

impl RequiredIndex {
    /// Assumes the index of a restored snapshot whose state holds a document but no required index.
    pub(crate) fn snapshot_restored(&mut self, state: &State, snapshot_index: u64) {
        if state.required_index() == 0 && state.document().is_some() {
            self.assumed = snapshot_index;
        }
    }

    /// Returns the highest known index of a committed required entry.
    fn committed(&self, state: &State) -> u64 {
        state.required_index().max(self.assumed)
    }

    pub(crate) fn update(&mut self, consensus: &Consensus, state: &State) {
        self.highest = self
            .highest
            .max(consensus.required_index())
            .max(self.committed(state));
    }
}

/// State of this member from which freshness responses are built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreshnessState {
    required_index: u64,
    applied: u64,
    membership_index: u64,
    term: u64,
    leader: Option<MemberId>,
    is_leading: bool,
}

impl ControlPlane {
    /// Returns the current freshness state of this member.
    pub fn freshness_state(&self, now: Timestamp) -> FreshnessState {
        FreshnessState {
            required_index: self.required_index.highest,
            applied: self.applied.last.index,
            membership_index: self.consensus.membership_index(),
            term: self.term,
            leader: self.consensus.leader(),
            is_leading: self.is_leading(now),
        }
    }

    /// Builds the response to a freshness query; the caller sets the round.
    pub fn freshness_response(&self, state: &FreshnessState) -> FreshnessResponse {
        let membership = self.consensus.status().membership;
        let leader = match state.is_leading {
            true => Some(self.settings.address.peer_address.clone()),
            false => self.leader_peer_address(),
        };
        FreshnessResponse {
            round: 0,
            member: self.settings.address.member,
            required_index: state.required_index,
            applied: state.applied,
            membership_index: state.membership_index,
            voters: identities(&membership.voters),
            outgoing_voters: identities(&membership.outgoing_voters),
            addresses: peer_addresses(&membership.voters, &membership.outgoing_voters),
            term: state.term,
            leader,
        }
    }

    /// Forwards committed documents and departures that a gateway is missing while this member is
    /// not leading. A gateway without any state also receives the recorded instances. Sends nothing
    /// to a gateway that is up to date: without a leader, gateways query all members repeatedly.
    pub(crate) fn forward_committed(
        &self,
        connection: ConnectionId,
        report: &GatewayReport,
        out: &mut Outputs,
    ) {
        let is_initial = report.as_of == 0;
        let Some(document) = self.state.document() else {
            return;
        };
        if !is_initial && report.as_of >= self.required_index.committed(&self.state) {
            return;
        }
        let is_newer = document.version > report.version;
        let instances = match is_initial {
            true => self.state.recorded_instances().cloned().collect(),
            false => Vec::new(),
        };
        let update = GatewayUpdate {
            term: 0,
            complete: false,
            first: false,
            document: is_newer.then(|| document.clone()),
            instances,
            removed: departures_since(&self.state, report.as_of),
            ready_estimates: Vec::new(),
            gateways: 0,
            members: Vec::new(),
            provisional: true,
            loads: Vec::new(),
            acknowledged_report: 0,
            as_of: self.applied.last.index,
            document_change: None,
            unchanged_instance_digests: Vec::new(),
            ready_estimates_unchanged: false,
            loads_unchanged: false,
            document_version: document.version,
            paces: Vec::new(),
            contents: Vec::new(),
            moved_estimates: Vec::new(),
            ended_estimates: Vec::new(),
            partial: false,
        };
        let pairs = vec![
            ("gateway", report.gateway.clone()),
            ("version", report.version.to_string()),
            ("from", report.as_of.to_string()),
            ("as_of", update.as_of.to_string()),
        ];
        out.event("committed-passed-on", pairs);
        out.send_router(connection, ControlToRouter::Gateway(update));
    }
}

fn identities(voters: &[MemberAddress]) -> Vec<MemberId> {
    voters.iter().map(|voter| voter.member).collect()
}

fn peer_addresses(voters: &[MemberAddress], outgoing: &[MemberAddress]) -> Vec<String> {
    let all = voters.iter().chain(outgoing);
    let mut addresses: Vec<String> = all.map(|voter| voter.peer_address.clone()).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}
