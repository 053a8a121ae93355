//! A hollow router: speaks the real link protocol without serving callers. Stores only revisions and
//! the back ends it watches.

use crate::engines::zone_name;
use crate::routers::Routers;
use anyhow::{Result, bail};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use millpass_proto::codec;
use millpass_proto::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration as StdDuration, Instant};

/// Interval between reports.
const REPORT_INTERVAL: StdDuration = StdDuration::from_millis(500);
/// Connection timeout.
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// Timeout after which a connection without messages is closed.
const CONTACT_TIMEOUT: StdDuration = StdDuration::from_secs(2);
/// Bounds of the reconnect backoff.
const MINIMUM_BACKOFF: StdDuration = StdDuration::from_millis(20);
const MAXIMUM_BACKOFF: StdDuration = StdDuration::from_secs(1);
/// Maximum observations per report, as in the real router.
const MAXIMUM_OBSERVATIONS: usize = 64;
/// Size of the recorded response of a claimed request.
const RESPONSE_BYTES: usize = 512;
/// Tenant of all claims.
const TENANT: &str = "tenant-000";

/// Target of a waiting request: a model and an optional adapter.
pub type RequestTarget = (ModelName, Option<AdapterName>);

/// One hollow router.
pub struct HollowRouter {
    number: usize,
    state: Mutex<RouterState>,
    frames: (Sender<RouterToControl>, Receiver<RouterToControl>),
}

#[derive(Default)]
struct RouterState {
    sequence: u64,
    sent: BTreeMap<u64, Instant>,
    configuration: u64,
    placement: u64,
    watched: Vec<BackendName>,
    waiting: BTreeMap<RequestTarget, Instant>,
    claims: BTreeMap<u64, (Instant, ClaimKey)>,
    next_claim: u64,
}

impl HollowRouter {
    /// Creates the router with this number.
    pub fn new(number: usize) -> Self {
        HollowRouter {
            number,
            state: Mutex::default(),
            frames: async_channel::unbounded(),
        }
    }

    /// Adds a request that waits until a replica has loaded its target.
    pub fn add_waiting(&self, target: RequestTarget) {
        self.state().waiting.insert(target, Instant::now());
    }

    /// Returns the number of watched back ends.
    pub fn watched(&self) -> usize {
        self.state().watched.len()
    }

    /// Begins a claim with a unique key.
    pub fn begin_claim(&self) {
        let mut state = self.state();
        state.next_claim += 1;
        let attempt = state.next_claim;
        let now = millpass_telemetry::unix_millis();
        let key = ClaimKey(format!("{now}-{}-{attempt}", self.number));
        state.claims.insert(attempt, (Instant::now(), key.clone()));
        let claim = ClaimBegin {
            tenant: TENANT.into(),
            key,
            digest: "d".repeat(64),
            created_unix_millis: now,
            router: self.name(),
            router_incarnation: Incarnation(1),
            attempt,
            at_unix_millis: 0,
        };
        self.send(RouterToControl::Claim(ClaimRequest { claim }));
    }

    /// Connects to the members, again after each failure, until the task is dropped.
    pub async fn run(&self, routers: &Routers) {
        let mut next_member = self.number;
        let mut hint = None;
        let mut backoff = MINIMUM_BACKOFF;
        loop {
            let address = hint.take().unwrap_or_else(|| {
                next_member += 1;
                routers.members[next_member % routers.members.len()]
            });
            let mut served = false;
            // Errors are handled by reconnecting.
            let _ = self.serve(routers, address, &mut hint, &mut served).await;
            backoff = if served {
                MINIMUM_BACKOFF
            } else {
                (backoff * 2).min(MAXIMUM_BACKOFF)
            };
            let percent = 50 + (self.number * 37 % 50) as u32;
            Timer::after(backoff * percent / 100).await;
        }
    }

