//! Free loopback ports for processes that need to know each other's before they start.

use anyhow::{Result, ensure};
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First port considered.
const FIRST_PORT: u16 = 12_000;
/// End of the ports considered: from here on systems take the local ports of outgoing connections,
/// which could come between the choice of a port and its use.
const END_PORT: u16 = 32_000;

/// Finds this many different free ports. They are free when found; a process that takes one
/// before the fleet does makes the fleet's process fail at its start, with a clear error.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let span = END_PORT - FIRST_PORT;
    let start = rand::rng().random_range(0..span);
    let candidates = (0..span).map(|step| FIRST_PORT + (start + step) % span);
    let addresses = candidates.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
    let free: Vec<SocketAddr> = addresses.filter(is_free).take(count).collect();
    ensure!(
        free.len() == count,
        "{count} free loopback ports are needed between {FIRST_PORT} and {END_PORT}; stop what \
         holds so many"
    );
    Ok(free)
}
