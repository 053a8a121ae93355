//! Probes instances at which sends broke, to tell an ended process from a broken response.

use crate::pool;
use crate::shared::Shared;
use millpass_proto::InstanceId;
use millpass_telemetry::event_line;
use std::sync::Arc;

/// Probes instances until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let notified = shared.probe.listen();
        let probes = shared.core().take_probes();
        if probes.is_empty() {
            notified.await;
            continue;
        }
        for (instance, address) in probes {
            let probe = probe(shared.clone(), instance, address);
            shared.executor.spawn(probe).detach();
        }
    }
}

/// Connects once. A successful connection goes to the pool.
async fn probe(shared: Arc<Shared>, instance: InstanceId, address: String) {
    shared.metrics.connects.inc();
    let timeout = shared.settings.connect_timeout;
    let connector = &shared.settings.connector;
    match pool::connect(shared.executor, connector, &address, timeout).await {
        Ok(connection) => shared.pool.put(&instance, connection.sender, None),
        Err(error) if error.is_refused() => record_run_ended(&shared, &instance, &address),
        Err(error) => log::debug!("event=instance_unclear instance={instance} error=\"{error}\""),
    }
}

fn record_run_ended(shared: &Shared, instance: &InstanceId, address: &str) {
    shared.metrics.instance_ends.inc();
    let pairs = [
        ("instance", instance.0.clone()),
        ("address", address.to_owned()),
    ];
    log::info!("{}", event_line("instance_ended", &pairs));
    shared.core().run_ended(shared.now(), instance);
    shared.report.notify(1);
    shared.changed.notify(usize::MAX);
}