    async fn serve(
        &self,
        routers: &Routers,
        address: SocketAddr,
        hint: &mut Option<SocketAddr>,
        served: &mut bool,
    ) -> Result<()> {
        let connecting = async { Ok(Async::<TcpStream>::connect(address).await?) };
        let stream = with_timeout(CONNECT_TIMEOUT, connecting).await?;
        stream.get_ref().set_nodelay(true)?;
        self.state().sent.clear();
        let hello = RouterHello {
            group: GroupId(1),
            router: self.name(),
            incarnation: Incarnation(1),
            zone: zone_name(self.number),
            address: "127.0.0.1:1".to_owned(),
        };
        write(routers, &stream, RouterToControl::Hello(hello)).await?;
        let reading = self.read_all(routers, &stream, hint, served);
        future::or(reading, self.write_all(routers, &stream)).await
    }

    async fn write_all(&self, routers: &Routers, stream: &Async<TcpStream>) -> Result<()> {
        let mut next_report = Instant::now();
        loop {
            let frame = async { self.frames.1.recv().await.ok() };
            let due = async {
                Timer::at(next_report).await;
                None
            };
            let message = match future::or(frame, due).await {
                Some(message) => message,
                None => {
                    next_report = Instant::now() + REPORT_INTERVAL;
                    RouterToControl::Report(self.report(routers))
                }
            };
            write(routers, stream, message).await?;
        }
    }

    fn report(&self, routers: &Routers) -> RouterReport {
        let mut state = self.state();
        state.sequence += 1;
        let sequence = state.sequence;
        state.sent.insert(sequence, Instant::now());
        let watched = state.watched.iter().take(MAXIMUM_OBSERVATIONS);
        let reports = watched.filter_map(|name| {
            let number = name.0.rsplit('-').next()?.parse().ok()?;
            routers.engines.report(name, zone_name(number))
        });
        RouterReport {
            sequence,
            configuration: ConfigurationRevision(state.configuration),
            placement: PlacementRevision(state.placement),
            demand: self.demand(&state, routers),
            observations: reports.map(BackendObservation::Engine).collect(),
            draining: false,
        }
    }

    fn demand(&self, state: &RouterState, routers: &Routers) -> Vec<ModelDemand> {
        let served = (0..routers.demand).map(|place| {
            let model = (self.number * 7 + place * 3) % routers.models.max(1);
            let model = crate::catalog::model_name(model).into();
            demand_of((model, None), 5, 0, state.sequence * 3)
        });
        let waiting = state.waiting.iter().map(|(target, since)| {
            let waited = since.elapsed().as_millis() as u64;
            demand_of(target.clone(), 0, waited.max(1), 1)
        });
        served.chain(waiting).collect()
    }

    async fn read_all(
        &self,
        routers: &Routers,
        stream: &Async<TcpStream>,
        hint: &mut Option<SocketAddr>,
        served: &mut bool,
    ) -> Result<()> {
        loop {
            let message = with_timeout(CONTACT_TIMEOUT, read(routers, stream)).await?;
            match message {
                ControlToRouter::NotLeader(response) => {
                    let leader = response.leader_address;
                    *hint = leader.and_then(|text| text.parse().ok());
                    bail!("the member is not the leader");
                }
                ControlToRouter::Update(update) => {
                    *served = true;
                    self.apply_update(routers, update);
                }
                // Not needed: hollow routers report only at fixed intervals and serve no callers.
                ControlToRouter::ChangesAvailable
                | ControlToRouter::Gateway(_)
                | ControlToRouter::Credit(_)
                | ControlToRouter::Crashes(_)
                | ControlToRouter::Permits(_)
                | ControlToRouter::Limits(_)
                | ControlToRouter::Peers(_)
                | ControlToRouter::Origins(_)
                | ControlToRouter::Runs(_) => {}
                ControlToRouter::Claim(response) => self.handle_claim_response(routers, response),
                ControlToRouter::ClaimFinished(attempt) => {
                    self.handle_claim_finished(routers, attempt)
                }
            }
        }
    }

