//! Gateways and leaders in virtual time: gateways are killed between a break and the return, leaders change, process
//! runs of other versions take over ids, and announcements of them arrive late.

use millpass_origins::{BegunSettings, BegunStreams, OriginTable, TableSettings, stream_key};
use millpass_proto::{
    Duration, InstanceId, OriginAnswer, OriginFinding, StreamKey, StreamOrigin, StreamReport,
    Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 4_000;
const INSTANCES: usize = 8;
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Longest time from the start of a run until a process learns of it.
const MAX_ANNOUNCE_DELAY_MILLIS: u64 = 4_000;
const MAX_TRANSIT_MILLIS: u64 = 20;
const PATIENCE: Duration = Duration::from_secs(8);

/// Faults, as probabilities of one in so many steps.
#[derive(Clone, Copy, Debug)]
struct Plan {
    gateways: usize,
    kill_gateway: u32,
    change_leader: u32,
    replace_run: u32,
    /// Whether a new run keeps the id of the one before.
    reuses_ids: bool,
}

struct Run {
    number: u64,
    software: &'static str,
    started_at: Timestamp,
}

struct Instance {
    id: String,
    run: Run,
    earlier: Vec<Run>,
}

impl Instance {
    /// Returns the newest run of which a process has learnt that learns after this delay.
    fn known_run(&self, now: Timestamp, delay: Duration) -> &Run {
        let learnt = |run: &&Run| run.number == 1 || run.started_at + delay <= now;
        let runs = std::iter::once(&self.run).chain(self.earlier.iter().rev());
        runs.filter(learnt)
            .max_by_key(|run| run.number)
            .expect("the first run")
    }

    fn run_id(&self, number: u64) -> InstanceId {
        InstanceId::of_run(&self.id, number)
    }
}

struct Gateway {
    streams: BegunStreams,
    /// Processes of this gateway that were killed.
    process: u32,
    down_until: Timestamp,
    connected_at: Timestamp,
    connected: bool,
    announce_delay: Duration,
    /// Newest run of each instance that it has learnt of.
    learnt: Vec<u64>,
}

struct Stream {
    key: StreamKey,
    software: &'static str,
    instance: usize,
    run: u64,
    began_at: Timestamp,
}

struct Return {
    stream: usize,
    gateway: usize,
    process: u32,
    since: Timestamp,
}

enum Message {
    Report(u32, usize, StreamReport),
    Answers(usize, u32, Vec<OriginAnswer>),
}

struct World {
    plan: Plan,
    random: ChaCha8Rng,
    now: Timestamp,
    instances: Vec<Instance>,
    gateways: Vec<Gateway>,
    leader: Option<OriginTable>,
    leader_number: u32,
    leader_from: Timestamp,
    leader_delay: Duration,
    leader_learnt: Vec<u64>,
    /// When it learnt of the newest run of each instance.
    leader_learnt_at: Vec<Timestamp>,
    messages: Vec<(Timestamp, Message)>,
    streams: Vec<Stream>,
    returns: Vec<Return>,
    gone_on: usize,
    refused: usize,
}

impl World {
    fn new(plan: Plan, seed: u64) -> World {
        let now = Timestamp::ZERO + Duration::from_secs(100);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let instances = (0..INSTANCES).map(|number| Instance {
            id: format!("i-{number}"),
            run: Run {
                number: 1,
                software: VERSIONS[number % 2],
                started_at: Timestamp::ZERO,
            },
            earlier: Vec::new(),
        });
        let gateways = (0..plan.gateways).map(|_| Gateway {
            streams: BegunStreams::new(BegunSettings::default()),
            process: 0,
            down_until: Timestamp::ZERO,
            connected_at: now,
            connected: false,
            announce_delay: announce_delay(&mut random),
            learnt: vec![1; INSTANCES],
        });
        World {
            plan,
            now,
            instances: instances.collect(),
            gateways: gateways.collect(),
            leader: Some(OriginTable::new(now, TableSettings::default())),
            leader_number: 1,
            leader_from: now,
            leader_delay: announce_delay(&mut random),
            leader_learnt: vec![1; INSTANCES],
            leader_learnt_at: vec![Timestamp::ZERO; INSTANCES],
            messages: Vec::new(),
            streams: Vec::new(),
            returns: Vec::new(),
            gone_on: 0,
            refused: 0,
            random,
        }
    }

    fn happens(&mut self, one_in: u32) -> bool {
        one_in > 0 && self.random.random_range(0..one_in) == 0
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.happens(self.plan.kill_gateway) {
            self.kill_gateway();
        }
        if self.happens(self.plan.change_leader) {
            self.change_leader();
        }
        if self.happens(self.plan.replace_run) {
            self.replace_run();
        }
        self.learn();
        self.connect();
        self.deliver();
        if self.happens(2) {
            self.begin_stream();
        }
        if self.happens(4) {
            self.begin_return();
        }
        self.send_reports();
        self.decide_returns();
    }

    fn kill_gateway(&mut self) {
        let number = self.random.random_range(0..self.gateways.len());
        let pause = Duration::from_millis(self.random.random_range(100..1_500));
        let learnt = self.known_runs(self.gateways[number].announce_delay);
        let gateway = &mut self.gateways[number];
        gateway.streams = BegunStreams::new(BegunSettings::default());
        gateway.process += 1;
        gateway.down_until = self.now + pause;
        gateway.connected = false;
        gateway.connected_at = gateway.down_until + Duration::from_millis(50);
        gateway.learnt = learnt;
        self.returns.retain(|it| it.gateway != number);
    }

    fn change_leader(&mut self) {
        self.leader = None;
        let pause = Duration::from_millis(self.random.random_range(50..1_000));
        self.leader_from = self.now + pause;
        self.messages.clear();
        for gateway in &mut self.gateways {
            gateway.streams.disconnected();
            gateway.connected = false;
            let delay = Duration::from_millis(self.random.random_range(5..500));
            gateway.connected_at = self.leader_from.max(gateway.down_until) + delay;
        }
    }

    /// A run ends, and another one of any version takes its place, under the same id or a new one.
    fn replace_run(&mut self) {
        let place = self.random.random_range(0..INSTANCES);
        let software = VERSIONS[self.random.random_range(0..VERSIONS.len())];
        if !self.plan.reuses_ids {
            let id = format!("i-{place}-{}", self.now.since(Timestamp::ZERO).as_millis());
            self.instances[place] = Instance {
                id,
                run: Run {
                    number: 1,
                    software,
                    started_at: self.now,
                },
                earlier: Vec::new(),
            };
            return;
        }
        let run = Run {
            number: self.instances[place].run.number + 1,
            software,
            started_at: self.now,
        };
        let instance = &mut self.instances[place];
        instance
            .earlier
            .push(std::mem::replace(&mut instance.run, run));
    }

    fn known_runs(&self, delay: Duration) -> Vec<u64> {
        let known = |instance: &Instance| instance.known_run(self.now, delay).number;
        self.instances.iter().map(known).collect()
    }

    fn learn(&mut self) {
        for number in 0..self.gateways.len() {
            let known = self.known_runs(self.gateways[number].announce_delay);
            for (place, run) in known.into_iter().enumerate() {
                let gateway = &mut self.gateways[number];
                if gateway.learnt[place] < run {
                    let began = self.instances[place].run_id(run);
                    gateway.streams.run_began(&began);
                }
                gateway.learnt[place] = run;
            }
        }
        let known = self.known_runs(self.leader_delay);
        for (place, run) in known.into_iter().enumerate() {
            let began = self.instances[place].run_id(run);
            if let Some(leader) = &mut self.leader
                && self.leader_learnt[place] < run
            {
                leader.run_began(&began);
            }
            if self.leader_learnt[place] < run {
                self.leader_learnt_at[place] = self.now;
            }
            self.leader_learnt[place] = run;
        }
    }

    fn connect(&mut self) {
        if self.leader.is_none() && self.now >= self.leader_from {
            self.leader = Some(OriginTable::new(self.now, TableSettings::default()));
            self.leader_number += 1;
        }
        for gateway in &mut self.gateways {
            let is_due = !gateway.connected && self.now >= gateway.connected_at;
            if is_due && self.leader.is_some() && self.now >= gateway.down_until {
                gateway.connected = true;
                gateway.streams.connected();
            }
        }
    }

    fn begin_stream(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        if self.now < self.gateways[gateway].down_until {
            return;
        }
        let place = self.random.random_range(0..INSTANCES);
        let instance = &self.instances[place];
        // The request names the run that the gateway knows; the one that is there answers.
        let believed = instance.known_run(self.now, self.gateways[gateway].announce_delay);
        let origin = StreamOrigin {
            service: "web".into(),
            instance: instance.run_id(believed.number),
            software: believed.software.into(),
        };
        let key = stream_key(None, "route", &format!("attempt-{}", self.streams.len()));
        let deadline = self.now + PATIENCE;
        let streams = &mut self.gateways[gateway].streams;
        streams.begin(self.now, key.clone(), Some(origin), None, deadline);
        self.streams.push(Stream {
            key,
            software: instance.run.software,
            instance: place,
            run: instance.run.number,
            began_at: self.now,
        });
    }

    fn begin_return(&mut self) {
        let recent = self.streams.len().saturating_sub(400);
        if recent == self.streams.len() {
            return;
        }
        let stream = self.random.random_range(recent..self.streams.len());
        let gateway = self.random.random_range(0..self.gateways.len());
        let is_late = self.now.since(self.streams[stream].began_at) > PATIENCE;
        if is_late || self.now < self.gateways[gateway].down_until {
            return;
        }
        let key = self.streams[stream].key.clone();
        self.gateways[gateway].streams.begin_lookup(&key);
        self.returns.push(Return {
            stream,
            gateway,
            process: self.gateways[gateway].process,
            since: self.now,
        });
    }

    fn transit(&mut self) -> Timestamp {
        self.now + Duration::from_millis(self.random.random_range(1..MAX_TRANSIT_MILLIS))
    }

    fn send_reports(&mut self) {
        let gateways = u32::try_from(self.gateways.len()).expect("few");
        for number in 0..self.gateways.len() {
            if !self.gateways[number].connected {
                continue;
            }
            let report = self.gateways[number].streams.report(self.now, gateways);
            if let Some(report) = report {
                let at = self.transit();
                let message = Message::Report(self.leader_number, number, report);
                self.messages.push((at, message));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        let mut due: Vec<(Timestamp, Message)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            match message {
                Message::Report(leader_number, gateway, report) => {
                    self.handle_report(leader_number, gateway, report);
                }
                Message::Answers(gateway, process, answers) => {
                    let gateway = &mut self.gateways[gateway];
                    if gateway.process == process {
                        gateway.streams.apply(answers);
                    }
                }
            }
        }
    }

    fn handle_report(&mut self, leader_number: u32, gateway: usize, report: StreamReport) {
        if leader_number != self.leader_number {
            return;
        }
        let (instances, learnt) = (&self.instances, &self.leader_learnt);
        let is_replaced = |run: &InstanceId| {
            instances.iter().zip(learnt).any(|(instance, learnt)| {
                let known = instance.run_id(*learnt);
                known.name() == run.name() && run.is_before(&known)
            })
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        let answers = leader.handle(self.now, report, is_replaced);
        if !answers.is_empty() {
            let at = self.transit();
            let process = self.gateways[gateway].process;
            self.messages
                .push((at, Message::Answers(gateway, process, answers)));
        }
    }

    fn decide_returns(&mut self) {
        let gateways = u32::try_from(self.gateways.len()).expect("few");
        let returns = std::mem::take(&mut self.returns);
        for it in returns {
            let stream = &self.streams[it.stream];
            let gateway = &mut self.gateways[it.gateway];
            if gateway.process != it.process {
                continue;
            }
            let finding = gateway
                .streams
                .finding(self.now, it.since, &stream.key, gateways);
            let Some(finding) = finding else {
                self.returns.push(it);
                continue;
            };
            gateway.streams.end_lookup(&stream.key);
            match finding {
                OriginFinding::Known(origin) => {
                    let is_true = origin.software.as_str() == stream.software;
                    // Nobody who decided knew of the run that answered; an answer takes two transits.
                    let learnt_for = self.now.since(self.leader_learnt_at[stream.instance]);
                    let is_hidden = gateway.learnt[stream.instance] < stream.run
                        || self.leader_learnt[stream.instance] < stream.run
                        || learnt_for < Duration::from_millis(2 * MAX_TRANSIT_MILLIS) + STEP
                        || self.leader.is_none();
                    assert!(
                        is_true || (self.plan.reuses_ids && is_hidden),
                        "stream of {} goes on at {origin:?}",
                        stream.software
                    );
                    self.gone_on += 1;
                }
                OriginFinding::Contradicted
                | OriginFinding::Unknown
                | OriginFinding::Unsettled(_)
                | OriginFinding::Unproven => {
                    self.refused += 1;
                }
            }
        }
    }
}

fn announce_delay(random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(random.random_range(0..MAX_ANNOUNCE_DELAY_MILLIS))
}

fn play(plan: Plan, seed: u64) -> World {
    let mut world = World::new(plan, seed);
    for _ in 0..STEPS {
        world.step();
    }
    world
}

/// Seeds to play: `FIRST..LAST` in `MILLPASS_SEEDS`, without the last one.
fn seeds() -> Range<u64> {
    let stated = std::env::var("MILLPASS_SEEDS").ok();
    let bounds = stated.as_ref().and_then(|text| text.split_once(".."));
    let parse = |text: &str| text.parse().expect("MILLPASS_SEEDS=FIRST..LAST");
    bounds.map_or(0..24, |(first, last)| parse(first)..parse(last))
}

/// Guards against a guess of any kind while everything changes at once.
#[test]
fn no_stream_goes_on_at_another_version() {
    for seed in seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let plan = Plan {
            gateways: random.random_range(2..30),
            kill_gateway: random.random_range(40..400),
            change_leader: random.random_range(100..2_000),
            replace_run: random.random_range(20..400),
            reuses_ids: random.random(),
        };
        println!("seed {seed}: {plan:?}");
        let world = play(plan, seed);
        assert!(world.gone_on > 0);
    }
}

/// Guards against refusing what could go on: gateways are killed and servers replaced, the leader stays.
#[test]
fn streams_of_killed_gateways_go_on() {
    for seed in seeds() {
        let plan = Plan {
            gateways: 2 + usize::try_from(seed % 28).expect("small"),
            kill_gateway: 200,
            change_leader: 0,
            replace_run: 100,
            reuses_ids: false,
        };
        let world = play(plan, seed);
        let all = world.gone_on + world.refused;
        assert!(
            world.gone_on * 10 >= all * 9,
            "seed {seed}: {} of {all}",
            world.gone_on
        );
    }
}
