//! Finds out whether a body that nothing but the end of its connection ends is whole.
//!
//! The kernel closes the connections of a process that crashes as it does those of one that has
//! written its response. The body is whole if the process run that wrote it was alive after the end.

use crate::probe::{self, ProbeOutcome};
use crate::run_proof::{self, RunQuestion};
use crate::shared::{Active, ActiveSend, Shared};
use async_io::Timer;
use millpass_proto::{Duration, Timestamp};
use std::sync::Arc;

/// Maximum time to find out whether an address takes connections: a busy server may drop the first
/// packets of some. Within it no process ends and returns that refuses none.
const CONNECT_WAIT: Duration = Duration::from_millis(750);
/// Least time between two attempts.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether a body is whole that has ended with its connection. False if that cannot be found
/// out until `until`.
pub(crate) async fn is_whole(shared: &Arc<Shared>, active: &Active, until: Timestamp) -> bool {
    let is_whole = match active {
        Active::Instance(send) => was_alive(shared, send, until).await,
        // The other gateway states the end of the body.
        Active::Peer(_) => false,
    };
    if !is_whole {
        shared.metrics.unconfirmed_ends.inc();
    }
    is_whole
}

/// Returns whether the process run that responded was alive after the end of its response.
async fn was_alive(shared: &Arc<Shared>, send: &ActiveSend, until: Timestamp) -> bool {
    let ended_at = shared.now();
    let may_be_old = shared.pauses.may_be_old(ended_at);
    match connect(shared, send).await {
        ProbeOutcome::Refused => return false,
        // Another process may have come up within the pause.
        ProbeOutcome::Connected if !may_be_old => return true,
        ProbeOutcome::Connected | ProbeOutcome::Unknown => {}
    }
    let Some(opened_at) = send.connection_opened_at() else {
        return false;
    };
    let question = RunQuestion {
        run: &send.record().instance,
        opened_at,
        alive_at: ended_at,
    };
    run_proof::is_certain(shared, question, until).await
}

/// Connects to the address that responded. It is that of the send: an instance that has departed serves
/// on for a time.
async fn connect(shared: &Arc<Shared>, send: &ActiveSend) -> ProbeOutcome {
    let instance = &send.record().instance;
    let until = shared.now() + CONNECT_WAIT;
    while shared.now() < until {
        let address = send.address().to_owned();
        match probe::probe(shared.clone(), instance.clone(), address).await {
            ProbeOutcome::Unknown => Timer::after(MINIMUM_INTERVAL).await,
            outcome => return outcome,
        };
    }
    ProbeOutcome::Unknown
}
