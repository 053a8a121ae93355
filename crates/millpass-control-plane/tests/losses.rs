//! Lost disks one after the other: how long a group takes until it bears the next loss, and what is read afterwards.
//!
//! What users saw: at the end of a day of lost disks the configuration that had been acknowledged was not read back.
//!
//! Order of events: a machine loses its disk, comes back under a new identity, asks to join and becomes a voter. Some
//! seconds later it loses the disk again and takes its own place a second time. The leader still remembers that the
//! first of the two identities asked, finds it in no membership, and takes it on as a learner. Nobody answers under
//! it. As it has the address of the living voter, its promotion in that voter's place is tried every half second, is
//! refused, and stands before every other repair for five seconds. Meanwhile the next machine loses its disk, as it may
//! four seconds after the first is back, and is not taken on; with the loss after that no majority is left for good.
//!
//! Cause: a request to join was remembered after it had been granted, and an address counted as taken over by
//! whichever identity came last, though nobody answered under it.
//!
//! Evidence: `a_machine_that_loses_its_disk_twice_holds_up_no_other` fails without the repair.

mod harness;

use harness::{Timing, World, address};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ControlInput, FleetSettings,
};
use millpass_proto::*;
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// Time between two looks of a process whether to ask to join, as the host has it.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Time without a leader after which a member asks to join, as the host has it.
const LEADERLESS: Duration = Duration::from_secs(2);
/// Step in which these tests look on.
const LOOK: Duration = Duration::from_millis(10);
/// A lost machine counts as lost for this long after its return; then the next may be lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// The same where two may be lost at once.
const CATCH_UP_OF_FIVE: Duration = Duration::from_secs(6);

/// Longest wait for a leader; never reached by a good run.
const PATIENCE: Duration = Duration::from_secs(20);
/// Runs of each case; by hand 100 or more.
const SEEDS: u64 = 8;
/// Moments of a repair at which its leader is killed.
const MOMENTS: u64 = 20;
/// Time that machines without power stay down.
const DOWN: Duration = Duration::from_millis(700);
/// Time after which all is well again once every process is back.
const RECOVERED: Duration = Duration::from_secs(12);
/// Longest time after which an operator who asks again and again must have been answered.
const CONTACT: Duration = Duration::from_secs(3);

/// Settings that the members run with.
const DEPLOYED: &str = include_str!("../../../deploy/control.toml");

/// A figure of the deployed settings, in milliseconds.
fn deployed_millis(name: &str) -> Duration {
    let value = DEPLOYED.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == name).then(|| value.trim().parse().expect("a number"))
    });
    Duration::from_millis(value.unwrap_or_else(|| panic!("{name} is not set")))
}

