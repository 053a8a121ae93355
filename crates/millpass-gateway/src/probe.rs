//! Connects to instances whose path is in doubt: those at which sends broke, those out of reach, and
//! others of their service for comparison.

use crate::pool;
use crate::reach;
use crate::shared::Shared;
use async_io::Timer;
use futures_lite::future;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Least time between two rounds.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(5);

/// Probes instances until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let notified = shared.probe.listen();
        let now = shared.now();
        let (probes, next) = {
            let mut core = shared.core();
            let probes = core.take_probes().into_iter();
            let probes: BTreeMap<InstanceId, String> =
                probes.chain(core.take_path_probes(now)).collect();
            (probes, core.next_path_probe_at())
        };
        for (instance, address) in probes {
            let probe = probe(shared.clone(), instance, address);
            shared.executor.spawn(probe).detach();
        }
        wait(&shared, notified, next).await;
        Timer::after(MINIMUM_INTERVAL).await;
    }
}

async fn wait(shared: &Shared, notified: event_listener::EventListener, next: Option<Timestamp>) {
    match next {
        Some(next) => future::or(notified, shared.sleep_until(next)).await,
        None => notified.await,
    }
}

/// What a connection attempt shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    Connected,
    Refused,
    /// The address did not respond, or this machine could not connect.
    Unknown,
}

/// Connects once. A successful connection goes to the pool, unless the instance has departed.
pub(crate) async fn probe(
    shared: Arc<Shared>,
    instance: InstanceId,
    address: String,
) -> ProbeOutcome {
    shared.metrics.connects.inc();
    let timeout = shared.settings.connect_timeout;
    let connector = &shared.settings.connector;
    match pool::connect(shared.executor, connector, &address, timeout, shared.clock).await {
        Ok(connection) => {
            reach::record_connected(&shared, &instance);
            if shared.core().is_known(&instance) {
                shared.pool.put(&instance, connection.sender, None);
            }
            ProbeOutcome::Connected
        }
        Err(error) if error.is_refused() => {
            shared.core().record_refused(shared.now(), &instance);
            shared.quarantine.notify(usize::MAX);
            reach::log_changes(&shared);
            ProbeOutcome::Refused
        }
        Err(error) if error.is_of_path() => {
            shared.core().record_connect_failed(shared.now(), &instance);
            reach::log_changes(&shared);
            ProbeOutcome::Unknown
        }
        Err(error) => {
            log::warn!("event=probe_failed instance={instance} error=\"{error}\"");
            ProbeOutcome::Unknown
        }
    }
}
