//! State shared by all tasks: the decision core behind its lock, and change notifications.

use crate::body_memory::BodyMemory;
use crate::caller_limits::CallerLimits;
use crate::interface::Interface;
use crate::metrics::Metrics;
use crate::pauses::PauseDetector;
use crate::pool::{InstanceSender, Pool};
use crate::reach;
use crate::settings::GatewaySettings;
use async_executor::Executor;
use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::future;
use millpass_dispatch::admission::WaiterNumber;
use millpass_dispatch::{
    Choice, Dispatcher, ForwardOutcome, PeerEndpoint, RefusalReason, SendOutcome, SendRecord,
    Ticket,
};
use millpass_proto::{Duration, InstanceId, Timestamp};
use millpass_telemetry::ProcessClock;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum time between two clock checks while waiting for a deadline: bounds the overrun after a
/// suspension.
const MAXIMUM_SLEEP: Duration = Duration::from_millis(1_000);

/// State shared by all tasks.
pub(crate) struct Shared {
    pub(crate) settings: GatewaySettings,
    pub(crate) interface: Arc<dyn Interface>,
    core: Mutex<Dispatcher>,
    /// Events of the requests that wait in a queue, each notified when its request must decide.
    /// Entries are added under the lock of `core`, so that no call is missed.
    turns: Mutex<HashMap<WaiterNumber, Arc<Event>>>,
    pub(crate) clock: ProcessClock,
    /// Notified when instances, routes or quotas change. Requests that wait in a queue are called
    /// one by one instead.
    pub(crate) changed: Event,
    /// Notified when a report should be sent at once.
    pub(crate) report: Event,
    /// Notified when members should be queried at once; `query_requested` is set first.
    pub(crate) query: Event,
    pub(crate) query_requested: AtomicBool,
    /// Number of query responses received.
    pub(crate) responses: AtomicUsize,
    /// Notified when a member has responded to a query.
    pub(crate) member_responded: Event,
    /// Notified when instances should be probed after broken sends.
    pub(crate) probe: Event,
    /// Notified when requests in flight may have been quarantined.
    pub(crate) quarantine: Event,
    pub(crate) body_memory: Arc<BodyMemory>,
    pub(crate) pauses: PauseDetector,
    /// Limits of the newest document.
    pub(crate) caller_limits: CallerLimits,
    pub(crate) pool: Pool<InstanceId>,
    /// Connections to other gateways, by name.
    pub(crate) peer_pool: Pool<String>,
    /// Where this gateway takes requests of others.
    pub(crate) endpoint: PeerEndpoint,
    /// Requests of other gateways in progress.
    pub(crate) forwarded: AtomicUsize,
    pub(crate) metrics: Metrics,
    pub(crate) executor: &'static Executor<'static>,
    pub(crate) draining: AtomicBool,
    /// Set once the accept period of a drain has elapsed: connections close after their response.
    pub(crate) closing: AtomicBool,
    /// Notified when `closing` is set.
    pub(crate) close: Event,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) connections: AtomicUsize,
    /// Whether responses that go on are of interest, for parts of prompts that may crash instances.
    pub(crate) watches_parts: AtomicBool,
}