/// A group of documents, whose processes ask to join as the host's do.
struct Group {
    world: World,
    /// When each process asks next, and since when it has known no leader.
    asks: BTreeMap<MemberId, (Timestamp, Option<Timestamp>)>,
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
            asks: BTreeMap::new(),
            next_identity: 1 << 32,
            version: 0,
        };
        group.leader_within(PATIENCE);
        group
    }

    /// Lets time pass; processes that are no members or know no leader ask to join.
    fn run(&mut self, length: Duration) {
        let end = self.world.now + length;
        while self.world.now < end {
            self.world.run(LOOK);
            for id in self.world.up() {
                self.keep_house(id);
            }
        }
    }

    fn keep_house(&mut self, id: MemberId) {
        let now = self.world.now;
        let (next, leaderless) = self.asks.get(&id).copied().unwrap_or((now, None));
        if now < next {
            return;
        }
        let status = self.world.members[&id].plane.consensus_status();
        let leaderless = match status.leader {
            Some(_) => None,
            None => Some(leaderless.unwrap_or(now)),
        };
        self.asks.insert(id, (now + HOUSEKEEPING, leaderless));
        let membership = &status.membership;
        let is_member = [
            &membership.voters,
            &membership.outgoing_voters,
            &membership.learners,
        ]
        .iter()
        .any(|set| set.iter().any(|member| member.member == id));
        let is_leaderless = leaderless.is_some_and(|since| now.since(since) >= LEADERLESS);
        if is_member && !is_leaderless {
            return;
        }
        let own = self.world.members[&id].address.clone();
        for other in self.world.up() {
            if other != id {
                self.world.give(other, ControlInput::Join(own.clone()));
            }
        }
    }

    /// Runs until a member is in charge; the time that took.
    fn leader_within(&mut self, longest: Duration) -> Option<(MemberId, Duration)> {
        let start = self.world.now;
        while self.world.now.since(start) <= longest {
            if let Some(leader) = self.world.leader() {
                return Some((leader, self.world.now.since(start)));
            }
            self.run(LOOK);
        }
        None
    }

    /// Puts the next version and waits for its acknowledgement; the member that gave it.
    fn put(&mut self, longest: Duration) -> MemberId {
        self.version += 1;
        let start = self.world.now;
        loop {
            let Some((leader, _)) = self.leader_within(longest) else {
                panic!("no leader: {}", self.describe());
            };
            let before = self.world.answers.len();
            self.world.call(leader, put(self.version));
            for _ in 0..100 {
                if self.world.answers.len() > before {
                    break;
                }
                self.run(LOOK);
            }
            if let Some(AdministrationResponse::Done) = self.world.last_answer() {
                return leader;
            }
            assert!(self.world.now.since(start) <= longest, "no acknowledgement");
        }
    }

    /// What each member that is up believes.
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

    /// The machine of a member comes back with an empty disk; its new identity.
    fn come_back(&mut self, lost: MemberId) -> MemberId {
        self.next_identity += 1;
        let new = MemberId(self.next_identity);
        self.world.come_back_wiped(lost, new);
        // The process asks as soon as it has started.
        self.keep_house(new);
        new
    }

    /// A machine that the group has never heard of starts with an empty disk; its identity.
    fn newcomer(&mut self) -> MemberId {
        self.next_identity += 1;
        let new = MemberId(self.next_identity);
        self.world.boot_alone(MemberAddress {
            member: new,
            ..address(9)
        });
        self.keep_house(new);
        new
    }

    /// Whether the newest committed membership has the new identity in the old one's place.
    fn is_repaired(&self, lost: MemberId, new: MemberId) -> bool {
        let memberships = self.world.audit.memberships();
        let Some(newest) = memberships.last() else {
            return false;
        };
        let is_voter = |member| newest.voters.iter().any(|voter| voter.member == member);
        newest.outgoing_voters.is_empty() && is_voter(new) && !is_voter(lost)
    }

    /// Runs until the group bears the next loss; the time that took.
    fn repaired_within(
        &mut self,
        lost: MemberId,
        new: MemberId,
        longest: Duration,
    ) -> Option<Duration> {
        let start = self.world.now;
        while self.world.now.since(start) <= longest {
            if self.is_repaired(lost, new) {
                return Some(self.world.now.since(start));
            }
            self.run(LOOK);
        }
        None
    }

    /// Every process ends; those in `wiped` come back with empty disks, each up to `spread` after the first.
    fn all_lose_power(&mut self, wiped: &[MemberId], spread: u64) {
        let up: Vec<MemberId> = self.world.up().into_iter().collect();
        for id in &up {
            self.world.halt(*id);
        }
        self.world.network.under_way.clear();
        self.run(DOWN);
        let seed = self.world.seed;
        let starts = up
            .iter()
            .map(|id| (scatter(seed ^ id.0) % (spread + 1), *id));
        let starts: BTreeMap<(u64, MemberId), MemberId> =
            starts.map(|(at, id)| ((at, id), id)).collect();
        let mut passed = 0;
        for ((at, id), _) in starts {
            self.run(Duration::from_millis(at - passed));
            passed = at;
            if wiped.contains(&id) {
                self.come_back(id);
            } else {
                self.world.restart(id.0);
            }
        }
    }

    /// Asks every member in turn until one answers; what it answered, and the time that took.
    fn read_within(&mut self, longest: Duration) -> Option<(String, Duration)> {
        let start = self.world.now;
        while self.world.now.since(start) <= longest {
            for member in self.world.up() {
                if let Some(document) = self.read(member) {
                    return Some((document, self.world.now.since(start)));
                }
            }
            self.run(LOOK);
        }
        None
    }
}

/// Mixes the bits of a number.
fn scatter(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn put(version: u64) -> AdministrationRequest {
    AdministrationRequest::PutDocument(Box::new(PutDocument {
        document: DeploymentDocument {
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
        },
        source: ByteBuf::from(format!("version {version}").into_bytes()),
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

/// Who loses the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Who {
    Leader,
    Follower,
}

#[rstest]
fn a_lost_disk_is_made_good_before_the_next_loss_may_come(
    #[values(3, 5)] members: u64,
    #[values(Who::Leader, Who::Follower)] who: Who,
    #[values(10, 150)] delay: u64,
    #[values(300, 1_300, 3_000)] down_millis: u64,
) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, delay);
        let leader = group.put(PATIENCE);
        let lost = match who {
            Who::Leader => leader,
            Who::Follower => group.world.follower(leader),
        };
        group.world.halt(lost);
        group.run(Duration::from_millis(down_millis));
        let new = group.come_back(lost);
        let time = group
            .repaired_within(lost, new, Duration::from_secs(30))
            .unwrap_or_else(|| panic!("seed {seed}: never repaired"));
        times.push(time.as_millis());
    }
    println!(
        "{members} {who:?} delay {delay} down {down_millis}: {}",
        quantiles(times.clone())
    );
    let worst = times.into_iter().max().expect("times");
    assert!(worst < CATCH_UP.as_millis(), "{worst} ms");
}

/// What ends the day.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Last {
    /// Every machine loses power.
    Power,
    /// The member that acknowledged loses its disk, all others lose power.
    DiskAndPower,
    /// The member that acknowledged loses its disk, the others go on.
    Disk,
}

