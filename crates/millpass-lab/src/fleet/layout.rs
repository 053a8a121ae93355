//! Names, zones and addresses of the processes of a fleet.

use super::ports::ReservedPorts;
use crate::deployment::Deployment;
use crate::relay::{
    LinkSettings, PathKey, PathSettings, RelaySettings, SourceRule, server::PathEntry,
};
use anyhow::Result;
use std::net::SocketAddr;
use std::sync::Arc;

/// Zone of the weight store and the platform list, outside the zones of the deployment.
pub const SERVICES_ZONE: &str = "services";
/// Zone of the callers.
pub const CLIENTS_ZONE: &str = "clients";
/// Maximum open connections of the relay.
const MAXIMUM_RELAYED_CONNECTIONS: usize = 8_192;

/// Name, zone and addresses of a process behind the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Name of the process.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Listen address.
    pub listen: SocketAddr,
    /// Address of its link in the relay, used by other processes.
    pub reached_at: SocketAddr,
    /// Second listen address: administration or metrics; unused by back ends.
    pub second: SocketAddr,
}

/// All processes of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Control members.
    pub control: Vec<Place>,
    /// Routers.
    pub routers: Vec<Place>,
    /// Model engines.
    pub engines: Vec<Place>,
    /// Web servers.
    pub web: Vec<Place>,
    /// Weight store.
    pub store: Place,
    /// Platform list.
    pub platform: Place,
    /// Control port of the relay.
    pub relay_control: SocketAddr,
    /// Reservation of all ports.
    pub ports: Arc<ReservedPorts>,
}

impl Layout {
    /// Assigns free ports to the processes of a deployment.
    pub fn new(deployment: &Deployment) -> Result<Self> {
        const ADDRESSES_PER_PLACE: usize = 3;
        let count = deployment.process_count() * ADDRESSES_PER_PLACE;
        let ports = ReservedPorts::new(count)?;
        let mut free = Addresses {
            free: ports.addresses(),
        };
        let mut layout = Layout {
            control: Vec::new(),
            routers: Vec::new(),
            engines: Vec::new(),
            web: Vec::new(),
            store: free.place("store", SERVICES_ZONE)?,
            platform: free.place("platform", SERVICES_ZONE)?,
            relay_control: free.take()?,
            ports: Arc::new(ports),
        };
        for zone in &deployment.zones {
            layout.add(&mut free, "control", zone.control_members, &zone.name)?;
            let routers = deployment.router_count_per_zone;
            layout.add(&mut free, "router", routers, &zone.name)?;
            layout.add(&mut free, "engine", zone.engines, &zone.name)?;
            layout.add(&mut free, "web", zone.web_servers, &zone.name)?;
        }
        Ok(layout)
    }

    fn add(&mut self, free: &mut Addresses, kind: &str, count: usize, zone: &str) -> Result<()> {
        let places = match kind {
            "control" => &mut self.control,
            "router" => &mut self.routers,
            "engine" => &mut self.engines,
            _ => &mut self.web,
        };
        for _ in 0..count {
            let name = format!("{kind}-{}", places.len() + 1);
            places.push(free.place(&name, zone)?);
        }
        Ok(())
    }

    /// Returns all places behind the relay.
    pub fn places(&self) -> impl Iterator<Item = &Place> {
        let services = [&self.store, &self.platform];
        let product = self.control.iter().chain(&self.routers);
        let backends = self.engines.iter().chain(&self.web);
        product.chain(backends).chain(services)
    }

    /// Returns the settings of the relay.
    pub fn relay_settings(&self, deployment: &Deployment) -> RelaySettings {
        let delays = deployment.delays;
        let path = |delay_micros| PathSettings {
            delay_micros,
            jitter_micros: delays.jitter_micros,
        };
        let is_router = |place: &Place| self.routers.iter().any(|other| other.name == place.name);
        let links = self.places().map(|place| LinkSettings {
            name: place.name.clone(),
            listen: place.reached_at,
            target: place.listen,
            target_zone: place.zone.clone(),
            source: if is_router(place) {
                SourceRule::Zone(CLIENTS_ZONE.to_owned())
            } else {
                SourceRule::Process
            },
        });
        let to_clients = deployment.zones.iter().flat_map(|zone| {
            let pair = PathKey::new(CLIENTS_ZONE, &zone.name);
            [pair.clone(), pair.reversed()]
        });
        let to_clients = to_clients.map(|pair| PathEntry {
            pair,
            settings: path(delays.to_clients_micros),
        });
        RelaySettings {
            control_listen: self.relay_control,
            maximum_connections: MAXIMUM_RELAYED_CONNECTIONS,
            within_zone: PathSettings {
                delay_micros: delays.within_zone_micros,
                jitter_micros: 0,
            },
            between_zones: path(delays.between_zones_micros),
            paths: to_clients.collect(),
            links: links.collect(),
        }
    }

    /// Returns the addresses of the routers for callers, in order.
    pub fn caller_addresses(&self) -> Vec<String> {
        let addresses = self.routers.iter().map(|place| place.reached_at);
        addresses.map(|address| address.to_string()).collect()
    }

    /// Returns the administration addresses of the control members, in order.
    pub fn administration_addresses(&self) -> Vec<String> {
        let addresses = self.control.iter().map(|place| place.second);
        addresses.map(|address| address.to_string()).collect()
    }
}

struct Addresses {
    free: Vec<SocketAddr>,
}

impl Addresses {
    fn take(&mut self) -> Result<SocketAddr> {
        let next = self.free.pop();
        next.ok_or_else(|| anyhow::anyhow!("the layout reserved too few addresses"))
    }

    fn place(&mut self, name: &str, zone: &str) -> Result<Place> {
        Ok(Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen: self.take()?,
            reached_at: self.take()?,
            second: self.take()?,
        })
    }
}
