//! What this member can say of how new a gateway's knowledge is, without a leader.
//!
//! An entry is acknowledged once a majority of the voters has it in its log. So a gateway that was told of
//! everything up to an index knows all that was acknowledged before it asked, if a majority of the voters
//! holds no entry beyond that index that binds gateways, committed or not. This costs no write and no
//! election, and is true at a member that follows, stands or leads.

use crate::deployment::departures_to_tell;
use crate::interface::ConnectionId;
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_consensus::Consensus;
use millpass_proto::{
    ControlToRouter, FreshnessResponse, GatewayReport, GatewayUpdate, MemberAddress, MemberId,
    Timestamp,
};
use millpass_state::State;

/// The highest index of an entry that binds gateways, of all that this process ever held.
///
/// It never falls: while a received snapshot replaces the log, neither log nor state knows the entries that this
/// member has acknowledged. An entry that is cut off again leaves it too high, which lets a gateway doubt what
/// it knows until the leader tells it of a higher index.
#[derive(Default)]
pub(crate) struct BindingMark {
    highest: u64,
    /// The same of what is committed, where a snapshot of an earlier release does not say it: all of it may bind.
    assumed: u64,
}

impl BindingMark {
    /// A snapshot up to this index gave the state. The replicated state itself stays the same on all members.
    pub(crate) fn restored(&mut self, state: &State, snapshot_index: u64) {
        if state.binding_index() == 0 && state.document().is_some() {
            self.assumed = snapshot_index;
        }
    }

    /// The highest committed index of an entry that binds, as far as is known.
    fn committed(&self, state: &State) -> u64 {
        state.binding_index().max(self.assumed)
    }

    /// Takes up what log and state hold now.
    pub(crate) fn raise(&mut self, consensus: &Consensus, state: &State) {
        self.highest = self
            .highest
            .max(consensus.binding_index())
            .max(self.committed(state));
    }
}

/// Where a member stands; an answer to gateways follows from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreshnessMark {
    binding: u64,
    applied: u64,
    membership_index: u64,
    term: u64,
    leader: Option<MemberId>,
    in_charge: bool,
}

impl ControlPlane {
    /// Where this member stands now.
    pub fn freshness_mark(&self, now: Timestamp) -> FreshnessMark {
        FreshnessMark {
            binding: self.binding.highest,
            applied: self.applied.last.index,
            membership_index: self.consensus.membership_index(),
            term: self.term,
            leader: self.consensus.leader(),
            in_charge: self.in_charge(now),
        }
    }

    /// The answer to a gateway's question, but for the number of its round.
    pub fn freshness(&self, mark: &FreshnessMark) -> FreshnessResponse {
        let membership = self.consensus.status().membership;
        let leader = match mark.in_charge {
            true => Some(self.settings.address.peer_address.clone()),
            false => self.leader_peer_address(),
        };
        FreshnessResponse {
            round: 0,
            member: self.settings.address.member,
            required_index: mark.binding,
            applied: mark.applied,
            membership_index: mark.membership_index,
            voters: identities(&membership.voters),
            outgoing_voters: identities(&membership.outgoing_voters),
            addresses: peer_addresses(&membership.voters, &membership.outgoing_voters),
            term: mark.term,
            leader,
        }
    }

    /// Passes on what is committed and a gateway lacks, though this member does not lead: a committed document or
    /// departure is as good from any member. A gateway that has nothing also gets the instances that were
    /// noted. Nothing is sent to one that lacks nothing: without a leader, gateways ask every member again and again.
    pub(crate) fn pass_on(
        &self,
        connection: ConnectionId,
        report: &GatewayReport,
        out: &mut Outputs,
    ) {
        let begins = report.as_of == 0;
        let Some(document) = self.state.document() else {
            return;
        };
        if !begins && report.as_of >= self.binding.committed(&self.state) {
            return;
        }
        let newer = document.version > report.version;
        let instances = match begins {
            true => self.state.noted_instances().cloned().collect(),
            false => Vec::new(),
        };
        let update = GatewayUpdate {
            term: 0,
            complete: false,
            first: false,
            document: newer.then(|| document.clone()),
            instances,
            removed: departures_to_tell(&self.state, report.as_of),
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
