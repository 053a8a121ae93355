//! Free loopback ports for processes that need to know each other's before they start.

use anyhow::{Context, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Finds this many different free ports. They are free when found; a process that takes one
/// before the fleet does makes the fleet's process fail at its start, with a clear error.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    // All are held until all are found, so that none is found twice.
    let mut held = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        held.push(listener.context("no free loopback port; stop what holds so many")?);
    }
    let addresses = held.iter().map(TcpListener::local_addr);
    Ok(addresses.collect::<std::io::Result<_>>()?)
}
