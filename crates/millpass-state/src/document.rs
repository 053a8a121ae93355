//! Validation of deployment documents.

use millpass_proto::{DeploymentDocument, RouteSpec, ServiceName, TenantAccess};
use std::collections::{BTreeSet, HashMap};

/// Maximum quota in units per second, or in units for bursts and costs. Keeps sums over days within
/// 64 bits.
const MAXIMUM_UNITS: u64 = 1_000_000_000_000;

/// Why a document is rejected; the previous document stays active.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidDocument {
    /// Version 0 means no document.
    #[error("version 0 is reserved; use a version of 1 or higher")]
    ZeroVersion,
    /// Two services have the same name.
    #[error("service {0} stands twice; give each service one entry")]
    DuplicateService(String),
    /// A route references an unknown service.
    #[error(
        "route {route} names service {service}, which is not in the document; add the service or correct the name"
    )]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("route {route} has the same host and path prefix as another route; change one of them")]
    DuplicateRoute {
        /// Route.
        route: String,
    },
    /// All targets of a route have weight 0.
    #[error("route {route}: the weights add up to 0; give a service a weight above 0")]
    ZeroWeight {
        /// Route.
        route: String,
    },
    /// A tenant has no name.
    #[error("a tenant has no name; give each tenant a name")]
    UnnamedTenant,
    /// Two tenants have the same name.
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
    /// A quota exceeds the maximum.
    #[error(
        "tenant {tenant}: quota of {units} units is too large; write {MAXIMUM_UNITS} at most, or 0 for none"
    )]
    QuotaTooLarge {
        /// Tenant.
        tenant: String,
        /// Configured units.
        units: u64,
    },
    /// The timeout of a route is 0.
    #[error("route {route}: the time-out is 0; write milliseconds above 0")]
    ZeroTimeout {
        /// Route.
        route: String,
    },
}

/// Validates a document.
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
    let mut host_prefixes = BTreeSet::new();
    for route in &document.routes {
        if !host_prefixes.insert((&route.host, &route.path_prefix)) {
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
