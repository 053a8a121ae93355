//! The core's thread: feeds the decision core and carries out what it wants, in order.
//!
//! This thread alone owns the core. It never waits for a disk, a connection or an engine: each of
//! these has its own queue and threads, and answers through [`Inputs`](crate::inputs::Inputs).

use crate::calls::CallTable;
use crate::connections::Connections;
use crate::deliveries::{Deliveries, Delivery};
use crate::disk::DiskWork;
use crate::error::ControlError;
use crate::inputs::HostInput;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use millpass_control_plane::{
    ConnectionId, ControlEvent, ControlInput, ControlOutput, ControlPlane, FinalState,
};
use millpass_proto::{LinkMessage, MemberAddress, Membership, Timestamp};
use millpass_telemetry::{ProcessClock, SuspensionWatch, event_line, unix_millis};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(5);
/// Time between two looks at what changes slowly: metrics, and whether to ask to join.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Time without a leader after which a member asks to join: it may have been replaced while it was
/// cut off, and nobody tells it.
const LEADERLESS: Duration = Duration::from_secs(2);

/// The core with everything it acts through.
pub(crate) struct Member {
    pub(crate) core: ControlPlane,
    pub(crate) clock: ProcessClock,
    pub(crate) address: MemberAddress,
    /// Peer addresses to ask when this process is not a member yet.
    pub(crate) others: Vec<String>,
    pub(crate) queue: Receiver<HostInput>,
    pub(crate) disk: Sender<DiskWork>,
    pub(crate) peers: Peers,
    pub(crate) connections: Arc<Connections>,
    pub(crate) deliveries: Deliveries,
    pub(crate) platform: Option<String>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) metrics: Arc<Metrics>,
    /// Since when no leader is known.
    pub(crate) leaderless_since: Option<Timestamp>,
    pub(crate) suspensions: SuspensionWatch,
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
        self.connections.close();
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
            let input = match self.queue.recv_deadline(next_tick) {
                Ok(HostInput::Core(input)) => *input,
                Ok(HostInput::DiskFailed(error)) => return End::Failed(error.into()),
                Ok(HostInput::Halt) | Err(RecvTimeoutError::Disconnected) => return End::Halted,
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + TICK;
                    ControlInput::Tick
                }
            };
            if self.step(input) {
                return End::Stopped;
            }
            if Instant::now() >= next_housekeeping {
                next_housekeeping = Instant::now() + HOUSEKEEPING;
                self.keep_house();
            }
        }
    }

    /// Takes one input; true once the core has stopped.
    fn step(&mut self, input: ControlInput) -> bool {
        self.metrics.steps.inc();
        let outputs = self.core.step(self.clock.now(), unix_millis(), input);
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
            ControlOutput::Instruct(instruction) => {
                self.deliveries.submit(Delivery::Instruct(instruction));
            }
            ControlOutput::ReadEngine { instance, address } => {
                let delivery = Delivery::ReadEngine(instance, address);
                self.deliveries.submit(delivery);
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
        let status = self.core.consensus_status();
        self.metrics.show_consensus(&status);
        let leaderless = self.is_leaderless(status.leader.is_none());
        if leaderless || !is_member(&status.membership, &self.address) {
            self.ask_to_join(&status.membership);
        }
    }

    /// Whether no leader has been known for long.
    fn is_leaderless(&mut self, none_known: bool) -> bool {
        if !none_known {
            self.leaderless_since = None;
            return false;
        }
        let now = self.clock.now();
        let since = *self.leaderless_since.get_or_insert(now);
        now.since(since) >= LEADERLESS
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

fn is_member(membership: &Membership, address: &MemberAddress) -> bool {
    let sets = [
        &membership.voters,
        &membership.outgoing_voters,
        &membership.learners,
    ];
    sets.iter()
        .any(|set| set.iter().any(|member| member.member == address.member))
}
