//! Reachability between routers and a majority of the control group.
//!
//! Conservative: while messages are disturbed or a partition is partial, every router counts as
//! unreachable.

use crate::world::World;
use millpass_checkers::Event;
use millpass_proto::MemberAddress;

impl World {
    /// Records changes of the reachability of routers.
    pub(crate) fn update_reachable(&mut self) {
        for router in 0..self.routers.len() {
            let reachable = self.is_reachable(router);
            if self.reachable[router] == Some(reachable) {
                continue;
            }
            self.reachable[router] = Some(reachable);
            self.record(Event::RouterReachable {
                router: self.routers[router].name.clone(),
                reachable,
            });
        }
    }

    fn is_reachable(&self, router: usize) -> bool {
        let node = &self.routers[router];
        if node.core.is_none() || node.frozen || node.draining || self.network.is_bad() {
            return false;
        }
        if !self.cuts_isolate_whole_zones() {
            return false;
        }
        let membership = self.observer.membership();
        let outgoing = &membership.outgoing_voters;
        self.reaches_majority(router, &membership.voters)
            && (outgoing.is_empty() || self.reaches_majority(router, outgoing))
    }

    /// Whether every block between two zones applies to both directions, and no third zone connects
    /// them.
    fn cuts_isolate_whole_zones(&self) -> bool {
        let zones = self.zones();
        for one in &zones {
            for other in &zones {
                let passes = self.network.passes_both(*one, *other);
                let half = self.network.passes(*one, *other) != self.network.passes(*other, *one);
                let between = zones.iter().any(|third| {
                    third != one
                        && third != other
                        && self.network.passes(*one, *third)
                        && self.network.passes(*third, *other)
                });
                if half || (!passes && between) {
                    return false;
                }
            }
        }
        true
    }

    fn reaches_majority(&self, router: usize, voters: &[MemberAddress]) -> bool {
        let zone = self.routers[router].zone;
        let answers = |voter: &&MemberAddress| {
            self.control.iter().any(|node| {
                node.address.member == voter.member
                    && node.runs()
                    && self.network.passes_both(zone, node.zone)
            })
        };
        2 * voters.iter().filter(answers).count() > voters.len()
    }
}