#[rstest]
fn the_newest_acknowledged_document_is_read_after_disks_were_lost_in_turn(
    #[values(3, 5)] members: u64,
    #[values(Last::Power, Last::DiskAndPower, Last::Disk)] last: Last,
    #[values(10, 60)] delay: u64,
    #[values(0, 300, 1_000)] spread: u64,
) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, delay);
        for round in 0..4 {
            let leader = group.put(PATIENCE);
            let lost = match scatter(seed * 8 + round) % 3 {
                0 => group.world.follower(leader),
                _ => leader,
            };
            group.world.halt(lost);
            group.run(Duration::from_millis(scatter(seed + round) % 3_000));
            group.come_back(lost);
            group.run(CATCH_UP);
        }
        let leader = group.put(PATIENCE);
        match last {
            Last::Power => group.all_lose_power(&[], spread),
            Last::DiskAndPower => group.all_lose_power(&[leader], spread),
            Last::Disk => {
                group.world.halt(leader);
                group.run(DOWN);
                group.come_back(leader);
            }
        }
        let (document, time) = group
            .read_within(RECOVERED)
            .unwrap_or_else(|| panic!("seed {seed}: nothing is read: {}", group.describe()));
        assert_eq!(
            document,
            format!("version {}", group.version),
            "seed {seed}"
        );
        times.push(time.as_millis());
    }
    println!(
        "{members} {last:?} delay {delay} spread {spread}: {}",
        quantiles(times.clone())
    );
    let worst = times.into_iter().max().expect("times");
    assert!(worst < CONTACT.as_millis(), "{worst} ms");
}

#[rstest]
fn a_machine_that_loses_its_disk_twice_holds_up_no_other(#[values(3, 5)] members: u64) {
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, 10);
        let leader = group.put(PATIENCE);
        let mut lost = group.world.follower(leader);
        for _ in 0..2 {
            group.world.halt(lost);
            group.run(DOWN);
            let new = group.come_back(lost);
            let time = group.repaired_within(lost, new, CATCH_UP);
            assert!(time.is_some(), "seed {seed}: {}", group.describe());
            group.run(Duration::from_secs(1));
            lost = new;
        }
        let leader = group.put(PATIENCE);
        group.world.halt(leader);
        group.run(DOWN);
        let new = group.come_back(leader);
        let time = group.repaired_within(leader, new, CATCH_UP);
        assert!(time.is_some(), "seed {seed}: {}", group.describe());
    }
}

#[rstest]
fn a_leader_killed_at_any_moment_of_the_repair_only_delays_it(
    #[values(3, 5)] members: u64,
    #[values(10, 100)] delay: u64,
) {
    let mut times = Vec::new();
    for seed in 0..MOMENTS {
        let mut group = Group::new(members, seed, delay);
        let leader = group.put(PATIENCE);
        let lost = group.world.follower(leader);
        group.world.halt(lost);
        group.run(DOWN);
        let new = group.come_back(lost);
        // Twenty moments over the length of an undisturbed repair.
        group.run(Duration::from_millis(seed * 40));
        group.world.halt(leader);
        group.run(DOWN);
        group.world.restart(leader.0);
        let time = group
            .repaired_within(lost, new, RECOVERED)
            .unwrap_or_else(|| panic!("seed {seed}: {}", group.describe()));
        times.push(time.as_millis());
        let (document, _) = group.read_within(RECOVERED).expect("a read");
        assert_eq!(document, "version 1", "seed {seed}");
    }
    println!(
        "{members} killed during repair, delay {delay}: {}",
        quantiles(times)
    );
}

/// When the machine comes that takes the place of one that is gone for good.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Successor {
    /// Some milliseconds after the other is gone.
    After(u64),
    /// A second before the other is asked to stop.
    Before,
}

#[rstest]
fn a_machine_gone_for_good_is_replaced_before_the_next_loss_may_come(
    #[values(3, 5)] members: u64,
    #[values(Who::Leader, Who::Follower)] who: Who,
    #[values(10, 100)] delay: u64,
    #[values(Successor::After(500), Successor::After(1_000), Successor::Before)] comes: Successor,
) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut group = Group::new(members, seed, delay);
        let leader = group.put(PATIENCE);
        let lost = match who {
            Who::Leader => leader,
            Who::Follower => group.world.follower(leader),
        };
        let (new, started) = match comes {
            Successor::After(millis) => {
                group.world.halt(lost);
                group.run(Duration::from_millis(millis));
                (group.newcomer(), group.world.now)
            }
            Successor::Before => {
                let started = (group.newcomer(), group.world.now);
                group.run(Duration::from_secs(1));
                group.world.give(lost, ControlInput::Drain);
                group.run(DOWN);
                group.world.halt(lost);
                started
            }
        };
        let time = group.repaired_within(lost, new, RECOVERED);
        assert!(time.is_some(), "seed {seed}: {}", group.describe());
        times.push(group.world.now.since(started).as_millis());
    }
    println!(
        "{members} gone {who:?} delay {delay} {comes:?}: {}",
        quantiles(times.clone())
    );
    let worst = times.into_iter().max().expect("times");
    let longest = match members {
        5 => CATCH_UP_OF_FIVE,
        _ => CATCH_UP,
    };
    assert!(worst < longest.as_millis(), "{worst} ms");
}