    fn apply_update(&self, routers: &Routers, update: RouterUpdate) {
        let now = Instant::now();
        let mut state = self.state();
        let sent = state.sent.remove(&update.sequence);
        routers.record_update(self.number, &update, sent, now);
        if let Some(delta) = update.configuration {
            state.configuration = delta.to.0;
        }
        if let Some(watch) = update.watch {
            let backends = watch.backends.into_iter();
            state.watched = backends.map(|watched| watched.backend).collect();
        }
        if let Some(delta) = update.placement {
            state.placement = delta.to.0;
            for route in &delta.replicas {
                self.apply_route(routers, &mut state, route);
            }
        }
    }

    fn apply_route(&self, routers: &Routers, state: &mut RouterState, route: &ReplicaRoute) {
        if route.phase != ReplicaPhase::Loaded || state.waiting.is_empty() {
            return;
        }
        let adapters = route.adapters.iter().cloned().map(Some);
        for adapter in adapters.chain([None]) {
            let target = (route.model.clone(), adapter);
            if let Some(since) = state.waiting.remove(&target) {
                routers.loaded(since.elapsed());
            }
        }
    }

    fn handle_claim_response(&self, routers: &Routers, response: ClaimResponse) {
        if response.decision != ClaimDecision::Granted {
            routers.claim_refused();
            return;
        }
        let Some((begun, key)) = self.state().claims.get(&response.attempt).cloned() else {
            return;
        };
        routers.claim_granted(begun.elapsed());
        let recorded = RecordedAnswer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; RESPONSE_BYTES].into(),
        };
        self.send(RouterToControl::FinishClaim(ClaimFinish {
            tenant: TENANT.into(),
            key,
            router: self.name(),
            router_incarnation: Incarnation(1),
            attempt: response.attempt,
            conclusion: ClaimConclusion::Answered(recorded),
        }));
    }

    fn handle_claim_finished(&self, routers: &Routers, attempt: u64) {
        let ended = self.state().claims.remove(&attempt);
        if ended.is_some() && routers.claiming() {
            self.begin_claim();
        }
    }

    fn send(&self, message: RouterToControl) {
        // Cannot fail: the receiver lives as long as this router.
        let _ = self.frames.0.try_send(message);
    }

    /// Returns the name of the router.
    pub fn name(&self) -> RouterName {
        format!("router-{:03}", self.number).into()
    }

    fn state(&self) -> MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn demand_of(target: RequestTarget, in_flight: u32, waited: u64, arrivals: u64) -> ModelDemand {
    ModelDemand {
        model: target.0,
        adapter: target.1,
        waiting: u32::from(waited > 0),
        in_flight,
        arrivals,
        oldest_wait_millis: waited,
        most_urgent: if waited > 0 {
            Urgency::Normal
        } else {
            Urgency::Batch
        },
    }
}

async fn with_timeout<T>(time: StdDuration, work: impl Future<Output = Result<T>>) -> Result<T> {
    let timeout = async {
        Timer::after(time).await;
        bail!("timed out")
    };
    future::or(work, timeout).await
}

async fn write(
    routers: &Routers,
    stream: &Async<TcpStream>,
    message: RouterToControl,
) -> Result<()> {
    let mut frame = Vec::new();
    codec::write_frame(&mut frame, &LinkMessage::Router(message))?;
    routers.sent(frame.len());
    let mut stream = stream;
    stream.write_all(&frame).await?;
    Ok(())
}

async fn read(routers: &Routers, stream: &Async<TcpStream>) -> Result<ControlToRouter> {
    let mut stream = stream;
    let mut prefix = [0_u8; 4];
    stream.read_exact(&mut prefix).await?;
    let mut body = vec![0_u8; u32::from_le_bytes(prefix) as usize];
    stream.read_exact(&mut body).await?;
    routers.received(prefix.len() + body.len());
    Ok(codec::decode(&body)?)
}
