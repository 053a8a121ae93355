//! The core's thread: passes inputs to the decision core and executes its outputs in order.
//!
//! This thread owns the core. It never blocks on a disk, a connection or an engine: these have
//! their own queues and threads, and respond through [`Inputs`](crate::inputs::Inputs).

use crate::calls::CallTable;
use crate::connections::Connections;
use crate::deliveries::{Deliveries, Delivery, EngineRead};
use crate::disk::DiskWork;
use crate::disk_watch::DiskWatch;
use crate::error::ControlError;
use crate::freshness::FreshnessPort;
use crate::inputs::{CoreInput, InputQueue, WaitingInput};
use crate::lateness::{LATENESS_THRESHOLD, LatenessWatch};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::priority::Priority;
use crate::work::{self, WorkKind, WorkMeter};
use crossbeam::channel::Sender;
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ConnectionId, ControlEvent, ControlInput,
    ControlOutput, ControlPlane, FinalState, FreshnessState,
};
use millpass_proto::{LinkMessage, MemberAddress, Membership, Timestamp};
use millpass_telemetry::{Heartbeat, ProcessClock, SuspensionDetector, event_line, unix_millis};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two updates of metrics and checks whether to join.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a leader after which a member requests to join, as it may have been replaced while
/// it was partitioned.
pub(crate) const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time an instance waits for the response to its announcement, as the protocol defines
/// (docs/PLATFORM.md). Older announcements are refused unprocessed.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// The core with the queues and connections that execute its outputs.
pub(crate) struct Member {
    pub(crate) core: ControlPlane,
    pub(crate) clock: ProcessClock,
    pub(crate) address: MemberAddress,
    /// Peer addresses to send join requests to.
    pub(crate) others: Vec<String>,
    pub(crate) queue: InputQueue,
    pub(crate) disk: Sender<DiskWork>,
    pub(crate) disk_watch: Arc<DiskWatch>,
    pub(crate) peers: Peers,
    pub(crate) connections: Arc<Connections>,
    /// `None` if the UDP port was not free.
    pub(crate) freshness: Option<Arc<FreshnessPort>>,
    /// Last published freshness state.
    pub(crate) published: Option<FreshnessState>,
    pub(crate) deliveries: Deliveries,
    /// Whether this member was leading after the last step.
    pub(crate) was_leading: bool,
    pub(crate) platform: Option<String>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) metrics: Arc<Metrics>,
    /// Start of the current time without a known leader.
    pub(crate) leaderless_since: Option<Timestamp>,
    /// Time without a leader at which it is logged next.
    pub(crate) next_leaderless_report: Duration,
    pub(crate) suspensions: SuspensionDetector,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) lateness: LatenessWatch,
    /// Work since the last housekeeping.
    pub(crate) work: WorkMeter,
    /// Whether an input or tick was late since then.
    pub(crate) was_late: bool,
    /// Value of the refused calls metric at the last check.
    pub(crate) refused_calls: i64,
    /// Backlogged connections that the core has not been notified of yet.
    pub(crate) backlogged: Vec<ConnectionId>,
}

/// Why the core's thread ended.
enum End {
    Halted,
    Stopped,
    Failed(ControlError),
}

impl Member {
    /// Body of the thread.
    pub(crate) fn run(mut self) -> Result<(), ControlError> {
        let end = self.serve();
        // Closed first, so that no call is accepted after the waiting ones are failed.
        self.queue.close();
        self.connections.close();
        if let Some(port) = &self.freshness {
            port.close();
        }
        self.calls.fail_all();
        match end {
            End::Halted => Ok(()),
            End::Failed(error) => Err(error),
            End::Stopped => match self.core.final_state() {
                Some(FinalState::StateUnreadable(reason)) => {
                    Err(ControlError::Stopped(reason.clone()))
                }
                _ => Ok(()),
            },
        }
    }

    fn serve(&mut self) -> End {
        let mut next_tick = Instant::now();
        let mut next_housekeeping = Instant::now();
        loop {
            self.heartbeat.beat();
            let has_stopped = match self.queue.next(next_tick) {
                CoreInput::Input(waiting) => self.handle_input(waiting),
                CoreInput::Tick => {
                    self.record_lateness(None, next_tick);
                    let delay = self.queue.oldest_wait(Instant::now());
                    self.core.set_input_delay(delay);
                    let has_stopped = self.step(ControlInput::Tick);
                    // Measured from the end of the step, so that long ticks leave time for inputs.
                    next_tick = Instant::now() + TICK_INTERVAL;
                    has_stopped
                }
                CoreInput::SnapshotRequested => {
                    self.core.request_snapshot();
                    false
                }
                CoreInput::DiskFailed(error) => return End::Failed(error.into()),
                CoreInput::ThreadEnded(name) => {
                    log::error!("event=control_thread_ended thread={name}");
                    return End::Failed(ControlError::ThreadEnded(name));
                }
                CoreInput::Halt => return End::Halted,
            };
            if has_stopped {
                return End::Stopped;
            }
            if Instant::now() >= next_housekeeping {
                next_housekeeping = Instant::now() + HOUSEKEEPING_INTERVAL;
                self.run_housekeeping();
            }
        }
    }

