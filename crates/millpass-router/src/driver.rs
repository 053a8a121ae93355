//! Steps the decision core and delivers its outputs in order.
//!
//! Lock order: `core`, then `delivery`, then one leaf lock (request table, a request's attempt, an
//! attempt's progress, a connection's owner, watch list, outbox). `delivery` is acquired before
//! `core` is released, so outputs of two steps are never reordered. Nothing blocks under
//! `delivery`: outputs go into channels and tables. Logging happens without locks.

use crate::attempt::AttemptControl;
use crate::metrics::Metrics;
use crate::models::ModelsView;
use crate::outbox::Outbox;
use crate::requests::{RequestTable, Signal};
use crate::watch::WatchList;
use crossbeam::channel::Sender;
use millpass_proto::{ClaimRequest, RouterToControl, Timestamp};
use millpass_routing::{
    Explanation, Routing, RoutingEvent, RoutingInput, RoutingOutput, RoutingSettings,
    RoutingSnapshot,
};
use millpass_telemetry::{ProcessClock, unix_millis};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The decision core and the targets of its outputs.
pub(crate) struct Driver {
    core: Mutex<Routing>,
    delivery: Mutex<()>,
    pub(crate) clock: ProcessClock,
    pub(crate) requests: RequestTable,
    pub(crate) outbox: Outbox,
    pub(crate) watch: WatchList,
    pub(crate) metrics: Metrics,
    pub(crate) models: Arc<ModelsView>,
    /// Clock reading at the leader's last update, in microseconds; 0 before the first.
    last_leader_update_micros: AtomicU64,
    drained: Sender<()>,
}

impl Driver {
    pub(crate) fn new(settings: RoutingSettings, metrics: Metrics, drained: Sender<()>) -> Self {
        let clock = ProcessClock::start();
        Driver {
            core: Mutex::new(Routing::new(settings, clock.now())),
            delivery: Mutex::new(()),
            clock,
            requests: RequestTable::default(),
            outbox: Outbox::default(),
            watch: WatchList::default(),
            metrics,
            models: Arc::default(),
            last_leader_update_micros: AtomicU64::new(0),
            drained,
        }
    }

    /// Passes one input to the core and delivers the outputs.
    pub(crate) fn step(&self, input: RoutingInput) {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let outputs = core.step(self.clock.now(), unix_millis(), input);
        if outputs.is_empty() {
            return;
        }
        let order = self.delivery.lock().unwrap_or_else(PoisonError::into_inner);
        drop(core);
        let mut events = Vec::new();
        for output in outputs {
            self.deliver(output, &mut events);
        }
        drop(order);
        events.iter().for_each(log_event);
    }

    /// Records an update from the leader before it is passed to the core.
    pub(crate) fn record_leader_update(&self, input: &RoutingInput) {
        if let RoutingInput::Update(update) = input {
            let now = self.clock.now().as_micros().max(1);
            self.last_leader_update_micros.store(now, Ordering::Release);
            if let Some(delta) = &update.configuration {
                self.models.apply(delta);
            }
        }
    }

    /// Remaining time of the lease; zero without one.
    pub(crate) fn lease_remaining(&self) -> Duration {
        self.snapshot().lease_remaining
    }

    fn snapshot(&self) -> RoutingSnapshot {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.snapshot(self.clock.now())
    }

    /// Explains the state or the outcome of a request.
    pub(crate) fn explain(&self, request_id: &str) -> Option<Explanation> {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.explain_by_id(request_id, self.clock.now())
    }

    /// Updates the gauges that are computed on scrape.
    pub(crate) fn update_gauges(&self) {
        let age = self.time_since_leader_update();
        let millis = age.map_or(-1, |age| age.as_millis() as i64);
        self.metrics.lease_age_millis.set(millis);
        self.metrics.set_snapshot(&self.snapshot());
    }

    fn time_since_leader_update(&self) -> Option<Duration> {
        match self.last_leader_update_micros.load(Ordering::Acquire) {
            0 => None,
            micros => Some(self.clock.now().since(Timestamp::from_micros(micros))),
        }
    }

    fn deliver(&self, output: RoutingOutput, events: &mut Vec<RoutingEvent>) {
        match output {
            RoutingOutput::Dispatch(dispatch) => {
                if let Some(entry) = self.requests.get(dispatch.request) {
                    let control = AttemptControl::new(self.clock, dispatch.send_before);
                    entry.dispatch(dispatch, Arc::new(control));
                }
            }
            RoutingOutput::Refuse(request, refusal) | RoutingOutput::BreakOff(request, refusal) => {
                if let Some(entry) = self.requests.get(request) {
                    entry.finish_with(Signal::Refuse(refusal));
                }
            }
            RoutingOutput::Replay(request, answer) => {
                if let Some(entry) = self.requests.get(request) {
                    entry.finish_with(Signal::Replay(answer));
                }
            }
            RoutingOutput::Cancel(request) => {
                if let Some(entry) = self.requests.get(request) {
                    entry.cancel();
                }
            }
            RoutingOutput::SendHello(hello) => self.outbox.send(RouterToControl::Hello(hello)),
            RoutingOutput::SendReport(report) => self.outbox.send(RouterToControl::Report(report)),
            RoutingOutput::SendClaim(claim) => {
                let request = ClaimRequest { claim };
                self.outbox.send(RouterToControl::Claim(request));
            }
            RoutingOutput::SendClaimFinish(finish) => {
                self.outbox.send(RouterToControl::FinishClaim(finish));
            }
            RoutingOutput::Watch(backends) => {
                self.metrics.watched.set(backends.len() as i64);
                self.watch.replace(backends);
            }
            RoutingOutput::Event(event) => events.push(event),
            RoutingOutput::Drained => {
                // Nobody receives it during an immediate stop.
                let _ = self.drained.try_send(());
            }
        }
    }
}

fn log_event(event: &RoutingEvent) {
    let line = millpass_telemetry::event_line(event.name, &event.pairs);
    log::info!("{line}");
}
