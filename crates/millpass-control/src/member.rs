//! The core's thread: feeds the decision core and carries out what it wants, in order.
//!
//! This thread alone owns the core. It never waits for a disk, a connection or an engine: each of
//! these has its own queue and threads, and answers through [`Inputs`](crate::inputs::Inputs).

use crate::calls::CallTable;
use crate::connections::Connections;
use crate::deliveries::{Deliveries, Delivery, EngineRead};
use crate::disk::DiskWork;
use crate::disk_watch::DiskWatch;
use crate::error::ControlError;
use crate::freshness::FreshnessPort;
use crate::inputs::{HostInput, InputQueue, WaitingInput};
use crate::lateness::LatenessWatch;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::urgency::Urgency;
use crossbeam::channel::Sender;
use millpass_control_plane::{
    AdministrationAnswer, AdministrationRequest, ConnectionId, ControlEvent, ControlInput,
    ControlOutput, ControlPlane, FinalState, FreshnessMark,
};
use millpass_proto::{LinkMessage, MemberAddress, Membership, Timestamp};
use millpass_telemetry::{Heartbeat, ProcessClock, SuspensionWatch, event_line, unix_millis};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(5);
/// Time between two looks at what changes slowly: metrics, and whether to ask to join.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Time without a leader after which a member asks to join: it may have been replaced while it was
/// cut off, and nobody tells it.
pub(crate) const LEADERLESS: Duration = Duration::from_secs(2);

/// Longest time an instance waits for the answer to its announcement before it calls another member. The
/// protocol between servers and members sets it (docs/PLATFORM.md); work on an older one would be in vain.
const ANNOUNCEMENT_PATIENCE: Duration = Duration::from_secs(1);

