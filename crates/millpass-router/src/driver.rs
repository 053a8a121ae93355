//! Drives the decision core: one step at a time, and carries its outputs out in order.
//!
//! Lock order: `core`, then `delivery`, then one of the leaves (request table, a request's
//! attempt, an attempt's progress, a connection's owner, watch list, outbox). The core's lock is
//! let go before the outputs are carried out; `delivery` is taken before that, so that outputs of
//! two steps never overtake each other. Nothing that is done under `delivery` waits: signals,
//! frames and watch lists go into channels and tables. Log lines are written under no lock.

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

/// The decision core with what its outputs act on.
pub(crate) struct Driver {
    core: Mutex<Routing>,
    delivery: Mutex<()>,
    pub(crate) clock: ProcessClock,
    pub(crate) requests: RequestTable,
    pub(crate) outbox: Outbox,
    pub(crate) watch: WatchList,
    pub(crate) metrics: Metrics,
    pub(crate) models: Arc<ModelsView>,
    /// Microseconds of the clock at the leader's last answer; 0 before the first.
    leader_answered: AtomicU64,
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
            leader_answered: AtomicU64::new(0),
            drained,
        }
    }

    /// Gives the core one input and carries out what it answers.
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

    /// Notes an answer of the leader before the core gets it.
    pub(crate) fn note_leader_answer(&self, input: &RoutingInput) {
        if let RoutingInput::Update(update) = input {
            let now = self.clock.now().as_micros().max(1);
            self.leader_answered.store(now, Ordering::Release);
            if let Some(delta) = &update.configuration {
                self.models.apply(delta);
            }
        }
    }

    /// Time left of the lease; zero without one.
    pub(crate) fn lease_left(&self) -> Duration {
        self.snapshot().lease_remaining
    }

    /// Counters and sizes of the core.
    fn snapshot(&self) -> RoutingSnapshot {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.snapshot(self.clock.now())
    }

    /// Why a request stands as it does, or ended as it did.
    pub(crate) fn explain(&self, request_id: &str) -> Option<Explanation> {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.explain_by_id(request_id, self.clock.now())
    }

    /// Sets the gauges that are read when asked for.
    pub(crate) fn update_gauges(&self) {
        let age = self.leader_silence();
        let millis = age.map_or(-1, |age| age.as_millis() as i64);
        self.metrics.lease_age_millis.set(millis);
        self.metrics.set_snapshot(&self.snapshot());
    }

    fn leader_silence(&self) -> Option<Duration> {
        match self.leader_answered.load(Ordering::Acquire) {
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
                // Nobody waits when the router is being stopped hard.
                let _ = self.drained.try_send(());
            }
        }
    }
}

fn log_event(event: &RoutingEvent) {
    let line = millpass_telemetry::event_line(event.name, &event.pairs);
    log::info!("{line}");
}