impl Shared {
    pub(crate) fn new(
        settings: GatewaySettings,
        interface: Arc<dyn Interface>,
        metrics: Metrics,
        executor: &'static Executor<'static>,
        endpoint: PeerEndpoint,
    ) -> Self {
        Shared {
            core: Mutex::new(Dispatcher::new(settings.dispatch.clone())),
            turns: Mutex::default(),
            clock: settings.clock,
            body_memory: BodyMemory::new(settings.body_memory),
            pauses: PauseDetector::new(settings.clock.now()),
            caller_limits: CallerLimits::default(),
            pool: Pool::new(settings.clock),
            peer_pool: Pool::new(settings.clock),
            endpoint,
            forwarded: AtomicUsize::new(0),
            settings,
            interface,
            changed: Event::new(),
            report: Event::new(),
            query: Event::new(),
            query_requested: AtomicBool::new(true),
            responses: AtomicUsize::new(0),
            member_responded: Event::new(),
            probe: Event::new(),
            quarantine: Event::new(),
            metrics,
            executor,
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            close: Event::new(),
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            watches_parts: AtomicBool::new(false),
        }
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Dispatcher> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Decides what to do with a request now. Triggers a report if the leader must be notified at
    /// once. `turn` is the request's turn in a queue.
    pub(crate) fn choose(&self, now: Timestamp, ticket: &mut Ticket, turn: &mut Turn) -> Choice {
        let choice = {
            let mut core = self.core();
            let choice = core.choose(now, ticket);
            let streams_due = core.stream_report_at(now).is_some_and(|at| at <= now);
            if core.is_report_urgent() || core.is_permit_request_due(now) || streams_due {
                self.report.notify(1);
            }
            turn.set(ticket.waiting());
            self.metrics.waiting.set(core.waiting_requests() as i64);
            choice
        };
        if let (Choice::Send { .. }, Some(queue), 1) = (&choice, ticket.queue, ticket.sends) {
            self.metrics.observe_queue_wait(now.since(queue.since));
        }
        self.notify_called();
        choice
    }

    /// Notifies the requests whose turn has come. Must be called after each change of the core that
    /// may call one.
    pub(crate) fn notify_called(&self) {
        let called = self.core().take_called();
        if called.is_empty() {
            return;
        }
        let turns = self.turns();
        for event in called.iter().filter_map(|number| turns.get(number)) {
            event.notify(1);
        }
    }

    fn turns(&self) -> MutexGuard<'_, HashMap<WaiterNumber, Arc<Event>>> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the request's turn comes or, if it is in no queue, for any change; at most until
    /// `until`.
    pub(crate) async fn wait_to_decide(
        &self,
        turn: &mut Turn,
        changed: EventListener,
        until: Timestamp,
    ) {
        let awaited = turn.listener.take().unwrap_or(changed);
        self.wait_for_change(awaited, until).await;
    }

    /// Waits until connections must close.
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

    /// Waits for a change, at most until `until`. Callers create `changed` before they check the
    /// awaited condition, so that no change is missed.
    pub(crate) async fn wait_for_change(&self, changed: EventListener, until: Timestamp) {
        future::or(changed, self.sleep_until(until)).await;
    }

    /// Sleeps until a point in time. Timers stop while the machine is suspended, so the clock is
    /// rechecked.
    pub(crate) async fn sleep_until(&self, until: Timestamp) {
        loop {
            let left = self.clock.left_until(until);
            Timer::after(left.min(MAXIMUM_SLEEP)).await;
            if left <= MAXIMUM_SLEEP {
                return;
            }
        }
    }

    /// Returns true if a request is refused because of crashes that are attributed to it.
    pub(crate) fn is_quarantined(&self, ticket: &Ticket) -> bool {
        let now = self.now();
        self.core().quarantine(now, ticket).is_some()
    }

    /// Completes when a request in flight is quarantined, with the reason.
    pub(crate) async fn quarantined(&self, ticket: &Ticket) -> RefusalReason {
        loop {
            self.quarantine.listen().await;
            let now = self.now();
            if let Some((reason, _)) = self.core().quarantine(now, ticket) {
                return reason;
            }
        }
    }

    /// Updates whether responses that go on are of interest.
    pub(crate) fn update_watch(&self) {
        let is_watching = self.core().is_watching_parts();
        self.watches_parts.store(is_watching, Ordering::Relaxed);
    }

    /// Requests a query of the members at once.
    pub(crate) fn request_query(&self) {
        self.query_requested.store(true, Ordering::Release);
        self.query.notify(1);
    }

    /// Returns true if requests of other gateways are taken.
    pub(crate) fn accepts_forwarded(&self) -> bool {
        self.settings.maximum_forwarded > 0 && !self.is_draining()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// The turn of a request in the queues of waiting requests. Leaves the queue when dropped, also if
/// the caller disconnects while it waits.
pub(crate) struct Turn {
    shared: Arc<Shared>,
    waiting: Option<(WaiterNumber, Arc<Event>)>,
    /// Notified when the request must decide again; created while the core is locked.
    listener: Option<EventListener>,
}

impl Turn {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Turn {
            shared,
            waiting: None,
            listener: None,
        }
    }

    fn set(&mut self, waiting: Option<WaiterNumber>) {
        let Some(number) = waiting else {
            self.listener = None;
            if let Some((number, _)) = self.waiting.take() {
                self.shared.turns().remove(&number);
            }
            return;
        };
        let (_, event) = self.waiting.get_or_insert_with(|| {
            let event = Arc::new(Event::new());
            self.shared.turns().insert(number, event.clone());
            (number, event)
        });
        self.listener = Some(event.listen());
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some((number, _)) = self.waiting.take() {
            self.shared.turns().remove(&number);
            let now = self.shared.now();
            let waiting = {
                let mut core = self.shared.core();
                core.leave_queue(now, number);
                core.waiting_requests()
            };
            self.shared.metrics.waiting.set(waiting as i64);
            self.shared.notify_called();
        }
    }
}

/// A send in progress; its outcome is recorded once, as abandoned if dropped without one.
pub(crate) struct ActiveSend {
    shared: Arc<Shared>,
    record: SendRecord,
    address: String,
    /// When the connection was opened that the response comes on; none before it.
    connection_opened_at: Option<Timestamp>,
    ended: bool,
}

impl ActiveSend {
    /// `address` is where the request is sent.
    pub(crate) fn new(shared: Arc<Shared>, record: SendRecord, address: &str) -> Self {
        ActiveSend {
            shared,
            record,
            address: address.to_owned(),
            connection_opened_at: None,
            ended: false,
        }
    }

    /// Records the connection that the response comes on.
    pub(crate) fn record_connection(&mut self, sender: &InstanceSender) {
        self.connection_opened_at = Some(sender.opened_at);
    }

    /// When the connection was opened that the response comes on; none before it.
    pub(crate) fn connection_opened_at(&self) -> Option<Timestamp> {
        self.connection_opened_at
    }

    /// IP address and port that the request was sent to.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    pub(crate) fn record(&self) -> &SendRecord {
        &self.record
    }

    /// Records that the instance has begun a successful response.
    pub(crate) fn record_begin(&mut self) {
        self.record.begun_at = Some(self.shared.now());
    }

    /// Records the outcome.
    pub(crate) fn end(mut self, end: SendOutcome) {
        self.record_end(end);
    }

    fn record_end(&mut self, end: SendOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.shared.metrics.count_send(end);
        let now = self.shared.now();
        self.shared
            .core()
            .record_send_outcome(now, &self.record, end);
        match end {
            SendOutcome::Broken => {
                self.shared.probe.notify(1);
                self.shared.update_watch();
            }
            SendOutcome::ConnectionRefused => {
                self.shared.quarantine.notify(usize::MAX);
            }
            _ => {}
        }
        reach::log_changes(&self.shared);
        self.shared.notify_called();
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        self.record_end(SendOutcome::Abandoned);
    }
}

/// A request in progress at another gateway; its outcome is recorded once, as abandoned if dropped
/// without one.
pub(crate) struct ActiveForward {
    shared: Arc<Shared>,
    gateway: String,
    ended: bool,
}

impl ActiveForward {
    pub(crate) fn new(shared: Arc<Shared>, gateway: String) -> Self {
        ActiveForward {
            shared,
            gateway,
            ended: false,
        }
    }

