//! What a deployment document must satisfy to be put in force.

use millpass_proto::{DeploymentDocument, RouteSpec, ServiceName, TenantAccess};
use std::collections::{BTreeSet, HashMap};

/// Most units a second, or at once, that a quota may state: sums over days stay far below what a counter holds.
const MAXIMUM_UNITS: u64 = 1_000_000_000_000;

/// Why a document is refused whole; what stood before stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidDocument {
    /// Version 0 stands for none.
    #[error("version 0 is reserved; write a version from 1")]
    ZeroVersion,
    /// Two services have one name.
    #[error("service {0} stands twice; give each service one entry")]
    DuplicateService(String),
    /// A route names a service that is not there.
    #[error(
        "route {route} names service {service}, which the document lacks; add it or correct the name"
    )]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: String,
    },
    /// Two routes share host and prefix.
    #[error("route {route} has the host and prefix of another route; change one of them")]
    DuplicateRoute {
        /// Route.
        route: String,
    },
    /// No target of a route has a weight.
    #[error("route {route}: the weights add up to 0; give a service a weight above 0")]
    ZeroWeight {
        /// Route.
        route: String,
    },
    /// A tenant has no name.
    #[error("a tenant has no name; name each tenant")]
    UnnamedTenant,
    /// Two tenants have one name.
    #[error("tenant {0} stands twice; give each tenant one entry")]
    DuplicateTenant(String),
    /// Two tenants share a key.
    #[error("tenants {first} and {second} share a key; give each its own")]
    SharedKey {
        /// One of them.
        first: String,
        /// The other.
        second: String,
    },
    /// A quota's figure is beyond reason.
    #[error(
        "tenant {tenant}: the quota states {units} units; write {MAXIMUM_UNITS} at most, or 0 for none"
    )]
    QuotaTooLarge {
        /// Tenant.
        tenant: String,
        /// Units stated.
        units: u64,
    },
    /// A route's time-out is 0.
    #[error("route {route}: the time-out is 0; write milliseconds above 0")]
    ZeroTimeout {
        /// Route.
        route: String,
    },
}

/// Checks a document as a whole.
pub fn check_document(document: &DeploymentDocument) -> Result<(), InvalidDocument> {
    if document.version == 0 {
        return Err(InvalidDocument::ZeroVersion);
    }
    let mut services = BTreeSet::new();
    for service in &document.services {
        if !services.insert(&service.name) {
            return Err(InvalidDocument::DuplicateService(service.name.0.clone()));
        }
    }
    let mut places = BTreeSet::new();
    for route in &document.routes {
        if !places.insert((&route.host, &route.path_prefix)) {
            return Err(InvalidDocument::DuplicateRoute {
                route: route.name.clone(),
            });
        }
        check_route(route, &services)?;
    }
    check_tenants(&document.tenants)
}

fn check_tenants(tenants: &[TenantAccess]) -> Result<(), InvalidDocument> {
    let mut names = BTreeSet::new();
    let mut owners: HashMap<&str, &TenantAccess> = HashMap::new();
    for tenant in tenants {
        let name = || tenant.name.0.clone();
        if tenant.name.0.is_empty() {
            return Err(InvalidDocument::UnnamedTenant);
        }
        if !names.insert(&tenant.name) {
            return Err(InvalidDocument::DuplicateTenant(name()));
        }
        for key in &tenant.key_hashes {
            let owner = owners.insert(key, tenant);
            if let Some(owner) = owner.filter(|owner| owner.name != tenant.name) {
                return Err(InvalidDocument::SharedKey {
                    first: owner.name.0.clone(),
                    second: name(),
                });
            }
        }
        for units in [
            tenant.units_per_second,
            tenant.burst_units,
            tenant.plain_cost,
        ] {
            if units > MAXIMUM_UNITS {
                return Err(InvalidDocument::QuotaTooLarge {
                    tenant: name(),
                    units,
                });
            }
        }
    }
    Ok(())
}

fn check_route(
    route: &RouteSpec,
    services: &BTreeSet<&ServiceName>,
) -> Result<(), InvalidDocument> {
    let name = || route.name.clone();
    if let Some(target) = route
        .targets
        .iter()
        .find(|target| !services.contains(&target.service))
    {
        return Err(InvalidDocument::UnknownService {
            route: name(),
            service: target.service.0.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(InvalidDocument::ZeroWeight { route: name() });
    }
    if route.timeout_millis == 0 {
        return Err(InvalidDocument::ZeroTimeout { route: name() });
    }
    Ok(())
}
