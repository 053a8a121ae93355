//! The relay process.

use super::{read_settings, stop_signals, wait_for_signal};
use crate::relay::{Relay, RelaySettings};
use anyhow::Result;
use millpass_http::{Handler, Request, Responder, Server, ServerSettings};
use std::path::Path;
use std::sync::Arc;

struct ControlPort(Relay);

impl Handler for ControlPort {
    fn handle(&self, request: Request, responder: Responder) {
        self.0.handle_request(&request, responder);
    }
}

/// Runs the relay until SIGTERM.
pub fn run_relay(file: &Path) -> Result<()> {
    let signals = stop_signals()?;
    let settings: RelaySettings = read_settings(file)?;
    let relay = Relay::start(&settings)?;
    let server_settings = ServerSettings {
        name: "relay-control".to_owned(),
        executor_threads: 1,
        ..ServerSettings::default()
    };
    let server = Server::bind(settings.control_listen, server_settings)?;
    let serving = server.serve(Arc::new(ControlPort(relay)));
    wait_for_signal(signals);
    serving.stop();
    Ok(())
}
