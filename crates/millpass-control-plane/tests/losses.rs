//! Successive disk losses: time until the group tolerates the next loss, and reads afterwards.
//! Guards against adding a learner for a stale join request, left by a machine that lost its disk
//! twice: it never responds, and repair of other members would wait for it until the majority is
//! lost.

mod harness;

use harness::{Timing, World, address};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ControlInput, FleetSettings,
};
use millpass_proto::*;
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval at which a process decides whether to request to join, as in the host.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a leader after which a member requests to join, as in the host.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the tests check the group.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a lost machine must be repaired; the next one may be lost afterwards.
const REPAIR_DEADLINE: Duration = Duration::from_secs(4);
/// The same where two machines may be lost at once.
const REPAIR_DEADLINE_OF_FIVE: Duration = Duration::from_secs(6);

/// Maximum wait for a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);
const SEEDS: u64 = 8;
/// Points of a repair at which the leader is killed.
const KILL_POINTS: u64 = 20;
/// Time for which machines without power stay down.
const DOWNTIME: Duration = Duration::from_millis(700);
/// Time within which the group recovers once all processes are running.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);
/// Maximum time until an operator who retries receives a response.
const READ_DEADLINE: Duration = Duration::from_secs(3);

/// Settings of deployed members.
const DEPLOYED_SETTINGS: &str = include_str!("../../../deploy/control.toml");

/// Returns a deployed setting, in milliseconds.
fn deployed_millis(name: &str) -> Duration {
    let value = DEPLOYED_SETTINGS.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == name).then(|| value.trim().parse().expect("a number"))
    });
    Duration::from_millis(value.unwrap_or_else(|| panic!("{name} is not set")))
}

/// A group with documents, whose processes request to join as the host's do.
struct Group {
    world: World,
    /// For each process, its next check whether to join and since when it has had no leader.
    join_checks: BTreeMap<MemberId, (Timestamp, Option<Timestamp>)>,
    next_identity: u64,
    version: u64,
}

impl Group {
    fn new(members: u64, seed: u64, longest_delay_millis: u64) -> Group {
        let mut world = World::new(0);
        world.fleet = Some(FleetSettings::default());
        world.snapshot_entries = 3;
        world.target_voters = members as usize;
        world.seed = seed * 1_000_003;
        world.timing = Timing {
            election_timeout: deployed_millis("election_timeout_ms"),
            heartbeat_interval: deployed_millis("heartbeat_ms"),
            lease_length: deployed_millis("lease_ms"),
        };
        world.replacement_delay = deployed_millis("member_replacement_delay_ms");
        world.network.seed = seed;
        world.network.delayed = 100;
        world.network.longest_delay_millis = longest_delay_millis;
        world.boot_voters(members);
        let mut group = Group {
            world,
            join_checks: BTreeMap::new(),
            next_identity: 1 << 32,
            version: 0,
        };
        group.leader_within(LEADER_TIMEOUT);
        group
    }

    /// Advances time; processes that are not members or have no leader request to join.
    fn run(&mut self, length: Duration) {
        let end = self.world.now + length;
        while self.world.now < end {
            self.world.run(POLL_INTERVAL);
            for id in self.world.up() {
                self.join_if_needed(id);
            }
        }
    }

    fn join_if_needed(&mut self, id: MemberId) {
        let now = self.world.now;
        let (next, leaderless) = self.join_checks.get(&id).copied().unwrap_or((now, None));
        if now < next {
            return;
        }
        let status = self.world.members[&id].plane.consensus_status();
        let leaderless = match status.leader {
            Some(_) => None,
            None => Some(leaderless.unwrap_or(now)),
        };
        self.join_checks
            .insert(id, (now + JOIN_CHECK_INTERVAL, leaderless));
        let membership = &status.membership;
        let is_member = [
            &membership.voters,
            &membership.outgoing_voters,
            &membership.learners,
        ]
        .iter()
        .any(|set| set.iter().any(|member| member.member == id));
        let is_leaderless = leaderless.is_some_and(|since| now.since(since) >= LEADERLESS_TIMEOUT);
        if is_member && !is_leaderless {
            return;
        }
        let own = self.world.members[&id].address.clone();
        for other in self.world.up() {
            if other != id {
                self.world.input(other, ControlInput::Join(own.clone()));
            }
        }
    }

