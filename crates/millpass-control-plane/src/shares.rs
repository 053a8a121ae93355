//! Forwards the instances that announce themselves at this member to the leader.

use crate::interface::ControlOutput;
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_consensus::Role;
use millpass_fleet::{Fleet, FleetSizes};
use millpass_proto::{MemberAddress, ShareReport, ShareResponse, Timestamp};

/// Destination of this member's share reports.
#[derive(Default)]
pub(crate) struct ShareLink {
    /// Identifies this process run: wall clock at its first report, in Unix milliseconds.
    process_run: Option<u64>,
    /// Leader as stated by other members; a process outside the group does not observe its
    /// elections.
    leader: Option<MemberAddress>,
    /// Number of consecutive reports without a response from a leader.
    failed_reports: usize,
}

impl ShareLink {
    /// Returns the leader as stated by other members.
    pub(crate) fn leader(&self) -> Option<&MemberAddress> {
        self.leader.as_ref()
    }

    /// Returns the destination of the next report and whether it is a known leader. After a failed
    /// report the seeds are tried in turn, alternating with the leader if one is known.
    fn target(&self, leader: Option<String>, seeds: &[String]) -> Option<(String, bool)> {
        if let Some(leader) = leader.filter(|_| self.failed_reports.is_multiple_of(2)) {
            return Some((leader, true));
        }
        let seed = seeds.get((self.failed_reports / 2) % seeds.len().max(1))?;
        Some((seed.clone(), false))
    }
}

impl ControlPlane {
    /// Returns the numbers of known instances; `None` where no instances announce themselves.
    pub fn fleet_sizes(&self) -> Option<FleetSizes> {
        self.fleet.as_ref().map(Fleet::sizes)
    }

    /// Returns the number of planning rounds over announced instances since this member last started
    /// leading.
    pub fn planning_rounds(&self) -> u64 {
        self.fleet.as_ref().map_or(0, Fleet::planning_rounds)
    }

    /// Maintains this member's share of the instances and reports changes to the leader.
    pub(crate) fn report_share(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        fleet.maintain_share(now);
        if self.role == Role::Leader || !fleet.is_share_report_due(now) {
            return;
        }
        if fleet.is_share_report_timed_out(now) {
            self.share_link.failed_reports += 1;
        }
        let leader = self.leader_peer_address();
        let Some((address, is_leader)) = self.share_link.target(leader, &self.settings.seeds)
        else {
            return;
        };
        let process_run = *self.share_link.process_run.get_or_insert(unix_millis);
        let own = &self.settings.address;
        if let Some(fleet) = &mut self.fleet {
            let report = fleet.next_share_report(now, process_run, own, is_leader);
            out.push(ControlOutput::SendShare { address, report });
        }
    }

    /// Handles another member's report. A leader with an expired lease accepts it too, since
    /// it changes only soft state.
    pub(crate) fn handle_share_report(
        &mut self,
        now: Timestamp,
        report: &ShareReport,
        out: &mut Outputs,
    ) {
        let response = match self.is_leading(now) || self.is_established_leader() {
            true => self.apply_share_report(now, report),
            false => Some(self.leader_hint(report)),
        };
        if let Some(response) = response {
            let address = report.from.peer_address.clone();
            out.push(ControlOutput::SendShareResponse { address, response });
        }
    }

    fn apply_share_report(
        &mut self,
        now: Timestamp,
        report: &ShareReport,
    ) -> Option<ShareResponse> {
        self.start_fleet(now);
        let own = self.settings.address.clone();
        let state = &self.state;
        let departed = |instance: &_| state.departed(instance);
        let fleet = self.fleet.as_mut()?;
        Some(fleet.handle_share_report(now, report, own, &departed))
    }

    fn leader_hint(&self, report: &ShareReport) -> ShareResponse {
        ShareResponse {
            run: report.run,
            number: report.number,
            leader: self.leader(),
            acknowledged_revision: None,
            active_revision: 0,
            active: None,
        }
    }

    /// Handles the response to this member's report.
    pub(crate) fn handle_share_response(&mut self, response: &ShareResponse) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle_share_response(response);
        }
        let own = self.settings.address.member;
        let named = response.leader.as_ref();
        self.share_link.leader = named.filter(|leader| leader.member != own).cloned();
        match response.acknowledged_revision {
            Some(_) => self.share_link.failed_reports = 0,
            // Retries with the named leader, or else with another seed.
            None if named.is_some() => {
                self.share_link.failed_reports += self.share_link.failed_reports % 2
            }
            None => self.share_link.failed_reports += 1,
        }
    }
}
