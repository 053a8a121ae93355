//! Reserves loopback ports for processes that are configured before they start.

use anyhow::{Result, ensure};
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First candidate port.
const FIRST_PORT: u16 = 12_000;
/// End of the candidate ports. Excludes the ephemeral range, whose ports the system may assign to
/// outgoing connections before a process binds them.
const END_PORT: u16 = 32_000;
/// Address on which a reserved port is bound, so that other reservations skip it. The processes use
/// other loopback addresses.
const GUARD_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 255, 255, 254);

/// Ports that are free at every loopback address. Other reservations on the machine skip them until
/// this is dropped; keep it as long as the processes that use them.
#[derive(Debug)]
pub struct ReservedPorts {
    guards: Vec<TcpListener>,
    ports: Vec<u16>,
}

impl ReservedPorts {
    /// Reserves `count` ports.
    pub fn new(count: usize) -> Result<ReservedPorts> {
        let first = rand::rng().random_range(FIRST_PORT..END_PORT);
        ReservedPorts::starting_at(first, count)
    }

    /// Reserves the first `count` free ports from a candidate on.
    pub fn starting_at(first: u16, count: usize) -> Result<ReservedPorts> {
        ensure!(
            (FIRST_PORT..END_PORT).contains(&first),
            "port {first} is no candidate; give one from {FIRST_PORT} to {}",
            END_PORT - 1
        );
        let span = END_PORT - FIRST_PORT;
        let offset = first - FIRST_PORT;
        let candidates = (0..span).map(|step| FIRST_PORT + (offset + step) % span);
        let (guards, ports): (Vec<TcpListener>, Vec<u16>) = candidates
            .filter_map(|port| Some((reserve(port)?, port)))
            .take(count)
            .unzip();
        ensure!(
            ports.len() == count,
            "{count} free loopback ports are needed between {FIRST_PORT} and {END_PORT}; stop the \
             processes that use them"
        );
        Ok(ReservedPorts { guards, ports })
    }

    /// Returns the ports.
    pub fn ports(&self) -> &[u16] {
        debug_assert_eq!(self.guards.len(), self.ports.len());
        &self.ports
    }

    /// Returns the ports at 127.0.0.1.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let ports = self.ports.iter();
        ports
            .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, *port)))
            .collect()
    }
}

/// Binds the guard of a port that nobody uses at any address.
fn reserve(port: u16) -> Option<TcpListener> {
    // Fails if a process listens on the port at any address, or another reservation holds it.
    TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).ok()?;
    TcpListener::bind((GUARD_ADDRESS, port)).ok()
}