    /// Records the outcome of a request whose ticket is still in use.
    pub(crate) fn end_for(mut self, ticket: &mut Ticket, outcome: ForwardOutcome, sends: u32) {
        self.ended = true;
        let now = self.shared.now();
        self.shared
            .core()
            .record_forward_outcome(now, ticket, &self.gateway, outcome, sends);
    }

    fn record_end(&mut self, outcome: ForwardOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.shared.now();
        let mut core = self.shared.core();
        core.record_forward_end(now, &self.gateway, outcome);
    }
}

impl Drop for ActiveForward {
    fn drop(&mut self) {
        self.record_end(ForwardOutcome::Abandoned);
    }
}

/// What serves a request: an instance or another gateway.
pub(crate) enum Active {
    Instance(ActiveSend),
    Peer(ActiveForward),
}

impl Active {
    /// Instance or gateway, for the log.
    pub(crate) fn name(&self) -> &str {
        match self {
            Active::Instance(send) => &send.record().instance.0,
            Active::Peer(forward) => &forward.gateway,
        }
    }

    /// Instance that serves the request over a connection of this gateway.
    pub(crate) fn instance(&self) -> Option<&InstanceId> {
        match self {
            Active::Instance(send) => Some(&send.record().instance),
            Active::Peer(_) => None,
        }
    }

    /// Returns the connection of a complete response to its pool.
    pub(crate) fn put_connection(&self, sender: InstanceSender, keep_alive: Option<Duration>) {
        match self {
            Active::Instance(send) => {
                let instance = &send.record().instance;
                send.shared.pool.put(instance, sender, keep_alive);
            }
            Active::Peer(forward) => {
                let pool = &forward.shared.peer_pool;
                pool.put(&forward.gateway, sender, keep_alive);
            }
        }
    }

    /// Records the outcome.
    pub(crate) fn end(self, outcome: SendOutcome) {
        match self {
            Active::Instance(send) => send.end(outcome),
            Active::Peer(mut forward) => forward.record_end(match outcome {
                SendOutcome::Broken => ForwardOutcome::Failed,
                SendOutcome::Abandoned => ForwardOutcome::Abandoned,
                _ => ForwardOutcome::Responded,
            }),
        }
    }
}
