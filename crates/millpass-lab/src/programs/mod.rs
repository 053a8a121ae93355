//! The lab's own long-running programs: stand-ins and the relay, each from a settings file, until
//! SIGTERM.

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
    let text = std::fs::read(file).with_context(|| format!("{name}: cannot be read"))?;
    serde_json::from_slice(&text)
        .with_context(|| format!("{name}: not settings of this program; see docs/LAB.md"))
}

/// Signal handlers; to be set before anything is served.
fn stop_signals() -> Result<Signals> {
    Signals::new([SIGTERM, SIGINT]).context("signal handlers cannot be set")
}

fn wait(mut signals: Signals) {
    signals.forever().next();
}
