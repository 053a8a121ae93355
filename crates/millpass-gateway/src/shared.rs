//! The decision core behind its lock, and who waits for news.

use crate::interface::Interface;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::settings::GatewaySettings;
use async_executor::Executor;
use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::future;
use millpass_dispatch::{Choice, Dispatcher, SendOutcome, SendRecord, Ticket};
use millpass_proto::{Duration, Timestamp};
use millpass_telemetry::ProcessClock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Longest time between two looks at the clock while a deadline is waited for: after a suspension a request is
/// held at most this much beyond its time.
const LONGEST_SLEEP: Duration = Duration::from_millis(1_000);

/// What all tasks of the process share.
pub(crate) struct Shared {
    pub(crate) settings: GatewaySettings,
    pub(crate) interface: Arc<dyn Interface>,
    core: Mutex<Dispatcher>,
    pub(crate) clock: ProcessClock,
    /// Notified when instances, routes or room change.
    pub(crate) changed: Event,
    /// Notified when a report should go out at once.
    pub(crate) report: Event,
    /// Notified when members should be asked at once; `asked` says so.
    pub(crate) ask: Event,
    pub(crate) asked: AtomicBool,
    /// Answers of members to questions so far.
    pub(crate) answers: AtomicUsize,
    /// Notified when a member has answered a question.
    pub(crate) member_answered: Event,
    /// Notified when sends broke and instances are to be looked at.
    pub(crate) probe: Event,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) executor: &'static Executor<'static>,
    pub(crate) draining: AtomicBool,
    /// Set when callers have had time to turn elsewhere: connections end after their answer.
    pub(crate) closing: AtomicBool,
    /// Notified when `closing` is set.
    pub(crate) close: Event,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) connections: AtomicUsize,
}

impl Shared {
    pub(crate) fn new(
        settings: GatewaySettings,
        interface: Arc<dyn Interface>,
        metrics: Metrics,
        executor: &'static Executor<'static>,
    ) -> Self {
        Shared {
            core: Mutex::new(Dispatcher::new(settings.dispatch.clone())),
            clock: settings.clock,
            pool: Pool::new(settings.clock),
            settings,
            interface,
            changed: Event::new(),
            report: Event::new(),
            ask: Event::new(),
            asked: AtomicBool::new(true),
            answers: AtomicUsize::new(0),
            member_answered: Event::new(),
            probe: Event::new(),
            metrics,
            executor,
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            close: Event::new(),
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Dispatcher> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Decides what to do with a request now. What the leader should hear of at once is sent.
    pub(crate) fn choose(&self, now: Timestamp, ticket: &mut Ticket) -> Choice {
        let mut core = self.core();
        let choice = core.choose(now, ticket);
        if core.is_report_urgent() || core.is_permit_request_due(now) {
            self.report.notify(1);
        }
        choice
    }

    /// Waits until connections are to end.
    pub(crate) async fn closed(&self) {
        loop {
            let notified = self.close.listen();
            if self.closing.load(Ordering::Acquire) {
                return;
            }
            notified.await;
        }
    }

    pub(crate) fn start_closing(&self) {
        self.closing.store(true, Ordering::Release);
        self.close.notify(usize::MAX);
    }

    /// Waits until something changes or `until` has come. `changed` is listened to before what is
    /// waited for is looked at, so that no change is missed.
    pub(crate) async fn wait_for_change(&self, changed: EventListener, until: Timestamp) {
        future::or(changed, self.sleep_until(until)).await;
    }

    /// Sleeps until a point of time. Timers stand still while the machine is suspended, so it looks at the clock
    /// between.
    pub(crate) async fn sleep_until(&self, until: Timestamp) {
        loop {
            let left = self.clock.left_until(until);
            Timer::after(left.min(LONGEST_SLEEP)).await;
            if left <= LONGEST_SLEEP {
                return;
            }
        }
    }

    /// Lets members be asked at once.
    pub(crate) fn ask_members(&self) {
        self.asked.store(true, Ordering::Release);
        self.ask.notify(1);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// A send under way; ends once, as given up if nothing else is said.
pub(crate) struct ActiveSend {
    shared: Arc<Shared>,
    record: SendRecord,
    ended: bool,
}

impl ActiveSend {
    pub(crate) fn new(shared: Arc<Shared>, record: SendRecord) -> Self {
        ActiveSend {
            shared,
            record,
            ended: false,
        }
    }

    pub(crate) fn record(&self) -> &SendRecord {
        &self.record
    }

    /// Notes how it ended.
    pub(crate) fn end(mut self, end: SendOutcome) {
        self.note(end);
    }

    fn note(&mut self, end: SendOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.shared.metrics.count_send(end);
        let now = self.shared.now();
        self.shared
            .core()
            .record_send_outcome(now, &self.record, end);
        if end == SendOutcome::Broken {
            self.shared.probe.notify(1);
        }
        self.shared.changed.notify(usize::MAX);
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        self.note(SendOutcome::Abandoned);
    }
}
