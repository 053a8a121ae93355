//! Members in one process, and a test router.

#![allow(dead_code)] // Each test file uses only some items.

use millpass_control::api::StatusBody;
use millpass_control::client::AdministrationClient;
use millpass_control::settings::{ConsensusTiming, InitialMember};
use millpass_control::{ControlHandle, ControlProcessSettings, initialize, start_on};
use millpass_proto::codec::{CodecError, read_frame, write_frame};
use millpass_proto::{
    ConfigurationRevision, ControlToRouter, Duration, GroupId, Incarnation, LinkMessage,
    PlacementRevision, RouterHello, RouterReport, RouterToControl, RouterUpdate,
};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::time::Instant;

/// Timeout of all waits in these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until `poll` returns a value; panics on timeout.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < end, "no {what} in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Short timing for fast tests, but long enough for a busy machine.
pub fn timing() -> ConsensusTiming {
    ConsensusTiming {
        election_timeout: Duration::from_millis(400),
        heartbeat_interval: Duration::from_millis(50),
        lease_length: Duration::from_millis(250),
        stalled_disk_limit: Duration::from_secs(1),
        ..ConsensusTiming::default()
    }
}

/// One member of a group; its socket stays bound while the member is down.
pub struct TestMember {
    listener: TcpListener,
    pub settings: ControlProcessSettings,
    pub handle: Option<ControlHandle>,
}

impl TestMember {
    pub fn address(&self) -> String {
        self.listener.local_addr().expect("address").to_string()
    }

    pub fn start(&mut self) {
        let listener = self.listener.try_clone().expect("listener");
        let handle = start_on(self.settings.clone(), listener).expect("start");
        self.handle = Some(handle);
    }

    /// Stops the member as if it was killed.
    pub fn halt(&mut self) {
        if let Some(handle) = self.handle.take() {
            handle.halt();
            handle.join().expect("halted");
        }
    }

    pub fn administration_address(&self) -> Option<String> {
        let handle = self.handle.as_ref()?;
        Some(handle.administration_address().to_owned())
    }
}

/// Creates the members of a group, each with its own folder, without starting them.
pub fn group(folder: &Path, count: usize) -> Vec<TestMember> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("bind"))
        .collect();
    let initial: Vec<InitialMember> = listeners
        .iter()
        .enumerate()
        .map(|(index, listener)| InitialMember {
            zone: format!("zone-{index}").into(),
            peer_address: listener.local_addr().expect("address").to_string(),
            // Nothing listens there: clients must tolerate an unreachable leader address.
            administration_address: "127.0.0.1:1".to_owned(),
        })
        .collect();
    let listeners = listeners.into_iter().enumerate();
    listeners
        .map(|(index, listener)| {
            let settings = ControlProcessSettings {
                bootstrap: false,
                zone: initial[index].zone.clone(),
                peer_advertise: Some(initial[index].peer_address.clone()),
                initial_members: initial.clone(),
                bootstrap_key_hash: Some(
                    blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().to_string(),
                ),
                consensus: timing(),
                member_replacement_delay: Duration::from_millis(1_000),
                ..ControlProcessSettings::single(folder.join(index.to_string()))
            };
            TestMember {
                listener,
                settings,
                handle: None,
            }
        })
        .collect()
}

/// Initializes and starts all members.
pub fn start_all(members: &mut [TestMember]) {
    for member in members {
        initialize(&member.settings).expect("initialize");
        member.start();
    }
}

/// A router connected to a member.
pub struct TestRouter {
    stream: TcpStream,
    sequence: u64,
}

impl TestRouter {
    /// Connects and sends a hello.
    pub fn connect(address: &str, name: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut router = TestRouter {
            stream,
            sequence: 0,
        };
        let hello = RouterHello {
            group: GroupId(1),
            router: name.into(),
            incarnation: Incarnation(1),
            zone: "zone-0".into(),
            address: "127.0.0.1:1".to_owned(),
        };
        router
            .send(RouterToControl::Hello(hello))
            .map_err(std::io::Error::other)?;
        Ok(router)
    }

    pub fn send(&mut self, message: RouterToControl) -> Result<(), CodecError> {
        write_frame(&mut self.stream, &LinkMessage::Router(message))
    }

    /// Sends a report and returns the member's response.
    pub fn report(&mut self) -> Result<ControlToRouter, CodecError> {
        self.sequence += 1;
        let report = RouterReport {
            sequence: self.sequence,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            demand: Vec::new(),
            observations: Vec::new(),
            draining: false,
        };
        self.send(RouterToControl::Report(report))?;
        read_frame(&mut self.stream)
    }
}

/// Finds the member that responds to a router's report as the leader.
pub fn leader(members: &[TestMember]) -> Option<(usize, RouterUpdate)> {
    let running = members.iter().enumerate();
    running
        .filter(|(_, member)| member.handle.is_some())
        .find_map(|(number, member)| {
            let mut router = TestRouter::connect(&member.address(), "probe").ok()?;
            match router.report().ok()? {
                ControlToRouter::Update(update) => Some((number, update)),
                _ => None,
            }
        })
}

/// Operator key in these tests.
pub const OPERATOR_KEY: &str = "operator-key";

/// Creates a client of all running members.
pub fn client(members: &[TestMember]) -> AdministrationClient {
    let addresses = members
        .iter()
        .filter_map(TestMember::administration_address);
    AdministrationClient::new(addresses.collect(), OPERATOR_KEY)
}

/// Reads the status of the deployment.
pub fn status(members: &[TestMember]) -> Option<StatusBody> {
    client(members).status().ok()
}
