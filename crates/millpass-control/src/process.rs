//! Starts and stops the threads of a control member.

use crate::administration::{self, AdministrationLimits, AdministrationServer};
use crate::calls::{CallTable, CoreCalls, REFUSAL_LOG_INTERVAL};
use crate::connections::Connections;
use crate::deliveries::Deliveries;
use crate::disk::{Disk, SNAPSHOT_RETRY_INTERVAL};
use crate::disk_watch::{DiskWatch, SpaceWatch};
use crate::error::ControlError;
use crate::freshness::FreshnessPort;
use crate::inputs::Inputs;
use crate::interface::Extensions;
use crate::lateness::LatenessWatch;
use crate::member::{LEADERLESS_TIMEOUT, Member};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::ControlProcessSettings;
use crate::startup::{self, ListenAddresses, OpenedMember};
use crate::threads::{self, spawn, spawn_critical};
use crate::throttle::Throttle;
use crate::work::WorkMeter;
use crossbeam::channel::{Receiver, bounded, unbounded};
use millpass_control_plane::ControlInput;
use millpass_proto::{Duration, MemberAddress, MemberId};
use millpass_telemetry::{Heartbeat, ProcessClock, SuspensionDetector};
use std::net::{TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// Maximum time to send the last responses of the administration API.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of ports tried until one is free for both TCP and UDP.
const MAXIMUM_PORT_TRIES: u32 = 8;

/// A running control member. Dropping it halts the member.
pub struct ControlHandle {
    address: MemberAddress,
    listening: ListenAddresses,
    inputs: Inputs,
    administration: AdministrationServer,
    core: Option<JoinHandle<Result<(), ControlError>>>,
    /// Closes when the core's thread ends; nothing is sent on it.
    core_ended: Receiver<()>,
    heartbeat: Heartbeat,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a member. The data folder and the settings determine whether it is a group of one, an
/// initial member or a joiner.
pub fn start(settings: ControlProcessSettings) -> Result<ControlHandle, ControlError> {
    start_extended(settings, Extensions::default())
}

/// Binds TCP and UDP to the same port. A port that the system picks for TCP may be in use for UDP;
/// then another one is tried.
fn listen(
    settings: &ControlProcessSettings,
) -> Result<(TcpListener, Option<UdpSocket>), ControlError> {
    let mut tries = 0;
    loop {
        let listener = listen_for_connections(settings)?;
        let datagrams = listen_for_datagrams(&listener)?;
        tries += 1;
        let picked = settings.peer_listen.ends_with(":0");
        if datagrams.is_some() || !picked || tries == MAXIMUM_PORT_TRIES {
            return Ok((listener, datagrams));
        }
    }
}

fn listen_for_connections(settings: &ControlProcessSettings) -> Result<TcpListener, ControlError> {
    TcpListener::bind(&settings.peer_listen).map_err(|source| ControlError::Listen {
        address: settings.peer_listen.clone(),
        source,
    })
}

/// Binds the UDP port. A member without it still serves: gateways query other members.
fn listen_for_datagrams(listener: &TcpListener) -> Result<Option<UdpSocket>, ControlError> {
    let address = listener.local_addr()?;
    match UdpSocket::bind(address) {
        Ok(socket) => Ok(Some(socket)),
        Err(error) => {
            log::warn!(
                "event=freshness_port_unavailable address={address} error=\"{error}\" \
                 remedy=\"free the UDP port or choose another peer_listen\""
            );
            Ok(None)
        }
    }
}

/// Like [`start`], for a deployment with its own wire formats.
pub fn start_extended(
    settings: ControlProcessSettings,
    extensions: Extensions,
) -> Result<ControlHandle, ControlError> {
    let opened = startup::open(&settings)?;
    let (listener, datagrams) = listen(&settings)?;
    start_parts(settings, opened, listener, datagrams, extensions)
}

/// Like [`start`], with a listener that is already bound for members and routers.
pub fn start_on(
    settings: ControlProcessSettings,
    listener: TcpListener,
) -> Result<ControlHandle, ControlError> {
    let opened = startup::open(&settings)?;
    let datagrams = listen_for_datagrams(&listener)?;
    start_parts(settings, opened, listener, datagrams, Extensions::default())
}

fn start_parts(
    settings: ControlProcessSettings,
    opened: Option<OpenedMember>,
    listener: TcpListener,
    datagrams: Option<UdpSocket>,
    extensions: Extensions,
) -> Result<ControlHandle, ControlError> {
    let clock = ProcessClock::start();
    let metrics = Arc::new(Metrics::new()?);
    let (inputs, queue) = Inputs::new();
    let connections = Connections::new(
        &listener,
        settings.limits.clone(),
        inputs.clone(),
        metrics.clone(),
    )?;
    let freshness = match datagrams {
        Some(socket) => Some(FreshnessPort::new(socket, metrics.clone())?),
        None => None,
    };
    let calls = Arc::new(CallTable::default());
    let administration = administration::start_extended(
        &settings.administration_listen,
        &AdministrationLimits::default(),
        settings.bootstrap_key_hash.as_deref(),
        Arc::new(CoreCalls {
            inputs: inputs.clone(),
            table: calls.clone(),
            metrics: metrics.clone(),
            refusal_log: Mutex::new(Throttle::new(REFUSAL_LOG_INTERVAL)),
        }),
        extensions.api,
    )?;
    let listening = ListenAddresses {
        peer: connections.address().to_string(),
        administration: administration.local_address().to_string(),
    };
    let opened = match opened {
        Some(opened) => opened,
        None => startup::create_group(&settings, &listening)?,
    };
    for note in &opened.restored.notes {
        log::warn!("event=disk_repaired {note}");
    }
    let address = listening.member_address(opened.restored.identity.member, &settings);
    let core = startup::core(&settings, address.clone(), opened.restored, clock.now())?;

    let mut threads = Vec::new();
    let (disk_sender, disk_work) = unbounded();
    let disk_watch = Arc::<DiskWatch>::default();
    let disk = Disk {
        storage: opened.storage,
        work: disk_work,
        inputs: inputs.clone(),
        metrics: metrics.clone(),
        watch: disk_watch.clone(),
        space: SpaceWatch::new(&settings.storage),
        snapshot_requests: Throttle::new(SNAPSHOT_RETRY_INTERVAL),
        state_bytes: 0,
    };
    threads.push(spawn_critical("control-disk", &inputs, move || disk.run())?);
    let (deliveries, pool) =
        Deliveries::new(inputs.clone(), clock, &settings.limits, extensions.engines);
    threads.push(spawn_critical("control-deliveries", &inputs, move || {
        pool.run()
    })?);
    let accepting = connections.clone();
    threads.push(spawn_critical("control-accept", &inputs, move || {
        accepting.accept(&listener);
    })?);
    let serving = connections.clone();
    threads.push(spawn_critical("control-links", &inputs, move || {
        serving.run();
    })?);
    if let Some(port) = freshness.clone() {
        threads.push(spawn_critical("control-freshness", &inputs, move || {
            port.serve();
        })?);
    }
    let heartbeat = Heartbeat::default();
    let member = Member {
        core,
        clock,
        address: address.clone(),
        others: startup::others(&settings),
        queue,
        disk: disk_sender,
        disk_watch,
        peers: Peers::new(address.clone(), settings.limits.peer_queue, metrics.clone()),
        connections,
        freshness,
        published: None,
        deliveries,
        was_leading: false,
        platform: settings.platform_address.clone(),
        calls,
        metrics,
        leaderless_since: None,
        next_leaderless_report: LEADERLESS_TIMEOUT,
        suspensions: SuspensionDetector::default(),
        heartbeat: heartbeat.clone(),
        lateness: LatenessWatch::default(),
        work: WorkMeter::default(),
        was_late: false,
        refused_calls: 0,
        backlogged: Vec::new(),
    };
    let (running, core_ended) = bounded::<()>(0);
    let core = spawn("control-core", move || {
        // Dropped when this thread ends, also by a panic.
        let _running = running;
        member.run()
    })?;
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
        core_ended,
        heartbeat,
        threads,
    })
}