/// The core with everything it acts through.
pub(crate) struct Member {
    pub(crate) core: ControlPlane,
    pub(crate) clock: ProcessClock,
    pub(crate) address: MemberAddress,
    /// Peer addresses to ask when this process is not a member yet.
    pub(crate) others: Vec<String>,
    pub(crate) queue: InputQueue,
    pub(crate) disk: Sender<DiskWork>,
    pub(crate) disk_watch: Arc<DiskWatch>,
    pub(crate) peers: Peers,
    pub(crate) connections: Arc<Connections>,
    /// None where the port was not free for datagrams.
    pub(crate) freshness: Option<Arc<FreshnessPort>>,
    /// What was last published there.
    pub(crate) published: Option<FreshnessMark>,
    pub(crate) deliveries: Deliveries,
    pub(crate) platform: Option<String>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) metrics: Arc<Metrics>,
    /// Since when no leader is known.
    pub(crate) leaderless_since: Option<Timestamp>,
    /// How long that lasts when the log next says so.
    pub(crate) next_leaderless_report: Duration,
    pub(crate) suspensions: SuspensionWatch,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) lateness: LatenessWatch,
    /// Calls refused up to the last look, as too many waited.
    pub(crate) refused_calls: i64,
    /// Connections at which an update begins to wait, of which the core has not heard yet.
    pub(crate) behind: Vec<ConnectionId>,
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
        // First, so that no call is taken in after the last ones are answered.
        self.queue.close();
        self.connections.close();
        if let Some(port) = &self.freshness {
            port.close();
        }
        self.calls.give_up();
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
                HostInput::Core(waiting) => self.take_up(waiting),
                HostInput::Tick => {
                    self.show_lateness(None, next_tick);
                    let has_stopped = self.step(ControlInput::Tick);
                    // From the end of the step: ticks that take long must leave time for inputs.
                    next_tick = Instant::now() + TICK;
                    has_stopped
                }
                HostInput::WantSnapshot => {
                    self.core.want_snapshot();
                    false
                }
                HostInput::DiskFailed(error) => return End::Failed(error.into()),
                HostInput::ThreadEnded(name) => {
                    log::error!("event=control_thread_ended thread={name}");
                    return End::Failed(ControlError::ThreadEnded(name));
                }
                HostInput::Halt => return End::Halted,
            };
            if has_stopped {
                return End::Stopped;
            }
            if Instant::now() >= next_housekeeping {
                next_housekeeping = Instant::now() + HOUSEKEEPING;
                self.keep_house();
            }
        }
    }

    fn take_up(&mut self, waiting: WaitingInput) -> bool {
        self.show_lateness(Some(waiting.class), waiting.since);
        if let Some(call) = outdated_announcement(&waiting) {
            self.metrics.outdated_announcements.inc();
            self.calls.answer(call, AdministrationAnswer::Busy);
            self.core.announcements_refused(self.clock.now());
            return false;
        }
        self.step(waiting.input)
    }

    /// Shows how long an input of a class waited, or how much later than due a tick comes.
    fn show_lateness(&mut self, class: Option<Urgency>, since: Instant) {
        let now = Instant::now();
        let age = now.saturating_duration_since(since);
        match class {
            Some(class) => self.metrics.input_waited(class, age),
            None => self.metrics.tick_late(age),
        }
        if let Some(late) = self.lateness.look(now, class, age) {
            let class = late.class.map_or("tick", Urgency::name);
            let (age_millis, count) = (late.age.as_millis(), late.count);
            let lengths = self.queue.lengths();
            let waiting: usize = lengths.iter().map(|(_, length, _)| length).sum();
            log::warn!(
                "event=core_late class={class} age_ms={age_millis} late={count} waiting={waiting}"
            );
        }
    }

    /// Takes one input; true once the core has stopped.
    fn step(&mut self, input: ControlInput) -> bool {
        self.metrics.steps.inc();
        let now = self.clock.now();
        let outputs = self.core.step(now, unix_millis(), input);
        self.publish(now);
        let mut stopped = false;
        for output in outputs {
            stopped |= self.carry_out(output);
        }
        // Before any other input: the word that a connection has caught up may be in the queue already.
        while let Some(connection) = self.behind.pop() {
            let waits = true;
            stopped |= self.step(ControlInput::RouterBacklog { connection, waits });
        }
        stopped
    }

    /// Lets gateways that ask know what the core holds.
    fn publish(&mut self, now: Timestamp) {
        let Some(port) = &self.freshness else {
            return;
        };
        let mark = self.core.freshness_mark(now);
        if self.published.as_ref() != Some(&mark) {
            port.publish(self.core.freshness(&mark));
            self.published = Some(mark);
        }
    }

    fn carry_out(&mut self, output: ControlOutput) -> bool {
        match output {
            ControlOutput::SendPeer { address, envelope } => {
                self.peers.send(&address, LinkMessage::Peer(envelope));
            }
            ControlOutput::SendRouter {
                connection,
                message,
            } => {
                if self.connections.send(connection, *message) {
                    self.behind.push(connection);
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
            ControlOutput::AnswerShare { address, answer } => {
                self.peers
                    .send(&address, LinkMessage::ShareResponse(answer));
            }
            ControlOutput::Instruct {
                instruction,
                ends_by,
            } => {
                let delivery = Delivery::Instruct(instruction, ends_by);
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
            ControlOutput::Answer { call, answer } => self.calls.answer(call, answer),
            ControlOutput::DocumentReached(after) => self.metrics.document_reached(after),
            ControlOutput::DepartureReached(after) => self.metrics.departure_reached(after),
            ControlOutput::Event(event) => self.note(&event),
            ControlOutput::Stopped => return true,
        }
        false
    }

    /// The queue is bounded by what consensus has under way. It has no other end only after the
    /// disk failed, which is already in the queue of inputs.
    fn write(&self, work: DiskWork) {
        let _ = self.disk.send(work);
    }

    fn read_platform(&self) {
        if let Some(address) = &self.platform {
            let delivery = Delivery::ReadPlatform(address.clone());
            self.deliveries.submit(delivery);
        }
    }

    fn note(&self, event: &ControlEvent) {
        self.metrics.count_event(event.name);
        log::info!("{}", event_line(event.name, &event.pairs));
    }

    fn keep_house(&mut self) {
        if let Some(time) = self.suspensions.look() {
            let millis = time.as_millis();
            log::warn!("event=machine_suspended suspended_ms={millis}");
        }
        self.metrics.show_disk_wait(self.disk_watch.look());
        let status = self.core.consensus_status();
        self.metrics.show_consensus(&status);
        self.metrics.show_missing(self.core.missing_voters());
        if let Some(sizes) = self.core.fleet_sizes() {
            self.metrics.show_instances(&sizes);
        }
        self.show_queues();
        let leaderless = self.is_leaderless(status.leader.is_none());
        if leaderless || !status.membership.contains(self.address.member) {
            self.ask_to_join(&status.membership);
        }
    }

    fn show_queues(&mut self) {
        for (class, length, refused) in self.queue.lengths() {
            let new = self.metrics.show_queue(class, length, refused);
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
            // Nearly all calls are announcements.
            self.core.announcements_refused(self.clock.now());
        }
    }

    /// Whether no leader has been known for long.
    fn is_leaderless(&mut self, none_known: bool) -> bool {
        if !none_known {
            self.leaderless_since = None;
            self.next_leaderless_report = LEADERLESS;
            return false;
        }
        let now = self.clock.now();
        let since = *self.leaderless_since.get_or_insert(now);
        let lasts = now.since(since);
        if lasts >= self.next_leaderless_report {
            self.next_leaderless_report = lasts * 2;
            self.report_leaderless(lasts);
        }
        lasts >= LEADERLESS
    }

    /// Who answered this member's candidacies, and who did not, is told by `candidacy-ended`.
    fn report_leaderless(&self, lasts: Duration) {
        let status = self.core.consensus_status();
        let voters = status.membership.voters.iter();
        let voters: Vec<&str> = voters.map(|voter| voter.peer_address.as_str()).collect();
        let pairs = [
            ("for_ms", lasts.as_millis().to_string()),
            ("term", status.term.to_string()),
            ("last", status.last.to_string()),
            ("voters", voters.join(",")),
        ];
        log::warn!("{}", event_line("leaderless", &pairs));
    }

    /// Asks the members that the settings name and those of the membership known here.
    fn ask_to_join(&mut self, membership: &Membership) {
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

/// The call of an announcement whose sender waits no more. One that says that its instance leaves is of a
/// more urgent class and always taken up.
fn outdated_announcement(waiting: &WaitingInput) -> Option<u64> {
    let ControlInput::Administration { call, request } = &waiting.input else {
        return None;
    };
    let is_outdated = waiting.class == Urgency::Announcements
        && matches!(request, AdministrationRequest::Announce(_))
        && waiting.since.elapsed() >= ANNOUNCEMENT_PATIENCE;
    is_outdated.then_some(*call)
}
