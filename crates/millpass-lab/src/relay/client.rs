//! Client of the control port of a relay.

use super::control::{CutRequest, ProcessZone, RelayStatus};
use super::paths::PathKey;
use anyhow::Context;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the control port of one relay.
#[derive(Clone, Debug)]
pub struct RelayClient {
    agent: ureq::Agent,
    base: String,
}

impl RelayClient {
    /// Creates a client of the control port at this address.
    pub fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        RelayClient {
            agent: config.new_agent(),
            base: format!("http://{address}"),
        }
    }

    /// Returns the state of the relay.
    pub fn status(&self) -> anyhow::Result<RelayStatus> {
        let mut response = self
            .agent
            .get(format!("{}/status", self.base))
            .call()
            .context("the control port of the relay does not respond")?;
        Ok(response.body_mut().read_json()?)
    }

    /// Registers the zone of a process; `None` removes the process.
    pub fn set_process_zone(&self, process: u32, zone: Option<&str>) -> anyhow::Result<()> {
        let update = ProcessZone {
            process: i32::try_from(process)?,
            zone: zone.map(str::to_owned),
        };
        self.post("processes", &update)
    }

    /// Cuts a pair of zones.
    pub fn cut(&self, pair: &PathKey, one_way: bool) -> anyhow::Result<()> {
        let pair = pair.clone();
        self.post("cut", &CutRequest { pair, one_way })
    }

    /// Removes the cut of a pair of zones, in both directions.
    pub fn heal(&self, pair: &PathKey) -> anyhow::Result<()> {
        let request = CutRequest {
            pair: pair.clone(),
            one_way: false,
        };
        self.post("heal", &request)
    }

    /// Removes all cuts.
    pub fn heal_all(&self) -> anyhow::Result<()> {
        self.post("heal-all", &())
    }

    fn post<T: serde::Serialize>(&self, path: &str, body: &T) -> anyhow::Result<()> {
        self.agent
            .post(format!("{}/{path}", self.base))
            .send_json(body)
            .with_context(|| format!("the relay rejected the request {path}"))?;
        Ok(())
    }
}
