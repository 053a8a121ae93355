//! A model served over HTTP.

use super::driver::{Driver, TimedModel};
use super::front::FrontSettings;
use crate::platform::PlatformClient;
use millpass_http::{Handler, Server, ServerHandle};
use millpass_proto::{Duration, PlatformMachine};
use std::net::SocketAddr;
use std::sync::Arc;

/// A running stand-in. Dropping it is equivalent to [`Served::stop`].
pub struct Served<M: TimedModel> {
    server: ServerHandle,
    driver: Arc<Driver<M>>,
    platform: Option<PlatformClient>,
    advertise: Option<SocketAddr>,
}

impl<M: TimedModel> Served<M> {
    /// Binds the listener and starts serving.
    pub(crate) fn start(
        name: &str,
        front: &FrontSettings,
        driver: Arc<Driver<M>>,
        handler: Arc<dyn Handler>,
    ) -> anyhow::Result<Self> {
        let server = Server::bind(front.listen, front.server(name))?;
        Ok(Served {
            server: server.serve(handler),
            driver,
            platform: None,
            advertise: front.advertise,
        })
    }

    /// Registers the machine, with the address set here, in the platform list at `list`, if given.
    pub(crate) fn register(mut self, list: Option<&str>, mut machine: PlatformMachine) -> Self {
        let reached_at = self.advertise.unwrap_or(self.address());
        machine.address = reached_at.to_string();
        self.platform = list.map(|address| PlatformClient::register(address, machine));
        self
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Queries the model at the current time; for checkers.
    pub fn read<T>(&self, query: impl FnOnce(&M, millpass_proto::Timestamp) -> T) -> T {
        self.driver.read(query)
    }

    /// Departs gracefully: marks the machine as leaving, continues to serve for `notice`, waits at most
    /// `grace` for requests in flight, and removes the machine from the list. Both are real time.
    pub fn leave(&self, notice: Duration, grace: Duration) {
        PlatformClient::leave(self.platform.as_ref(), &self.server, notice, grace);
        self.driver.stop();
    }

    /// Stops immediately, as if the machine were reclaimed: aborts requests and leaves the list unchanged.
    pub fn stop(&self) {
        self.driver.stop();
        self.server.stop();
    }
}

impl<M: TimedModel> Drop for Served<M> {
    fn drop(&mut self) {
        self.stop();
    }
}
