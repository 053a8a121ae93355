//! Notes what instances state of themselves in the heads of their answers.

use crate::interface::AnswerFacts;
use crate::metrics::millis;
use crate::shared::Shared;
use millpass_dispatch::{StatementChange, Ticket};
use millpass_proto::{InstanceId, LimitUpdate, Timestamp};
use millpass_telemetry::event_line;

/// Takes what the answer to a send states of its instance. Another run at its address speaks for itself only.
pub(crate) fn note_statement(
    shared: &Shared,
    ticket: &Ticket,
    instance: &InstanceId,
    sent_at: Timestamp,
    facts: &AnswerFacts,
) {
    let speaker = facts.instance.as_ref();
    if speaker.is_some_and(|speaker| speaker.name() != instance.name()) {
        return;
    }
    let now = shared.now();
    let statement = &facts.statement;
    let changes = shared
        .core()
        .record_statement(now, sent_at, instance, statement);
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log_change(shared, Some(ticket), instance, change);
    }
    note_changed(shared);
    shared.report.notify(1);
}

/// Takes the limits that the leader tells.
pub(crate) fn take_limits(shared: &Shared, update: &LimitUpdate) {
    let changes = shared.core().apply_limits(shared.now(), update);
    for (instance, change) in changes {
        log_change(shared, None, &instance, change);
    }
    note_changed(shared);
}

fn note_changed(shared: &Shared) {
    let limited = shared.core().limited_instances();
    shared.metrics.limited.set(limited as i64);
    shared.changed.notify(usize::MAX);
}

/// Logs a change of what is known of an instance by its own statements; without a ticket the leader told it.
fn log_change(
    shared: &Shared,
    ticket: Option<&Ticket>,
    instance: &InstanceId,
    change: StatementChange,
) {
    let (name, value) = match change {
        StatementChange::Limited(rate) => ("limited", rate.milli_per_second.to_string()),
        StatementChange::Unlimited => ("unlimited", String::new()),
        StatementChange::Backoff(rest) => ("resting", millis(rest)),
        StatementChange::Leaving => ("leaving", String::new()),
        StatementChange::Malformed => ("unreadable", String::new()),
    };
    shared.metrics.statements.with_label_values(&[name]).inc();
    let request = ticket.map(|ticket| ticket.description.attempt.clone());
    let pairs = [
        ("instance", instance.0.clone()),
        ("change", name.to_owned()),
        ("value", value),
        ("request", request.unwrap_or_default()),
    ];
    let line = event_line("instance_stated", &pairs);
    match change {
        StatementChange::Malformed => {
            log::warn!("{line} remedy=\"have the server state a decimal number without sign\"");
        }
        _ => log::info!("{line}"),
    }
}
