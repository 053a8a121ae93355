//! Routes by host and longest prefix, and tenants by key, from the document in force.

use millpass_proto::{
    DeploymentDocument, RouteSpec, ServiceName, ServiceSpec, TenantAccess, TenantName,
};
use millpass_tenancy::{KeyDirectory, PresentedKey};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No document has been received yet.
    #[error("no configuration has been received yet; retry shortly")]
    NotConfigured,
    /// The document may be stale.
    #[error("the configuration cannot be confirmed as current; retry shortly")]
    Unconfirmed,
    /// No route matches.
    #[error("no route matches this host and path; check the configured routes")]
    NoRoute,
}

/// Why a caller is not identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdentityError {
    /// No key was sent.
    #[error("the request has no API key; send the key of a tenant")]
    KeyMissing,
    /// Several keys were sent, or one that is not well-formed.
    #[error("the request has more than one API key or a malformed one; send exactly one")]
    KeyUnusable,
    /// No tenant has the key.
    #[error("no tenant has this API key; ask the operator for a valid one")]
    KeyUnknown,
    /// Keys may have been revoked since the state of this gateway was last confirmed.
    #[error("API keys cannot be verified at the moment; retry shortly")]
    Unverifiable,
}

impl IdentityError {
    /// Returns the reason code used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            IdentityError::KeyMissing => "key-missing",
            IdentityError::KeyUnusable => "key-unusable",
            IdentityError::KeyUnknown => "key-unknown",
            IdentityError::Unverifiable => "keys-outdated",
        }
    }
}

/// Routing table of one document.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    document: DeploymentDocument,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    services: HashMap<ServiceName, usize>,
    keys: KeyDirectory,
    tenants: HashMap<TenantName, Arc<TenantAccess>>,
    /// Distinct ranks of tenants, ascending.
    tenant_ranks: Vec<u32>,
    /// Distinct ranks of routes, ascending.
    route_ranks: Vec<u32>,
}

impl RoutingTable {
    /// Builds the routing table of a document.
    pub fn new(document: DeploymentDocument) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in &document.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = document
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let mut keys = KeyDirectory::default();
        let mut tenants = HashMap::new();
        for tenant in &document.tenants {
            keys.add(&tenant.name, &tenant.key_hashes);
            tenants.insert(tenant.name.clone(), Arc::new(tenant.clone()));
        }
        RoutingTable {
            tenant_ranks: distinct(document.tenants.iter().map(|tenant| tenant.priority)),
            route_ranks: distinct(document.routes.iter().map(|route| route.priority)),
            document,
            hosts,
            services,
            keys,
            tenants,
        }
    }

    /// Returns the tenant of a request; none if the document has no tenants, or if the route is
    /// anonymous and no key was sent.
    pub fn identify(
        &self,
        route: &RouteSpec,
        key: PresentedKey,
    ) -> Result<Option<Arc<TenantAccess>>, IdentityError> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        match key {
            PresentedKey::Missing if route.anonymous => Ok(None),
            PresentedKey::Missing => Err(IdentityError::KeyMissing),
            PresentedKey::Unusable => Err(IdentityError::KeyUnusable),
            PresentedKey::One(hash) => {
                let tenant = self.keys.tenant(&hash);
                let found = tenant.and_then(|tenant| self.tenants.get(tenant));
                found.cloned().map(Some).ok_or(IdentityError::KeyUnknown)
            }
        }
    }

    /// Returns the rank of a request: first by tenant, then by route. Without a tenant it is the
    /// route's priority.
    pub fn rank(&self, tenant: Option<&TenantAccess>, route: &RouteSpec) -> u32 {
        let Some(tenant) = tenant else {
            return route.priority;
        };
        let position = |ranks: &[u32], rank: u32| ranks.partition_point(|other| *other < rank);
        let rank = position(&self.tenant_ranks, tenant.priority) * self.route_ranks.len()
            + position(&self.route_ranks, route.priority);
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns the tenant with this name.
    pub fn tenant(&self, name: &TenantName) -> Option<Arc<TenantAccess>> {
        self.tenants.get(name).cloned()
    }

    /// Returns true if the document has tenants.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Version of the document.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Returns the document.
    pub fn document(&self) -> &DeploymentDocument {
        &self.document
    }

    /// Returns the route of a path at a host. The host may include a port; its case is ignored.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<RouteSpec>, RouteError> {
        let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower = bare.to_ascii_lowercase();
        let routes = self.hosts.get(&lower).ok_or(RouteError::NoRoute)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
            .cloned()
            .ok_or(RouteError::NoRoute)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        let index = *self.services.get(name)?;
        self.document.services.get(index)
    }
}

fn distinct(ranks: impl Iterator<Item = u32>) -> Vec<u32> {
    ranks.collect::<BTreeSet<_>>().into_iter().collect()
}
