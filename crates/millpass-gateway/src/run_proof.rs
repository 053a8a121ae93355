//! Waits until it is certain which process run is behind a connection.

use crate::shared::Shared;
use millpass_proto::{InstanceId, Timestamp};

/// A connection, and when the run behind it must have been alive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunQuestion<'a> {
    pub(crate) run: &'a InstanceId,
    pub(crate) opened_at: Timestamp,
    pub(crate) alive_at: Timestamp,
}

/// Returns whether a run was behind a connection and alive; false if that is not certain in time or the
/// run has departed.
pub(crate) async fn is_certain(
    shared: &Shared,
    question: RunQuestion<'_>,
    until: Timestamp,
) -> bool {
    let RunQuestion {
        run,
        opened_at,
        alive_at,
    } = question;
    loop {
        let changed = shared.changed.listen();
        {
            let mut core = shared.core();
            if core.is_same_run(run, opened_at, alive_at) {
                return true;
            }
            if shared.now() >= until || !core.is_known(run) {
                return false;
            }
            core.ask_for_run(run, until);
        }
        shared.report.notify(1);
        shared.wait_for_change(changed, until).await;
    }
}
