//! Random faults and operator actions, drawn from the seed of a run.

use super::cluster::{BrokenRule, CALM, Cluster, MILLISECOND, ROUGH};
use super::values::address;
use millpass_consensus::MembershipChange;
use millpass_proto::MemberId;
use rand::RngExt;
use std::collections::BTreeSet;

/// Two and a half election timeouts.
const MAXIMUM_LAG: u64 = 250 * MILLISECOND;

/// Isolates the leader in both directions, only outbound or only inbound.
fn isolate_leader(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    let direction = cluster.random.random_range(0..3);
    for other in 0..cluster.machines.len() {
        if direction != 1 {
            cluster.severed_links.insert((leader, other));
        }
        if direction != 2 {
            cluster.severed_links.insert((other, leader));
        }
    }
}

/// Restarts all machines at once, with or without the leader.
fn power_failure(cluster: &mut Cluster) {
    let spared = match cluster.random.random_bool(0.5) {
        true => cluster.leader(),
        false => None,
    };
    let hit: Vec<usize> = (0..cluster.machines.len())
        .filter(|machine| Some(*machine) != spared)
        .collect();
    for machine in &hit {
        cluster.crash(*machine);
    }
    for machine in hit {
        cluster.start(machine);
    }
}

/// Makes a member lag, ends all lags, or pauses all members for a while.
fn starve(cluster: &mut Cluster) {
    let count = cluster.machines.len();
    let machine = cluster.random.random_range(0..count);
    match cluster.random.random_range(0..4) {
        0 | 1 => {
            let most = cluster.random.random_range(1..=MAXIMUM_LAG);
            cluster.lag(machine, (most / 2, most));
        }
        2 => (0..count).for_each(|index| cluster.lag(index, (0, 0))),
        _ => {
            (0..count).for_each(|index| cluster.freeze(index));
            let pause = cluster.random.random_range(1..=MAXIMUM_LAG);
            cluster.run(pause);
            (0..count).for_each(|index| cluster.wake(index));
        }
    }
}

/// A lost member and the member that replaces it.
#[derive(Clone, Copy, Debug)]
pub struct Repair {
    pub lost: MemberId,
    pub joining: MemberId,
}

#[derive(Default)]
pub struct FaultPlan {
    pub repair: Option<Repair>,
    pub repaired: u64,
    pub injected: u64,
    /// Whether lags and simultaneous pauses are injected.
    pub starves: bool,
}

impl FaultPlan {
    /// Runs rounds of faults with load, repairs and snapshots in between.
    pub fn run(&mut self, cluster: &mut Cluster, rounds: u64) {
        for _ in 0..rounds {
            cluster.conditions = if cluster.chance(400) { CALM } else { ROUGH };
            self.inject(cluster);
            for _ in 0..cluster.random.random_range(1..6) {
                for _ in 0..cluster.random.random_range(0..8) {
                    cluster.propose();
                }
                self.advance_repair(cluster);
                cluster.run(40 * MILLISECOND);
            }
        }
    }

    fn inject(&mut self, cluster: &mut Cluster) {
        self.injected += 1;
        let count = cluster.machines.len();
        if self.starves && cluster.chance(300) {
            return starve(cluster);
        }
        let machine = cluster.random.random_range(0..count);
        let other = cluster.random.random_range(0..count);
        match cluster.random.random_range(0..16) {
            0 | 1 => cluster.crash(machine),
            2 | 3 => (0..count).for_each(|index| cluster.start(index)),
            4 => cluster.freeze(machine),
            5 => (0..count).for_each(|index| cluster.wake(index)),
            6 => cluster.partition(&BTreeSet::from([machine, other])),
            7 => {
                cluster.severed_links.insert((machine, other));
            }
            8 => cluster.severed_links.clear(),
            9 => cluster.snapshot(machine),
            10 => cluster.transfer(cluster.machines[other].member),
            11 => self.freeze_or_crash_leader(cluster),
            12 => isolate_leader(cluster),
            13 => power_failure(cluster),
            14 => {
                isolate_leader(cluster);
                power_failure(cluster);
            }
            _ => self.lose_disk(cluster, machine),
        }
    }

    fn freeze_or_crash_leader(&mut self, cluster: &mut Cluster) {
        let Some(leader) = cluster.leader() else {
            return;
        };
        match cluster.random.random_bool(0.5) {
            true => cluster.freeze(leader),
            false => cluster.crash(leader),
        }
    }

    /// Loses a disk unless a repair is in progress: the group survives only one loss at a time.
    fn lose_disk(&mut self, cluster: &mut Cluster, machine: usize) {
        if self.repair.is_some() {
            return;
        }
        let lost = cluster.lose_disk(machine);
        let joining = cluster.machines[machine].member;
        if cluster.broken != BrokenRule::SameIdentityAfterLostDisk {
            self.repair = Some(Repair { lost, joining });
        }
    }

    /// Runs the next step of a repair: join as a learner, then replace the lost voter.
    pub fn advance_repair(&mut self, cluster: &mut Cluster) {
        let (Some(repair), Some(leader)) = (self.repair, cluster.leader()) else {
            return;
        };
        let Some(status) = cluster.machines[leader].status() else {
            return;
        };
        let membership = &status.membership;
        let listed = |list: &[millpass_proto::MemberAddress], member| {
            list.iter().any(|address| address.member == member)
        };
        let settled = membership.outgoing_voters.is_empty();
        if settled && listed(&membership.voters, repair.joining) {
            if cluster.machines[leader].holds_lease(cluster.now) {
                self.repair = None;
                self.repaired += 1;
            }
            return;
        }
        let change = match listed(&membership.learners, repair.joining) {
            false => MembershipChange::AddLearner(address(repair.joining)),
            true => MembershipChange::Promote {
                learner: repair.joining,
                replaces: listed(&membership.voters, repair.lost).then_some(repair.lost),
            },
        };
        cluster.change(change);
    }

    /// Ends the faults and completes an ongoing repair.
    pub fn finish(&mut self, cluster: &mut Cluster) {
        cluster.heal();
        for _ in 0..100 {
            if self.repair.is_none() {
                break;
            }
            self.advance_repair(cluster);
            cluster.run(50 * MILLISECOND);
        }
        cluster.settle();
    }
}
