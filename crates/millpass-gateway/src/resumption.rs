//! Finds out whether a stream that a caller takes up again may go on.

use crate::shared::Shared;
use millpass_dispatch::{RefusalReason, Resumption, Ticket};
use millpass_proto::{Duration, StreamKey};
use millpass_telemetry::event_line;

/// Why a stream does not go on, and when its caller may come back; none if it must begin anew.
pub(crate) type Refusal = (RefusalReason, Option<Duration>);

/// A question to the leader; withdrawn when dropped, also if the caller leaves.
struct Lookup<'a> {
    shared: &'a Shared,
    stream: StreamKey,
}

impl<'a> Lookup<'a> {
    fn begin(shared: &'a Shared, stream: StreamKey) -> Self {
        shared.core().begin_lookup(&stream);
        shared.report.notify(1);
        Lookup { shared, stream }
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.shared.core().end_lookup(&self.stream);
    }
}

/// Prepares a request that may take up a stream: waits until its origin is known, and requires its
/// software version.
pub(crate) async fn resolve(shared: &Shared, ticket: &mut Ticket) -> Result<(), Refusal> {
    if ticket.description.continuation.is_none() {
        return Ok(());
    }
    let resumption = shared.core().resumption(shared.now(), ticket);
    let (outcome, result) = match resumption {
        Resumption::Decided => ("unnamed", Ok(())),
        Resumption::Refused(reason) => (reason.as_str(), Err((reason, None))),
        Resumption::Ask(stream) => match ask(shared, stream, ticket).await {
            Ok(()) => ("known", Ok(())),
            Err(refusal) => (refusal.0.as_str(), Err(refusal)),
        },
    };
    let returns = &shared.metrics.stream_returns;
    returns.with_label_values(&[outcome]).inc();
    let continuation = ticket.description.continuation.as_ref();
    let attempt = continuation.and_then(|it| it.attempt.clone());
    let software = ticket.required_software();
    let pairs = [
        ("request", ticket.description.attempt.clone()),
        ("continues", attempt.unwrap_or_default()),
        ("outcome", outcome.to_owned()),
        (
            "software",
            software.map_or_else(String::new, |software| software.0.clone()),
        ),
    ];
    log::info!("{}", event_line("stream_taken_up", &pairs));
    result
}

async fn ask(shared: &Shared, stream: StreamKey, ticket: &mut Ticket) -> Result<(), Refusal> {
    let since = shared.now();
    let lookup = Lookup::begin(shared, stream);
    loop {
        let changed = shared.changed.listen();
        let now = shared.now();
        let until = {
            let mut core = shared.core();
            let decided = core.continue_stream(now, since, &lookup.stream, ticket);
            if let Some(result) = decided {
                return result;
            }
            core.check_origin_at(now, since)
        };
        shared.wait_for_change(changed, until).await;
    }
}
