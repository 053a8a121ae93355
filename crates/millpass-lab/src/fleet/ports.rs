//! Allocates free loopback ports for processes that are configured before they start.

use anyhow::{Result, ensure};
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First candidate port.
const FIRST_PORT: u16 = 12_000;
/// End of the candidate ports. Excludes the ephemeral range, whose ports the system may assign to
/// outgoing connections before a process binds them.
const END_PORT: u16 = 32_000;

/// Returns `count` distinct free addresses. They are not reserved: if another process binds one
/// first, the process it was meant for fails to start.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let span = END_PORT - FIRST_PORT;
    let start = rand::rng().random_range(0..span);
    let candidates = (0..span).map(|step| FIRST_PORT + (start + step) % span);
    let addresses = candidates.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
    let free: Vec<SocketAddr> = addresses.filter(is_free).take(count).collect();
    ensure!(
        free.len() == count,
        "{count} free loopback ports are needed between {FIRST_PORT} and {END_PORT}; stop the \
         processes that use them"
    );
    Ok(free)
}