impl ControlHandle {
    /// Returns the member id.
    pub fn member(&self) -> MemberId {
        self.address.member
    }

    /// Returns the listen address (IP:port) for members and routers.
    pub fn peer_address(&self) -> &str {
        &self.listening.peer
    }

    /// Returns the listen address (IP:port) of the administration API.
    pub fn administration_address(&self) -> &str {
        &self.listening.administration
    }

    /// Starts a planned stop: leadership is transferred and calls in progress are completed.
    /// [`ControlHandle::join`] waits for its end.
    pub fn drain(&self) {
        self.inputs.send(ControlInput::Drain);
    }

    /// Stops at once, as if the process had been killed, except that writes in progress complete.
    pub fn halt(&self) {
        self.inputs.halt();
    }

    /// Returns whether the member has ended.
    pub fn is_finished(&self) -> bool {
        self.core.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Calls `act` once the member has ended, for any reason. The process should then exit, so that
    /// its supervisor restarts it.
    pub fn on_exit(&mut self, act: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let ended = self.core_ended.clone();
        let watch = spawn("control-end", move || {
            // Returns an error when the channel closes.
            let _ = ended.recv();
            act();
        })?;
        self.threads.push(watch);
        Ok(())
    }

    /// Returns the heartbeat of the core's thread, for a watchdog.
    pub fn heartbeat(&self) -> Heartbeat {
        self.heartbeat.clone()
    }

    /// Waits until the member has ended; returns the error if it failed.
    pub fn join(mut self) -> Result<(), ControlError> {
        self.wait()
    }

    fn wait(&mut self) -> Result<(), ControlError> {
        let Some(core) = self.core.take() else {
            return Ok(());
        };
        let ended = core
            .join()
            .unwrap_or_else(|_| Err(ControlError::Stopped("the core thread panicked".to_owned())));
        // Waiting calls were completed when the core ended; their responses still have to be sent.
        self.administration.drain(RESPONSE_GRACE);
        threads::join_all(std::mem::take(&mut self.threads));
        ended
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        if self.core.is_some() {
            self.halt();
            // Callers that need the result use `join`.
            let _ = self.wait();
        }
    }
}
