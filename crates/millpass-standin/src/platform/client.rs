//! Client that registers a machine in the platform's list.

use millpass_http::ServerHandle;
use millpass_proto::{Duration, PlatformMachine};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use ureq::Agent;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Registration attempts, one per [`RETRY_INTERVAL`]; the list may start later than the machine.
const ATTEMPTS: u32 = 600;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A machine's registration in the list.
pub struct PlatformClient {
    agent: Agent,
    address: String,
    machine: PlatformMachine,
    is_cancelled: Arc<AtomicBool>,
}

impl PlatformClient {
    /// Registers a machine in the list at `address`; if the first attempt fails, a thread retries for a
    /// minute.
    pub fn register(address: &str, machine: PlatformMachine) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        let client = PlatformClient {
            agent: Agent::new_with_config(config),
            address: address.to_owned(),
            machine,
            is_cancelled: Arc::new(AtomicBool::new(false)),
        };
        if let Err(error) = try_register(&client.agent, &client.address, &client.machine) {
            log::warn!("event=register_failed error={error:?} next=retry");
            client.register_later();
        }
        client
    }

    /// Marks the machine as leaving.
    pub fn mark_leaving(&self) -> Result<(), ureq::Error> {
        let url = format!("{}/leaving", self.url());
        self.agent.post(&url).send_empty().map(drop)
    }

    /// Removes the machine from the list.
    pub fn remove(&self) -> Result<(), ureq::Error> {
        self.agent.delete(&self.url()).call().map(drop)
    }

    /// Departs gracefully: marks the machine as leaving, continues to serve for `notice` while the state
    /// propagates, waits at most `grace` for requests in flight, and removes the machine from the list.
    pub(crate) fn leave(
        client: Option<&PlatformClient>,
        server: &ServerHandle,
        notice: Duration,
        grace: Duration,
    ) {
        if let Some(client) = client {
            client.is_cancelled.store(true, Ordering::Relaxed);
            log_failure("mark_leaving", client.mark_leaving());
            std::thread::sleep(notice);
        }
        let drained = server.drain(grace);
        log::info!(
            "event=drained finished={} cut={}",
            drained.finished,
            drained.cut
        );
        if let Some(client) = client {
            log_failure("remove", client.remove());
        }
    }

    fn register_later(&self) {
        let (agent, address) = (self.agent.clone(), self.address.clone());
        let (machine, is_cancelled) = (self.machine.clone(), self.is_cancelled.clone());
        let attempt_all = move || {
            for _ in 0..ATTEMPTS {
                std::thread::sleep(RETRY_INTERVAL);
                if is_cancelled.load(Ordering::Relaxed) {
                    return;
                }
                if try_register(&agent, &address, &machine).is_ok() {
                    return;
                }
            }
            log::error!("event=register_given_up remedy=\"start the platform list, restart\"");
        };
        let started = std::thread::Builder::new()
            .name("register".to_owned())
            .spawn(attempt_all);
        if let Err(error) = started {
            log::error!("event=register_thread_failed error={error:?}");
        }
    }

    fn url(&self) -> String {
        let name = utf8_percent_encode(self.machine.backend.as_str(), NON_ALPHANUMERIC);
        format!("http://{}/machines/{name}", self.address)
    }
}

impl Drop for PlatformClient {
    fn drop(&mut self) {
        self.is_cancelled.store(true, Ordering::Relaxed);
    }
}

fn try_register(
    agent: &Agent,
    address: &str,
    machine: &PlatformMachine,
) -> Result<(), ureq::Error> {
    let url = format!("http://{address}/machines");
    agent.post(&url).send_json(machine).map(drop)
}

fn log_failure(what: &str, result: Result<(), ureq::Error>) {
    if let Err(error) = result {
        log::warn!("event=platform_call_failed call={what} error={error:?}");
    }
}
