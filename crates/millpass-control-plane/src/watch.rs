//! Which router watches which back end.
//!
//! Rendezvous hashing: each back end goes to the router of its zone with the highest hash of the
//! pair, or to one of another zone when its own has none. A router that comes or goes moves only
//! its own share. Only the leader computes shares, so the hash needs no agreement between
//! processes.

use millpass_proto::{BackendKind, BackendName, RouterName, WatchedBackend, ZoneName};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

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
}

impl WatchShares {
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
        for (name, backend) in &self.backends {
            let Some(router) = choose(name, &backend.zone, &self.routers) else {
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

fn choose(
    backend: &BackendName,
    zone: &ZoneName,
    routers: &[(RouterName, ZoneName)],
) -> Option<RouterName> {
    let near = routers
        .iter()
        .filter(|(_, router_zone)| router_zone == zone);
    highest(backend, near).or_else(|| highest(backend, routers.iter()))
}

fn highest<'a>(
    backend: &BackendName,
    routers: impl Iterator<Item = &'a (RouterName, ZoneName)>,
) -> Option<RouterName> {
    routers
        .max_by_key(|(router, _)| (weight(backend, router), router.clone()))
        .map(|(router, _)| router.clone())
}

fn weight(backend: &BackendName, router: &RouterName) -> u64 {
    let mut hasher = DefaultHasher::new();
    backend.hash(&mut hasher);
    router.hash(&mut hasher);
    hasher.finish()
}