    /// Runs until a member is leading. Returns it and the time taken.
    fn leader_within(&mut self, timeout: Duration) -> Option<(MemberId, Duration)> {
        let start = self.world.now;
        while self.world.now.since(start) <= timeout {
            if let Some(leader) = self.world.leader() {
                return Some((leader, self.world.now.since(start)));
            }
            self.run(POLL_INTERVAL);
        }
        None
    }

    /// Puts the next version and waits for the acknowledgement. Returns the member that sent it.
    fn put(&mut self, timeout: Duration) -> MemberId {
        self.version += 1;
        let start = self.world.now;
        loop {
            let Some((leader, _)) = self.leader_within(timeout) else {
                panic!("no leader: {}", self.describe());
            };
            let before = self.world.responses.len();
            self.world.call(leader, put(self.version));
            for _ in 0..100 {
                if self.world.responses.len() > before {
                    break;
                }
                self.run(POLL_INTERVAL);
            }
            if let Some(AdministrationResponse::Done) = self.world.last_response() {
                return leader;
            }
            assert!(self.world.now.since(start) <= timeout, "no acknowledgement");
        }
    }

    /// Describes the observed state of each running member.
    fn describe(&self) -> String {
        let line = |id: &MemberId| {
            let status = self.world.members[id].plane.consensus_status();
            let names = |set: &[MemberAddress]| -> Vec<u64> {
                set.iter().map(|member| member.member.0).collect()
            };
            format!(
                "\n{id}: {:?} term {} last {} commit {} voters {:?} outgoing {:?} learners {:?}",
                status.role,
                status.term,
                status.last,
                status.commit,
                names(&status.membership.voters),
                names(&status.membership.outgoing_voters),
                names(&status.membership.learners),
            )
        };
        self.world.up().iter().map(line).collect()
    }

    fn read(&mut self, member: MemberId) -> Option<String> {
        match self.world.call(member, AdministrationRequest::GetDocument) {
            Some(AdministrationResponse::DocumentSource(Some(source))) => {
                Some(String::from_utf8(source).expect("text"))
            }
            _ => None,
        }
    }

    /// Restarts a member's machine with an empty disk. Returns its new identity.
    fn restart_wiped(&mut self, lost: MemberId) -> MemberId {
        self.next_identity += 1;
        let new = MemberId(self.next_identity);
        self.world.restart_wiped(lost, new);
        // The process requests to join as soon as it starts.
        self.join_if_needed(new);
        new
    }

    /// Starts a new machine with an empty disk. Returns its identity.
    fn start_new_machine(&mut self) -> MemberId {
        self.next_identity += 1;
        let new = MemberId(self.next_identity);
        self.world.boot_outside_group(MemberAddress {
            member: new,
            ..address(9)
        });
        self.join_if_needed(new);
        new
    }

    /// Returns true if the newest committed membership has the new identity in place of the old
    /// one.
    fn is_repaired(&self, lost: MemberId, new: MemberId) -> bool {
        let memberships = self.world.audit.memberships();
        let Some(newest) = memberships.last() else {
            return false;
        };
        let is_voter = |member| newest.voters.iter().any(|voter| voter.member == member);
        newest.outgoing_voters.is_empty() && is_voter(new) && !is_voter(lost)
    }

    /// Runs until the group tolerates the next loss. Returns the time taken.
    fn repaired_within(
        &mut self,
        lost: MemberId,
        new: MemberId,
        timeout: Duration,
    ) -> Option<Duration> {
        let start = self.world.now;
        while self.world.now.since(start) <= timeout {
            if self.is_repaired(lost, new) {
                return Some(self.world.now.since(start));
            }
            self.run(POLL_INTERVAL);
        }
        None
    }

    /// Stops every process and restarts each up to `spread` ms after the first; those in `wiped`
    /// with an empty disk.
    fn all_lose_power(&mut self, wiped: &[MemberId], spread: u64) {
        let up: Vec<MemberId> = self.world.up().into_iter().collect();
        for id in &up {
            self.world.halt(*id);
        }
        self.world.network.under_way.clear();
        self.run(DOWNTIME);
        let seed = self.world.seed;
        let starts = up.iter().map(|id| (mix(seed ^ id.0) % (spread + 1), *id));
        let starts: BTreeMap<(u64, MemberId), MemberId> =
            starts.map(|(at, id)| ((at, id), id)).collect();
        let mut elapsed = 0;
        for ((at, id), _) in starts {
            self.run(Duration::from_millis(at - elapsed));
            elapsed = at;
            if wiped.contains(&id) {
                self.restart_wiped(id);
            } else {
                self.world.restart(id.0);
            }
        }
    }

