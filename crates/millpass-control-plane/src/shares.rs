//! Instances announce themselves at any member: the leader is told what changed there.

use crate::interface::ControlOutput;
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_consensus::Role;
use millpass_fleet::{Fleet, FleetSizes};
use millpass_proto::{MemberAddress, ShareReport, ShareResponse, Timestamp};

/// Whom this member reports its instances to.
#[derive(Default)]
pub(crate) struct ShareLink {
    /// Names this process' run: the wall clock at its first report, in milliseconds.
    run: Option<u64>,
    /// Who leads, as other members say: one that is not in the group hears nothing of its elections.
    leader: Option<MemberAddress>,
    /// Reports in a row that brought no leader's answer.
    in_vain: usize,
}

impl ShareLink {
    /// Who leads, as other members say.
    pub(crate) fn leader(&self) -> Option<&MemberAddress> {
        self.leader.as_ref()
    }

    /// Where the next report goes, and whether it is to a leader, as far as is known: after a report in vain to a seed, each
    /// in turn, which may know who leads.
    fn target(&self, leader: Option<String>, seeds: &[String]) -> Option<(String, bool)> {
        if let Some(leader) = leader.filter(|_| self.in_vain.is_multiple_of(2)) {
            return Some((leader, true));
        }
        let seed = seeds.get((self.in_vain / 2) % seeds.len().max(1))?;
        Some((seed.clone(), false))
    }
}

impl ControlPlane {
    /// Instances known here; none where the deployment has none that announce themselves.
    pub fn fleet_sizes(&self) -> Option<FleetSizes> {
        self.fleet.as_ref().map(Fleet::sizes)
    }

    /// Keeps what this member hears of instances, and tells the leader.
    pub(crate) fn run_share(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        fleet.keep_share(now);
        if self.role == Role::Leader || !fleet.is_share_due(now) {
            return;
        }
        if fleet.is_share_unanswered(now) {
            self.share_link.in_vain += 1;
        }
        let leader = self.leader_peer_address();
        let Some((address, leads)) = self.share_link.target(leader, &self.settings.seeds) else {
            return;
        };
        let run = *self.share_link.run.get_or_insert(unix_millis);
        let own = &self.settings.address;
        if let Some(fleet) = &mut self.fleet {
            let report = fleet.share_report(now, run, own, leads);
            out.push(ControlOutput::SendShare { address, report });
        }
    }

    /// Takes another member's report. A leader whose lease has run out takes it, too: it is no promise.
    pub(crate) fn take_share(&mut self, now: Timestamp, report: &ShareReport, out: &mut Outputs) {
        let answer = match self.in_charge(now) || self.is_late_leader() {
            true => self.take_share_as_leader(now, report),
            false => Some(self.name_leader(report)),
        };
        if let Some(answer) = answer {
            let address = report.from.peer_address.clone();
            out.push(ControlOutput::AnswerShare { address, answer });
        }
    }

    fn take_share_as_leader(
        &mut self,
        now: Timestamp,
        report: &ShareReport,
    ) -> Option<ShareResponse> {
        self.begin_fleet(now);
        let own = self.settings.address.clone();
        let state = &self.state;
        let departed = |instance: &_| state.departed(instance);
        let fleet = self.fleet.as_mut()?;
        Some(fleet.take_share(now, report, own, &departed))
    }

    fn name_leader(&self, report: &ShareReport) -> ShareResponse {
        ShareResponse {
            run: report.run,
            number: report.number,
            leader: self.leader(),
            acknowledged_revision: None,
            active_revision: 0,
            active: None,
        }
    }

    /// Takes the answer to this member's report.
    pub(crate) fn take_share_answer(&mut self, answer: &ShareResponse) {
        if let Some(fleet) = &mut self.fleet {
            fleet.share_answered(answer);
        }
        let own = self.settings.address.member;
        let named = answer.leader.as_ref();
        self.share_link.leader = named.filter(|leader| leader.member != own).cloned();
        match answer.acknowledged_revision {
            Some(_) => self.share_link.in_vain = 0,
            // The next report goes to the leader that is named; where none is, to another seed.
            None if named.is_some() => self.share_link.in_vain += self.share_link.in_vain % 2,
            None => self.share_link.in_vain += 1,
        }
    }
}
