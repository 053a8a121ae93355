//! Log lines and metrics about instances and services that this gateway does not reach.

use crate::metrics::millis;
use crate::shared::Shared;
use millpass_dispatch::PathChange;
use millpass_telemetry::event_line;

/// Logs changes of what is reached, and updates the metrics.
pub(crate) fn log_changes(shared: &Shared) {
    let (changes, (services, instances)) = {
        let mut core = shared.core();
        (core.take_path_changes(), core.unreachable_counts())
    };
    if changes.is_empty() {
        return;
    }
    shared.metrics.unreachable_services.set(services as i64);
    shared.metrics.unreachable_instances.set(instances as i64);
    for change in changes {
        log_change(shared, &change, instances);
    }
}

fn log_change(shared: &Shared, change: &PathChange, instances: usize) {
    let (name, service, detail) = match change {
        PathChange::InstanceLost(service, instance) => (
            "instance_unreachable",
            service,
            ("instance", instance.0.clone()),
        ),
        PathChange::InstanceReached(service, instance) => (
            "instance_reached",
            service,
            ("instance", instance.0.clone()),
        ),
        PathChange::ServiceLost(service) => (
            "service_unreachable",
            service,
            ("failed", instances.to_string()),
        ),
        PathChange::ServiceReached(service, length) => {
            ("service_reached", service, ("after_ms", millis(*length)))
        }
    };
    shared.metrics.path_changes.with_label_values(&[name]).inc();
    let line = event_line(name, &[("service", service.0.clone()), detail]);
    match change {
        PathChange::ServiceLost(_) => log::warn!("{line}"),
        _ => log::info!("{line}"),
    }
}
