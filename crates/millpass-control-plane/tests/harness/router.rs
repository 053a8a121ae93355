//! A router that reports and applies the responses.

use super::World;
use millpass_control_plane::ConnectionId;
use millpass_proto::*;
use std::collections::BTreeMap;

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
    pub claims: Vec<ClaimResponse>,
    pub finished: Vec<u64>,
    pub demand: Vec<ModelDemand>,
    pub draining: bool,
    /// Highest term of an update.
    pub term: u64,
    /// Updates of a lower term, which are ignored.
    pub ignored: Vec<RouterUpdate>,
    /// Number of notifications to report at once.
    pub notifications: u32,
    /// Catalog revision stated in each report of this incarnation.
    pub reported: BTreeMap<u64, ConfigurationRevision>,
    /// Its copy of the catalog.
    pub catalog: BTreeMap<ObjectKey, StoredObject>,
}

impl TestRouter {
    /// Connects to a member and sends a hello.
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
            draining: false,
            term: 0,
            ignored: Vec::new(),
            notifications: 0,
            reported: BTreeMap::new(),
            catalog: BTreeMap::new(),
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

    /// Reconnects to a member, under the same or a new incarnation.
    pub fn reconnect(&mut self, world: &mut World, member: MemberId, incarnation: u64) {
        self.connection = world.connect(member);
        if self.incarnation != Incarnation(incarnation) {
            self.incarnation = Incarnation(incarnation);
            self.sequence = 0;
            self.reported.clear();
        }
        self.hello(world);
    }

    /// Reports new observations of the assigned engines and receives the responses.
    pub fn report(&mut self, world: &mut World) {
        let mut observations = Vec::new();
        for watched in &self.watch {
            if let Some(engine) = world.engines.get_mut(&watched.backend) {
                observations.push(BackendObservation::Engine(engine.report()));
            }
        }
        self.report_with(world, observations);
    }

    /// Reports these observations and receives the responses.
    pub fn report_with(&mut self, world: &mut World, observations: Vec<BackendObservation>) {
        self.sequence += 1;
        self.reported.insert(self.sequence, self.configuration);
        let report = RouterReport {
            sequence: self.sequence,
            configuration: self.configuration,
            placement: self.placement,
            demand: self.demand.clone(),
            observations,
            draining: self.draining,
        };
        world.router_sends(self.connection, RouterToControl::Report(report));
        self.receive(world);
    }

    /// Receives the messages sent to the router.
    pub fn receive(&mut self, world: &mut World) {
        for message in world.take_received(self.connection) {
            match message {
                ControlToRouter::Update(update) => self.apply(update),
                ControlToRouter::Claim(response) => self.claims.push(response),
                ControlToRouter::ClaimFinished(attempt) => self.finished.push(attempt),
                ControlToRouter::NotLeader(redirect) => self.not_leader.push(redirect),
                ControlToRouter::ChangesAvailable => self.notifications += 1,
                ControlToRouter::Gateway(_)
                | ControlToRouter::Credit(_)
                | ControlToRouter::Crashes(_)
                | ControlToRouter::Permits(_)
                | ControlToRouter::Limits(_)
                | ControlToRouter::Peers(_)
                | ControlToRouter::Origins(_)
                | ControlToRouter::Runs(_) => {
                    panic!("gateway message sent to a router")
                }
            }
        }
    }

    /// Applies an update unless it comes from a former leader with a lower term.
    pub fn apply(&mut self, update: RouterUpdate) {
        if update.term < self.term {
            self.ignored.push(update);
            return;
        }
        self.term = update.term;
        if let Some(delta) = &update.configuration {
            let reported = self.reported.get(&update.sequence);
            assert!(
                reported.is_none_or(|reported| delta.to > *reported),
                "the catalog revision decreased"
            );
            self.apply_configuration(delta);
        }
        if let Some(delta) = &update.placement {
            self.placement = delta.to;
        }
        if let Some(watch) = &update.watch {
            self.watch = watch.backends.clone();
        }
        self.updates.push(update);
    }

    /// Ignores a delta that is already applied or does not fit.
    fn apply_configuration(&mut self, delta: &ConfigurationDelta) {
        if delta.to <= self.configuration {
            return;
        }
        if delta.full {
            self.catalog.clear();
        } else if delta.from != self.configuration {
            return;
        }
        self.configuration = delta.to;
        for key in &delta.removed {
            self.catalog.remove(key);
        }
        let objects = delta.objects.iter().cloned();
        let objects = objects.map(|object| (object.key.clone(), object));
        self.catalog.extend(objects);
    }

    /// Sets the number of requests that wait for a model.
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

    /// Returns a claim of this router.
    pub fn claim(&self, key: &str, digest: &str, born: u64, attempt: u64) -> ClaimBegin {
        ClaimBegin {
            tenant: TenantName::from("tenant"),
            key: ClaimKey::from(key),
            digest: digest.to_owned(),
            created_unix_millis: born,
            router: self.name.clone(),
            router_incarnation: self.incarnation,
            attempt,
            at_unix_millis: 0,
        }
    }

    /// Requests a claim and receives the responses.
    pub fn begin(&mut self, world: &mut World, claim: ClaimBegin) {
        let message = RouterToControl::Claim(ClaimRequest { claim });
        world.router_sends(self.connection, message);
        self.receive(world);
    }
}

/// Lets all routers report and advances time, repeatedly.
pub fn rounds(world: &mut World, routers: &mut [TestRouter], count: u32) {
    for _ in 0..count {
        for router in routers.iter_mut() {
            router.report(world);
        }
        world.run(Duration::from_millis(500));
    }
}
