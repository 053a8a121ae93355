//! Three members with routers, engines and one model, `chat`.

use super::router::{TestRouter, rounds};
use super::{World, create_model};
use millpass_proto::*;
use millpass_state::State;
use std::collections::BTreeMap;

/// A running deployment.
pub struct Fleet {
    pub world: World,
    pub routers: Vec<TestRouter>,
    pub leader: MemberId,
}

impl Fleet {
    /// Creates routers and engines by name and zone, registered and watched.
    pub fn new(routers: &[(&str, &str)], engines: &[(&str, &str)]) -> Fleet {
        let mut world = World::new(3);
        let leader = world.elect();
        for (name, zone) in engines {
            world.add_engine(name, zone);
        }
        create_model(&mut world, leader, "chat");
        let routers = routers
            .iter()
            .map(|(name, zone)| TestRouter::new(&mut world, leader, name, zone))
            .collect();
        let mut fleet = Fleet {
            world,
            routers,
            leader,
        };
        fleet.rounds(6);
        assert_eq!(fleet.state().backends().len(), engines.len());
        fleet
    }

    /// Creates one router and these engines in one zone.
    pub fn small(engines: &[&str]) -> Fleet {
        let engines: Vec<(&str, &str)> = engines.iter().map(|name| (*name, "zone-1")).collect();
        Fleet::new(&[("r-1", "zone-1")], &engines)
    }

    /// Lets all routers report and advances time by half a second, repeatedly.
    pub fn rounds(&mut self, count: u32) {
        rounds(&mut self.world, &mut self.routers, count);
    }

    /// Returns the state applied by the leader.
    pub fn state(&self) -> &State {
        self.world.state(self.leader)
    }

    pub fn engine(&mut self, name: &str) -> &mut super::TestEngine {
        let engine = self.world.engines.get_mut(&BackendName::from(name));
        engine.unwrap()
    }

    /// Sets the number of requests that wait for the model at the first router.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.routers[0].wait_for("chat", waiting);
    }

    /// Lets one request wait until a replica is decided. Returns the replica.
    pub fn place(&mut self) -> Replica {
        self.set_waiting(1);
        self.rounds(3);
        let replicas = self.replicas();
        assert_eq!(replicas.len(), 1, "{replicas:?}");
        replicas[0].clone()
    }

    /// The same, until the replica is loaded.
    pub fn load(&mut self) -> Replica {
        let backend = self.place().backend;
        self.engine(&backend.0).finish_loads();
        self.rounds(2);
        let replica = self.replicas()[0].clone();
        assert_eq!(replica.phase, ReplicaPhase::Loaded);
        replica
    }

    /// Returns the decided replicas of the model.
    pub fn replicas(&self) -> Vec<Replica> {
        let replicas = self.state().replicas_of(&ModelName::from("chat"));
        replicas.into_iter().cloned().collect()
    }

    /// Returns the free bytes of an engine per accelerator.
    pub fn free(&self, engine: &str) -> Vec<u64> {
        self.state().free_bytes(&BackendName::from(engine))
    }

    /// Returns how often each member sent an order.
    pub fn sent(&self, fence: LogPosition) -> BTreeMap<MemberId, usize> {
        let mut sent = BTreeMap::new();
        for (member, order) in &self.world.deliveries {
            if order.fence == fence {
                *sent.entry(*member).or_default() += 1;
            }
        }
        sent
    }

    /// Partitions the leader until another member leads, and reconnects the routers.
    pub fn fail_over(&mut self) {
        self.depose();
        self.reconnect_routers();
    }

    /// Partitions leaders in turn until this member leads, and reconnects the routers.
    pub fn make_leader(&mut self, member: MemberId) {
        for _ in 0..20 {
            if self.leader != member {
                self.depose();
            }
        }
        assert_eq!(self.leader, member);
        self.reconnect_routers();
    }

    fn depose(&mut self) {
        let old = self.leader;
        self.world.members.get_mut(&old).unwrap().partitioned = true;
        self.leader = self.world.elect();
        self.world.members.get_mut(&old).unwrap().partitioned = false;
        self.world.run(Duration::from_millis(300));
    }

    fn reconnect_routers(&mut self) {
        for router in &mut self.routers {
            let run = router.incarnation.0;
            router.reconnect(&mut self.world, self.leader, run);
        }
    }

    /// Returns the routers that watch each engine.
    pub fn watchers(&self) -> BTreeMap<BackendName, Vec<RouterName>> {
        let mut watchers: BTreeMap<BackendName, Vec<RouterName>> = BTreeMap::new();
        for router in &self.routers {
            for watched in &router.watch {
                let of_engine = watchers.entry(watched.backend.clone()).or_default();
                of_engine.push(router.name.clone());
            }
        }
        watchers
    }
}
