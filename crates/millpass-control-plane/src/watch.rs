//! Which router watches which back end.
//!
//! Rendezvous hashing: each back end goes to the router of its zone with the highest hash of the
//! pair, or to one of another zone when its own has none. A router that comes or goes moves only
//! its own share. Only the leader computes shares, so the hash needs no agreement between
//! processes.

use millpass_proto::{
    BackendKind, BackendName, Duration, RouterName, Timestamp, WatchedBackend, ZoneName,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Shortest time between two looks at all routers and back ends.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// A back end to be watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Watchable {
    /// Kind.
    pub(crate) kind: BackendKind,
    /// Zone.
    pub(crate) zone: ZoneName,
    /// IP address and port.
    pub(crate) address: String,
}

/// The shares in force.
#[derive(Default)]
pub(crate) struct WatchShares {
    routers: Vec<(RouterName, ZoneName)>,
    backends: BTreeMap<BackendName, Watchable>,
    shares: BTreeMap<RouterName, Vec<WatchedBackend>>,
    watcher: BTreeMap<BackendName, RouterName>,
    /// When the next look is due.
    next_refresh: Timestamp,
}

impl WatchShares {
    /// Whether the shares should be refreshed now; if so, not again for a while.
    pub(crate) fn is_due(&mut self, now: Timestamp) -> bool {
        if now < self.next_refresh {
            return false;
        }
        self.next_refresh = now + REFRESH_INTERVAL;
        true
    }

    /// Computes the shares anew if routers or back ends changed.
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
        self.shares.clear();
        self.watcher.clear();
        let zones = by_zone(&self.routers);
        for (name, backend) in &self.backends {
            let near = zones.get(&backend.zone).map(Vec::as_slice);
            let chosen = near
                .and_then(|near| highest(name, near.iter().copied()))
                .or_else(|| highest(name, self.routers.iter().map(|(router, _)| router)));
            let Some(router) = chosen.cloned() else {
                continue;
            };
            self.watcher.insert(name.clone(), router.clone());
            let watched = WatchedBackend {
                backend: name.clone(),
                kind: backend.kind,
                address: backend.address.clone(),
            };
            self.shares.entry(router).or_default().push(watched);
        }
    }

    /// The share of a router, by back end name.
    pub(crate) fn share(&self, router: &RouterName) -> &[WatchedBackend] {
        self.shares.get(router).map_or(&[], Vec::as_slice)
    }

    /// The router that watches a back end.
    pub(crate) fn watcher(&self, backend: &BackendName) -> Option<&RouterName> {
        self.watcher.get(backend)
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        *self = WatchShares::default();
    }
}

fn by_zone(routers: &[(RouterName, ZoneName)]) -> BTreeMap<&ZoneName, Vec<&RouterName>> {
    let mut zones: BTreeMap<&ZoneName, Vec<&RouterName>> = BTreeMap::new();
    for (router, zone) in routers {
        zones.entry(zone).or_default().push(router);
    }
    zones
}

fn highest<'a>(
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
