//! The process: its threads, from start to stop.

use crate::administration::{self, AdministrationLimits, AdministrationServer};
use crate::calls::{CallTable, CoreCalls};
use crate::connections::Connections;
use crate::deliveries::{self, Deliveries, DeliveryWorker};
use crate::disk::Disk;
use crate::error::ControlError;
use crate::inputs::Inputs;
use crate::interface::Extensions;
use crate::member::Member;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::ControlProcessSettings;
use crate::startup::{self, ListenAddresses};
use crossbeam::channel::unbounded;
use millpass_control_plane::ControlInput;
use millpass_proto::{Duration, MemberAddress, MemberId};
use millpass_telemetry::{ProcessClock, SuspensionWatch};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Longest wait for the last answers of the administration API to go out.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// A running control member. Dropping it halts the member.
pub struct ControlHandle {
    address: MemberAddress,
    listening: ListenAddresses,
    inputs: Inputs,
    administration: AdministrationServer,
    core: Option<JoinHandle<Result<(), ControlError>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a member: a group of one, one of the initial members, or a joiner, as the data folder
/// and the settings say.
pub fn start(settings: ControlProcessSettings) -> Result<ControlHandle, ControlError> {
    let listener = listen(&settings)?;
    start_on(settings, listener)
}

fn listen(settings: &ControlProcessSettings) -> Result<TcpListener, ControlError> {
    TcpListener::bind(&settings.peer_listen).map_err(|source| ControlError::Listen {
        address: settings.peer_listen.clone(),
        source,
    })
}

/// Like [`start`], for a deployment with wire formats of its own.
pub fn start_extended(
    settings: ControlProcessSettings,
    extensions: Extensions,
) -> Result<ControlHandle, ControlError> {
    let listener = listen(&settings)?;
    start_parts(settings, listener, extensions)
}

/// Like [`start`], with a socket for members and routers that listens already.
pub fn start_on(
    settings: ControlProcessSettings,
    listener: TcpListener,
) -> Result<ControlHandle, ControlError> {
    start_parts(settings, listener, Extensions::default())
}

fn start_parts(
    settings: ControlProcessSettings,
    listener: TcpListener,
    extensions: Extensions,
) -> Result<ControlHandle, ControlError> {
    startup::check(&settings)?;
    let clock = ProcessClock::start();
    let metrics = Arc::new(Metrics::new()?);
    let (inputs, queue) = Inputs::new();
    let connections = Connections::new(
        &listener,
        settings.limits.clone(),
        inputs.clone(),
        metrics.clone(),
    )?;
    let calls = Arc::new(CallTable::default());
    let administration = administration::start_extended(
        &settings.administration_listen,
        &AdministrationLimits::default(),
        settings.bootstrap_key_hash.as_deref(),
        Arc::new(CoreCalls {
            inputs: inputs.clone(),
            table: calls.clone(),
            metrics: metrics.clone(),
        }),
        extensions.api,
    )?;
    let listening = ListenAddresses {
        peer: connections.address().to_string(),
        administration: administration.local_address().to_string(),
    };
    let opened = startup::open(&settings, &listening)?;
    for note in &opened.restored.notes {
        log::warn!("event=disk_repaired {note}");
    }
    let address = listening.member_address(opened.restored.identity.member, &settings);
    let core = startup::core(&settings, address.clone(), opened.restored, clock.now())?;

    let mut threads = Vec::new();
    let (disk_sender, disk_work) = unbounded();
    let disk = Disk {
        storage: opened.storage,
        work: disk_work,
        inputs: inputs.clone(),
        metrics: metrics.clone(),
    };
    threads.push(spawn("control-disk", move || disk.run())?);
    let (deliveries, delivery_queue) =
        Deliveries::new(inputs.clone(), settings.limits.delivery_queue);
    let agent = deliveries::agent(settings.limits.call_timeout, extensions.engines.is_some());
    for _ in 0..settings.limits.delivery_threads.max(1) {
        let queue = delivery_queue.clone();
        let engines = extensions.engines.clone();
        let worker = DeliveryWorker::new(queue, inputs.clone(), agent.clone(), engines);
        threads.push(spawn("control-delivery", move || worker.run())?);
    }
    let accepting = connections.clone();
    threads.push(spawn("control-accept", move || {
        accepting.accept(&listener)
    })?);
    let member = Member {
        core,
        clock,
        address: address.clone(),
        others: startup::others(&settings),
        queue,
        disk: disk_sender,
        peers: Peers::new(address.clone(), settings.limits.peer_queue, metrics.clone()),
        connections,
        deliveries,
        platform: settings.platform_address.clone(),
        calls,
        metrics,
        leaderless_since: None,
        suspensions: SuspensionWatch::default(),
        behind: Vec::new(),
    };
    let core = spawn("control-core", move || member.run())?;
    log::info!(
        "event=control_started group={} member={} zone={} peer_address={} administration_address={}",
        settings.group,
        address.member,
        address.zone,
        address.peer_address,
        address.administration_address,
    );
    Ok(ControlHandle {
        address,
        listening,
        inputs,
        administration,
        core: Some(core),
        threads,
    })
}

fn spawn<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> T + Send + 'static,
) -> std::io::Result<JoinHandle<T>> {
    thread::Builder::new().name(name.to_owned()).spawn(body)
}

impl ControlHandle {
    /// Identity of the member.
    pub fn member(&self) -> MemberId {
        self.address.member
    }

    /// IP address and port it listens at for members and routers.
    pub fn peer_address(&self) -> &str {
        &self.listening.peer
    }

    /// IP address and port of its administration API.
    pub fn administration_address(&self) -> &str {
        &self.listening.administration
    }

    /// Begins the planned stop: leadership is handed over, calls under way are answered.
    /// [`ControlHandle::join`] waits for its end.
    pub fn drain(&self) {
        self.inputs.send(ControlInput::Drain);
    }

    /// Stops at once, as if the process had been killed, but for what is already being written.
    pub fn halt(&self) {
        self.inputs.halt();
    }

    /// Whether the member has ended by itself.
    pub fn is_finished(&self) -> bool {
        self.core.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the member has ended, and says why if it failed.
    pub fn join(mut self) -> Result<(), ControlError> {
        self.wait()
    }

    fn wait(&mut self) -> Result<(), ControlError> {
        let Some(core) = self.core.take() else {
            return Ok(());
        };
        let ended = core
            .join()
            .unwrap_or_else(|_| Err(ControlError::Stopped("its thread panicked".to_owned())));
        // Whoever waits was answered when the core ended; the answers still have to go out.
        self.administration.drain(ANSWER_GRACE);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("event=control_thread_panicked");
            }
        }
        ended
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        if self.core.is_some() {
            self.halt();
            // Whoever wants the reason joins.
            let _ = self.wait();
        }
    }
}