    /// Queries all members in turn until one responds. Returns the response and the time taken.
    fn read_within(&mut self, timeout: Duration) -> Option<(String, Duration)> {
        let start = self.world.now;
        while self.world.now.since(start) <= timeout {
            for member in self.world.up() {
                if let Some(document) = self.read(member) {
                    return Some((document, self.world.now.since(start)));
                }
            }
            self.run(POLL_INTERVAL);
        }
        None
    }
}

fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn put(version: u64) -> AdministrationRequest {
    AdministrationRequest::PutDocument(Box::new(PutDocument {
        document: Arc::new(DeploymentDocument {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: CallerLimits {
                header_bytes: 0,
                body_bytes: 0,
                header_millis: 0,
                idle_millis: 0,
            },
            tenants: Vec::new(),
        }),
        source: Arc::new(ByteBuf::from(format!("version {version}").into_bytes())),
    }))
}

fn quantiles(mut times: Vec<u128>) -> String {
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    format!(
        "n={} p50={} p90={} p99={} max={}",
        times.len(),
        at(50),
        at(90),
        at(99),
        at(100)
    )
}

/// The member that loses its disk.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LostMember {
    Leader,
    Follower,
}

#[rstest]
fn lost_disk_is_repaired_before_the_next_loss(
    #[values(3, 5)] members: u64,
    #[values(LostMember::Leader, LostMember::Follower)] lost_member: LostMember,
    #[values(10, 150)] delay: u64,
    #[values(300, 1_300, 3_000)] down_millis: u64,
) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, delay);
        let leader = group.put(LEADER_TIMEOUT);
        let lost = match lost_member {
            LostMember::Leader => leader,
            LostMember::Follower => group.world.follower(leader),
        };
        group.world.halt(lost);
        group.run(Duration::from_millis(down_millis));
        let new = group.restart_wiped(lost);
        let time = group
            .repaired_within(lost, new, Duration::from_secs(30))
            .unwrap_or_else(|| panic!("seed {seed}: never repaired"));
        times.push(time.as_millis());
    }
    println!(
        "{members} {lost_member:?} delay {delay} down {down_millis}: {}",
        quantiles(times.clone())
    );
    let maximum = times.into_iter().max().expect("times");
    assert!(maximum < REPAIR_DEADLINE.as_millis(), "{maximum} ms");
}

/// The last failure of the scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LastFailure {
    /// Every machine loses power.
    Power,
    /// The member that acknowledged loses its disk, and all others lose power.
    DiskAndPower,
    /// The member that acknowledged loses its disk, and the others keep running.
    Disk,
}

#[rstest]
fn newest_document_survives_successive_disk_losses(
    #[values(3, 5)] members: u64,
    #[values(LastFailure::Power, LastFailure::DiskAndPower, LastFailure::Disk)]
    last_failure: LastFailure,
    #[values(10, 60)] delay: u64,
    #[values(0, 300, 1_000)] spread: u64,
) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, delay);
        for round in 0..4 {
            let leader = group.put(LEADER_TIMEOUT);
            let lost = match mix(seed * 8 + round) % 3 {
                0 => group.world.follower(leader),
                _ => leader,
            };
            group.world.halt(lost);
            group.run(Duration::from_millis(mix(seed + round) % 3_000));
            group.restart_wiped(lost);
            group.run(REPAIR_DEADLINE);
        }
        let leader = group.put(LEADER_TIMEOUT);
        match last_failure {
            LastFailure::Power => group.all_lose_power(&[], spread),
            LastFailure::DiskAndPower => group.all_lose_power(&[leader], spread),
            LastFailure::Disk => {
                group.world.halt(leader);
                group.run(DOWNTIME);
                group.restart_wiped(leader);
            }
        }
        let (document, time) = group
            .read_within(RECOVERY_DEADLINE)
            .unwrap_or_else(|| panic!("seed {seed}: no document was read: {}", group.describe()));
        assert_eq!(
            document,
            format!("version {}", group.version),
            "seed {seed}"
        );
        times.push(time.as_millis());
    }
    println!(
        "{members} {last_failure:?} delay {delay} spread {spread}: {}",
        quantiles(times.clone())
    );
    let maximum = times.into_iter().max().expect("times");
    assert!(maximum < READ_DEADLINE.as_millis(), "{maximum} ms");
}

