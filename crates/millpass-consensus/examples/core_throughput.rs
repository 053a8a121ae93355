//! Measures the throughput of the consensus core, with members in one process and immediate delivery
//! of messages and write completions.
//!
//! `cargo run --release -p millpass-consensus --example core_throughput`

use millpass_consensus::{
    Consensus, ConsensusInput, ConsensusOutput, ConsensusSettings, RestoredLog, Role,
};
use millpass_proto::{
    ChangeId, Command, Duration, GroupId, HardState, LogPosition, MemberAddress, MemberId,
    Membership, ObjectChange, ObjectKey, ObjectKind, OperatorName, SnapshotMeta, Timestamp,
};
use std::collections::VecDeque;
use std::time::Instant;

const ENTRIES: u64 = 200_000;
const MEMBERS: [u64; 3] = [1, 3, 5];
/// Proposals per batch; messages are delivered after each batch.
const BATCHES: [u64; 3] = [1, 16, 128];

struct Group {
    members: Vec<Consensus>,
    inputs: VecDeque<(usize, ConsensusInput)>,
    leader: usize,
    committed: u64,
}

fn settings(member: u64) -> ConsensusSettings {
    ConsensusSettings {
        group: GroupId(1),
        member: MemberId(member),
        election_timeout: Duration::from_millis(300),
        heartbeat_interval: Duration::from_millis(50),
        lease_length: Duration::from_millis(200),
        stalled_disk_limit: Duration::from_secs(1),
        maximum_append_entries: 256,
        maximum_append_bytes: 384 * 1024,
        maximum_in_flight_bytes: 4 * 1024 * 1024,
        maximum_uncommitted_bytes: 16 * 1024 * 1024,
        snapshot_chunk_bytes: 64 * 1024,
        seed: member,
    }
}

fn restored(count: u64) -> RestoredLog {
    let voters = (1..=count).map(|member| MemberAddress {
        member: MemberId(member),
        zone: "zone".into(),
        peer_address: String::new(),
        administration_address: String::new(),
    });
    RestoredLog {
        hard_state: HardState {
            term: 0,
            voted_for: None,
        },
        snapshot: SnapshotMeta {
            last: LogPosition::ZERO,
            membership: Membership {
                voters: voters.collect(),
                outgoing_voters: Vec::new(),
                learners: Vec::new(),
            },
        },
        entries: Vec::new(),
    }
}

fn command(number: u64) -> Command {
    Command::ChangeObject(ObjectChange {
        key: ObjectKey {
            kind: ObjectKind::Model,
            name: "narrator-small".to_owned(),
        },
        expected_version: number,
        change_id: ChangeId(format!("change-{number}")),
        operator: OperatorName("operator".to_owned()),
        at_unix_millis: 0,
        spec: None,
    })
}

impl Group {
    fn new(count: u64) -> Self {
        let start = |member| Consensus::new(settings(member), restored(count), Timestamp::ZERO);
        Group {
            members: (1..=count).map(start).collect(),
            inputs: VecDeque::new(),
            leader: 0,
            committed: 0,
        }
    }

    fn step(&mut self, member: usize, now: Timestamp, input: ConsensusInput) {
        for output in self.members[member].step(now, input) {
            match output {
                ConsensusOutput::Send(envelope) => {
                    let to = envelope.to.0 as usize - 1;
                    self.inputs
                        .push_back((to, ConsensusInput::Receive(envelope)));
                }
                ConsensusOutput::Persist(request) => {
                    let write = request.write;
                    self.inputs
                        .push_back((member, ConsensusInput::Persisted { write }));
                }
                ConsensusOutput::Commit(entries) if member == self.leader => {
                    self.committed += entries.len() as u64;
                }
                _ => {}
            }
        }
    }

    fn drain(&mut self, now: Timestamp) {
        while let Some((member, input)) = self.inputs.pop_front() {
            self.step(member, now, input);
        }
    }

    fn elect(&mut self) -> Timestamp {
        let mut now = Timestamp::ZERO;
        loop {
            now = now + Duration::from_millis(5);
            for member in 0..self.members.len() {
                self.step(member, now, ConsensusInput::Tick);
            }
            self.drain(now);
            let leads = |member: &Consensus| member.status().role == Role::Leader;
            if let Some(leader) = self.members.iter().position(leads) {
                self.leader = leader;
                return now;
            }
        }
    }
}

fn main() {
    for count in MEMBERS {
        for batch in BATCHES {
            let mut group = Group::new(count);
            let now = group.elect();
            group.committed = 0;
            let started = Instant::now();
            let mut number = 0;
            while number < ENTRIES {
                for _ in 0..batch {
                    number += 1;
                    let input = ConsensusInput::Propose {
                        ticket: number,
                        command: command(number),
                    };
                    group.step(group.leader, now, input);
                }
                group.drain(now);
            }
            let seconds = started.elapsed().as_secs_f64();
            let rate = group.committed as f64 / seconds;
            println!(
                "members={count} batch={batch} committed={} entries_per_second={rate:.0}",
                group.committed
            );
        }
    }
}
