//! A router that reports and applies what it is answered.

use super::World;
use millpass_control_plane::ConnectionId;
use millpass_proto::*;

/// A router on one connection.
pub struct TestRouter {
    pub name: RouterName,
    pub incarnation: Incarnation,
    pub zone: ZoneName,
    pub connection: ConnectionId,
    pub sequence: u64,
    pub configuration: ConfigurationRevision,
    pub placement: PlacementRevision,
    pub watch: Vec<WatchedBackend>,
    pub updates: Vec<RouterUpdate>,
    pub not_leader: Vec<NotLeader>,
    pub claims: Vec<ClaimAnswer>,
    pub finished: Vec<u64>,
    pub demand: Vec<ModelDemand>,
}

impl TestRouter {
    /// Connects to a member and says hello.
    pub fn new(world: &mut World, member: MemberId, name: &str, zone: &str) -> TestRouter {
        let connection = world.connect(member);
        let router = TestRouter {
            name: RouterName::from(name),
            incarnation: Incarnation(1),
            zone: ZoneName::from(zone),
            connection,
            sequence: 0,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            watch: Vec::new(),
            updates: Vec::new(),
            not_leader: Vec::new(),
            claims: Vec::new(),
            finished: Vec::new(),
            demand: Vec::new(),
        };
        router.hello(world);
        router
    }

    fn hello(&self, world: &mut World) {
        let hello = RouterHello {
            group: GroupId(1),
            router: self.name.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            address: "127.0.0.1:1".to_owned(),
        };
        world.router_sends(self.connection, RouterToControl::Hello(hello));
    }

    /// Connects to a member, as the same run or as a new one.
    pub fn reconnect(&mut self, world: &mut World, member: MemberId, incarnation: u64) {
        self.connection = world.connect(member);
        if self.incarnation != Incarnation(incarnation) {
            self.incarnation = Incarnation(incarnation);
            self.sequence = 0;
        }
        self.hello(world);
    }

    /// Reports, with fresh observations of the engines of its share, and takes the answers.
    pub fn report(&mut self, world: &mut World) {
        let mut observations = Vec::new();
        for watched in &self.watch {
            if let Some(engine) = world.engines.get_mut(&watched.backend) {
                observations.push(BackendObservation::Engine(engine.report()));
            }
        }
        self.report_with(world, observations);
    }

    /// Reports these observations and takes the answers.
    pub fn report_with(&mut self, world: &mut World, observations: Vec<BackendObservation>) {
        self.sequence += 1;
        let report = RouterReport {
            sequence: self.sequence,
            configuration: self.configuration,
            placement: self.placement,
            demand: self.demand.clone(),
            observations,
            draining: false,
        };
        world.router_sends(self.connection, RouterToControl::Report(report));
        self.receive(world);
    }

    /// Takes what was sent to it.
    pub fn receive(&mut self, world: &mut World) {
        for message in world.received(self.connection) {
            match message {
                ControlToRouter::Update(update) => self.apply(update),
                ControlToRouter::Claim(answer) => self.claims.push(answer),
                ControlToRouter::ClaimFinished(attempt) => self.finished.push(attempt),
                ControlToRouter::NotLeader(answer) => self.not_leader.push(answer),
            }
        }
    }

    fn apply(&mut self, update: RouterUpdate) {
        if let Some(delta) = &update.configuration {
            self.configuration = delta.to;
        }
        if let Some(delta) = &update.placement {
            self.placement = delta.to;
        }
        if let Some(watch) = &update.watch {
            self.watch = watch.backends.clone();
        }
        self.updates.push(update);
    }

    /// Says that requests wait for a model.
    pub fn wait_for(&mut self, model: &str, waiting: u32) {
        self.demand = vec![ModelDemand {
            model: ModelName::from(model),
            adapter: None,
            waiting,
            in_flight: 0,
            arrivals: u64::from(waiting),
            oldest_wait_millis: 10,
            most_urgent: Urgency::Interactive,
        }];
    }

    /// A claim of this router.
    pub fn claim(&self, key: &str, digest: &str, born: u64, attempt: u64) -> ClaimBegin {
        ClaimBegin {
            tenant: TenantName::from("tenant"),
            key: ClaimKey::from(key),
            digest: digest.to_owned(),
            born_unix_millis: born,
            router: self.name.clone(),
            router_incarnation: self.incarnation,
            attempt,
            at_unix_millis: 0,
        }
    }

    /// Asks for a claim and takes the answers.
    pub fn begin(&mut self, world: &mut World, claim: ClaimBegin) {
        let message = RouterToControl::Claim(ClaimRequest { claim });
        world.router_sends(self.connection, message);
        self.receive(world);
    }
}

/// Reports of all routers, then time passes; repeated.
pub fn rounds(world: &mut World, routers: &mut [TestRouter], count: u32) {
    for _ in 0..count {
        for router in routers.iter_mut() {
            router.report(world);
        }
        world.run(Duration::from_millis(500));
    }
}
