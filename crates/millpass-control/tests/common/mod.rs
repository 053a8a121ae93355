//! Members in one process, and a router's end of a link.

#![allow(dead_code)] // Each test file uses a part.

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

/// Longest wait for anything in these tests.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Repeats until something is there; panics when it does not come.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "no {what} in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Short times, so that tests are quick; long enough for a busy machine.
pub fn timing() -> ConsensusTiming {
    ConsensusTiming {
        election_timeout: Duration::from_millis(400),
        heartbeat_interval: Duration::from_millis(50),
        lease_length: Duration::from_millis(250),
        stalled_disk_limit: Duration::from_secs(1),
        ..ConsensusTiming::default()
    }
}

/// One place of a group: its socket stays bound while its member is down.
pub struct Place {
    listener: TcpListener,
    pub settings: ControlProcessSettings,
    pub handle: Option<ControlHandle>,
}

impl Place {
    pub fn address(&self) -> String {
        self.listener.local_addr().expect("address").to_string()
    }

    pub fn start(&mut self) {
        let listener = self.listener.try_clone().expect("listener");
        let handle = start_on(self.settings.clone(), listener).expect("start");
        self.handle = Some(handle);
    }

    /// Ends the member as a kill would.
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

/// A group of members, each in its own folder, not yet started.
pub fn group(folder: &Path, members: usize) -> Vec<Place> {
    let listeners: Vec<TcpListener> = (0..members)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("bind"))
        .collect();
    let initial: Vec<InitialMember> = listeners
        .iter()
        .enumerate()
        .map(|(place, listener)| InitialMember {
            zone: format!("zone-{place}").into(),
            peer_address: listener.local_addr().expect("address").to_string(),
            // Nothing listens there: a hint that leads nowhere must not stop a client.
            administration_address: "127.0.0.1:1".to_owned(),
        })
        .collect();
    let places = listeners.into_iter().enumerate();
    places
        .map(|(place, listener)| {
            let settings = ControlProcessSettings {
                bootstrap: false,
                zone: initial[place].zone.clone(),
                peer_advertise: Some(initial[place].peer_address.clone()),
                initial_members: initial.clone(),
                bootstrap_key_hash: Some(
                    blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().to_string(),
                ),
                consensus: timing(),
                member_replacement_delay: Duration::from_millis(1_000),
                ..ControlProcessSettings::single(folder.join(place.to_string()))
            };
            Place {
                listener,
                settings,
                handle: None,
            }
        })
        .collect()
}

/// Initializes and starts all places.
pub fn start_all(places: &mut [Place]) {
    for place in places {
        initialize(&place.settings).expect("initialize");
        place.start();
    }
}

/// A router's end of a link.
pub struct RouterEnd {
    stream: TcpStream,
    sequence: u64,
}

impl RouterEnd {
    /// Connects and says hello.
    pub fn connect(address: &str, name: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut router = RouterEnd {
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

    /// Sends a report and returns the member's answer to it.
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

/// The place whose member answers a router's report as the leader.
pub fn leader(places: &[Place]) -> Option<(usize, RouterUpdate)> {
    let running = places.iter().enumerate();
    running
        .filter(|(_, place)| place.handle.is_some())
        .find_map(|(number, place)| {
            let mut router = RouterEnd::connect(&place.address(), "probe").ok()?;
            match router.report().ok()? {
                ControlToRouter::Update(update) => Some((number, update)),
                _ => None,
            }
        })
}

/// The operator's key in these tests.
pub const OPERATOR_KEY: &str = "operator-key";

/// A client that knows all running members.
pub fn client(places: &[Place]) -> AdministrationClient {
    let addresses = places.iter().filter_map(Place::administration_address);
    AdministrationClient::new(addresses.collect(), OPERATOR_KEY)
}

/// What the leader says about the deployment.
pub fn status(places: &[Place]) -> Option<StatusBody> {
    client(places).status().ok()
}
