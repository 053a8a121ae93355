//! Assignment of back ends to the routers that watch them, by rendezvous hashing among the routers
//! of the back end's zone, or among all if the zone has none. A router that joins or leaves moves
//! only its own back ends. Only the leader computes assignments, so processes need not agree on the
//! hash.

use millpass_proto::{
    BackendKind, BackendName, Duration, RouterName, Timestamp, WatchedBackend, ZoneName,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Minimum interval between scans of all routers and back ends.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// A back end to be watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Watchable {
    pub(crate) kind: BackendKind,
    pub(crate) zone: ZoneName,
    /// IP address and port.
    pub(crate) address: String,
}

#[derive(Default)]
pub(crate) struct WatchAssignments {
    routers: Vec<(RouterName, ZoneName)>,
    backends: BTreeMap<BackendName, Watchable>,
    assignments: BTreeMap<RouterName, Vec<WatchedBackend>>,
    watcher: BTreeMap<BackendName, RouterName>,
    next_refresh: Timestamp,
}

impl WatchAssignments {
    /// Returns true if the assignments are due for a refresh, and schedules the next one.
    pub(crate) fn is_due(&mut self, now: Timestamp) -> bool {
        if now < self.next_refresh {
            return false;
        }
        self.next_refresh = now + REFRESH_INTERVAL;
        true
    }

    /// Recomputes the assignments if routers or back ends changed.
    pub(crate) fn refresh(
        &mut self,
        routers: Vec<(RouterName, ZoneName)>,
        backends: BTreeMap<BackendName, Watchable>,
    ) {
        if routers == self.routers && backends == self.backends {
            return;
        }
        self.routers = routers;
        self.backends = backends;
        self.assignments.clear();
        self.watcher.clear();
        let zones = by_zone(&self.routers);
        for (name, backend) in &self.backends {
            let local = zones.get(&backend.zone).map(Vec::as_slice);
            let chosen = local
                .and_then(|local| highest_weight(name, local.iter().copied()))
                .or_else(|| highest_weight(name, self.routers.iter().map(|(router, _)| router)));
            let Some(router) = chosen.cloned() else {
                continue;
            };
            self.watcher.insert(name.clone(), router.clone());
            let watched = WatchedBackend {
                backend: name.clone(),
                kind: backend.kind,
                address: backend.address.clone(),
            };
            self.assignments.entry(router).or_default().push(watched);
        }
    }

    /// Returns the back ends assigned to a router, sorted by name.
    pub(crate) fn assigned(&self, router: &RouterName) -> &[WatchedBackend] {
        self.assignments.get(router).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn watcher(&self, backend: &BackendName) -> Option<&RouterName> {
        self.watcher.get(backend)
    }

    pub(crate) fn clear(&mut self) {
        *self = WatchAssignments::default();
    }
}

fn by_zone(routers: &[(RouterName, ZoneName)]) -> BTreeMap<&ZoneName, Vec<&RouterName>> {
    let mut zones: BTreeMap<&ZoneName, Vec<&RouterName>> = BTreeMap::new();
    for (router, zone) in routers {
        zones.entry(zone).or_default().push(router);
    }
    zones
}

fn highest_weight<'a>(
    backend: &BackendName,
    routers: impl Iterator<Item = &'a RouterName>,
) -> Option<&'a RouterName> {
    routers.max_by_key(|router| (weight(backend, router), *router))
}

fn weight(backend: &BackendName, router: &RouterName) -> u64 {
    let mut hasher = DefaultHasher::new();
    backend.hash(&mut hasher);
    router.hash(&mut hasher);
    hasher.finish()
}
