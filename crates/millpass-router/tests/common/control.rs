//! In-memory control group of one member that responds to reports and claims.

use super::{ENGINE_INCARNATION, KEY, wait_until};
use crossbeam::channel::{Receiver, Sender, unbounded};
use millpass_proto::codec::{read_frame, write_frame};
use millpass_proto::*;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// State of the member.
#[derive(Default)]
pub struct State {
    pub objects: Vec<StoredObject>,
    pub configuration: u64,
    pub replicas: Vec<ReplicaRoute>,
    pub web: Vec<WebRoute>,
    pub placement: u64,
    pub watch: Vec<WatchedBackend>,
    pub load_estimates: Vec<LoadEstimate>,
    pub claims: BTreeMap<ClaimKey, (String, Option<ClaimConclusion>)>,
    /// Drops claims and claim completions without a response.
    pub ignore_claims: bool,
    /// If set, the member is not the leader and states this address.
    pub leader_hint: Option<SocketAddr>,
    pub last_report: Option<RouterReport>,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Control {
    address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    observations: Receiver<BackendObservation>,
}

impl Control {
    /// Starts a member with the tenant `acme`, the models `writer` and `idle`, the adapter
    /// `writer:legal` and a policy that allows everything but the model `secret`.
    pub fn start() -> Control {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            objects: catalog(),
            configuration: 1,
            placement: 1,
            ..State::default()
        }));
        let (observed, observations) = unbounded();
        let shared = state.clone();
        thread::spawn(move || accept(&listener, &shared, &observed));
        Control {
            address,
            state,
            observations,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits until the router reports the member's catalog and routes.
    pub fn wait_until_applied(&self) {
        wait_until("catalog and routes applied", || {
            let state = self.lock();
            state.last_report.as_ref().is_some_and(|report| {
                report.configuration.0 == state.configuration
                    && report.placement.0 == state.placement
            })
        });
    }

    /// Adds a loaded replica of `writer`, with its adapter, on an engine.
    pub fn add_replica(&self, slot: u64, engine: SocketAddr) {
        self.add_replica_for(slot, engine, 64);
    }

    /// Adds such a replica with this concurrency.
    pub fn add_replica_for(&self, slot: u64, engine: SocketAddr, concurrency: u32) {
        let mut state = self.lock();
        state.replicas.push(ReplicaRoute {
            slot: SlotId(slot),
            model: "writer".into(),
            version: "v1".into(),
            backend: format!("engine-{slot}").into(),
            incarnation: ENGINE_INCARNATION,
            address: engine.to_string(),
            zone: "zone".into(),
            role: EngineRole::Mixed,
            phase: ReplicaPhase::Loaded,
            leaving: false,
            adapters: vec!["legal".into()],
            concurrency,
        });
        state.placement += 1;
    }

    /// Adds a web backend of the group `pages`.
    pub fn add_web(&self, name: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.web.push(WebRoute {
            backend: name.into(),
            group: "pages".into(),
            incarnation: ENGINE_INCARNATION,
            address: address.to_string(),
            zone: "zone".into(),
            leaving: false,
        });
        state.placement += 1;
    }

    /// Returns the next reported observation that matches `wanted`.
    pub fn observation(&self, wanted: impl Fn(&BackendObservation) -> bool) -> BackendObservation {
        loop {
            let observation = self.observations.recv_timeout(super::TEST_TIMEOUT);
            let observation = observation.expect("an observation");
            if wanted(&observation) {
                return observation;
            }
        }
    }

    /// Closes every connection; the member keeps listening.
    pub fn close_connections(&self) {
        for connection in self.lock().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn accept(
    listener: &TcpListener,
    state: &Arc<Mutex<State>>,
    observed: &Sender<BackendObservation>,
) {
    for stream in listener.incoming() {
        let stream = stream.expect("a connection");
        let clone = stream.try_clone().expect("a clone");
        state.lock().unwrap().connections.push(clone);
        let state = state.clone();
        let observed = observed.clone();
        thread::spawn(move || serve(&stream, &state, &observed));
    }
}

fn serve(stream: &TcpStream, state: &Mutex<State>, observed: &Sender<BackendObservation>) {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Ok(LinkMessage::Router(message)) = read_frame::<LinkMessage>(&mut reader) {
        let response = respond(&mut state.lock().unwrap(), message, observed);
        if let Some(response) = response
            && write_frame(&mut writer, &response).is_err()
        {
            return;
        }
    }
}

fn respond(
    state: &mut State,
    message: RouterToControl,
    observed: &Sender<BackendObservation>,
) -> Option<ControlToRouter> {
    if let Some(leader) = state.leader_hint {
        return Some(ControlToRouter::NotLeader(NotLeader {
            leader_address: Some(leader.to_string()),
        }));
    }
    match message {
        RouterToControl::Hello(_)
        | RouterToControl::Gateway(_)
        | RouterToControl::Credit(_)
        | RouterToControl::Crashes(_)
        | RouterToControl::Permits(_)
        | RouterToControl::Reach(_)
        | RouterToControl::Streams(_)
        | RouterToControl::Runs(_) => None,
        RouterToControl::Report(report) => {
            for observation in &report.observations {
                observed.send(observation.clone()).unwrap();
            }
            let update = update(state, &report);
            state.last_report = Some(report);
            Some(ControlToRouter::Update(update))
        }
        RouterToControl::Claim(request) if !state.ignore_claims => {
            Some(ControlToRouter::Claim(begin_claim(state, request.claim)))
        }
        RouterToControl::FinishClaim(finish) if !state.ignore_claims => {
            match finish.conclusion {
                ClaimConclusion::NotRun => {
                    state.claims.remove(&finish.key);
                }
                conclusion => {
                    if let Some(claim) = state.claims.get_mut(&finish.key) {
                        claim.1 = Some(conclusion);
                    }
                }
            }
            Some(ControlToRouter::ClaimFinished(finish.attempt))
        }
        RouterToControl::Claim(_) | RouterToControl::FinishClaim(_) => None,
    }
}

fn begin_claim(state: &mut State, claim: ClaimBegin) -> ClaimResponse {
    let decision = match state.claims.get(&claim.key) {
        None => {
            let entry = (claim.digest, None);
            state.claims.insert(claim.key, entry);
            ClaimDecision::Granted
        }
        Some((digest, _)) if *digest != claim.digest => ClaimDecision::DigestMismatch,
        Some((_, None)) => ClaimDecision::InProgress,
        Some((_, Some(ClaimConclusion::Answered(response)))) => {
            ClaimDecision::Answered(response.clone())
        }
        Some(_) => ClaimDecision::MayHaveRun,
    };
    ClaimResponse {
        attempt: claim.attempt,
        decision,
    }
}

fn update(state: &State, report: &RouterReport) -> RouterUpdate {
    let configuration = ConfigurationDelta {
        from: ConfigurationRevision(0),
        to: ConfigurationRevision(state.configuration),
        full: true,
        objects: state.objects.clone(),
        removed: Vec::new(),
    };
    let placement = PlacementDelta {
        from: PlacementRevision(0),
        to: PlacementRevision(state.placement),
        full: true,
        replicas: state.replicas.clone(),
        web: state.web.clone(),
        removed_slots: Vec::new(),
        removed_backends: Vec::new(),
    };
    let watch = WatchList {
        backends: state.watch.clone(),
    };
    RouterUpdate {
        term: 1,
        sequence: report.sequence,
        lease_millis: 3_000,
        configuration: (report.configuration.0 < state.configuration).then_some(configuration),
        placement: (report.placement.0 < state.placement).then_some(placement),
        watch: Some(watch),
        load_estimates: state.load_estimates.clone(),
        claims_created_after_unix_millis: 1_000,
    }
}

fn catalog() -> Vec<StoredObject> {
    let tenant = TenantSpec {
        api_key_hashes: vec![blake3::hash(KEY.as_bytes()).to_hex().to_string()],
        share_weight: 1,
        capacity_bytes: 1 << 30,
        maximum_waiting: 1_000,
    };
    let model = ModelSpec {
        current_version: "v1".into(),
        accelerators_per_replica: 1,
        maximum_replicas: 4,
        minimum_replicas: 0,
        concurrency_per_replica: 64,
    };
    let adapter = AdapterSpec {
        model: "writer".into(),
        bytes: 1,
        checkpoint: "legal".to_owned(),
    };
    let group = BackendGroupSpec {
        path_prefix: "/pages/".to_owned(),
        non_repeatable_paths: vec!["/pages/publish".to_owned()],
    };
    let policy = PolicySpec {
        allow: "model != 'secret'".to_owned(),
        deny: None,
        urgency: None,
        capacity_bytes: None,
        examples: Vec::new(),
    };
    vec![
        object(ObjectKind::Tenant, "acme", ObjectSpec::Tenant(tenant)),
        object(
            ObjectKind::Model,
            "writer",
            ObjectSpec::Model(model.clone()),
        ),
        object(ObjectKind::Model, "idle", ObjectSpec::Model(model.clone())),
        object(ObjectKind::Model, "secret", ObjectSpec::Model(model)),
        object(ObjectKind::Adapter, "legal", ObjectSpec::Adapter(adapter)),
        object(
            ObjectKind::BackendGroup,
            "pages",
            ObjectSpec::BackendGroup(group),
        ),
        object(ObjectKind::Policy, "all", ObjectSpec::Policy(policy)),
    ]
}

fn object(kind: ObjectKind, name: &str, spec: ObjectSpec) -> StoredObject {
    StoredObject {
        key: ObjectKey {
            kind,
            name: name.to_owned(),
        },
        version: 1,
        revision: ConfigurationRevision(1),
        spec,
    }
}
