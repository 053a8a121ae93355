//! Long-running processes of the lab: stand-ins and the relay. Each reads a settings file and runs
//! until SIGTERM.

mod relay;
mod stand_in;

pub use relay::run_relay;
pub use stand_in::{EngineFile, PlatformFile, StandInKind, StoreFile, WebFile, run_stand_in};

use anyhow::{Context, Result};
use serde::de::DeserializeOwned;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::Path;

/// Reads a settings file (JSON) that the fleet wrote.
fn read_settings<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let name = file.display();
    let text = std::fs::read(file).with_context(|| format!("cannot read {name}"))?;
    serde_json::from_slice(&text).with_context(|| {
        format!("{name} is not a valid settings file of this program; see docs/LAB.md")
    })
}

/// Installs the signal handlers; must run before a server starts.
fn stop_signals() -> Result<Signals> {
    Signals::new([SIGTERM, SIGINT]).context("cannot install signal handlers")
}

fn wait_for_signal(mut signals: Signals) {
    signals.forever().next();
}