    fn handle_input(&mut self, waiting: WaitingInput) -> bool {
        self.record_lateness(Some(waiting.class), waiting.since);
        if let Some(call) = expired_announcement(&waiting) {
            self.metrics.expired_announcements.inc();
            self.calls.respond(call, AdministrationResponse::Busy);
            self.core.announcements_refused(self.clock.now());
            return false;
        }
        self.step(waiting.input)
    }

    /// Records how long an input waited, or how late a tick is.
    fn record_lateness(&mut self, class: Option<Priority>, since: Instant) {
        let now = Instant::now();
        let age = now.saturating_duration_since(since);
        match class {
            Some(class) => self.metrics.observe_input_wait(class, age),
            None => self.metrics.observe_tick_lateness(age),
        }
        self.was_late |= age >= LATENESS_THRESHOLD;
        if let Some(late) = self.lateness.record(now, class, age) {
            let class = late.class.map_or("tick", Priority::name);
            let (age_millis, count) = (late.age.as_millis(), late.count);
            let lengths = self.queue.lengths();
            let waiting: usize = lengths.iter().map(|(_, length, _)| length).sum();
            log::warn!(
                "event=core_late class={class} age_ms={age_millis} late={count} waiting={waiting}"
            );
        }
    }

    /// Processes one input; returns true once the core has stopped.
    fn step(&mut self, input: ControlInput) -> bool {
        self.metrics.steps.inc();
        let now = self.clock.now();
        let input_kind = WorkKind::of_input(&input);
        let rounds = self.core.planning_rounds();
        let started = work::thread_time();
        let outputs = self.core.step(now, unix_millis(), input);
        let kind = if self.core.planning_rounds() > rounds {
            WorkKind::Planning
        } else if work::has_update(&outputs) {
            WorkKind::Updates
        } else {
            input_kind
        };
        self.cancel_calls_of_ended_term(now);
        self.publish(now);
        let mut stopped = false;
        for output in outputs {
            stopped |= self.execute(output);
        }
        let elapsed = work::thread_time().saturating_sub(started);
        self.work.record(kind, elapsed);
        // Before any other input, as the notification that the backlog was written may already be
        // queued.
        while let Some(connection) = self.backlogged.pop() {
            let backlogged = true;
            stopped |= self.step(ControlInput::RouterBacklog {
                connection,
                backlogged,
            });
        }
        stopped
    }

    /// Cancels calls once this member has stopped leading or its lease has expired. A member that
    /// leads a later term has not been leading for at least one step in between.
    fn cancel_calls_of_ended_term(&mut self, now: Timestamp) {
        let is_leading = self.core.is_leading(now);
        if std::mem::replace(&mut self.was_leading, is_leading) && !is_leading {
            self.deliveries.cancel();
        }
    }

    /// Publishes the freshness state for queries of gateways.
    fn publish(&mut self, now: Timestamp) {
        let Some(port) = &self.freshness else {
            return;
        };
        let state = self.core.freshness_state(now);
        if self.published.as_ref() != Some(&state) {
            port.publish(self.core.freshness_response(&state));
            self.published = Some(state);
        }
    }

    fn execute(&mut self, output: ControlOutput) -> bool {
        match output {
            ControlOutput::SendPeer { address, envelope } => {
                self.peers.send(&address, LinkMessage::Peer(envelope));
            }
            ControlOutput::SendRouter {
                connection,
                message,
            } => {
                if self.connections.send(connection, *message) {
                    self.backlogged.push(connection);
                }
            }
            ControlOutput::DeliverOrder { address, order } => {
                self.deliveries.submit(Delivery::Order(address, order));
            }
            ControlOutput::ForwardJoin { address, joiner } => {
                self.peers.send(&address, LinkMessage::Join(joiner));
            }
            ControlOutput::SendShare { address, report } => {
                self.peers.send(&address, LinkMessage::Share(report));
            }
            ControlOutput::SendShareResponse { address, response } => {
                self.peers
                    .send(&address, LinkMessage::ShareResponse(response));
            }
            ControlOutput::Instruct {
                instruction,
                deadline,
            } => {
                let delivery = Delivery::Instruct(instruction, deadline);
                self.deliveries.submit(delivery);
            }
            ControlOutput::ReadEngine {
                instance,
                address,
                call,
            } => {
                let read = EngineRead {
                    instance,
                    address,
                    call,
                };
                self.deliveries.submit(Delivery::ReadEngine(read));
            }
            ControlOutput::Persist(request) => self.write(DiskWork::Persist(request)),
            ControlOutput::SaveSnapshot(snapshot) => self.write(DiskWork::Snapshot(snapshot)),
            ControlOutput::ReadPlatform => self.read_platform(),
            ControlOutput::AdministrationResponse { call, response } => {
                self.calls.respond(call, response)
            }
            ControlOutput::DocumentReached(after) => self.metrics.observe_document_delay(after),
            ControlOutput::DepartureReached(after) => self.metrics.observe_departure_delay(after),
            ControlOutput::Event(event) => self.log_event(&event),
            ControlOutput::Stopped => return true,
        }
        false
    }

