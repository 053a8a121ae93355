//! Weight copies on engines that cannot be instructed yet.
//!
//! Load: more models are requested than fit, so that many engines swap models at any time, and most
//! models have local copies on one or two engines. The engine with the copy is then often busy.
//! Waiting for it takes about a second, a load from the weight store several, and the store serves
//! few at once.

use crate::engines::Engine;
use crate::planner::UNLOAD_TIME;
use millpass_proto::{Duration, ModelName, Timestamp, WeightsSource};
use std::collections::HashMap;

/// Expected time until an engine can be instructed whose state is unknown: one read and its
/// response.
const UNKNOWN_STATE_DELAY: Duration = Duration::from_millis(500);

/// Times until models could be ready from copies on busy engines.
#[derive(Default)]
pub(crate) struct BusyCopies {
    ready_in: HashMap<ModelName, Duration>,
}

impl BusyCopies {
    /// Records the copies of an engine that can be instructed in `available_in`. `load_time` returns
    /// the duration of a load; none for models that need not be recorded.
    pub(crate) fn record(
        &mut self,
        engine: &Engine,
        available_in: Duration,
        load_time: impl Fn(&ModelName, WeightsSource) -> Option<Duration>,
    ) {
        let in_memory = engine
            .in_memory
            .iter()
            .map(|model| (model, WeightsSource::Memory));
        let on_disk = engine
            .on_disk
            .iter()
            .map(|model| (model, WeightsSource::Disk));
        for (model, source) in in_memory.chain(on_disk) {
            let Some(load_time) = load_time(model, source) else {
                continue;
            };
            let ready_in = available_in + UNLOAD_TIME + load_time;
            let soonest = self.ready_in.entry(model.clone()).or_insert(ready_in);
            *soonest = ready_in.min(*soonest);
        }
    }

    /// Returns the time until a model could be ready from the first copy that becomes available.
    pub(crate) fn ready_in(&self, model: &ModelName) -> Option<Duration> {
        self.ready_in.get(model).copied()
    }
}

/// Returns the expected time until a busy engine can be instructed. `reserved_load` is the duration
/// of the load for which its memory is reserved.
pub(crate) fn available_in(
    now: Timestamp,
    engine: &Engine,
    instructable_from: Timestamp,
    reserved_load: Duration,
) -> Duration {
    let handover = instructable_from.since(now);
    let instructed = match &engine.reserved_model {
        Some(model) => engine.time_until_ready(now, model, reserved_load),
        None if engine.pending.is_some() => {
            let pending = engine.pending.as_ref();
            pending.map_or(Duration::ZERO, |pending| pending.expected_end.since(now))
        }
        None => UNKNOWN_STATE_DELAY,
    };
    handover.max(instructed)
}