#[rstest]
fn second_disk_loss_of_a_machine_does_not_delay_other_repairs(#[values(3, 5)] members: u64) {
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, 10);
        let leader = group.put(LEADER_TIMEOUT);
        let mut lost = group.world.follower(leader);
        for _ in 0..2 {
            group.world.halt(lost);
            group.run(DOWNTIME);
            let new = group.restart_wiped(lost);
            let time = group.repaired_within(lost, new, REPAIR_DEADLINE);
            assert!(time.is_some(), "seed {seed}: {}", group.describe());
            group.run(Duration::from_secs(1));
            lost = new;
        }
        let leader = group.put(LEADER_TIMEOUT);
        group.world.halt(leader);
        group.run(DOWNTIME);
        let new = group.restart_wiped(leader);
        let time = group.repaired_within(leader, new, REPAIR_DEADLINE);
        assert!(time.is_some(), "seed {seed}: {}", group.describe());
    }
}

#[rstest]
fn repair_completes_after_the_leader_is_killed_at_any_point(
    #[values(3, 5)] members: u64,
    #[values(10, 100)] delay: u64,
) {
    let mut times = Vec::new();
    for seed in 0..KILL_POINTS {
        let mut group = Group::new(members, seed, delay);
        let leader = group.put(LEADER_TIMEOUT);
        let lost = group.world.follower(leader);
        group.world.halt(lost);
        group.run(DOWNTIME);
        let new = group.restart_wiped(lost);
        // Points spread over the duration of an undisturbed repair.
        group.run(Duration::from_millis(seed * 40));
        group.world.halt(leader);
        group.run(DOWNTIME);
        group.world.restart(leader.0);
        let time = group
            .repaired_within(lost, new, RECOVERY_DEADLINE)
            .unwrap_or_else(|| panic!("seed {seed}: {}", group.describe()));
        times.push(time.as_millis());
        let (document, _) = group.read_within(RECOVERY_DEADLINE).expect("a read");
        assert_eq!(document, "version 1", "seed {seed}");
    }
    println!(
        "{members} killed during repair, delay {delay}: {}",
        quantiles(times)
    );
}

/// When the replacement of a removed machine starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Successor {
    /// Milliseconds after the other one has stopped.
    After(u64),
    /// One second before the other one is asked to stop.
    Before,
}

#[rstest]
fn removed_machine_is_replaced_before_the_next_loss(
    #[values(3, 5)] members: u64,
    #[values(LostMember::Leader, LostMember::Follower)] lost_member: LostMember,
    #[values(10, 100)] delay: u64,
    #[values(Successor::After(500), Successor::After(1_000), Successor::Before)]
    successor: Successor,
) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, delay);
        let leader = group.put(LEADER_TIMEOUT);
        let lost = match lost_member {
            LostMember::Leader => leader,
            LostMember::Follower => group.world.follower(leader),
        };
        let (new, started) = match successor {
            Successor::After(millis) => {
                group.world.halt(lost);
                group.run(Duration::from_millis(millis));
                (group.start_new_machine(), group.world.now)
            }
            Successor::Before => {
                let started = (group.start_new_machine(), group.world.now);
                group.run(Duration::from_secs(1));
                group.world.input(lost, ControlInput::Drain);
                group.run(DOWNTIME);
                group.world.halt(lost);
                started
            }
        };
        let time = group.repaired_within(lost, new, RECOVERY_DEADLINE);
        assert!(time.is_some(), "seed {seed}: {}", group.describe());
        times.push(group.world.now.since(started).as_millis());
    }
    println!(
        "{members} gone {lost_member:?} delay {delay} {successor:?}: {}",
        quantiles(times.clone())
    );
    let maximum = times.into_iter().max().expect("times");
    let deadline = match members {
        5 => REPAIR_DEADLINE_OF_FIVE,
        _ => REPAIR_DEADLINE,
    };
    assert!(maximum < deadline.as_millis(), "{maximum} ms");
}