    /// Queues work for the disk thread; consensus bounds the writes in flight. Sending fails only
    /// after the disk has failed, which is already reported to the input queue.
    fn write(&self, work: DiskWork) {
        let _ = self.disk.send(work);
    }

    fn read_platform(&self) {
        if let Some(address) = &self.platform {
            let delivery = Delivery::ReadPlatform(address.clone());
            self.deliveries.submit(delivery);
        }
    }

    fn log_event(&self, event: &ControlEvent) {
        self.metrics.count_event(event.name);
        log::info!("{}", event_line(event.name, &event.pairs));
    }

    fn run_housekeeping(&mut self) {
        if let Some(time) = self.suspensions.check() {
            let millis = time.as_millis();
            log::warn!("event=machine_suspended suspended_ms={millis}");
        }
        self.metrics.record_disk_write(self.disk_watch.check());
        let status = self.core.consensus_status();
        self.metrics.record_consensus(&status);
        self.metrics
            .record_missing_voters(self.core.missing_voter_count());
        if let Some(sizes) = self.core.fleet_sizes() {
            self.metrics.record_instances(&sizes);
        }
        self.record_queues();
        self.record_work();
        let leaderless = self.is_leaderless(status.leader.is_none());
        if leaderless || !status.membership.contains(self.address.member) {
            self.request_join(&status.membership);
        }
    }

    /// Records the processor time of the core's thread by kind of work. Logs it if an input or tick
    /// was late meanwhile.
    fn record_work(&mut self) {
        let work = self.work.take();
        let mut pairs = Vec::new();
        for (kind, steps, time) in &work {
            self.metrics.count_work(*kind, *steps, *time);
            let millis = time.as_micros() as f64 / 1_000.0;
            pairs.push((kind.name(), format!("{steps}/{millis:.1}")));
        }
        if std::mem::take(&mut self.was_late) {
            let period = HOUSEKEEPING_INTERVAL.as_millis();
            let line = event_line("core_work", &pairs);
            log::warn!("{line} at_least_ms={period}");
        }
    }

    fn record_queues(&mut self) {
        self.metrics
            .record_merged_reports(self.queue.merged_reports());
        for (class, length, refused) in self.queue.lengths() {
            let new = self.metrics.record_queue(class, length, refused);
            if new > 0 {
                let class = class.name();
                log::warn!("event=inputs_refused class={class} count={new} waiting={length}");
            }
        }
        let refused = self.metrics.refused_calls.get();
        let before = std::mem::replace(&mut self.refused_calls, refused);
        if refused > before {
            let count = refused - before;
            log::warn!("event=calls_refused count={count}");
            // Nearly all of these calls are announcements.
            self.core.announcements_refused(self.clock.now());
        }
    }

    /// Returns whether no leader has been known for [`LEADERLESS_TIMEOUT`]. Logs it, again each
    /// time that time doubles.
    fn is_leaderless(&mut self, no_leader: bool) -> bool {
        if !no_leader {
            self.leaderless_since = None;
            self.next_leaderless_report = LEADERLESS_TIMEOUT;
            return false;
        }
        let now = self.clock.now();
        let since = *self.leaderless_since.get_or_insert(now);
        let elapsed = now.since(since);
        if elapsed >= self.next_leaderless_report {
            self.next_leaderless_report = elapsed * 2;
            self.report_leaderless(elapsed);
        }
        elapsed >= LEADERLESS_TIMEOUT
    }

    /// Logs that there is no leader. The `candidacy-ended` event names the voters that responded.
    fn report_leaderless(&self, elapsed: Duration) {
        let status = self.core.consensus_status();
        let voters = status.membership.voters.iter();
        let voters: Vec<&str> = voters.map(|voter| voter.peer_address.as_str()).collect();
        let pairs = [
            ("for_ms", elapsed.as_millis().to_string()),
            ("term", status.term.to_string()),
            ("last", status.last.to_string()),
            ("voters", voters.join(",")),
        ];
        log::warn!("{}", event_line("leaderless", &pairs));
    }

    /// Sends join requests to the members of the settings and of the known membership.
    fn request_join(&mut self, membership: &Membership) {
        let known = membership.voters.iter().map(|member| &member.peer_address);
        let others: BTreeSet<String> = self
            .others
            .iter()
            .chain(known)
            .filter(|address| **address != self.address.peer_address)
            .cloned()
            .collect();
        for other in others {
            let message = LinkMessage::Join(self.address.clone());
            self.peers.send(&other, message);
        }
    }
}

/// Returns the call of an announcement whose sender has timed out. Announcements of leaving
/// instances have a higher priority and are always processed.
fn expired_announcement(waiting: &WaitingInput) -> Option<u64> {
    let ControlInput::Administration { call, request } = &waiting.input else {
        return None;
    };
    let is_expired = waiting.class == Priority::Announcements
        && matches!(request, AdministrationRequest::Announce(_))
        && waiting.since.elapsed() >= ANNOUNCEMENT_TIMEOUT;
    is_expired.then_some(*call)
}
